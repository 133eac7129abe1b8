//! Roll-out of a new version of a service under a deadline.
//!
//! After the first half a small share of the sessions goes to the new version until most of the time is over. Every
//! gateway judges the new version by its own requests and by those that the others have told of, and stops the
//! roll-out alone. If the version is sound, all requests go there, the old upstreams finish what they have, and the roll-out is completed.
//! The steps are so late that a version which is never found bad stays within the allowed exposure.
//! The platform runs its own deadline and stops the old upstreams, which sets this apart from the product's
//! [`crate::rollout::RolloutGuard`].

use std::rc::Rc;

use crate::units::Millis;

/// Part of the allowed exposure that is used after the first half, in percent.
const CANARY_PERCENT: u64 = 70;

/// Part of the time in which sessions stay with their version, in percent.
const PINNED_UNTIL: u64 = 52;

/// Part of the time from which the new version is under trial, in percent: few of its upstreams get all its
/// requests. A version that fails only under load shows it there before it has the whole load.
const TRIAL_FROM: u64 = 72;

/// Share of sessions under trial, in percent of the allowed exposure.
const TRIAL_PERCENT: u64 = 100;

/// Highest load of an upstream under trial, in percent of its usual one. At twice the load sound versions look
/// like slow ones.
const TRIAL_LOAD_PERCENT: u64 = 100;

/// Rest of the time at which all sessions move, in percent of the exposure. A version whose faults never
/// show has all requests for this part; the steps before use less than half of the exposure.
const FULL_REST_PERCENT: u64 = 44;

/// Rest of the time at which the roll-out is completed, in percent of the exposure: about a second of the
/// usual 24 s, in which the record is written.
const COMPLETE_REST_PERCENT: u64 = 32;

/// Bad answers that a stop needs at least.
const MIN_BAD: f64 = 3.0;

/// Slow answers that a stop needs at least.
const MIN_SLOW: f64 = 4.0;

/// Standard deviations of the failed answers that the old version's rate explains, above which a roll-out
/// is stopped.
const DEVIATIONS: f64 = 3.0;

/// Bad answers that all gateways together need at least for a stop.
const MIN_POOLED_BAD: f64 = 5.0;

/// Standard deviations of the slow answers that are expected of a sound version, above which all gateways together
/// stop a roll-out.
const SLOW_DEVIATIONS: f64 = 1.6;

/// Failed answers and answers that are added to the old version's, since it may have failed none.
const PRIOR: (f64, f64) = (0.2, 20.0);

/// Rate of broken answers above the old version's that stops the roll-out.
const EXCESS_BROKEN: f64 = 0.15;

/// Time in which broken answers count once: an upstream of a sound version that crashes breaks several.
const CRASH_SPAN: Millis = Millis(500);

/// Rate of slow answers above the old version's that stops the roll-out. A sound version has more slow
/// answers than the old one when all requests move there, since its upstreams have no prompts cached.
const EXCESS_SLOW: f64 = 0.25;

/// The same while few requests go to the new version: its upstreams have their prompts cached by then, and a
/// stop without need costs less than a slow version that is completed.
const EXCESS_SLOW_EARLY: f64 = 0.1;

/// The same for a gateway's own answers once it knows the others': slow ones come in runs, such as those of one
/// upstream without cached prompts.
const EXCESS_SLOW_OWN: f64 = 0.4;

/// The same for the answers that all gateways have told of. They come from before all requests move.
const EXCESS_SLOW_POOLED: f64 = 0.08;

/// The same for the pace of streams, which cached prompts do not change.
const EXCESS_PACE: f64 = 0.05;

/// Answers that the old version needs before its usual time counts.
const MIN_SAMPLES: f64 = 8.0;

/// Answers over which the usual time is smoothed.
const RECENT_SAMPLES: f64 = 50.0;

/// Times the old version's usual time at which an answer counts as slow.
const SLOW_FACTOR: f64 = 4.0;

/// The same for the pace of a stream, which varies less than the time to the first byte.
const SLOW_PACE_FACTOR: f64 = 2.5;

/// Time below which no answer and no part of a stream counts as slow.
const SLOW_FLOOR: Millis = Millis(60);

/// Events of a stream over which its pace is taken. A version may begin its answers in time and then make them slowly.
pub const PACE_EVENTS: u64 = 4;

/// Time in which an old observation loses half of its weight.
const HALF_LIFE: Millis = Millis(5_000);

/// Where the roll-out stands for all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The new version is being judged.
    Active,
    /// It has replaced the old one.
    Complete,
    /// It is given up.
    Reverted,
}

/// Which upstreams of the service may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Group {
    /// Those of the new version.
    New,
    /// All others.
    Old,
}

/// How an upstream answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answer {
    /// With success, its first byte after this time.
    Good(Millis),
    /// With a stream of which [`PACE_EVENTS`] events took this time, after the first ones.
    Paced(Millis),
    /// With an error of its own.
    Failed,
    /// With an answer that broke off.
    Broken,
}

#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    total: f64,
    failed: f64,
    broken: f64,
    slow: f64,
    updated: Millis,
    /// When the last broken answer was counted.
    broke: Option<Millis>,
}

/// How an answer counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerGrade {
    /// Like the old version's.
    Sound,
    /// With an error of the upstream's own.
    Failed,
    /// Broken off.
    Broken,
    /// Several times slower than the old version's.
    Slow,
}

/// Judged answers of one upstream or version, as gateways tell each other.
///
/// Broken answers are left out: one crash of an upstream breaks answers at all gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Judged {
    /// Answers.
    pub answers: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those whose first byte was slow.
    pub slow: u32,
    /// Streams whose pace was taken.
    pub paces: u32,
    /// Those whose pace was slow.
    pub slow_paces: u32,
}

impl Judged {
    /// Counts one answer.
    pub fn count(&mut self, answer: Answer, mark: AnswerGrade) {
        let bad = match (answer, mark) {
            (Answer::Paced(_), AnswerGrade::Slow) => Some(&mut self.slow_paces),
            (_, AnswerGrade::Slow) => Some(&mut self.slow),
            (_, AnswerGrade::Failed) => Some(&mut self.failed),
            (_, AnswerGrade::Sound | AnswerGrade::Broken) => None,
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

    /// Returns the answers of both.
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

    /// Tells whether this version is worse than the old one, by what all gateways have seen.
    fn is_worse(&self, old: &Self) -> bool {
        let exceeds =
            |(bad, all): (u32, u32), (old_bad, old_all): (u32, u32), excess: f64, z: f64| {
                let old_rate = (f64::from(old_bad) + PRIOR.0) / (f64::from(old_all) + PRIOR.1);
                let expected = f64::from(all) * (old_rate + excess);
                f64::from(bad) >= MIN_POOLED_BAD.max(expected + z * (expected + 1.0).sqrt())
            };
        let failed = (self.failed, self.answers);
        let slow = (self.slow, self.answers);
        let paces = (self.slow_paces, self.paces);
        exceeds(failed, (old.failed, old.answers), 0.0, DEVIATIONS)
            || exceeds(
                slow,
                (old.slow, old.answers),
                EXCESS_SLOW_POOLED,
                SLOW_DEVIATIONS,
            )
            || exceeds(
                paces,
                (old.slow_paces, old.paces),
                EXCESS_PACE,
                SLOW_DEVIATIONS,
            )
    }
}

impl Tally {
    #[expect(
        clippy::cast_precision_loss,
        reason = "spans of a process's life are far below 2^52 ms"
    )]
    fn add(&mut self, mark: AnswerGrade, now: Millis) {
        if mark == AnswerGrade::Broken {
            if self.broke.is_some_and(|at| now.since(at) < CRASH_SPAN) {
                return;
            }
            self.broke = Some(now);
        }
        let halvings = now.since(self.updated).0 as f64 / HALF_LIFE.0 as f64;
        let keep = 0.5_f64.powf(halvings);
        self.total = self.total * keep + 1.0;
        self.failed = self.failed * keep + f64::from(u8::from(mark == AnswerGrade::Failed));
        self.broken = self.broken * keep + f64::from(u8::from(mark == AnswerGrade::Broken));
        self.slow = self.slow * keep + f64::from(u8::from(mark == AnswerGrade::Slow));
        self.updated = now;
    }

    /// Tells whether this version is worse than the old one.
    fn is_worse(&self, old: &Self, excess_slow: f64) -> bool {
        let exceeds = |count: f64, old_count: f64, (least, excess): (f64, f64)| {
            let (rate, old_rate) = (count / self.total.max(1.0), old_count / old.total.max(1.0));
            count >= least && rate > old_rate * 1.5 + excess
        };
        let old_rate = (old.failed + PRIOR.0) / (old.total + PRIOR.1);
        let expected = self.total * old_rate;
        let fails = self.failed >= MIN_BAD
            && self.failed >= expected + DEVIATIONS * (expected + 1.0).sqrt();
        fails
            || exceeds(self.broken, old.broken, (MIN_BAD, EXCESS_BROKEN))
            || exceeds(self.slow, old.slow, (MIN_SLOW, excess_slow))
    }
}

/// Kind of a request, whose usual time to the first byte is alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestProfile {
    /// Hash of the route.
    pub route: u64,
    /// Length of the prompt, as a power of two.
    pub length: u8,
    /// Index of the model.
    pub model: u8,
}

impl RequestProfile {
    /// Returns keys of the kind, from the narrowest group of requests to the widest.
    fn keys(self) -> [u64; 3] {
        let model = u64::from(self.model) << 8 | 1;
        let sized = u64::from(self.length) << 16 | model | 2;
        [self.route ^ (sized | 4), sized, model]
    }
}

/// Time of the old version for one group of requests.
#[derive(Debug, Clone)]
struct Usual {
    key: u64,
    samples: f64,
    /// Mean of the natural logarithms of the times in milliseconds; single long waits move it little.
    mean_log: f64,
}

/// Usual times of the old version by group of requests, sorted by key.
#[derive(Debug, Clone, Default)]
struct Usuals {
    groups: Vec<Usual>,
}

impl Usuals {
    /// Tells whether a time is long for its kind; `false` while the usual one is not known.
    fn is_slow(&self, kind: RequestProfile, time: Millis, factor: f64) -> bool {
        let known = |key| self.groups.binary_search_by_key(&key, |u| u.key).ok();
        let mut groups = kind.keys().into_iter().filter_map(known);
        let usual = groups.find(|at| self.groups[*at].samples >= MIN_SAMPLES);
        usual.is_some_and(|at| {
            let limit = self.groups[at].mean_log + factor.ln();
            time > SLOW_FLOOR && log_ms(time) > limit
        })
    }

    fn learn(&mut self, kind: RequestProfile, time: Millis) {
        let value = log_ms(time);
        for key in kind.keys() {
            let at = match self.groups.binary_search_by_key(&key, |u| u.key) {
                Ok(at) => at,
                Err(at) => {
                    let usual = Usual {
                        key,
                        samples: 0.0,
                        mean_log: 0.0,
                    };
                    self.groups.insert(at, usual);
                    at
                }
            };
            let usual = &mut self.groups[at];
            usual.samples += 1.0;
            usual.mean_log += (value - usual.mean_log) / usual.samples.min(RECENT_SAMPLES);
        }
    }
}

/// The roll-out of one service.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// Version that is rolled out.
    pub to: Rc<str>,
    phase: Phase,
    started: Millis,
    ramp: Millis,
    exposure_permille: u64,
    old: Tally,
    new: Tally,
    old_paces: Tally,
    new_paces: Tally,
    usual: Usuals,
    usual_paces: Usuals,
    /// What all gateways have told of the new and of the old version.
    pooled: (Judged, Judged),
}

impl Rollout {
    /// Starts at `started`, to be done within `ramp`; `exposure_permille` of the service's requests may
    /// reach a bad version.
    #[must_use]
    pub fn new(to: Rc<str>, started: Millis, ramp: Millis, exposure_permille: u64) -> Self {
        Self {
            to,
            phase: Phase::Active,
            started,
            ramp,
            exposure_permille,
            old: Tally::default(),
            new: Tally::default(),
            old_paces: Tally::default(),
            new_paces: Tally::default(),
            usual: Usuals::default(),
            usual_paces: Usuals::default(),
            pooled: Default::default(),
        }
    }

    /// Takes over a recorded phase. A recorded decision holds for all gateways; `Active` may be older than a
    /// stop that was decided here.
    pub fn set_phase(&mut self, phase: Phase) {
        if phase != Phase::Active {
            self.phase = phase;
        }
    }

    /// Returns when it started.
    #[must_use]
    pub const fn started(&self) -> Millis {
        self.started
    }

    /// Moves the start, as another gateway has recorded it.
    pub fn set_start(&mut self, started: Millis) {
        self.started = started;
    }

    /// Returns where the roll-out stands.
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
            // Sessions that are under way may be known to other gateways only.
            Phase::Active if self.pins_sessions(now) => 0,
            Phase::Active if self.is_within_rest(FULL_REST_PERCENT, now) => 1_000,
            Phase::Active if self.is_trial(now) => {
                (self.exposure_permille * TRIAL_PERCENT / 100).min(1_000)
            }
            Phase::Active => self.exposure_permille * CANARY_PERCENT / 100,
        }
    }

    /// Tells whether a session must stay with the version that it used before.
    #[must_use]
    pub fn pins_sessions(&self, now: Millis) -> bool {
        self.phase == Phase::Active && now.since(self.started).0 * 100 < self.ramp.0 * PINNED_UNTIL
    }

    /// Returns where a session belongs; all gateways agree on it without messages.
    #[must_use]
    pub fn group(&self, session: u64, now: Millis) -> Group {
        if super::mix(session) % 1_000 < self.share_permille(now) {
            Group::New
        } else {
            Group::Old
        }
    }

    /// Returns how many of the new version's upstreams take a request, of `count` that are ready; after an
    /// attempt that failed, all of them.
    #[must_use]
    pub fn upstreams_in_use(&self, count: usize, tried: usize, now: Millis) -> usize {
        if tried > 0 || !self.is_trial(now) {
            return count;
        }
        let share = self.share_permille(now) * count as u64;
        let in_use = share.div_ceil(TRIAL_LOAD_PERCENT * 10).max(1);
        usize::try_from(in_use).map_or(count, |n| n.min(count))
    }

    /// Tells whether upstreams of the other group may be used if one's own has none.
    #[must_use]
    pub fn can_fall_back(&self, from: Group) -> bool {
        match (self.phase, from) {
            // A version that was given up gets nothing, whatever happens to the others, and an unproven
            // one no more than its share.
            (Phase::Reverted, _) | (Phase::Active, Group::Old) => false,
            // The old upstreams end when the roll-out is complete, but some may still be there.
            (Phase::Active | Phase::Complete, Group::New) | (Phase::Complete, Group::Old) => true,
        }
    }

    /// Takes in what all gateways have told of the new and of the old version's upstreams.
    pub const fn pool(&mut self, new: Judged, old: Judged) {
        self.pooled = (new, old);
    }

    /// Takes in an answer; returns how it counts.
    pub fn observe(
        &mut self,
        version: &str,
        kind: RequestProfile,
        answer: Answer,
        now: Millis,
    ) -> AnswerGrade {
        let is_new = version == self.to.as_ref();
        let is_slow = match answer {
            Answer::Good(time) => self.usual.is_slow(kind, time, SLOW_FACTOR),
            Answer::Paced(time) => self.usual_paces.is_slow(kind, time, SLOW_PACE_FACTOR),
            Answer::Failed | Answer::Broken => false,
        };
        let (mark, time) = match answer {
            Answer::Failed => (AnswerGrade::Failed, None),
            Answer::Broken => (AnswerGrade::Broken, None),
            Answer::Good(time) | Answer::Paced(time) if is_slow => (AnswerGrade::Slow, Some(time)),
            Answer::Good(time) | Answer::Paced(time) => (AnswerGrade::Sound, Some(time)),
        };
        let (usual, old, new) = match answer {
            Answer::Paced(_) => (
                &mut self.usual_paces,
                &mut self.old_paces,
                &mut self.new_paces,
            ),
            _ => (&mut self.usual, &mut self.old, &mut self.new),
        };
        if is_new {
            new.add(mark, now);
            return mark;
        }
        old.add(mark, now);
        if let Some(time) = time {
            usual.learn(kind, time);
        }
        mark
    }

    /// Returns the phase to record, if it is time for a decision.
    #[must_use]
    pub fn verdict(&self, now: Millis) -> Option<Phase> {
        if self.phase != Phase::Active {
            return None;
        }
        let excess_slow = if self.share_permille(now) == 1_000 {
            EXCESS_SLOW
        } else {
            EXCESS_SLOW_EARLY
        };
        let own_excess = if self.pooled.0.answers == 0 {
            excess_slow
        } else {
            EXCESS_SLOW_OWN
        };
        let is_worse = self.new.is_worse(&self.old, own_excess)
            || self.new_paces.is_worse(&self.old_paces, own_excess)
            || self.pooled.0.is_worse(&self.pooled.1);
        if is_worse {
            return Some(Phase::Reverted);
        }
        (self.is_within_rest(COMPLETE_REST_PERCENT, now)).then_some(Phase::Complete)
    }

    /// Returns weighted failed, broken, slow and all answers, and then slow and all paces, of the new and then
    /// of the old version, for logs.
    #[must_use]
    pub fn evidence(&self) -> [[f64; 6]; 2] {
        let of = |answers: &Tally, paces: &Tally| {
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

    /// Returns what all gateways have told of the new and of the old version.
    #[must_use]
    pub const fn pooled(&self) -> (Judged, Judged) {
        self.pooled
    }

    /// Tells whether few upstreams of the new version are under trial.
    fn is_trial(&self, now: Millis) -> bool {
        let spent = now.since(self.started).0 * 100;
        self.phase == Phase::Active
            && spent >= self.ramp.0 * TRIAL_FROM
            && !self.is_within_rest(FULL_REST_PERCENT, now)
    }

    /// Tells whether the time that is left is at most this part of the exposure, as a share of the whole time.
    fn is_within_rest(&self, percent: u64, now: Millis) -> bool {
        let left = self.ramp.since(now.since(self.started));
        left.0 * 100_000 <= self.ramp.0 * self.exposure_permille * percent
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times of answers are far below 2^52 ms"
)]
fn log_ms(time: Millis) -> f64 {
    (time.0.max(1) as f64).ln()
}
