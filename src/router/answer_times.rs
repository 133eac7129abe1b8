//! Time that whole answers take, by model, to tell which model can still finish before a request's deadline.
//!
//! The load: long prompts come in a burst, and every event takes longer at upstreams that process them. A long answer of a
//! large model, which escalation has started late, is cut off at the client's deadline and was worth nothing. The answer of a
//! smaller model is whole by then.
//!
//! The time of an answer is its expected length in events times the time between events. The latter is measured on the first
//! events of each stream, so that a burst shows long before its slow answers end.

use std::collections::VecDeque;

use crate::units::Millis;

/// Paces that are kept of each model, of the last streams: at a gateway that is a few seconds, the length of a burst.
const KEPT_PACES: usize = 20;

/// Factor by which each new answer reduces the weight of earlier ones in the number of events to an expected token, which does
/// not change with the load.
const LENGTH_DECAY_FACTOR: f64 = 0.99;

/// Streams that must have been seen before they are used.
const MIN_STREAMS: usize = 4;

/// Part of the recent streams, one in this many, at whose pace an answer must end in time. An answer that a larger model is
/// asked for has about that chance to be good enough as it is.
const IN_TIME_DIVISOR: usize = 3;

/// Paces of one model's last streams and the length of answers.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    /// Milliseconds to an event of the last streams, by model, smallest first.
    paces: Vec<VecDeque<f64>>,
    /// Decayed sums of events and of expected tokens of whole answers, and the number of answers.
    events: f64,
    tokens: f64,
    answers: usize,
}

impl AnswerTimes {
    /// Records that `events` of a stream took this time.
    pub fn observe_pace(&mut self, model: usize, events: u64, time: Millis) {
        if self.paces.len() <= model {
            self.paces.resize(model + 1, VecDeque::new());
        }
        let paces = &mut self.paces[model];
        if paces.len() == KEPT_PACES {
            paces.pop_front();
        }
        paces.push_back(to_f64(time.0) / to_f64(events.max(1)));
    }

    /// Records that a whole answer had this many events, and how many tokens were expected of it.
    pub fn observe_length(&mut self, tokens: u64, events: u64) {
        self.events = self.events * LENGTH_DECAY_FACTOR + to_f64(events);
        self.tokens = self.tokens * LENGTH_DECAY_FACTOR + to_f64(tokens);
        self.answers += 1;
    }

    /// Returns whether an answer may well end within `left`, if it starts after `wait`. A model that is not known yet counts
    /// as fast enough.
    #[must_use]
    pub fn can_finish(&self, model: usize, tokens: u64, wait: Millis, left: Millis) -> bool {
        let Some(paces) = self.paces.get(model) else {
            return true;
        };
        if paces.len() < MIN_STREAMS || self.answers < MIN_STREAMS || self.tokens <= 0.0 {
            return true;
        }
        let events = to_f64(tokens) * self.events / self.tokens;
        let left = to_f64(left.since(wait).0);
        let in_time = paces.iter().filter(|pace| events * **pace <= left).count();
        in_time * IN_TIME_DIVISOR >= paces.len()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "tokens and times of requests are far below 2^52"
)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}
