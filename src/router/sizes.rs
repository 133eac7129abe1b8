//! Prompt size classes with equal shares of the work.
//!
//! Prompt sizes are heavy-tailed: a prompt that takes seconds to process delays every request and every running
//! stream on the same upstream. Size-interval task assignment gives each size class its own upstreams. The class
//! boundaries split the recent work into equal shares, so that all classes are equally busy.

/// Histogram buckets per doubling of the prompt size.
const BUCKETS_PER_DOUBLING: u32 = 4;

/// Histogram buckets; they cover sizes up to 2^24 tokens.
const BUCKETS: usize = 24 * BUCKETS_PER_DOUBLING as usize;

/// Factor by which each new prompt reduces the weight of all earlier ones; about the last 500 prompts count.
const DECAY_FACTOR: f64 = 0.998;

/// Minimum decayed number of recorded prompts before class boundaries are used.
const MIN_WEIGHT_PROMPTS: f64 = 30.0;

/// Work of one output token, in prompt tokens. It is more than one because output tokens are generated one step at
/// a time, and less than a whole step because each step serves a whole batch.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 4;

/// Size of a request in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Size {
    /// Length of the prompt.
    pub prompt: u64,
    /// Expected length of the output.
    pub output: u64,
}

impl Size {
    /// Returns the work in prompt tokens.
    #[must_use]
    pub const fn work(self) -> u64 {
        self.prompt
            .saturating_add(self.output.saturating_mul(PROMPT_TOKENS_PER_OUTPUT_TOKEN))
    }
}

/// Exponentially decayed histogram of recent work by prompt size.
#[derive(Debug, Clone, PartialEq)]
pub struct SizeMix {
    work: [f64; BUCKETS],
    total: f64,
    weight: f64,
}

impl Default for SizeMix {
    fn default() -> Self {
        Self {
            work: [0.0; BUCKETS],
            total: 0.0,
            weight: 0.0,
        }
    }
}

impl SizeMix {
    /// Records a request.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub fn observe(&mut self, size: Size) {
        for bucket in &mut self.work {
            *bucket *= DECAY_FACTOR;
        }
        let work = size.work() as f64;
        self.work[bucket(size.prompt)] += work;
        self.total = self.total * DECAY_FACTOR + work;
        self.weight = self.weight * DECAY_FACTOR + 1.0;
    }

    /// Returns the class of a prompt among `classes`, 0 for the smallest prompts; `None` until enough prompts have
    /// been recorded to set class boundaries.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "there are few classes"
    )]
    pub fn class(&self, prompt: u64, classes: usize) -> Option<usize> {
        if self.weight < MIN_WEIGHT_PROMPTS {
            return None;
        }
        let at = bucket(prompt);
        let below: f64 = self.work[..at].iter().sum();
        let middle = below + self.work[at] / 2.0;
        let class = (middle / self.total * classes as f64) as usize;
        Some(class.min(classes.saturating_sub(1)))
    }
}

fn bucket(tokens: u64) -> usize {
    let tokens = tokens.max(1);
    let power = tokens.ilog2();
    let base = 1_u64 << power;
    let step = (tokens - base) * u64::from(BUCKETS_PER_DOUBLING) / base;
    let at = u64::from(power * BUCKETS_PER_DOUBLING) + step;
    usize::try_from(at).map_or(BUCKETS - 1, |at| at.min(BUCKETS - 1))
}
