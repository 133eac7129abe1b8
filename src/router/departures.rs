//! Upstreams of which the store said that they leave, and the requests that were sent to them after that.
//!
//! Decides nothing; its figures show how long the store's word takes to have its effect.

use std::rc::Rc;

use crate::units::Millis;

/// Time after the store's word at which a departure is reported; upstreams serve for a few seconds more.
const REPORT_AFTER: Millis = Millis::from_secs(8);

/// What the store said of an upstream that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Word {
    /// It finishes what it has.
    Draining,
    /// Its entry was removed.
    Gone,
    /// Its entry was removed and may only have lapsed.
    Missing,
}

impl Word {
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
    /// What the store said first.
    pub word: Word,
    /// When that was taken in.
    pub told: Millis,
    /// Longest time for which the store may have known it by then.
    pub word_age: Millis,
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
    /// Notes the store's word; the first one counts. Returns whether it is the first.
    pub fn tell(
        &mut self,
        upstream: &Rc<str>,
        boot: u64,
        word: Word,
        now: Millis,
        word_age: Millis,
    ) -> bool {
        let Err(at) = self.find(upstream, boot) else {
            return false;
        };
        let departure = Departure {
            upstream: Rc::clone(upstream),
            boot,
            word,
            told: now,
            word_age,
            sends: 0,
            last_send: None,
        };
        self.known.insert(at, departure);
        true
    }

    /// Notes that a removed entry is back; an upstream that drains leaves all the same.
    pub fn back(&mut self, upstream: &str, boot: u64) {
        if let Ok(at) = self.find(upstream, boot)
            && self.known[at].word != Word::Draining
        {
            self.known.remove(at);
        }
    }

    /// Notes that a request is sent; returns the departure if the upstream is leaving.
    pub fn sent(&mut self, upstream: &str, boot: u64, now: Millis) -> Option<&Departure> {
        let at = self.find(upstream, boot).ok()?;
        let departure = &mut self.known[at];
        departure.sends += 1;
        departure.last_send = Some(now);
        Some(departure)
    }

    /// Takes the departures that are due to be reported.
    pub fn take_due(&mut self, now: Millis) -> Vec<Departure> {
        let is_due = |d: &mut Departure| now.since(d.told) >= REPORT_AFTER;
        self.known.extract_if(.., is_due).collect()
    }

    fn find(&self, upstream: &str, boot: u64) -> Result<usize, usize> {
        self.known
            .binary_search_by(|d| (&*d.upstream, d.boot).cmp(&(upstream, boot)))
    }
}
