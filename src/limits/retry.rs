//! Retry budget, backoff and hedging.

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// Budget that each request adds, in thousandths of a send: at most 10% of the requests are sent again.
const BUDGET_PER_REQUEST_PERMILLE: u32 = 100;
/// Budget that one send takes, in thousandths of a send.
const BUDGET_PER_SEND_PERMILLE: u32 = 1_000;
/// Largest budget that accumulates, in thousandths of a send; it allows ten retries in a row after a period
/// without retries.
const MAX_BUDGET_PERMILLE: u32 = 10 * BUDGET_PER_SEND_PERMILLE;
/// Longest backoff before the first retry; doubled for each further retry.
const BACKOFF_BASE: Millis = Millis(50);
/// Longest backoff before any retry.
const BACKOFF_CAP: Millis = Millis::from_secs(5);

/// Budget of sends beyond the first one of each request.
///
/// It starts empty, so that at any time the further sends since the start are at most a tenth of the requests
/// since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryBudget {
    /// In thousandths of a send.
    saved: u32,
}

impl RetryBudget {
    /// Counts a new request.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + BUDGET_PER_REQUEST_PERMILLE).min(MAX_BUDGET_PERMILLE);
    }

    /// Returns whether a retry or a hedge may be sent.
    #[must_use]
    pub const fn has_budget(&self) -> bool {
        self.saved >= BUDGET_PER_SEND_PERMILLE
    }

    /// Takes one send from the budget; returns `false` if there is none left.
    pub const fn take(&mut self) -> bool {
        let allowed = self.has_budget();
        if allowed {
            self.saved -= BUDGET_PER_SEND_PERMILLE;
        }
        allowed
    }
}

/// Returns the wait before a retry: exponential backoff with full jitter. The first retry is `attempt` 1;
/// `draw` is a random number.
#[must_use]
pub fn backoff(attempt: u32, draw: u64) -> Millis {
    let factor = 1_u64.checked_shl(attempt.saturating_sub(1));
    let longest = BACKOFF_BASE.0.saturating_mul(factor.unwrap_or(u64::MAX));
    Millis(draw % (longest.min(BACKOFF_CAP.0) + 1))
}

/// Input of [`hedge`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HedgeInput {
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Progress of the request.
    pub progress: Progress,
    /// Whether another upstream serves the version.
    pub alternative: bool,
    /// Whether the retry budget has a send left.
    pub budget: bool,
    /// Time since the request was sent.
    pub waited: Millis,
    /// 95th percentile of the time to the first byte for requests of the class.
    pub usual: Millis,
}

/// Progress of a request that may be hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The request was sent once and no byte of an answer has arrived.
    Sent,
    /// The request was already sent to a second upstream.
    Hedged,
    /// Bytes of the answer have arrived.
    Answering,
}

/// The decision on sending a request to a second upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Hedge {
    /// Send the hedge now.
    Send,
    /// Decide again after this time.
    Wait(Millis),
    /// Do not send a hedge.
    Never(NoHedge),
}

/// Why a request is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoHedge {
    /// The request must not run twice.
    NotIdempotent,
    /// The answer has begun.
    Answering,
    /// The request was already hedged.
    AlreadyHedged,
    /// No other upstream serves the version.
    NoAlternative,
    /// The retry budget is used up.
    NoBudget,
}

/// Decides whether to send a request to a second upstream.
#[must_use]
pub fn hedge(input: &HedgeInput) -> Hedge {
    let conditions = [
        (!input.idempotent, NoHedge::NotIdempotent),
        (input.progress == Progress::Answering, NoHedge::Answering),
        (input.progress == Progress::Hedged, NoHedge::AlreadyHedged),
        (!input.alternative, NoHedge::NoAlternative),
        (!input.budget, NoHedge::NoBudget),
    ];
    let refused = conditions.iter().find(|(applies, _)| *applies);
    match refused {
        Some((_, reason)) => Hedge::Never(*reason),
        None if input.waited < input.usual => Hedge::Wait(input.usual.since(input.waited)),
        None => Hedge::Send,
    }
}
