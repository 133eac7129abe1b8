//! Stateful fuzzing of holders, agents and engines, and a test against the in-memory service.

use super::*;
use crate::fixtures::{check, run_paused};
use crate::kv::memory::{Fault, MemoryKv};
use crate::kv::{KeyValue, KvError, TxnOutcome};
use crate::units::Millis;

const TTL: Millis = Millis(1_000);
const SETTLE_TIME: Millis = Millis(300);

/// An order that an agent sent to its engine; its command is the holder's token.
#[derive(Debug, Clone, Copy)]
struct AtEngine {
    id: u64,
    fence: Fence,
    given_by: Fence,
    /// Time until which the order may still take effect; set when no agent waits for its result any more.
    orphan_until: Option<Millis>,
}

#[derive(Debug)]
struct Upstream {
    orders: EngineOrders<Fence>,
    checks: bool,
    /// Latest claim in the service.
    claimed: Fence,
    /// A read of the highest token in progress, with the value that the service returned.
    reading: Option<Fence>,
    in_flight: Vec<AtEngine>,
    /// Tokens of the orders that took effect, in the order of their effects.
    effects: Vec<Fence>,
}

impl Upstream {
    fn start(checks: bool, claimed: Fence, now: Millis) -> Self {
        let (orders, effects) = EngineOrders::start(checks, SETTLE_TIME, now);
        let mut upstream = Self {
            orders,
            checks,
            claimed,
            reading: None,
            in_flight: Vec::new(),
            effects: Vec::new(),
        };
        upstream.perform(effects);
        upstream
    }

    fn perform(&mut self, effects: Vec<OrderEffect<Fence>>) {
        for effect in effects {
            match effect {
                OrderEffect::ReadHighest => self.reading = Some(self.claimed),
                OrderEffect::Apply { id, fence, command } => self.in_flight.push(AtEngine {
                    id,
                    fence,
                    given_by: command,
                    orphan_until: None,
                }),
                OrderEffect::Reply { .. } | OrderEffect::WakeAt(_) => {}
            }
        }
    }

    /// Processes an order at the engine; an engine that checks tokens rejects lower ones.
    fn process(&mut self, at: usize, now: Millis) {
        let order = self.in_flight.swap_remove(at);
        assert_eq!(order.fence, order.given_by);
        let refused = self.checks && self.effects.last() > Some(&order.given_by);
        if !refused {
            assert!(
                self.effects.last() <= Some(&order.given_by),
                "an order took effect after one with a higher token"
            );
            self.effects.push(order.given_by);
        }
        if order.orphan_until.is_none() {
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
    fn orphan(&mut self, at: usize, now: Millis) {
        let late = self.late();
        let order = &mut self.in_flight[at];
        if order.orphan_until.is_none() {
            order.orphan_until = Some(now + late);
            let effects = self.orders.on_end(order.id, OrderEnd::Lost, now);
            self.perform(effects);
        }
    }

    /// Returns how long an order may take effect after its connection closed.
    fn late(&self) -> Millis {
        if self.checks {
            Millis(10 * TTL.0)
        } else {
            Millis(SETTLE_TIME.0 - 1)
        }
    }

    fn replace(&mut self, now: Millis) {
        let fresh = Self::start(self.checks, self.claimed, now);
        self.orders = fresh.orders;
        self.reading = fresh.reading;
        let late = self.late();
        for order in &mut self.in_flight {
            order.orphan_until.get_or_insert(now + late);
        }
    }
}

#[derive(Debug)]
struct World {
    now: Millis,
    revision: u64,
    /// Latest claim in the service and the expiry time of its lease.
    claim: (Fence, Millis),
    holders: Vec<Holder>,
    /// Orders that holders have issued; a paused holder or a slow network may deliver them late.
    sent: Vec<Fence>,
    upstreams: [Upstream; 2],
    ids: u64,
}

impl World {
    fn open() -> Self {
        Self {
            now: Millis(10_000),
            revision: 1,
            claim: (Fence(0), Millis(0)),
            holders: vec![Holder::new(TTL); 3],
            sent: Vec::new(),
            upstreams: [true, false]
                .map(|checks| Upstream::start(checks, Fence(0), Millis(10_000))),
            ids: 0,
        }
    }

    /// Returns the local time of a holder; clock rates deviate by up to 10 %.
    fn clock(&self, holder: usize) -> Millis {
        Millis(self.now.0 * [90, 100, 110][holder] / 100)
    }

    fn renew_or_claim(&mut self, holder: usize, answer_after: Millis) {
        let asked_at = self.clock(holder);
        let ended = self.claim.1 <= self.now;
        let own = self.holders[holder].fence(asked_at) == Some(self.claim.0);
        if ended {
            self.revision += 1;
            self.claim = (Fence(self.revision), self.now + TTL);
            for upstream in &mut self.upstreams {
                upstream.claimed = self.claim.0;
            }
            self.advance(answer_after);
            self.holders[holder].claimed(self.claim.0, asked_at);
        } else if own {
            self.claim.1 = self.now + TTL;
            self.advance(answer_after);
            self.holders[holder].renewed(asked_at);
        }
    }

    /// Ends the current lease before it expires; the next holder claims the duty at once.
    fn release(&mut self, next: usize) {
        for holder in &mut self.holders {
            holder.lost();
        }
        self.claim.1 = self.now;
        self.renew_or_claim(next, Millis(0));
        self.decide(next);
    }

    fn decide(&mut self, holder: usize) {
        if let Some(fence) = self.holders[holder].fence(self.clock(holder)) {
            assert_eq!(
                fence, self.claim.0,
                "the order was issued by a replaced holder"
            );
            assert!(
                self.now < self.claim.1,
                "the order was issued after the lease expired"
            );
            self.sent.push(fence);
        }
    }

    fn deliver(&mut self, at: usize, to: usize) {
        let fence = self.sent[at];
        self.ids += 1;
        let upstream = &mut self.upstreams[to];
        let effects = upstream.orders.submit(self.ids, fence, fence, self.now);
        upstream.perform(effects);
    }

    fn answer_read(&mut self, to: usize, fails: bool) {
        let upstream = &mut self.upstreams[to];
        if let Some(read) = upstream.reading.take() {
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
            let due = |o: &AtEngine| o.orphan_until.is_some_and(|until| until < self.now);
            while let Some(at) = upstream.in_flight.iter().position(due) {
                upstream.process(at, self.now);
            }
            let effects = upstream.orders.on_wake(self.now);
            upstream.perform(effects);
        }
    }

    fn apply(&mut self, (op, a, b): (u8, u8, u8)) {
        let holder = usize::from(a % 3);
        let to = usize::from(b % 2);
        let in_flight = self.upstreams[to].in_flight.len();
        match op % 16 {
            0..=1 => self.renew_or_claim(holder, Millis(u64::from(b))),
            2 if a < 60 => self.release(holder),
            2..=3 => self.decide(holder),
            4..=7 if !self.sent.is_empty() => {
                // Mostly the latest orders are delivered, but older ones too.
                let back = usize::from(a % 16) * usize::from(a) / 64;
                self.deliver(self.sent.len().saturating_sub(1 + back), to);
            }
            8..=9 if in_flight > 0 => {
                self.upstreams[to].process(usize::from(a) % in_flight, self.now);
            }
            10 if in_flight > 0 => {
                self.upstreams[to].orphan(usize::from(a) % in_flight, self.now);
            }
            11 if a < 80 => self.upstreams[to].replace(self.now),
            12..=13 => self.answer_read(to, a < 30),
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
        let mut world = World::open();
        for (a, b, c) in [first, second, third].concat() {
            // Each triple yields three operations, for longer sequences.
            for op in [(a, b, c), (b, c, a), (c, a, b)] {
                world.apply(op);
            }
        }
        true
    }
    check(1, property as fn(Ops, Ops, Ops) -> bool);
}

// Guards against an agent that accepts orders before it has read the highest token, or that never does.
#[test]
fn an_agent_opens_after_the_read() {
    let now = Millis(0);
    let (mut orders, effects) = EngineOrders::start(true, ORDER_DRAIN_TIMEOUT, now);
    assert_eq!(effects, [OrderEffect::ReadHighest]);
    let reply = |id, verdict| [OrderEffect::Reply { id, verdict }];

    assert_eq!(
        orders.submit(1, Fence(9), 'a', now),
        reply(1, OrderResponse::NotReady)
    );
    let error = Err(KvError::Unreachable(String::new()));
    assert_eq!(
        orders.on_highest(&error, now),
        [OrderEffect::WakeAt(READ_RETRY)]
    );
    assert_eq!(orders.on_wake(READ_RETRY), [OrderEffect::ReadHighest]);
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
        let me = Incarnation(1);
        let lease = kv.grant(TTL).await.expect("the service is available");
        let (conditions, changes) = claim("engines", me, lease);
        kv.set_fault(Fault::LoseNextWrite);
        let lost = kv.txn(conditions.clone(), changes.clone()).await;
        assert!(lost.is_err_and(|error| error.may_have_applied()));
        let entry = kv
            .get(&lease_key("engines"))
            .await
            .expect("the service is available");
        let fence = entry.and_then(|entry| Fence::of_claim(&entry, me));
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
