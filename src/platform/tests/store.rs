//! Tests of the client against a stand-in that implements the store's published protocol.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::forward::follow::{
    ControlPlane, ControlPlaneError, RolloutStart, RolloutWrite, StoreEvent,
};
use crate::platform::store::Store;
use crate::router::history::Era;
use crate::router::rollout::Phase;
use crate::suspect::{
    ContainmentRecord, ContainmentWrite, CrashRecord, EvidenceWrite, Feature, Report, Survival,
};
use crate::units::Millis;

/// Starts a store that returns these answers in turn, repeats the last one, and records the requests. It names no eras.
async fn start_store(answers: Vec<(u16, String)>) -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let answers = answers.into_iter().map(|answer| (0, answer));
    start_restored_store(answers.collect()).await
}

/// Starts a store like [`start_store`] that names the era of each answer, unless it is 0.
async fn start_restored_store(
    answers: Vec<(u64, (u16, String))>,
) -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback can be bound");
    let addr = listener.local_addr().expect("the listener is bound");
    let requests: Rc<RefCell<Vec<String>>> = Rc::default();
    let recorded = Rc::clone(&requests);
    actix_rt::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            let (answers, recorded) = (answers.clone(), Rc::clone(&recorded));
            actix_rt::spawn(async move {
                let mut buf = vec![0; 64 * 1024];
                while let Ok(length) = stream.read(&mut buf).await {
                    if length == 0 {
                        return;
                    }
                    let text = String::from_utf8_lossy(&buf[..length]).into_owned();
                    let next = recorded.borrow().len().min(answers.len() - 1);
                    recorded.borrow_mut().push(text);
                    let (era, (status, body)) = &answers[next];
                    let era = match era {
                        0 => String::new(),
                        era => format!("Store-Era: {era}\r\n"),
                    };
                    let answer = format!(
                        "HTTP/1.1 {status} X\r\n{era}Content-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (addr, requests)
}

fn item(key: &str, value: &str) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","rev":3,"created":1,"lease":0}}"#,
        BASE64.encode(value)
    )
}

fn page(items: &[String], has_more: bool, revision: u64) -> (u16, String) {
    let items = items.join(",");
    let text = format!(r#"{{"items":[{items}],"hasMore":{has_more},"storeRevision":{revision}}}"#);
    (200, text)
}

fn run<F: Future>(test: F) -> F::Output {
    actix_rt::System::new().block_on(test)
}

#[test]
fn a_list_reads_all_pages_and_returns_the_oldest_revision() {
    run(async {
        let config = item("op/config", r#"{"version":1,"routes":[]}"#);
        let bad = item("op/rollout/x", "not json");
        let order = item("op/rollout/y", r#"{"service":"y","to":"v2","rampS":12}"#);
        let answers = vec![
            page(&[config, bad], true, 10),
            page(&[order], false, 11),
            page(&[], false, 12),
            page(&[], false, 13),
        ];
        let (addr, requests) = start_store(answers).await;

        let listing = Rc::new(Store::open(addr))
            .list()
            .await
            .result
            .expect("the store answers");

        assert_eq!(listing.revision, 10);
        assert_eq!(listing.events.len(), 2);
        let requests = requests.borrow();
        assert!(requests[1].starts_with("GET /api/kv-range?prefix=op/&after=op/rollout/x "));
    });
}

/// LOST: one odd entry of another writer, also in the place of a sound one, stopped processes from following the list.
#[test]
fn odd_entries_do_not_hide_the_others() {
    run(async {
        let sound = |id: &str, port: u32| {
            let entry = format!(
                r#"{{"service":"x","addr":"10.1.2.3:{port}","zone":"a","version":"v1","slots":4,"state":"ready","coldLeftMs":0,"seq":1,"born":1}}"#
            );
            item(&format!("servers/{id}"), &entry)
        };
        let nested = "[".repeat(100_000);
        let odd = [
            item("servers/b", &nested),
            sound("c", 99_999),
            item("servers/d", r#"{"service":"x","slots":1e999}"#),
            item("servers/e", "not json"),
            r#"{"key":"servers/f","value":"no base64!","rev":3,"created":1,"lease":0}"#.to_owned(),
            r#"{"key":"servers/g","rev":3,"created":1,"lease":0}"#.to_owned(),
        ];
        let mut items = vec![sound("a", 80)];
        items.extend(odd);
        items.push(sound("z", 81));
        let changes = format!(r#"{{"events":[{}],"storeRevision":7}}"#, items.join(","));
        let empty = page(&[], false, 10);
        let mut answers = vec![empty.clone(), empty.clone(), empty];
        answers.push(page(&items, false, 10));
        answers.push((200, changes));
        let (addr, _) = start_store(answers).await;
        let store = Rc::new(Store::open(addr));

        let listed = store.list().await.result.expect("the store answers");
        let watched = store.watch(4, Millis(100)).await.result;
        let watched = watched.expect("the store answers");

        for listing in [listed, watched] {
            let ids = listing.events.iter().map(|event| match event {
                StoreEvent::Upstream(upstream) => &*upstream.id,
                _ => "?",
            });
            assert_eq!(ids.collect::<Vec<_>>(), ["a", "z"]);
        }
    });
}

#[test]
fn a_watch_returns_changes_and_removals() {
    run(async {
        let change = item("op/rollout/y", r#"{"service":"y","to":"v2","rampS":12}"#);
        let body = format!(
            r#"{{"events":[{change},{{"key":"servers/i-1","rev":5,"tombstone":true}}],"storeRevision":7}}"#
        );
        let (addr, requests) = start_store(vec![(200, body)]).await;

        let listing = Rc::new(Store::open(addr))
            .watch(4, Millis(100))
            .await
            .result
            .expect("the store answers");

        assert_eq!(listing.revision, 7);
        assert!(matches!(&listing.events[..],
            [StoreEvent::RolloutOrder { .. }, StoreEvent::UpstreamRemoved(id)] if &**id == "i-1"));
        assert!(requests.borrow()[0].starts_with("GET /api/kv-watch?prefix=&after=4&waitMs=100 "));
    });
}

#[test]
fn lost_history_conflicts_and_refusals_are_distinguished() {
    run(async {
        let (gone, _) = start_store(vec![(410, "{}".to_owned())]).await;
        let (busy, _) = start_store(vec![(503, "{}".to_owned())]).await;
        let (conflict, _) = start_store(vec![(412, "{\"items\":[]}".to_owned())]).await;

        let watch = Rc::new(Store::open(gone)).watch(4, Millis(0)).await.result;
        let list = Rc::new(Store::open(busy)).list().await.result;
        let write = Rc::new(Store::open(conflict))
            .write_rollout(write())
            .await
            .result;

        assert_eq!(watch.err(), Some(ControlPlaneError::HistoryLost));
        assert!(matches!(
            list.err(),
            Some(ControlPlaneError::Unavailable(_))
        ));
        assert_eq!(write.err(), Some(ControlPlaneError::Conflict));
    });
}

fn write() -> RolloutWrite {
    RolloutWrite {
        service: "x".into(),
        to: "v2".into(),
        phase: Phase::Active,
        revision: 3,
        settled_revision: Some(2),
        start: Some(RolloutStart {
            to: "v2".to_owned(),
            started_unix_ms: 1,
        }),
    }
}

/// Starts a store that answers each call with an empty page; the first answer arrives in small parts with pauses.
async fn start_slow_store(parts: usize, pause: Millis) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback can be bound");
    let addr = listener.local_addr().expect("the listener is bound");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut buf = vec![0; 64 * 1024];
        let mut is_first = true;
        while stream.read(&mut buf).await.is_ok_and(|length| length > 0) {
            let parts = if is_first { parts } else { 1 };
            is_first = false;
            let (_, page) = page(&[], false, 7);
            let padding = " ".repeat(1_000);
            let length = page.len() + parts * padding.len();
            let head = format!("HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n{page}");
            stream
                .write_all(head.as_bytes())
                .await
                .expect("the client reads");
            for _ in 0..parts {
                if parts > 1 {
                    actix_rt::time::sleep(pause.duration()).await;
                }
                stream
                    .write_all(padding.as_bytes())
                    .await
                    .expect("the client reads");
            }
        }
    });
    addr
}

/// Guards against one short time limit for the whole answer: a large configuration on a slow link exceeded it at
/// each try, and the gateway received no more changes.
#[test]
fn an_answer_that_keeps_arriving_is_read_to_its_end() {
    run(async {
        let addr = start_slow_store(12, Millis(100)).await;

        let listing = Rc::new(Store::open(addr)).list().await.result;

        assert_eq!(listing.map(|l| l.revision), Ok(7));
    });
}

/// CONFIG: a watch whose answer was too long was repeated until the store dropped its history, and the gateway used an old
/// configuration all the while.
#[test]
fn changes_that_are_too_long_are_not_an_outage() {
    run(async {
        let padding = " ".repeat(5 << 20);
        let long = format!(r#"{{"events":[],{padding}"storeRevision":9}}"#);
        let (addr, _) = start_store(vec![(200, long)]).await;

        let watch = Rc::new(Store::open(addr)).watch(4, Millis(0)).await.result;

        assert_eq!(watch.err(), Some(ControlPlaneError::TooLong));
    });
}

/// CONFIG: on a slow link a long answer was given up after 5 s, and asked for again.
#[test]
fn changes_that_keep_arriving_for_too_long_are_not_an_outage() {
    run(async {
        let addr = start_slow_store(60, Millis(100)).await;

        let watch = Rc::new(Store::open(addr)).watch(4, Millis(0)).await.result;

        assert_eq!(watch.err(), Some(ControlPlaneError::TooLong));
    });
}

/// LOST: answers of the store without end, several at once, must not take the memory of a small gateway.
#[test]
fn answers_of_the_store_without_end_share_a_bounded_memory() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback can be bound");
        let addr = listener.local_addr().expect("the listener is bound");
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                actix_rt::spawn(async move {
                    let mut buf = [0; 4_096];
                    let _ = stream.read(&mut buf).await;
                    let mut part = b"HTTP/1.1 200 X\r\n\r\n".to_vec();
                    while stream.write_all(&part).await.is_ok() {
                        part = vec![b' '; 64 * 1_024];
                    }
                });
            }
        });
        let store = Rc::new(Store::open(addr));
        let calls: Vec<_> = (0..8)
            .map(|n| {
                let store = Rc::clone(&store);
                actix_rt::spawn(async move {
                    if n % 2 == 0 {
                        let result = store.watch(4, Millis(1_000)).await.result;
                        assert!(matches!(result, Err(ControlPlaneError::TooLong)));
                    } else {
                        let result = store.write_rollout(write()).await.result;
                        assert!(matches!(result, Err(ControlPlaneError::Unavailable(_))));
                    }
                })
            })
            .collect();

        let mut most = 0;
        while calls.iter().any(|call| !call.is_finished()) {
            most = most.max(store.held_bytes());
            actix_rt::time::sleep(Millis(1).duration()).await;
        }

        for call in calls {
            call.await.expect("the call ends without a panic");
        }
        assert!(most <= 16 * 1_024 * 1_024, "{most} bytes");
        assert_eq!(store.held_bytes(), 0);
    });
}

/// Guards against two gateways that overwrite each other's roll-out decisions.
#[test]
fn a_state_is_written_only_over_the_known_revision() {
    run(async {
        let (addr, requests) = start_store(vec![(200, r#"{"rev":9}"#.to_owned())]).await;

        let revision = Rc::new(Store::open(addr))
            .write_rollout(write())
            .await
            .result;

        assert_eq!(revision, Ok(9));
        let requests = requests.borrow();
        assert!(requests[0].starts_with("POST /api/kv-txn "));
        assert!(requests[0].contains(r#""precondition":[{"key":"status/rollout/x","rev":3},{"key":"fireflywind/settled","rev":2}]"#));
        assert!(requests[0].contains("fireflywind/rollout/x"));
    });
}

#[test]
fn a_call_to_a_store_that_is_down_fails() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback can be bound");
        let addr = listener.local_addr().expect("the listener is bound");
        drop(listener);

        let list = Rc::new(Store::open(addr)).list().await.result;

        assert!(matches!(list, Err(ControlPlaneError::Unavailable(_))));
    });
}

/// A gateway's report and a change of a containment are one write, with a lease that is taken first and used again.
#[test]
fn evidence_is_written_at_once_with_a_lease() {
    run(async {
        let answers = vec![
            (200, r#"{"lease":77,"ttlMs":600000}"#.to_owned()),
            (200, r#"{"rev":12}"#.to_owned()),
            (412, r#"{"items":[]}"#.to_owned()),
            (404, "{}".to_owned()),
            (200, r#"{"lease":78,"ttlMs":600000}"#.to_owned()),
            (200, r#"{"rev":13}"#.to_owned()),
        ];
        let (addr, requests) = start_store(answers).await;
        let store = Rc::new(Store::open(addr));
        let record = containment();
        let write = |containment| EvidenceWrite {
            settled_revision: None,
            gateway: "g1".into(),
            report: Report::default(),
            containment,
        };
        let change = ContainmentWrite {
            key: record.key(),
            record: Some(record.clone()),
            revision: 0,
        };
        let removal = ContainmentWrite {
            key: record.key(),
            record: None,
            revision: 12,
        };

        let written = store.write_evidence(write(Some(change))).await.result;
        let conflict = store.write_evidence(write(Some(removal))).await.result;
        let lease_lost = store.write_evidence(write(None)).await.result;
        let again = store.write_evidence(write(None)).await.result;

        assert_eq!(written, Ok(12));
        assert_eq!(conflict, Err(ControlPlaneError::Conflict));
        assert!(matches!(lease_lost, Err(ControlPlaneError::Unavailable(_))));
        assert_eq!(again, Ok(13));
        let requests = requests.borrow();
        let key = format!("fireflywind/contained/{}", record.key());
        assert!(requests[0].starts_with("POST /api/kv-lease "));
        assert!(requests[1].contains(r#""key":"fireflywind/crashes/g1","lease":77"#));
        assert!(requests[1].contains(&format!(r#""precondition":[{{"key":"{key}","rev":0}}]"#)));
        assert!(requests[2].contains(&format!(r#""deletes":["{key}"]"#)));
        assert!(requests[4].starts_with("POST /api/kv-lease "));
        assert!(requests[5].contains(r#""lease":78"#));
    });
}

#[test]
fn evidence_is_read_back() {
    run(async {
        let record = containment();
        let report = Report {
            crashes: vec![CrashRecord {
                upstream: "i-1".into(),
                boot: 5,
                at: Millis(9),
                features: vec![Feature(2), Feature(3)],
            }],
            survivals: vec![Survival {
                feature: Feature(4),
                at: Millis(8),
                count: 2,
            }],
        };
        let key = format!("fireflywind/contained/{}", record.key());
        let items = [
            item(
                "fireflywind/crashes/g1",
                &serde_json::to_string(&report).expect("it can be encoded"),
            ),
            item(
                &key,
                &serde_json::to_string(&record).expect("it can be encoded"),
            ),
            format!(r#"{{"key":"{key}","rev":5,"tombstone":true}}"#),
            item("fireflywind/contained/0", "{}"),
        ];
        let body = format!(r#"{{"events":[{}],"storeRevision":7}}"#, items.join(","));
        let (addr, _) = start_store(vec![(200, body)]).await;

        let listing = Rc::new(Store::open(addr))
            .watch(4, Millis(100))
            .await
            .result;

        let expected = vec![
            StoreEvent::CrashReport(report),
            StoreEvent::Contained {
                record: record.clone(),
                revision: 3,
            },
            StoreEvent::ContainmentRemoved(record.key()),
        ];
        assert_eq!(listing.expect("the store answers").events, expected);
    });
}

fn containment() -> ContainmentRecord {
    ContainmentRecord {
        features: vec![Feature(2)],
        since: Millis(10),
        last_crash: Millis(9),
        crashes: 3,
        trials: 0,
        next_trial: Millis(15_010),
        gateway: "g1".into(),
    }
}

/// A refusal names the era too; without the header there is a single one.
#[test]
fn each_answer_names_its_era() {
    run(async {
        let busy = (503, "{}".to_owned());
        let lost = (410, "{}".to_owned());
        let answers = vec![(7, busy), (8, lost), (0, page(&[], false, 4))];
        let (addr, _) = start_restored_store(answers).await;
        let store = Rc::new(Store::open(addr));

        let refused = store.list().await;
        let lost = store.watch(4, Millis(0)).await;
        let unnamed = store.list().await;

        assert_eq!(
            [refused.era, lost.era, unnamed.era],
            [7, 8, 0].map(|era| Some(Era(era)))
        );
        assert_eq!(lost.result.err(), Some(ControlPlaneError::HistoryLost));
        assert!(refused.result.is_err() && unnamed.result.is_ok());
    });
}

/// Half of a listing from before a restore and half from after it is no state that the store ever had.
#[test]
fn pages_of_two_eras_are_not_joined() {
    run(async {
        let answers = vec![(1, page(&[], false, 90)), (2, page(&[], false, 40))];
        let (addr, _) = start_restored_store(answers).await;

        let list = Rc::new(Store::open(addr)).list().await;

        assert_eq!(list.result.err(), Some(ControlPlaneError::HistoryChanged));
        assert_eq!(list.era, Some(Era(2)));
    });
}

/// A restored store gives the number of a lease out again; what is written under it would end with another's lease.
#[test]
fn a_lease_of_another_era_is_not_used() {
    run(async {
        let lease = |id: u64| (200, format!(r#"{{"lease":{id},"ttlMs":600000}}"#));
        let written = || (200, r#"{"rev":9}"#.to_owned());
        let answers = vec![
            (1, lease(5)),
            (1, written()),
            (2, page(&[], false, 3)),
            (2, page(&[], false, 3)),
            (2, page(&[], false, 3)),
            (2, page(&[], false, 3)),
            (2, lease(6)),
            (2, written()),
        ];
        let (addr, requests) = start_restored_store(answers).await;
        let store = Rc::new(Store::open(addr));
        let write = || EvidenceWrite {
            gateway: "g".into(),
            report: Report::default(),
            containment: None,
            settled_revision: None,
        };

        let first = store.write_evidence(write()).await;
        let listed = store.list().await;
        let second = store.write_evidence(write()).await;

        assert_eq!([first.result, second.result], [Ok(9), Ok(9)]);
        assert_eq!(listed.result.map(|l| l.revision), Ok(3));
        let requests = requests.borrow();
        assert!(requests[1].contains(r#""lease":5"#) && requests[7].contains(r#""lease":6"#));
    });
}
