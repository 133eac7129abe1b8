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
use super::job::{FirstByte, Job};
use crate::http::{Outgoing, error_body};
use crate::ids::VersionRef;
use crate::peer::Head;
use crate::refusal::Refusal;

/// Maximum number of chunks queued for a slow caller; reads from the agent pause while the queue is full.
const WAITING_CHUNKS: usize = 4;

/// Content type of a streamed chat completion.
const EVENT_STREAM: &str = "text/event-stream";

/// Sends the response to the caller, at most once.
#[derive(Debug, Clone)]
pub(in super::super) struct Reply(Rc<RefCell<Option<oneshot::Sender<Outgoing>>>>);

impl Reply {
    pub fn new(tx: oneshot::Sender<Outgoing>) -> Self {
        Self(Rc::new(RefCell::new(Some(tx))))
    }

    /// Sends the response; later ones are dropped.
    pub fn give(&self, outgoing: Outgoing) {
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
pub(super) struct Labels {
    pub request: String,
    pub version: Option<String>,
    pub session: Option<String>,
}

impl Labels {
    pub fn put(&self, mut outgoing: Outgoing) -> Outgoing {
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
pub(super) struct Stream {
    reply: Reply,
    labels: Labels,
    tx: Option<mpsc::Sender<io::Result<Bytes>>>,
    is_events: bool,
    /// Taken when the first bytes are sent.
    first_byte: Option<FirstByte>,
}

impl Stream {
    pub fn new(reply: Reply, job: &Job, version: Option<&VersionRef>) -> Self {
        Self {
            reply,
            labels: job.labels(version),
            tx: None,
            is_events: false,
            first_byte: Some(job.first_byte()),
        }
    }
}

/// A sink that handles an attempt that fails before the answer is complete.
pub(super) trait Restart: Sink {
    /// Discards what has arrived; returns `false` if the response to the caller has already started.
    fn restart(&mut self) -> bool;
    /// Tells the caller that the answer is incomplete.
    async fn cut_off(&mut self, refusal: &Refusal);
}

impl Sink for Stream {
    fn head(&mut self, head: &Head) {
        if self.tx.is_some() {
            return;
        }
        let (tx, rx) = mpsc::channel(WAITING_CHUNKS);
        self.tx = Some(tx);
        self.is_events = head.content_type.starts_with(EVENT_STREAM);
        let body = stream::unfold(rx, async |mut rx| rx.recv().await.map(|item| (item, rx)));
        let outgoing = Outgoing::stream(head.status, &head.content_type, body);
        self.reply.give(self.labels.put(outgoing));
    }

    async fn bytes(&mut self, bytes: Bytes) -> bool {
        let Some(tx) = &self.tx else {
            return false;
        };
        if let Some(first_byte) = self.first_byte.take() {
            first_byte.note();
        }
        tx.send(Ok(bytes)).await.is_ok()
    }
}

impl Restart for Stream {
    fn restart(&mut self) -> bool {
        // Once the status has been sent, it cannot be changed, and another attempt could return a different one.
        self.tx.is_none()
    }

    async fn cut_off(&mut self, refusal: &Refusal) {
        let Some(tx) = &self.tx else {
            return;
        };
        if self.is_events {
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
pub(super) struct Buffer {
    reply: Reply,
    pub head: Head,
    pub body: BytesMut,
}

impl Buffer {
    pub fn new(reply: Reply) -> Self {
        Self {
            reply,
            head: Head::default(),
            body: BytesMut::new(),
        }
    }
}

impl Sink for Buffer {
    fn head(&mut self, head: &Head) {
        self.head = head.clone();
    }

    async fn bytes(&mut self, bytes: Bytes) -> bool {
        self.body.extend_from_slice(&bytes);
        !self.reply.is_abandoned()
    }
}

impl Restart for Buffer {
    fn restart(&mut self) -> bool {
        self.head = Head::default();
        self.body.clear();
        true
    }

    async fn cut_off(&mut self, _refusal: &Refusal) {}
}
