//! Where a request may be sent: no upstream of an evacuated data centre, and none outside the homes of its route and account.

use std::rc::Rc;

use crate::router::eligibility::Barrier;
use crate::router::fleet::Upstream;
use crate::router::homes;
use crate::units::Millis;

use super::job::Job;
use super::shared::Shared;

/// Returns why a request may not be sent to an upstream's data centre, if it may not.
pub(super) fn barrier(shared: &Shared, job: &Job, upstream: &Upstream) -> Option<Barrier> {
    let policy = shared.policy();
    let account = job.account.as_deref();
    if !homes::is_home(&job.route, account, &policy.regions, &upstream.data_centre) {
        return Some(Barrier::OutsideHome);
    }
    let is_evacuated = (shared.evacuations.borrow()).is_evacuated(&upstream.data_centre);
    is_evacuated.then_some(Barrier::Evacuated)
}

/// Returns the upstreams that a request may be sent to, and why it may not be sent to the others.
pub(super) fn permitted<'a>(
    shared: &Shared,
    job: &Job,
    upstreams: Vec<&'a Rc<Upstream>>,
) -> (Vec<&'a Rc<Upstream>>, Option<Barrier>) {
    let mut reason = None;
    let is_permitted = |u: &&Rc<Upstream>| {
        let barrier = barrier(shared, job, u);
        // Only an evacuation keeps a request from an upstream at home.
        if reason != Some(Barrier::Evacuated) {
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
