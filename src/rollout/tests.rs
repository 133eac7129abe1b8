//! Tests of roll-outs.

use super::*;
use crate::fixtures::check_property;

/// Requests in one simulated second, of both versions together.
const REQUESTS_PER_SECOND: u32 = 200;

/// Simulation of a roll-out with one gateway that reports each second.
struct Simulation {
    guard: RolloutGuard,
    evidence: Evidence,
    rng_state: u64,
    now: Millis,
    new_requests: u32,
    /// Error rate and low-rating rate of the stable version, in thousandths.
    stable_rates: (u16, u16),
}

impl Simulation {
    fn new(seed: u64, max_share: u16) -> Self {
        let version = VersionRef::new("small", "v2");
        let now = Millis::from_secs(1_000_000);
        Self {
            guard: RolloutGuard::new(version, Permille(max_share), Permille(0), now),
            evidence: Evidence::new(Incarnation(1)),
            rng_state: seed.wrapping_mul(0x5851_f42d_4c95_7f2d),
            now,
            new_requests: 0,
            stable_rates: (10, 100),
        }
    }

    fn draw(&mut self, permille: u16) -> bool {
        // SplitMix64. The integers of quickcheck are not uniform: they favour extreme values.
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.rng_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % 1_000 < u64::from(permille)
    }

    /// Simulates one second with these error and low-rating rates of the new version, in thousandths.
    fn run_second(&mut self, errors: u16, low: u16) {
        let share = self.guard.share().0;
        for _ in 0..REQUESTS_PER_SECOND {
            let is_new = self.draw(share);
            let (errors, low) = if is_new {
                (errors, low)
            } else {
                self.stable_rates
            };
            let failed = self.draw(errors);
            let rated_low = self.draw(low);
            let arm = if is_new {
                self.new_requests += 1;
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

    fn run_ramp(&mut self) {
        for _ in 0..600 {
            self.run_second(10, 100);
        }
    }
}

// Guards against false stops, skipped steps and a share above the configured maximum.
#[test]
fn good_versions_step_up_to_the_largest_share() {
    for seed in 0..30 {
        let mut sim = Simulation::new(seed, 250);
        let mut shares = vec![0];
        for _ in 0..300 {
            shares.push(sim.guard.share().0);
            sim.run_second(10, 100);
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
            let mut sim = Simulation::new(seed, 1_000);
            for _ in 0..good_seconds {
                sim.run_second(10, 100);
            }
            sim.new_requests = 0;
            let mut seconds = 0;
            while sim.guard.share() > Permille(0) && seconds < 1_000 {
                sim.run_second(errors, low);
                seconds += 1;
            }

            // At most two seconds of requests at the full share.
            assert!(
                sim.new_requests <= 2 * REQUESTS_PER_SECOND,
                "{} after {good_seconds}",
                sim.new_requests
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
        let mut sim = Simulation::new(seed, 1_000);
        let mut old = sim.evidence;
        for second in 0..=cut {
            if second == cut / 2 {
                old = sim.evidence;
            }
            sim.run_second(10, 100);
        }
        let text = serde_json::to_string(&sim.guard).expect("the guard serialises");
        let mut restored: RolloutGuard =
            serde_json::from_str(&text).expect("the stored guard deserialises");
        let before = restored.clone();
        restored.update(&[old, sim.evidence, old], sim.now);
        let unchanged = restored.share() == before.share()
            && restored.errors == before.errors
            && restored.ratings == before.ratings;
        sim.run_second(500, 100);
        restored.update(&[sim.evidence], sim.now);
        unchanged && restored == sim.guard
    }
    check_property(51, property as fn(u8, u64) -> bool);
}

// Guards against a stop because of crashes blamed on a suspect request, dead VMs, or an incident that hits
// both versions.
#[test]
fn excluded_failures_and_common_incidents_do_not_stop() {
    let mut sim = Simulation::new(52, 500);
    sim.run_ramp();
    for _ in 0..1_000 {
        sim.evidence.new.observe(Observation::CrashOfSuspect);
        sim.evidence.new.observe(Observation::DeadVm);
    }
    sim.run_second(10, 100);
    assert_eq!(sim.guard.phase(), &Phase::Complete);

    for _ in 0..60 {
        for _ in 0..40 {
            sim.evidence.stable.observe(Observation::Failed);
            sim.evidence.new.observe(Observation::Failed);
        }
        sim.run_second(10, 100);
    }
    assert_eq!(sim.guard.phase(), &Phase::Complete);
}

// Guards against a stop after the last step because of an incident that hit both versions during the ramp.
#[test]
fn an_incident_that_outlasts_the_ramp_does_not_stop() {
    let mut sim = Simulation::new(54, 1_000);
    for _ in 0..110 {
        sim.run_second(10, 100);
    }
    sim.stable_rates = (100, 250);
    for _ in 0..900 {
        sim.run_second(100, 250);
    }
    assert_eq!(sim.guard.phase(), &Phase::Complete);

    for _ in 0..20 {
        sim.run_second(400, 250);
    }
    assert_eq!(sim.guard.share(), Permille(0));
}

// Guards against evidence that overrides an operator's hold or stop.
#[test]
fn a_rollout_follows_an_operators_hold_resume_and_stop() {
    let mut sim = Simulation::new(53, 1_000);
    sim.guard.hold(true);
    sim.run_ramp();
    assert_eq!(sim.guard.share(), Permille(10));

    sim.guard.hold(false);
    sim.run_ramp();
    assert!(sim.guard.share() > Permille(10));

    sim.guard.stop();
    sim.run_ramp();
    assert_eq!(sim.guard.phase(), &Phase::Stopped(StopReason::Operator));
}
