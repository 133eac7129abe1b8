//! Crashes, survived runs and verdicts as gateways report and record them, and the decisions on requests.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::router::mix;
use crate::units::Millis;

use super::Feature;

/// A crash of an upstream with the features that are accused of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Id of the upstream.
    pub upstream: Rc<str>,
    /// Start time of its process, in Unix milliseconds.
    pub boot: u64,
    /// Time of the crash, in Unix milliseconds.
    pub at: Millis,
    /// Accused features, sorted.
    pub features: Vec<Feature>,
}

impl CrashRecord {
    /// Returns what identifies the crash: the upstream's process.
    pub(super) fn id(&self) -> (&str, u64) {
        (&self.upstream, self.boot)
    }
}

/// Runs with a feature that their upstreams survived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Survival {
    /// The feature.
    pub feature: Feature,
    /// When the last of them was known to have survived, in Unix milliseconds.
    pub at: Millis,
    /// Number of recent ones, up to a limit.
    pub count: u32,
}

/// What one gateway tells the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Crashes with runs of this gateway.
    pub crashes: Vec<CrashRecord>,
    /// Survived runs with features that some gateway accuses.
    pub survivals: Vec<Survival>,
}

/// A verdict as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContainmentRecord {
    /// Requests that have all of these features are not sent to upstreams.
    pub features: Vec<Feature>,
    /// Start, in Unix milliseconds.
    pub since: Millis,
    /// Last crash under the features, in Unix milliseconds.
    pub last_crash: Millis,
    /// Crashes that led to the verdict.
    pub crashes: usize,
    /// Trials so far.
    pub trials: u32,
    /// When the next request may be tried, in Unix milliseconds.
    pub next_trial: Millis,
    /// Gateway that recorded the verdict.
    pub gateway: Rc<str>,
}

impl ContainmentRecord {
    /// Returns the key of the record: the features as one number.
    #[must_use]
    pub fn key(&self) -> Feature {
        Feature((self.features.iter()).fold(0, |key, feature| mix(key ^ feature.0)))
    }
}

/// Decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request is not contained.
    Run,
    /// The request is contained and is the one that may be sent to find out whether upstreams still crash.
    Trial(Feature),
    /// The request must not be sent.
    Refuse(Refusal),
}

/// Why a request is not sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Key of the containment.
    pub key: Feature,
    /// Crashes that led to it.
    pub crashes: usize,
    /// Time since the last crash.
    pub age: Millis,
    /// Gateway that reached the verdict.
    pub source: Rc<str>,
    /// Time until the next trial.
    pub retry_after: Millis,
}

/// Change of a record of a containment, on the condition that it is unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContainmentWrite {
    /// Key of the record.
    pub key: Feature,
    /// New record; `None` removes it.
    pub record: Option<ContainmentRecord>,
    /// Revision of the record that is replaced; 0 if there is none.
    pub revision: u64,
}

/// A write to the store: all or nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvidenceWrite {
    /// Name of the gateway.
    pub gateway: Rc<str>,
    /// The gateway's report, which replaces its last one.
    pub report: Report,
    /// Change of a containment.
    pub containment: Option<ContainmentWrite>,
    /// Revision of the record that the store's era is settled, if there is one: a further condition of the change.
    pub settled_revision: Option<u64>,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// Written at this revision.
    Written(u64),
    /// The record of the containment has changed.
    Conflict,
    /// The store gave no usable answer.
    Failed,
}
