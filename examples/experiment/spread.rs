//! Time, traffic and store reads of the dissemination of configuration changes in a fleet of the target size.
//!
//! The simulated processes run the state machines of the library; only the network and the key-value service
//! are models. Every message is encoded to count its bytes.

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
const DATA_CENTRES: usize = 9;
const DATA_CENTRES_PER_REGION: usize = 3;
/// Interval of 4,400 changes per day.
const CHANGE_INTERVAL_US: u64 = 86_400_000_000 / 4_400;
const CHANGES: u64 = 8;
/// Time before the first change, as the processes start without a configuration.
const WARM_UP_US: u64 = 30_000_000;
/// From here to `PARTITION_END_US` one data centre is partitioned from the others and the key-value service.
const PARTITION_START_US: u64 = WARM_UP_US - 5_000_000;
const PARTITION_END_US: u64 = WARM_UP_US + CHANGES * CHANGE_INTERVAL_US;
const END_US: u64 = PARTITION_END_US + 15_000_000;
/// Time between two steps of a process.
const STEP_US: u64 = 100_000;
/// Share of messages, and of calls to the key-value service, that are lost.
const LOSS_RATE: f64 = 0.01;
/// One-way latency within a data centre, between data centres of a region and between regions.
const LATENCY_US: [u64; 3] = [250, 1_500, 40_000];
/// One-way latency to the key-value service; an assumption, as none is specified for the platform.
const STORE_LATENCY_US: u64 = 10_000;
/// Timeout of a call to the key-value service.
const STORE_TIMEOUT_US: u64 = 3_000_000;
/// Time after which the key-value service answers a read that waits for a newer revision.
const WATCH_WAIT_US: u64 = 10_000_000;
/// Bytes of a TCP/IPv4 header without options.
const HEADER_BYTES: u64 = 40;
const READS_PER_S: f64 = 2_000.0;
const WRITES_PER_S: f64 = 300.0;
/// Number of parts with a group of 24 upstreams, and bytes of each.
const UPSTREAM_PARTS: (usize, usize) = (75, 3_600);
/// Number of all other parts, and bytes of each.
const OTHER_PARTS: (usize, usize) = (46, 600);

/// Runs the experiment on each seed.
pub fn run(seeds: &[u64]) -> Report {
    let members = members();
    let relay_roles: Vec<_> = members
        .iter()
        .map(|(id, _)| neighbours(id, &members))
        .collect();
    let watch_all = Neighbours {
        is_reader: true,
        ..Neighbours::default()
    };
    let watcher_roles = vec![watch_all; members.len()];
    let on_seeds = |roles: &[Neighbours]| -> Vec<_> {
        let figures = seeds.iter().map(|seed| run_seed(*seed, &members, roles));
        figures.collect()
    };
    let (relayed, all_watching) = (on_seeds(&relay_roles), on_seeds(&watcher_roles));
    let with_bound = |name: &str, of: fn(&Figures) -> f64, bound: f64| {
        Row::at_most(name, relayed.iter().map(of).collect(), bound)
    };
    let baseline = |name: &str, figures: &[Figures], of: fn(&Figures) -> f64| {
        Row::baseline(name, figures.iter().map(of).collect())
    };
    let rows = vec![
        with_bound(
            "s until in force outside the cut, slowest change",
            |f| f.spread_s,
            3.0,
        ),
        baseline(
            "s until in force outside the cut, mean change",
            &relayed,
            |f| f.mean_spread_s,
        ),
        baseline(
            "s until in force in the cut data centre once healed",
            &relayed,
            |f| f.recovery_s,
        ),
        with_bound(
            "control bytes/s, most loaded node",
            |f| f.max_bytes,
            3_072.0,
        ),
        baseline("control bytes/s, mean node", &relayed, |f| f.mean_bytes),
        baseline(
            "control bytes/s with TCP/IP headers, most loaded",
            &relayed,
            |f| f.max_wire_bytes,
        ),
        with_bound(
            "reads of the service, share of its rate",
            |f| f.read_share,
            0.1,
        ),
        with_bound(
            "reads of the service, share in the busiest second",
            |f| f.peak_read_share,
            0.1,
        ),
        with_bound(
            "writes to the service, share of its rate",
            |f| f.write_share,
            0.1,
        ),
        baseline(
            "all watch: s until in force, slowest change",
            &all_watching,
            |f| f.spread_s,
        ),
        baseline("all watch: reads, share of the rate", &all_watching, |f| {
            f.read_share
        }),
        baseline(
            "all watch: reads, share in the busiest second",
            &all_watching,
            |f| f.peak_read_share,
        ),
    ];
    Report { rows }
}

#[derive(Debug, Default)]
struct Figures {
    spread_s: f64,
    mean_spread_s: f64,
    recovery_s: f64,
    max_bytes: f64,
    mean_bytes: f64,
    max_wire_bytes: f64,
    read_share: f64,
    peak_read_share: f64,
    write_share: f64,
}

#[derive(Debug)]
enum Event {
    Step,
    /// A message of a process, with its encoded size.
    Message(usize, Message, u64),
    /// A read of the root reaches the service, where it waits for a revision above this one, if there is one.
    /// The time is that at which it was sent.
    RootReadAtStore(Option<u64>, Millis),
    WatchTimeout(u64),
    RootRead(RootRef, Millis),
    RootReadFailed,
    PartsRead(Vec<Part>),
    Publish,
}

#[derive(Debug)]
struct Node {
    replica: Replica,
    revision: u64,
    data_centre: usize,
    bytes: u64,
    messages: u64,
    /// The pending read of the root: its number and the time at which it was sent.
    watch: Option<(u64, Millis)>,
}

/// A published revision and its dissemination outside the partitioned data centre.
#[derive(Debug)]
struct Change {
    revision: u64,
    published_at: u64,
    /// Latest time at which a process put it into force.
    last_in_force_at: u64,
    /// Number of processes that put it into force.
    reached_count: usize,
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
    partitioned: usize,
    root: RootRef,
    store: HashMap<Digest, Part>,
    published: Vec<Change>,
    /// Latest time at which a process of the partitioned data centre put a revision into force.
    recovered_at: u64,
    reads_per_second: Vec<u64>,
}

fn members() -> Vec<(PeerId, DataCentre)> {
    let name = |n: usize| {
        let kind = if n < GATEWAYS { "gateway" } else { "agent" };
        format!("{kind}-{n:04}")
    };
    let member = |n: usize| {
        let data_centre = format!("dc-{}", n % DATA_CENTRES).as_str().into();
        (name(n).as_str().into(), data_centre)
    };
    (0..GATEWAYS + AGENTS).map(member).collect()
}

fn run_seed(seed: u64, members: &[(PeerId, DataCentre)], roles: &[Neighbours]) -> Figures {
    let mut rng = Rng::new(seed);
    let node = |(n, role): (usize, &Neighbours)| Node {
        replica: Replica::new(role.clone(), rng.next_u64(), Millis(0)),
        revision: 0,
        data_centre: n % DATA_CENTRES,
        bytes: 0,
        messages: 0,
        watch: None,
    };
    let nodes = roles.iter().enumerate().map(node).collect();
    let ids: Vec<_> = members.iter().map(|(id, _)| id.clone()).collect();
    let partitioned = rng.below(DATA_CENTRES);
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
        partitioned,
        root: RootRef::default(),
        store: HashMap::new(),
        published: Vec::new(),
        recovered_at: PARTITION_END_US,
        reads_per_second: vec![0; usize::try_from(END_US / 1_000_000).unwrap_or(0) + 1],
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

    const fn is_partitioned(&self, data_centre: usize) -> bool {
        data_centre == self.partitioned
            && self.now >= PARTITION_START_US
            && self.now < PARTITION_END_US
    }

    const fn is_measured(&self) -> bool {
        self.now >= WARM_UP_US && self.now < PARTITION_END_US
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
            Event::RootRead(root, sent) => replica.on_root(Some(root), sent, now),
            Event::PartsRead(parts) => replica.on_parts(&parts, now),
            Event::RootReadFailed => return replica.on_root_failed(now),
            Event::RootReadAtStore(after, sent) => return self.read_at_store(n, after, sent),
            Event::WatchTimeout(number) => return self.answer_watch(n, Some(number)),
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
                    self.schedule(STORE_LATENCY_US, n, Event::RootReadAtStore(after, sent));
                } else {
                    self.schedule(STORE_TIMEOUT_US, n, Event::RootReadFailed);
                }
            }
            Effect::ReadParts(digests) => {
                let mut parts = Vec::new();
                for digest in digests {
                    if self.call_store(n) {
                        parts.extend(self.store.get(&digest).cloned());
                    }
                }
                self.schedule(2 * STORE_LATENCY_US, n, Event::PartsRead(parts));
            }
            Effect::Send(to, message) => {
                let to = self.index[&to];
                let bytes = encoded_bytes(&message);
                self.count_bytes(n, bytes);
                let (a, b) = (self.nodes[n].data_centre, self.nodes[to].data_centre);
                let is_separated = a != b && (self.is_partitioned(a) || self.is_partitioned(b));
                if !is_separated && self.rng.unit() >= LOSS_RATE {
                    self.schedule(latency(a, b), to, Event::Message(n, message, bytes));
                }
            }
            Effect::InForce(revision) => self.record_in_force(n, revision),
            Effect::Refused(_) => {}
        }
    }

    /// Counts a call to the key-value service. Returns whether the call and its answer arrive.
    fn call_store(&mut self, n: usize) -> bool {
        if self.is_partitioned(self.nodes[n].data_centre) {
            return false;
        }
        let second = usize::try_from(self.now / 1_000_000).unwrap_or(0);
        self.reads_per_second[second] += 1;
        self.rng.unit() >= LOSS_RATE
    }

    fn read_at_store(&mut self, n: usize, after: Option<u64>, sent: Millis) {
        self.sequence += 1;
        let number = self.sequence;
        self.nodes[n].watch = Some((number, sent));
        if after.is_none_or(|after| self.root.revision > after) {
            self.answer_watch(n, None);
        } else {
            self.schedule(WATCH_WAIT_US, n, Event::WatchTimeout(number));
        }
    }

    /// Answers the pending read of the root; if a number is given, only a read with this number.
    fn answer_watch(&mut self, n: usize, number: Option<u64>) {
        let is_answered = |watch: &mut (u64, Millis)| number.is_none_or(|n| n == watch.0);
        let Some((_, sent)) = self.nodes[n].watch.take_if(is_answered) else {
            return;
        };
        if self.is_partitioned(self.nodes[n].data_centre) {
            self.schedule(STORE_TIMEOUT_US, n, Event::RootReadFailed);
        } else {
            let root = self.root.clone();
            self.schedule(STORE_LATENCY_US, n, Event::RootRead(root, sent));
        }
    }

    /// Publishes the first root with all parts, or a new root with one part changed.
    fn publish(&mut self) {
        let kinds = [("upstreams", UPSTREAM_PARTS), ("other", OTHER_PARTS)];
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
            published_at: self.now,
            last_in_force_at: self.now,
            reached_count: 0,
        });
        for n in 0..self.nodes.len() {
            self.answer_watch(n, None);
        }
    }

    fn record_in_force(&mut self, n: usize, revision: u64) {
        let node = &mut self.nodes[n];
        // A process that skips a revision has the changes of that revision too.
        let before = std::mem::replace(&mut node.revision, revision);
        if node.data_centre == self.partitioned {
            self.recovered_at = self.recovered_at.max(self.now);
            return;
        }
        for change in &mut self.published {
            if change.revision > before && change.revision <= revision {
                change.last_in_force_at = self.now;
                change.reached_count += 1;
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
        let is_outside = |node: &&Node| node.data_centre != self.partitioned;
        let outside = self.nodes.iter().filter(is_outside).count();
        let spread_times = self.published[1..].iter().map(|change| {
            let complete = change.reached_count == outside;
            let seconds = seconds(change.last_in_force_at - change.published_at);
            if complete { seconds } else { f64::INFINITY }
        });
        let spread_times: Vec<_> = spread_times.collect();
        let has_recovered = self.nodes.iter().all(|node| node.revision == latest);
        let span = seconds(PARTITION_END_US - WARM_UP_US);
        let rates = |header: u64| {
            let bytes = self
                .nodes
                .iter()
                .map(move |n| n.bytes + n.messages * header);
            bytes.map(|bytes| as_f64(bytes) / span).collect::<Vec<_>>()
        };
        let payload = rates(0);
        let is_measured_second =
            |second: &usize| (WARM_UP_US..PARTITION_END_US).contains(&(*second as u64 * 1_000_000));
        let reads = (0..self.reads_per_second.len())
            .filter(is_measured_second)
            .map(|second| self.reads_per_second[second]);
        let peak = reads.clone().max().unwrap_or(0);
        Figures {
            spread_s: maximum(&spread_times),
            mean_spread_s: mean(&spread_times),
            recovery_s: if has_recovered {
                seconds(self.recovered_at - PARTITION_END_US)
            } else {
                f64::INFINITY
            },
            max_bytes: maximum(&payload),
            mean_bytes: mean(&payload),
            max_wire_bytes: maximum(&rates(HEADER_BYTES)),
            read_share: as_f64(reads.sum()) / span / READS_PER_S,
            peak_read_share: as_f64(peak) / READS_PER_S,
            // Applying a change writes the changed part and the root; the processes write nothing.
            write_share: 2.0 * as_f64(CHANGES) / span / WRITES_PER_S,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are under 2^53")]
const fn as_f64(count: u64) -> f64 {
    count as f64
}

fn seconds(micros: u64) -> f64 {
    as_f64(micros) / 1e6
}

fn maximum(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

#[expect(clippy::cast_precision_loss, reason = "counts are under 2^53")]
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn latency(a: usize, b: usize) -> u64 {
    match (
        a == b,
        a / DATA_CENTRES_PER_REGION == b / DATA_CENTRES_PER_REGION,
    ) {
        (true, _) => LATENCY_US[0],
        (false, true) => LATENCY_US[1],
        (false, false) => LATENCY_US[2],
    }
}

fn encoded_bytes(message: &Message) -> u64 {
    let json = serde_json::to_vec(message).expect("a message has a JSON form");
    json.len() as u64
}
