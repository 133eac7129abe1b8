//! Explanation records: one per outcome, replayable.
//!
//! A record holds every decision on a request with its inputs and draws, and what was seen in between.
//! [`replay()`] computes the decisions again from the record alone.

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

/// What a caller asked for.
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

/// What a rating said of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RatingResult {
    /// The answer is good enough.
    Pass,
    /// The answer is not good enough.
    Fail,
    /// No rating came within the budget.
    Missing,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Whole {
        /// HTTP status of the upstream.
        status: u16,
        /// Length of the answer in bytes.
        bytes: u64,
    },
    /// The agent refused it or it failed.
    Refused(Refusal),
    /// The agent could not be reached or went silent.
    Lost(String),
}

/// One entry of a record, in the order of events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The versions were chosen.
    Planned {
        /// Everything that the choice depended on.
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
        /// The choice with what it depended on.
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
        /// How it ended.
        end: AttemptEnd,
    },
    /// A step's answer was accepted or not.
    Judged {
        /// Step of the plan.
        step: u16,
        /// The step's rule.
        accept: Accept,
        /// What the rating said.
        rated: RatingResult,
        /// The decision.
        accepted: bool,
    },
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller got the whole answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Length of the answer in bytes.
        bytes: u64,
        /// Whether it was the kept answer of an earlier request.
        replayed: bool,
        /// What is charged; `None` if nothing is.
        charge: Option<Micros>,
    },
    /// The caller was refused.
    Refused(Refusal),
    /// The answer was cut off after its first byte had gone to the caller.
    Incomplete {
        /// Bytes that the caller got.
        bytes: u64,
        /// Why.
        refusal: Refusal,
    },
    /// The caller left.
    CallerLeft,
}

impl Outcome {
    /// Returns the outcome as one word for logs and metrics.
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

/// Everything about one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// Arrival, in Unix milliseconds.
    pub at: Millis,
    /// Name of the gateway.
    pub gateway: String,
    /// Sheet revision of the decisions.
    pub revision: u64,
    /// The client account.
    pub account: AccountId,
    /// What the caller asked for.
    pub asked: RequestedTarget,
    /// Decisions and observations in order.
    pub events: Vec<Event>,
    /// How it ended.
    pub outcome: Outcome,
    /// Arrival to the end.
    pub duration: Millis,
}

/// Decides whether a step's answer goes to the caller.
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

/// Returns the refusal that a plan error means for the caller; nothing has run.
#[must_use]
pub fn refusal_of(error: &PlanError) -> Refusal {
    let code = match error {
        PlanError::NoAllowedVersion | PlanError::SessionVersionNotAllowed(_) => Code::Forbidden,
        PlanError::SessionVersionWithdrawn(_) => Code::SessionVersionWithdrawn,
        PlanError::SessionVersionNotRoutable(_) | PlanError::NothingRoutable => Code::NoUpstream,
    };
    Refusal::not_run(code, error.to_string())
}

/// Tells whether a refusal claims that nothing ran.
const fn claims_not_run(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Refused(Refusal {
            ran: RunStatus::NotRun,
            ..
        })
    )
}
