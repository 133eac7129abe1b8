//! Roll-out of a new version of a service under a deadline.
//!
//! During the first half no session moves to the new version. Then a small share of the sessions goes to the
//! new version until most of the time has passed. Each gateway compares the new version with the old one, by its
//! own requests and by the counts that the other gateways report, and can stop the roll-out by itself. If the new
//! version shows no faults, all requests go to it, the old upstreams finish the requests that they have, and the
//! roll-out is completed. The steps are late enough that even a faulty version that is never detected stays within
//! the allowed exposure.
//!
//! The platform enforces the deadline itself and stops the old upstreams. That is the difference from
//! [`crate::rollout::RolloutGuard`].

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::units::Millis;

use super::comparison::{AnswerReport, Comparison, Proof};

/// Share of sessions in the canary step, which follows the first half, in percent of the allowed exposure.
const CANARY_EXPOSURE_PERCENT: u64 = 80;

/// Part of the roll-out time during which sessions keep their version and new ones go to the old version, in
/// percent.
const PINNED_UNTIL_PERCENT: u64 = 52;

/// Part of the roll-out time at which the trial step begins, in percent. In this step all requests of the new
/// version go to a few of its upstreams, so that a version that fails only under load is detected before it gets
/// the whole load.
const TRIAL_FROM_PERCENT: u64 = 72;

/// Share of sessions in the trial step, in percent of the allowed exposure.
const TRIAL_EXPOSURE_PERCENT: u64 = 100;

/// Highest load of an upstream in the trial step, in percent of its usual load. At twice the usual load, versions
/// without a fault look like slow ones.
const TRIAL_LOAD_PERCENT: u64 = 100;

/// Remaining part of the roll-out time at which all sessions move, in percent of the allowed exposure. A faulty
/// version that is not detected gets all requests during this part; the earlier steps use less than half of the
/// exposure.
const FULL_REST_PERCENT: u64 = 44;

/// Time for which a version must have borne all requests for a completion well before the deadline.
const MIN_TIME_AFTER_MOVE: Millis = Millis::from_secs(5);

/// Time before the deadline at which the roll-out is completed if the version is shown to be sound: what writing and reading the record
/// take. The later, the more is seen of a version that turns bad under all requests.
const COMPLETE_LEAD: Millis = Millis(600);

/// Time before the deadline at which a version that is not shown to be sound is given up. It is later than the completion, so
/// that a gateway that knows more comes first.
const GIVE_UP_LEAD: Millis = Millis(150);

/// Age of the view of the store above which a gateway neither completes a roll-out nor gives it up: the others may know more.
const MAX_VIEW_AGE: Millis = Millis(2_500);

/// Minimum number of broken answers for a stop.
const MIN_BROKEN_ANSWERS: f64 = 3.0;

/// Minimum number of slow answers, or of slow streams, for a stop.
const MIN_SLOW_ANSWERS: f64 = 4.0;

/// The roll-out is stopped if the failed answers exceed the number expected at the old version's failure rate by
/// this many standard deviations.
const FAILED_DEVIATIONS: f64 = 3.0;

/// Minimum number of failed answers, slow answers or slow streams of all gateways together for a stop.
const MIN_POOLED_BAD_ANSWERS: f64 = 5.0;

/// The roll-out is stopped if the slow answers of all gateways together exceed the number expected of a version
/// without a fault by this many standard deviations.
const SLOW_DEVIATIONS: f64 = 1.6;

/// Prior that is added to the old version's counts, as (failed answers, all answers), since it may not have failed
/// any.
const PRIOR_ANSWERS: (f64, f64) = (0.2, 20.0);

/// The roll-out is stopped if the rate of broken answers exceeds 1.5 times the old version's by this much.
const EXCESS_BROKEN_RATE: f64 = 0.15;

/// Time within which several broken answers count once: one crash of an upstream breaks several answers, also of a
/// version without a fault.
const CRASH_WINDOW: Millis = Millis(500);

/// After all requests have moved, the roll-out is stopped if the rate of slow answers exceeds 1.5 times the old
/// version's by this much. A version without a fault has more slow answers than the old one then, since its
/// upstreams have no prompts cached.
const EXCESS_SLOW_RATE_AFTER_MOVE: f64 = 0.25;

/// While few requests go to the new version, the roll-out is stopped if the rate of slow answers exceeds 1.5 times
/// the old version's by this much. It is less than after the move because the upstreams have the prompts of these
/// requests cached by then, and because an unnecessary stop costs less than completing the roll-out of a slow
/// version.
const EXCESS_SLOW_RATE_BEFORE_MOVE: f64 = 0.1;

/// Once a gateway has the counts of all gateways, it uses this excess for its own slow answers, before and after
/// the move. It is larger because slow answers come in clusters, such as those of one upstream without cached
/// prompts.
const EXCESS_SLOW_RATE_LOCAL: f64 = 0.4;

/// The rate of slow answers, over all gateways, that is expected of a version without a fault exceeds the old
/// version's by this much. These answers date from before all requests move.
const EXCESS_SLOW_RATE_POOLED: f64 = 0.08;

/// The rate of streams with a slow pace, over all gateways, that is expected of a version without a fault exceeds
/// the old version's by this much. Cached prompts do not change the pace of a stream.
const EXCESS_SLOW_PACE_RATE_POOLED: f64 = 0.05;

/// Minimum number of answers of the old version before its usual time is used.
const MIN_BASELINE_SAMPLES: f64 = 8.0;

/// Number of answers over which the usual time is averaged.
const BASELINE_WINDOW_SAMPLES: f64 = 50.0;

/// Multiple of the old version's usual time to first byte above which an answer counts as slow.
const SLOW_FACTOR: f64 = 4.0;

/// Multiple of the old version's usual pace above which a stream counts as slow. It is smaller because the pace
/// varies less than the time to first byte.
const SLOW_PACE_FACTOR: f64 = 2.5;

/// Time up to which neither a first byte nor a pace counts as slow.
const MIN_SLOW_TIME: Millis = Millis(60);

/// Number of stream events over which the pace is measured. The pace reveals a version that starts its answers in
/// time but then generates them slowly.
pub const PACE_EVENTS: u64 = 4;

/// Half-life of the weight of past answers.
const HALF_LIFE: Millis = Millis(5_000);

/// Phase of a roll-out, common to all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The new version is being evaluated.
    Active,
    /// The new version has replaced the old one.
    Complete,
    /// The roll-out was stopped; the new version gets no requests.
    Reverted,
}

/// Why a roll-out ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The answers of all gateways are worse than the old version's on some route.
    WorseOnRoute,
    /// The answers of the whole service are worse than the old version's, at this gateway or by the beacons' counts.
    Worse,
    /// All routes that matter are shown to be sound.
    Sound,
    /// The time is over and a route that matters is not shown to be sound.
    Unproven,
}

impl Verdict {
    /// Returns the phase that follows.
    #[must_use]
    pub const fn phase(self) -> Phase {
        match self {
            Self::WorseOnRoute | Self::Worse | Self::Unproven => Phase::Reverted,
            Self::Sound => Phase::Complete,
        }
    }
}

/// Upstreams of the service that a request may be sent to, by version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Group {
    /// Upstreams of the new version.
    New,
    /// All other upstreams.
    Old,
}

/// How an upstream answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// Successfully, with this time to first byte.
    Good(Millis),
    /// With a stream of which [`PACE_EVENTS`] events, after the first ones, took this time.
    Paced(Millis),
    /// With an error that it caused itself.
    Failed,
    /// With an answer that was cut off.
    Broken,
    /// Not within this time, after which the answer was given up. It counts only if it is slow already.
    Unanswered(Millis),
}

#[derive(Debug, Clone, Copy, Default)]
struct DecayedCounts {
    total: f64,
    failed: f64,
    broken: f64,
    slow: f64,
    updated_at: Millis,
    /// When the last broken answer was counted.
    last_broken_at: Option<Millis>,
}

/// Grade of an answer in comparison with the old version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerGrade {
    /// As good as the old version's.
    Normal,
    /// An error that the upstream caused itself.
    Failed,
    /// Cut off.
    Broken,
    /// Several times slower than is usual for the old version.
    Slow,
}

/// Counts of the graded answers of one upstream or version, as exchanged between gateways.
///
/// Broken answers are not counted as bad here, since one crash of an upstream breaks answers at all gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 5]", into = "[u32; 5]")]
pub struct Judged {
    /// Answers of any grade, without paces.
    pub answers: u32,
    /// Answers that failed.
    pub failed: u32,
    /// Answers whose time to first byte was slow.
    pub slow: u32,
    /// Streams whose pace was measured.
    pub paces: u32,
    /// Streams whose pace was slow.
    pub slow_paces: u32,
}

impl From<[u32; 5]> for Judged {
    fn from([answers, failed, slow, paces, slow_paces]: [u32; 5]) -> Self {
        Self {
            answers,
            failed,
            slow,
            paces,
            slow_paces,
        }
    }
}

impl From<Judged> for [u32; 5] {
    fn from(counts: Judged) -> Self {
        [
            counts.answers,
            counts.failed,
            counts.slow,
            counts.paces,
            counts.slow_paces,
        ]
    }
}

impl Judged {
    /// Counts a graded answer.
    pub fn count(&mut self, answer: Answer, grade: AnswerGrade) {
        let bad = match (answer, grade) {
            (Answer::Paced(_), AnswerGrade::Slow) => Some(&mut self.slow_paces),
            (_, AnswerGrade::Slow) => Some(&mut self.slow),
            (_, AnswerGrade::Failed) => Some(&mut self.failed),
            (_, AnswerGrade::Normal | AnswerGrade::Broken) => None,
        };
        if let Some(bad) = bad {
            *bad = bad.saturating_add(1);
        }
        let all = match answer {
            Answer::Paced(_) => &mut self.paces,
            _ => &mut self.answers,
        };
        *all = all.saturating_add(1);
    }

    /// Returns the sum of both counts; each counter saturates.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            failed: self.failed.saturating_add(other.failed),
            slow: self.slow.saturating_add(other.slow),
            paces: self.paces.saturating_add(other.paces),
            slow_paces: self.slow_paces.saturating_add(other.slow_paces),
        }
    }

    /// Returns what these counts have more than earlier ones.
    #[must_use]
    pub const fn minus(self, earlier: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
            paces: self.paces.saturating_sub(earlier.paces),
            slow_paces: self.slow_paces.saturating_sub(earlier.slow_paces),
        }
    }

    /// Returns the number of answers that failed or were slow, and of streams with a slow pace.
    #[must_use]
    pub const fn bad(&self) -> u32 {
        (self.failed.saturating_add(self.slow)).saturating_add(self.slow_paces)
    }

    /// Returns whether these answers are significantly worse than the old version's, over all gateways.
    fn is_worse(&self, old: &Self) -> bool {
        let exceeds =
            |(bad, all): (u32, u32), (old_bad, old_all): (u32, u32), excess: f64, z: f64| {
                let old_rate =
                    (f64::from(old_bad) + PRIOR_ANSWERS.0) / (f64::from(old_all) + PRIOR_ANSWERS.1);
                let expected = f64::from(all) * (old_rate + excess);
                f64::from(bad) >= MIN_POOLED_BAD_ANSWERS.max(expected + z * (expected + 1.0).sqrt())
            };
        let failed = (self.failed, self.answers);
        let slow = (self.slow, self.answers);
        let paces = (self.slow_paces, self.paces);
        exceeds(failed, (old.failed, old.answers), 0.0, FAILED_DEVIATIONS)
            || exceeds(
                slow,
                (old.slow, old.answers),
                EXCESS_SLOW_RATE_POOLED,
                SLOW_DEVIATIONS,
            )
            || exceeds(
                paces,
                (old.slow_paces, old.paces),
                EXCESS_SLOW_PACE_RATE_POOLED,
                SLOW_DEVIATIONS,
            )
    }
}

impl DecayedCounts {
    #[expect(
        clippy::cast_precision_loss,
        reason = "spans of a process's life are far below 2^52 ms"
    )]
    fn add(&mut self, grade: AnswerGrade, now: Millis) {
        if grade == AnswerGrade::Broken {
            if self
                .last_broken_at
                .is_some_and(|at| now.since(at) < CRASH_WINDOW)
            {
                return;
            }
            self.last_broken_at = Some(now);
        }
        let halvings = now.since(self.updated_at).0 as f64 / HALF_LIFE.0 as f64;
        let keep = 0.5_f64.powf(halvings);
        self.total = self.total * keep + 1.0;
        self.failed = self.failed * keep + f64::from(u8::from(grade == AnswerGrade::Failed));
        self.broken = self.broken * keep + f64::from(u8::from(grade == AnswerGrade::Broken));
        self.slow = self.slow * keep + f64::from(u8::from(grade == AnswerGrade::Slow));
        self.updated_at = now;
    }

    /// Returns whether more of these answers are broken or slow than of the old version's, at this gateway.
    fn is_worse(&self, old: &Self, excess_slow: f64) -> bool {
        let exceeds = |count: f64, old_count: f64, (least, excess): (f64, f64)| {
            let (rate, old_rate) = (count / self.total.max(1.0), old_count / old.total.max(1.0));
            count >= least && rate > old_rate * 1.5 + excess
        };
        exceeds(
            self.broken,
            old.broken,
            (MIN_BROKEN_ANSWERS, EXCESS_BROKEN_RATE),
        ) || exceeds(self.slow, old.slow, (MIN_SLOW_ANSWERS, excess_slow))
    }
}

/// Properties of a request that determine its usual time to first byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestProfile {
    /// Hash of the route's name.
    pub route: u64,
    /// Base-2 logarithm of the prompt's length in tokens.
    pub length: u8,
    /// Index of the model.
    pub model: u8,
}

impl RequestProfile {
    /// Returns the keys of the request groups that the profile belongs to, from the narrowest to the widest.
    fn keys(self) -> [u64; 3] {
        let model = u64::from(self.model) << 8 | 1;
        let sized = u64::from(self.length) << 16 | model | 2;
        [self.route ^ (sized | 4), sized, model]
    }
}

/// Usual time of the old version for one group of requests.
#[derive(Debug, Clone)]
struct Baseline {
    key: u64,
    samples: f64,
    /// Mean of the natural logarithms of the times in milliseconds; a single long time changes it little.
    mean_log: f64,
}

/// Usual times of the old version by group of requests, sorted by key.
#[derive(Debug, Clone, Default)]
struct Baselines {
    groups: Vec<Baseline>,
}

impl Baselines {
    /// Returns whether a time is slow for its request profile; `false` until the usual time is known.
    fn is_slow(&self, profile: RequestProfile, time: Millis, factor: f64) -> bool {
        let known = |key| self.groups.binary_search_by_key(&key, |u| u.key).ok();
        let mut groups = profile.keys().into_iter().filter_map(known);
        let baseline = groups.find(|at| self.groups[*at].samples >= MIN_BASELINE_SAMPLES);
        baseline.is_some_and(|at| {
            let limit = self.groups[at].mean_log + factor.ln();
            time > MIN_SLOW_TIME && log_ms(time) > limit
        })
    }

    fn record(&mut self, profile: RequestProfile, time: Millis) {
        let value = log_ms(time);
        for key in profile.keys() {
            let at = match self.groups.binary_search_by_key(&key, |u| u.key) {
                Ok(at) => at,
                Err(at) => {
                    let baseline = Baseline {
                        key,
                        samples: 0.0,
                        mean_log: 0.0,
                    };
                    self.groups.insert(at, baseline);
                    at
                }
            };
            let baseline = &mut self.groups[at];
            baseline.samples += 1.0;
            baseline.mean_log +=
                (value - baseline.mean_log) / baseline.samples.min(BASELINE_WINDOW_SAMPLES);
        }
    }
}

/// The roll-out of one service.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// Version that is being rolled out.
    pub to: Rc<str>,
    phase: Phase,
    started: Millis,
    ramp: Millis,
    exposure_permille: u64,
    old: DecayedCounts,
    new: DecayedCounts,
    old_paces: DecayedCounts,
    new_paces: DecayedCounts,
    first_byte_baselines: Baselines,
    pace_baselines: Baselines,
    /// Counts of all gateways for the new and for the old version.
    pooled_counts: (Judged, Judged),
    /// What all gateways have seen, by route.
    comparison: Comparison,
    /// Age of this gateway's view of the store, and when it was taken; `None` without a store.
    view_age: Option<(Millis, Millis)>,
}

impl Rollout {
    /// Creates a roll-out that started at `started` and must be done within `ramp`. At most `exposure_permille` of
    /// the service's requests may reach a faulty version.
    #[must_use]
    pub fn new(to: Rc<str>, started: Millis, ramp: Millis, exposure_permille: u64) -> Self {
        Self {
            to,
            phase: Phase::Active,
            started,
            ramp,
            exposure_permille,
            old: DecayedCounts::default(),
            new: DecayedCounts::default(),
            old_paces: DecayedCounts::default(),
            new_paces: DecayedCounts::default(),
            first_byte_baselines: Baselines::default(),
            pace_baselines: Baselines::default(),
            pooled_counts: Default::default(),
            comparison: Comparison::default(),
            view_age: None,
        }
    }

    /// Applies a recorded phase. A recorded decision is binding for all gateways; `Active` is ignored, since it
    /// may be older than a stop decided here.
    pub fn set_phase(&mut self, phase: Phase) {
        if phase != Phase::Active {
            self.phase = phase;
        }
    }

    /// Returns when the roll-out started.
    #[must_use]
    pub const fn started(&self) -> Millis {
        self.started
    }

    /// Sets the start to the recorded one, which another gateway may have written.
    pub fn set_start(&mut self, started: Millis) {
        self.started = started;
    }

    /// Returns the current phase.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the share of sessions that go to the new version, in permille.
    #[must_use]
    pub fn share_permille(&self, now: Millis) -> u64 {
        match self.phase {
            Phase::Complete => 1_000,
            Phase::Reverted => 0,
            // Ongoing sessions may be known only to other gateways, so none may move by its hash.
            Phase::Active if self.pins_sessions(now) => 0,
            Phase::Active if self.is_within_rest(FULL_REST_PERCENT, now) => 1_000,
            Phase::Active if self.is_trial(now) => {
                (self.exposure_permille * TRIAL_EXPOSURE_PERCENT / 100).min(1_000)
            }
            Phase::Active => self.exposure_permille * CANARY_EXPOSURE_PERCENT / 100,
        }
    }

    /// Returns whether all requests go to the new version, which is not completed yet.
    #[must_use]
    pub fn has_moved(&self, now: Millis) -> bool {
        self.phase == Phase::Active && self.is_within_rest(FULL_REST_PERCENT, now)
    }

    /// Returns whether sessions must keep the version that they used before.
    #[must_use]
    pub fn pins_sessions(&self, now: Millis) -> bool {
        self.phase == Phase::Active
            && now.since(self.started).0 * 100 < self.ramp.0 * PINNED_UNTIL_PERCENT
    }

    /// Returns the group that a session belongs to. It follows from the session's hash, so gateways agree on it
    /// without exchanging messages.
    #[must_use]
    pub fn group(&self, session: u64, now: Millis) -> Group {
        if super::mix(session) % 1_000 < self.share_permille(now) {
            Group::New
        } else {
            Group::Old
        }
    }

    /// Returns how many of the new version's `count` ready upstreams may get a request. In the trial step these
    /// are only a few, but all of them after an attempt that failed (`tried` > 0).
    #[must_use]
    pub fn upstreams_in_use(&self, count: usize, tried: usize, now: Millis) -> usize {
        if tried > 0 || !self.is_trial(now) {
            return count;
        }
        let share = self.share_permille(now) * count as u64;
        let in_use = share.div_ceil(TRIAL_LOAD_PERCENT * 10).max(1);
        usize::try_from(in_use).map_or(count, |n| n.min(count))
    }

    /// Returns whether a request may use the other group if its own group, `from`, has no upstream.
    #[must_use]
    pub fn can_fall_back(&self, from: Group) -> bool {
        match (self.phase, from) {
            // A reverted version gets no requests, even if the old one has no upstreams left. A version that is
            // still being evaluated gets no more than its share.
            (Phase::Reverted, _) | (Phase::Active, Group::Old) => false,
            // The old upstreams stop when the roll-out is complete, but some may still be registered.
            (Phase::Active | Phase::Complete, Group::New) | (Phase::Complete, Group::Old) => true,
        }
    }

    /// Sets the counts of all gateways for the new and for the old version.
    pub const fn set_pooled_counts(&mut self, new: Judged, old: Judged) {
        self.pooled_counts = (new, old);
        self.comparison.set_whole(new, old);
    }

    /// Records an answer and returns its grade.
    pub fn observe(
        &mut self,
        version: &str,
        profile: RequestProfile,
        answer: Answer,
        now: Millis,
    ) -> AnswerGrade {
        let is_new = version == self.to.as_ref();
        let is_slow = match answer {
            Answer::Good(time) | Answer::Unanswered(time) => {
                self.first_byte_baselines
                    .is_slow(profile, time, SLOW_FACTOR)
            }
            Answer::Paced(time) => self.pace_baselines.is_slow(profile, time, SLOW_PACE_FACTOR),
            Answer::Failed | Answer::Broken => false,
        };
        if matches!(answer, Answer::Unanswered(_)) && !is_slow {
            return AnswerGrade::Normal;
        }
        let (grade, time) = match answer {
            Answer::Failed => (AnswerGrade::Failed, None),
            Answer::Broken => (AnswerGrade::Broken, None),
            // The time of an answer that did not come is not known.
            Answer::Unanswered(_) => (AnswerGrade::Slow, None),
            Answer::Good(time) | Answer::Paced(time) if is_slow => (AnswerGrade::Slow, Some(time)),
            Answer::Good(time) | Answer::Paced(time) => (AnswerGrade::Normal, Some(time)),
        };
        if !is_new && self.pins_sessions(now) {
            self.comparison.count_earlier(profile.route, answer, grade);
        } else {
            (self.comparison).count(profile.route, is_new, answer, grade);
        }
        let (baseline, old, new) = match answer {
            Answer::Paced(_) => (
                &mut self.pace_baselines,
                &mut self.old_paces,
                &mut self.new_paces,
            ),
            _ => (&mut self.first_byte_baselines, &mut self.old, &mut self.new),
        };
        if is_new {
            new.add(grade, now);
            return grade;
        }
        old.add(grade, now);
        if let Some(time) = time {
            baseline.record(profile, time);
        }
        grade
    }

    /// Takes in what another gateway has seen.
    pub fn merge(&mut self, report: AnswerReport, now: Millis) {
        self.comparison.merge(report, now);
    }

    /// Sums what all gateways have seen; `view_age` is the age of this gateway's view of the store.
    pub fn update(&mut self, view_age: Option<Millis>, now: Millis) {
        self.view_age = view_age.map(|age| (age, now));
        if self.phase == Phase::Active {
            self.comparison
                .update(self.share_permille(now) == 1_000, now);
        }
    }

    /// Returns what all gateways have seen, by route.
    #[must_use]
    pub const fn comparison(&self) -> &Comparison {
        &self.comparison
    }

    /// Returns the rate of this gateway's answers since the order, rounded up to a whole number a second.
    #[must_use]
    pub fn answers_per_second(&self, now: Millis) -> u64 {
        let answers = self.comparison.own_answers() * 1_000;
        answers.div_ceil(now.since(self.started).0.max(1_000))
    }

    /// Returns the phase to record if the roll-out should stop or complete now.
    #[must_use]
    pub fn decision(&self, now: Millis) -> Option<Phase> {
        self.verdict(now).map(Verdict::phase)
    }

    /// Returns why the roll-out should stop or complete now, if it should.
    #[must_use]
    pub fn verdict(&self, now: Millis) -> Option<Verdict> {
        if self.phase != Phase::Active {
            return None;
        }
        if self.comparison.finding().is_some() {
            return Some(Verdict::WorseOnRoute);
        }
        let excess_slow = if self.has_moved(now) {
            EXCESS_SLOW_RATE_AFTER_MOVE
        } else {
            EXCESS_SLOW_RATE_BEFORE_MOVE
        };
        let local_excess = if self.pooled_counts.0.answers == 0 {
            excess_slow
        } else {
            EXCESS_SLOW_RATE_LOCAL
        };
        let is_worse = self.new.is_worse(&self.old, local_excess)
            || self.new_paces.is_worse(&self.old_paces, local_excess)
            || self.pooled_counts.0.is_worse(&self.pooled_counts.1);
        if is_worse {
            return Some(Verdict::Worse);
        }
        if !self.has_moved(now) || !self.is_view_current(now) {
            return None;
        }
        let left = self.left(now);
        match self.comparison.proof() {
            Proof::Sound => {
                let has_borne_all = self.time_after_move(now) >= MIN_TIME_AFTER_MOVE
                    && self.comparison.has_seen_move();
                (has_borne_all || left <= COMPLETE_LEAD).then_some(Verdict::Sound)
            }
            Proof::Doubtful(_) | Proof::TooFew(_) => {
                (left <= GIVE_UP_LEAD).then_some(Verdict::Unproven)
            }
        }
    }

    /// Returns whether this gateway hears from the others through the store.
    fn is_view_current(&self, now: Millis) -> bool {
        (self.view_age).is_none_or(|(age, at)| age + now.since(at) <= MAX_VIEW_AGE)
    }

    /// Returns this gateway's decayed counts for logs, first of the new version and then of the old one: failed,
    /// broken, slow and all answers, slow and all paces.
    #[must_use]
    pub fn local_counts(&self) -> [[f64; 6]; 2] {
        let of = |answers: &DecayedCounts, paces: &DecayedCounts| {
            [
                answers.failed,
                answers.broken,
                answers.slow,
                answers.total,
                paces.slow,
                paces.total,
            ]
        };
        [
            of(&self.new, &self.new_paces),
            of(&self.old, &self.old_paces),
        ]
    }

    /// Returns the counts of all gateways for the new and for the old version.
    #[must_use]
    pub const fn pooled_counts(&self) -> (Judged, Judged) {
        self.pooled_counts
    }

    /// Returns whether the roll-out is in the trial step.
    fn is_trial(&self, now: Millis) -> bool {
        let spent = now.since(self.started).0 * 100;
        self.phase == Phase::Active
            && spent >= self.ramp.0 * TRIAL_FROM_PERCENT
            && !self.is_within_rest(FULL_REST_PERCENT, now)
    }

    /// Returns whether the remaining part of the roll-out time is at most `percent` of the allowed exposure, both
    /// taken as shares of a whole.
    fn is_within_rest(&self, percent: u64, now: Millis) -> bool {
        self.left(now).0 * 100_000 <= self.rest(percent)
    }

    /// Returns the time until the deadline.
    fn left(&self, now: Millis) -> Millis {
        self.ramp.since(now.since(self.started))
    }

    /// Returns how long all requests have gone to the new version.
    fn time_after_move(&self, now: Millis) -> Millis {
        Millis(self.rest(FULL_REST_PERCENT) / 100_000).since(self.left(now))
    }

    /// Returns `percent` of the allowed exposure as a part of the roll-out time, in hundred-thousandths of a millisecond.
    const fn rest(&self, percent: u64) -> u64 {
        self.ramp.0 * self.exposure_permille * percent
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times of answers are far below 2^52 ms"
)]
fn log_ms(time: Millis) -> f64 {
    (time.0.max(1) as f64).ln()
}
