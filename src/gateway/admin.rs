//! The admin listener of a gateway: health, readiness, metrics, status and records.

use std::rc::Rc;

use bytes::{BufMut, BytesMut};
use serde_json::json;

use super::shared::Shared;
use crate::http::{Handler, Incoming, Outgoing};

/// Returns the handler of the admin listener.
pub(super) fn handler(shared: Rc<Shared>) -> Handler {
    Rc::new(move |incoming: Incoming| {
        let outgoing = answer(&shared, &incoming.path);
        Box::pin(async move { outgoing })
    })
}

fn answer(shared: &Shared, path: &str) -> Outgoing {
    match path {
        "/healthz" => Outgoing::full(200, "text/plain", "ok\n"),
        "/readyz" => readiness(shared),
        "/metrics" => Outgoing::full(200, "text/plain; version=0.0.4", shared.metrics.text()),
        "/status" => status(shared),
        "/records" => records(shared),
        _ => match path.strip_prefix("/records/") {
            Some(id) => record(shared, id),
            None => Outgoing::full(404, "text/plain", "not found\n"),
        },
    }
}

fn readiness(shared: &Shared) -> Outgoing {
    let reason = if shared.stopping.get() {
        "stopping"
    } else if !shared.follower.may_serve() {
        "no sheet is in force, or it was not confirmed for too long"
    } else if shared.links.borrow().usable_count(shared.clock.now()) == 0 {
        "no upstream is usable"
    } else {
        return Outgoing::full(200, "text/plain", "ready\n");
    };
    Outgoing::full(503, "text/plain", format!("not ready: {reason}\n"))
}

fn status(shared: &Shared) -> Outgoing {
    let now = shared.clock.now();
    let rollouts = shared.rollouts.borrow();
    let rollouts: Vec<_> = rollouts
        .iter()
        .map(|(version, share, stopped)| json!({ "version": version, "share": share, "stopped": stopped }))
        .collect();
    let value = json!({
        "rollouts": rollouts,
        "gateways": shared.presence.borrow().gateways.get(),
        "gateway": shared.name,
        "incarnation": shared.incarnation,
        "revision": shared.follower.revision(),
        "freshness_ms": shared.follower.freshness().map(|f| f.0),
        "stopping": shared.stopping.get(),
        "usable_upstreams": shared.links.borrow().usable_count(now),
    });
    Outgoing::json(200, &value)
}

/// Returns the latest records, one JSON object on each line.
fn records(shared: &Shared) -> Outgoing {
    let mut lines = BytesMut::new();
    for record in shared.records.borrow().iter() {
        lines.put_slice(record);
        lines.put_u8(b'\n');
    }
    Outgoing::full(200, "application/jsonl", lines.freeze())
}

fn record(shared: &Shared, id: &str) -> Outgoing {
    let found = id
        .parse()
        .ok()
        .and_then(|id| shared.records.borrow().get(id));
    match found {
        Some(record) => Outgoing::full(200, "application/json", record),
        None => Outgoing::full(404, "text/plain", "no such record here\n"),
    }
}
