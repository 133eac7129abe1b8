//! Records of upstreams that leave.

use std::rc::Rc;

use crate::router::departures::{DepartureKind, Departures};
use crate::units::Millis;

/// Guards the log of requests that are still sent to a leaving upstream: the time counts from the store's first
/// report, and a later report must not reset it.
#[test]
fn a_send_after_the_first_departure_report_is_recorded() {
    let mut departures = Departures::default();
    let id: Rc<str> = "u".into();
    assert!(departures.record_send("u", 1, Millis(900)).is_none());

    let first = departures.record(&id, 1, DepartureKind::Missing, Millis(1_000), Millis(700));
    let second = departures.record(&id, 1, DepartureKind::Gone, Millis(3_000), Millis(0));
    let recorded = departures
        .record_send("u", 1, Millis(2_500))
        .map(|d| (d.kind, d.recorded_at));
    let other_boot = departures.record_send("u", 2, Millis(2_500)).is_some();

    assert_eq!((first, second, other_boot), (true, false, false));
    assert_eq!(recorded, Some((DepartureKind::Missing, Millis(1_000))));
    assert!(departures.take_due(Millis(8_999)).is_empty());
    let due = departures.take_due(Millis(9_000));
    assert_eq!((due[0].sends, due[0].last_send), (1, Some(Millis(2_500))));
    assert_eq!(due[0].max_notice_age, Millis(700));
}

/// An upstream whose entry expired and was registered again is not leaving.
#[test]
fn an_upstream_that_registered_again_is_not_leaving() {
    let mut departures = Departures::default();
    departures.record(
        &"u".into(),
        1,
        DepartureKind::Missing,
        Millis(1_000),
        Millis(0),
    );

    departures.cancel("u", 1);

    assert!(departures.record_send("u", 1, Millis(1_500)).is_none());
    assert!(departures.take_due(Millis(20_000)).is_empty());
}
