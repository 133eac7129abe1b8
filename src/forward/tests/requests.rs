//! Requests through a gateway to scripted upstreams.

use std::rc::Rc;

use actix_rt::time::sleep;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::fixture::{
    self, Action, FixedStore, connect, field, gateway, is_ready, message, read_message,
    scripted_upstream, send, status,
};
use crate::forward::follow::StoreEvent;
use crate::units::Millis;

const OK: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
                  Content-Length: 2\r\n\r\nok";
const ERROR: &str = "HTTP/1.1 500 Error\r\nX-Fireflywind-Request-Id: ID\r\n\
                     X-Fireflywind-Server-Stamp: s1\r\nContent-Length: 3\r\n\r\nbad";
const FULL: &str = "HTTP/1.1 503 Full\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Not-Run: 1\r\n\
                    Content-Length: 0\r\n\r\n";
const STREAM: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\n\
                      X-Fireflywind-Server-Stamp: s1\r\nX-Fireflywind-Confidence: 90\r\n\
                      Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENT_1: &str = "f\r\nid: 1\ndata: a\n\n\r\n";
const EVENT_2: &str = "f\r\nid: 2\ndata: b\n\n\r\n";
const CUT_EVENT: &str = "9\r\nid: 2\ndat\r\n";
const END: &str = "0\r\n\r\n";

fn joined(parts: &[&str]) -> &'static str {
    Box::leak(parts.concat().into_boxed_str())
}

#[test]
fn a_request_reaches_an_upstream_as_it_was_sent() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let gateway = gateway(&[&upstream]).await;

        let fields = "X-Own: 1\r\nX-Fireflywind-Tenant: forged\r\nKv-From: forged\r\n";
        let answer = send(&gateway, "POST", "/once/x?y=z", fields).await;

        assert_eq!(status(&answer), 200);
        assert_eq!(field(&answer, "X-Fireflywind-Server-Stamp"), Some("s1"));
        assert!(answer.ends_with("\r\n\r\nok"));
        let requests = upstream.requests.borrow();
        let seen = &requests[0];
        assert!(seen.starts_with("POST /once/x?y=z HTTP/1.1\r\n"));
        assert!(seen.ends_with("\r\n\r\nhello"));
        assert_eq!(field(seen, "X-Own"), Some("1"));
        assert_eq!(field(seen, "X-Fireflywind-Tenant"), Some("shop"));
        assert_eq!(field(seen, "X-Fireflywind-Expect-Instance"), Some("u0"));
        assert_eq!(field(seen, "Kv-From"), None);
        assert_eq!(field(seen, "Authorization"), None);
        let left: u64 = field(seen, "X-Fireflywind-Deadline-Ms")
            .and_then(|v| v.parse().ok())
            .expect("a deadline is passed on");
        assert!(left <= 3_000);
    });
}

#[test]
fn unknown_routes_and_keys_are_refused_before_an_upstream() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let gateway = gateway(&[&upstream]).await;
        let mut stream = connect(gateway.addresses().listen).await;
        let bad_key = message("GET", "/safe/", "").replace("key-1", "key-2");

        let no_route = send(&gateway, "GET", "/none/", "").await;
        stream
            .write_all(bad_key.as_bytes())
            .await
            .expect("the gateway reads");
        let no_key = read_message(&mut stream).await.unwrap_or_default();
        let public = bad_key.replace("/safe/", "/open/");
        stream
            .write_all(public.as_bytes())
            .await
            .expect("the gateway reads");
        let open = read_message(&mut stream).await.unwrap_or_default();

        assert_eq!(
            (status(&no_route), status(&no_key), status(&open)),
            (404, 401, 200)
        );
        assert_eq!(upstream.requests.borrow().len(), 1);
    });
}

#[test]
fn a_refusal_of_an_upstream_leads_to_another_one() {
    fixture::run(async {
        let full = scripted_upstream(vec![Action::Write(FULL)]).await;
        let available = scripted_upstream(vec![Action::Write(OK)]).await;
        let gateway = gateway(&[&full, &available]).await;

        let mut statuses = Vec::new();
        for _ in 0..8 {
            statuses.push(status(&send(&gateway, "POST", "/once/", "").await));
        }

        assert_eq!(statuses, [200; 8]);
    });
}

#[test]
fn a_503_means_that_the_request_has_not_run() {
    fixture::run(async {
        let full = scripted_upstream(vec![Action::Write(FULL)]).await;
        let gateway_full = gateway(&[&full]).await;
        let lost = scripted_upstream(vec![Action::Close]).await;
        let gateway_lost = gateway(&[&lost]).await;
        let none = gateway(&[]).await;

        let refused = send(&gateway_full, "POST", "/once/", "").await;
        let unknown = send(&gateway_lost, "POST", "/once/", "").await;
        let empty = send(&none, "POST", "/once/", "").await;

        assert_eq!(status(&refused), 503);
        assert!(field(&refused, "Retry-After").is_some());
        assert_eq!(status(&unknown), 502);
        assert_eq!(lost.requests.borrow().len(), 1);
        assert_eq!(status(&empty), 503);
    });
}

#[test]
fn an_idempotent_request_is_sent_again_after_an_error() {
    fixture::run(async {
        let bad =
            scripted_upstream(vec![Action::Write(ERROR), Action::Close, Action::Write(OK)]).await;
        let gateway = gateway(&[&bad]).await;

        let answer = send(&gateway, "GET", "/safe/", "").await;

        assert_eq!(status(&answer), 200);
        assert_eq!(bad.requests.borrow().len(), 3);
    });
}

#[test]
fn an_upstreams_last_failure_is_delivered_as_it_is() {
    fixture::run(async {
        let bad = scripted_upstream(vec![Action::Write(ERROR)]).await;
        let gateway = gateway(&[&bad]).await;

        let safe = send(&gateway, "GET", "/safe/", "").await;
        let once = send(&gateway, "POST", "/once/", "").await;

        for answer in [safe, once] {
            assert_eq!(status(&answer), 500);
            assert_eq!(field(&answer, "X-Fireflywind-Server-Stamp"), Some("s1"));
            assert!(answer.ends_with("bad"));
        }
    });
}

/// A late second answer on a reused connection must not be delivered to a later request.
#[test]
fn an_extra_answer_is_never_delivered() {
    fixture::run(async {
        let extra = joined(&[&OK.replace("ID", "other"), &OK.replace("ok", "me")]);
        let upstream = scripted_upstream(vec![Action::Write(extra)]).await;
        let gateway = gateway(&[&upstream]).await;

        let answer = send(&gateway, "GET", "/safe/", "").await;

        assert!(answer.ends_with("me"));
    });
}

/// A late refusal without an id, on a connection that is in use again, says nothing about the order that is sent now:
/// taken for its answer, it would have the order run a second time elsewhere.
#[test]
fn a_late_refusal_on_a_reused_connection_does_not_repeat_an_order() {
    fixture::run(async {
        let late = joined(&[&FULL.replace("X-Fireflywind-Request-Id: ID\r\n", ""), OK]);
        let upstreams = [
            scripted_upstream(vec![Action::Write(OK), Action::Write(late)]).await,
            scripted_upstream(vec![Action::Write(OK), Action::Write(late)]).await,
        ];
        let gateway = gateway(&[&upstreams[0], &upstreams[1]]).await;
        let mut answers = Vec::new();

        for _ in 0..4 {
            answers.push(status(&send(&gateway, "POST", "/once/", "").await));
        }

        let runs: usize = upstreams.iter().map(|u| u.requests.borrow().len()).sum();
        assert_eq!(answers, [200; 4]);
        assert_eq!(runs, 4);
    });
}

#[test]
fn invalid_and_truncated_answers_are_not_delivered() {
    fixture::run(async {
        let cut = joined(&[&OK.replace("Content-Length: 2", "Content-Length: 9")]);
        let unsigned = joined(&[&OK.replace("X-Fireflywind-Server-Stamp", "X-None")]);
        let bad = scripted_upstream(vec![
            Action::WriteAndClose("\0\x01\x02 nonsense\r\n\r\n"),
            Action::WriteAndClose(cut),
            Action::WriteAndClose(unsigned),
        ])
        .await;
        let gateway = gateway(&[&bad]).await;

        let answer = send(&gateway, "GET", "/safe/", "").await;

        assert_eq!(status(&answer), 502);
        assert_eq!(bad.requests.borrow().len(), 3);
    });
}

#[test]
fn a_stream_resumes_at_another_upstream_after_its_last_complete_event() {
    fixture::run(async {
        let first = joined(&[STREAM, EVENT_1, CUT_EVENT]);
        let rest = joined(&[STREAM, EVENT_2, END]);
        let upstream =
            scripted_upstream(vec![Action::WriteAndClose(first), Action::Write(rest)]).await;
        let gateway = gateway(&[&upstream]).await;

        let answer = send(&gateway, "POST", "/stream/", "").await;

        let body = answer
            .split("\r\n\r\n")
            .skip(1)
            .collect::<Vec<_>>()
            .join("\r\n\r\n");
        assert_eq!(body, joined(&[EVENT_1, EVENT_2, END]));
        assert_eq!(answer.matches("HTTP/1.1").count(), 1);
        let requests = upstream.requests.borrow();
        assert_eq!(field(&requests[0], "Last-Event-Id"), None);
        assert_eq!(field(&requests[1], "Last-Event-Id"), Some("1"));
    });
}

#[test]
fn a_stream_that_cannot_resume_does_not_look_complete() {
    fixture::run(async {
        let first = joined(&[STREAM, EVENT_1, CUT_EVENT]);
        let upstream = scripted_upstream(vec![Action::WriteAndClose(first), Action::Close]).await;
        let gateway = gateway(&[&upstream]).await;

        let answer = send(&gateway, "POST", "/stream/", "").await;

        assert!(answer.contains("id: 1"));
        assert!(!answer.contains("0\r\n\r\n"));
    });
}

#[test]
fn an_unsure_small_model_is_replaced_before_the_client_sees_its_answer() {
    fixture::run(async {
        let unsure = joined(&[&STREAM.replace("90", "10"), EVENT_1]);
        let sure = joined(&[STREAM, EVENT_2, END]);
        let upstream = scripted_upstream(vec![Action::Write(unsure), Action::Write(sure)]).await;
        let gateway = gateway(&[&upstream]).await;

        let answer = send(&gateway, "POST", "/model/", "X-Fireflywind-Model: *\r\n").await;

        assert!(!answer.contains("data: a") && answer.contains("data: b"));
        let requests = upstream.requests.borrow();
        let models: Vec<_> = requests
            .iter()
            .map(|r| field(r, "X-Fireflywind-Model"))
            .collect();
        assert_eq!(models, [Some("s"), Some("l")]);
    });
}

#[test]
fn a_model_that_the_client_names_is_kept() {
    fixture::run(async {
        let unsure = joined(&[&STREAM.replace("90", "10"), EVENT_1, END]);
        let upstream = scripted_upstream(vec![Action::Write(unsure)]).await;
        let gateway = gateway(&[&upstream]).await;

        let answer = send(&gateway, "POST", "/model/", "X-Fireflywind-Model: m\r\n").await;

        assert!(answer.contains("data: a"));
        let requests = upstream.requests.borrow();
        assert_eq!(field(&requests[0], "X-Fireflywind-Model"), Some("m"));
    });
}

/// A silent upstream must cost an idempotent request only a short wait, not its deadline.
#[test]
fn a_silent_upstream_is_abandoned() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Hang, Action::Write(OK)]).await;
        let gateway = gateway(&[&upstream]).await;

        let answer = send(&gateway, "GET", "/safe/", "").await;

        assert_eq!(status(&answer), 200);
        assert_eq!(upstream.requests.borrow().len(), 2);
    });
}

#[test]
fn the_upstream_connection_is_closed_when_the_client_has_gone() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Hang]).await;
        let gateway = gateway(&[&upstream]).await;
        let mut stream = connect(gateway.addresses().listen).await;
        let request = message("POST", "/once/", "");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the gateway reads");
        while upstream.requests.borrow().is_empty() {
            actix_rt::task::yield_now().await;
        }

        drop(stream);

        while *upstream.disconnects.borrow() == 0 {
            actix_rt::task::yield_now().await;
        }
    });
}

#[test]
fn requests_follow_each_other_on_one_connection() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let gateway = gateway(&[&upstream]).await;
        let mut stream = connect(gateway.addresses().listen).await;
        let request = message("GET", "/safe/", "");

        // Both are sent before the first answer.
        let both = request.repeat(2);
        stream
            .write_all(both.as_bytes())
            .await
            .expect("the gateway reads");
        let mut text = String::new();
        while text.matches("\r\n\r\nok").count() < 2 {
            text.push_str(&read_message(&mut stream).await.expect("two answers arrive"));
        }

        assert_eq!(upstream.requests.borrow().len(), 2);
    });
}

#[test]
fn a_smuggled_request_is_refused() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let gateway = gateway(&[&upstream]).await;
        let mut stream = connect(gateway.addresses().listen).await;
        let smuggled = message("POST", "/once/", "Transfer-Encoding: chunked\r\n");
        stream
            .write_all(smuggled.as_bytes())
            .await
            .expect("the gateway reads");

        let answer = read_message(&mut stream).await.unwrap_or_default();

        assert_eq!(status(&answer), 400);
        assert!(upstream.requests.borrow().is_empty());
    });
}

/// A graceful stop serves requests that still arrive, announces the close, and closes idle connections.
#[test]
fn a_graceful_stop_cuts_off_no_request() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let gateway = gateway(&[&upstream]).await;
        let addresses = gateway.addresses();
        let mut idle = connect(addresses.listen).await;
        let mut busy = connect(addresses.listen).await;
        assert!(is_ready(&gateway).await);

        let stopping = actix_rt::spawn(gateway.stop());
        actix_rt::task::yield_now().await;
        let request = message("GET", "/safe/", "");
        busy.write_all(request.as_bytes())
            .await
            .expect("the gateway reads");
        let answer = read_message(&mut busy).await.unwrap_or_default();

        assert_eq!(status(&answer), 200);
        assert_eq!(field(&answer, "Connection"), Some("close"));
        assert_eq!(read_message(&mut idle).await, None);
        assert!(stopping.await.expect("the stop does not panic"));
    });
}

/// A client that sends a byte now and then must not hold its connection for ever: the limit is for the whole head.
#[test]
fn a_head_that_arrives_byte_by_byte_is_refused() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let mut table = fixture::table();
        table.limits.head_timeout = Millis(300);
        let mut events = fixture::events(&[&upstream]);
        events.push(StoreEvent::Table(Rc::new(table), 1));
        let gateway = fixture::start(FixedStore::open(events));
        while !is_ready(&gateway).await {
            sleep(Millis(5).duration()).await;
        }
        let client = connect(gateway.addresses().listen).await;
        let (mut reader, mut writer) = client.into_split();

        let sending = actix_rt::spawn(async move {
            // Ends when the gateway has closed the connection.
            while writer.write_all(b"G").await.is_ok() {
                sleep(Millis(20).duration()).await;
            }
        });
        let mut answer = String::new();
        let read = reader.read_to_string(&mut answer).await;

        sending.await.expect("the client does not panic");
        assert!(read.is_err() || status(&answer) == 408, "{answer}");
        assert!(upstream.requests.borrow().is_empty());
    });
}
