//! Runs of requests at an agent's upstream; the code around the library follows `src/agent/engine.rs` and
//! `src/agent/keyed.rs`.

use std::cell::Cell;

use actix_rt::time::sleep;
use bytes::Bytes;
use fireflywind::agent::answers::Answer;
use fireflywind::agent::{price, refusals};
use fireflywind::follower::InForce;
use fireflywind::idempotency::{
    Attempt, Call, CallDigest, Effect, IdempotencyKey, KeyedAnswer, KeyedCall, Outcome,
    RecordWrite, RunEnd, Step, StoredBody,
};
use fireflywind::kv::{Change, KeyValue, KvError, TxnOutcome};
use fireflywind::ledger::Charge;
use fireflywind::peer::{RunRequest, Target};
use fireflywind::refusal::{Code, Refusal, RunStatus};
use fireflywind::suspect::{AdmitDecision, Fingerprint, Run};
use fireflywind::units::{Millis, Tokens};
use fireflywind::upstream::UpstreamError;
use tokio::sync::Semaphore;

use super::agent::Agent;

/// Prefix of the bodies that crash the engine on which they run.
pub const CRASH: &str = "crash";

/// Time for which a crashed engine is down.
const DOWNTIME: Millis = Millis(400);

struct Failed {
    refusal: Refusal,
    crashed: bool,
}

impl From<Refusal> for Failed {
    fn from(refusal: Refusal) -> Self {
        let crashed = false;
        Self { refusal, crashed }
    }
}

impl Agent {
    /// Holds a charge and records it with the oracle.
    fn hold(&self, charge: Option<Charge>) -> Option<Charge> {
        let charge = charge?;
        let now = self.now();
        self.held.borrow_mut().hold(charge.clone(), now);
        self.proc
            .env
            .oracle
            .record_charge(self.incarnation, &charge);
        Some(charge)
    }

    pub async fn run_engine(
        &self,
        answer: &Answer,
        in_force: &InForce,
        slots: &Semaphore,
        req: &RunRequest,
    ) {
        let run = Run {
            request: req.request,
            attempt: req.attempt_number(),
        };
        let output = Cell::new(Tokens(0));
        let settle = || {
            let tokens = output.get();
            let charge = || price::tokens(&in_force.sheet, req, Tokens(1), tokens);
            self.hold((tokens > Tokens(0)).then(charge).flatten())
        };
        let work = async {
            let _slot = slots.acquire().await.expect("slots are never closed");
            self.admit_suspect(req, run).await?;
            self.complete(answer, req, run, &output).await?;
            answer.complete(settle().as_ref(), false);
            Ok::<(), Failed>(())
        };
        let cut = |code, why| Refusal::after_run(code, RunStatus::Unknown, why).resend_safe();
        let ended = tokio::select! {
            biased;
            ended = work => ended,
            () = answer.cancelled() => {
                settle();
                Err(cut(Code::UpstreamFailed, "run was cancelled").into())
            }
            () = sleep(req.deadline.duration()) => {
                Err(cut(Code::DeadlineExceeded, "deadline passed").into())
            }
        };
        self.suspects.borrow_mut().finish(run);
        self.run_ended.notify_waiters();
        if let Err(failed) = ended {
            answer.fail(failed.refusal, failed.crashed);
        }
    }

    async fn admit_suspect(&self, req: &RunRequest, run: Run) -> Result<(), Refusal> {
        let fingerprint = Fingerprint::of(&req.account, &req.body);
        loop {
            let ended = self.run_ended.notified();
            let now = self.unix();
            let admitted = self.suspects.borrow_mut().admit(run, fingerprint, now);
            match admitted {
                AdmitDecision::Run => return Ok(()),
                AdmitDecision::Wait => ended.await,
                AdmitDecision::Refuse { .. } => {
                    let code = Code::RequestCrashesUpstream;
                    return Err(Refusal::after_run(
                        code,
                        RunStatus::Ran,
                        "request crashes upstreams",
                    ));
                }
            }
        }
    }

    /// Simulates the engine: generates the answer in chunks.
    async fn complete(
        &self,
        answer: &Answer,
        req: &RunRequest,
        run: Run,
        output: &Cell<Tokens>,
    ) -> Result<(), Failed> {
        let (env, engine) = (&self.proc.env, self.upstream());
        if env.now() < engine.down_until.get() {
            return Err(self.failure(run, &UpstreamError::NotSent("engine is down".to_owned())));
        }
        let epoch = engine.crashes.get();
        let bytes = env.oracle.record_run(self.slot, req, &env.rng);
        answer.set_head(200, "text/event-stream");
        for chunk in bytes.chunks(bytes.len().div_ceil(4).max(1)) {
            let crashed = engine.crashed.notified();
            tokio::select! {
                biased;
                () = crashed => {}
                () = self.proc.sleep(Millis(5 + env.rng.below(150))) => {}
            }
            if req.body.starts_with(CRASH.as_bytes()) && engine.crashes.get() == epoch {
                engine.crashes.set(epoch + 1);
                engine.down_until.set(env.now() + DOWNTIME);
                engine.crashed.notify_waiters();
            }
            if engine.crashes.get() != epoch {
                return Err(self.failure(run, &UpstreamError::Crashed("reset".to_owned())));
            }
            output.set(Tokens(output.get().0 + 1));
            answer.append(Bytes::copy_from_slice(chunk)).await;
        }
        Ok(())
    }

    fn failure(&self, run: Run, error: &UpstreamError) -> Failed {
        let crashed = matches!(error, UpstreamError::Crashed(_));
        let mut suspects = self.suspects.borrow_mut();
        if crashed && suspects.is_running(run) {
            suspects.crash(self.unix());
        }
        Failed {
            refusal: refusals::engine(error),
            crashed,
        }
    }

    pub async fn run_keyed(
        &self,
        answer: &Answer,
        in_force: &InForce,
        slots: &Semaphore,
        key: IdempotencyKey,
        req: &RunRequest,
    ) {
        let _slot = slots.acquire().await.expect("slots are never closed");
        self.calls.set(self.calls.get() + 1);
        let call = KeyedCall {
            account: req.account.clone(),
            key,
            digest: CallDigest::of(&req.method, &req.path, &req.body),
            by: Attempt {
                agent: self.incarnation,
                call: self.calls.get(),
                request: req.request,
                attempt: req.attempt_number(),
            },
            lifetime: in_force.sheet.policy.key_lifetime,
        };
        self.outcome_writes.set(self.outcome_writes.get() + 1);
        let (mut call, mut step) = Call::start(call, self.unix(), &self.record_cache.borrow());
        loop {
            if let Some(keyed_answer) = step.answer.take() {
                Self::write_answer(answer, keyed_answer);
            }
            let Some(effect) = step.next.take() else {
                break;
            };
            step = self.perform_keyed(&mut call, effect, in_force, req).await;
        }
        self.outcome_writes.set(self.outcome_writes.get() - 1);
    }

    async fn perform_keyed(
        &self,
        call: &mut Call,
        effect: Effect,
        in_force: &InForce,
        req: &RunRequest,
    ) -> Step {
        match effect {
            Effect::WriteIntent(write) => {
                let written = self.write(write).await;
                call.on_write(written, self.unix(), &mut self.record_cache.borrow_mut())
            }
            Effect::ReadBack(key) => {
                let read = self.kv.get(&key).await;
                call.on_read(read, self.unix(), &mut self.record_cache.borrow_mut())
            }
            Effect::Run => {
                let end = self.call_service(in_force, req).await;
                call.on_run_end(end, &mut self.record_cache.borrow_mut())
            }
            Effect::WriteOutcome(write) => {
                let written = self.write(write).await;
                let draw = self.proc.env.rng.draw();
                call.on_outcome_write(&written, draw, &mut self.record_cache.borrow_mut())
            }
            Effect::RetryOutcome(wait) => {
                self.proc.sleep(wait).await;
                call.on_retry(self.unix(), &mut self.record_cache.borrow_mut())
            }
        }
    }

    async fn write(&self, write: RecordWrite) -> Result<TxnOutcome, KvError> {
        let change = Change::put(write.key, write.value);
        self.kv.txn(vec![write.condition], vec![change]).await
    }

    async fn call_service(&self, in_force: &InForce, req: &RunRequest) -> RunEnd {
        let env = &self.proc.env;
        self.proc.sleep(Millis(1 + env.rng.below(5))).await;
        if env.now() < self.upstream().down_until.get() {
            return RunEnd::NotSent;
        }
        let body = env.oracle.record_run(self.slot, req, &env.rng);
        self.proc.sleep(Millis(1 + env.rng.below(40))).await;
        if self.upstream().breaks_next.take() {
            self.upstream().down_until.set(env.now() + DOWNTIME);
            return RunEnd::Broken;
        }
        let Target::Service(service) = &req.target else {
            return RunEnd::NotSent;
        };
        let charge = self.hold(price::call(&in_force.sheet, req, service));
        let charge = serde_json::to_value(&charge).expect("a charge has a JSON form");
        let kind = Some("application/json".to_owned());
        RunEnd::Done(Outcome::new(201, kind, body.into(), charge))
    }

    fn write_answer(answer: &Answer, keyed_answer: KeyedAnswer) {
        let (outcome, replayed) = match keyed_answer {
            KeyedAnswer::Fresh(outcome) => (outcome, false),
            KeyedAnswer::Replayed(outcome) => (outcome, true),
            refused => return answer.fail(refusals::keyed(&refused), false),
        };
        let StoredBody::Whole(body) = &outcome.body else {
            panic!("the bodies in this test are small");
        };
        answer.set_head(outcome.status, "application/json");
        let charge = serde_json::from_value(outcome.charge).ok();
        assert!(
            answer.append_whole(body),
            "the bodies in this test are small"
        );
        answer.complete(charge.filter(|_| !replayed).as_ref(), replayed);
    }
}
