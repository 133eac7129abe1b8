//! Evacuations of data centres, in whatever order the store tells of them.

use std::rc::Rc;

use crate::router::evacuations::{EvacuationChange, Evacuations};
use crate::router::mix;
use crate::units::Millis;

fn name(text: &str) -> Rc<str> {
    Rc::from(text)
}

fn names(texts: &[&str]) -> Vec<Rc<str>> {
    texts.iter().map(|text| name(text)).collect()
}

fn evacuated(data_centres: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    for data_centre in data_centres {
        evacuations.start(&name(data_centre), Millis(100));
    }
    evacuations
}

fn in_force(evacuations: &Evacuations) -> Vec<&'static str> {
    let all = ["a", "b", "c"];
    all.into_iter()
        .filter(|data_centre| evacuations.is_evacuated(data_centre))
        .collect()
}

/// Two evacuations overlap, and the first is taken back before the second.
#[test]
fn taking_one_evacuation_back_does_not_end_another() {
    let mut evacuations = evacuated(&["c", "a"]);

    let ended = evacuations.end("c", Millis(5_100));

    let data_centre = name("c");
    let lasted = Millis(5_000);
    assert_eq!(
        ended,
        Some(EvacuationChange::Ended {
            data_centre,
            lasted
        })
    );
    assert_eq!(in_force(&evacuations), ["a"]);
}

/// A data centre is evacuated a second time while its requests are still returning.
#[test]
fn a_second_evacuation_is_in_force_at_once() {
    let mut evacuations = evacuated(&["a"]);
    evacuations.end("a", Millis(5_000));

    let started = evacuations.start(&name("a"), Millis(5_100));

    assert_eq!(started, Some(EvacuationChange::Started(name("a"))));
    assert_eq!(in_force(&evacuations), ["a"]);
    assert!(!evacuations.is_returning("a", Millis(5_100), 999));
}

/// The store tells of an evacuation again, as a change and in a listing, or of the end of one that is not known.
#[test]
fn repeated_records_change_nothing() {
    let mut evacuations = evacuated(&["a"]);

    assert_eq!(evacuations.start(&name("a"), Millis(900)), None);
    assert_eq!(evacuations.replace(&names(&["a"]), Millis(900)), []);
    assert_eq!(evacuations.end("b", Millis(900)), None);
    assert_eq!(in_force(&evacuations), ["a"]);
    assert_eq!(evacuations.retry_after(Millis(5_100)), Millis(5_000));
}

/// The store has forgotten its changes; in between, one evacuation was taken back and another one ordered.
#[test]
fn a_listing_replaces_what_was_known() {
    let mut evacuations = evacuated(&["a", "b"]);

    let changes = evacuations.replace(&names(&["c", "b"]), Millis(600));

    assert_eq!(changes.len(), 2);
    assert_eq!(in_force(&evacuations), ["b", "c"]);
}

/// A store that was restored from a copy lacks an evacuation that was acknowledged.
#[test]
fn an_evacuation_that_a_copy_lacks_stays_in_force_until_the_history_is_settled() {
    let mut evacuations = evacuated(&["a"]);

    let changes = evacuations.replace_by_copy(&[], Millis(2_500), Millis(500));

    assert_eq!(changes, [EvacuationChange::Missing(name("a"))]);
    assert_eq!(
        evacuations.release_missing(Millis(2_499), Millis(9_000)),
        []
    );
    assert_eq!(in_force(&evacuations), ["a"]);
    let released = evacuations.release_missing(Millis(2_500), Millis(2_600));
    assert_eq!(released.len(), 1);
    assert_eq!(in_force(&evacuations), [""; 0]);
}

/// The operator writes the lost evacuation again before the history is settled.
#[test]
fn an_evacuation_that_is_written_again_does_not_end_with_the_history() {
    let mut evacuations = evacuated(&["a"]);
    evacuations.replace_by_copy(&[], Millis(2_500), Millis(500));

    assert_eq!(evacuations.start(&name("a"), Millis(1_800)), None);

    assert_eq!(
        evacuations.release_missing(Millis(60_000), Millis(60_000)),
        []
    );
    assert_eq!(in_force(&evacuations), ["a"]);
}

/// A copy from before the taking back evacuates the data centre once more, until it is taken back again.
#[test]
fn an_evacuation_that_only_the_copy_has_is_in_force() {
    let mut evacuations = evacuated(&["a"]);
    evacuations.end("a", Millis(400));

    evacuations.replace_by_copy(&names(&["a"]), Millis(2_500), Millis(500));

    assert_eq!(in_force(&evacuations), ["a"]);
    assert!(evacuations.end("a", Millis(1_900)).is_some());
}

/// The load reports of idle upstreams reach all gateways together; the gateways must not send all they have there at once.
#[test]
fn a_data_centre_that_was_evacuated_gets_its_share_back_step_by_step() {
    let mut evacuations = evacuated(&["a"]);
    evacuations.end("a", Millis(10_000));

    let avoiding = |now: u64| {
        let draws = (0..1_000).map(mix);
        let avoiding = draws.filter(|draw| evacuations.is_returning("a", Millis(now), *draw));
        avoiding.count()
    };
    let shares = [10_000, 10_250, 10_500, 10_750, 11_000].map(avoiding);

    assert_eq!(shares[0], 1_000);
    assert!((700..=800).contains(&shares[1]), "{shares:?}");
    assert!((450..=550).contains(&shares[2]), "{shares:?}");
    assert!((200..=300).contains(&shares[3]), "{shares:?}");
    assert_eq!(shares[4], 0);
    evacuations.expire(Millis(11_000));
    assert!(evacuations.is_idle());
}

/// Clients that are refused during a long evacuation must not come back every second.
#[test]
fn refused_clients_come_back_less_often_the_longer_an_evacuation_lasts() {
    let evacuations = evacuated(&["a"]);

    let waits = [100, 4_100, 3_600_000].map(|now| evacuations.retry_after(Millis(now)));

    assert_eq!(waits, [Millis(1_000), Millis(4_000), Millis(30_000)]);
}
