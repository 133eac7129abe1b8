//! Tests of the in-memory key-value service, and of the etcd client against the stand-in.

use std::net::SocketAddr;

use quickcheck::{Arbitrary, Gen};

use super::budget::{CallBudget, CallKind};
use super::etcd::EtcdKv;
use super::memory::{Fault, MemoryKv};
use super::wire::{Blob, Int64, TxnRequest, WatchAnswer, prefix_range};
use super::*;
use crate::fixtures::{check_property, run_paused};
use crate::standin::{self, Running};

/// A budget that no test exhausts.
const UNLIMITED: CallBudget = CallBudget::new(1_000_000, 1_000_000);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a stand-in with its own store, and a client for it.
fn standin_kv() -> (Running, MemoryKv, EtcdKv) {
    let store = MemoryKv::open();
    let running = standin::kv::bind(loopback(), store.clone()).expect("loopback can be bound");
    let kv = EtcdKv::open(vec![running.addr()], UNLIMITED);
    (running, store, kv)
}

/// Runs a future on the real clock, for tests with sockets.
fn run<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

// Guards against a fault that drops the write together with its answer.
#[test]
fn a_write_whose_answer_is_lost_has_taken_effect() {
    run_paused(async {
        let kv = MemoryKv::open();
        kv.set_fault(Fault::LoseNextWrite);

        let outcome = kv.txn(vec![], vec![Change::put("a", "1")]).await;

        assert!(outcome.is_err_and(|error| error.may_have_applied()));
        let entry = kv.get("a").await.expect("the service is back");
        assert_eq!(entry.map(|e| e.value), Some(Bytes::from_static(b"1")));
    });
}

// Guards against a lease that does not expire and against keys that outlive their lease.
#[test]
fn keys_are_removed_when_their_lease_expires() {
    run_paused(async {
        let kv = MemoryKv::open();
        let lease = kv
            .grant(Millis::from_secs(5))
            .await
            .expect("the service is up");
        let put = Change::Put {
            key: "a".into(),
            value: "1".into(),
            lease: Some(lease),
        };
        kv.txn(vec![], vec![put]).await.expect("the service is up");

        actix_rt::time::sleep(Millis::from_secs(6).duration()).await;

        assert_eq!(kv.get("a").await, Ok(None));
        assert_eq!(kv.keep_alive(lease).await, Err(KvError::LeaseGone));
    });
}

// Guards against an in-memory store that applies a transaction which etcd would reject.
#[test]
fn a_transaction_changes_each_key_once() {
    run_paused(async {
        let kv = MemoryKv::open();
        let changes = vec![Change::put("a", "1"), Change::Delete("a".into())];
        let outcome = kv.txn(vec![], changes).await;
        assert!(matches!(outcome, Err(KvError::Refused(_))), "{outcome:?}");
        assert_eq!(kv.revision(), 0);
    });
}

// Guards against stale reads that return changes made after the fault was set.
#[test]
fn stale_reads_return_old_entries_and_writes_apply() {
    run_paused(async {
        let kv = MemoryKv::open();
        let first = kv.txn(vec![], vec![Change::put("a", "1")]).await;
        kv.set_fault(Fault::StaleReads);

        let compare = vec![Compare::ModRevision("a".into(), 1)];
        let second = kv.txn(compare, vec![Change::put("a", "2")]).await;
        let stale = kv.get("a").await;

        assert_eq!(first, Ok(TxnOutcome::Applied(1)));
        assert_eq!(second, Ok(TxnOutcome::Applied(2)));
        assert_eq!(stale.map(|e| e.map(|e| e.mod_revision)), Ok(Some(1)));
    });
}

/// A call of the differential test; keys and leases come from small sets so that calls affect one another.
#[derive(Debug, Clone)]
enum Op {
    Get(u8),
    List(u8),
    Txn {
        conditions: Vec<(u8, u8)>,
        changes: Vec<(u8, u8, u8)>,
    },
    Grant,
    KeepAlive(u8),
    Revoke(u8),
    Fault(Fault),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let bytes: [u8; 5] = std::array::from_fn(|_| u8::arbitrary(g));
        let [kind, arg, ..] = bytes;
        match kind % 16 {
            0..=2 => Self::Get(arg),
            3 | 4 => Self::List(arg),
            5..=10 => Self::Txn {
                conditions: Vec::from([(bytes[2], bytes[3])]).split_off(usize::from(arg % 2)),
                changes: Vec::from([(arg, bytes[2], bytes[3]), (bytes[3], bytes[4], arg)])
                    .split_off(usize::from(bytes[2] % 3)),
            },
            11 => Self::Grant,
            12 => Self::KeepAlive(arg),
            13 => Self::Revoke(arg),
            14 => Self::Fault(Fault::None),
            _ => Self::Fault(FAULTS[usize::from(arg) % FAULTS.len()]),
        }
    }
}

const FAULTS: [Fault; 4] = [
    Fault::Out,
    Fault::LoseAnswers,
    Fault::LoseNextWrite,
    Fault::StaleReads,
];

fn key(n: u8) -> String {
    // The range end of the last key's prefix is the byte 0x80, which is not valid UTF-8 by itself.
    ["a", "a/b", "a/c", "b", "\u{7f}"][usize::from(n % 5)].to_owned()
}

fn prefix(n: u8) -> &'static str {
    ["", "a", "a/", "b", "\u{7f}"][usize::from(n % 5)]
}

fn lease(n: u8) -> LeaseId {
    LeaseId(u64::from(n % 4) + 1)
}

fn change((key_index, value, lease_index): (u8, u8, u8)) -> Change {
    match value % 4 {
        0 => Change::Delete(key(key_index)),
        1 => Change::Put {
            key: key(key_index),
            value: Bytes::from(vec![value]),
            lease: Some(lease(lease_index)),
        },
        _ => Change::put(key(key_index), vec![value; usize::from(lease_index)]),
    }
}

fn compare((key_index, revision): (u8, u8)) -> Compare {
    if revision.is_multiple_of(2) {
        Compare::Absent(key(key_index))
    } else {
        Compare::ModRevision(key(key_index), u64::from(revision / 2 % 8))
    }
}

/// Result of a call without the error texts, which differ between the client and the store.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Entries(Vec<Entry>),
    Txn(TxnOutcome),
    Lease(LeaseId),
    Done,
    Read(KvError),
    /// A write that was unreachable or lost its answer; over an open connection the client cannot distinguish
    /// the two.
    WriteUnreachableOrLost,
    WriteError(KvError),
}

fn without_reason(error: &KvError) -> KvError {
    match error {
        KvError::Unreachable(_) => KvError::Unreachable(String::new()),
        KvError::AnswerLost(_) => KvError::AnswerLost(String::new()),
        KvError::Refused(_) => KvError::Refused(String::new()),
        KvError::LeaseGone => KvError::LeaseGone,
    }
}

fn write_error(error: KvError) -> Outcome {
    match error {
        KvError::Unreachable(_) | KvError::AnswerLost(_) => Outcome::WriteUnreachableOrLost,
        other => Outcome::WriteError(without_reason(&other)),
    }
}

async fn apply(kv: &dyn KeyValue, op: &Op) -> Outcome {
    let read = |error| Outcome::Read(without_reason(&error));
    match op {
        Op::Get(n) => {
            let entry = kv.get(&key(*n)).await;
            entry.map_or_else(read, |entry| Outcome::Entries(entry.into_iter().collect()))
        }
        Op::List(n) => kv
            .list(prefix(*n))
            .await
            .map_or_else(read, Outcome::Entries),
        Op::Txn {
            conditions,
            changes,
        } => {
            let conditions = conditions.iter().copied().map(compare).collect();
            let changes = changes.iter().copied().map(change).collect();
            let outcome = kv.txn(conditions, changes).await;
            outcome.map_or_else(write_error, Outcome::Txn)
        }
        Op::Grant => {
            let lease = kv.grant(Millis::from_secs(1_000)).await;
            lease.map_or_else(write_error, Outcome::Lease)
        }
        Op::KeepAlive(n) => {
            let renewed = kv.keep_alive(lease(*n)).await;
            renewed.map_or_else(write_error, |()| Outcome::Done)
        }
        Op::Revoke(n) => {
            let revoked = kv.revoke(lease(*n)).await;
            revoked.map_or_else(write_error, |()| Outcome::Done)
        }
        Op::Fault(_) => Outcome::Done,
    }
}

// Guards against a client whose results differ from those of the store, with and without faults.
#[test]
fn client_agrees_with_the_store_on_random_calls() {
    fn property(ops: Vec<Op>) -> bool {
        run(async {
            let (_running, store, client) = standin_kv();
            let oracle = MemoryKv::open();
            for op in ops {
                if let Op::Fault(fault) = op {
                    store.set_fault(fault);
                    oracle.set_fault(fault);
                }
                if apply(&client, &op).await != apply(&oracle, &op).await {
                    return false;
                }
            }
            true
        })
    }
    check_property(11, property as fn(Vec<Op>) -> bool);
}

// Guards against a write with a lost answer that is reported as having had no effect.
#[test]
fn client_reports_a_lost_answer_of_a_write_that_took_effect() {
    run(async {
        let (_running, store, kv) = standin_kv();
        store.set_fault(Fault::LoseNextWrite);

        let outcome = kv.txn(vec![], vec![Change::put("a", "1")]).await;

        assert!(
            matches!(outcome, Err(KvError::AnswerLost(_))),
            "{outcome:?}"
        );
        let entry = kv.get("a").await.expect("the service is back");
        assert_eq!(entry.map(|e| e.value), Some(Bytes::from_static(b"1")));
        assert_eq!(kv.calls().writes, 1);
        assert_eq!(store.revision(), 1);
    });
}

// Guards against a refused connection that is reported as a lost answer, and against a client that keeps
// using an unreachable address.
#[test]
fn client_uses_the_next_address_after_a_refused_connection() {
    run(async {
        let (dead, _, _) = standin_kv();
        let dead_addr = dead.addr();
        dead.stop().await;
        let (alive, _, _) = standin_kv();
        let kv = EtcdKv::open(vec![dead_addr, alive.addr()], UNLIMITED);

        let first = kv.txn(vec![], vec![Change::put("a", "1")]).await;
        let second = kv.txn(vec![], vec![Change::put("a", "2")]).await;

        assert!(matches!(first, Err(KvError::Unreachable(_))), "{first:?}");
        assert_eq!(second, Ok(TxnOutcome::Applied(1)));
    });
}

// Guards against a watch that misses a change before or after its start.
#[test]
fn watch_returns_on_a_change() {
    run(async {
        let (_running, store, kv) = standin_kv();
        store
            .txn(vec![], vec![Change::put("a", "1")])
            .await
            .expect("the store is up");
        let put = async {
            // The third call that the store counts is the second watch.
            while store.calls() < 3 {
                tokio::task::yield_now().await;
            }
            store.txn(vec![], vec![Change::put("a", "2")]).await
        };

        let earlier = kv.watch("a", 0).await;
        let (later, _) = futures_util::join!(kv.watch("a", 1), put);

        let value = |seen: Result<Option<Entry>, _>| seen.ok().flatten().map(|e| e.value);
        assert_eq!(value(earlier), Some(Bytes::from_static(b"1")));
        assert_eq!(value(later), Some(Bytes::from_static(b"2")));
        // A watch that ends without an event reads the key with a second call.
        assert_eq!(kv.calls().reads, 2);
    });
}

// Guards against a client that does not receive the removal of a key whose lease expired or was revoked.
#[test]
fn watch_returns_when_a_lease_ends() {
    run(async {
        let (_running, _store, kv) = standin_kv();
        for ends_early in [true, false] {
            let lease = kv
                .grant(Millis::from_secs(1))
                .await
                .expect("the service is up");
            let put = Change::Put {
                key: "holder".into(),
                value: "1".into(),
                lease: Some(lease),
            };
            let applied = kv.txn(vec![], vec![put]).await;
            let Ok(TxnOutcome::Applied(revision)) = applied else {
                panic!("the write failed: {applied:?}");
            };
            if ends_early {
                assert_eq!(kv.keep_alive(lease).await, Ok(()));
                assert_eq!(kv.revoke(lease).await, Ok(()));
            }

            let reads = kv.calls().reads;
            assert_eq!(kv.watch("holder", revision).await, Ok(None));
            // A watch that ends without an event reads the key with a second call.
            assert_eq!(kv.calls().reads, reads + 1);
            assert_eq!(kv.get("holder").await, Ok(None));
            assert_eq!(kv.keep_alive(lease).await, Err(KvError::LeaseGone));
            assert_eq!(kv.revoke(lease).await, Ok(()));
        }
    });
}

// Guards against a write that timed out after it was sent and is reported as having had no effect.
#[test]
fn an_answer_after_the_timeout_is_reported_as_lost() {
    run(async {
        let (running, store, _) = standin_kv();
        store.set_delay(Millis::from_secs(60));
        let kv = EtcdKv::open_with_timeout(vec![running.addr()], UNLIMITED, Millis(100));
        let outcome = kv.txn(vec![], vec![Change::put("a", "1")]).await;
        assert!(
            matches!(outcome, Err(KvError::AnswerLost(_))),
            "{outcome:?}"
        );
    });
}

// Guards against a budget that allows more calls than its rate.
#[test]
fn budget_never_allows_more_than_its_rate() {
    fn property(steps: Vec<(u16, bool)>) -> bool {
        let rate = 10;
        let mut budget = CallBudget::new(rate, 0);
        let mut now = Millis(0);
        let mut allowed: Vec<Millis> = Vec::new();
        for (step, read) in steps {
            now = now + Millis(u64::from(step % 300));
            let kind = if read {
                CallKind::Read
            } else {
                CallKind::Write
            };
            if budget.take(kind, now) {
                assert!(read, "a rate of zero allows no call");
                allowed.push(now);
            }
        }
        // In every window, at most the full bucket and the calls refilled since are allowed.
        allowed.iter().enumerate().all(|(first, from)| {
            allowed[first..]
                .iter()
                .zip(1_u64..)
                .all(|(to, count)| count * 1_000 <= u64::from(rate) * (1_000 + to.since(*from).0))
        })
    }
    check_property(12, property as fn(Vec<(u16, bool)>) -> bool);
}

// Guards against a call that is sent although the budget is exhausted.
#[test]
fn client_refuses_calls_when_the_budget_is_exhausted() {
    run(async {
        let (running, store, _) = standin_kv();
        let kv = EtcdKv::open(vec![running.addr()], CallBudget::new(0, 0));

        assert!(matches!(kv.get("a").await, Err(KvError::Refused(_))));
        assert!(matches!(
            kv.txn(vec![], vec![]).await,
            Err(KvError::Refused(_))
        ));
        assert_eq!(store.calls(), 0);
        assert_eq!(kv.calls().refused_writes, 1);
    });
}

// Guards against messages that the stand-in accepts and etcd does not; the JSON follows etcd's documentation.
#[test]
fn messages_have_the_form_of_etcd() {
    let txn = r#"{"compare":[{"createRevision":"2","target":"CREATE","result":"EQUAL","key":"Zm9v"}],
        "success":[{"requestPut":{"key":"Zm9v","value":"YmFy"}}]}"#;
    let txn: TxnRequest = serde_json::from_str(txn).expect("the text is a transaction");
    let written = serde_json::to_string(&txn).expect("a transaction has a JSON form");
    assert_eq!(
        written,
        concat!(
            r#"{"compare":[{"key":"Zm9v","target":"CREATE","result":"EQUAL","create_revision":"2"}],"#,
            r#""success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"0"}}]}"#
        )
    );
    let event = r#"{"header":{"cluster_id":"1","member_id":"2","revision":"2","raft_term":"2"},
        "events":[{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1",
        "value":"YmFy"}}]}"#;
    let answer: WatchAnswer = serde_json::from_str(event).expect("the text is an event");
    assert_eq!(answer.events[0].kv.value, Blob::from("bar"));
    assert_eq!(answer.events[0].kv.mod_revision, Int64(2));
    assert_eq!(prefix_range("foo").1, Blob::from("fop"));
}
