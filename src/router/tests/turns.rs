//! The places at an upstream: which gateways have which turns while they come, go and keep old leases.

use std::net::SocketAddr;

use crate::router::mix;
use crate::router::turns::{LEASE_LIFETIME, Lease, Places, TurnLength};
use crate::units::Millis;

fn gateway(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Returns whether two places have a turn in common.
fn overlap(a: Lease, b: Lease) -> bool {
    let fewer = a.places.min(b.places);
    a.place % fewer == b.place % fewer
}

// Guards against a turn of two gateways: one that has just come, and one that still uses a lease from before.
#[test]
fn leases_never_overlap_while_gateways_come_and_go() {
    for (seed, most) in [(1, 3), (2, 31), (3, 48), (4, 410)] {
        let mut places = Places::new();
        let mut present = vec![false; most];
        let mut leases: Vec<Option<(Lease, Millis)>> = vec![None; most];
        let mut rng = mix(seed);
        for time in (0..20_000).step_by(150) {
            let now = Millis(time);
            for (number, is_present) in present.iter_mut().enumerate() {
                rng = mix(rng);
                // Many come at first and go later.
                let changes = if *is_present { 60 } else { 4 };
                *is_present ^= rng.is_multiple_of(changes);
                rng = mix(rng);
                let addr = gateway(u16::try_from(number).expect("the number is small"));
                if *is_present && !rng.is_multiple_of(4) {
                    places.reserve(addr);
                    if let Some(lease) = places.lease(addr, now) {
                        leases[number] = Some((lease, now + LEASE_LIFETIME));
                    }
                }
            }
            places.retain(|addr| present[usize::from(addr.port())], now);

            let in_force = leases.iter().flatten().filter(|(_, until)| now < *until);
            let in_force: Vec<_> = in_force.map(|(lease, _)| *lease).collect();
            for (at, lease) in in_force.iter().enumerate() {
                let other = in_force[at + 1..].iter().find(|o| overlap(*lease, **o));
                assert_eq!(other, None, "seed {seed} at {time} ms: {lease:?}");
            }
        }
    }
}

// Guards against turns that nobody has once the others have gone.
#[test]
fn the_gateways_that_stay_have_all_turns_in_the_end() {
    for (came, stay) in [(1, 1), (31, 31), (31, 3), (410, 410), (410, 7)] {
        let mut places = Places::new();
        for number in 0..came {
            places.reserve(gateway(number));
        }
        let together = (0..came).filter_map(|number| places.lease(gateway(number), Millis(0)));
        assert_eq!(
            together.count(),
            usize::from(came),
            "all have turns at once"
        );
        let mut leased = Vec::new();
        for time in (0..20_000).step_by(150) {
            places.retain(|addr| addr.port() < stay, Millis(time));
            leased = (0..stay)
                .filter_map(|number| places.lease(gateway(number), Millis(time)))
                .collect();
        }

        let share: f64 = leased.iter().map(|l| 1.0 / f64::from(l.places)).sum();
        assert!(share > 0.999, "{came} came and {stay} stay: {share}");
        assert_eq!(places.len(), usize::from(stay));
    }
}

// Guards against turns so long or so short that a second, wherever it begins, holds more than is allowed.
#[test]
fn no_second_touches_more_turns_than_requests_are_allowed() {
    for allowed in [2.0, 2.9, 5.0, 18.4, 100.0, 3_000.0] {
        let length = TurnLength::within_second(allowed).expect("two requests are allowed");
        for begin in (0..40_000).map(|n| Millis(1_700_000_000_000 + n)) {
            let touched = length.turn_at(begin + Millis(1_000)) - length.turn_at(begin) + 1;
            let allowed = format!("{}", allowed.floor());
            let most: u64 = allowed.parse().expect("the number is whole");
            assert!(touched <= most, "{touched} of {allowed} from {begin:?}");
        }
    }
    assert_eq!(TurnLength::within_second(1.9), None);
    assert_eq!(TurnLength::within_second(f64::INFINITY), None);
}

#[test]
fn a_place_that_cannot_exist_is_no_lease() {
    assert_eq!(Lease::new(3, 3), None);
    assert_eq!(Lease::new(4, 4), None);
    assert_eq!(Lease::new(0, 0), None);
    assert_eq!(Lease::new(0, 4_096), None);
    let lease = Lease::new(3, 4).expect("the place exists");
    assert_eq!([lease.next(3), lease.next(4), lease.next(7)], [3, 7, 7]);
}
