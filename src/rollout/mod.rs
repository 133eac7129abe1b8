//! Gradual roll-out of a new version, with detection of a version that is worse than the stable one.
//!
//! Each gateway counts its requests on the new and on the stable version as [`Evidence`]. The holder of
//! the roll-out's lease merges the reports into a [`RolloutGuard`], which raises the new version's share of
//! requests step by step, or stops the roll-out and records the counts that led to the stop. The guard is
//! plain data: the next lease holder deserialises it and continues at the same share. Reports that were
//! already merged are not counted twice.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, VersionRef};
use crate::units::{Millis, Permille};

mod detector;
#[cfg(test)]
mod tests;

use detector::Detector;
pub use detector::Tally;

/// Shares of requests that the new version takes over from the stable one, step by step.
pub const SHARE_STEPS: [Permille; 7] = [
    Permille(10),
    Permille(20),
    Permille(50),
    Permille(100),
    Permille(250),
    Permille(500),
    Permille(1_000),
];
/// Probability that either of the two tests ever stops a version that is no worse than the stable one. It is
/// half of the one false stop in 1,000 roll-outs that is allowed; the other half is left for errors in the
/// stable version's observed rate.
const FALSE_STOP_PROBABILITY: f64 = 0.000_5;
/// Number of tests that run in a roll-out: errors and low ratings.
const TEST_COUNT: f64 = 2.0;
/// Fraction of the stop threshold from which the evidence holds the roll-out at its share.
const HOLD_FRACTION: f64 = 0.4;
/// Requests, and also ratings, of the new version that a step needs at exposure weight zero.
const STEP_BASE_SAMPLES: u32 = 100;
/// Further requests, and also ratings, that a step needs at exposure weight one.
const STEP_EXPOSURE_SAMPLES: u32 = 900;
/// Shortest duration of a step, so that late reports of the step arrive before the next one.
const MIN_STEP_DURATION: Millis = Millis::from_secs(10);
/// Maximum number of sources that are kept: about five incarnations of each of 410 gateways.
const MAX_SOURCES: usize = 2_048;

/// Outcome of one request, or one rating, of a version in a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Observation {
    /// The version answered the request.
    Answered,
    /// The version failed to answer the request.
    Failed,
    /// The engine crashed while exactly one suspect request was in flight; not counted against the version.
    CrashOfSuspect,
    /// The VM of the upstream died; not counted against the version.
    DeadVm,
    /// An answer was rated good enough.
    RatedGood,
    /// An answer was rated not good enough.
    RatedLow,
}

/// Counts of one version, as reported by one source or summed over sources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests; the failed ones are bad.
    pub runs: Tally,
    /// Ratings; the low ones are bad.
    pub ratings: Tally,
    /// Failures that do not count against the version.
    pub excluded: u32,
}

impl Counts {
    /// Counts one observation.
    pub const fn observe(&mut self, observation: Observation) {
        let (tally, bad) = match observation {
            Observation::Answered => (&mut self.runs, false),
            Observation::Failed => (&mut self.runs, true),
            Observation::RatedGood => (&mut self.ratings, false),
            Observation::RatedLow => (&mut self.ratings, true),
            Observation::CrashOfSuspect | Observation::DeadVm => {
                self.excluded = self.excluded.saturating_add(1);
                return;
            }
        };
        tally.total = tally.total.saturating_add(1);
        tally.bad = tally.bad.saturating_add(bad as u32);
    }

    /// Merges two states of the same growing counts by taking the larger of each.
    fn join(&mut self, other: Self) {
        self.runs.join(other.runs);
        self.ratings.join(other.ratings);
        self.excluded = self.excluded.max(other.excluded);
    }

    fn add(&mut self, other: Self) {
        self.runs.add(other.runs);
        self.ratings.add(other.ratings);
        self.excluded = self.excluded.saturating_add(other.excluded);
    }

    const fn since(self, earlier: Self) -> Self {
        Self {
            runs: self.runs.since(earlier.runs),
            ratings: self.ratings.since(earlier.ratings),
            excluded: self.excluded.saturating_sub(earlier.excluded),
        }
    }
}

/// Counts of both versions since a gateway process started; they never decrease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Incarnation of the gateway that counted.
    pub source: Incarnation,
    /// The version that is rolled out.
    pub new: Counts,
    /// The version that it replaces.
    pub stable: Counts,
}

impl Evidence {
    /// Creates empty counts of a source.
    #[must_use]
    pub fn new(source: Incarnation) -> Self {
        Self {
            source,
            new: Counts::default(),
            stable: Counts::default(),
        }
    }
}

/// The highest counts that a source has reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Source {
    evidence: Evidence,
    /// Time of the last report.
    seen: Millis,
}

/// Phase of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The share is raised step by step.
    Ramping,
    /// The share is not raised for now.
    Held(HoldReason),
    /// The new version gets no more requests.
    Stopped(StopReason),
    /// The largest share is reached; the version is still monitored and can be stopped.
    Complete,
}

/// Why the share is not raised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// An operator ordered it.
    Operator,
    /// The evidence against the version is too weak for a stop but too strong to raise the share.
    Suspicious,
}

/// Why a roll-out was stopped, with the counts of both versions at that time.
///
/// The counts restart with each step and, once the roll-out is complete, each time that the requirements of
/// a step are met again. Such a restart is called a review.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The new version fails more requests than the stable one.
    Errors {
        /// Requests of the new version since the last review.
        new: Tally,
        /// Requests of the stable version since the last review; if there were none, since the start.
        stable: Tally,
        /// Share of the new version at that time.
        share: Permille,
    },
    /// The new version's answers are rated low more often than the stable one's.
    LowRatings {
        /// Ratings of the new version since the last review.
        new: Tally,
        /// Ratings of the stable version since the last review; if there were none, since the start.
        stable: Tally,
        /// Share of the new version at that time.
        share: Permille,
    },
    /// An operator stopped it.
    Operator,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (what, new, stable, share) = match self {
            Self::Errors { new, stable, share } => ("requests failed", new, stable, share),
            Self::LowRatings { new, stable, share } => {
                ("answers were rated low", new, stable, share)
            }
            Self::Operator => return f.write_str("an operator stopped the roll-out"),
        };
        write!(
            f,
            "{} of {} {what} since the last review, against {} of {} of the stable version, \
             at a share of {} in 1000",
            new.bad, new.total, stable.bad, stable.total, share.0
        )
    }
}

/// State of one roll-out; the holder of the roll-out's lease stores it.
///
/// Bound on the requests that a version receives after it becomes bad: the test needs some number `N` of
/// requests of the version, which depends on how bad it is and not on the number of gateways, since counts
/// are pooled. Until every gateway applies the stop, requests continue for the lag `L`, the time from a
/// request to the decision and back. With `G` gateways that each send `r` requests a second to the stable
/// version, and a share `s`, the version receives at most `N + G * r * s * L` such requests. `N` is about the
/// stop threshold plus 1.1 times the logarithm of the batch number, divided by the mean log-likelihood ratio
/// of a bad request.
///
/// A share of 100% leaves no requests of the stable version to compare with. An incident that hits all
/// versions then looks like a fault of the new version and stops the roll-out. A lower largest share keeps a
/// control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutGuard {
    /// The version that is rolled out.
    pub version: VersionRef,
    phase: Phase,
    max_share: Permille,
    exposure_weight: Permille,
    /// Index of the current share in [`SHARE_STEPS`].
    step: usize,
    /// Time of the last review, or of the start of the roll-out.
    step_since: Millis,
    /// Counts of the new version since the last review.
    step_new: Counts,
    /// Counts of the stable version since the last review.
    step_stable: Counts,
    /// Counts of the stable version since the start of the roll-out.
    total_stable: Counts,
    /// Sorted by incarnation.
    sources: Vec<Source>,
    errors: Detector,
    ratings: Detector,
}

impl RolloutGuard {
    /// Starts a roll-out at the first share; `now` is in Unix milliseconds.
    #[must_use]
    pub fn new(
        version: VersionRef,
        max_share: Permille,
        exposure_weight: Permille,
        now: Millis,
    ) -> Self {
        Self {
            version,
            phase: Phase::Ramping,
            max_share,
            exposure_weight,
            step: 0,
            step_since: now,
            step_new: Counts::default(),
            step_stable: Counts::default(),
            total_stable: Counts::default(),
            sources: Vec::new(),
            errors: Detector::new(),
            ratings: Detector::new(),
        }
    }

    /// Returns the current share of requests that the new version takes over from the stable one.
    #[must_use]
    pub fn share(&self) -> Permille {
        match self.phase {
            Phase::Stopped(_) => Permille(0),
            Phase::Ramping | Phase::Held(_) | Phase::Complete => {
                SHARE_STEPS[self.step].min(self.max_share)
            }
        }
    }

    /// Returns the phase of the roll-out.
    #[must_use]
    pub const fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Merges reports of gateways and decides how the roll-out continues; `now` is in Unix milliseconds.
    ///
    /// A report that repeats or precedes an earlier one of its source adds nothing to the counts.
    pub fn update(&mut self, reports: &[Evidence], now: Millis) -> &Phase {
        let (mut new, mut stable) = (Counts::default(), Counts::default());
        for report in reports {
            let increase = self.merge(report, now);
            new.add(increase.new);
            stable.add(increase.stable);
        }
        if matches!(self.phase, Phase::Stopped(_)) {
            return &self.phase;
        }
        self.step_new.add(new);
        self.step_stable.add(stable);
        self.total_stable.add(stable);
        let has_control = self.share() < Permille::ONE;
        self.errors.update(new.runs, stable.runs, has_control);
        self.ratings
            .update(new.ratings, stable.ratings, has_control);
        self.decide(now);
        &self.phase
    }

    /// Stops the roll-out on an operator's order.
    pub fn stop(&mut self) {
        if !matches!(self.phase, Phase::Stopped(_)) {
            self.phase = Phase::Stopped(StopReason::Operator);
        }
    }

    /// Holds the roll-out at its current share on an operator's order, or lifts such a hold.
    pub fn hold(&mut self, held: bool) {
        match (&self.phase, held) {
            (Phase::Ramping | Phase::Held(_), true) => {
                self.phase = Phase::Held(HoldReason::Operator);
            }
            (Phase::Held(HoldReason::Operator), false) => self.phase = Phase::Ramping,
            _ => {}
        }
    }

    /// Merges a report and returns the increase over the source's earlier reports.
    fn merge(&mut self, report: &Evidence, now: Millis) -> Evidence {
        let found = (self.sources).binary_search_by_key(&report.source, |s| s.evidence.source);
        let index = found.unwrap_or_else(|index| {
            let evidence = Evidence::new(report.source);
            self.sources.insert(
                index,
                Source {
                    evidence,
                    seen: now,
                },
            );
            index
        });
        let merged = &mut self.sources[index];
        let earlier = merged.evidence;
        merged.seen = now;
        merged.evidence.new.join(report.new);
        merged.evidence.stable.join(report.stable);
        let increase = Evidence {
            source: report.source,
            new: merged.evidence.new.since(earlier.new),
            stable: merged.evidence.stable.since(earlier.stable),
        };
        self.evict_source();
        increase
    }

    /// Evicts the source that reported least recently if there are more than [`MAX_SOURCES`]. That is most
    /// likely an incarnation that has ended; it sends no more reports, so its counts are not added again.
    fn evict_source(&mut self) {
        if self.sources.len() <= MAX_SOURCES {
            return;
        }
        let oldest = (0..self.sources.len()).min_by_key(|&index| self.sources[index].seen);
        if let Some(index) = oldest {
            self.sources.remove(index);
        }
    }

    fn decide(&mut self, now: Millis) {
        let threshold = (TEST_COUNT / FALSE_STOP_PROBABILITY).ln();
        let (errors, ratings) = (self.errors.evidence(), self.ratings.evidence());
        if errors.max(ratings) >= threshold {
            self.phase = Phase::Stopped(self.stop_reason(errors >= ratings));
            return;
        }
        let suspicious = errors.max(ratings) >= HOLD_FRACTION * threshold;
        match self.phase {
            Phase::Ramping if suspicious => self.phase = Phase::Held(HoldReason::Suspicious),
            Phase::Held(HoldReason::Suspicious) if !suspicious => self.phase = Phase::Ramping,
            Phase::Ramping if self.step_requirements_met(now) => self.advance(now),
            // Restarts the counts, so that those in a stop reason cover only recent requests.
            Phase::Complete if self.step_requirements_met(now) => self.restart_counts(now),
            Phase::Ramping | Phase::Held(_) | Phase::Stopped(_) | Phase::Complete => {}
        }
    }

    /// Returns whether the step has had enough requests, ratings and time.
    fn step_requirements_met(&self, now: Millis) -> bool {
        let weighted = STEP_EXPOSURE_SAMPLES * u32::from(self.exposure_weight.0) / 1_000;
        let needed = STEP_BASE_SAMPLES + weighted;
        let samples = self.step_new.runs.total.min(self.step_new.ratings.total);
        samples >= needed && now.since(self.step_since) >= MIN_STEP_DURATION
    }

    fn advance(&mut self, now: Millis) {
        if self.share() >= self.max_share || self.step + 1 == SHARE_STEPS.len() {
            self.phase = Phase::Complete;
        } else {
            self.step += 1;
        }
        self.restart_counts(now);
    }

    /// Restarts the counts of the step.
    fn restart_counts(&mut self, now: Millis) {
        self.step_since = now;
        self.step_new = Counts::default();
        self.step_stable = Counts::default();
    }

    fn stop_reason(&self, by_errors: bool) -> StopReason {
        let share = self.share();
        let stable = if self.step_stable.runs.total > 0 {
            &self.step_stable
        } else {
            &self.total_stable
        };
        if by_errors {
            StopReason::Errors {
                new: self.step_new.runs,
                stable: stable.runs,
                share,
            }
        } else {
            StopReason::LowRatings {
                new: self.step_new.ratings,
                stable: stable.ratings,
                share,
            }
        }
    }
}
