//! Sizes of deployments and random requests for them.

use super::model::{BATCH_SLOWDOWN, SLOTS};
use crate::rng::Rng;

/// Mean share of busy slots.
const BUSY_SHARE: f64 = 0.9;

/// The size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentSize {
    pub gateways: usize,
    pub upstreams: usize,
    pub requests: usize,
}

/// A request with all of its random properties. Times are in microseconds.
#[derive(Debug, Clone)]
pub struct Request {
    pub arrival_us: u64,
    pub gateway: usize,
    pub prompt_us: f64,
    pub generate_us: f64,
    pub prefix: u64,
    pub seed: u64,
}

/// Generates the requests of a run; every policy gets the same ones.
pub fn draw_requests(size: DeploymentSize, seed: u64) -> Vec<Request> {
    let mut rng = Rng::new(seed);
    let mut requests: Vec<_> = (0..size.requests)
        .map(|_| draw_request(size, &mut rng))
        .collect();
    let slowdown = 1.0 + BATCH_SLOWDOWN * BUSY_SHARE;
    let work_us: f64 = requests.iter().map(|r| r.prompt_us + r.generate_us).sum();
    let mean_service_us = work_us * slowdown / as_f64(size.requests);
    let mean_interval_us =
        mean_service_us / (BUSY_SHARE * as_f64(size.upstreams) * f64::from(SLOTS));
    let mut arrival_us = 0.0;
    for req in &mut requests {
        arrival_us += rng.exponential(mean_interval_us);
        req.arrival_us = as_u64(arrival_us);
    }
    requests
}

fn draw_request(size: DeploymentSize, rng: &mut Rng) -> Request {
    let prompt_tokens = 50.0 + rng.exponential(400.0);
    // A bounded Pareto distribution: most answers are short, 1% are over 500 tokens.
    let generated_tokens = (30.0 / (1.0 - rng.unit()).powf(1.0 / 1.6)).min(3_000.0);
    let prefix_rank = rng.unit() * rng.unit() * 200.0;
    Request {
        arrival_us: 0,
        gateway: rng.below(size.gateways),
        prompt_us: prompt_tokens * 300.0,
        generate_us: generated_tokens * 15_000.0,
        prefix: Rng::new(as_u64(prefix_rank)).next_u64(),
        seed: rng.next_u64(),
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and times are below 2^53"
)]
pub fn as_f64(n: usize) -> f64 {
    n as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are positive and below 2^53"
)]
pub fn as_u64(x: f64) -> u64 {
    x as u64
}

pub fn as_usize(x: f64) -> usize {
    usize::try_from(as_u64(x)).unwrap_or(usize::MAX)
}
