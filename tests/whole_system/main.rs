//! Randomized simulation of the whole system: gateways, agents, the key-value service and callers over a faulty
//! network, in simulated time.
//!
//! The state machines and rules are those of the library; only the I/O around them is replaced.
//! `WHOLE_SYSTEM_TESTS` sets the number of sequences.

mod agent;
mod attempts;
mod callers;
mod gateway;
mod jobs;
mod network;
mod ops;
mod oracle;
mod runs;
mod store;
mod world;

use actix_rt::time::sleep;
use fireflywind::units::Millis;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};
use tokio::task::LocalSet;

use ops::{FaultFree, Keys, Op};
use world::World;

/// Total number of sequences of all tests, unless the environment sets it.
const SEQUENCES: u64 = 2_000;

/// Number of tests that share the sequences; they run in parallel.
const TESTS: u64 = 5;

/// Maximum number of steps in a sequence.
const MAX_STEPS: usize = 40;

/// Time after which a killed or stopped process is started again.
const DOWNTIME: Millis = Millis::from_secs(4);

/// Seed of one sequence; it is not shrunk, because that would change every random number.
#[derive(Debug, Clone, Copy)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

/// Runs one sequence and returns the violations found.
fn violations(seed: Seed, ops: &[Op]) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let world = World::start(seed.0).await;
        let keys = Keys::default();
        let mut restarts: Vec<(Millis, Op)> = Vec::new();
        for op in ops {
            world.perform(*op, &keys).await;
            sleep(Millis(1 + world.env.rng.below(60)).duration()).await;
            let now = world.env.now();
            restarts.push((now + DOWNTIME, *op));
            for (_, op) in restarts.extract_if(.., |(at, _)| *at <= now) {
                world.restart(op);
            }
            world.check_revisions();
        }
        world.settle().await;
        let violations = world.env.oracle.violations();
        world.end();
        violations
    })
}

fn verdict(seed: Seed, ops: &[Op]) -> TestResult {
    let violations = violations(seed, ops);
    if violations.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(violations.join("\n"))
}

fn check<P: Testable>(seed: u64, property: P) {
    let set = std::env::var("WHOLE_SYSTEM_TESTS").ok();
    let sequences = set.and_then(|n| n.parse().ok()).unwrap_or(SEQUENCES);
    let tests = u64::div_ceil(sequences, TESTS);
    let source = Gen::from_size_and_seed(MAX_STEPS, seed);
    QuickCheck::new()
        .rng(source)
        .tests(tests)
        .quickcheck(property);
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes owned values"
)]
fn with_faults(seed: Seed, ops: Vec<Op>) -> TestResult {
    verdict(seed, &ops)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes owned values"
)]
fn without_faults(seed: Seed, ops: Vec<FaultFree>) -> TestResult {
    let ops: Vec<_> = ops.iter().map(|op| op.0).collect();
    verdict(seed, &ops)
}

// These four guard against violations of P1 to P10 that only occur with a combination of calls and faults.
#[test]
fn properties_hold_under_faults_1() {
    check(1, with_faults as fn(Seed, Vec<Op>) -> TestResult);
}

#[test]
fn properties_hold_under_faults_2() {
    check(2, with_faults as fn(Seed, Vec<Op>) -> TestResult);
}

#[test]
fn properties_hold_under_faults_3() {
    check(3, with_faults as fn(Seed, Vec<Op>) -> TestResult);
}

#[test]
fn properties_hold_under_faults_4() {
    check(4, with_faults as fn(Seed, Vec<Op>) -> TestResult);
}

// Guards against a planned stop that breaks off a request in the absence of other faults.
#[test]
fn planned_stops_cut_off_no_request() {
    check(5, without_faults as fn(Seed, Vec<FaultFree>) -> TestResult);
}

/// Checks a sequence that failed before.
fn check_sequence(seed: u64, ops: &[Op]) {
    let violations = violations(Seed(seed), ops);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

// Guards against an idle agent that stops before the gateways know of it: a request in transit then fails with the
// connection, and its run status is unknown.
#[test]
fn an_idle_agent_stops_after_gateways_know_of_it() {
    let gateway = 0;
    let order = Op::Order {
        gateway,
        key: 0,
        body: false,
        twice: false,
    };
    check_sequence(1, &[Op::StopAgent(3), order]);
}

// Guards against a gateway that starts during a store outage and reads the sheet only long after its end.
#[test]
fn a_gateway_that_starts_in_an_outage_converges_after_it() {
    let waits = [1_100, 1_100, 1_100, 3_000].map(Op::Wait);
    let mut ops = vec![Op::KillGateway(0), waits[0], waits[1], waits[2]];
    ops.extend([Op::Outage(true), waits[3], Op::Wait(25_000), waits[0]]);
    check_sequence(1, &ops);
}

// Guards against an attempt that uses the sheet of its plan although the gateway has a newer one: an agent that
// did not have the newer sheet yet ran a version that it withdraws.
#[test]
fn no_attempt_is_made_under_a_sheet_that_the_gateway_replaced() {
    let apply = |change, twice| Op::Apply { change, twice };
    let chat = |gateway, kind, streamed, session| Op::Chat {
        gateway,
        kind,
        streamed,
        session,
    };
    let order = |gateway, key, body| Op::Order {
        gateway,
        key,
        body,
        twice: false,
    };
    let network = |loss, delay| Op::Network {
        loss,
        delay,
        repeats: 20,
    };
    let delayed = [
        Op::StopAgent(4),
        chat(0, 183, false, false),
        order(0, 3, true),
        network(0, 800),
        apply(149, false),
        Op::Wait(726),
        Op::SilenceConnection(226),
        network(20, 0),
        Op::Wait(584),
        apply(162, true),
        chat(0, 46, false, true),
    ];
    check_sequence(11_136_951_981_245_638_478, &delayed);
}
