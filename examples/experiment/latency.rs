//! Wait for a free slot under several routing policies, against an oracle that knows every queue.

mod model;
mod two_samples;
mod workload;

use fireflywind::route::pick::Member;

use self::model::{Dispatch, Outcome, Policy, PolicyInput, SLOTS, engine_index};
use self::workload::{DeploymentSize, as_f64, draw_requests};
use crate::report::{Report, Row};

/// Highest allowed ratio of the 95th percentile of the wait to that of the oracle.
const MAX_WAIT_RATIO: f64 = 1.3;

/// The simulated deployments.
const DEPLOYMENTS: [(&str, DeploymentSize); 3] = [
    (
        "6/12",
        DeploymentSize {
            gateways: 6,
            upstreams: 12,
            requests: 60_000,
        },
    ),
    (
        "6/20",
        DeploymentSize {
            gateways: 6,
            upstreams: 20,
            requests: 60_000,
        },
    ),
    // The requests are those of 15 s at the target size; queues become stable within a few service times of 2 s.
    (
        "410/1800",
        DeploymentSize {
            gateways: 410,
            upstreams: 1_800,
            requests: 120_000,
        },
    ),
];

/// The name of a figure and the function that computes it from a run.
type Figure = (&'static str, fn(&Outcome) -> f64);

/// The policy that the others are compared with.
const ORACLE: Policy = Policy {
    name: "oracle",
    choose: oracle,
    uses_replies: false,
};

/// Policies that are shown for comparison.
const BASELINES: [Policy; 3] = [
    Policy {
        name: "random",
        choose: random,
        uses_replies: false,
    },
    Policy {
        name: "least reported",
        choose: least_reported,
        uses_replies: false,
    },
    // The first version of `Pool::pick`.
    Policy {
        name: "two samples",
        choose: two_samples::choose,
        uses_replies: false,
    },
];

/// The policy that `MAX_WAIT_RATIO` applies to.
const POOL: Policy = Policy {
    name: "pool",
    choose: pool,
    uses_replies: true,
};

/// Runs all policies on all deployments.
pub fn run(seeds: &[u64]) -> Report {
    let mut report = Report::default();
    for (name, size) in DEPLOYMENTS {
        measure(name, size, seeds, &mut report);
    }
    report
}

fn measure(deployment: &str, size: DeploymentSize, seeds: &[u64], report: &mut Report) {
    let draws: Vec<_> = seeds
        .iter()
        .map(|seed| draw_requests(size, *seed))
        .collect();
    let run = |policy: Policy| -> Vec<Outcome> {
        draws
            .iter()
            .map(|requests| model::run(size, requests, policy))
            .collect()
    };
    let oracle = run(ORACLE);
    push_baselines(report, deployment, ORACLE.name, &oracle);
    for policy in BASELINES {
        let outcomes = run(policy);
        let figure = format!("{deployment} {}: p95 wait / oracle's", policy.name);
        let ratios = ratios(&outcomes, &oracle);
        report.rows.push(Row::baseline(figure, ratios));
        push_baselines(report, deployment, policy.name, &outcomes);
    }
    let outcomes = run(POOL);
    let figure = format!("{deployment} {}: p95 wait / oracle's", POOL.name);
    let ratios = ratios(&outcomes, &oracle);
    report
        .rows
        .push(Row::at_most(figure, ratios, MAX_WAIT_RATIO));
    push_baselines(report, deployment, POOL.name, &outcomes);
}

fn ratios(outcomes: &[Outcome], oracle: &[Outcome]) -> Vec<f64> {
    let pairs = outcomes.iter().zip(oracle);
    pairs
        .map(|(x, o)| x.quantile(950) / o.quantile(950))
        .collect()
}

fn push_baselines(report: &mut Report, deployment: &str, policy: &str, outcomes: &[Outcome]) {
    let figures: [Figure; 8] = [
        ("p95 wait, ms", |o| o.quantile(950)),
        ("mean wait, ms", Outcome::mean_wait),
        ("mean wait and prompt, ms", |o| {
            o.mean_wait() + o.per_request(o.prompt_ms)
        }),
        ("share to another data centre", |o| {
            o.per_request(as_f64(o.remote))
        }),
        ("messages per request", |o| {
            o.per_request(as_f64(usize::try_from(o.messages).unwrap_or(0)))
        }),
        ("share with a cached prefix", |o| {
            o.per_request(as_f64(o.cached))
        }),
        ("most sent to one upstream in 500 ms", |o| {
            f64::from(o.max_sent)
        }),
        ("most taken by one upstream in 500 ms", |o| {
            f64::from(o.max_accepted)
        }),
    ];
    for (name, figure) in figures {
        let values = outcomes.iter().map(figure).collect();
        report.rows.push(Row::baseline(
            format!("{deployment} {policy}: {name}"),
            values,
        ));
    }
}

/// Chooses by the load of every engine, with requests in transit: a free slot in the own data centre, else
/// any free slot, else the shortest queue.
fn oracle(input: &PolicyInput<'_>) -> Dispatch {
    let count = input.engines.len();
    let start = index_from_draw(input.draws[0], count);
    let best = (0..count).map(|n| (start + n) % count).min_by_key(|n| {
        let engine = &input.engines[*n];
        let is_remote = engine.data_centre != input.gateway.data_centre;
        let is_full = engine.assigned >= SLOTS;
        let queue = if is_full { engine.assigned } else { 0 };
        (queue, is_remote, engine.assigned)
    });
    Dispatch::Queue(best.unwrap_or(0))
}

fn random(input: &PolicyInput<'_>) -> Dispatch {
    let members = input.gateway.pool.members();
    Dispatch::Queue(member_engine(
        &members[index_from_draw(input.draws[0], members.len())],
    ))
}

fn least_reported(input: &PolicyInput<'_>) -> Dispatch {
    let member = input.gateway.pool.pick_by_scan(&[]);
    Dispatch::Queue(member_engine(member.expect("a pool has members")))
}

fn pool(input: &PolicyInput<'_>) -> Dispatch {
    let pool = &input.gateway.pool;
    let pick = pool.pick(input.now, input.draws, Some(input.req.prefix), input.tried);
    let pick = pick.expect("a pool has members");
    let engine = engine_index(&pick.upstream);
    if pick.wait {
        Dispatch::Queue(engine)
    } else {
        Dispatch::Try(engine)
    }
}

fn member_engine(member: &Member) -> usize {
    engine_index(&member.upstream)
}

fn index_from_draw(draw: u64, len: usize) -> usize {
    let len = u64::try_from(len).unwrap_or(u64::MAX);
    usize::try_from(draw % len).unwrap_or(0)
}
