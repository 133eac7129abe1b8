//! Choice of a model: a request starts on the smallest model and escalates if the model reports low confidence.
//!
//! The next model is the smallest one whose expected confidence is high enough. The gain in confidence from one
//! model to a larger one is estimated from requests that ran on both. An answer is discarded only while the client
//! has received none of it. Each escalation is an extra send, so it counts against the retry budget and the
//! route's attempts.

/// Confidence from which an answer is delivered, in percent. At a confidence of 60, one answer in eight was not
/// good enough, and running a larger model costs about an eighth of the value of a long answer.
const ACCEPT_CONFIDENCE_PERCENT: u8 = 60;

/// Confidence from which an answer is delivered if a larger model's answer is certain to be late, in percent. A
/// late answer keeps about three tenths of its value, and about the same share of the answers at a confidence of
/// 45 is good enough.
const ACCEPT_CONFIDENCE_LATE_PERCENT: u8 = 45;

/// Initial estimate of the gain in confidence to the next larger model, in percentage points, used until requests
/// have run on both.
const INITIAL_GAIN_POINTS: f64 = 14.0;

/// Weight of the initial estimate, in requests.
const INITIAL_WEIGHT_REQUESTS: f64 = 8.0;

/// Factor by which each new request reduces the weight of earlier ones.
const DECAY_FACTOR: f64 = 0.98;

/// What is known when a model has started to answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EscalationInput {
    /// Index of the model; 0 is the smallest.
    pub model: usize,
    /// Number of models.
    pub models: usize,
    /// Confidence in the answer that the model itself reports, in percent; `None` if it reports none.
    pub confidence: Option<u8>,
    /// Whether the request may be sent once more.
    pub can_send: bool,
    /// Probability that a larger model's answer would come too late, from 0 to 1.
    pub late_probability: f64,
}

/// What to do with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Deliver it.
    Deliver,
    /// Discard it and send the request to the model with this index.
    Escalate(usize),
}

/// Decayed mean gain in confidence from one model to a larger one.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Gain {
    from: usize,
    to: usize,
    weight: f64,
    sum: f64,
}

/// Learned gains between the models of one route.
#[derive(Debug, Clone, Default)]
pub struct Cascade {
    gains: Vec<Gain>,
}

impl Cascade {
    /// Returns the index of the model that a request starts on.
    #[must_use]
    pub const fn first() -> usize {
        0
    }

    /// Decides whether an answer is delivered or the request escalates.
    #[must_use]
    pub fn decide(&self, input: EscalationInput) -> Decision {
        let last = input.models.saturating_sub(1);
        let accept = f64::from(ACCEPT_CONFIDENCE_PERCENT)
            - f64::from(ACCEPT_CONFIDENCE_PERCENT - ACCEPT_CONFIDENCE_LATE_PERCENT)
                * input.late_probability;
        let Some(confidence) = input.confidence.filter(|c| f64::from(*c) < accept) else {
            return Decision::Deliver;
        };
        if !input.can_send || input.model >= last {
            return Decision::Deliver;
        }
        let is_enough = |to: &usize| {
            f64::from(confidence) + self.gain(input.model, *to)
                >= f64::from(ACCEPT_CONFIDENCE_PERCENT)
        };
        let next = (input.model + 1..last).find(is_enough);
        Decision::Escalate(next.unwrap_or(last))
    }

    /// Records the confidence that two models reported for the same request, each as (model, confidence).
    pub fn observe(&mut self, from: (usize, u8), to: (usize, u8)) {
        let gained = f64::from(to.1) - f64::from(from.1);
        let found = (self.gains).binary_search_by_key(&(from.0, to.0), |g| (g.from, g.to));
        let at = found.unwrap_or_else(|at| {
            let initial = Gain {
                from: from.0,
                to: to.0,
                weight: INITIAL_WEIGHT_REQUESTS,
                sum: INITIAL_WEIGHT_REQUESTS * initial_gain(from.0, to.0),
            };
            self.gains.insert(at, initial);
            at
        });
        let gain = &mut self.gains[at];
        gain.weight = gain.weight * DECAY_FACTOR + 1.0;
        gain.sum = gain.sum * DECAY_FACTOR + gained;
    }

    fn gain(&self, from: usize, to: usize) -> f64 {
        let found = (self.gains).binary_search_by_key(&(from, to), |g| (g.from, g.to));
        match found {
            Ok(at) => self.gains[at].sum / self.gains[at].weight,
            Err(_) => initial_gain(from, to),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "a route has few models")]
fn initial_gain(from: usize, to: usize) -> f64 {
    INITIAL_GAIN_POINTS * to.saturating_sub(from) as f64
}
