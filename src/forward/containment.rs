//! Containment of requests that crash upstreams: feeds the evidence of this gateway and exchanges it through the store.

use std::rc::Rc;

use actix_rt::time::{sleep, timeout};

use crate::router::fleet::Upstream;
use crate::router::history::Standing;
use crate::suspect::{
    ContainmentRecord, Decision, EvidenceWrite, Feature, Report, RunEnd, WriteResult,
};
use crate::units::Millis;

use super::follow::ControlPlaneError;
use super::job::Job;
use super::shared::Shared;

/// Interval of the checks for runs that have survived and for due writes, without and with evidence of a crash.
const IDLE_INTERVAL: Millis = Millis(500);
const ACTIVE_INTERVAL: Millis = Millis(100);

/// Keeps a run among the exposures of the gateway until it is dropped.
pub(super) struct RunGuard<'a> {
    shared: &'a Shared,
    job: &'a Job,
    end: RunEnd,
}

impl<'a> RunGuard<'a> {
    /// Adds a request that is sent to an upstream.
    pub(super) fn start(shared: &'a Shared, job: &'a Job, upstream: &Upstream) -> Self {
        let mut exposures = shared.exposures.borrow_mut();
        let id = exposures.start(&upstream.id, upstream.boot, &job.features);
        job.exposure.set(Some(id));
        Self {
            shared,
            job,
            end: RunEnd::Dropped,
        }
    }

    /// Sets how the run ends.
    pub(super) const fn set_end(&mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.job.exposure.take() {
            let now = self.shared.clock.now();
            (self.shared.exposures.borrow_mut()).end(id, self.end, now);
        }
    }
}

impl Shared {
    /// Records that the answer to a request has begun.
    pub(super) fn record_run_begin(&self, job: &Job, now: Millis) {
        if let Some(id) = job.exposure.get() {
            self.exposures.borrow_mut().begin(id, now);
        }
    }

    /// Records that bytes of the answer to a request have arrived.
    pub(super) fn record_run_progress(&self, job: &Job, now: Millis) {
        let survived =
            (job.exposure.get()).and_then(|id| self.exposures.borrow_mut().progress(id, now));
        if let Some(features) = survived {
            let unix = self.clock.unix();
            (self.evidence.borrow_mut()).record_survival(&features, unix);
        }
    }

    /// Records that an upstream's process crashed at `at`.
    pub(super) fn record_crash(&self, upstream: &Rc<str>, boot: u64, at: Millis) {
        let accused = (self.exposures.borrow_mut()).crash(upstream, boot, at);
        let age = self.clock.now().since(at);
        let at = self.clock.unix().since(age);
        log::warn!(event = "upstream_crashed", upstream:% = upstream, boot = boot, age_ms = age.0,
            accused = accused.len(); "");
        self.metrics.count_event("upstream_crashed");
        let contained = self.evidence.borrow().contained();
        (self.evidence.borrow_mut()).record_crash(upstream, boot, at, &accused);
        self.log_contained(contained);
        self.evidence_changed.notify_one();
    }

    /// Applies the report of another gateway.
    pub(super) fn merge_crash_report(&self, report: &Report) {
        let (now, unix) = (self.clock.now(), self.clock.unix());
        let contained = self.evidence.borrow().contained();
        let new = self.evidence.borrow_mut().merge(report, unix);
        for (upstream, boot, at) in new {
            let local_at = Millis(now.0.saturating_sub(unix.since(at).0));
            let accused = (self.exposures.borrow_mut()).crash(&upstream, boot, local_at);
            if !accused.is_empty() {
                (self.evidence.borrow_mut()).record_crash(&upstream, boot, at, &accused);
            }
        }
        self.log_contained(contained);
        self.evidence_changed.notify_one();
    }

    /// Applies a containment that is recorded in the store.
    pub(super) fn apply_containment(&self, record: ContainmentRecord, revision: u64) {
        log::info!(event = "containment_recorded", containment:% = record.key(), features:? = record.features,
            crashes = record.crashes, trials = record.trials, source:% = record.gateway,
            age_ms = self.clock.unix().since(record.last_crash).0, revision = revision; "");
        self.evidence.borrow_mut().apply(record, revision);
        self.evidence_changed.notify_one();
    }

    /// Applies the end of a recorded containment.
    pub(super) fn remove_containment(&self, key: Feature) {
        log::info!(event = "containment_ended", containment:% = key; "");
        self.evidence.borrow_mut().remove(key);
    }

    /// Decides whether a request may be sent to an upstream.
    pub(super) fn decide_containment(&self, job: &Job) -> Decision {
        let unix = self.clock.unix();
        let decision = self.evidence.borrow_mut().decide(&job.features, unix);
        let id = String::from_utf8_lossy(&job.id);
        match &decision {
            Decision::Run => {}
            Decision::Trial(key) => {
                log::warn!(event = "containment_trial", request:% = id, containment:% = key; "");
                self.metrics.count_event("containment_trial");
            }
            Decision::Refuse(refusal) => {
                log::info!(event = "contained", request:% = id, containment:% = refusal.key,
                    crashes = refusal.crashes, age_ms = refusal.age.0, source:% = refusal.source; "");
                self.metrics.count_event("contained");
            }
        }
        decision
    }

    /// Logs a change of the number of containments in force.
    fn log_contained(&self, before: usize) {
        let contained = self.evidence.borrow().contained();
        if contained != before {
            log::warn!(event = "containments", in_force = contained, before = before; "");
        }
    }
}

/// Records survived runs and writes what is due, until the task is dropped.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        if shared.evidence.borrow().has_crashes() {
            sleep(ACTIVE_INTERVAL.duration()).await;
        } else {
            // Ends early when there is new evidence.
            let changed = shared.evidence_changed.notified();
            let _ = timeout(IDLE_INTERVAL.duration(), changed).await;
        }
        let (now, unix) = (shared.clock.now(), shared.clock.unix());
        let contained = shared.evidence.borrow().contained();
        let survived = shared.exposures.borrow_mut().take_survived(now);
        for features in survived {
            (shared.evidence.borrow_mut()).record_survival(&features, unix);
        }
        shared.evidence.borrow_mut().expire(unix);
        shared.log_contained(contained);
        if shared.history.borrow().standing(now) == Standing::Unread {
            continue;
        }
        let due = (shared.evidence.borrow_mut()).due_write(unix, shared.gateways(now));
        if let Some(mut write) = due {
            write.settled_revision = shared.history.borrow().settled_revision();
            actix_rt::spawn(write_evidence(Rc::clone(&shared), write));
        }
    }
}

async fn write_evidence(shared: Rc<Shared>, write: EvidenceWrite) {
    let (sent_at, era) = (shared.clock.now(), shared.history.borrow().era());
    let answer = shared.control.write_evidence(write.clone()).await;
    shared.observe_era(answer.era, sent_at);
    let result = match answer.result {
        // The condition of the write belongs to the era in which it was decided.
        Ok(_) if answer.era != era => Err(ControlPlaneError::HistoryChanged),
        result => result,
    };
    let outcome = match &result {
        Ok(_) => "written".to_owned(),
        Err(error) => error.to_string(),
    };
    let key = write.containment.as_ref().map(|c| c.key);
    log::info!(event = "evidence_write", crashes = write.report.crashes.len(),
        survivals = write.report.survivals.len(), containment:? = key, outcome:% = outcome; "");
    let result = match result {
        Ok(revision) => WriteResult::Written(revision),
        Err(ControlPlaneError::Conflict) => WriteResult::Conflict,
        Err(
            ControlPlaneError::HistoryLost
            | ControlPlaneError::HistoryChanged
            | ControlPlaneError::TooLong
            | ControlPlaneError::Unavailable(_),
        ) => WriteResult::Failed,
    };
    let unix = shared.clock.unix();
    (shared.evidence.borrow_mut()).record_write(&write, result, unix);
}
