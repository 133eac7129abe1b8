//! Sequential test of one signal of a new version against the stable one.

use serde::{Deserialize, Serialize};

/// Increases over the stable version's rate that are tested for: a slight degradation, a fault and an outage.
const EXCESSES: [f64; 3] = [0.02, 0.08, 0.3];
/// Distance, in standard errors, of the tested bound from the stable version's observed rate.
const BOUND_Z: f64 = 2.5;
/// Lowest and highest rate to test against. Below 0.2% a handful of errors would be enough to stop a roll-out.
const RATE_RANGE: (f64, f64) = (0.002, 0.9);
/// Decay length, in observations, of the long-term rates.
const LONG_WINDOW_OBSERVATIONS: f64 = 8_000.0;
/// Decay length, in observations, of the stable version's recent rate. It is short, so that the rate soon
/// reflects an incident that hits both versions.
const SHORT_WINDOW_OBSERVATIONS: f64 = 150.0;
/// Batch `k`, counted from 2, is weighted by `k` to this power, divided by [`WEIGHT_SUM`]. Weights with a
/// logarithmic factor would fall faster and cost two more nats of evidence after three hours of batches.
const WEIGHT_POWER: f64 = -1.1;
/// Upper bound of the sum of `k` to the power [`WEIGHT_POWER`] over all batches.
const WEIGHT_SUM: f64 = 9.6;
/// Fixed-point scale of the serialised state: JSON text does not keep every bit of an `f64`.
const FIXED_POINT_SCALE: f64 = 1e6;

/// Number of observations of one kind and of the bad ones among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All observations.
    pub total: u32,
    /// Bad observations.
    pub bad: u32,
}

impl Tally {
    /// Returns the share of bad observations; zero if there are no observations.
    #[must_use]
    pub fn rate(self) -> f64 {
        f64::from(self.bad) / f64::from(self.total.max(1))
    }

    /// Merges two states of one growing counter by taking the larger count.
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

/// Exponentially decayed counts, in millionths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Window {
    total: i64,
    bad: i64,
}

impl Window {
    /// Adds a batch; `length` is the number of observations over which older ones decay by a factor of e.
    fn add(&mut self, tally: Tally, length: f64) {
        // Each addition rounds down, so adding empty batches would lower the counts with each repeated report.
        if tally.total == 0 {
            return;
        }
        let decay = (-f64::from(tally.total) / length).exp();
        self.total = to_fixed_point(from_fixed_point(self.total) * decay + f64::from(tally.total));
        self.bad = to_fixed_point(from_fixed_point(self.bad) * decay + f64::from(tally.bad));
    }

    fn mean(self) -> f64 {
        from_fixed_point(self.bad) / from_fixed_point(self.total).max(1.0)
    }

    /// Returns the upper bound of the rate's Wilson score interval.
    fn wilson_upper_bound(self) -> f64 {
        let (n, z2) = (from_fixed_point(self.total), BOUND_Z * BOUND_Z);
        if n < 1.0 {
            return 1.0;
        }
        let p = self.mean();
        let half_width = BOUND_Z * (p * (1.0 - p) / n + z2 / (4.0 * n * n)).sqrt();
        (p + z2 / (2.0 * n) + half_width) / (1.0 + z2 / n)
    }
}

/// State of the sequential change detection for one signal.
///
/// For each of [`EXCESSES`], `R = (R + w) * L` is the weighted sum of the likelihood ratios of a change at
/// this or any earlier batch. `L` is the likelihood ratio of the new batch, and the weights `w` of all batches
/// sum to less than one. While the new version is no worse than the bound, the expected value of `R` stays
/// below one at all times. By Ville's inequality, the probability that `R` ever reaches `1 / a` is then below
/// `a`, over any number of batches. A long good history does not hide a later change, since each batch adds a
/// term for a change that starts with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Detector {
    batches: u32,
    /// The stable version's long-term rate.
    long: Window,
    /// The stable version's recent rate.
    short: Window,
    /// The new version's long-term rate, used when the stable version no longer gets requests.
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

    /// Adds a batch of both versions; `has_control` is whether the stable version still gets requests.
    pub(super) fn update(&mut self, new: Tally, stable: Tally, has_control: bool) {
        self.long.add(stable, LONG_WINDOW_OBSERVATIONS);
        self.short.add(stable, SHORT_WINDOW_OBSERVATIONS);
        if new.total == 0 {
            return;
        }
        self.batches = self.batches.saturating_add(1);
        let bound = self.bound(has_control);
        let log_weight = log_weight(self.batches);
        for (sum, excess) in self.log_sums.iter_mut().zip(EXCESSES) {
            let earlier = sum.map_or(f64::NEG_INFINITY, from_fixed_point);
            let log_ratio = log_likelihood_ratio(new, bound, bound + excess * (1.0 - bound));
            *sum = Some(to_fixed_point(log_sum_exp(earlier, log_weight) + log_ratio));
        }
        self.own.add(new, LONG_WINDOW_OBSERVATIONS);
    }

    /// Returns the evidence against the new version: the logarithm of the mean of `R` over [`EXCESSES`].
    pub(super) fn evidence(&self) -> f64 {
        let sums = self.log_sums.iter().flatten();
        let sum = sums.fold(f64::NEG_INFINITY, |sum, &s| {
            log_sum_exp(sum, from_fixed_point(s))
        });
        sum - f64::from(u32::try_from(EXCESSES.len()).unwrap_or(1)).ln()
    }

    /// Returns the highest rate that is acceptable for the new version: the stable version's long-term rate
    /// with a margin, or its recent rate if that is higher, as in an incident that hits both versions.
    ///
    /// When the stable version gets no more requests, its rates become outdated. The new version has passed
    /// all steps by then, so its own long-term rate is taken into account as well.
    fn bound(&self, has_control: bool) -> f64 {
        let mut bound = self.long.wilson_upper_bound().max(self.short.mean());
        if !has_control {
            bound = bound.max(self.own.wilson_upper_bound());
        }
        bound.clamp(RATE_RANGE.0, RATE_RANGE.1)
    }
}

/// Returns the logarithm of the ratio of a batch's likelihood at `bad_rate` to that at `good_rate`.
fn log_likelihood_ratio(batch: Tally, good_rate: f64, bad_rate: f64) -> f64 {
    let bad_count = f64::from(batch.bad);
    let good_count = f64::from(batch.total.saturating_sub(batch.bad));
    bad_count * (bad_rate / good_rate).ln()
        + good_count * ((1.0 - bad_rate) / (1.0 - good_rate)).ln()
}

/// Returns the logarithm of the weight of a batch; batches are numbered from 1.
fn log_weight(batch: u32) -> f64 {
    let k = f64::from(batch) + 1.0;
    WEIGHT_POWER * k.ln() - WEIGHT_SUM.ln()
}

/// Returns the logarithm of the sum of two numbers given by their logarithms.
fn log_sum_exp(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    if low == f64::NEG_INFINITY {
        return high;
    }
    high + (low - high).exp().ln_1p()
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a cast from float to integer saturates"
)]
fn to_fixed_point(v: f64) -> i64 {
    (v * FIXED_POINT_SCALE).floor() as i64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a loss below one millionth is within the rounding of the state itself"
)]
fn from_fixed_point(v: i64) -> f64 {
    v as f64 / FIXED_POINT_SCALE
}
