//! Limits that upstreams name, divided among many gateways without a message for each request.

use std::rc::Rc;

use crate::router::named_limits::{LimitChange, LimitSource, LimitWord, NamedLimits, Sharing};
use crate::router::turns::Lease;
use crate::router::{hash, mix};
use crate::units::Millis;

const START: Millis = Millis(1_700_000_000_000);
const WINDOW: Millis = Millis(4_000);

fn upstream() -> Rc<str> {
    "i-1".into()
}

/// Requests that the users' rule allows in [`WINDOW`]; see LIMIT.
fn allowed(limit: f64) -> f64 {
    4.0 * 1.5 * limit + 5.0
}

/// One gateway with the difference of its clock, and how many gateways it believes that there are.
struct Gateway {
    limits: NamedLimits,
    sharing: Sharing,
    skew: u64,
    starts: Millis,
    ends: Millis,
}

/// Runs gateways that always have a request for an upstream with a limit; returns the most requests in any window, and
/// all of them.
fn run(gateways: usize, limit: f64, seed: u64, duration: Millis) -> (usize, usize) {
    let mut rng = mix(seed);
    let mut draw = move |below: u64| {
        rng = mix(rng);
        rng % below
    };
    let mut all: Vec<_> = (0..gateways)
        .map(|n| {
            // A tenth of the gateways start late, or end early.
            let changes = draw(10) == 0;
            let starts = if changes {
                Millis(draw(duration.0))
            } else {
                Millis(0)
            };
            let ends = if changes {
                duration
            } else {
                Millis(duration.0 - draw(duration.0 / 10))
            };
            Gateway {
                limits: NamedLimits::default(),
                sharing: Sharing {
                    gateway: hash(format!("edge-{seed}-{n}").as_bytes()),
                    gateways: gateways as u64,
                    lease: None,
                },
                skew: draw(400),
                starts,
                ends,
            }
        })
        .collect();
    let mut sends = Vec::new();
    let step = if limit > 50.0 { 5 } else { 20 };
    for time in (0..duration.0).step_by(step) {
        for gateway in &mut all {
            let now = Millis(time);
            if now < gateway.starts || now >= gateway.ends {
                continue;
            }
            let unix = START + Millis(time + gateway.skew);
            let id = upstream();
            if gateway.limits.is_empty() {
                gateway.limits.observe(&id, 1, Some(limit), now, now);
            }
            if gateway.limits.may_send(&id, 1, gateway.sharing, now, unix) {
                gateway
                    .limits
                    .record_send(&id, 1, gateway.sharing, now, unix);
                sends.push(time);
                // The answer names the limit again.
                gateway.limits.observe(&id, 1, Some(limit), now, now);
            }
        }
    }
    let in_window = |at: usize| {
        let end = sends[at] + WINDOW.0;
        sends[at..].partition_point(|time| *time < end)
    };
    let most = (0..sends.len()).map(in_window).max().unwrap_or(0);
    (most, sends.len())
}

// Guards against a limit that each gateway keeps to alone, or that all may use at the same moment.
#[test]
fn all_gateways_together_keep_to_the_limit() {
    for (gateways, seconds) in [(1, 60), (3, 120), (4, 120), (8, 120), (68, 120), (410, 200)] {
        for limit in [0.2, 1.0, 1.3, 3.5, 20.0, 300.0] {
            if gateways == 410 && limit > 100.0 {
                continue;
            }
            for seed in 0..2 {
                let (most, all) = run(gateways, limit, seed, Millis::from_secs(seconds));

                let allowed = allowed(limit);
                assert!(
                    f64::from(u32::try_from(most).expect("the number is small")) <= allowed,
                    "{gateways} gateways, limit {limit}, seed {seed}: {most} in 4 s, allowed {allowed}"
                );
                assert!(
                    all > 0,
                    "{gateways} gateways, limit {limit}: nothing was sent"
                );
            }
        }
    }
}

// Guards against an upstream in need that gets hardly anything from a few gateways.
#[test]
fn much_of_the_limit_is_used() {
    for (gateways, limit) in [(1, 1.3), (3, 3.5), (4, 20.0), (68, 300.0)] {
        let (_, all) = run(gateways, limit, 1, Millis::from_secs(60));

        let used = f64::from(u32::try_from(all).expect("the number is small")) / (60.0 * limit);
        assert!(
            used > 0.4,
            "{gateways} gateways, limit {limit}: {used} of it used"
        );
    }
}

#[test]
fn a_limit_holds_for_as_long_as_answers_name_it() {
    let mut limits = NamedLimits::default();
    let id = upstream();
    let at = Millis;

    let changes = [
        limits.observe(&id, 1, None, at(0), at(5)),
        limits.observe(&id, 1, Some(2.0), at(10), at(20)),
        limits.observe(&id, 1, Some(2.0), at(20), at(30)),
        // An answer that was made before the limit was named.
        limits.observe(&id, 1, None, at(15), at(35)),
        limits.observe(&id, 1, Some(f64::NAN), at(20), at(36)),
        limits.observe(&id, 1, Some(1.0), at(40), at(50)),
        limits.observe(&id, 1, None, at(60), at(70)),
    ];

    let expected = [
        None,
        Some(LimitChange::Named(2.0)),
        None,
        None,
        None,
        Some(LimitChange::Named(1.0)),
        Some(LimitChange::Lifted),
    ];
    assert_eq!(changes, expected);
    assert!(limits.is_empty());
}

// Guards against a gateway that keeps to a limit that was lifted long ago, since it has no turn to find out.
#[test]
fn the_word_of_another_gateway_counts_if_it_is_newer() {
    let sharing = Sharing {
        gateway: 7,
        gateways: 410,
        lease: None,
    };
    let id = upstream();
    let mut limits = NamedLimits::default();
    let now = Millis(100_000);
    limits.observe(&id, 1, Some(0.5), Millis(90_000), Millis(90_000));
    let word = |per_1000_s, age| LimitWord {
        per_1000_s,
        age: Millis(age),
    };

    let late = limits.observe_word(&id, 1, word(None, 20_000), now);
    let lifted = limits.observe_word(&id, 1, word(None, 1_000), now);
    let repeated = limits.observe_word(&id, 1, word(None, 1_000), now);
    let may_send = limits.may_send(&id, 1, sharing, now, START);
    let named = limits.observe_word(&id, 1, word(Some(500), 100), now);
    let source = limits
        .limited(&id, 1, sharing, now, START)
        .map(|l| (l.age, l.source));

    assert_eq!(
        [late, lifted, repeated],
        [None, Some(LimitChange::Lifted), None]
    );
    assert!(may_send);
    assert_eq!(named, Some(LimitChange::Named(0.5)));
    assert_eq!(source, Some((Millis(100), LimitSource::Gateway)));
    assert_eq!(limits.word(&id, 1, now), Some(word(Some(500), 100)));
}

// Guards against the limit of a process being kept for its successor.
#[test]
fn a_new_process_has_no_limit_yet() {
    let sharing = Sharing {
        gateway: 7,
        gateways: 410,
        lease: None,
    };
    let id = upstream();
    let mut limits = NamedLimits::default();
    limits.observe(&id, 1, Some(0.0), Millis(0), Millis(0));
    let now = Millis(1_000);

    assert!(!limits.may_send(&id, 1, sharing, now, START));
    assert!(limits.may_send(&id, 2, sharing, now, START));
    limits.observe(&id, 2, Some(5.0), now, now);
    assert_eq!(limits.observe(&id, 1, Some(9.0), now, now), None);
    limits.retain(|_, boot| boot != 2);
    assert!(limits.is_empty());
}

// Guards against a wait of a refused client that is longer than a few seconds, or none.
#[test]
fn the_wait_is_bounded() {
    let id = upstream();
    for (gateways, limit) in [(1, 0.0), (1, 5.0), (410, 0.5), (4, 100.0)] {
        let sharing = Sharing {
            gateway: 7,
            gateways,
            lease: None,
        };
        let mut limits = NamedLimits::default();
        limits.observe(&id, 1, Some(limit), Millis(0), Millis(0));

        let reason = limits.limited(&id, 1, sharing, Millis(0), START);

        let wait = reason.expect("the upstream names a limit").wait;
        assert!(wait > Millis(0) && wait <= Millis::from_secs(5), "{wait:?}");
    }
}

// Load: more gateways than a gateway can know of, all of which have work for an upstream that names a low limit.
#[test]
fn leased_turns_use_most_of_a_limit_and_no_more() {
    for places in [4, 64, 512] {
        for limit in [2.0, 3.5, 20.0] {
            let mut all: Vec<_> = (0..places).map(|_| NamedLimits::default()).collect();
            let mut sends = Vec::new();
            for time in (0..40_000_u64).step_by(10) {
                let now = Millis(time);
                for (place, limits) in (0..).zip(&mut all) {
                    let sharing = Sharing {
                        gateway: 7,
                        gateways: 32,
                        lease: Lease::new(place, places).map(|lease| (lease, START + now)),
                    };
                    if time == 0 {
                        limits.observe(&upstream(), 1, Some(limit), now, now);
                    }
                    if limits.may_send("i-1", 1, sharing, now, START) {
                        limits.record_send("i-1", 1, sharing, now, START);
                        sends.push(time);
                    }
                }
            }

            let in_window = |at: usize| sends[at..].partition_point(|t| *t < sends[at] + WINDOW.0);
            let most = (0..sends.len()).map(in_window).max().unwrap_or(0);
            let number = |n: usize| f64::from(u32::try_from(n).expect("the number is small"));
            assert!(number(most) <= allowed(limit), "{places}, {limit}: {most}");
            let used = number(sends.len()) / (40.0 * limit);
            assert!(used > 0.8, "{places} gateways, limit {limit}: {used}");
        }
    }
}
