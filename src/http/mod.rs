//! The HTTP server that the daemons' listeners use.

mod server;
#[cfg(test)]
mod tests;

use std::fmt;
use std::io;
use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody, MessageBody as _};
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use serde_json::{Value, json};

pub use server::{Bounds, Running, bind};

use crate::kv::LocalFuture;
use crate::limits::retry_after_secs;
use crate::refusal::Refusal;

/// A request with its complete body.
#[derive(Debug)]
pub struct Incoming {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The path with the query.
    pub target: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, within the limits of the listener.
    pub body: Bytes,
}

impl Incoming {
    /// Returns a header's value if it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A request handler; the body of a streamed response may continue after the handler has returned.
pub type Handler = Rc<dyn Fn(Incoming) -> LocalFuture<'static, Outgoing>>;

/// A response.
pub struct Outgoing {
    response: Response<BoxBody>,
}

impl fmt::Debug for Outgoing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outgoing")
            .field("status", &self.response.status())
            .finish_non_exhaustive()
    }
}

impl Outgoing {
    /// Creates a response with a complete body.
    #[must_use]
    pub fn full(status: u16, content_type: &str, body: impl Into<Bytes>) -> Self {
        let mut response = Response::build(status_of(status));
        response.insert_header((CONTENT_TYPE, content_type));
        Self {
            response: response.body(body.into()).map_into_boxed_body(),
        }
    }

    /// Creates a response from a JSON value.
    #[must_use]
    pub fn json(status: u16, value: &Value) -> Self {
        Self::full(status, "application/json", value.to_string())
    }

    /// Creates a response whose body is sent as the stream yields it; an error closes the connection.
    #[must_use]
    pub fn stream<S>(status: u16, content_type: &str, stream: S) -> Self
    where
        S: Stream<Item = io::Result<Bytes>> + 'static,
    {
        let mut response = Response::build(status_of(status));
        response.insert_header((CONTENT_TYPE, content_type));
        let body = BodyStream::new(stream.boxed_local()).boxed();
        match response.message_body(body) {
            Ok(response) => Self { response },
            Err(error) => Self::full(500, "text/plain", error.to_string()),
        }
    }

    /// Creates the response to a refused request.
    #[must_use]
    pub fn refusal(refusal: &Refusal) -> Self {
        let mut outgoing = Self::json(refusal.code.status(), &error_body(refusal));
        if let Some(after) = refusal.retry_after {
            let seconds = retry_after_secs(after);
            outgoing
                .response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        outgoing
    }

    /// Sets a header; a value that is not valid in a header is left out.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.response.headers_mut().insert(name, value);
        }
        self
    }
}

/// Returns the JSON body of a refusal.
#[must_use]
pub fn error_body(refusal: &Refusal) -> Value {
    json!({
        "error": {
            "code": refusal.code,
            "message": refusal.message,
            "ran": refusal.ran,
            "resend_safe": refusal.resend_safe,
        }
    })
}

fn status_of(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}
