//! Time that upstreams take per token of a prompt, as this gateway's own requests show it.

use crate::units::Millis;

/// Initial time per token, in microseconds.
const INITIAL_US_PER_TOKEN: f64 = 40.0;

/// Tokens that the initial time stands for; a few long prompts.
const INITIAL_TOKENS: f64 = 50_000.0;

/// Factor by which each new time reduces the weight of earlier ones; about the last 100 count.
const DECAY_FACTOR: f64 = 0.99;

/// Decayed sums of the times to first byte and of the tokens that were processed in them.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    tokens: f64,
    time_us: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
            time_us: INITIAL_TOKENS * INITIAL_US_PER_TOKEN,
        }
    }
}

impl Speed {
    /// Records the time in which an upstream processed a prompt and the backlog ahead of it.
    pub fn observe(&mut self, tokens: u64, took: Millis) {
        self.tokens = self.tokens * DECAY_FACTOR + to_f64(tokens);
        self.time_us = self.time_us * DECAY_FACTOR + to_f64(took.0) * 1_000.0;
    }

    /// Returns the tokens that an upstream processes within `time`.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is not negative, and a float cast saturates"
    )]
    pub fn tokens_within(&self, time: Millis) -> u64 {
        (to_f64(time.0) * 1_000.0 / self.us_per_token()) as u64
    }

    /// Returns the time in which an upstream processes `tokens`.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is not negative, and a float cast saturates"
    )]
    pub fn time_for(&self, tokens: u64) -> Millis {
        Millis((to_f64(tokens) * self.us_per_token() / 1_000.0) as u64)
    }

    fn us_per_token(&self) -> f64 {
        (self.time_us / self.tokens.max(1.0)).max(1.0)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "tokens and times of requests are far below 2^52"
)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}
