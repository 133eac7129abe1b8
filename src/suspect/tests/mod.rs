//! Stateful property test with a request that crashes its upstreams, and tests of the report set.

mod containment;
mod evidence;
mod restored;

use super::*;
use crate::fixtures::check_property;
use crate::ids::RequestId;

const GATEWAYS: usize = 8;
const CRASHING_REQUEST: usize = 0;
const MAX_RESENDS: usize = 20;
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
enum RequestState {
    Queued,
    RunningAt(usize),
    Done,
    Refused,
}

/// Gateways and agents that serve one crashing request, number 0, among harmless ones.
#[derive(Debug)]
struct Cluster {
    agents: Vec<CrashAdmission>,
    gateways: Vec<Suspects>,
    /// State and next attempt of each request; harmless requests with equal numbers modulo 16 have equal bodies.
    requests: Vec<(RequestState, u32)>,
    incarnations: u128,
    crashes: usize,
    resends: usize,
}

impl Cluster {
    fn new(upstreams: usize) -> Self {
        let mut cluster = Self {
            agents: Vec::new(),
            gateways: (0..GATEWAYS).map(|_| Suspects::new(MAX_REPORTS)).collect(),
            requests: vec![(RequestState::Queued, 0)],
            incarnations: 0,
            crashes: 0,
            resends: 0,
        };
        cluster.agents = (0..upstreams).map(|_| cluster.new_agent()).collect();
        cluster
    }

    fn new_agent(&mut self) -> CrashAdmission {
        self.incarnations += 1;
        CrashAdmission::new(Incarnation(self.incarnations), Suspects::new(MAX_REPORTS))
    }

    fn body_fingerprint(n: usize) -> Fingerprint {
        fingerprint(if n == CRASHING_REQUEST { 99 } else { n % 16 })
    }

    fn send(&mut self, n: usize, agent: usize) {
        let (RequestState::Queued, attempt) = self.requests[n] else {
            return;
        };
        let state = match self.agents[agent].admit(run(n, attempt), Self::body_fingerprint(n), NOW)
        {
            AdmitDecision::Run => RequestState::RunningAt(agent),
            AdmitDecision::Wait => RequestState::Queued,
            AdmitDecision::Refuse { .. } => RequestState::Refused,
        };
        self.requests[n] = (state, attempt + 1);
    }

    fn finish(&mut self, n: usize) {
        let (RequestState::RunningAt(agent), attempt) = self.requests[n] else {
            return;
        };
        if n == CRASHING_REQUEST {
            return self.crash(agent);
        }
        self.agents[agent].finish(run(n, attempt - 1));
        self.requests[n].0 = RequestState::Done;
    }

    fn crash(&mut self, agent: usize) {
        let first = self.crashes == 0;
        self.crashes += 1;
        let crash = self.agents[agent].crash(NOW);
        let expected = if first {
            Blame::Version
        } else {
            Blame::Request(Self::body_fingerprint(CRASHING_REQUEST))
        };
        assert_eq!(crash.blame, expected);
        assert!(crash.ended.iter().any(|r| r.request.seq == 0));
        self.distribute(&crash.reports, self.incarnations as usize + self.crashes);
        self.requeue(agent);
    }

    /// Sends the reports to one gateway and to all agents, to some of them twice or in reverse order.
    fn distribute(&mut self, reports: &[CrashReport], draw: usize) {
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
        for (state, _) in &mut self.requests {
            if *state == RequestState::RunningAt(agent) {
                *state = RequestState::Queued;
            }
        }
    }

    /// Replaces an agent together with its VM; the new one gets the reports of the gateways that connect.
    fn replace(&mut self, agent: usize) {
        self.exchange_status();
        let mut replacement = self.new_agent();
        for gateway in &self.gateways {
            replacement.merge(gateway.reports(), NOW);
        }
        self.agents[agent] = replacement;
        self.requeue(agent);
    }

    /// Merges every agent's reports at every gateway, as heartbeats do.
    fn exchange_status(&mut self) {
        for gateway in &mut self.gateways {
            for agent in &self.agents {
                gateway.merge(agent.suspects().reports(), NOW);
            }
        }
    }

    fn resend_crashing_request(&mut self) {
        let (state, attempt) = self.requests[CRASHING_REQUEST];
        if state == RequestState::Refused && self.resends < MAX_RESENDS {
            self.resends += 1;
            self.requests[CRASHING_REQUEST] = (RequestState::Queued, attempt);
        }
    }

    fn apply(&mut self, (op, a, b): (u8, u8, u8)) {
        let n = usize::from(a) % self.requests.len();
        let agent = usize::from(b) % self.agents.len();
        match op % 16 {
            0..=2 => self.requests.push((RequestState::Queued, 0)),
            3..=8 => self.send(n, agent),
            9 => self.send(CRASHING_REQUEST, agent),
            10..=11 => self.finish(n),
            12 => self.finish(CRASHING_REQUEST),
            13 if a > 200 => self.replace(agent),
            14 => self.exchange_status(),
            _ => self.resend_crashing_request(),
        }
    }

    /// Runs all harmless requests to completion while the crashing one is sent again up to its limit.
    fn drain(&mut self) {
        for round in 0..MAX_RESENDS + 64 {
            for n in 0..self.requests.len() {
                self.send(n, (n + round) % self.agents.len());
            }
            for n in (0..self.requests.len()).rev() {
                self.finish(n);
            }
            self.resend_crashing_request();
        }
    }
}

// Guards against a third upstream that the same request crashes, against harmless requests in flight at the
// same time that are refused or wait forever, and against crashes by a known suspect that count against the
// version.
#[test]
fn a_request_crashes_two_upstreams_at_most() {
    type Ops = Vec<(u8, u8, u8)>;
    fn property(upstreams: u8, ops: Ops) -> bool {
        let mut cluster = Cluster::new(1 + usize::from(upstreams % 6));
        for op in ops {
            cluster.apply(op);
            assert!(
                cluster.crashes <= REFUSE_AT_CRASHES,
                "a third upstream crashed"
            );
        }
        cluster.drain();
        let harmless = &cluster.requests[1..];
        assert!(
            harmless
                .iter()
                .all(|(state, _)| *state == RequestState::Done)
        );
        cluster.crashes == REFUSE_AT_CRASHES
            && cluster.requests[CRASHING_REQUEST].0 == RequestState::Refused
    }
    check_property(1, property as fn(u8, Ops) -> bool);
}

// Guards against a set that depends on the order or repetition of reports.
#[test]
fn merging_is_a_union() {
    type Reports = Vec<(u8, u8, u8)>;
    fn reports(list: Reports) -> Vec<CrashReport> {
        let report = |(body, agent, number): (u8, u8, u8)| CrashReport {
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

        let added = one.merge(&left, NOW).len() + one.merge(&right, NOW).len();
        for part in [&right, &left, &right] {
            other.merge(part, NOW);
        }

        added == expected.len() && one.reports() == expected && other.reports() == expected
    }
    check_property(2, property as fn(Reports, Reports) -> bool);
}

// Guards against suspects that never expire, and against a flood of reports that evicts those of refused
// fingerprints.
#[test]
fn reports_expire_and_are_bounded() {
    let report = |body: u8, number: u8| CrashReport {
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
