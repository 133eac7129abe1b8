//! Pauses that upstreams ask for.

use std::rc::Rc;

use crate::router::mix;
use crate::router::pauses::{MAX_PAUSE, PauseRequest, Pauses};
use crate::units::Millis;

/// A random number that lets a request through as late as possible within a ramp.
const LAST: u64 = 999;

fn id() -> Rc<str> {
    Rc::from("u")
}

/// A wrong value must neither stop the gateway nor take an upstream away for good.
#[test]
fn pauses_are_read_as_seconds_and_bounded() {
    for (text, expected) in [
        ("2", PauseRequest::For(Millis(2_000))),
        (" 0.3 ", PauseRequest::For(Millis(300))),
        ("0.0001", PauseRequest::For(Millis(1))),
        ("0", PauseRequest::For(Millis(0))),
        ("300", PauseRequest::For(MAX_PAUSE)),
        ("301", PauseRequest::TooLong),
        ("1e300", PauseRequest::TooLong),
        ("inf", PauseRequest::TooLong),
        ("NaN", PauseRequest::Invalid),
        ("-1", PauseRequest::Invalid),
        ("", PauseRequest::Invalid),
        ("soon", PauseRequest::Invalid),
        ("Fri, 04 Dec 2026 23:00:00 GMT", PauseRequest::Invalid),
    ] {
        assert_eq!(PauseRequest::parse(text), expected, "{text:?}");
    }
}

/// Refusals overlap, since several requests are in flight; the one that ends last counts.
#[test]
fn a_later_refusal_does_not_shorten_a_pause() {
    let mut pauses = Pauses::default();
    assert!(pauses.observe(&id(), 1, Millis(5_000), Millis(100)));

    assert!(!pauses.observe(&id(), 1, Millis(300), Millis(200)));
    assert!(!pauses.observe(&id(), 1, Millis(0), Millis(300)));

    assert!(pauses.is_paused("u", 1, Millis(5_099)));
    assert!(!pauses.is_paused("u", 1, Millis(5_100)));
    assert!(pauses.observe(&id(), 1, Millis(5_000), Millis(400)));
    assert!(pauses.is_paused("u", 1, Millis(5_399)));
}

/// Whatever a request draws, an upstream gets none before the end of its pause, and any after the ramp.
#[test]
fn no_request_is_let_through_within_a_pause() {
    let mut pauses = Pauses::default();
    pauses.observe(&id(), 1, Millis(2_000), Millis(0));

    for draw in 0..1_000 {
        for now in (0..2_000).step_by(100) {
            let reason = pauses.paused("u", 1, Millis(now), draw);
            assert_eq!(reason.map(|r| r.wait), Some(Millis(2_000 - now)));
        }
        assert_eq!(pauses.paused("u", 1, Millis(2_500), draw), None);
    }
    pauses.expire(Millis(2_500));
    assert!(pauses.is_empty());
}

/// A pause belongs to the process that has asked for it.
#[test]
fn another_process_does_not_inherit_a_pause() {
    let mut pauses = Pauses::default();
    pauses.observe(&id(), 1, Millis(20_000), Millis(0));

    assert_eq!(pauses.paused("u", 2, Millis(10), LAST), None);
    assert_eq!(pauses.paused("v", 1, Millis(10), LAST), None);
    assert!(pauses.paused("u", 1, Millis(10), LAST).is_some());
    pauses.observe(&id(), 2, Millis(300), Millis(20));
    pauses.observe(&id(), 1, Millis(20_000), Millis(30));
    assert_eq!(pauses.paused("u", 2, Millis(900), LAST), None);
}

/// Requests that wait for the end of a pause, at many gateways, are not all sent when it ends.
#[test]
fn requests_that_waited_for_a_pause_are_sent_step_by_step() {
    const WAITING: usize = 68 * 10;
    let mut pauses = Pauses::default();
    pauses.observe(&id(), 1, Millis(4_000), Millis(0));
    let mut draw = 1;
    let mut sent_at = Vec::new();

    for _ in 0..WAITING {
        let mut now = Millis(4_000);
        loop {
            draw = mix(draw);
            match pauses.paused("u", 1, now, draw) {
                Some(reason) => now = now + reason.wait,
                None => break,
            }
        }
        sent_at.push(now.0);
    }

    sent_at.sort_unstable();
    let most = sent_at.iter().map(|from| {
        let span = sent_at.iter().filter(|at| (*from..from + 100).contains(at));
        span.count()
    });
    // A tenth of the ramp; without a ramp it would be all of them.
    assert!(most.max().unwrap_or(0) <= WAITING * 3 / 10);
    assert!(sent_at.iter().all(|at| *at <= 5_100));
}
