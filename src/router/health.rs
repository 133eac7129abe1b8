//! Per-upstream state of one gateway: requests in flight, failures, and passive outlier ejection.
//!
//! Covers upstreams that accept connections but never answer, that fail some of their requests while their health
//! check passes, or that go down and come back repeatedly.

use std::rc::Rc;

use crate::beacon::Load;
use crate::router::rollout::Judged;
use crate::units::Millis;

/// Duration of an upstream's first ejection; it doubles with each further one up to [`MAX_EJECTION_TIME`].
const BASE_EJECTION_TIME: Millis = Millis(1_500);

/// Longest duration of an ejection; after that the upstream gets requests again.
const MAX_EJECTION_TIME: Millis = Millis(8_000);

/// Half-life of the weight of past outcomes.
const HALF_LIFE: Millis = Millis(4_000);

/// Minimum weight of failures for an ejection, so that a single error or broken connection does not cause one.
const MIN_FAILURE_WEIGHT: f64 = 2.5;

/// Failure rate from which an upstream is ejected; the usual error rates of services are below it.
const EJECTION_FAILURE_RATE: f64 = 0.3;

/// Age up to which a load report is used; reports are sent at least every 450 ms.
pub const MAX_REPORT_AGE: Millis = Millis(1_200);

/// Outcome of an attempt, as it concerns the upstream's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// It answered.
    Answer,
    /// It refused the request because it is at capacity.
    Full,
    /// It answered with an error that it caused itself.
    Error,
    /// The connection broke, or the answer was malformed.
    Broken,
    /// It did not accept the connection or did not answer in time.
    Silent,
}

impl AttemptOutcome {
    /// Returns its weight as a failure.
    const fn weight(self) -> f64 {
        match self {
            Self::Answer => 0.0,
            // A full upstream is healthy, but other upstreams are better for the moment.
            Self::Full | Self::Error => 0.5,
            Self::Broken => 1.0,
            // Each silent attempt costs a client a full time-out, so one is enough for an ejection.
            Self::Silent => MIN_FAILURE_WEIGHT,
        }
    }
}

/// State of one upstream process.
#[derive(Debug, Clone)]
pub struct Health {
    id: Rc<str>,
    boot: u64,
    /// Requests of this gateway in flight there.
    pub in_flight: u32,
    /// Requests of this gateway that have produced no output yet.
    pub starting: u64,
    /// Work of this gateway's requests that have produced no output yet, in prompt tokens of the largest model.
    pub pending: u64,
    /// Last load report from the beacon process on the upstream's VM, and when it arrived.
    pub last_report: Option<(Load, Millis)>,
    /// Counts of the answers that this gateway has graded during a roll-out.
    pub answer_counts: Judged,
    /// When bytes last arrived from it, for any request.
    pub last_byte_at: Millis,
    outcome_weight: f64,
    failure_weight: f64,
    updated_at: Millis,
    ejected_until: Millis,
    ejections: u32,
}

impl Health {
    fn new(id: Rc<str>, boot: u64, now: Millis) -> Self {
        Self {
            id,
            boot,
            in_flight: 0,
            starting: 0,
            pending: 0,
            last_report: None,
            answer_counts: Judged::default(),
            last_byte_at: Millis(0),
            outcome_weight: 0.0,
            failure_weight: 0.0,
            updated_at: now,
            ejected_until: Millis(0),
            ejections: 0,
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "spans of a process's life are far below 2^52 ms"
    )]
    fn decay(&mut self, now: Millis) {
        let halvings = now.since(self.updated_at).0 as f64 / HALF_LIFE.0 as f64;
        let keep = 0.5_f64.powf(halvings);
        self.outcome_weight *= keep;
        self.failure_weight *= keep;
        self.updated_at = now;
    }

    /// Returns the decayed failure rate.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_weight / self.outcome_weight.max(1.0)
    }

    /// Returns the last reported load if it is no older than [`MAX_REPORT_AGE`].
    #[must_use]
    pub fn recent_load(&self, now: Millis) -> Option<Load> {
        let (load, at) = self.last_report?;
        (now.since(at) <= MAX_REPORT_AGE).then_some(load)
    }

    /// Returns when the last ejection ends.
    #[must_use]
    pub const fn ejected_until(&self) -> Millis {
        self.ejected_until
    }

    /// Returns whether a recent load report that arrived after `since` says that requests wait there, as a probe would.
    #[must_use]
    pub fn is_reported_at_work(&self, since: Millis, now: Millis) -> bool {
        let is_new = self.last_report.is_some_and(|(_, at)| at > since);
        let load = self.recent_load(now).filter(|_| is_new);
        load.is_some_and(|load| load.waiting > 0 && load.leaving_boot.is_none())
    }

    /// Returns whether the upstream is ejected now.
    #[must_use]
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    fn observe(&mut self, outcome: AttemptOutcome, now: Millis) -> bool {
        self.decay(now);
        self.outcome_weight += outcome.weight().max(1.0);
        self.failure_weight += outcome.weight();
        if outcome == AttemptOutcome::Answer {
            if self.failure_rate() < EJECTION_FAILURE_RATE / 2.0 {
                self.ejections = 0;
            }
            return false;
        }
        let is_outlier = self.failure_weight >= MIN_FAILURE_WEIGHT
            && self.failure_rate() >= EJECTION_FAILURE_RATE;
        if !is_outlier || self.is_ejected(now) {
            return false;
        }
        let doubled = BASE_EJECTION_TIME.0 << self.ejections.min(8);
        self.ejected_until = now + Millis(doubled.min(MAX_EJECTION_TIME.0));
        self.ejections += 1;
        // After the ejection the upstream starts without past failures; one silent attempt ejects it again.
        self.outcome_weight = 0.0;
        self.failure_weight = 0.0;
        true
    }
}

/// State of all upstreams, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct HealthTable {
    entries: Vec<Health>,
}

impl HealthTable {
    /// Returns the entry of a process; a newer process under a known id replaces the old entry by a fresh one.
    pub fn entry(&mut self, id: &Rc<str>, boot: u64, now: Millis) -> &mut Health {
        let found = self.entries.binary_search_by(|h| h.id.cmp(id));
        let at = found.unwrap_or_else(|at| {
            self.entries
                .insert(at, Health::new(Rc::clone(id), boot, now));
            at
        });
        if self.entries[at].boot < boot {
            self.entries[at] = Health::new(Rc::clone(id), boot, now);
        }
        &mut self.entries[at]
    }

    /// Records how an attempt ended; returns whether this ejects the upstream.
    pub fn observe(
        &mut self,
        id: &Rc<str>,
        boot: u64,
        outcome: AttemptOutcome,
        now: Millis,
    ) -> bool {
        let entry = self.entry(id, boot, now);
        entry.boot == boot && entry.observe(outcome, now)
    }

    /// Counts a request that is sent to an upstream.
    pub fn start(&mut self, id: &Rc<str>, boot: u64, now: Millis) {
        let entry = self.entry(id, boot, now);
        if entry.boot == boot {
            entry.in_flight += 1;
        }
    }

    /// Counts a request that has ended at an upstream.
    pub fn end(&mut self, id: &Rc<str>, boot: u64, now: Millis) {
        let entry = self.entry(id, boot, now);
        if entry.boot == boot {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Adds a request whose prompt an upstream has yet to process; `tokens` is its work.
    pub fn add_pending(&mut self, id: &Rc<str>, boot: u64, tokens: u64, now: Millis) {
        let entry = self.entry(id, boot, now);
        if entry.boot == boot {
            entry.pending += tokens;
            entry.starting += 1;
        }
    }

    /// Subtracts a request whose prompt an upstream has processed or no longer has to process.
    pub fn end_pending(&mut self, id: &Rc<str>, boot: u64, tokens: u64, now: Millis) {
        let entry = self.entry(id, boot, now);
        if entry.boot == boot {
            entry.pending = entry.pending.saturating_sub(tokens);
            entry.starting = entry.starting.saturating_sub(1);
        }
    }

    /// Records a load report; a report that arrives after a newer one is ignored.
    pub fn record_load(&mut self, id: &Rc<str>, boot: u64, load: Load, now: Millis) {
        let entry = self.entry(id, boot, now);
        let is_late = entry.last_report.is_some_and(|(known, at)| {
            now.since(at) < MAX_REPORT_AGE && load.seq.wrapping_sub(known.seq) > u32::MAX / 2
        });
        if entry.boot == boot && !is_late {
            entry.last_report = Some((load, now));
        }
    }

    /// Records that bytes have arrived from an upstream.
    pub fn record_bytes(&mut self, id: &Rc<str>, boot: u64, now: Millis) {
        let entry = self.entry(id, boot, now);
        if entry.boot == boot {
            entry.last_byte_at = now;
        }
    }

    /// Returns whether bytes have arrived from an upstream after `since`, for any request.
    pub fn has_bytes_since(&mut self, id: &Rc<str>, boot: u64, since: Millis, now: Millis) -> bool {
        let entry = self.entry(id, boot, now);
        entry.boot == boot && entry.last_byte_at > since
    }

    /// Removes the upstreams for which `keep` returns `false` and that have no requests in flight.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, u64) -> bool) {
        self.entries
            .retain(|h| h.in_flight > 0 || keep(&h.id, h.boot));
    }
}
