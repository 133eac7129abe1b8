//! Answers that the gateway produces itself, and heads of forwarded answers.

use bytes::{BufMut, BytesMut};

use super::head::{Fields, ResponseHead};

/// An answer that the gateway produces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalReply {
    /// Status code.
    pub status: u16,
    /// Machine-readable reason; sent to the client and logged.
    pub reason: &'static str,
    /// Time after which the client may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl LocalReply {
    /// Creates an answer without `Retry-After`.
    #[must_use]
    pub const fn new(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    /// Writes the head and, unless the request was `HEAD`, the body.
    pub fn write(&self, out: &mut BytesMut, closes: bool, is_head_request: bool) {
        let body = format!("{{\"error\":\"{}\"}}", self.reason);
        let reason_phrase = reason_phrase(self.status);
        out.put_slice(format!("HTTP/1.1 {} {reason_phrase}\r\n", self.status).as_bytes());
        out.put_slice(b"Content-Type: application/json\r\n");
        out.put_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        if let Some(ms) = self.retry_after_ms {
            let (secs, rest) = (ms / 1_000, ms % 1_000);
            out.put_slice(format!("Retry-After: {secs}.{rest:03}\r\n").as_bytes());
        }
        if closes {
            out.put_slice(b"Connection: close\r\n");
        }
        out.put_slice(b"\r\n");
        if !is_head_request {
            out.put_slice(body.as_bytes());
        }
    }
}

/// How the body of a forwarded answer is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// With the length, because the whole body is known.
    Length(usize),
    /// In chunks.
    Chunked,
    /// Without a body, because the request was `HEAD` or the status has none; the upstream's length is kept for `HEAD`.
    None,
}

/// Writes the head of an upstream's answer for the client.
pub fn write_head(out: &mut BytesMut, head: &ResponseHead, body: BodyFraming, closes: bool) {
    out.put_slice(
        format!(
            "HTTP/1.1 {} {}\r\n",
            head.status,
            reason_phrase(head.status)
        )
        .as_bytes(),
    );
    copy_fields(out, &head.fields, |_name| false);
    match body {
        BodyFraming::Length(length) => {
            out.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        BodyFraming::Chunked => out.put_slice(b"Transfer-Encoding: chunked\r\n"),
        BodyFraming::None => {
            let length = head.fields.get("content-length");
            if let Some(length) = length.filter(|_| head.status != 204) {
                out.put_slice(b"Content-Length: ");
                out.put_slice(length);
                out.put_slice(b"\r\n");
            }
        }
    }
    if closes {
        out.put_slice(b"Connection: close\r\n");
    }
    out.put_slice(b"\r\n");
}

/// Copies all header fields except hop-by-hop fields, the message's framing, and those that `skips` selects.
pub fn copy_fields(out: &mut BytesMut, fields: &Fields, skips: impl Fn(&[u8]) -> bool) {
    let has_connection = fields.get("connection").is_some();
    for (name, value) in fields.iter() {
        let is_listed = has_connection
            && std::str::from_utf8(name).is_ok_and(|name| fields.has_token("connection", name));
        if is_hop_by_hop(name) || is_listed || skips(name) {
            continue;
        }
        out.put_slice(name);
        out.put_slice(b": ");
        out.put_slice(value);
        out.put_slice(b"\r\n");
    }
}

fn is_hop_by_hop(name: &[u8]) -> bool {
    const NAMES: [&[u8]; 10] = [
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ];
    NAMES.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
