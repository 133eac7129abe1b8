//! Roll-outs in force at a gateway, and the writes of their phases to the platform's store.

use std::rc::Rc;

use crate::router::comparison::{AnswerReport, WHOLE_SERVICE};
use crate::router::hash;
use crate::router::history::Standing;
use crate::router::rollout::{Judged, Phase, Rollout, Verdict};
use crate::units::Millis;

use super::answers::{self, ReportSource, Reporting, report_interval};
use super::follow::{ControlPlaneError, RETRY_BACKOFF, RolloutStart, RolloutWrite};
use super::shared::Shared;

/// Roll-outs by service, with their records in the store.
#[derive(Debug, Default)]
pub struct Rollouts {
    entries: Vec<RolloutEntry>,
    exposure_permille: u64,
}

#[derive(Debug)]
struct RolloutEntry {
    service: Rc<str>,
    rollout: Rollout,
    /// Revision of the record of the phase; 0 before the first one.
    revision: u64,
    /// Phase that the present history of the store has for this version, if any.
    recorded_phase: Option<Phase>,
    /// Phase that was recorded last for this version, in whatever history.
    confirmed_phase: Option<Phase>,
    /// Whether a write is in progress.
    is_writing: bool,
    /// Version and phase of a record that arrived before its order.
    early_record: Option<(Rc<str>, Phase)>,
    /// Versions that were ordered before, the last ones.
    superseded: Vec<Rc<str>>,
    /// Versions that were reverted and have not been ordered again, the last ones.
    reverted: Vec<Rc<str>>,
    /// An order that a restored store lists although a later one is known.
    older_order: Option<Order>,
    /// Whether the present history of the store has the order.
    is_order_listed: bool,
    /// Reports of this gateway on the roll-out.
    reporting: Reporting,
}

/// An operator's order to roll out a version.
#[derive(Debug, Clone)]
struct Order {
    to: Rc<str>,
    ramp: Millis,
    ordered_at: Millis,
}

/// Maximum number of earlier orders, and of reverted versions, of a service in memory; copies of the store are some seconds old, and
/// the upstreams of a reverted version leave some seconds later.
const MAX_SUPERSEDED: usize = 8;

impl Rollouts {
    /// Creates a list without roll-outs.
    #[must_use]
    pub const fn new(exposure_permille: u64) -> Self {
        Self {
            entries: Vec::new(),
            exposure_permille,
        }
    }

    /// Sets the share of requests that may reach a bad version, for later orders.
    pub const fn set_exposure(&mut self, exposure_permille: u64) {
        self.exposure_permille = exposure_permille;
    }

    /// Returns the roll-out of a service, if one was ordered.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        let entry = &self.entries[self.find(service).ok()?];
        entry.is_ordered().then_some(&entry.rollout)
    }

    /// Returns the roll-out of a service, to record answers.
    pub fn get_mut(&mut self, service: &str) -> Option<&mut Rollout> {
        let at = self.find(service).ok()?;
        Some(&mut self.entries[at].rollout)
    }

    /// Starts a roll-out that was ordered at `now`; an order that is already known changes nothing.
    pub fn add_order(&mut self, service: &Rc<str>, to: Rc<str>, ramp: Millis, now: Millis) {
        let found = self.find(service);
        if let Ok(at) = found {
            self.entries[at].older_order = None;
            self.entries[at].is_order_listed = true;
            if self.entries[at].rollout.to == to && self.entries[at].is_ordered() {
                return;
            }
        }
        log::info!(event = "rollout_ordered", service:% = service, to:% = to, ramp_ms = ramp.0; "");
        let rollout = Rollout::new(to, now, ramp, self.exposure_permille);
        match found {
            Ok(at) => {
                let entry = &mut self.entries[at];
                let early_record = entry
                    .early_record
                    .take()
                    .filter(|(to, _)| *to == rollout.to);
                if entry.is_ordered() {
                    let before = Rc::clone(&entry.rollout.to);
                    entry.superseded.retain(|to| *to != before);
                    entry.superseded.push(before);
                    let excess = entry.superseded.len().saturating_sub(MAX_SUPERSEDED);
                    entry.superseded.drain(..excess);
                    if entry.rollout.phase() == Phase::Reverted {
                        entry.reverted.push(Rc::clone(&entry.rollout.to));
                    }
                    entry.reverted.retain(|version| *version != rollout.to);
                    let excess = entry.reverted.len().saturating_sub(MAX_SUPERSEDED);
                    entry.reverted.drain(..excess);
                }
                entry.rollout = rollout;
                entry.reporting = Reporting::default();
                entry.recorded_phase = early_record.map(|(_, phase)| phase);
                entry.confirmed_phase = entry.recorded_phase;
                if let Some(phase) = entry.recorded_phase {
                    entry.rollout.set_phase(phase);
                }
            }
            Err(at) => {
                let mut entry = RolloutEntry::new(service, rollout);
                entry.is_order_listed = true;
                self.entries.insert(at, entry);
            }
        }
    }

    /// Returns whether a version of a service was reverted and a later one has been ordered since. Its upstreams leave some seconds
    /// after the revert.
    #[must_use]
    pub fn is_withdrawn(&self, service: &str, version: &str) -> bool {
        self.find(service).is_ok_and(|at| {
            let reverted = &self.entries[at].reverted;
            reverted.iter().any(|known| **known == *version)
        })
    }

    /// Takes in an order that the first listing of a restored store has. One that a later order is known to have replaced waits
    /// until the history is settled; the operator writes the later one again.
    pub fn add_listed_order(
        &mut self,
        service: &Rc<str>,
        to: Rc<str>,
        ramp: Millis,
        ordered_at: Millis,
    ) {
        if let Ok(at) = self.find(service) {
            let entry = &mut self.entries[at];
            if entry.is_ordered() && entry.rollout.to != to && entry.superseded.contains(&to) {
                log::info!(event = "rollout_order_held", service:% = service, to:% = to, known:% = entry.rollout.to; "");
                entry.older_order = Some(Order {
                    to,
                    ramp,
                    ordered_at,
                });
                return;
            }
        }
        self.add_order(service, to, ramp, ordered_at);
    }

    /// Forgets the records of the store, which has another history now. What was recorded is still in force and is recorded
    /// again if the new history lacks it. Returns the number of records.
    pub fn enter_history(&mut self) -> usize {
        let mut forgotten = 0;
        for entry in &mut self.entries {
            forgotten += usize::from(entry.revision > 0);
            entry.revision = 0;
            entry.is_order_listed = false;
            entry.recorded_phase = None;
            entry.early_record = None;
        }
        forgotten
    }

    /// Puts orders into force that a restored store listed and nobody has replaced since.
    fn release_orders(&mut self) {
        let released = self.entries.iter_mut().filter_map(|entry| {
            let order = entry.older_order.take()?;
            Some((Rc::clone(&entry.service), order))
        });
        let released: Vec<_> = released.collect();
        for (service, order) in released {
            self.add_order(&service, order.to, order.ramp, order.ordered_at);
        }
    }

    /// Removes the order of a service and its roll-out.
    pub fn remove(&mut self, service: &str) {
        if let Ok(at) = self.find(service) {
            self.entries.remove(at);
        }
    }

    /// Applies a recorded phase, unless a newer record is known.
    pub fn set_phase(&mut self, service: &Rc<str>, to: &Rc<str>, phase: Phase, revision: u64) {
        let at = match self.find(service) {
            Ok(at) => at,
            Err(at) => {
                // The order follows later in the same listing.
                let rollout = Rollout::new(Rc::from(""), Millis(0), Millis(0), 0);
                self.entries.insert(at, RolloutEntry::new(service, rollout));
                at
            }
        };
        let entry = &mut self.entries[at];
        if revision < entry.revision {
            return;
        }
        entry.revision = revision;
        if entry.rollout.to == *to {
            if entry.recorded_phase != Some(phase) {
                log::info!(event = "rollout_state", service:% = service, to:% = to, phase:? = phase, revision = revision; "");
            }
            entry.recorded_phase = Some(phase);
            // A decision that was confirmed is final; `Active` in a restored store is older.
            if phase != Phase::Active || entry.confirmed_phase.is_none() {
                if entry
                    .confirmed_phase
                    .is_some_and(|known| known != Phase::Active && known != phase)
                {
                    log::warn!(event = "rollout_disputed", service:% = service, to:% = to, phase:? = phase,
                        confirmed_before:? = entry.confirmed_phase; "");
                }
                entry.confirmed_phase = Some(phase);
            }
            entry.rollout.set_phase(phase);
        } else {
            entry.recorded_phase = None;
            entry.early_record = Some((Rc::clone(to), phase));
        }
    }

    /// Applies the recorded start time.
    pub fn set_start(&mut self, service: &str, to: &str, started: Millis) {
        if let Some(rollout) = self.get_mut(service).filter(|r| r.to.as_ref() == to) {
            rollout.set_start(started);
        }
    }

    /// Returns the roll-outs that are under way.
    pub(super) fn active(&mut self) -> impl Iterator<Item = (&Rc<str>, &mut Rollout)> {
        let entries = self.entries.iter_mut();
        let active = entries.filter(|k| k.is_ordered() && k.rollout.phase() == Phase::Active);
        active.map(|k| (&k.service, &mut k.rollout))
    }

    /// Returns the reports of a gateway's process that are due.
    pub(super) fn due_reports(
        &mut self,
        reporter: &ReportSource,
        now: Millis,
    ) -> Vec<AnswerReport> {
        let active = self.entries.iter_mut();
        let active = active.filter(|k| k.is_ordered() && k.rollout.phase() == Phase::Active);
        let active = active.filter(|k| !k.rollout.comparison().has_beacons());
        let due = active.filter_map(|entry| {
            let rollout = &entry.rollout;
            let reporters = rollout.comparison().reach(now).gateways;
            let gateways = reporter.gateways.max(reporters as u64);
            let rate = rollout.answers_per_second(now) * gateways;
            let interval = report_interval(gateways, rate, rollout.has_moved(now));
            let (seq, routes) = (entry.reporting).due(rollout, interval, reporter.draw, now)?;
            Some(AnswerReport {
                service: Rc::clone(&entry.service),
                to: Rc::clone(&rollout.to),
                gateway: Rc::clone(&reporter.gateway),
                boot: reporter.boot,
                seq,
                routes,
            })
        });
        due.collect()
    }

    /// Ends the write of a report.
    pub(super) fn end_report(&mut self, service: &str) {
        if let Ok(at) = self.find(service) {
            self.entries[at].reporting.end_write();
        }
    }

    /// Returns the phases that are due to be recorded, and marks their writes as in progress.
    ///
    /// Until a new history is settled, only what had been recorded before is recorded again: what other gateways have decided
    /// may be missing in it.
    pub fn due_writes(
        &mut self,
        now: Millis,
        unix: Millis,
        standing: Standing,
    ) -> Vec<RolloutWrite> {
        if standing == Standing::Settled {
            self.release_orders();
        }
        let due_writes = self.entries.iter_mut().filter_map(|entry| {
            if entry.is_writing || !entry.is_ordered() || standing == Standing::Unread {
                return None;
            }
            if matches!(
                entry.recorded_phase,
                Some(Phase::Complete | Phase::Reverted)
            ) {
                return None;
            }
            let phase = if standing == Standing::Settled {
                // A stop that this gateway decided may not be recorded yet.
                let decided = entry.rollout.decision(now);
                decided.unwrap_or_else(|| entry.rollout.phase())
            } else {
                entry.confirmed_phase?
            };
            if entry.recorded_phase == Some(phase) || !entry.may_replace_record(standing) {
                return None;
            }
            entry.is_writing = true;
            let start = entry.recorded_phase.is_none().then(|| RolloutStart {
                to: entry.rollout.to.to_string(),
                started_unix_ms: unix.since(now.since(entry.rollout.started())).0,
            });
            Some(RolloutWrite {
                service: Rc::clone(&entry.service),
                to: Rc::clone(&entry.rollout.to),
                phase,
                revision: entry.revision,
                settled_revision: None,
                start,
            })
        });
        due_writes.collect()
    }

    /// Cancels a write if its record has changed in the meantime or the version was found to be bad; returns
    /// whether it did.
    pub fn cancel_write(&mut self, write: &RolloutWrite, now: Millis) -> bool {
        let Ok(at) = self.find(&write.service) else {
            return true;
        };
        let entry = &mut self.entries[at];
        let has_changed = entry.revision != write.revision || entry.rollout.to != write.to;
        let is_bad = entry.rollout.decision(now) == Some(Phase::Reverted);
        if has_changed || is_bad {
            entry.is_writing = false;
        }
        has_changed || is_bad
    }

    /// Records the result of a write.
    pub fn record_write(&mut self, write: &RolloutWrite, result: &Result<u64, ControlPlaneError>) {
        let Ok(at) = self.find(&write.service) else {
            return;
        };
        self.entries[at].is_writing = false;
        if let Ok(revision) = result {
            self.set_phase(&write.service, &write.to, write.phase, *revision);
        }
    }

    /// Ends a write whose condition belongs to a history that has been replaced; its effect is unknown and is read from the store.
    pub fn abandon_write(&mut self, write: &RolloutWrite) {
        if let Ok(at) = self.find(&write.service) {
            self.entries[at].is_writing = false;
        }
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|k| k.service.as_ref().cmp(service))
    }
}

impl RolloutEntry {
    fn new(service: &Rc<str>, rollout: Rollout) -> Self {
        Self {
            service: Rc::clone(service),
            rollout,
            revision: 0,
            recorded_phase: None,
            confirmed_phase: None,
            is_writing: false,
            early_record: None,
            superseded: Vec::new(),
            reverted: Vec::new(),
            older_order: None,
            is_order_listed: false,
            reporting: Reporting::default(),
        }
    }

    /// Returns whether the store has no record of another version, or one of an earlier order.
    fn may_replace_record(&self, standing: Standing) -> bool {
        self.early_record.as_ref().is_none_or(|(to, _)| {
            let is_order_present = standing == Standing::Settled && self.is_order_listed;
            is_order_present || self.superseded.contains(to)
        })
    }

    fn is_ordered(&self) -> bool {
        !self.rollout.to.is_empty()
    }
}

/// Number of routes whose counts a log line has at the most.
const MAX_LOGGED_ROUTES: usize = 20;

/// Interval of the checks for due decisions on roll-outs, and the delay after a failed write.
pub const DECISION_INTERVAL: Millis = Millis(100);

/// Longest random delay before the start of a roll-out is recorded. All gateways see it at the same time; the delay lets one
/// of them write and the others receive its record. A stop is recorded without delay.
const MAX_WRITE_JITTER: Millis = Millis(250);

/// Longest random delay before a completion is recorded, a part of the time that is left for it before the deadline.
const MAX_OUTCOME_JITTER: Millis = Millis(100);

/// Jitter for each gateway of a write that records the start of a roll-out: one gateway's write is enough, and the others
/// need about half a second to read it.
const START_WRITE_JITTER_PER_GATEWAY: Millis = Millis(100);

/// Longest pause before a write that the store has refused is repeated; at least half of it, so that gateways that the
/// store turns away do not add to its load.
pub const MAX_WRITE_RETRY_PAUSE: Millis = Millis(2 * RETRY_BACKOFF.1.0);

/// Returns the longest random pause before a phase of a roll-out is recorded.
#[must_use]
pub fn max_write_jitter(phase: Phase, gateways: u64) -> Millis {
    match phase {
        Phase::Active => MAX_WRITE_JITTER.max(Millis(START_WRITE_JITTER_PER_GATEWAY.0 * gateways)),
        Phase::Complete | Phase::Reverted => MAX_OUTCOME_JITTER,
    }
}

/// Delay after a write conflict, in which the other gateway's change arrives here.
const CONFLICT_DELAY: Millis = Millis(600);

/// Records decisions on roll-outs until the task is dropped.
pub async fn decide_rollouts(shared: Rc<Shared>) {
    loop {
        actix_rt::time::sleep(DECISION_INTERVAL.duration()).await;
        let (now, unix) = (shared.clock.now(), shared.clock.unix());
        sum_answer_counts(&shared, now);
        answers::write_due(&shared, now);
        let (standing, era) = {
            let history = shared.history.borrow();
            (history.standing(now), history.era())
        };
        if standing != Standing::Settled {
            stop_bad_versions(&shared, now);
        }
        let due_writes = (shared.rollouts.borrow_mut()).due_writes(now, unix, standing);
        for mut write in due_writes {
            write.settled_revision = shared.history.borrow().settled_revision();
            if standing == Standing::Settled {
                apply_decision(&shared, &write);
            }
            let shared = Rc::clone(&shared);
            actix_rt::spawn(async move {
                if write.phase != Phase::Reverted {
                    let gateways = shared.gateways(shared.clock.now());
                    let pause = Millis(shared.draw() % max_write_jitter(write.phase, gateways).0);
                    actix_rt::time::sleep(pause.duration()).await;
                    let now = shared.clock.now();
                    let is_present = shared.history.borrow().is_present(era);
                    let mut rollouts = shared.rollouts.borrow_mut();
                    if rollouts.cancel_write(&write, now) {
                        return;
                    }
                    if !is_present {
                        rollouts.abandon_write(&write);
                        return;
                    }
                }
                let sent_at = shared.clock.now();
                let answer = shared.control.write_rollout(write.clone()).await;
                shared.observe_era(answer.era, sent_at);
                // The condition of the write belongs to the era in which it was decided.
                let is_present = answer.era.is_none() || answer.era == era;
                let result = answer.result;
                let outcome = match &result {
                    _ if !is_present => "answered by another history".to_owned(),
                    Ok(_) => "written".to_owned(),
                    Err(error) => error.to_string(),
                };
                log::info!(event = "rollout_write", service:% = write.service, to:% = write.to,
                    phase:? = write.phase, replaces = write.revision, outcome:% = outcome; "");
                match &result {
                    Ok(_) => {}
                    Err(ControlPlaneError::Conflict) => {
                        actix_rt::time::sleep(CONFLICT_DELAY.duration()).await;
                    }
                    Err(_) => {
                        let jitter = Millis(shared.draw() % RETRY_BACKOFF.1.0);
                        let pause = MAX_WRITE_RETRY_PAUSE.since(jitter);
                        actix_rt::time::sleep(pause.duration()).await;
                    }
                }
                let is_present = is_present && shared.history.borrow().is_present(era);
                let mut rollouts = shared.rollouts.borrow_mut();
                if is_present {
                    rollouts.record_write(&write, &result);
                } else {
                    rollouts.abandon_write(&write);
                }
            });
        }
    }
}

/// Sums the answers of all gateways to each roll-out's versions, as reported by the beacons beside the upstreams.
fn sum_answer_counts(shared: &Shared, now: Millis) {
    let (mut rollouts, fleet) = (shared.rollouts.borrow_mut(), shared.fleet.borrow());
    let mut health = shared.health.borrow_mut();
    for (service, rollout) in rollouts.active() {
        let (mut new, mut old) = (Judged::default(), Judged::default());
        for upstream in fleet.all().filter(|u| u.service == *service) {
            let Some((load, _)) = health.entry(&upstream.id, upstream.boot, now).last_report else {
                continue;
            };
            let sum = if upstream.version == rollout.to {
                &mut new
            } else {
                &mut old
            };
            *sum = sum.plus(load.answer_counts);
        }
        rollout.set_pooled_counts(new, old);
        let view_age = shared.freshness.borrow().age(now);
        rollout.update(view_age, now);
    }
}

/// Stops bad versions at this gateway alone; the decision is recorded once the store's history is settled.
fn stop_bad_versions(shared: &Shared, now: Millis) {
    for (service, rollout) in shared.rollouts.borrow_mut().active() {
        if rollout.decision(now) == Some(Phase::Reverted) {
            log::warn!(event = "rollout_stopped_here", service:% = service, to:% = rollout.to; "");
            log_verdict(shared, service, rollout, rollout.verdict(now), now);
            rollout.set_phase(Phase::Reverted);
        }
    }
}

/// Logs the evidence for a decision. A stop takes effect in this gateway before it is recorded, a completion
/// only once it is recorded.
fn apply_decision(shared: &Shared, write: &RolloutWrite) {
    let now = shared.clock.now();
    let mut rollouts = shared.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut(&write.service) else {
        return;
    };
    if write.phase == Phase::Active {
        return;
    }
    log_verdict(shared, &write.service, rollout, rollout.verdict(now), now);
    if write.phase == Phase::Reverted {
        rollout.set_phase(Phase::Reverted);
    }
}

/// Logs why a roll-out ends, with what was seen on each route, of how many gateways and how long ago.
fn log_verdict(
    shared: &Shared,
    service: &Rc<str>,
    rollout: &Rollout,
    verdict: Option<Verdict>,
    now: Millis,
) {
    let [new, old] = rollout.local_counts();
    let (all_new, all_old) = rollout.pooled_counts();
    let comparison = rollout.comparison();
    let reach = comparison.reach(now);
    let table = shared.table.borrow();
    let name = |route: u64| {
        if route == WHOLE_SERVICE {
            return "all".to_owned();
        }
        let mut routes = table.routes().iter();
        let known = routes.find(|r| hash(r.name.as_bytes()) == route);
        known.map_or_else(|| format!("{route:x}"), |r| r.name.to_string())
    };
    let sums = comparison.sums().iter().take(MAX_LOGGED_ROUTES);
    let routes = sums.map(|c| {
        (
            name(c.route),
            <[u32; 5]>::from(c.new),
            <[u32; 5]>::from(c.old),
        )
    });
    let routes: Vec<_> = routes.collect();
    let finding = comparison
        .finding()
        .map(|f| (name(f.route), f.measure, f.score, f.threshold));
    let level = match verdict.map(Verdict::phase) {
        Some(Phase::Reverted) => log::Level::Warn,
        _ => log::Level::Info,
    };
    let event = match verdict.map(Verdict::phase) {
        Some(Phase::Reverted) => "rollout_stopped",
        _ => "rollout_passed",
    };
    log::log!(level, event = event, service:% = service, to:% = rollout.to, verdict:? = verdict,
        gateways = reach.gateways, oldest_report_ms = reach.oldest.0, finding:? = finding, proof:? = comparison.proof(),
        routes_new_old_answers_failed_slow_paces_slow_paces:? = routes,
        new_failed_broken_slow_all_paces:? = new, old_failed_broken_slow_all_paces:? = old,
        all_gateways_new:? = all_new, all_gateways_old:? = all_old; "");
    shared.metrics.count_event(match verdict {
        Some(Verdict::WorseOnRoute) => "rollout_worse_on_route",
        Some(Verdict::Worse) => "rollout_worse",
        Some(Verdict::Unproven) => "rollout_unproven",
        Some(Verdict::Sound) => "rollout_sound",
        None => "rollout_recorded_again",
    });
}
