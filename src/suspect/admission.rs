//! Admission of requests at an agent, based on crash reports.

use super::{CrashId, CrashReport, Fingerprint, REFUSE_AT_CRASHES, Suspects};
use crate::ids::{Incarnation, RequestId};
use crate::units::Millis;

/// Decision on a request for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitDecision {
    /// The request may run.
    Run,
    /// The request is a suspect and another suspect is running here; try again when a run ends.
    Wait,
    /// The request was in flight at [`REFUSE_AT_CRASHES`] or more crashes and must not run.
    Refuse {
        /// Number of these crashes.
        crashes: usize,
    },
}

/// A run of a request at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, as counted by the gateway.
    pub attempt: u32,
}

/// What a crash is attributed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blame {
    /// Exactly one request in flight was already a suspect; the crash does not count against the version.
    Request(Fingerprint),
    /// None or several of the requests in flight were already suspects; the crash counts against the version.
    Version,
}

/// A crash of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Identifier of the crash.
    pub id: CrashId,
    /// What the crash is attributed to.
    pub blame: Blame,
    /// Reports for all gateways with a request in flight; a gateway distributes them before it answers callers.
    pub reports: Vec<CrashReport>,
    /// The runs that the crash ended.
    pub ended: Vec<Run>,
}

/// Admission of requests at one agent.
#[derive(Debug)]
pub struct CrashAdmission {
    agent: Incarnation,
    /// Number of crashes in this incarnation.
    crashes: u64,
    /// Sorted by run.
    running: Vec<(Run, Fingerprint)>,
    suspects: Suspects,
}

impl CrashAdmission {
    /// Creates the admission state of an agent without runs.
    #[must_use]
    pub const fn new(agent: Incarnation, suspects: Suspects) -> Self {
        Self {
            agent,
            crashes: 0,
            running: Vec::new(),
            suspects,
        }
    }

    /// Returns the crash reports known to the agent.
    #[must_use]
    pub const fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Adds reports of other processes; see [`Suspects::merge`].
    pub fn merge(&mut self, reports: &[CrashReport], now: Millis) -> Vec<CrashReport> {
        self.suspects.merge(reports, now)
    }

    /// Decides on a run and registers it if it may start.
    #[must_use]
    pub fn admit(&mut self, run: Run, fingerprint: Fingerprint, now: Millis) -> AdmitDecision {
        let crashes = self.suspects.count(fingerprint, now);
        if crashes >= REFUSE_AT_CRASHES {
            return AdmitDecision::Refuse { crashes };
        }
        if crashes > 0 && self.suspects_in_flight(now).next().is_some() {
            return AdmitDecision::Wait;
        }
        if let Err(at) = self.position(run) {
            self.running.insert(at, (run, fingerprint));
        }
        AdmitDecision::Run
    }

    /// Returns whether a run is registered.
    #[must_use]
    pub fn is_running(&self, run: Run) -> bool {
        self.position(run).is_ok()
    }

    /// Removes a run that ended without a crash.
    pub fn finish(&mut self, run: Run) {
        if let Ok(at) = self.position(run) {
            self.running.remove(at);
        }
    }

    /// Records a crash of the engine, which ends all runs.
    ///
    /// A planned stop of the engine or of its VM does not count as a crash.
    pub fn crash(&mut self, now: Millis) -> Crash {
        self.crashes += 1;
        let id = CrashId {
            agent: self.agent,
            number: self.crashes,
        };
        let blame = self.blame(now);
        let running = std::mem::take(&mut self.running);
        let mut reports: Vec<_> = running
            .iter()
            .map(|&(_, fingerprint)| CrashReport {
                fingerprint,
                crash: id,
                at: now,
            })
            .collect();
        reports.sort_unstable();
        reports.dedup();
        self.suspects.merge(&reports, now);
        Crash {
            id,
            blame,
            reports,
            ended: running.into_iter().map(|(run, _)| run).collect(),
        }
    }

    fn blame(&self, now: Millis) -> Blame {
        let mut suspects: Vec<_> = self.suspects_in_flight(now).collect();
        suspects.sort_unstable();
        suspects.dedup();
        match suspects.as_slice() {
            [fingerprint] => Blame::Request(*fingerprint),
            _ => Blame::Version,
        }
    }

    /// Returns the fingerprints of the running suspects, repeated if several runs share one.
    fn suspects_in_flight(&self, now: Millis) -> impl Iterator<Item = Fingerprint> {
        self.running
            .iter()
            .map(|&(_, fingerprint)| fingerprint)
            .filter(move |&fingerprint| self.suspects.count(fingerprint, now) > 0)
    }

    fn position(&self, run: Run) -> Result<usize, usize> {
        self.running.binary_search_by_key(&run, |&(run, _)| run)
    }
}
