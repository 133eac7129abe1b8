//! Choice of a model: start with the smallest, go on to a larger one if its own opinion is low.
//!
//! The next model is the smallest one that is expected to be confident enough. What a larger model gains is
//! learned from requests that went through both. The first answer is dropped only while the client has
//! received none of it. Each step is a send of its own, so steps come out of the retry budget and of the
//! route's attempts.

/// Confidence from which an answer is delivered, in percent. At 60, one answer in eight was too poor and
/// a larger model costs about an eighth of a long answer's worth.
const ACCEPT: u8 = 60;

/// The same if a larger model's answer would come too late for sure. A late answer has about three tenths
/// of its value, and as many of the answers at 45 are good enough.
const ACCEPT_LATE: u8 = 45;

/// Gain of the next larger model that is assumed before any request went through both, in points of
/// confidence.
const ASSUMED_GAIN: f64 = 14.0;

/// Requests that the assumed gain counts for.
const ASSUMED_WEIGHT: f64 = 8.0;

/// Weight that remains of what was learned after each new request.
const KEEP: f64 = 0.98;

/// What is known when a model has begun to answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EscalationInput {
    /// Index of the model, smallest first.
    pub model: usize,
    /// Number of models.
    pub models: usize,
    /// The model's own opinion of its answer, in percent; `None` if it gave none.
    pub confidence: Option<u8>,
    /// Whether attempts, budget and time allow one more send.
    pub can_send: bool,
    /// Chance that a larger model's answer would come too late, 0 to 1.
    pub late_probability: f64,
}

/// What to do with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Deliver it.
    Deliver,
    /// Drop it and ask this model.
    Escalate(usize),
}

/// Mean gain of confidence from one model to a larger one.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Gain {
    from: usize,
    to: usize,
    weight: f64,
    sum: f64,
}

/// Learned gains of one route's models.
#[derive(Debug, Clone, Default)]
pub struct Cascade {
    gains: Vec<Gain>,
}

impl Cascade {
    /// Returns the model that a request starts with.
    #[must_use]
    pub const fn first() -> usize {
        0
    }

    /// Decides whether an answer is delivered.
    #[must_use]
    pub fn decide(&self, opinion: EscalationInput) -> Decision {
        let last = opinion.models.saturating_sub(1);
        let accept = f64::from(ACCEPT) - f64::from(ACCEPT - ACCEPT_LATE) * opinion.late_probability;
        let Some(confidence) = opinion.confidence.filter(|c| f64::from(*c) < accept) else {
            return Decision::Deliver;
        };
        if !opinion.can_send || opinion.model >= last {
            return Decision::Deliver;
        }
        let is_enough =
            |to: &usize| f64::from(confidence) + self.gain(opinion.model, *to) >= f64::from(ACCEPT);
        let next = (opinion.model + 1..last).find(is_enough);
        Decision::Escalate(next.unwrap_or(last))
    }

    /// Takes in what two models said of one request.
    pub fn observe(&mut self, from: (usize, u8), to: (usize, u8)) {
        let gained = f64::from(to.1) - f64::from(from.1);
        let found = (self.gains).binary_search_by_key(&(from.0, to.0), |g| (g.from, g.to));
        let at = found.unwrap_or_else(|at| {
            let assumed = Gain {
                from: from.0,
                to: to.0,
                weight: ASSUMED_WEIGHT,
                sum: ASSUMED_WEIGHT * assumed_gain(from.0, to.0),
            };
            self.gains.insert(at, assumed);
            at
        });
        let gain = &mut self.gains[at];
        gain.weight = gain.weight * KEEP + 1.0;
        gain.sum = gain.sum * KEEP + gained;
    }

    fn gain(&self, from: usize, to: usize) -> f64 {
        let found = (self.gains).binary_search_by_key(&(from, to), |g| (g.from, g.to));
        match found {
            Ok(at) => self.gains[at].sum / self.gains[at].weight,
            Err(_) => assumed_gain(from, to),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "a route has few models")]
fn assumed_gain(from: usize, to: usize) -> f64 {
    ASSUMED_GAIN * to.saturating_sub(from) as f64
}
