//! Random days of a store that is restored at any moment, before gateways that are silent, frozen or restarted.
//!
//! The oracle is the operator's and the upstreams' own knowledge: what they had confirmed is written again soon after a restore.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use actix_rt::time::{Instant, sleep};
use quickcheck::{Arbitrary, Gen};

use super::fixture::registered;
use super::model_store::{Copy, LinkState, ModelStore, Node};
use crate::fixtures::{check_property, run_paused};
use crate::forward::follow::StoreEvent;
use crate::forward::notices::LeavingSource;
use crate::router::fleet::{Upstream, UpstreamState};
use crate::router::rollout::{Answer, Phase, RequestProfile};
use crate::units::Millis;

const NODES: usize = 3;

/// Time in which operators and upstreams write again what a restore has lost, and in which dead entries expire.
const REWRITE_WITHIN: u64 = 1_900;
const EXPIRY: Millis = Millis(3_600);

/// Time without disturbance after which a gateway counts as in touch with the store, and time after which it must know of a
/// departure then; the platform's bounds.
const TOUCH: Millis = Millis(3_000);
const DRAIN: Millis = Millis(2_000);

const STEP: Millis = Millis(50);

/// Time after the last trouble within which all gateways must be current: a silent call, a listing, and the time in which a
/// history settles and an outcome is recorded.
const RECOVERY: Millis = Millis(8_000);

#[derive(Debug, Clone, Copy)]
enum Op {
    Pass(u64),
    Config,
    Join(u8),
    Drain(u8),
    Leave(u8),
    /// An upstream says to a gateway that it leaves, and the store still has it as ready.
    SayLeaving(usize, u8),
    Order,
    /// The version that is rolled out fails at one gateway.
    Bad(usize),
    TakeAway,
    /// Restores one of the last copies; what is lost is written again after some milliseconds.
    Restore(usize, u64),
    Link(usize, LinkState),
    Restart(usize),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES;
        let id = u8::arbitrary(g) % 5;
        match u8::arbitrary(g) % 17 {
            0..=3 => Self::Pass(u64::arbitrary(g) % 3_000),
            4 => Self::Config,
            5 | 6 => Self::Join(id),
            7 => Self::Drain(id),
            8 => Self::Leave(id),
            9 => Self::Order,
            10 => Self::Bad(node),
            11 => Self::TakeAway,
            12 | 13 => Self::Restore(usize::arbitrary(g) % 6, u64::arbitrary(g) % REWRITE_WITHIN),
            14 => {
                let states = [
                    LinkState::Open,
                    LinkState::Refused,
                    LinkState::Silent,
                    LinkState::Frozen,
                ];
                Self::Link(node, *g.choose(&states).expect("there are states"))
            }
            15 => Self::SayLeaving(node, id),
            _ => Self::Restart(node),
        }
    }
}

/// What a gateway has shown since it started.
#[derive(Default)]
struct Shown {
    version: u64,
    /// Upstreams that it has used.
    used: BTreeSet<(String, u64)>,
    /// Upstreams that it was told to have left.
    left: BTreeSet<(String, u64)>,
    /// Upstreams that have said to it that they leave.
    said: BTreeSet<(String, u64)>,
    /// Since when it reaches the store.
    in_reach_since: Option<Instant>,
    outcome: Option<(Rc<str>, Phase)>,
}

impl Shown {
    fn start() -> Self {
        Self {
            in_reach_since: Some(Instant::now()),
            ..Self::default()
        }
    }
}

struct World {
    store: Rc<ModelStore>,
    nodes: Vec<Node>,
    shown: Vec<Shown>,
    copies: Vec<Copy>,
    is_away: bool,
    version: u64,
    /// Live upstreams: boot, sequence number and state by id.
    registry: BTreeMap<String, (u64, u64, UpstreamState)>,
    boots: u64,
    orders: u64,
    rewrite_at: Option<Instant>,
    expire_at: Option<Instant>,
    /// When the store was taken away or restored last.
    disturbed_at: Instant,
    /// When upstreams began to leave, by id and boot.
    left_at: BTreeMap<(String, u64), Instant>,
}

fn name(id: u8) -> String {
    format!("u{id}")
}

impl World {
    fn start() -> Self {
        let store = ModelStore::open();
        store.put_config(1);
        Self {
            nodes: Node::start_all(&store, u16::try_from(NODES).expect("it is small")),
            shown: (0..NODES).map(|_| Shown::start()).collect(),
            copies: vec![store.copy()],
            store,
            is_away: false,
            version: 1,
            registry: BTreeMap::new(),
            boots: 0,
            orders: 0,
            rewrite_at: None,
            expire_at: None,
            disturbed_at: Instant::now(),
            left_at: BTreeMap::new(),
        }
    }

    /// Records that the process under an id leaves.
    fn leave(&mut self, id: &str) {
        if let Some((boot, ..)) = self.registry.get(id) {
            let left = (id.to_owned(), *boot);
            self.left_at.entry(left).or_insert_with(Instant::now);
        }
    }

    fn write_upstream(&self, id: &str) {
        let Some((boot, seq, state)) = self.registry.get(id).copied() else {
            return;
        };
        let addr = "127.0.0.1:1".parse().expect("the address is valid");
        self.store.put(StoreEvent::Upstream(Upstream {
            id: id.into(),
            boot,
            seq,
            state,
            ..registered(0, addr)
        }));
    }

    fn write_order(&self) {
        if self.orders > 0 {
            self.store.put(StoreEvent::RolloutOrder {
                service: "pool".into(),
                to: format!("v{}", self.orders).into(),
                ramp: Millis::from_secs(600),
            });
        }
    }

    /// Writes again what the store lacks of what was confirmed.
    fn write_again(&self) {
        let is_stored = match self.store.get("op/config") {
            Some((StoreEvent::Table(table, _), _)) => table.version == self.version,
            _ => false,
        };
        if !is_stored {
            self.store.put_config(self.version);
        }
        self.write_order();
        for id in self.registry.keys() {
            self.write_upstream(id);
        }
    }

    async fn pass(&mut self, time: Millis) -> Result<(), String> {
        let end = Instant::now() + time.duration();
        while Instant::now() < end {
            sleep(STEP.duration()).await;
            let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= Instant::now());
            if !self.is_away && is_due(self.rewrite_at) {
                self.rewrite_at = None;
                self.write_again();
            }
            if !self.is_away && is_due(self.expire_at) {
                self.expire_at = None;
                for id in (0..5)
                    .map(name)
                    .filter(|id| !self.registry.contains_key(id))
                {
                    self.store.remove(&format!("servers/{id}"));
                }
            }
            for at in 0..NODES {
                self.check(at)?;
            }
        }
        Ok(())
    }

    fn usable(&self, at: usize) -> BTreeSet<(String, u64)> {
        let shared = &self.nodes[at].shared;
        let now = shared.clock.now();
        let fleet = shared.fleet.borrow();
        let ready = fleet.ready("pool", now);
        ready.map(|u| (u.id.to_string(), u.boot)).collect()
    }

    fn outcome(&self, at: usize) -> Option<(Rc<str>, Phase)> {
        let rollouts = self.nodes[at].shared.rollouts.borrow();
        let rollout = rollouts.get("pool")?;
        Some((Rc::clone(&rollout.to), rollout.phase()))
    }

    /// Checks that a gateway goes back in nothing.
    fn check(&mut self, at: usize) -> Result<(), String> {
        let usable = self.usable(at);
        let outcome = self.outcome(at);
        let version = self.nodes[at].version();
        let (disturbed_at, is_away) = (self.disturbed_at, self.is_away);
        let shown = &mut self.shown[at];
        let in_reach_since = shown.in_reach_since;
        let is_told = |left_at: Instant| {
            let in_touch_since = in_reach_since.map(|since| since.max(disturbed_at));
            let is_in_touch =
                in_touch_since.is_some_and(|since| since.elapsed() >= TOUCH.duration());
            let is_old = left_at.elapsed() >= DRAIN.duration();
            is_in_touch && is_old && !is_away && left_at > disturbed_at
        };
        let left = self
            .left_at
            .iter()
            .filter(|(_, left_at)| is_told(**left_at));
        let left = left.map(|(upstream, _)| upstream);
        let told: Vec<_> = left.filter(|u| shown.used.contains(u)).cloned().collect();
        if version < shown.version {
            return Err(format!("g{at}: version {version} after {}", shown.version));
        }
        shown.version = version;
        shown.left.extend(told);
        let knew: Vec<_> = (usable.iter())
            .filter(|u| shown.left.contains(*u) || shown.said.contains(*u))
            .collect();
        if let Some(upstream) = knew.first() {
            return Err(format!(
                "g{at}: uses {upstream:?}, which it knew to have left"
            ));
        }
        shown.used.extend(usable);
        if let (Some((to, Phase::Active)), Some((known, phase))) = (&outcome, &shown.outcome)
            && to == known
            && *phase != Phase::Active
        {
            return Err(format!("g{at}: {to} is active after {phase:?}"));
        }
        shown.outcome = outcome;
        Ok(())
    }

    async fn apply(&mut self, op: Op) -> Result<(), String> {
        match op {
            Op::Pass(ms) => self.pass(Millis(ms)).await?,
            Op::TakeAway => {
                self.store.take_away();
                self.is_away = true;
                self.disturbed_at = Instant::now();
            }
            Op::Restore(back, delay) => {
                let at = self.copies.len() - 1 - back.min(self.copies.len() - 1);
                self.store.restore(&self.copies[at]);
                self.copies.truncate(at + 1);
                self.is_away = false;
                self.disturbed_at = Instant::now();
                self.rewrite_at = Some(Instant::now() + Millis(delay).duration());
                self.expire_at = Some(Instant::now() + EXPIRY.duration());
            }
            Op::Link(at, state) => {
                self.nodes[at].link.set(state);
                let is_open = state == LinkState::Open;
                self.shown[at].in_reach_since = is_open.then(Instant::now);
            }
            Op::Restart(at) => {
                self.nodes[at] = Node::start(&self.store, &format!("g{at}"));
                self.shown[at] = Shown::start();
            }
            Op::SayLeaving(at, id) => {
                let entry = self.registry.get(&name(id)).copied();
                if let Some((boot, _, UpstreamState::Ready)) = entry {
                    let shared = &self.nodes[at].shared;
                    shared.record_leaving(&name(id).into(), boot, LeavingSource::Answer);
                    self.shown[at].said.insert((name(id), boot));
                }
            }
            Op::Bad(at) => {
                let now = self.nodes[at].shared.clock.now();
                let profile = RequestProfile {
                    route: 1,
                    length: 10,
                    model: 0,
                };
                let mut rollouts = self.nodes[at].shared.rollouts.borrow_mut();
                if let Some(rollout) = rollouts.get_mut("pool") {
                    let to = Rc::clone(&rollout.to);
                    for _ in 0..10 {
                        rollout.observe(&to, profile, Answer::Failed, now);
                    }
                }
            }
            // Nobody gets a confirmation while the store is away, or before what was lost is written again.
            _ if self.is_away || self.rewrite_at.is_some() => {}
            Op::Config => {
                self.version += 1;
                self.store.put_config(self.version);
            }
            Op::Order => {
                self.orders += 1;
                self.write_order();
            }
            Op::Join(id) => {
                self.leave(&name(id));
                self.boots += 1;
                let entry = (self.boots, 1, UpstreamState::Ready);
                self.registry.insert(name(id), entry);
                self.write_upstream(&name(id));
            }
            Op::Drain(id) => {
                self.leave(&name(id));
                if let Some((_, seq, state)) = self.registry.get_mut(&name(id)) {
                    *seq += 1;
                    *state = UpstreamState::Draining;
                    self.write_upstream(&name(id));
                }
            }
            Op::Leave(id) => {
                self.leave(&name(id));
                self.registry.remove(&name(id));
                self.store.remove(&format!("servers/{}", name(id)));
            }
        }
        if !self.is_away && self.rewrite_at.is_none() {
            self.copies.push(self.store.copy());
        }
        Ok(())
    }

    /// Ends all trouble and checks that every gateway has what was confirmed.
    async fn recover(&mut self) -> Result<(), String> {
        if self.is_away {
            self.apply(Op::Restore(0, 500)).await?;
        }
        for node in &self.nodes {
            node.link.set(LinkState::Open);
        }
        let rewritten = self
            .rewrite_at
            .map_or(Millis(0), |_| Millis(REWRITE_WITHIN));
        self.pass(rewritten + RECOVERY).await?;
        let ready = self.registry.iter();
        let ready = ready.filter(|(_, (_, _, state))| *state == UpstreamState::Ready);
        let ready: BTreeSet<_> = ready.map(|(id, (boot, ..))| (id.clone(), *boot)).collect();
        let recorded = match self.store.get("status/rollout/pool") {
            Some((StoreEvent::RolloutPhase { to, phase, .. }, _)) => Some((to, phase)),
            _ => None,
        };
        for at in 0..NODES {
            let version = self.nodes[at].version();
            if version != self.version {
                return Err(format!(
                    "g{at}: version {version}, expected {}",
                    self.version
                ));
            }
            let usable = self.usable(at);
            let expected: BTreeSet<_> = ready.difference(&self.shown[at].said).cloned().collect();
            if usable != expected {
                return Err(format!("g{at}: uses {usable:?}, expected {expected:?}"));
            }
            let outcome = self.outcome(at);
            if self.orders > 0 && (outcome.is_none() || outcome != recorded) {
                return Err(format!("g{at}: {outcome:?}, recorded is {recorded:?}"));
            }
        }
        Ok(())
    }
}

/// However the store is restored, gateways go back in nothing, and end with all that was confirmed.
#[test]
fn restores_at_any_moment_neither_lose_nor_bring_back_anything() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(ops: Vec<Op>) -> Result<bool, String> {
        run_paused(play(&ops)).map_err(|fault| format!("{fault} after {ops:?}"))
    }
    async fn play(ops: &[Op]) -> Result<bool, String> {
        let mut world = World::start();
        for op in ops {
            world.apply(*op).await?;
        }
        world.recover().await.map(|()| true)
    }
    check_property(28, property as fn(Vec<Op>) -> Result<bool, String>);
}
