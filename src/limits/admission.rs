//! Admission to a limited number of slots, by priority and deadline.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::sheet::Priority;
use crate::units::{Millis, Permille};

/// Priorities in the order in which they are served.
const PRIORITIES: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];
/// Maximum number of queued requests; in a longer queue, requests would only miss their deadlines.
const MAX_QUEUED_REQUESTS: usize = 1_024;

/// Returns the longest expected wait that is accepted, as a share of the slack: the time to the deadline less
/// the expected service time. The shares differ so that lower priorities are shed at shorter queues.
const fn max_wait_share(priority: Priority) -> Permille {
    match priority {
        Priority::High => Permille(900),
        Priority::Normal => Permille(500),
        Priority::Low => Permille(250),
    }
}

/// A request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// Identifies the request to the caller of the queue.
    pub id: u64,
    /// Priority of the request's account.
    pub priority: Priority,
    /// Time by which the answer must be complete.
    pub deadline: Millis,
    /// Time for which the request is expected to hold a slot.
    #[serde(rename = "service")]
    pub expected_run_time: Millis,
}

/// Why a request was refused on arrival; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shed {
    /// The request would miss its deadline even without a wait.
    DeadlineTooShort,
    /// The expected wait is longer than the request's deadline and priority allow.
    QueueDelay,
    /// The queue is full.
    QueueFull,
}

/// A refusal on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The reason.
    pub reason: Shed,
    /// Time after which the queue is expected to be short enough.
    pub retry_after: Millis,
}

/// The decision on a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// The request got a slot.
    Run,
    /// The request is queued, with the expected wait.
    Queued(Millis),
    /// The request was refused.
    Shed(Refused),
}

/// Slots and the queues of the requests that wait for one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionQueue {
    slots: u32,
    in_flight: u32,
    /// One queue for each priority, in the order of [`PRIORITIES`].
    queues: [VecDeque<AdmissionRequest>; PRIORITIES.len()],
}

impl AdmissionQueue {
    /// Creates an empty queue for a number of slots.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self {
            slots,
            in_flight: 0,
            queues: [const { VecDeque::new() }; PRIORITIES.len()],
        }
    }

    /// Sets the number of slots of the live upstreams.
    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Gives a request a slot, queues it, or refuses it.
    pub fn submit(&mut self, request: AdmissionRequest, now: Millis) -> Admission {
        let slack = request.deadline.since(now + request.expected_run_time);
        if slack.0 == 0 {
            return shed(Shed::DeadlineTooShort, Millis(0));
        }
        if self.in_flight < self.slots {
            self.in_flight += 1;
            return Admission::Run;
        }
        let queued = self.queues.iter().map(VecDeque::len).sum::<usize>();
        let expected_wait = self.expected_wait(request);
        let max_wait = Millis(slack.0 * u64::from(max_wait_share(request.priority).0) / 1_000);
        if expected_wait > max_wait {
            return shed(Shed::QueueDelay, expected_wait.since(max_wait));
        }
        if queued >= MAX_QUEUED_REQUESTS {
            return shed(Shed::QueueFull, expected_wait);
        }
        self.queues[rank(request.priority)].push_back(request);
        Admission::Queued(expected_wait)
    }

    /// Frees the slot of a request that has ended, and returns the queued request that gets it.
    ///
    /// Queued requests that can no longer meet their deadline get no slot and are added to `late`; the caller
    /// refuses them as not run.
    pub fn release(
        &mut self,
        now: Millis,
        late: &mut Vec<AdmissionRequest>,
    ) -> Option<AdmissionRequest> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight >= self.slots {
            return None;
        }
        while let Some(request) = self.queues.iter_mut().find_map(VecDeque::pop_front) {
            if now + request.expected_run_time <= request.deadline {
                self.in_flight += 1;
                return Some(request);
            }
            late.push(request);
        }
        None
    }

    /// Removes a queued request, for example because its caller has disconnected.
    pub fn cancel(&mut self, id: u64) {
        for queue in &mut self.queues {
            queue.retain(|request| request.id != id);
        }
    }

    /// Estimates the wait of a request: its own service time and that of the requests queued ahead of it,
    /// divided by the slots.
    fn expected_wait(&self, request: AdmissionRequest) -> Millis {
        let ahead = self
            .queues
            .iter()
            .take(rank(request.priority) + 1)
            .flatten();
        let work = ahead.map(|r| r.expected_run_time.0).sum::<u64>() + request.expected_run_time.0;
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
