//! Clients for model engines, plain services and the rating service.

pub mod engine;
pub mod exchange;
pub mod rating;
pub mod service;
pub mod sse;
#[cfg(test)]
mod tests;

use std::fmt;

use bytes::Bytes;

use crate::units::Millis;

/// Error of a call to an upstream that gave no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamError {
    /// No connection was made; nothing ran.
    NotSent(String),
    /// The connection broke after the request was sent; it may have run.
    Crashed(String),
    /// The upstream sent nothing for too long; the request may have run.
    Silent(String),
    /// The upstream answered with a status other than a success.
    Status {
        /// The status.
        status: u16,
        /// The start of the body.
        body: Bytes,
    },
    /// The answer broke the protocol or a size limit; the request may have run.
    Invalid(String),
}

impl UpstreamError {
    /// Returns whether the request certainly did not run.
    #[must_use]
    pub const fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "upstream is unreachable: {why}"),
            Self::Crashed(why) => write!(f, "upstream closed the connection: {why}"),
            Self::Silent(why) => write!(f, "upstream is silent: {why}"),
            Self::Status { status, .. } => write!(f, "upstream answered with status {status}"),
            Self::Invalid(why) => write!(f, "upstream sent an invalid answer: {why}"),
        }
    }
}

impl std::error::Error for UpstreamError {}

/// Timeouts of a call to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// For establishing the connection.
    pub connect: Millis,
    /// From the connection to the head of the response; without streaming, the head follows the last token.
    pub first_byte: Millis,
    /// Between two reads of the body.
    pub idle: Millis,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Millis::from_secs(1),
            first_byte: Millis::from_secs(60),
            idle: Millis::from_secs(30),
        }
    }
}
