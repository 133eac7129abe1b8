//! Paces of upstreams that have just started or recovered.

use std::rc::Rc;

use crate::router::hash;
use crate::router::pace::{Awaiting, Measure, PaceChange, PaceSign, Paces, Profile, Sharing};
use crate::units::Millis;

const PROFILE: Profile = Profile {
    measure: Measure::FirstByte,
    model: 0,
    length: 9,
};

/// Time within which callers expect the first output.
const TARGET: Millis = Millis(2_000);

const SLOTS: u32 = 64;

fn id() -> Rc<str> {
    Rc::from("u")
}

/// Returns the paces of a gateway that has just seen the upstream start, at time 0.
fn started() -> Paces {
    let mut paces = Paces::default();
    paces.begin(&id(), 1, SLOTS, Millis(0));
    paces
}

fn took(ms: u64) -> PaceSign {
    PaceSign::Took(PROFILE, Millis(ms))
}

fn sharing(gateway: u64, gateways: u64) -> Sharing {
    Sharing {
        gateway: hash(&gateway.to_be_bytes()),
        gateways,
    }
}

/// Lets each gateway send requests as long as there is room for them, while none is answered and no report comes.
/// Returns the number sent.
fn flood(paces: &mut [Paces], now: Millis, own: &mut [u64]) -> u64 {
    let gateways = paces.len() as u64;
    let mut sent = 0;
    for (at, paces) in paces.iter_mut().enumerate() {
        let sharing = sharing(at as u64, gateways);
        loop {
            let awaiting = Awaiting {
                reported: None,
                own: own[at],
            };
            if !paces.has_room("u", 1, awaiting, sharing, now) {
                break;
            }
            own[at] += 1;
            sent += 1;
        }
    }
    sent
}

/// Flooded: all gateways have many requests for the upstream with the shortest backlog, and none has an answer yet.
#[test]
fn all_gateways_together_stay_near_the_first_window() {
    for gateways in [1, 3, 31, 410] {
        let mut sent = 0;
        let trials = 50;
        for trial in 0..trials {
            let mut paces: Vec<_> = (0..gateways).map(|_| started()).collect();
            let mut own = vec![0; gateways];
            // A turn each, within the first fifth of a second after 50 different starts.
            for paces in &mut paces {
                paces.begin(&id(), 1, SLOTS, Millis(trial * 200));
            }
            sent += flood(&mut paces, Millis(trial * 200), &mut own);
        }
        let mean = sent / trials;
        assert!(
            mean <= 3,
            "{gateways} gateways sent {mean} requests each time"
        );
    }
}

/// Idle: nothing speaks against the upstream, but hardly any gateway has had an answer of its own.
#[test]
fn an_upstream_gets_its_whole_share_within_seconds_at_any_number_of_gateways() {
    for gateways in [3, 31, 410] {
        let mut paces = started();
        let sharing = sharing(7, gateways);
        let mut served = Vec::new();
        // Each request is answered before the next turn.
        for turn in 0..50 {
            let now = Millis(turn * 200);
            if paces.has_room("u", 1, Awaiting::default(), sharing, now) {
                served.push(now);
                paces.observe("u", 1, took(100), TARGET, now + Millis(100));
            }
        }
        let late = served.iter().filter(|at| at.0 >= 7_000).count();
        assert!(late >= 5, "{gateways} gateways: requests at {served:?}");
    }
}

/// An upstream that answers as fast as others and is never held back is like any other after two seconds.
#[test]
fn an_upstream_that_answers_well_is_no_longer_paced() {
    let mut paces = started();

    let early = paces.observe("u", 1, took(100), TARGET, Millis(1_000));
    let late = paces.observe("u", 1, took(100), TARGET, Millis(2_000));

    assert_eq!((early, late), (None, Some(PaceChange::Recovered)));
    assert!(paces.is_empty());
}

/// Slow for some seconds: answers that take several times as long as those of other upstreams shrink the window, and it grows again.
#[test]
fn slow_answers_shrink_the_window_and_good_ones_let_it_grow() {
    let mut paces = started();
    for n in 0..10 {
        paces.observe("other", 1, took(100), TARGET, Millis(n));
    }

    let before = paces.window("u", Millis(2_000));
    let change = paces.observe("u", 1, took(500), TARGET, Millis(2_000));
    let same = paces.observe("u", 1, took(500), TARGET, Millis(2_100));
    let after = paces.window("u", Millis(3_000));

    assert_eq!(before, Some(8.0));
    assert_eq!(change, Some(PaceChange::Cut(4.0)));
    assert_eq!(same, None, "the answers belong to the same window");
    assert_eq!(after, Some(6.0));
}

/// All at once: if half of the fleet restarts, or all is slow, the upstreams are compared with how fast the others are now.
#[test]
fn an_upstream_is_not_slow_if_all_others_are() {
    let mut paces = started();
    for n in 0..100 {
        paces.observe("other", 1, took(3_000), TARGET, Millis(n));
    }

    let change = paces.observe("u", 1, took(4_000), TARGET, Millis(500));

    assert_eq!(change, None);
}

/// With no other upstream to compare with, callers' expectations decide.
#[test]
fn the_target_decides_while_no_other_upstream_has_answered() {
    let mut paces = started();

    let good = paces.observe("u", 1, took(1_900), TARGET, Millis(100));
    let slow = paces.observe("u", 1, took(2_100), TARGET, Millis(200));

    assert_eq!(good, None);
    assert!(matches!(slow, Some(PaceChange::Cut(_))));
}

/// Flapping: each process starts with a small window, and word of an older one changes nothing.
#[test]
fn a_new_process_starts_anew_and_an_old_one_is_forgotten() {
    let mut paces = started();
    paces.begin(&id(), 3, SLOTS, Millis(5_000));

    paces.begin(&id(), 2, SLOTS, Millis(9_000));
    let change = paces.observe("u", 1, PaceSign::Failed, TARGET, Millis(5_100));

    assert_eq!(change, None);
    assert_eq!(paces.window("u", Millis(5_000)), Some(2.0));
}

/// Failing: refusals and broken answers shrink the window to one request, which keeps probing.
#[test]
fn a_failing_upstream_keeps_a_window_of_one_request() {
    let mut paces = started();
    for at in (0..5_000).step_by(500) {
        paces.observe("u", 1, PaceSign::Failed, TARGET, Millis(at));
    }

    let now = Millis(4_500);
    assert_eq!(paces.window("u", now), Some(1.0));
    let alone = sharing(1, 1);
    assert!(paces.has_room("u", 1, Awaiting::default(), alone, now));
    let one = Awaiting {
        reported: None,
        own: 1,
    };
    assert!(!paces.has_room("u", 1, one, alone, now));
}

/// Lying: a report that shows nothing waiting must not hide what this gateway has sent itself; one that shows a long queue
/// shrinks the window although answers look good.
#[test]
fn reports_that_are_late_or_wrong_are_checked_against_own_requests() {
    let mut paces = started();
    let alone = sharing(1, 1);
    let idle = Awaiting {
        reported: Some(0),
        own: 2,
    };

    assert!(!paces.has_room("u", 1, idle, alone, Millis(0)));
    let change = paces.observe_waiting("u", 1, 30, Millis(1_000));
    assert_eq!(change, Some(PaceChange::Cut(2.0)));
    assert_eq!(paces.observe_waiting("u", 1, 1, Millis(3_000)), None);
}

/// An upstream that has not answered yet is not taken for recovered, however long nothing was sent there.
#[test]
fn only_an_answer_ends_the_pace() {
    let mut paces = started();
    paces.observe("u", 1, PaceSign::Failed, TARGET, Millis(100));

    assert_eq!(paces.len(), 1);
    let change = paces.observe("u", 1, took(50), TARGET, Millis(60_000));
    assert_eq!(change, Some(PaceChange::Recovered));
}
