//! Classes of prompt sizes with equal shares of the work.
//!
//! Answers the pattern of heavy-tailed prompts: one that takes seconds to read holds up every request and
//! every running stream beside it. Size-interval assignment gives each class of sizes upstreams of its own;
//! the borders are where the classes make up equal shares of the recent work, so all are equally busy.

/// Buckets for each doubling of the size.
const STEPS: u32 = 4;

/// Buckets; sizes up to 2^24 tokens.
const BUCKETS: usize = 24 * STEPS as usize;

/// Weight that remains of all earlier prompts after each new one; about the last 500 count.
const KEEP: f64 = 0.998;

/// Prompts that are needed before borders are drawn.
const MIN_WEIGHT: f64 = 30.0;

/// Prompt tokens that one output token costs as much as: outputs are made one step at a time, but for a
/// whole batch.
const OUTPUT_WEIGHT: u64 = 4;

/// Size of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Expected tokens of the output.
    pub output: u64,
}

impl Size {
    /// Returns the work in prompt tokens.
    #[must_use]
    pub const fn work(self) -> u64 {
        self.prompt
            .saturating_add(self.output.saturating_mul(OUTPUT_WEIGHT))
    }
}

/// Recent work by prompt size, as a decayed histogram.
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
    /// Takes in a request.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub fn observe(&mut self, size: Size) {
        for bucket in &mut self.work {
            *bucket *= KEEP;
        }
        let work = size.work() as f64;
        self.work[bucket(size.prompt)] += work;
        self.total = self.total * KEEP + work;
        self.weight = self.weight * KEEP + 1.0;
    }

    /// Returns the class of a prompt among `classes`, 0 for the smallest prompts; `None` before enough
    /// prompts are known to draw borders.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "there are few classes"
    )]
    pub fn class(&self, prompt: u64, classes: usize) -> Option<usize> {
        if self.weight < MIN_WEIGHT {
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
    let step = (tokens - base) * u64::from(STEPS) / base;
    let at = u64::from(power * STEPS) + step;
    usize::try_from(at).map_or(BUCKETS - 1, |at| at.min(BUCKETS - 1))
}
