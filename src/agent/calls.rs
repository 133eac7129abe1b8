//! Handles the calls that gateways make to the agent.

use std::rc::Rc;

use bytes::Bytes;

use super::answers::Answer;
use super::shared::{Client, Shared};
use super::slots::SlotRequest;
use super::{admission, engine, keyed, orders, service, stall};
use crate::dissemination::Admission;
use crate::follower::InForce;
use crate::kv::LocalFuture;
use crate::ledger::Flushed;
use crate::peer::{
    Head, PeerCalls, ReadBody, ReadReply, ReadRequest, RunReply, RunRequest, Status,
};
use crate::refusal::{Code, Refusal};
use crate::stream::MAX_UNACKNOWLEDGED_BYTES;
use crate::suspect;
use crate::units::Millis;

/// Delay after which a caller may try an upstream again that is at capacity or not ready.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// Handler of the calls to one agent.
#[derive(Debug)]
pub(super) struct Calls(pub Rc<Shared>);

impl Calls {
    fn start(&self, req: RunRequest) -> RunReply {
        match self.admit(&req) {
            Err(reply) => reply,
            Ok((in_force, slot_request)) => self.spawn(req, in_force, slot_request),
        }
    }

    fn admit(&self, req: &RunRequest) -> Result<(Rc<InForce>, SlotRequest), RunReply> {
        let shared = &self.0;
        let refuse = |refusal| Err(RunReply::Refused(refusal));
        if shared.leaving.get() {
            return refuse(Refusal::not_run(Code::Stopping, "upstream is leaving"));
        }
        if !stall::is_confirmed(shared) {
            let refusal =
                Refusal::not_run(Code::NoSheet, "agent was stopped and confirms its sheet");
            return refuse(refusal.retry_after(RETRY_AFTER));
        }
        let own_revision = shared.follower.revision();
        match shared.follower.admit(req.revision) {
            Admission::Run => {}
            Admission::FetchFirst => return Err(RunReply::Older(own_revision)),
            Admission::CallerOutdated => return Err(RunReply::Newer(own_revision)),
            Admission::Stale => {
                let why = "no sheet is in force, or it was not confirmed for too long";
                return refuse(Refusal::not_run(Code::NoSheet, why));
            }
        }
        let Some(in_force) = shared.follower.in_force() else {
            return Err(RunReply::Older(own_revision));
        };
        let slot_count =
            admission::admit(&in_force.sheet, &shared.upstream, req).map_err(RunReply::Refused)?;
        if !req.wait && shared.running.get() >= slot_count {
            return Err(RunReply::Busy(shared.running.get()));
        }
        let running = usize::try_from(shared.running.get()).unwrap_or(usize::MAX);
        if !shared.held_charges.borrow().has_room(running) {
            let refusal = Refusal::not_run(Code::Overloaded, "too many charges are not stored yet");
            return refuse(refusal.retry_after(RETRY_AFTER));
        }
        let account = in_force.sheet.account(&req.account);
        let priority = account.map(|account| account.priority).unwrap_or_default();
        let slot_request = shared
            .slots
            .request_slot(slot_count, priority, req.deadline)
            .map_err(|refusal| {
                shared.metrics.count_event("shed");
                RunReply::Refused(refusal)
            })?;
        Ok((in_force, slot_request))
    }

    fn spawn(&self, req: RunRequest, in_force: Rc<InForce>, slot_request: SlotRequest) -> RunReply {
        let shared = Rc::clone(&self.0);
        let is_engine = matches!(shared.client, Client::Engine(_));
        let key = match admission::key(&req, is_engine) {
            Ok(key) => key,
            Err(refusal) => return RunReply::Refused(refusal),
        };
        let max_bytes = if key.is_some() {
            service::MAX_KEYED_ANSWER_BYTES
        } else {
            MAX_UNACKNOWLEDGED_BYTES
        };
        let answer = Answer::open(&req, shared.clock, max_bytes);
        let running = RunningGuard::new(&shared);
        let run_answer = Rc::clone(&answer);
        let may_cancel = key.is_none();
        let run = actix_rt::spawn(async move {
            let _running = running;
            match (&shared.client, key) {
                (_, Some(key)) => {
                    keyed::run(
                        Rc::clone(&shared),
                        run_answer,
                        in_force,
                        slot_request,
                        key,
                        req,
                    )
                    .await;
                }
                (Client::Engine(_), None) => {
                    engine::run(Rc::clone(&shared), run_answer, in_force, slot_request, req).await;
                }
                (Client::Service(_), None) => {
                    service::run(Rc::clone(&shared), run_answer, in_force, slot_request, req).await;
                }
            }
        });
        let run = may_cancel.then_some(run);
        RunReply::Accepted(self.0.answers.borrow_mut().add(answer, run))
    }
}

/// Counts a request as running until it is dropped.
struct RunningGuard(Rc<Shared>);

impl RunningGuard {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.running.set(shared.running.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl PeerCalls for Calls {
    fn run(&self, req: RunRequest) -> LocalFuture<'_, RunReply> {
        Box::pin(async move { self.start(req) })
    }

    fn read(&self, req: ReadRequest) -> LocalFuture<'_, ReadReply> {
        Box::pin(async move {
            let found = self.0.answers.borrow().get(req.answer);
            let mut reply = match found {
                Some(answer) => answer.read(req).await,
                None => ReadReply {
                    head: Head::default(),
                    attempt: 0,
                    running: 0,
                    body: ReadBody::Gone,
                },
            };
            reply.running = self.0.running.get();
            reply
        })
    }

    fn ack(&self, answer: u64) {
        let now = self.0.clock.now();
        self.0.answers.borrow_mut().acknowledge(answer, now);
    }

    fn cancel(&self, answer: u64) {
        self.0.metrics.count_event("cancelled");
        self.ack(answer);
    }

    fn status(&self, gateway: Status) -> Status {
        let shared = &self.0;
        let now = shared.clock.now();
        match serde_json::from_slice::<Flushed>(&gateway.flushed) {
            Ok(flushed) => {
                shared
                    .held_charges
                    .borrow_mut()
                    .release(gateway.incarnation, &flushed, now);
            }
            Err(_) => shared
                .held_charges
                .borrow_mut()
                .record_heartbeat(gateway.incarnation, now),
        }
        self.suspects(gateway.suspects);
        let unix = shared.clock.unix();
        let suspects = shared.suspects.borrow();
        let reports = suspects.suspects().reports().iter();
        let recent: Vec<_> = reports
            .filter(|r| unix.since(r.at) < suspect::REPORT_RESEND_PERIOD)
            .copied()
            .collect();
        Status {
            name: shared.upstream.as_str().to_owned(),
            incarnation: shared.incarnation,
            revision: shared.follower.revision(),
            leaving: shared.leaving.get(),
            running: shared.running.get(),
            flushed: Bytes::new(),
            suspects: suspect::encode(&recent).into(),
        }
    }

    fn exchange(&self, messages: Bytes) -> Bytes {
        let from = self.0.follower.on_messages(&messages);
        let replies = from.and_then(|from| self.0.follower.take_messages(&from));
        replies.unwrap_or_default()
    }

    fn suspects(&self, reports: Bytes) {
        let Some(reports) = suspect::decode(&reports) else {
            log::warn!(event = "crash_reports_malformed", bytes = reports.len(); "");
            return;
        };
        let now = self.0.clock.unix();
        self.0.suspects.borrow_mut().merge(&reports, now);
    }

    fn order(&self, fence: u64, order: Bytes) -> LocalFuture<'_, Bytes> {
        Box::pin(async move { orders::submit(&self.0, fence, order).await })
    }
}
