//! Upstreams that leave according to the store, and the requests that were still sent to them.
//!
//! Used only for logs and metrics; they show how long it takes until a departure that the store reports has its
//! effect on routing.

use std::rc::Rc;

use crate::units::Millis;

/// Delay between the store's notice of a departure and its log line; upstreams still serve requests for a few
/// seconds.
const LOG_DELAY: Millis = Millis::from_secs(8);

/// What the store reported about an upstream that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DepartureKind {
    /// It finishes the requests that it has.
    Draining,
    /// Its entry was removed.
    Gone,
    /// Its entry was removed, possibly because it expired during an outage of the store.
    Missing,
}

impl DepartureKind {
    /// Returns the name used in logs.
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
    /// Start time of its process, in Unix milliseconds.
    pub boot: u64,
    /// What the store reported first.
    pub kind: DepartureKind,
    /// When the gateway recorded that.
    pub recorded_at: Millis,
    /// Longest time for which the store may have known of the departure by then.
    pub max_notice_age: Millis,
    /// Requests sent to it since `recorded_at`.
    pub sends: u32,
    /// When the last of them was sent.
    pub last_send: Option<Millis>,
}

/// Departures that have not been logged yet, sorted by upstream and boot.
#[derive(Debug, Default)]
pub struct Departures {
    departures: Vec<Departure>,
}

impl Departures {
    /// Records that the store reported a departure; only the first report is kept. Returns whether it is the
    /// first.
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
        self.departures.insert(at, departure);
        true
    }

    /// Cancels a departure because the removed entry is back. A draining upstream leaves anyway, so its departure
    /// is kept.
    pub fn cancel(&mut self, upstream: &str, boot: u64) {
        if let Ok(at) = self.find(upstream, boot)
            && self.departures[at].kind != DepartureKind::Draining
        {
            self.departures.remove(at);
        }
    }

    /// Records that a request is sent to an upstream; returns its departure if it is leaving.
    pub fn record_send(&mut self, upstream: &str, boot: u64, now: Millis) -> Option<&Departure> {
        let at = self.find(upstream, boot).ok()?;
        let departure = &mut self.departures[at];
        departure.sends += 1;
        departure.last_send = Some(now);
        Some(departure)
    }

    /// Removes and returns the departures that are due to be logged.
    pub fn take_due(&mut self, now: Millis) -> Vec<Departure> {
        let is_due = |d: &mut Departure| now.since(d.recorded_at) >= LOG_DELAY;
        self.departures.extract_if(.., is_due).collect()
    }

    fn find(&self, upstream: &str, boot: u64) -> Result<usize, usize> {
        self.departures
            .binary_search_by(|d| (&*d.upstream, d.boot).cmp(&(upstream, boot)))
    }
}
