//! Paces of upstreams that have just started or recovered: where they begin, and what answers and reports say of them.

use std::rc::Rc;

use crate::router::fleet::Upstream;
use crate::router::hash;
use crate::router::pace::{Awaiting, Measure, PaceCause, PaceChange, PaceSign, Profile, Sharing};
use crate::units::Millis;

use super::job::Job;
use super::shared::Shared;

impl Shared {
    /// Starts to pace an upstream from `at` on, if its service says that its upstreams need time after a start.
    pub(super) fn begin_pace(&self, upstream: &Upstream, cause: PaceCause, at: Millis) {
        if !self.is_paced(&upstream.service) {
            return;
        }
        (self.paces.borrow_mut()).begin(&upstream.id, upstream.boot, upstream.slots, at);
        self.metrics.count_event("upstream_paced");
        log::info!(event = "upstream_paced", upstream:% = upstream.id, boot = upstream.boot, cause = cause.name(),
            begins_in_ms = at.since(self.clock.now()).0; "");
    }

    /// Starts to pace an upstream that joins, unless its process has run for longer than it needs after a start.
    pub(super) fn pace_joined(&self, upstream: &Upstream) {
        let now = self.clock.now();
        let age = self.clock.unix().since(Millis(upstream.boot));
        let cold = (self.table.borrow().service(&upstream.service)).map_or(Millis(0), |s| s.cold);
        if upstream.warm_up > Millis(0) || age < cold {
            self.begin_pace(upstream, PaceCause::Started, now);
        }
    }

    /// Records that an attempt at an upstream was refused or failed.
    pub(super) fn observe_pace_failure(&self, upstream: &Upstream) {
        let mut paces = self.paces.borrow_mut();
        if paces.is_empty() {
            return;
        }
        let (sign, now) = (PaceSign::Failed, self.clock.now());
        let change = paces.observe(&upstream.id, upstream.boot, sign, Millis(0), now);
        drop(paces);
        self.log_pace_change(upstream, change);
    }

    /// Records how long an answer of an upstream, or a part of it, took.
    pub(super) fn observe_pace(
        &self,
        job: &Job,
        upstream: &Upstream,
        measure: Measure,
        took: Millis,
    ) {
        if !self.is_paced(&upstream.service) {
            return;
        }
        let now = self.clock.now();
        let target = match measure {
            Measure::FirstByte => job.route.latency_target,
            Measure::Events => job.route.max_event_gap,
        };
        let sign = PaceSign::Took(profile(job, measure), took);
        let mut paces = self.paces.borrow_mut();
        let change = paces.observe(&upstream.id, upstream.boot, sign, target, now);
        drop(paces);
        self.log_pace_change(upstream, change);
    }

    /// Records a load report of an upstream.
    pub(crate) fn observe_pace_report(&self, upstream: &Upstream, waiting: u16, now: Millis) {
        let mut paces = self.paces.borrow_mut();
        if paces.is_empty() {
            return;
        }
        let waiting = u64::from(waiting);
        let change = paces.observe_waiting(&upstream.id, upstream.boot, waiting, now);
        drop(paces);
        self.log_pace_change(upstream, change);
    }

    /// Returns the upstreams whose window has room for a request; all of them if none has.
    pub(super) fn within_pace<'a>(
        &self,
        upstreams: Vec<&'a Rc<Upstream>>,
        now: Millis,
    ) -> Vec<&'a Rc<Upstream>> {
        let mut paces = self.paces.borrow_mut();
        if paces.is_empty() {
            return upstreams;
        }
        let sharing = Sharing {
            gateway: hash(self.policy().name.as_bytes()),
            gateways: self.gateways(now),
        };
        let mut health = self.health.borrow_mut();
        let mut has_room = |u: &Upstream| {
            let health = health.entry(&u.id, u.boot, now);
            let awaiting = Awaiting {
                reported: (health.recent_load(now)).map(|l| u64::from(l.waiting + l.starting)),
                own: health.starting,
            };
            paces.has_room(&u.id, u.boot, awaiting, sharing, now)
        };
        let within: Vec<_> = (upstreams.iter().copied())
            .filter(|u| has_room(u))
            .collect();
        if within.len() < upstreams.len() {
            self.metrics.count_event("pace_held_back");
        }
        if within.is_empty() { upstreams } else { within }
    }

    fn is_paced(&self, service: &str) -> bool {
        let table = self.table.borrow();
        table.service(service).is_some_and(|s| s.cold > Millis(0))
    }

    fn log_pace_change(&self, upstream: &Upstream, change: Option<PaceChange>) {
        let Some(change) = change else {
            return;
        };
        self.metrics.count_event(match change {
            PaceChange::Cut(_) => "pace_cut",
            PaceChange::Recovered => "pace_recovered",
        });
        log::info!(event = "upstream_pace", upstream:% = upstream.id, boot = upstream.boot, change:? = change,
            paced_upstreams = self.paces.borrow().len(); "");
    }
}

/// Returns what a time of a request's answer is compared by.
fn profile(job: &Job, measure: Measure) -> Profile {
    let length = job.size.prompt.max(1).ilog2();
    Profile {
        measure,
        model: u8::try_from(job.model.unwrap_or(0)).unwrap_or(u8::MAX),
        length: u8::try_from(length).unwrap_or(u8::MAX),
    }
}
