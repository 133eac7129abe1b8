//! Workloads of two deployments with the rating of each possible answer, and the lowest costs on them.

use fireflywind::route::plan::DRAWS;
use fireflywind::units::{Micros, Millis, Tokens};

use crate::rng::Rng;

/// Versions, cheapest first, with the cost of 1,000 tokens in micros.
pub const VERSIONS: [(&str, u64); 3] = [
    ("small", 100_000),
    ("medium", 400_000),
    ("large", 2_000_000),
];
pub const VERSION_COUNT: usize = VERSIONS.len();
/// Share of requests whose difficulty is the same for all versions.
const SHARED_DIFFICULTY_SHARE: f64 = 0.5;
const REQUESTS_PER_S: u64 = 5;
/// Duration of a run.
pub const RUN_S: u64 = 2 * 3_600;
/// Unix time at which a run starts.
pub const START: Millis = Millis::from_secs(1_000_000_000);

/// A request class: its quality target in permille, tokens per answer, and the pass rate of each version.
pub struct Class {
    pub name: &'static str,
    pub target: u16,
    pub tokens: u64,
    pub pass_rates: [f64; VERSION_COUNT],
}

impl Class {
    /// Returns the cost of one answer of a version.
    pub fn cost(&self, version: usize) -> u64 {
        Micros(VERSIONS[version].1)
            .for_tokens(Tokens(self.tokens))
            .0
    }
}

const fn class(
    name: &'static str,
    target: u16,
    tokens: u64,
    pass_rates: [f64; VERSION_COUNT],
) -> Class {
    Class {
        name,
        target,
        tokens,
        pass_rates,
    }
}

const INCI_ROTA: [Class; 4] = [
    class("stock-check", 950, 200, [0.96, 0.98, 0.99]),
    class("order-text", 930, 300, [0.88, 0.95, 0.98]),
    class("restock-plan", 920, 1_500, [0.55, 0.82, 0.96]),
    class("contract-summary", 920, 2_500, [0.30, 0.65, 0.95]),
];
const QUETZAL: [Class; 4] = [
    class("tags", 930, 60, [0.95, 0.97, 0.98]),
    class("alt-text", 930, 150, [0.85, 0.94, 0.97]),
    class("search", 900, 100, [0.90, 0.95, 0.97]),
    class("description", 930, 1_200, [0.35, 0.70, 0.96]),
];

/// The share of each request class in the traffic of a deployment.
pub struct Mix {
    pub name: &'static str,
    pub classes: &'static [Class; 4],
    /// Share of each class in the requests.
    pub shares: [f64; 4],
    /// Indices of the versions that the deployment runs, cheapest first.
    pub versions: &'static [usize],
}

pub const MIXES: [Mix; 8] = [
    mix("Inci Rota by day", &INCI_ROTA, [0.45, 0.35, 0.15, 0.05]),
    mix("Inci Rota by night", &INCI_ROTA, [0.20, 0.10, 0.50, 0.20]),
    mix("Inci Rota, all classes alike", &INCI_ROTA, [0.25; 4]),
    mix("Quetzal in class hours", &QUETZAL, [0.30, 0.20, 0.45, 0.05]),
    mix("Quetzal during uploads", &QUETZAL, [0.50, 0.35, 0.05, 0.10]),
    mix("Quetzal, all classes alike", &QUETZAL, [0.25; 4]),
    without_medium(&mix(
        "Inci Rota by day, two models",
        &INCI_ROTA,
        [0.45, 0.35, 0.15, 0.05],
    )),
    without_medium(&mix(
        "Quetzal in class hours, two models",
        &QUETZAL,
        [0.30, 0.20, 0.45, 0.05],
    )),
];

const fn mix(name: &'static str, classes: &'static [Class; 4], shares: [f64; 4]) -> Mix {
    Mix {
        name,
        classes,
        shares,
        versions: &[0, 1, 2],
    }
}

const fn without_medium(mix: &Mix) -> Mix {
    Mix {
        versions: &[0, 2],
        ..*mix
    }
}

/// A request with the rating that the answer of each version would get.
pub struct Request {
    pub class: usize,
    pub at: Millis,
    pub good: [bool; VERSION_COUNT],
    pub draws: [u64; DRAWS],
    /// Draws that decide which ratings are lost while a fifth of them is missing.
    pub rating_draws: [f64; VERSION_COUNT],
}

pub fn requests(mix: &Mix, seed: u64, run_s: u64) -> Vec<Request> {
    let mut rng = Rng::new(seed);
    let generate = |n: u64| {
        let class = pick_class(&mix.shares, rng.unit());
        let difficulty = rng.unit();
        let shared = rng.unit() < SHARED_DIFFICULTY_SHARE;
        let rates = mix.classes[class].pass_rates;
        let good = rates.map(|rate| {
            let own = rng.unit();
            (if shared { difficulty } else { own }) < rate
        });
        Request {
            class,
            at: START + Millis(n * 1_000 / REQUESTS_PER_S),
            good,
            draws: [(); DRAWS].map(|()| rng.next_u64()),
            rating_draws: [(); VERSION_COUNT].map(|()| rng.unit()),
        }
    };
    (0..run_s * REQUESTS_PER_S).map(generate).collect()
}

fn pick_class(shares: &[f64; 4], draw: f64) -> usize {
    let mut sum = 0.0;
    let found = shares.iter().position(|share| {
        sum += share;
        draw < sum
    });
    found.unwrap_or(shares.len() - 1)
}

/// Returns the lowest cost at which every class meets its target, if each rating is known in advance.
///
/// A request for which no version gives a good answer goes to the cheapest version. As far as the target
/// allows more failures, so do the requests whose cheapest good answer costs most.
pub fn oracle(mix: &Mix, requests: &[Request]) -> u64 {
    let of_class = |c: usize| {
        let requests = requests.iter().filter(|r| r.class == c);
        oracle_of_class(mix, &mix.classes[c], requests)
    };
    (0..4).map(of_class).sum()
}

fn oracle_of_class<'a>(
    mix: &Mix,
    class: &Class,
    requests: impl Iterator<Item = &'a Request>,
) -> u64 {
    let (mut total, mut served, mut without_good_answer) = (0, 0, 0);
    let mut savings = Vec::new();
    let cheapest = class.cost(mix.versions[0]);
    for request in requests {
        served += 1;
        if let Some(&version) = mix.versions.iter().find(|&&version| request.good[version]) {
            total += class.cost(version);
            savings.push(class.cost(version) - cheapest);
        } else {
            total += cheapest;
            without_good_answer += 1;
        }
    }
    let allowed_failures = served * (1_000 - usize::from(class.target)) / 1_000;
    savings.sort_unstable_by(|a, b| b.cmp(a));
    total
        - savings
            .iter()
            .take(allowed_failures.saturating_sub(without_good_answer))
            .sum::<u64>()
}

/// Returns the lowest cost at which fixed mixtures of plans meet the target of each class on these requests.
///
/// A policy that cannot tell requests of a class apart cannot cost much less, since the mixture is chosen with
/// knowledge of all pass rates and of which versions pass the same requests.
pub fn hindsight(mix: &Mix, requests: &[Request]) -> f64 {
    let of_class = |c: usize| {
        let requests: Vec<_> = requests.iter().filter(|r| r.class == c).collect();
        let class = &mix.classes[c];
        let masks = 1..1_u32 << mix.versions.len();
        let plans: Vec<_> = masks
            .map(|m| cascade_totals(mix, class, &requests, m))
            .collect();
        let served = ratio(u64::try_from(requests.len()).unwrap_or(0), 1);
        cheapest_mixture(&plans, served * f64::from(class.target) / 1_000.0)
    };
    (0..4).map(of_class).sum()
}

/// Returns the cost and the number of good answers if one cascade serves all requests of a class. The versions
/// of the cascade are the bits of `mask`.
fn cascade_totals(mix: &Mix, class: &Class, requests: &[&Request], mask: u32) -> (f64, f64) {
    let (mut cost, mut good) = (0, 0);
    for request in requests {
        let steps = (mix.versions.iter().enumerate()).filter(|(n, _)| mask & (1 << n) != 0);
        for (_, &version) in steps {
            cost += class.cost(version);
            if request.good[version] {
                good += 1;
                break;
            }
        }
    }
    (ratio(cost, 1), ratio(good, 1))
}

fn cheapest_mixture(plans: &[(f64, f64)], needed: f64) -> f64 {
    let mut lowest = f64::INFINITY;
    for high in plans.iter().filter(|p| p.1 >= needed) {
        lowest = lowest.min(high.0);
        for low in plans.iter().filter(|p| p.1 < needed) {
            let share = (needed - low.1) / (high.1 - low.1);
            lowest = lowest.min(share * high.0 + (1.0 - share) * low.0);
        }
    }
    lowest
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and micros are far below 2^53"
)]
pub fn ratio(a: u64, b: u64) -> f64 {
    a as f64 / b.max(1) as f64
}
