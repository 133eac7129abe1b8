//! Waits at the gateway until the upstreams have room for a request that can wait.

use std::rc::Rc;

use actix_rt::time::sleep;

use crate::router::admission::room::Room;
use crate::router::admission::{Applicant, Verdict};
use crate::router::demand::ModelClass;
use crate::router::fleet::Upstream;
use crate::router::hash;
use crate::router::pick::{self, Candidate, Lane};
use crate::units::Millis;

use super::client::ClientConn;
use super::job::Job;
use super::shared::Shared;

/// Shortest time after which a waiting request asks again; up to the same is added at random. Load reports change
/// every 150 ms.
const ASK_INTERVAL: Millis = Millis(40);

/// How a wait for admission ended.
pub(super) enum Admitted {
    Send,
    ClientGone,
}

/// Waits until the request may be sent, if requests with less time compete for the upstreams.
pub(super) async fn wait(shared: &Shared, client: &mut ClientConn, job: &Job) -> Admitted {
    if !shared.policy().orders_under_shortage || !job.is_engine(shared) {
        return Admitted::Send;
    }
    let class = job.model_class();
    let (priority, target) = (job.priority(), job.route.latency_target);
    let asked_at = shared.clock.now();
    let place = shared.with_admission(&job.service, class, |admission| {
        admission.record_request(priority, target, asked_at);
        admission.tighter_target(priority, target, asked_at)?;
        Some(admission.enter(&applicant(shared, job)))
    });
    let Some(place) = place else {
        return Admitted::Send;
    };
    let mut has_waited = false;
    loop {
        let now = shared.clock.now();
        renew_view(shared, job, now);
        let (verdict, waiting) = shared.with_admission(&job.service, class, |admission| {
            let verdict = if shared.is_stopping.get() {
                admission.withdraw(&place);
                Verdict::Aged
            } else {
                admission.poll(&place, shared.draw(), now)
            };
            (verdict, admission.waiting())
        });
        if verdict != Verdict::Wait {
            if has_waited {
                record(shared, job, verdict, now.since(asked_at), waiting);
            }
            return Admitted::Send;
        }
        if !has_waited {
            has_waited = true;
            record(shared, job, verdict, Millis(0), waiting);
        }
        let pause = Millis(ASK_INTERVAL.0 + shared.draw() % ASK_INTERVAL.0);
        let is_gone = tokio::select! {
            biased;
            () = client.closed() => true,
            () = sleep(pause.duration()) => false,
        };
        if is_gone {
            shared.with_admission(&job.service, class, |a| a.withdraw(&place));
            return Admitted::ClientGone;
        }
    }
}

fn applicant(shared: &Shared, job: &Job) -> Applicant {
    Applicant {
        priority: job.priority(),
        account: job.account.as_ref().map(|a| Rc::clone(&a.name)),
        work: job.work(shared),
        arrived: job.arrived,
        latency_target: job.route.latency_target,
        deadline: job.deadline,
    }
}

/// Renews the view of the upstreams' room, with the queue that requests with less time can bear.
fn renew_view(shared: &Shared, job: &Job, now: Millis) {
    let class = job.model_class();
    let bound = shared.with_admission(&job.service, class, |admission| {
        if !admission.needs_view(now) {
            return None;
        }
        let own = job.route.latency_target;
        let target = admission.tighter_target(job.priority(), own, now);
        Some(target.map(|target| admission.queue_bound(target)))
    });
    let Some(bound) = bound else {
        return;
    };
    let room = bound.and_then(|bound| room(shared, job, bound));
    shared.with_admission(&job.service, class, |a| a.set_view(room, now));
}

/// Returns the room for prompts at the upstreams that serve the request's class of models, below `bound`.
fn room(shared: &Shared, job: &Job, bound: u64) -> Option<Room> {
    let now = shared.clock.now();
    let fleet = shared.fleet.borrow();
    let mut health = shared.health.borrow_mut();
    let candidate = |u: &Rc<Upstream>| {
        let health = health.entry(&u.id, u.boot, now);
        let load = health.recent_load(now);
        Candidate {
            hash: hash(u.id.as_bytes()),
            is_local: true,
            slots: u.slots,
            in_flight: health.in_flight,
            pending: health.pending,
            awaiting_output: load.map(|l| u64::from(l.waiting + l.starting)),
            own_awaiting_output: health.starting,
            running: load.map_or(0, |l| u64::from(l.running)),
            lane_cost: 0,
            serves_small: false,
            failures: 0,
            is_ejected: false,
            is_tried: false,
        }
    };
    let mut candidates: Vec<_> = fleet.ready(&job.service, now).map(candidate).collect();
    let (small_share, mean_work) = shared.with_demand(&job.service, |demand| {
        let classes = [ModelClass::Smallest, ModelClass::Larger];
        let mean_work = classes.map(|class| demand.mean_work(class));
        (demand.small_share_permille(), mean_work)
    });
    let sizes = shared.sizes.borrow();
    let lane = job.lane(&sizes);
    pick::assign_lanes(&mut candidates, lane, small_share);
    let own_lane = candidates
        .iter()
        .filter(|c| c.serves_small == (lane == Lane::Small));
    let backlogs = own_lane.map(|c| c.backlog(mean_work));
    Room::below(bound, backlogs, shared.gateways(now))
}

/// Logs and counts a request that waits for admission, or that is sent after a wait.
fn record(shared: &Shared, job: &Job, verdict: Verdict, waited: Millis, waiting: usize) {
    log::info!(event = "admission", request:% = String::from_utf8_lossy(&job.id), route:% = job.route.name,
        priority = job.priority(), outcome = verdict.name(), waited_ms = waited.0, waiting = waiting, model = job.model.unwrap_or(0); "");
    shared.metrics.count_event(match verdict {
        Verdict::Wait => "admission_wait",
        Verdict::Aged => "admission_aged",
        Verdict::Room | Verdict::Unknown => "admission_room",
    });
}
