//! Pace at which an upstream that has just started or recovered gets requests again.
//!
//! Such an upstream has no backlog, so every gateway that reads its load reports would send its next request there. Its
//! window bounds the requests of all gateways that may wait there for their first output. The window starts small, grows
//! while answers come as fast as those of other upstreams, and shrinks when they do not. It never refuses a request: if no other upstream
//! has room, one beyond its window is used.

mod peers;

use std::rc::Rc;

use crate::units::Millis;

use super::mix;

pub use peers::{Measure, Peers, Profile};

/// Requests that may wait for output at an upstream that nothing is known of yet. One of them may be lost.
const FIRST_WINDOW: f64 = 2.0;

/// Smallest window, so that an upstream that was slow is tried again.
const MIN_WINDOW: f64 = 1.0;

/// Time in which the window of an upstream doubles if nothing speaks against it: about the time to first output that
/// callers of engines expect, so that each step has been answered before the next one.
const DOUBLING: Millis = Millis(1_000);

/// Time in which one more request is allowed once the window has been cut.
const STEP: Millis = Millis(500);

/// Shortest time between two cuts: answers to requests that were sent before the first one say nothing new.
const CUT_INTERVAL: Millis = Millis(500);

/// Time for which the window must not have held anything back before the upstream counts as recovered.
const FREE_TIME: Millis = Millis::from_secs(2);

/// Time between two load reports of an upstream. Within it the gateways take turns at a window that is smaller than their
/// number.
const TURN: Millis = Millis(200);

/// Range of the hash that decides a turn.
const TURN_RANGE: u64 = 1 << 20;

/// Factor over the usual time of other upstreams from which an answer counts as slow. Times to first output are about
/// exponentially distributed, so one answer in fifty at an upstream at its pace takes longer.
const SLOW_FACTOR: f64 = 4.0;

/// Why an upstream is paced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PaceCause {
    /// Its process has just started, or has joined.
    Started,
    /// Outlier detection has ejected it.
    Ejected,
    /// It has asked for a pause.
    Paused,
    /// Its data centre was evacuated.
    Evacuated,
}

impl PaceCause {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Ejected => "ejected",
            Self::Paused => "paused",
            Self::Evacuated => "evacuated",
        }
    }
}

/// What a gateway knows of the requests at an upstream that have produced no output yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Awaiting {
    /// Those of all gateways, if a recent load report is known.
    pub reported: Option<u64>,
    /// Those of this gateway.
    pub own: u64,
}

/// The gateways that share a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharing {
    /// Hash of this gateway's name.
    pub gateway: u64,
    /// Number of gateways.
    pub gateways: u64,
}

/// What an attempt at an upstream showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PaceSign {
    /// An answer, or a part of it, took this time, for a request of this profile.
    Took(Profile, Millis),
    /// It refused the request because it is full, failed it, broke off, or was silent.
    Failed,
}

/// A change of an upstream's window that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PaceChange {
    /// The window was cut to this size.
    Cut(f64),
    /// The upstream gets requests like any other again.
    Recovered,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The window doubles, until the first sign of trouble.
    Doubling,
    /// The window grows step by step.
    Stepping,
}

#[derive(Debug, Clone)]
struct Pace {
    upstream: Rc<str>,
    boot: u64,
    slots: f64,
    phase: Phase,
    /// Window at `updated_at`, in requests of all gateways.
    window: f64,
    updated_at: Millis,
    began_at: Millis,
    cut_at: Option<Millis>,
    /// When the window last held a request of this gateway back.
    held_at: Millis,
    /// Whether an answer has shown that the upstream serves.
    has_answered: bool,
}

impl Pace {
    fn window_at(&self, now: Millis) -> f64 {
        let elapsed = to_f64(now.since(self.updated_at).0);
        let grown = match self.phase {
            Phase::Doubling => self.window * 2_f64.powf(elapsed / to_f64(DOUBLING.0)),
            Phase::Stepping => self.window + elapsed / to_f64(STEP.0),
        };
        grown.min(self.slots)
    }

    fn settle(&mut self, now: Millis) {
        self.window = self.window_at(now);
        self.updated_at = now.max(self.updated_at);
    }

    fn cut(&mut self, now: Millis) -> Option<PaceChange> {
        if self.cut_at.is_some_and(|at| now.since(at) < CUT_INTERVAL) {
            return None;
        }
        self.settle(now);
        self.window = (self.window / 2.0).max(MIN_WINDOW);
        self.phase = Phase::Stepping;
        self.cut_at = Some(now);
        self.held_at = now;
        Some(PaceChange::Cut(self.window))
    }

    /// Returns whether the upstream has answered and was free to take all that it was to get, for long enough.
    fn is_over(&self, now: Millis) -> bool {
        let is_free = now.since(self.held_at.max(self.began_at)) >= FREE_TIME;
        self.has_answered && (is_free || self.window_at(now) >= self.slots)
    }
}

/// Paces by upstream, sorted by id; upstreams at their usual pace are not in it.
#[derive(Debug, Default)]
pub struct Paces {
    paces: Vec<Pace>,
    peers: Peers,
}

impl Paces {
    /// Starts to pace an upstream from `at` on, also one that is being paced.
    pub fn begin(&mut self, upstream: &Rc<str>, boot: u64, slots: u32, at: Millis) {
        let pace = Pace {
            upstream: Rc::clone(upstream),
            boot,
            slots: f64::from(slots).max(FIRST_WINDOW),
            phase: Phase::Doubling,
            window: FIRST_WINDOW,
            updated_at: at,
            began_at: at,
            cut_at: None,
            held_at: at,
            has_answered: false,
        };
        match self.position(upstream) {
            Ok(at) if self.paces[at].boot > boot => {}
            Ok(at) => self.paces[at] = pace,
            Err(at) => self.paces.insert(at, pace),
        }
    }

    /// Returns whether a further request fits into an upstream's window; records that it was held back if not.
    pub fn has_room(
        &mut self,
        upstream: &str,
        boot: u64,
        awaiting: Awaiting,
        sharing: Sharing,
        now: Millis,
    ) -> bool {
        let Ok(at) = self.position(upstream) else {
            return true;
        };
        let pace = &mut self.paces[at];
        if pace.boot != boot {
            return true;
        }
        // A report is older than what this gateway has sent since.
        let reported = awaiting.reported.unwrap_or(0).max(awaiting.own);
        let left = pace.window_at(now) - to_f64(reported);
        let gateways = to_f64(sharing.gateways.max(1));
        let share = (left / gateways).max(0.0);
        let whole = share.floor();
        let is_turn = || {
            let turn = now.0 / TURN.0;
            let hashed = mix(sharing.gateway ^ mix(boot ^ turn)) % TURN_RANGE;
            to_f64(hashed) < (share - whole) * to_f64(TURN_RANGE)
        };
        let own = to_f64(awaiting.own);
        let has_room = own < whole || (own < whole + 1.0 && is_turn());
        if !has_room {
            pace.held_at = now;
        }
        has_room
    }

    /// Records what an attempt showed, of any upstream: answers of those at their usual pace are what others are compared
    /// with. `target` is the time within which callers expect what was measured.
    pub fn observe(
        &mut self,
        upstream: &str,
        boot: u64,
        sign: PaceSign,
        target: Millis,
        now: Millis,
    ) -> Option<PaceChange> {
        let found = self.position(upstream);
        let paced = found.ok().filter(|&at| self.paces[at].boot == boot);
        let (profile, took) = match (sign, paced) {
            (PaceSign::Took(profile, took), Some(_)) => (profile, took),
            (PaceSign::Took(profile, took), None) => {
                self.peers.observe(profile, took);
                return None;
            }
            (PaceSign::Failed, at) => return self.paces[at?].cut(now),
        };
        // If all upstreams are slow, this one is not slow because it has just started.
        let longest = (self.peers.usual(profile)).map_or(to_f64(target.0), |ms| SLOW_FACTOR * ms);
        let is_slow = to_f64(took.0) > longest;
        let at = paced?;
        let pace = &mut self.paces[at];
        if is_slow {
            return pace.cut(now);
        }
        pace.has_answered = true;
        if !pace.is_over(now) {
            return None;
        }
        self.paces.remove(at);
        Some(PaceChange::Recovered)
    }

    /// Records a load report: an upstream where more requests wait for a slot than its window allows is not at its pace yet.
    pub fn observe_waiting(
        &mut self,
        upstream: &str,
        boot: u64,
        waiting: u64,
        now: Millis,
    ) -> Option<PaceChange> {
        let at = self.position(upstream).ok()?;
        let pace = &mut self.paces[at];
        if pace.boot != boot || to_f64(waiting) <= pace.window_at(now) {
            return None;
        }
        pace.cut(now)
    }

    /// Returns the window of an upstream that is paced, in requests of all gateways.
    #[must_use]
    pub fn window(&self, upstream: &str, now: Millis) -> Option<f64> {
        let at = self.position(upstream).ok()?;
        Some(self.paces[at].window_at(now))
    }

    /// Returns the number of upstreams that are paced.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.paces.len()
    }

    /// Returns whether no upstream is paced.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.paces.is_empty()
    }

    /// Removes upstreams for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, u64) -> bool) {
        self.paces.retain(|p| keep(&p.upstream, p.boot));
    }

    fn position(&self, upstream: &str) -> Result<usize, usize> {
        (self.paces).binary_search_by(|p| p.upstream.as_ref().cmp(upstream))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times and counts are far below 2^52"
)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}
