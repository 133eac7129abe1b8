//! Upstreams that requests may use after several roll-outs.

use std::rc::Rc;

use super::fixture::{
    self, Action, FixedStore, events, gateway_ready, policy, scripted_upstream, send, serve, status,
};
use crate::forward::follow::StoreEvent;
use crate::forward::shared::Shared;
use crate::router::rollout::Phase;
use crate::units::Millis;

const OK: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
                  Content-Length: 2\r\n\r\nok";

/// The upstreams of a reverted version are still registered when the next version is ordered; they are not old upstreams.
#[test]
fn a_reverted_version_gets_no_requests_when_the_next_one_is_ordered() {
    fixture::run(async {
        let good = scripted_upstream(vec![Action::Write(OK)]).await;
        let bad = scripted_upstream(vec![Action::Write(OK)]).await;
        let mut events = events(&[&good, &bad]);
        for event in &mut events {
            if let StoreEvent::Upstream(upstream) = event
                && &*upstream.id == "u1"
            {
                upstream.version = "v2".into();
            }
        }
        let shared = Shared::open(policy(), Box::new(FixedStore::open(events)));
        let gateway = serve(Rc::clone(&shared));
        gateway_ready(&gateway).await;
        let order = |to: &str| {
            let now = shared.clock.now();
            let mut rollouts = shared.rollouts.borrow_mut();
            rollouts.add_order(&"pool".into(), to.into(), Millis::from_secs(24), now);
        };
        order("v2");
        (shared.rollouts.borrow_mut()).set_phase(&"pool".into(), &"v2".into(), Phase::Reverted, 1);

        order("v3");
        for n in 0..24 {
            let text = send(&gateway, "GET", &format!("/safe/{n}"), "").await;
            assert_eq!(status(&text), 200, "{text}");
        }

        assert_eq!(bad.requests.borrow().len(), 0);
        assert_eq!(good.requests.borrow().len(), 24);
        order("v2");
        assert!(!shared.rollouts.borrow().is_withdrawn("pool", "v2"));
    });
}
