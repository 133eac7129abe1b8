//! Where prompts begin to be large.
//!
//! Answers the pattern of heavy-tailed prompts: one that takes seconds to read holds up every request
//! behind it. Size-interval assignment gives the largest prompts upstreams of their own. The border is
//! where the prompts above it make up a given part of all tokens, so both sides are about equally busy.

/// Buckets for each doubling of the size.
const STEPS: u32 = 4;

/// Buckets; sizes up to 2^24 tokens.
const BUCKETS: usize = 24 * STEPS as usize;

/// Weight that remains of all earlier prompts after each new one; about the last 500 count.
const KEEP: f64 = 0.998;

/// Prompts that are needed before a border is drawn.
const MIN_WEIGHT: f64 = 30.0;

/// Recent prompt sizes, as a decayed histogram of tokens.
#[derive(Debug, Clone)]
pub struct SizeMix {
    tokens: [f64; BUCKETS],
    total: f64,
    weight: f64,
}

impl Default for SizeMix {
    fn default() -> Self {
        Self {
            tokens: [0.0; BUCKETS],
            total: 0.0,
            weight: 0.0,
        }
    }
}

impl SizeMix {
    /// Takes in the size of a prompt, in tokens.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub fn observe(&mut self, tokens: u64) {
        for bucket in &mut self.tokens {
            *bucket *= KEEP;
        }
        let size = tokens as f64;
        self.tokens[bucket(tokens)] += size;
        self.total = self.total * KEEP + size;
        self.weight = self.weight * KEEP + 1.0;
    }

    /// Tells whether a prompt belongs to the largest ones, which make up `percent` of all tokens.
    #[must_use]
    pub fn is_large(&self, tokens: u64, percent: u32) -> bool {
        if self.weight < MIN_WEIGHT {
            return false;
        }
        let above: f64 = self.tokens[bucket(tokens)..].iter().sum();
        above * 100.0 <= self.total * f64::from(percent)
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
