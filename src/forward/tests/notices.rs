//! Upstreams that say themselves that they leave.

use super::fixture::{
    self, Action, ScriptedUpstream, events, gateway, gateway_ready, policy, scripted_upstream,
    send, serve, status,
};
use crate::fixtures::run_paused;
use crate::forward::gateway::Gateway;
use crate::forward::notices::LeavingSource;
use crate::forward::shared::Shared;

const OK: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
                  X-Fireflywind-Confidence: 99\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

/// Answers of an upstream that leaves, on the route where it gives them.
const LEAVING: [(&str, &str); 7] = [
    (
        "/safe/",
        "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
         Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
    ),
    (
        "/once/",
        "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
         server-leaving:1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ),
    (
        "/once/",
        "HTTP/1.1 503 Full\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Not-Run: 1\r\nServer-Leaving: 1\r\n\
         Content-Length: 0\r\n\r\n",
    ),
    (
        "/safe/",
        "HTTP/1.1 500 Error\r\nX-Fireflywind-Request-Id: ID\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
    ),
    (
        "/stream/",
        "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
         Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nid: 1\ndata: a\n\n",
    ),
    (
        "/model/",
        "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
         X-Fireflywind-Confidence: 1\r\nServer-Leaving: 1\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
    ),
    (
        "/safe/",
        "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
         Server-Leaving: 1\r\n\r\nok",
    ),
];

/// Number of requests that are sent before or after an event; with two upstreams some reach each of them.
const REQUESTS: usize = 24;

fn received(upstream: &ScriptedUpstream) -> usize {
    upstream.requests.borrow().len()
}

async fn send_many(gateway: &Gateway, path: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for n in 0..REQUESTS {
        let path = format!("{path}{n}");
        statuses.push(status(&send(gateway, "POST", &path, "").await));
    }
    statuses
}

/// The word comes with any answer, also of a refusal or an error, while the store goes on to say that the upstream is ready.
#[test]
fn an_upstream_that_leaves_takes_nothing_new_after_its_answer() {
    fixture::run(async {
        for (path, answer) in LEAVING {
            for kept in [0, 3] {
                let mut script = vec![Action::Write(OK); kept];
                let ends = answer.contains("\r\n\r\nok") && !answer.contains("Content-Length")
                    || path == "/stream/";
                script.push(if ends {
                    Action::WriteAndClose(answer)
                } else {
                    Action::Write(answer)
                });
                // An answer after that would show a request that should not have come.
                script.push(Action::Write(OK));
                let leaving = scripted_upstream(script).await;
                let stays = scripted_upstream(vec![Action::Write(OK)]).await;
                let gateway = gateway(&[&leaving, &stays]).await;
                let fields = if path == "/model/" {
                    "X-Fireflywind-Model: *\r\n"
                } else {
                    ""
                };

                let mut tries = 0;
                while received(&leaving) <= kept && tries < 200 {
                    send(&gateway, "POST", &format!("{path}{tries}"), fields).await;
                    tries += 1;
                }

                let case = format!("{path} after {kept}: {answer}");
                assert_eq!(received(&leaving), kept + 1, "{case}");
                assert_eq!(
                    send_many(&gateway, "/safe/").await,
                    [200; REQUESTS],
                    "{case}"
                );
                assert_eq!(received(&leaving), kept + 1, "{case}");
            }
        }
    });
}

/// Another upstream that has got the address refuses what was meant for the one before; that it leaves says nothing of that one.
#[test]
fn the_word_of_another_upstream_at_the_address_is_not_taken() {
    fixture::run(async {
        let other = "HTTP/1.1 421 Misdirected\r\nX-Fireflywind-Request-Id: ID\r\nServer-Leaving: 1\r\n\
                     Content-Length: 0\r\n\r\n";
        let upstream = scripted_upstream(vec![Action::Write(other), Action::Write(OK)]).await;
        let shared = Shared::open(
            policy(),
            Box::new(fixture::FixedStore::open(events(&[&upstream]))),
        );
        let gateway = serve(std::rc::Rc::clone(&shared));
        gateway_ready(&gateway).await;

        send(&gateway, "POST", "/safe/", "").await;

        assert!(!shared.fleet.borrow().is_leaving("u0", 1));
    });
}

/// A load report tells it too, from the upstream itself or from the beacon beside it; a report of another process does not.
#[test]
fn a_leaving_upstream_is_known_from_its_load_report() {
    run_paused(async {
        for source in [LeavingSource::Probe, LeavingSource::Beacon] {
            let shared = Shared::open(policy(), Box::new(fixture::FixedStore::open(Vec::new())));
            let addr = "127.0.0.1:1".parse().expect("the address is valid");
            shared.fleet.borrow_mut().put(fixture::registered(0, addr));
            let is_ready = || shared.fleet.borrow().is_ready("u0", 1, shared.clock.now());

            shared.record_leaving(&"u0".into(), 9, source);
            assert!(is_ready());
            shared
                .fleet
                .borrow_mut()
                .put(crate::router::fleet::Upstream {
                    boot: 10,
                    ..fixture::registered(0, addr)
                });
            shared.record_leaving(&"u0".into(), 10, source);
            let now = shared.clock.now();
            assert!(!shared.fleet.borrow().is_ready("u0", 10, now));
        }
    });
}
