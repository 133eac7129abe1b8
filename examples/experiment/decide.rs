//! Time of one routing decision with its record, for several pool sizes and against a scan of all members.

use std::hint::black_box;
use std::time::Instant;

use fireflywind::route::pick::{LoadSource, Member, Pick, Pool, Tried, choose};
use fireflywind::units::Millis;

use crate::report::{Report, Row, median};
use crate::rng::Rng;

/// Number of versions, each with its own pool.
const VERSIONS: usize = 13;

/// Numbers of upstreams of each version.
const SIZES: [usize; 3] = [12, 120, 1_800];

/// Highest allowed ratio of the time of a decision at the largest size to that at the smallest.
const MAX_GROWTH_RATIO: f64 = 2.0;

/// Lowest allowed ratio of the time of a full scan to that of a decision, at the largest size.
const MIN_SCAN_RATIO: f64 = 20.0;

/// Decisions per timed round.
const DECISIONS: usize = 2_000;

/// Scans per timed round; a scan takes far longer than a decision.
const SCANS: usize = 50;

/// Number of rounds, of which the median is used. Each round times every size, so that a disturbance affects
/// all of them.
const ROUNDS: usize = 21;

/// Time at which all decisions are made.
const NOW: Millis = Millis(10_000);

/// Runs the experiment.
pub fn run(seeds: &[u64]) -> Report {
    let timings: Vec<_> = seeds.iter().map(|seed| measure(*seed)).collect();
    let mut report = Report::default();
    for (n, size) in SIZES.iter().enumerate() {
        let values = timings.iter().map(|m| m.decision_us[n]).collect();
        let figure = format!("{size} upstreams: decision and record, us");
        report.rows.push(Row::baseline(figure, values));
    }
    let scan_times = timings.iter().map(|m| m.scan_us).collect();
    let figure = "1800 upstreams: full scan and record, us";
    report.rows.push(Row::baseline(figure, scan_times));
    let growth = timings.iter().map(|m| m.decision_us[2] / m.decision_us[0]);
    report.rows.push(Row::at_most(
        "decision at 1800 / decision at 12",
        growth.collect(),
        MAX_GROWTH_RATIO,
    ));
    let speedup = timings.iter().map(|m| m.scan_us / m.decision_us[2]);
    report.rows.push(Row::at_least(
        "full scan at 1800 / decision at 1800",
        speedup.collect(),
        MIN_SCAN_RATIO,
    ));
    report
}

/// Times per call, in microseconds.
struct Timings {
    decision_us: [f64; SIZES.len()],
    scan_us: f64,
}

fn measure(seed: u64) -> Timings {
    let mut rng = Rng::new(seed);
    let pools_by_size: Vec<Vec<Pool>> = SIZES
        .iter()
        .map(|size| (0..VERSIONS).map(|_| pool(*size, &mut rng)).collect())
        .collect();
    let mut decisions = [const { Vec::new() }; SIZES.len()];
    let mut scans = Vec::new();
    for _ in 0..ROUNDS {
        for (pools, times) in pools_by_size.iter().zip(&mut decisions) {
            times.push(mean_time_us(DECISIONS, || pick_and_encode(pools, &mut rng)));
        }
        let largest = &pools_by_size[SIZES.len() - 1];
        scans.push(mean_time_us(SCANS, || {
            encode_record(&scan_all(&largest[rng.below(VERSIONS)]))
        }));
    }
    Timings {
        decision_us: decisions.map(|times| median(&times)),
        scan_us: median(&scans),
    }
}

fn mean_time_us(count: usize, mut call: impl FnMut() -> String) -> f64 {
    let start = Instant::now();
    for _ in 0..count {
        black_box(call());
    }
    let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    start.elapsed().as_secs_f64() * 1e6 / count
}

fn pick_and_encode(pools: &[Pool], rng: &mut Rng) -> String {
    let pool = &pools[rng.below(VERSIONS)];
    let draws = [rng.next_u64(), rng.next_u64()];
    let prefix = Some(rng.next_u64());
    let pick = pool.pick(NOW, draws, prefix, &Tried::default());
    encode_record(&pick.expect("a pool has members"))
}

/// Copies and compares all members.
fn scan_all(pool: &Pool) -> Pick {
    choose(pool.members().to_vec(), None).expect("a pool has members")
}

fn encode_record(pick: &Pick) -> String {
    serde_json::to_string(pick).expect("a pick has a JSON form")
}

/// Creates a pool with a third of its upstreams in the local data centre; about a fifth of all have a free slot.
fn pool(size: usize, rng: &mut Rng) -> Pool {
    let members: Vec<_> = (0..size).map(|n| member(n, rng)).collect();
    let (local, remote) = members.split_at(size / 3);
    let mut pool = Pool::new(local.to_vec(), remote.to_vec());
    // At least as many replies as the pool keeps.
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
