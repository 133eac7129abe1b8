//! Explanation records: one replayable record per request.
//!
//! A record contains every decision about a request with its inputs and random draws, and the observations in
//! between. [`replay()`] recomputes the decisions from the record alone.

mod explain;
mod replay;
mod ring;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub use explain::explain;
pub use replay::{Difference, replay};
pub use ring::Ring;

use crate::ids::{AccountId, ClassId, RequestId, ServiceId, UpstreamId, VersionRef};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::route::pick::Pick;
use crate::route::plan::{Accept, DRAWS};
use crate::route::{Plan, PlanError, PlanInput};
use crate::units::{Micros, Millis};

/// The target that a caller requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestedTarget {
    /// An answer of a request class.
    Class(ClassId),
    /// An answer of one version.
    Version(VersionRef),
    /// A call of a plain service.
    Service(ServiceId),
}

/// Result of rating an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RatingResult {
    /// The answer is good enough.
    Pass,
    /// The answer is not good enough.
    Fail,
    /// No rating arrived within the time budget.
    Missing,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// The complete answer arrived.
    Whole {
        /// HTTP status of the upstream.
        status: u16,
        /// Length of the answer in bytes.
        bytes: u64,
    },
    /// The agent refused the attempt, or the attempt failed.
    Refused(Refusal),
    /// The agent could not be reached or stopped responding.
    Lost(String),
}

/// A decision or an observation in a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The versions were chosen.
    Planned {
        /// The complete input of the choice.
        input: Box<PlanInput>,
        /// The random draws.
        draws: [u64; DRAWS],
        /// The choice.
        result: Result<Plan, PlanError>,
    },
    /// An upstream was chosen.
    Picked {
        /// Step of the plan.
        step: u16,
        /// Attempt within the step.
        attempt: u16,
        /// The choice and its inputs.
        pick: Pick,
    },
    /// An attempt ended.
    Attempted {
        /// Step of the plan.
        step: u16,
        /// Attempt within the step.
        attempt: u16,
        /// The upstream that ran it.
        upstream: UpstreamId,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// A step's answer was accepted or escalated.
    Judged {
        /// Step of the plan.
        step: u16,
        /// The step's rule.
        accept: Accept,
        /// Result of the rating.
        rated: RatingResult,
        /// Whether the answer was accepted.
        accepted: bool,
    },
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller received the complete answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Length of the answer in bytes.
        bytes: u64,
        /// Whether it was the stored answer of an earlier request.
        replayed: bool,
        /// The charged amount; `None` if nothing is charged.
        charge: Option<Micros>,
    },
    /// The request was refused.
    Refused(Refusal),
    /// The answer was cut off after its first byte had been sent to the caller.
    Incomplete {
        /// Bytes that were sent to the caller.
        bytes: u64,
        /// Why the answer was cut off.
        refusal: Refusal,
    },
    /// The caller disconnected.
    CallerLeft,
}

impl Outcome {
    /// Returns the outcome as a label for logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered {
                replayed: false, ..
            } => "ok",
            Self::Answered { replayed: true, .. } => "replayed",
            Self::Refused(refusal) => refusal.code.as_str(),
            Self::Incomplete { .. } => "incomplete",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// The explanation record of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// Arrival time, in Unix milliseconds.
    pub at: Millis,
    /// Name of the gateway.
    pub gateway: String,
    /// Sheet revision that the decisions are based on.
    pub revision: u64,
    /// The client account.
    pub account: AccountId,
    /// The target that the caller requested.
    pub asked: RequestedTarget,
    /// Decisions and observations in order.
    pub events: Vec<Event>,
    /// How the request ended.
    pub outcome: Outcome,
    /// Time from arrival to the end of the request.
    pub duration: Millis,
}

/// Returns whether a step's answer is returned to the caller.
#[must_use]
pub const fn accepts(accept: Accept, rated: RatingResult) -> bool {
    match (accept, rated) {
        (Accept::Final, _)
        | (_, RatingResult::Pass)
        | (Accept::UnlessRatedFail, RatingResult::Missing) => true,
        (Accept::UnlessRatedFail, RatingResult::Fail)
        | (Accept::IfRatedPass, RatingResult::Fail | RatingResult::Missing) => false,
    }
}

/// Maps a plan error to the refusal that the caller receives; nothing has run.
#[must_use]
pub fn refusal_of(error: &PlanError) -> Refusal {
    let code = match error {
        PlanError::NoAllowedVersion | PlanError::SessionVersionNotAllowed(_) => Code::Forbidden,
        PlanError::SessionVersionWithdrawn(_) => Code::SessionVersionWithdrawn,
        PlanError::SessionVersionNotRoutable(_) | PlanError::NothingRoutable => Code::NoUpstream,
    };
    Refusal::not_run(code, error.to_string())
}

/// Returns whether the outcome is a refusal that claims that nothing ran.
const fn claims_not_run(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Refused(Refusal {
            ran: RunStatus::NotRun,
            ..
        })
    )
}
