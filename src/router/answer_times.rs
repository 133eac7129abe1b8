//! Time that whole answers take, by model, to tell which model can still finish before a request's deadline.
//!
//! The load: long prompts come in a burst, and every token takes longer at upstreams that process them. A long answer of a
//! large model, which escalation has started late, is cut off at the client's deadline and was worth nothing. The answer of a
//! smaller model is whole by then.

use crate::units::Millis;

/// Factor by which each new answer reduces the weight of earlier ones. About the last 20 count: at a gateway that is a few
/// seconds, the length of a burst.
const DECAY_FACTOR: f64 = 0.95;

/// Answers of a model that must have been seen, after decay, before its time is used.
const MIN_WEIGHT_ANSWERS: f64 = 3.0;

/// Time of recent answers of one model, relative to their expected length.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    tokens: f64,
    time_ms: f64,
    answers: f64,
}

/// Time of recent answers of the models of one service, smallest first.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    models: Vec<Sums>,
}

impl AnswerTimes {
    /// Records an answer of `tokens` expected tokens that took this time from its first byte, or was cut off after it.
    pub fn observe(&mut self, model: usize, tokens: u64, took: Millis) {
        if self.models.len() <= model {
            self.models.resize(model + 1, Sums::default());
        }
        let sums = &mut self.models[model];
        sums.tokens = sums.tokens * DECAY_FACTOR + to_f64(tokens.max(1));
        sums.time_ms = sums.time_ms * DECAY_FACTOR + to_f64(took.0);
        sums.answers = sums.answers * DECAY_FACTOR + 1.0;
    }

    /// Returns the expected time of an answer from its first byte, or `None` while too few have been seen.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is not negative, and a float cast saturates"
    )]
    pub fn expected(&self, model: usize, tokens: u64) -> Option<Millis> {
        let sums = self.models.get(model)?;
        let is_known = sums.answers >= MIN_WEIGHT_ANSWERS;
        is_known.then(|| Millis((to_f64(tokens) * sums.time_ms / sums.tokens) as u64))
    }

    /// Returns whether an answer probably ends within `left`, if it starts after `wait`. A model that is not known yet
    /// counts as fast enough.
    #[must_use]
    pub fn can_finish(&self, model: usize, tokens: u64, wait: Millis, left: Millis) -> bool {
        self.expected(model, tokens)
            .is_none_or(|time| wait + time <= left)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "tokens and times of requests are far below 2^52"
)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}
