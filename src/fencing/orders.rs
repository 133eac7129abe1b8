//! The agent's side: the single writer to its engine.

use std::collections::VecDeque;

use super::Fence;
use crate::kv::KvError;
use crate::units::Millis;

/// Largest number of orders that wait for the engine.
pub const MAX_QUEUED_ORDERS: usize = 16;

/// Wait before the highest token is read again after a failed read.
pub const READ_RETRY: Millis = Millis::from_secs(1);

/// Time after which an engine that ignores tokens has finished or dropped an order whose connection closed.
pub const ORDER_DRAIN_TIMEOUT: Millis = Millis::from_secs(10);

/// What the agent does next for its engine's orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEffect<C> {
    /// Read the entry of the duty's fence key, then [`EngineOrders::on_highest`].
    ReadHighest,
    /// Give the order to the engine, then [`EngineOrders::on_end`].
    Apply {
        /// The agent's number of the order.
        id: u64,
        /// Token to pass on; an engine that ignores it may keep it for its log.
        fence: Fence,
        /// The order.
        command: C,
    },
    /// Answer the holder.
    Reply {
        /// The agent's number of the order.
        id: u64,
        /// The answer.
        verdict: OrderResponse,
    },
    /// Wait until this time, then [`EngineOrders::on_wake`].
    WakeAt(Millis),
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine took the order.
    Done,
    /// The engine refused the order; it had no effect.
    Refused,
    /// No answer came from the engine; the order may have had an effect.
    Unknown,
    /// A holder with this higher token has given an order; this one had no effect.
    Stale(Fence),
    /// The agent does not yet know the highest token; the order had no effect.
    NotReady,
    /// Too many orders wait; the order had no effect.
    QueueFull,
}

/// How an order ended at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine took it.
    Done,
    /// The engine refused it.
    Refused,
    /// The connection broke or the time ran out, and the agent closed the connection.
    Lost,
}

#[derive(Debug)]
struct Order<C> {
    id: u64,
    fence: Fence,
    command: C,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Engine {
    Idle,
    /// An order is at the engine.
    Busy(u64),
    /// An order whose end is unknown may still take effect until this time.
    SettlingUntil(Millis),
}

/// The orders of one engine at its agent.
///
/// Effects of one call are performed in their order. Events that belong to no state have no effect.
#[derive(Debug)]
pub struct EngineOrders<C> {
    checks_fencing: bool,
    settle: Millis,
    /// Highest token known; none until it has been read from the service.
    highest: Option<Fence>,
    engine: Engine,
    queue: VecDeque<Order<C>>,
}

impl<C> EngineOrders<C> {
    /// Starts closed, after the agent has bound its port.
    ///
    /// A preceding agent's last order may still be on its way in the engine, so an engine that ignores
    /// tokens gets no order until `settle` has passed.
    #[must_use]
    pub fn start(checks_fencing: bool, settle: Millis, now: Millis) -> (Self, Vec<OrderEffect<C>>) {
        let mut orders = Self {
            checks_fencing,
            settle,
            highest: None,
            engine: Engine::Idle,
            queue: VecDeque::new(),
        };
        let mut effects = vec![OrderEffect::ReadHighest];
        orders.settle(now, &mut effects);
        (orders, effects)
    }

    /// Notes whether the engine refuses old tokens itself, as the sheet in force says.
    ///
    /// Such an engine needs no wait for an order that may still be on its way.
    pub fn set_checks_fencing(&mut self, checks_fencing: bool) {
        self.checks_fencing = checks_fencing;
        if checks_fencing && matches!(self.engine, Engine::SettlingUntil(_)) {
            self.engine = Engine::Idle;
        }
    }

    /// Returns the highest token known; none while no order is accepted.
    #[must_use]
    pub const fn highest(&self) -> Option<Fence> {
        self.highest
    }

    /// Takes the result of [`OrderEffect::ReadHighest`], mapped by [`Fence::highest`].
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
            Err(_) => vec![OrderEffect::WakeAt(now + READ_RETRY)],
        }
    }

    /// Takes an order; `id` is a number that the agent uses once.
    pub fn submit(
        &mut self,
        id: u64,
        fence: Fence,
        command: C,
        now: Millis,
    ) -> Vec<OrderEffect<C>> {
        let refuse = |verdict| vec![OrderEffect::Reply { id, verdict }];
        let Some(highest) = self.highest else {
            return refuse(OrderResponse::NotReady);
        };
        if fence < highest {
            return refuse(OrderResponse::Stale(highest));
        }
        self.highest = Some(fence);
        let mut effects = self.drop_stale(fence);
        if self.queue.len() >= MAX_QUEUED_ORDERS {
            let verdict = OrderResponse::QueueFull;
            effects.push(OrderEffect::Reply { id, verdict });
            return effects;
        }
        self.queue.push_back(Order { id, fence, command });
        effects.extend(self.next(now));
        effects
    }

    /// Takes the result of [`OrderEffect::Apply`].
    pub fn on_end(&mut self, id: u64, end: OrderEnd, now: Millis) -> Vec<OrderEffect<C>> {
        if self.engine != Engine::Busy(id) {
            return Vec::new();
        }
        self.engine = Engine::Idle;
        let verdict = match end {
            OrderEnd::Done => OrderResponse::Done,
            OrderEnd::Refused => OrderResponse::Refused,
            OrderEnd::Lost => OrderResponse::Unknown,
        };
        let mut effects = vec![OrderEffect::Reply { id, verdict }];
        if end == OrderEnd::Lost {
            self.settle(now, &mut effects);
        }
        effects.extend(self.next(now));
        effects
    }

    /// Continues after [`OrderEffect::WakeAt`].
    pub fn on_wake(&mut self, now: Millis) -> Vec<OrderEffect<C>> {
        let mut effects = Vec::new();
        if self.highest.is_none() {
            effects.push(OrderEffect::ReadHighest);
        }
        effects.extend(self.next(now));
        effects
    }

    /// Waits for an order that may still take effect; an engine that checks tokens orders by itself.
    fn settle(&mut self, now: Millis, effects: &mut Vec<OrderEffect<C>>) {
        if !self.checks_fencing {
            let until = now + self.settle;
            self.engine = Engine::SettlingUntil(until);
            effects.push(OrderEffect::WakeAt(until));
        }
    }

    /// Refuses the waiting orders of holders before `fence`.
    fn drop_stale(&mut self, fence: Fence) -> Vec<OrderEffect<C>> {
        let mut effects = Vec::new();
        self.queue.retain(|order| {
            let stale = order.fence < fence;
            if stale {
                effects.push(OrderEffect::Reply {
                    id: order.id,
                    verdict: OrderResponse::Stale(fence),
                });
            }
            !stale
        });
        effects
    }

    fn next(&mut self, now: Millis) -> Option<OrderEffect<C>> {
        match self.engine {
            Engine::Busy(_) => return None,
            Engine::SettlingUntil(until) if now < until => return None,
            Engine::SettlingUntil(_) | Engine::Idle => self.engine = Engine::Idle,
        }
        let Order { id, fence, command } = self.queue.pop_front()?;
        self.engine = Engine::Busy(id);
        Some(OrderEffect::Apply { id, fence, command })
    }
}
