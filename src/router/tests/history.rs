//! Which answers of a store that is restored from copies belong to what a gateway knows.

use crate::router::history::{Era, History, Read, SETTLE_TIME, Sighting, listing_spread};
use crate::units::Millis;

/// Returns a history that has been listed at a revision of an era.
fn listed(era: u64, revision: u64) -> History {
    let mut history = History::default();
    history.observe(Era(era), Millis(0), Millis(1));
    assert!(history.accept(Read::List, Era(era), revision));
    history
}

/// A revision of another history means something else, even if the present one has it too.
#[test]
fn a_new_era_is_listed_and_not_watched_from_an_old_revision() {
    let mut history = listed(1, 50);
    let watch = history.next_read();

    let sighting = history.observe(Era(2), Millis(2), Millis(3));
    let is_accepted = history.accept(watch, Era(2), 60);

    let replaces = Some(Era(1));
    assert_eq!(
        sighting,
        Sighting::New {
            replaces,
            revision: Some(50)
        }
    );
    assert!(!is_accepted);
    assert_eq!(history.next_read(), Read::List);
}

/// A watch that was sent before a write's answer told of the new era must not move the new position.
#[test]
fn an_answer_to_a_watch_from_another_era_is_not_accepted() {
    let mut history = listed(1, 50);
    let watch = history.next_read();
    history.observe(Era(2), Millis(2), Millis(3));
    history.accept(Read::List, Era(2), 20);

    history.observe(Era(2), Millis(1), Millis(4));
    let is_accepted = history.accept(watch, Era(2), 60);

    assert!(!is_accepted);
    assert_eq!(
        history.next_read(),
        Read::Watch {
            era: Era(2),
            after: 20
        }
    );
}

/// The answer of a history that is gone must not bring that history back.
#[test]
fn a_late_answer_of_an_older_era_is_recognized() {
    let mut history = listed(2, 20);

    let sighting = history.observe(Era(1), Millis(0), Millis(5));
    let is_accepted = history.accept(Read::List, Era(1), 90);

    assert_eq!(sighting, Sighting::Late);
    assert!(!is_accepted);
    assert_eq!(history.era(), Some(Era(2)));
}

/// A store that was set up anew may count from the start; a gateway must not ignore it for ever.
#[test]
fn a_lower_era_in_the_answer_to_a_later_call_is_the_present_one() {
    let mut history = listed(5, 20);

    let sighting = history.observe(Era(1), Millis(10), Millis(12));

    assert!(matches!(sighting, Sighting::New { .. }));
    assert_eq!(history.next_read(), Read::List);
}

/// The older copy must not confirm what may have been changed since; a store without eras confirms at once.
#[test]
fn a_new_era_is_settled_after_a_while_or_when_another_gateway_says_so() {
    let mut history = listed(1, 50);
    let mut unnamed = History::default();
    unnamed.observe(Era::UNNAMED, Millis(0), Millis(1));

    let settled_at = Millis(1) + SETTLE_TIME;
    let by_time = [Millis(2), settled_at].map(|now| history.is_settled(now));
    history.observe(Era(2), Millis(5_000), Millis(5_001));
    let after_restore = history.is_settled(Millis(5_002));
    history.record_settled(Era(1), 51);
    let by_old_record = history.is_settled(Millis(5_002));
    history.record_settled(Era(2), 30);

    assert_eq!(by_time, [false, true]);
    assert!(!after_restore && !by_old_record);
    assert!(history.is_settled(Millis(5_002)) && unnamed.is_settled(Millis(1)));
}

/// A fleet of any size lists within the smallest catch-up time, and below 2,000 calls a second.
#[test]
fn listings_of_a_new_era_are_spread_by_the_number_of_gateways() {
    let spreads = [1, 3, 68, 410, 5_000].map(listing_spread);

    assert_eq!(spreads, [4, 12, 272, 1_640, 1_700].map(Millis));
}

/// The operator's own write is newer than any copy; the copy itself, and a write that a second restore may have lost, are not.
#[test]
fn a_configuration_confirms_itself_if_it_was_written_in_the_present_history() {
    let restored = |known: (u64, u64), era: u64| {
        let mut history = listed(1, 50);
        history.record_config(known.0, known.1, true);
        history.observe(Era(era), Millis(5_000), Millis(5_001));
        history.accept(Read::List, Era(era), 40);
        history
    };
    let now = Millis(5_002);
    let mut from_copy = restored((7, 33), 2);
    let mut written_again = restored((7, 33), 2);
    let mut lost_twice = restored((7, 33), 3);
    let mut newer_in_copy = restored((7, 33), 2);
    let mut changed = restored((7, 33), 2);

    from_copy.record_config(7, 33, true);
    written_again.record_config(7, 36, true);
    lost_twice.record_config(7, 36, true);
    newer_in_copy.record_config(8, 36, true);
    changed.record_config(3, 20, true);
    changed.record_config(7, 41, false);

    let settled = [from_copy, written_again, lost_twice, newer_in_copy, changed];
    assert_eq!(
        settled.map(|h| h.is_config_settled(now)),
        [false, true, false, false, true]
    );
    assert!(from_copy.has_config(7) && !from_copy.has_config(8));
}
