//! Number of requests that a new version serves after it degrades, with the roll-out guard and without it.
//!
//! One tick is a second. Each gateway counts its own requests and reports the counts to the lease holder,
//! which receives them after a lag and merges them. The share that it decides on reaches the gateways after
//! another lag. Without the guard the share is fixed, and an operator stops the roll-out 15 minutes after the
//! version degrades.

use std::collections::VecDeque;

use fireflywind::ids::{Incarnation, VersionRef};
use fireflywind::rollout::{Counts, Evidence, Observation, Phase, RolloutGuard};
use fireflywind::units::{Millis, Permille};

use crate::report::{Report, Row};
use crate::rng::Rng;

/// Share of the requests that the new version gets without the guard.
const FIXED_SHARE: f64 = 0.1;
/// Time after which an operator stops the roll-out without the guard.
const OPERATOR_RESPONSE_S: f64 = 900.0;
/// Highest allowed ratio of the bad requests with the guard to those without it.
const MAX_EXPOSURE_RATIO: f64 = 0.1;
/// Highest allowed share of roll-outs of a good version that are stopped.
const MAX_FALSE_STOP_SHARE: f64 = 0.001;
/// Number of roll-outs of a good version, over all seeds.
const GOOD_ROLLOUTS: u32 = 3_500;
/// Duration of a roll-out of a good version. At 50 requests per second the last step is reached after about 500 s.
const GOOD_ROLLOUT_S: u64 = 900;
/// Longest time for which a degraded version is simulated.
const MAX_DEGRADED_S: usize = 7_200;
/// Unix time at which the simulation starts.
const START_S: u64 = 1_000_000;

/// Share of requests that fail, and share of ratings that are low.
#[derive(Clone, Copy)]
struct Rates {
    errors: f64,
    low_ratings: f64,
}

const GOOD: Rates = Rates {
    errors: 0.01,
    low_ratings: 0.1,
};
const FAILING: Rates = Rates {
    errors: 0.2,
    ..GOOD
};
const LOW_RATED: Rates = Rates {
    low_ratings: 0.4,
    ..GOOD
};

const FEW_ERRORS: Rates = Rates {
    errors: 0.001,
    low_ratings: 0.02,
};
const MANY_LOW_RATINGS: Rates = Rates {
    low_ratings: 0.3,
    ..GOOD
};
const INCIDENT: Rates = Rates {
    errors: 0.1,
    low_ratings: 0.25,
};

/// The size of a deployment.
#[derive(Clone, Copy)]
struct Deployment {
    gateways: usize,
    /// Requests per second for the stable and the new version together, over all gateways.
    requests_per_s: f64,
    /// Seconds that counts take to the lease holder, and its decision to the gateways.
    lag_s: usize,
    /// Times at which the version degrades, one case each.
    onsets: [FailureOnset; 3],
}

/// A time of a roll-out at which the version degrades.
#[derive(Clone, Copy)]
struct FailureOnset {
    name: &'static str,
    /// Seconds before the version degrades.
    good_s: u32,
    /// Roll-outs per seed.
    runs: u32,
}

const fn failure_onset(name: &'static str, good_s: u32, runs: u32) -> FailureOnset {
    FailureOnset { name, good_s, runs }
}

const SMALL: Deployment = Deployment {
    gateways: 6,
    requests_per_s: 20.0,
    lag_s: 2,
    onsets: [
        failure_onset("at once", 0, 10),
        failure_onset("in the ramp", 3_600, 5),
        failure_onset("after completion", 10_800, 2),
    ],
};
/// One of 13 versions gets its part of 15,000 requests per second.
const LARGE: Deployment = Deployment {
    gateways: 410,
    requests_per_s: 1_150.0,
    lag_s: 3,
    onsets: [
        failure_onset("at once", 0, 3),
        failure_onset("in the ramp", 60, 3),
        failure_onset("after completion", 300, 1),
    ],
};

/// A simulated roll-out in one deployment.
struct Simulation {
    deployment: Deployment,
    guard: RolloutGuard,
    evidence: Vec<Evidence>,
    /// Reports in transit to the lease holder, one entry per second.
    reports: VecDeque<Vec<Evidence>>,
    /// Shares in transit to the gateways, one entry per second.
    shares: VecDeque<Permille>,
    rng: Rng,
    elapsed_s: u64,
    served_by_new: u32,
}

impl Simulation {
    fn new(deployment: Deployment, exposure_weight: u16, seed: u64) -> Self {
        let version = VersionRef::new("small", "v2");
        let now = Millis::from_secs(START_S);
        let guard = RolloutGuard::new(version, Permille::ONE, Permille(exposure_weight), now);
        let sources = (0_u128..).take(deployment.gateways).map(Incarnation);
        Self {
            deployment,
            shares: std::iter::repeat_n(guard.share(), deployment.lag_s).collect(),
            guard,
            evidence: sources.map(Evidence::new).collect(),
            reports: VecDeque::new(),
            rng: Rng::new(seed),
            elapsed_s: 0,
            served_by_new: 0,
        }
    }

    /// Simulates one second in which the two versions have these rates.
    fn tick(&mut self, new: Rates, stable: Rates) {
        let share = self.shares.pop_front().unwrap_or_default().fraction();
        let mut touched = vec![false; self.evidence.len()];
        for _ in 0..arrivals(&mut self.rng, self.deployment.requests_per_s) {
            let gateway = self.rng.below(self.evidence.len());
            let is_new = self.rng.unit() < share;
            self.served_by_new += u32::from(is_new);
            touched[gateway] = true;
            let evidence = &mut self.evidence[gateway];
            if is_new {
                observe_request(&mut self.rng, &mut evidence.new, new);
            } else {
                observe_request(&mut self.rng, &mut evidence.stable, stable);
            }
        }
        self.elapsed_s += 1;
        let changed = self
            .evidence
            .iter()
            .zip(touched)
            .filter(|(_, touched)| *touched);
        self.reports
            .push_back(changed.map(|(evidence, _)| *evidence).collect());
        if self.reports.len() > self.deployment.lag_s {
            let now = Millis::from_secs(START_S + self.elapsed_s);
            let due = self.reports.pop_front().unwrap_or_default();
            self.guard.update(&due, now);
        }
        self.shares.push_back(self.guard.share());
    }

    fn stopped(&self) -> bool {
        matches!(self.guard.phase(), Phase::Stopped(_))
    }

    /// Simulates a version that degrades after `good_s` seconds. Returns the requests that it serves from then on,
    /// until all gateways have a share of zero.
    fn bad_requests(mut self, good_s: u32, bad: Rates) -> f64 {
        for _ in 0..good_s {
            self.tick(GOOD, GOOD);
        }
        self.served_by_new = 0;
        for _ in 0..MAX_DEGRADED_S {
            self.tick(bad, GOOD);
            if self.shares.iter().all(|share| share.0 == 0) {
                break;
            }
        }
        f64::from(self.served_by_new)
    }
}

fn observe_request(rng: &mut Rng, counts: &mut Counts, rates: Rates) {
    if rng.unit() < rates.errors {
        counts.observe(Observation::Failed);
        return;
    }
    counts.observe(Observation::Answered);
    // A fifth of the answers is never rated.
    if rng.unit() < 0.8 {
        let is_low = rng.unit() < rates.low_ratings;
        counts.observe([Observation::RatedGood, Observation::RatedLow][usize::from(is_low)]);
    }
}

/// Draws the number of arrivals in a second, uniformly within 20% of the rate.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is a small positive number"
)]
fn arrivals(rng: &mut Rng, requests_per_s: f64) -> usize {
    (requests_per_s * (0.8 + 0.4 * rng.unit())).round() as usize
}

/// Measures the exposure after a version degrades, and the rate of false stops.
pub fn exposure(seeds: &[u64]) -> Report {
    let mut report = Report::default();
    for (deployment, name) in [(SMALL, "6 gateways"), (LARGE, "410 gateways")] {
        for (bad, change) in [
            (FAILING, "errors 1% to 20%"),
            (LOW_RATED, "low ratings 10% to 40%"),
        ] {
            for onset in &deployment.onsets {
                let figure = format!("{name}, {change} {}", onset.name);
                let served = mean_bad_requests(deployment, onset, bad, seeds);
                let fixed_exposure = deployment.requests_per_s * FIXED_SHARE * OPERATOR_RESPONSE_S;
                let ratios = served.iter().map(|s| s / fixed_exposure).collect();
                let count_figure = format!("{figure}: bad requests");
                report.rows.push(Row::baseline(count_figure, served));
                let ratio_figure = format!("{figure}: over fixed share");
                report
                    .rows
                    .push(Row::at_most(ratio_figure, ratios, MAX_EXPOSURE_RATIO));
            }
        }
    }
    let cases = [
        ("", GOOD, None),
        (", few errors", FEW_ERRORS, None),
        (", many low ratings", MANY_LOW_RATINGS, None),
        (", an incident hits both at 100 s", GOOD, Some(100)),
        (", an incident hits both at 300 s", GOOD, Some(300)),
        (", an incident hits both at 450 s", GOOD, Some(450)),
    ];
    for (case, rates, incident) in cases {
        report.rows.push(Row::at_most(
            format!("false stops per roll-out, {GOOD_ROLLOUTS} good ones{case}"),
            vec![false_stop_rate(seeds, rates, incident)],
            MAX_FALSE_STOP_SHARE,
        ));
    }
    // At a share of 100% the stable version has no requests to compare with.
    report.rows.push(Row::baseline(
        "false stops per roll-out, an incident after completion",
        vec![false_stop_rate(seeds, GOOD, Some(700))],
    ));
    report
}

/// Returns, for each seed, the mean number of requests that the degraded version serves.
fn mean_bad_requests(
    deployment: Deployment,
    onset: &FailureOnset,
    bad: Rates,
    seeds: &[u64],
) -> Vec<f64> {
    let one_seed = |&seed: &u64| {
        let simulations =
            (0..onset.runs).map(|n| Simulation::new(deployment, 500, seed * 1_000 + u64::from(n)));
        let served = simulations.map(|simulation| simulation.bad_requests(onset.good_s, bad));
        served.sum::<f64>() / f64::from(onset.runs)
    };
    seeds.iter().map(one_seed).collect()
}

/// Returns the share of roll-outs of a good version that are stopped, from the first step to some minutes
/// after the last one. From second `incident` on, both versions have more errors and low ratings. The
/// exposure weight is zero, so that the share rises on the least evidence.
fn false_stop_rate(seeds: &[u64], rates: Rates, incident: Option<u64>) -> f64 {
    let deployment = Deployment {
        requests_per_s: 50.0,
        ..SMALL
    };
    let per_seed = GOOD_ROLLOUTS / u32::try_from(seeds.len()).unwrap_or(1);
    let stopped = |seed: u64, n: u32| {
        let mut simulation = Simulation::new(deployment, 0, seed * 1_000_000 + u64::from(n));
        while simulation.elapsed_s < GOOD_ROLLOUT_S && !simulation.stopped() {
            let in_incident = incident.is_some_and(|start| simulation.elapsed_s >= start);
            let rates = if in_incident { INCIDENT } else { rates };
            simulation.tick(rates, rates);
        }
        simulation.stopped()
    };
    let rollouts = seeds
        .iter()
        .flat_map(|&seed| (0..per_seed).map(move |n| (seed, n)));
    let stops = rollouts.filter(|&(seed, n)| stopped(seed, n)).count();
    f64::from(u32::try_from(stops).unwrap_or(u32::MAX)) / f64::from(GOOD_ROLLOUTS)
}
