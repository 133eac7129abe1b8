//! Choice of the upstream for an attempt, from the gateway's current view.

use std::rc::Rc;

use crate::router::cold::Turn;
use crate::router::demand::ModelClass;
use crate::router::eligibility::{self, Barrier};
use crate::router::fleet::Upstream;
use crate::router::pick::{self, Candidate, PickRequest};
use crate::router::rollout::Group;
use crate::router::{hash, mix};
use crate::units::Millis;

use super::job::Job;
use super::places;
use super::shared::Shared;

/// Mean age of a load report when it is used, plus the time until a request reaches the upstream. Beacons poll their
/// upstream every 150 ms.
const REPORT_LAG: Millis = Millis(200);

/// The upstream of an attempt.
#[derive(Debug)]
pub(super) struct Choice {
    pub(super) upstream: Rc<Upstream>,
    /// Work queued at the upstream, in prompt tokens of the largest model, if it reported its load.
    pub(super) backlog: Option<u64>,
    /// The turn that the request has taken, if the upstream is cold.
    pub(super) turn: Option<Turn>,
}

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoChoice {
    /// There is none.
    NoUpstream,
    /// All that the request may use are barred; the barrier that opens first.
    Barred(Barrier),
}

/// Chooses the upstream of an attempt; upstreams in `tried` are used only as the last choice.
pub(super) fn choose(shared: &Shared, job: &Job, tried: &[Rc<str>]) -> Result<Choice, NoChoice> {
    let now = shared.clock.now();
    let fleet = shared.fleet.borrow();
    shared.cold.borrow_mut().tick(now);
    let ready = fleet.ready(&job.service, now).collect();
    let (ready, misplaced) = places::permitted(shared, job, ready);
    let (ready, barrier) = eligibility::divide(ready, |u| paused(shared, u, now));
    let barrier = barrier.or(misplaced);
    let eligible = eligible_upstreams(shared, job, ready, tried.len(), now);
    if let Some(barrier) = barrier.filter(|_| eligible.is_empty()) {
        return Err(NoChoice::Barred(barrier));
    }
    let cold = (shared.cold_terms(&job.service)).map(|terms| (terms, shared.cold_view(now)));
    let out_of_turn = |u: &&Rc<Upstream>| {
        let cold = || cold.and_then(|(terms, view)| shared.cold(u, terms, view));
        limited(shared, u, now).or_else(|| cold().map(Barrier::Cold))
    };
    let (eligible, barrier) = eligibility::divide(eligible, out_of_turn);
    if let Some(barrier) = barrier.filter(|_| eligible.is_empty()) {
        return Err(NoChoice::Barred(barrier));
    }
    let eligible = places::without_returning(shared, eligible, now);
    let eligible = shared.within_pace(eligible, now);
    let policy = shared.policy();
    let mut health = shared.health.borrow_mut();
    let mut candidates: Vec<_> = eligible
        .iter()
        .map(|u| {
            let health = health.entry(&u.id, u.boot, now);
            Candidate {
                hash: hash(u.id.as_bytes()),
                is_local: u.data_centre == policy.data_centre,
                slots: u.slots,
                in_flight: health.in_flight,
                pending: health.pending,
                awaiting_output: (health.recent_load(now))
                    .map(|l| u64::from(l.waiting + l.starting)),
                own_awaiting_output: health.starting,
                running: (health.recent_load(now)).map_or(0, |l| u64::from(l.running)),
                lane_cost: 0,
                serves_small: false,
                failures: permille(health.failure_rate()),
                is_ejected: health.is_ejected(now),
                is_tried: tried.contains(&u.id),
            }
        })
        .collect();
    let (small_share, wanted) = pick_request(shared, job, now);
    pick::assign_lanes(
        &mut candidates,
        job.lane(&shared.sizes.borrow()),
        small_share,
    );
    let (at, reason) =
        pick::pick(&candidates, wanted, shared.draw()).ok_or(NoChoice::NoUpstream)?;
    let upstream = eligible[at];
    let backlog = candidates[at].backlog(wanted.mean_work);
    if let Some(backlog) = backlog.filter(|_| job.uses_larger_model()) {
        shared.with_lateness(&job.service, |l| l.observe_backlog(backlog, now));
    }
    log::info!(event = "pick", request:% = String::from_utf8_lossy(&job.id), upstream:% = upstream.id,
        session:% = format_args!("{:x}", job.session_hash), version:% = upstream.version, reason = reason.name(), of = candidates.len(),
        in_flight = candidates[at].in_flight, backlog:? = backlog, arriving = wanted.arriving, small_share = small_share, attempt = tried.len(), model = job.model.unwrap_or(0),
        table = shared.table.borrow().version; "");
    (shared.named_limits.borrow_mut()).record_send(
        &upstream.id,
        upstream.boot,
        shared.sharing_at(upstream, now),
        now,
        shared.clock.unix(),
    );
    Ok(Choice {
        upstream: Rc::clone(upstream),
        backlog,
        turn: shared.take_cold_turn(upstream, now),
    })
}

/// Returns why an upstream wants no request now, if it asks for a pause.
fn paused(shared: &Shared, upstream: &Upstream, now: Millis) -> Option<Barrier> {
    let pauses = shared.pauses.borrow();
    if pauses.is_empty() {
        return None;
    }
    let reason = pauses.paused(&upstream.id, upstream.boot, now, shared.draw());
    reason.map(Barrier::Paused)
}

/// Returns why an upstream gets no request now within the limit that it names.
fn limited(shared: &Shared, upstream: &Upstream, now: Millis) -> Option<Barrier> {
    let limits = shared.named_limits.borrow();
    let (id, boot) = (&upstream.id, upstream.boot);
    if !limits.has_limit(id, boot) {
        return None;
    }
    let (sharing, unix) = (shared.sharing_at(upstream, now), shared.clock.unix());
    if limits.may_send(id, boot, sharing, now, unix) {
        return None;
    }
    let reason = limits.limited(id, boot, sharing, now, unix);
    reason.map(Barrier::Limited)
}

/// Returns the share of the upstreams that serve the smallest model, in permille, and what the choice depends on;
/// counts the request's work.
fn pick_request(shared: &Shared, job: &Job, now: Millis) -> (u64, PickRequest) {
    let (class, work) = (job.model_class(), job.total_work(shared));
    let gateways = shared.gateways(now);
    shared.with_demand(&job.service, |demand| {
        let request = PickRequest {
            affinity: job.affinity.map(|a| mix(a ^ job.model.unwrap_or(0) as u64)),
            token_permille: job.token_permille(shared),
            arriving: demand.work_within(class, REPORT_LAG, now) * gateways,
            mean_work: [ModelClass::Smallest, ModelClass::Larger]
                .map(|class| demand.mean_work(class)),
        };
        demand.record(class, work, now);
        (demand.small_share_permille(), request)
    })
}

/// Returns the upstreams whose version the request may run on, after `tried` attempts.
fn eligible_upstreams<'a>(
    shared: &Shared,
    job: &Job,
    ready: Vec<&'a Rc<Upstream>>,
    tried: usize,
    now: Millis,
) -> Vec<&'a Rc<Upstream>> {
    let idle_timeout = shared.policy().session_idle_timeout;
    let mut sessions = shared.sessions.borrow_mut();
    let rollouts = shared.rollouts.borrow();
    let Some(rollout) = rollouts.get(&job.service) else {
        sessions.record(job.session_hash, Group::Old, now, idle_timeout);
        return ready;
    };
    // The upstreams of a bad version are still there when the next one is ordered.
    let is_withdrawn = |u: &&Rc<Upstream>| rollouts.is_withdrawn(&job.service, &u.version);
    let ready: Vec<_> = ready.into_iter().filter(|u| !is_withdrawn(u)).collect();
    let mut pinned = sessions.group(job.session_hash, now, idle_timeout);
    let since_start = now.since(rollout.started());
    if pinned == Some(Group::New) && sessions.group(job.session_hash, now, since_start).is_none() {
        // The session ran on a version that was rolled out before this one.
        pinned = Some(Group::Old);
    }
    let pinned = pinned.filter(|_| rollout.pins_sessions(now));
    let group = pinned.unwrap_or_else(|| rollout.group(job.session_hash, now));
    sessions.record(job.session_hash, group, now, idle_timeout);
    let in_group = |group: Group| {
        let is_new = group == Group::New;
        let members = ready.iter().filter(|u| (u.version == rollout.to) == is_new);
        members.copied().collect::<Vec<_>>()
    };
    let mut selected = in_group(group);
    let in_use = rollout.upstreams_in_use(selected.len(), tried, now);
    if group == Group::New && in_use < selected.len() {
        selected.sort_by_cached_key(|u| hash(u.id.as_bytes()));
        selected.truncate(in_use);
    }
    match group {
        _ if !selected.is_empty() || !rollout.can_fall_back(group) => selected,
        Group::New => in_group(Group::Old),
        Group::Old => in_group(Group::New),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the share is between 0 and 1"
)]
fn permille(share: f64) -> u32 {
    (share * 1_000.0) as u32
}
