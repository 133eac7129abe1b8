//! Tests of the dissemination in a simulated lossy network, against the published roots.

use super::*;
use crate::fixtures::check_property;
use crate::ids::DataCentre;

type Op = (u8, u8, u8);

const TICK: Millis = Millis(100);
/// More than the age that a confirmation reaches without faults: 2 s of a watch, then a status interval for
/// each of at most four levels.
const MAX_STALENESS: Millis = Millis::from_secs(10);
/// Maximum number of ticks that an answer of the service takes; the caller times out after them.
const STORE_TIMEOUT_TICKS: u64 = 30;
/// Time to converge: a read in progress that fails, a reader's back-off, and then a status interval and a
/// fetch for each of the two levels below.
const MAX_CONVERGENCE_TIME: Millis =
    Millis(STORE_TIMEOUT_TICKS * TICK.0 + READ_BACK_OFF_MAX.0 + 4_000);

#[derive(Debug)]
struct Process {
    id: PeerId,
    centre: usize,
    replica: Replica,
    started: Millis,
    revision: u64,
    isolated: bool,
    cannot_reach_store: bool,
}

/// A message or an answer of the service that arrives at a process after a delay.
#[derive(Debug)]
enum Delivery {
    Message(PeerId, Message),
    Root(Option<RootRef>, Millis),
    RootFailed,
    Parts(Vec<Part>),
}

#[derive(Debug)]
struct Simulation {
    now: Millis,
    seed: u64,
    members: Vec<(PeerId, DataCentre)>,
    processes: Vec<Process>,
    /// Each revision with its parts and the time at which it was published.
    published: Vec<(RootRef, Vec<Part>, Millis)>,
    is_store_down: bool,
    partitioned_centre: Option<usize>,
    loss_permille: u64,
    corrupt: bool,
    /// Exclusive upper bound of the delay of a message, in ticks.
    max_delay_ticks: u64,
    watches: Vec<(usize, u64, Millis)>,
    deliveries: Vec<(Millis, usize, Delivery)>,
}

impl Simulation {
    fn start(per_centre: usize) -> Self {
        let member = |n: usize| {
            let id = PeerId::from(format!("n{n}").as_str());
            (id, ["a", "b", "c"][n % 3].into())
        };
        let members: Vec<_> = (0..3 * per_centre).map(member).collect();
        let process = |(n, (id, _)): (usize, &(PeerId, DataCentre))| Process {
            id: id.clone(),
            centre: n % 3,
            replica: Replica::new(neighbours(id, &members), n as u64 * 77_777, Millis(0)),
            started: Millis(0),
            revision: 0,
            isolated: false,
            cannot_reach_store: false,
        };
        let mut simulation = Self {
            now: Millis(0),
            seed: 1,
            processes: members.iter().enumerate().map(process).collect(),
            members,
            published: Vec::new(),
            is_store_down: false,
            partitioned_centre: None,
            loss_permille: 0,
            corrupt: false,
            max_delay_ticks: 3,
            watches: Vec::new(),
            deliveries: Vec::new(),
        };
        simulation.publish(0);
        simulation
    }

    fn random(&mut self, below: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.seed >> 33) % below
    }

    /// Publishes a root in which one part is changed and another may be removed.
    fn publish(&mut self, pick: u8) {
        let revision = self.published.len() as u64 + 1;
        let mut texts: Vec<_> = match self.published.last() {
            Some((_, parts, _)) => parts.clone(),
            None => (0..6).map(|n| format!("part {n}").into()).collect(),
        };
        let at = usize::from(pick) % 6;
        texts[at] = format!("part {at} of revision {revision}").into();
        let named = texts
            .iter()
            .enumerate()
            .map(|(n, text)| (format!("p{n}"), Digest::of(text)));
        let parts = named
            .filter(|(name, _)| pick < 128 || name != "p5")
            .collect();
        self.published
            .push((RootRef { revision, parts }, texts, self.now));
    }

    fn reaches_store(&self, at: usize) -> bool {
        let process = &self.processes[at];
        let is_cut_off = process.isolated || process.cannot_reach_store;
        !self.is_store_down && !is_cut_off && self.partitioned_centre != Some(process.centre)
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.processes[a], &self.processes[b]);
        let crosses_partition = a.centre != b.centre
            && (self.partitioned_centre == Some(a.centre)
                || self.partitioned_centre == Some(b.centre));
        !a.isolated && !b.isolated && !crosses_partition
    }

    fn schedule_delivery(&mut self, at: usize, delivery: Delivery) {
        let max_ticks = match delivery {
            Delivery::Message(..) => self.max_delay_ticks,
            _ => self.max_delay_ticks.min(STORE_TIMEOUT_TICKS),
        };
        let delay = Millis(self.random(max_ticks) * TICK.0);
        self.deliveries.push((self.now + delay, at, delivery));
    }

    fn perform(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::ReadRoot { after, wait } => {
                    let after = if wait { after } else { 0 };
                    self.watches.push((at, after, self.now));
                }
                Effect::ReadParts(digests) => {
                    let held = self.published.iter().flat_map(|(_, parts, _)| parts);
                    let read = held.filter(|text| digests.contains(&Digest::of(text)));
                    let read = read.cloned().collect();
                    if self.reaches_store(at) {
                        self.schedule_delivery(at, Delivery::Parts(read));
                    }
                }
                Effect::Send(to, message) => self.send(at, &to, &message),
                // `Refused` is expected: a delayed answer of the service may contain an older root.
                Effect::InForce(_) | Effect::Refused(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &PeerId, message: &Message) {
        let json = serde_json::to_string(message).expect("a message has a JSON form");
        let mut message: Message = serde_json::from_str(&json).expect("the JSON is a message");
        let to = self
            .processes
            .iter()
            .position(|p| p.id == *to)
            .expect("the receiver is one of the processes");
        if !self.connected(from, to) || self.random(1_000) < self.loss_permille {
            return;
        }
        if let (true, Message::Parts(parts) | Message::Delta(Delta { parts, .. })) =
            (self.corrupt, &mut message)
        {
            for text in parts {
                *text = format!("{text}!").into();
            }
        }
        let id = self.processes[from].id.clone();
        self.schedule_delivery(to, Delivery::Message(id, message));
    }

    fn run_for(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        for (at, after, sent) in std::mem::take(&mut self.watches) {
            let latest = self.published.last().map(|(root, ..)| root.clone());
            let changed = latest.as_ref().is_some_and(|root| root.revision > after);
            if !self.reaches_store(at) {
                self.schedule_delivery(at, Delivery::RootFailed);
            } else if changed || self.now.since(sent) >= Millis::from_secs(2) {
                let sent = sent.since(self.processes[at].started);
                self.schedule_delivery(at, Delivery::Root(latest, sent));
            } else {
                self.watches.push((at, after, sent));
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.deliveries = later;
        for (_, at, delivery) in due {
            let process = &mut self.processes[at];
            let local = now.since(process.started);
            let effects = match delivery {
                Delivery::Message(from, message) => {
                    process.replica.on_message(&from, message, local)
                }
                Delivery::Root(root, sent) => process.replica.on_root(root, sent, local),
                Delivery::Parts(parts) => process.replica.on_parts(&parts, local),
                Delivery::RootFailed => {
                    process.replica.on_root_failed(local);
                    Vec::new()
                }
            };
            self.perform(at, effects);
        }
        for at in 0..self.processes.len() {
            let process = &mut self.processes[at];
            let local = now.since(process.started);
            let effects = process.replica.step(local);
            self.perform(at, effects);
            self.verify(at);
        }
    }

    fn verify(&mut self, at: usize) {
        let now = self.now;
        let process = &mut self.processes[at];
        let replica = &process.replica;
        let revision = replica.revision();
        assert!(
            revision >= process.revision,
            "revision of {} decreased",
            process.id
        );
        let is_new = revision != process.revision;
        process.revision = revision;
        let Some(root) = replica.root() else {
            return;
        };
        let index = usize::try_from(revision).expect("the revision fits into a usize");
        let (expected, texts, _) = &self.published[index - 1];
        assert_eq!(root, expected);
        for (n, text) in texts.iter().enumerate().filter(|_| is_new) {
            let name = format!("p{n}");
            let held = replica.part(&name).map(AsRef::as_ref);
            let is_part = expected.part(&name).is_some();
            assert_eq!(held, is_part.then_some(&**text), "{name}");
        }
        if let Some((_, _, replaced_at)) = self.published.get(index) {
            let serves = replica.may_serve(now.since(process.started), MAX_STALENESS);
            let is_late = now.since(*replaced_at) > MAX_STALENESS;
            assert!(
                !serves || !is_late,
                "{} serves outdated revision {revision}",
                process.id
            );
        }
    }

    fn restart(&mut self, at: usize) {
        let random = self.random(1 << 30) << 30;
        let process = &mut self.processes[at];
        process.started = self.now;
        process.revision = 0;
        let neighbours = neighbours(&process.id, &self.members);
        process.replica = Replica::new(neighbours, random, Millis(0));
        // Messages to the previous process may still arrive; answers to its reads do not.
        self.watches.retain(|(of, ..)| *of != at);
        self.deliveries
            .retain(|(_, of, delivery)| *of != at || matches!(delivery, Delivery::Message(..)));
    }

    fn apply(&mut self, (kind, pick, arg): Op) {
        let at = usize::from(pick) % self.processes.len();
        match kind % 16 {
            0 | 1 => self.publish(arg),
            2 => self.loss_permille = u64::from(arg) * 3,
            3 => self.processes[at].isolated ^= true,
            4 => self.processes[at].cannot_reach_store ^= true,
            5 => self.is_store_down ^= true,
            6 => self.restart(at),
            7 => self.partitioned_centre = (arg % 4 < 3).then_some(usize::from(arg % 4)),
            8 => self.corrupt ^= true,
            9 => {
                let called = &self.processes[usize::from(arg) % self.processes.len()];
                let revision = self.processes[at].replica.revision();
                let local = self.now.since(called.started);
                let admission = called.replica.admit(revision, local, MAX_STALENESS);
                let same_revision = called.replica.revision() == revision;
                assert!(admission != Admission::Run || same_revision);
            }
            10 => self.max_delay_ticks = if arg % 2 == 0 { 128 } else { 3 },
            _ => self.run_for(Millis(u64::from(arg % 32) * TICK.0)),
        }
    }

    fn end_faults_and_verify(&mut self) {
        (self.loss_permille, self.corrupt, self.is_store_down) = (0, false, false);
        self.max_delay_ticks = 3;
        self.partitioned_centre = None;
        for process in &mut self.processes {
            (process.isolated, process.cannot_reach_store) = (false, false);
        }
        self.run_for(MAX_CONVERGENCE_TIME);
        let latest = self.published.len() as u64;
        for process in &self.processes {
            let local = self.now.since(process.started);
            assert_eq!(process.replica.revision(), latest, "{}", process.id);
            assert!(process.replica.may_serve(local, MAX_STALENESS));
        }
    }
}

// Guards against a revision that decreases, a root in force with wrong parts, a replaced revision that is
// served beyond the maximum staleness, and a process that does not get the latest revision after the faults.
#[test]
fn lossy_network_converges_and_never_reverts() {
    fn property(ops: Vec<Op>) -> bool {
        let mut simulation = Simulation::start(4);
        for op in ops {
            simulation.apply(op);
        }
        simulation.end_faults_and_verify();
        true
    }
    check_property(41, property as fn(Vec<Op>) -> bool);
}

// Guards against a change that takes more than 3 s outside a partitioned data centre, and against one that
// does not reach this data centre after the partition.
#[test]
fn a_change_is_in_force_within_three_seconds_outside_a_partition() {
    let mut simulation = Simulation::start(20);
    simulation.loss_permille = 10;
    simulation.run_for(Millis(5_000));
    simulation.partitioned_centre = Some(1);
    simulation.publish(3);

    simulation.run_for(Millis(3_000));

    for process in &simulation.processes {
        let expected = if process.centre == 1 { 1 } else { 2 };
        assert_eq!(process.replica.revision(), expected, "{}", process.id);
    }
    simulation.end_faults_and_verify();
}

// Guards against a data centre that cannot reach the service and gets no changes from the other ones either.
#[test]
fn a_data_centre_without_the_service_gets_changes_from_the_next() {
    let mut simulation = Simulation::start(6);
    simulation.run_for(Millis(5_000));
    for process in simulation.processes.iter_mut().filter(|p| p.centre == 0) {
        process.cannot_reach_store = true;
    }
    simulation.publish(3);

    simulation.run_for(Millis(3_000));

    assert!(
        simulation
            .processes
            .iter()
            .all(|p| p.replica.revision() == 2)
    );
}

// Guards against a process that starts during an outage and gets no configuration, or reports it as fresher
// than it is.
#[test]
fn a_process_that_starts_during_an_outage_gets_the_configuration_from_peers() {
    let mut simulation = Simulation::start(4);
    simulation.run_for(Millis(5_000));
    simulation.is_store_down = true;
    simulation.run_for(Millis(3_000));
    simulation.restart(0);

    simulation.run_for(Millis(1_000));

    let (local, replica) = (Millis::from_secs(1), &simulation.processes[0].replica);
    assert_eq!(replica.revision(), 1);
    assert!(replica.may_serve(local, MAX_STALENESS));
    assert!(replica.freshness(local) >= Some(Millis::from_secs(3)));
}

// Guards against a process without two parents, and against a link that only one of its ends has listed.
#[test]
fn relay_tree_is_symmetric_and_has_two_parents() {
    fn property(sizes: (u8, u8, u8)) -> bool {
        let sizes = [sizes.0 % 24 + 2, sizes.1 % 24, sizes.2 % 24];
        let centre = |n: usize| (0..sizes[n]).map(move |m| (n, m));
        let all = (0..3).flat_map(centre);
        let members: Vec<(PeerId, DataCentre)> = all
            .map(|(n, m)| {
                (
                    format!("{n}-{m}").as_str().into(),
                    ["a", "b", "c"][n].into(),
                )
            })
            .collect();
        let all_neighbours: Vec<_> = members
            .iter()
            .map(|(id, _)| (id, neighbours(id, &members)))
            .collect();
        let has_neighbour = |a: &PeerId, b: &PeerId| {
            let of_a = all_neighbours.iter().find(|(id, _)| *id == a);
            of_a.is_some_and(|(_, of)| of.parents.contains(b) || of.children.contains(b))
        };
        all_neighbours.iter().all(|(id, of)| {
            let mut all = of.parents.iter().chain(&of.children);
            of.children.len() <= READERS_PER_DATA_CENTRE * (FAN_OUT + 1)
                && (of.is_reader || of.parents.len() == READERS_PER_DATA_CENTRE)
                && all.all(|other| other != *id && has_neighbour(other, id))
        })
    }
    check_property(42, property as fn((u8, u8, u8)) -> bool);
}
