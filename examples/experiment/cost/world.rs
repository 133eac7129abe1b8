//! Requests of both deployments, the rating of each possible answer, and the oracle that knows them.

use fireflywind::route::plan::DRAWS;
use fireflywind::units::{Micros, Millis, Tokens};

use crate::rng::Rng;

/// Versions of every class, with the cost of a thousand tokens in micros.
pub const VERSIONS: [(&str, u64); 3] = [
    ("small", 100_000),
    ("medium", 400_000),
    ("large", 2_000_000),
];
pub const STEPS: usize = VERSIONS.len();
/// Share of requests whose difficulty is the same for all versions.
const SHARED_DIFFICULTY: f64 = 0.5;
const REQUESTS_PER_S: u64 = 5;
pub const RUN_S: u64 = 2 * 3_600;
pub const START: Millis = Millis::from_secs(1_000_000_000);

/// A request class: its target, tokens per answer, and the pass rate of each version.
pub struct Class {
    pub name: &'static str,
    pub target: u16,
    pub tokens: u64,
    pub rates: [f64; STEPS],
}

const fn class(name: &'static str, target: u16, tokens: u64, rates: [f64; STEPS]) -> Class {
    Class {
        name,
        target,
        tokens,
        rates,
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

/// A deployment under one mix of its classes.
pub struct Mix {
    pub name: &'static str,
    pub classes: &'static [Class; 4],
    /// Share of requests of each class.
    pub shares: [f64; 4],
}

pub const MIXES: [Mix; 6] = [
    mix("Inci Rota by day", &INCI_ROTA, [0.45, 0.35, 0.15, 0.05]),
    mix("Inci Rota by night", &INCI_ROTA, [0.20, 0.10, 0.50, 0.20]),
    mix("Inci Rota, all classes alike", &INCI_ROTA, [0.25; 4]),
    mix("Quetzal in class hours", &QUETZAL, [0.30, 0.20, 0.45, 0.05]),
    mix("Quetzal during uploads", &QUETZAL, [0.50, 0.35, 0.05, 0.10]),
    mix("Quetzal, all classes alike", &QUETZAL, [0.25; 4]),
];

const fn mix(name: &'static str, classes: &'static [Class; 4], shares: [f64; 4]) -> Mix {
    Mix {
        name,
        classes,
        shares,
    }
}

/// One request with what each version's answer would be rated.
pub struct Request {
    pub class: usize,
    pub at: Millis,
    pub good: [bool; STEPS],
    pub draws: [u64; DRAWS],
    /// Decides whether a rating is lost while ratings go missing.
    pub rating: [f64; STEPS],
}

pub fn requests(mix: &Mix, seed: u64, run_s: u64) -> Vec<Request> {
    let mut rng = Rng::new(seed);
    let one = |n: u64| {
        let class = pick(&mix.shares, rng.unit());
        let difficulty = rng.unit();
        let shared = rng.unit() < SHARED_DIFFICULTY;
        let rates = mix.classes[class].rates;
        let good = rates.map(|rate| {
            let own = rng.unit();
            (if shared { difficulty } else { own }) < rate
        });
        Request {
            class,
            at: START + Millis(n * 1_000 / REQUESTS_PER_S),
            good,
            draws: [(); DRAWS].map(|()| rng.next_u64()),
            rating: [(); STEPS].map(|()| rng.unit()),
        }
    };
    (0..run_s * REQUESTS_PER_S).map(one).collect()
}

fn pick(shares: &[f64; 4], draw: f64) -> usize {
    let mut sum = 0.0;
    let found = shares.iter().position(|share| {
        sum += share;
        draw < sum
    });
    found.unwrap_or(shares.len() - 1)
}

/// Returns the lowest cost at which every class meets its target, if each rating is known beforehand.
///
/// A request without any good answer goes to the cheapest version. So do, as long as the target allows,
/// the requests whose cheapest good answer costs most.
pub fn oracle(mix: &Mix, requests: &[Request]) -> u64 {
    (0..4)
        .map(|c| oracle_of_class(&mix.classes[c], requests.iter().filter(|r| r.class == c)))
        .sum()
}

fn oracle_of_class<'a>(class: &Class, requests: impl Iterator<Item = &'a Request>) -> u64 {
    let costs = VERSIONS.map(|(_, cost)| Micros(cost).for_tokens(Tokens(class.tokens)).0);
    let (mut total, mut served, mut hopeless) = (0, 0, 0);
    let mut savings = Vec::new();
    for request in requests {
        served += 1;
        if let Some(at) = request.good.iter().position(|good| *good) {
            total += costs[at];
            savings.push(costs[at] - costs[0]);
        } else {
            total += costs[0];
            hopeless += 1;
        }
    }
    let may_fail = served * (1_000 - usize::from(class.target)) / 1_000;
    savings.sort_unstable_by(|a, b| b.cmp(a));
    total
        - savings
            .iter()
            .take(may_fail.saturating_sub(hopeless))
            .sum::<u64>()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and micros are far below 2^53"
)]
pub fn ratio(a: u64, b: u64) -> f64 {
    a as f64 / b.max(1) as f64
}
