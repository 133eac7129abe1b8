//! Sinks for an answer: one streams it to the caller as it arrives, the other buffers it in memory.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use actix_http::header::HeaderName;
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::super::api::SESSION_HEADER;
use super::super::attempt::Sink;
use super::job::{FirstByteTimer, Job};
use crate::http::{Outgoing, error_body};
use crate::ids::VersionRef;
use crate::peer::Head;
use crate::refusal::Refusal;

/// Maximum number of chunks queued for a slow caller; reads from the agent pause while the queue is full.
const MAX_QUEUED_CHUNKS: usize = 4;

/// Content type of a streamed chat completion.
const EVENT_STREAM: &str = "text/event-stream";

/// Sends the response to the caller, at most once.
#[derive(Debug, Clone)]
pub(in super::super) struct ResponseSender(Rc<RefCell<Option<oneshot::Sender<Outgoing>>>>);

impl ResponseSender {
    pub fn new(tx: oneshot::Sender<Outgoing>) -> Self {
        Self(Rc::new(RefCell::new(Some(tx))))
    }

    /// Sends the response; later ones are dropped.
    pub fn send(&self, outgoing: Outgoing) {
        if let Some(tx) = self.0.borrow_mut().take() {
            // The caller may have disconnected.
            let _ = tx.send(outgoing);
        }
    }

    /// Returns whether the caller disconnected before a response was sent.
    pub fn is_abandoned(&self) -> bool {
        self.0
            .borrow()
            .as_ref()
            .is_some_and(oneshot::Sender::is_closed)
    }
}

/// Headers that a gateway adds to a response.
#[derive(Debug, Clone)]
pub(super) struct ResponseHeaders {
    pub request: String,
    pub version: Option<String>,
    pub session: Option<String>,
}

impl ResponseHeaders {
    pub fn add_to(&self, mut outgoing: Outgoing) -> Outgoing {
        let named = [
            ("fireflywind-request", Some(&self.request)),
            ("fireflywind-version", self.version.as_ref()),
            (SESSION_HEADER, self.session.as_ref()),
        ];
        for (name, value) in named {
            if let Some(value) = value {
                outgoing = outgoing.with_header(HeaderName::from_static(name), value);
            }
        }
        outgoing
    }
}

/// Streams an answer to the caller as it arrives.
#[derive(Debug)]
pub(super) struct StreamSink {
    response: ResponseSender,
    response_headers: ResponseHeaders,
    tx: Option<mpsc::Sender<io::Result<Bytes>>>,
    is_event_stream: bool,
    /// Taken when the first bytes are sent.
    first_byte_timer: Option<FirstByteTimer>,
}

impl StreamSink {
    pub fn new(response: ResponseSender, job: &Job, version: Option<&VersionRef>) -> Self {
        Self {
            response,
            response_headers: job.response_headers(version),
            tx: None,
            is_event_stream: false,
            first_byte_timer: Some(job.first_byte_timer()),
        }
    }
}

/// A sink that handles an attempt that fails before the answer is complete.
pub(super) trait RestartableSink: Sink {
    /// Discards what has arrived; returns `false` if the response to the caller has already started.
    fn restart(&mut self) -> bool;
    /// Notifies the caller that the answer is incomplete.
    async fn cut_off(&mut self, refusal: &Refusal);
}

impl Sink for StreamSink {
    fn head(&mut self, head: &Head) {
        if self.tx.is_some() {
            return;
        }
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
        self.tx = Some(tx);
        self.is_event_stream = head.content_type.starts_with(EVENT_STREAM);
        let body = stream::unfold(rx, async |mut rx| rx.recv().await.map(|item| (item, rx)));
        let outgoing = Outgoing::stream(head.status, &head.content_type, body);
        self.response.send(self.response_headers.add_to(outgoing));
    }

    async fn bytes(&mut self, bytes: Bytes) -> bool {
        let Some(tx) = &self.tx else {
            return false;
        };
        if let Some(first_byte_timer) = self.first_byte_timer.take() {
            first_byte_timer.record();
        }
        tx.send(Ok(bytes)).await.is_ok()
    }
}

impl RestartableSink for StreamSink {
    fn restart(&mut self) -> bool {
        // Once the status has been sent, it cannot be changed, and another attempt could return a different one.
        self.tx.is_none()
    }

    async fn cut_off(&mut self, refusal: &Refusal) {
        let Some(tx) = &self.tx else {
            return;
        };
        if self.is_event_stream {
            let event = format!("data: {}\n\n", Value::to_string(&error_body(refusal)));
            // The caller may have disconnected.
            let _ = tx.send(Ok(event.into())).await;
        }
        // An error closes the connection, so that the caller does not take the partial answer for a complete one.
        let _ = tx.send(Err(io::Error::other(refusal.code.as_str()))).await;
    }
}

/// Buffers an answer in memory.
#[derive(Debug)]
pub(super) struct BufferSink {
    response: ResponseSender,
    pub head: Head,
    pub body: BytesMut,
}

impl BufferSink {
    pub fn new(response: ResponseSender) -> Self {
        Self {
            response,
            head: Head::default(),
            body: BytesMut::new(),
        }
    }
}

impl Sink for BufferSink {
    fn head(&mut self, head: &Head) {
        self.head = head.clone();
    }

    async fn bytes(&mut self, bytes: Bytes) -> bool {
        self.body.extend_from_slice(&bytes);
        !self.response.is_abandoned()
    }
}

impl RestartableSink for BufferSink {
    fn restart(&mut self) -> bool {
        self.head = Head::default();
        self.body.clear();
        true
    }

    async fn cut_off(&mut self, _refusal: &Refusal) {}
}
