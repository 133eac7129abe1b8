//! Sequential test of one signal of a new version against the stable one.

use serde::{Deserialize, Serialize};

/// Excess rates over the stable version's that are tested for: a creep, a fault and an outage.
const EXCESSES: [f64; 3] = [0.02, 0.08, 0.3];
/// Standard errors between the stable version's observed rate and the bound that is tested against.
const BOUND_Z: f64 = 2.5;
/// Lowest and highest rate to test against. Below 0.2% a handful of errors would count as proof.
const RATE_RANGE: (f64, f64) = (0.002, 0.9);
/// Observations over which the stable version's usual rate is smoothed.
const LONG_WINDOW: f64 = 8_000.0;
/// Observations over which a common incident shows in the stable version's rate.
const SHORT_WINDOW: f64 = 150.0;
/// Batch `k`, from 2, has a weight of `k` to this power. Weights fall more slowly than with a logarithmic
/// factor, which costs two more nats of evidence after three hours of batches.
const WEIGHT_POWER: f64 = -1.1;
/// Upper bound of the sum of these powers over all batches.
const WEIGHT_SUM: f64 = 9.6;
/// Fixed-point scale of the serialised state: JSON text does not keep every bit of an `f64`.
const SCALE: f64 = 1e6;

/// Observations of one kind and how many of them were bad.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Observations.
    pub total: u32,
    /// Bad ones among them.
    pub bad: u32,
}

impl Tally {
    /// Returns the share of bad observations, or zero of none.
    #[must_use]
    pub fn rate(self) -> f64 {
        f64::from(self.bad) / f64::from(self.total.max(1))
    }

    pub(super) fn join(&mut self, other: Self) {
        self.total = self.total.max(other.total);
        self.bad = self.bad.max(other.bad);
    }

    pub(super) fn add(&mut self, other: Self) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad);
    }

    pub(super) const fn since(self, earlier: Self) -> Self {
        Self {
            total: self.total.saturating_sub(earlier.total),
            bad: self.bad.saturating_sub(earlier.bad),
        }
    }
}

/// Decayed counts, in millionths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Window {
    total: i64,
    bad: i64,
}

impl Window {
    fn add(&mut self, tally: Tally, length: f64) {
        // The rounding of an empty batch would let repeated reports wear the counts down.
        if tally.total == 0 {
            return;
        }
        let keep = (-f64::from(tally.total) / length).exp();
        self.total = fixed(float(self.total) * keep + f64::from(tally.total));
        self.bad = fixed(float(self.bad) * keep + f64::from(tally.bad));
    }

    fn mean(self) -> f64 {
        float(self.bad) / float(self.total).max(1.0)
    }

    /// Returns the Wilson upper bound of the rate.
    fn upper(self) -> f64 {
        let (n, z2) = (float(self.total), BOUND_Z * BOUND_Z);
        if n < 1.0 {
            return 1.0;
        }
        let p = self.mean();
        let spread = BOUND_Z * (p * (1.0 - p) / n + z2 / (4.0 * n * n)).sqrt();
        (p + z2 / (2.0 * n) + spread) / (1.0 + z2 / n)
    }
}

/// State of the test of one signal.
///
/// For each excess, `R = (R + w) * L` sums the likelihood ratios of a change at every earlier batch,
/// where `L` is the ratio of the new batch and the weights `w` of all batches sum to less than one. While
/// the new version is no worse than the bound, the expected value of `R` stays below one at all times, so
/// by Ville's inequality it ever reaches `1 / a` with a probability below `a`, over any number of batches.
/// A good history does not hide a later change, since each batch starts a new sum.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Detector {
    batches: u32,
    long: Window,
    short: Window,
    /// The new version's own usual rate, for the time when it has replaced the stable one.
    own: Window,
    /// Natural logarithm of `R` for each excess, in millionths; `None` before the first batch.
    log_sums: [Option<i64>; EXCESSES.len()],
}

impl Detector {
    pub(super) const fn new() -> Self {
        Self {
            batches: 0,
            long: Window { total: 0, bad: 0 },
            short: Window { total: 0, bad: 0 },
            own: Window { total: 0, bad: 0 },
            log_sums: [None; EXCESSES.len()],
        }
    }

    /// Takes in a batch of both versions; `has_control` says whether the stable version gets requests.
    pub(super) fn update(&mut self, new: Tally, stable: Tally, has_control: bool) {
        self.long.add(stable, LONG_WINDOW);
        self.short.add(stable, SHORT_WINDOW);
        if new.total == 0 {
            return;
        }
        self.batches = self.batches.saturating_add(1);
        let bound = self.bound(has_control);
        let log_weight = log_weight(self.batches);
        for (sum, excess) in self.log_sums.iter_mut().zip(EXCESSES) {
            let earlier = sum.map_or(f64::NEG_INFINITY, float);
            let ratio = log_ratio(new, bound, bound + excess * (1.0 - bound));
            *sum = Some(fixed(log_add(earlier, log_weight) + ratio));
        }
        self.own.add(new, LONG_WINDOW);
    }

    /// Returns the logarithm of the mean sum over the excesses: the evidence against the new version.
    pub(super) fn evidence(&self) -> f64 {
        let sums = self.log_sums.iter().flatten();
        let sum = sums.fold(f64::NEG_INFINITY, |sum, &s| log_add(sum, float(s)));
        sum - f64::from(u32::try_from(EXCESSES.len()).unwrap_or(1)).ln()
    }

    /// Returns the rate that the new version may have: the stable version's usual one with a margin, or
    /// its present one while an incident hits both.
    ///
    /// Without requests of the stable version its rates get out of date. The new version has passed all
    /// steps by then, so its own usual rate counts too.
    fn bound(&self, has_control: bool) -> f64 {
        let mut bound = self.long.upper().max(self.short.mean());
        if !has_control {
            bound = bound.max(self.own.upper());
        }
        bound.clamp(RATE_RANGE.0, RATE_RANGE.1)
    }
}

/// Returns the logarithm of a batch's likelihood at the rate `bad` over that at the rate `good`.
fn log_ratio(batch: Tally, good: f64, bad: f64) -> f64 {
    let hits = f64::from(batch.bad);
    let misses = f64::from(batch.total.saturating_sub(batch.bad));
    hits * (bad / good).ln() + misses * ((1.0 - bad) / (1.0 - good)).ln()
}

fn log_weight(batch: u32) -> f64 {
    let k = f64::from(batch) + 1.0;
    WEIGHT_POWER * k.ln() - WEIGHT_SUM.ln()
}

fn log_add(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    if low == f64::NEG_INFINITY {
        return high;
    }
    high + (low - high).exp().ln_1p()
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a float cast saturates at the limits"
)]
fn fixed(v: f64) -> i64 {
    (v * SCALE).floor() as i64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a loss below one millionth is within the state's own rounding"
)]
fn float(v: i64) -> f64 {
    v as f64 / SCALE
}
