//! Evacuated data centres: when gateways take them into force, and that no path of a request leads there.

use std::rc::Rc;

use actix_rt::time::sleep;

use super::fixture::{
    self, Action, FixedStore, ScriptedUpstream, field, policy, registered, scripted_upstream, send,
    serve, status, table,
};
use super::model_store::{LinkState, ModelStore, Node};
use crate::fixtures::run_paused;
use crate::forward::follow::StoreEvent;
use crate::forward::gateway::Gateway;
use crate::forward::shared::Shared;
use crate::router::fleet::Upstream;
use crate::router::rollout::Phase;
use crate::units::Millis;

/// Time within which an evacuation must be in force on all gateways that reach the store.
const BOUND: Millis = Millis(5_000);

const OK: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
                  Content-Length: 2\r\n\r\nok";
const CUT_STREAM: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\n\
                          X-Fireflywind-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\n\
                          Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";

async fn pass(time: Millis) {
    sleep(time.duration()).await;
}

/// Returns whether all gateways have this data centre evacuated.
fn all_evacuated(nodes: &[Node], data_centre: &str) -> bool {
    let mut nodes = nodes.iter();
    nodes.all(|n| (n.shared.evacuations.borrow()).is_evacuated(data_centre))
}

/// Returns whether any gateway has this data centre evacuated.
fn any_evacuated(nodes: &[Node], data_centre: &str) -> bool {
    let mut nodes = nodes.iter();
    nodes.any(|n| (n.shared.evacuations.borrow()).is_evacuated(data_centre))
}

fn evacuated(data_centre: &str) -> StoreEvent {
    StoreEvent::Evacuated(data_centre.into())
}

fn order(to: &str) -> StoreEvent {
    StoreEvent::RolloutOrder {
        service: "pool".into(),
        to: to.into(),
        ramp: Millis::from_secs(24),
    }
}

/// An evacuation comes amid a roll-out and while configurations come in quick succession, and is taken back and ordered again.
#[test]
fn evacuations_are_in_force_in_time_amid_many_changes() {
    run_paused(async {
        let store = ModelStore::open();
        store.put_config(1);
        let nodes = Node::start_all(&store, 3);
        pass(Millis::from_secs(5)).await;
        store.put(order("v2"));

        for round in 0..4 {
            for version in 0..10 {
                store.put_config(2 + round * 10 + version);
                pass(Millis(90)).await;
            }
            store.put(evacuated("a"));
            store.put(evacuated("b"));
            pass(BOUND).await;
            assert!(all_evacuated(&nodes, "a") && all_evacuated(&nodes, "b"));
            store.remove("op/evacuate/a");
            pass(BOUND).await;
            assert!(!any_evacuated(&nodes, "a") && all_evacuated(&nodes, "b"));
            store.remove("op/evacuate/b");
            pass(Millis(100)).await;
        }
    });
}

/// Gateways are restarted while a data centre is evacuated; none takes a request before it knows.
#[test]
fn a_gateway_that_starts_knows_the_evacuations_before_it_takes_requests() {
    run_paused(async {
        let store = ModelStore::open();
        store.put_config(1);
        store.put(evacuated("b"));

        let node = Node::start(&store, "late");
        for _ in 0..500 {
            let is_loaded = node.shared.is_loaded.get();
            assert!(!is_loaded || all_evacuated(std::slice::from_ref(&node), "b"));
            pass(Millis(10)).await;
        }

        assert!(node.shared.is_loaded.get());
    });
}

/// Gateways are cut off from the store while one evacuation is ordered and another one is taken back.
#[test]
fn a_gateway_that_was_cut_off_catches_up_with_evacuations() {
    for state in [LinkState::Frozen, LinkState::Refused, LinkState::Silent] {
        run_paused(async {
            let store = ModelStore::open();
            store.put_config(1);
            store.put(evacuated("a"));
            let nodes = Node::start_all(&store, 3);
            pass(Millis::from_secs(5)).await;

            nodes[0].link.set(state);
            store.remove("op/evacuate/a");
            store.put(evacuated("b"));
            pass(Millis::from_secs(6)).await;
            assert!(nodes[0].shared.evacuations.borrow().is_evacuated("a"));
            nodes[0].link.set(LinkState::Open);
            pass(BOUND).await;

            assert!(!any_evacuated(&nodes, "a"), "{state:?}");
            assert!(all_evacuated(&nodes, "b"), "{state:?}");
        });
    }
}

/// A store comes back from a copy that was made before an evacuation; the operator writes it again two seconds later.
#[test]
fn an_evacuation_that_a_restored_store_lacks_never_ends() {
    run_paused(async {
        let store = ModelStore::open();
        store.put_config(1);
        let nodes = Node::start_all(&store, 3);
        pass(Millis::from_secs(5)).await;
        let copy = store.copy();
        store.put(evacuated("a"));
        pass(BOUND).await;

        store.take_away();
        pass(Millis::from_secs(2)).await;
        store.restore(&copy);
        for _ in 0..19 {
            pass(Millis(100)).await;
            assert!(all_evacuated(&nodes, "a"));
        }
        store.put(evacuated("a"));
        for _ in 0..100 {
            pass(Millis(100)).await;
            assert!(all_evacuated(&nodes, "a"));
        }
    });
}

/// Nobody writes the evacuation again: it was taken back while the store was away.
#[test]
fn an_evacuation_that_a_settled_store_lacks_ends() {
    run_paused(async {
        let store = ModelStore::open();
        store.put_config(1);
        let nodes = Node::start_all(&store, 3);
        pass(Millis::from_secs(5)).await;
        let copy = store.copy();
        store.put(evacuated("a"));
        pass(BOUND).await;

        store.restore(&copy);
        pass(BOUND + BOUND).await;

        assert!(!any_evacuated(&nodes, "a"));
    });
}

/// Returns the event of an upstream's registration in a data centre.
fn upstream_in(n: usize, upstream: &ScriptedUpstream, data_centre: &str) -> StoreEvent {
    StoreEvent::Upstream(Upstream {
        data_centre: data_centre.into(),
        ..registered(n, upstream.addr)
    })
}

/// Starts a gateway that lists these events besides the configuration.
async fn gateway_with(events: Vec<StoreEvent>) -> (Rc<Shared>, Gateway) {
    let table = StoreEvent::Table(Rc::new(table()), 1);
    let events = std::iter::once(table).chain(events).collect();
    let shared = Shared::open(policy(), Box::new(FixedStore::open(events)));
    let gateway = serve(Rc::clone(&shared));
    fixture::gateway_ready(&gateway).await;
    (shared, gateway)
}

/// Each kind of request, while one of two data centres is evacuated, and after it was taken back.
#[test]
fn requests_go_to_the_data_centres_that_are_left() {
    fixture::run(async {
        let near = scripted_upstream(vec![Action::Write(OK)]).await;
        let far = scripted_upstream(vec![Action::Write(OK)]).await;
        let events = vec![
            upstream_in(0, &near, "a"),
            upstream_in(1, &far, "b"),
            evacuated("a"),
        ];
        let (shared, gateway) = gateway_with(events).await;

        for path in ["/safe/", "/open/", "/once/", "/safe/", "/once/"] {
            let answer = send(&gateway, "POST", path, "").await;
            assert_eq!(status(&answer), 200, "{path}: {answer}");
        }
        assert_eq!(near.requests.borrow().len(), 0);
        assert_eq!(far.requests.borrow().len(), 5);

        let now = shared.clock.now();
        shared.evacuations.borrow_mut().end("a", now);
        shared.evacuations.borrow_mut().expire(now + BOUND);
        let answer = send(&gateway, "POST", "/safe/", "").await;
        assert_eq!(status(&answer), 200);
        assert_eq!(near.requests.borrow().len(), 1);
    });
}

/// The last data centre with upstreams is evacuated: nothing may be sent, and waiting for the deadline serves nobody.
#[test]
fn requests_are_refused_at_once_if_no_data_centre_is_left() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let events = vec![upstream_in(0, &upstream, "a"), evacuated("a")];
        let (shared, gateway) = gateway_with(events).await;

        for path in ["/safe/", "/once/", "/stream/", "/model/"] {
            let answer = send(&gateway, "POST", path, "").await;
            assert_eq!(status(&answer), 503, "{path}: {answer}");
            assert!(answer.contains("evacuated"), "{answer}");
            let retry_after = field(&answer, "Retry-After").and_then(|v| v.parse::<f64>().ok());
            assert!(retry_after.is_some_and(|s| s >= 1.0), "{answer}");
        }

        assert_eq!(upstream.requests.borrow().len(), 0);
        assert!(shared.metrics.text().contains("refused_evacuated"));
    });
}

/// An upstream fails before and within its answer; the retry and the resumption must not go to the evacuated data centre.
#[test]
fn retries_and_resumptions_do_not_go_to_an_evacuated_data_centre() {
    for action in [Action::Close, Action::WriteAndClose(CUT_STREAM)] {
        fixture::run(async {
            let failing = scripted_upstream(vec![action.clone()]).await;
            let evacuee = scripted_upstream(vec![Action::Write(OK)]).await;
            let events = vec![
                upstream_in(0, &failing, "b"),
                upstream_in(1, &evacuee, "a"),
                evacuated("a"),
            ];
            let (_, gateway) = gateway_with(events).await;

            for path in ["/safe/", "/once/", "/stream/"] {
                send(&gateway, "POST", path, "").await;
            }

            assert_eq!(evacuee.requests.borrow().len(), 0, "{action:?}");
            assert!(failing.requests.borrow().len() >= 3, "{action:?}");
        });
    }
}

/// All upstreams of the version that is being rolled out are in the evacuated data centre, and sessions have run on it.
#[test]
fn sessions_of_a_new_version_leave_an_evacuated_data_centre() {
    for phase in [Phase::Active, Phase::Complete] {
        fixture::run(async {
            let new = scripted_upstream(vec![Action::Write(OK)]).await;
            let old = scripted_upstream(vec![Action::Write(OK)]).await;
            let upgraded = StoreEvent::Upstream(Upstream {
                version: "v2".into(),
                ..registered(0, new.addr)
            });
            let recorded = StoreEvent::RolloutPhase {
                service: "pool".into(),
                to: "v2".into(),
                phase,
                revision: 2,
            };
            let events = vec![upgraded, upstream_in(1, &old, "b"), order("v2"), recorded];
            let (shared, gateway) = gateway_with(events).await;
            for session in 0..40 {
                let fields = format!("X-Fireflywind-Prefix-Hash: s{session}:1\r\n");
                send(&gateway, "POST", "/safe/", &fields).await;
            }
            let before = new.requests.borrow().len();

            let now = shared.clock.now();
            shared.evacuations.borrow_mut().start(&"a".into(), now);
            for session in 0..40 {
                let fields = format!("X-Fireflywind-Prefix-Hash: s{session}:1\r\n");
                let answer = send(&gateway, "POST", "/safe/", &fields).await;
                assert_eq!(status(&answer), 200, "{phase:?}");
            }

            assert_eq!(new.requests.borrow().len(), before, "{phase:?}");
        });
    }
}

/// A request was on its way to an upstream, waiting for the connection, when the evacuation came.
#[test]
fn running_requests_end_normally_while_their_data_centre_is_evacuated() {
    fixture::run(async {
        let upstream = fixture::slow_upstream(OK, Millis(300)).await;
        let listed = StoreEvent::Upstream(registered(0, upstream));
        let (shared, gateway) = gateway_with(vec![listed]).await;

        let evacuate = async {
            pass(Millis(100)).await;
            let now = shared.clock.now();
            shared.evacuations.borrow_mut().start(&"a".into(), now);
        };
        let (answer, ()) = tokio::join!(send(&gateway, "POST", "/once/", ""), evacuate);

        assert_eq!(status(&answer), 200, "{answer}");
    });
}
