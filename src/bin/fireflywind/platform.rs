//! Connections of the program: the key-value service and the gateways' admin listeners.

use std::net::SocketAddr;

use actix_http::Method;
use bytes::Bytes;
use fireflywind::kv::budget::CallBudget;
use fireflywind::kv::etcd::EtcdKv;
use fireflywind::operator::ProcessRevision;
use fireflywind::settings::Operator;
use fireflywind::units::Millis;
use fireflywind::upstream::exchange::{Request, send};
use fireflywind::upstream::{Timeouts, UpstreamError};
use serde_json::Value;

/// Most reads, and most writes, that one run of the program makes in a second.
const MAX_CALLS_PER_S: u32 = 200;

/// Largest answer of an admin listener, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

const TIMEOUTS: Timeouts = Timeouts {
    connect: Millis::from_secs(1),
    first_byte: Millis::from_secs(2),
    idle: Millis::from_secs(2),
};

/// Creates the client of the key-value service.
#[must_use]
pub fn connect(settings: &Operator) -> EtcdKv {
    let budget = CallBudget::new(MAX_CALLS_PER_S, MAX_CALLS_PER_S);
    EtcdKv::open(settings.kv.clone(), budget)
}

/// Queries each gateway for its revision.
pub async fn poll(gateways: &[SocketAddr]) -> Vec<ProcessRevision> {
    let mut revisions = Vec::with_capacity(gateways.len());
    for gateway in gateways {
        let status = get(*gateway, "/status").await;
        let status: Value = status
            .ok()
            .and_then(|s| serde_json::from_slice(&s).ok())
            .unwrap_or_default();
        let revision = status.get("revision").and_then(Value::as_u64);
        revisions.push(ProcessRevision {
            process: gateway.to_string(),
            revision,
        });
    }
    revisions
}

/// Sends a GET request to an admin listener and returns the body of the answer.
///
/// # Errors
/// [`UpstreamError`] if there is no answer or its status is not a success.
pub async fn get(addr: SocketAddr, path: &str) -> Result<Bytes, UpstreamError> {
    let request = Request {
        method: Method::GET,
        target: path.to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let response = send(addr, TIMEOUTS, &request)
        .await?
        .error_for_status()
        .await?;
    response.body.collect(MAX_ANSWER_BYTES).await
}
