//! One client connection: reads requests and serves them one after the other.

use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::router::table::ClientLimits;
use crate::units::Millis;

use super::body::Decoder;
use super::head::{self, Framing, HeadError, RequestHead};
use super::job::not_run;
use super::memory::{MemoryFull, Share};
use super::reply::LocalReply;
use super::request;
use super::shared::Shared;

/// Time for which a connection that has not carried a request stays open during a stop: its first request may be on
/// the way.
pub(super) const CLOSE_LINGER: Millis = Millis(150);

/// Maximum size of one read.
const READ_SIZE_BYTES: usize = 16 * 1024;

/// Maximum size of the pipelined requests that are buffered while one is served.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Shortest time after which a client may send a request again that did not fit into the memory, in milliseconds; up to
/// the same again is added at random.
const MEMORY_RETRY_AFTER_MS: u64 = 500;

/// Time for which what still arrives is discarded before the connection is closed.
const DRAIN_TIMEOUT: Millis = Millis(300);

/// The same if the request is refused, so that a client that is still sending gets the answer.
const REFUSED_DRAIN_TIMEOUT: Millis = Millis(2_000);

/// Time limit for a client to read what was written to it.
const WRITE_TIMEOUT: Millis = Millis::from_secs(10);

/// Time limit for a body to arrive; clients time out earlier.
const BODY_TIMEOUT: Millis = Millis::from_secs(10);

/// Whether the connection may carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAnswer {
    /// Another request may follow.
    KeepAlive,
    /// The connection is closed.
    Close,
}

impl AfterAnswer {
    /// Returns what follows an answer, given whether it announced that the connection is closed.
    #[must_use]
    pub const fn from_close(closes: bool) -> Self {
        if closes { Self::Close } else { Self::KeepAlive }
    }
}

/// A request that was read completely.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Request line and header fields.
    pub head: RequestHead,
    /// Decoded body.
    pub body: Bytes,
    /// The body's share of the memory.
    _body_share: Share,
    /// Time on the runtime clock at which its first bytes had been read.
    pub arrived: Millis,
}

/// The connection of a client.
#[derive(Debug)]
pub struct ClientConn {
    stream: TcpStream,
    buf: BytesMut,
    /// Share of the memory for `buf`.
    share: Share,
}

enum ReadEnd {
    /// The connection ended or was idle for too long.
    Closed,
    /// The request is refused with this answer, and the connection is closed.
    Refuse(LocalReply),
    /// The request does not fit into the memory.
    MemoryFull,
}

impl From<MemoryFull> for ReadEnd {
    fn from(_error: MemoryFull) -> Self {
        Self::MemoryFull
    }
}

impl From<io::Error> for ReadEnd {
    fn from(error: io::Error) -> Self {
        if error.kind() == io::ErrorKind::OutOfMemory {
            Self::MemoryFull
        } else {
            Self::Closed
        }
    }
}

impl From<HeadError> for ReadEnd {
    fn from(error: HeadError) -> Self {
        let status = if error == HeadError::TooManyFields {
            431
        } else {
            400
        };
        Self::Refuse(LocalReply::new(status, error.name()))
    }
}

/// Serves a connection until it ends.
pub async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    shared.open_connections.update(|n| n + 1);
    let mut conn = ClientConn {
        stream,
        buf: BytesMut::new(),
        share: shared.request_memory.share(),
    };
    conn.run(&shared).await;
    shared.open_connections.update(|n| n - 1);
}

impl ClientConn {
    async fn run(&mut self, shared: &Rc<Shared>) {
        let mut is_new = true;
        loop {
            let idle_timeout = shared.table.borrow().limits.idle_timeout;
            if !self.wait_for_request(shared, idle_timeout, is_new).await {
                return;
            }
            is_new = false;
            // The configuration may have changed while the connection was idle.
            let limits = shared.table.borrow().limits;
            // A stop also waits for requests that are still being read.
            shared.in_flight.update(|n| n + 1);
            let after = self.serve_request(shared, &limits).await;
            shared.in_flight.update(|n| n - 1);
            match after {
                Ok(AfterAnswer::KeepAlive) => {}
                Ok(AfterAnswer::Close) => {
                    // Closing the socket with unread bytes would reset the connection before the answer is read.
                    self.drain(DRAIN_TIMEOUT).await;
                    return;
                }
                Err(ReadEnd::Closed) => return,
                Err(ReadEnd::Refuse(reply)) => {
                    self.refuse(shared, &reply).await;
                    return;
                }
                Err(ReadEnd::MemoryFull) => {
                    let spread = shared.draw() % MEMORY_RETRY_AFTER_MS;
                    let reply = not_run("memory", MEMORY_RETRY_AFTER_MS + spread);
                    self.refuse(shared, &reply).await;
                    return;
                }
            }
        }
    }

    async fn serve_request(
        &mut self,
        shared: &Rc<Shared>,
        limits: &ClientLimits,
    ) -> Result<AfterAnswer, ReadEnd> {
        let req = self.read_request(shared, limits).await?;
        Ok(request::serve(shared, self, req).await)
    }

    /// Waits for the first bytes of a request; returns `false` if the connection is to be closed. `is_new` is whether the
    /// connection has not carried a request. Late in a stop, only new ones wait: a request that is taken then may be cut
    /// off when the process ends.
    async fn wait_for_request(
        &mut self,
        shared: &Shared,
        idle_timeout: Millis,
        is_new: bool,
    ) -> bool {
        if !self.buf.is_empty() {
            return true;
        }
        // An idle connection keeps no buffer.
        self.buf = BytesMut::new();
        self.share.shrink(0);
        if shared.is_closing_idle.get() && !is_new {
            return false;
        }
        let is_closing = async {
            if !shared.is_closing_idle.get() {
                shared.close_idle.notified().await;
            }
            if is_new {
                actix_rt::time::sleep(CLOSE_LINGER.duration()).await;
            }
        };
        let idle = actix_rt::time::timeout(idle_timeout.duration(), self.read_more());
        tokio::select! {
            biased;
            idle = idle => match idle {
                Ok(Ok(is_open)) => is_open,
                // What has arrived is refused.
                Ok(Err(error)) => error.kind() == io::ErrorKind::OutOfMemory,
                Err(_elapsed) => false,
            },
            () = is_closing => false,
        }
    }

    async fn read_request(
        &mut self,
        shared: &Shared,
        limits: &ClientLimits,
    ) -> Result<IncomingRequest, ReadEnd> {
        let arrived = shared.clock.now();
        let head = actix_rt::time::timeout(limits.head_timeout.duration(), self.read_head(limits));
        let head = match head.await {
            Ok(head) => head?,
            Err(_elapsed) => return Err(ReadEnd::Refuse(LocalReply::new(408, "slow head"))),
        };
        let body = actix_rt::time::timeout(BODY_TIMEOUT.duration(), self.read_body(&head, limits));
        let body = tokio::select! {
            biased;
            body = body => body,
            () = shared.end_of_stop() => return Err(ReadEnd::Refuse(not_run("stopping", 0))),
        };
        self.share.shrink(self.buf.len());
        let (body, body_share) = match body {
            Ok(body) => body?,
            Err(_elapsed) => return Err(ReadEnd::Refuse(LocalReply::new(408, "slow body"))),
        };
        Ok(IncomingRequest {
            head,
            body,
            _body_share: body_share,
            arrived,
        })
    }

    async fn read_head(&mut self, limits: &ClientLimits) -> Result<RequestHead, ReadEnd> {
        loop {
            if let Some(head) = head::take_request(&mut self.buf)? {
                return Ok(head);
            }
            self.share.set(self.buf.len())?;
            if self.buf.len() > limits.head_bytes {
                return Err(ReadEnd::Refuse(LocalReply::new(431, "head too large")));
            }
            if !self.read_more().await? {
                return Err(ReadEnd::Closed);
            }
        }
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &ClientLimits,
    ) -> Result<(Bytes, Share), ReadEnd> {
        let too_large = || ReadEnd::Refuse(LocalReply::new(413, "body too large"));
        let mut share = self.share.memory().share();
        // A body of known length is refused before it is read, or has its memory until its request ends.
        let length = match head.framing {
            Framing::Length(0) => return Ok((Bytes::new(), share)),
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Framing::Chunked | Framing::UntilClose => 0,
        };
        if length > limits.body_bytes {
            return Err(too_large());
        }
        share.set(length)?;
        if head.fields.has_token("expect", "100-continue") && self.buf.is_empty() {
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let mut decoder = Decoder::new(head.framing);
        let mut body = BytesMut::with_capacity(length);
        loop {
            decoder
                .decode(&mut self.buf, &mut body)
                .map_err(|_chunk| ReadEnd::Refuse(LocalReply::new(400, "invalid chunk")))?;
            share.set(body.capacity())?;
            if body.len() > limits.body_bytes {
                return Err(too_large());
            }
            if decoder.is_done() {
                return Ok((body.freeze(), share));
            }
            if !self.read_more().await? {
                return Err(ReadEnd::Closed);
            }
        }
    }

    async fn read_more(&mut self) -> io::Result<bool> {
        loop {
            self.stream.readable().await?;
            self.buf.reserve(READ_SIZE_BYTES);
            match self.stream.try_read_buf(&mut self.buf) {
                Ok(length) => {
                    self.share.set(self.buf.len())?;
                    return Ok(length > 0);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Waits until the client has closed the connection; the bytes of pipelined requests are buffered.
    pub async fn closed(&mut self) {
        while self.buf.len() < MAX_PIPELINED_BYTES {
            match self.read_more().await {
                Ok(true) => {}
                // The rest is read when the request has ended.
                Err(error) if error.kind() == io::ErrorKind::OutOfMemory => break,
                Ok(false) | Err(_) => return,
            }
        }
        std::future::pending::<()>().await;
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// If the connection breaks, or the client does not read them in time.
    pub async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        match self.stream.try_write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        if bytes.is_empty() {
            return Ok(());
        }
        let rest = self.stream.write_all(bytes);
        match actix_rt::time::timeout(WRITE_TIMEOUT.duration(), rest).await {
            Ok(result) => result,
            Err(_elapsed) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    async fn refuse(&mut self, shared: &Shared, reply: &LocalReply) {
        shared.metrics.count_event("request_refused_unread");
        log::info!(event = "refused", status = reply.status, reason = reply.reason; "");
        let mut out = BytesMut::new();
        reply.write(&mut out, true, false);
        if self.write(&out).await.is_ok() {
            self.drain(REFUSED_DRAIN_TIMEOUT).await;
        }
    }

    /// Shuts down the writing side and discards what still arrives, for a short time.
    async fn drain(&mut self, limit: Millis) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let discard = async {
            loop {
                self.buf.clear();
                match self.read_more().await {
                    Ok(true) => {}
                    Err(error) if error.kind() == io::ErrorKind::OutOfMemory => {}
                    Ok(false) | Err(_) => return,
                }
            }
        };
        // After the time limit the socket is closed whether or not the client has closed it.
        let _ = actix_rt::time::timeout(limit.duration(), discard).await;
    }
}
