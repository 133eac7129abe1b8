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

/// A fleet during a roll-out.
struct Play {
    fleet: Fleet,
    state: u64,
    interval: Millis,
    members: Vec<Member>,
    /// Reports on their way, with the time of arrival.
    reports: Vec<(Millis, AnswerReport)>,
    now: Millis,
    bad_answers: u64,
}

impl Play {
    fn start(fleet: Fleet, seed: u64) -> Self {
        let mut play = Self {
            fleet,
            state: mix(seed),
            interval: crate::forward::report_interval(fleet.gateways as u64, fleet.rate, false),
            members: Vec::new(),
            reports: Vec::new(),
            now: Millis(0),
            bad_answers: 0,
        };
        play.members = (0..fleet.gateways).map(|_| play.member(1)).collect();
        play
    }

    /// Draws a number below a bound.
    fn draw(&mut self, below: u64) -> u64 {
        self.state = mix(self.state);
        self.state % below.max(1)
    }

    fn member(&mut self, boot: u64) -> Member {
        Member {
            rollout: Rollout::new(Rc::from("v2"), Millis(0), RAMP, EXPOSURE_PERMILLE),
            boot,
            seq: 0,
            next_report: self.now + Millis(self.draw(self.interval.0)),
        }
    }

    fn is_cut(&self, at: usize) -> bool {
        self.fleet.trouble == Trouble::CutOff
            && at % 10 < 4
            && self.fleet.gateways > 1
            && (12_000..21_000).contains(&self.now.0)
    }

    /// Lets a gateway see the answer to one request.
    fn answer(&mut self) {
        let (fleet, now) = (self.fleet, self.now);
        let at = usize::try_from(self.draw(fleet.gateways as u64)).expect("a small number");
        let session = self.draw(u64::MAX);
        let is_new = self.members[at].rollout.group(session, now) == Group::New;
        let route = draw_route(self.draw(u64::MAX), fleet.routes);
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
            && self.draw(100) < percent
        {
            failing = 100;
            self.bad_answers += 1;
        }
        let answer = if self.draw(100) < failing {
            Answer::Failed
        } else {
            Answer::Good(Millis(20))
        };
        let profile = RequestProfile {
            route,
            length: 0,
            model: 0,
        };
        let version = if is_new { "v2" } else { "v1" };
        let rollout = &mut self.members[at].rollout;
        rollout.observe(version, profile, answer, now);
    }

    fn restart_some(&mut self) {
        for at in (0..self.members.len()).filter(|at| at % 10 < 3) {
            self.members[at] = self.member(2);
        }
    }

    fn report(&mut self) {
        for at in 0..self.members.len() {
            let (now, is_cut) = (self.now, self.is_cut(at));
            let m = &mut self.members[at];
            if now < m.next_report || is_cut || m.rollout.comparison().own().is_empty() {
                continue;
            }
            m.next_report = now + self.interval;
            m.seq += 1;
            let report = AnswerReport {
                service: "s".into(),
                to: "v2".into(),
                gateway: format!("g{at}").into(),
                boot: m.boot,
                seq: m.seq,
                routes: m.rollout.comparison().own().to_vec(),
            };
            self.reports.push((now + REPORT_DELAY, report));
        }
    }

    /// Returns the verdict of a gateway that has one.
    fn judge(&mut self) -> Option<Verdict> {
        let now = self.now;
        let due = self.reports.partition_point(|(at, _)| *at <= now);
        let arrived: Vec<_> = self.reports.drain(..due).collect();
        for judge in (0..self.fleet.gateways).rev().take(JUDGES) {
            let (is_cut, boot) = (self.is_cut(judge), self.members[judge].boot);
            let rollout = &mut self.members[judge].rollout;
            let name = format!("g{judge}");
            let is_own = |r: &AnswerReport| *r.gateway == *name && r.boot == boot;
            let others = arrived.iter().filter(|(_, r)| !is_cut && !is_own(r));
            others.for_each(|(_, report)| rollout.merge(report.clone(), now));
            rollout.update(Some(Millis(0)), now);
            if let Some(verdict) = rollout.verdict(now) {
                return Some(verdict);
            }
        }
        None
    }
}

fn play(fleet: Fleet, seed: u64) -> Outcome {
    let mut play = Play::start(fleet, seed);
    let mut verdict = None;
    while play.now < RAMP && verdict.is_none() {
        play.now = play.now + TICK;
        // A binomial number of answers, close to a Poisson number.
        let expected_per_mille = fleet.rate * TICK.0;
        let draws = (0..fleet.rate * 2).map(|_| play.draw(2_000 * fleet.rate));
        let draws: Vec<_> = draws.collect();
        for _ in draws.into_iter().filter(|draw| *draw < expected_per_mille) {
            play.answer();
        }
        if fleet.trouble == Trouble::Restarts && play.now == Millis(18_000) {
            play.restart_some();
        }
        play.report();
        verdict = play.judge();
    }
    Outcome {
        phase: verdict.map(Verdict::phase),
        at: play.now,
        bad_answers: play.bad_answers,
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
                        format!(
                            " ({:.1} s, {n})",
                            f64::from(u32::try_from(*at).unwrap_or(u32::MAX)) / 1_000.0
                        )
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

/// EXPOSURE: a fleet of which each gateway sees few answers completed a bad version; and a stricter judge must not stop good ones.
#[test]
fn fleets_of_any_size_stop_bad_versions_and_complete_good_ones() {
    const SEEDS: usize = 10;
    let bad = Version::Bad {
        percent: 50,
        from: Millis(0),
        on_all: false,
    };
    for (gateways, routes) in [(1, 2), (4, 2), (68, 2), (410, 6)] {
        for (version, expected) in [(Version::Good, SEEDS), (bad, 0)] {
            let fleet = Fleet {
                gateways,
                rate: 30,
                routes,
                trouble: Trouble::None,
                version,
            };

            let (complete, _) = play_all(fleet, SEEDS as u64);

            // A stop and a doubt together are wrong for 3 of 100 seeds.
            assert!(complete.abs_diff(expected) <= 1, "{fleet:?}: {complete}");
        }
    }
}
