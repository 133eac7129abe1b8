//! Rate, token and concurrency limits, retry budgets, circuit breakers and load shedding.
//!
//! All of them are plain state machines: the time, in milliseconds of the runtime's clock, and random numbers
//! are passed in, so that decisions can be reproduced. A request is refused before it runs.

use crate::units::Millis;

mod admission;
mod bucket;
mod circuit;
mod retry;
#[cfg(test)]
mod tests;

pub use admission::{Admission, AdmissionQueue, AdmissionRequest, Refused, Shed};
pub use bucket::{LimitKind, LimitRefusal, LimitTable};
pub use circuit::{CircuitDecision, Circuits};
pub use retry::{Hedge, HedgeInput, NoHedge, Progress, RetryBudget, backoff, hedge};

/// Returns the value of a `Retry-After` header: whole seconds, rounded up, at least one.
#[must_use]
pub fn retry_after_secs(wait: Millis) -> u64 {
    wait.0.div_ceil(1_000).max(1)
}
