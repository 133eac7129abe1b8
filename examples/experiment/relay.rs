//! Latency and processor time of the path through a gateway and an agent, against direct calls of the engine
//! stand-in.
//!
//! The programs run as child processes, so that `/proc` shows the processor time of each alone. Each request
//! uses a new connection, and each token is sent separately, as by engines at the target size.

use std::time::{Duration, Instant};

use super::load::{self, Load, Times};
use super::report::{Report, Row};
use super::site::{Process, Site};

/// Agents of the deployment, each with an engine.
const AGENTS: usize = 2;

/// Time between two tokens, long enough that one read carries no more than one token of an answer.
const TOKEN_DELAY_MS: u64 = 20;

/// Repeats of the whole measurement, bounded so that it ends within two minutes.
const REPEATS: usize = 3;

/// Time without requests over which the idle processor time of the daemons is measured.
const REST: Duration = Duration::from_secs(2);

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
const LARGE: Load = Load {
    tokens: 4,
    rate: 40,
    requests: 120,
};

/// Highest allowed share of a core for a gateway or an agent.
const SHARE: f64 = 0.25;

/// Requests and tokens per second of a gateway: 15,000 and 5.8 million, divided by 410 gateways.
const GATEWAY_LOAD: [f64; 2] = [37.0, 14_150.0];

/// Requests and tokens per second of an agent: 15,000 and 5.8 million, divided by 1,800 agents.
const AGENT_LOAD: [f64; 2] = [8.3, 3_222.0];

/// One measured period: its seconds, requests and tokens, and the processor time of a daemon in seconds.
type Span = ([f64; 3], f64);

/// Measurements of one repeat. Pairs of times are through the gateway and direct; pairs of memory are of the
/// gateway and an agent.
#[derive(Debug, Default)]
struct Figures {
    first_byte: [Vec<f64>; 2],
    whole: [Vec<f64>; 2],
    gateway: Vec<Span>,
    agent: Vec<Span>,
    large: f64,
    resident: [f64; 2],
}

/// Measures the relay path.
pub fn relay(seeds: &[u64]) -> Report {
    let repeats: Vec<_> = seeds.iter().take(REPEATS).map(|_| measure()).collect();
    let each = |of: &dyn Fn(&Figures) -> f64| repeats.iter().map(of).collect::<Vec<_>>();
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
                each(&|f| percentile(&f.first_byte[1], permille)),
            ),
            Row::baseline(
                format!("added time to the first byte, {name}, ms"),
                each(&|f| added(&f.first_byte, permille)),
            ),
            Row::baseline(
                format!("added time of a whole answer, {name}, ms"),
                each(&|f| added(&f.whole, permille)),
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
                each(&|f| slopes(f)[0] * micro),
            ),
            Row::baseline(
                format!("{name}: processor time of a request, microseconds"),
                each(&|f| slopes(f)[1] * micro),
            ),
            Row::baseline(
                format!("{name}: processor time of a token, microseconds"),
                each(&|f| slopes(f)[2] * micro),
            ),
            Row::baseline(
                format!("{name}: requests a second per core, without tokens"),
                each(&|f| 1.0 / slopes(f)[1]),
            ),
            Row::at_most(
                format!(
                    "{name}: share of a core, {} requests and {} tokens a second",
                    load[0], load[1]
                ),
                each(&|f| share(slopes(f), load)),
                SHARE,
            ),
        ]);
    }
    // The first period is idle. The constant of the fit also contains the cost of waking a daemon up.
    let rest = |(inputs, time): Span| time / inputs[0] * 1e6;
    rows.extend([
        Row::baseline(
            "gateway at rest: processor time, microseconds a second",
            each(&|f| rest(f.gateway[0])),
        ),
        Row::baseline(
            "agent at rest: processor time, microseconds a second",
            each(&|f| rest(f.agent[0])),
        ),
        Row::baseline(
            "gateway: added processor time of a request with 1,800 upstreams, microseconds",
            each(&|f| (f.large - expected(fit(&f.gateway), LARGE)) * 1e6),
        ),
        Row::baseline(
            "gateway: resident memory after the load, MB",
            each(&|f| f.resident[0]),
        ),
        Row::baseline(
            "agent: resident memory after the load, MB",
            each(&|f| f.resident[1]),
        ),
    ]);
    Report { rows }
}

/// Returns the share of a core at a load of requests and tokens per second.
fn share(slopes: [f64; 3], [requests, tokens]: [f64; 2]) -> f64 {
    slopes[0] + slopes[1] * requests + slopes[2] * tokens
}

/// Returns the processor time of one request of a load, according to the fit.
fn expected(slopes: [f64; 3], load: Load) -> f64 {
    slopes[1] + slopes[2] * f64::from(load.tokens)
}

fn measure() -> Figures {
    let site = Site::start(AGENTS, TOKEN_DELAY_MS);
    site.apply(0, DEADLINE_S);
    let mut figures = Figures::default();
    span(&site, None, &mut figures);
    for load in LOADS {
        span(&site, Some(load), &mut figures);
    }
    figures.resident = [&site.gateway, &site.agents[0]].map(|p| p.resident_bytes() / 1e6);
    figures.large = large(&site);
    figures
}

/// Measures one period with a load, or without requests.
fn span(site: &Site, load: Option<Load>, figures: &mut Figures) {
    let before = [site.gateway.processor_time(), agents_time(site)];
    let start = Instant::now();
    let (requests, tokens) = match load {
        None => {
            std::thread::sleep(REST);
            (0.0, 0.0)
        }
        Some(load) => {
            let direct: Vec<_> = site.engines.iter().map(|e| e.addr).collect();
            let sending = load::run(load, site.gateway.addr, &direct);
            let (routed, plain) = actix_rt::System::new().block_on(sending);
            note(figures, &routed, &plain);
            let requests = f64::from(load.requests);
            (requests, requests * f64::from(load.tokens))
        }
    };
    let seconds = start.elapsed().as_secs_f64();
    let after = [site.gateway.processor_time(), agents_time(site)];
    figures
        .gateway
        .push(([seconds, requests, tokens], after[0] - before[0]));
    // The mean over the agents, each of which serves an equal part of the requests.
    let share = 1.0 / f64::from(u32::try_from(AGENTS).expect("a few agents"));
    let inputs = [seconds, requests * share, tokens * share];
    figures.agent.push((inputs, (after[1] - before[1]) * share));
}

fn agents_time(site: &Site) -> f64 {
    site.agents.iter().map(Process::processor_time).sum()
}

/// Adds the times of one period. The total times are relative to the time that the tokens of an answer take.
fn note(figures: &mut Figures, routed: &[Times], plain: &[Times]) {
    // The median of the direct calls approximates the time that the tokens take.
    let base = percentile(&plain.iter().map(|t| t.whole).collect::<Vec<_>>(), 500);
    for (at, times) in [routed, plain].into_iter().enumerate() {
        figures.first_byte[at].extend(times.iter().map(|t| t.first_byte));
        figures.whole[at].extend(times.iter().map(|t| t.whole - base));
    }
}

/// Returns the processor time of the gateway per request under a sheet of 1,800 upstreams.
fn large(site: &Site) -> f64 {
    site.apply(IDLE_UPSTREAMS, DEADLINE_S);
    let time = |load: Option<Load>| {
        let (before, start) = (site.gateway.processor_time(), Instant::now());
        match load {
            None => std::thread::sleep(REST),
            Some(load) => {
                let sending = load::run(load, site.gateway.addr, &[]);
                actix_rt::System::new().block_on(sending);
            }
        }
        let seconds = start.elapsed().as_secs_f64();
        (site.gateway.processor_time() - before, seconds)
    };
    // The idle time includes the connection attempts to the upstreams that do not answer.
    let (rest, rest_seconds) = time(None);
    let (busy, seconds) = time(Some(LARGE));
    (busy - rest / rest_seconds * seconds) / f64::from(LARGE.requests)
}

fn percentile(values: &[f64], permille: usize) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (sorted.len() * permille / 1_000).min(sorted.len().saturating_sub(1));
    sorted.get(at).copied().unwrap_or(0.0)
}

/// Fits the processor time to seconds, requests and tokens by least squares; returns the cost of each.
fn fit(spans: &[Span]) -> [f64; 3] {
    let mut rows = [[0.0; 4]; 3];
    for (inputs, time) in spans {
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
    for at in 0..3 {
        let pivot = rows[at];
        for (other, row) in rows.iter_mut().enumerate() {
            if other != at {
                let factor = row[at] / pivot[at];
                for (cell, value) in row.iter_mut().zip(pivot) {
                    *cell -= factor * value;
                }
            }
        }
    }
    [0, 1, 2].map(|at| rows[at][3] / rows[at][at])
}
