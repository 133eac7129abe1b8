//! Number of upstreams that a repeatedly sent request crashes, with and without containment.

use fireflywind::ids::{Incarnation, RequestId};
use fireflywind::suspect::{
    AdmitDecision, CrashAdmission, CrashReport, Fingerprint, MAX_REPORTS, REFUSE_AT_CRASHES, Run,
    Suspects,
};
use fireflywind::units::Millis;

use crate::report::{Report, Row};
use crate::rng::Rng;

const GATEWAYS: usize = 8;

/// Numbers of agents: that of a small deployment, and that of the subset that a gateway uses in a large one.
const AGENTS: [usize; 2] = [4, 24];

/// Number of times that the caller sends the crashing request.
const CRASHING_SENDS: usize = 20;

/// Innocent requests per agent in a batch.
const INNOCENT_PER_AGENT: usize = 4;

/// Interval of the sends of the crashing request.
const INTERVAL: Millis = Millis(1_000);

/// Unix time at which the simulation starts.
const START: Millis = Millis(10_000_000);

/// Incarnation of the first gateway, higher than those of all agents.
const FIRST_GATEWAY_INCARNATION: u128 = 1_000_000;

/// Runs the experiment.
pub fn run(seeds: &[u64]) -> Report {
    let mut report = Report::default();
    for agents in AGENTS {
        let measure = |has_containment| -> Vec<Counts> {
            let runs = seeds
                .iter()
                .map(|seed| Simulation::new(agents, has_containment, *seed));
            runs.map(Simulation::measure).collect()
        };
        let (with, without) = (measure(true), measure(false));
        let column = |runs: &[Counts], value: fn(&Counts) -> u32| -> Vec<f64> {
            runs.iter().map(|m| f64::from(value(m))).collect()
        };
        let bound = f64::from(u32::try_from(REFUSE_AT_CRASHES).unwrap_or(u32::MAX));
        report.rows.push(Row::at_most(
            format!("{agents} agents: upstreams taken down"),
            column(&with, |m| m.upstream_crashes),
            bound,
        ));
        let rows: [(&str, Vec<f64>); 5] = [
            ("innocent requests refused", column(&with, |m| m.refused)),
            (
                "innocent runs cut off",
                column(&with, |m| m.interrupted_runs),
            ),
            ("innocent requests sent", column(&with, |m| m.innocent)),
            (
                "no containment: upstreams taken down",
                column(&without, |m| m.upstream_crashes),
            ),
            (
                "no containment: innocent runs cut off",
                column(&without, |m| m.interrupted_runs),
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
struct Counts {
    /// Crashes of upstreams.
    upstream_crashes: u32,
    /// Innocent requests that were sent.
    innocent: u32,
    /// Innocent requests that were refused, so that their callers got no answer.
    refused: u32,
    /// Runs of innocent requests that a crash interrupted; each request is sent again.
    interrupted_runs: u32,
}

/// A request that a gateway has to assign to an agent.
#[derive(Debug, Clone, Copy)]
struct Request {
    id: RequestId,
    fingerprint: Fingerprint,
    attempt: u32,
    crashes_upstream: bool,
}

impl Request {
    const fn run(self) -> Run {
        Run {
            request: self.id,
            attempt: self.attempt,
        }
    }
}

/// Simulated gateways and agents; one request crashes each upstream that runs it.
#[derive(Debug)]
struct Simulation {
    rng: Rng,
    has_containment: bool,
    gateways: Vec<Suspects>,
    agents: Vec<CrashAdmission>,
    now: Millis,
    seq: u64,
    counts: Counts,
}

impl Simulation {
    fn new(agents: usize, has_containment: bool, seed: u64) -> Self {
        let suspects = || Suspects::new(MAX_REPORTS);
        let agent = |n: usize| CrashAdmission::new(Incarnation(n as u128 + 1), suspects());
        Self {
            rng: Rng::new(seed),
            has_containment,
            gateways: (0..GATEWAYS).map(|_| suspects()).collect(),
            agents: (0..agents).map(agent).collect(),
            now: START,
            seq: 0,
            counts: Counts::default(),
        }
    }

    fn measure(mut self) -> Counts {
        let crashing = Fingerprint::of(&"shop".into(), b"crash");
        for _ in 0..CRASHING_SENDS {
            self.now = self.now + INTERVAL;
            let mut batch = vec![self.request(crashing, true)];
            for _ in 0..INNOCENT_PER_AGENT * self.agents.len() {
                let body = self.rng.next_u64().to_be_bytes();
                let fingerprint = Fingerprint::of(&"school".into(), &body);
                batch.push(self.request(fingerprint, false));
                self.counts.innocent += 1;
            }
            self.serve(batch);
        }
        self.counts
    }

    fn request(&mut self, fingerprint: Fingerprint, crashes_upstream: bool) -> Request {
        self.seq += 1;
        let gateway = self.rng.below(GATEWAYS);
        let id = RequestId {
            gateway: Incarnation(FIRST_GATEWAY_INCARNATION + gateway as u128),
            seq: self.seq,
        };
        Request {
            id,
            fingerprint,
            attempt: 1,
            crashes_upstream,
        }
    }

    /// Assigns requests to agents until each has finished or been refused. A request whose run is interrupted by
    /// a crash is assigned again, but the crashing request is only sent again by its caller.
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
                    AdmitDecision::Refuse { .. } if request.crashes_upstream => (),
                    AdmitDecision::Refuse { .. } => self.counts.refused += 1,
                }
            }
            for (agent, requests) in running.into_iter().enumerate() {
                next.extend(self.end_runs(agent, requests));
            }
            queue = next;
        }
    }

    /// Ends the runs of one agent and returns the requests that must be assigned again.
    fn end_runs(&mut self, agent: usize, requests: Vec<Request>) -> Vec<Request> {
        let Some(crashing) = requests.iter().position(|r| r.crashes_upstream) else {
            for request in requests {
                self.agents[agent].finish(request.run());
            }
            return Vec::new();
        };
        self.counts.upstream_crashes += 1;
        let gateway = requests[crashing].id.gateway.0 - FIRST_GATEWAY_INCARNATION;
        if self.has_containment {
            let reports = self.agents[agent].crash(self.now).reports;
            self.distribute_reports(usize::try_from(gateway).unwrap_or(0), &reports);
        } else {
            // An agent without containment discards its runs and reports none.
            for request in &requests {
                self.agents[agent].finish(request.run());
            }
        }
        let mut interrupted = requests;
        interrupted.retain(|r| !r.crashes_upstream);
        for request in &mut interrupted {
            request.attempt += 1;
            self.counts.interrupted_runs += 1;
        }
        interrupted
    }

    /// Passes the reports to the gateway of the crashing request, which passes them to all agents before it
    /// answers its caller. Another gateway gets the reports from the heartbeat of an agent.
    fn distribute_reports(&mut self, gateway: usize, reports: &[CrashReport]) {
        self.gateways[gateway].merge(reports, self.now);
        let merged = self.gateways[gateway].reports().to_vec();
        for agent in &mut self.agents {
            agent.merge(&merged, self.now);
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
