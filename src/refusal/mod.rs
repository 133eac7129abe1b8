//! Refusals: error responses to callers, which state the reason and whether the request ran.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::units::Millis;

#[cfg(test)]
mod tests;

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// Nothing has run, and nothing will.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Stable error code of a refusal.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the text form of the code in answers, logs and metrics.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the HTTP status of the answer.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }
        }
    };
}

codes! {
    /// The request is malformed.
    BadRequest = "bad_request", 400;
    /// The API key is missing or unknown.
    Unauthorized = "unauthorized", 401;
    /// The account may not use the model, version or service.
    Forbidden = "forbidden", 403;
    /// The model, version, service or path does not exist.
    NotFound = "not_found", 404;
    /// The headers or the body exceed a size limit.
    TooLarge = "too_large", 413;
    /// The caller sent the request too slowly.
    SlowRequest = "slow_request", 408;
    /// The session's version was withdrawn.
    SessionVersionWithdrawn = "session_version_withdrawn", 409;
    /// The session token is not valid.
    BadSession = "bad_session", 400;
    /// The version was withdrawn.
    VersionWithdrawn = "version_withdrawn", 409;
    /// A limit of the account was reached.
    RateLimited = "rate_limited", 429;
    /// No capacity is available for the request.
    Overloaded = "overloaded", 503;
    /// No upstream can take the request.
    NoUpstream = "no_upstream", 503;
    /// The process is shutting down.
    Stopping = "stopping", 503;
    /// No sheet is in force, or it has not been confirmed for too long.
    NoSheet = "no_sheet", 503;
    /// The deadline of the request has passed.
    DeadlineExceeded = "deadline_exceeded", 504;
    /// The upstream failed.
    UpstreamFailed = "upstream_failed", 502;
    /// The request was in flight during two upstream crashes.
    RequestCrashesUpstream = "request_crashes_upstream", 422;
    /// An earlier attempt with the same idempotency key has an unknown outcome.
    OutcomeUnknown = "outcome_unknown", 409;
    /// The idempotency key was already used with a different request.
    KeyReused = "key_reused", 422;
    /// The idempotency key is missing, malformed, expired or too far in the future.
    BadKey = "bad_key", 400;
    /// The idempotency record cannot be read, so it is unknown whether the request ran.
    KeyStoreDown = "key_store_down", 503;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Stable code.
    pub code: Code,
    /// Whether the request ran.
    pub ran: RunStatus,
    /// Single-line message for human readers.
    pub message: String,
    /// Minimum delay before a resend, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Millis>,
    /// Whether the same request may be resent without the risk of a second run.
    pub resend_safe: bool,
}

impl Refusal {
    /// Creates a refusal of a request that has not run; a resend is safe.
    #[must_use]
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            code,
            ran: RunStatus::NotRun,
            message,
            retry_after: None,
            resend_safe: true,
        }
    }

    /// Creates a refusal of a request that ran or may have run; a resend is not safe.
    #[must_use]
    pub fn after_run(code: Code, ran: RunStatus, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            code,
            ran,
            message,
            retry_after: None,
            resend_safe: false,
        }
    }

    /// Sets the minimum delay before a resend.
    #[must_use]
    pub const fn retry_after(mut self, after: Millis) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Marks a resend as safe, because it cannot cause a second run.
    #[must_use]
    pub const fn resend_safe(mut self) -> Self {
        self.resend_safe = true;
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}

impl std::error::Error for Refusal {}
