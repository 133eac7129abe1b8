//! Containment of requests that crash the upstreams that run them.
//!
//! [`Evidence`] and [`Exposures`] serve the gateways that talk straight to upstreams; the rest serves agents and their
//! gateways: every request in flight at an engine crash becomes a suspect. Agents and gateways exchange crash reports,
//! which form a set. Merging is a union, so repeated reports do not count twice and their order is irrelevant.

mod admission;
mod codec;
mod evidence;
mod exposure;
mod feature;
mod records;
mod stored;
#[cfg(test)]
mod tests;
mod verdict;

use std::fmt;

use sha2::{Digest, Sha256};

pub use admission::{AdmitDecision, Blame, Crash, CrashAdmission, Run};
pub use codec::{MAX_REPORTS_IN_MESSAGE, REPORT_BYTES, REPORT_RESEND_PERIOD, decode, encode};
pub use evidence::{EVIDENCE_LIFETIME, Evidence};
pub use exposure::{CRASH_WINDOW, ExposureId, Exposures, RunEnd};
pub use feature::{Feature, ParseFeatureError, features};
pub use records::{
    ContainmentRecord, ContainmentWrite, CrashRecord, Decision, EvidenceWrite, Refusal, Report,
    Survival, WriteResult,
};
pub use verdict::CRASHES_TO_CONTAIN;

use crate::ids::{AccountId, Incarnation};
use crate::units::Millis;

/// Number of crashes at which a fingerprint is refused; it bounds the upstreams that one request can crash.
pub const REFUSE_AT_CRASHES: usize = 2;

/// Time for which a crash counts against the requests that were in flight.
pub const SUSPECT_LIFETIME: Millis = Millis::from_secs(3_600);

/// Default limit on the number of reports in memory, 64 bytes each.
pub const MAX_REPORTS: usize = 8_192;

/// SHA-256 of a request's account and body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub [u8; 32]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(account: &AccountId, body: &[u8]) -> Self {
        let account = account.as_str().as_bytes();
        let mut hash = Sha256::new();
        // The length makes the boundary between account and body unambiguous.
        hash.update((account.len() as u64).to_be_bytes());
        hash.update(account);
        hash.update(body);
        Self(hash.finalize().into())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Identifier of a crash of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId {
    /// Incarnation of the engine's agent.
    pub agent: Incarnation,
    /// Number of the crash within the incarnation, starting at 1.
    pub number: u64,
}

/// Report that a request was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashReport {
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// The crash.
    pub crash: CrashId,
    /// Time of the crash by the agent's clock, in Unix milliseconds.
    pub at: Millis,
}

impl CrashReport {
    const fn id(&self) -> (Fingerprint, CrashId) {
        (self.fingerprint, self.crash)
    }

    fn is_expired(&self, now: Millis) -> bool {
        now.since(self.at) > SUSPECT_LIFETIME
    }
}

/// The crash reports known to a process, limited in number.
#[derive(Debug)]
pub struct Suspects {
    /// Sorted by fingerprint, then by crash.
    reports: Vec<CrashReport>,
    max_reports: usize,
}

impl Suspects {
    /// Creates an empty set that holds at most `max_reports`.
    #[must_use]
    pub const fn new(max_reports: usize) -> Self {
        Self {
            reports: Vec::new(),
            max_reports,
        }
    }

    /// Adds reports and returns those that were not yet known, to be forwarded.
    ///
    /// Expired reports are ignored; a peer with a slower clock would otherwise reintroduce them.
    pub fn merge(&mut self, reports: &[CrashReport], now: Millis) -> Vec<CrashReport> {
        self.expire(now);
        let mut added = Vec::new();
        for report in reports.iter().filter(|r| !r.is_expired(now)) {
            if let Err(at) = self
                .reports
                .binary_search_by_key(&report.id(), CrashReport::id)
            {
                self.reports.insert(at, *report);
                added.push(*report);
            }
        }
        while self.reports.len() > self.max_reports {
            self.evict();
        }
        added
    }

    /// Returns the number of crashes at which the fingerprint was in flight.
    #[must_use]
    pub fn count(&self, fingerprint: Fingerprint, now: Millis) -> usize {
        let reports = self.reports_of(fingerprint);
        reports.iter().filter(|r| !r.is_expired(now)).count()
    }

    /// Returns all reports, to be sent to a newly connected peer.
    #[must_use]
    pub fn reports(&self) -> &[CrashReport] {
        &self.reports
    }

    fn reports_of(&self, fingerprint: Fingerprint) -> &[CrashReport] {
        let from = self
            .reports
            .partition_point(|r| r.fingerprint < fingerprint);
        let len = self.reports[from..].partition_point(|r| r.fingerprint == fingerprint);
        &self.reports[from..from + len]
    }

    fn expire(&mut self, now: Millis) {
        self.reports.retain(|report| !report.is_expired(now));
    }

    /// Evicts the oldest report; reports of refused fingerprints are evicted only if there are no others.
    fn evict(&mut self) {
        let is_refused =
            |r: &CrashReport| self.reports_of(r.fingerprint).len() >= REFUSE_AT_CRASHES;
        let oldest = (0..self.reports.len()).min_by_key(|&at| {
            let report = &self.reports[at];
            (is_refused(report), report.at)
        });
        if let Some(at) = oldest {
            self.reports.remove(at);
        }
    }
}
