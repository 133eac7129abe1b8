//! What a gateway has seen of each upstream: work in flight, failures, and passive outlier ejection.
//!
//! Answers the patterns of upstreams that fail silently, fail a part of their requests while their
//! health check passes, or come and go.

use std::rc::Rc;

use crate::beacon::Load;
use crate::router::rollout::Judged;
use crate::units::Millis;

/// First time that an upstream is left out after it failed; it doubles up to [`LONGEST_EJECTION`].
const FIRST_EJECTION: Millis = Millis(1_500);

/// Longest time that an upstream is left out without a new trial.
const LONGEST_EJECTION: Millis = Millis(8_000);

/// Time in which a past outcome loses half of its weight.
const HALF_LIFE: Millis = Millis(4_000);

/// Weighted failures that an ejection needs at least, so that a single one does not eject.
const MIN_FAILURES: f64 = 2.5;

/// Share of failures above which an upstream is ejected; usual errors of services are below it.
const EJECTION_RATE: f64 = 0.3;

/// Age at which a reported load says nothing any more; it is told at least each 450 ms.
pub const REPORT_AGE: Millis = Millis(1_200);

/// How an attempt at an upstream ended, as far as the upstream's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// It answered.
    Answer,
    /// It refused because it is full.
    Full,
    /// It answered with an error of its own.
    Error,
    /// The connection broke, or the answer was no valid answer.
    Broken,
    /// It did not accept the connection or did not answer in time.
    Silent,
}

impl AttemptOutcome {
    /// Weight as a failure.
    const fn weight(self) -> f64 {
        match self {
            Self::Answer => 0.0,
            // A full upstream is sound, but other ones are better for now.
            Self::Full | Self::Error => 0.5,
            Self::Broken => 1.0,
            // Each silent attempt costs a caller a whole time-out.
            Self::Silent => MIN_FAILURES,
        }
    }
}

/// What is known of one process of an upstream.
#[derive(Debug, Clone)]
pub struct Health {
    id: Rc<str>,
    boot: u64,
    /// Requests of this gateway that are in flight there.
    pub in_flight: u32,
    /// Requests of this gateway whose answers have not begun.
    pub starting: u64,
    /// Prompt tokens of this gateway's requests whose answers have not begun.
    pub pending: u64,
    /// Load that the process beside it told last, and when.
    pub reported: Option<(Load, Millis)>,
    /// Counts of roll-out answers that this gateway has graded.
    pub answer_counts: Judged,
    /// When any byte last came from it.
    pub last_byte_at: Millis,
    outcomes: f64,
    failures: f64,
    updated: Millis,
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
            reported: None,
            answer_counts: Judged::default(),
            last_byte_at: Millis(0),
            outcomes: 0.0,
            failures: 0.0,
            updated: now,
            ejected_until: Millis(0),
            ejections: 0,
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "spans of a process's life are far below 2^52 ms"
    )]
    fn decay(&mut self, now: Millis) {
        let halvings = now.since(self.updated).0 as f64 / HALF_LIFE.0 as f64;
        let keep = 0.5_f64.powf(halvings);
        self.outcomes *= keep;
        self.failures *= keep;
        self.updated = now;
    }

    /// Returns the decayed share of failures.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failures / self.outcomes.max(1.0)
    }

    /// Returns the load that was told within [`REPORT_AGE`].
    #[must_use]
    pub fn recent_load(&self, now: Millis) -> Option<Load> {
        let (load, at) = self.reported?;
        (now.since(at) <= REPORT_AGE).then_some(load)
    }

    /// Tells whether the upstream is left out now.
    #[must_use]
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    fn observe(&mut self, seen: AttemptOutcome, now: Millis) -> bool {
        self.decay(now);
        self.outcomes += seen.weight().max(1.0);
        self.failures += seen.weight();
        if seen == AttemptOutcome::Answer {
            if self.failure_rate() < EJECTION_RATE / 2.0 {
                self.ejections = 0;
            }
            return false;
        }
        let is_outlier = self.failures >= MIN_FAILURES && self.failure_rate() >= EJECTION_RATE;
        if !is_outlier || self.is_ejected(now) {
            return false;
        }
        let doubled = FIRST_EJECTION.0 << self.ejections.min(8);
        self.ejected_until = now + Millis(doubled.min(LONGEST_EJECTION.0));
        self.ejections += 1;
        // The next trial starts with a clean record; one silent attempt ejects again.
        self.outcomes = 0.0;
        self.failures = 0.0;
        true
    }
}

/// Health of all upstreams, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct HealthTable {
    entries: Vec<Health>,
}

impl HealthTable {
    /// Returns the record of a process; a new process under a known id starts with a clean one.
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

    /// Notes how an attempt ended; `true` if the upstream is ejected by it.
    pub fn observe(&mut self, id: &Rc<str>, boot: u64, seen: AttemptOutcome, now: Millis) -> bool {
        let entry = self.entry(id, boot, now);
        entry.boot == boot && entry.observe(seen, now)
    }

    /// Counts a request that starts at an upstream.
    pub fn start(&mut self, id: &Rc<str>, boot: u64, now: Millis) {
        self.entry(id, boot, now).in_flight += 1;
    }

    /// Counts a request that ended at an upstream.
    pub fn end(&mut self, id: &Rc<str>, boot: u64, now: Millis) {
        let entry = self.entry(id, boot, now);
        if entry.boot == boot {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Counts prompt tokens that an upstream has to read.
    pub fn add_pending(&mut self, id: &Rc<str>, boot: u64, tokens: u64, now: Millis) {
        let entry = self.entry(id, boot, now);
        entry.pending += tokens;
        entry.starting += 1;
    }

    /// Counts prompt tokens that an upstream has read, or need not read any more.
    pub fn end_pending(&mut self, id: &Rc<str>, boot: u64, tokens: u64, now: Millis) {
        let entry = self.entry(id, boot, now);
        if entry.boot == boot {
            entry.pending = entry.pending.saturating_sub(tokens);
            entry.starting = entry.starting.saturating_sub(1);
        }
    }

    /// Takes in a load; an older one that arrives late is ignored.
    pub fn record_load(&mut self, id: &Rc<str>, boot: u64, load: Load, now: Millis) {
        let entry = self.entry(id, boot, now);
        let is_late = entry.reported.is_some_and(|(known, at)| {
            now.since(at) < REPORT_AGE && load.seq.wrapping_sub(known.seq) > u32::MAX / 2
        });
        if entry.boot == boot && !is_late {
            entry.reported = Some((load, now));
        }
    }

    /// Records that bytes came from an upstream.
    pub fn record_bytes(&mut self, id: &Rc<str>, boot: u64, now: Millis) {
        self.entry(id, boot, now).last_byte_at = now;
    }

    /// Tells whether bytes came from an upstream at or after `since`, for whichever request.
    pub fn has_bytes_since(&mut self, id: &Rc<str>, boot: u64, since: Millis, now: Millis) -> bool {
        self.entry(id, boot, now).last_byte_at > since
    }

    /// Forgets upstreams that are no longer registered and have nothing in flight.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, u64) -> bool) {
        self.entries
            .retain(|h| h.in_flight > 0 || keep(&h.id, h.boot));
    }
}
