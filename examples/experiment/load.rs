//! A load generator with an open loop: requests start at fixed times, whether earlier ones have ended or not.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use bytes::Bytes;
use fireflywind::upstream::Timeouts;
use fireflywind::upstream::exchange::{Request, send};
use serde_json::json;

use super::site::API_KEY;

/// Requests of one length at one rate.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Tokens of each answer.
    pub tokens: u32,
    /// Requests a second to each address.
    pub rate: u32,
    /// Number of requests to each address.
    pub requests: u32,
}

/// Times of one whole answer, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// To the first byte of the body.
    pub first_byte: f64,
    /// To the end of the body.
    pub whole: f64,
}

/// Sends the load to both addresses, the direct one with a version in place of the class.
///
/// Returns the times through the gateway and those of the direct calls.
///
/// # Panics
/// If an answer is not whole, since figures of a run with failures mean nothing.
pub async fn run(
    load: Load,
    gateway: SocketAddr,
    direct: &[SocketAddr],
) -> (Vec<Times>, Vec<Times>) {
    let gap = Duration::from_secs(1) / load.rate;
    let (mut routed, mut plain) = (Vec::new(), Vec::new());
    let start = Instant::now();
    for number in 0..load.requests {
        let due = gap * number;
        actix_rt::time::sleep(due.saturating_sub(start.elapsed())).await;
        routed.push(actix_rt::spawn(call(gateway, body(load, "tags", number))));
        // Half a gap later, so that the two do not queue behind each other.
        let due = due + gap / 2;
        actix_rt::time::sleep(due.saturating_sub(start.elapsed())).await;
        if let Some(addr) = direct.get(number as usize % direct.len().max(1)) {
            plain.push(actix_rt::spawn(call(*addr, body(load, "m00/v1", number))));
        }
    }
    (join(routed).await, join(plain).await)
}

async fn join(calls: Vec<actix_rt::task::JoinHandle<Times>>) -> Vec<Times> {
    let mut times = Vec::with_capacity(calls.len());
    for call in calls {
        times.push(call.await.expect("each answer is whole"));
    }
    times
}

fn body(load: Load, model: &str, number: u32) -> String {
    let prompt = format!("describe image {number} [[tokens={}]]", load.tokens);
    let messages = [json!({ "role": "user", "content": prompt })];
    json!({ "model": model, "stream": true, "messages": messages }).to_string()
}

async fn call(addr: SocketAddr, body: String) -> Times {
    let bearer = HeaderValue::from_str(&format!("Bearer {API_KEY}")).expect("the key is text");
    let request = Request {
        method: "POST".parse().expect("it is a method"),
        target: "/v1/chat/completions".to_owned(),
        headers: vec![
            (AUTHORIZATION, bearer),
            (CONTENT_TYPE, HeaderValue::from_static("application/json")),
        ],
        body: body.into(),
    };
    let start = Instant::now();
    let response = send(addr, Timeouts::default(), &request).await;
    let response = response.expect("the request is answered");
    assert_eq!(response.status.as_u16(), 200, "{addr}");
    let (mut body, mut first, mut last) = (response.body, None, Bytes::new());
    while let Some(bytes) = body.next().await.expect("the answer is whole") {
        first.get_or_insert_with(|| start.elapsed());
        last = bytes;
    }
    assert!(last.ends_with(b"data: [DONE]\n\n"), "{last:?}");
    let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
    Times {
        first_byte: millis(first.unwrap_or_default()),
        whole: millis(start.elapsed()),
    }
}
