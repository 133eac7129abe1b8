//! Goodput, sends and latency at twice the capacity, with limits and without.
//!
//! A pool of slots serves requests whose service takes one to three seconds. A run may fail at its end;
//! the request is then sent again. Without limits every request joins one queue at once, and a caller
//! without an answer at its deadline sends again with a new deadline, while its first send stays queued.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fireflywind::limits::{Admission, AdmissionQueue, AdmissionRequest, RetryBudget};
use fireflywind::sheet::Priority;
use fireflywind::units::Millis;

use crate::report::{Report, Row};
use crate::rng::Rng;

const SLOTS: u32 = 40;
const SERVICE_MS: f64 = 2_000.0;
/// Half of the range of service times.
const SPREAD_MS: f64 = 1_000.0;
const DEADLINE: Millis = Millis(10_000);
const RUN_MS: f64 = 600_000.0;
/// Sends of one request at most.
const MAX_SENDS: u32 = 3;
/// Share of runs that fail in ordinary times, and in an incident.
const FAILURES: f64 = 0.02;
const INCIDENT: f64 = 0.5;

const GOODPUT_BOUND: f64 = 0.95;
const SENDS_BOUND: f64 = 1.1;
const LATENCY_BOUND: f64 = 1.2;

#[derive(Clone, Copy)]
struct Load {
    /// Arrivals over what the slots can serve.
    over_capacity: f64,
    /// Share of runs that fail.
    failures: f64,
}

/// What became of a request.
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
    End(usize),
    /// The deadline of an attempt passes; used without limits only.
    Timeout(usize),
}

/// How attempts get a slot.
enum Door {
    Limits(AdmissionQueue, RetryBudget),
    /// First come, first served, without end.
    Open(VecDeque<usize>, u32),
}

struct Sim {
    load: Load,
    seed: u64,
    arrivals: Rng,
    door: Door,
    events: BinaryHeap<Reverse<(Millis, Event)>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    now: Millis,
}

impl Sim {
    fn run(load: Load, seed: u64, door: Door) -> Self {
        let mut sim = Self {
            load,
            seed,
            arrivals: Rng::new(seed),
            door,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            now: Millis(0),
        };
        sim.push(Millis(0), Event::Arrive);
        while let Some(Reverse((now, event))) = sim.events.pop() {
            sim.now = now;
            match event {
                Event::Arrive => sim.arrive(),
                Event::End(id) => sim.end(id),
                Event::Timeout(id) => sim.time_out(id),
            }
        }
        sim
    }

    fn push(&mut self, wait: Millis, event: Event) {
        self.events.push(Reverse((self.now + wait, event)));
    }

    fn arrive(&mut self) {
        let mean = SERVICE_MS / f64::from(SLOTS) / self.load.over_capacity;
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
        if let Door::Limits(_, budget) = &mut self.door {
            budget.record_request();
        }
        self.attempt(self.requests.len() - 1, self.now + DEADLINE);
    }

    /// Asks for a slot.
    fn attempt(&mut self, request: usize, deadline: Millis) {
        let id = self.attempts.len();
        self.attempts.push(Attempt { request, deadline });
        let is_free = match &mut self.door {
            Door::Limits(queue, _) => {
                let offer = AdmissionRequest {
                    id: u64::try_from(id).unwrap_or(u64::MAX),
                    priority: self.requests[request].priority,
                    deadline,
                    expected_run_time: millis(SERVICE_MS),
                };
                queue.submit(offer, self.now) == Admission::Run
            }
            Door::Open(waiting, free) => {
                let is_free = *free > 0;
                if is_free {
                    *free -= 1;
                } else {
                    waiting.push_back(id);
                }
                // An upstream without limits has the request as soon as it is queued there.
                self.requests[request].sends += 1;
                self.push(DEADLINE, Event::Timeout(id));
                is_free
            }
        };
        if is_free {
            self.start(id);
        }
    }

    /// Runs an attempt that holds a slot. Each attempt of a request has draws of its own.
    fn start(&mut self, id: usize) {
        if let Door::Limits(..) = self.door {
            self.requests[self.attempts[id].request].sends += 1;
        }
        let mut draws = self.draws(id);
        let service = SERVICE_MS + (draws.unit() * 2.0 - 1.0) * SPREAD_MS;
        self.push(millis(service), Event::End(id));
    }

    fn draws(&self, id: usize) -> Rng {
        let request = self.attempts[id].request;
        let sends = u64::from(self.requests[request].sends);
        let request = u64::try_from(request).unwrap_or(u64::MAX);
        Rng::new((self.seed << 40) | (request << 4) | sends)
    }

    fn end(&mut self, id: usize) {
        let Attempt { request, deadline } = self.attempts[id];
        let mut draws = self.draws(id);
        draws.next_u64();
        let failed = draws.unit() < self.load.failures;
        let in_time = self.now <= deadline;
        let known = &mut self.requests[request];
        if !failed && in_time && known.latency.is_none() {
            known.latency = Some(self.now.since(known.arrived));
        }
        self.start_next();
        if failed && in_time {
            self.again(request, deadline);
        }
    }

    /// Gives the slot of an ended run to the next attempt.
    fn start_next(&mut self) {
        let next = match &mut self.door {
            Door::Limits(queue, _) => queue
                .release(self.now, &mut Vec::new())
                .and_then(|offer| usize::try_from(offer.id).ok()),
            Door::Open(waiting, free) => {
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
        self.again(self.attempts[id].request, self.now);
    }

    /// Sends a request again, if the limits allow it.
    fn again(&mut self, request: usize, deadline: Millis) {
        let known = &self.requests[request];
        if known.latency.is_some() || known.sends >= MAX_SENDS {
            return;
        }
        match &mut self.door {
            Door::Limits(_, budget) => {
                if budget.take() {
                    self.attempt(request, deadline);
                }
            }
            Door::Open(..) => self.attempt(request, self.now + DEADLINE),
        }
    }

    /// Returns the answers in time over what the slots can serve.
    fn goodput(&self) -> f64 {
        let answered = self.requests.iter().filter(|r| r.latency.is_some()).count();
        float(answered) / (f64::from(SLOTS) * RUN_MS / SERVICE_MS)
    }

    /// Returns the sends over the requests that were sent at all.
    fn sends_per_request(&self) -> f64 {
        let sent = self.requests.iter().filter(|r| r.sends > 0).count();
        let sends = self
            .requests
            .iter()
            .map(|r| f64::from(r.sends))
            .sum::<f64>();
        sends / float(sent.max(1))
    }

    /// Returns the 95th percentile of the latency at the highest priority, in ms. A request without an
    /// answer counts as infinitely slow.
    fn top_p95(&self) -> f64 {
        let top = (self.requests.iter()).filter(|r| r.priority == Priority::High);
        let ms = |r: &Request| r.latency.map_or(u64::MAX, |latency| latency.0);
        let mut latencies: Vec<_> = top.map(ms).collect();
        latencies.sort_unstable();
        let p95 = latencies.get(latencies.len() * 95 / 100).copied();
        p95.and_then(|ms| u32::try_from(ms).ok())
            .map_or(f64::INFINITY, f64::from)
    }
}

fn float(count: usize) -> f64 {
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

fn limits() -> Door {
    Door::Limits(AdmissionQueue::new(SLOTS), RetryBudget::default())
}

const fn no_limits() -> Door {
    Door::Open(VecDeque::new(), SLOTS)
}

/// Measures overload at twice the capacity.
pub fn overload(seeds: &[u64]) -> Report {
    let load = |over_capacity, failures| Load {
        over_capacity,
        failures,
    };
    let all = |load: Load, door: fn() -> Door, figure: fn(&Sim) -> f64| -> Vec<f64> {
        let one = |&seed: &u64| figure(&Sim::run(load, seed, door()));
        seeds.iter().map(one).collect()
    };
    let (twice, incident) = (load(2.0, FAILURES), load(0.5, INCIDENT));
    let unloaded = all(load(0.2, FAILURES), limits, Sim::top_p95);
    let over_unloaded = |p95: Vec<f64>| -> Vec<f64> {
        let pairs = p95.iter().zip(&unloaded);
        pairs.map(|(loaded, unloaded)| loaded / unloaded).collect()
    };
    let top = over_unloaded(all(twice, limits, Sim::top_p95));
    let open_top = over_unloaded(all(twice, no_limits, Sim::top_p95));
    let per_request = Sim::sends_per_request;
    let rows = vec![
        Row::at_least(
            "goodput over capacity",
            all(twice, limits, Sim::goodput),
            GOODPUT_BOUND,
        ),
        Row::baseline(
            "goodput over capacity, no limits",
            all(twice, no_limits, Sim::goodput),
        ),
        Row::at_most(
            "sends per request",
            all(twice, limits, per_request),
            SENDS_BOUND,
        ),
        Row::baseline(
            "sends per request, no limits",
            all(twice, no_limits, per_request),
        ),
        Row::at_most(
            "sends per request, half fail",
            all(incident, limits, per_request),
            SENDS_BOUND,
        ),
        Row::baseline(
            "sends per request, half fail, no limits",
            all(incident, no_limits, per_request),
        ),
        Row::at_most("top priority p95 over unloaded", top, LATENCY_BOUND),
        Row::baseline("top priority p95 over unloaded, no limits", open_top),
    ];
    Report { rows }
}
