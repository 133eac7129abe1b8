//! Heads of requests and responses, parsed strictly.
//!
//! Ambiguous messages are refused: a request whose body can be framed in two ways could smuggle another
//! request to the upstream.

use std::fmt;
use std::ops::Range;

use bytes::{Bytes, BytesMut};

use crate::units::whole::{parse_rounded_down, parse_whole};

/// Maximum number of header fields in a head.
const MAX_FIELDS: usize = 96;

/// Why a head is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HeadError {
    /// The bytes are not an HTTP/1 head.
    Malformed,
    /// Conflicting lengths, a length that is not a number, or an unsupported transfer coding.
    Framing,
    /// More fields than allowed.
    TooManyFields,
    /// There is not exactly one `Host` field.
    Host,
}

impl HeadError {
    /// Returns the text for logs and error answers.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed head",
            Self::Framing => "ambiguous body framing",
            Self::TooManyFields => "too many header fields",
            Self::Host => "not exactly one Host header",
        }
    }
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Framing {
    /// The body ends after this many bytes.
    Length(u64),
    /// The body ends after the last chunk.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

#[derive(Debug, Clone)]
struct Field {
    name: Range<usize>,
    value: Range<usize>,
}

/// Header fields in the order received.
#[derive(Debug, Clone)]
pub struct Fields {
    raw: Bytes,
    fields: Vec<Field>,
}

impl Fields {
    /// Returns the first value of a field.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.all(name).next()
    }

    /// Returns the first value of a field, if it is text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Returns the first value of a field, if it is a number that is not negative; a fraction is rounded down.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)
            .and_then(|value| parse_rounded_down(value.trim()))
    }

    /// Returns the first value of a field, if it is a whole number.
    #[must_use]
    pub fn whole_number(&self, name: &str) -> Option<u64> {
        self.text(name).and_then(|value| parse_whole(value.trim()))
    }

    /// Returns the names and values of all fields in the order received.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        (self.fields.iter()).map(|f| (&self.raw[f.name.clone()], &self.raw[f.value.clone()]))
    }

    /// Returns whether a comma-separated list such as `Connection` contains a token.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|b| *b == b',')
                .any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Returns the length of the body, if one is given; conflicting lengths are an error.
    fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut values = self.all("content-length");
        let Some(first) = values.next() else {
            return Ok(None);
        };
        let is_number =
            !first.is_empty() && first.len() <= 15 && first.iter().all(u8::is_ascii_digit);
        if !is_number || values.any(|other| other != first) {
            return Err(HeadError::Framing);
        }
        let text = std::str::from_utf8(first).map_err(|_utf8| HeadError::Framing)?;
        text.parse().map(Some).map_err(|_number| HeadError::Framing)
    }

    /// Returns whether the body is chunked; any other transfer coding is an error.
    fn is_chunked(&self) -> Result<bool, HeadError> {
        let mut codings = self.all("transfer-encoding");
        match (codings.next(), codings.next()) {
            (None, _) => Ok(false),
            (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
            _ => Err(HeadError::Framing),
        }
    }
}

/// Head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method as received.
    pub method: Bytes,
    /// Request target as received.
    pub target: Bytes,
    /// Header fields.
    pub fields: Fields,
    /// How the body ends; a request with neither a length nor chunks has no body.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        let end = self.target.iter().position(|b| *b == b'?');
        std::str::from_utf8(&self.target[..end.unwrap_or(self.target.len())]).unwrap_or_default()
    }

    /// Returns the host without a port, in lower case.
    #[must_use]
    pub fn host(&self) -> String {
        let host = self.fields.text("host").unwrap_or_default();
        let end = host.rfind(':').filter(|at| !host[*at..].contains(']'));
        host[..end.unwrap_or(host.len())].to_ascii_lowercase()
    }
}

/// Head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub fields: Fields,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

/// Parses a request head and removes it from the front of `buf`; returns `None` if it is incomplete.
///
/// # Errors
/// If the bytes are not a valid head, or the framing is ambiguous.
pub fn take_request(buf: &mut BytesMut) -> Result<Option<RequestHead>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(head_error(error)),
    };
    let (Some(method), Some(target), Some(minor)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(HeadError::Malformed);
    };
    let method = range_of(buf, method.as_bytes());
    let target = range_of(buf, target.as_bytes());
    let fields = field_ranges(buf, parsed.headers);
    let raw = buf.split_to(length).freeze();
    let (method, target) = (raw.slice(method), raw.slice(target));
    let fields = Fields { raw, fields };
    let hosts = fields.all("host").count();
    if hosts > 1 || (hosts == 0 && minor == 1) {
        return Err(HeadError::Host);
    }
    let framing = match (fields.is_chunked()?, fields.content_length()?) {
        (true, None) if minor == 1 => Framing::Chunked,
        (true, _) => return Err(HeadError::Framing),
        (false, length) => Framing::Length(length.unwrap_or(0)),
    };
    let keep_alive = minor == 1 && !fields.has_token("connection", "close");
    Ok(Some(RequestHead {
        method,
        target,
        fields,
        framing,
        keep_alive,
    }))
}

/// Parses the head of a final response and removes it from the front of `buf`; interim ones are discarded.
///
/// # Errors
/// If the bytes are not a valid head, or the framing is ambiguous.
pub fn take_response(
    buf: &mut BytesMut,
    is_head_request: bool,
) -> Result<Option<ResponseHead>, HeadError> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut headers);
        let length = match parsed.parse(buf) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(head_error(error)),
        };
        let (Some(status), Some(minor)) = (parsed.code, parsed.version) else {
            return Err(HeadError::Malformed);
        };
        let fields = field_ranges(buf, parsed.headers);
        let raw = buf.split_to(length).freeze();
        match status {
            100 | 102..200 => continue,
            200..600 => {}
            // No protocol was offered to switch to, and the others are no statuses.
            _ => return Err(HeadError::Malformed),
        }
        let fields = Fields { raw, fields };
        let has_no_body = is_head_request || matches!(status, 204 | 304);
        let declared = match (fields.is_chunked()?, fields.content_length()?) {
            (true, None) if minor == 1 => Framing::Chunked,
            (true, _) => return Err(HeadError::Framing),
            (false, Some(length)) => Framing::Length(length),
            (false, None) if has_no_body => Framing::Length(0),
            (false, None) => Framing::UntilClose,
        };
        let framing = if has_no_body {
            Framing::Length(0)
        } else {
            declared
        };
        // A body that must not be there may follow all the same.
        let may_have_stray_body = !is_head_request && framing != declared;
        let keep_alive = minor == 1
            && framing != Framing::UntilClose
            && !may_have_stray_body
            && !fields.has_token("connection", "close");
        return Ok(Some(ResponseHead {
            status,
            fields,
            framing,
            keep_alive,
        }));
    }
}

const fn head_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyFields,
        _ => HeadError::Malformed,
    }
}

fn range_of(buf: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr().addr() - buf.as_ptr().addr();
    start..start + part.len()
}

fn field_ranges(buf: &[u8], headers: &[httparse::Header<'_>]) -> Vec<Field> {
    let field = |h: &httparse::Header<'_>| Field {
        name: range_of(buf, h.name.as_bytes()),
        value: range_of(buf, h.value),
    };
    headers.iter().map(field).collect()
}
