//! Where a request may be sent: no upstream of an evacuated data centre, and none outside the homes of its route and account.

use std::rc::Rc;

use crate::router::fleet::Upstream;
use crate::router::homes;
use crate::units::Millis;

use super::job::Job;
use super::shared::Shared;

/// Why a request may not be sent to an upstream's data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlaceBarrier {
    /// The data centre is evacuated.
    Evacuated,
    /// The data centre is outside the home regions.
    NotHome,
}

impl PlaceBarrier {
    /// Returns the name used in logs, and as the reason of a refusal.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::NotHome => "not_home",
        }
    }
}

/// Returns why a request may not be sent to an upstream's data centre, if it may not.
pub(super) fn barrier(shared: &Shared, job: &Job, upstream: &Upstream) -> Option<PlaceBarrier> {
    let policy = shared.policy();
    let account = job.account.as_deref();
    if !homes::is_home(&job.route, account, &policy.regions, &upstream.data_centre) {
        return Some(PlaceBarrier::NotHome);
    }
    let is_evacuated = (shared.evacuations.borrow()).is_evacuated(&upstream.data_centre);
    is_evacuated.then_some(PlaceBarrier::Evacuated)
}

/// Returns the upstreams that a request may be sent to, and why it may not be sent to the others.
pub(super) fn permitted<'a>(
    shared: &Shared,
    job: &Job,
    upstreams: Vec<&'a Rc<Upstream>>,
) -> (Vec<&'a Rc<Upstream>>, Option<PlaceBarrier>) {
    let mut reason = None;
    let is_permitted = |u: &&Rc<Upstream>| {
        let barrier = barrier(shared, job, u);
        // Only an evacuation keeps a request from an upstream at home.
        if reason != Some(PlaceBarrier::Evacuated) {
            reason = barrier.or(reason);
        }
        barrier.is_none()
    };
    let permitted = upstreams.into_iter().filter(is_permitted).collect();
    (permitted, reason)
}

/// Leaves out the upstreams of data centres that get their share of requests back step by step, as long as there are others.
pub(super) fn without_returning<'a>(
    shared: &Shared,
    upstreams: Vec<&'a Rc<Upstream>>,
    now: Millis,
) -> Vec<&'a Rc<Upstream>> {
    let evacuations = shared.evacuations.borrow();
    if evacuations.is_idle() {
        return upstreams;
    }
    let draw = shared.draw();
    let is_returning = |u: &&Rc<Upstream>| evacuations.is_returning(&u.data_centre, now, draw);
    let settled: Vec<_> = (upstreams.iter().copied())
        .filter(|u| !is_returning(u))
        .collect();
    if settled.is_empty() {
        upstreams
    } else {
        settled
    }
}
