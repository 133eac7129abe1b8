//! Stateful property test with a request that crashes its upstreams, and tests of the report set.

use super::*;
use crate::fixtures::check;
use crate::ids::RequestId;

const GATEWAYS: usize = 8;
const KILLER: usize = 0;
const RESENDS: usize = 20;
const NOW: Millis = Millis(10_000_000);

fn fingerprint(n: usize) -> Fingerprint {
    Fingerprint::of(&"shop".into(), &n.to_be_bytes())
}

fn run(n: usize, attempt: u32) -> Run {
    let request = RequestId {
        gateway: Incarnation(1),
        seq: n as u64,
    };
    Run { request, attempt }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Place {
    Queued,
    At(usize),
    Done,
    Refused,
}

/// Gateways and agents that serve one crashing request, number 0, among harmless ones.
#[derive(Debug)]
struct World {
    agents: Vec<Admission>,
    gateways: Vec<Suspects>,
    /// State and next attempt of each request; harmless requests with equal numbers modulo 16 have equal bodies.
    requests: Vec<(Place, u32)>,
    incarnations: u128,
    crashes: usize,
    resends: usize,
}

impl World {
    fn open(upstreams: usize) -> Self {
        let mut world = Self {
            agents: Vec::new(),
            gateways: (0..GATEWAYS).map(|_| Suspects::new(MAX_REPORTS)).collect(),
            requests: vec![(Place::Queued, 0)],
            incarnations: 0,
            crashes: 0,
            resends: 0,
        };
        world.agents = (0..upstreams).map(|_| world.agent()).collect();
        world
    }

    fn agent(&mut self) -> Admission {
        self.incarnations += 1;
        Admission::new(Incarnation(self.incarnations), Suspects::new(MAX_REPORTS))
    }

    fn body(n: usize) -> Fingerprint {
        fingerprint(if n == KILLER { 99 } else { n % 16 })
    }

    fn send(&mut self, n: usize, agent: usize) {
        let (Place::Queued, attempt) = self.requests[n] else {
            return;
        };
        let place = match self.agents[agent].admit(run(n, attempt), Self::body(n), NOW) {
            Admit::Run => Place::At(agent),
            Admit::Wait => Place::Queued,
            Admit::Refuse { .. } => Place::Refused,
        };
        self.requests[n] = (place, attempt + 1);
    }

    fn finish(&mut self, n: usize) {
        let (Place::At(agent), attempt) = self.requests[n] else {
            return;
        };
        if n == KILLER {
            return self.crash(agent);
        }
        self.agents[agent].finish(run(n, attempt - 1));
        self.requests[n].0 = Place::Done;
    }

    fn crash(&mut self, agent: usize) {
        let first = self.crashes == 0;
        self.crashes += 1;
        let crash = self.agents[agent].crash(NOW);
        let expected = if first {
            Blame::Version
        } else {
            Blame::Request(Self::body(KILLER))
        };
        assert_eq!(crash.blame, expected);
        assert!(crash.ended.iter().any(|r| r.request.seq == 0));
        self.spread(&crash.reports, self.incarnations as usize + self.crashes);
        self.requeue(agent);
    }

    /// Sends the reports to one gateway and to all agents, to some of them twice or in reverse order.
    fn spread(&mut self, reports: &[Report], draw: usize) {
        let mut reports = reports.to_vec();
        self.gateways[draw % GATEWAYS].merge(&reports, NOW);
        for (at, agent) in self.agents.iter_mut().enumerate() {
            reports.reverse();
            for _ in 0..=(at + draw) % 2 {
                agent.merge(&reports, NOW);
            }
        }
    }

    fn requeue(&mut self, agent: usize) {
        for (place, _) in &mut self.requests {
            if *place == Place::At(agent) {
                *place = Place::Queued;
            }
        }
    }

    /// Replaces an agent together with its VM; the new one gets the reports of the gateways that connect.
    fn replace(&mut self, agent: usize) {
        self.status();
        let mut fresh = self.agent();
        for gateway in &self.gateways {
            fresh.merge(gateway.reports(), NOW);
        }
        self.agents[agent] = fresh;
        self.requeue(agent);
    }

    /// Merges every agent's reports at every gateway, as heartbeats do.
    fn status(&mut self) {
        for gateway in &mut self.gateways {
            for agent in &self.agents {
                gateway.merge(agent.suspects().reports(), NOW);
            }
        }
    }

    fn resend_killer(&mut self) {
        let (place, attempt) = self.requests[KILLER];
        if place == Place::Refused && self.resends < RESENDS {
            self.resends += 1;
            self.requests[KILLER] = (Place::Queued, attempt);
        }
    }

    fn apply(&mut self, (op, a, b): (u8, u8, u8)) {
        let n = usize::from(a) % self.requests.len();
        let agent = usize::from(b) % self.agents.len();
        match op % 16 {
            0..=2 => self.requests.push((Place::Queued, 0)),
            3..=8 => self.send(n, agent),
            9 => self.send(KILLER, agent),
            10..=11 => self.finish(n),
            12 => self.finish(KILLER),
            13 if a > 200 => self.replace(agent),
            14 => self.status(),
            _ => self.resend_killer(),
        }
    }

    /// Runs all harmless requests to completion while the crashing one is sent again up to its limit.
    fn drain(&mut self) {
        for round in 0..RESENDS + 64 {
            for n in 0..self.requests.len() {
                self.send(n, (n + round) % self.agents.len());
            }
            for n in (0..self.requests.len()).rev() {
                self.finish(n);
            }
            self.resend_killer();
        }
    }
}

// Guards against a third upstream that the same request crashes, against harmless requests in flight at the
// same time that are refused or wait forever, and against crashes by a known suspect that count against the
// version.
#[test]
fn a_killing_request_takes_down_two_upstreams_at_most() {
    type Ops = Vec<(u8, u8, u8)>;
    fn property(upstreams: u8, ops: Ops) -> bool {
        let mut world = World::open(1 + usize::from(upstreams % 6));
        for op in ops {
            world.apply(op);
            assert!(world.crashes <= REFUSE_AT, "a third upstream crashed");
        }
        world.drain();
        let innocent = &world.requests[1..];
        assert!(innocent.iter().all(|(place, _)| *place == Place::Done));
        world.crashes == REFUSE_AT && world.requests[KILLER].0 == Place::Refused
    }
    check(1, property as fn(u8, Ops) -> bool);
}

// Guards against a set that depends on the order or repetition of reports.
#[test]
fn merging_is_a_union() {
    type Reports = Vec<(u8, u8, u8)>;
    fn reports(list: Reports) -> Vec<Report> {
        let report = |(body, agent, number): (u8, u8, u8)| Report {
            fingerprint: fingerprint(usize::from(body % 4)),
            crash: CrashId {
                agent: Incarnation(u128::from(agent % 4)),
                number: u64::from(number % 4),
            },
            at: NOW,
        };
        list.into_iter().map(report).collect()
    }
    fn property(left: Reports, right: Reports) -> bool {
        let (left, right) = (reports(left), reports(right));
        let mut one = Suspects::new(MAX_REPORTS);
        let mut other = Suspects::new(MAX_REPORTS);
        let mut expected = [left.clone(), right.clone()].concat();
        expected.sort_unstable();
        expected.dedup();

        let news = one.merge(&left, NOW).len() + one.merge(&right, NOW).len();
        for part in [&right, &left, &right] {
            other.merge(part, NOW);
        }

        news == expected.len() && one.reports() == expected && other.reports() == expected
    }
    check(2, property as fn(Reports, Reports) -> bool);
}

// Guards against suspects that never expire, and against a flood of reports that evicts those of refused
// fingerprints.
#[test]
fn reports_expire_and_are_bounded() {
    let report = |body: u8, number: u8| Report {
        fingerprint: fingerprint(body.into()),
        crash: CrashId {
            agent: Incarnation(1),
            number: number.into(),
        },
        at: NOW + Millis(number.into()),
    };
    let mut suspects = Suspects::new(4);
    suspects.merge(&[report(1, 1), report(1, 2)], NOW);

    for number in 3..9 {
        suspects.merge(&[report(number, number)], NOW);
        assert!(suspects.reports().len() <= 4);
    }

    assert_eq!(suspects.count(fingerprint(1), NOW), 2);
    assert_eq!(suspects.count(fingerprint(8), NOW), 1);
    let late = NOW + SUSPECT_LIFETIME + Millis(2);
    assert_eq!(suspects.count(fingerprint(1), late), 1);
    assert_eq!(suspects.merge(&[report(1, 1)], late), []);
    assert_eq!(suspects.reports().len(), 3);
}
