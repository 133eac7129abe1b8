//! Tests of the ledger against naive reference implementations, and of its limits.

mod simulation;

use std::collections::{BTreeMap, BTreeSet};

use super::keys::Key;
use super::*;
use crate::fixtures::{check_property, run_paused};
use crate::ids::Incarnation;
use crate::kv::Change;
use crate::kv::memory::MemoryKv;

fn call_charge(account: &str, request: RequestId, rank: (u16, u16), amount: u64) -> Charge {
    Charge {
        request,
        step: rank.0,
        attempt: rank.1,
        account: account.into(),
        item: Item::Call("order".to_owned()),
        amount: Micros(amount),
    }
}

// Guards against totals that differ from the sum of one row per request.
#[test]
fn bill_equals_a_naive_ledger_of_single_rows() {
    fn property(rows: Vec<(u8, u8, u8, u8)>) -> bool {
        let gateway = Incarnation(7);
        let mut ledger = GatewayLedger::new(gateway);
        for _ in 0..40 {
            ledger.open_request();
        }
        let mut naive: BTreeMap<RequestId, (bool, Option<Charge>)> = BTreeMap::new();
        let (mut orphans, mut idem) = (Vec::new(), Vec::new());
        for (n, rank, what, source) in rows {
            let seq = u64::from(n) % 40 + 1;
            let request = RequestId { gateway, seq };
            let rank = (u16::from(rank % 3), u16::from(rank / 3 % 2));
            let account = ["inci", "quetzal"][usize::from(what) % 2];
            // The amount is derived from the rank, because charges of equal rank are copies of one charge.
            let amount = 100 + u64::from(rank.0) * 10 + u64::from(rank.1) + seq * 1_000;
            let mut charge = call_charge(account, request, rank, amount);
            if seq.is_multiple_of(2) {
                let version = VersionRef::new("small", ["v1", "v2"][usize::from(rank.1)]);
                let (input, output) = (Tokens(amount), Tokens(seq));
                charge.item = Item::Tokens {
                    version,
                    input,
                    output,
                };
            }
            charge.account = if seq.is_multiple_of(3) {
                "inci"
            } else {
                "quetzal"
            }
            .into();
            let close = (source % 4 > 0).then(|| charge.clone());
            if source < 128 {
                if ledger.close(request, close.clone()).is_ok() {
                    naive.insert(request, (true, close));
                }
                continue;
            }
            if source % 2 == 0 {
                &mut orphans
            } else {
                &mut idem
            }
            .push(charge.clone());
            let row = naive.entry(request).or_insert((false, None));
            let newer = row.1.as_ref().is_none_or(|old| old.rank() < charge.rank());
            if !row.0 && newer {
                row.1 = Some(charge);
            }
        }
        let (agent, page) = (Incarnation(9), 3);
        let page = OrphanPage {
            gateway,
            agent,
            page,
            charges: orphans,
        };
        let mut entries = vec![(
            page.key(),
            serde_json::to_vec(&page).expect("a page has a JSON form"),
        )];
        if let Some(checkpoint) = ledger.flush(Millis(0)) {
            let value = serde_json::to_vec(&checkpoint).expect("a checkpoint has a JSON form");
            entries.push((checkpoint.key(), value));
        }
        let bill = Bill::union_with(&entries, &idem, &[]);

        let mut totals = Totals::default();
        naive
            .values()
            .filter_map(|(_, c)| c.as_ref())
            .for_each(|c| totals.add(c));
        let seqs: BTreeSet<_> = naive.keys().map(|id| id.seq).collect();
        let unknown: Intervals = (1..=40).filter(|n| !seqs.contains(n)).collect();
        let listed = bill
            .unknown
            .first()
            .map(|(_, ids)| ids.clone())
            .unwrap_or_default();
        bill.totals == totals && bill.requests == seqs.len() as u64 && listed == unknown
    }
    check_property(22, property as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}

// Guards against an interval set that gains or loses a number, or changes in a JSON round trip.
#[test]
fn intervals_equal_a_plain_set() {
    fn property(numbers: Vec<u8>, to: u8) -> bool {
        let mut set = Intervals::default();
        let mut plain = BTreeSet::new();
        for n in numbers {
            let n = u64::from(n % 64);
            let (len_with, added) = (set.len_with(n), set.insert(n));
            assert_eq!(added, n > 0 && plain.insert(n));
            assert!(n == 0 || len_with == set.pairs().len());
        }
        let to = u64::from(to % 80);
        let gaps: Intervals = (1..=to).filter(|n| !plain.contains(n)).collect();
        let prefix = (1..64).take_while(|n| plain.contains(n)).count() as u64;
        let json = serde_json::to_string(&set).expect("a set has a JSON form");
        let read: Intervals = serde_json::from_str(&json).expect("the JSON is a valid set");
        read == set
            && (0..100).all(|n| set.contains(n) == plain.contains(&n))
            && set.count() == plain.len() as u64
            && set.prefix() == prefix
            && set.missing(to) == gaps
    }
    check_property(23, property as fn(Vec<u8>, u8) -> bool);
}

// Guards against a panic on records that are damaged or were written by another version.
#[test]
fn unreadable_records_are_reported() {
    let key = Key::Checkpoint(Incarnation(1)).to_string();
    let overlapping = r#"{"gateway":"00000000000000000000000000000001","number":1,"opened":9,
        "closed":[[1,4],[4,9]],"totals":[]}"#;
    let entries = [(key.as_str(), overlapping), (key.as_str(), "{"), ("/x", "")];

    let bill = Bill::union(&entries);

    assert_eq!(bill.unreadable.len(), 3);
    assert_eq!(bill.requests, 0);
    assert_eq!(Key::parse(&key), Some(Key::Checkpoint(Incarnation(1))));
}

// Guards against a checkpoint over the service's value limit, and against a charge that is lost at the limit.
#[test]
fn checkpoint_stays_under_the_value_limit() {
    let gateway = Incarnation(u128::MAX);
    let mut ledger = GatewayLedger::new(gateway);
    let opened = 2 * (MAX_INTERVALS as u64 + 100);
    for _ in 0..opened {
        ledger.open_request();
    }
    let account = "a".repeat(crate::ids::MAX_NAME_BYTES - 6);
    // Only even numbers are closed, so each is an interval of its own; every charge adds a new row.
    for seq in (2..=opened).step_by(2) {
        let request = RequestId { gateway, seq };
        let charge = call_charge(&format!("{account}{seq}"), request, (0, 0), u64::MAX);
        assert_eq!(ledger.close(request, Some(charge)), Ok(()));
    }

    let checkpoint = ledger.flush(Millis(0)).expect("a flush is due");

    let (_, changes) = checkpoint.transaction(None);
    let [Change::Put { value, .. }] = &changes[..] else {
        panic!("the checkpoint is not written by exactly one change");
    };
    assert!(value.len() < crate::kv::MAX_VALUE_BYTES);
    assert_eq!(checkpoint.totals.requests(), checkpoint.closed.count());
    let waiting = opened / 2 - checkpoint.closed.count();
    assert!(waiting > 0);
    assert_eq!(ledger.open_requests().count(), opened / 2);
}

// Guards against checkpoint writes at the normal rate during an outage.
#[test]
fn flushes_back_off_during_an_outage() {
    let mut ledger = GatewayLedger::new(Incarnation(1));
    ledger.open_request();
    let mut writes = Vec::new();
    for second in 0..300 {
        let now = Millis::from_secs(second);
        if let Some(checkpoint) = ledger.flush(now) {
            ledger.on_flushed(checkpoint.number, FlushResult::NotApplied, now);
            writes.push(second);
        }
    }
    assert_eq!(writes[..7], [0, 1, 3, 7, 15, 31, 61]);
}

// Guards against an intent without an outcome that the bill omits or counts as known.
#[test]
fn an_intent_without_outcome_is_unknown() {
    let id = |seq| RequestId {
        gateway: Incarnation(3),
        seq,
    };
    let done = call_charge("inci", id(2), (0, 0), 5);

    let bill = Bill::union_with::<&str, &str>(&[], &[done], &[id(2), id(4)]);

    let unknown: Intervals = [1, 3, 4].into_iter().collect();
    assert_eq!(bill.unknown, [(Incarnation(3), unknown)]);
    assert_eq!(bill.totals.requests(), 1);
}

// Guards against charges that are lost if a restored service lacks the last checkpoint of a gateway without new requests.
#[test]
fn a_checkpoint_that_a_restore_lost_is_written_again() {
    run_paused(async {
        let kv = MemoryKv::open();
        let mut ledger = GatewayLedger::new(Incarnation(7));
        let copy = kv.copy();
        let request = ledger.open_request();
        let charge = call_charge("inci", request, (0, 0), 100);
        ledger.close(request, Some(charge)).expect("it is open");
        flush(&kv, &mut ledger, Millis(0)).await;
        assert!(ledger.is_flushed());

        kv.restore(copy);
        for second in 0..120 {
            flush(&kv, &mut ledger, Millis::from_secs(second)).await;
        }

        let bill = read_bill(&kv).await.expect("the service is up");
        assert_eq!(bill.requests, 1);
    });
}

async fn flush(kv: &MemoryKv, ledger: &mut GatewayLedger, now: Millis) {
    if let Some(checkpoint) = ledger.flush(now) {
        let result = write_checkpoint(kv, &checkpoint, ledger.stored()).await;
        ledger.on_flushed(checkpoint.number, result, now);
    }
}
