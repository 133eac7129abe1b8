//! Queue of engine orders at the agent, which is the only writer to its engine.

use std::collections::VecDeque;

use super::Fence;
use crate::kv::KvError;
use crate::units::Millis;

/// Maximum number of queued orders.
pub const MAX_QUEUED_ORDERS: usize = 16;

/// Wait before a failed read of the highest token is retried.
pub const HIGHEST_READ_RETRY_DELAY: Millis = Millis::from_secs(1);

/// Time within which an engine that ignores tokens finishes or drops an order after its connection closed.
pub const ORDER_DRAIN_TIMEOUT: Millis = Millis::from_secs(10);

/// An action that the agent performs for its engine's orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEffect<C> {
    /// Read the entry of the duty's fence key, then call [`EngineOrders::on_highest`].
    ReadHighest,
    /// Send the order to the engine, then call [`EngineOrders::on_end`].
    Apply {
        /// Number that the agent assigned to the order.
        id: u64,
        /// Token to send with the order; an engine that does not check tokens may log it.
        fence: Fence,
        /// The order.
        command: C,
    },
    /// Send the response to the holder that submitted the order.
    Reply {
        /// Number that the agent assigned to the order.
        id: u64,
        /// The response.
        response: OrderResponse,
    },
    /// Wait until this time, then call [`EngineOrders::on_wake`].
    WakeAt(Millis),
}

/// The response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine accepted the order.
    Done,
    /// The engine rejected the order; it had no effect.
    Refused,
    /// The engine did not answer; the order may have taken effect.
    Unknown,
    /// An order with this higher token is known; this order had no effect.
    Stale(Fence),
    /// The agent has not read the highest token yet; the order had no effect.
    NotReady,
    /// The queue is full; the order had no effect.
    QueueFull,
}

/// Result of sending an order to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine accepted the order.
    Done,
    /// The engine rejected the order.
    Refused,
    /// The connection failed or the call timed out, and the agent closed the connection.
    Lost,
}

#[derive(Debug)]
struct Order<C> {
    id: u64,
    fence: Fence,
    command: C,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EngineState {
    Idle,
    /// The order with this number was sent to the engine.
    Busy(u64),
    /// An order with an unknown result may still take effect until this time.
    DrainingUntil(Millis),
}

/// Admits the orders for one engine and sends them one at a time.
///
/// The caller performs the returned effects in order. Events that are not expected in the current state are
/// ignored.
#[derive(Debug)]
pub struct EngineOrders<C> {
    checks_fencing: bool,
    drain_timeout: Millis,
    /// Highest known token; `None` until it has been read from the service.
    highest: Option<Fence>,
    engine: EngineState,
    queue: VecDeque<Order<C>>,
}

impl<C> EngineOrders<C> {
    /// Starts without accepting orders, after the agent has bound its port.
    ///
    /// The last order of a previous agent may still take effect, so an engine that ignores tokens is sent no
    /// order until `drain_timeout` has passed.
    #[must_use]
    pub fn start(
        checks_fencing: bool,
        drain_timeout: Millis,
        now: Millis,
    ) -> (Self, Vec<OrderEffect<C>>) {
        let mut orders = Self {
            checks_fencing,
            drain_timeout,
            highest: None,
            engine: EngineState::Idle,
            queue: VecDeque::new(),
        };
        let mut effects = vec![OrderEffect::ReadHighest];
        orders.start_drain(now, &mut effects);
        (orders, effects)
    }

    /// Sets whether the engine rejects lower tokens itself, according to the sheet in force.
    ///
    /// Such an engine needs no wait for an order that may still take effect.
    pub fn set_checks_fencing(&mut self, checks_fencing: bool) {
        self.checks_fencing = checks_fencing;
        if checks_fencing && matches!(self.engine, EngineState::DrainingUntil(_)) {
            self.engine = EngineState::Idle;
        }
    }

    /// Returns the highest known token; `None` while no orders are accepted.
    #[must_use]
    pub const fn highest(&self) -> Option<Fence> {
        self.highest
    }

    /// Handles the result of [`OrderEffect::ReadHighest`], mapped by [`Fence::highest`].
    pub fn on_highest(
        &mut self,
        result: &Result<Fence, KvError>,
        now: Millis,
    ) -> Vec<OrderEffect<C>> {
        match result {
            Ok(fence) => {
                self.highest = self.highest.max(Some(*fence));
                Vec::new()
            }
            Err(_) => vec![OrderEffect::WakeAt(now + HIGHEST_READ_RETRY_DELAY)],
        }
    }

    /// Submits an order; `id` is a number that the agent uses only once.
    pub fn submit(
        &mut self,
        id: u64,
        fence: Fence,
        command: C,
        now: Millis,
    ) -> Vec<OrderEffect<C>> {
        let refuse = |response| vec![OrderEffect::Reply { id, response }];
        let Some(highest) = self.highest else {
            return refuse(OrderResponse::NotReady);
        };
        if fence < highest {
            return refuse(OrderResponse::Stale(highest));
        }
        self.highest = Some(fence);
        let mut effects = self.reject_stale(fence);
        if self.queue.len() >= MAX_QUEUED_ORDERS {
            let response = OrderResponse::QueueFull;
            effects.push(OrderEffect::Reply { id, response });
            return effects;
        }
        self.queue.push_back(Order { id, fence, command });
        effects.extend(self.dispatch_next(now));
        effects
    }

    /// Handles the result of [`OrderEffect::Apply`].
    pub fn on_end(&mut self, id: u64, end: OrderEnd, now: Millis) -> Vec<OrderEffect<C>> {
        if self.engine != EngineState::Busy(id) {
            return Vec::new();
        }
        self.engine = EngineState::Idle;
        let response = match end {
            OrderEnd::Done => OrderResponse::Done,
            OrderEnd::Refused => OrderResponse::Refused,
            OrderEnd::Lost => OrderResponse::Unknown,
        };
        let mut effects = vec![OrderEffect::Reply { id, response }];
        if end == OrderEnd::Lost {
            self.start_drain(now, &mut effects);
        }
        effects.extend(self.dispatch_next(now));
        effects
    }

    /// Continues after [`OrderEffect::WakeAt`].
    pub fn on_wake(&mut self, now: Millis) -> Vec<OrderEffect<C>> {
        let mut effects = Vec::new();
        if self.highest.is_none() {
            effects.push(OrderEffect::ReadHighest);
        }
        effects.extend(self.dispatch_next(now));
        effects
    }

    /// Sends no order while an earlier one may still take effect; an engine that checks tokens needs no such wait.
    fn start_drain(&mut self, now: Millis, effects: &mut Vec<OrderEffect<C>>) {
        if !self.checks_fencing {
            let until = now + self.drain_timeout;
            self.engine = EngineState::DrainingUntil(until);
            effects.push(OrderEffect::WakeAt(until));
        }
    }

    /// Rejects the queued orders whose token is lower than `fence`.
    fn reject_stale(&mut self, fence: Fence) -> Vec<OrderEffect<C>> {
        let mut effects = Vec::new();
        self.queue.retain(|order| {
            let stale = order.fence < fence;
            if stale {
                effects.push(OrderEffect::Reply {
                    id: order.id,
                    response: OrderResponse::Stale(fence),
                });
            }
            !stale
        });
        effects
    }

    fn dispatch_next(&mut self, now: Millis) -> Option<OrderEffect<C>> {
        match self.engine {
            EngineState::Busy(_) => return None,
            EngineState::DrainingUntil(until) if now < until => return None,
            EngineState::DrainingUntil(_) | EngineState::Idle => self.engine = EngineState::Idle,
        }
        let Order { id, fence, command } = self.queue.pop_front()?;
        self.engine = EngineState::Busy(id);
        Some(OrderEffect::Apply { id, fence, command })
    }
}
