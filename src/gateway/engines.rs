//! Orders to engines: sends each engine the versions to load, while this gateway holds the fleet duty.

use std::rc::Rc;

use serde_json::{Value, json};

use super::shared::Shared;
use crate::ids::{Incarnation, UpstreamId, VersionRef};
use crate::peer::Link;
use crate::sheet::UpstreamKind;
use crate::units::Millis;

/// Time between two orders; the weight store that engines load from is rate-limited.
const ORDER_INTERVAL: Millis = Millis(200);

/// Time limit for the reply to an order.
const ORDER_TIMEOUT: Millis = Millis::from_secs(15);

/// An order to an engine with the versions to load.
#[derive(Debug, PartialEq, Eq)]
struct LoadOrder {
    upstream: UpstreamId,
    agent: Incarnation,
    versions: Vec<VersionRef>,
}

/// The last order that each engine has completed for this gateway, sorted by upstream.
#[derive(Debug, Default)]
pub(super) struct Engines {
    completed: Vec<LoadOrder>,
    next_order_at: Millis,
}

impl Engines {
    fn record_completed(&mut self, load_order: LoadOrder) {
        match self
            .completed
            .binary_search_by(|order| order.upstream.cmp(&load_order.upstream))
        {
            Ok(at) => self.completed[at] = load_order,
            Err(at) => self.completed.insert(at, load_order),
        }
    }
}

/// Sends the next order that is due, if this gateway holds the fleet duty.
pub(super) async fn step(shared: &Shared) {
    let now = shared.clock.now();
    if now < shared.engines.borrow().next_order_at {
        return;
    }
    if shared.presence.borrow().fence(now).is_none() {
        // The next holder of the duty sends orders to every engine again.
        shared.engines.borrow_mut().completed.clear();
        return;
    }
    let Some((load_order, link)) = next_order(shared) else {
        return;
    };
    shared.engines.borrow_mut().next_order_at = now + ORDER_INTERVAL;
    let order = json!({ "load": load_order.versions });
    // The lease may have ended while the order was prepared.
    let Some(fence) = shared.presence.borrow().fence(shared.clock.now()) else {
        return;
    };
    let reply = link
        .order(fence.0, order.to_string().as_bytes(), ORDER_TIMEOUT)
        .await;
    let verdict = reply
        .ok()
        .and_then(|reply| serde_json::from_slice::<Value>(&reply).ok());
    let verdict = verdict
        .as_ref()
        .and_then(|v| v["verdict"].as_str())
        .unwrap_or("unknown");
    let upstream = load_order.upstream.as_str();
    log::info!(event = "engine_order", upstream, fence = fence.0, verdict; "");
    if verdict == "done" {
        shared.engines.borrow_mut().record_completed(load_order);
    }
}

/// Finds a linked engine that has not completed the order that follows from the sheet in force.
fn next_order(shared: &Shared) -> Option<(LoadOrder, Rc<Link>)> {
    let in_force = shared.follower.in_force()?;
    let links = shared.links.borrow();
    let engines = shared.engines.borrow();
    let now = shared.clock.now();
    in_force.sheet.upstreams.iter().find_map(|upstream| {
        let UpstreamKind::Engine { versions, .. } = &upstream.serves else {
            return None;
        };
        let agent = links.incarnation(&upstream.id, now)?;
        let load_order = LoadOrder {
            upstream: upstream.id.clone(),
            agent,
            versions: versions.clone(),
        };
        if engines.completed.contains(&load_order) {
            return None;
        }
        Some((load_order, links.link(&upstream.id)?))
    })
}
