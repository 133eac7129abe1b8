//! Tests of roll-outs.

use super::*;
use crate::fixtures::check;

/// Requests of the stable version in one simulated second.
const RATE: u32 = 200;

/// Simulation of a roll-out with one gateway that reports each second.
struct Sim {
    guard: RolloutGuard,
    evidence: Evidence,
    draws: u64,
    now: Millis,
    served: u32,
    /// Error rate and low-rating rate of the stable version, in thousandths.
    stable: (u16, u16),
}

impl Sim {
    fn open(seed: u64, max_share: u16) -> Self {
        let version = VersionRef::new("small", "v2");
        let now = Millis::from_secs(1_000_000);
        Self {
            guard: RolloutGuard::new(version, Permille(max_share), Permille(0), now),
            evidence: Evidence::new(Incarnation(1)),
            draws: seed.wrapping_mul(0x5851_f42d_4c95_7f2d),
            now,
            served: 0,
            stable: (10, 100),
        }
    }

    fn hits(&mut self, permille: u16) -> bool {
        // SplitMix64. The integers of quickcheck are not uniform: they favour extreme values.
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.draws;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % 1_000 < u64::from(permille)
    }

    /// Simulates one second with these error and low-rating rates of the new version, in thousandths.
    fn second(&mut self, errors: u16, low: u16) {
        let share = self.guard.share().0;
        for _ in 0..RATE {
            let is_new = self.hits(share);
            let (errors, low) = if is_new { (errors, low) } else { self.stable };
            let failed = self.hits(errors);
            let rated_low = self.hits(low);
            let arm = if is_new {
                self.served += 1;
                &mut self.evidence.new
            } else {
                &mut self.evidence.stable
            };
            if failed {
                arm.observe(Observation::Failed);
            } else {
                arm.observe(Observation::Answered);
                arm.observe(
                    [Observation::RatedGood, Observation::RatedLow][usize::from(rated_low)],
                );
            }
        }
        self.now = self.now + Millis::from_secs(1);
        self.guard.update(&[self.evidence], self.now);
    }

    fn ramp(&mut self) {
        for _ in 0..600 {
            self.second(10, 100);
        }
    }
}

// Guards against false stops, skipped steps and a share above the configured maximum.
#[test]
fn good_versions_step_up_to_the_largest_share() {
    for seed in 0..30 {
        let mut sim = Sim::open(seed, 250);
        let mut shares = vec![0];
        for _ in 0..300 {
            shares.push(sim.guard.share().0);
            sim.second(10, 100);
        }
        shares.dedup();

        assert_eq!(shares, [0, 10, 20, 50, 100, 250], "seed {seed}");
        assert_eq!(sim.guard.phase(), &Phase::Complete);
    }
}

// Guards against a bad version that keeps getting requests, during the ramp or long after its end.
#[test]
fn versions_that_turn_bad_are_stopped_with_the_numbers() {
    for (seed, errors, low) in [(40, 200, 100), (41, 10, 400), (42, 1_000, 100)] {
        for good_seconds in [5, 100, 1_500] {
            let mut sim = Sim::open(seed, 1_000);
            for _ in 0..good_seconds {
                sim.second(10, 100);
            }
            sim.served = 0;
            let mut seconds = 0;
            while sim.guard.share() > Permille(0) && seconds < 1_000 {
                sim.second(errors, low);
                seconds += 1;
            }

            // At most two seconds of requests at the full share.
            assert!(
                sim.served <= 2 * RATE,
                "{} after {good_seconds}",
                sim.served
            );
            let Phase::Stopped(reason) = sim.guard.phase() else {
                panic!("the roll-out was not stopped: {:?}", sim.guard.phase());
            };
            let by_errors = matches!(reason, StopReason::Errors { .. });
            assert_eq!(by_errors, errors > 10, "{reason}");
            assert!(reason.to_string().contains("since the last review"));
        }
    }
}

// Guards against a decision that depends on repeated or reordered reports, or on a restart from stored state.
#[test]
fn a_restored_guard_decides_the_same_and_repeats_count_once() {
    fn property(cut: u8, seed: u64) -> bool {
        let mut sim = Sim::open(seed, 1_000);
        let mut old = sim.evidence;
        for second in 0..=cut {
            if second == cut / 2 {
                old = sim.evidence;
            }
            sim.second(10, 100);
        }
        let text = serde_json::to_string(&sim.guard).expect("the guard serialises");
        let mut restored: RolloutGuard =
            serde_json::from_str(&text).expect("the stored guard deserialises");
        let before = restored.clone();
        restored.update(&[old, sim.evidence, old], sim.now);
        let unchanged = restored.share() == before.share()
            && restored.errors == before.errors
            && restored.ratings == before.ratings;
        sim.second(500, 100);
        restored.update(&[sim.evidence], sim.now);
        unchanged && restored == sim.guard
    }
    check(51, property as fn(u8, u64) -> bool);
}

// Guards against a stop because of crashes blamed on a suspect request, dead VMs, or an incident that hits
// both versions.
#[test]
fn excluded_failures_and_common_incidents_do_not_stop() {
    let mut sim = Sim::open(52, 500);
    sim.ramp();
    for _ in 0..1_000 {
        sim.evidence.new.observe(Observation::CrashOfSuspect);
        sim.evidence.new.observe(Observation::DeadVm);
    }
    sim.second(10, 100);
    assert_eq!(sim.guard.phase(), &Phase::Complete);

    for _ in 0..60 {
        for _ in 0..40 {
            sim.evidence.stable.observe(Observation::Failed);
            sim.evidence.new.observe(Observation::Failed);
        }
        sim.second(10, 100);
    }
    assert_eq!(sim.guard.phase(), &Phase::Complete);
}

// Guards against a stop after the last step because of an incident that hit both versions during the ramp.
#[test]
fn an_incident_that_outlasts_the_ramp_does_not_stop() {
    let mut sim = Sim::open(54, 1_000);
    for _ in 0..110 {
        sim.second(10, 100);
    }
    sim.stable = (100, 250);
    for _ in 0..900 {
        sim.second(100, 250);
    }
    assert_eq!(sim.guard.phase(), &Phase::Complete);

    for _ in 0..20 {
        sim.second(400, 250);
    }
    assert_eq!(sim.guard.share(), Permille(0));
}

// Guards against evidence that overrides an operator's hold or stop.
#[test]
fn operators_hold_go_on_and_stop() {
    let mut sim = Sim::open(53, 1_000);
    sim.guard.hold(true);
    sim.ramp();
    assert_eq!(sim.guard.share(), Permille(10));

    sim.guard.hold(false);
    sim.ramp();
    assert!(sim.guard.share() > Permille(10));

    sim.guard.stop();
    sim.ramp();
    assert_eq!(sim.guard.phase(), &Phase::Stopped(StopReason::Operator));
}
