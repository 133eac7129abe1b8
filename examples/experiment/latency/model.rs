//! A discrete-event queueing model of gateways, agents and engines.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fireflywind::ids::{DataCentre, UpstreamId};
use fireflywind::membership::{SUBSET_SIZE, subset};
use fireflywind::route::pick::{LoadSource, Member, Pool, Tried};
use fireflywind::units::Millis;

use super::workload::{DeploymentSize, Request, as_f64, as_u64, as_usize};
use crate::rng::Rng;

/// Data centres of a deployment.
const DATA_CENTRES: usize = 3;

/// Requests that an engine runs concurrently.
pub const SLOTS: u32 = 8;

/// One-way delay within a data centre, in microseconds.
const LOCAL_DELAY_US: u64 = 250;

/// One-way delay between data centres, in microseconds.
const REMOTE_DELAY_US: u64 = 1_500;

/// Interval of an agent's load reports, and the delay of each report, in microseconds.
const REPORT_INTERVAL_US: u64 = 500_000;

/// Relative increase of the service time when all slots of an engine are busy.
pub const BATCH_SLOWDOWN: f64 = 0.25;

/// Prompt prefixes in the cache of an engine.
const CACHED_PREFIXES: usize = 16;

/// Processing time of a prompt with a cached prefix, relative to one without.
const CACHED_TIME_SHARE: f64 = 0.3;

/// Share of the requests at the start that is not measured.
const WARM_UP_SHARE: f64 = 0.1;

/// How a gateway sends a request to an engine's agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dispatch {
    /// The agent runs the request or queues it.
    Queue(usize),
    /// The agent runs the request, or refuses it if no slot is free.
    Try(usize),
}

/// Chooses the engine for a request and how the request is sent.
pub type ChooseFn = fn(&PolicyInput<'_>) -> Dispatch;

/// A routing policy.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    pub name: &'static str,
    pub choose: ChooseFn,
    /// Whether gateways update their pools from the loads in answers and refusals.
    pub uses_replies: bool,
}

/// The input of a policy. Baselines and `pool` must not use the load in `engines`; only the oracle may.
#[derive(Debug)]
pub struct PolicyInput<'a> {
    pub req: &'a Request,
    pub gateway: &'a Gateway,
    pub engines: &'a [Engine],
    pub draws: [u64; 2],
    pub now: Millis,
    /// Upstreams that refused the request.
    pub tried: &'a Tried,
}

/// A gateway with its view of the upstreams.
#[derive(Debug)]
pub struct Gateway {
    pub data_centre: usize,
    pub pool: Pool,
}

/// An engine with its agent.
#[derive(Debug)]
pub struct Engine {
    pub data_centre: usize,
    /// Requests that were sent to the engine and have neither finished nor been refused.
    pub assigned: u32,
    running: u32,
    waiting: VecDeque<usize>,
    from_gateway: Vec<u32>,
    connected: Vec<usize>,
    cached: VecDeque<u64>,
    sent: IntervalCounter,
    accepted: IntervalCounter,
}

/// Counts events within the current report interval.
#[derive(Debug, Default)]
struct IntervalCounter {
    interval: u64,
    count: u32,
}

impl IntervalCounter {
    /// Counts one event and returns the count of the interval.
    const fn count(&mut self, now: u64) -> u32 {
        let interval = now / REPORT_INTERVAL_US;
        if self.interval != interval {
            self.interval = interval;
            self.count = 0;
        }
        self.count += 1;
        self.count
    }
}

/// Figures of one run, without the requests of the warm-up where they are per request.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Waits from the arrival at the gateway to the start in a slot, in milliseconds, sorted.
    pub waits: Vec<f64>,
    /// Total processing time of the prompts, in milliseconds.
    pub prompt_ms: f64,
    /// Requests that ran outside the data centre of their gateway.
    pub remote: usize,
    /// Messages between gateways and agents, without the content of answers.
    pub messages: u64,
    /// Requests that ran on an engine with their prefix in its cache.
    pub cached: usize,
    /// Most requests that were sent to one upstream within one report interval, including refused ones.
    pub max_sent: u32,
    /// Most requests that one upstream started or queued within one report interval.
    pub max_accepted: u32,
}

impl Outcome {
    /// Returns a quantile of the waits in milliseconds.
    pub fn quantile(&self, permille: usize) -> f64 {
        let index = self.waits.len() * permille / 1_000;
        self.waits.get(index).copied().unwrap_or(0.0)
    }

    /// Returns the mean wait in milliseconds.
    pub fn mean_wait(&self) -> f64 {
        self.waits.iter().sum::<f64>() / as_f64(self.waits.len())
    }

    /// Divides a total by the number of measured requests.
    pub fn per_request(&self, count: f64) -> f64 {
        count / as_f64(self.waits.len())
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Mode {
    Queue,
    Try,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    ReachAgent(usize, usize, Mode),
    Refused(usize, usize, u32),
    Finish(usize, usize),
    Answered(usize, usize, u32),
    Snapshot(usize),
    Report(usize, Vec<u32>),
}

struct Simulation<'a> {
    policy: Policy,
    requests: &'a [Request],
    first_measured: usize,
    now: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    names: Vec<UpstreamId>,
    tried: Vec<Tried>,
    unanswered: usize,
    outcome: Outcome,
}

/// Runs all requests under one policy.
pub fn run(size: DeploymentSize, requests: &[Request], policy: Policy) -> Outcome {
    let mut simulation = Simulation::new(size, requests, policy);
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.now = now;
        simulation.handle(event);
    }
    simulation.outcome.waits.sort_by(f64::total_cmp);
    simulation.outcome
}

impl<'a> Simulation<'a> {
    fn new(size: DeploymentSize, requests: &'a [Request], policy: Policy) -> Self {
        let names: Vec<UpstreamId> = (0..size.upstreams).map(|n| n.to_string().into()).collect();
        let mut simulation = Self {
            policy,
            requests,
            first_measured: as_usize(as_f64(requests.len()) * WARM_UP_SHARE),
            now: 0,
            seq: 0,
            events: BinaryHeap::new(),
            engines: (0..size.upstreams)
                .map(|n| Engine::new(n, size.gateways))
                .collect(),
            gateways: Vec::new(),
            names,
            tried: vec![Tried::default(); requests.len()],
            unanswered: requests.len(),
            outcome: Outcome::default(),
        };
        simulation.connect(size);
        for engine in 0..size.upstreams {
            // The reports of the agents are spread over the interval.
            let phase = REPORT_INTERVAL_US * engine as u64 / size.upstreams as u64;
            simulation.schedule(phase, Event::Snapshot(engine));
        }
        for (n, req) in requests.iter().enumerate() {
            simulation.schedule(req.arrival_us, Event::Arrive(n));
        }
        simulation
    }

    fn connect(&mut self, size: DeploymentSize) {
        let upstreams: Vec<_> = self
            .names
            .iter()
            .enumerate()
            .map(|(n, id)| (id.clone(), data_centre_name(n % DATA_CENTRES)))
            .collect();
        for gateway in 0..size.gateways {
            let data_centre = gateway % DATA_CENTRES;
            let own = data_centre_name(data_centre);
            let name = format!("gateway-{gateway}");
            let subset_ids = subset(&name, &own, &upstreams, SUBSET_SIZE);
            let (mut local, mut remote) = (Vec::new(), Vec::new());
            for id in subset_ids {
                let engine = engine_index(&id);
                self.engines[engine].connected.push(gateway);
                let is_local = engine % DATA_CENTRES == data_centre;
                let members = if is_local { &mut local } else { &mut remote };
                members.push(Member {
                    upstream: id,
                    slots: SLOTS,
                    own: 0,
                    others: 0,
                    age: Millis(0),
                    refused: false,
                });
            }
            self.gateways.push(Gateway {
                data_centre,
                pool: Pool::new(local, remote),
            });
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.seq += 1;
        self.events
            .push(Reverse((self.now + after, self.seq, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(req) => self.dispatch(req),
            Event::ReachAgent(req, engine, mode) => self.on_reach_agent(req, engine, mode),
            Event::Refused(req, engine, others) => self.on_refused(req, engine, others),
            Event::Finish(req, engine) => self.on_finish(req, engine),
            Event::Answered(req, engine, others) => self.on_answered(req, engine, others),
            Event::Snapshot(engine) => self.on_snapshot(engine),
            Event::Report(engine, others) => self.on_report(engine, &others),
        }
    }

    fn dispatch(&mut self, req: usize) {
        let request = &self.requests[req];
        let tried = &self.tried[req];
        let mut rng = Rng::new(request.seed.wrapping_add(tried.full.len() as u64));
        let dispatch = (self.policy.choose)(&PolicyInput {
            req: request,
            gateway: &self.gateways[request.gateway],
            engines: &self.engines,
            draws: [rng.next_u64(), rng.next_u64()],
            now: Millis(self.now / 1_000),
            tried,
        });
        match dispatch {
            Dispatch::Queue(engine) => self.send(req, engine, Mode::Queue),
            Dispatch::Try(engine) => self.send(req, engine, Mode::Try),
        }
    }

    fn send(&mut self, req: usize, engine: usize, mode: Mode) {
        let gateway = self.requests[req].gateway;
        let state = &mut self.engines[engine];
        state.assigned += 1;
        self.outcome.max_sent = self.outcome.max_sent.max(state.sent.count(self.now));
        if let Some(member) = self.member(gateway, engine) {
            member.own += 1;
        }
        self.count_message(req);
        let delay = self.delay(gateway, engine);
        self.schedule(delay, Event::ReachAgent(req, engine, mode));
    }

    fn on_reach_agent(&mut self, req: usize, engine: usize, mode: Mode) {
        let gateway = self.requests[req].gateway;
        let state = &mut self.engines[engine];
        if state.running < SLOTS || mode == Mode::Queue {
            self.outcome.max_accepted = self
                .outcome
                .max_accepted
                .max(state.accepted.count(self.now));
        }
        if state.running < SLOTS {
            state.running += 1;
            state.from_gateway[gateway] += 1;
            self.start(req, engine);
        } else if mode == Mode::Queue {
            state.from_gateway[gateway] += 1;
            state.waiting.push_back(req);
        } else {
            state.assigned -= 1;
            let others = state.others(gateway);
            self.reply(req, engine, Event::Refused(req, engine, others));
        }
    }

    fn reply(&mut self, req: usize, engine: usize, event: Event) {
        self.count_message(req);
        let delay = self.delay(self.requests[req].gateway, engine);
        self.schedule(delay, event);
    }

    fn on_refused(&mut self, req: usize, engine: usize, others: u32) {
        self.end_attempt(req, engine, others);
        self.tried[req].full.push(self.names[engine].clone());
        self.dispatch(req);
    }

    /// Gives a freed slot to the next request in the queue.
    fn release_slot(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        match state.waiting.pop_front() {
            Some(req) => self.start(req, engine),
            None => state.running -= 1,
        }
    }

    /// Starts a request in a slot that is already counted as running.
    fn start(&mut self, req: usize, engine: usize) {
        let request = &self.requests[req];
        let state = &mut self.engines[engine];
        let is_cached = state.touch(request.prefix);
        let prompt = if is_cached { CACHED_TIME_SHARE } else { 1.0 } * request.prompt_us;
        let busy = f64::from(state.running) / f64::from(SLOTS);
        let slowdown = 1.0 + BATCH_SLOWDOWN * busy;
        let time = (prompt + request.generate_us) * slowdown;
        let is_remote = state.data_centre != self.gateways[request.gateway].data_centre;
        if req >= self.first_measured {
            let wait = as_f64(usize::try_from(self.now - request.arrival_us).unwrap_or(usize::MAX));
            self.outcome.waits.push(wait / 1_000.0);
            self.outcome.prompt_ms += prompt * slowdown / 1_000.0;
            self.outcome.remote += usize::from(is_remote);
            self.outcome.cached += usize::from(is_cached);
        }
        self.schedule(as_u64(time), Event::Finish(req, engine));
    }

    fn on_finish(&mut self, req: usize, engine: usize) {
        let gateway = self.requests[req].gateway;
        let state = &mut self.engines[engine];
        state.assigned -= 1;
        state.from_gateway[gateway] -= 1;
        self.release_slot(engine);
        let others = self.engines[engine].others(gateway);
        self.reply(req, engine, Event::Answered(req, engine, others));
    }

    fn on_answered(&mut self, req: usize, engine: usize, others: u32) {
        self.unanswered -= 1;
        self.end_attempt(req, engine, others);
    }

    /// Ends an attempt at the gateway and updates the pool with the load in the reply, if the policy uses it.
    fn end_attempt(&mut self, req: usize, engine: usize, others: u32) {
        let gateway = self.requests[req].gateway;
        if let Some(member) = self.member(gateway, engine) {
            member.own -= 1;
        }
        if self.policy.uses_replies {
            let now = Millis(self.now / 1_000);
            let pool = &mut self.gateways[gateway].pool;
            pool.observe(&self.names[engine], others, now, LoadSource::Reply);
        }
    }

    fn on_snapshot(&mut self, engine: usize) {
        if self.unanswered == 0 {
            return;
        }
        let state = &self.engines[engine];
        let others = state.connected.iter().map(|g| state.others(*g)).collect();
        self.schedule(REPORT_INTERVAL_US, Event::Report(engine, others));
        self.schedule(REPORT_INTERVAL_US, Event::Snapshot(engine));
    }

    fn on_report(&mut self, engine: usize, others: &[u32]) {
        for (n, others) in others.iter().enumerate() {
            let gateway = self.engines[engine].connected[n];
            let counted_at = Millis((self.now - REPORT_INTERVAL_US) / 1_000);
            let pool = &mut self.gateways[gateway].pool;
            pool.observe(&self.names[engine], *others, counted_at, LoadSource::Report);
        }
    }

    fn member(&mut self, gateway: usize, engine: usize) -> Option<&mut Member> {
        self.gateways[gateway].pool.member_mut(&self.names[engine])
    }

    fn delay(&self, gateway: usize, engine: usize) -> u64 {
        if self.gateways[gateway].data_centre == self.engines[engine].data_centre {
            LOCAL_DELAY_US
        } else {
            REMOTE_DELAY_US
        }
    }

    fn count_message(&mut self, req: usize) {
        self.outcome.messages += u64::from(req >= self.first_measured);
    }
}

impl Engine {
    fn new(n: usize, gateways: usize) -> Self {
        Self {
            data_centre: n % DATA_CENTRES,
            assigned: 0,
            running: 0,
            waiting: VecDeque::new(),
            from_gateway: vec![0; gateways],
            connected: Vec::new(),
            cached: VecDeque::new(),
            sent: IntervalCounter::default(),
            accepted: IntervalCounter::default(),
        }
    }

    /// Returns the number of requests from all other gateways.
    fn others(&self, gateway: usize) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.running + waiting - self.from_gateway[gateway]
    }

    /// Makes a prefix the most recently used one of the cache. Returns whether it was cached before.
    fn touch(&mut self, prefix: u64) -> bool {
        let position = self.cached.iter().position(|p| *p == prefix);
        position.map(|index| self.cached.remove(index));
        self.cached.push_back(prefix);
        if self.cached.len() > CACHED_PREFIXES {
            self.cached.pop_front();
        }
        position.is_some()
    }
}

/// Returns the index of an engine, which is its name.
pub fn engine_index(id: &UpstreamId) -> usize {
    id.as_str().parse().unwrap_or(0)
}

fn data_centre_name(n: usize) -> DataCentre {
    format!("dc-{n}").into()
}
