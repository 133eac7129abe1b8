//! Rate, token and concurrency limits, retry budgets, circuits and load shedding.
//!
//! All parts are plain state machines: time is passed in as runtime milliseconds and random draws as
//! numbers, so their decisions can be replayed. They refuse before anything runs.

use crate::units::Millis;

mod admission;
mod bucket;
mod circuit;
mod retry;
#[cfg(test)]
mod tests;

pub use admission::{Admission, AdmissionQueue, Offer, Refused, Shed};
pub use bucket::{LimitKind, LimitRefusal, LimitTable};
pub use circuit::{CircuitDecision, Circuits};
pub use retry::{Hedge, HedgeInput, NoHedge, Progress, RetryBudget, backoff, hedge};

/// Returns the value of a `Retry-After` header: whole seconds, rounded up, at least one.
#[must_use]
pub fn retry_after_secs(wait: Millis) -> u64 {
    wait.0.div_ceil(1_000).max(1)
}
