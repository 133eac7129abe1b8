//! Wait for a free slot under several routing policies, against an oracle that knows every queue.

mod draws;
mod former;
mod model;

use fireflywind::route::pick::Member;

use self::draws::{Site, as_f64, draw_requests};
use self::model::{Outcome, Rule, SLOTS, Step, View, engine_of};
use crate::report::{Report, Row};

/// Highest allowed ratio of the 95th percentile of the wait to that of the oracle.
const WAIT_BOUND: f64 = 1.3;

/// The simulated deployments.
const SITES: [(&str, Site); 3] = [
    (
        "6/12",
        Site {
            gateways: 6,
            upstreams: 12,
            requests: 60_000,
        },
    ),
    (
        "6/20",
        Site {
            gateways: 6,
            upstreams: 20,
            requests: 60_000,
        },
    ),
    // The requests are those of 15 s at the target size; queues become stable within a few service times of 2 s.
    (
        "410/1800",
        Site {
            gateways: 410,
            upstreams: 1_800,
            requests: 120_000,
        },
    ),
];

/// The name of a figure and the function that computes it from a run.
type Figure = (&'static str, fn(&Outcome) -> f64);

/// The policy that the others are compared with.
const ORACLE: Rule = Rule {
    name: "oracle",
    policy: oracle,
    takes_replies: false,
};

/// Policies that are shown for comparison.
const BASELINES: [Rule; 3] = [
    Rule {
        name: "random",
        policy: random,
        takes_replies: false,
    },
    Rule {
        name: "least reported",
        policy: least_reported,
        takes_replies: false,
    },
    // The first version of `Pool::pick`.
    Rule {
        name: "two samples",
        policy: former::two_samples,
        takes_replies: false,
    },
];

/// The policy that `WAIT_BOUND` applies to.
const POOL: Rule = Rule {
    name: "pool",
    policy: pool,
    takes_replies: true,
};

/// Runs all policies on all deployments.
pub fn run(seeds: &[u64]) -> Report {
    let mut report = Report::default();
    for (name, site) in SITES {
        measure(name, site, seeds, &mut report);
    }
    report
}

fn measure(site_name: &str, site: Site, seeds: &[u64], report: &mut Report) {
    let draws: Vec<_> = seeds
        .iter()
        .map(|seed| draw_requests(site, *seed))
        .collect();
    let run = |rule: Rule| -> Vec<Outcome> {
        draws
            .iter()
            .map(|requests| model::run(site, requests, rule))
            .collect()
    };
    let oracle = run(ORACLE);
    push_details(report, site_name, ORACLE.name, &oracle);
    for rule in BASELINES {
        let outcomes = run(rule);
        let figure = format!("{site_name} {}: p95 wait / oracle's", rule.name);
        let ratios = ratios(&outcomes, &oracle);
        report.rows.push(Row::baseline(figure, ratios));
        push_details(report, site_name, rule.name, &outcomes);
    }
    let outcomes = run(POOL);
    let figure = format!("{site_name} {}: p95 wait / oracle's", POOL.name);
    let ratios = ratios(&outcomes, &oracle);
    report.rows.push(Row::at_most(figure, ratios, WAIT_BOUND));
    push_details(report, site_name, POOL.name, &outcomes);
}

fn ratios(outcomes: &[Outcome], oracle: &[Outcome]) -> Vec<f64> {
    let pairs = outcomes.iter().zip(oracle);
    pairs
        .map(|(x, o)| x.quantile(950) / o.quantile(950))
        .collect()
}

fn push_details(report: &mut Report, site: &str, rule: &str, outcomes: &[Outcome]) {
    let figures: [Figure; 8] = [
        ("p95 wait, ms", |o| o.quantile(950)),
        ("mean wait, ms", Outcome::mean),
        ("mean wait and prompt, ms", |o| {
            o.mean() + o.per_request(o.prompt_ms)
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
        ("most sent to one upstream in 500 ms", |o| f64::from(o.sent)),
        ("most taken by one upstream in 500 ms", |o| {
            f64::from(o.taken)
        }),
    ];
    for (name, figure) in figures {
        let values = outcomes.iter().map(figure).collect();
        report
            .rows
            .push(Row::baseline(format!("{site} {rule}: {name}"), values));
    }
}

/// Chooses by the load of every engine, with requests in transit: a free slot in the own data centre, else
/// any free slot, else the shortest queue.
fn oracle(view: &View<'_>) -> Step {
    let count = view.engines.len();
    let start = index(view.draws[0], count);
    let best = (0..count).map(|n| (start + n) % count).min_by_key(|n| {
        let engine = &view.engines[*n];
        let is_remote = engine.data_centre != view.gateway.data_centre;
        let is_full = engine.assigned >= SLOTS;
        let queue = if is_full { engine.assigned } else { 0 };
        (queue, is_remote, engine.assigned)
    });
    Step::Queue(best.unwrap_or(0))
}

fn random(view: &View<'_>) -> Step {
    let members = view.gateway.pool.members();
    Step::Queue(engine_at(&members[index(view.draws[0], members.len())]))
}

fn least_reported(view: &View<'_>) -> Step {
    let member = view.gateway.pool.pick_by_scan(&[]);
    Step::Queue(engine_at(member.expect("a pool has members")))
}

fn pool(view: &View<'_>) -> Step {
    let pool = &view.gateway.pool;
    let pick = pool.pick(view.now, view.draws, Some(view.req.prefix), view.tried);
    let pick = pick.expect("a pool has members");
    let engine = engine_of(&pick.upstream);
    if pick.wait {
        Step::Queue(engine)
    } else {
        Step::Try(engine)
    }
}

fn engine_at(member: &Member) -> usize {
    engine_of(&member.upstream)
}

fn index(draw: u64, len: usize) -> usize {
    let len = u64::try_from(len).unwrap_or(u64::MAX);
    usize::try_from(draw % len).unwrap_or(0)
}
