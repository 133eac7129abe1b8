//! A randomized soak test of the real gateways under injected faults.
//!
//! Several gateways, a store, upstreams and clients run as separate processes or threads on loopback. Faults are
//! injected from outside: signals to the processes, and proxies that stall, delay or reset connections.
//! The checks use only what clients and upstreams observe.
//!
//! To run it by hand: `SOAK_SEEDS=1..50 SOAK_SECONDS=20 cargo test --release --test soak -- --nocapture`

mod checker;
mod client;
mod faults;
mod gateway;
mod http;
mod plain;
#[path = "../router/process.rs"]
mod process;
mod proxy;
mod rng;
mod store;
mod upstream;
mod world;

use std::time::Duration;

use world::World;

/// Seeds if `SOAK_SEEDS` is not set, as in CI.
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..3;

/// Time for which faults are injected if `SOAK_SECONDS` is not set, as in CI.
const DEFAULT_FAULT_TIME: Duration = Duration::from_secs(4);

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (from, to) = text.split_once("..").unwrap_or((&text, &text));
    let number = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS is FROM..TO");
    number(from)..number(to) + 1
}

fn fault_time() -> Duration {
    let seconds = std::env::var("SOAK_SECONDS").ok();
    seconds.map_or(DEFAULT_FAULT_TIME, |s| {
        Duration::from_secs(s.parse().expect("SOAK_SECONDS is a number"))
    })
}

#[test]
fn guarantees_hold_under_random_faults() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let world = World::start(seed);
        let report = world.run(fault_time());
        println!("seed {seed}: {report}");
        if !report.findings.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds with findings: {failed:?}");
}
