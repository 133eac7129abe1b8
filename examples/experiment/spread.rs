//! Spread of configuration changes over a fleet of the target size.
//!
//! The processes are the library's state machines; only the network and the key-value service are modelled.
//! Every message is encoded to count its bytes.

use std::collections::{BTreeMap, HashMap};

use fireflywind::dissemination::{
    Digest, Effect, Message, Neighbours, Part, PeerId, Replica, RootRef, neighbours,
};
use fireflywind::ids::DataCentre;
use fireflywind::units::Millis;

use crate::report::{Report, Row};
use crate::rng::Rng;

const GATEWAYS: usize = 410;
const AGENTS: usize = 1_800;
const CENTRES: usize = 9;
const CENTRES_PER_REGION: usize = 3;
/// 4,400 changes a day.
const CHANGE_INTERVAL_US: u64 = 86_400_000_000 / 4_400;
const CHANGES: u64 = 8;
/// The processes start empty; the first change comes after this time.
const WARM_UP_US: u64 = 30_000_000;
const CUT_AT_US: u64 = WARM_UP_US - 5_000_000;
const HEAL_AT_US: u64 = WARM_UP_US + CHANGES * CHANGE_INTERVAL_US;
const END_US: u64 = HEAL_AT_US + 15_000_000;
const STEP_US: u64 = 100_000;
const LOSS: f64 = 0.01;
/// One-way latency within a data centre, between those of a region (section 1) and between regions.
const LATENCY_US: [u64; 3] = [250, 1_500, 40_000];
/// One-way latency to the key-value service; chosen, as the platform gives none.
const STORE_LATENCY_US: u64 = 10_000;
/// Time until a call to the service without an answer is given up.
const STORE_TIMEOUT_US: u64 = 3_000_000;
const WATCH_WAIT_US: u64 = 10_000_000;
/// Bytes of a TCP/IPv4 header without options.
const HEADER_BYTES: u64 = 40;
const READS_PER_S: f64 = 2_000.0;
const WRITES_PER_S: f64 = 300.0;
/// Parts of the configuration by kind, with bytes of each: 75 groups of 24 upstreams, and all others.
const GROUPS: (usize, usize) = (75, 3_600);
const OTHERS: (usize, usize) = (46, 600);

/// Runs the experiment on each seed.
pub fn run(seeds: &[u64]) -> Report {
    let members = members();
    let relay: Vec<_> = members
        .iter()
        .map(|(id, _)| neighbours(id, &members))
        .collect();
    let watch_all = Neighbours {
        is_reader: true,
        ..Neighbours::default()
    };
    let all_watch = vec![watch_all; members.len()];
    let on_seeds = |roles: &[Neighbours]| -> Vec<_> {
        let figures = seeds.iter().map(|seed| simulate(*seed, &members, roles));
        figures.collect()
    };
    let (tree, star) = (on_seeds(&relay), on_seeds(&all_watch));
    let target = |name: &str, of: fn(&Figures) -> f64, bound: f64| {
        Row::at_most(name, tree.iter().map(of).collect(), bound)
    };
    let shown = |name: &str, figures: &[Figures], of: fn(&Figures) -> f64| {
        Row::baseline(name, figures.iter().map(of).collect())
    };
    let rows = vec![
        target(
            "s until in force outside the cut, slowest change",
            |f| f.spread_s,
            3.0,
        ),
        shown(
            "s until in force outside the cut, mean change",
            &tree,
            |f| f.mean_spread_s,
        ),
        shown(
            "s until in force in the cut data centre once healed",
            &tree,
            |f| f.heal_s,
        ),
        target(
            "control bytes/s, most loaded node",
            |f| f.most_bytes,
            3_072.0,
        ),
        shown("control bytes/s, mean node", &tree, |f| f.mean_bytes),
        shown(
            "control bytes/s with TCP/IP headers, most loaded",
            &tree,
            |f| f.on_wire,
        ),
        target("reads of the service, share of its rate", |f| f.reads, 0.1),
        target(
            "reads of the service, share in the busiest second",
            |f| f.peak,
            0.1,
        ),
        target(
            "writes to the service, share of its rate",
            |f| f.writes,
            0.1,
        ),
        shown("all watch: s until in force, slowest change", &star, |f| {
            f.spread_s
        }),
        shown("all watch: reads, share of the rate", &star, |f| f.reads),
        shown(
            "all watch: reads, share in the busiest second",
            &star,
            |f| f.peak,
        ),
    ];
    Report { rows }
}

#[derive(Debug, Default)]
struct Figures {
    spread_s: f64,
    mean_spread_s: f64,
    heal_s: f64,
    most_bytes: f64,
    mean_bytes: f64,
    on_wire: f64,
    reads: f64,
    peak: f64,
    writes: f64,
}

#[derive(Debug)]
enum Event {
    Step,
    /// A message of a process, with its encoded size.
    Message(usize, Message, u64),
    /// A read of the root has reached the service; it waits for a revision above this one.
    AtStore(Option<u64>, Millis),
    WatchEnds(u64),
    Root(RootRef, Millis),
    RootFailed,
    Parts(Vec<Part>),
    Publish,
}

#[derive(Debug)]
struct Node {
    replica: Replica,
    revision: u64,
    centre: usize,
    bytes: u64,
    messages: u64,
    /// The waiting watch: its number and the time at which it was sent.
    watch: Option<(u64, Millis)>,
}

/// A published revision and its spread outside the cut data centre.
#[derive(Debug)]
struct Change {
    revision: u64,
    at: u64,
    /// Time of the last process that put it into force.
    last: u64,
    /// Number of processes that put it into force.
    reached: usize,
}

#[derive(Debug)]
struct Fleet {
    now: u64,
    rng: Rng,
    ids: Vec<PeerId>,
    index: HashMap<PeerId, usize>,
    nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    sequence: u64,
    cut: usize,
    root: RootRef,
    store: HashMap<Digest, Part>,
    published: Vec<Change>,
    /// Time of the last process of the cut data centre that caught up.
    healed: u64,
    reads: Vec<u64>,
}

fn members() -> Vec<(PeerId, DataCentre)> {
    let name = |n: usize| {
        let kind = if n < GATEWAYS { "gateway" } else { "agent" };
        format!("{kind}-{n:04}")
    };
    let member = |n: usize| {
        let centre = format!("dc-{}", n % CENTRES).as_str().into();
        (name(n).as_str().into(), centre)
    };
    (0..GATEWAYS + AGENTS).map(member).collect()
}

fn simulate(seed: u64, members: &[(PeerId, DataCentre)], roles: &[Neighbours]) -> Figures {
    let mut rng = Rng::new(seed);
    let node = |(n, role): (usize, &Neighbours)| Node {
        replica: Replica::new(role.clone(), rng.next_u64(), Millis(0)),
        revision: 0,
        centre: n % CENTRES,
        bytes: 0,
        messages: 0,
        watch: None,
    };
    let nodes = roles.iter().enumerate().map(node).collect();
    let ids: Vec<_> = members.iter().map(|(id, _)| id.clone()).collect();
    let cut = rng.below(CENTRES);
    let mut fleet = Fleet {
        now: 0,
        rng,
        index: ids
            .iter()
            .cloned()
            .enumerate()
            .map(|(n, id)| (id, n))
            .collect(),
        ids,
        nodes,
        queue: BTreeMap::new(),
        sequence: 0,
        cut,
        root: RootRef::default(),
        store: HashMap::new(),
        published: Vec::new(),
        healed: HEAL_AT_US,
        reads: vec![0; usize::try_from(END_US / 1_000_000).unwrap_or(0) + 1],
    };
    fleet.publish();
    for n in 0..fleet.nodes.len() {
        let phase = fleet.rng.next_u64() % STEP_US;
        fleet.schedule(phase, n, Event::Step);
    }
    for change in 0..CHANGES {
        fleet.schedule(WARM_UP_US + change * CHANGE_INTERVAL_US, 0, Event::Publish);
    }
    fleet.run();
    fleet.figures()
}

impl Fleet {
    fn schedule(&mut self, delay: u64, node: usize, event: Event) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, (node, event));
    }

    fn run(&mut self) {
        while let Some(((at, _), (n, event))) = self.queue.pop_first() {
            if at > END_US {
                break;
            }
            self.now = at;
            self.handle(n, event);
        }
    }

    const fn clock(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    const fn is_cut(&self, centre: usize) -> bool {
        centre == self.cut && self.now >= CUT_AT_US && self.now < HEAL_AT_US
    }

    const fn is_measured(&self) -> bool {
        self.now >= WARM_UP_US && self.now < HEAL_AT_US
    }

    fn handle(&mut self, n: usize, event: Event) {
        let now = self.clock();
        let replica = &mut self.nodes[n].replica;
        let effects = match event {
            Event::Step => {
                let effects = replica.step(now);
                self.schedule(STEP_US, n, Event::Step);
                effects
            }
            Event::Message(from, message, bytes) => {
                self.count_bytes(n, bytes);
                let sender = self.ids[from].clone();
                self.nodes[n].replica.on_message(&sender, message, now)
            }
            Event::Root(root, sent) => replica.on_root(Some(root), sent, now),
            Event::Parts(parts) => replica.on_parts(&parts, now),
            Event::RootFailed => return replica.on_root_failed(now),
            Event::AtStore(after, sent) => return self.read_at_store(n, after, sent),
            Event::WatchEnds(number) => return self.answer_watch(n, Some(number)),
            Event::Publish => return self.publish(),
        };
        for effect in effects {
            self.perform(n, effect);
        }
    }

    fn perform(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::ReadRoot { after, wait } => {
                let sent = self.clock();
                if self.call_store(n) {
                    let after = wait.then_some(after);
                    self.schedule(STORE_LATENCY_US, n, Event::AtStore(after, sent));
                } else {
                    self.schedule(STORE_TIMEOUT_US, n, Event::RootFailed);
                }
            }
            Effect::ReadParts(digests) => {
                let mut parts = Vec::new();
                for digest in digests {
                    if self.call_store(n) {
                        parts.extend(self.store.get(&digest).cloned());
                    }
                }
                self.schedule(2 * STORE_LATENCY_US, n, Event::Parts(parts));
            }
            Effect::Send(to, message) => {
                let to = self.index[&to];
                let bytes = encoded_bytes(&message);
                self.count_bytes(n, bytes);
                let (a, b) = (self.nodes[n].centre, self.nodes[to].centre);
                let cut = a != b && (self.is_cut(a) || self.is_cut(b));
                if !cut && self.rng.unit() >= LOSS {
                    self.schedule(latency(a, b), to, Event::Message(n, message, bytes));
                }
            }
            Effect::InForce(revision) => self.note_in_force(n, revision),
            Effect::Refused(_) => {}
        }
    }

    /// Counts a call; tells whether it and its answer get through.
    fn call_store(&mut self, n: usize) -> bool {
        if self.is_cut(self.nodes[n].centre) {
            return false;
        }
        let second = usize::try_from(self.now / 1_000_000).unwrap_or(0);
        self.reads[second] += 1;
        self.rng.unit() >= LOSS
    }

    fn read_at_store(&mut self, n: usize, after: Option<u64>, sent: Millis) {
        self.sequence += 1;
        let number = self.sequence;
        self.nodes[n].watch = Some((number, sent));
        if after.is_none_or(|after| self.root.revision > after) {
            self.answer_watch(n, None);
        } else {
            self.schedule(WATCH_WAIT_US, n, Event::WatchEnds(number));
        }
    }

    /// Answers the waiting watch, if it has this number or any is meant.
    fn answer_watch(&mut self, n: usize, number: Option<u64>) {
        let is_meant = |watch: &mut (u64, Millis)| number.is_none_or(|n| n == watch.0);
        let Some((_, sent)) = self.nodes[n].watch.take_if(is_meant) else {
            return;
        };
        if self.is_cut(self.nodes[n].centre) {
            self.schedule(STORE_TIMEOUT_US, n, Event::RootFailed);
        } else {
            let root = self.root.clone();
            self.schedule(STORE_LATENCY_US, n, Event::Root(root, sent));
        }
    }

    /// Publishes the first root, or changes one part.
    fn publish(&mut self) {
        let kinds = [("upstreams", GROUPS), ("other", OTHERS)];
        let revision = self.root.revision + 1;
        let mut names = kinds
            .iter()
            .flat_map(|(kind, (count, bytes))| (0..*count).map(move |n| (kind, n, *bytes)))
            .map(|(kind, n, bytes)| (format!("{kind}/{n:03}"), bytes))
            .collect::<Vec<_>>();
        if revision > 1 {
            let at = self.rng.below(names.len());
            names = vec![names.swap_remove(at)];
        }
        let mut changed = Vec::new();
        for (name, bytes) in names {
            let text = format!("{name} of {revision} {:x<bytes$}", "");
            let digest = Digest::of(&text);
            self.store.insert(digest, text.into());
            changed.push((name, digest));
        }
        self.root = self.root.with_changes(revision, &changed, &[]);
        self.published.push(Change {
            revision,
            at: self.now,
            last: self.now,
            reached: 0,
        });
        for n in 0..self.nodes.len() {
            self.answer_watch(n, None);
        }
    }

    fn note_in_force(&mut self, n: usize, revision: u64) {
        let node = &mut self.nodes[n];
        // A process that skips a revision has its changes as well.
        let before = std::mem::replace(&mut node.revision, revision);
        if node.centre == self.cut {
            self.healed = self.healed.max(self.now);
            return;
        }
        for change in &mut self.published {
            if change.revision > before && change.revision <= revision {
                change.last = self.now;
                change.reached += 1;
            }
        }
    }

    fn count_bytes(&mut self, n: usize, bytes: u64) {
        if self.is_measured() {
            self.nodes[n].bytes += bytes;
            self.nodes[n].messages += 1;
        }
    }

    fn figures(&self) -> Figures {
        let latest = self.root.revision;
        let is_outside = |node: &&Node| node.centre != self.cut;
        let outside = self.nodes.iter().filter(is_outside).count();
        let spreads = self.published[1..].iter().map(|change| {
            let complete = change.reached == outside;
            let seconds = seconds(change.last - change.at);
            if complete { seconds } else { f64::INFINITY }
        });
        let spreads: Vec<_> = spreads.collect();
        let is_healed = self.nodes.iter().all(|node| node.revision == latest);
        let span = seconds(HEAL_AT_US - WARM_UP_US);
        let rates = |header: u64| {
            let bytes = self
                .nodes
                .iter()
                .map(move |n| n.bytes + n.messages * header);
            bytes.map(|bytes| float(bytes) / span).collect::<Vec<_>>()
        };
        let payload = rates(0);
        let busy =
            |second: &usize| (WARM_UP_US..HEAL_AT_US).contains(&(*second as u64 * 1_000_000));
        let reads = (0..self.reads.len())
            .filter(busy)
            .map(|second| self.reads[second]);
        let peak = reads.clone().max().unwrap_or(0);
        Figures {
            spread_s: most(&spreads),
            mean_spread_s: mean(&spreads),
            heal_s: if is_healed {
                seconds(self.healed - HEAL_AT_US)
            } else {
                f64::INFINITY
            },
            most_bytes: most(&payload),
            mean_bytes: mean(&payload),
            on_wire: most(&rates(HEADER_BYTES)),
            reads: float(reads.sum()) / span / READS_PER_S,
            peak: float(peak) / READS_PER_S,
            // An apply writes the changed part and the root; the processes write nothing.
            writes: 2.0 * float(CHANGES) / span / WRITES_PER_S,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are under 2^53")]
const fn float(count: u64) -> f64 {
    count as f64
}

fn seconds(micros: u64) -> f64 {
    float(micros) / 1e6
}

fn most(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

#[expect(clippy::cast_precision_loss, reason = "counts are under 2^53")]
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn latency(a: usize, b: usize) -> u64 {
    match (a == b, a / CENTRES_PER_REGION == b / CENTRES_PER_REGION) {
        (true, _) => LATENCY_US[0],
        (false, true) => LATENCY_US[1],
        (false, false) => LATENCY_US[2],
    }
}

fn encoded_bytes(message: &Message) -> u64 {
    let json = serde_json::to_vec(message).expect("a message has a JSON form");
    json.len() as u64
}
