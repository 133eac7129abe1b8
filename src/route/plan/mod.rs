//! Choice of the versions that serve a request, in order, at the lowest expected cost.
//!
//! [`plan`] is a pure function of its input and random draws. Both are stored in the decision's record, so that a
//! replay gives the same plan. It uses only additions, subtractions, multiplications and divisions of `f64`, whose
//! results are identical to the bit on every platform.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, VersionId, VersionRef};
use crate::rating::{Estimate, Ppm};
use crate::sheet::VersionState;
use crate::units::{Micros, Permille, Tokens};

mod baseline;
mod cost;
mod steps;
#[cfg(test)]
mod tests;

pub use baseline::{Baseline, baseline};

/// Number of random draws that a plan needs.
pub const DRAWS: usize = 4;
/// Maximum number of usable steps of a cascade that are considered; later ones are ignored.
pub const MAX_STEPS: usize = 6;
/// Share of requests that explore, of those that are not streamed and have several usable steps: they start at a
/// random step before the last one, so that all estimates stay up to date.
pub const EXPLORE_SHARE: Ppm = Ppm(10_000);

// Indexes of the random draws.
const ROLLOUT_DRAW: usize = 0;
const EXPLORE_DRAW: usize = 1;
const START_DRAW: usize = 2;
const MIX_DRAW: usize = 3;

/// Everything that a plan depends on, except the draws.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanInput {
    /// Versions that the client account may use, sorted.
    pub allow: Vec<VersionRef>,
    /// The class of the request.
    pub class: ClassId,
    /// Share of the class's answers that must be good.
    pub quality_target: Permille,
    /// Quality that plans aim at, so that the class's answers meet the target on average.
    pub aim: Ppm,
    /// Steps of the class's cascade, cheapest first.
    pub cascade: Vec<VersionRef>,
    /// The version that the request's session started with.
    pub session: Option<VersionRef>,
    /// Whether the answer is sent while it is generated.
    pub streamed: bool,
    /// Tokens that the request is expected to use.
    pub expected_tokens: Tokens,
    /// Share of the class's recent answers that were rated within the time budget.
    pub rated_in_time: Ppm,
    /// Share of requests that explore; [`EXPLORE_SHARE`] unless an experiment varies it.
    pub explore: Ppm,
    /// Versions of the sheet that are relevant to the request, sorted by version.
    pub candidates: Vec<CandidateInput>,
}

/// State of one version at the time of the decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateInput {
    /// The version.
    pub version: VersionRef,
    /// Its state in the sheet.
    pub state: VersionState,
    /// Cost to the operator for a thousand tokens.
    pub cost_per_1k: Micros,
    /// Pass rate on requests of which no earlier step's answer was rated bad.
    pub first: Estimate,
    /// Pass rate on requests of which an earlier step's answer was rated bad.
    pub escalated: Estimate,
    /// Present while the version is rolled out to replace a stable one.
    pub rollout: Option<RolloutInput>,
    /// Whether some live upstream serves the version.
    pub routable: bool,
}

/// Current state of the roll-out of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutInput {
    /// The stable version of the same model.
    pub replaces: VersionId,
    /// Current share of the stable version's requests that go to the new one.
    pub share: Permille,
}

/// The versions that serve a request, and the reasons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Versions to run, in order; the last one's answer is final.
    pub steps: Vec<PlanStep>,
    /// Expected cost to the operator over all steps.
    pub expected_cost: Micros,
    /// Lower bound of the probability of a good answer from this plan alone.
    pub expected_quality: Ppm,
    /// The verdict on each version of the input, in the order of the input.
    pub considered: Vec<Candidate>,
}

/// One version of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStep {
    /// The version to run.
    pub version: VersionRef,
    /// When its answer is accepted, that is, returned to the caller.
    pub accept: Accept,
    /// Lower bound of the quality of its answer, passed to [`RatingTable::record_delivered`] if the answer is not
    /// rated.
    ///
    /// [`RatingTable::record_delivered`]: crate::rating::RatingTable::record_delivered
    pub first: Ppm,
    /// The same if the answer of an earlier step was rated bad.
    pub escalated: Ppm,
}

/// When the answer of a step is returned to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Accept {
    /// Always.
    Final,
    /// Unless it is rated bad in time; for steps whose lower bound meets the target without a rating.
    UnlessRatedFail,
    /// Only if it is rated good in time.
    IfRatedPass,
}

/// A version and the decision on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The version.
    pub version: VersionRef,
    /// The decision.
    pub verdict: Verdict,
}

/// Why a version is part of a plan or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Part of the plan.
    Chosen(Reason),
    /// The account may not use it.
    NotAllowed,
    /// It is withdrawn and accepts no requests.
    Withdrawn,
    /// It accepts only requests of its existing sessions.
    DrainingWithoutSession,
    /// No live upstream serves it.
    NoLiveUpstream,
    /// The request's session is pinned to another version.
    SessionPinnedElsewhere,
    /// It is not part of the class's cascade, or comes after the first [`MAX_STEPS`] usable steps.
    NotInCascade,
    /// It is being rolled out, and the draw fell outside its share.
    OutsideRolloutShare,
    /// The draw gave the request to a version that is being rolled out to replace it.
    ReplacedByRollout,
    /// The stream uses an earlier step that meets the target alone.
    LaterThanStreamStart,
    /// The request explores, and the plan does not include this step.
    Unexplored,
    /// It meets the target alone, but the chosen plan costs less.
    OverCost,
    /// It does not meet the target alone, and the chosen plan does not escalate to it.
    BelowTarget,
}

/// Why a version is part of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The session started with it.
    SessionPinned,
    /// Part of the cheapest plan, or mixture of two plans by a draw, that meets the target.
    CheapestAtTarget,
    /// Part of the plan of highest quality, since no plan meets the target.
    HighestQuality,
    /// The first step that meets the target alone, for a streamed answer.
    FirstAtTarget,
    /// The request explores, to keep the estimates up to date.
    Explores,
    /// A baseline chose it without estimates.
    Baseline,
    /// The draw fell into its roll-out share of the stable version's requests.
    RolloutShare,
}

/// Why no plan can serve a request. In each case no attempt was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanError {
    /// The account may not use any version of the class's cascade.
    NoAllowedVersion,
    /// The account may no longer use the version of the session.
    SessionVersionNotAllowed(VersionRef),
    /// The version of the session is withdrawn or no longer in the sheet.
    SessionVersionWithdrawn(VersionRef),
    /// No live upstream serves the version of the session.
    SessionVersionNotRoutable(VersionRef),
    /// Every allowed version is withdrawn, draining or without a live upstream.
    NothingRoutable,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAllowedVersion => {
                f.write_str("the account may use no version that serves the class")
            }
            Self::SessionVersionNotAllowed(version) => {
                write!(
                    f,
                    "the account may no longer use the session's version {version}"
                )
            }
            Self::SessionVersionWithdrawn(version) => {
                write!(f, "the session's version {version} is withdrawn")
            }
            Self::SessionVersionNotRoutable(version) => {
                write!(f, "no live upstream serves the session's version {version}")
            }
            Self::NothingRoutable => {
                f.write_str("no allowed version of the class has a live upstream")
            }
        }
    }
}

impl std::error::Error for PlanError {}

/// Chooses the versions that serve a request.
///
/// A request of a session runs on the session's version only. Otherwise a random draw decides between two plans
/// that meet the target on average at the lowest expected cost. There are few plans, so a single one that meets
/// the target would mostly exceed it, at a higher cost. If no plan meets the target, the one of highest quality is
/// used.
///
/// A version that is being rolled out replaces the stable version in a plan that was made with the stable
/// version's estimates. It thus gets exactly its share of the same kind of requests, and the two can be compared.
///
/// # Errors
///
/// Returns an error if no version may serve the request; see [`PlanError`].
pub fn plan(input: &PlanInput, draws: [u64; DRAWS]) -> Result<Plan, PlanError> {
    if let Some(session) = &input.session {
        return steps::session_plan(input, session);
    }
    let steps = steps::usable_steps(input, draws[ROLLOUT_DRAW])?;
    let estimates: Vec<_> = steps.iter().map(|s| s.estimates(input)).collect();
    let params = cost::PlanParams::of(input);
    let (chosen, reason) = if input.streamed {
        cost::stream_plan(&estimates, &params)
    } else if steps.len() > 1 && falls_within(draws[EXPLORE_DRAW], input.explore) {
        // The last step is never the start: escalations reach it anyway, and it costs the most.
        let start = index_below(draws[START_DRAW], steps.len() - 1);
        let mask = cost::full_mask(steps.len()) & (u32::MAX << start);
        (cost::evaluate(&estimates, &params, mask), Reason::Explores)
    } else {
        let (mixture, reason) = cost::cheapest(&estimates, &params);
        let is_high = falls_within(draws[MIX_DRAW], Ppm::from_fraction(mixture.high_share));
        (if is_high { mixture.high } else { mixture.low }, reason)
    };
    Ok(steps::build(input, &steps, &chosen, reason))
}

/// Returns whether a draw falls within a share.
const fn falls_within(draw: u64, share: Ppm) -> bool {
    draw % (Ppm::ONE.0 as u64) < share.0 as u64
}

fn index_below(draw: u64, len: usize) -> usize {
    let len = u64::try_from(len).unwrap_or(1).max(1);
    usize::try_from(draw % len).unwrap_or(0)
}
