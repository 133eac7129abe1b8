//! Runs calls that must run at most once; performs the effects of their state machine.

use std::rc::Rc;

use actix_rt::time::sleep;
use bytes::Bytes;

use super::answers::Answer;
use super::leases;
use super::refusals;
use super::service::{self, CompleteResponse};
use super::shared::Shared;
use super::slots::{SlotRequest, no_slot};
use crate::follower::InForce;
use crate::idempotency::{
    Attempt, Call, CallDigest, Effect, IdempotencyKey, KeyedAnswer, KeyedCall, Outcome,
    RecordWrite, RunEnd, Step, StoredBody,
};
use crate::ids::random_u64;
use crate::kv::{Change, KvError, TxnOutcome};
use crate::peer::RunRequest;
use crate::refusal::{Code, Refusal, RunStatus};
use crate::upstream::UpstreamError;

/// Runs a keyed call to its end, even if its answer is no longer read.
pub(super) async fn run(
    shared: Rc<Shared>,
    answer: Rc<Answer>,
    in_force: Rc<InForce>,
    slot_request: SlotRequest,
    key: IdempotencyKey,
    req: RunRequest,
) {
    let Some(_slot) = slot_request.wait().await else {
        answer.fail(no_slot(), false);
        return;
    };
    if let Err(refusal) = shared.recheck_admission(&in_force, &req) {
        answer.fail(refusal, false);
        return;
    }
    let call = KeyedCall {
        account: req.account.clone(),
        key,
        digest: CallDigest::of(&req.method, &req.path, &req.body),
        by: attempt(&shared, &req),
        lifetime: in_force.sheet.policy.key_lifetime,
    };
    shared.outcome_writes.set(shared.outcome_writes.get() + 1);
    let driver = Driver {
        shared: &shared,
        answer: &answer,
        in_force: &in_force,
        req: &req,
    };
    driver.drive(call).await;
    shared.outcome_writes.set(shared.outcome_writes.get() - 1);
}

fn attempt(shared: &Shared, req: &RunRequest) -> Attempt {
    let call = shared.last_keyed_call.get() + 1;
    shared.last_keyed_call.set(call);
    Attempt {
        agent: shared.incarnation,
        call,
        request: req.request,
        attempt: req.attempt_number(),
    }
}

struct Driver<'a> {
    shared: &'a Rc<Shared>,
    answer: &'a Answer,
    in_force: &'a InForce,
    req: &'a RunRequest,
}

impl Driver<'_> {
    async fn drive(&self, call: KeyedCall) {
        let now = self.shared.clock.unix();
        let (mut call, mut step) = Call::start(call, now, &self.shared.record_cache.borrow());
        // The full body of the answer, if this call ran; a record stores only small bodies.
        let mut full_body = None;
        loop {
            if let Some(keyed_answer) = step.answer.take() {
                self.deliver(keyed_answer, full_body.take());
            }
            let Some(effect) = step.next.take() else {
                return;
            };
            step = self.perform(&mut call, effect, &mut full_body).await;
        }
    }

    async fn perform(
        &self,
        call: &mut Call,
        effect: Effect,
        full_body: &mut Option<Bytes>,
    ) -> Step {
        let kv = &self.shared.kv;
        match effect {
            Effect::WriteIntent(write) => {
                let written = self.write(write).await;
                let now = self.shared.clock.unix();
                call.on_write(written, now, &mut self.shared.record_cache.borrow_mut())
            }
            Effect::ReadBack(key) => {
                let read = kv.get(&key).await;
                let now = self.shared.clock.unix();
                call.on_read(read, now, &mut self.shared.record_cache.borrow_mut())
            }
            Effect::Run => {
                let end = self.run_once(full_body).await;
                call.on_run_end(end, &mut self.shared.record_cache.borrow_mut())
            }
            Effect::WriteOutcome(write) => {
                let written = self.write(write).await;
                call.on_outcome_write(
                    &written,
                    random_u64(),
                    &mut self.shared.record_cache.borrow_mut(),
                )
            }
            Effect::RetryOutcome(wait) => {
                sleep(wait.duration()).await;
                let now = self.shared.clock.unix();
                call.on_retry(now, &mut self.shared.record_cache.borrow_mut())
            }
        }
    }

    /// Writes a record with a lease, so that the key-value service removes it after its key has expired.
    async fn write(&self, write: RecordWrite) -> Result<TxnOutcome, KvError> {
        let RecordWrite {
            key,
            value,
            condition,
        } = write;
        let lifetime = self.in_force.sheet.policy.key_lifetime;
        let lease = Some(leases::current(self.shared, lifetime).await?);
        let put = Change::Put { key, value, lease };
        let written = self.shared.kv.txn(vec![condition], vec![put]).await;
        if written == Err(KvError::LeaseGone) {
            leases::forget(self.shared);
        }
        written
    }

    async fn run_once(&self, full_body: &mut Option<Bytes>) -> RunEnd {
        self.shared.metrics.count_event("keyed_runs");
        let call = service::call(self.shared, self.req);
        let deadline = sleep(self.req.deadline.duration());
        let ended = tokio::select! {
            ended = call => ended,
            () = deadline => Err(UpstreamError::Silent("deadline passed".to_owned())),
        };
        match ended {
            Ok(CompleteResponse {
                status,
                content_type,
                body,
            }) => {
                let charge = service::charge(self.shared, self.in_force, self.req, status);
                // A charge can always be serialised.
                let charge = serde_json::to_value(&charge).unwrap_or_default();
                *full_body = Some(body.clone());
                RunEnd::Done(Outcome::new(status, Some(content_type), body, charge))
            }
            Err(error) if error.not_sent() => RunEnd::NotSent,
            Err(_) => RunEnd::Broken,
        }
    }

    /// Passes the answer to the gateway; the outcome is stored whether the gateway reads it or not.
    fn deliver(&self, keyed_answer: KeyedAnswer, full_body: Option<Bytes>) {
        let (outcome, replayed) = match keyed_answer {
            KeyedAnswer::Fresh(outcome) => (outcome, false),
            KeyedAnswer::Replayed(outcome) => (outcome, true),
            refused => {
                self.answer.fail(refusals::keyed(&refused), false);
                return;
            }
        };
        let body = match (full_body, &outcome.body) {
            (Some(body), _) => body,
            (None, StoredBody::Whole(body)) => body.clone(),
            (None, StoredBody::TooLarge { length }) => {
                let why = format!("the call ran; its answer of {length} bytes was not kept");
                let refusal = Refusal::after_run(Code::OutcomeUnknown, RunStatus::Ran, why);
                self.answer.fail(refusal.resend_safe(), false);
                return;
            }
        };
        self.answer.set_head(
            outcome.status,
            outcome.content_type.as_deref().unwrap_or_default(),
        );
        let charge = serde_json::from_value(outcome.charge)
            .ok()
            .filter(|_| !replayed);
        if !self.answer.append_whole(&body) {
            let why = "the call ran; its answer is over the bound";
            let refusal = Refusal::after_run(Code::OutcomeUnknown, RunStatus::Ran, why);
            self.answer.fail(refusal.resend_safe(), false);
            return;
        }
        self.answer.complete(charge.as_ref(), replayed);
    }
}
