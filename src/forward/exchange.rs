//! One exchange with an upstream: connect, send, read the head of the answer.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::platform::{headers, report};

use super::body::Decoder;
use super::head::{self, Framing, ResponseHead};
use super::pool::Conn;

/// Bytes that one read takes at most.
const READ_SIZE: usize = 16 * 1024;

/// Largest answer that is held whole before it is passed on, in bytes.
const MAX_WHOLE: usize = 4 * 1024 * 1024;

/// Bytes that all answers that are held whole may take; a fifth of the memory of a small gateway.
const MAX_HELD: usize = 32 * 1024 * 1024;

/// Largest head of a response with the interim ones before it, in bytes.
const MAX_RESPONSE_HEAD: usize = 64 * 1024;

/// Largest report of an engine, in bytes.
const MAX_REPORT: usize = 256 * 1024;

/// Answers to other requests that are read over before the connection is given up.
const MAX_STRAY: usize = 2;

/// Why an exchange gave no answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection broke.
    Broken(io::Error),
    /// The upstream closed it.
    Closed,
    /// The bytes were no answer, or one to another request.
    Garbled(&'static str),
}

impl ExchangeError {
    /// Name in logs.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Broken(_) => "broken",
            Self::Closed => "closed",
            Self::Garbled(what) => what,
        }
    }
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> Self {
        Self::Broken(error)
    }
}

/// Opens a connection.
///
/// # Errors
/// If it is refused.
pub async fn connect(addr: SocketAddr) -> io::Result<Conn> {
    Conn::new(TcpStream::connect(addr).await?)
}

/// Sends a request.
///
/// # Errors
/// If the connection breaks.
pub async fn send(conn: &mut Conn, message: &[u8]) -> io::Result<()> {
    conn.stream.write_all(message).await
}

/// Reads once; `false` at the end of the connection.
///
/// # Errors
/// If the connection breaks.
pub async fn read_more(conn: &mut Conn) -> io::Result<bool> {
    loop {
        conn.stream.readable().await?;
        conn.buf.reserve(READ_SIZE);
        match conn.stream.try_read_buf(&mut conn.buf) {
            Ok(length) => {
                conn.received += length;
                return Ok(length > 0);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Reads the head of the answer to the request `id`; extra answers to earlier requests are read over.
///
/// # Errors
/// If the connection ends, or the bytes are no answer to the request.
pub async fn read_head(
    conn: &mut Conn,
    id: &[u8],
    to_head: bool,
) -> Result<ResponseHead, ExchangeError> {
    for _ in 0..=MAX_STRAY {
        let head = next_head(conn, to_head).await?;
        let echoed = head.fields.get(headers::REQUEST_ID);
        let is_success = (200..300).contains(&head.status);
        match echoed {
            Some(echoed) if echoed == id => return check_signature(head),
            // Refusals need not carry the id; a success must.
            None if !is_success || id.is_empty() => return Ok(head),
            _ if head.framing == Framing::UntilClose => break,
            _ => read_over(conn, &head).await?,
        }
    }
    Err(ExchangeError::Garbled("answer to another request"))
}

fn check_signature(head: ResponseHead) -> Result<ResponseHead, ExchangeError> {
    let is_success = (200..300).contains(&head.status);
    if is_success && head.fields.get(headers::SIGNATURE).is_none() {
        return Err(ExchangeError::Garbled("success without a signature"));
    }
    Ok(head)
}

/// Reads the next head; interim ones are read over.
///
/// # Errors
/// If the connection ends, or the bytes are no head.
pub async fn next_head(conn: &mut Conn, to_head: bool) -> Result<ResponseHead, ExchangeError> {
    let start = conn.received - conn.buf.len();
    loop {
        match head::take_response(&mut conn.buf, to_head) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) if conn.received - start > MAX_RESPONSE_HEAD => {
                return Err(ExchangeError::Garbled("endless head"));
            }
            Ok(None) => {}
            Err(error) => return Err(ExchangeError::Garbled(error.name())),
        }
        if !read_more(conn).await? {
            return Err(ExchangeError::Closed);
        }
    }
}

/// A body that is read to its end before it is used.
#[derive(Debug)]
pub struct WholeBody {
    decoder: Decoder,
    bytes: BytesMut,
    max: usize,
    /// Bytes of the connection before the body.
    start: usize,
}

impl WholeBody {
    /// Starts the body that follows a head, of at most `max` bytes.
    #[must_use]
    pub fn new(conn: &Conn, head: &ResponseHead, max: usize) -> Self {
        Self {
            decoder: Decoder::new(head.framing),
            bytes: BytesMut::new(),
            max,
            start: conn.received - conn.buf.len(),
        }
    }

    /// Takes what has arrived; the body, if that is all of it.
    ///
    /// # Errors
    /// If it is not valid or too long.
    pub fn take(&mut self, conn: &mut Conn) -> Result<Option<Bytes>, ExchangeError> {
        (self.decoder.decode(&mut conn.buf, &mut self.bytes))
            .map_err(|_chunk| ExchangeError::Garbled("invalid chunk"))?;
        if self.decoder.is_done() {
            return Ok(Some(self.bytes.split().freeze()));
        }
        // The framing of chunks takes as much as the body at most.
        let received = conn.received - self.start;
        if self.bytes.len() > self.max || received > 2 * self.max {
            return Err(ExchangeError::Garbled("answer too long"));
        }
        Ok(None)
    }

    /// Ends with the connection.
    ///
    /// # Errors
    /// If the body was cut off.
    pub fn end(self) -> Result<Bytes, ExchangeError> {
        if self.decoder.ends_with_close() {
            Ok(self.bytes.freeze())
        } else {
            Err(ExchangeError::Closed)
        }
    }
}

/// Bytes that one answer takes of what all answers may take.
struct Held<'a> {
    all: &'a Cell<usize>,
    own: usize,
}

impl Held<'_> {
    fn set(&mut self, own: usize) -> Result<(), ExchangeError> {
        self.all.update(|all| all - self.own + own);
        self.own = own;
        if self.all.get() > MAX_HELD {
            return Err(ExchangeError::Garbled("answers too long"));
        }
        Ok(())
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.all.update(|all| all - self.own);
    }
}

/// Reads the whole body of an answer; `all` counts the bytes of all answers that are being read.
///
/// # Errors
/// If it is cut off, not valid or too long.
pub async fn read_whole(
    conn: &mut Conn,
    head: &ResponseHead,
    all: &Cell<usize>,
) -> Result<Bytes, ExchangeError> {
    read_up_to(MAX_WHOLE, conn, head, all).await
}

async fn read_up_to(
    max: usize,
    conn: &mut Conn,
    head: &ResponseHead,
    all: &Cell<usize>,
) -> Result<Bytes, ExchangeError> {
    let mut body = WholeBody::new(conn, head, max);
    let mut share = Held { all, own: 0 };
    loop {
        if let Some(whole) = body.take(conn)? {
            return Ok(whole);
        }
        share.set(body.bytes.len())?;
        if !read_more(conn).await? {
            return body.end();
        }
    }
}

/// Reads over the body of an answer that nobody waits for.
async fn read_over(conn: &mut Conn, head: &ResponseHead) -> Result<(), ExchangeError> {
    let mut body = WholeBody::new(conn, head, MAX_WHOLE);
    while body.take(conn)?.is_none() {
        body.bytes.clear();
        if !read_more(conn).await? {
            return Err(ExchangeError::Closed);
        }
    }
    Ok(())
}

/// Asks an engine for its state; tells whether the connection can be kept.
pub async fn fetch_report(
    conn: &mut Conn,
    addr: SocketAddr,
    keeps: bool,
) -> Option<(report::EngineLoad, bool)> {
    let connection = if keeps { "keep-alive" } else { "close" };
    let target = report::TARGET;
    let message =
        format!("GET {target} HTTP/1.1\r\nHost: {addr}\r\nConnection: {connection}\r\n\r\n");
    send(conn, message.as_bytes()).await.ok()?;
    let head = next_head(conn, false).await.ok()?;
    let body = read_up_to(MAX_REPORT, conn, &head, &Cell::new(0))
        .await
        .ok()?;
    let load = report::decode(&body).filter(|_| head.status == 200)?;
    Some((load, head.keep_alive && conn.buf.is_empty()))
}
