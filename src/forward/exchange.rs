//! HTTP/1.1 exchanges with an upstream: connect, send, and read the answer.

use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;

use crate::platform::{headers, report};
use crate::units::Millis;

use super::body::Decoder;
use super::head::{self, Framing, ResponseHead};
use super::memory::{Memory, MemoryFull, Share};
use super::pool::Conn;
use super::upload::Upload;

/// Maximum size of one read.
const READ_SIZE_BYTES: usize = 16 * 1024;

/// Largest answer body that is buffered before it is forwarded.
const MAX_BUFFERED_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of a response head together with the interim heads before it.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Maximum size of an engine's load report.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Answers to other requests that are skipped before the connection is abandoned.
const MAX_STRAY_ANSWERS: usize = 2;

/// Why an exchange failed.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection broke.
    Broken(io::Error),
    /// The upstream closed the connection before the end of its answer.
    Closed,
    /// The bytes were not a valid answer to this request; the text names the fault.
    Invalid(&'static str),
    /// The answer is longer than accepted, by itself or with all others; the text says which.
    TooLong(&'static str),
}

impl ExchangeError {
    /// Returns the text for logs.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Broken(_) => "broken",
            Self::Closed => "closed",
            Self::Invalid(what) | Self::TooLong(what) => what,
        }
    }
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> Self {
        if error.kind() == io::ErrorKind::OutOfMemory {
            MemoryFull.into()
        } else {
            Self::Broken(error)
        }
    }
}

impl From<MemoryFull> for ExchangeError {
    fn from(_error: MemoryFull) -> Self {
        Self::TooLong("answers too large together")
    }
}

/// Opens a connection; what is read from it is held in `memory`.
///
/// # Errors
/// If the upstream cannot be reached or the socket's options cannot be set.
pub async fn connect(addr: SocketAddr, memory: &Rc<Memory>) -> io::Result<Conn> {
    Conn::new(TcpStream::connect(addr).await?, memory.share())
}

/// Sends a request.
///
/// # Errors
/// If the connection breaks.
pub async fn send(conn: &mut Conn, mut message: &[u8]) -> io::Result<()> {
    while !message.is_empty() {
        conn.stream.writable().await?;
        match conn.stream.try_write(message) {
            Ok(length) => message = &message[length..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Sends a request beside the reading of its answer.
pub fn start_sending(conn: &mut Conn, head: BytesMut, body: Bytes) {
    conn.upload = Upload::spawn(&conn.stream, [head.freeze(), body]);
}

/// Reads once into the connection's buffer; returns `false` at the end of the connection.
///
/// # Errors
/// If the connection breaks, or what was read does not fit into the memory.
pub async fn read_more(conn: &mut Conn) -> io::Result<bool> {
    loop {
        conn.stream.readable().await?;
        conn.buf.reserve(READ_SIZE_BYTES);
        match conn.stream.try_read_buf(&mut conn.buf) {
            Ok(length) => {
                conn.received += length;
                conn.share.set(conn.buf.len())?;
                return Ok(length > 0);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Reads the head of the answer to the request `id`; extra answers to earlier requests are skipped.
///
/// # Errors
/// If the connection ends, or the bytes are not an answer to the request.
pub async fn read_head(
    conn: &mut Conn,
    id: &[u8],
    is_head_request: bool,
) -> Result<ResponseHead, ExchangeError> {
    for _ in 0..=MAX_STRAY_ANSWERS {
        let head = read_response_head(conn, is_head_request).await?;
        let echoed = head.fields.get(headers::REQUEST_ID);
        let is_success = (200..300).contains(&head.status);
        match echoed {
            Some(echoed) if echoed == id => return check_signature(head),
            // Only successful answers must carry the id. On a connection that was used before, a failure without it may
            // be a late second answer to an earlier request.
            None if !(is_success || conn.is_reused) || id.is_empty() => return Ok(head),
            _ if head.framing == Framing::UntilClose => break,
            _ => discard_body(conn, &head).await?,
        }
    }
    Err(ExchangeError::Invalid("answer to another request"))
}

fn check_signature(head: ResponseHead) -> Result<ResponseHead, ExchangeError> {
    let is_success = (200..300).contains(&head.status);
    if is_success && head.fields.get(headers::SIGNATURE).is_none() {
        return Err(ExchangeError::Invalid("success without a signature"));
    }
    Ok(head)
}

/// Reads the next final head; interim ones are skipped.
///
/// # Errors
/// If the connection ends, or the bytes are not a valid head.
pub async fn read_response_head(
    conn: &mut Conn,
    is_head_request: bool,
) -> Result<ResponseHead, ExchangeError> {
    let start = conn.received - conn.buf.len();
    loop {
        match head::take_response(&mut conn.buf, is_head_request) {
            Ok(Some(head)) => {
                conn.is_answered_early = !conn.upload.is_sent();
                return Ok(head);
            }
            Ok(None) if conn.received - start > MAX_RESPONSE_HEAD_BYTES => {
                return Err(ExchangeError::Invalid("response head too large"));
            }
            Ok(None) => {}
            Err(error) => return Err(ExchangeError::Invalid(error.name())),
        }
        if !read_more(conn).await? {
            return Err(ExchangeError::Closed);
        }
    }
}

/// A body that is buffered to its end before it is used.
#[derive(Debug)]
pub struct BufferedBody {
    decoder: Decoder,
    bytes: BytesMut,
    share: Share,
    max: usize,
    /// Bytes received on the connection before the body.
    start: usize,
}

impl BufferedBody {
    /// Starts reading the body that follows `head`, of at most `max` bytes.
    #[must_use]
    pub fn new(conn: &Conn, head: &ResponseHead, max: usize) -> Self {
        Self {
            decoder: Decoder::new(head.framing),
            bytes: BytesMut::new(),
            share: conn.share.memory().share(),
            max,
            start: conn.received - conn.buf.len(),
        }
    }

    /// Decodes what has arrived; returns the body if it is complete.
    ///
    /// # Errors
    /// If the body is not valid, too long or does not fit into the memory.
    pub fn decode_available(&mut self, conn: &mut Conn) -> Result<Option<HeldBody>, ExchangeError> {
        (self.decoder.decode(&mut conn.buf, &mut self.bytes))
            .map_err(|_chunk| ExchangeError::Invalid("invalid chunk"))?;
        conn.share.shrink(conn.buf.len());
        self.share.set(self.bytes.capacity())?;
        if self.decoder.is_done() {
            return Ok(Some(self.take()));
        }
        // Chunk framing may take at most as many bytes as the body.
        let received = conn.received - self.start;
        if self.bytes.len() > self.max || received > 2 * self.max {
            return Err(ExchangeError::TooLong("answer too large"));
        }
        Ok(None)
    }

    /// Returns the body at the end of the connection.
    ///
    /// # Errors
    /// If the body was cut off.
    pub fn finish(mut self, conn: &Conn) -> Result<HeldBody, ExchangeError> {
        if self.decoder.ends_with_close() && conn.has_ended_cleanly() {
            Ok(self.take())
        } else {
            Err(ExchangeError::Closed)
        }
    }

    fn take(&mut self) -> HeldBody {
        let empty = self.share.memory().share();
        HeldBody {
            bytes: self.bytes.split().freeze(),
            _share: std::mem::replace(&mut self.share, empty),
        }
    }
}

/// A whole body, with its share of the memory until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    _share: Share,
}

impl Deref for HeldBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the whole body of an answer.
///
/// # Errors
/// If the body is cut off, not valid, too long or does not fit into the memory.
pub async fn read_whole_body(
    conn: &mut Conn,
    head: &ResponseHead,
) -> Result<HeldBody, ExchangeError> {
    read_body_up_to(MAX_BUFFERED_ANSWER_BYTES, conn, head).await
}

async fn read_body_up_to(
    max: usize,
    conn: &mut Conn,
    head: &ResponseHead,
) -> Result<HeldBody, ExchangeError> {
    let mut body = BufferedBody::new(conn, head, max);
    loop {
        if let Some(whole) = body.decode_available(conn)? {
            return Ok(whole);
        }
        if !read_more(conn).await? {
            return body.finish(conn);
        }
    }
}

/// Reads and discards the body of an answer to another request.
async fn discard_body(conn: &mut Conn, head: &ResponseHead) -> Result<(), ExchangeError> {
    let mut body = BufferedBody::new(conn, head, MAX_BUFFERED_ANSWER_BYTES);
    while body.decode_available(conn)?.is_none() {
        body.bytes.clear();
        if !read_more(conn).await? {
            return Err(ExchangeError::Closed);
        }
    }
    Ok(())
}

/// Load report of an engine.
#[derive(Debug)]
pub struct FetchedReport {
    /// The load.
    pub load: report::EngineLoad,
    /// Whether the engine says that it leaves.
    pub is_leaving: bool,
    /// How long the engine says that it stays cold.
    pub cold_left: Millis,
    /// Whether the connection can be used again.
    pub is_reusable: bool,
}

/// Requests the load report of an engine.
pub async fn fetch_report(
    conn: &mut Conn,
    addr: SocketAddr,
    keep_alive: bool,
) -> Option<FetchedReport> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let target = report::REPORT_TARGET;
    let message =
        format!("GET {target} HTTP/1.1\r\nHost: {addr}\r\nConnection: {connection}\r\n\r\n");
    send(conn, message.as_bytes()).await.ok()?;
    let head = read_response_head(conn, false).await.ok()?;
    let body = read_body_up_to(MAX_REPORT_BYTES, conn, &head).await.ok()?;
    let load = report::decode(&body).filter(|_| head.status == 200)?;
    Some(FetchedReport {
        load,
        is_leaving: head.is_of_leaving_upstream(),
        cold_left: Millis(head.fields.number(headers::UPSTREAM_COLD_MS).unwrap_or(0)),
        is_reusable: head.keep_alive && conn.buf.is_empty(),
    })
}
