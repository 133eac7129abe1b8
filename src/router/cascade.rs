//! Choice of a model: a request starts on the smallest model and escalates if the model reports low confidence.
//!
//! The next model is the one with the highest expected value: the probability that its answer is good enough and in
//! time, less its price and the delay for other requests. The gain in confidence from one model to a larger one is
//! estimated from requests that ran on both. An answer is discarded only while the client
//! has received none of it. Each escalation is an extra send, so it counts against the retry budget and the
//! route's attempts.

/// Confidence at which half of the answers are good enough, in percent.
const EVEN_CONFIDENCE_PERCENT: f64 = 49.5;

/// Scale of the logistic curve from the confidence to the probability that the answer is good enough, in percentage
/// points. At a confidence of 60, one answer in eight is not good enough.
const CONFIDENCE_SCALE_POINTS: f64 = 5.35;

/// Value of an answer that is not good enough, as a share of that of a good one.
const POOR_VALUE: f64 = 0.05;

/// Value of a good answer that comes too late, as a share of one that comes in time.
const LATE_VALUE: f64 = 0.25;

/// Price of an answer of the largest model, as a share of the value of a good answer.
const LARGEST_PRICE: f64 = 0.125;

/// Weight of the delay that an escalation causes to the requests behind it, as a multiple of the probability that
/// answers are late: without it, requests escalate until hardly any answer of the larger models comes in time.
const DELAY_WEIGHT: f64 = 4.0;

/// Initial estimate of the gain in confidence to the next larger model, in percentage points, used until requests
/// have run on both.
const INITIAL_GAIN_POINTS: f64 = 14.0;

/// Weight of the initial estimate, in requests.
const INITIAL_WEIGHT_REQUESTS: f64 = 8.0;

/// Factor by which each new request reduces the weight of earlier ones.
const DECAY_FACTOR: f64 = 0.98;

/// What is known when a model has started to answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EscalationInput<'a> {
    /// Index of the model; 0 is the smallest.
    pub model: usize,
    /// Number of models.
    pub models: usize,
    /// Confidence in the answer that the model itself reports, in percent; `None` if it reports none.
    pub confidence: Option<u8>,
    /// Whether the request may be sent once more.
    pub can_send: bool,
    /// Probability that an answer delivered now is late, from 0 to 1.
    pub late_now: f64,
    /// Probability that a larger model's answer would come too late, from 0 to 1.
    pub late_probability: f64,
    /// Work of the request relative to that of the other requests of the larger models.
    pub relative_work: f64,
    /// Price of each model relative to that of the largest one.
    pub prices: &'a [f64],
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

    /// Decides whether an answer is delivered or the request escalates, by the expected value of each answer less its
    /// price.
    #[must_use]
    pub fn decide(&self, input: EscalationInput<'_>) -> Decision {
        let Some(confidence) = input.confidence.filter(|_| input.can_send) else {
            return Decision::Deliver;
        };
        let delivered = value(good_probability(f64::from(confidence)), input.late_now);
        let escalated = |model: usize| {
            let good = if model + 1 == input.models {
                // No model is better, so its answer is as good as an answer can be.
                1.0
            } else {
                good_probability(f64::from(confidence) + self.gain(input.model, model))
            };
            let price = input.prices.get(model).copied().unwrap_or(1.0);
            let delay = DELAY_WEIGHT * input.late_probability * input.relative_work.sqrt();
            value(good, input.late_probability) - price * (LARGEST_PRICE + delay)
        };
        let larger = (input.model + 1..input.models).map(|model| (escalated(model), model));
        match larger.max_by(|a, b| a.0.total_cmp(&b.0)) {
            Some((value, model)) if value > delivered => Decision::Escalate(model),
            _ => Decision::Deliver,
        }
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

/// Returns the probability that an answer is good enough.
fn good_probability(confidence: f64) -> f64 {
    let steepness = (EVEN_CONFIDENCE_PERCENT - confidence) / CONFIDENCE_SCALE_POINTS;
    1.0 / (1.0 + steepness.exp())
}

/// Returns the expected value of an answer, relative to a good answer in time.
fn value(good: f64, late_probability: f64) -> f64 {
    let in_time = 1.0 - late_probability * (1.0 - LATE_VALUE);
    (good + (1.0 - good) * POOR_VALUE) * in_time
}

#[expect(clippy::cast_precision_loss, reason = "a route has few models")]
fn initial_gain(from: usize, to: usize) -> f64 {
    INITIAL_GAIN_POINTS * to.saturating_sub(from) as f64
}
