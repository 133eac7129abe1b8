//! Upstreams that say themselves that they leave, or that they want a pause.

use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::fixture::{
    self, Action, ScriptedUpstream, events, field, gateway, gateway_ready, policy, read_message,
    scripted_upstream, send, serve, status,
};
use crate::fixtures::run_paused;
use crate::forward::follow::StoreEvent;
use crate::forward::gateway::Gateway;
use crate::forward::notices::LeavingSource;
use crate::forward::shared::Shared;
use crate::router::rollout::Phase;
use crate::units::Millis;

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
        let gateway = serve(Rc::clone(&shared));
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

/// An upstream that asks for a pause gets one, whatever other answers are on the way.
#[test]
fn an_upstream_that_wants_a_pause_gets_no_request() {
    fixture::run(async {
        for refusal in [
            "HTTP/1.1 503 Busy\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Not-Run: 1\r\nRetry-After: 60\r\n\
             Content-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Not-Run: 1\r\nRetry-After: no\r\n\
             retry-after: 60.5\r\nRetry-After: 0.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ] {
            for path in ["/safe/", "/once/", "/stream/"] {
                let busy = scripted_upstream(vec![Action::Write(refusal)]).await;
                let other = scripted_upstream(vec![Action::Write(OK)]).await;
                let gateway = gateway(&[&busy, &other]).await;

                let mut statuses = Vec::new();
                while received(&busy) == 0 {
                    statuses.extend(send_many(&gateway, path).await);
                }
                statuses.extend(send_many(&gateway, path).await);

                // The client of the refused request got the other upstream's answer.
                assert!(statuses.iter().all(|s| *s == 200), "{path}: {statuses:?}");
                assert_eq!(received(&busy), 1, "{path}");
            }
        }
    });
}

/// A pause that outlasts the deadline is told to the client at once; there is nothing to wait for.
#[test]
fn a_request_is_refused_at_once_if_every_upstream_pauses_past_its_deadline() {
    fixture::run(async {
        let busy = "HTTP/1.1 503 Busy\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Not-Run: 1\r\n\
                    Retry-After: 20\r\nContent-Length: 0\r\n\r\n";
        let upstreams = [
            scripted_upstream(vec![Action::Write(busy)]).await,
            scripted_upstream(vec![Action::Write(busy)]).await,
        ];
        let gateway = gateway(&[&upstreams[0], &upstreams[1]]).await;
        send(&gateway, "POST", "/once/", "").await;

        let text = send(&gateway, "POST", "/once/", "").await;

        assert_eq!(status(&text), 503, "{text}");
        assert!(text.contains("paused"), "{text}");
        let retry_after = field(&text, "Retry-After").and_then(|v| v.parse::<f64>().ok());
        // The rest of the pause, and the spread of up to a quarter and 400 ms; the test itself takes some time.
        assert!(retry_after.is_some_and(|s| s > 3.0 && s < 25.5), "{text}");
        assert_eq!(upstreams.map(|u| received(&u)), [1, 1]);
    });
}

/// A pause that ends in time is waited for: the client would come back too early or too late, or not at all.
#[test]
fn a_request_waits_for_a_pause_that_ends_before_its_deadline() {
    fixture::run(async {
        let busy = "HTTP/1.1 503 Busy\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Not-Run: 1\r\n\
                    Retry-After: 0.2\r\nContent-Length: 0\r\n\r\n";
        let upstream = scripted_upstream(vec![Action::Write(busy), Action::Write(OK)]).await;
        let shared = Shared::open(
            policy(),
            Box::new(fixture::FixedStore::open(events(&[&upstream]))),
        );
        let gateway = serve(Rc::clone(&shared));
        gateway_ready(&gateway).await;

        let text = send(&gateway, "POST", "/once/", "").await;

        assert_eq!(status(&text), 200, "{text}");
        assert_eq!(received(&upstream), 2);
        assert!(shared.metrics.text().contains("pause_waited_for"));
    });
}

/// A pause is no failure: it must not take the upstream out of use beyond its end.
#[test]
fn a_pause_does_not_count_as_a_failure() {
    fixture::run(async {
        let busy = "HTTP/1.1 503 Busy\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Not-Run: 1\r\n\
                    Retry-After: 0.001\r\nContent-Length: 0\r\n\r\n";
        let upstream = scripted_upstream(vec![Action::Write(busy)]).await;
        let shared = Shared::open(
            policy(),
            Box::new(fixture::FixedStore::open(events(&[&upstream]))),
        );
        let gateway = serve(Rc::clone(&shared));
        gateway_ready(&gateway).await;

        for _ in 0..12 {
            send(
                &gateway,
                "POST",
                "/once/",
                "X-Fireflywind-Deadline-Ms: 300\r\n",
            )
            .await;
            actix_rt::time::sleep(Millis(2).duration()).await;
        }

        let now = shared.clock.now();
        let mut health = shared.health.borrow_mut();
        let health = health.entry(&"u0".into(), 1, now);
        assert!(!health.is_ejected(now));
        assert!(health.failure_rate() < 0.01, "{}", health.failure_rate());
    });
}

/// If all upstreams of the version that a request should run on want a pause, those of the other version serve it, as if there were
/// none.
#[test]
fn a_paused_version_falls_back_to_the_other_one() {
    fixture::run(async {
        let busy = "HTTP/1.1 503 Busy\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Not-Run: 1\r\n\
                    Retry-After: 60\r\nContent-Length: 0\r\n\r\n";
        let new = scripted_upstream(vec![Action::Write(busy)]).await;
        let old = scripted_upstream(vec![Action::Write(OK)]).await;
        let mut events = events(&[&new, &old]);
        for event in &mut events {
            if let StoreEvent::Upstream(upstream) = event
                && &*upstream.id == "u0"
            {
                upstream.version = "v2".into();
            }
        }
        events.push(StoreEvent::RolloutOrder {
            service: "pool".into(),
            to: "v2".into(),
            ramp: Millis(15_000),
        });
        events.push(StoreEvent::RolloutPhase {
            service: "pool".into(),
            to: "v2".into(),
            phase: Phase::Complete,
            revision: 1,
        });
        let gateway = fixture::start(fixture::FixedStore::open(events));
        gateway_ready(&gateway).await;

        let statuses = send_many(&gateway, "/once/").await;

        assert_eq!(statuses, [200; REQUESTS]);
        assert_eq!(received(&new), 1);
    });
}

/// An answer that is ready must not be given up, or held back, for an upstream that wants a pause.
#[test]
fn a_ready_answer_is_delivered_if_all_other_upstreams_want_a_pause() {
    const DOUBTED: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
                           X-Fireflywind-Confidence: 1\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n";
    const FAILED: &str = "HTTP/1.1 500 Error\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
                          Content-Length: 0\r\n\r\n";
    fixture::run(async {
        for (path, fields, answer, expected) in [
            ("/model/", "X-Fireflywind-Model: *\r\n", DOUBTED, 200),
            ("/safe/", "", FAILED, 500),
        ] {
            let listener = TcpListener::bind("127.0.0.1:0").await;
            let listener = listener.expect("loopback can be bound");
            let upstream = ScriptedUpstream {
                addr: listener.local_addr().expect("the listener is bound"),
                requests: Rc::default(),
                disconnects: Rc::default(),
            };
            let shared = Shared::open(
                policy(),
                Box::new(fixture::FixedStore::open(events(&[&upstream]))),
            );
            let gateway = serve(Rc::clone(&shared));
            gateway_ready(&gateway).await;
            let requests = Rc::clone(&upstream.requests);
            actix_rt::spawn(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    while let Some(text) = read_message(&mut stream).await {
                        // The refusal of another request asks for a pause before this one is answered.
                        let now = shared.clock.now();
                        (shared.pauses.borrow_mut()).observe(&"u0".into(), 1, Millis(60_000), now);
                        requests.borrow_mut().push(text);
                        let answer = answer.replace("ID", "r1");
                        let written = stream.write_all(answer.as_bytes()).await;
                        written.expect("the gateway reads");
                    }
                }
            });

            let text = send(&gateway, "POST", path, fields).await;

            assert_eq!(status(&text), expected, "{path}: {text}");
            assert_eq!(received(&upstream), 1, "{path}");
        }
    });
}
