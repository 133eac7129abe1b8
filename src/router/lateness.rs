//! Probability that a larger model's answer would come too late.
//!
//! It matters when demand is near or above capacity: escalating to a larger model is worth its work only if the
//! answer still arrives in time, and each escalation delays all other requests. The expected wait is the mean
//! backlog of the recently chosen upstreams times the observed time per token of backlog.

use crate::units::Millis;

/// Initial estimate of the time that an upstream takes per prompt token of backlog, in microseconds.
const INITIAL_US_PER_TOKEN: f64 = 100.0;

/// Weight of the initial estimate, in prompt tokens of backlog: about twenty long prompts.
const INITIAL_WEIGHT_TOKENS: f64 = 200_000.0;

/// Factor by which each new time to first byte reduces the weight of earlier ones; about the last 100 count.
const DECAY_FACTOR: f64 = 0.99;

/// Smoothing factor of the mean backlog; a gateway records some tens of backlogs a second.
const BACKLOG_SMOOTHING: f64 = 0.15;

/// Age from which the last recorded backlog is no longer used.
const MAX_BACKLOG_AGE: Millis = Millis(1_000);

/// Estimated wait at the larger models of a service, from this gateway's own requests.
#[derive(Debug, Clone)]
pub struct Lateness {
    /// Moving average of the chosen upstreams' backlogs, in prompt tokens of the largest model.
    backlog: f64,
    observed_at: Option<Millis>,
    /// Decayed sum of the times to first byte, in microseconds.
    first_byte_us: f64,
    /// Decayed sum of the work that caused these times, in prompt tokens of the largest model.
    tokens: f64,
}

impl Default for Lateness {
    fn default() -> Self {
        Self {
            backlog: 0.0,
            observed_at: None,
            first_byte_us: INITIAL_WEIGHT_TOKENS * INITIAL_US_PER_TOKEN,
            tokens: INITIAL_WEIGHT_TOKENS,
        }
    }
}

impl Lateness {
    /// Records the backlog of the upstream chosen for a request of a larger model, in prompt tokens of the largest
    /// model.
    pub fn observe_backlog(&mut self, tokens: u64, now: Millis) {
        let tokens = to_f64(tokens);
        self.backlog = if self.is_recent(now) {
            self.backlog + (tokens - self.backlog) * BACKLOG_SMOOTHING
        } else {
            tokens
        };
        self.observed_at = Some(now);
    }

    /// Records the time to first byte of a request; `tokens` is the backlog ahead of it plus its own work.
    pub fn observe_first_byte(&mut self, tokens: u64, took: Millis) {
        self.first_byte_us = self.first_byte_us * DECAY_FACTOR + to_f64(took.0 * 1_000);
        self.tokens = self.tokens * DECAY_FACTOR + to_f64(tokens);
    }

    /// Returns the probability that an answer takes longer than `left`; `work` is that of the request itself, in
    /// prompt tokens of the largest model.
    #[must_use]
    pub fn late_probability(&self, work: u64, left: Millis, now: Millis) -> f64 {
        if !self.is_recent(now) {
            return 0.0;
        }
        let us_per_token = self.first_byte_us / self.tokens.max(1.0);
        let own_us = to_f64(work) * us_per_token;
        let wait_us = self.backlog * us_per_token;
        let slack_us = (to_f64(left.0 * 1_000) - own_us).max(0.0);
        // Waiting times in a queue are approximately exponentially distributed.
        (-slack_us / wait_us.max(1.0)).exp()
    }

    fn is_recent(&self, now: Millis) -> bool {
        self.observed_at
            .is_some_and(|at| now.since(at) < MAX_BACKLOG_AGE)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "tokens and times of requests are far below 2^52"
)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}
