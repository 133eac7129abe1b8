//! An open-loop load generator: requests start at fixed times, whether or not earlier ones have ended.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use bytes::Bytes;
use fireflywind::upstream::Timeouts;
use fireflywind::upstream::exchange::{Request, send};
use serde_json::json;

use super::deployment::API_KEY;

/// A fixed number of requests at a constant rate, all with answers of the same length.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Tokens of each answer.
    pub tokens: u32,
    /// Requests per second to the gateway, and as many to the engines.
    pub rate: u32,
    /// Number of requests to the gateway, and as many to the engines.
    pub requests: u32,
}

/// Times from the start of a request to parts of its answer, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// To the first byte of the body.
    pub first_byte: f64,
    /// To the end of the body.
    pub total: f64,
}

/// Sends the load to the gateway and directly to the engines, which are called by version in place of class.
///
/// Returns the times through the gateway and those of the direct calls. Without engines there are no direct
/// calls.
///
/// # Panics
/// If a request fails or its answer is incomplete, since the figures of such a run are meaningless.
pub async fn run(
    load: Load,
    gateway: SocketAddr,
    engines: &[SocketAddr],
) -> (Vec<Times>, Vec<Times>) {
    let interval = Duration::from_secs(1) / load.rate;
    let (mut routed, mut direct) = (Vec::new(), Vec::new());
    let start = Instant::now();
    for number in 0..load.requests {
        let due = interval * number;
        actix_rt::time::sleep(due.saturating_sub(start.elapsed())).await;
        routed.push(actix_rt::spawn(send_request(
            gateway,
            body(load, "tags", number),
        )));
        // Half an interval later, so that the two calls do not queue behind each other.
        let due = due + interval / 2;
        actix_rt::time::sleep(due.saturating_sub(start.elapsed())).await;
        if let Some(addr) = engines.get(number as usize % engines.len().max(1)) {
            direct.push(actix_rt::spawn(send_request(
                *addr,
                body(load, "m00/v1", number),
            )));
        }
    }
    (join(routed).await, join(direct).await)
}

async fn join(calls: Vec<actix_rt::task::JoinHandle<Times>>) -> Vec<Times> {
    let mut times = Vec::with_capacity(calls.len());
    for call in calls {
        times.push(call.await.expect("the task of a request does not panic"));
    }
    times
}

fn body(load: Load, model: &str, number: u32) -> String {
    let prompt = format!("describe image {number} [[tokens={}]]", load.tokens);
    let messages = [json!({ "role": "user", "content": prompt })];
    json!({ "model": model, "stream": true, "messages": messages }).to_string()
}

async fn send_request(addr: SocketAddr, body: String) -> Times {
    let bearer = HeaderValue::from_str(&format!("Bearer {API_KEY}"))
        .expect("the key is a valid header value");
    let request = Request {
        method: "POST".parse().expect("POST is a valid method"),
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
    while let Some(bytes) = body
        .next()
        .await
        .expect("the body of the answer is read to its end")
    {
        first.get_or_insert_with(|| start.elapsed());
        last = bytes;
    }
    assert!(last.ends_with(b"data: [DONE]\n\n"), "{last:?}");
    let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
    Times {
        first_byte: millis(first.unwrap_or_default()),
        total: millis(start.elapsed()),
    }
}
