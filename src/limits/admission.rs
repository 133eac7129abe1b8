//! Admission by priority and deadline in front of a fixed number of slots.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::sheet::Priority;
use crate::units::{Millis, Permille};

/// Priorities, from the one that is served first.
const PRIORITIES: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];
/// Requests that wait at one time; a longer queue would only hold requests that miss their deadlines.
const MAX_QUEUED: usize = 1_024;

/// Returns the part of the time to spare that a request may be expected to wait. Lower priorities are
/// shed while the queue is still short.
const fn patience(priority: Priority) -> Permille {
    match priority {
        Priority::High => Permille(900),
        Priority::Normal => Permille(500),
        Priority::Low => Permille(250),
    }
}

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Number that the caller uses to recognise the request.
    pub id: u64,
    /// Priority of its account.
    pub priority: Priority,
    /// Time at which the answer must be complete.
    pub deadline: Millis,
    /// Time that the request is expected to hold a slot.
    pub service: Millis,
}

/// Why a request was refused at the door; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shed {
    /// Even without a queue it would miss its deadline.
    DeadlineTooShort,
    /// The expected wait is longer than its deadline and priority allow.
    QueueDelay,
    /// Too many requests wait.
    QueueFull,
}

/// A refusal at the door.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason.
    pub reason: Shed,
    /// When the queue is expected to be short enough.
    pub retry_after: Millis,
}

/// The decision on a request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// It holds a slot now.
    Run,
    /// It waits, for about this long.
    Queued(Millis),
    /// It was refused.
    Shed(Refused),
}

/// Slots and the requests that wait for one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionQueue {
    slots: u32,
    in_flight: u32,
    queues: [VecDeque<Offer>; PRIORITIES.len()],
}

impl AdmissionQueue {
    /// Makes an empty queue in front of `slots` slots.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self {
            slots,
            in_flight: 0,
            queues: [const { VecDeque::new() }; PRIORITIES.len()],
        }
    }

    /// Takes note of the number of slots of the live upstreams.
    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Gives a request a slot, lets it wait, or refuses it.
    pub fn offer(&mut self, offer: Offer, now: Millis) -> Admission {
        let spare = offer.deadline.since(now + offer.service);
        if spare.0 == 0 {
            return shed(Shed::DeadlineTooShort, Millis(0));
        }
        if self.in_flight < self.slots {
            self.in_flight += 1;
            return Admission::Run;
        }
        let queued = self.queues.iter().map(VecDeque::len).sum::<usize>();
        let delay = self.delay(offer);
        let allowed = Millis(spare.0 * u64::from(patience(offer.priority).0) / 1_000);
        if delay > allowed {
            return shed(Shed::QueueDelay, delay.since(allowed));
        }
        if queued >= MAX_QUEUED {
            return shed(Shed::QueueFull, delay);
        }
        self.queues[rank(offer.priority)].push_back(offer);
        Admission::Queued(delay)
    }

    /// Ends a request that held a slot, and returns the one that takes its place.
    ///
    /// Requests that can no longer meet their deadline are added to `late` and get no slot; the caller
    /// refuses them as not run.
    pub fn release(&mut self, now: Millis, late: &mut Vec<Offer>) -> Option<Offer> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight >= self.slots {
            return None;
        }
        while let Some(offer) = self.queues.iter_mut().find_map(VecDeque::pop_front) {
            if now + offer.service <= offer.deadline {
                self.in_flight += 1;
                return Some(offer);
            }
            late.push(offer);
        }
        None
    }

    /// Forgets a waiting request whose caller has gone away.
    pub fn cancel(&mut self, id: u64) {
        for queue in &mut self.queues {
            queue.retain(|offer| offer.id != id);
        }
    }

    /// Estimates how long a request waits: the work in front of it, spread over the slots.
    fn delay(&self, offer: Offer) -> Millis {
        let ahead = self.queues.iter().take(rank(offer.priority) + 1).flatten();
        let work = ahead.map(|o| o.service.0).sum::<u64>() + offer.service.0;
        Millis(work.checked_div(u64::from(self.slots)).unwrap_or(u64::MAX))
    }
}

const fn rank(priority: Priority) -> usize {
    match priority {
        Priority::High => 0,
        Priority::Normal => 1,
        Priority::Low => 2,
    }
}

const fn shed(reason: Shed, retry_after: Millis) -> Admission {
    Admission::Shed(Refused {
        reason,
        retry_after,
    })
}
