//! Bounds on what a gateway holds for all connections together.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;

use super::fixture::{
    self, Action, FixedStore, ScriptedUpstream, connect, events, field, policy, read_message,
    scripted_upstream, send, serve, status,
};
use crate::forward::gateway::Gateway;
use crate::forward::memory::{BASE_BYTES, Memory};
use crate::forward::shared::{Policy, Shared};

/// Time limit of every wait.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

const OK: &str = "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n\
    Content-Length: 2\r\n\r\nok";

/// Starts a gateway whose process has this memory, in bytes.
async fn start(memory: usize, upstreams: &[&ScriptedUpstream]) -> (Rc<Shared>, Gateway) {
    let policy = Policy { memory, ..policy() };
    let shared = Shared::open(policy, Box::new(FixedStore::open(events(upstreams))));
    let gateway = serve(Rc::clone(&shared));
    fixture::gateway_ready(&gateway).await;
    (shared, gateway)
}

/// Returns a request with a body of this length, without the body.
fn head(length: usize) -> String {
    let message = fixture::message("POST", "/once/", "");
    let (head, _) = message
        .split_once("\r\n\r\n")
        .expect("the message has a head");
    let length = format!("Content-Length: {length}");
    head.replace("Content-Length: 5", &length) + "\r\n\r\n"
}

/// Waits until a condition holds, and calls `observe` all the while.
async fn wait_until(mut is_met: impl FnMut() -> bool, mut observe: impl FnMut()) {
    let waiting = async {
        while !is_met() {
            observe();
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(WAIT_LIMIT, waiting)
        .await
        .expect("the condition holds in time");
}

/// A client that sends a body in two halves; the second one when it is told to.
async fn send_in_halves(
    mut stream: TcpStream,
    length: usize,
    mut go_on: watch::Receiver<bool>,
    answers: Rc<RefCell<Vec<String>>>,
) {
    let half = vec![b'a'; length / 2];
    let first = [head(length).as_bytes(), &half].concat();
    // A refusal may come while the body is sent.
    let _ = stream.write_all(&first).await;
    tokio::select! {
        readable = stream.readable() => readable.expect("the connection is open"),
        told = go_on.wait_for(|is_told| *is_told) => {
            told.expect("the test goes on");
            stream.write_all(&half).await.expect("the gateway reads");
        }
    }
    let answer = read_message(&mut stream).await.unwrap_or_default();
    answers.borrow_mut().push(answer);
}

/// LOST: bodies of many requests exceeded the memory of the process, which ended with all requests in flight.
#[test]
fn bodies_of_many_requests_share_a_bounded_memory() {
    const CLIENTS: usize = 40;
    const BODY_BYTES: usize = 1 << 20;
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let (shared, gateway) = start(32_000_000, &[&upstream]).await;
        let answers: Rc<RefCell<Vec<String>>> = Rc::default();
        let (tell, go_on) = watch::channel(false);
        for _ in 0..CLIENTS {
            let stream = connect(gateway.addresses().listen).await;
            actix_rt::spawn(send_in_halves(
                stream,
                BODY_BYTES,
                go_on.clone(),
                Rc::clone(&answers),
            ));
        }

        let most = Cell::new(0);
        let observe = || most.set(most.get().max(shared.request_memory.held()));
        // Three quarters of a third of the memory hold at most seven such bodies.
        wait_until(|| answers.borrow().len() >= CLIENTS - 7, observe).await;
        let small = send(&gateway, "POST", "/once/", "").await;
        tell.send(true).expect("clients wait");
        wait_until(|| answers.borrow().len() == CLIENTS, observe).await;
        wait_until(|| shared.request_memory.held() <= BASE_BYTES, || {}).await;

        let answers = answers.borrow();
        let (served, refused): (Vec<_>, Vec<_>) = answers.iter().partition(|a| status(a) == 200);
        for answer in &refused {
            assert_eq!(status(answer), 503, "{answer}");
            assert!(field(answer, "Retry-After").is_some(), "{answer}");
        }
        // The heads of the others may take the place of a body.
        assert!((6..=7).contains(&served.len()), "{} served", served.len());
        assert_eq!(status(&small), 200);
        // What was refused has not run.
        assert_eq!(upstream.requests.borrow().len(), served.len() + 1);
        assert!(most.get() <= 32_000_000 / 3, "{} bytes", most.get());
    });
}

/// Heads that arrive slowly on many connections were held without a bound on their sum.
#[test]
fn heads_of_many_connections_share_a_bounded_memory() {
    const CLIENTS: usize = 150;
    const HEAD_BYTES: usize = 15 * 1024;
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let (shared, gateway) = start(3_000_000, &[&upstream]).await;
        let mut clients = Vec::new();
        for _ in 0..CLIENTS {
            let mut stream = connect(gateway.addresses().listen).await;
            let part = format!("POST /once/ HTTP/1.1\r\nX: {}", "a".repeat(HEAD_BYTES));
            stream
                .write_all(part.as_bytes())
                .await
                .expect("the gateway reads");
            clients.push(stream);
        }

        let mut refused = 0;
        let mut most = 0;
        for client in &mut clients {
            let mut buf = [0; 64];
            let read = timeout(Duration::from_millis(20), client.read(&mut buf)).await;
            let answer = read.map_or(0, Result::unwrap_or_default);
            refused += usize::from(buf[..answer].starts_with(b"HTTP/1.1 503"));
            most = most.max(shared.request_memory.held());
        }
        let small = send(&gateway, "POST", "/once/", "").await;

        // A megabyte holds 66 such heads.
        assert!(refused >= CLIENTS - 1_000_000 / HEAD_BYTES - 1, "{refused}");
        assert!(most <= 1_000_000 + CLIENTS * BASE_BYTES, "{most} bytes");
        assert_eq!(status(&small), 200);
    });
}

/// A share that does not fit is refused, and small ones are granted all the same.
#[test]
fn large_shares_leave_room_for_small_ones() {
    let memory = Memory::open(1_000_000);
    let (mut large, mut medium, mut small) = (memory.share(), memory.share(), memory.share());

    large.set(700_000).expect("it fits into three quarters");
    large
        .set(800_000)
        .expect_err("it is more than three quarters");
    medium.set(60_000).expect("it fits");
    large.set(750_000 - 60_000).expect("a smaller share fits");
    let mut fill: Vec<_> = (0..5).map(|_| memory.share()).collect();
    let granted = fill.iter_mut().filter_map(|s| s.set(60_000).ok()).count();
    small
        .set(BASE_BYTES)
        .expect("a small share is always granted");

    assert_eq!(
        (granted, memory.held()),
        (4, 690_000 + 5 * 60_000 + BASE_BYTES)
    );
    drop((large, medium, fill));
    assert_eq!(memory.held(), BASE_BYTES);
}

/// An upstream that answers with most of a body and then waits.
async fn stalling_upstream(answer: String) -> ScriptedUpstream {
    scripted_upstream(vec![Action::Write(Box::leak(answer.into_boxed_str()))]).await
}

/// Sends a request on each of many connections.
async fn send_many(gateway: &Gateway, clients: usize, path: &str) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..clients {
        // The client's own buffer must not take the place of the gateway's.
        let socket = TcpSocket::new_v4().expect("a socket can be opened");
        (socket.set_recv_buffer_size(4_096)).expect("the size can be set");
        let connected = socket.connect(gateway.addresses().listen).await;
        let mut stream = connected.expect("the gateway accepts connections");
        let message = fixture::message("POST", path, "");
        stream
            .write_all(message.as_bytes())
            .await
            .expect("the gateway reads");
        streams.push(stream);
    }
    streams
}

/// Observes the memory for answers for a while and returns the largest number of bytes held.
async fn most_held(shared: &Shared) -> usize {
    let mut most = 0;
    for _ in 0..300 {
        most = most.max(shared.answer_memory.held());
        sleep(Duration::from_millis(2)).await;
    }
    most
}

/// Heads, and events that never end, were held for each answer without a bound on their sum.
#[test]
fn heads_and_events_without_end_share_a_bounded_memory() {
    const CLIENTS: usize = 100;
    const MEMORY: usize = 8_000_000;
    let head =
        "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n";
    for (path, answer) in [
        ("/once/", format!("{head}X-More: {}", "a".repeat(60 * 1024))),
        (
            "/stream/",
            format!(
                "{head}Content-Type: text/event-stream\r\n\r\ndata: {}",
                "a".repeat(60 * 1024)
            ),
        ),
    ] {
        fixture::run(async {
            let faulty = stalling_upstream(answer).await;
            let (shared, gateway) = start(MEMORY, &[&faulty]).await;
            let _clients = send_many(&gateway, CLIENTS, path).await;

            let most = most_held(&shared).await;

            assert!(most > 0, "{path}");
            let limit = MEMORY / 8 + CLIENTS * 2 * BASE_BYTES;
            assert!(most <= limit, "{path}: {most} bytes");
        });
    }
}

/// An answer that waits for a slow client was no longer counted, so that others could take its memory once more.
#[test]
fn answers_that_wait_for_slow_clients_share_a_bounded_memory() {
    const CLIENTS: usize = 24;
    const BODY_BYTES: usize = 4_000_000;
    const MEMORY: usize = 160_000_000;
    fixture::run(async {
        let head =
            "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n";
        let body = "a".repeat(BODY_BYTES);
        let answer = format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n{body}");
        let upstream = stalling_upstream(answer).await;
        let (shared, gateway) = start(MEMORY, &[&upstream]).await;
        let clients = send_many(&gateway, CLIENTS, "/once/").await;

        let most = most_held(&shared).await;
        let waiting = shared.answer_memory.held();
        drop(clients);
        wait_until(|| shared.answer_memory.held() == 0, || {}).await;

        // Two such answers fit, with the buffers that they grow in; the other clients have got 502.
        assert!(
            most <= MEMORY / 8 + CLIENTS * 2 * BASE_BYTES,
            "{most} bytes"
        );
        assert!(waiting >= BODY_BYTES, "{waiting} bytes");
    });
}

/// DENIED: a request on a connection that was open before a configuration raised the limits was refused by the old ones.
#[test]
fn a_request_on_a_kept_connection_is_read_by_the_limits_in_force() {
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let (shared, gateway) = start(260_000_000, &[&upstream]).await;
        let set_limit = |body_bytes| {
            let mut table = fixture::table();
            table.limits.body_bytes = body_bytes;
            *shared.table.borrow_mut() = Rc::new(table);
        };
        set_limit(10);
        let mut stream = connect(gateway.addresses().listen).await;
        let small = fixture::message("POST", "/once/", "");
        let large = [head(20_000), "a".repeat(20_000)].concat();

        let mut statuses = Vec::new();
        for (message, next_limit) in [(&small, 20_000), (&large, 10), (&large, 10)] {
            stream
                .write_all(message.as_bytes())
                .await
                .expect("the gateway reads");
            statuses.push(status(&read_message(&mut stream).await.unwrap_or_default()));
            // The gateway waits for the next request before the limit changes.
            sleep(Duration::from_millis(20)).await;
            set_limit(next_limit);
        }

        assert_eq!(statuses, [200, 200, 413]);
    });
}

/// Connections to the metrics address that send byte by byte, or do not read, were held without a bound on their number or
/// their time.
#[test]
fn slow_connections_to_the_metrics_address_are_bounded_and_end() {
    const CLIENTS: usize = 100;
    fixture::run(async {
        let upstream = scripted_upstream(vec![Action::Write(OK)]).await;
        let (_shared, gateway) = start(260_000_000, &[&upstream]).await;
        let mut clients = Vec::new();
        for _ in 0..CLIENTS {
            let mut stream = connect(gateway.addresses().admin).await;
            // Those that are closed at once may refuse the byte.
            let _ = stream.write_all(b"G").await;
            clients.push(stream);
        }

        let mut closed_at_once = 0;
        for client in &mut clients {
            let read = timeout(Duration::from_millis(10), client.read(&mut [0; 8])).await;
            closed_at_once += usize::from(matches!(read, Ok(Ok(0) | Err(_))));
        }
        let is_ready = fixture::is_ready(&gateway).await;
        let mut ended = 0;
        for client in &mut clients {
            // Another byte does not give a request more time.
            let _ = client.write_all(b"E").await;
            let read = timeout(WAIT_LIMIT, client.read(&mut [0; 8])).await;
            ended += usize::from(matches!(read, Ok(Ok(0) | Err(_))));
        }

        assert!(closed_at_once >= CLIENTS - 64, "{closed_at_once}");
        assert!(is_ready);
        assert_eq!(ended, CLIENTS);
    });
}
