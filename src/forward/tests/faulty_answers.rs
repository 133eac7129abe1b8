//! Upstreams that repeat a refusal, fail after a stream has begun, or stop within the head of an answer, on all paths of a request.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::fixture::{
    self, ScriptedUpstream, connect, field, gateway, message, read_message, send, status,
};
use crate::forward::gateway::Gateway;

const ID: &str = "X-Fireflywind-Request-Id: ID\r\n";
const FULL: &str = "HTTP/1.1 503 Full\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Not-Run: 1\r\n\
                    Content-Length: 0\r\n\r\n";
const SUCCESS: &str =
    "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n";
const ERROR: &str =
    "HTTP/1.1 500 Error\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n";
const EVENT_1: &str = "id: 1\ndata: a\n\n";
const CUT_EVENT: &str = "id: 2\ndat";

/// How the end of an answer's body is found.
#[derive(Debug, Clone, Copy)]
enum Body {
    Length,
    Chunked,
    UntilClose,
}

const BODIES: [Body; 3] = [Body::Length, Body::Chunked, Body::UntilClose];

/// Returns an answer with this head and body.
fn answer(head: &str, fields: &str, body: &str, framing: Body) -> String {
    match framing {
        Body::Length => format!("{head}{fields}Content-Length: {}\r\n\r\n{body}", body.len()),
        Body::Chunked => {
            let size = body.len();
            format!(
                "{head}{fields}Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n{body}\r\n0\r\n\r\n"
            )
        }
        Body::UntilClose => format!("{head}{fields}\r\n{body}"),
    }
}

/// Returns the beginning of a stream that breaks off within its second event.
fn broken_stream(framing: Body) -> String {
    let fields = "X-Fireflywind-Confidence: 90\r\n";
    let body = format!("{EVENT_1}{CUT_EVENT}");
    let whole = format!("{body}a: 0123456789\n\n");
    match framing {
        Body::Length => {
            let length = whole.len();
            format!("{SUCCESS}{fields}Content-Length: {length}\r\n\r\n{body}")
        }
        Body::Chunked => {
            let size = whole.len();
            format!("{SUCCESS}{fields}Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n{body}")
        }
        Body::UntilClose => format!("{SUCCESS}{fields}\r\n{body}"),
    }
}

/// A request as upstreams see it.
struct Seen<'a> {
    path: &'a str,
    /// Number of requests before it with the same path, at all upstreams.
    attempt: usize,
    /// Whether the connection has carried another request before.
    is_kept: bool,
    /// Refusal that the connection carried last.
    refusal: Option<String>,
}

/// Bytes that an upstream writes, and whether it closes the connection then.
type Reaction = (String, bool);

type Program = Rc<dyn Fn(Seen<'_>) -> Reaction>;

/// Starts upstreams that share a program.
async fn upstreams(
    count: usize,
    program: impl Fn(Seen<'_>) -> Reaction + 'static,
) -> Vec<ScriptedUpstream> {
    let program: Program = Rc::new(program);
    let requests: Rc<RefCell<Vec<String>>> = Rc::default();
    let mut started = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback can be bound");
        started.push(ScriptedUpstream {
            addr: listener.local_addr().expect("the listener is bound"),
            requests: Rc::clone(&requests),
            disconnects: Rc::default(),
        });
        let (program, requests) = (Rc::clone(&program), Rc::clone(&requests));
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(react(stream, Rc::clone(&program), Rc::clone(&requests)));
            }
        });
    }
    started
}

async fn react(mut stream: TcpStream, program: Program, requests: Rc<RefCell<Vec<String>>>) {
    let (mut is_kept, mut refusal) = (false, None);
    while let Some(text) = read_message(&mut stream).await {
        let id = field(&text, "X-Fireflywind-Request-Id").unwrap_or_default();
        let path = text.split(' ').nth(1).unwrap_or_default();
        let is_same = |other: &&String| other.split(' ').nth(1) == Some(path);
        let attempt = requests.borrow().iter().filter(is_same).count();
        requests.borrow_mut().push(text.clone());
        let seen = Seen {
            path,
            attempt,
            is_kept,
            refusal: refusal.take(),
        };
        is_kept = true;
        let (bytes, closes) = program(seen);
        let bytes = bytes.replace("ID", id);
        if bytes.starts_with("HTTP/1.1 503") {
            refusal = Some(bytes.clone());
        }
        // The gateway may have closed the connection already.
        if stream.write_all(bytes.as_bytes()).await.is_err() || closes {
            return;
        }
    }
}

/// Answers that are sent to one client's request, and the number of requests that upstreams got for it.
async fn play(
    count: usize,
    path: &str,
    program: impl Fn(Seen<'_>) -> Reaction + 'static,
) -> (String, usize) {
    let upstreams = upstreams(count, program).await;
    let gateway = gateway(&upstreams.iter().collect::<Vec<_>>()).await;
    let text = send(&gateway, "POST", path, "").await;
    (text, attempts(&upstreams, path))
}

fn attempts(upstreams: &[ScriptedUpstream], path: &str) -> usize {
    let requests = upstreams[0].requests.borrow();
    let line = format!("POST {path} ");
    requests.iter().filter(|r| r.starts_with(&line)).count()
}

/// Opens connections from the gateway to all upstreams and leaves them idle.
async fn warm_up(gateway: &Gateway) {
    for _ in 0..12 {
        send(gateway, "POST", "/safe/warm", "").await;
    }
}

/// Returns a refusal whose body ends as given.
fn refusal(framing: Body) -> String {
    let head = FULL.replace("Content-Length: 0\r\n\r\n", "");
    answer(&head, "", "full", framing)
}

/// Returns an answer to each attempt of a request: a refusal first, then the refusal once more if the connection is the same,
/// and what `then` returns.
fn repeats_refusal(seen: Seen<'_>, framing: Body, then: impl Fn(usize) -> String) -> Reaction {
    if seen.attempt == 0 {
        return (refusal(framing), matches!(framing, Body::UntilClose));
    }
    let refusal = seen.refusal.unwrap_or_default();
    (format!("{refusal}{}", then(seen.attempt)), false)
}

/// An upstream that writes a refusal once more when the same request comes again must not have it run twice.
#[test]
fn a_refusal_that_is_repeated_on_a_kept_connection_is_not_taken_for_the_next_attempt() {
    fixture::run(async {
        let ok = |body| answer(SUCCESS, "", "ok", body);
        let framings = BODIES.iter().flat_map(|a| BODIES.map(|b| (*a, b)));
        for (refused, body) in framings {
            for path in ["/once/", "/safe/"] {
                let program = move |seen: Seen<'_>| {
                    let (text, closes) = repeats_refusal(seen, refused, |_| ok(body));
                    let is_unframed = matches!(body, Body::UntilClose) && text.contains(" 200 ");
                    (text, closes || is_unframed)
                };
                let (text, attempts) = play(1, path, program).await;
                let case = format!("{path} {refused:?} {body:?}: {text}");
                assert_eq!((status(&text), attempts), (200, 2), "{case}");
            }
        }
    });
}

/// The same for a stream and for an answer that is escalated to a larger model in between.
#[test]
fn a_repeated_refusal_is_not_taken_for_an_attempt_at_a_larger_model() {
    fixture::run(async {
        let stream = |attempt: usize| {
            let confidence = if attempt == 1 { 1 } else { 99 };
            let fields = format!("X-Fireflywind-Confidence: {confidence}\r\n");
            answer(SUCCESS, &fields, EVENT_1, Body::Chunked)
        };

        for (path, expected) in [("/stream/", 2), ("/model/", 3)] {
            let sends_any = if path == "/model/" {
                "X-Fireflywind-Model: *\r\n"
            } else {
                ""
            };
            let program = move |seen: Seen<'_>| repeats_refusal(seen, Body::Length, stream);
            let upstreams = upstreams(1, program).await;
            let gateway = gateway(&upstreams.iter().collect::<Vec<_>>()).await;
            let text = send(&gateway, "POST", path, sends_any).await;

            assert_eq!(status(&text), 200, "{path}: {text}");
            assert!(text.ends_with("0\r\n\r\n"), "{path}: {text}");
            assert_eq!(attempts(&upstreams, path), expected, "{path}");
        }
    });
}

/// The same for a stream that goes on at another upstream, which refuses it first.
#[test]
fn a_repeated_refusal_is_not_taken_for_the_answer_to_a_resumption() {
    fixture::run(async {
        for (refused, is_kept) in BODIES.iter().flat_map(|b| [(*b, false), (*b, true)]) {
            let rest = "id: 2\ndata: b\n\n";
            let program = move |seen: Seen<'_>| match (seen.path, seen.attempt) {
                ("/stream/", 0) => (broken_stream(Body::Chunked), true),
                ("/stream/", 1) => (refusal(refused), matches!(refused, Body::UntilClose)),
                ("/stream/", _) => {
                    let repeated = seen.refusal.unwrap_or_default();
                    let rest = answer(SUCCESS, "", rest, Body::Chunked);
                    (format!("{repeated}{rest}"), false)
                }
                _ => (answer(SUCCESS, "", "ok", Body::Length), false),
            };
            let upstreams = upstreams(2, program).await;
            let gateway = gateway(&upstreams.iter().collect::<Vec<_>>()).await;
            if is_kept {
                warm_up(&gateway).await;
            }

            let text = send(&gateway, "POST", "/stream/", "").await;

            let case = format!("kept {is_kept}, {refused:?}: {text}");
            assert_eq!(status(&text), 200, "{case}");
            assert_eq!(attempts(&upstreams, "/stream/"), 3, "{case}");
            assert!(text.contains(EVENT_1) && text.contains(rest), "{case}");
            assert!(!text.contains("full") && !text.contains("503"), "{case}");
            assert!(text.ends_with("0\r\n\r\n"), "{case}");
        }
    });
}

/// A request without an id cannot be told from an earlier one by the answer; a late refusal must not be taken for its own.
#[test]
fn a_late_refusal_is_not_taken_for_a_request_without_an_id() {
    fixture::run(async {
        let late = FULL.replace(ID, "");
        let upstreams = upstreams(1, move |seen| {
            let ok = answer(SUCCESS, "", "ok", Body::Length);
            match seen.path {
                "/once/late" if seen.is_kept => (format!("{late}{}", ok.replace(ID, "")), false),
                _ => (ok, false),
            }
        })
        .await;
        let gateway = gateway(&upstreams.iter().collect::<Vec<_>>()).await;
        warm_up(&gateway).await;
        let request =
            message("POST", "/once/late", "").replace("X-Fireflywind-Request-Id: r1\r\n", "");

        let mut stream = connect(gateway.addresses().listen).await;
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("the gateway reads");
        let text = read_message(&mut stream).await.unwrap_or_default();

        assert_ne!(status(&text), 503, "{text}");
        assert_eq!(attempts(&upstreams, "/once/late"), 1);
    });
}

/// The error of an upstream at which a stream should have resumed must not get into the stream, nor end it as if it were complete.
#[test]
fn an_error_after_a_stream_has_begun_does_not_reach_the_client() {
    fixture::run(async {
        for is_kept in [false, true] {
            for (first, second) in BODIES.iter().flat_map(|a| BODIES.map(|b| (*a, b))) {
                let program = move |seen: Seen<'_>| match (seen.path, seen.attempt) {
                    ("/stream/", 0) => (broken_stream(first), true),
                    ("/stream/", _) => {
                        let closes = matches!(second, Body::UntilClose);
                        (answer(ERROR, "", "secret", second), closes)
                    }
                    _ => (answer(SUCCESS, "", "ok", Body::Length), false),
                };
                let upstreams = upstreams(3, program).await;
                let gateway = gateway(&upstreams.iter().collect::<Vec<_>>()).await;
                if is_kept {
                    warm_up(&gateway).await;
                }

                let text = send(&gateway, "POST", "/stream/", "").await;

                let case = format!("kept {is_kept}, {first:?}, {second:?}: {text}");
                assert!(attempts(&upstreams, "/stream/") > 1, "{case}");
                assert_eq!(status(&text), 200, "{case}");
                assert!(text.contains(EVENT_1), "{case}");
                assert!(!text.contains("secret") && !text.contains("500"), "{case}");
                assert!(!text.ends_with("0\r\n\r\n"), "{case}");
            }
        }
    });
}

/// The same where an upstream failed before the stream began, and where a larger model's stream breaks off.
#[test]
fn an_earlier_error_is_not_delivered_after_a_stream_has_begun() {
    fixture::run(async {
        for body in BODIES {
            let closes = matches!(body, Body::UntilClose);
            let program = move |seen: Seen<'_>| match seen.attempt {
                1 => (broken_stream(body), true),
                _ => (answer(ERROR, "", "secret", body), closes),
            };
            let (text, _) = play(3, "/stream/", program).await;
            let case = format!("{body:?}: {text}");
            assert!(text.contains(EVENT_1), "{case}");
            assert!(!text.contains("secret") && !text.contains("500"), "{case}");
            assert!(!text.ends_with("0\r\n\r\n"), "{case}");
        }
    });
}

/// Returns the first bytes of the answer to the fixture's request.
fn cut(whole: &str, length: usize) -> String {
    let whole = whole.replace("ID", "r1");
    whole[..length.min(whole.len())].to_owned()
}

/// An upstream that stops within the head of its answer has not answered, wherever it stops and whatever would have followed.
#[test]
fn an_answer_that_stops_within_its_head_is_not_delivered() {
    fixture::run(async {
        for path in ["/once/", "/safe/", "/stream/"] {
            for (body, is_kept) in BODIES.iter().flat_map(|b| [(*b, false), (*b, true)]) {
                let whole = answer(SUCCESS, "", EVENT_1, body);
                let head = whole.split("\r\n\r\n").next().map_or(0, str::len) + 3;
                let cuts = Rc::new(RefCell::new((1..=head).step_by(3).collect::<Vec<_>>()));
                let planned = Rc::clone(&cuts);
                let program = move |seen: Seen<'_>| {
                    if seen.path == "/safe/warm" {
                        return (answer(SUCCESS, "", "ok", Body::Length), false);
                    }
                    let length = planned.borrow_mut().pop().unwrap_or(head);
                    (cut(&whole, length), true)
                };
                let upstreams = upstreams(1, program).await;
                let gateway = gateway(&upstreams.iter().collect::<Vec<_>>()).await;
                while !cuts.borrow().is_empty() {
                    if is_kept {
                        send(&gateway, "POST", "/safe/warm", "").await;
                    }
                    let text = send(&gateway, "POST", path, "").await;
                    let case = format!("{path} {body:?} kept {is_kept}: {text}");
                    assert_eq!(status(&text), 502, "{case}");
                }
            }
        }
    });
}

/// The same where a stream goes on at another upstream, and where an answer was escalated to a larger model.
#[test]
fn an_answer_that_stops_within_its_head_does_not_end_a_stream() {
    fixture::run(async {
        let whole = answer(SUCCESS, "", "id: 2\ndata: b\n\n", Body::Chunked);
        let head = whole.split("\r\n\r\n").next().map_or(0, str::len) + 3;
        let doubted = answer(
            SUCCESS,
            "X-Fireflywind-Confidence: 1\r\n",
            EVENT_1,
            Body::Chunked,
        );
        for (path, length) in ["/stream/", "/model/"]
            .iter()
            .flat_map(|path| (1..=head).step_by(7).map(|length| (*path, length)))
        {
            let (whole, doubted) = (whole.clone(), doubted.clone());
            let program = move |seen: Seen<'_>| match (seen.path, seen.attempt) {
                ("/stream/", 0) => (broken_stream(Body::Chunked), true),
                ("/model/", 0) => (doubted.clone(), false),
                _ => (cut(&whole, length), true),
            };
            let upstreams = upstreams(2, program).await;
            let gateway = gateway(&upstreams.iter().collect::<Vec<_>>()).await;
            let fields = if path == "/model/" {
                "X-Fireflywind-Model: *\r\n"
            } else {
                ""
            };

            let text = send(&gateway, "POST", path, fields).await;

            let case = format!("{path} {length}: {text}");
            assert!(attempts(&upstreams, path) > 1, "{case}");
            if path == "/model/" {
                assert_eq!(status(&text), 502, "{case}");
            } else {
                assert!(text.contains(EVENT_1), "{case}");
                assert!(
                    !text.contains("id: 2") && !text.ends_with("0\r\n\r\n"),
                    "{case}"
                );
            }
        }
    });
}
