//! Upstreams of which the store said that they leave, and the requests that were sent to them after that.
//!
//! Decides nothing; its figures show how long a removal takes to have its effect after the store reports it.

use std::rc::Rc;

use crate::units::Millis;

/// Time after the store's report at which a departure is logged; upstreams serve for a few seconds more.
const REPORT_AFTER: Millis = Millis::from_secs(8);

/// What the store said of an upstream that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DepartureKind {
    /// It finishes what it has.
    Draining,
    /// Its entry was removed.
    Gone,
    /// Its entry was removed and may only have lapsed.
    Missing,
}

impl DepartureKind {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Gone => "gone",
            Self::Missing => "missing",
        }
    }
}

/// One process of an upstream that leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// Id of the upstream.
    pub upstream: Rc<str>,
    /// Start of its process.
    pub boot: u64,
    /// What the store reported first.
    pub kind: DepartureKind,
    /// When that was recorded.
    pub recorded_at: Millis,
    /// Longest time for which the store may have known it by then.
    pub max_notice_age: Millis,
    /// Requests sent to it since.
    pub sends: u32,
    /// When the last of them was sent.
    pub last_send: Option<Millis>,
}

/// Departures that are not reported yet, sorted by upstream and boot.
#[derive(Debug, Default)]
pub struct Departures {
    known: Vec<Departure>,
}

impl Departures {
    /// Records a report of the store; the first one counts. Returns whether it is the first.
    pub fn record(
        &mut self,
        upstream: &Rc<str>,
        boot: u64,
        kind: DepartureKind,
        now: Millis,
        max_notice_age: Millis,
    ) -> bool {
        let Err(at) = self.find(upstream, boot) else {
            return false;
        };
        let departure = Departure {
            upstream: Rc::clone(upstream),
            boot,
            kind,
            recorded_at: now,
            max_notice_age,
            sends: 0,
            last_send: None,
        };
        self.known.insert(at, departure);
        true
    }

    /// Cancels a departure because the removed entry is back; an upstream that drains leaves all the same.
    pub fn cancel(&mut self, upstream: &str, boot: u64) {
        if let Ok(at) = self.find(upstream, boot)
            && self.known[at].kind != DepartureKind::Draining
        {
            self.known.remove(at);
        }
    }

    /// Records that a request is sent; returns the departure if the upstream is leaving.
    pub fn record_send(&mut self, upstream: &str, boot: u64, now: Millis) -> Option<&Departure> {
        let at = self.find(upstream, boot).ok()?;
        let departure = &mut self.known[at];
        departure.sends += 1;
        departure.last_send = Some(now);
        Some(departure)
    }

    /// Takes the departures that are due to be reported.
    pub fn take_due(&mut self, now: Millis) -> Vec<Departure> {
        let is_due = |d: &mut Departure| now.since(d.recorded_at) >= REPORT_AFTER;
        self.known.extract_if(.., is_due).collect()
    }

    fn find(&self, upstream: &str, boot: u64) -> Result<usize, usize> {
        self.known
            .binary_search_by(|d| (&*d.upstream, d.boot).cmp(&(upstream, boot)))
    }
}
