//! Upstreams that are cold, at a gateway whose settings bound what these get.

use std::rc::Rc;

use super::fixture::{
    self, Action, FixedStore, events, field, gateway_ready, policy, scripted_upstream, send, status,
};
use crate::forward::gateway::Gateway;
use crate::forward::shared::{Policy, Shared};
use crate::router::cold::{BeaconWord, ColdBound};
use crate::router::turns::Lease;
use crate::units::Millis;

const OK: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
                  Content-Length: 2\r\n\r\nok";
const COLD: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
                    X-Fireflywind-Cold-Ms: 60000\r\nContent-Length: 2\r\n\r\nok";

/// Starts a gateway; the fixture's upstreams are cold for a minute after a start and bear one request a second then.
async fn bounded(upstreams: &[&fixture::ScriptedUpstream]) -> (Rc<Shared>, Gateway) {
    let policy = Policy {
        cold: Some(ColdBound {
            ratio: 1.0,
            slack: 2.0,
        }),
        ..policy()
    };
    let store = FixedStore::open(events(upstreams));
    let shared = Shared::open(policy, Box::new(store));
    let gateway = fixture::serve(Rc::clone(&shared));
    gateway_ready(&gateway).await;
    (shared, gateway)
}

/// Gives the gateway a beacon's word of an upstream that has run for long.
fn vouch(shared: &Shared, id: &str, lease: Option<Lease>) {
    let now = shared.clock.now();
    let word = BeaconWord {
        boot: Some(1),
        cold_left: Millis(0),
        answering_for: Millis::from_secs(600),
        asked_at: now,
        sent_at: shared.clock.unix(),
        lease,
    };
    let mut cold = shared.cold.borrow_mut();
    cold.observe_beacon(&id.into(), 1, word, now);
}

// Guards against requests to upstreams that nobody has vouched for, or that are lost where another one is free.
#[test]
fn requests_go_to_the_upstream_that_is_vouched_for() {
    fixture::run(async {
        let unknown = scripted_upstream(vec![Action::Write(OK)]).await;
        let warm = scripted_upstream(vec![Action::Write(OK)]).await;
        let (shared, gateway) = bounded(&[&unknown, &warm]).await;
        vouch(&shared, "u1", None);

        let mut statuses = Vec::new();
        for _ in 0..10 {
            statuses.push(status(&send(&gateway, "GET", "/safe/", "").await));
        }

        assert_eq!(statuses, [200; 10]);
        assert_eq!(unknown.requests.borrow().len(), 0);
    });
}

// Guards against a word in an answer that only the store's entry could give.
#[test]
fn an_upstream_that_says_that_it_is_cold_gets_no_more_without_a_lease() {
    fixture::run(async {
        let turns_cold = scripted_upstream(vec![Action::Write(COLD)]).await;
        let (shared, gateway) = bounded(&[&turns_cold]).await;
        vouch(&shared, "u0", None);

        let first = send(&gateway, "GET", "/safe/", "").await;
        let second = send(&gateway, "GET", "/safe/", "").await;

        assert_eq!([status(&first), status(&second)], [200, 503]);
        assert!(field(&second, "Retry-After").is_some(), "{second}");
        assert_eq!(turns_cold.requests.borrow().len(), 1);
    });
}

// Guards against a request that does not wait for a turn that comes in time.
#[test]
fn requests_to_a_cold_upstream_wait_for_turns() {
    fixture::run(async {
        let cold = scripted_upstream(vec![Action::Write(COLD)]).await;
        let (shared, gateway) = bounded(&[&cold]).await;
        let mut statuses = Vec::new();
        for _ in 0..3 {
            vouch(&shared, "u0", Lease::new(0, 1));
            statuses.push(status(&send(&gateway, "GET", "/safe/", "").await));
        }

        assert_eq!(statuses, [200; 3]);
        let text = shared.metrics.text();
        assert!(text.contains("cold_turn"), "{text}");
    });
}
