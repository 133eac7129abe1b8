//! Containments across a restore of the store, which may lack their records or have older ones.

use super::evidence::{at, contained, crash, gateway, is_refused, sorted};
use crate::suspect::{ContainmentRecord, Decision, EvidenceWrite, WriteResult};
use crate::units::Millis;

/// Time by which a gateway of a small deployment has written what a restored store lacks.
const REWRITTEN: Millis = Millis(600);

fn record_of(write: &EvidenceWrite) -> Option<&ContainmentRecord> {
    write.containment.as_ref().and_then(|c| c.record.as_ref())
}

/// Upstreams must not be crashed again by what had been contained, and a gateway that starts later must find the record.
#[test]
fn a_containment_that_the_copy_lacks_stays_in_force_and_is_recorded_again() {
    let (mut evidence, record) = contained();
    let request = sorted(["bad", "y"]);
    evidence.apply(record.clone(), 100);

    evidence.enter_history(at(9), 3);
    evidence.retain_listed(&[]);
    let is_contained = is_refused(&mut evidence, &request, at(9));
    let write = evidence
        .due_write(at(9) + REWRITTEN, 3)
        .expect("the record is due");
    evidence.record_write(&write, WriteResult::Written(7), at(10));
    let again = evidence.due_write(at(11), 3);

    assert!(is_contained);
    assert_eq!(
        record_of(&write).map(|r| &r.features),
        Some(&record.features)
    );
    assert_eq!(write.containment.map(|c| c.revision), Some(0));
    assert_eq!(again.and_then(|w| w.containment), None);
    assert!(is_refused(&mut evidence, &request, at(11)));
}

/// The copy's record may be from before a trial; taken at its word, it would allow the same trial again.
#[test]
fn an_older_record_in_the_copy_does_not_replace_the_known_one() {
    let (mut evidence, record) = contained();
    let tried = ContainmentRecord {
        trials: 1,
        next_trial: record.next_trial + Millis::from_secs(90),
        ..record.clone()
    };
    let request = sorted(["bad", "y"]);
    evidence.apply(tried.clone(), 100);

    evidence.enter_history(at(9), 3);
    evidence.apply(record.clone(), 40);
    evidence.retain_listed(&[record.key()]);
    let write = evidence
        .due_write(at(9) + REWRITTEN, 3)
        .expect("the record is due");
    let refusal = evidence.decide(&request, record.next_trial + Millis(1));

    assert_eq!(record_of(&write), Some(&tried));
    assert_eq!(write.containment.map(|c| c.revision), Some(40));
    assert!(matches!(refusal, Decision::Refuse(r) if r.retry_after > Millis::from_secs(60)));
}

/// What another gateway has written in the present history counts, whatever its revision.
#[test]
fn a_record_of_the_present_history_is_taken_at_a_lower_revision() {
    let (mut evidence, record) = contained();
    evidence.apply(record.clone(), 100);
    let tried = ContainmentRecord {
        trials: 2,
        ..record.clone()
    };

    evidence.enter_history(at(9), 3);
    evidence.apply(tried, 12);
    let write = evidence.due_write(at(12), 3);
    evidence.remove(record.key());

    assert_eq!(write.and_then(|w| w.containment), None);
    assert!(!is_refused(&mut evidence, &sorted(["bad", "y"]), at(12)));
}

/// The claim of a trial is gone with the record; two gateways must not both try.
#[test]
fn a_trial_that_was_claimed_in_another_history_is_not_run() {
    let (mut evidence, record) = contained();
    evidence.apply(record.clone(), 100);
    let request = sorted(["bad", "y"]);
    let due = record.next_trial + Millis(1);
    is_refused(&mut evidence, &request, due);
    let claim = evidence.due_write(due, 3).expect("a trial is due");
    evidence.record_write(&claim, WriteResult::Written(101), due);

    evidence.enter_history(due, 3);

    assert!(is_refused(&mut evidence, &request, due));
}

/// Reports of crashes lead to the verdicts of gateways that start later; the copy may lack them.
#[test]
fn the_report_of_a_gateway_is_written_again() {
    let mut evidence = gateway("a");
    crash(&mut evidence, 0..2, &sorted(["bad", "common"]));
    let first = evidence.due_write(at(3), 3).expect("a crash is reported");
    evidence.record_write(&first, WriteResult::Written(8), at(3));
    let quiet = evidence.due_write(at(5), 3);

    evidence.enter_history(at(6), 3);
    let again = evidence
        .due_write(at(6) + REWRITTEN, 3)
        .expect("it is reported again");

    assert_eq!(quiet, None);
    assert_eq!(again.report.crashes, first.report.crashes);
}
