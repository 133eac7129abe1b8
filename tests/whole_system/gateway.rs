//! A simulated gateway: its ledger, sheet, links and duties; the code around the library follows `src/gateway`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fireflywind::fencing::{self, Fence, Holder};
use fireflywind::follower::{Follower, InForce};
use fireflywind::ids::{DataCentre, Incarnation, UpstreamId, VersionRef};
use fireflywind::kv::{Change, KeyValue, KvError, TxnOutcome};
use fireflywind::ledger::{Flushed, GatewayLedger, write_checkpoint};
use fireflywind::limits::RetryBudget;
use fireflywind::membership::{
    Attempt, CONNECT_TIMEOUT, Effect, Evidence, Members, SILENCE_TIMEOUT, SUBSET_SIZE,
};
use fireflywind::peer::{Status, Target};
use fireflywind::rating::RatingTable;
use fireflywind::route::pick::{Member, Pool};
use fireflywind::session::{SessionKey, SessionKeys};
use fireflywind::sheet::UpstreamKind;
use fireflywind::suspect::{self, MAX_REPORTS, Suspects};
use fireflywind::units::Millis;

use super::network::{Conn, Delivery, connect};
use super::store::Kv;
use super::world::{AGENTS, DATA_CENTRES, Proc};

/// Time between two steps of the membership and of the ledger.
const STEP_INTERVAL: Millis = Millis(100);

/// Maximum number of consecutive exchanges of sheet messages with one agent.
const MAX_EXCHANGES: usize = 16;

/// Duration of the lease under which a gateway sends engine orders; short, so that a sequence has several holders.
const LEASE_TTL: Millis = Millis::from_secs(2);

/// Slot of the engine that the gateways send orders to.
pub const ORDERED_ENGINE: usize = 0;

#[derive(Debug)]
struct Entry {
    upstream: UpstreamId,
    attempt: Attempt,
    conn: Rc<Conn>,
    others: u32,
}

/// Connections to agents, and the number of requests that this gateway has in flight there.
#[derive(Debug, Default)]
struct Links {
    members: Members,
    entries: Vec<Entry>,
    /// Number of this gateway's requests in flight, by slot of the agent.
    in_flight: [u32; AGENTS.len()],
    revision: u64,
}

/// One gateway process.
#[derive(Debug)]
pub struct Gateway {
    pub name: String,
    pub incarnation: Incarnation,
    pub proc: Rc<Proc>,
    pub stopping: Cell<bool>,
    /// Number of requests that are being served.
    pub serving: Cell<u32>,
    pub ledger: RefCell<GatewayLedger>,
    pub table: RefCell<RatingTable>,
    pub sessions: SessionKeys,
    pub retries: RefCell<RetryBudget>,
    kv: Rc<Kv>,
    data_centre: DataCentre,
    follower: RefCell<Option<Rc<Follower>>>,
    links: RefCell<Links>,
    suspects: RefCell<Suspects>,
    holder: RefCell<Holder>,
}

/// Returns the slot of an agent.
pub fn slot_of(upstream: &UpstreamId) -> usize {
    let named = |name: &&str| **name == *upstream.as_str();
    AGENTS.iter().position(named).expect("the agent is known")
}

impl Gateway {
    pub fn start(proc: &Rc<Proc>, slot: usize, incarnation: Incarnation) -> Rc<Self> {
        let env = Rc::clone(&proc.env);
        let kv = Kv::open(proc);
        let name = format!("gateway-{slot}");
        let service = Rc::clone(&kv) as Rc<dyn KeyValue>;
        let follower = Follower::open(&name, service, env.clock, env.rng.draw());
        let key = SessionKey::new("k1", *b"0123456789abcdef0123456789abcdef");
        let mut retries = RetryBudget::default();
        // A sequence has too few requests to build up a budget for many retries.
        (0..100).for_each(|_| retries.record_request());
        let gateway = Rc::new(Self {
            name,
            incarnation,
            stopping: Cell::new(false),
            serving: Cell::new(0),
            ledger: RefCell::new(GatewayLedger::new(incarnation)),
            table: RefCell::new(RatingTable::new(incarnation)),
            sessions: SessionKeys::new(vec![key]).expect("there is a session key"),
            retries: RefCell::new(retries),
            kv,
            data_centre: DATA_CENTRES[proc.data_centre].into(),
            follower: RefCell::new(Some(Rc::new(follower))),
            links: RefCell::default(),
            suspects: RefCell::new(Suspects::new(MAX_REPORTS)),
            holder: RefCell::new(Holder::new(LEASE_TTL)),
            proc: Rc::clone(proc),
        });
        let links = Rc::clone(&gateway);
        proc.spawn(async move {
            while !links.proc.has_no_periodic_work() {
                links.step_links();
                links.proc.sleep(STEP_INTERVAL).await;
            }
        });
        let ledger = Rc::clone(&gateway);
        proc.spawn(async move {
            while !ledger.proc.has_no_periodic_work() {
                ledger.flush().await;
                ledger.proc.sleep(STEP_INTERVAL).await;
            }
        });
        gateway
    }

    pub fn now(&self) -> Millis {
        self.proc.env.now()
    }

    fn unix(&self) -> Millis {
        self.proc.env.clock.unix()
    }

    /// Returns the follower; panics if the process has ended.
    pub fn follower(&self) -> Rc<Follower> {
        let follower = self.follower.borrow();
        Rc::clone(follower.as_ref().expect("the process is running"))
    }

    pub fn end_follower(&self) {
        self.follower.borrow_mut().take();
    }

    pub fn flushed(&self) -> Flushed {
        self.ledger.borrow().flushed().clone()
    }

    /// Writes a checkpoint if one is due.
    pub async fn flush(&self) {
        let due = self.ledger.borrow_mut().flush(self.now());
        let Some(checkpoint) = due else {
            return;
        };
        let stored = self.ledger.borrow().stored();
        let result = write_checkpoint(&*self.kv, &checkpoint, stored).await;
        let now = self.now();
        let mut ledger = self.ledger.borrow_mut();
        ledger.on_flushed(checkpoint.number, result, now);
    }

    /// Stops gracefully: accepts no new requests, finishes the current ones and stores the ledger.
    pub async fn stop(self: Rc<Self>, deadline: Millis) {
        self.stopping.set(true);
        let end = self.now() + deadline;
        while self.serving.get() > 0 && self.now() < end {
            self.proc.sleep(Millis(50)).await;
        }
        while !self.ledger.borrow().is_flushed() && self.now() < end {
            self.ledger.borrow_mut().expedite();
            self.proc.sleep(Millis(50)).await;
        }
        if self.ledger.borrow().is_flushed() {
            self.proc.env.oracle.record_stored(self.incarnation);
        }
        self.end_follower();
        self.proc.kill();
    }

    /// Returns the pool of upstreams that may receive work for a target now.
    pub fn pool(&self, in_force: &InForce, target: &Target) -> Pool {
        let (now, links) = (self.now(), self.links.borrow());
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for upstream in &in_force.sheet.upstreams {
            let slots = match (&upstream.serves, target) {
                (UpstreamKind::Engine { versions, slots }, Target::Version(version))
                    if versions.contains(version) =>
                {
                    *slots
                }
                (UpstreamKind::Service { service, slots }, Target::Service(id))
                    if service == id =>
                {
                    *slots
                }
                _ => continue,
            };
            let entry = links.entries.iter().find(|e| e.upstream == upstream.id);
            let usable = links.members.usable(&upstream.id, now).is_some();
            let Some(entry) = entry.filter(|_| usable) else {
                continue;
            };
            let member = Member {
                upstream: upstream.id.clone(),
                slots,
                own: links.in_flight[slot_of(&upstream.id)],
                others: entry.others,
                age: Millis(0),
                refused: false,
            };
            let is_local = upstream.data_centre == self.data_centre;
            if is_local { &mut local } else { &mut remote }.push(member);
        }
        Pool::new(local, remote)
    }

    pub fn is_routable(&self, in_force: &InForce, version: &VersionRef) -> bool {
        let links = self.links.borrow();
        in_force.sheet.upstreams.iter().any(|upstream| {
            let serves = matches!(
                &upstream.serves,
                UpstreamKind::Engine { versions, .. } if versions.contains(version)
            );
            serves && links.members.usable(&upstream.id, self.now()).is_some()
        })
    }

    pub fn conn(&self, upstream: &UpstreamId) -> Option<Rc<Conn>> {
        let links = self.links.borrow();
        let entry = links.entries.iter().find(|e| e.upstream == *upstream);
        entry.map(|entry| Rc::clone(&entry.conn))
    }

    pub fn update_in_flight(&self, upstream: &UpstreamId, change: impl Fn(u32) -> u32) {
        let own = &mut self.links.borrow_mut().in_flight[slot_of(upstream)];
        *own = change(*own);
    }

    /// Records that an attempt found its agent unreachable.
    pub fn record_unreachable(&self, upstream: &UpstreamId) {
        let (now, mut links) = (self.now(), self.links.borrow_mut());
        let entry = links.entries.iter().find(|e| e.upstream == *upstream);
        if let Some(attempt) = entry.map(|e| e.attempt) {
            let evidence = Evidence::Closed(attempt);
            links.members.observe(upstream, evidence, now);
        }
        links.entries.retain(|e| e.upstream != *upstream);
    }

    fn observe(&self, upstream: &UpstreamId, evidence: Evidence) {
        let now = self.now();
        let mut links = self.links.borrow_mut();
        links.members.observe(upstream, evidence, now);
    }

    fn step_links(self: &Rc<Self>) {
        self.update_wanted();
        let effects = self.links.borrow_mut().members.step(self.now());
        for effect in effects {
            let gateway = Rc::clone(self);
            match effect {
                Effect::Connect(upstream, attempt) => self.proc.spawn(async move {
                    gateway.connect(&upstream, attempt).await;
                }),
                Effect::Disconnect(upstream) => {
                    let mut links = self.links.borrow_mut();
                    links.entries.retain(|e| e.upstream != upstream);
                }
                Effect::Ping(upstream) => self.proc.spawn(async move {
                    gateway.ping(&upstream).await;
                }),
            }
        }
    }

    /// Selects the upstreams to connect to if the sheet has changed.
    fn update_wanted(&self) {
        let Some(in_force) = self.follower().in_force() else {
            return;
        };
        let mut links = self.links.borrow_mut();
        if links.revision == in_force.revision {
            return;
        }
        links.revision = in_force.revision;
        let now = self.now();
        let all = in_force.sheet.upstreams.iter();
        let all: Vec<_> = all.map(|u| (u.id.clone(), u.data_centre.clone())).collect();
        // With fewer agents than the size of a subset, the groups of all versions contain all agents.
        let members = &links.members;
        let wanted = members.targets(&self.name, &self.data_centre, &all, SUBSET_SIZE, now);
        links.members.set_wanted(&wanted, now);
        drop(links);
        let names: Vec<_> = wanted.iter().map(|id| id.as_str().to_owned()).collect();
        self.follower().set_peers(&names);
    }

    async fn connect(&self, upstream: &UpstreamId, attempt: Attempt) {
        let conn = connect(&self.proc, slot_of(upstream), CONNECT_TIMEOUT).await;
        let Ok(conn) = conn else {
            return self.observe(upstream, Evidence::Refused(attempt));
        };
        let Some(agent) = self.call_status(&conn).await else {
            return self.observe(upstream, Evidence::Refused(attempt));
        };
        self.observe(upstream, Evidence::Connected(attempt, agent.incarnation));
        let entry = Entry {
            upstream: upstream.clone(),
            attempt,
            conn: Rc::clone(&conn),
            others: agent.running,
        };
        self.add_entry(entry);
        self.take_status(upstream, &agent);
        self.exchange(upstream, &conn).await;
    }

    fn add_entry(&self, entry: Entry) {
        let mut links = self.links.borrow_mut();
        links.entries.retain(|e| e.upstream != entry.upstream);
        links.entries.push(entry);
    }

    async fn ping(&self, upstream: &UpstreamId) {
        let found = {
            let links = self.links.borrow();
            let entry = links.entries.iter().find(|e| e.upstream == *upstream);
            entry.map(|e| (Rc::clone(&e.conn), e.attempt))
        };
        let Some((conn, attempt)) = found else {
            return;
        };
        if let Some(agent) = self.call_status(&conn).await {
            self.take_status(upstream, &agent);
            self.exchange(upstream, &conn).await;
        } else {
            self.observe(upstream, Evidence::Closed(attempt));
            let mut links = self.links.borrow_mut();
            let is_old = |e: &Entry| e.upstream == *upstream && e.attempt == attempt;
            links.entries.retain(|e| !is_old(e));
        }
    }

    async fn call_status(&self, conn: &Rc<Conn>) -> Option<Status> {
        let follower = self.follower();
        let flushed = serde_json::to_vec(self.ledger.borrow().flushed())
            .expect("the value serializes to JSON");
        let status = Status {
            name: self.name.clone(),
            incarnation: self.incarnation,
            revision: follower.revision(),
            leaving: self.stopping.get(),
            running: 0,
            flushed: flushed.into(),
            suspects: suspect::encode(self.suspects.borrow().reports()).into(),
        };
        let call = conn.call(Delivery::Repeated, SILENCE_TIMEOUT, move |agent| {
            let status = status.clone();
            async move { agent.status(&status) }
        });
        call.await.ok()
    }

    /// Applies the status that an agent reports.
    fn take_status(&self, upstream: &UpstreamId, agent: &Status) {
        self.observe(upstream, Evidence::MessageReceived(agent.incarnation));
        if agent.leaving {
            self.observe(upstream, Evidence::Leaving(agent.incarnation));
        }
        let mut links = self.links.borrow_mut();
        let own = links.in_flight[slot_of(upstream)];
        if let Some(entry) = links.entries.iter_mut().find(|e| e.upstream == *upstream) {
            entry.others = agent.running.saturating_sub(own);
        }
        drop(links);
        let reports = suspect::decode(&agent.suspects).expect("reports are well formed");
        self.suspects.borrow_mut().merge(&reports, self.unix());
    }

    /// Exchanges sheet messages with an agent until neither side has more to send.
    pub async fn exchange(&self, upstream: &UpstreamId, conn: &Rc<Conn>) {
        for _ in 0..MAX_EXCHANGES {
            let Some(messages) = self.follower().take_messages(upstream.as_str()) else {
                return;
            };
            let call = conn.call(Delivery::Repeated, SILENCE_TIMEOUT, move |agent| {
                let messages = messages.clone();
                async move { agent.exchange(&messages) }
            });
            let Ok(replies) = call.await else {
                return;
            };
            if !replies.is_empty() && self.follower().on_messages(&replies).is_none() {
                return;
            }
        }
    }

    /// Reads crash reports from an agent and sends them to all agents, before the caller gets its answer.
    pub async fn broadcast_suspects(&self, upstream: &UpstreamId, conn: &Rc<Conn>) {
        if let Some(agent) = self.call_status(conn).await {
            self.take_status(upstream, &agent);
        }
        let reports = suspect::encode(self.suspects.borrow().reports());
        let conns: Vec<_> = {
            let links = self.links.borrow();
            links.entries.iter().map(|e| Rc::clone(&e.conn)).collect()
        };
        let deliveries = conns.into_iter().map(|conn| {
            let reports = reports.clone();
            async move {
                let delivery = conn.call(Delivery::Repeated, SILENCE_TIMEOUT, move |agent| {
                    let reports = reports.clone();
                    async move { agent.take_suspects(&reports) }
                });
                // An agent that is not reached gets the reports with the next connection.
                let _ = delivery.await;
            }
        });
        futures_util::future::join_all(deliveries).await;
    }

    /// Sends an order to an engine under the lease of its duty; claims the lease if no gateway holds it.
    pub async fn send_engine_order(self: Rc<Self>) {
        let held = self.holder.borrow().fence(self.now());
        let fence = match held {
            Some(fence) => Some(fence),
            None => self.claim().await.unwrap_or_default(),
        };
        // A holder may be suspended between the check of its lease and the order.
        let pause = self.proc.env.rng.below(3_000);
        self.proc.sleep(Millis(pause)).await;
        let conn = self.conn(&AGENTS[ORDERED_ENGINE].into());
        let (Some(fence), Some(conn)) = (fence, conn) else {
            return;
        };
        let delivery = conn.call(
            Delivery::Repeated,
            SILENCE_TIMEOUT,
            move |agent| async move {
                agent.order(fence);
            },
        );
        // The oracle checks the orders that the engine accepts.
        let _ = delivery.await;
    }

    async fn claim(&self) -> Result<Option<Fence>, KvError> {
        let asked_at = self.now();
        let duty = format!("engine/{}", AGENTS[ORDERED_ENGINE]);
        let lease = self.kv.grant(LEASE_TTL).await?;
        let (conditions, changes): (_, Vec<Change>) =
            fencing::claim(&duty, self.incarnation, lease);
        let fence = match self.kv.txn(conditions, changes).await {
            Ok(TxnOutcome::Applied(revision)) => Some(Fence(revision)),
            Ok(TxnOutcome::Conflict) => None,
            Err(error) if error.may_have_applied() => {
                let entry = self.kv.get(&fencing::lease_key(&duty)).await?;
                entry.and_then(|entry| Fence::of_claim(&entry, self.incarnation))
            }
            Err(error) => return Err(error),
        };
        if let Some(fence) = fence {
            self.holder.borrow_mut().claimed(fence, asked_at);
        }
        Ok(fence)
    }
}
