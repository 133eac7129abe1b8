//! Processing of one request, from its arrival to its record.

use std::rc::Rc;

use actix_rt::time::{Instant, sleep};
use bytes::Bytes;

use super::super::attempt::{self, CompleteAnswer, Ended, FailedAttempt};
use super::super::shared::Shared;
use super::super::{rollouts, rules};
use super::CallerRequest;
use super::reservation::LimitReservation;
use super::sinks::{ResponseHeaders, ResponseSender, RestartableSink};
use crate::follower::InForce;
use crate::http::Outgoing;
use crate::ids::{AccountId, ClassId, RequestId, UpstreamId, VersionRef, random_u64};
use crate::ledger::Charge;
use crate::limits::{CircuitDecision, backoff};
use crate::peer::{Head, RunRequest, Target};
use crate::record::{AttemptEnd, Event, Outcome, Record, RequestedTarget};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::rollout::Observation;
use crate::route::pick::{Pick, Tried};
use crate::suspect::Fingerprint;
use crate::units::{Millis, Tokens};

/// Lifetime of a session token; each answer of a version carries a new one.
const SESSION_LIFETIME: Millis = Millis::from_secs(86_400);

/// Time after which a caller may retry a request that was refused for lack of capacity.
const CAPACITY_RETRY_AFTER: Millis = Millis::from_secs(1);

/// How a step ended; the end of the last step is the end of the request.
#[derive(Debug)]
pub(super) enum StepEnd {
    /// The complete answer was written to the sink.
    Complete(CompleteAnswer),
    /// The complete answer is in memory.
    Buffered {
        complete: CompleteAnswer,
        head: Head,
        body: Bytes,
        version: VersionRef,
    },
    /// Nothing was sent to the caller.
    Refused(Refusal),
    /// The caller has received part of the answer and a notice that it is incomplete.
    CutOff { bytes: u64, refusal: Refusal },
    /// The sheet has changed since the request was planned, and no attempt has run.
    PlanOutdated,
    /// The caller disconnected.
    CallerLeft,
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct Job {
    pub shared: Rc<Shared>,
    pub in_force: Rc<InForce>,
    pub caller_request: CallerRequest,
    pub events: Vec<Event>,
    class: ClassId,
    asked: RequestedTarget,
    request: RequestId,
    arrival: Instant,
    arrival_unix: Millis,
    deadline: Millis,
    /// Number of the next attempt of the current step.
    next_attempt: u16,
    /// Whether some attempt has run or may have run.
    may_have_run: bool,
    /// Whether an agent may hold a charge of the request that has not reached this gateway.
    charge_unknown: bool,
    /// The request's reservation against the account's limits, released when the request ends.
    reservation: Option<LimitReservation>,
}

/// Measures the time from a request's arrival to the first byte of its answer.
#[derive(Debug)]
pub(super) struct FirstByteTimer {
    shared: Rc<Shared>,
    account: AccountId,
    class: ClassId,
    arrival: Instant,
}

impl FirstByteTimer {
    /// Records that the first byte is sent now.
    pub fn record(&self) {
        let seconds = self.arrival.elapsed().as_secs_f64();
        let (account, class) = (self.account.as_str(), self.class.as_str());
        self.shared.metrics.first_byte(account, class, seconds);
    }
}

impl Job {
    /// Checks a request against the limits of its account and opens it in the ledger.
    pub fn open(
        shared: &Rc<Shared>,
        in_force: Rc<InForce>,
        caller_request: CallerRequest,
        class: ClassId,
        asked: RequestedTarget,
        expected: Tokens,
    ) -> Result<Self, Refusal> {
        let reservation =
            LimitReservation::admit(shared, &in_force, &caller_request.account, &class, expected)?;
        let mut ledger = shared.ledger.borrow_mut();
        if !ledger.has_room() {
            let refusal = Refusal::not_run(Code::Overloaded, "the ledger cannot be stored");
            return Err(refusal.retry_after(CAPACITY_RETRY_AFTER));
        }
        shared.retries.borrow_mut().record_request();
        Ok(Self {
            request: ledger.open_request(),
            reservation,
            shared: Rc::clone(shared),
            in_force,
            caller_request,
            events: Vec::new(),
            class,
            asked,
            arrival: Instant::now(),
            arrival_unix: shared.clock.unix(),
            deadline: Millis(0),
            next_attempt: 0,
            may_have_run: false,
            charge_unknown: false,
        })
    }

    /// Returns the timer for the first byte of the answer.
    pub fn first_byte_timer(&self) -> FirstByteTimer {
        FirstByteTimer {
            shared: Rc::clone(&self.shared),
            account: self.caller_request.account.clone(),
            class: self.class.clone(),
            arrival: self.arrival,
        }
    }

    /// Sets the time allowed from arrival to the end of the answer.
    pub const fn set_deadline(&mut self, deadline: Millis) {
        self.deadline = deadline;
    }

    /// Switches to the sheet that is in force now.
    pub fn reload_sheet(&mut self) -> Result<(), Refusal> {
        match self.shared.follower.in_force() {
            Some(in_force) if self.shared.follower.may_serve() => {
                self.in_force = in_force;
                Ok(())
            }
            _ => Err(Refusal::not_run(Code::NoSheet, "no sheet is in force")),
        }
    }

    /// Switches to the sheet that is in force now and checks that it still allows the target.
    pub fn reload_sheet_for(&mut self, target: &Target) -> Result<(), Refusal> {
        self.reload_sheet()?;
        let account = self.in_force.sheet.account(&self.caller_request.account);
        let allowed = account.is_some_and(|account| match target {
            Target::Service(id) => account.services.binary_search(id).is_ok(),
            Target::Version(id) => account.allow.binary_search(id).is_ok(),
        });
        if allowed {
            return Ok(());
        }
        let message = "the account may no longer use the service";
        Err(Refusal::not_run(Code::Forbidden, message))
    }

    /// Returns the gateway's headers of the answer; with a version, a session token that pins it is included.
    pub fn response_headers(&self, version: Option<&VersionRef>) -> ResponseHeaders {
        let session = version.map(|version| {
            let now = self.shared.clock.unix();
            self.shared
                .sessions
                .sign(&self.caller_request.account, version, now, SESSION_LIFETIME)
        });
        ResponseHeaders {
            request: self.request.to_string(),
            version: version.map(ToString::to_string),
            session,
        }
    }

    /// Runs one step: tries one upstream after another until one delivers the complete answer.
    pub async fn run_step(
        &mut self,
        step: u16,
        target: &Target,
        pinned: bool,
        prefix_hash: Option<u64>,
        sink: &mut impl RestartableSink,
    ) -> StepEnd {
        let mut tried = Tried::default();
        let mut resends = 0;
        let mut last = None;
        self.next_attempt = 0;
        while self.next_attempt < rules::MAX_ATTEMPTS {
            let Some(pick) = self.pick(target, prefix_hash, &mut tried) else {
                break;
            };
            let upstream = pick.upstream.clone();
            let Some(decision) = self.admit_by_circuit(&upstream, target) else {
                tried.failed.push(upstream);
                continue;
            };
            let attempt = self.next_attempt;
            self.next_attempt += 1;
            let wait = pick.wait;
            self.events.push(Event::Picked {
                step,
                attempt,
                pick,
            });
            let req = self.run_request((step, attempt), target, pinned, wait);
            let was_suspect = self.is_suspect();
            let ended = attempt::run(&self.shared, &upstream, &req, sink).await;
            self.record_attempt(step, attempt, &upstream, &ended);
            self.report_attempt(&upstream, target, decision, was_suspect, &ended);
            let failed = match ended {
                Ended::Complete(complete) => return StepEnd::Complete(complete),
                Ended::CallerLeft => return StepEnd::CallerLeft,
                Ended::PlanOutdated if self.may_have_run => {
                    return StepEnd::Refused(rules::sheet_changed_after_run());
                }
                Ended::PlanOutdated => return StepEnd::PlanOutdated,
                Ended::Busy => {
                    tried.full.push(upstream);
                    last = Some(busy());
                    continue;
                }
                Ended::Unreachable(message) => {
                    let refusal = Refusal::not_run(Code::NoUpstream, message);
                    FailedAttempt {
                        refusal,
                        crashed: false,
                        sink_bytes: 0,
                    }
                }
                Ended::Failed(failed) => failed,
            };
            tried.failed.push(upstream);
            if self.should_replan(&failed.refusal) {
                return StepEnd::PlanOutdated;
            }
            if failed.refusal.ran != RunStatus::NotRun {
                if !sink.restart() {
                    sink.cut_off(&failed.refusal).await;
                    return StepEnd::CutOff {
                        bytes: failed.sink_bytes,
                        refusal: failed.refusal,
                    };
                }
                let is_keyed = self.caller_request.idempotency_key.is_some();
                let may_repeat = rules::may_resend(failed.refusal.code, is_keyed, resends)
                    && self.shared.retries.borrow_mut().take();
                if !may_repeat {
                    return StepEnd::Refused(failed.refusal);
                }
                self.shared.metrics.count_event("resends");
                resends += 1;
                sleep(backoff(resends, random_u64()).duration()).await;
            } else if !rules::may_try_another_upstream(failed.refusal.code) {
                return StepEnd::Refused(failed.refusal);
            }
            last = Some(failed.refusal);
        }
        let no_capacity = || {
            let refusal = Refusal::not_run(Code::NoUpstream, "no upstream can take the request");
            refusal.retry_after(CAPACITY_RETRY_AFTER)
        };
        StepEnd::Refused(last.unwrap_or_else(no_capacity))
    }

    /// Returns whether to plan again because an agent refused a version that a newer sheet has withdrawn since
    /// the request was planned.
    fn should_replan(&self, refusal: &Refusal) -> bool {
        let is_replaced = self.shared.follower.revision() != self.in_force.revision;
        refusal.code == Code::VersionWithdrawn
            && refusal.ran == RunStatus::NotRun
            && !self.may_have_run
            && is_replaced
            && matches!(self.asked, RequestedTarget::Class(_))
    }

    fn pick(&self, target: &Target, prefix_hash: Option<u64>, tried: &mut Tried) -> Option<Pick> {
        let mut links = self.shared.links.borrow_mut();
        let draws = [random_u64(), random_u64()];
        links.pick(
            &self.in_force,
            target,
            &self.shared,
            draws,
            prefix_hash,
            tried,
        )
    }

    /// Requests admission from the upstream's circuit breaker; returns `None` if it blocks requests.
    fn admit_by_circuit(&self, upstream: &UpstreamId, target: &Target) -> Option<CircuitDecision> {
        let Target::Version(version) = target else {
            return Some(CircuitDecision::Allowed);
        };
        let now = self.shared.clock.now();
        match self
            .shared
            .circuits
            .borrow_mut()
            .admit(upstream, version, now)
        {
            CircuitDecision::Denied(_) => None,
            decision => Some(decision),
        }
    }

    fn is_suspect(&self) -> bool {
        if self.shared.suspects.borrow().reports().is_empty() {
            return false;
        }
        let fingerprint = Fingerprint::of(&self.caller_request.account, &self.caller_request.body);
        let now = self.shared.clock.unix();
        self.shared.suspects.borrow().count(fingerprint, now) > 0
    }

    /// Reports the end of an attempt to the circuit breaker and the roll-outs.
    fn report_attempt(
        &self,
        upstream: &UpstreamId,
        target: &Target,
        decision: CircuitDecision,
        was_suspect: bool,
        ended: &Ended,
    ) {
        let Target::Version(version) = target else {
            return;
        };
        let (succeeded, observation) = match ended {
            Ended::Complete(_) => (true, Some(Observation::Answered)),
            Ended::Unreachable(_) => (false, Some(Observation::DeadVm)),
            Ended::Failed(failed) if failed.crashed && was_suspect => {
                (false, Some(Observation::CrashOfSuspect))
            }
            Ended::Failed(failed) if failed.refusal.code == Code::UpstreamFailed => {
                (false, Some(Observation::Failed))
            }
            Ended::Failed(_) | Ended::Busy | Ended::PlanOutdated | Ended::CallerLeft => {
                (true, None)
            }
        };
        let now = self.shared.clock.now();
        let mut circuits = self.shared.circuits.borrow_mut();
        circuits.record_result(upstream, version, decision, succeeded, now);
        drop(circuits);
        if let Some(observation) = observation {
            rollouts::observe(&self.shared, &self.in_force, version, observation);
        }
    }

    fn run_request(
        &self,
        (step, attempt): (u16, u16),
        target: &Target,
        pinned: bool,
        wait: bool,
    ) -> RunRequest {
        let elapsed = u64::try_from(self.arrival.elapsed().as_millis()).unwrap_or(u64::MAX);
        let idempotent = self.caller_request.idempotency_key.is_none();
        RunRequest {
            request: self.request,
            step,
            attempt,
            account: self.caller_request.account.clone(),
            class: self.class.clone(),
            target: target.clone(),
            pinned,
            method: self.caller_request.method.clone(),
            path: self.caller_request.path.clone(),
            content_type: self.caller_request.content_type.clone(),
            body: self.caller_request.body.clone(),
            idempotency_key: self.caller_request.idempotency_key.clone(),
            idempotent,
            wait,
            deadline: self.deadline.since(Millis(elapsed)),
            revision: self.in_force.revision,
        }
    }

    fn record_attempt(&mut self, step: u16, attempt: u16, upstream: &UpstreamId, ended: &Ended) {
        let end = match ended {
            Ended::Complete(complete) => {
                self.may_have_run = true;
                AttemptEnd::Whole {
                    status: complete.status,
                    bytes: complete.bytes,
                }
            }
            Ended::PlanOutdated => {
                let message = "a newer sheet is in force";
                AttemptEnd::Refused(Refusal::not_run(Code::NoSheet, message))
            }
            Ended::Busy => AttemptEnd::Refused(busy()),
            Ended::Unreachable(message) => {
                AttemptEnd::Refused(Refusal::not_run(Code::NoUpstream, message.clone()))
            }
            Ended::Failed(failed) => {
                let ran = failed.refusal.ran != RunStatus::NotRun;
                self.may_have_run |= ran;
                self.charge_unknown |= rules::may_hold_charge(&failed.refusal, failed.crashed);
                AttemptEnd::Refused(failed.refusal.clone())
            }
            Ended::CallerLeft => {
                self.charge_unknown = true;
                AttemptEnd::Lost("the caller left".to_owned())
            }
        };
        let upstream = upstream.clone();
        self.events.push(Event::Attempted {
            step,
            attempt,
            upstream,
            end,
        });
    }

    /// Ends the request: sends the response, closes it in the ledger, and writes its metrics and record.
    pub fn finish(mut self, ended: StepEnd, response: &ResponseSender) {
        let outcome = match ended {
            StepEnd::Complete(complete) => self.on_answered(&complete),
            StepEnd::Buffered {
                complete,
                head,
                body,
                version,
            } => {
                let outgoing = Outgoing::full(head.status, &head.content_type, body);
                self.first_byte_timer().record();
                response.send(self.response_headers(Some(&version)).add_to(outgoing));
                self.on_answered(&complete)
            }
            StepEnd::Refused(refusal) => self.on_refused(refusal, response),
            StepEnd::PlanOutdated => self.on_refused(rules::sheet_changed_too_often(), response),
            StepEnd::CutOff { bytes, refusal } => {
                self.close_without_charge();
                Outcome::Incomplete { bytes, refusal }
            }
            StepEnd::CallerLeft => Outcome::CallerLeft,
        };
        self.record(outcome);
    }

    fn on_refused(&mut self, refusal: Refusal, response: &ResponseSender) -> Outcome {
        let refusal = rules::correct_run_status(refusal, self.may_have_run);
        let outgoing = Outgoing::refusal(&refusal);
        response.send(self.response_headers(None).add_to(outgoing));
        self.close_without_charge();
        if refusal.ran == RunStatus::NotRun {
            self.record_usage(Tokens(0));
        }
        Outcome::Refused(refusal)
    }

    fn record_usage(&self, tokens: Tokens) {
        if let Some(reservation) = &self.reservation {
            reservation.record_usage(tokens);
        }
    }

    fn on_answered(&mut self, complete: &CompleteAnswer) -> Outcome {
        let charge = complete.charge.clone().filter(|_| !complete.replayed);
        let amount = charge.as_ref().map(|c| c.amount);
        if let Some(charge) = &charge {
            let (input, output) = charge.item.tokens();
            self.record_usage(input + output);
        }
        self.close(charge);
        Outcome::Answered {
            status: complete.status,
            bytes: complete.bytes,
            replayed: complete.replayed,
            charge: amount,
        }
    }

    /// Closes the request in the ledger without a charge, unless an agent may hold one.
    fn close_without_charge(&mut self) {
        if !self.charge_unknown {
            self.close(None);
        }
    }

    fn close(&mut self, charge: Option<Charge>) {
        if let Err(error) = self.shared.ledger.borrow_mut().close(self.request, charge) {
            log::error!(event = "ledger_close_failed", request:% = self.request, error:% = error; "");
        }
    }

    fn record(self, outcome: Outcome) {
        let elapsed = self.arrival.elapsed();
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let (account, class) = (self.caller_request.account.as_str(), self.class.as_str());
        let seconds = elapsed.as_secs_f64();
        self.shared
            .metrics
            .record_request(account, class, outcome.as_str(), seconds);
        let record = Record {
            request: self.request,
            at: self.arrival_unix,
            gateway: self.shared.name.clone(),
            revision: self.in_force.revision,
            account: self.caller_request.account.clone(),
            asked: self.asked.clone(),
            events: self.events,
            outcome,
            duration: Millis(millis),
        };
        self.shared.save_record(&record);
    }
}

/// Returns the refusal of an attempt at an agent without a free slot.
fn busy() -> Refusal {
    Refusal::not_run(Code::Overloaded, "every slot of the upstream is taken")
        .retry_after(CAPACITY_RETRY_AFTER)
}
