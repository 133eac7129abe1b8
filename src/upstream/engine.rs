//! Client of a model engine.

use std::net::SocketAddr;

use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use super::exchange::{Body, Request, send};
use super::sse::{self, Parser};
use super::{Timeouts, UpstreamError};
use crate::ids::VersionRef;
use crate::units::Tokens;

/// Maximum size of the answer to a load query or an order, in bytes.
const MAX_CONTROL_ANSWER_BYTES: usize = 64 << 10;
/// Maximum size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Content type of a streamed answer, before its parameters.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Data of the event that ends a stream.
pub(super) const DONE: &str = "[DONE]";

/// Token usage of a completion.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt, if the engine reported them.
    pub prompt: Option<Tokens>,
    /// Tokens of the answer: as the engine reported them, or the number of content chunks.
    pub completion: Tokens,
}

/// The usage as an engine reports it; engines omit some fields.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct UsageReport {
    prompt_tokens: Option<Tokens>,
    completion_tokens: Option<Tokens>,
}

impl UsageReport {
    fn usage(&self) -> Option<Usage> {
        self.completion_tokens.map(|completion| Usage {
            prompt: self.prompt_tokens,
            completion,
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Choice {
    delta: Map<String, Value>,
}

impl Choice {
    /// Returns whether the chunk carries a part of the answer: text, reasoning or a tool call.
    fn has_output(&self) -> bool {
        let mut fields = self.delta.iter();
        fields.any(|(name, value)| name != "role" && !is_blank(value))
    }
}

fn is_blank(value: &Value) -> bool {
    match value {
        Value::Null => true,
        Value::String(text) => text.is_empty(),
        Value::Array(items) => items.is_empty(),
        _ => false,
    }
}

/// The fields of a chunk or a complete answer that are needed to count tokens.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Chunk {
    choices: Vec<Choice>,
    usage: Option<UsageReport>,
}

/// Load that an engine reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub queued: u64,
}

/// Client of one engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    addr: SocketAddr,
    timeouts: Timeouts,
}

impl EngineClient {
    /// Creates a client; each call opens a new connection.
    #[must_use]
    pub const fn new(addr: SocketAddr, timeouts: Timeouts) -> Self {
        Self { addr, timeouts }
    }

    /// Starts a chat completion of a version and waits for the head of the response.
    ///
    /// `request` is the body of the caller's request; its `model` is replaced.
    ///
    /// # Errors
    /// [`UpstreamError`] if there is no response or its status is not a success.
    pub async fn chat(
        &self,
        version: &VersionRef,
        mut request: Map<String, Value>,
    ) -> Result<Completion, UpstreamError> {
        request.insert("model".to_owned(), version.to_string().into());
        let request = post("/v1/chat/completions", &Value::Object(request));
        let response = send(self.addr, self.timeouts, &request).await?;
        let response = response.error_for_status().await?;
        let content_type = response.headers.get(CONTENT_TYPE);
        let streamed = content_type
            .is_some_and(|content_type| content_type.as_bytes().starts_with(EVENT_STREAM));
        Ok(Completion {
            status: response.status,
            headers: response.headers,
            body: response.body,
            counter: if streamed {
                UsageCounter::Streamed(StreamCounter::default())
            } else {
                UsageCounter::Whole(Vec::new())
            },
        })
    }

    /// Queries the engine's load.
    ///
    /// # Errors
    /// [`UpstreamError`] if there is no valid answer.
    pub async fn load(&self) -> Result<Load, UpstreamError> {
        let request = Request {
            method: Method::GET,
            target: "/load".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        let body = self.control_call(&request).await?;
        serde_json::from_slice(&body).map_err(|error| UpstreamError::Invalid(error.to_string()))
    }

    /// Sends a command with the fencing token of its sender.
    ///
    /// # Errors
    /// [`UpstreamError::Status`] with 409 if the engine checks fencing tokens and has received a higher one.
    pub async fn order(&self, fence: u64, order: &Value) -> Result<(), UpstreamError> {
        let request = post("/orders", &json!({"order": order, "fence": fence}));
        self.control_call(&request).await.map(|_answer| ())
    }

    async fn control_call(&self, request: &Request) -> Result<Bytes, UpstreamError> {
        let response = send(self.addr, self.timeouts, request).await?;
        let response = response.error_for_status().await?;
        response.body.collect(MAX_CONTROL_ANSWER_BYTES).await
    }
}

/// Creates a POST request with a JSON body.
pub(super) fn post(target: &str, body: &Value) -> Request {
    let json = HeaderValue::from_static("application/json");
    Request {
        method: Method::POST,
        target: target.to_owned(),
        headers: vec![(CONTENT_TYPE, json)],
        body: Bytes::from(body.to_string()),
    }
}

/// A chat completion in progress; dropping it cancels the run by closing the connection.
#[derive(Debug)]
pub struct Completion {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    body: Body,
    counter: UsageCounter,
}

impl Completion {
    /// Waits for the next bytes of the body; `None` means that the answer is complete.
    ///
    /// The bytes are returned as the engine sent them.
    ///
    /// # Errors
    /// [`UpstreamError`] if the answer is cut off, silent for too long, invalid, or a stream without its
    /// final event.
    pub async fn next(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        match self.body.next().await? {
            Some(bytes) => {
                self.counter.count(&bytes)?;
                Ok(Some(bytes))
            }
            None if self.counter.is_complete() => Ok(None),
            None => Err(UpstreamError::Crashed("stream has no end event".to_owned())),
        }
    }

    /// Returns the usage so far; final once [`Completion::next`] has returned `None`.
    #[must_use]
    pub fn usage(&self) -> Usage {
        match &self.counter {
            UsageCounter::Whole(body) => {
                let chunk: Chunk = serde_json::from_slice(body).unwrap_or_default();
                let usage = chunk.usage.and_then(|report| report.usage());
                usage.unwrap_or_default()
            }
            UsageCounter::Streamed(counter) => counter.usage(),
        }
    }
}

#[derive(Debug)]
enum UsageCounter {
    /// The body so far.
    Whole(Vec<u8>),
    Streamed(StreamCounter),
}

impl UsageCounter {
    fn count(&mut self, bytes: &[u8]) -> Result<(), UpstreamError> {
        match self {
            Self::Whole(body) if body.len() + bytes.len() > MAX_ANSWER_BYTES => {
                let why = format!("answer is over {MAX_ANSWER_BYTES} bytes");
                Err(UpstreamError::Invalid(why))
            }
            Self::Whole(body) => {
                body.extend_from_slice(bytes);
                Ok(())
            }
            Self::Streamed(counter) => counter.feed(bytes),
        }
    }

    const fn is_complete(&self) -> bool {
        match self {
            // The length of the body was declared and verified.
            Self::Whole(_) => true,
            Self::Streamed(counter) => counter.done,
        }
    }
}

/// Counts the tokens of a stream as its bytes pass.
#[derive(Debug, Default)]
struct StreamCounter {
    parser: Parser,
    chunks: u64,
    reported: Option<Usage>,
    done: bool,
}

impl StreamCounter {
    fn feed(&mut self, bytes: &[u8]) -> Result<(), UpstreamError> {
        let events = self.parser.feed(bytes).map_err(|sse::TooLarge| {
            UpstreamError::Invalid(format!("event is over {} bytes", sse::MAX_EVENT_BYTES))
        })?;
        for event in events {
            self.take(&event.data);
        }
        Ok(())
    }

    fn take(&mut self, data: &str) {
        if data == DONE {
            self.done = true;
            return;
        }
        // An event of another format is an extension of the engine and carries no tokens.
        let chunk: Chunk = serde_json::from_str(data).unwrap_or_default();
        let outputs = chunk.choices.iter().filter(|choice| choice.has_output());
        self.chunks += outputs.map(|_| 1).sum::<u64>();
        let reported = chunk.usage.and_then(|report| report.usage());
        self.reported = reported.or(self.reported);
    }

    fn usage(&self) -> Usage {
        self.reported.unwrap_or(Usage {
            prompt: None,
            completion: Tokens(self.chunks),
        })
    }
}
