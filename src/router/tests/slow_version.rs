//! Short roll-outs of versions that are several times slower, evaluated by several gateways together.
//!
//! Before all requests move, each gateway receives only about ten answers of the new version, for many request
//! profiles with different usual times. The counts of the other gateways arrive a second later.

use std::rc::Rc;

use crate::router::comparison::AnswerReport;
use crate::router::mix;
use crate::router::rollout::{Answer, Group, Judged, Phase, RequestProfile, Rollout};
use crate::units::Millis;

const RAMP: Millis = Millis::from_secs(15);
const EXPOSURE_PERMILLE: u64 = 150;
const GATEWAYS: u64 = 4;

/// Requests a second at each gateway.
const REQUESTS_PER_SECOND: u64 = 16;

/// Answer times of a version in milliseconds, as evenly spaced quantiles, for the smallest and for the largest
/// model.
struct Times {
    first_byte: [[u64; 15]; 2],
    /// Time for [`PACE_EVENTS`](crate::router::rollout::PACE_EVENTS) events of a stream.
    pace: [[u64; 15]; 2],
}

/// The old version, from a log of one day of the deployment quetzal-clip.
const OLD: Times = Times {
    first_byte: [
        [
            47, 51, 53, 55, 59, 64, 68, 73, 82, 91, 99, 119, 137, 212, 392,
        ],
        [
            57, 67, 76, 83, 92, 108, 126, 163, 225, 291, 364, 482, 600, 936, 2_120,
        ],
    ],
    pace: [
        [
            84, 87, 89, 93, 98, 104, 114, 123, 130, 137, 149, 169, 186, 250, 411,
        ],
        [
            115, 126, 145, 156, 165, 187, 209, 240, 261, 290, 321, 415, 522, 738, 1_221,
        ],
    ],
};

/// A version that took eight times as long for half of its requests, on the same day. Requests on one engine slow
/// each other down, so nearly all of its streams have a slow pace.
const SLOW: Times = Times {
    first_byte: [
        [
            78, 90, 107, 115, 128, 142, 170, 178, 220, 253, 401, 458, 695, 772, 1_056,
        ],
        [
            133, 160, 192, 199, 217, 282, 378, 547, 673, 786, 959, 1_103, 1_447, 1_796, 1_910,
        ],
    ],
    pace: [
        [
            355, 357, 378, 378, 403, 409, 441, 446, 514, 560, 587, 684, 1_005, 1_325, 2_805,
        ],
        [
            358, 359, 359, 360, 364, 384, 400, 466, 466, 477, 544, 583, 865, 1_169, 2_639,
        ],
    ],
};

/// Percentage of answers that are streams with enough events to measure a pace.
const PACED_PERCENT: u64 = 60;

/// Time to first byte of a new version without a fault while it has no prompts cached, in percent of the old
/// version's.
const COLD_PERCENT: u64 = 150;

struct Requests {
    seed: u64,
}

impl Requests {
    fn below(&mut self, end: u64) -> u64 {
        self.seed = mix(self.seed);
        self.seed % end
    }

    fn profile(&mut self) -> RequestProfile {
        let (route, length) = (self.below(3), self.below(4) + self.below(4));
        RequestProfile {
            route: mix(route),
            length: u8::try_from(length).expect("the value fits"),
            model: u8::from(self.below(100) < 30),
        }
    }

    /// Draws the time to first byte of an answer and the time for its next events.
    fn draw(&mut self, times: &Times, profile: RequestProfile) -> (Millis, Millis) {
        let model = usize::from(profile.model);
        // Longer prompts take longer.
        let length = 8 + u64::from(profile.length);
        let first_byte = self.one_of(times.first_byte[model]) * length / 11;
        (Millis(first_byte), Millis(self.one_of(times.pace[model])))
    }

    fn one_of(&mut self, values: [u64; 15]) -> u64 {
        values[usize::try_from(self.below(15)).expect("the value fits")]
    }
}

/// Interval between two exchanges of counts among the gateways; each exchange delivers the counts of the previous
/// one.
const EXCHANGE_INTERVAL: Millis = Millis(500);

/// How the new version answers.
#[derive(Clone, Copy)]
enum NewVersion {
    /// Like the old version, but without cached prompts.
    Healthy,
    /// Half of its answers have eight times the time to first byte.
    SlowStart,
    /// As measured in [`SLOW`].
    Slow,
}

/// Simulates a roll-out with several gateways that agree only on its start time and exchange counts; returns the
/// first decision.
fn simulate(seed: u64, behaviour: NewVersion) -> Option<Phase> {
    let mut requests = Requests { seed };
    let new = || Rollout::new(Rc::from("v2"), Millis(0), RAMP, EXPOSURE_PERMILLE);
    let mut gateways: Vec<_> = (0..GATEWAYS).map(|_| new()).collect();
    let mut answers: Vec<(Millis, usize, &str, RequestProfile, Answer)> = Vec::new();
    let mut exchanged = [(Judged::default(), Judged::default()); 2];
    let mut counted = exchanged[0];
    let mut exchange_at = EXCHANGE_INTERVAL;
    let mut seq = 0;
    let mut now = Millis(0);
    while now < RAMP {
        now = now + Millis(1_000 / REQUESTS_PER_SECOND / GATEWAYS);
        let at = usize::try_from(requests.below(GATEWAYS)).expect("the value fits");
        let profile = requests.profile();
        let group = gateways[at].group(requests.below(u64::MAX), now);
        let version = if group == Group::New { "v2" } else { "v1" };
        let times = match (group, behaviour) {
            (Group::New, NewVersion::Slow) => SLOW,
            _ => OLD,
        };
        let (mut time, pace) = requests.draw(&times, profile);
        time.0 *= match (group, behaviour) {
            (Group::Old, _) | (Group::New, NewVersion::Slow) => 100,
            (Group::New, NewVersion::SlowStart) if requests.below(2) == 0 => 800,
            (Group::New, NewVersion::Healthy | NewVersion::SlowStart) => COLD_PERCENT,
        };
        time.0 /= 100;
        answers.push((now + time, at, version, profile, Answer::Good(time)));
        if requests.below(100) < PACED_PERCENT {
            answers.push((now + time + pace, at, version, profile, Answer::Paced(pace)));
        }
        answers.sort_by_key(|(arrives, ..)| *arrives);
        let arrived = answers.partition_point(|(arrives, ..)| *arrives <= now);
        for (arrives, at, version, profile, answer) in answers.drain(..arrived) {
            let grade = gateways[at].observe(version, profile, answer, arrives);
            let (new, old) = &mut counted;
            let all = if version == "v2" { new } else { old };
            all.count(answer, grade);
        }
        if now >= exchange_at {
            exchange_at = now + EXCHANGE_INTERVAL;
            exchanged = [exchanged[1], counted];
            seq += 1;
            let report = |at: usize| AnswerReport {
                service: "s".into(),
                to: "v2".into(),
                gateway: at.to_string().into(),
                boot: 1,
                seq,
                routes: gateways[at].comparison().own().to_vec(),
            };
            let reports: Vec<_> = (0..gateways.len()).map(report).collect();
            for (at, gateway) in gateways.iter_mut().enumerate() {
                gateway.set_pooled_counts(exchanged[0].0, exchanged[0].1);
                let others = reports.iter().enumerate().filter(|(from, _)| *from != at);
                others.for_each(|(_, report)| gateway.merge(report.clone(), now));
            }
        }
        for gateway in &mut gateways {
            gateway.update(None, now);
            if let Some(phase) = gateway.decision(now) {
                return Some(phase);
            }
        }
    }
    None
}

fn count_stops(behaviour: NewVersion) -> usize {
    let decisions = (0..100).map(|seed| simulate(mix(seed), behaviour));
    decisions
        .filter(|phase| *phase == Some(Phase::Reverted))
        .count()
}

/// Guards against completing the roll-out of a version that takes eight times as long for half of its requests.
/// This happens if most answers belong to request profiles whose usual time is not known yet.
#[test]
fn a_version_that_is_several_times_slower_is_stopped_in_a_short_rollout() {
    assert_eq!(count_stops(NewVersion::SlowStart), 100);
}

/// Guards against completing the roll-out of a version that starts its answers in time and then generates them
/// several times more slowly.
#[test]
fn a_version_with_a_slow_pace_is_stopped_in_a_short_rollout() {
    assert_eq!(count_stops(NewVersion::Slow), 100);
}

/// The same checks must complete the roll-out of a version without a fault that has no prompts cached.
#[test]
fn a_healthy_version_without_cached_prompts_passes_a_short_rollout() {
    let stopped = count_stops(NewVersion::Healthy);

    assert!(stopped <= 5, "{stopped} of 100 stopped");
}

/// Guards against completing the roll-out of a slow version because the counts from before all requests moved are
/// compared by the larger excess that applies after the move.
#[test]
fn counts_from_before_the_move_use_the_excess_of_that_time() {
    let mut rollout = Rollout::new(Rc::from("v2"), Millis(0), RAMP, EXPOSURE_PERMILLE);
    let after_the_move = Millis(RAMP.0 * 94 / 100);
    let counts = |answers, slow| Judged {
        answers,
        slow,
        ..Judged::default()
    };

    rollout.set_pooled_counts(counts(54, 12), counts(1_250, 29));

    assert_eq!(rollout.share_permille(after_the_move), 1_000);
    assert_eq!(rollout.decision(after_the_move), Some(Phase::Reverted));
}
