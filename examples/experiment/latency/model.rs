//! A queue model of gateways, agents and engines, driven by an event queue.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fireflywind::ids::{DataCentre, UpstreamId};
use fireflywind::membership::{SUBSET_SIZE, subset};
use fireflywind::route::pick::{LoadSource, Member, Pool, Tried};
use fireflywind::units::Millis;

use super::draws::{Request, Site, as_f64, as_u64, as_usize};
use crate::rng::Rng;

/// Data centres of a site.
const DATA_CENTRES: usize = 3;

/// Requests that one engine runs at one time.
pub const SLOTS: u32 = 8;

/// One-way delay within a data centre, in microseconds.
const LOCAL_DELAY: u64 = 250;

/// One-way delay between data centres, in microseconds.
const REMOTE_DELAY: u64 = 1_500;

/// Time between two load reports of one agent, and the delay of each, in microseconds.
const REPORT_INTERVAL: u64 = 500_000;

/// Slowdown of an engine with all slots busy.
pub const BATCH_SLOWDOWN: f64 = 0.25;

/// Prefixes that an engine keeps cached.
const CACHED_PREFIXES: usize = 16;

/// Part of the prompt's time that is left when its prefix is cached.
const CACHED_SHARE: f64 = 0.3;

/// Share of the requests, from the start, that is not measured.
const WARM_UP: f64 = 0.1;

/// What a gateway does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The agent runs the request or queues it.
    Queue(usize),
    /// The agent runs the request, or refuses it if no slot is free.
    Try(usize),
}

/// A rule that chooses the next step of a request.
pub type Policy = fn(&View<'_>) -> Step;

/// A policy with its name and what it may use.
#[derive(Debug, Clone, Copy)]
pub struct Rule {
    pub name: &'static str,
    pub policy: Policy,
    /// Whether gateways take the loads that come with answers and refusals.
    pub takes_replies: bool,
}

/// What a policy sees; only the oracle may look at `engines`.
#[derive(Debug)]
pub struct View<'a> {
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
    /// Requests that were sent and have not ended.
    pub assigned: u32,
    running: u32,
    waiting: VecDeque<usize>,
    from_gateway: Vec<u32>,
    connected: Vec<usize>,
    cached: VecDeque<u64>,
    sent: Window,
    taken: Window,
}

/// A counter of the current report interval.
#[derive(Debug, Default)]
struct Window {
    number: u64,
    count: u32,
}

impl Window {
    /// Counts one more and returns the count.
    const fn count(&mut self, now: u64) -> u32 {
        let number = now / REPORT_INTERVAL;
        if self.number != number {
            self.number = number;
            self.count = 0;
        }
        self.count += 1;
        self.count
    }
}

/// What a run measured.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Waits from the arrival at the gateway to the start on a slot, in milliseconds, sorted.
    pub waits: Vec<f64>,
    /// Time of all measured prompts on their engines, in milliseconds.
    pub prompt_ms: f64,
    /// Requests that ran in another data centre than their gateway's.
    pub remote: usize,
    /// Messages from gateways to agents and back, without the answer's content.
    pub messages: u64,
    /// Requests whose prefix was cached where they ran.
    pub cached: usize,
    /// Most requests that were sent to one upstream within one report interval, with refused ones.
    pub sent: u32,
    /// Most requests that started or joined the queue at one upstream within one report interval.
    pub taken: u32,
}

impl Outcome {
    /// Returns a quantile of the waits.
    pub fn quantile(&self, permille: usize) -> f64 {
        let at = self.waits.len() * permille / 1_000;
        self.waits.get(at).copied().unwrap_or(0.0)
    }

    /// Returns the mean wait.
    pub fn mean(&self) -> f64 {
        self.waits.iter().sum::<f64>() / as_f64(self.waits.len())
    }

    /// Returns a count per measured request.
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
    Reach(usize, usize, Mode),
    Refused(usize, usize, u32),
    Finish(usize, usize),
    Answered(usize, usize, u32),
    Snapshot(usize),
    Report(usize, Vec<u32>),
}

struct World<'a> {
    rule: Rule,
    requests: &'a [Request],
    measured_from: usize,
    now: u64,
    seq: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    names: Vec<UpstreamId>,
    tried: Vec<Tried>,
    open: usize,
    outcome: Outcome,
}

/// Runs all requests under one policy.
pub fn run(site: Site, requests: &[Request], rule: Rule) -> Outcome {
    let mut world = World::new(site, requests, rule);
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        world.now = now;
        world.handle(event);
    }
    world.outcome.waits.sort_by(f64::total_cmp);
    world.outcome
}

impl<'a> World<'a> {
    fn new(site: Site, requests: &'a [Request], rule: Rule) -> Self {
        let names: Vec<UpstreamId> = (0..site.upstreams).map(|n| n.to_string().into()).collect();
        let mut world = Self {
            rule,
            requests,
            measured_from: as_usize(as_f64(requests.len()) * WARM_UP),
            now: 0,
            seq: 0,
            events: BinaryHeap::new(),
            engines: (0..site.upstreams)
                .map(|n| Engine::new(n, site.gateways))
                .collect(),
            gateways: Vec::new(),
            names,
            tried: vec![Tried::default(); requests.len()],
            open: requests.len(),
            outcome: Outcome::default(),
        };
        world.connect(site);
        for engine in 0..site.upstreams {
            // Agents do not report at the same moment.
            let phase = REPORT_INTERVAL * engine as u64 / site.upstreams as u64;
            world.schedule(phase, Event::Snapshot(engine));
        }
        for (n, req) in requests.iter().enumerate() {
            world.schedule(req.at, Event::Arrive(n));
        }
        world
    }

    fn connect(&mut self, site: Site) {
        let upstreams: Vec<_> = self
            .names
            .iter()
            .enumerate()
            .map(|(n, id)| (id.clone(), data_centre_name(n % DATA_CENTRES)))
            .collect();
        for gateway in 0..site.gateways {
            let data_centre = gateway % DATA_CENTRES;
            let own = data_centre_name(data_centre);
            let name = format!("gateway-{gateway}");
            let chosen = subset(&name, &own, &upstreams, SUBSET_SIZE);
            let (mut local, mut remote) = (Vec::new(), Vec::new());
            for id in chosen {
                let engine = engine_of(&id);
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
            Event::Reach(req, engine, mode) => self.reach(req, engine, mode),
            Event::Refused(req, engine, others) => self.refused(req, engine, others),
            Event::Finish(req, engine) => self.finish(req, engine),
            Event::Answered(req, engine, others) => self.answered(req, engine, others),
            Event::Snapshot(engine) => self.snapshot(engine),
            Event::Report(engine, others) => self.report(engine, &others),
        }
    }

    fn dispatch(&mut self, req: usize) {
        let request = &self.requests[req];
        let tried = &self.tried[req];
        let mut rng = Rng::new(request.seed.wrapping_add(tried.full.len() as u64));
        let step = (self.rule.policy)(&View {
            req: request,
            gateway: &self.gateways[request.gateway],
            engines: &self.engines,
            draws: [rng.next_u64(), rng.next_u64()],
            now: Millis(self.now / 1_000),
            tried,
        });
        match step {
            Step::Queue(engine) => self.send(req, engine, Mode::Queue),
            Step::Try(engine) => self.send(req, engine, Mode::Try),
        }
    }

    fn send(&mut self, req: usize, engine: usize, mode: Mode) {
        let gateway = self.requests[req].gateway;
        let at = &mut self.engines[engine];
        at.assigned += 1;
        self.outcome.sent = self.outcome.sent.max(at.sent.count(self.now));
        if let Some(member) = self.member(gateway, engine) {
            member.own += 1;
        }
        self.count_message(req);
        let delay = self.delay(gateway, engine);
        self.schedule(delay, Event::Reach(req, engine, mode));
    }

    fn reach(&mut self, req: usize, engine: usize, mode: Mode) {
        let gateway = self.requests[req].gateway;
        let at = &mut self.engines[engine];
        if at.running < SLOTS || mode == Mode::Queue {
            self.outcome.taken = self.outcome.taken.max(at.taken.count(self.now));
        }
        if at.running < SLOTS {
            at.running += 1;
            at.from_gateway[gateway] += 1;
            self.start(req, engine);
        } else if mode == Mode::Queue {
            at.from_gateway[gateway] += 1;
            at.waiting.push_back(req);
        } else {
            at.assigned -= 1;
            let others = at.others(gateway);
            self.reply(req, engine, Event::Refused(req, engine, others));
        }
    }

    fn reply(&mut self, req: usize, engine: usize, event: Event) {
        self.count_message(req);
        let delay = self.delay(self.requests[req].gateway, engine);
        self.schedule(delay, event);
    }

    fn refused(&mut self, req: usize, engine: usize, others: u32) {
        self.take_load(req, engine, others);
        self.tried[req].full.push(self.names[engine].clone());
        self.dispatch(req);
    }

    /// Gives a freed slot to the next in the queue.
    fn free(&mut self, engine: usize) {
        let at = &mut self.engines[engine];
        match at.waiting.pop_front() {
            Some(req) => self.start(req, engine),
            None => at.running -= 1,
        }
    }

    /// Starts a request on a slot that is taken already.
    fn start(&mut self, req: usize, engine: usize) {
        let request = &self.requests[req];
        let at = &mut self.engines[engine];
        let is_cached = at.touch(request.prefix);
        let prompt = if is_cached { CACHED_SHARE } else { 1.0 } * request.prompt_us;
        let busy = f64::from(at.running) / f64::from(SLOTS);
        let slowdown = 1.0 + BATCH_SLOWDOWN * busy;
        let time = (prompt + request.generate_us) * slowdown;
        let is_remote = at.data_centre != self.gateways[request.gateway].data_centre;
        if req >= self.measured_from {
            let wait = as_f64(usize::try_from(self.now - request.at).unwrap_or(usize::MAX));
            self.outcome.waits.push(wait / 1_000.0);
            self.outcome.prompt_ms += prompt * slowdown / 1_000.0;
            self.outcome.remote += usize::from(is_remote);
            self.outcome.cached += usize::from(is_cached);
        }
        self.schedule(as_u64(time), Event::Finish(req, engine));
    }

    fn finish(&mut self, req: usize, engine: usize) {
        let gateway = self.requests[req].gateway;
        let at = &mut self.engines[engine];
        at.assigned -= 1;
        at.from_gateway[gateway] -= 1;
        self.free(engine);
        let others = self.engines[engine].others(gateway);
        self.reply(req, engine, Event::Answered(req, engine, others));
    }

    fn answered(&mut self, req: usize, engine: usize, others: u32) {
        self.open -= 1;
        self.take_load(req, engine, others);
    }

    /// Ends an attempt at the gateway and takes the load that came with its reply.
    fn take_load(&mut self, req: usize, engine: usize, others: u32) {
        let gateway = self.requests[req].gateway;
        if let Some(member) = self.member(gateway, engine) {
            member.own -= 1;
        }
        if self.rule.takes_replies {
            let now = Millis(self.now / 1_000);
            let pool = &mut self.gateways[gateway].pool;
            pool.observe(&self.names[engine], others, now, LoadSource::Reply);
        }
    }

    fn snapshot(&mut self, engine: usize) {
        if self.open == 0 {
            return;
        }
        let at = &self.engines[engine];
        let others = at.connected.iter().map(|g| at.others(*g)).collect();
        self.schedule(REPORT_INTERVAL, Event::Report(engine, others));
        self.schedule(REPORT_INTERVAL, Event::Snapshot(engine));
    }

    fn report(&mut self, engine: usize, others: &[u32]) {
        for (n, others) in others.iter().enumerate() {
            let gateway = self.engines[engine].connected[n];
            let counted = Millis((self.now - REPORT_INTERVAL) / 1_000);
            let pool = &mut self.gateways[gateway].pool;
            pool.observe(&self.names[engine], *others, counted, LoadSource::Report);
        }
    }

    fn member(&mut self, gateway: usize, engine: usize) -> Option<&mut Member> {
        self.gateways[gateway].pool.member_mut(&self.names[engine])
    }

    fn delay(&self, gateway: usize, engine: usize) -> u64 {
        if self.gateways[gateway].data_centre == self.engines[engine].data_centre {
            LOCAL_DELAY
        } else {
            REMOTE_DELAY
        }
    }

    fn count_message(&mut self, req: usize) {
        self.outcome.messages += u64::from(req >= self.measured_from);
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
            sent: Window::default(),
            taken: Window::default(),
        }
    }

    /// Returns the requests of all gateways but one.
    fn others(&self, gateway: usize) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.running + waiting - self.from_gateway[gateway]
    }

    /// Puts a prefix into the cache and tells whether it was there.
    fn touch(&mut self, prefix: u64) -> bool {
        let position = self.cached.iter().position(|p| *p == prefix);
        position.map(|at| self.cached.remove(at));
        self.cached.push_back(prefix);
        if self.cached.len() > CACHED_PREFIXES {
            self.cached.pop_front();
        }
        position.is_some()
    }
}

/// Returns the engine's number from its name.
pub fn engine_of(id: &UpstreamId) -> usize {
    id.as_str().parse().unwrap_or(0)
}

fn data_centre_name(n: usize) -> DataCentre {
    format!("dc-{n}").into()
}
