//! A simulated agent and its upstream; the code around the library follows `src/agent`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use fireflywind::agent::answers::{Answer, Answers};
use fireflywind::agent::{MIN_SHUTDOWN_TIME, admission};
use fireflywind::dissemination::Admission;
use fireflywind::fencing::{
    EngineOrders, Fence, ORDER_DRAIN_TIMEOUT, OrderEffect, OrderEnd, fence_key,
};
use fireflywind::follower::{Follower, InForce};
use fireflywind::idempotency::{RECORD_CACHE_BYTES, RecordCache};
use fireflywind::ids::{Incarnation, UpstreamId};
use fireflywind::kv::KeyValue;
use fireflywind::ledger::{Flushed, HeldCharges, HeldEffect, write_orphans};
use fireflywind::peer::{Head, ReadBody, ReadReply, ReadRequest, RunReply, RunRequest, Status};
use fireflywind::refusal::{Code, Refusal};
use fireflywind::suspect::{self, MAX_REPORTS, Suspects};
use fireflywind::units::Millis;
use tokio::sync::{Notify, Semaphore};

use super::store::Kv;
use super::world::Proc;

/// Time between two steps of the periodic work, as in `src/agent/background.rs`.
const STEP_INTERVAL: Millis = Millis(250);

/// Number of requests that may wait per slot; an agent refuses further ones.
const MAX_QUEUED_PER_SLOT: u32 = 2;

/// Maximum number of unread bytes of an answer; small, so that runs wait for readers.
const MAX_ANSWER_BYTES: usize = 256;

/// An engine or a plain service; it keeps running when its agent ends.
#[derive(Debug, Default)]
pub struct Upstream {
    pub crashes: Cell<u64>,
    pub crashed: Notify,
    pub down_until: Cell<Millis>,
    /// Whether the connection of the next call of the service breaks after the call has run.
    pub breaks_next: Cell<bool>,
    /// Fencing token of the last order that the engine accepted.
    last_fence: Cell<u64>,
}

/// One agent process.
#[derive(Debug)]
pub struct Agent {
    pub slot: usize,
    pub id: UpstreamId,
    pub incarnation: Incarnation,
    pub proc: Rc<Proc>,
    pub leaving: Cell<bool>,
    pub leaving_since: Cell<Option<Millis>>,
    pub kv: Rc<Kv>,
    follower: RefCell<Option<Rc<Follower>>>,
    answers: RefCell<Answers>,
    pub held: RefCell<HeldCharges>,
    pub record_cache: RefCell<RecordCache>,
    pub suspects: RefCell<suspect::CrashAdmission>,
    pub run_ended: Notify,
    slots: RefCell<(u32, Rc<Semaphore>)>,
    running: Cell<u32>,
    pub calls: Cell<u64>,
    pub outcome_writes: Cell<u32>,
    orders: RefCell<EngineOrders<u64>>,
    last_order: Cell<u64>,
}

/// Counts a request as running until it is dropped.
struct Running(Rc<Agent>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl Agent {
    pub fn start(
        proc: &Rc<Proc>,
        slot: usize,
        id: UpstreamId,
        incarnation: Incarnation,
    ) -> Rc<Self> {
        let env = Rc::clone(&proc.env);
        let kv = Kv::open(proc);
        let service = Rc::clone(&kv) as Rc<dyn KeyValue>;
        let follower = Follower::open(id.as_str(), service, env.clock, env.rng.draw());
        let (orders, effects) = EngineOrders::start(false, ORDER_DRAIN_TIMEOUT, env.now());
        let agent = Rc::new(Self {
            slot,
            id,
            incarnation,
            leaving: Cell::new(false),
            leaving_since: Cell::new(None),
            kv,
            follower: RefCell::new(Some(Rc::new(follower))),
            answers: RefCell::default(),
            held: RefCell::new(HeldCharges::new(incarnation)),
            record_cache: RefCell::new(RecordCache::new(RECORD_CACHE_BYTES)),
            suspects: RefCell::new(suspect::CrashAdmission::new(
                incarnation,
                Suspects::new(MAX_REPORTS),
            )),
            run_ended: Notify::new(),
            slots: RefCell::new((0, Rc::new(Semaphore::new(0)))),
            running: Cell::new(0),
            calls: Cell::new(0),
            outcome_writes: Cell::new(0),
            orders: RefCell::new(orders),
            last_order: Cell::new(0),
            proc: Rc::clone(proc),
        });
        agent.perform(effects);
        let periodic = Rc::clone(&agent);
        proc.spawn(async move {
            while !periodic.proc.has_no_periodic_work() {
                let now = periodic.now();
                periodic.answers.borrow_mut().sweep(now);
                periodic.write_orphans().await;
                periodic.proc.sleep(STEP_INTERVAL).await;
            }
        });
        agent
    }

    pub fn now(&self) -> Millis {
        self.proc.env.now()
    }

    pub fn unix(&self) -> Millis {
        self.proc.env.clock.unix()
    }

    fn is_engine(&self) -> bool {
        self.id.as_str().starts_with("engine")
    }

    pub fn upstream(&self) -> &Upstream {
        &self.proc.env.upstreams[self.slot]
    }

    /// Returns the follower; panics if the process has ended.
    pub fn follower(&self) -> Rc<Follower> {
        let follower = self.follower.borrow();
        Rc::clone(follower.as_ref().expect("the process is running"))
    }

    pub fn end_follower(&self) {
        self.follower.borrow_mut().take();
    }

    /// Writes the copies of charges that are due, one page at a time.
    pub async fn write_orphans(&self) {
        let effects = self.held.borrow_mut().step(self.now());
        for HeldEffect::WriteOrphans(page) in effects {
            let result = write_orphans(&*self.kv, &page).await;
            let now = self.now();
            let mut held = self.held.borrow_mut();
            held.on_written(page.gateway, page.page, result, now);
        }
    }

    pub fn release(&self, gateway: Incarnation, flushed: &Flushed) {
        let now = self.now();
        self.held.borrow_mut().release(gateway, flushed, now);
    }

    /// Handles the notice that the VM is leaving.
    pub fn leave(&self) {
        self.leaving.set(true);
        if self.leaving_since.get().is_none() {
            self.leaving_since.set(Some(self.now()));
        }
    }

    /// Stops gracefully; the process ends when all work is finished or at the deadline.
    pub async fn stop(self: Rc<Self>, deadline: Millis) {
        self.leave();
        self.held.borrow_mut().stop();
        let noticed = self.now() + MIN_SHUTDOWN_TIME;
        let end = self.now() + deadline;
        loop {
            let finished = self.answers.borrow().is_empty()
                && self.held.borrow().is_empty()
                && self.outcome_writes.get() == 0;
            let finished = finished && self.now() >= noticed;
            if finished {
                self.proc.env.oracle.record_stored(self.incarnation);
            }
            if finished || self.now() >= end {
                self.end_follower();
                self.proc.kill();
                return;
            }
            self.proc.sleep(Millis(50)).await;
        }
    }

    pub fn run(self: &Rc<Self>, req: RunRequest) -> RunReply {
        let (in_force, slots) = match self.admit(&req) {
            Ok(admitted) => admitted,
            Err(reply) => return reply,
        };
        let key = match admission::key(&req, self.is_engine()) {
            Ok(key) => key,
            Err(refusal) => return RunReply::Refused(refusal),
        };
        let env = &self.proc.env;
        env.oracle
            .check_admitted(self, &req, in_force.revision, env.now());
        let max_bytes = if key.is_some() {
            1 << 20
        } else {
            MAX_ANSWER_BYTES
        };
        let answer = Answer::open(&req, env.clock, max_bytes);
        self.running.set(self.running.get() + 1);
        let running = Running(Rc::clone(self));
        let (agent, to) = (Rc::clone(self), Rc::clone(&answer));
        let may_cancel = key.is_none();
        let run = async move {
            let _running = running;
            match key {
                Some(key) => agent.run_keyed(&to, &in_force, &slots, key, &req).await,
                None => agent.run_engine(&to, &in_force, &slots, &req).await,
            }
        };
        self.proc.spawn(run);
        // The handle only marks whether the run may be cancelled; its task is aborted by the process.
        let handle = may_cancel.then(|| actix_rt::spawn(async {}));
        RunReply::Accepted(self.answers.borrow_mut().add(answer, handle))
    }

    fn admit(&self, req: &RunRequest) -> Result<(Rc<InForce>, Rc<Semaphore>), RunReply> {
        let refuse = |refusal| Err(RunReply::Refused(refusal));
        if self.leaving.get() {
            return refuse(Refusal::not_run(Code::Stopping, "upstream is leaving"));
        }
        let follower = self.follower();
        let own = follower.revision();
        match follower.admit(req.revision) {
            Admission::Run => {}
            Admission::FetchFirst => return Err(RunReply::Older(own)),
            Admission::CallerOutdated => return Err(RunReply::Newer(own)),
            Admission::Stale => return refuse(Refusal::not_run(Code::NoSheet, "stale sheet")),
        }
        let Some(in_force) = follower.in_force() else {
            return Err(RunReply::Older(own));
        };
        let count = admission::admit(&in_force.sheet, &self.id, req).map_err(RunReply::Refused)?;
        let has_room = self.running.get() < count.saturating_mul(1 + MAX_QUEUED_PER_SLOT);
        if !has_room {
            return refuse(Refusal::not_run(
                Code::Overloaded,
                "upstream is at capacity",
            ));
        }
        let mut slots = self.slots.borrow_mut();
        if slots.0 != count {
            let permits = usize::try_from(count).expect("the number of slots fits in usize");
            *slots = (count, Rc::new(Semaphore::new(permits)));
        }
        Ok((in_force, Rc::clone(&slots.1)))
    }

    pub async fn read(&self, number: u64, offset: u64, max: u32) -> ReadReply {
        let found = self.answers.borrow().get(number);
        match found {
            Some(answer) => {
                let linger = Millis(0);
                answer
                    .read(ReadRequest {
                        answer: number,
                        offset,
                        max,
                        linger,
                    })
                    .await
            }
            None => ReadReply {
                head: Head::default(),
                attempt: 0,
                running: 0,
                body: ReadBody::Gone,
            },
        }
    }

    pub fn acknowledge(&self, answer: u64) {
        let now = self.now();
        self.answers.borrow_mut().acknowledge(answer, now);
    }

    pub fn status(&self, gateway: &Status) -> Status {
        let now = self.now();
        match serde_json::from_slice::<Flushed>(&gateway.flushed) {
            Ok(flushed) => self.release(gateway.incarnation, &flushed),
            Err(_) => self
                .held
                .borrow_mut()
                .record_heartbeat(gateway.incarnation, now),
        }
        self.take_suspects(&gateway.suspects);
        let follower = self.follower();
        let suspects = self.suspects.borrow();
        Status {
            name: self.id.as_str().to_owned(),
            incarnation: self.incarnation,
            revision: follower.revision(),
            leaving: self.leaving.get(),
            running: self.running.get(),
            flushed: Bytes::new(),
            suspects: suspect::encode(suspects.suspects().reports()).into(),
        }
    }

    pub fn exchange(&self, messages: &Bytes) -> Bytes {
        let follower = self.follower();
        let from = follower.on_messages(messages);
        let replies = from.and_then(|from| follower.take_messages(&from));
        replies.unwrap_or_default()
    }

    pub fn take_suspects(&self, reports: &[u8]) {
        let reports = suspect::decode(reports).expect("reports are well formed");
        let now = self.unix();
        self.suspects.borrow_mut().merge(&reports, now);
    }

    /// Handles an engine order from a lease holder.
    pub fn order(self: &Rc<Self>, fence: Fence) {
        let id = self.last_order.get() + 1;
        self.last_order.set(id);
        let now = self.now();
        let effects = self.orders.borrow_mut().submit(id, fence, fence.0, now);
        self.perform(effects);
    }

    fn perform(self: &Rc<Self>, effects: Vec<OrderEffect<u64>>) {
        for effect in effects {
            let agent = Rc::clone(self);
            self.proc.spawn(async move {
                let effects = agent.perform_order(effect).await;
                agent.perform(effects);
            });
        }
    }

    async fn perform_order(&self, effect: OrderEffect<u64>) -> Vec<OrderEffect<u64>> {
        match effect {
            OrderEffect::ReadHighest => {
                let duty = format!("engine/{}", self.id);
                let read = self.kv.get(&fence_key(&duty)).await;
                let highest = read.map(|entry| Fence::highest(entry.as_ref()));
                self.orders.borrow_mut().on_highest(&highest, self.now())
            }
            OrderEffect::Apply { id, command, .. } => {
                self.proc
                    .sleep(Millis(1 + self.proc.env.rng.below(20)))
                    .await;
                let last = self.upstream().last_fence.replace(command);
                self.proc.env.oracle.check_order(&self.id, last, command);
                self.orders
                    .borrow_mut()
                    .on_end(id, OrderEnd::Done, self.now())
            }
            OrderEffect::WakeAt(at) => {
                self.proc.sleep(at.since(self.now())).await;
                self.orders.borrow_mut().on_wake(self.now())
            }
            OrderEffect::Reply { .. } => Vec::new(),
        }
    }
}
