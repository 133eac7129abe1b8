//! Pure functions that return the refusals of runs without a complete answer.

use crate::idempotency::{KeyAge, KeyedAnswer};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::units::Millis;
use crate::upstream::UpstreamError;

/// Delay after which a caller may request again an outcome that was unknown.
const OUTCOME_RETRY_AFTER: Millis = Millis::from_secs(5);

/// Returns the refusal of a failed run on an engine.
#[must_use]
pub fn engine(error: &UpstreamError) -> Refusal {
    let why = error.to_string();
    match error {
        UpstreamError::NotSent(_) => Refusal::not_run(Code::UpstreamFailed, why),
        UpstreamError::Status { status, .. } if (400..500).contains(status) => {
            let why = format!("engine refused the request with status {status}");
            Refusal::after_run(Code::BadRequest, RunStatus::Ran, why).resend_safe()
        }
        UpstreamError::Crashed(_)
        | UpstreamError::Status { .. }
        | UpstreamError::Silent(_)
        | UpstreamError::Invalid(_) => {
            Refusal::after_run(Code::UpstreamFailed, RunStatus::Unknown, why).resend_safe()
        }
    }
}

/// Returns the refusal of a failed call of a plain service.
#[must_use]
pub fn service(error: &UpstreamError) -> Refusal {
    let why = error.to_string();
    if error.not_sent() {
        Refusal::not_run(Code::UpstreamFailed, why)
    } else {
        Refusal::after_run(Code::UpstreamFailed, RunStatus::Unknown, why)
    }
}

/// Returns the refusal of a keyed call that gave no outcome.
#[must_use]
pub fn keyed(answer: &KeyedAnswer) -> Refusal {
    let unknown = |code, why: &str| Refusal::after_run(code, RunStatus::Unknown, why);
    match answer {
        KeyedAnswer::Unknown => {
            let why = "an earlier attempt with this key may have run; it never runs again";
            unknown(Code::OutcomeUnknown, why)
                .resend_safe()
                .retry_after(OUTCOME_RETRY_AFTER)
        }
        KeyedAnswer::KeyReused => Refusal::not_run(
            Code::KeyReused,
            "the idempotency key belongs to another request",
        ),
        KeyedAnswer::KeyRefused(KeyAge::Expired) => unknown(
            Code::BadKey,
            "the idempotency key has expired and never runs again",
        ),
        KeyedAnswer::KeyRefused(KeyAge::InFuture) => unknown(
            Code::BadKey,
            "the idempotency key's time is too far in the future",
        ),
        KeyedAnswer::StoreUnavailable => {
            let why = "the record of the idempotency key cannot be read; resend with the same key";
            unknown(Code::KeyStoreDown, why)
                .resend_safe()
                .retry_after(OUTCOME_RETRY_AFTER)
        }
        KeyedAnswer::NotRun => {
            Refusal::not_run(Code::UpstreamFailed, "the call was not sent to the service")
        }
        KeyedAnswer::Fresh(_) | KeyedAnswer::Replayed(_) => {
            unknown(Code::OutcomeUnknown, "the call ran")
        }
    }
}
