//! Bad and good versions judged by fleets of one to hundreds of gateways that exchange what they have seen.
//!
//! `COMPARISON_SEEDS=100 cargo test --release --lib detection_table -- --nocapture` prints the table of docs/measurements.md.

use std::rc::Rc;

use crate::router::comparison::AnswerReport;
use crate::router::mix;
use crate::router::rollout::{Answer, Group, Phase, RequestProfile, Rollout, Verdict};
use crate::units::Millis;

const RAMP: Millis = Millis::from_secs(24);
const EXPOSURE_PERMILLE: u64 = 150;
const TICK: Millis = Millis(100);

/// Time from a report to its effect at other gateways: the write, and the delay of the next read.
const REPORT_DELAY: Millis = Millis(500);

/// Gateways whose decisions are followed; the others only report.
const JUDGES: usize = 3;

/// What goes wrong apart from the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// The old version fails 0.3 of its answers from 11 to 19 s.
    Old,
    /// Both versions fail 0.3 of their answers from 15 to 20 s.
    Both,
    /// Four of ten gateways reach no others from 12 to 21 s.
    CutOff,
    /// Three of ten gateways start anew at 18 s and lose what they had not reported.
    Restarts,
}

/// How the new version behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Version {
    Good,
    /// Fails this part of its answers, in percent, from a time on, on the first route only or on all.
    Bad {
        percent: u64,
        from: Millis,
        on_all: bool,
    },
}

#[derive(Debug, Clone, Copy)]
struct Fleet {
    gateways: usize,
    /// Answers of the service a second.
    rate: u64,
    routes: u64,
    trouble: Trouble,
    version: Version,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    phase: Option<Phase>,
    at: Millis,
    /// Bad answers of the new version.
    bad_answers: u64,
}

struct Member {
    rollout: Rollout,
    boot: u64,
    seq: u64,
    next_report: Millis,
}

/// Part of the answers that fail on a sound version, in percent: each second route often fails.
const fn failing_percent(route: u64) -> u64 {
    if route % 2 == 1 { 14 } else { 1 }
}

/// Draws a route; each is asked for half as often as the one before, but at least one in forty times.
fn draw_route(draw: u64, routes: u64) -> u64 {
    if draw.is_multiple_of(4) {
        return (draw >> 8) % routes;
    }
    u64::from((draw >> 8).trailing_zeros()) % routes
}

fn member(rng: &mut impl FnMut(u64) -> u64, interval: Millis) -> Member {
    Member {
        rollout: Rollout::new(Rc::from("v2"), Millis(0), RAMP, EXPOSURE_PERMILLE),
        boot: 1,
        seq: 0,
        next_report: Millis(rng(interval.0)),
    }
}

fn play(fleet: Fleet, seed: u64) -> Outcome {
    let mut state = mix(seed);
    let mut rng = move |below: u64| {
        state = mix(state);
        state % below.max(1)
    };
    let interval = crate::forward::report_interval(fleet.gateways as u64, fleet.rate, false);
    let mut members: Vec<_> = (0..fleet.gateways)
        .map(|_| member(&mut rng, interval))
        .collect();
    let mut reports: Vec<(Millis, AnswerReport)> = Vec::new();
    let (mut now, mut bad_answers) = (Millis(0), 0);
    while now < RAMP {
        now = now + TICK;
        // A Poisson number of answers, as a sum of rare events.
        let expected_per_mille = fleet.rate * TICK.0;
        let events = (0..fleet.rate * 2).filter(|_| rng(2_000 * fleet.rate) < expected_per_mille);
        for _ in 0..events.count() {
            let at = usize::try_from(rng(fleet.gateways as u64)).expect("a small number");
            let rollout = &mut members[at].rollout;
            let is_new = rollout.group(rng(u64::MAX), now) == Group::New;
            let route = draw_route(rng(u64::MAX), fleet.routes);
            let mut failing = failing_percent(route);
            match (fleet.trouble, now.0) {
                (Trouble::Old, 11_000..19_000) if !is_new => failing = failing.max(30),
                (Trouble::Both, 15_000..20_000) => failing = failing.max(30),
                _ => {}
            }
            if let Version::Bad {
                percent,
                from,
                on_all,
            } = fleet.version
                && is_new
                && now >= from
                && (on_all || route == 0)
                && rng(100) < percent
            {
                failing = 100;
                bad_answers += 1;
            }
            let answer = match rng(100) < failing {
                true => Answer::Failed,
                false => Answer::Good(Millis(20)),
            };
            let profile = RequestProfile {
                route,
                length: 0,
                model: 0,
            };
            let version = if is_new { "v2" } else { "v1" };
            rollout.observe(version, profile, answer, now);
        }
        let is_cut = |at: usize| {
            fleet.trouble == Trouble::CutOff
                && at % 10 < 4
                && fleet.gateways > 1
                && (12_000..21_000).contains(&now.0)
        };
        for (at, m) in members.iter_mut().enumerate() {
            if fleet.trouble == Trouble::Restarts && at % 10 < 3 && now == Millis(18_000) {
                let interval = m.next_report;
                *m = Member {
                    boot: 2,
                    next_report: interval,
                    ..member(&mut rng, interval)
                };
            }
            if now < m.next_report || is_cut(at) || m.rollout.comparison().own().is_empty() {
                continue;
            }
            m.next_report = now + interval;
            m.seq += 1;
            reports.push((
                now + REPORT_DELAY,
                AnswerReport {
                    service: "s".into(),
                    to: "v2".into(),
                    gateway: format!("g{at}").into(),
                    boot: m.boot,
                    seq: m.seq,
                    routes: m.rollout.comparison().own().to_vec(),
                },
            ));
        }
        let due = reports.partition_point(|(at, _)| *at <= now);
        let judges: Vec<usize> = (0..fleet.gateways).rev().take(JUDGES).collect();
        for (_, report) in reports.drain(..due) {
            for &judge in judges.iter().filter(|at| !is_cut(**at)) {
                let is_own =
                    *report.gateway == format!("g{judge}") && report.boot == members[judge].boot;
                if !is_own {
                    members[judge].rollout.merge(report.clone(), now);
                }
            }
        }
        for &judge in &judges {
            let rollout = &mut members[judge].rollout;
            rollout.update(Some(Millis(0)), now);
            if let Some(verdict) = rollout.verdict(now) {
                if std::env::var_os("COMPARISON_TRACE").is_some() {
                    println!(
                        "{fleet:?} seed {seed} {now:?} {verdict:?} {:?} {:?} {:?}",
                        rollout.comparison().finding(),
                        rollout.comparison().proof(),
                        rollout.comparison().sums()
                    );
                }
                let phase = Some(Verdict::phase(verdict));
                return Outcome {
                    phase,
                    at: now,
                    bad_answers,
                };
            }
        }
    }
    Outcome {
        phase: None,
        at: now,
        bad_answers,
    }
}

/// Plays a fleet with several seeds; returns how often the version was completed, and the outcomes.
fn play_all(fleet: Fleet, seeds: u64) -> (usize, Vec<Outcome>) {
    let outcomes: Vec<_> = (0..seeds).map(|seed| play(fleet, seed)).collect();
    let complete = outcomes.iter().filter(|o| o.phase == Some(Phase::Complete));
    (complete.count(), outcomes)
}

#[test]
fn detection_table() {
    let seeds = std::env::var("COMPARISON_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let (from, half) = (Millis(0), 50);
    let versions = [
        ("good", Version::Good),
        (
            "one route",
            Version::Bad {
                percent: half,
                from,
                on_all: false,
            },
        ),
        (
            "all, 0.3",
            Version::Bad {
                percent: 30,
                from,
                on_all: true,
            },
        ),
        (
            "late, 22 s",
            Version::Bad {
                percent: half,
                from: Millis(22_000),
                on_all: true,
            },
        ),
    ];
    let troubles = [
        Trouble::None,
        Trouble::Old,
        Trouble::Both,
        Trouble::CutOff,
        Trouble::Restarts,
    ];
    for (gateways, rate, routes) in [
        (1, 1, 1),
        (1, 30, 2),
        (4, 30, 2),
        (4, 30, 6),
        (68, 30, 2),
        (68, 300, 6),
        (410, 30, 6),
        (410, 500, 20),
    ] {
        if seeds == 0 {
            return;
        }
        for (name, version) in versions {
            let cells: Vec<_> = troubles
                .iter()
                .map(|&trouble| {
                    let fleet = Fleet {
                        gateways,
                        rate,
                        routes,
                        trouble,
                        version,
                    };
                    let (complete, outcomes) = play_all(fleet, seeds);
                    let mut bad: Vec<_> = outcomes
                        .iter()
                        .filter(|o| o.phase == Some(Phase::Reverted))
                        .map(|o| (o.at.0, o.bad_answers))
                        .collect();
                    bad.sort_unstable();
                    let median = bad.get(bad.len() / 2).map_or_else(String::new, |(at, n)| {
                        format!(" ({:.1} s, {n})", *at as f64 / 1000.0)
                    });
                    format!("{complete}{median}")
                })
                .collect();
            println!(
                "| {gateways} | {rate} | {routes} | {name} | {} |",
                cells.join(" | ")
            );
        }
    }
}
