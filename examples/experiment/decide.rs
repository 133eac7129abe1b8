//! Time for one decision with its record, against pools of other sizes and a scan of all members.

use std::hint::black_box;
use std::time::Instant;

use fireflywind::route::pick::{LoadSource, Member, Pick, Pool, Tried, choose};
use fireflywind::units::Millis;

use crate::report::{Report, Row, median};
use crate::rng::Rng;

/// Versions, each with its own pool.
const VERSIONS: usize = 13;

/// Upstreams of each version.
const SIZES: [usize; 3] = [12, 120, 1_800];

/// Largest time at the largest size over that at the smallest.
const GROWTH_BOUND: f64 = 2.0;

/// Smallest time of the full scan over that of a decision, at the largest size.
const SCAN_BOUND: f64 = 20.0;

/// Decisions of one timed round.
const DECISIONS: usize = 2_000;

/// Scans of one timed round; a scan takes far longer than a decision.
const SCANS: usize = 50;

/// Rounds, of which the median is used; the sizes take turns, so that a disturbance hits all of them.
const ROUNDS: usize = 21;

/// Time of all decisions.
const NOW: Millis = Millis(10_000);

/// Runs the experiment.
pub fn run(seeds: &[u64]) -> Report {
    let measured: Vec<_> = seeds.iter().map(|seed| measure(*seed)).collect();
    let mut report = Report::default();
    for (n, size) in SIZES.iter().enumerate() {
        let values = measured.iter().map(|m| m.decide[n]).collect();
        let figure = format!("{size} upstreams: decision and record, us");
        report.rows.push(Row::baseline(figure, values));
    }
    let scans = measured.iter().map(|m| m.scan).collect();
    let figure = "1800 upstreams: full scan and record, us";
    report.rows.push(Row::baseline(figure, scans));
    let growth = measured.iter().map(|m| m.decide[2] / m.decide[0]);
    report.rows.push(Row::at_most(
        "decision at 1800 / decision at 12",
        growth.collect(),
        GROWTH_BOUND,
    ));
    let gain = measured.iter().map(|m| m.scan / m.decide[2]);
    report.rows.push(Row::at_least(
        "full scan at 1800 / decision at 1800",
        gain.collect(),
        SCAN_BOUND,
    ));
    report
}

/// Times of one call in microseconds.
struct Measured {
    decide: [f64; SIZES.len()],
    scan: f64,
}

fn measure(seed: u64) -> Measured {
    let mut rng = Rng::new(seed);
    let sites: Vec<Vec<Pool>> = SIZES
        .iter()
        .map(|size| (0..VERSIONS).map(|_| pool(*size, &mut rng)).collect())
        .collect();
    let mut decide = [const { Vec::new() }; SIZES.len()];
    let mut scan = Vec::new();
    for _ in 0..ROUNDS {
        for (pools, times) in sites.iter().zip(&mut decide) {
            times.push(time(DECISIONS, || decide_one(pools, &mut rng)));
        }
        let largest = &sites[SIZES.len() - 1];
        scan.push(time(SCANS, || {
            record(&scan_all(&largest[rng.below(VERSIONS)]))
        }));
    }
    Measured {
        decide: decide.map(|times| median(&times)),
        scan: median(&scan),
    }
}

fn time(count: usize, mut call: impl FnMut() -> String) -> f64 {
    let start = Instant::now();
    for _ in 0..count {
        black_box(call());
    }
    let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    start.elapsed().as_secs_f64() * 1e6 / count
}

fn decide_one(pools: &[Pool], rng: &mut Rng) -> String {
    let pool = &pools[rng.below(VERSIONS)];
    let draws = [rng.next_u64(), rng.next_u64()];
    let prefix = Some(rng.next_u64());
    let pick = pool.pick(NOW, draws, prefix, &Tried::default());
    record(&pick.expect("a pool has members"))
}

/// Builds and compares all members.
fn scan_all(pool: &Pool) -> Pick {
    choose(pool.members().to_vec(), None).expect("a pool has members")
}

fn record(pick: &Pick) -> String {
    serde_json::to_string(pick).expect("a pick serialises")
}

/// Makes a pool in three data centres, in which a fifth of the upstreams have a free slot.
fn pool(size: usize, rng: &mut Rng) -> Pool {
    let members: Vec<_> = (0..size).map(|n| member(n, rng)).collect();
    let (local, remote) = members.split_at(size / 3);
    let mut pool = Pool::new(local.to_vec(), remote.to_vec());
    // As many replies as the pool remembers, or more.
    for _ in 0..100 {
        let member = &members[rng.below(size)];
        pool.observe(&member.upstream, member.others, NOW, LoadSource::Reply);
    }
    pool
}

fn member(n: usize, rng: &mut Rng) -> Member {
    let free = usize::from(rng.below(5) == 0);
    Member {
        upstream: format!("engine-{n:04}").into(),
        slots: 8,
        own: 1,
        others: u32::try_from(7 - free).unwrap_or(7),
        age: Millis(0),
        refused: false,
    }
}
