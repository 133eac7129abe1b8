//! Runs of one gateway's requests at upstreams: which of them may have crashed an upstream, and which survived.
//!
//! A request that crashes upstreams does so soon after its answer begins. A run that began just before a crash, or had not
//! begun yet, is accused, also if the gateway had already dropped or completed it. A run whose answer has gone on for
//! longer, or whose upstream outlived it, has survived.

use std::rc::Rc;

use crate::units::Millis;

use super::Feature;

/// Time from the first byte of an answer within which a request that crashes upstreams has done so.
pub const CRASH_WINDOW: Millis = Millis(400);

/// Time after a complete answer, or after bytes that speak for a run, in which a crash shows that has already happened: a
/// crash between two events ends an answer without framing like a complete one.
const END_CHECK: Millis = Millis(100);

/// Time for which ended runs are kept: a crash may be noticed by another gateway, whose report takes this long.
const ENDED_LIFETIME: Millis = Millis(4_000);

/// Maximum number of ended runs that are kept.
const MAX_ENDED: usize = 4_096;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// The upstream states that it did not run the request.
    NotRun,
    /// The answer was dropped, or broke off.
    Dropped,
    /// The answer was complete, as far as its framing shows.
    Complete,
}

/// Identifier of a run at this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExposureId(u64);

#[derive(Debug, Clone)]
struct Exposure {
    id: ExposureId,
    upstream: Rc<str>,
    boot: u64,
    features: Rc<[Feature]>,
    began: Option<Millis>,
    ended: Option<(Millis, RunEnd)>,
    /// When bytes first came later than [`CRASH_WINDOW`] after the first one.
    late_at: Option<Millis>,
    /// Whether it was accused of a crash or has already been reported as survived.
    is_decided: bool,
}

impl Exposure {
    /// Returns whether the run may have crashed its upstream at `at`.
    fn may_have_crashed(&self, at: Millis) -> bool {
        let is_late = |since: Millis| since + CRASH_WINDOW >= at;
        self.began.is_none_or(is_late) && self.ended.is_none_or(|(ended, _)| is_late(ended))
    }
}

/// Runs of a gateway, in flight and recently ended.
#[derive(Debug, Default)]
pub struct Exposures {
    /// Sorted by id.
    runs: Vec<Exposure>,
    next: u64,
}

impl Exposures {
    /// Adds a request that is sent to an upstream.
    pub fn start(&mut self, upstream: &Rc<str>, boot: u64, features: &Rc<[Feature]>) -> ExposureId {
        let id = ExposureId(self.next);
        self.next += 1;
        self.runs.push(Exposure {
            id,
            upstream: Rc::clone(upstream),
            boot,
            features: Rc::clone(features),
            began: None,
            ended: None,
            late_at: None,
            is_decided: false,
        });
        id
    }

    /// Records the first byte of the answer.
    pub fn begin(&mut self, id: ExposureId, now: Millis) {
        if let Some(run) = self.find(id) {
            run.began.get_or_insert(now);
        }
    }

    /// Records that bytes of the answer have arrived at `now`; returns the features of a run that has survived by that,
    /// once.
    pub fn progress(&mut self, id: ExposureId, now: Millis) -> Option<Rc<[Feature]>> {
        let run = self.find(id)?;
        let began = *run.began.get_or_insert(now);
        if run.is_decided || now.since(began) <= CRASH_WINDOW {
            return None;
        }
        // After a pause of the gateway or the network, bytes from before a crash arrive late, with its end right behind them.
        let late_at = *run.late_at.get_or_insert(now);
        if now.since(late_at) <= END_CHECK {
            return None;
        }
        run.is_decided = true;
        Some(Rc::clone(&run.features))
    }

    /// Returns whether an upstream's process has no run in flight but some that have ended lately.
    #[must_use]
    pub fn is_idle(&self, upstream: &str, boot: u64) -> bool {
        let at_upstream = |r: &&Exposure| r.boot == boot && r.upstream.as_ref() == upstream;
        let mut runs = self.runs.iter().filter(at_upstream).peekable();
        runs.peek().is_some() && runs.all(|r| r.ended.is_some())
    }

    /// Records the end of a run.
    pub fn end(&mut self, id: ExposureId, end: RunEnd, now: Millis) {
        let Ok(at) = self.runs.binary_search_by_key(&id, |r| r.id) else {
            return;
        };
        if end == RunEnd::NotRun {
            self.runs.remove(at);
        } else {
            self.runs[at].ended = Some((now, end));
        }
    }

    /// Returns the features of the runs that may have crashed an upstream at `at`, sorted.
    pub fn crash(&mut self, upstream: &str, boot: u64, at: Millis) -> Vec<Feature> {
        let mut accused = Vec::new();
        for run in &mut self.runs {
            let is_there = run.boot == boot && run.upstream.as_ref() == upstream;
            if is_there && run.may_have_crashed(at) {
                run.is_decided = true;
                accused.extend_from_slice(&run.features);
            }
        }
        accused.sort_unstable();
        accused.dedup();
        accused
    }

    /// Returns the features of complete runs that their upstreams have outlived, and forgets old runs.
    pub fn take_survived(&mut self, now: Millis) -> Vec<Rc<[Feature]>> {
        let mut survived = Vec::new();
        for run in &mut self.runs {
            if let Some((ended, RunEnd::Complete)) = run.ended
                && !run.is_decided
                && now.since(ended) > END_CHECK
                && run
                    .began
                    .is_some_and(|began| now.since(began) > CRASH_WINDOW)
            {
                run.is_decided = true;
                survived.push(Rc::clone(&run.features));
            }
        }
        self.runs
            .retain(|r| (r.ended).is_none_or(|(ended, _)| now.since(ended) < ENDED_LIFETIME));
        let ended = self.runs.iter().filter(|r| r.ended.is_some()).count();
        let mut excess = ended.saturating_sub(MAX_ENDED);
        self.runs.retain(|r| {
            let is_excess = r.ended.is_some() && excess > 0;
            excess -= usize::from(is_excess);
            !is_excess
        });
        survived
    }

    /// Returns the number of runs that are kept.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no run is kept.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn find(&mut self, id: ExposureId) -> Option<&mut Exposure> {
        let at = self.runs.binary_search_by_key(&id, |r| r.id).ok()?;
        Some(&mut self.runs[at])
    }
}
