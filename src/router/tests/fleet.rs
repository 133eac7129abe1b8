//! Registered upstreams, outages of the store, and the health of upstreams.

use std::rc::Rc;

use crate::fixtures;
use crate::router::fleet::{Change, CopyTimes, Fleet, OutageTracker, Upstream, UpstreamState};
use crate::router::hash;
use crate::router::health::{AttemptOutcome, HealthTable};
use crate::units::Millis;

/// A time at which no grace period has ended.
const NOW: Millis = Millis(0);

fn upstream(id: &str, boot: u64, seq: u64, state: UpstreamState) -> Upstream {
    // Two upstreams never have one address, unless a test says so.
    let [a, b, ..] = hash(id.as_bytes()).to_be_bytes();
    Upstream {
        id: id.into(),
        addr: ([127, 0, a, b], 1).into(),
        service: "pool".into(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: 4,
        state,
        boot,
        seq,
        warm_up: Millis(0),
    }
}

fn ready(id: &str, boot: u64, seq: u64) -> Upstream {
    upstream(id, boot, seq, UpstreamState::Ready)
}

fn draining(id: &str, boot: u64, seq: u64) -> Upstream {
    upstream(id, boot, seq, UpstreamState::Draining)
}

/// Returns the times of a copy that is listed at `now`.
fn copied_at(now: Millis) -> CopyTimes {
    CopyTimes {
        now,
        heard_at: now,
        missing_until: now + Millis(2_000),
        held_until: now + Millis(5_600),
    }
}

fn ids(fleet: &Fleet) -> Vec<String> {
    fleet.ready("pool", NOW).map(|u| u.id.to_string()).collect()
}

#[test]
fn a_late_report_does_not_undo_draining() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 1));
    fleet.put(draining("u", 1, 2));

    let change = fleet.put(ready("u", 1, 1));

    assert!(matches!(change, Some(Change::Outdated(_))));
    assert!(ids(&fleet).is_empty());
}

/// A full list after a gap must not make a draining upstream ready again.
#[test]
fn a_list_does_not_undo_draining() {
    let mut fleet = Fleet::default();
    fleet.put(draining("u", 1, 2));

    fleet.replace(vec![ready("u", 1, 3)], Some(Millis(2_000)));

    assert!(ids(&fleet).is_empty());
}

#[test]
fn a_new_process_under_a_known_id_is_ready() {
    let mut fleet = Fleet::default();
    fleet.put(draining("u", 1, 9));

    let change = fleet.put(ready("u", 2, 0));

    assert!(matches!(change, Some(Change::Joined(_))));
    assert!(fleet.is_ready("u", 2, NOW));
    assert!(!fleet.is_ready("u", 1, NOW));
}

#[test]
fn a_removed_entry_is_gone_at_once_without_an_outage() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 1));

    let change = fleet.remove("u", None);

    assert!(matches!(change, Some(Change::Gone(_))));
    assert!(ids(&fleet).is_empty());
}

/// Entries expire while the store is unavailable. Live upstreams register again within two seconds, so a missing
/// one stays in use for that time.
#[test]
fn an_entry_that_expired_in_an_outage_is_used_for_two_seconds() {
    let mut fleet = Fleet::default();
    fleet.put(ready("back", 1, 1));
    fleet.put(ready("lost", 1, 1));
    fleet.put(draining("left", 1, 1));

    fleet.replace(Vec::new(), Some(Millis(2_000)));
    assert_eq!(ids(&fleet), ["back", "lost"]);
    assert!(!fleet.is_present("left", 1));
    fleet.put(ready("back", 1, 2));
    assert!(fleet.expire(Millis(1_999), Millis(1_999)).is_empty());
    let gone = fleet.expire(Millis(2_000), Millis(2_000));

    assert!(matches!(gone.as_slice(), [Change::Gone(u)] if &*u.id == "lost"));
    assert_eq!(ids(&fleet), ["back"]);
}

/// The grace period ends on time even if `expire` has not been called.
#[test]
fn a_missing_entry_takes_no_request_after_its_grace() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 1));
    fleet.remove("u", Some(Millis(2_000)));

    assert!(fleet.is_ready("u", 1, Millis(1_999)));
    assert!(!fleet.is_ready("u", 1, Millis(2_000)));
    assert_eq!(fleet.ready("pool", Millis(2_000)).count(), 0);
}

/// An upstream that leaves some time after an outage must not get requests for another grace period: its removal
/// is not caused by the outage.
#[test]
fn a_removal_some_time_after_an_outage_gets_no_grace() {
    let mut outage_tracker = OutageTracker::new(Millis(1_200), Millis(3_000));
    assert_eq!(outage_tracker.grace(Millis(0)), None);

    outage_tracker.record_failure(Millis(6_000));
    outage_tracker.record_failure(Millis(9_900));
    outage_tracker.record_success(Millis(10_000));

    let at_once = outage_tracker.grace(Millis(10_000));
    assert!(at_once.is_some_and(|until| until < Millis(12_000)));
    assert_eq!(outage_tracker.grace(Millis(10_900)), at_once);
    assert_eq!(outage_tracker.grace(Millis(11_750)), None);
}

/// A few failed calls while the store is healthy must not make a removal count as caused by an outage.
#[test]
fn an_outage_shorter_than_a_heartbeat_gives_no_grace() {
    let mut outage_tracker = OutageTracker::new(Millis(1_200), Millis(3_000));
    outage_tracker.record_failure(Millis(5_000));
    outage_tracker.record_failure(Millis(5_900));

    let unavailable_for = outage_tracker.record_success(Millis(6_199));

    assert_eq!(unavailable_for, Some(Millis(1_199)));
    assert_eq!(outage_tracker.grace(Millis(6_199)), None);
}

/// Guards against use of an upstream that left for longer than the catch-up time. This happens if a gateway
/// notices the store's recovery only after its silent call has ended, and starts a full grace period at that
/// point.
#[test]
fn a_grace_ends_within_the_catch_up_time() {
    let mut outage_tracker = OutageTracker::new(Millis(1_200), Millis(3_000));
    outage_tracker.record_failure(Millis(4_000));
    outage_tracker.record_failure(Millis(8_000));

    outage_tracker.record_success(Millis(10_300));

    let until = outage_tracker
        .grace(Millis(10_300))
        .expect("an outage was recorded");
    assert!(until < Millis(8_000 + 3_000), "{until}");
    outage_tracker.record_failure(Millis(12_000));
    outage_tracker.record_success(Millis(15_100));
    assert_eq!(outage_tracker.grace(Millis(15_100)), None);
}

/// For any order of reports and lists, a process that was reported as draining never becomes ready again, and the
/// newest process under an id replaces older ones.
#[test]
fn reports_in_any_order_never_undo_draining_or_a_new_process() {
    fn property(reports: Vec<(bool, u8, u8, bool)>) {
        let mut fleet = Fleet::default();
        let mut drained: Vec<u64> = Vec::new();
        let mut newest = 0;
        for (is_list, boot, seq, is_draining) in reports {
            let (boot, seq) = (u64::from(boot % 4), u64::from(seq));
            let report = if is_draining {
                draining("u", boot, seq)
            } else {
                ready("u", boot, seq)
            };
            if is_list {
                fleet.replace(vec![report], Some(Millis(2_000)));
            } else {
                fleet.put(report);
            }
            newest = newest.max(boot);
            let shown = fleet.all().next().expect("the upstream is registered");
            if shown.state == UpstreamState::Draining {
                drained.push(shown.boot);
            }
            assert_eq!(shown.boot, newest);
            assert!(!drained.contains(&newest) || !fleet.is_ready("u", newest, NOW));
        }
    }
    fixtures::check_property(7, property as fn(Vec<(bool, u8, u8, bool)>));
}

fn observed(seen: &[AttemptOutcome]) -> (HealthTable, Rc<str>) {
    let (mut health, id) = (HealthTable::default(), Rc::from("u"));
    for seen in seen {
        health.observe(&id, 1, *seen, Millis(0));
    }
    (health, id)
}

/// An upstream that accepts connections but never answers is ejected after one silent attempt.
#[test]
fn one_silent_attempt_ejects() {
    let (mut health, id) = observed(&[
        AttemptOutcome::Answer,
        AttemptOutcome::Answer,
        AttemptOutcome::Silent,
    ]);

    assert!(health.entry(&id, 1, Millis(1)).is_ejected(Millis(1)));
    assert!(!health.entry(&id, 1, Millis(1)).is_ejected(Millis(1_500)));
}

/// An upstream that fails half of its requests while its health check passes is ejected; one with a usual error
/// rate is not.
#[test]
fn a_grey_upstream_is_ejected_and_a_usual_error_rate_is_not() {
    let grey: Vec<_> = (0..20)
        .map(|n| {
            if n % 2 == 0 {
                AttemptOutcome::Broken
            } else {
                AttemptOutcome::Answer
            }
        })
        .collect();
    let usual: Vec<_> = (0..70)
        .map(|n| {
            if n % 7 == 0 {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Answer
            }
        })
        .collect();

    let (mut grey, id) = observed(&grey);
    let (mut usual, _) = observed(&usual);

    assert!(grey.entry(&id, 1, Millis(1)).is_ejected(Millis(1)));
    assert!(!usual.entry(&id, 1, Millis(1)).is_ejected(Millis(1)));
}

#[test]
fn a_new_process_starts_without_past_failures() {
    let (mut health, id) = observed(&[AttemptOutcome::Silent]);
    health.start(&id, 1, Millis(0));

    assert!(!health.entry(&id, 2, Millis(0)).is_ejected(Millis(0)));
    health.end(&id, 1, Millis(0));

    assert_eq!(health.entry(&id, 2, Millis(0)).in_flight, 0);
}

/// Requests that were begun at an earlier process under the same id are not work of its successor; its bytes are no
/// sign of life of the successor either.
#[test]
fn an_older_process_does_not_count_as_its_successor() {
    let (mut health, id) = (HealthTable::default(), Rc::from("u"));
    let now = Millis(1_000);
    health.start(&id, 2, now);

    health.start(&id, 1, now);
    health.add_pending(&id, 1, 5_000, now);
    health.record_bytes(&id, 1, now);

    let entry = health.entry(&id, 2, now);
    assert_eq!((entry.in_flight, entry.starting, entry.pending), (1, 0, 0));
    assert!(!health.has_bytes_since(&id, 2, Millis(500), now));
}

/// Each further silent attempt doubles the ejection time up to its limit, so that an upstream that stays silent
/// costs fewer and fewer requests.
#[test]
fn ejections_grow_while_an_upstream_stays_silent() {
    let (mut health, id) = (HealthTable::default(), Rc::from("u"));
    let mut now = Millis(0);
    let mut durations = Vec::new();
    for _ in 0..5 {
        health.observe(&id, 1, AttemptOutcome::Silent, now);
        let start = now;
        while health.entry(&id, 1, now).is_ejected(now) {
            now = now + Millis(100);
        }
        durations.push(now.since(start).0);
    }

    assert_eq!(durations, [1_500, 3_000, 6_000, 8_000, 8_000]);
}

/// A copy lacks upstreams that have joined since; they register again within two seconds and must serve meanwhile.
#[test]
fn an_upstream_that_a_copy_lacks_is_used_until_it_should_have_registered_again() {
    let mut fleet = Fleet::default();
    fleet.put(ready("known", 1, 1));
    fleet.put(ready("new", 2, 1));
    fleet.put(draining("leaves", 1, 3));

    let changes = fleet.replace_by_copy(vec![ready("known", 1, 1)], copied_at(NOW));
    let in_grace = ids(&fleet);
    fleet.expire(Millis(2_000), Millis(2_000));
    let after_grace = ids(&fleet);
    fleet.put(ready("new", 2, 1));

    assert!(
        matches!(&changes[..], [Change::Gone(leaves), Change::Missing(new)]
        if &*leaves.id == "leaves" && &*new.id == "new")
    );
    assert_eq!(in_grace, ["known", "new"]);
    assert_eq!(after_grace, ["known"]);
    assert_eq!(ids(&fleet), ["known", "new"]);
}

/// A copy still has upstreams that have left since; another upstream may have their address by now.
#[test]
fn an_upstream_that_left_is_not_used_again_because_a_copy_has_it() {
    let mut fleet = Fleet::default();
    for id in ["drained", "removed"] {
        fleet.put(ready(id, 1, 5));
    }
    fleet.put(draining("drained", 1, 6));
    fleet.remove("removed", None);
    let copy = vec![ready("drained", 1, 5), ready("removed", 1, 4)];

    let changes = fleet.replace_by_copy(copy.clone(), copied_at(NOW));
    fleet.replace_by_copy(copy, copied_at(Millis(100)));
    let after_copy = ids(&fleet);
    fleet.release_lasting(Millis(5_600));
    let before_lifetime = ids(&fleet);

    assert!(matches!(
        &changes[..],
        [Change::Outdated(_), Change::Held(_)]
    ));
    assert!(after_copy.is_empty() && before_lifetime.is_empty());
}

/// A gateway may have taken an upstream for gone that lives; its word in the present history counts, and so does an entry that
/// a process that has ended would not have any more.
#[test]
fn a_held_entry_is_used_when_it_is_written_again_or_lasts() {
    let fleet_with_held = || {
        let mut fleet = Fleet::default();
        fleet.put(ready("u", 1, 5));
        fleet.remove("u", None);
        fleet.replace_by_copy(vec![ready("u", 1, 5)], copied_at(NOW));
        fleet
    };
    let [mut written, mut lasting, mut removed] = [(); 3].map(|()| fleet_with_held());

    written.put(ready("u", 1, 5));
    lasting.release_lasting(Millis(5_599));
    let too_early = ids(&lasting);
    lasting.release_lasting(Millis(5_600));
    removed.remove("u", None);
    removed.release_lasting(Millis(5_600));

    assert!(too_early.is_empty());
    assert_eq!(
        (ids(&written), ids(&lasting)),
        (vec!["u".to_owned()], vec!["u".to_owned()])
    );
    assert!(ids(&removed).is_empty());
}

/// A new process under an id that has left is newer than the departure, wherever it is listed.
#[test]
fn a_new_process_under_an_id_that_left_is_used_from_a_copy() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 5));
    fleet.remove("u", None);

    fleet.replace_by_copy(vec![ready("u", 2, 1)], copied_at(NOW));

    assert_eq!(ids(&fleet), ["u"]);
}

/// Departures of days must not add up in memory.
#[test]
fn departures_in_memory_are_limited() {
    let mut fleet = Fleet::default();
    for n in 0..10_000 {
        let id = format!("u{n:05}");
        fleet.put(ready(&id, 1, 1));
        fleet.remove(&id, None);
    }

    let oldest = fleet.replace_by_copy(vec![ready("u00000", 1, 1)], copied_at(NOW));
    let newest = fleet.replace_by_copy(vec![ready("u09999", 1, 1)], copied_at(NOW));

    assert!(matches!(&oldest[..], [Change::Joined(_)]));
    assert!(newest.iter().any(|c| matches!(c, Change::Held(_))));
}

/// An upstream whose grace has ended must not come back because the store is restored once more before it is removed here.
#[test]
fn a_grace_that_has_ended_does_not_start_anew_with_another_copy() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 1));
    fleet.replace_by_copy(Vec::new(), copied_at(NOW));

    let changes = fleet.replace_by_copy(Vec::new(), copied_at(Millis(2_100)));

    assert!(matches!(&changes[..], [Change::Gone(_)]));
    assert_eq!(fleet.ready("pool", Millis(2_100)).count(), 0);
}

/// A held entry is only used on the word of the store that listed it last.
#[test]
fn a_held_entry_is_dropped_when_the_next_copy_lacks_it() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 5));
    fleet.remove("u", None);
    fleet.replace_by_copy(vec![ready("u", 1, 5)], copied_at(NOW));

    fleet.replace_by_copy(Vec::new(), copied_at(Millis(5_700)));
    fleet.release_lasting(Millis(12_000));

    assert!(ids(&fleet).is_empty());
}

/// An upstream that stayed away from one restored store counts as gone; the older entry of the next copy must not bring it back.
#[test]
fn an_upstream_that_did_not_register_again_is_held_when_the_next_copy_has_it() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 5));
    fleet.replace_by_copy(Vec::new(), copied_at(NOW));
    fleet.expire(Millis(2_500), Millis(2_500));

    let copy = vec![ready("u", 1, 5)];
    let changes = fleet.replace_by_copy(copy, copied_at(Millis(3_000)));
    let from_copy = ids(&fleet);
    fleet.put(ready("u", 1, 5));

    assert!(matches!(&changes[..], [Change::Held(_)]));
    assert!(from_copy.is_empty());
    assert_eq!(ids(&fleet), ["u"]);
}

/// A gateway that was frozen while upstreams registered again has not heard that they left; the next copy may have them.
#[test]
fn an_upstream_that_registered_again_unheard_is_used_when_the_next_copy_has_it() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 5));
    fleet.replace_by_copy(Vec::new(), copied_at(NOW));

    let woken = CopyTimes {
        heard_at: NOW,
        ..copied_at(Millis(3_000))
    };
    fleet.replace_by_copy(vec![ready("u", 1, 5)], woken);

    assert_eq!(ids(&fleet), ["u"]);
}

/// A process that another one has replaced must not come back from a copy when the later one is missing.
#[test]
fn a_process_that_was_replaced_under_its_id_is_not_used_from_a_copy() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 5));
    fleet.put(ready("u", 2, 1));
    fleet.replace_by_copy(Vec::new(), copied_at(NOW));

    let woken = CopyTimes {
        heard_at: NOW,
        ..copied_at(Millis(3_000))
    };
    let changes = fleet.replace_by_copy(vec![ready("u", 1, 5)], woken);

    assert!(changes.iter().any(|c| matches!(c, Change::Held(_))));
    assert!(ids(&fleet).is_empty());
}

/// An upstream knows better than the store whether it leaves, which may lag or be out of reach.
#[test]
fn an_upstream_that_says_that_it_leaves_is_not_used_although_the_store_says_ready() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 1));
    fleet.put(ready("v", 1, 1));

    let change = fleet.record_leaving(&"u".into(), 1);

    assert!(matches!(change, Some(Change::Draining(u)) if &*u.id == "u"));
    assert_eq!(fleet.record_leaving(&"u".into(), 1), None);
    assert_eq!(ids(&fleet), ["v"]);
    assert_eq!(fleet.put(ready("u", 1, 2)), None);
    fleet.replace(vec![ready("u", 1, 3), ready("v", 1, 2)], None);
    fleet.replace_by_copy(vec![ready("u", 1, 1), ready("v", 1, 1)], copied_at(NOW));
    assert_eq!(ids(&fleet), ["v"]);
}

/// The entry of an upstream that leaves may expire and come back, and may arrive after the upstream's own word.
#[test]
fn the_word_of_an_upstream_that_leaves_outlasts_its_entry() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.record_leaving(&"u".into(), 7), None);

    fleet.put(ready("u", 7, 1));
    assert!(ids(&fleet).is_empty());
    fleet.remove("u", None);
    fleet.put(ready("u", 7, 2));

    assert!(ids(&fleet).is_empty());
    assert_eq!(fleet.leaving_count(), 1);
}

/// Another process, under the same id or at the same address, has not said that it leaves.
#[test]
fn another_process_does_not_inherit_that_an_upstream_leaves() {
    let mut fleet = Fleet::default();
    fleet.put(ready("u", 1, 1));
    fleet.record_leaving(&"u".into(), 1);

    fleet.put(ready("u", 2, 1));
    fleet.put(ready("w", 1, 1));

    assert_eq!(ids(&fleet), ["u", "w"]);
    // The answer of the earlier process is late.
    assert_eq!(fleet.record_leaving(&"u".into(), 1), None);
    assert_eq!(ids(&fleet), ["u", "w"]);
}
