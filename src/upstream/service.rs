//! Client of a plain service.

use std::net::SocketAddr;

use actix_http::header::{CONNECTION, HeaderName, HeaderValue};

use super::exchange::{Request, Response, send};
use super::{Timeouts, UpstreamError};

/// Maximum number of headers that are forwarded.
const MAX_HEADERS: usize = 64;
/// Maximum total size of the header names and values that are forwarded, in bytes.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the client sets itself.
const EXCLUDED_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the end-to-end headers, which may be forwarded.
///
/// Headers that are always hop-by-hop are left out, and so are those that `Connection` names.
pub fn end_to_end<'a, I>(headers: I) -> Vec<(HeaderName, HeaderValue)>
where
    I: Iterator<Item = (&'a HeaderName, &'a HeaderValue)> + Clone,
{
    let connection_options: Vec<String> = headers
        .clone()
        .filter(|(name, _)| **name == CONNECTION)
        .filter_map(|(_, value)| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .filter(|(name, _)| {
            let name = name.as_str();
            !EXCLUDED_HEADERS.contains(&name)
                && !connection_options.iter().any(|option| option == name)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Client of one plain service.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    addr: SocketAddr,
    timeouts: Timeouts,
}

impl ServiceClient {
    /// Creates a client; each call opens a new connection.
    #[must_use]
    pub const fn new(addr: SocketAddr, timeouts: Timeouts) -> Self {
        Self { addr, timeouts }
    }

    /// Forwards a call and waits for the head of the response.
    ///
    /// Any status is returned as the service sent it. Hop-by-hop headers of the request are left out.
    ///
    /// # Errors
    /// [`UpstreamError::NotSent`] if the headers are over the limits; another error if there is no response.
    pub async fn call(&self, mut request: Request) -> Result<Response, UpstreamError> {
        request.headers = end_to_end(request.headers.iter().map(|(name, value)| (name, value)));
        let size = |(name, value): &(HeaderName, HeaderValue)| name.as_str().len() + value.len();
        let bytes: usize = request.headers.iter().map(size).sum();
        if request.headers.len() > MAX_HEADERS || bytes > MAX_HEADER_BYTES {
            let why = format!("headers are over {MAX_HEADERS} or {MAX_HEADER_BYTES} bytes");
            return Err(UpstreamError::NotSent(why));
        }
        send(self.addr, self.timeouts, &request).await
    }
}
