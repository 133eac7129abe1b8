//! What is noted of upstreams that leave.

use std::rc::Rc;

use crate::router::departures::{Departures, Word};
use crate::units::Millis;

/// A request that still reaches a leaving upstream must show with the time since the store's first word.
#[test]
fn a_send_after_the_first_word_is_noted() {
    let mut departures = Departures::default();
    let id: Rc<str> = "u".into();
    assert!(departures.sent("u", 1, Millis(900)).is_none());

    let first = departures.tell(&id, 1, Word::Missing, Millis(1_000), Millis(700));
    let second = departures.tell(&id, 1, Word::Gone, Millis(3_000), Millis(0));
    let told = departures
        .sent("u", 1, Millis(2_500))
        .map(|d| (d.word, d.told));
    let other_boot = departures.sent("u", 2, Millis(2_500)).is_some();

    assert_eq!((first, second, other_boot), (true, false, false));
    assert_eq!(told, Some((Word::Missing, Millis(1_000))));
    assert!(departures.take_due(Millis(8_999)).is_empty());
    let due = departures.take_due(Millis(9_000));
    assert_eq!((due[0].sends, due[0].last_send), (1, Some(Millis(2_500))));
    assert_eq!(due[0].word_age, Millis(700));
}

/// An upstream whose entry had lapsed and is back takes requests like any other.
#[test]
fn an_upstream_that_is_back_does_not_leave() {
    let mut departures = Departures::default();
    departures.tell(&"u".into(), 1, Word::Missing, Millis(1_000), Millis(0));

    departures.back("u", 1);

    assert!(departures.sent("u", 1, Millis(1_500)).is_none());
    assert!(departures.take_due(Millis(20_000)).is_empty());
}
