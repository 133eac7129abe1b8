//! No requests to upstreams that leave: from the event in the store to the last request.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::Poll;

use super::fixture::{
    self, Action, FixedStore, events, policy, registered, scripted_upstream, send, serve, status,
    table,
};
use crate::fixtures::run_paused;
use crate::forward::follow::{
    self, ControlPlane, ControlPlaneError, Listing, RolloutWrite, StoreAnswer, StoreEvent,
};
use crate::forward::shared::{Policy, Shared};
use crate::kv::LocalFuture;
use crate::router::comparison::AnswerReport;
use crate::router::fleet::{Upstream, UpstreamState};
use crate::router::history::Era;
use crate::suspect::EvidenceWrite;
use crate::units::Millis;

/// Time after the store's event from which an upstream that leaves must get no request; the shortest bound of
/// the deployments.
const DRAIN_BOUND: Millis = Millis(2_000);

/// Time after which a gateway whose store connections went silent must be current again; the shortest bound of
/// the deployments.
const CATCH_UP_BOUND: Millis = Millis(3_000);

/// Time that the store's client allows for a response beyond the wait of a watch.
const RESPONSE_MARGIN: Millis = Millis(700);

/// What the store does with one watch call.
enum Step {
    /// Fails after a time.
    Fail(Millis),
    /// Does not answer until the client's time-out.
    NoResponse,
    /// Returns changes after a time.
    Changes(Millis, Vec<StoreEvent>),
}

/// A store that lists two upstreams and answers watches by a script; after its end there are no changes.
struct ScriptedStore {
    steps: RefCell<VecDeque<Step>>,
}

impl ControlPlane for ScriptedStore {
    fn list(&self) -> LocalFuture<'_, StoreAnswer<Listing>> {
        Box::pin(async {
            let listing = Listing {
                events: vec![
                    StoreEvent::Table(Rc::new(table()), 1),
                    StoreEvent::Upstream(upstream("leaves", UpstreamState::Ready, 1)),
                    StoreEvent::Upstream(upstream("stays", UpstreamState::Ready, 1)),
                ],
                revision: 1,
            };
            StoreAnswer::of(Ok(listing), Era::UNNAMED)
        })
    }

    fn watch(&self, after: u64, wait: Millis) -> LocalFuture<'_, StoreAnswer<Listing>> {
        let step = self.steps.borrow_mut().pop_front();
        Box::pin(async move {
            let (pause, result) = match step {
                Some(Step::Fail(pause)) => (pause, Err(unavailable())),
                Some(Step::NoResponse) => (wait + RESPONSE_MARGIN, Err(unavailable())),
                Some(Step::Changes(pause, events)) => (pause, Ok(listing(events, after + 1))),
                None => (wait, Ok(listing(Vec::new(), after))),
            };
            actix_rt::time::sleep(pause.duration()).await;
            StoreAnswer::of(result, Era::UNNAMED)
        })
    }

    fn write_rollout(&self, _write: RolloutWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_settled(&self, _settled: Era) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_answers(&self, _report: AnswerReport) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_evidence(&self, _write: EvidenceWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }
}

fn unavailable() -> ControlPlaneError {
    ControlPlaneError::Unavailable("no answer".to_owned())
}

fn listing(events: Vec<StoreEvent>, revision: u64) -> Listing {
    Listing { events, revision }
}

fn upstream(id: &str, state: UpstreamState, seq: u64) -> Upstream {
    let addr = "127.0.0.1:1".parse().expect("the address is valid");
    Upstream {
        id: id.into(),
        state,
        seq,
        ..registered(0, addr)
    }
}

fn removal() -> Vec<StoreEvent> {
    vec![StoreEvent::UpstreamRemoved("leaves".into())]
}

fn follow(policy: Policy, steps: Vec<Step>) -> Rc<Shared> {
    let control = ScriptedStore {
        steps: RefCell::new(steps.into()),
    };
    let shared = Shared::open(policy, Box::new(control));
    actix_rt::spawn(follow::run(Rc::clone(&shared)));
    shared
}

/// Returns the upstreams that may get a request now.
fn usable(shared: &Shared) -> Vec<String> {
    let fleet = shared.fleet.borrow();
    let now = shared.clock.now();
    fleet.ready("pool", now).map(|u| u.id.to_string()).collect()
}

async fn sleep_until(shared: &Shared, at: Millis) {
    let left = at.since(shared.clock.now());
    actix_rt::time::sleep(left.duration()).await;
}

/// After one failed call of this gateway, a removal was mistaken for an entry that had expired in an outage of
/// the store, and the leaving upstream got requests for seconds.
#[test]
fn an_upstream_removed_after_one_failed_call_gets_no_more_requests() {
    run_paused(async {
        let steps = vec![
            Step::Fail(Millis(500)),
            Step::Changes(Millis(100), removal()),
        ];
        let shared = follow(policy(), steps);

        // Listing, delay after it, failed call, back-off, and the response with the removal.
        sleep_until(&shared, Millis(1_600)).await;

        assert_eq!(usable(&shared), ["stays"]);
    });
}

/// The grace period of an expired entry ended only with the store's next response.
#[test]
fn an_expired_entry_is_dropped_without_another_response_of_the_store() {
    run_paused(async {
        let outage = (0..8).map(|_| Step::Fail(Millis(100)));
        let steps = outage
            .chain([Step::Changes(Millis(0), removal())])
            .collect();
        let shared = follow(policy(), steps);
        while shared
            .departures
            .borrow_mut()
            .record_send("leaves", 1, Millis(0))
            .is_none()
        {
            actix_rt::time::sleep(Millis(10).duration()).await;
        }
        let removed_at = shared.clock.now();
        assert_eq!(usable(&shared), ["leaves", "stays"]);

        sleep_until(&shared, removed_at + DRAIN_BOUND).await;

        assert_eq!(usable(&shared), ["stays"]);
    });
}

/// While a watch waited on a connection that had gone silent, a leaving upstream got requests for seconds.
#[test]
fn a_silent_watch_hides_a_leaving_upstream_no_longer_than_the_catch_up_bound() {
    for key_revocation in [Some(Millis(5_000)), None] {
        run_paused(async {
            let draining = upstream("leaves", UpstreamState::Draining, 2);
            let steps = vec![
                Step::NoResponse,
                Step::Changes(Millis(0), vec![StoreEvent::Upstream(draining)]),
            ];
            let policy = Policy {
                key_revocation,
                ..policy()
            };
            let shared = follow(policy, steps);
            // The watch begins after the listing and the delay after it, and is silent from then on.
            sleep_until(&shared, Millis(450)).await;
            let silent_since = shared.clock.now();

            sleep_until(&shared, silent_since + CATCH_UP_BOUND).await;

            assert_eq!(usable(&shared), ["stays"], "keys within {key_revocation:?}");
        });
    }
}

/// Waits until a gateway has begun to open a connection, without letting the runtime poll the sockets.
async fn wait_until_connecting(shared: &Shared) {
    std::future::poll_fn(|cx| {
        let is_connecting = shared.metrics.text().contains("upstream_connection");
        if is_connecting {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// A request was sent to an upstream that began to leave after it was chosen, while the connection was being
/// opened.
#[test]
fn a_request_is_not_sent_to_an_upstream_that_began_to_leave_while_the_connection_was_opened() {
    fixture::run(async {
        const OK: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\n\
                          X-Fireflywind-Server-Stamp: s1\r\nContent-Length: 2\r\n\r\nok";
        let leaves = scripted_upstream(vec![Action::Write(OK)]).await;
        let control = FixedStore::open(events(&[&leaves]));
        let shared = Shared::open(policy(), Box::new(control));
        let gateway = serve(Rc::clone(&shared));
        let addr = leaves.addr;
        let leaving = Rc::clone(&shared);
        actix_rt::spawn(async move {
            wait_until_connecting(&leaving).await;
            let mut draining = registered(0, addr);
            draining.state = UpstreamState::Draining;
            leaving.fleet.borrow_mut().put(draining);
        });

        let answer = send(&gateway, "POST", "/once/", "").await;

        assert_eq!(status(&answer), 503, "{answer}");
        assert!(leaves.requests.borrow().is_empty());
    });
}
