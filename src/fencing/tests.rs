//! Stateful fuzzing of holders, agents and engines, and a test against the in-memory service.

use super::*;
use crate::fixtures::{check_property, run_paused};
use crate::kv::memory::{Fault, MemoryKv};
use crate::kv::{KeyValue, KvError, TxnOutcome};
use crate::units::Millis;

const TTL: Millis = Millis(1_000);
const DRAIN_TIMEOUT: Millis = Millis(300);

/// An order that an agent sent to its engine; its command is the holder's token.
#[derive(Debug, Clone, Copy)]
struct InFlightOrder {
    id: u64,
    fence: Fence,
    holder_fence: Fence,
    /// Time until which the order may still take effect; set when no agent waits for its result any more.
    may_apply_until: Option<Millis>,
}

#[derive(Debug)]
struct SimulatedUpstream {
    orders: EngineOrders<Fence>,
    checks_fencing: bool,
    /// Latest claim in the service.
    latest_claim: Fence,
    /// A read of the highest token in progress, with the value that the service returned.
    pending_read: Option<Fence>,
    in_flight: Vec<InFlightOrder>,
    /// Tokens of the orders that took effect, in the order of their effects.
    applied: Vec<Fence>,
}

impl SimulatedUpstream {
    fn start(checks_fencing: bool, latest_claim: Fence, now: Millis) -> Self {
        let (orders, effects) = EngineOrders::start(checks_fencing, DRAIN_TIMEOUT, now);
        let mut upstream = Self {
            orders,
            checks_fencing,
            latest_claim,
            pending_read: None,
            in_flight: Vec::new(),
            applied: Vec::new(),
        };
        upstream.perform(effects);
        upstream
    }

    fn perform(&mut self, effects: Vec<OrderEffect<Fence>>) {
        for effect in effects {
            match effect {
                OrderEffect::ReadHighest => self.pending_read = Some(self.latest_claim),
                OrderEffect::Apply { id, fence, command } => self.in_flight.push(InFlightOrder {
                    id,
                    fence,
                    holder_fence: command,
                    may_apply_until: None,
                }),
                OrderEffect::Reply { .. } | OrderEffect::WakeAt(_) => {}
            }
        }
    }

    /// Processes an order at the engine; an engine that checks tokens rejects lower ones.
    fn process(&mut self, at: usize, now: Millis) {
        let order = self.in_flight.swap_remove(at);
        assert_eq!(order.fence, order.holder_fence);
        let refused = self.checks_fencing && self.applied.last() > Some(&order.holder_fence);
        if !refused {
            assert!(
                self.applied.last() <= Some(&order.holder_fence),
                "an order took effect after one with a higher token"
            );
            self.applied.push(order.holder_fence);
        }
        if order.may_apply_until.is_none() {
            let end = if refused {
                OrderEnd::Refused
            } else {
                OrderEnd::Done
            };
            let effects = self.orders.on_end(order.id, end, now);
            self.perform(effects);
        }
    }

    /// Closes the connection of an order, which may still take effect.
    fn disconnect(&mut self, at: usize, now: Millis) {
        let max_effect_delay = self.max_effect_delay();
        let order = &mut self.in_flight[at];
        if order.may_apply_until.is_none() {
            order.may_apply_until = Some(now + max_effect_delay);
            let effects = self.orders.on_end(order.id, OrderEnd::Lost, now);
            self.perform(effects);
        }
    }

    /// Returns how long an order may take effect after its connection closed.
    fn max_effect_delay(&self) -> Millis {
        if self.checks_fencing {
            Millis(10 * TTL.0)
        } else {
            Millis(DRAIN_TIMEOUT.0 - 1)
        }
    }

    fn replace_agent(&mut self, now: Millis) {
        let fresh = Self::start(self.checks_fencing, self.latest_claim, now);
        self.orders = fresh.orders;
        self.pending_read = fresh.pending_read;
        let max_effect_delay = self.max_effect_delay();
        for order in &mut self.in_flight {
            order.may_apply_until.get_or_insert(now + max_effect_delay);
        }
    }
}

#[derive(Debug)]
struct Simulation {
    now: Millis,
    revision: u64,
    /// Latest claim in the service and the expiry time of its lease.
    latest_claim: (Fence, Millis),
    holders: Vec<Holder>,
    /// Orders that holders have issued; a paused holder or a slow network may deliver them late.
    issued: Vec<Fence>,
    upstreams: [SimulatedUpstream; 2],
    last_order_id: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: Millis(10_000),
            revision: 1,
            latest_claim: (Fence(0), Millis(0)),
            holders: vec![Holder::new(TTL); 3],
            issued: Vec::new(),
            upstreams: [true, false].map(|checks_fencing| {
                SimulatedUpstream::start(checks_fencing, Fence(0), Millis(10_000))
            }),
            last_order_id: 0,
        }
    }

    /// Returns the local time of a holder; clock rates deviate by up to 10 %.
    fn local_time(&self, holder: usize) -> Millis {
        Millis(self.now.0 * [90, 100, 110][holder] / 100)
    }

    fn renew_or_claim(&mut self, holder: usize, answer_after: Millis) {
        let requested_at = self.local_time(holder);
        let ended = self.latest_claim.1 <= self.now;
        let own = self.holders[holder].fence(requested_at) == Some(self.latest_claim.0);
        if ended {
            self.revision += 1;
            self.latest_claim = (Fence(self.revision), self.now + TTL);
            for upstream in &mut self.upstreams {
                upstream.latest_claim = self.latest_claim.0;
            }
            self.advance(answer_after);
            self.holders[holder].claimed(self.latest_claim.0, requested_at);
        } else if own {
            self.latest_claim.1 = self.now + TTL;
            self.advance(answer_after);
            self.holders[holder].renewed(requested_at);
        }
    }

    /// Ends the current lease before it expires; the next holder claims the duty at once.
    fn release(&mut self, next: usize) {
        for holder in &mut self.holders {
            holder.lost();
        }
        self.latest_claim.1 = self.now;
        self.renew_or_claim(next, Millis(0));
        self.issue_order(next);
    }

    fn issue_order(&mut self, holder: usize) {
        if let Some(fence) = self.holders[holder].fence(self.local_time(holder)) {
            assert_eq!(
                fence, self.latest_claim.0,
                "the order was issued by a replaced holder"
            );
            assert!(
                self.now < self.latest_claim.1,
                "the order was issued after the lease expired"
            );
            self.issued.push(fence);
        }
    }

    fn deliver(&mut self, at: usize, to: usize) {
        let fence = self.issued[at];
        self.last_order_id += 1;
        let upstream = &mut self.upstreams[to];
        let effects = upstream
            .orders
            .submit(self.last_order_id, fence, fence, self.now);
        upstream.perform(effects);
    }

    fn complete_read(&mut self, to: usize, fails: bool) {
        let upstream = &mut self.upstreams[to];
        if let Some(read) = upstream.pending_read.take() {
            let result = if fails {
                Err(KvError::Unreachable(String::new()))
            } else {
                Ok(read)
            };
            let effects = upstream.orders.on_highest(&result, self.now);
            upstream.perform(effects);
        }
    }

    fn advance(&mut self, by: Millis) {
        self.now = self.now + by;
        for upstream in &mut self.upstreams {
            let due = |o: &InFlightOrder| o.may_apply_until.is_some_and(|until| until < self.now);
            while let Some(at) = upstream.in_flight.iter().position(due) {
                upstream.process(at, self.now);
            }
            let effects = upstream.orders.on_wake(self.now);
            upstream.perform(effects);
        }
    }

    fn apply_op(&mut self, (op, a, b): (u8, u8, u8)) {
        let holder = usize::from(a % 3);
        let to = usize::from(b % 2);
        let in_flight = self.upstreams[to].in_flight.len();
        match op % 16 {
            0..=1 => self.renew_or_claim(holder, Millis(u64::from(b))),
            2 if a < 60 => self.release(holder),
            2..=3 => self.issue_order(holder),
            4..=7 if !self.issued.is_empty() => {
                // Mostly the latest orders are delivered, but older ones too.
                let offset = usize::from(a % 16) * usize::from(a) / 64;
                self.deliver(self.issued.len().saturating_sub(1 + offset), to);
            }
            8..=9 if in_flight > 0 => {
                self.upstreams[to].process(usize::from(a) % in_flight, self.now);
            }
            10 if in_flight > 0 => {
                self.upstreams[to].disconnect(usize::from(a) % in_flight, self.now);
            }
            11 if a < 80 => self.upstreams[to].replace_agent(self.now),
            12..=13 => self.complete_read(to, a < 30),
            14..=15 => self.advance(Millis(u64::from(a))),
            _ => {}
        }
    }
}

// Guards against an order that takes effect after one with a higher token, because of paused holders, late
// messages, lost connections, replaced agents or engines that ignore tokens; and against a holder that
// issues an order after its lease has expired.
#[test]
fn no_order_takes_effect_after_a_higher_token() {
    type Ops = Vec<(u8, u8, u8)>;
    fn property(first: Ops, second: Ops, third: Ops) -> bool {
        let mut simulation = Simulation::new();
        for (a, b, c) in [first, second, third].concat() {
            // Each triple yields three operations, for longer sequences.
            for op in [(a, b, c), (b, c, a), (c, a, b)] {
                simulation.apply_op(op);
            }
        }
        true
    }
    check_property(1, property as fn(Ops, Ops, Ops) -> bool);
}

// Guards against an agent that accepts orders before it has read the highest token, or that never does.
#[test]
fn an_agent_accepts_orders_after_the_read() {
    let now = Millis(0);
    let (mut orders, effects) = EngineOrders::start(true, ORDER_DRAIN_TIMEOUT, now);
    assert_eq!(effects, [OrderEffect::ReadHighest]);
    let reply = |id, response| [OrderEffect::Reply { id, response }];

    assert_eq!(
        orders.submit(1, Fence(9), 'a', now),
        reply(1, OrderResponse::NotReady)
    );
    let error = Err(KvError::Unreachable(String::new()));
    assert_eq!(
        orders.on_highest(&error, now),
        [OrderEffect::WakeAt(HIGHEST_READ_RETRY_DELAY)]
    );
    assert_eq!(
        orders.on_wake(HIGHEST_READ_RETRY_DELAY),
        [OrderEffect::ReadHighest]
    );
    assert_eq!(orders.on_highest(&Ok(Fence(5)), now), []);
    assert_eq!(
        orders.submit(2, Fence(4), 'b', now),
        reply(2, OrderResponse::Stale(Fence(5)))
    );
    let apply = |id, command| OrderEffect::Apply {
        id,
        fence: Fence(5),
        command,
    };
    assert_eq!(orders.submit(3, Fence(5), 'c', now), [apply(3, 'c')]);
    assert_eq!(orders.submit(4, Fence(5), 'd', now), []);
    let [answer] = reply(3, OrderResponse::Done);
    assert_eq!(
        orders.on_end(3, OrderEnd::Done, now),
        [answer, apply(4, 'd')]
    );
    assert_eq!(orders.submit(5, Fence(5), 'e', now), []);
    assert_eq!(
        orders.submit(6, Fence(6), 'f', now),
        reply(5, OrderResponse::Stale(Fence(6)))
    );
}

// Guards against a highest token that is deleted with the lease, and against a claim whose answer was lost and
// whose token cannot be recovered.
#[test]
fn the_fence_key_outlives_the_lease() {
    run_paused(async {
        let kv = MemoryKv::open();
        let holder = Incarnation(1);
        let lease = kv.grant(TTL).await.expect("the service is available");
        let (conditions, changes) = claim("engines", holder, lease);
        kv.set_fault(Fault::LoseNextWrite);
        let lost = kv.txn(conditions.clone(), changes.clone()).await;
        assert!(lost.is_err_and(|error| error.may_have_applied()));
        let entry = kv
            .get(&lease_key("engines"))
            .await
            .expect("the service is available");
        let fence = entry.and_then(|entry| Fence::of_claim(&entry, holder));
        assert_eq!(kv.txn(conditions, changes).await, Ok(TxnOutcome::Conflict));

        actix_rt::time::sleep(TTL.duration()).await;

        assert_eq!(kv.get(&lease_key("engines")).await, Ok(None));
        let entry = kv
            .get(&fence_key("engines"))
            .await
            .expect("the service is available");
        assert_eq!(Some(Fence::highest(entry.as_ref())), fence);
        assert!(fence > Some(Fence(0)));
    });
}
