//! Roll-out shares and detection of a version that turned bad.
//!
//! Each gateway counts its requests on the new and on the stable version as [`Evidence`]. The holder of
//! the roll-out's lease merges the reports into a [`RolloutGuard`], which raises the share step by step,
//! or stops the roll-out with the numbers that were the reason. The guard is plain data: the next holder
//! reads it back and goes on with the same share, and reports that it sees again are not counted twice.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, VersionRef};
use crate::units::{Millis, Permille};

mod detector;
#[cfg(test)]
mod tests;

use detector::Detector;
pub use detector::Tally;

/// Shares of the stable version's requests that a roll-out steps through.
pub const SHARES: [Permille; 7] = [
    Permille(10),
    Permille(20),
    Permille(50),
    Permille(100),
    Permille(250),
    Permille(500),
    Permille(1_000),
];
/// Probability with which one of the two tests ever stops a version no worse than the stable one. Half
/// of the allowed 1 in 1,000 roll-outs is left for errors in the stable version's observed rate.
const FALSE_STOP: f64 = 0.000_5;
/// Tests of one roll-out: errors and low ratings.
const TESTS: f64 = 2.0;
/// Evidence, as a share of what stops the roll-out, above which the share is not raised.
const SUSPICION: f64 = 0.4;
/// Requests and ratings of the new version that a step needs at exposure weight zero.
const STEP_MIN: u32 = 100;
/// Requests and ratings that a step needs on top at exposure weight one.
const STEP_WEIGHTED: u32 = 900;
/// Shortest time between two steps, so that late reports of a step arrive before the next one.
const STEP_DWELL: Millis = Millis::from_secs(10);
/// Sources that are kept; 410 gateways that are replaced four times.
const MAX_SOURCES: usize = 2_048;

/// What happened to one request or rating of a version in a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Observation {
    /// The version gave an answer.
    Answered,
    /// The version failed.
    Failed,
    /// The engine crashed while a single suspect request was in flight; no evidence.
    CrashOfSuspect,
    /// The VM of the upstream died; no evidence.
    DeadVm,
    /// An answer was rated good enough.
    RatedGood,
    /// An answer was rated not good enough.
    RatedLow,
}

/// Counts of one version at one source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests, with failed ones as bad.
    pub runs: Tally,
    /// Ratings, with low ones as bad.
    pub ratings: Tally,
    /// Failures that are no evidence against the version.
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

/// Counts of both versions since a gateway started; they only grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The gateway's incarnation.
    pub source: Incarnation,
    /// The version that is rolled out.
    pub new: Counts,
    /// The version that it replaces.
    pub stable: Counts,
}

impl Evidence {
    /// Makes empty counts of a source.
    #[must_use]
    pub fn new(source: Incarnation) -> Self {
        Self {
            source,
            new: Counts::default(),
            stable: Counts::default(),
        }
    }
}

/// The highest counts of a source and when it last reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Source {
    evidence: Evidence,
    seen: Millis,
}

/// Where a roll-out stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The share rises with the evidence.
    Ramping,
    /// The share stays as it is.
    Held(HoldReason),
    /// The version gets no new request.
    Stopped(StopReason),
    /// The largest share is reached; the version is still watched.
    Complete,
}

/// Why a share stays as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// An operator holds it.
    Operator,
    /// The evidence against the version is not enough to stop and too much to go on.
    Suspicious,
}

/// Why a roll-out was stopped, with the totals of both versions at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The new version fails more requests than the stable one.
    Errors {
        /// Requests of the new version since the last review.
        new: Tally,
        /// Requests of the stable version since the last review, or in all if there were none since.
        stable: Tally,
        /// Share at the time.
        share: Permille,
    },
    /// The new version's answers are rated low more often than the stable one's.
    LowRatings {
        /// Ratings of the new version since the last review.
        new: Tally,
        /// Ratings of the stable version since the last review, or in all if there were none since.
        stable: Tally,
        /// Share at the time.
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

/// State of one roll-out; serialised under its lease.
///
/// Exposure after a version turns bad: the test needs some number `N` of requests of the version, which
/// depends on how bad it is and not on the number of gateways, since counts are pooled. Until every
/// gateway applies the stop, requests go on for the lag `L` from a request to the decision and back. With
/// `G` gateways that each send `r` requests a second to the stable version and a share `s`, the version
/// sees at most `N + G * r * s * L` bad requests. `N` is about the stop threshold plus 1.1 times the
/// logarithm of the batch number, divided by the mean log-likelihood ratio of a bad request.
///
/// A share of 100% leaves no requests of the stable version to compare with. An incident that hits all
/// versions then looks like a version that turned bad, and stops the roll-out; a lower largest share keeps
/// a control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutGuard {
    /// The version that is rolled out.
    pub version: VersionRef,
    phase: Phase,
    max_share: Permille,
    exposure_weight: Permille,
    step: usize,
    step_since: Millis,
    step_new: Counts,
    step_stable: Counts,
    total_stable: Counts,
    sources: Vec<Source>,
    errors: Detector,
    ratings: Detector,
}

impl RolloutGuard {
    /// Starts a roll-out at the first share; `now` is Unix ms.
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

    /// Returns the share of the stable version's requests that the new one takes now.
    #[must_use]
    pub fn share(&self) -> Permille {
        match self.phase {
            Phase::Stopped(_) => Permille(0),
            Phase::Ramping | Phase::Held(_) | Phase::Complete => {
                SHARES[self.step].min(self.max_share)
            }
        }
    }

    /// Returns where the roll-out stands.
    #[must_use]
    pub const fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Merges reports of gateways and decides; `now` is Unix ms.
    ///
    /// A report that repeats or precedes an earlier one of its source changes nothing.
    pub fn update(&mut self, reports: &[Evidence], now: Millis) -> &Phase {
        let (mut new, mut stable) = (Counts::default(), Counts::default());
        for report in reports {
            let gained = self.merge(report, now);
            new.add(gained.new);
            stable.add(gained.stable);
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

    /// Stops the roll-out for an operator.
    pub fn stop(&mut self) {
        if !matches!(self.phase, Phase::Stopped(_)) {
            self.phase = Phase::Stopped(StopReason::Operator);
        }
    }

    /// Holds the share for an operator, or goes on.
    pub fn hold(&mut self, held: bool) {
        match (&self.phase, held) {
            (Phase::Ramping | Phase::Held(_), true) => {
                self.phase = Phase::Held(HoldReason::Operator);
            }
            (Phase::Held(HoldReason::Operator), false) => self.phase = Phase::Ramping,
            _ => {}
        }
    }

    /// Returns what a report adds to what its source reported before.
    fn merge(&mut self, report: &Evidence, now: Millis) -> Evidence {
        let found = (self.sources).binary_search_by_key(&report.source, |s| s.evidence.source);
        let at = found.unwrap_or_else(|at| {
            let evidence = Evidence::new(report.source);
            self.sources.insert(
                at,
                Source {
                    evidence,
                    seen: now,
                },
            );
            at
        });
        let known = &mut self.sources[at];
        let earlier = known.evidence;
        known.seen = now;
        known.evidence.new.join(report.new);
        known.evidence.stable.join(report.stable);
        let gained = Evidence {
            source: report.source,
            new: known.evidence.new.since(earlier.new),
            stable: known.evidence.stable.since(earlier.stable),
        };
        self.trim();
        gained
    }

    /// Drops the source that has been silent longest if there are too many: an incarnation that ended
    /// reports no more, so it is not counted again.
    fn trim(&mut self) {
        if self.sources.len() <= MAX_SOURCES {
            return;
        }
        let silent = (0..self.sources.len()).min_by_key(|&at| self.sources[at].seen);
        if let Some(at) = silent {
            self.sources.remove(at);
        }
    }

    fn decide(&mut self, now: Millis) {
        let threshold = (TESTS / FALSE_STOP).ln();
        let (errors, ratings) = (self.errors.evidence(), self.ratings.evidence());
        if errors.max(ratings) >= threshold {
            self.phase = Phase::Stopped(self.stop_reason(errors >= ratings));
            return;
        }
        let suspicious = errors.max(ratings) >= SUSPICION * threshold;
        match self.phase {
            Phase::Ramping if suspicious => self.phase = Phase::Held(HoldReason::Suspicious),
            Phase::Held(HoldReason::Suspicious) if !suspicious => self.phase = Phase::Ramping,
            Phase::Ramping if self.step_is_proven(now) => self.advance(now),
            // The totals of a stop reason show what went wrong lately.
            Phase::Complete if self.step_is_proven(now) => self.review(now),
            Phase::Ramping | Phase::Held(_) | Phase::Stopped(_) | Phase::Complete => {}
        }
    }

    fn step_is_proven(&self, now: Millis) -> bool {
        let weighted = STEP_WEIGHTED * u32::from(self.exposure_weight.0) / 1_000;
        let needed = STEP_MIN + weighted;
        let seen = self.step_new.runs.total.min(self.step_new.ratings.total);
        seen >= needed && now.since(self.step_since) >= STEP_DWELL
    }

    fn advance(&mut self, now: Millis) {
        if self.share() >= self.max_share || self.step + 1 == SHARES.len() {
            self.phase = Phase::Complete;
        } else {
            self.step += 1;
        }
        self.review(now);
    }

    fn review(&mut self, now: Millis) {
        self.step_since = now;
        self.step_new = Counts::default();
        self.step_stable = Counts::default();
    }

    fn stop_reason(&self, errors: bool) -> StopReason {
        let share = self.share();
        let stable = if self.step_stable.runs.total > 0 {
            &self.step_stable
        } else {
            &self.total_stable
        };
        if errors {
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
