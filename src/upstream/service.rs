//! Client of a plain service.

use std::net::SocketAddr;

use actix_http::header::{CONNECTION, HeaderName, HeaderValue};

use super::exchange::{Request, Response, send};
use super::{Timeouts, UpstreamError};

/// Most headers that are passed on.
const MAX_HEADERS: usize = 64;
/// Most bytes of header names and values that are passed on.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Headers that belong to one connection (RFC 9110, section 7.6.1) or that the client sets itself.
const OWN_HEADERS: [&str; 10] = [
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

/// Returns the headers that may be passed on to the other side.
///
/// Besides the headers that always belong to one connection, those that `Connection` names are left out.
pub fn end_to_end<'a, I>(headers: I) -> Vec<(HeaderName, HeaderValue)>
where
    I: Iterator<Item = (&'a HeaderName, &'a HeaderValue)> + Clone,
{
    let named: Vec<String> = headers
        .clone()
        .filter(|(name, _)| **name == CONNECTION)
        .filter_map(|(_, value)| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .filter(|(name, _)| {
            let name = name.as_str();
            !OWN_HEADERS.contains(&name) && !named.iter().any(|own| own == name)
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
    /// Makes a client; connections are made for each call.
    #[must_use]
    pub const fn new(addr: SocketAddr, timeouts: Timeouts) -> Self {
        Self { addr, timeouts }
    }

    /// Passes a call through and timeouts for the head of the response.
    ///
    /// Any status is returned as the service sent it. Headers of the connection are left out.
    ///
    /// # Errors
    /// [`UpstreamError::NotSent`] if the headers are over the limits; others if there is no response.
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
