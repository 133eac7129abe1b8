//! Latency and processor time of the path through a gateway and an agent, against direct calls of the engine
//! stand-in.
//!
//! The programs run as child processes, so that `/proc` shows the processor time of each alone. Each request
//! uses a new connection, and each token is sent separately, as by engines at the target size.

use std::time::{Duration, Instant};

use super::deployment::{Deployment, Process};
use super::load::{self, Load, Times};
use super::report::{Report, Row};

/// Agents of the deployment, each with an engine.
const AGENTS: usize = 2;

/// Time between two tokens, long enough that one read carries no more than one token of an answer.
const TOKEN_DELAY_MS: u64 = 20;

/// Repeats of the whole measurement, bounded so that it ends within two minutes.
const REPEATS: usize = 3;

/// Time without requests over which the idle processor time of the daemons is measured.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// Upstreams at the target size, less the two that run here.
const IDLE_UPSTREAMS: usize = 1_798;

/// Deadline of the request class, longer than any answer takes.
const DEADLINE_S: u32 = 60;

/// Loads of several answer lengths and rates, to which the processor time is fitted.
const LOADS: [Load; 6] = [
    Load {
        tokens: 4,
        rate: 20,
        requests: 40,
    },
    Load {
        tokens: 4,
        rate: 80,
        requests: 160,
    },
    Load {
        tokens: 32,
        rate: 20,
        requests: 40,
    },
    Load {
        tokens: 32,
        rate: 60,
        requests: 120,
    },
    Load {
        tokens: 128,
        rate: 8,
        requests: 16,
    },
    Load {
        tokens: 128,
        rate: 24,
        requests: 48,
    },
];

/// Load with which the cost of a request under the large sheet is measured.
const LARGE_SHEET_LOAD: Load = Load {
    tokens: 4,
    rate: 40,
    requests: 120,
};

/// Highest allowed share of a core for a gateway or an agent.
const MAX_CORE_SHARE: f64 = 0.25;

/// Requests and tokens per second of a gateway: 15,000 and 5.8 million, divided by 410 gateways.
const GATEWAY_LOAD: [f64; 2] = [37.0, 14_150.0];

/// Requests and tokens per second of an agent: 15,000 and 5.8 million, divided by 1,800 agents.
const AGENT_LOAD: [f64; 2] = [8.3, 3_222.0];

/// One measured period: its seconds, requests and tokens, and the processor time of a daemon in seconds.
type Period = ([f64; 3], f64);

/// Measurements of one repeat. Pairs of times are through the gateway and direct; pairs of memory are of the
/// gateway and an agent.
#[derive(Debug, Default)]
struct Figures {
    first_byte: [Vec<f64>; 2],
    total: [Vec<f64>; 2],
    gateway: Vec<Period>,
    agent: Vec<Period>,
    large_sheet_time: f64,
    resident_mb: [f64; 2],
}

/// Measures the relay path.
pub fn relay(seeds: &[u64]) -> Report {
    let repeats: Vec<_> = seeds.iter().take(REPEATS).map(|_| measure()).collect();
    let per_repeat = |of: &dyn Fn(&Figures) -> f64| repeats.iter().map(of).collect::<Vec<_>>();
    let added = |times: &[Vec<f64>; 2], permille| {
        let [routed, direct] = times;
        percentile(routed, permille) - percentile(direct, permille)
    };
    let gateway = |f: &Figures| fit(&f.gateway);
    let agent = |f: &Figures| fit(&f.agent);
    let mut rows = Vec::new();
    for (name, permille) in [("p50", 500), ("p99", 990)] {
        rows.extend([
            Row::baseline(
                format!("direct call: time to the first byte, {name}, ms"),
                per_repeat(&|f| percentile(&f.first_byte[1], permille)),
            ),
            Row::baseline(
                format!("added time to the first byte, {name}, ms"),
                per_repeat(&|f| added(&f.first_byte, permille)),
            ),
            Row::baseline(
                format!("added time of a whole answer, {name}, ms"),
                per_repeat(&|f| added(&f.total, permille)),
            ),
        ]);
    }
    for (name, slopes, load) in [
        (
            "gateway",
            &gateway as &dyn Fn(&Figures) -> [f64; 3],
            GATEWAY_LOAD,
        ),
        ("agent", &agent, AGENT_LOAD),
    ] {
        let micro = 1e6;
        rows.extend([
            Row::baseline(
                format!("{name}: constant of the fit, microseconds a second"),
                per_repeat(&|f| slopes(f)[0] * micro),
            ),
            Row::baseline(
                format!("{name}: processor time of a request, microseconds"),
                per_repeat(&|f| slopes(f)[1] * micro),
            ),
            Row::baseline(
                format!("{name}: processor time of a token, microseconds"),
                per_repeat(&|f| slopes(f)[2] * micro),
            ),
            Row::baseline(
                format!("{name}: requests a second per core, without tokens"),
                per_repeat(&|f| 1.0 / slopes(f)[1]),
            ),
            Row::at_most(
                format!(
                    "{name}: share of a core, {} requests and {} tokens a second",
                    load[0], load[1]
                ),
                per_repeat(&|f| core_share(slopes(f), load)),
                MAX_CORE_SHARE,
            ),
        ]);
    }
    // The first period is idle. The constant of the fit also contains the cost of waking a daemon up.
    let idle_rate = |(inputs, time): Period| time / inputs[0] * 1e6;
    rows.extend([
        Row::baseline(
            "gateway at rest: processor time, microseconds a second",
            per_repeat(&|f| idle_rate(f.gateway[0])),
        ),
        Row::baseline(
            "agent at rest: processor time, microseconds a second",
            per_repeat(&|f| idle_rate(f.agent[0])),
        ),
        Row::baseline(
            "gateway: added processor time of a request with 1,800 upstreams, microseconds",
            per_repeat(&|f| {
                (f.large_sheet_time - request_time(fit(&f.gateway), LARGE_SHEET_LOAD)) * 1e6
            }),
        ),
        Row::baseline(
            "gateway: resident memory after the load, MB",
            per_repeat(&|f| f.resident_mb[0]),
        ),
        Row::baseline(
            "agent: resident memory after the load, MB",
            per_repeat(&|f| f.resident_mb[1]),
        ),
    ]);
    Report { rows }
}

/// Returns the share of a core at a load of requests and tokens per second.
fn core_share(slopes: [f64; 3], [requests, tokens]: [f64; 2]) -> f64 {
    slopes[0] + slopes[1] * requests + slopes[2] * tokens
}

/// Returns the processor time of one request of a load, according to the fit.
fn request_time(slopes: [f64; 3], load: Load) -> f64 {
    slopes[1] + slopes[2] * f64::from(load.tokens)
}

fn measure() -> Figures {
    let deployment = Deployment::start(AGENTS, TOKEN_DELAY_MS);
    deployment.apply(0, DEADLINE_S);
    let mut figures = Figures::default();
    measure_period(&deployment, None, &mut figures);
    for load in LOADS {
        measure_period(&deployment, Some(load), &mut figures);
    }
    figures.resident_mb =
        [&deployment.gateway, &deployment.agents[0]].map(|p| p.resident_bytes() / 1e6);
    figures.large_sheet_time = measure_large_sheet(&deployment);
    figures
}

/// Measures one period with a load, or without requests.
fn measure_period(deployment: &Deployment, load: Option<Load>, figures: &mut Figures) {
    let before = [deployment.gateway.processor_time(), agents_time(deployment)];
    let start = Instant::now();
    let (requests, tokens) = match load {
        None => {
            std::thread::sleep(IDLE_TIME);
            (0.0, 0.0)
        }
        Some(load) => {
            let engines: Vec<_> = deployment.engines.iter().map(|e| e.addr).collect();
            let sending = load::run(load, deployment.gateway.addr, &engines);
            let (routed_times, direct_times) = actix_rt::System::new().block_on(sending);
            record_times(figures, &routed_times, &direct_times);
            let requests = f64::from(load.requests);
            (requests, requests * f64::from(load.tokens))
        }
    };
    let seconds = start.elapsed().as_secs_f64();
    let after = [deployment.gateway.processor_time(), agents_time(deployment)];
    figures
        .gateway
        .push(([seconds, requests, tokens], after[0] - before[0]));
    // The mean over the agents, each of which serves an equal part of the requests.
    let agent_share = 1.0 / f64::from(u32::try_from(AGENTS).expect("a few agents"));
    let inputs = [seconds, requests * agent_share, tokens * agent_share];
    figures
        .agent
        .push((inputs, (after[1] - before[1]) * agent_share));
}

fn agents_time(deployment: &Deployment) -> f64 {
    deployment.agents.iter().map(Process::processor_time).sum()
}

/// Adds the times of one period. The total times are relative to the time that the tokens of an answer take.
fn record_times(figures: &mut Figures, routed: &[Times], direct: &[Times]) {
    // The median of the direct calls approximates the time that the tokens take.
    let token_time = percentile(&direct.iter().map(|t| t.total).collect::<Vec<_>>(), 500);
    for (path, times) in [routed, direct].into_iter().enumerate() {
        figures.first_byte[path].extend(times.iter().map(|t| t.first_byte));
        figures.total[path].extend(times.iter().map(|t| t.total - token_time));
    }
}

/// Returns the processor time of the gateway per request under a sheet of 1,800 upstreams.
fn measure_large_sheet(deployment: &Deployment) -> f64 {
    deployment.apply(IDLE_UPSTREAMS, DEADLINE_S);
    let time = |load: Option<Load>| {
        let (before, start) = (deployment.gateway.processor_time(), Instant::now());
        match load {
            None => std::thread::sleep(IDLE_TIME),
            Some(load) => {
                let sending = load::run(load, deployment.gateway.addr, &[]);
                actix_rt::System::new().block_on(sending);
            }
        }
        let seconds = start.elapsed().as_secs_f64();
        (deployment.gateway.processor_time() - before, seconds)
    };
    // The idle time includes the connection attempts to the upstreams that do not answer.
    let (idle, idle_seconds) = time(None);
    let (busy, seconds) = time(Some(LARGE_SHEET_LOAD));
    (busy - idle / idle_seconds * seconds) / f64::from(LARGE_SHEET_LOAD.requests)
}

fn percentile(values: &[f64], permille: usize) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (sorted.len() * permille / 1_000).min(sorted.len().saturating_sub(1));
    sorted.get(at).copied().unwrap_or(0.0)
}

/// Fits the processor time to seconds, requests and tokens by least squares; returns the cost of each.
fn fit(periods: &[Period]) -> [f64; 3] {
    let mut rows = [[0.0; 4]; 3];
    for (inputs, time) in periods {
        for (row, left) in rows.iter_mut().zip(inputs) {
            for (cell, right) in row.iter_mut().zip(inputs.iter().chain([time])) {
                *cell += left * right;
            }
        }
    }
    solve(rows)
}

/// Solves three linear equations by Gauss-Jordan elimination; the last column is the right-hand side.
fn solve(mut rows: [[f64; 4]; 3]) -> [f64; 3] {
    for column in 0..3 {
        let pivot = rows[column];
        for (other, row) in rows.iter_mut().enumerate() {
            if other != column {
                let factor = row[column] / pivot[column];
                for (cell, value) in row.iter_mut().zip(pivot) {
                    *cell -= factor * value;
                }
            }
        }
    }
    [0, 1, 2].map(|column| rows[column][3] / rows[column][column])
}
