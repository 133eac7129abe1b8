//! Runs requests on a model engine.

use std::cell::Cell;
use std::rc::Rc;

use serde_json::{Map, Value};

use super::answers::Answer;
use super::shared::{Client, Shared};
use super::slots::{SlotRequest, no_slot};
use super::{price, refusals};
use crate::follower::InForce;
use crate::ledger::Charge;
use crate::peer::{RunRequest, Target};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::suspect::{AdmitDecision, Fingerprint, Run};
use crate::units::{Millis, Tokens};
use crate::upstream::UpstreamError;
use crate::upstream::engine::{Completion, EngineClient};

/// Interval between probes of an engine that crashed.
const PROBE_INTERVAL: Millis = Millis(200);

/// Failure of a run that gave no complete answer.
struct RunFailure {
    refusal: Refusal,
    crashed: bool,
}

impl From<Refusal> for RunFailure {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            crashed: false,
        }
    }
}

/// Runs a request and writes its answer.
pub(super) async fn run(
    shared: Rc<Shared>,
    answer: Rc<Answer>,
    in_force: Rc<InForce>,
    slot_request: SlotRequest,
    req: RunRequest,
) {
    let run = Run {
        request: req.request,
        attempt: req.attempt_number(),
    };
    let meter = UsageMeter::new(&shared, &in_force, &req);
    let work = run_admitted(&shared, &answer, &meter, slot_request, &req, run);
    let ended = tokio::select! {
        ended = work => ended,
        () = answer.cancelled() => {
            // The tokens that were generated before the caller left are charged.
            meter.settle();
            Err(run_cancelled().into())
        }
        () = actix_rt::time::sleep(req.deadline.duration()) => Err(deadline_exceeded().into()),
    };
    shared.suspects.borrow_mut().finish(run);
    shared.run_ended.notify_waiters();
    if let Err(failed) = ended {
        answer.fail(failed.refusal, failed.crashed);
    }
}

async fn run_admitted(
    shared: &Rc<Shared>,
    answer: &Answer,
    meter: &UsageMeter<'_>,
    slot_request: SlotRequest,
    req: &RunRequest,
    run: Run,
) -> Result<(), RunFailure> {
    let Some(_slot) = slot_request.wait().await else {
        return Err(no_slot().into());
    };
    shared.recheck_admission(meter.in_force, req)?;
    admit_suspect(shared, req, run).await?;
    if !shared.engine_up.get() {
        // A request that fails because the engine restarts would be taken for one that crashed it.
        return Err(Refusal::not_run(Code::UpstreamFailed, "engine is restarting").into());
    }
    let Client::Engine(engine) = &shared.client else {
        return Err(Refusal::not_run(Code::NoUpstream, "upstream is no engine").into());
    };
    let mut completion = start(shared, engine, req, run).await?;
    let content_type = completion.headers.get("content-type");
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    answer.set_head(completion.status.as_u16(), content_type);
    loop {
        let next = completion.next().await;
        meter.update(&completion);
        match next {
            Ok(Some(bytes)) => answer.append(bytes).await,
            Ok(None) => {
                let charge = meter.settle();
                answer.complete(charge.as_ref(), false);
                return Ok(());
            }
            Err(error) => return Err(failure(shared, run, &error)),
        }
    }
}

/// Counts the tokens of a run for its charge.
///
/// A complete answer is charged, and so are the tokens generated before a caller left. A failed run is not.
struct UsageMeter<'a> {
    shared: &'a Shared,
    in_force: &'a InForce,
    req: &'a RunRequest,
    usage: Cell<(Tokens, Tokens)>,
}

impl<'a> UsageMeter<'a> {
    fn new(shared: &'a Shared, in_force: &'a InForce, req: &'a RunRequest) -> Self {
        Self {
            shared,
            in_force,
            req,
            usage: Cell::default(),
        }
    }

    fn update(&self, completion: &Completion) {
        let usage = completion.usage();
        self.usage
            .set((usage.prompt.unwrap_or_default(), usage.completion));
    }

    /// Returns the charge and adds it to the held charges; `None` if nothing was generated.
    fn settle(&self) -> Option<Charge> {
        let (input, output) = self.usage.get();
        if output == Tokens(0) {
            return None;
        }
        let charge = price::tokens(&self.in_force.sheet, self.req, input, output)?;
        let now = self.shared.clock.now();
        self.shared
            .held_charges
            .borrow_mut()
            .hold(charge.clone(), now);
        Some(charge)
    }
}

async fn start(
    shared: &Rc<Shared>,
    engine: &EngineClient,
    req: &RunRequest,
    run: Run,
) -> Result<Completion, RunFailure> {
    let body: Map<String, Value> = serde_json::from_slice(&req.body)
        .map_err(|error| Refusal::not_run(Code::BadRequest, format!("body: {error}")))?;
    let Target::Version(version) = &req.target else {
        return Err(Refusal::not_run(Code::NoUpstream, "upstream is no service").into());
    };
    let started = engine.chat(version, body).await;
    started.map_err(|error| failure(shared, run, &error))
}

/// Waits until no other suspect runs on this engine; refuses a request that was in flight at two crashes.
async fn admit_suspect(shared: &Rc<Shared>, req: &RunRequest, run: Run) -> Result<(), Refusal> {
    let fingerprint = Fingerprint::of(&req.account, &req.body);
    loop {
        let ended = shared.run_ended.notified();
        let now = shared.clock.unix();
        let admitted = shared.suspects.borrow_mut().admit(run, fingerprint, now);
        match admitted {
            AdmitDecision::Run => return Ok(()),
            AdmitDecision::Wait => ended.await,
            AdmitDecision::Refuse { crashes } => {
                shared.metrics.count_event("crashing_request_refused");
                let why = format!("request was in flight at {crashes} crashes of upstreams");
                return Err(Refusal::after_run(
                    Code::RequestCrashesUpstream,
                    RunStatus::Ran,
                    why,
                ));
            }
        }
    }
}

fn failure(shared: &Rc<Shared>, run: Run, error: &UpstreamError) -> RunFailure {
    let crashed = matches!(error, UpstreamError::Crashed(_));
    if crashed {
        record_crash(shared, run);
    }
    RunFailure {
        refusal: refusals::engine(error),
        crashed,
    }
}

/// Marks all requests in flight as suspects, once for each crash.
fn record_crash(shared: &Rc<Shared>, run: Run) {
    let mut suspects = shared.suspects.borrow_mut();
    if !suspects.is_running(run) {
        // The same crash was already recorded for another request, which ended this run too.
        return;
    }
    let crash = suspects.crash(shared.clock.unix());
    shared.engine_up.set(false);
    actix_rt::spawn(wait_for_recovery(Rc::clone(shared)));
    shared.metrics.count_event("engine_crashes");
    log::warn!(
        event = "engine_crashed",
        upstream = shared.upstream.as_str(),
        requests = crash.ended.len(),
        blame:? = crash.blame;
        ""
    );
}

/// Polls the engine's load until the engine answers.
async fn wait_for_recovery(shared: Rc<Shared>) {
    let Client::Engine(engine) = &shared.client else {
        return;
    };
    while engine.load().await.is_err() {
        actix_rt::time::sleep(PROBE_INTERVAL.duration()).await;
    }
    shared.engine_up.set(true);
    log::info!(event = "engine_recovered", upstream = shared.upstream.as_str(); "");
}

fn run_cancelled() -> Refusal {
    Refusal::after_run(
        Code::UpstreamFailed,
        RunStatus::Unknown,
        "run was cancelled",
    )
    .resend_safe()
}

fn deadline_exceeded() -> Refusal {
    let why = "deadline passed before the end of the answer";
    Refusal::after_run(Code::DeadlineExceeded, RunStatus::Unknown, why).resend_safe()
}
