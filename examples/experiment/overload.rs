//! Goodput, sends and latency at twice the capacity, with limits and without.
//!
//! A pool of slots serves requests with a service time of one to three seconds. A run may fail at its end; the
//! request is then retried. Without limits every request joins one unbounded queue at once, and a caller that
//! has no answer at its deadline retries with a new deadline, while its first attempt stays in the queue.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fireflywind::limits::{Admission, AdmissionQueue, AdmissionRequest, RetryBudget};
use fireflywind::sheet::Priority;
use fireflywind::units::Millis;

use crate::report::{Report, Row};
use crate::rng::Rng;

const SLOTS: u32 = 40;
const SERVICE_MS: f64 = 2_000.0;
/// Half the width of the range of service times.
const SERVICE_HALF_RANGE_MS: f64 = 1_000.0;
const REQUEST_DEADLINE: Millis = Millis(10_000);
const RUN_MS: f64 = 600_000.0;
/// Highest number of sends of a request.
const MAX_SENDS: u32 = 3;
/// Share of runs that fail in normal operation.
const NORMAL_FAILURE_SHARE: f64 = 0.02;
/// Share of runs that fail in an incident.
const INCIDENT_FAILURE_SHARE: f64 = 0.5;

/// Lowest allowed ratio of the requests answered in time to what the slots can serve.
const MIN_GOODPUT_RATIO: f64 = 0.95;
/// Highest allowed mean number of sends of a request.
const MAX_SENDS_PER_REQUEST: f64 = 1.1;
/// Highest allowed ratio of the 95th percentile of the latency at high priority to that at 20% of the capacity.
const MAX_LATENCY_RATIO: f64 = 1.2;

#[derive(Clone, Copy)]
struct Load {
    /// Ratio of the arrival rate to the service rate of all slots.
    relative_load: f64,
    /// Share of runs that fail.
    failure_share: f64,
}

/// The progress and result of a request.
struct Request {
    arrived: Millis,
    priority: Priority,
    /// Sends to an upstream.
    sends: u32,
    latency: Option<Millis>,
}

/// One attempt at a request.
#[derive(Clone, Copy)]
struct Attempt {
    request: usize,
    deadline: Millis,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// The run of an attempt ends.
    RunEnd(usize),
    /// The deadline of an attempt passes. Only used without limits.
    Timeout(usize),
}

/// Assigns slots to attempts.
enum SlotAllocator {
    Limited(AdmissionQueue, RetryBudget),
    /// An unbounded first-in, first-out queue, and the number of free slots.
    Unlimited(VecDeque<usize>, u32),
}

struct Simulation {
    load: Load,
    seed: u64,
    arrivals: Rng,
    allocator: SlotAllocator,
    events: BinaryHeap<Reverse<(Millis, Event)>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    now: Millis,
}

impl Simulation {
    fn run(load: Load, seed: u64, allocator: SlotAllocator) -> Self {
        let mut simulation = Self {
            load,
            seed,
            arrivals: Rng::new(seed),
            allocator,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            now: Millis(0),
        };
        simulation.push(Millis(0), Event::Arrive);
        while let Some(Reverse((now, event))) = simulation.events.pop() {
            simulation.now = now;
            match event {
                Event::Arrive => simulation.arrive(),
                Event::RunEnd(id) => simulation.end_run(id),
                Event::Timeout(id) => simulation.time_out(id),
            }
        }
        simulation
    }

    fn push(&mut self, wait: Millis, event: Event) {
        self.events.push(Reverse((self.now + wait, event)));
    }

    fn arrive(&mut self) {
        let mean = SERVICE_MS / f64::from(SLOTS) / self.load.relative_load;
        let gap = millis(self.arrivals.exponential(mean));
        if self.now + gap < millis(RUN_MS) {
            self.push(gap, Event::Arrive);
        }
        let priority = match self.arrivals.unit() {
            ..0.2 => Priority::High,
            ..0.7 => Priority::Normal,
            _ => Priority::Low,
        };
        self.requests.push(Request {
            arrived: self.now,
            priority,
            sends: 0,
            latency: None,
        });
        if let SlotAllocator::Limited(_, budget) = &mut self.allocator {
            budget.record_request();
        }
        self.new_attempt(self.requests.len() - 1, self.now + REQUEST_DEADLINE);
    }

    /// Requests a slot for a new attempt.
    fn new_attempt(&mut self, request: usize, deadline: Millis) {
        let id = self.attempts.len();
        self.attempts.push(Attempt { request, deadline });
        let is_free = match &mut self.allocator {
            SlotAllocator::Limited(queue, _) => {
                let offer = AdmissionRequest {
                    id: u64::try_from(id).unwrap_or(u64::MAX),
                    priority: self.requests[request].priority,
                    deadline,
                    expected_run_time: millis(SERVICE_MS),
                };
                queue.submit(offer, self.now) == Admission::Run
            }
            SlotAllocator::Unlimited(waiting, free) => {
                let is_free = *free > 0;
                if is_free {
                    *free -= 1;
                } else {
                    waiting.push_back(id);
                }
                // Without limits the queue is at the upstream, so a queued request counts as sent.
                self.requests[request].sends += 1;
                self.push(REQUEST_DEADLINE, Event::Timeout(id));
                is_free
            }
        };
        if is_free {
            self.start(id);
        }
    }

    /// Runs an attempt that holds a slot. Each attempt of a request has its own random draws.
    fn start(&mut self, id: usize) {
        if let SlotAllocator::Limited(..) = self.allocator {
            self.requests[self.attempts[id].request].sends += 1;
        }
        let mut draws = self.draws(id);
        let service = SERVICE_MS + (draws.unit() * 2.0 - 1.0) * SERVICE_HALF_RANGE_MS;
        self.push(millis(service), Event::RunEnd(id));
    }

    fn draws(&self, id: usize) -> Rng {
        let request = self.attempts[id].request;
        let sends = u64::from(self.requests[request].sends);
        let request = u64::try_from(request).unwrap_or(u64::MAX);
        Rng::new((self.seed << 40) | (request << 4) | sends)
    }

    fn end_run(&mut self, id: usize) {
        let Attempt { request, deadline } = self.attempts[id];
        let mut draws = self.draws(id);
        draws.next_u64();
        let failed = draws.unit() < self.load.failure_share;
        let in_time = self.now <= deadline;
        let entry = &mut self.requests[request];
        if !failed && in_time && entry.latency.is_none() {
            entry.latency = Some(self.now.since(entry.arrived));
        }
        self.start_next();
        if failed && in_time {
            self.retry(request, deadline);
        }
    }

    /// Gives the slot of an ended run to the next attempt.
    fn start_next(&mut self) {
        let next = match &mut self.allocator {
            SlotAllocator::Limited(queue, _) => queue
                .release(self.now, &mut Vec::new())
                .and_then(|offer| usize::try_from(offer.id).ok()),
            SlotAllocator::Unlimited(waiting, free) => {
                let next = waiting.pop_front();
                *free += u32::from(next.is_none());
                next
            }
        };
        if let Some(id) = next {
            self.start(id);
        }
    }

    fn time_out(&mut self, id: usize) {
        self.retry(self.attempts[id].request, self.now);
    }

    /// Retries a request if the limits allow it.
    fn retry(&mut self, request: usize, deadline: Millis) {
        let entry = &self.requests[request];
        if entry.latency.is_some() || entry.sends >= MAX_SENDS {
            return;
        }
        match &mut self.allocator {
            SlotAllocator::Limited(_, budget) => {
                if budget.take() {
                    self.new_attempt(request, deadline);
                }
            }
            SlotAllocator::Unlimited(..) => self.new_attempt(request, self.now + REQUEST_DEADLINE),
        }
    }

    /// Returns the ratio of requests answered in time to what the slots can serve in the run.
    fn goodput(&self) -> f64 {
        let answered = self.requests.iter().filter(|r| r.latency.is_some()).count();
        as_f64(answered) / (f64::from(SLOTS) * RUN_MS / SERVICE_MS)
    }

    /// Returns the mean number of sends of the requests that were sent at least once.
    fn sends_per_request(&self) -> f64 {
        let sent = self.requests.iter().filter(|r| r.sends > 0).count();
        let sends = self
            .requests
            .iter()
            .map(|r| f64::from(r.sends))
            .sum::<f64>();
        sends / as_f64(sent.max(1))
    }

    /// Returns the 95th percentile of the latency at high priority, in milliseconds. The latency of a request
    /// without an answer counts as infinite.
    fn high_priority_p95(&self) -> f64 {
        let high_priority = (self.requests.iter()).filter(|r| r.priority == Priority::High);
        let ms = |r: &Request| r.latency.map_or(u64::MAX, |latency| latency.0);
        let mut latencies: Vec<_> = high_priority.map(ms).collect();
        latencies.sort_unstable();
        let p95 = latencies.get(latencies.len() * 95 / 100).copied();
        p95.and_then(|ms| u32::try_from(ms).ok())
            .map_or(f64::INFINITY, f64::from)
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of an experiment are small positive numbers"
)]
fn millis(ms: f64) -> Millis {
    Millis(ms.round() as u64)
}

fn limited() -> SlotAllocator {
    SlotAllocator::Limited(AdmissionQueue::new(SLOTS), RetryBudget::default())
}

const fn unlimited() -> SlotAllocator {
    SlotAllocator::Unlimited(VecDeque::new(), SLOTS)
}

/// Measures a load of twice the capacity, and an incident in which half of the runs fail.
pub fn overload(seeds: &[u64]) -> Report {
    let load = |relative_load, failure_share| Load {
        relative_load,
        failure_share,
    };
    let all = |load: Load,
               allocator: fn() -> SlotAllocator,
               figure: fn(&Simulation) -> f64|
     -> Vec<f64> {
        let one = |&seed: &u64| figure(&Simulation::run(load, seed, allocator()));
        seeds.iter().map(one).collect()
    };
    let (double, incident) = (
        load(2.0, NORMAL_FAILURE_SHARE),
        load(0.5, INCIDENT_FAILURE_SHARE),
    );
    let unloaded = all(
        load(0.2, NORMAL_FAILURE_SHARE),
        limited,
        Simulation::high_priority_p95,
    );
    let over_unloaded = |p95: Vec<f64>| -> Vec<f64> {
        let pairs = p95.iter().zip(&unloaded);
        pairs.map(|(loaded, unloaded)| loaded / unloaded).collect()
    };
    let high_priority = over_unloaded(all(double, limited, Simulation::high_priority_p95));
    let high_priority_unlimited =
        over_unloaded(all(double, unlimited, Simulation::high_priority_p95));
    let per_request = Simulation::sends_per_request;
    let rows = vec![
        Row::at_least(
            "goodput over capacity",
            all(double, limited, Simulation::goodput),
            MIN_GOODPUT_RATIO,
        ),
        Row::baseline(
            "goodput over capacity, no limits",
            all(double, unlimited, Simulation::goodput),
        ),
        Row::at_most(
            "sends per request",
            all(double, limited, per_request),
            MAX_SENDS_PER_REQUEST,
        ),
        Row::baseline(
            "sends per request, no limits",
            all(double, unlimited, per_request),
        ),
        Row::at_most(
            "sends per request, half fail",
            all(incident, limited, per_request),
            MAX_SENDS_PER_REQUEST,
        ),
        Row::baseline(
            "sends per request, half fail, no limits",
            all(incident, unlimited, per_request),
        ),
        Row::at_most(
            "top priority p95 over unloaded",
            high_priority,
            MAX_LATENCY_RATIO,
        ),
        Row::baseline(
            "top priority p95 over unloaded, no limits",
            high_priority_unlimited,
        ),
    ];
    Report { rows }
}
