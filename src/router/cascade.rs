//! Choice of a model: start with a cheap one, go on to a larger one if its own opinion is low.
//!
//! The first answer is dropped only while the client has received none of it. Each step is a send of its
//! own, so steps come out of the retry budget and of the route's attempts.

/// Confidence from which an answer is delivered, in percent.
const ACCEPT: u8 = 60;

/// What is known when a model has begun to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opinion {
    /// Index of the model, smallest first.
    pub model: usize,
    /// Number of models.
    pub models: usize,
    /// The model's own opinion of its answer, in percent; `None` if it gave none.
    pub confidence: Option<u8>,
    /// Whether attempts, budget and time allow one more send.
    pub can_send: bool,
}

/// What to do with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Deliver it.
    Deliver,
    /// Drop it and ask this model.
    Escalate(usize),
}

/// Returns the model that a request starts with.
#[must_use]
pub const fn first() -> usize {
    0
}

/// Decides whether an answer is delivered.
#[must_use]
pub fn judge(opinion: Opinion) -> Verdict {
    let last = opinion.models.saturating_sub(1);
    let is_low = opinion.confidence.is_some_and(|c| c < ACCEPT);
    if is_low && opinion.can_send && opinion.model < last {
        Verdict::Escalate(last)
    } else {
        Verdict::Deliver
    }
}
