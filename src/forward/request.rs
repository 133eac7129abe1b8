//! Serves one request: admission, attempts, and the answer to the client.

use std::rc::Rc;

use actix_rt::time::sleep;
use bytes::BytesMut;

use crate::platform::headers;
use crate::router::attempt::{AttemptFailure, Attempts, ExecutionGuarantee};
use crate::router::cold::Cold;
use crate::router::eligibility::Barrier;
use crate::router::named_limits::Limited;
use crate::router::pauses::Paused;
use crate::suspect::Decision;
use crate::units::Millis;

use super::admission::{self, Admitted};
use super::attempt::{AttemptEnd, attempt, deliver, take_retry_budget};
use super::choose::{Choice, NoChoice, choose};
use super::client::{AfterAnswer, ClientConn, IncomingRequest};
use super::exchange::HeldBody;
use super::head::ResponseHead;
use super::job::{Job, admit, not_run};
use super::reply::LocalReply;
use super::shared::Shared;
use super::stream::Relay;

/// Time that must be left before the deadline for another attempt.
const MIN_REMAINING_TIME: Millis = Millis(20);

/// Shortest time after which a refused client may retry. Up to the same again is added at random, so that
/// clients that were refused together do not retry together.
const MIN_RETRY_AFTER: Millis = Millis(400);

enum Outcome {
    /// The upstream's answer was delivered.
    Delivered { status: u16, after: AfterAnswer },
    /// The gateway must answer by itself.
    Local(LocalReply),
    /// The client has closed its connection or cannot be written to.
    ClientGone,
    /// The answer was cut off and the connection to the client must be closed.
    Broken,
}

/// Serves one request; returns whether the client's connection stays open.
pub async fn serve(
    shared: &Rc<Shared>,
    client: &mut ClientConn,
    req: IncomingRequest,
) -> AfterAnswer {
    let is_head_request = req.head.method.as_ref() == b"HEAD";
    let (outcome, job) = match admit(shared, &req) {
        Ok(job) if shared.is_too_late(job.deadline) => {
            shared.metrics.count_event("refused_in_stop");
            (Outcome::Local(not_run("stopping", 0)), Some(job))
        }
        Ok(mut job) => {
            let outcome = run_attempts(shared, client, &req, &mut job).await;
            (outcome, Some(job))
        }
        Err(reply) => (Outcome::Local(reply), None),
    };
    let (after, status, reason) = match outcome {
        Outcome::Delivered { status, after } => (after, status, "answered"),
        Outcome::ClientGone => (AfterAnswer::Close, 499, "client_gone"),
        Outcome::Broken => (AfterAnswer::Close, 0, "broken_off"),
        Outcome::Local(reply) => {
            let mut out = BytesMut::new();
            let closes = shared.closes(req.head.keep_alive);
            reply.write(&mut out, closes, is_head_request);
            let is_written = client.write(&out).await.is_ok();
            let after = AfterAnswer::from_close(closes || !is_written);
            (after, reply.status, reply.reason)
        }
    };
    record_outcome(shared, &req, job.as_ref(), status, reason);
    after
}

fn record_outcome(
    shared: &Shared,
    req: &IncomingRequest,
    job: Option<&Job>,
    status: u16,
    reason: &str,
) {
    let took = shared.clock.now().since(req.arrived);
    let id = req.head.fields.text(headers::REQUEST_ID).unwrap_or("-");
    let route = job.map_or("-", |j| &j.route.name);
    let account = job
        .and_then(|j| j.account.as_ref())
        .map_or("-", |a| &a.name);
    let seconds = std::time::Duration::from_millis(took.0).as_secs_f64();
    shared
        .metrics
        .record_request(account, route, reason, seconds);
    let first_byte = job
        .and_then(|j| j.first_byte.get())
        .map_or(-1, |m| i128::from(m.0));
    let pace = job.and_then(|j| j.pace.get());
    let pace = pace.map_or(-1, |m| i128::from(m.0));
    let pause = job.map_or(Millis(0), |j| j.longest_pause.get());
    log::info!(event = "outcome", request = id, route = route, account = account, status = status,
        reason = reason, took_ms = took.0, first_byte_ms = first_byte, pace_ms = pace, longest_pause_ms = pause.0; "");
}

async fn run_attempts(
    shared: &Rc<Shared>,
    client: &mut ClientConn,
    req: &IncomingRequest,
    job: &mut Job,
) -> Outcome {
    let mut attempts = Attempts::new(job.route.kind, job.route.attempts);
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut failure: Option<(Box<ResponseHead>, HeldBody)> = None;
    let mut relay = Relay::new(job.resume_after);
    let mut needs_budget = false;
    let mut retry_after = MIN_RETRY_AFTER;
    let reason = loop {
        let now = shared.clock.now();
        if now + MIN_REMAINING_TIME >= job.deadline {
            break "deadline";
        }
        if (shared.stop.get()).is_some_and(|stop| now >= stop.answers_at) {
            break "stopping";
        }
        if !attempts.can_send() || (needs_budget && !take_retry_budget(shared, job)) {
            break "attempts_used";
        }
        let is_trial = match shared.decide_containment(job) {
            Decision::Run => false,
            Decision::Trial(_) => true,
            Decision::Refuse(refusal) => {
                retry_after = refusal.retry_after;
                break "contained";
            }
        };
        // An upstream's error answer is ready. Another gateway has the time that a stop would cut off, but not for a stream that
        // has begun.
        let may_wait = || failure.is_none() && (relay.has_begun() || !shared.is_stopping.get());
        // Waits once for each model; a repeated send has had its turn.
        if tried.is_empty() && failure.is_none() && !relay.has_begun() {
            match admission::wait(shared, client, job).await {
                Admitted::Send => {}
                Admitted::ClientGone => return Outcome::ClientGone,
            }
        }
        let choice = match choose_after_pause(shared, client, job, &tried, may_wait).await {
            Ok(choice) => choice,
            Err(NoAttempt::ClientGone) => return Outcome::ClientGone,
            Err(NoAttempt::NoChoice(NoChoice::NoUpstream)) => break "no_upstream",
            Err(NoAttempt::NoChoice(NoChoice::Barred(barrier))) => {
                let (reason, wait) = record_barrier(shared, job, barrier);
                retry_after = retry_after.max(wait);
                break reason;
            }
        };
        let (upstream, now) = (&choice.upstream, shared.clock.now());
        tried.push(Rc::clone(&upstream.id));
        // An answer that is ready is not given up for one that may be cut off.
        let can_reroute = attempts.can_escalate() && !is_trial && !shared.is_too_late(job.deadline);
        (shared.health.borrow_mut()).start(&upstream.id, upstream.boot, now);
        let end = attempt(shared, client, req, job, &choice, &mut relay, can_reroute).await;
        let now = shared.clock.now();
        (shared.health.borrow_mut()).end(&upstream.id, upstream.boot, now);
        needs_budget = true;
        match end {
            AttemptEnd::Delivered { status, after } => return Outcome::Delivered { status, after },
            AttemptEnd::ClientGone => return Outcome::ClientGone,
            AttemptEnd::Broken => return Outcome::Broken,
            AttemptEnd::Retry(cause) => {
                needs_budget = cause != AttemptFailure::NotSent;
                attempts.record(cause);
            }
            AttemptEnd::Escalate(model, confidence) => {
                job.discarded = job.model.map(|smaller| (smaller, confidence));
                job.model = Some(model);
                // Upstreams tried with the smaller model may be chosen again for the larger one.
                tried.clear();
                attempts.record(AttemptFailure::Dropped);
                needs_budget = false;
            }
            AttemptEnd::Failure(head, body) => {
                attempts.record(AttemptFailure::Failed);
                failure = Some((head, body));
            }
            AttemptEnd::TimedOut => {
                attempts.record(AttemptFailure::Lost);
                break "timeout";
            }
        }
    };
    retry_after.0 += shared.draw() % MIN_RETRY_AFTER.0;
    let unanswered = Unanswered {
        reason,
        retry_after,
        failure,
    };
    finish_unanswered(client, job, &attempts, unanswered, &relay).await
}

/// Logs why no upstream may get the request; returns the reason and the time after which the client may retry.
fn record_barrier(shared: &Shared, job: &Job, barrier: Barrier) -> (&'static str, Millis) {
    let wait = match barrier {
        Barrier::Leaving => return ("no_upstream", Millis(0)),
        Barrier::Evacuated | Barrier::OutsideHome => record_barred(shared, job, barrier),
        Barrier::Limited(reason) => {
            record_limited(shared, job, reason);
            reason.wait
        }
        Barrier::Cold(cold) => {
            record_cold(shared, job, cold, "refused");
            cold.wait
        }
        Barrier::Paused(paused) => {
            record_paused(shared, job, paused, "refused");
            // Clients that were refused during one pause do not come back at the same moment.
            paused.wait + Millis(shared.draw() % (paused.wait.0 / 4 + 1))
        }
    };
    (barrier.name(), wait)
}

/// Why there is no other attempt.
enum NoAttempt {
    NoChoice(NoChoice),
    ClientGone,
}

/// Shortest and longest time after which a request that waits for a paused upstream looks for others.
const PAUSE_RECHECK: (Millis, Millis) = (Millis(100), Millis(500));

/// Chooses the upstream of an attempt. If all want a pause, waits for the first one to end as long as it may, unless the request's
/// deadline comes before.
///
/// A client that is refused comes back once or twice, and only within a third of the time that it has left; waiting here
/// reaches the end of the pause, and takes nothing from the retry budget.
async fn choose_after_pause(
    shared: &Shared,
    client: &mut ClientConn,
    job: &Job,
    tried: &[Rc<str>],
    may_wait: impl Fn() -> bool,
) -> Result<Choice, NoAttempt> {
    let mut is_waiting = false;
    loop {
        let barrier = match choose(shared, job, tried) {
            Ok(choice) => return Ok(choice),
            Err(NoChoice::Barred(barrier)) => barrier,
            Err(reason) => return Err(NoAttempt::NoChoice(reason)),
        };
        let (Barrier::Paused(Paused { wait, .. }) | Barrier::Cold(Cold { wait, .. })) = barrier
        else {
            return Err(NoAttempt::NoChoice(NoChoice::Barred(barrier)));
        };
        let is_too_long = shared.clock.now() + wait + MIN_REMAINING_TIME >= job.deadline;
        if is_too_long || !may_wait() {
            return Err(NoAttempt::NoChoice(NoChoice::Barred(barrier)));
        }
        if !is_waiting {
            is_waiting = true;
            match barrier {
                Barrier::Paused(paused) => record_paused(shared, job, paused, "waits"),
                Barrier::Cold(cold) => record_cold(shared, job, cold, "waits"),
                _ => {}
            }
        }
        // Another upstream may come; half of the wait keeps many waiting requests from asking all the time.
        let (shortest, longest) = PAUSE_RECHECK;
        let recheck = Millis((wait.0 / 2).clamp(shortest.0, longest.0));
        let pause = wait.min(recheck);
        tokio::select! {
            biased;
            () = client.closed() => return Err(NoAttempt::ClientGone),
            () = sleep(pause.duration()) => {}
        }
    }
}

/// Logs a request whose upstreams all want a pause.
fn record_paused(shared: &Shared, job: &Job, paused: Paused, outcome: &'static str) {
    log::info!(event = "paused", request:% = String::from_utf8_lossy(&job.id), service:% = job.service, outcome = outcome,
        paused_upstreams = shared.pauses.borrow().len(shared.clock.now()), wait_ms = paused.wait.0,
        age_ms = paused.age.0; "");
    shared.metrics.count_event(match outcome {
        "waits" => "pause_waited_for",
        _ => "paused",
    });
}

/// Logs a request whose upstreams are all cold, without a turn of this gateway.
fn record_cold(shared: &Shared, job: &Job, cold: Cold, outcome: &'static str) {
    log::info!(event = "cold", request:% = String::from_utf8_lossy(&job.id), service:% = job.service, outcome = outcome,
        wait_ms = cold.wait.0, cause:? = cold.cause, has_lease = cold.has_lease; "");
    shared.metrics.count_event(match outcome {
        "waits" => "cold_waited_for",
        _ => "cold",
    });
}

/// Logs a request that is refused because all upstreams name a limit.
fn record_limited(shared: &Shared, job: &Job, reason: Limited) {
    let sharing = shared.sharing(shared.clock.now());
    log::info!(event = "limited", request:% = String::from_utf8_lossy(&job.id), service:% = job.service,
        limited_upstreams = shared.named_limits.borrow().len(), gateways = sharing.gateways, wait_ms = reason.wait.0,
        age_ms = reason.age.0, source:? = reason.source; "");
    shared.metrics.count_event("limited");
}

/// Logs a request that may be sent to no data centre; returns the time after which the client may retry.
fn record_barred(shared: &Shared, job: &Job, barrier: Barrier) -> Millis {
    let now = shared.clock.now();
    let evacuations = shared.evacuations.borrow();
    let (event, retry_after) = match barrier {
        Barrier::Evacuated => ("refused_evacuated", evacuations.retry_after(now)),
        _ => ("refused_not_home", MIN_RETRY_AFTER),
    };
    log::info!(event = "barred", request:% = String::from_utf8_lossy(&job.id), service:% = job.service, route:% = job.route.name,
        reason = barrier.name(), evacuated = evacuations.len(), retry_after_ms = retry_after.0; "");
    shared.metrics.count_event(event);
    retry_after
}

/// Why a request has no answer, and what the client gets instead.
struct Unanswered {
    reason: &'static str,
    /// Time after which the client may retry if the request has not run.
    retry_after: Millis,
    /// An upstream's error response.
    failure: Option<(Box<ResponseHead>, HeldBody)>,
}

async fn finish_unanswered(
    client: &mut ClientConn,
    job: &Job,
    attempts: &Attempts,
    unanswered: Unanswered,
    relay: &Relay,
) -> Outcome {
    let Unanswered {
        reason,
        retry_after,
        failure,
    } = unanswered;
    if relay.has_begun() {
        // The client receives a truncated answer and may resume after its last event.
        return Outcome::Broken;
    }
    if let Some((head, body)) = failure {
        return match deliver(client, job, &head, &body, true).await {
            AttemptEnd::Delivered { status, after } => Outcome::Delivered { status, after },
            _ => Outcome::ClientGone,
        };
    }
    Outcome::Local(match attempts.execution_guarantee() {
        ExecutionGuarantee::NotRun => not_run(reason, retry_after.0),
        ExecutionGuarantee::Unknown if reason == "timeout" || reason == "deadline" => {
            LocalReply::new(504, "timeout")
        }
        ExecutionGuarantee::Unknown => LocalReply::new(502, "upstream_lost"),
    })
}
