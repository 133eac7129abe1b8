//! Upstreams that send bytes without end, until the gateway closes the connection.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::fixture::{
    self, FixedStore, field, policy, read_message, registered, send, serve, status, table,
};
use crate::forward::follow::StoreEvent;
use crate::forward::shared::Shared;

/// Most bytes that a gateway may read of one invalid answer. The largest answer that is buffered has 4 MiB, and
/// the socket buffers hold some more.
const MAX_BYTES_READ: usize = 12 * 1024 * 1024;

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: ID\r\nX-Fireflywind-Server-Stamp: s1\r\n";

/// An upstream that repeats bytes without end.
struct Endless {
    addr: SocketAddr,
    /// Largest number of bytes written on one connection.
    bytes_written: Rc<Cell<usize>>,
    /// Number of connections that the gateway has closed.
    closed: Rc<Cell<usize>>,
}

/// Starts an upstream that answers each request with `head` and then repeats `bytes` without end.
async fn endless(head: String, bytes: &'static str) -> Endless {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback can be bound");
    let upstream = Endless {
        addr: listener.local_addr().expect("the listener is bound"),
        bytes_written: Rc::default(),
        closed: Rc::default(),
    };
    let (bytes_written, closed) = (
        Rc::clone(&upstream.bytes_written),
        Rc::clone(&upstream.closed),
    );
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (bytes_written, closed) = (Rc::clone(&bytes_written), Rc::clone(&closed));
            let head = head.clone();
            actix_rt::spawn(async move {
                let written = write_endlessly(stream, &head, bytes).await;
                bytes_written.set(bytes_written.get().max(written));
                closed.update(|n| n + 1);
            });
        }
    });
    upstream
}

/// Writes until the connection is closed; returns the number of bytes written.
async fn write_endlessly(mut stream: TcpStream, head: &str, bytes: &str) -> usize {
    let Some(request) = read_message(&mut stream).await else {
        return 0;
    };
    let id = field(&request, "X-Fireflywind-Request-Id").unwrap_or_default();
    let mut written = 0;
    let mut part = head.replace("ID", id).into_bytes();
    let rest = bytes.repeat(4_096 / bytes.len() + 1).into_bytes();
    while stream.write_all(&part).await.is_ok() {
        written += part.len();
        part.clone_from(&rest);
    }
    written
}

/// Starts a gateway for these upstreams and waits until it is ready.
async fn start_gateway(addrs: &[SocketAddr]) -> (Rc<Shared>, crate::forward::gateway::Gateway) {
    let upstreams = addrs.iter().enumerate();
    let upstreams = upstreams.map(|(n, addr)| StoreEvent::Upstream(registered(n, *addr)));
    let events = std::iter::once(StoreEvent::Table(Rc::new(table()), 1)).chain(upstreams);
    let control = FixedStore::open(events.collect());
    let shared = Shared::open(policy(), Box::new(control));
    let gateway = serve(Rc::clone(&shared));
    while !fixture::is_ready(&gateway).await {
        tokio::task::yield_now().await;
    }
    (shared, gateway)
}

/// Sends one request through a gateway to an endless upstream and waits until that connection is closed;
/// returns the answer and the number of bytes written by the upstream.
async fn send_to_endless(path: &str, head: &str, bytes: &'static str) -> (String, usize) {
    let upstream = endless(head.to_owned(), bytes).await;
    let (_shared, gateway) = start_gateway(&[upstream.addr]).await;
    let answer = send(&gateway, "POST", path, "").await;
    while upstream.closed.get() == 0 {
        tokio::task::yield_now().await;
    }
    (answer, upstream.bytes_written.get())
}

/// Interim heads were skipped without a limit, so that one connection kept the process busy until the
/// request's deadline.
#[test]
fn interim_heads_without_end_are_aborted() {
    fixture::run(async {
        let (answer, bytes_written) =
            send_to_endless("/once/", "", "HTTP/1.1 100 Continue\r\n\r\n").await;

        assert_eq!(status(&answer), 502, "{answer}");
        assert!(bytes_written <= MAX_BYTES_READ, "{bytes_written} bytes");
    });
}

/// A head without end must take neither unbounded memory nor the whole time of the request.
#[test]
fn a_head_without_end_is_aborted() {
    fixture::run(async {
        let (answer, bytes_written) =
            send_to_endless("/once/", HEAD, "X-More: 1234567890\r\n").await;

        assert_eq!(status(&answer), 502, "{answer}");
        assert!(bytes_written <= MAX_BYTES_READ, "{bytes_written} bytes");
    });
}

/// A body without end was buffered up to 16 MiB, a tenth of the memory of a small gateway.
#[test]
fn a_body_without_end_is_aborted() {
    for (head, bytes) in [
        ("\r\n", "body "),
        ("Transfer-Encoding: chunked\r\n\r\n", "5\r\nbody \r\n"),
        (
            "Transfer-Encoding: chunked\r\n\r\n",
            "1;an-extension-that-says-nothing\r\nb\r\n",
        ),
    ] {
        fixture::run(async {
            let head = format!("{HEAD}{head}");
            let (answer, bytes_written) = send_to_endless("/once/", &head, bytes).await;

            assert_eq!(status(&answer), 502, "{answer}");
            assert!(
                bytes_written <= MAX_BYTES_READ,
                "{bytes:?}: {bytes_written} bytes"
            );
        });
    }
}

/// An answer to another request that does not end must not be read without a limit.
#[test]
fn a_stray_answer_without_end_is_aborted() {
    fixture::run(async {
        let head = HEAD
            .replace("ID", "another")
            .replace("\r\nX-F", "\r\nContent-Length: 99999999999\r\nX-F");
        let (answer, bytes_written) =
            send_to_endless("/once/", &format!("{head}\r\n"), "body ").await;

        assert_eq!(status(&answer), 502, "{answer}");
        assert!(bytes_written <= MAX_BYTES_READ, "{bytes_written} bytes");
    });
}

/// Bytes that are not events were forwarded to the client until the request's deadline.
#[test]
fn a_stream_without_events_is_aborted() {
    for bytes in [": nothing\n\n", "data", "\n"] {
        fixture::run(async {
            let head = format!("{HEAD}Content-Type: text/event-stream\r\n\r\n");
            let (_, bytes_written) = send_to_endless("/stream/", &head, bytes).await;

            assert!(
                bytes_written <= MAX_BYTES_READ,
                "{bytes:?}: {bytes_written} bytes"
            );
        });
    }
}

/// Several answers without end at the same time must not exhaust the memory of the process.
#[test]
fn answers_without_end_share_a_bounded_memory() {
    fixture::run(async {
        let head = format!("{HEAD}\r\n");
        let upstream = endless(head, "body ").await;
        let (shared, gateway) = start_gateway(&[upstream.addr]).await;
        let mut clients = Vec::new();
        for _ in 0..24 {
            let mut stream = fixture::connect(gateway.addresses().listen).await;
            let message = fixture::message("POST", "/once/", "");
            stream
                .write_all(message.as_bytes())
                .await
                .expect("the gateway reads");
            clients.push(stream);
        }

        let mut most = 0;
        while upstream.closed.get() < clients.len() {
            most = most.max(shared.answer_memory.held());
            tokio::task::yield_now().await;
        }

        assert!(most <= 32 * 1024 * 1024 + 24 * 64 * 1024, "{most} bytes");
        for mut client in clients {
            let answer = read_message(&mut client).await.unwrap_or_default();
            assert_eq!(status(&answer), 502, "{answer}");
        }
    });
}
