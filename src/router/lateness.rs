//! Probability that a larger model's answer would come too late.
//!
//! It matters when demand is near or above capacity: escalating to a larger model is worth its work only if the
//! answer still arrives in time, and each escalation delays all other requests. The time to first byte is modelled as
//! a time per token of the prompt plus a time per token of the backlog ahead of it. Both are fitted to the times that
//! this gateway has seen: the backlog is a rough estimate, the length of the prompt is known exactly.

use crate::units::Millis;

/// Initial estimate of the time that an upstream takes per token of the prompt and per token of the backlog, in
/// microseconds.
const INITIAL_US_PER_TOKEN: f64 = 40.0;

/// Weight of the initial estimates, as a number of requests with [`INITIAL_REQUEST_TOKENS`].
const INITIAL_WEIGHT_REQUESTS: f64 = 8.0;

/// Prompt and backlog of the requests that the initial estimates stand for, in tokens.
const INITIAL_REQUEST_TOKENS: f64 = 6_000.0;

/// Longest time per token of the prompt or of the backlog that is assumed, in microseconds.
const MAX_US_PER_TOKEN: f64 = 400.0;

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
    fit: Fit,
}

/// Decayed sums of a least-squares fit of the time to first byte to the prompt and the backlog ahead of it.
#[derive(Debug, Clone, Copy)]
struct Fit {
    prompt_prompt: f64,
    prompt_backlog: f64,
    backlog_backlog: f64,
    prompt_time: f64,
    backlog_time: f64,
}

impl Default for Lateness {
    fn default() -> Self {
        let square = INITIAL_WEIGHT_REQUESTS * INITIAL_REQUEST_TOKENS * INITIAL_REQUEST_TOKENS;
        Self {
            backlog: 0.0,
            observed_at: None,
            fit: Fit {
                prompt_prompt: square,
                prompt_backlog: 0.0,
                backlog_backlog: square,
                prompt_time: square * INITIAL_US_PER_TOKEN,
                backlog_time: square * INITIAL_US_PER_TOKEN,
            },
        }
    }
}

impl Fit {
    fn observe(&mut self, prompt: f64, backlog: f64, time_us: f64) {
        for (sum, new) in [
            (&mut self.prompt_prompt, prompt * prompt),
            (&mut self.prompt_backlog, prompt * backlog),
            (&mut self.backlog_backlog, backlog * backlog),
            (&mut self.prompt_time, prompt * time_us),
            (&mut self.backlog_time, backlog * time_us),
        ] {
            *sum = *sum * DECAY_FACTOR + new;
        }
    }

    /// Returns the time per token of the prompt and per token of the backlog, in microseconds.
    fn us_per_token(&self) -> (f64, f64) {
        let determinant =
            self.prompt_prompt * self.backlog_backlog - self.prompt_backlog * self.prompt_backlog;
        let determinant = determinant.max(1.0);
        let prompt =
            self.prompt_time * self.backlog_backlog - self.backlog_time * self.prompt_backlog;
        let backlog =
            self.backlog_time * self.prompt_prompt - self.prompt_time * self.prompt_backlog;
        let bounded = |us: f64| (us / determinant).clamp(0.0, MAX_US_PER_TOKEN);
        (bounded(prompt), bounded(backlog))
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

    /// Records the time to first byte of a request, with its own work and the backlog ahead of it, in prompt tokens of
    /// the largest model.
    pub fn observe_first_byte(&mut self, work: u64, backlog: u64, took: Millis) {
        self.fit
            .observe(to_f64(work), to_f64(backlog), to_f64(took.0 * 1_000));
    }

    /// Returns the probability that an answer takes longer than `left`; `work` is that of the request itself, in
    /// prompt tokens of the largest model.
    #[must_use]
    pub fn late_probability(&self, work: u64, left: Millis, now: Millis) -> f64 {
        if !self.is_recent(now) {
            return 0.0;
        }
        let (us_per_prompt_token, us_per_backlog_token) = self.fit.us_per_token();
        let slack_us = to_f64(left.0 * 1_000) - to_f64(work) * us_per_prompt_token;
        let wait_us = self.backlog * us_per_backlog_token;
        // Waiting times in a queue are approximately exponentially distributed.
        (-slack_us.max(0.0) / wait_us.max(1.0)).exp()
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
