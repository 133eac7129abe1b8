//! Upstreams that one request takes down as it is sent again, with containment and without.

use fireflywind::ids::{Incarnation, RequestId};
use fireflywind::suspect::{
    AdmitDecision, CrashAdmission, CrashReport, Fingerprint, MAX_REPORTS, REFUSE_AT, Run, Suspects,
};
use fireflywind::units::Millis;

use crate::report::{Report, Row};
use crate::rng::Rng;

const GATEWAYS: usize = 8;

/// Numbers of agents: a small site, and the members of a gateway's subset.
const AGENTS: [usize; 2] = [4, 24];

/// How often the crashing request is sent.
const SENDS: usize = 20;

/// Innocent requests of a batch, for each agent.
const INNOCENT_PER_AGENT: usize = 4;

/// Time between two sends of the crashing request.
const INTERVAL: Millis = Millis(1_000);

/// Unix time at the start.
const START: Millis = Millis(10_000_000);

/// Incarnation of the first gateway, above those of all agents.
const FIRST_GATEWAY: u128 = 1_000_000;

/// Runs the experiment.
pub fn run(seeds: &[u64]) -> Report {
    let mut report = Report::default();
    for agents in AGENTS {
        let measure = |contained| -> Vec<Measured> {
            let runs = seeds.iter().map(|seed| Site::new(agents, contained, *seed));
            runs.map(Site::measure).collect()
        };
        let (with, without) = (measure(true), measure(false));
        let column = |measured: &[Measured], value: fn(&Measured) -> u32| -> Vec<f64> {
            measured.iter().map(|m| f64::from(value(m))).collect()
        };
        let bound = f64::from(u32::try_from(REFUSE_AT).unwrap_or(u32::MAX));
        report.rows.push(Row::at_most(
            format!("{agents} agents: upstreams taken down"),
            column(&with, |m| m.down),
            bound,
        ));
        let rows: [(&str, Vec<f64>); 5] = [
            ("innocent requests refused", column(&with, |m| m.refused)),
            ("innocent runs cut off", column(&with, |m| m.cut_off)),
            ("innocent requests sent", column(&with, |m| m.innocent)),
            (
                "no containment: upstreams taken down",
                column(&without, |m| m.down),
            ),
            (
                "no containment: innocent runs cut off",
                column(&without, |m| m.cut_off),
            ),
        ];
        for (figure, values) in rows {
            let figure = format!("{agents} agents: {figure}");
            report.rows.push(Row::baseline(figure, values));
        }
    }
    report
}

/// Counts of one run.
#[derive(Debug, Default)]
struct Measured {
    /// Crashes of upstreams.
    down: u32,
    /// Innocent requests that were sent.
    innocent: u32,
    /// Innocent requests that were refused, so that their callers got no result.
    refused: u32,
    /// Runs of innocent requests that a crash ended; each is sent again.
    cut_off: u32,
}

/// A request that a gateway has to place.
#[derive(Debug, Clone, Copy)]
struct Request {
    id: RequestId,
    fingerprint: Fingerprint,
    attempt: u32,
    crashes: bool,
}

impl Request {
    const fn run(self) -> Run {
        Run {
            request: self.id,
            attempt: self.attempt,
        }
    }
}

/// Gateways and agents; one request crashes each upstream that runs it.
#[derive(Debug)]
struct Site {
    rng: Rng,
    contained: bool,
    gateways: Vec<Suspects>,
    agents: Vec<CrashAdmission>,
    now: Millis,
    seq: u64,
    measured: Measured,
}

impl Site {
    fn new(agents: usize, contained: bool, seed: u64) -> Self {
        let suspects = || Suspects::new(MAX_REPORTS);
        let agent = |n: usize| CrashAdmission::new(Incarnation(n as u128 + 1), suspects());
        Self {
            rng: Rng::new(seed),
            contained,
            gateways: (0..GATEWAYS).map(|_| suspects()).collect(),
            agents: (0..agents).map(agent).collect(),
            now: START,
            seq: 0,
            measured: Measured::default(),
        }
    }

    fn measure(mut self) -> Measured {
        let crashing = Fingerprint::of(&"shop".into(), b"crash");
        for _ in 0..SENDS {
            self.now = self.now + INTERVAL;
            let mut batch = vec![self.request(crashing, true)];
            for _ in 0..INNOCENT_PER_AGENT * self.agents.len() {
                let body = self.rng.next_u64().to_be_bytes();
                let fingerprint = Fingerprint::of(&"school".into(), &body);
                batch.push(self.request(fingerprint, false));
                self.measured.innocent += 1;
            }
            self.serve(batch);
        }
        self.measured
    }

    fn request(&mut self, fingerprint: Fingerprint, crashes: bool) -> Request {
        self.seq += 1;
        let gateway = self.rng.below(GATEWAYS);
        let id = RequestId {
            gateway: Incarnation(FIRST_GATEWAY + gateway as u128),
            seq: self.seq,
        };
        Request {
            id,
            fingerprint,
            attempt: 1,
            crashes,
        }
    }

    /// Places all requests until each is done or refused; a run that a crash ends is placed again, but the
    /// crashing request waits for its caller.
    fn serve(&mut self, mut queue: Vec<Request>) {
        while !queue.is_empty() {
            self.shuffle(&mut queue);
            let mut running = vec![Vec::new(); self.agents.len()];
            let mut next = Vec::new();
            for request in queue {
                let agent = self.rng.below(self.agents.len());
                match self.agents[agent].admit(request.run(), request.fingerprint, self.now) {
                    AdmitDecision::Run => running[agent].push(request),
                    AdmitDecision::Wait => next.push(request),
                    AdmitDecision::Refuse { .. } if request.crashes => (),
                    AdmitDecision::Refuse { .. } => self.measured.refused += 1,
                }
            }
            for (agent, requests) in running.into_iter().enumerate() {
                next.extend(self.end(agent, requests));
            }
            queue = next;
        }
    }

    /// Ends the runs of one agent and returns those that must be placed again.
    fn end(&mut self, agent: usize, requests: Vec<Request>) -> Vec<Request> {
        let Some(crashing) = requests.iter().position(|r| r.crashes) else {
            for request in requests {
                self.agents[agent].finish(request.run());
            }
            return Vec::new();
        };
        self.measured.down += 1;
        let gateway = requests[crashing].id.gateway.0 - FIRST_GATEWAY;
        if self.contained {
            let reports = self.agents[agent].crash(self.now).reports;
            self.spread(usize::try_from(gateway).unwrap_or(0), &reports);
        } else {
            // An agent that keeps no reports forgets its runs.
            for request in &requests {
                self.agents[agent].finish(request.run());
            }
        }
        let mut cut_off = requests;
        cut_off.retain(|r| !r.crashes);
        for request in &mut cut_off {
            request.attempt += 1;
            self.measured.cut_off += 1;
        }
        cut_off
    }

    /// Gives the reports to the gateway of the crashing request, and by it to all agents before its caller is
    /// answered; another gateway gets them from an agent's heartbeat.
    fn spread(&mut self, gateway: usize, reports: &[CrashReport]) {
        self.gateways[gateway].merge(reports, self.now);
        let known = self.gateways[gateway].reports().to_vec();
        for agent in &mut self.agents {
            agent.merge(&known, self.now);
        }
        let from = self.rng.below(self.agents.len());
        let reports = self.agents[from].suspects().reports().to_vec();
        let other = self.rng.below(GATEWAYS);
        self.gateways[other].merge(&reports, self.now);
    }

    fn shuffle(&mut self, queue: &mut [Request]) {
        for at in (1..queue.len()).rev() {
            queue.swap(at, self.rng.below(at + 1));
        }
    }
}
