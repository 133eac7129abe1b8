//! Tests of the HTTP server, over loopback sockets.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::*;
use crate::units::Millis;

fn echo_handler() -> Handler {
    Rc::new(|incoming: Incoming| {
        Box::pin(async move { Outgoing::full(200, "text/plain", incoming.body) })
    })
}

async fn exchange(bounds: Bounds, bytes: &[u8]) -> String {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = bind(any, bounds, echo_handler()).expect("loopback has a free port");
    let mut stream = TcpStream::connect(running.addr())
        .await
        .expect("the server listens");
    stream
        .write_all(bytes)
        .await
        .expect("the request can be written");
    let mut answer = Vec::new();
    // The server may reset the connection of a client whose request it refused.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn run<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

fn small_bounds() -> Bounds {
    Bounds {
        body_bytes: 16,
        header_bytes: 256,
        receive_timeout: Millis(100),
        ..Bounds::default()
    }
}

// Guards against a request body that is truncated or does not reach the handler.
#[test]
fn a_request_within_the_bounds_reaches_the_handler() {
    let request =
        b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello";

    let answer = run(exchange(small_bounds(), request));

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("hello"), "{answer}");
}

// Guards against requests that use unbounded memory.
#[test]
fn oversized_senders_get_413() {
    let body = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 17\r\n\r\n01234567890123456";
    let head = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nx-filler: {}\r\n\r\n",
        "x".repeat(300)
    );

    for request in [body.as_slice(), head.as_bytes()] {
        let answer = run(exchange(small_bounds(), request));
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        assert!(answer.contains("\"ran\":\"not_run\""), "{answer}");
    }
}

// Guards against a client that keeps a connection in use with a body that never ends.
#[test]
fn a_slow_sender_gets_408() {
    let request = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf";

    let answer = run(exchange(small_bounds(), request));

    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

// Guards against a graceful stop that interrupts a request in progress.
#[test]
fn a_drain_waits_for_the_body_of_an_answer() {
    run(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (tx, rx) = tokio::sync::oneshot::channel::<()>();
        let rx = Rc::new(std::cell::RefCell::new(Some(rx)));
        let handler: Handler = Rc::new(move |_| {
            let rx = rx.borrow_mut().take();
            Box::pin(async move {
                let late = futures_util::stream::once(async move {
                    if let Some(rx) = rx {
                        let _ = rx.await;
                    }
                    Ok(Bytes::from_static(b"late"))
                });
                Outgoing::stream(200, "text/plain", late)
            })
        });
        let running = bind(any, Bounds::default(), handler).expect("loopback has a free port");
        let mut stream = TcpStream::connect(running.addr())
            .await
            .expect("the server listens");
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .expect("the request can be written");
        let mut head = [0; 12];
        stream
            .read_exact(&mut head)
            .await
            .expect("the head arrives before the body");

        assert!(
            !running.drain(Millis(50)).await,
            "the answer is not finished"
        );
        tx.send(()).expect("the handler waits");
        assert!(
            running.drain(Millis::from_secs(20)).await,
            "the answer is finished"
        );

        let mut rest = String::new();
        while !rest.contains("late") {
            let mut chunk = [0; 256];
            let read = stream
                .read(&mut chunk)
                .await
                .expect("the connection is open");
            assert!(read > 0, "the answer ended early: {rest}");
            rest.push_str(&String::from_utf8_lossy(&chunk[..read]));
        }
    });
}
