//! Retry budget, backoff and hedging.

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// Sends on top of requests: 10%. In thousandths of a send for each request.
const DEPOSIT: u32 = 100;
const SEND: u32 = 1_000;
/// Sends that can be saved up, in thousandths; lets ten requests in a row be retried after a quiet time.
const MAX_SAVED: u32 = 10 * SEND;
/// Longest first backoff; doubled for each further attempt.
const BACKOFF_BASE: Millis = Millis(50);
const BACKOFF_CAP: Millis = Millis::from_secs(5);

/// Sends beyond the first one of each request that are left.
///
/// It starts empty, so that no span from the start has more than a tenth on top of its requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryBudget {
    saved: u32,
}

impl RetryBudget {
    /// Counts a new request.
    pub fn request(&mut self) {
        self.saved = (self.saved + DEPOSIT).min(MAX_SAVED);
    }

    /// Tells whether a retry or a hedge may be sent.
    #[must_use]
    pub const fn has_budget(&self) -> bool {
        self.saved >= SEND
    }

    /// Takes one send from the budget; `false` if there is none.
    pub const fn take(&mut self) -> bool {
        let allowed = self.has_budget();
        if allowed {
            self.saved -= SEND;
        }
        allowed
    }
}

/// Returns the wait before an attempt, the first retry being 1: exponential, with full jitter by `draw`.
#[must_use]
pub fn backoff(attempt: u32, draw: u64) -> Millis {
    let doubled = 1_u64.checked_shl(attempt.saturating_sub(1));
    let longest = BACKOFF_BASE.0.saturating_mul(doubled.unwrap_or(u64::MAX));
    Millis(draw % (longest.min(BACKOFF_CAP.0) + 1))
}

/// What the decision to hedge depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HedgeInput {
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// How far the request is.
    pub progress: Progress,
    /// Whether another upstream serves the version.
    pub alternative: bool,
    /// Whether the retry budget has a send left.
    pub budget: bool,
    /// Time since the request was sent.
    pub waited: Millis,
    /// Time within which 95 in 100 requests of the class have their first byte.
    pub usual: Millis,
}

/// How far a request is that may be hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// It was sent once and nothing has come back.
    Sent,
    /// A hedge of it is already on its way.
    Hedged,
    /// Bytes of its answer have come.
    Answering,
}

/// The decision to send a request to a second upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Hedge {
    /// Send it now.
    Send,
    /// Decide again after this time.
    Wait(Millis),
    /// Do not send it.
    Never(NoHedge),
}

/// Why a request is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoHedge {
    /// It must not run twice.
    NotIdempotent,
    /// Its answer has begun.
    Answering,
    /// It has been hedged.
    AlreadyHedged,
    /// No other upstream serves it.
    NoAlternative,
    /// The retry budget is used up.
    NoBudget,
}

/// Decides whether to send a request to a second upstream.
#[must_use]
pub fn hedge(input: &HedgeInput) -> Hedge {
    let refusals = [
        (!input.idempotent, NoHedge::NotIdempotent),
        (input.progress == Progress::Answering, NoHedge::Answering),
        (input.progress == Progress::Hedged, NoHedge::AlreadyHedged),
        (!input.alternative, NoHedge::NoAlternative),
        (!input.budget, NoHedge::NoBudget),
    ];
    let refused = refusals.iter().find(|(applies, _)| *applies);
    match refused {
        Some((_, reason)) => Hedge::Never(*reason),
        None if input.waited < input.usual => Hedge::Wait(input.usual.since(input.waited)),
        None => Hedge::Send,
    }
}
