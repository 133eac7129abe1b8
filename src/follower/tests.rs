//! Tests of the follower of the sheet in force.

use super::*;
use crate::fixtures::{self, run_paused};
use crate::ids::VersionRef;
use crate::kv::memory::{Fault, MAX_WATCH_WAIT, MemoryKv};
use crate::operator::apply;
use crate::sheet::VersionState;
use crate::sheet::digest::ApplyId;

fn follower(name: &str, kv: &MemoryKv) -> Follower {
    Follower::open(name, Rc::new(kv.clone()), Clock::start(), 7)
}

async fn apply_sheet(kv: &MemoryKv, sheet: &Sheet, base: Option<u64>) -> u64 {
    let applied = apply(kv, sheet, base, ApplyId::random()).await;
    applied
        .expect("the service is up and there is no concurrent apply")
        .revision
}

async fn wait_for_revision(follower: &Follower, revision: u64) {
    while follower.revision() < revision {
        sleep(Millis(10).duration()).await;
    }
}

/// Exchanges messages between two processes until none are queued.
fn exchange_messages(from: &Follower, from_name: &str, to: &Follower, to_name: &str) {
    for _ in 0..20 {
        let to_peer = from.take_messages(to_name);
        let from_peer = to.take_messages(from_name);
        if to_peer.is_none() && from_peer.is_none() {
            return;
        }
        assert!(to_peer.is_none_or(|bytes| to.on_messages(&bytes).is_some()));
        assert!(from_peer.is_none_or(|bytes| from.on_messages(&bytes).is_some()));
    }
}

fn sheet_with_withdrawn_version() -> Sheet {
    let mut sheet = fixtures::sheet();
    sheet.cascades[0]
        .steps
        .retain(|step| *step != VersionRef::new("small", "v1"));
    let small = sheet.models.iter_mut().find(|m| m.id.as_str() == "small");
    small.expect("the fixture has the model small").versions[0].state = VersionState::Withdrawn;
    sheet
}

// Guards against an applied sheet that does not come into force in a process.
#[test]
fn an_applied_sheet_comes_into_force() {
    run_paused(async {
        let kv = MemoryKv::open();
        let follower = follower("a", &kv);

        let first = apply_sheet(&kv, &fixtures::sheet(), None).await;
        wait_for_revision(&follower, first).await;
        let second = apply_sheet(&kv, &sheet_with_withdrawn_version(), Some(first)).await;
        wait_for_revision(&follower, second).await;

        let held = follower.in_force().expect("a sheet is in force");
        assert_eq!(
            (held.revision, &held.sheet),
            (second, &sheet_with_withdrawn_version())
        );
        assert!(follower.may_serve());
    });
}

// Guards against a process that starts during an outage and serves no sheet, or an older one than a peer has.
#[test]
fn a_process_that_starts_during_an_outage_gets_the_sheet_from_a_peer() {
    run_paused(async {
        let kv = MemoryKv::open();
        let old = follower("old", &kv);
        let revision = apply_sheet(&kv, &fixtures::sheet(), None).await;
        wait_for_revision(&old, revision).await;
        kv.set_fault(Fault::Out);
        let new = follower("new", &kv);
        assert_eq!(new.admit(revision), Admission::FetchFirst);

        new.set_peers(&["old".to_owned()]);
        for _ in 0..40 {
            sleep(STEP_INTERVAL.duration()).await;
            exchange_messages(&new, "new", &old, "old");
        }

        assert_eq!(new.revision(), revision);
        assert!(new.may_serve());
        assert_eq!(new.admit(revision - 1), Admission::CallerOutdated);
    });
}

// Guards against a process that serves requests with a sheet whose last confirmation is too old.
#[test]
fn requests_are_not_served_with_an_unconfirmed_sheet() {
    run_paused(async {
        let kv = MemoryKv::open();
        let follower = follower("a", &kv);
        let revision = apply_sheet(&kv, &fixtures::sheet(), None).await;
        wait_for_revision(&follower, revision).await;
        kv.set_fault(Fault::Out);

        sleep(Millis::from_secs(7_100).duration()).await;
        assert!(follower.may_serve());
        sleep(Millis::from_secs(200).duration()).await;
        assert!(!follower.may_serve());
        kv.set_fault(Fault::None);
        sleep(Millis::from_secs(30).duration()).await;
        assert!(follower.may_serve());
    });
}

// Guards against malformed bytes from a peer that crash a process.
#[test]
fn arbitrary_messages_are_refused() {
    run_paused(async {
        let follower = follower("a", &MemoryKv::open());
        for bytes in [
            &b""[..],
            b"{}",
            b"{\"from\":\"b\",\"messages\":[{}]}",
            b"\xff",
        ] {
            assert_eq!(follower.on_messages(bytes), None);
        }
    });
}

/// Applies one sheet, and another one that a restore of the service loses; returns their revisions.
async fn lose_a_sheet(kv: &MemoryKv, follower: &Follower) -> (u64, u64) {
    let first = apply_sheet(kv, &fixtures::sheet(), None).await;
    wait_for_revision(follower, first).await;
    let copy = kv.copy();
    let lost = apply_sheet(kv, &sheet_with_withdrawn_version(), Some(first)).await;
    wait_for_revision(follower, lost).await;
    kv.restore(copy);
    (first, lost)
}

// Guards against a process that goes back to an older sheet when its service is restored, or counts it as confirmed.
#[test]
fn a_restored_service_neither_brings_back_an_older_sheet_nor_confirms_the_newer_one() {
    run_paused(async {
        let kv = MemoryKv::open();
        let follower = follower("a", &kv);
        let (_, lost) = lose_a_sheet(&kv, &follower).await;

        sleep(Millis::from_secs(7_300).duration()).await;

        let held = follower.in_force().expect("a sheet is in force");
        assert_eq!(held.sheet, sheet_with_withdrawn_version());
        assert_eq!(follower.revision(), lost);
        assert!(!follower.may_serve());
    });
}

// Guards against a sheet that is applied after a restore and is not in force, because its revision, or the service's, was
// given out before.
#[test]
fn a_sheet_that_is_applied_after_a_restore_comes_into_force() {
    run_paused(async {
        let kv = MemoryKv::open();
        let follower = follower("a", &kv);
        let (first, lost) = lose_a_sheet(&kv, &follower).await;
        let mut newer = sheet_with_withdrawn_version();
        newer.cascades.reverse();
        newer.policy.max_staleness = Millis::from_secs(100);

        let again = apply_sheet(&kv, &newer, Some(first)).await;

        assert_eq!(again, lost);
        // A watch of the replaced history ends after its longest wait.
        sleep((MAX_WATCH_WAIT + Millis::from_secs(3)).duration()).await;
        let held = follower.in_force().expect("a sheet is in force");
        assert_eq!(held.sheet, newer);
        assert!(follower.may_serve());
    });
}
