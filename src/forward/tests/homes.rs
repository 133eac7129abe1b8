//! Home regions of routes and accounts: where requests with a home are sent, and what is refused.

use std::rc::Rc;

use super::fixture::{
    self, Action, FixedStore, ScriptedUpstream, account_with_homes, field, policy, registered,
    route_with_homes, scripted_upstream, send, serve, status,
};
use crate::forward::follow::StoreEvent;
use crate::forward::gateway::Gateway;
use crate::forward::shared::Shared;
use crate::router::fleet::Upstream;
use crate::router::table::{ClientLimits, RouteTable};

const OK: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
                  Content-Length: 2\r\n\r\nok";

/// Starts a gateway with the route `/safe/` and one account, both with homes, and with upstreams in these data centres.
async fn gateway_with(
    route_homes: &[&str],
    account_homes: &[&str],
    upstreams: &[(&ScriptedUpstream, &str)],
) -> Gateway {
    let routes = vec![Rc::new(route_with_homes(route_homes))];
    let keys = vec![("key-1".into(), Rc::new(account_with_homes(account_homes)))];
    let table = RouteTable::new(1, routes, Vec::new(), Some(keys), ClientLimits::default());
    let upstreams = (upstreams.iter().enumerate()).map(|(n, (upstream, data_centre))| {
        StoreEvent::Upstream(Upstream {
            data_centre: (*data_centre).into(),
            ..registered(n, upstream.addr)
        })
    });
    let table = StoreEvent::Table(Rc::new(table), 1);
    let events = std::iter::once(table).chain(upstreams).collect();
    let shared = Shared::open(policy(), Box::new(FixedStore::open(events)));
    let gateway = serve(shared);
    fixture::gateway_ready(&gateway).await;
    gateway
}

/// The upstream of the gateway's own data centre is idle, and the one at home fails: the retry must stay at home.
#[test]
fn a_request_with_a_home_is_sent_to_no_other_region() {
    for (route_homes, account_homes) in [
        (&["second"][..], &[][..]),
        (&[], &["second"]),
        (&["second", "first"], &["second"]),
    ] {
        fixture::run(async {
            let near = scripted_upstream(vec![Action::Write(OK)]).await;
            let unknown = scripted_upstream(vec![Action::Write(OK)]).await;
            let home = scripted_upstream(vec![Action::Close, Action::Write(OK)]).await;
            let upstreams = [(&near, "a"), (&unknown, "nowhere"), (&home, "c")];
            let gateway = gateway_with(route_homes, account_homes, &upstreams).await;

            for _ in 0..5 {
                send(&gateway, "POST", "/safe/", "").await;
            }

            assert!(home.requests.borrow().len() >= 5);
            assert_eq!(near.requests.borrow().len(), 0);
            assert_eq!(unknown.requests.borrow().len(), 0);
        });
    }
}

/// Route and account have no region in common, or no upstream is at home.
#[test]
fn a_request_without_an_upstream_at_home_is_refused_at_once() {
    for (route_homes, account_homes) in [(&["second"][..], &["first"][..]), (&["third"], &[])] {
        fixture::run(async {
            let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
            let upstreams = [(&upstream, "a"), (&upstream, "c")];
            let gateway = gateway_with(route_homes, account_homes, &upstreams).await;

            let answer = send(&gateway, "POST", "/safe/", "").await;

            assert_eq!(status(&answer), 503, "{answer}");
            assert!(answer.contains("not_home"), "{answer}");
            assert!(field(&answer, "Retry-After").is_some(), "{answer}");
            assert_eq!(upstream.requests.borrow().len(), 0);
        });
    }
}

#[test]
fn a_request_without_homes_uses_any_region() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let gateway = gateway_with(&[], &[], &[(&upstream, "nowhere")]).await;

        let answer = send(&gateway, "POST", "/safe/", "").await;

        assert_eq!(status(&answer), 200);
    });
}
