//! Pass rates of versions by request class, learned from ratings.
//!
//! Ratings are counted per source incarnation and epoch. Counts only grow within their epoch, so two
//! tables merge by taking the larger of each count: the merge is commutative, associative and counts no
//! rating twice. Decay applies when an estimate is read, by the age of each epoch. Times are Unix ms, since
//! epochs are compared between gateways.

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, Incarnation, VersionRef};
use crate::units::{Millis, Permille};

mod beta;
#[cfg(test)]
mod tests;

/// Length of an epoch.
pub const EPOCH: Millis = Millis::from_secs(300);
/// Epochs after which a rating counts half (30 minutes).
const HALF_LIFE_EPOCHS: f64 = 6.0;
/// Epochs that are kept; a rating older than that weighs under a sixteenth.
const KEPT_EPOCHS: u64 = 24;
/// Cells kept per row, newest epochs first: two epochs of 410 gateways, 64 KB.
const MAX_CELLS: usize = 1_024;
/// Rows kept; 13 versions in 10 classes need 260.
const MAX_ROWS: usize = 512;
/// Both parameters of the prior, a uniform distribution of the pass rate.
const PRIOR: f64 = 1.0;
/// Probability that the pass rate is outside one of the two bounds.
const TAIL: f64 = 0.05;
/// Change of the aim for one answer more or less than the target asks. The surplus settles where the
/// aim's reduction equals the caution of the lower bounds, at 10 to 20 answers.
const AIM_PPM_PER_ANSWER: i64 = 1_000;
/// Surplus that an aim equal to the target keeps, in thousandths of an answer: two standard deviations of
/// the surplus, so that a class is rarely short when its ratings stop.
const RESERVE: i64 = 10_000;
/// Largest surplus or shortfall that is remembered, in thousandths of an answer: 4 points of aim.
const SURPLUS_LIMIT: i64 = 40_000;
/// Observations over which the share of ratings in time is smoothed.
const TIMELY_WINDOW: i64 = 16;

/// A share in parts per million; whole numbers survive a JSON record exactly.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ppm(pub u32);

impl Ppm {
    /// The whole.
    pub const ONE: Self = Self(1_000_000);

    /// Rounds a fraction of one; a number outside 0 to 1 is clamped.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the clamped value is between 0 and 1,000,000"
    )]
    pub fn of(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * 1e6).round() as u32)
    }

    /// Returns the share as a fraction of one.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

/// What became of the rating of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer was rated good enough in time.
    Pass,
    /// The answer was rated not good enough in time.
    Fail,
    /// No rating came within the budget.
    Missing,
    /// A good rating came after `Missing` was observed for the same answer.
    LatePass,
    /// A bad rating came after `Missing` was observed for the same answer.
    LateFail,
}

/// How a request reached the version.
///
/// Requests on which a cheaper version failed are harder, so they have a pass rate of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    /// No earlier step was rated.
    First,
    /// An earlier step was rated and failed.
    Escalated,
}

/// The pass rate of a version as far as it is known.
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
    /// Answers without a rating so far, after decay. They are no evidence of either kind.
    pub missing: u32,
}

/// Counts of one source in one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Unix time divided by [`EPOCH`].
    pub epoch: u64,
    /// The process that counted.
    pub source: Incarnation,
    /// Good ratings, late ones included.
    pub passes: u32,
    /// Bad ratings, late ones included.
    pub fails: u32,
    /// Answers whose rating was not there in time.
    pub missing: u32,
    /// Of these, answers that were rated later.
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

/// All counts of one version in one class.
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

    fn cell(&mut self, epoch: u64, source: Incarnation) -> &mut Cell {
        let at = match self.cells.binary_search_by_key(&(epoch, source), Cell::key) {
            Ok(at) => at,
            Err(at) => {
                self.cells.insert(at, Cell::new(epoch, source));
                at
            }
        };
        &mut self.cells[at]
    }

    /// Drops the oldest cells. What stays depends only on the keys seen, so the order of merges does not
    /// matter.
    fn trim(&mut self) {
        let oldest = self.newest().saturating_sub(KEPT_EPOCHS - 1);
        let expired = self.cells.partition_point(|c| c.epoch < oldest);
        let excess = self.cells.len().saturating_sub(MAX_CELLS);
        self.cells.drain(..expired.max(excess));
    }

    fn newest(&self) -> u64 {
        self.cells.last().map_or(0, |c| c.epoch)
    }

    fn estimate(&self, epoch: u64) -> Estimate {
        let (mut passes, mut fails, mut missing) = (0.0, 0.0, 0.0);
        for cell in &self.cells {
            let weight = weight(epoch.saturating_sub(cell.epoch));
            passes += weight * f64::from(cell.passes);
            fails += weight * f64::from(cell.fails);
            missing += weight * f64::from(cell.missing.saturating_sub(cell.late));
        }
        posterior(passes, fails, missing)
    }
}

/// Ratings smoothed over the last observations of a class, of this process only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Timely {
    class: ClassId,
    share: Ppm,
}

/// Answers returned by this process beyond, or short of, what a class's target asks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Surplus {
    class: ClassId,
    /// Thousandths of an answer.
    millis: i64,
}

/// Counts of all classes and versions that this process knows of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingTable {
    source: Incarnation,
    rows: Vec<Row>,
    timely: Vec<Timely>,
    surplus: Vec<Surplus>,
}

impl RatingTable {
    /// Makes an empty table that counts as `source`.
    #[must_use]
    pub const fn new(source: Incarnation) -> Self {
        Self {
            source,
            rows: Vec::new(),
            timely: Vec::new(),
            surplus: Vec::new(),
        }
    }

    /// Counts the outcome of one answer; `now` is Unix ms.
    pub fn observe(
        &mut self,
        class: &ClassId,
        version: &VersionRef,
        reach: Reach,
        outcome: Outcome,
        now: Millis,
    ) {
        let (epoch, source) = (epoch_of(now), self.source);
        let at = self.row(class, version, reach);
        let row = &mut self.rows[at];
        row.cell(epoch, source).count(outcome);
        row.trim();
        self.evict(at);
        match outcome {
            Outcome::Pass | Outcome::Fail => self.smooth(class, Ppm::ONE),
            Outcome::Missing => self.smooth(class, Ppm(0)),
            Outcome::LatePass | Outcome::LateFail => {}
        }
    }

    /// Estimates a pass rate at `now` in Unix ms; without evidence it is the prior.
    #[must_use]
    pub fn estimate(
        &self,
        class: &ClassId,
        version: &VersionRef,
        reach: Reach,
        now: Millis,
    ) -> Estimate {
        match self.find(class, version, reach) {
            Ok(at) => self.rows[at].estimate(epoch_of(now)),
            Err(_) => posterior(0.0, 0.0, 0.0),
        }
    }

    /// Returns the share of recent answers of a class that were rated within the budget.
    #[must_use]
    pub fn rated_in_time(&self, class: &ClassId) -> Ppm {
        match self.timely.binary_search_by(|t| t.class.cmp(class)) {
            Ok(at) => self.timely[at].share,
            Err(_) => Ppm::ONE,
        }
    }

    /// Counts an answer that was delivered to a caller.
    ///
    /// `quality` is one or zero for a rated answer, and the lower bound of its version for an unrated
    /// one. Leaving unrated answers out would hide failures: an answer that was accepted for its rating
    /// always has one.
    pub fn record_delivered(&mut self, class: &ClassId, target: Permille, quality: Ppm) {
        let at = match self.surplus.binary_search_by(|s| s.class.cmp(class)) {
            Ok(at) => at,
            Err(at) => {
                let class = class.clone();
                self.surplus.insert(at, Surplus { class, millis: 0 });
                at
            }
        };
        let gain = i64::from(quality.0 / 1_000) - i64::from(target.0);
        let surplus = &mut self.surplus[at].millis;
        *surplus = (*surplus + gain).clamp(-SURPLUS_LIMIT, SURPLUS_LIMIT);
    }

    /// Returns the quality to aim at so that the answers of a class meet its target on the whole.
    ///
    /// Plans count on lower bounds of pass rates, so they deliver more than they aim at. What was
    /// delivered beyond the target lowers the aim, and what was short of it raises it.
    #[must_use]
    pub fn aim(&self, class: &ClassId, target: Permille) -> Ppm {
        let found = self.surplus.binary_search_by(|s| s.class.cmp(class));
        let surplus = found.map_or(0, |at| self.surplus[at].millis) - RESERVE;
        let aim = i64::from(target.0) * 1_000 - surplus * AIM_PPM_PER_ANSWER / 1_000;
        Ppm(u32::try_from(aim.clamp(0, 1_000_000)).unwrap_or(0))
    }

    /// Returns the rows with what this process counted itself, to be sent to others.
    #[must_use]
    pub fn report(&self) -> Vec<Row> {
        let own = |row: &Row| Row {
            cells: (row.cells.iter().copied())
                .filter(|c| c.source == self.source)
                .collect(),
            ..row.clone()
        };
        let rows = self.rows.iter().map(own);
        rows.filter(|row| !row.cells.is_empty()).collect()
    }

    /// Takes in what others counted.
    ///
    /// Cells more than one epoch ahead of `now` are dropped: a source whose clock is wrong would push out
    /// the evidence of all others.
    pub fn merge(&mut self, reported: &[Row], now: Millis) {
        let limit = epoch_of(now).saturating_add(1);
        for row in reported {
            let at = self.row(&row.class, &row.version, row.reach);
            for cell in row.cells.iter().filter(|c| c.epoch <= limit) {
                self.rows[at].cell(cell.epoch, cell.source).join(cell);
            }
            self.rows[at].trim();
            self.evict(at);
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

    fn row(&mut self, class: &ClassId, version: &VersionRef, reach: Reach) -> usize {
        self.find(class, version, reach).unwrap_or_else(|at| {
            let row = Row {
                class: class.clone(),
                version: version.clone(),
                reach,
                cells: Vec::new(),
            };
            self.rows.insert(at, row);
            at
        })
    }

    /// Drops the row that was rated longest ago if there are too many, but not the one just used.
    fn evict(&mut self, used: usize) {
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        let others = (0..self.rows.len()).filter(|&at| at != used);
        if let Some(oldest) = others.min_by_key(|&at| self.rows[at].newest()) {
            self.rows.remove(oldest);
        }
    }

    fn smooth(&mut self, class: &ClassId, sample: Ppm) {
        let at = match self.timely.binary_search_by(|t| t.class.cmp(class)) {
            Ok(at) => at,
            Err(at) => {
                let class = class.clone();
                let share = Ppm::ONE;
                self.timely.insert(at, Timely { class, share });
                at
            }
        };
        let share = &mut self.timely[at].share;
        let gap = i64::from(sample.0) - i64::from(share.0);
        let next = i64::from(share.0) + gap / TIMELY_WINDOW;
        share.0 = u32::try_from(next).unwrap_or(share.0);
    }
}

const fn epoch_of(now: Millis) -> u64 {
    now.0 / EPOCH.0
}

fn weight(age: u64) -> f64 {
    let age = u32::try_from(age).map_or(f64::INFINITY, f64::from);
    (-age / HALF_LIFE_EPOCHS).exp2()
}

fn posterior(passes: f64, fails: f64, missing: f64) -> Estimate {
    let (a, b) = (PRIOR + passes, PRIOR + fails);
    Estimate {
        mean: Ppm::of(a / (a + b)),
        lower: Ppm::of(beta::quantile(TAIL, a, b)),
        upper: Ppm::of(beta::quantile(1.0 - TAIL, a, b)),
        rated: whole(passes + fails),
        missing: whole(missing),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates and the count is not negative"
)]
const fn whole(count: f64) -> u32 {
    count.round() as u32
}
