//! Chance that an answer of a larger model comes too late.
//!
//! Answers the pattern of demand near or above capacity: to ask a larger model is worth its work only while its
//! answer is still on time, and each one that is asked makes all others later. The wait is expected from the
//! backlog of the upstreams that were chosen of late and from what backlogs have cost.

use crate::units::Millis;

/// Assumed time for which an upstream works on one prompt token of backlog, in microseconds, until it was seen.
const ASSUMED_US_PER_TOKEN: f64 = 100.0;

/// Backlog that the assumption counts for, in prompt tokens: about twenty long prompts.
const ASSUMED_TOKENS: f64 = 200_000.0;

/// Weight that remains of earlier times to the first byte after each new one; about the last 100 count.
const KEEP: f64 = 0.99;

/// Weight of the newest backlog in its mean; a gateway sees some tens a second.
const NEWEST: f64 = 0.15;

/// Age at which the last backlog says nothing any more.
const BACKLOG_AGE: Millis = Millis(1_000);

/// Waits of a service's larger models, as this gateway sees them.
#[derive(Debug, Clone)]
pub struct Lateness {
    /// Mean backlog of the chosen upstreams, in prompt tokens of the largest model.
    backlog: f64,
    observed: Option<Millis>,
    /// Decayed times to the first byte, in microseconds, and the backlogs that caused them.
    spent_us: f64,
    tokens: f64,
}

impl Default for Lateness {
    fn default() -> Self {
        Self {
            backlog: 0.0,
            observed: None,
            spent_us: ASSUMED_TOKENS * ASSUMED_US_PER_TOKEN,
            tokens: ASSUMED_TOKENS,
        }
    }
}

impl Lateness {
    /// Takes in the backlog of the upstream that was chosen for a larger model, in prompt tokens of the
    /// largest one.
    pub fn observe_backlog(&mut self, tokens: u64, now: Millis) {
        let tokens = float(tokens);
        self.backlog = if self.is_recent(now) {
            self.backlog + (tokens - self.backlog) * NEWEST
        } else {
            tokens
        };
        self.observed = Some(now);
    }

    /// Takes in the time to the first byte of a request that had this work before it, its own included.
    pub fn observe_first_byte(&mut self, tokens: u64, took: Millis) {
        self.spent_us = self.spent_us * KEEP + float(took.0 * 1_000);
        self.tokens = self.tokens * KEEP + float(tokens);
    }

    /// Returns the chance that an answer takes longer than `left`; `work` is the request's own, in prompt
    /// tokens of the largest model.
    #[must_use]
    pub fn chance(&self, work: u64, left: Millis, now: Millis) -> f64 {
        if !self.is_recent(now) {
            return 0.0;
        }
        let us_per_token = self.spent_us / self.tokens.max(1.0);
        let expected_us = (self.backlog + float(work)) * us_per_token;
        // Waits in a queue are about exponential.
        (-float(left.0 * 1_000) / expected_us.max(1.0)).exp()
    }

    fn is_recent(&self, now: Millis) -> bool {
        self.observed.is_some_and(|at| now.since(at) < BACKLOG_AGE)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "tokens and times of requests are far below 2^52"
)]
const fn float(number: u64) -> f64 {
    number as f64
}
