//! What all gateways know about crashes of upstreams, and which requests are contained for it.
//!
//! Every gateway reports which features its runs had in common with a crash, and which accused features its runs have
//! survived. Reports are merged as a set union and a maximum, so they may be lost, late or repeated, and gateways that
//! know the same reports reach the same verdict. A verdict that has held for a moment is recorded in the store, where
//! gateways that start later find it; it does not depend on their number.

use std::rc::Rc;

use crate::router::{hash, mix};
use crate::units::Millis;

use super::stored::Stored;
use super::verdict::{self, CRASHES_TO_CONTAIN, Survivals};
use super::{
    ContainmentRecord, ContainmentWrite, CrashRecord, Decision, EvidenceWrite, Feature, Refusal,
    Report, Survival, WriteResult,
};

/// Time for which a crash counts.
pub const EVIDENCE_LIFETIME: Millis = Millis::from_secs(600);

/// Time for which a survived run speaks for its features also against later crashes.
const SURVIVAL_MEMORY: Millis = Millis::from_secs(10);

/// Maximum number of recent survived runs that count for a feature.
const MAX_SURVIVAL_COUNT: u32 = 8;

/// Number of recent survived runs from which a gateway does not accuse a feature.
const TRUSTED_SURVIVAL_COUNT: u32 = 3;

/// Maximum number of crashes in memory.
const MAX_CRASHES: usize = 256;

/// Maximum number of features that all gateways, and one of them, accuse of one crash.
const MAX_FEATURES_PER_CRASH: usize = 256;
const MAX_OWN_FEATURES_PER_CRASH: usize = 64;

/// Maximum number of crashes in a gateway's report.
const MAX_REPORTED: usize = 16;

/// Maximum number of features with survived runs in a gateway's report.
const MAX_REPORTED_SURVIVALS: usize = 64;

/// Maximum number of features whose survived runs are in memory.
const MAX_SURVIVALS: usize = 8_192;

/// Maximum number of containments.
const MAX_CONTAINMENTS: usize = 64;

/// Time after its start in which a gateway obeys the verdicts of others only: until runs have survived at it, what all
/// requests have in common looks as guilty as what crashes upstreams.
const WARM_UP: Millis = Millis::from_secs(3);

/// Time for which a verdict must hold before it is recorded.
const RECORD_DELAY: Millis = Millis(500);

/// Shortest time between two reports of a gateway, and the same for each gateway of the deployment; the latter bounds the
/// writes of all gateways to 200 a second.
const REPORT_INTERVAL: Millis = Millis(500);
const REPORT_INTERVAL_PER_GATEWAY: Millis = Millis(5);

/// Time over which gateways spread their reports of the same survived feature, for each gateway, and its upper limit.
const SURVIVAL_SPREAD_PER_GATEWAY: Millis = Millis(20);
const MAX_SURVIVAL_SPREAD: Millis = Millis(2_000);

/// Number of crashes that a feature is accused of from which its survival is reported: one more may lead to a verdict.
const CRASHES_TO_REPORT_SURVIVAL: usize = CRASHES_TO_CONTAIN - 1;

/// Time after which the survival of an accused feature is reported again.
const SURVIVAL_REPORT_INTERVAL: Millis = Millis(2_000);

/// Pause after a write that failed.
const WRITE_RETRY_PAUSE: Millis = Millis(500);

/// Time from a containment to its first trial, factor for each further one, and the longest time between two.
const FIRST_TRIAL_AFTER: Millis = Millis::from_secs(15);
const TRIAL_FACTOR: u64 = 6;
const MAX_TRIAL_INTERVAL: Millis = Millis::from_secs(450);

/// Shortest time after which a refused client may come again.
const MIN_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Time within which the gateway that claimed a trial must get a request for it.
const TRIAL_LIFETIME: Millis = Millis::from_secs(5);

/// The crashes that a feature is accused of.
#[derive(Debug, Clone, Copy)]
struct Accusation {
    feature: Feature,
    last: Millis,
    crashes: usize,
}

#[derive(Debug, Clone)]
struct Containment {
    key: Feature,
    record: ContainmentRecord,
    stored: Stored,
    /// Whether a request has asked for the trial that is due.
    is_trial_wanted: bool,
    /// Until when this gateway may send a request as a trial.
    trial_until: Option<Millis>,
}

#[derive(Debug, Clone, Copy)]
struct KnownSurvival {
    survival: Survival,
    /// Time of the last one that some gateway has reported.
    reported_at: Millis,
    is_own: bool,
}

impl KnownSurvival {
    /// Returns how many recent survived runs count at a time.
    const fn count(&self, at: Millis) -> u32 {
        if at.since(self.survival.at).0 <= SURVIVAL_MEMORY.0 {
            self.survival.count
        } else {
            0
        }
    }
}

/// The evidence that a gateway has, with the containments that follow from it. Times are Unix times.
#[derive(Debug)]
pub struct Evidence {
    gateway: Rc<str>,
    /// Sorted by upstream and boot.
    crashes: Vec<CrashRecord>,
    /// Accused features, sorted by feature.
    accused: Vec<Accusation>,
    /// Crashes with runs of this gateway, sorted by upstream and boot.
    own: Vec<CrashRecord>,
    /// Sorted by feature.
    survivals: Vec<KnownSurvival>,
    /// Sorted by key.
    containments: Vec<Containment>,
    has_unreported_crash: bool,
    next_report: Millis,
    /// When records that a restored store lacks are written again.
    rewrite_at: Millis,
    is_writing: bool,
    started_at: Millis,
    is_warm: bool,
}

impl Evidence {
    /// Creates the empty evidence of a gateway that starts now.
    #[must_use]
    pub const fn new(gateway: Rc<str>, now: Millis) -> Self {
        Self {
            gateway,
            crashes: Vec::new(),
            accused: Vec::new(),
            own: Vec::new(),
            survivals: Vec::new(),
            containments: Vec::new(),
            has_unreported_crash: false,
            next_report: Millis(0),
            rewrite_at: Millis(0),
            is_writing: false,
            started_at: now,
            is_warm: false,
        }
    }

    /// Records a crash under which runs of this gateway had these features, sorted.
    pub fn record_crash(
        &mut self,
        upstream: &Rc<str>,
        boot: u64,
        at: Millis,
        features: &[Feature],
    ) {
        let is_accused = |f: &&Feature| self.survival_count(**f, at) < TRUSTED_SURVIVAL_COUNT;
        let mut accused: Vec<_> = features.iter().filter(is_accused).copied().collect();
        if accused.len() > MAX_OWN_FEATURES_PER_CRASH {
            // Those that were accused before are kept first.
            accused.sort_by_key(|f| std::cmp::Reverse(self.accused_at(*f)));
            accused.truncate(MAX_OWN_FEATURES_PER_CRASH);
            accused.sort_unstable();
        }
        if accused.is_empty() {
            return;
        }
        let mut record = CrashRecord {
            upstream: Rc::clone(upstream),
            boot,
            at,
            features: accused,
        };
        if let Some(explaining) = self.explanation(&record) {
            record.features = explaining;
        }
        if insert(&mut self.crashes, &record, MAX_CRASHES) {
            insert(&mut self.own, &record, MAX_REPORTED);
            self.has_unreported_crash = true;
        }
        self.judge(at);
    }

    /// Records that runs with these features have survived.
    pub fn record_survival(&mut self, features: &[Feature], now: Millis) {
        for &feature in features {
            let known = self.survival_entry(feature);
            let count = known.count(now) + 1;
            known.survival.count = count.min(MAX_SURVIVAL_COUNT);
            known.survival.at = known.survival.at.max(now);
            known.is_own = true;
        }
        if self.survivals.len() > MAX_SURVIVALS {
            self.survivals
                .retain(|s| now.since(s.survival.at) <= SURVIVAL_MEMORY);
            if self.survivals.len() > MAX_SURVIVALS {
                let mut times: Vec<_> = self.survivals.iter().map(|s| s.survival.at).collect();
                times.sort_unstable();
                let median = times[times.len() / 2];
                self.survivals.retain(|s| s.survival.at > median);
            }
        }
        if features.iter().any(|f| self.suspected_at(*f) > Millis(0)) {
            self.judge(now);
        }
    }

    /// Merges the report of a gateway; returns the crashes that were not yet known.
    pub fn merge(&mut self, report: &Report, now: Millis) -> Vec<(Rc<str>, u64, Millis)> {
        let mut new = Vec::new();
        let mut has_changed = false;
        for crash in &report.crashes {
            // Of earlier crashes, the reports that explain them may be gone; their verdicts are in the store.
            if now.since(crash.at) > EVIDENCE_LIFETIME || crash.at < self.started_at {
                continue;
            }
            let is_known = self
                .crashes
                .binary_search_by(|c| c.id().cmp(&crash.id()))
                .is_ok();
            if !is_known {
                new.push((Rc::clone(&crash.upstream), crash.boot, crash.at));
            }
            let mut crash = crash.clone();
            crash.features.truncate(MAX_FEATURES_PER_CRASH);
            crash.features.sort_unstable();
            has_changed |= insert(&mut self.crashes, &crash, MAX_CRASHES);
        }
        for survival in &report.survivals {
            let known = self.survival_entry(survival.feature);
            known.reported_at = known.reported_at.max(survival.at);
            let before = known.survival;
            known.survival.count = before.count.max(survival.count.min(MAX_SURVIVAL_COUNT));
            known.survival.at = before.at.max(survival.at);
            has_changed |= known.survival != before;
        }
        if has_changed {
            self.judge(now);
        }
        new
    }

    /// Applies a record of the store, unless a newer one is known.
    pub fn apply(&mut self, record: ContainmentRecord, revision: u64) {
        if record.features.is_empty() {
            return;
        }
        let key = record.key();
        match self.containments.binary_search_by_key(&key, |c| c.key) {
            Ok(at) => {
                let known = &mut self.containments[at];
                if !known.stored.is_before(revision) {
                    return;
                }
                let progress = |r: &ContainmentRecord| (r.trials, r.last_crash);
                if matches!(known.stored, Stored::Behind(_))
                    && progress(&record) < progress(&known.record)
                {
                    known.stored = Stored::Behind(revision);
                    return;
                }
                known.stored = Stored::At(revision);
                known.record = record;
                known.is_trial_wanted = false;
            }
            Err(at) => self.insert_containment(at, key, record, Stored::At(revision)),
        }
    }

    /// Applies the removal of a record.
    pub fn remove(&mut self, key: Feature) {
        self.containments
            .retain(|c| c.key != key || c.stored == Stored::Nothing);
    }

    /// Applies a full listing: records that are not in it were removed.
    pub fn retain_listed(&mut self, listed: &[Feature]) {
        self.containments
            .retain(|c| !matches!(c.stored, Stored::At(_)) || listed.contains(&c.key));
    }

    /// Takes in that the store has another history now, which may lack reports and records, and none of whose revisions are known.
    ///
    /// What was recorded stays in force. It is recorded again, and so is this gateway's report, at a time that differs between
    /// the gateways. Returns the number of records.
    pub fn enter_history(&mut self, now: Millis, gateways: u64) -> usize {
        let spread = RECORD_DELAY.max(Millis(REPORT_INTERVAL_PER_GATEWAY.0 * gateways));
        let delay = Millis(hash(self.gateway.as_bytes()) % spread.0);
        self.rewrite_at = now + delay;
        self.next_report = self.next_report.max(self.rewrite_at);
        self.has_unreported_crash |= !self.own.is_empty();
        let mut forgotten = 0;
        for containment in &mut self.containments {
            if containment.stored != Stored::Nothing {
                containment.stored = Stored::Behind(0);
                forgotten += 1;
            }
            // The claim of a trial is gone as well; another gateway may claim it again.
            containment.is_trial_wanted = false;
            containment.trial_until = None;
        }
        forgotten
    }

    /// Decides whether a request with these features, sorted, may be sent.
    pub fn decide(&mut self, features: &[Feature], now: Millis) -> Decision {
        let matching = (0..self.containments.len()).filter_map(|at| {
            let active = self.active_features(&self.containments[at]);
            let is_match = !active.is_empty() && contains_all(features, &active);
            is_match.then_some((active.len(), at))
        });
        // The one with the fewest features refuses all that the others refuse.
        let Some((_, at)) = matching.min() else {
            return Decision::Run;
        };
        let containment = &mut self.containments[at];
        if containment
            .trial_until
            .take()
            .is_some_and(|until| now < until)
        {
            return Decision::Trial(containment.key);
        }
        let is_recorded = matches!(containment.stored, Stored::At(_));
        containment.is_trial_wanted |= is_recorded && now >= containment.record.next_trial;
        let record = &containment.record;
        Decision::Refuse(Refusal {
            key: containment.key,
            crashes: record.crashes,
            age: now.since(record.last_crash),
            source: Rc::clone(&record.gateway),
            retry_after: record.next_trial.since(now).max(MIN_RETRY_AFTER),
        })
    }

    /// Returns the write that is due, if any, and marks it as in progress; `gateways` is their number.
    pub fn due_write(&mut self, now: Millis, gateways: u64) -> Option<EvidenceWrite> {
        if self.is_writing || now < self.next_report {
            return None;
        }
        let containment = self.due_containment(now);
        let has_news = self.has_unreported_crash || self.has_due_survival(now, gateways);
        if containment.is_none() && !has_news {
            return None;
        }
        self.is_writing = true;
        self.has_unreported_crash = false;
        let interval = REPORT_INTERVAL_PER_GATEWAY.0 * gateways;
        self.next_report = now + REPORT_INTERVAL.max(Millis(interval));
        Some(EvidenceWrite {
            settled_revision: None,
            gateway: Rc::clone(&self.gateway),
            report: Report {
                crashes: self.own.clone(),
                survivals: self.own_survivals(),
            },
            containment,
        })
    }

    /// Records the result of a write.
    pub fn record_write(&mut self, write: &EvidenceWrite, result: WriteResult, now: Millis) {
        self.is_writing = false;
        let WriteResult::Written(revision) = result else {
            self.has_unreported_crash |= !write.report.crashes.is_empty();
            self.next_report = self.next_report.max(now + WRITE_RETRY_PAUSE);
            if let Some(change) = &write.containment
                && let Ok(at) = self
                    .containments
                    .binary_search_by_key(&change.key, |c| c.key)
            {
                // The record that another gateway has written arrives with the next changes.
                self.containments[at].is_trial_wanted = false;
            }
            return;
        };
        for survival in &write.report.survivals {
            let known = self.survival_entry(survival.feature);
            known.reported_at = known.reported_at.max(survival.at);
        }
        let Some(change) = &write.containment else {
            return;
        };
        let Ok(at) = self
            .containments
            .binary_search_by_key(&change.key, |c| c.key)
        else {
            return;
        };
        let Some(record) = &change.record else {
            self.containments.remove(at);
            return;
        };
        let containment = &mut self.containments[at];
        let is_trial = record.trials > containment.record.trials;
        if containment.stored.is_before(revision) {
            containment.record = record.clone();
            containment.stored = Stored::At(revision);
        }
        containment.is_trial_wanted = false;
        if is_trial {
            containment.trial_until = Some(now + TRIAL_LIFETIME);
        }
    }

    /// Drops evidence that is too old.
    pub fn expire(&mut self, now: Millis) {
        let is_recent = |c: &CrashRecord| now.since(c.at) <= EVIDENCE_LIFETIME;
        let known = self.crashes.len();
        self.crashes.retain(is_recent);
        self.own.retain(is_recent);
        let is_warm = now.since(self.started_at) >= WARM_UP;
        if self.crashes.len() < known || is_warm != self.is_warm {
            self.is_warm = is_warm;
            self.judge(now);
        }
    }

    /// Returns the number of containments that are in force.
    #[must_use]
    pub fn contained(&self) -> usize {
        let containments = self.containments.iter();
        containments
            .filter(|c| !self.active_features(c).is_empty())
            .count()
    }

    /// Returns the number of entries in memory: crashes, features that survived, and containments.
    #[must_use]
    pub const fn sizes(&self) -> [usize; 3] {
        [
            self.crashes.len(),
            self.survivals.len(),
            self.containments.len(),
        ]
    }

    /// Returns whether there is evidence of a crash or a containment.
    #[must_use]
    pub const fn has_crashes(&self) -> bool {
        !self.crashes.is_empty() || !self.containments.is_empty()
    }

    /// Returns the features of a containment that no run has survived since its last crash.
    fn active_features(&self, containment: &Containment) -> Vec<Feature> {
        let record = &containment.record;
        let has_survived = |f: &Feature| self.survived_at(*f) > record.last_crash;
        let features = record.features.iter().copied();
        features.filter(|f| !has_survived(f)).collect()
    }

    /// Returns the features of a recorded containment that explains a crash.
    fn explanation(&self, crash: &CrashRecord) -> Option<Vec<Feature>> {
        let recorded = self
            .containments
            .iter()
            .filter(|c| c.stored != Stored::Nothing);
        recorded
            .map(|c| self.active_features(c))
            .find(|active| !active.is_empty() && contains_all(&crash.features, active))
    }

    /// Returns whether a recorded containment of a single feature explains a crash. One of several features may still be
    /// found to be due to one of them.
    fn is_explained(&self, crash: &CrashRecord) -> bool {
        let recorded = self
            .containments
            .iter()
            .filter(|c| c.stored != Stored::Nothing);
        let mut single = recorded
            .map(|c| self.active_features(c))
            .filter(|a| a.len() == 1);
        single.any(|active| contains_all(&crash.features, &active))
    }

    /// Returns whether another recorded containment refuses all that this one refuses.
    fn is_subsumed(&self, containment: &Containment) -> bool {
        let active = self.active_features(containment);
        let others = self
            .containments
            .iter()
            .filter(|c| c.stored != Stored::Nothing);
        others.filter(|c| c.key != containment.key).any(|c| {
            let other = self.active_features(c);
            !other.is_empty() && other.len() < active.len() && contains_all(&active, &other)
        })
    }

    /// Reaches the verdicts that follow from the crashes.
    fn judge(&mut self, now: Millis) {
        for containment in &mut self.containments {
            let record = &mut containment.record;
            let under = self
                .crashes
                .iter()
                .filter(|c| contains_all(&c.features, &record.features));
            let last = under.map(|c| c.at).max().unwrap_or_default();
            record.last_crash = record.last_crash.max(last);
        }
        let crashes = self.crashes.iter();
        let accusations = crashes.flat_map(|c| c.features.iter().map(|f| (*f, c.at)));
        let mut accusations: Vec<_> = accusations.collect();
        accusations.sort_unstable();
        let accused = accusations.chunk_by(|a, b| a.0 == b.0);
        let accused = accused.map(|group| Accusation {
            feature: group[0].0,
            last: group[group.len() - 1].1,
            crashes: group.len(),
        });
        self.accused = accused.collect();
        let mut open: Vec<_> = self.crashes.iter().collect();
        open.retain(|c| !self.is_explained(c));
        open.sort_by_key(|c| c.at);
        if !self.is_warm {
            open.clear();
        }
        let recorded = self
            .containments
            .iter()
            .filter(|c| c.stored != Stored::Nothing);
        let is_alone = recorded
            .map(|c| self.active_features(c))
            .all(|a| a.len() != 1);
        let verdicts = verdict::verdicts(open, is_alone, self);
        let records = verdicts.into_iter().map(|v| ContainmentRecord {
            features: v.features,
            since: now,
            last_crash: v.crashes.iter().copied().max().unwrap_or(now),
            crashes: v.crashes.len(),
            trials: 0,
            next_trial: now + FIRST_TRIAL_AFTER,
            gateway: Rc::clone(&self.gateway),
        });
        let records: Vec<_> = records.collect();
        let keys: Vec<_> = records.iter().map(ContainmentRecord::key).collect();
        self.containments
            .retain(|c| c.stored != Stored::Nothing || keys.contains(&c.key));
        for (key, record) in keys.into_iter().zip(records) {
            match self.containments.binary_search_by_key(&key, |c| c.key) {
                Ok(at) => {
                    let known = &mut self.containments[at].record;
                    known.last_crash = known.last_crash.max(record.last_crash);
                    known.crashes = known.crashes.max(record.crashes);
                }
                Err(at) => self.insert_containment(at, key, record, Stored::Nothing),
            }
        }
    }

    /// Returns the change of a containment that is due: its first record, its removal, or the claim of a trial.
    fn due_containment(&self, now: Millis) -> Option<ContainmentWrite> {
        self.containments.iter().find_map(|c| {
            let active = self.active_features(c);
            let write = |record| {
                Some(ContainmentWrite {
                    key: c.key,
                    record,
                    revision: c.stored.revision(),
                })
            };
            if let Stored::Behind(_) = c.stored {
                return if now >= self.rewrite_at {
                    write(Some(c.record.clone()))
                } else {
                    None
                };
            }
            if c.stored == Stored::Nothing {
                let jitter = Millis(mix(c.key.0 ^ hash(self.gateway.as_bytes())) % RECORD_DELAY.0);
                let is_due = now.since(c.record.since) >= RECORD_DELAY + jitter;
                return if is_due {
                    write(Some(c.record.clone()))
                } else {
                    None
                };
            }
            if active.is_empty() {
                // The gateway that saw the survived run removes the record.
                let is_own = |f: &Feature| self.survival(*f).is_some_and(|s| s.is_own);
                return if c.record.features.iter().any(is_own) {
                    write(None)
                } else {
                    None
                };
            }
            if self.is_subsumed(c) {
                return write(None);
            }
            if !c.is_trial_wanted {
                return None;
            }
            let interval = FIRST_TRIAL_AFTER.0 * TRIAL_FACTOR.pow(c.record.trials.min(3) + 1);
            write(Some(ContainmentRecord {
                trials: c.record.trials + 1,
                next_trial: now + Millis(interval).min(MAX_TRIAL_INTERVAL),
                ..c.record.clone()
            }))
        })
    }

    /// Returns whether a survived run should be reported: one with an accused feature that no gateway has reported since a
    /// crash under the feature.
    ///
    /// The delay differs between gateways, so that one of them reports and the others receive its report.
    fn has_due_survival(&self, now: Millis, gateways: u64) -> bool {
        let spread = (SURVIVAL_SPREAD_PER_GATEWAY.0 * gateways).clamp(1, MAX_SURVIVAL_SPREAD.0);
        let own = self.survivals.iter().filter(|s| s.is_own);
        let mut unreported = own.filter(|s| s.survival.at > s.reported_at);
        unreported.any(|s| {
            let feature = s.survival.feature;
            let delay = mix(feature.0 ^ hash(self.gateway.as_bytes())) % spread;
            let due = s.reported_at + SURVIVAL_REPORT_INTERVAL + Millis(delay);
            due <= now && self.suspected_at(feature) > s.reported_at
        })
    }

    /// Returns the survived runs of this gateway with accused features, the latest accusations first.
    fn own_survivals(&self) -> Vec<Survival> {
        let own = self.survivals.iter().filter(|s| s.is_own);
        let accused = own.map(|s| (self.suspected_at(s.survival.feature), s.survival));
        let mut accused: Vec<_> = accused.filter(|(at, _)| *at > Millis(0)).collect();
        accused.sort_unstable_by_key(|(at, s)| (std::cmp::Reverse(*at), s.feature));
        accused.truncate(MAX_REPORTED_SURVIVALS);
        accused.into_iter().map(|(_, survival)| survival).collect()
    }

    /// Returns the time of the last crash that a feature is accused of, or zero.
    fn accused_at(&self, feature: Feature) -> Millis {
        self.last_of(feature, 1)
    }

    /// Returns the time of the last crash of a feature that may be contained soon, or that is, or else zero.
    fn suspected_at(&self, feature: Feature) -> Millis {
        let contained = self.containments.iter();
        let contained = contained.filter(|c| c.record.features.contains(&feature));
        let last = contained.map(|c| c.record.last_crash).max();
        let accused = self.last_of(feature, CRASHES_TO_REPORT_SURVIVAL);
        accused.max(last.unwrap_or_default())
    }

    /// Returns the time of the last crash of a feature that is accused of `min` crashes or more, or else zero.
    fn last_of(&self, feature: Feature, min: usize) -> Millis {
        let found = self.accused.binary_search_by_key(&feature, |a| a.feature);
        let accusation = found.ok().map(|at| self.accused[at]);
        let accusation = accusation.filter(|a| a.crashes >= min);
        accusation.map_or(Millis(0), |a| a.last)
    }

    fn insert_containment(
        &mut self,
        at: usize,
        key: Feature,
        record: ContainmentRecord,
        stored: Stored,
    ) {
        if self.containments.len() >= MAX_CONTAINMENTS {
            return;
        }
        let containment = Containment {
            key,
            record,
            stored,
            is_trial_wanted: false,
            trial_until: None,
        };
        self.containments.insert(at, containment);
    }

    fn survival(&self, feature: Feature) -> Option<&KnownSurvival> {
        let found = (self.survivals).binary_search_by_key(&feature, |s| s.survival.feature);
        found.ok().map(|at| &self.survivals[at])
    }

    fn survived_at(&self, feature: Feature) -> Millis {
        self.survival(feature).map_or(Millis(0), |s| s.survival.at)
    }

    fn survival_count(&self, feature: Feature, at: Millis) -> u32 {
        self.survival(feature).map_or(0, |s| s.count(at))
    }

    fn survival_entry(&mut self, feature: Feature) -> &mut KnownSurvival {
        let found = (self.survivals).binary_search_by_key(&feature, |s| s.survival.feature);
        let at = found.unwrap_or_else(|at| {
            let survival = Survival {
                feature,
                at: Millis(0),
                count: 0,
            };
            let known = KnownSurvival {
                survival,
                reported_at: Millis(0),
                is_own: false,
            };
            self.survivals.insert(at, known);
            at
        });
        &mut self.survivals[at]
    }
}

/// Adds a crash to a sorted list, which keeps the latest `max`; returns whether it was not known.
fn insert(crashes: &mut Vec<CrashRecord>, crash: &CrashRecord, max: usize) -> bool {
    match crashes.binary_search_by(|c| c.id().cmp(&crash.id())) {
        Ok(at) => {
            let known = &mut crashes[at];
            let before = known.features.len();
            known.at = known.at.min(crash.at);
            known.features.extend_from_slice(&crash.features);
            known.features.sort_unstable();
            known.features.dedup();
            known.features.truncate(MAX_FEATURES_PER_CRASH);
            known.features.len() > before
        }
        Err(at) => {
            crashes.insert(at, crash.clone());
            if crashes.len() > max {
                let oldest = (0..crashes.len()).min_by_key(|&at| crashes[at].at);
                if let Some(at) = oldest {
                    crashes.remove(at);
                }
            }
            true
        }
    }
}

impl Survivals for Evidence {
    fn last(&self, feature: Feature) -> Millis {
        self.survived_at(feature)
    }

    fn count(&self, feature: Feature, at: Millis) -> u32 {
        self.survival_count(feature, at)
    }
}

/// Returns whether a sorted list has all of the features.
pub(super) fn contains_all(sorted: &[Feature], features: &[Feature]) -> bool {
    features.iter().all(|f| sorted.binary_search(f).is_ok())
}
