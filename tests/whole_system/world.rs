//! The simulated processes, their clock and their shared environment.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::{Rc, Weak};

use actix_rt::time::sleep;
use fireflywind::clock::Clock;
use fireflywind::ids::{Incarnation, UpstreamId};
use fireflywind::kv::memory::MemoryKv;
use fireflywind::operator;
use fireflywind::sheet::{ApplyId, Sheet, UpstreamKind};
use fireflywind::units::Millis;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::agent::{Agent, Upstream};
use super::gateway::Gateway;
use super::network::{Conn, Faults};
use super::oracle::Oracle;
use super::store::{Kv, StoreFaults};

/// Time for which a sheet may be used without a confirmation; short, so that sequences exceed it.
pub const MAX_STALENESS: Millis = Millis::from_secs(20);

/// Names of the agents by slot, in their order in the sheet.
pub const AGENTS: [&str; 5] = ["engine-a", "engine-b", "engine-c", "orders-a", "orders-b"];

/// Data centre of each agent.
pub const AGENT_DATA_CENTRES: [usize; 5] = [0, 1, 2, 0, 1];

/// Data centre of each gateway.
pub const GATEWAY_DATA_CENTRES: [usize; 2] = [0, 1];

/// Names of the data centres.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Random number generator of one sequence (splitmix64).
#[derive(Debug)]
pub struct Rng(Cell<u64>);

impl Rng {
    pub const fn new(seed: u64) -> Self {
        Self(Cell::new(seed))
    }

    pub fn draw(&self) -> u64 {
        let state = self.0.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.0.set(state);
        let mixed = (state ^ state >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ mixed >> 31
    }

    pub fn below(&self, bound: u64) -> u64 {
        self.draw() % bound.max(1)
    }

    pub fn percent_chance(&self, percent: u64) -> bool {
        percent > 0 && self.below(100) < percent
    }
}

/// Environment that all processes of one sequence share.
pub struct Env {
    pub rng: Rng,
    pub clock: Clock,
    pub kv: MemoryKv,
    pub store_faults: StoreFaults,
    pub faults: Faults,
    /// Notifies watches when a fault begins or ends.
    pub changed: Notify,
    pub agents: RefCell<Vec<Option<Rc<Agent>>>>,
    pub gateways: RefCell<Vec<Option<Rc<Gateway>>>>,
    pub upstreams: Vec<Upstream>,
    pub conns: RefCell<Vec<Weak<Conn>>>,
    pub oracle: Oracle,
    last_incarnation: Cell<u128>,
}

impl fmt::Debug for Env {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Env")
    }
}

impl Env {
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns a random latency of a message.
    pub fn latency(&self) -> Millis {
        Millis(1 + self.rng.below(3) + self.rng.below(self.faults.delay.get() + 1))
    }

    fn incarnation(&self) -> Incarnation {
        let next = self.last_incarnation.get() + 1;
        self.last_incarnation.set(next);
        // Uses the whole range, because it determines how orphan writes are spread over time.
        Incarnation(next << 64 | u128::from(self.rng.draw()))
    }
}

/// A simulated process: its tasks end when it is killed, and it can be suspended.
pub struct Proc {
    pub env: Rc<Env>,
    pub data_centre: usize,
    pub killed: Notify,
    alive: Cell<bool>,
    no_periodic_work: Cell<bool>,
    suspended_until: Cell<Millis>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl fmt::Debug for Proc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Proc")
    }
}

impl Proc {
    fn start(env: &Rc<Env>, data_centre: usize) -> Rc<Self> {
        Rc::new(Self {
            env: Rc::clone(env),
            data_centre,
            killed: Notify::new(),
            alive: Cell::new(true),
            no_periodic_work: Cell::new(false),
            suspended_until: Cell::new(Millis(0)),
            tasks: RefCell::default(),
        })
    }

    pub const fn is_alive(&self) -> bool {
        self.alive.get()
    }

    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let handle = tokio::task::spawn_local(task);
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(handle.abort_handle());
    }

    /// Waits while the process is suspended.
    pub async fn wait_while_suspended(&self) {
        // Waits in short steps, because `World::end_faults` may shorten the suspension.
        while self.env.now() < self.suspended_until.get() {
            sleep(Millis(100).duration()).await;
        }
    }

    pub async fn sleep(&self, time: Millis) {
        sleep(time.duration()).await;
        self.wait_while_suspended().await;
    }

    pub fn suspend_until(&self, until: Millis) {
        self.suspended_until.set(until);
    }

    /// Ends periodic work after its current step, so that `World::settle_ledger` can run the steps itself.
    pub fn end_periodic_work(&self) {
        self.no_periodic_work.set(true);
    }

    pub const fn has_no_periodic_work(&self) -> bool {
        self.no_periodic_work.get()
    }

    pub fn kill(&self) {
        self.alive.set(false);
        self.tasks
            .borrow_mut()
            .drain(..)
            .for_each(|task| task.abort());
        self.killed.notify_waiters();
    }
}

/// The simulated deployment of one sequence.
pub struct World {
    pub env: Rc<Env>,
    /// The operators' process.
    pub operator: Rc<Proc>,
    pub next_apply: Cell<u128>,
    pub last_apply: RefCell<Option<(Sheet, Option<u64>, ApplyId)>>,
}

/// Returns the first sheet: the fixture with a second service agent, more versions per engine and short times.
fn first_sheet() -> Sheet {
    let text = include_str!("../../src/fixtures/sheet.json");
    let mut sheet: Sheet = serde_json::from_str(text).expect("the fixture is a sheet");
    let mut second = sheet.upstreams[3].clone();
    second.id = "orders-b".into();
    second.agent.set_port(7_105);
    second.data_centre = "dc-b".into();
    sheet.upstreams.push(second);
    for upstream in &mut sheet.upstreams {
        let UpstreamKind::Engine { versions, .. } = &mut upstream.serves else {
            continue;
        };
        // Each version has at least two upstreams, so that requests can be resent to another one.
        versions.push("small/v2".parse().expect("the text is a version"));
        versions.push("large/v1".parse().expect("the text is a version"));
        versions.sort();
        versions.dedup();
    }
    for class in &mut sheet.classes {
        class.deadline = Millis::from_secs(10);
    }
    sheet.policy.max_staleness = MAX_STALENESS;
    sheet.sort();
    sheet
}

impl World {
    pub async fn start(seed: u64) -> Self {
        let env = Rc::new(Env {
            rng: Rng::new(seed),
            clock: Clock::start(),
            kv: MemoryKv::open(),
            store_faults: StoreFaults::default(),
            faults: Faults::default(),
            changed: Notify::new(),
            agents: RefCell::new(vec![None; AGENTS.len()]),
            gateways: RefCell::new(vec![None; GATEWAY_DATA_CENTRES.len()]),
            upstreams: AGENTS.iter().map(|_| Upstream::default()).collect(),
            conns: RefCell::default(),
            oracle: Oracle::default(),
            last_incarnation: Cell::new(0),
        });
        let operator = Proc::start(&env, 0);
        let world = Self {
            env,
            operator,
            next_apply: Cell::new(1),
            last_apply: RefCell::default(),
        };
        world.apply(first_sheet(), None);
        sleep(Millis(200).duration()).await;
        (0..AGENTS.len()).for_each(|slot| world.start_agent(slot));
        (0..GATEWAY_DATA_CENTRES.len()).for_each(|slot| world.start_gateway(slot));
        sleep(Millis::from_secs(1).duration()).await;
        world
    }

    pub fn start_agent(&self, slot: usize) {
        let env = &self.env;
        let running = env.agents.borrow()[slot].clone();
        if running.is_some_and(|agent| agent.proc.is_alive()) {
            return;
        }
        let proc = Proc::start(env, AGENT_DATA_CENTRES[slot]);
        let agent = Agent::start(
            &proc,
            slot,
            UpstreamId::from(AGENTS[slot]),
            env.incarnation(),
        );
        env.agents.borrow_mut()[slot] = Some(agent);
    }

    pub fn start_gateway(&self, slot: usize) {
        let env = &self.env;
        let running = env.gateways.borrow()[slot].clone();
        if running.is_some_and(|gateway| gateway.proc.is_alive()) {
            return;
        }
        let proc = Proc::start(env, GATEWAY_DATA_CENTRES[slot]);
        let gateway = Gateway::start(&proc, slot, env.incarnation());
        env.gateways.borrow_mut()[slot] = Some(gateway);
    }

    pub fn agent(&self, slot: usize) -> Option<Rc<Agent>> {
        let agent = self.env.agents.borrow()[slot].clone();
        agent.filter(|agent| agent.proc.is_alive())
    }

    pub fn gateway(&self, slot: usize) -> Option<Rc<Gateway>> {
        let gateway = self.env.gateways.borrow()[slot].clone();
        gateway.filter(|gateway| gateway.proc.is_alive())
    }

    /// Starts to apply a sheet under a new apply ID.
    pub fn apply(&self, sheet: Sheet, base: Option<u64>) {
        let id = ApplyId(uuid::Uuid::from_u128(self.next_apply.get()));
        self.next_apply.set(self.next_apply.get() + 1);
        *self.last_apply.borrow_mut() = Some((sheet.clone(), base, id));
        self.env.oracle.record_apply(id, &sheet);
        self.run_apply(sheet, base, id);
    }

    /// Starts to apply a sheet; the ID may be that of an earlier apply, which this repeats.
    pub fn run_apply(&self, sheet: Sheet, base: Option<u64>, id: ApplyId) {
        let (env, kv) = (Rc::clone(&self.env), Kv::open(&self.operator));
        self.operator.spawn(async move {
            if let Ok(applied) = operator::apply(&*kv, &sheet, base, id).await {
                env.oracle.check_accepted(applied.revision, &sheet);
            }
        });
    }

    /// Ends all faults and starts the processes that are down.
    pub fn end_faults(&self) {
        let env = &self.env;
        env.store_faults.clear();
        env.faults.clear();
        let now = env.now();
        for slot in 0..AGENTS.len() {
            self.agent(slot)
                .inspect(|agent| agent.proc.suspend_until(now));
            self.start_agent(slot);
        }
        for slot in 0..GATEWAY_DATA_CENTRES.len() {
            self.gateway(slot)
                .inspect(|gateway| gateway.proc.suspend_until(now));
            self.start_gateway(slot);
        }
    }

    /// Ends the faults and checks convergence, the end of all requests and the bill.
    pub async fn settle(&self) {
        let env = &self.env;
        self.end_faults();
        let ended_at = env.now();
        sleep(Millis::from_secs(3).duration()).await;
        env.oracle.check_converged(&self.revisions(), ended_at);
        // 60 s exceed the deadlines of requests, the longest delay of a late write and a graceful stop.
        for _ in 0..60 {
            if env.oracle.all_ended() {
                break;
            }
            sleep(Millis::from_secs(1).duration()).await;
        }
        self.end_faults();
        self.settle_ledger().await;
        let agents = (0..AGENTS.len()).filter_map(|slot| self.agent(slot));
        let gateways = (0..GATEWAY_DATA_CENTRES.len()).filter_map(|slot| self.gateway(slot));
        let alive: Vec<_> = agents
            .map(|a| a.incarnation)
            .chain(gateways.map(|g| g.incarnation))
            .collect();
        env.oracle.check_end(&env.kv, &alive).await;
    }

    fn revisions(&self) -> Vec<(String, u64)> {
        let agents = (0..AGENTS.len()).filter_map(|slot| self.agent(slot));
        let agents = agents.filter(|a| !a.leaving.get());
        let agents = agents.map(|a| (AGENTS[a.slot].to_owned(), a.follower().revision()));
        let gateways = (0..GATEWAY_DATA_CENTRES.len()).filter_map(|slot| self.gateway(slot));
        let gateways = gateways.filter(|g| !g.stopping.get());
        let gateways = gateways.map(|g| (g.name.clone(), g.follower().revision()));
        agents.chain(gateways).collect()
    }

    /// Passes the revision of every process to the oracle.
    pub fn check_revisions(&self) {
        self.env
            .oracle
            .check_following(&self.revisions(), self.env.now());
        let agents = self.env.agents.borrow();
        let agents = agents.iter().flatten().filter(|a| a.proc.is_alive());
        agents.for_each(|a| {
            self.env
                .oracle
                .check_revision(a.incarnation, a.follower().revision());
        });
        let gateways = self.env.gateways.borrow();
        let gateways = gateways.iter().flatten().filter(|g| g.proc.is_alive());
        gateways.for_each(|g| {
            self.env
                .oracle
                .check_revision(g.incarnation, g.follower().revision());
        });
    }

    /// Lets every running process write its ledger data to the store, with periodic work stopped.
    async fn settle_ledger(&self) {
        let agents: Vec<_> = (0..AGENTS.len()).filter_map(|s| self.agent(s)).collect();
        let gateways: Vec<_> = (0..GATEWAY_DATA_CENTRES.len())
            .filter_map(|s| self.gateway(s))
            .collect();
        for proc in agents
            .iter()
            .map(|a| &a.proc)
            .chain(gateways.iter().map(|g| &g.proc))
        {
            proc.end_periodic_work();
        }
        // Longer than any call in progress can take.
        sleep(Millis::from_secs(5).duration()).await;
        for agent in &agents {
            agent.end_follower();
        }
        for gateway in &gateways {
            gateway.end_follower();
        }
        for _ in 0..3 {
            sleep(fireflywind::ledger::MAX_COPY_AGE.duration()).await;
            for gateway in &gateways {
                gateway.flush().await;
                for agent in &agents {
                    agent.release(gateway.incarnation, &gateway.flushed());
                }
            }
            for agent in &agents {
                agent.write_orphans().await;
            }
        }
    }

    /// Kills and drops all processes; without this, reference cycles with the environment would leak them.
    pub fn end(self) {
        for agent in self.env.agents.borrow_mut().drain(..).flatten() {
            agent.proc.kill();
            agent.end_follower();
        }
        for gateway in self.env.gateways.borrow_mut().drain(..).flatten() {
            gateway.proc.kill();
            gateway.end_follower();
        }
        self.operator.kill();
    }
}
