//! Answers that are none, and answers that end with their connection while the request is still being sent.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::time::{sleep, timeout};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::fixture::{self, Action, ScriptedUpstream, connect, gateway, scripted_upstream, status};
use crate::forward::follow::StoreEvent;
use crate::forward::gateway::Gateway;
use crate::forward::shared::Shared;
use crate::units::Millis;

/// Size of an upload that the socket does not take at once if the upstream does not read it.
const LONG_BODY_BYTES: usize = 3_900_000;

/// Longest wait of a test for something that must happen.
const PATIENCE: Millis = Millis::from_secs(20);

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: r1\r\n\
                        X-Fireflywind-Server-Stamp: s1\r\n\r\nid: 1\ndata: a\n\n";

/// How an upstream ends the connection after its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Resets it.
    Reset,
    /// Closes its direction first and resets the connection then.
    CloseAndReset,
    /// Closes its direction and reads no more.
    HalfClose,
    /// Keeps it and reads nothing for a while, then the rest of the request.
    ReadLater(Millis),
    /// Reads the whole request, and closes the connection cleanly.
    Clean,
}

/// Upstream that answers as soon as it has the head of a request.
struct EarlyUpstream {
    scripted: ScriptedUpstream,
    /// Bytes of other things where the body of a request or the next one was due.
    strays: Rc<Cell<usize>>,
    /// Bytes of bodies that it has read.
    body_bytes: Rc<Cell<usize>>,
}

/// Starts an upstream that reads heads only, writes these bytes and then ends the connection.
fn early_upstream(answer: &'static str, end: End) -> EarlyUpstream {
    let listener = listen_with_small_buffer().expect("loopback can be bound");
    let scripted = ScriptedUpstream {
        addr: listener.local_addr().expect("the listener is bound"),
        requests: Rc::default(),
        disconnects: Rc::default(),
    };
    let upstream = EarlyUpstream {
        scripted,
        strays: Rc::default(),
        body_bytes: Rc::default(),
    };
    let requests = Rc::clone(&upstream.scripted.requests);
    let (strays, body_bytes) = (Rc::clone(&upstream.strays), Rc::clone(&upstream.body_bytes));
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let requests = Rc::clone(&requests);
            let (strays, body_bytes) = (Rc::clone(&strays), Rc::clone(&body_bytes));
            actix_rt::spawn(async move {
                let Some(head) = read_head(&mut stream).await else {
                    return;
                };
                let length = fixture::field(&head, "Content-Length");
                let left: usize = length.and_then(|v| v.parse().ok()).unwrap_or(0);
                requests.borrow_mut().push(head);
                if end == End::Clean {
                    read_all(&mut stream, left).await;
                }
                // The gateway may have closed the connection already.
                let _ = stream.write_all(answer.as_bytes()).await;
                match end {
                    End::Reset => {
                        sleep(Millis(20).duration()).await;
                        let _ = stream.set_zero_linger();
                    }
                    End::CloseAndReset => {
                        let _ = stream.shutdown().await;
                        let _ = stream.set_zero_linger();
                    }
                    End::HalfClose => {
                        let _ = stream.shutdown().await;
                        sleep(PATIENCE.duration()).await;
                    }
                    End::ReadLater(pause) => {
                        sleep(pause.duration()).await;
                        let got = read_all(&mut stream, usize::MAX).await;
                        let (body, rest) = got.split_at(left.min(got.len()));
                        body_bytes.set(body_bytes.get() + body.len());
                        let is_request = rest.is_empty() || rest.starts_with(b"POST /safe/ ");
                        let in_body = body.iter().filter(|byte| **byte != b'x').count();
                        strays.set(strays.get() + in_body + usize::from(!is_request));
                    }
                    End::Clean => {}
                }
            });
        }
    });
    upstream
}

/// Listens on a socket that takes little of a request that is not read.
fn listen_with_small_buffer() -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(8 * 1024)?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    socket.listen(64)
}

/// Reads the head of a request and nothing of its body.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let mut byte = [0; 1];
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
        if text.ends_with(b"\r\n\r\n") {
            return Some(String::from_utf8_lossy(&text).into_owned());
        }
    }
}

/// Reads until the end of the connection or until `enough` bytes have come.
async fn read_all(stream: &mut TcpStream, enough: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    while bytes.len() < enough {
        match stream.read_buf(&mut bytes).await {
            Ok(length) if length > 0 => {}
            _ => break,
        }
    }
    bytes
}

/// Sends a request with a body of this length; returns the answer up to the end of its message or of the connection.
async fn upload(gateway: &Gateway, path: &str, length: usize) -> String {
    let mut stream = connect(gateway.addresses().listen).await;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Fireflywind-Request-Id: r1\r\n\
         Authorization: Token key-1\r\nX-Fireflywind-Deadline-Ms: 3000\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    let mut message = head.into_bytes();
    message.resize(message.len() + length, b'x');
    let sent = stream.write_all(&message).await;
    sent.expect("the gateway reads");
    let answer = timeout(PATIENCE.duration(), fixture::read_message(&mut stream)).await;
    answer.ok().flatten().unwrap_or_default()
}

/// An upstream in trouble sent the status 000, and the client got it as an answer.
#[test]
fn a_status_that_is_none_does_not_reach_a_client() {
    fixture::run(async {
        let answers = [
            "HTTP/1.1 000 OK\r\nX-Fireflywind-Request-Id: ID\r\nContent-Length: 2\r\n\r\nno",
            "HTTP/1.1 099 OK\r\nX-Fireflywind-Request-Id: ID\r\nContent-Length: 2\r\n\r\nno",
            "HTTP/1.1 600 OK\r\nX-Fireflywind-Request-Id: ID\r\nContent-Length: 2\r\n\r\nno",
            "HTTP/1.1 999 OK\r\nX-Fireflywind-Request-Id: ID\r\nContent-Length: 2\r\n\r\nno",
        ];
        for answer in answers {
            for path in ["/once/", "/safe/", "/stream/", "/model/"] {
                let upstream = scripted_upstream(vec![Action::Write(answer)]).await;
                let gateway = gateway(&[&upstream]).await;

                let text = fixture::send(&gateway, "POST", path, "").await;

                let case = format!("{path} {answer}: {text}");
                assert_eq!(status(&text), 502, "{case}");
                let requests = upstream.requests.borrow().len();
                assert!(path != "/once/" || requests == 1, "{case}: {requests}");
            }
        }
    });
}

/// A request that may be repeated is answered by another upstream, and the one in trouble counts as broken.
#[test]
fn a_repeatable_request_is_answered_elsewhere_after_a_status_that_is_none() {
    fixture::run(async {
        let answer =
            "HTTP/1.1 000 OK\r\nX-Fireflywind-Request-Id: ID\r\nContent-Length: 2\r\n\r\nno";
        let good = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\n\
                    X-Fireflywind-Server-Stamp: s1\r\nContent-Length: 2\r\n\r\nok";
        let bad = scripted_upstream(vec![Action::Write(answer)]).await;
        let good = scripted_upstream(vec![Action::Write(good)]).await;
        let gateway = gateway(&[&bad, &good]).await;
        for _ in 0..20 {
            let text = fixture::send(&gateway, "POST", "/safe/", "").await;
            assert_eq!(status(&text), 200, "{text}");
        }
        assert!(!bad.requests.borrow().is_empty(), "the bad one was tried");
    });
}

/// The judgement of a roll-out must see heads that are no answers, or a version that sends nothing else looks unused.
#[test]
fn a_head_that_is_none_counts_against_its_version() {
    fixture::run(async {
        let answer =
            "HTTP/1.1 000 OK\r\nX-Fireflywind-Request-Id: ID\r\nContent-Length: 2\r\n\r\nno";
        let upstream = scripted_upstream(vec![Action::Write(answer)]).await;
        let mut events = fixture::events(&[&upstream]);
        events.push(StoreEvent::RolloutOrder {
            service: "pool".into(),
            to: "v2".into(),
            ramp: Millis::from_secs(20),
        });
        let shared = Shared::open(
            fixture::policy(),
            Box::new(fixture::FixedStore::open(events)),
        );
        let gateway = fixture::serve(Rc::clone(&shared));
        fixture::gateway_ready(&gateway).await;

        fixture::send(&gateway, "POST", "/once/", "").await;

        let mut health = shared.health.borrow_mut();
        let entry = health.entry(&"u0".into(), 1, shared.clock.now());
        assert_eq!(
            (entry.answer_counts.answers, entry.answer_counts.failed),
            (1, 1)
        );
    });
}

/// A part of an answer was passed on as a whole one: it ended with its connection, which was reset while the request was sent.
#[test]
fn an_unframed_answer_that_ends_in_a_reset_is_not_whole() {
    fixture::run(async {
        for path in ["/once/", "/safe/", "/stream/"] {
            for end in [End::Reset, End::CloseAndReset, End::HalfClose] {
                for length in [5, LONG_BODY_BYTES] {
                    if end == End::HalfClose && length == 5 {
                        continue;
                    }
                    let upstream = early_upstream(UNFRAMED, end);
                    let gateway = gateway(&[&upstream.scripted]).await;

                    let text = upload(&gateway, path, length).await;

                    let case = format!("{path} {end:?} {length}: {text}");
                    if path == "/stream/" && text.contains("id: 1") {
                        assert!(!text.ends_with("0\r\n\r\n"), "{case}");
                    } else {
                        assert!([502, 504].contains(&status(&text)), "{case}");
                    }
                    let requests = upstream.scripted.requests.borrow().len();
                    assert!(path != "/once/" || requests == 1, "{case}: {requests}");
                }
            }
        }
    });
}

/// The rule for resets must not refuse answers that end as they should.
#[test]
fn an_unframed_answer_to_a_request_that_was_read_whole_is_delivered() {
    fixture::run(async {
        for path in ["/once/", "/safe/", "/stream/"] {
            for length in [0, 5, LONG_BODY_BYTES] {
                let upstream = early_upstream(UNFRAMED, End::Clean);
                let gateway = gateway(&[&upstream.scripted]).await;

                let text = upload(&gateway, path, length).await;

                let case = format!("{path} {length}: {text}");
                assert_eq!(status(&text), 200, "{case}");
                assert!(text.contains("id: 1\ndata: a\n\n"), "{case}");
                assert!(path != "/stream/" || text.ends_with("0\r\n\r\n"), "{case}");
            }
        }
    });
}

/// An upstream that refuses a long upload at once and stops reading must not be waited for.
#[test]
fn a_framed_answer_that_comes_before_the_request_is_read_is_delivered() {
    fixture::run(async {
        let answer = "HTTP/1.1 413 Too Large\r\nX-Fireflywind-Request-Id: r1\r\n\
                      X-Fireflywind-Server-Stamp: s1\r\nContent-Length: 4\r\n\r\nlong";
        for end in [End::ReadLater(Millis::from_secs(4)), End::Reset] {
            let upstream = early_upstream(answer, end);
            let gateway = gateway(&[&upstream.scripted]).await;

            let text = upload(&gateway, "/once/", LONG_BODY_BYTES).await;

            assert_eq!(status(&text), 413, "{end:?}: {text}");
            assert!(text.ends_with("long"), "{end:?}: {text}");
        }
    });
}

/// An upstream that answers early and reads on later must get only the rest of that request's body.
#[test]
fn a_connection_with_an_unfinished_upload_carries_no_other_request() {
    fixture::run(async {
        let answer = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: r1\r\n\
                      X-Fireflywind-Server-Stamp: s1\r\nContent-Length: 2\r\n\r\nok";
        let upstream = early_upstream(answer, End::ReadLater(Millis(500)));
        let gateway = gateway(&[&upstream.scripted]).await;

        for _ in 0..3 {
            upload(&gateway, "/safe/", LONG_BODY_BYTES).await;
        }
        let end = timeout(PATIENCE.duration(), async {
            while upstream.body_bytes.get() == 0 {
                sleep(Millis(20).duration()).await;
            }
        });
        end.await.expect("the upstream reads on");

        assert_eq!(upstream.strays.get(), 0);
    });
}

/// A 204 has no body; what was written after it as the end of a stream belongs to no answer.
#[test]
fn a_204_is_followed_by_nothing() {
    fixture::run(async {
        let answer = "HTTP/1.1 204 None\r\nX-Fireflywind-Request-Id: ID\r\n\
                      X-Fireflywind-Server-Stamp: s1\r\n\r\n";
        for path in ["/once/", "/safe/", "/stream/"] {
            let upstream = scripted_upstream(vec![Action::Write(answer)]).await;
            let gateway = gateway(&[&upstream]).await;

            let text = fixture::send(&gateway, "POST", path, "").await;

            assert_eq!(status(&text), 204, "{path}: {text}");
            assert!(text.ends_with("\r\n\r\n"), "{path}: {text}");
            assert!(!text.contains("\r\n0\r\n"), "{path}: {text}");
            assert_eq!(fixture::field(&text, "Transfer-Encoding"), None, "{path}");
            assert_eq!(fixture::field(&text, "Content-Length"), None, "{path}");
        }
    });
}
