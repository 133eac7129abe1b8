//! Sends orders to the engine as its only writer; performs the effects of the fencing state machine.

use std::rc::Rc;

use actix_rt::time::sleep;
use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::shared::{Client, Shared};
use crate::fencing::{
    EngineOrders, FLEET_DUTY, Fence, ORDER_DRAIN_TIMEOUT, OrderEffect, OrderEnd, OrderResponse,
    fence_key,
};
use crate::upstream::UpstreamError;

/// HTTP status with which an engine refuses an order that carries an outdated fencing token.
const CONFLICT_STATUS: u16 = 409;

/// Orders to the engine, and the holders of the duty that wait for the responses.
#[derive(Debug)]
pub(super) struct Orders {
    machine: EngineOrders<Value>,
    waiting: Vec<(u64, oneshot::Sender<OrderResponse>)>,
    last_id: u64,
}

/// Starts to accept orders, if the upstream is an engine.
pub(super) fn start(shared: &Rc<Shared>) {
    if !matches!(shared.client, Client::Engine(_)) {
        return;
    }
    // Until a sheet arrives, the engine is assumed to ignore fencing tokens, which is the safe case.
    let (machine, effects) = EngineOrders::start(false, ORDER_DRAIN_TIMEOUT, shared.clock.now());
    *shared.orders.borrow_mut() = Some(Orders {
        machine,
        waiting: Vec::new(),
        last_id: 0,
    });
    perform(shared, effects);
}

/// Submits an order and returns its result as JSON.
pub(super) async fn submit(shared: &Rc<Shared>, fence: u64, order: Bytes) -> Bytes {
    let Ok(command) = serde_json::from_slice::<Value>(&order) else {
        return reply("refused");
    };
    let (tx, rx) = oneshot::channel();
    let effects = {
        let mut orders = shared.orders.borrow_mut();
        let Some(orders) = orders.as_mut() else {
            return reply("refused");
        };
        let in_force = shared.follower.in_force();
        let upstream = in_force
            .as_ref()
            .and_then(|in_force| in_force.sheet.upstream(&shared.upstream));
        orders
            .machine
            .set_checks_fencing(upstream.is_some_and(|upstream| upstream.checks_fencing));
        orders.last_id += 1;
        orders.waiting.push((orders.last_id, tx));
        orders
            .machine
            .submit(orders.last_id, Fence(fence), command, shared.clock.now())
    };
    perform(shared, effects);
    match rx.await {
        Ok(OrderResponse::Done) => reply("done"),
        Ok(OrderResponse::Refused) => reply("refused"),
        Ok(OrderResponse::Stale(_)) => reply("stale"),
        Ok(OrderResponse::NotReady) => reply("not_ready"),
        Ok(OrderResponse::QueueFull) => reply("queue_full"),
        Ok(OrderResponse::Unknown) | Err(_) => reply("unknown"),
    }
}

fn reply(verdict: &str) -> Bytes {
    json!({ "verdict": verdict }).to_string().into()
}

fn perform(shared: &Rc<Shared>, effects: Vec<OrderEffect<Value>>) {
    for effect in effects {
        match effect {
            OrderEffect::ReadHighest => {
                actix_rt::spawn(read_highest(Rc::clone(shared)));
            }
            OrderEffect::Apply { id, fence, command } => {
                actix_rt::spawn(apply(Rc::clone(shared), id, fence, command));
            }
            OrderEffect::Reply { id, response } => respond(shared, id, response),
            OrderEffect::WakeAt(at) => {
                let shared = Rc::clone(shared);
                actix_rt::spawn(async move {
                    sleep(at.since(shared.clock.now()).duration()).await;
                    let now = shared.clock.now();
                    step(&shared, |machine| machine.on_wake(now));
                });
            }
        }
    }
}

fn step(
    shared: &Rc<Shared>,
    event: impl FnOnce(&mut EngineOrders<Value>) -> Vec<OrderEffect<Value>>,
) {
    let effects = shared
        .orders
        .borrow_mut()
        .as_mut()
        .map(|orders| event(&mut orders.machine));
    perform(shared, effects.unwrap_or_default());
}

fn respond(shared: &Rc<Shared>, id: u64, response: OrderResponse) {
    let mut orders = shared.orders.borrow_mut();
    let waiting = orders.as_mut().and_then(|orders| {
        let at = orders
            .waiting
            .iter()
            .position(|(waiting, _)| *waiting == id)?;
        Some(orders.waiting.swap_remove(at))
    });
    if let Some((_, tx)) = waiting {
        // The holder may no longer wait for the response.
        let _ = tx.send(response);
    }
}

async fn read_highest(shared: Rc<Shared>) {
    let key = fence_key(FLEET_DUTY);
    let read = shared.kv.get(&key).await;
    let highest = read.map(|entry| Fence::highest(entry.as_ref()));
    let now = shared.clock.now();
    step(&shared, |machine| machine.on_highest(&highest, now));
}

async fn apply(shared: Rc<Shared>, id: u64, fence: Fence, command: Value) {
    let Client::Engine(engine) = &shared.client else {
        return;
    };
    let result = engine.order(fence.0, &command).await;
    let end = match result {
        Ok(()) => OrderEnd::Done,
        Err(
            UpstreamError::Status {
                status: CONFLICT_STATUS,
                ..
            }
            | UpstreamError::NotSent(_),
        ) => OrderEnd::Refused,
        Err(_) => OrderEnd::Lost,
    };
    shared.metrics.count_event("engine_orders");
    let now = shared.clock.now();
    step(&shared, |machine| machine.on_end(id, end, now));
}
