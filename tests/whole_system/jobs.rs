//! Serving of one request at a gateway; the code around the library follows `src/gateway/serve` and
//! `src/gateway/attempt.rs`.

use std::rc::Rc;

use bytes::Bytes;
use fireflywind::follower::InForce;
use fireflywind::gateway::planning::{self, RequestTraits, RuntimeData};
use fireflywind::gateway::rules;
use fireflywind::ids::{AccountId, ClassId, RequestId, VersionRef};
use fireflywind::ledger::Charge;
use fireflywind::limits::backoff;
use fireflywind::peer::{RunRequest, Target};
use fireflywind::rating::Ppm;
use fireflywind::record::{RatingResult, RequestedTarget, accepts, refusal_of};
use fireflywind::refusal::{Code, Refusal, RunStatus};
use fireflywind::route::pick::Tried;
use fireflywind::route::plan::{PlanStep, plan};
use fireflywind::units::{Millis, Tokens};

use super::attempts::{AttemptEnd, CompleteAnswer, Sink};
use super::callers::{CallerOutcome, Transcript};
use super::gateway::Gateway;

/// Maximum number of plans for one request; a new plan is made when the sheet changes meanwhile.
const MAX_PLANS: u32 = 3;

/// Lifetime of a session.
const SESSION_LIFETIME: Millis = Millis::from_secs(86_400);

/// A caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub account: AccountId,
    pub asked: RequestedTarget,
    pub streamed: bool,
    pub body: Bytes,
    pub key: Option<String>,
    pub session: Option<String>,
}

enum StepEnd {
    Whole(CompleteAnswer),
    Refused(Refusal),
    Truncated,
    SheetBehind,
}

pub struct Job {
    pub gateway: Rc<Gateway>,
    in_force: Rc<InForce>,
    caller_request: CallerRequest,
    class: ClassId,
    session: Option<VersionRef>,
    request: RequestId,
    arrival: Millis,
    deadline: Millis,
    next_attempt: u16,
    may_have_run: bool,
    charge_unknown: bool,
    to: Rc<Transcript>,
}

impl Gateway {
    /// Accepts a caller's request and serves it in a task of its own.
    pub fn serve(self: &Rc<Self>, caller_request: CallerRequest, to: &Rc<Transcript>) {
        if self.stopping.get() {
            return to.end(CallerOutcome::NotAccepted);
        }
        match self.open(caller_request, to) {
            Err(refusal) => to.end(CallerOutcome::Refused(refusal)),
            Ok(job) => {
                self.serving.set(self.serving.get() + 1);
                self.proc.spawn(async move {
                    let gateway = Rc::clone(&job.gateway);
                    job.run().await;
                    gateway.serving.set(gateway.serving.get() - 1);
                });
            }
        }
    }

    fn open(
        self: &Rc<Self>,
        caller_request: CallerRequest,
        to: &Rc<Transcript>,
    ) -> Result<Job, Refusal> {
        let follower = self.follower();
        let in_force = follower.in_force().filter(|_| follower.may_serve());
        let in_force =
            in_force.ok_or_else(|| Refusal::not_run(Code::NoSheet, "no sheet is in force"))?;
        let account = in_force.sheet.account(&caller_request.account);
        let account = account.ok_or_else(|| Refusal::not_run(Code::Unauthorized, "account"))?;
        let unix = self.proc.env.clock.unix();
        let session = match &caller_request.session {
            None => None,
            Some(token) => {
                let pinned = self.sessions.verify(token, &caller_request.account, unix);
                let pinned = pinned
                    .map_err(|error| Refusal::not_run(Code::BadSession, error.to_string()))?;
                Some(pinned.version)
            }
        };
        if let RequestedTarget::Service(id) = &caller_request.asked
            && account.services.binary_search(id).is_err()
        {
            return Err(Refusal::not_run(Code::Forbidden, "service"));
        }
        let class = match &caller_request.asked {
            RequestedTarget::Class(class) => class.clone(),
            RequestedTarget::Version(_) => "direct".into(),
            RequestedTarget::Service(id) => id.as_str().into(),
        };
        let mut ledger = self.ledger.borrow_mut();
        if !ledger.has_room() {
            return Err(Refusal::not_run(Code::Overloaded, "ledger is full"));
        }
        self.retries.borrow_mut().record_request();
        let request = ledger.open_request();
        to.request.set(Some(request));
        Ok(Job {
            gateway: Rc::clone(self),
            in_force,
            caller_request,
            class,
            session,
            request,
            arrival: self.proc.env.now(),
            deadline: Millis(0),
            next_attempt: 0,
            may_have_run: false,
            charge_unknown: false,
            to: Rc::clone(to),
        })
    }
}

impl Job {
    async fn run(mut self) {
        let mut ended = StepEnd::Refused(rules::sheet_changed_too_often());
        for _ in 0..MAX_PLANS {
            let end = match self.caller_request.asked.clone() {
                RequestedTarget::Service(id) => self.try_service(Target::Service(id)).await,
                RequestedTarget::Class(_) | RequestedTarget::Version(_) => self.try_chat().await,
            };
            if !matches!(end, StepEnd::SheetBehind) {
                ended = end;
                break;
            }
            if let Err(refusal) = self.refresh_sheet() {
                ended = StepEnd::Refused(refusal);
                break;
            }
        }
        self.finish(ended);
    }

    /// Switches to the sheet that is in force now and checks again that the account may use the service.
    fn refresh_sheet(&mut self) -> Result<(), Refusal> {
        let follower = self.gateway.follower();
        let in_force = follower.in_force().filter(|_| follower.may_serve());
        self.in_force =
            in_force.ok_or_else(|| Refusal::not_run(Code::NoSheet, "no sheet is in force"))?;
        let account = self.in_force.sheet.account(&self.caller_request.account);
        let is_forbidden = match &self.caller_request.asked {
            RequestedTarget::Service(id) => {
                account.is_none_or(|a| a.services.binary_search(id).is_err())
            }
            RequestedTarget::Class(_) | RequestedTarget::Version(_) => false,
        };
        if is_forbidden {
            return Err(Refusal::not_run(Code::Forbidden, "service"));
        }
        Ok(())
    }

    async fn try_service(&mut self, target: Target) -> StepEnd {
        self.deadline = Millis::from_secs(10);
        let to = Rc::clone(&self.to);
        let mut sink = Sink::Stream { to, head: false };
        self.step(0, &target, &mut sink).await
    }

    async fn try_chat(&mut self) -> StepEnd {
        let env = Rc::clone(&self.gateway.proc.env);
        let planned = {
            let sheet = &self.in_force.sheet;
            let Some(account) = sheet.account(&self.caller_request.account) else {
                return StepEnd::Refused(Refusal::not_run(Code::Unauthorized, "account"));
            };
            let wanted = RequestTraits {
                asked: &self.caller_request.asked,
                session: self.session.clone(),
                streamed: self.caller_request.streamed,
                expected_tokens: Tokens(64),
            };
            let (table, unix) = (self.gateway.table.borrow(), env.clock.unix());
            let known = RuntimeData {
                aim: &|class, target| table.aim(class, target),
                rated_in_time: &|_| Ppm(0),
                estimate: &|class, version, reach| table.estimate(class, version, reach, unix),
                share: &|_, rollout| rollout.max_share,
                routable: &|version| self.gateway.is_routable(&self.in_force, version),
            };
            planning::build_input(sheet, account, &wanted, &known)
        };
        let planning = match planned {
            Ok(planning) => planning,
            Err(refusal) => return StepEnd::Refused(refusal),
        };
        self.deadline = planning.deadline;
        let draws = [(); 4].map(|()| env.rng.draw());
        match plan(&planning.input, draws) {
            Err(error) => StepEnd::Refused(refusal_of(&error)),
            Ok(plan) => self.run_steps(&plan.steps).await,
        }
    }

    async fn run_steps(&mut self, steps: &[PlanStep]) -> StepEnd {
        let mut rejected = None;
        for (number, step) in (0..).zip(steps) {
            let target = Target::Version(step.version.clone());
            if self.caller_request.streamed && steps.len() == 1 {
                let to = Rc::clone(&self.to);
                let mut sink = Sink::Stream { to, head: false };
                self.add_session_token(&step.version);
                return self.step(number, &target, &mut sink).await;
            }
            let mut sink = Sink::Buffer(Vec::new());
            let whole = match (self.step(number, &target, &mut sink).await, rejected.take()) {
                (StepEnd::Whole(whole), _) => whole,
                (StepEnd::Refused(_), Some((whole, body, version))) => {
                    return self.deliver(whole, body, &version);
                }
                (ended, _) => return ended,
            };
            let Sink::Buffer(body) = sink else {
                unreachable!("the sink is a buffer");
            };
            if accepts(step.accept, RatingResult::Missing) {
                return self.deliver(whole, body, &step.version);
            }
            rejected = Some((whole, body, step.version.clone()));
        }
        match rejected {
            Some((whole, body, version)) => self.deliver(whole, body, &version),
            None => StepEnd::Refused(Refusal::not_run(Code::NoUpstream, "no step")),
        }
    }

    fn deliver(&self, whole: CompleteAnswer, body: Vec<u8>, version: &VersionRef) -> StepEnd {
        *self.to.bytes.borrow_mut() = body;
        self.add_session_token(version);
        StepEnd::Whole(whole)
    }

    /// Adds a session token to the answer.
    fn add_session_token(&self, version: &VersionRef) {
        let now = self.gateway.proc.env.clock.unix();
        let sessions = &self.gateway.sessions;
        let token = sessions.sign(&self.caller_request.account, version, now, SESSION_LIFETIME);
        *self.to.token.borrow_mut() = Some((token, version.clone()));
    }

    /// Runs one step: makes attempts at one upstream after another until one gives the whole answer.
    async fn step(&mut self, step: u16, target: &Target, sink: &mut Sink) -> StepEnd {
        let (gateway, env) = (Rc::clone(&self.gateway), Rc::clone(&self.gateway.proc.env));
        let mut tried = Tried::default();
        let mut resends = 0;
        let mut last = None;
        self.next_attempt = 0;
        while self.next_attempt < rules::MAX_ATTEMPTS {
            let pool = gateway.pool(&self.in_force, target);
            let draws = [env.rng.draw(), env.rng.draw()];
            let Some(pick) = pool.pick(gateway.now(), draws, None, &tried) else {
                break;
            };
            let upstream = pick.upstream;
            let attempt = self.next_attempt;
            self.next_attempt += 1;
            let req = self.run_request(step, attempt, target);
            gateway.update_in_flight(&upstream, |n| n + 1);
            let ended = self.attempt(&upstream, &req, sink).await;
            gateway.update_in_flight(&upstream, |n| n.saturating_sub(1));
            let (refusal, crashed) = match ended {
                AttemptEnd::Whole(whole) => {
                    self.may_have_run = true;
                    return StepEnd::Whole(whole);
                }
                AttemptEnd::SheetBehind if self.may_have_run => {
                    return StepEnd::Refused(rules::sheet_changed_after_run());
                }
                AttemptEnd::SheetBehind => return StepEnd::SheetBehind,
                AttemptEnd::Failed { refusal, crashed } => (refusal, crashed),
            };
            self.may_have_run |= refusal.ran != RunStatus::NotRun;
            self.charge_unknown |= rules::may_hold_charge(&refusal, crashed);
            tried.failed.push(upstream);
            if refusal.ran != RunStatus::NotRun {
                if !sink.restart() {
                    return StepEnd::Truncated;
                }
                let may_repeat =
                    rules::may_resend(refusal.code, self.caller_request.key.is_some(), resends)
                        && gateway.retries.borrow_mut().take();
                if !may_repeat {
                    return StepEnd::Refused(refusal);
                }
                resends += 1;
                gateway.proc.sleep(backoff(resends, env.rng.draw())).await;
            } else if !rules::may_try_another_upstream(refusal.code) {
                return StepEnd::Refused(refusal);
            }
            last = Some(refusal);
        }
        let no_upstream = || Refusal::not_run(Code::NoUpstream, "no upstream can take the request");
        StepEnd::Refused(last.unwrap_or_else(no_upstream))
    }

    fn run_request(&self, step: u16, attempt: u16, target: &Target) -> RunRequest {
        let elapsed = self.gateway.proc.env.now().since(self.arrival);
        let is_service = matches!(target, Target::Service(_));
        RunRequest {
            request: self.request,
            step,
            attempt,
            account: self.caller_request.account.clone(),
            class: self.class.clone(),
            target: target.clone(),
            pinned: self.session.is_some(),
            method: "POST".to_owned(),
            path: if is_service {
                "/orders"
            } else {
                "/v1/chat/completions"
            }
            .to_owned(),
            content_type: "application/json".to_owned(),
            body: self.caller_request.body.clone(),
            idempotency_key: self.caller_request.key.clone(),
            idempotent: self.caller_request.key.is_none(),
            wait: true,
            deadline: self.deadline.since(elapsed),
            revision: self.in_force.revision,
        }
    }

    fn finish(self, ended: StepEnd) {
        match ended {
            StepEnd::Whole(whole) => {
                self.close(whole.charge.filter(|_| !whole.replayed));
                self.to.end(CallerOutcome::Whole);
            }
            StepEnd::Refused(refusal) => {
                let refusal = rules::correct_run_status(refusal, self.may_have_run);
                self.close_without_charge();
                self.to.end(CallerOutcome::Refused(refusal));
            }
            StepEnd::Truncated => {
                self.close_without_charge();
                self.to.end(CallerOutcome::Truncated);
            }
            // Not reached: `run` makes a new plan or turns this case into a refusal.
            StepEnd::SheetBehind => self
                .to
                .end(CallerOutcome::Refused(rules::sheet_changed_too_often())),
        }
    }

    fn close_without_charge(&self) {
        if !self.charge_unknown {
            self.close(None);
        }
    }

    fn close(&self, charge: Option<Charge>) {
        let env = &self.gateway.proc.env;
        env.oracle.record_close(self.request, charge.as_ref());
        let closed = self.gateway.ledger.borrow_mut().close(self.request, charge);
        closed.expect("a request is closed once");
    }
}
