//! Sends an HTTP/1.1 request on a new connection and reads the response.
//!
//! `awc` is not used here for two reasons. It ends a chunked or sized body without an error when the
//! connection is cut between two chunks, so that a truncated response looks complete. And a connection from
//! its pool may be closing, so that a request that never ran looks like a crash.

use std::net::SocketAddr;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{
    CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE,
};
use actix_http::{
    ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Version,
};
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder as _, Encoder as _};

use super::{Timeouts, UpstreamError};
use crate::units::Millis;

/// Size of one read from the socket, which bounds the size of a body chunk.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Interim heads that are skipped before an answer; upstreams send one or two.
const MAX_INTERIM_HEADS: usize = 16;
/// Maximum size of the body that an error keeps, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 16 << 10;

/// A request to an upstream.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path with the query.
    pub target: String,
    /// The headers, without those of the connection.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
}

/// A response whose body is still being received.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

impl Response {
    /// Returns the response if its status is a success, and otherwise an error with the start of the body.
    ///
    /// # Errors
    /// [`UpstreamError::Status`] for a status that is not a success.
    pub async fn error_for_status(mut self) -> Result<Self, UpstreamError> {
        if self.status.is_success() {
            return Ok(self);
        }
        let mut body = BytesMut::new();
        while let Ok(Some(chunk)) = self.body.next().await {
            let room = MAX_ERROR_BODY_BYTES - body.len();
            body.extend_from_slice(&chunk[..chunk.len().min(room)]);
            if body.len() == MAX_ERROR_BODY_BYTES {
                break;
            }
        }
        Err(UpstreamError::Status {
            status: self.status.as_u16(),
            body: body.freeze(),
        })
    }
}

/// The bytes of a response's body; dropping it closes the connection.
#[derive(Debug)]
pub struct Body {
    connection: Connection,
    /// `None` once the body has ended.
    codec: Option<PayloadCodec>,
}

/// The codec of the HTTP library, with an implementation of `Debug`.
struct PayloadCodec(ClientPayloadCodec);

impl std::fmt::Debug for PayloadCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PayloadCodec")
    }
}

impl Body {
    /// Waits for the next bytes; `None` means that the body is complete.
    ///
    /// This method is cancel safe: dropping the future loses no bytes.
    ///
    /// # Errors
    /// [`UpstreamError`] if the body is cut off, silent for too long or invalid.
    pub async fn next(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        loop {
            let Some(codec) = &mut self.codec else {
                return Ok(None);
            };
            let item = codec.0.decode(&mut self.connection.buf);
            match item.map_err(|error| UpstreamError::Invalid(error.to_string()))? {
                Some(Some(chunk)) => return Ok(Some(chunk)),
                Some(None) => self.codec = None,
                None => with_timeout(self.connection.timeouts.idle, self.connection.fill()).await?,
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    /// [`UpstreamError::Invalid`] if it is longer than `limit`; others as [`Body::next`].
    pub async fn collect(mut self, limit: usize) -> Result<Bytes, UpstreamError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next().await? {
            if body.len() + chunk.len() > limit {
                let why = format!("body is over {limit} bytes");
                return Err(UpstreamError::Invalid(why));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// A connection, and the bytes that were read from it but not decoded yet.
#[derive(Debug)]
struct Connection {
    io: TcpStream,
    buf: BytesMut,
    timeouts: Timeouts,
}

async fn with_timeout<T>(
    limit: Millis,
    call: impl Future<Output = Result<T, UpstreamError>>,
) -> Result<T, UpstreamError> {
    match timeout(limit.duration(), call).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => Err(UpstreamError::Silent(format!("no answer within {limit}"))),
    }
}

fn crashed(error: &std::io::Error) -> UpstreamError {
    UpstreamError::Crashed(error.to_string())
}

impl Connection {
    /// Reads more bytes; the end of the connection is an error, since the caller needs more bytes.
    async fn fill(&mut self) -> Result<(), UpstreamError> {
        match self.read().await.map_err(|error| crashed(&error))? {
            0 => Err(UpstreamError::Crashed("answer is incomplete".to_owned())),
            _ => Ok(()),
        }
    }

    async fn read(&mut self) -> std::io::Result<usize> {
        loop {
            self.io.readable().await?;
            match self.try_read() {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                outcome => return outcome,
            }
        }
    }

    fn try_read(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; READ_BUFFER_BYTES];
        let count = self.io.try_read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    async fn write(&self, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() {
            self.io.writable().await?;
            match self.io.try_write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

fn request_head(addr: SocketAddr, request: &Request) -> Result<RequestHead, UpstreamError> {
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = request
        .target
        .parse()
        .map_err(|error| UpstreamError::NotSent(format!("target {:?}: {error}", request.target)))?;
    let host = HeaderValue::from_str(&addr.to_string())
        .map_err(|error| UpstreamError::NotSent(error.to_string()))?;
    head.headers.insert(HOST, host);
    for (name, value) in &request.headers {
        head.headers.append(name.clone(), value.clone());
    }
    head.set_connection_type(ConnectionType::Close);
    Ok(head)
}

fn encode(
    codec: &mut ClientCodec,
    head: RequestHead,
    body: &Bytes,
) -> Result<BytesMut, UpstreamError> {
    let mut out = BytesMut::new();
    let size = match body.len() {
        0 => BodySize::None,
        len => BodySize::Sized(len as u64),
    };
    let message = Message::Item((RequestHeadType::from(head), size));
    codec
        .encode(message, &mut out)
        .and_then(|()| codec.encode(Message::Chunk(Some(body.clone())), &mut out))
        .map_err(|error| UpstreamError::NotSent(error.to_string()))?;
    Ok(out)
}

async fn connect(addr: SocketAddr, timeouts: Timeouts) -> Result<TcpStream, UpstreamError> {
    let connect = timeout(timeouts.connect.duration(), TcpStream::connect(addr)).await;
    let io = connect
        .map_err(|_elapsed| UpstreamError::NotSent(format!("connecting to {addr} timed out")))?
        .map_err(|error| UpstreamError::NotSent(format!("connecting to {addr} failed: {error}")))?;
    // Otherwise, small requests wait for the acknowledgement of earlier segments.
    io.set_nodelay(true).map_err(|error| crashed(&error))?;
    Ok(io)
}

async fn read_head(
    connection: &mut Connection,
    codec: &mut ClientCodec,
) -> Result<ResponseHead, UpstreamError> {
    let mut interim = 0;
    loop {
        let head = codec.decode(&mut connection.buf);
        match head.map_err(|error| UpstreamError::Invalid(error.to_string()))? {
            Some(head) => match head.status.as_u16() {
                100 | 102..200 if interim < MAX_INTERIM_HEADS && !has_body(codec) => interim += 1,
                200..600 => return Ok(head),
                status => {
                    let why = format!("status {status}, wanted 200 to 599");
                    return Err(UpstreamError::Invalid(why));
                }
            },
            None => connection.fill().await?,
        }
    }
}

/// Returns whether the last head that was decoded has a body.
fn has_body(codec: &ClientCodec) -> bool {
    !matches!(codec.message_type(), MessageType::None)
}

/// Returns whether an answer has no body, whatever its header fields say.
fn is_bodiless(method: &Method, head: &ResponseHead) -> bool {
    let has_none = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    has_none || *method == Method::HEAD
}

/// Checks that the end of the body can be found in exactly one way, and without the end of the connection.
fn check_framing(method: &Method, head: &ResponseHead) -> Result<(), UpstreamError> {
    let coding = head.headers.get(TRANSFER_ENCODING);
    let is_chunked = |coding: &HeaderValue| {
        let coding = coding.as_bytes().trim_ascii();
        head.version == Version::HTTP_11 && coding.eq_ignore_ascii_case(b"chunked")
    };
    let why = match (coding, head.headers.contains_key(CONTENT_LENGTH)) {
        (Some(_), true) => "the length of the body is declared twice",
        (Some(coding), false) if !is_chunked(coding) => "the transfer coding is not supported",
        // The codec reads the body of an upgraded connection up to its end.
        _ if head.headers.contains_key(UPGRADE) => "an upgrade was not asked for",
        (None, false) if !is_bodiless(method, head) => {
            "the length of the body is not declared, so its end cannot be verified"
        }
        _ => return Ok(()),
    };
    Err(UpstreamError::Invalid(why.to_owned()))
}

/// Sends a request on a new connection and waits for the head of the response.
///
/// # Errors
/// [`UpstreamError`] if there is no response; its status is not checked.
pub async fn send(
    addr: SocketAddr,
    timeouts: Timeouts,
    request: &Request,
) -> Result<Response, UpstreamError> {
    let mut codec = ClientCodec::default();
    let out = encode(&mut codec, request_head(addr, request)?, &request.body)?;
    let mut connection = Connection {
        io: connect(addr, timeouts).await?,
        buf: BytesMut::new(),
        timeouts,
    };
    let head = with_timeout(timeouts.first_byte, async {
        connection
            .write(&out)
            .await
            .map_err(|error| crashed(&error))?;
        read_head(&mut connection, &mut codec).await
    });
    let head = head.await?;
    check_framing(&request.method, &head)?;
    let has_body = has_body(&codec) && !is_bodiless(&request.method, &head);
    let codec = has_body.then(|| PayloadCodec(codec.into_payload_codec()));
    Ok(Response {
        status: head.status,
        headers: head.headers.clone(),
        body: Body { connection, codec },
    })
}
