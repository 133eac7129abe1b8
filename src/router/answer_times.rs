//! Time that whole answers take, by model, to tell which model can still finish before a request's deadline.
//!
//! The load: long prompts come in a burst, and every event takes longer at upstreams that process them. A long answer of a
//! large model, which escalation has started late, is cut off at the client's deadline and was worth nothing. The answer of a
//! smaller model is whole by then.
//!
//! The time of an answer is its expected length in events times the time between events. The latter is measured on the first
//! events of each stream, so that a burst shows long before its slow answers end.

use crate::units::Millis;

/// Factor by which each new stream reduces the weight of earlier ones in the time between events. About the last 20 count:
/// at a gateway that is a few seconds, the length of a burst.
const PACE_DECAY_FACTOR: f64 = 0.95;

/// The same for the number of events to an expected token, which does not change with the load.
const LENGTH_DECAY_FACTOR: f64 = 0.99;

/// Streams that must have been seen, after decay, before a mean of them is used.
const MIN_WEIGHT_STREAMS: f64 = 3.0;

/// Decayed sums of two measures of the same streams.
#[derive(Debug, Clone, Copy, Default)]
struct Ratio {
    above: f64,
    below: f64,
    streams: f64,
}

impl Ratio {
    fn observe(&mut self, above: u64, below: u64, decay: f64) {
        self.above = self.above * decay + to_f64(above);
        self.below = self.below * decay + to_f64(below);
        self.streams = self.streams * decay + 1.0;
    }

    fn get(&self) -> Option<f64> {
        let is_known = self.streams >= MIN_WEIGHT_STREAMS && self.below > 0.0;
        is_known.then(|| self.above / self.below)
    }
}

/// Time between events of the models of one service, smallest first, and the length of answers.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    /// Milliseconds to an event.
    paces: Vec<Ratio>,
    /// Events to an expected token.
    lengths: Ratio,
}

impl AnswerTimes {
    /// Records that `events` of a stream took this time.
    pub fn observe_pace(&mut self, model: usize, events: u64, time: Millis) {
        if self.paces.len() <= model {
            self.paces.resize(model + 1, Ratio::default());
        }
        self.paces[model].observe(time.0, events, PACE_DECAY_FACTOR);
    }

    /// Records that a whole answer had this many events, and how many tokens were expected of it.
    pub fn observe_length(&mut self, tokens: u64, events: u64) {
        self.lengths.observe(events, tokens, LENGTH_DECAY_FACTOR);
    }

    /// Returns the expected time of an answer from its first byte, or `None` while too few have been seen.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is not negative, and a float cast saturates"
    )]
    pub fn expected(&self, model: usize, tokens: u64) -> Option<Millis> {
        let pace = self.paces.get(model)?.get()?;
        let events = to_f64(tokens) * self.lengths.get()?;
        Some(Millis((events * pace) as u64))
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
