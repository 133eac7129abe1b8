//! Tests of the upstream clients on loopback sockets.

use std::net::SocketAddr;

use actix_http::Method;
use actix_http::header::{HeaderName, HeaderValue};
use serde_json::{Map, Value, json};

use super::engine::{Completion, DONE, EngineClient, Load};
use super::exchange::Request;
use super::rating::RatingClient;
use super::service::{ServiceClient, end_to_end};
use super::*;
use crate::ids::VersionRef;
use crate::standin::engine::{
    Behaviour, Options, Run, RunState, answer_text, prompt_tokens, token,
};
use crate::standin::{self, Running};
use crate::units::{Permille, Tokens};

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs a future on the real clock, for tests with sockets.
fn run<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

fn engine() -> (Running, EngineClient) {
    let running = standin::engine::bind(loopback(), Options::default(), Behaviour::default())
        .expect("loopback can be bound");
    let client = EngineClient::new(running.addr(), Timeouts::default());
    (running, client)
}

fn service(behaviour: standin::service::Behaviour) -> (Running, ServiceClient) {
    let running = standin::service::bind(loopback(), behaviour).expect("loopback can be bound");
    let client = ServiceClient::new(running.addr(), Timeouts::default());
    (running, client)
}

fn version() -> VersionRef {
    VersionRef::new("small", "v1")
}

fn chat(prompt: &str, extra: &Value) -> Map<String, Value> {
    let mut request = json!({"messages": [{"role": "user", "content": prompt}]});
    let request = request.as_object_mut().expect("the request is an object");
    request.extend(
        extra
            .as_object()
            .expect("the extra fields are an object")
            .clone(),
    );
    request.clone()
}

async fn read_to_end(completion: &mut Completion) -> Result<Vec<u8>, UpstreamError> {
    let mut body = Vec::new();
    while let Some(bytes) = completion.next().await? {
        body.extend_from_slice(&bytes);
    }
    Ok(body)
}

/// Waits until an engine is up and idle; the limit only keeps a failing test from hanging.
async fn wait_until_idle(client: &EngineClient) {
    let wait = async {
        while client.load().await != Ok(Load::default()) {
            actix_rt::time::sleep(Millis(10).duration()).await;
        }
    };
    let limit = Millis::from_secs(60).duration();
    let waited = actix_rt::time::timeout(limit, wait).await;
    waited.expect("the engine becomes idle");
}

async fn runs(addr: SocketAddr) -> Vec<Run> {
    let mut response = awc::Client::new()
        .get(format!("http://{addr}/runs"))
        .send()
        .await
        .expect("the stand-in answers");
    response.json().await.expect("the answer is a list of runs")
}

fn call(method: Method, body: &'static [u8]) -> Request {
    let key = HeaderValue::from_static("k1");
    Request {
        method,
        target: "/orders?shop=1".to_owned(),
        headers: vec![(HeaderName::from_static("idempotency-key"), key)],
        body: Bytes::from_static(body),
    }
}

// Guards against a stream whose bytes are changed, lost or miscounted on the way.
#[test]
fn engine_streams_byte_for_byte() {
    run(async {
        let (_running, client) = engine();
        let prompt = "three short words [[tokens=5]]";
        let mut expected = String::new();
        for at in 0..5 {
            let text = token("small/v1", prompt, at);
            let choices = json!([{"index": 0, "delta": {"content": text}, "finish_reason": null}]);
            expected += &event(&choices);
        }
        expected += &event(&json!([{"index": 0, "delta": {}, "finish_reason": "stop"}]));
        expected += "data: [DONE]\n\n";

        let request = chat(prompt, &json!({"stream": true}));
        let mut completion = client
            .chat(&version(), request)
            .await
            .expect("the completion starts");
        let body = read_to_end(&mut completion).await;

        assert_eq!(body, Ok(expected.into_bytes()));
        assert_eq!(completion.usage().completion, Tokens(5));
        assert_eq!(completion.usage().prompt, None);
    });
}

fn event(choices: &Value) -> String {
    let chunk = json!({
        "object": "chat.completion.chunk",
        "model": "small/v1",
        "choices": choices,
    });
    format!("data: {chunk}\n\n")
}

// Guards against a charge for other numbers of tokens than the engine reports.
#[test]
fn reported_usage_takes_precedence() {
    run(async {
        let (_running, client) = engine();
        let prompt = "three short words [[tokens=5]]";
        let with_usage = json!({"stream": true, "stream_options": {"include_usage": true}});
        for extra in [with_usage, json!({})] {
            let request = chat(prompt, &extra);
            let mut completion = client
                .chat(&version(), request)
                .await
                .expect("the completion starts");
            let body = read_to_end(&mut completion)
                .await
                .expect("the answer is complete");

            let text = String::from_utf8(body).expect("the answer is text");
            assert!(text.contains(token("small/v1", prompt, 4).as_str()));
            assert_eq!(completion.usage().completion, Tokens(5));
            let tokens = prompt_tokens(prompt);
            assert_eq!(completion.usage().prompt, Some(Tokens(tokens)));
        }
    });
}

// Guards against chunks that are counted although they carry no output, or the reverse.
#[test]
fn chunks_with_output_are_counted() {
    run(async {
        let chunks = [
            r#"{"choices":[{"delta":{"role":"assistant","content":""}}],"usage":null}"#,
            r#"{"choices":[{"delta":{"content":"a"}}]}"#,
            r#"{"choices":[{"delta":{"tool_calls":[{"index":0}]}}],"usage":{"prompt_tokens":4}}"#,
            r#"{"choices":[{"delta":{},"finish_reason":"stop"}]}"#,
            "not JSON",
            DONE,
        ];
        let body = format!("data: {}\n\n", chunks.join("\n\ndata: "));
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream; charset=utf-8";
        let answer = format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let addr = raw_server(answer.into_bytes());
        let client = EngineClient::new(addr, Timeouts::default());

        let started = client.chat(&version(), chat("p", &json!({}))).await;
        let mut completion = started.expect("the completion starts");
        let received = read_to_end(&mut completion).await;

        assert_eq!(received, Ok(body.into_bytes()));
        assert_eq!(completion.usage().completion, Tokens(2));
    });
}

// Guards against an answer without streaming that is changed on the way.
#[test]
fn an_answer_without_streaming_is_unchanged() {
    run(async {
        let (_running, client) = engine();
        let request = chat("hello [[tokens=3]]", &json!({}));

        let mut completion = client
            .chat(&version(), request)
            .await
            .expect("the completion starts");
        let body = read_to_end(&mut completion)
            .await
            .expect("the answer is complete");

        let answer: Value = serde_json::from_slice(&body).expect("the answer is JSON");
        let text = answer_text("small/v1", "hello [[tokens=3]]", 3);
        assert_eq!(answer["choices"][0]["message"]["content"], text);
    });
}

// Guards against a crash that is reported as a refused connection or as the end of the answer.
#[test]
fn a_crash_is_reported_as_a_crash() {
    run(async {
        for prompt in ["[[crash]]", "[[crash=2]] [[tokens=9]]"] {
            for extra in [json!({}), json!({"stream": true})] {
                let (running, client) = engine();
                let request = chat(prompt, &extra);

                let outcome = match client.chat(&version(), request).await {
                    Ok(mut completion) => read_to_end(&mut completion).await,
                    Err(error) => Err(error),
                };

                assert!(
                    matches!(outcome, Err(UpstreamError::Crashed(_))),
                    "{outcome:?}"
                );
                running.stop().await;
                assert!(client.load().await.is_err_and(|error| error.not_sent()));
            }
        }
    });
}

// Guards against a crash that leaves the engine's other requests waiting, and against an engine that does
// not restart.
#[test]
fn a_crash_ends_all_requests_of_the_engine() {
    run(async {
        let (_running, client) = engine();
        let other = chat("[[silent]]", &json!({"stream": true}));
        let mut other = client
            .chat(&version(), other)
            .await
            .expect("the completion starts");

        let crashing = client.chat(&version(), chat("[[crash]]", &json!({}))).await;
        let ended = read_to_end(&mut other).await;

        assert!(matches!(crashing, Err(UpstreamError::Crashed(_))));
        assert!(matches!(ended, Err(UpstreamError::Crashed(_))));
        wait_until_idle(&client).await;
    });
}

// Guards against an error status that is reported as an answer.
#[test]
fn an_error_status_is_reported_as_an_error() {
    run(async {
        let (_running, client) = engine();
        let outcome = client.chat(&version(), chat("[[error]]", &json!({}))).await;
        let error = outcome.expect_err("the engine fails");
        assert!(matches!(error, UpstreamError::Status { status: 500, .. }));
    });
}

// Guards against a dropped stream that still occupies its engine.
#[test]
fn dropping_a_stream_cancels_the_run() {
    run(async {
        let (running, client) = engine();
        let request = chat("[[tokens=1]] [[delay=0]]", &json!({"stream": true}));
        let mut endless = request.clone();
        endless.extend(chat("[[silent]]", &json!({"stream": true})));

        let done = client.chat(&version(), request).await;
        read_to_end(&mut done.expect("the completion starts"))
            .await
            .expect("the body is complete");
        let stream = client
            .chat(&version(), endless)
            .await
            .expect("the completion starts");
        assert_eq!(
            client.load().await,
            Ok(Load {
                running: 1,
                queued: 0
            })
        );
        drop(stream);

        wait_until_idle(&client).await;
        let states: Vec<_> = runs(running.addr()).await.iter().map(|r| r.state).collect();
        assert_eq!(states, [RunState::Done, RunState::Ended]);
    });
}

// Guards against an unbounded wait for an engine that accepts a connection and sends nothing.
#[test]
fn a_silent_engine_times_out() {
    run(async {
        let (running, _) = engine();
        let timeouts = Timeouts {
            first_byte: Millis(50),
            idle: Millis(50),
            ..Timeouts::default()
        };
        let client = EngineClient::new(running.addr(), timeouts);
        for extra in [json!({}), json!({"stream": true})] {
            let outcome = match client.chat(&version(), chat("[[silent]]", &extra)).await {
                Ok(mut completion) => read_to_end(&mut completion).await,
                Err(error) => Err(error),
            };
            assert!(
                matches!(outcome, Err(UpstreamError::Silent(_))),
                "{outcome:?}"
            );
        }
    });
}

// Guards against a call that reaches the service changed or more than once.
#[test]
fn service_calls_pass_through_once() {
    run(async {
        let (running, client) = service(standin::service::Behaviour::default());

        let response = client.call(call(Method::PUT, b"two pallets")).await;
        let body = response
            .expect("the service answers")
            .body
            .collect(1_000)
            .await;

        let body: Value =
            serde_json::from_slice(&body.expect("the body is complete")).expect("the body is JSON");
        assert_eq!(body["number"], 1);
        let mut listed = awc::Client::new()
            .get(format!("http://{}/__runs", running.addr()))
            .send()
            .await
            .expect("the stand-in answers");
        let listed: Vec<standin::service::Run> =
            listed.json().await.expect("the answer is a list of runs");
        let expected = standin::service::Run {
            method: "PUT".to_owned(),
            path: "/orders?shop=1".to_owned(),
            digest: standin::digest(b"two pallets"),
            key: Some("k1".to_owned()),
            count: 1,
        };
        assert_eq!(listed, [expected]);
    });
}

// Guards against hop-by-hop headers that are forwarded to the next connection.
#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let headers = [
        "connection: x-hop, close",
        "x-hop: 1",
        "host: a",
        "accept: b",
    ]
    .map(|line| {
        let (name, value) = line.split_once(": ").expect("a header has a value");
        (
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        )
    });
    let forwarded = end_to_end(headers.iter().map(|(name, value)| (name, value)));
    let forwarded: Vec<_> = forwarded.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(forwarded, ["accept"]);
}

// Guards against a truncated response that looks complete: the cut is between two chunks.
#[test]
fn a_truncated_response_is_an_error() {
    run(async {
        let (_running, client) = service(standin::service::Behaviour {
            cut_answer: true,
            ..standin::service::Behaviour::default()
        });

        let response = client.call(call(Method::GET, b"")).await;
        let body = response
            .expect("the head of the response arrives")
            .body
            .collect(1_000)
            .await;

        assert!(matches!(body, Err(UpstreamError::Crashed(_))), "{body:?}");
    });
}

/// Serves raw bytes to one connection and closes it.
fn raw_server(answer: Vec<u8>) -> SocketAddr {
    let listener = std::net::TcpListener::bind(loopback()).expect("loopback can be bound");
    let addr = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        let (mut io, _peer) = listener.accept()?;
        // The request is small and arrives in one piece.
        std::io::Read::read(&mut io, &mut [0; 4_096])?;
        std::io::Write::write_all(&mut io, &answer)
    });
    addr
}

/// Outcome of a call to a server that sends raw bytes.
async fn raw_outcome(answer: &[u8]) -> Result<Bytes, UpstreamError> {
    let client = ServiceClient::new(raw_server(answer.to_vec()), Timeouts::default());
    let response = client.call(call(Method::GET, b"")).await?;
    response.body.collect(1_000).await
}

// Guards against an answer without a verifiable end that is returned as complete, and against protocol
// errors that are reported as a crash of the upstream.
#[test]
fn only_complete_answers_are_reported_as_complete() {
    run(async {
        let complete: [&[u8]; 4] = [
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab",
            b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\n\r\n",
        ];
        for (answer, body) in complete.iter().zip(["ab", "ab", "ab", ""]) {
            assert_eq!(raw_outcome(answer).await, Ok(Bytes::from(body)));
        }
        let cut: [&[u8]; 4] = [
            b"",
            b"HTTP/1.1 200",
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
        ];
        for answer in cut {
            let outcome = raw_outcome(answer).await;
            assert!(
                matches!(outcome, Err(UpstreamError::Crashed(_))),
                "{outcome:?}"
            );
        }
        let long_head = [&b"HTTP/1.1 200 OK\r\na: "[..], &vec![b'x'; 200_000]].concat();
        let long_body = [
            b"HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n",
            &[b'x'; 1_001][..],
        ]
        .concat();
        let invalid: [&[u8]; 4] = [
            b"HTTP/1.1 200 OK\r\n\r\nab",
            b"HTTP/1.0 200 OK\r\n\r\nab",
            &long_head,
            &long_body,
        ];
        for answer in invalid {
            let outcome = raw_outcome(answer).await;
            assert!(
                matches!(outcome, Err(UpstreamError::Invalid(_))),
                "{outcome:?}"
            );
        }
    });
}

/// Statuses that are none, and bodies whose end can be found in two ways, were taken for answers.
#[test]
fn heads_that_are_no_answers_are_invalid() {
    run(async {
        for status in [0, 99, 101, 600, 999] {
            let answer = format!("HTTP/1.1 {status:03} X\r\ncontent-length: 2\r\n\r\nab");
            let outcome = raw_outcome(answer.as_bytes()).await;
            assert!(
                matches!(outcome, Err(UpstreamError::Invalid(_))),
                "{status}: {outcome:?}"
            );
        }
        let fields = [
            "transfer-encoding: chunked\r\ncontent-length: 2",
            "transfer-encoding: identity",
            "transfer-encoding: gzip",
            "content-length: 2\r\ncontent-length: 3",
            "content-length: +2",
            "content-length: -2",
            "content-length: 2\r\nupgrade: websocket",
        ];
        for fields in fields {
            let answer = format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n2\r\nab\r\n0\r\n\r\n");
            let outcome = raw_outcome(answer.as_bytes()).await;
            assert!(
                matches!(outcome, Err(UpstreamError::Invalid(_))),
                "{fields}: {outcome:?}"
            );
        }
        let chunked_1_0 = b"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
        let outcome = raw_outcome(chunked_1_0).await;
        assert!(
            matches!(outcome, Err(UpstreamError::Invalid(_))),
            "{outcome:?}"
        );
    });
}

/// Interim heads without end, or with a body, must end the call; one with a body stopped the process in debug builds.
#[test]
fn interim_heads_are_bounded_and_have_no_body() {
    run(async {
        let answer = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000);
        let answer = format!("{answer}HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab");
        let with_body = "HTTP/1.1 100 Continue\r\ncontent-length: 2\r\n\r\nab\
                         HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab";
        for answer in [&answer, with_body] {
            let outcome = raw_outcome(answer.as_bytes()).await;
            assert!(
                matches!(outcome, Err(UpstreamError::Invalid(_))),
                "{outcome:?}"
            );
        }
    });
}

/// A body that must not be there is not waited for, nor passed on.
#[test]
fn a_204_has_no_body() {
    run(async {
        let answer = b"HTTP/1.1 204 None\r\ncontent-length: 2\r\n\r\nab";
        assert_eq!(raw_outcome(answer).await, Ok(Bytes::new()));
        let answer = b"HTTP/1.1 304 None\r\ncontent-length: 2\r\n\r\n";
        assert_eq!(raw_outcome(answer).await, Ok(Bytes::new()));
    });
}

// Guards against a call that ran and is reported as not sent.
#[test]
fn a_dropped_answer_is_a_crash() {
    run(async {
        let (_running, client) = service(standin::service::Behaviour {
            drop_answer: true,
            ..standin::service::Behaviour::default()
        });
        let outcome = client.call(call(Method::POST, b"order")).await;
        let error = outcome.expect_err("the answer is dropped");
        assert!(matches!(error, UpstreamError::Crashed(_)));
    });
}

// Guards against an error of the rating service that is read as a rating.
#[test]
fn a_failing_rating_service_gives_an_error() {
    run(async {
        for failing in [false, true] {
            let behaviour = standin::rating::Behaviour {
                failing,
                ..standin::rating::Behaviour::default()
            };
            let running =
                standin::rating::bind(loopback(), behaviour).expect("loopback can be bound");
            let client = RatingClient::new(running.addr(), Timeouts::default());

            let rating = client
                .rate(&"tags".into(), &version(), "prompt", "answer")
                .await;

            assert_eq!(rating.is_err(), failing);
            assert!(rating.is_ok_and(|rating| rating >= Permille(700)) || failing);
        }
    });
}
