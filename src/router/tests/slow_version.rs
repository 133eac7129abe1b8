//! Short roll-outs of versions that are several times slower, evaluated by several gateways together.
//!
//! Before all requests move, each gateway sees only about ten answers of the new version, for many request
//! profiles with different usual times. The counts of the other gateways arrive a second later.

use std::rc::Rc;

use crate::router::mix;
use crate::router::rollout::{Answer, Group, Judged, Phase, RequestProfile, Rollout};
use crate::units::Millis;

const RAMP: Millis = Millis::from_secs(15);
const EXPOSURE_PERMILLE: u64 = 150;
const GATEWAYS: u64 = 4;

/// Requests a second at each gateway.
const RATE: u64 = 16;

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

    fn kind(&mut self) -> RequestProfile {
        let (route, length) = (self.below(3), self.below(4) + self.below(4));
        RequestProfile {
            route: mix(route),
            length: u8::try_from(length).expect("it is small"),
            model: u8::from(self.below(100) < 30),
        }
    }

    /// Draws the time to first byte of an answer and the time for its next events.
    fn draw(&mut self, times: &Times, kind: RequestProfile) -> (Millis, Millis) {
        let model = usize::from(kind.model);
        // Longer prompts take longer.
        let length = 8 + u64::from(kind.length);
        let first_byte = self.one_of(times.first_byte[model]) * length / 11;
        (Millis(first_byte), Millis(self.one_of(times.pace[model])))
    }

    fn one_of(&mut self, values: [u64; 15]) -> u64 {
        values[usize::try_from(self.below(15)).expect("it is small")]
    }
}

/// Interval between two exchanges of counts among the gateways; each exchange delivers the counts of the previous
/// one.
const EXCHANGE_PAUSE: Millis = Millis(500);

/// How the new version answers.
#[derive(Clone, Copy)]
enum New {
    /// Like the old version, but without cached prompts.
    Sound,
    /// Half of its answers have eight times the time to first byte.
    SlowStart,
    /// As measured in [`SLOW`].
    Slow,
}

/// Simulates a roll-out with several gateways that agree only on its start time and exchange counts; returns the
/// first decision.
fn play(seed: u64, how: New) -> Option<Phase> {
    let mut requests = Requests { seed };
    let new = || Rollout::new(Rc::from("v2"), Millis(0), RAMP, EXPOSURE_PERMILLE);
    let mut gateways: Vec<_> = (0..GATEWAYS).map(|_| new()).collect();
    let mut answers: Vec<(Millis, usize, &str, RequestProfile, Answer)> = Vec::new();
    let mut told = [(Judged::default(), Judged::default()); 2];
    let mut counted = told[0];
    let mut exchange_at = EXCHANGE_PAUSE;
    let mut now = Millis(0);
    while now < RAMP {
        now = now + Millis(1_000 / RATE / GATEWAYS);
        let at = usize::try_from(requests.below(GATEWAYS)).expect("it is small");
        let kind = requests.kind();
        let group = gateways[at].group(requests.below(u64::MAX), now);
        let version = if group == Group::New { "v2" } else { "v1" };
        let times = match (group, how) {
            (Group::New, New::Slow) => SLOW,
            _ => OLD,
        };
        let (mut time, pace) = requests.draw(&times, kind);
        time.0 *= match (group, how) {
            (Group::Old, _) | (Group::New, New::Slow) => 100,
            (Group::New, New::SlowStart) if requests.below(2) == 0 => 800,
            (Group::New, New::Sound | New::SlowStart) => COLD_PERCENT,
        };
        time.0 /= 100;
        answers.push((now + time, at, version, kind, Answer::Good(time)));
        if requests.below(100) < PACED_PERCENT {
            answers.push((now + time + pace, at, version, kind, Answer::Paced(pace)));
        }
        answers.sort_by_key(|(arrives, ..)| *arrives);
        let arrived = answers.partition_point(|(arrives, ..)| *arrives <= now);
        for (arrives, at, version, kind, answer) in answers.drain(..arrived) {
            let mark = gateways[at].observe(version, kind, answer, arrives);
            let (new, old) = &mut counted;
            let all = if version == "v2" { new } else { old };
            all.count(answer, mark);
        }
        if now >= exchange_at {
            exchange_at = now + EXCHANGE_PAUSE;
            told = [told[1], counted];
            for gateway in &mut gateways {
                gateway.pool(told[0].0, told[0].1);
            }
        }
        for gateway in &gateways {
            if let Some(phase) = gateway.verdict(now) {
                return Some(phase);
            }
        }
    }
    None
}

fn stops(how: New) -> usize {
    let decisions = (0..100).map(|seed| play(mix(seed), how));
    decisions
        .filter(|phase| *phase == Some(Phase::Reverted))
        .count()
}

/// Guards against completing the roll-out of a version that takes eight times as long for half of its requests.
/// This happens if most answers belong to request profiles whose usual time is not known yet.
#[test]
fn a_version_that_is_several_times_slower_is_stopped_in_a_short_rollout() {
    assert_eq!(stops(New::SlowStart), 100);
}

/// Guards against completing the roll-out of a version that starts its answers in time and then generates them
/// several times more slowly.
#[test]
fn a_version_with_a_slow_pace_is_stopped_in_a_short_rollout() {
    assert_eq!(stops(New::Slow), 100);
}

/// The same checks must complete the roll-out of a version without a fault that has no prompts cached.
#[test]
fn a_sound_version_without_cached_prompts_passes_a_short_rollout() {
    let stopped = stops(New::Sound);

    assert!(stopped <= 5, "{stopped} of 100 stopped");
}

/// Guards against completing the roll-out of a slow version because the counts from before all requests moved are
/// compared by the larger excess that applies after the move.
#[test]
fn evidence_from_before_the_move_counts_as_before_it() {
    let mut rollout = Rollout::new(Rc::from("v2"), Millis(0), RAMP, EXPOSURE_PERMILLE);
    let after_the_move = Millis(RAMP.0 * 94 / 100);
    let seen = |answers, slow| Judged {
        answers,
        slow,
        ..Judged::default()
    };

    rollout.pool(seen(54, 12), seen(1_250, 29));

    assert_eq!(rollout.share_permille(after_the_move), 1_000);
    assert_eq!(rollout.verdict(after_the_move), Some(Phase::Reverted));
}
