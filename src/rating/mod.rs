//! Pass rates of versions by request class, estimated from ratings.
//!
//! Ratings are counted per source incarnation and epoch. Counts never decrease within their epoch, so two
//! tables merge by taking the larger of each count: the merge is commutative, associative and idempotent, so
//! no rating counts twice. Decay is applied when an estimate is computed, by the age of each epoch. Times are
//! in Unix milliseconds, since epochs are compared between gateways.

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, Incarnation, VersionRef};
use crate::units::{Millis, Permille};

mod beta;
#[cfg(test)]
mod tests;

/// Length of an epoch.
pub const EPOCH_LENGTH: Millis = Millis::from_secs(300);
/// Half-life of a rating's weight, in epochs (30 minutes).
const HALF_LIFE_EPOCHS: f64 = 6.0;
/// Epochs that are kept; an older rating would have at most a sixteenth of its weight.
const RETAINED_EPOCHS: u64 = 24;
/// Maximum number of cells per row, 64 KB: enough for two epochs of 410 gateways. The oldest epochs are dropped
/// first.
const MAX_CELLS_PER_ROW: usize = 1_024;
/// Maximum number of rows; 13 versions in 10 classes need 260, for both values of [`Reach`].
const MAX_ROWS: usize = 512;
/// Both shape parameters of the Beta prior, which is the uniform distribution of the pass rate.
const PRIOR_SHAPE: f64 = 1.0;
/// Probability that the pass rate is beyond the lower bound, and likewise beyond the upper bound.
const TAIL_PROBABILITY: f64 = 0.05;
/// Gain of the integral control of [`RatingTable::aim`]: the change of the aim for each good answer more or
/// less than the target requires. The surplus settles where the reduction of the aim equals the margin of the
/// lower bounds, at 10 to 20 answers.
const AIM_GAIN_PPM_PER_ANSWER: i64 = 1_000;
/// Surplus at which the aim equals the target, in thousandths of an answer: two standard deviations of the
/// surplus, so that a class is rarely below its target when its ratings stop.
const SURPLUS_RESERVE_MILLI_ANSWERS: i64 = 10_000;
/// Largest surplus or shortfall that is kept, in thousandths of an answer: 4 percentage points of aim.
const SURPLUS_LIMIT_MILLI_ANSWERS: i64 = 40_000;
/// Reciprocal of the smoothing factor of the share of answers that are rated in time.
const TIMELY_SMOOTHING_DIVISOR: i64 = 16;

/// A share in parts per million; integers are exact in JSON.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ppm(pub u32);

impl Ppm {
    /// The share 1.
    pub const ONE: Self = Self(1_000_000);

    /// Converts a fraction, rounded; values outside 0 to 1 are clamped.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the clamped value is between 0 and 1,000,000"
    )]
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * 1e6).round() as u32)
    }

    /// Returns the share as a fraction of one.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

/// Outcome of the rating of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer was rated good enough, in time.
    Pass,
    /// The answer was rated not good enough, in time.
    Fail,
    /// No rating arrived within the rating budget.
    Missing,
    /// A good rating arrived after `Missing` was recorded for the same answer.
    LatePass,
    /// A bad rating arrived after `Missing` was recorded for the same answer.
    LateFail,
}

/// How a request reached the version.
///
/// Requests on which a cheaper version failed are harder, so their pass rate is estimated separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    /// No earlier step was rated.
    First,
    /// An earlier step was rated and failed.
    Escalated,
}

/// Estimated pass rate of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Estimate {
    /// Posterior mean.
    pub mean: Ppm,
    /// The pass rate is below this with a probability of 5%.
    pub lower: Ppm,
    /// The pass rate is above this with a probability of 5%.
    pub upper: Ppm,
    /// Ratings behind the estimate, after decay.
    pub rated: u32,
    /// Answers without a rating so far, after decay. They count neither as passes nor as failures.
    pub missing: u32,
}

/// Counts of one source in one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Unix time divided by [`EPOCH_LENGTH`].
    pub epoch: u64,
    /// Incarnation of the process that counted.
    pub source: Incarnation,
    /// Good ratings, late ones included.
    pub passes: u32,
    /// Bad ratings, late ones included.
    pub fails: u32,
    /// Answers that were not rated in time.
    pub missing: u32,
    /// Answers in `missing` that were rated later.
    pub late: u32,
}

impl Cell {
    const fn new(epoch: u64, source: Incarnation) -> Self {
        Self {
            epoch,
            source,
            passes: 0,
            fails: 0,
            missing: 0,
            late: 0,
        }
    }

    fn count(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Pass | Outcome::LatePass => &mut self.passes,
            Outcome::Fail | Outcome::LateFail => &mut self.fails,
            Outcome::Missing => &mut self.missing,
        };
        *counter = counter.saturating_add(1);
        if matches!(outcome, Outcome::LatePass | Outcome::LateFail) {
            self.late = self.late.saturating_add(1);
        }
    }

    /// Merges two states of the same cell by taking the larger of each count.
    fn join(&mut self, other: &Self) {
        self.passes = self.passes.max(other.passes);
        self.fails = self.fails.max(other.fails);
        self.missing = self.missing.max(other.missing);
        self.late = self.late.max(other.late);
    }

    const fn key(&self) -> (u64, Incarnation) {
        (self.epoch, self.source)
    }
}

/// All counts of one version in one class, for one [`Reach`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The request class.
    pub class: ClassId,
    /// The version.
    pub version: VersionRef,
    /// How the requests reached the version.
    pub reach: Reach,
    /// Counts, sorted by epoch and source.
    pub cells: Vec<Cell>,
}

impl Row {
    fn key(&self) -> (&ClassId, &VersionRef, Reach) {
        (&self.class, &self.version, self.reach)
    }

    fn find_or_insert_cell(&mut self, epoch: u64, source: Incarnation) -> &mut Cell {
        let index = match self.cells.binary_search_by_key(&(epoch, source), Cell::key) {
            Ok(index) => index,
            Err(index) => {
                self.cells.insert(index, Cell::new(epoch, source));
                index
            }
        };
        &mut self.cells[index]
    }

    /// Drops the oldest cells. Which cells remain depends only on the keys that were merged, so the order of
    /// merges does not matter.
    fn evict_old_cells(&mut self) {
        let oldest = self.newest_epoch().saturating_sub(RETAINED_EPOCHS - 1);
        let expired = self.cells.partition_point(|c| c.epoch < oldest);
        let excess = self.cells.len().saturating_sub(MAX_CELLS_PER_ROW);
        self.cells.drain(..expired.max(excess));
    }

    /// Returns the newest epoch.
    fn newest_epoch(&self) -> u64 {
        self.cells.last().map_or(0, |c| c.epoch)
    }

    fn estimate(&self, epoch: u64) -> Estimate {
        let (mut passes, mut fails, mut missing) = (0.0, 0.0, 0.0);
        for cell in &self.cells {
            let weight = decay_weight(epoch.saturating_sub(cell.epoch));
            passes += weight * f64::from(cell.passes);
            fails += weight * f64::from(cell.fails);
            missing += weight * f64::from(cell.missing.saturating_sub(cell.late));
        }
        posterior(passes, fails, missing)
    }
}

/// Smoothed share of the recent answers of a class that were rated in time, at this process only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Timely {
    class: ClassId,
    share: Ppm,
}

/// Good answers that this process delivered in excess of a class's target; negative for a shortfall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Surplus {
    class: ClassId,
    /// In thousandths of an answer.
    millis: i64,
}

/// Rating counts of all classes and versions, of this process and of others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingTable {
    source: Incarnation,
    rows: Vec<Row>,
    timely: Vec<Timely>,
    surplus: Vec<Surplus>,
}

impl RatingTable {
    /// Creates an empty table that counts as `source`.
    #[must_use]
    pub const fn new(source: Incarnation) -> Self {
        Self {
            source,
            rows: Vec::new(),
            timely: Vec::new(),
            surplus: Vec::new(),
        }
    }

    /// Counts the outcome of one answer; `now` is in Unix milliseconds.
    pub fn observe(
        &mut self,
        class: &ClassId,
        version: &VersionRef,
        reach: Reach,
        outcome: Outcome,
        now: Millis,
    ) {
        let (epoch, source) = (epoch_of(now), self.source);
        let index = self.find_or_insert(class, version, reach);
        let row = &mut self.rows[index];
        row.find_or_insert_cell(epoch, source).count(outcome);
        row.evict_old_cells();
        self.evict_oldest_row(index);
        match outcome {
            Outcome::Pass | Outcome::Fail => self.update_timely_share(class, Ppm::ONE),
            Outcome::Missing => self.update_timely_share(class, Ppm(0)),
            Outcome::LatePass | Outcome::LateFail => {}
        }
    }

    /// Estimates a pass rate at `now`, in Unix milliseconds; returns the prior if there are no ratings.
    #[must_use]
    pub fn estimate(
        &self,
        class: &ClassId,
        version: &VersionRef,
        reach: Reach,
        now: Millis,
    ) -> Estimate {
        match self.find(class, version, reach) {
            Ok(index) => self.rows[index].estimate(epoch_of(now)),
            Err(_) => posterior(0.0, 0.0, 0.0),
        }
    }

    /// Returns the share of recent answers of a class that were rated within the budget.
    #[must_use]
    pub fn rated_in_time(&self, class: &ClassId) -> Ppm {
        match self.timely.binary_search_by(|t| t.class.cmp(class)) {
            Ok(index) => self.timely[index].share,
            Err(_) => Ppm::ONE,
        }
    }

    /// Counts an answer that was delivered to a caller.
    ///
    /// `quality` is one or zero for a rated answer, and the lower bound of its version for an unrated one.
    /// Counting rated answers only would hide failures: an answer that was delivered because it was rated
    /// good always has a rating.
    pub fn record_delivered(&mut self, class: &ClassId, target: Permille, quality: Ppm) {
        let index = match self.surplus.binary_search_by(|s| s.class.cmp(class)) {
            Ok(index) => index,
            Err(index) => {
                let class = class.clone();
                self.surplus.insert(index, Surplus { class, millis: 0 });
                index
            }
        };
        let gain = i64::from(quality.0 / 1_000) - i64::from(target.0);
        let surplus = &mut self.surplus[index].millis;
        *surplus =
            (*surplus + gain).clamp(-SURPLUS_LIMIT_MILLI_ANSWERS, SURPLUS_LIMIT_MILLI_ANSWERS);
    }

    /// Returns the quality to plan for, so that the answers of a class meet its target on average.
    ///
    /// Plans rely on lower bounds of pass rates, so they deliver more quality than they aim at. A surplus over
    /// the target lowers the aim, and a shortfall raises it.
    #[must_use]
    pub fn aim(&self, class: &ClassId, target: Permille) -> Ppm {
        let found = self.surplus.binary_search_by(|s| s.class.cmp(class));
        let surplus =
            found.map_or(0, |index| self.surplus[index].millis) - SURPLUS_RESERVE_MILLI_ANSWERS;
        let aim = i64::from(target.0) * 1_000 - surplus * AIM_GAIN_PPM_PER_ANSWER / 1_000;
        Ppm(u32::try_from(aim.clamp(0, 1_000_000)).unwrap_or(0))
    }

    /// Returns the rows with the counts of this process only, for other processes.
    #[must_use]
    pub fn report(&self) -> Vec<Row> {
        let own_cells = |row: &Row| Row {
            cells: (row.cells.iter().copied())
                .filter(|c| c.source == self.source)
                .collect(),
            ..row.clone()
        };
        let rows = self.rows.iter().map(own_cells);
        rows.filter(|row| !row.cells.is_empty()).collect()
    }

    /// Merges the counts of other processes.
    ///
    /// Cells more than one epoch ahead of `now` are ignored: a source whose clock is wrong would otherwise
    /// displace the counts of all others.
    pub fn merge(&mut self, reported: &[Row], now: Millis) {
        let latest_epoch = epoch_of(now).saturating_add(1);
        for row in reported {
            let index = self.find_or_insert(&row.class, &row.version, row.reach);
            for cell in row.cells.iter().filter(|c| c.epoch <= latest_epoch) {
                self.rows[index]
                    .find_or_insert_cell(cell.epoch, cell.source)
                    .join(cell);
            }
            self.rows[index].evict_old_cells();
            self.evict_oldest_row(index);
        }
    }

    /// Drops the rows for which `keep` is false, such as those of withdrawn versions.
    pub fn retain(&mut self, mut keep: impl FnMut(&ClassId, &VersionRef) -> bool) {
        self.rows.retain(|row| keep(&row.class, &row.version));
        let rows = &self.rows;
        let in_use = |class: &ClassId| rows.iter().any(|row| row.class == *class);
        self.timely.retain(|t| in_use(&t.class));
        self.surplus.retain(|s| in_use(&s.class));
    }

    fn find(&self, class: &ClassId, version: &VersionRef, reach: Reach) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.key().cmp(&(class, version, reach)))
    }

    fn find_or_insert(&mut self, class: &ClassId, version: &VersionRef, reach: Reach) -> usize {
        self.find(class, version, reach).unwrap_or_else(|index| {
            let row = Row {
                class: class.clone(),
                version: version.clone(),
                reach,
                cells: Vec::new(),
            };
            self.rows.insert(index, row);
            index
        })
    }

    /// Evicts the row whose newest rating is oldest if there are more than [`MAX_ROWS`], but never the row
    /// that was just used.
    fn evict_oldest_row(&mut self, just_used: usize) {
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        let candidates = (0..self.rows.len()).filter(|&index| index != just_used);
        if let Some(oldest) = candidates.min_by_key(|&index| self.rows[index].newest_epoch()) {
            self.rows.remove(oldest);
        }
    }

    fn update_timely_share(&mut self, class: &ClassId, sample: Ppm) {
        let index = match self.timely.binary_search_by(|t| t.class.cmp(class)) {
            Ok(index) => index,
            Err(index) => {
                let class = class.clone();
                let share = Ppm::ONE;
                self.timely.insert(index, Timely { class, share });
                index
            }
        };
        let share = &mut self.timely[index].share;
        let difference = i64::from(sample.0) - i64::from(share.0);
        let next = i64::from(share.0) + difference / TIMELY_SMOOTHING_DIVISOR;
        share.0 = u32::try_from(next).unwrap_or(share.0);
    }
}

const fn epoch_of(now: Millis) -> u64 {
    now.0 / EPOCH_LENGTH.0
}

/// Returns the weight of ratings by their age in epochs.
fn decay_weight(age: u64) -> f64 {
    let age = u32::try_from(age).map_or(f64::INFINITY, f64::from);
    (-age / HALF_LIFE_EPOCHS).exp2()
}

fn posterior(passes: f64, fails: f64, missing: f64) -> Estimate {
    let (a, b) = (PRIOR_SHAPE + passes, PRIOR_SHAPE + fails);
    Estimate {
        mean: Ppm::from_fraction(a / (a + b)),
        lower: Ppm::from_fraction(beta::quantile(TAIL_PROBABILITY, a, b)),
        upper: Ppm::from_fraction(beta::quantile(1.0 - TAIL_PROBABILITY, a, b)),
        rated: round_to_count(passes + fails),
        missing: round_to_count(missing),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from float to integer saturates, and the count is not negative"
)]
const fn round_to_count(count: f64) -> u32 {
    count.round() as u32
}
