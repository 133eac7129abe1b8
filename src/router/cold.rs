//! Upstreams that are cold, and the turns in which this gateway may send them a request.
//!
//! A cold upstream crashes if all gateways together send it more than a bounded number of requests in a second. A gateway
//! uses its own turns only, which the beacon beside the upstream leases to it; without a lease it sends nothing. An upstream
//! may have turned cold without this gateway's knowing, so it counts as cold until somebody vouches for it: when it joins,
//! after it was silent, and after this gateway was suspended.

use std::rc::Rc;

use crate::units::Millis;

use super::table::ServiceSettings;
use super::turns::{LEASE_LIFETIME, Lease, TurnLength};

/// Time without a run of this gateway's timers from which it may have missed that upstreams turned cold. Its maintenance
/// runs each second.
const SUSPENSION: Millis = Millis(2_000);

/// Age of the last word of both the beacon and the store from which an upstream may have turned cold. It covers a heartbeat
/// of the upstream and the delay of the watch.
const MAX_WORD_AGE: Millis = Millis(2_500);

/// Difference between the Unix time of a gateway and of an upstream that is allowed for.
const CLOCK_DIFFERENCE: Millis = Millis(250);

/// Wait for a lease from the beacon: an interval of subscription and one of the beacon's polls.
const LEASE_WAIT: Millis = Millis(400);

/// Time for which a difference to a beacon's clock counts; the shortest way of a datagram in it is the most exact.
const CLOCK_SAMPLE_LIFETIME: Millis = Millis::from_secs(5);

/// Difference to a beacon's clock by which it must have been set anew.
const CLOCK_STEP: u64 = 1_000;

/// Requests a second from which a bound is none: its turns would be shorter than the clock's resolution.
const MIN_UNBOUNDED_RATE: f64 = 1_000.0;

/// What a service says of its cold upstreams, with the bound on what they get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTerms {
    /// Time for which an upstream is cold after a start.
    pub cold: Millis,
    /// Most requests that a cold upstream may get in any second, from all gateways together.
    pub allowed_per_s: f64,
}

/// Bound on what a cold upstream gets, relative to what its service says that it tolerates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Multiple of the rate that it tolerates.
    pub ratio: f64,
    /// Number of requests allowed in addition.
    pub slack: f64,
}

impl ColdBound {
    /// Returns the terms for the upstreams of a service; `None` if they are never cold or have no bound then.
    #[must_use]
    pub fn terms(self, service: &ServiceSettings) -> Option<ColdTerms> {
        let allowed_per_s = service.cold_per_s * self.ratio + self.slack;
        let is_bounded = service.cold_per_s > 0.0 && allowed_per_s < MIN_UNBOUNDED_RATE;
        is_bounded.then_some(ColdTerms {
            cold: service.cold,
            allowed_per_s,
        })
    }
}

/// What a beacon's datagram says of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeaconWord {
    /// Start time of the upstream's process, in Unix milliseconds, if it is known.
    pub boot: Option<u64>,
    /// How long the upstream says that it stays cold.
    pub cold_left: Millis,
    /// Time since it answered the beacon for the first time, or again after a silence.
    pub answering_for: Millis,
    /// When this gateway sent the last subscription that the beacon had.
    pub asked_at: Millis,
    /// When the datagram was sent, by the beacon's clock.
    pub sent_at: Millis,
    /// This gateway's turns.
    pub lease: Option<Lease>,
}

/// Where an upstream's state is looked at from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// The present time.
    pub now: Millis,
    /// The present Unix time.
    pub unix: Millis,
    /// Age of the gateway's view of the store.
    pub store_age: Millis,
}

/// Why an upstream counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ColdCause {
    /// It says so.
    Told,
    /// Its process has just started.
    Started,
    /// Nobody has vouched for it since it joined, was silent, or this gateway was suspended.
    Unvouched,
    /// Neither the beacon nor the store has been heard of.
    Unheard,
}

/// A cold upstream that gets no request from this gateway now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cold {
    /// Time until it may get one.
    pub wait: Millis,
    /// Why it counts as cold.
    pub cause: ColdCause,
    /// Whether this gateway has turns at it.
    pub has_lease: bool,
}

/// The number of a turn that a request has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn(u64);

/// What this gateway knows of one upstream's process.
#[derive(Debug, Clone)]
struct Known {
    upstream: Rc<str>,
    boot: u64,
    /// Until when it has said that it stays cold.
    told_until: Millis,
    /// Since when somebody must vouch that it is not cold.
    unvouched_since: Option<Millis>,
    /// For how long it had answered its beacon, and when that was heard.
    answering: Option<(Millis, Millis)>,
    /// When its beacon was heard of last.
    heard_at: Option<Millis>,
    lease: Option<(Lease, Millis)>,
    /// How far the beacon's clock is ahead of this gateway's, with the time of the sample.
    clocks: [Option<(u64, Millis)>; 2],
    last_turn: Option<Turn>,
}

impl Known {
    fn new(upstream: &Rc<str>, boot: u64, now: Millis) -> Self {
        Self {
            upstream: Rc::clone(upstream),
            boot,
            told_until: Millis(0),
            unvouched_since: Some(now),
            answering: None,
            heard_at: None,
            lease: None,
            clocks: [None; 2],
            last_turn: None,
        }
    }

    /// Records for how long it says that it stays cold; returns whether it did not say so before.
    fn observe(&mut self, left: Millis, now: Millis) -> bool {
        let is_new = self.told_until <= now && left > Millis(0);
        self.told_until = self.told_until.max(now + left);
        is_new
    }

    /// Returns why the upstream counts as cold, if it does.
    fn cause(&self, terms: ColdTerms, view: View) -> Option<ColdCause> {
        let View {
            now,
            unix,
            store_age,
        } = view;
        let is_unvouched = (self.unvouched_since).is_some_and(|at| now.since(at) < terms.cold);
        let is_back = (self.answering).is_some_and(|(time, at)| time + now.since(at) < terms.cold);
        let is_unheard = |at: Millis| now.since(at).min(store_age) > MAX_WORD_AGE;
        if now < self.told_until {
            Some(ColdCause::Told)
        } else if unix.0 < self.boot.saturating_add((terms.cold + CLOCK_DIFFERENCE).0) {
            Some(ColdCause::Started)
        } else if is_unvouched || is_back {
            Some(ColdCause::Unvouched)
        } else if self.heard_at.is_some_and(is_unheard) {
            Some(ColdCause::Unheard)
        } else {
            None
        }
    }

    /// Returns the time by the beacon's clock.
    fn beacon_time(&self, now: Millis) -> Option<Millis> {
        let ahead = self
            .clocks
            .iter()
            .flatten()
            .map(|(ahead, _)| *ahead)
            .max()?;
        Some(Millis(now.0 + ahead))
    }

    fn observe_clock(&mut self, sent_at: Millis, now: Millis) {
        let ahead = sent_at.0.saturating_sub(now.0);
        let known = self.clocks.iter().flatten().map(|(ahead, _)| *ahead).max();
        if known.is_some_and(|known| known.abs_diff(ahead) > CLOCK_STEP) {
            (self.clocks, self.last_turn) = ([None; 2], None);
        }
        let [current, previous] = &mut self.clocks;
        match current {
            Some((best, at)) if now.since(*at) < CLOCK_SAMPLE_LIFETIME => *best = ahead.max(*best),
            _ => {
                *previous = current.take();
                *current = Some((ahead, now));
            }
        }
    }

    /// Returns the lease in force and the time by the beacon's clock.
    fn lease(&self, now: Millis) -> Option<(Lease, Millis)> {
        let (lease, _) = self.lease.filter(|(_, until)| now < *until)?;
        Some((lease, self.beacon_time(now)?))
    }

    /// Returns the lease in force and the present turn.
    fn turn(&self, length: TurnLength, now: Millis) -> Option<(Lease, Turn)> {
        let (lease, time) = self.lease(now)?;
        Some((lease, Turn(length.turn_at(time))))
    }

    /// Returns how long this gateway waits for its next turn; zero if it is there.
    fn wait(&self, terms: ColdTerms, now: Millis) -> Millis {
        let Some(length) = TurnLength::within_second(terms.allowed_per_s) else {
            return terms.cold;
        };
        let Some((lease, time)) = self.lease(now) else {
            return LEASE_WAIT;
        };
        let turn = length.turn_at(time);
        if lease.has(turn) && self.last_turn < Some(Turn(turn)) {
            return Millis(0);
        }
        length
            .begin(lease.next(turn + 1))
            .since(time)
            .max(Millis(1))
    }
}

/// What this gateway knows of cold upstreams, sorted by upstream.
#[derive(Debug, Default)]
pub struct ColdUpstreams {
    known: Vec<Known>,
    ran_at: Millis,
}

impl ColdUpstreams {
    /// Records that the gateway runs; after a suspension each upstream may have turned cold.
    pub fn tick(&mut self, now: Millis) {
        if now.since(self.ran_at) > SUSPENSION {
            for known in &mut self.known {
                known.unvouched_since = Some(now);
            }
        }
        self.ran_at = now;
    }

    /// Records for how long an upstream says that it stays cold, in its entry in the store or in an answer.
    ///
    /// The word may have waited on its way, so the time counts from now. Returns whether the upstream did not say so before.
    pub fn observe(&mut self, upstream: &Rc<str>, boot: u64, left: Millis, now: Millis) -> bool {
        let known = self.entry(upstream, boot, now);
        known.is_some_and(|known| known.observe(left, now))
    }

    /// Records that an upstream does not answer; it may be cold when it comes back.
    pub fn observe_silence(&mut self, upstream: &Rc<str>, boot: u64, now: Millis) {
        if let Some(known) = self.entry(upstream, boot, now)
            // A gateway without a beacon's word can't be told that the upstream is warm.
            && known.heard_at.is_some()
        {
            known.unvouched_since = Some(now);
        }
    }

    /// Records a beacon's word of its upstream; returns whether that says that it is cold, and did not before.
    pub fn observe_beacon(
        &mut self,
        upstream: &Rc<str>,
        boot: u64,
        word: BeaconWord,
        now: Millis,
    ) -> bool {
        let Some(known) = self.entry(upstream, boot, now) else {
            return false;
        };
        known.heard_at = Some(now);
        known.observe_clock(word.sent_at, now);
        if word.boot.is_some_and(|newer| newer != boot) {
            // Another process has taken over; the store does not say so yet.
            known.unvouched_since = Some(now);
            known.lease = None;
            return false;
        }
        known.answering = Some((word.answering_for, now));
        known.lease = word.lease.map(|l| (l, word.asked_at + LEASE_LIFETIME));
        if known.unvouched_since.is_some_and(|at| word.asked_at >= at) {
            known.unvouched_since = None;
        }
        known.observe(word.cold_left, now)
    }

    /// Returns why an upstream gets no request from this gateway now, if it does not.
    #[must_use]
    pub fn cold(&self, upstream: &str, boot: u64, terms: ColdTerms, view: View) -> Option<Cold> {
        let known = self.find(upstream, boot)?;
        let cause = known.cause(terms, view)?;
        let wait = known.wait(terms, view.now);
        (wait > Millis(0)).then_some(Cold {
            wait,
            cause,
            has_lease: known.lease.is_some_and(|(_, until)| view.now < until),
        })
    }

    /// Returns whether an upstream counts as cold.
    #[must_use]
    pub fn is_cold(&self, upstream: &str, boot: u64, terms: ColdTerms, view: View) -> bool {
        let known = self.find(upstream, boot);
        known.is_some_and(|known| known.cause(terms, view).is_some())
    }

    /// Returns this gateway's lease of turns at an upstream, with the time by the clock of the beacon.
    #[must_use]
    pub fn lease(&self, upstream: &str, boot: u64, now: Millis) -> Option<(Lease, Millis)> {
        self.find(upstream, boot)?.lease(now)
    }

    /// Takes the turn for a request to an upstream; `None` if it is not cold.
    pub fn take(
        &mut self,
        upstream: &str,
        boot: u64,
        terms: ColdTerms,
        view: View,
    ) -> Option<Turn> {
        let at = self.position(upstream).ok()?;
        let known = &mut self.known[at];
        if known.boot != boot || known.cause(terms, view).is_none() {
            return None;
        }
        let length = TurnLength::within_second(terms.allowed_per_s)?;
        let (_, turn) = known.turn(length, view.now)?;
        known.last_turn = Some(turn);
        Some(turn)
    }

    /// Returns whether a request may still be sent that has taken this turn, or none because its upstream was not cold.
    pub fn may_send(
        &mut self,
        upstream: &str,
        boot: u64,
        turn: Option<Turn>,
        terms: ColdTerms,
        view: View,
    ) -> bool {
        if !self.is_cold(upstream, boot, terms, view) {
            return true;
        }
        let length = TurnLength::within_second(terms.allowed_per_s);
        let known = self.find(upstream, boot);
        let current = known
            .zip(length)
            .and_then(|(k, length)| k.turn(length, view.now));
        if current.is_some_and(|(lease, now)| turn == Some(now) && lease.has(now.0)) {
            return true;
        }
        let is_open = self.cold(upstream, boot, terms, view).is_none();
        is_open && self.take(upstream, boot, terms, view).is_some()
    }

    /// Removes upstreams for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.known.retain(|k| keep(&k.upstream));
    }

    /// Returns what is known of a process; `None` if a newer one is known.
    fn entry(&mut self, upstream: &Rc<str>, boot: u64, now: Millis) -> Option<&mut Known> {
        let at = match self.position(upstream) {
            Ok(at) if self.known[at].boot > boot => return None,
            Ok(at) => {
                if self.known[at].boot < boot {
                    self.known[at] = Known::new(upstream, boot, now);
                }
                at
            }
            Err(at) => {
                self.known.insert(at, Known::new(upstream, boot, now));
                at
            }
        };
        Some(&mut self.known[at])
    }

    fn find(&self, upstream: &str, boot: u64) -> Option<&Known> {
        let at = self.position(upstream).ok()?;
        Some(&self.known[at]).filter(|k| k.boot == boot)
    }

    fn position(&self, upstream: &str) -> Result<usize, usize> {
        (self.known).binary_search_by(|k| k.upstream.as_ref().cmp(upstream))
    }
}
