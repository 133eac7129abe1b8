//! Choice of the versions that serve a request, in order, at the lowest expected cost.
//!
//! [`plan`] is a pure function of its input and random draws; both are kept in the decision's record, so
//! that replay gives the same plan. Only additions, products and quotients of `f64` are used, which are
//! exact to the bit on every platform.

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

/// Random draws that a plan needs.
pub const DRAWS: usize = 4;
/// Usable steps of a cascade that are weighed against each other; later ones are left out.
pub const MAX_STEPS: usize = 6;
/// Share of escalating requests that start at a random step before the last one, so that every estimate
/// stays fresh.
pub const EXPLORE: Ppm = Ppm(10_000);

const ROLLOUT_DRAW: usize = 0;
const EXPLORE_DRAW: usize = 1;
const START_DRAW: usize = 2;
const MIX_DRAW: usize = 3;

/// Everything that a plan depends on, besides the draws.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanInput {
    /// Versions that the client account may use, sorted.
    pub allow: Vec<VersionRef>,
    /// The class of the request.
    pub class: ClassId,
    /// Share of the class's answers that must be good enough.
    pub quality_target: Permille,
    /// Quality that plans aim at, so that the class's answers meet the target on the whole.
    pub aim: Ppm,
    /// Steps of the class's cascade, cheapest first.
    pub cascade: Vec<VersionRef>,
    /// The version that the request's session started with.
    pub session: Option<VersionRef>,
    /// Whether the answer is sent while it is generated.
    pub streamed: bool,
    /// Tokens that the request is expected to use.
    pub expected_tokens: Tokens,
    /// Share of the class's recent answers that were rated within the budget.
    pub rated_in_time: Ppm,
    /// Share of requests that explore; [`EXPLORE`] unless an experiment varies it.
    pub explore: Ppm,
    /// Versions of the sheet that matter to the request, sorted by version.
    pub candidates: Vec<CandidateInput>,
}

/// What is known of one version at the time of the decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CandidateInput {
    /// The version.
    pub version: VersionRef,
    /// Its state in the sheet.
    pub state: VersionState,
    /// What a thousand tokens cost the operator.
    pub cost_per_1k: Micros,
    /// Pass rate on requests that no earlier step has failed.
    pub first: Estimate,
    /// Pass rate on requests that an earlier step has failed.
    pub escalated: Estimate,
    /// Present while the version is rolled out in place of a stable one.
    pub rollout: Option<RolloutInput>,
    /// Whether some live upstream serves the version.
    pub routable: bool,
}

/// The roll-out of a version as it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutInput {
    /// The stable version of the same model.
    pub replaces: VersionId,
    /// Share of the stable version's requests that the new one takes now.
    pub share: Permille,
}

/// The versions that serve a request and the reasons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Versions to run, in order; the last one's answer is final.
    pub steps: Vec<PlanStep>,
    /// Expected cost to the operator over all steps.
    pub expected_cost: Micros,
    /// Lower bound of the probability of a good answer from this plan alone.
    pub expected_quality: Ppm,
    /// The verdict on each version of the input, in its order.
    pub considered: Vec<Candidate>,
}

/// One version of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStep {
    /// The version to run.
    pub version: VersionRef,
    /// When its answer is returned to the caller.
    pub accept: Accept,
    /// Lower bound of the quality of its answer, for [`RatingTable::record_delivered`] if it stays unrated.
    ///
    /// [`RatingTable::record_delivered`]: crate::rating::RatingTable::record_delivered
    pub first: Ppm,
    /// The same after an earlier step was rated and failed.
    pub escalated: Ppm,
}

/// When the answer of a step is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Accept {
    /// Always.
    Final,
    /// If it is rated good, or if no rating comes in time: its own lower bound meets the target.
    UnlessRatedFail,
    /// Only if it is rated good in time.
    IfRatedPass,
}

/// A version and what was decided on it.
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
    /// It takes no new request.
    Withdrawn,
    /// It takes requests of its existing sessions only.
    DrainingWithoutSession,
    /// No live upstream serves it.
    NoLiveUpstream,
    /// The request's session is pinned to another version.
    SessionPinnedElsewhere,
    /// The class's cascade does not reach it.
    NotInCascade,
    /// It is being rolled out and the draw fell outside its share.
    OutsideRolloutShare,
    /// The draw gave the request to the version that is being rolled out in its place.
    ReplacedByRollout,
    /// The stream starts at an earlier step that meets the target alone.
    LaterThanStreamStart,
    /// The exploration draw started at another step.
    Unexplored,
    /// It meets the target alone, but the chosen plan costs less.
    OverCost,
    /// It misses the target alone and no chosen escalation uses it.
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
    /// No plan meets the target; part of the one of highest quality.
    HighestQuality,
    /// First step that meets the target of a stream alone.
    FirstAtTarget,
    /// The request explores the estimates.
    Explores,
    /// A baseline chose it without estimates.
    Baseline,
    /// The draw fell into its roll-out share of the stable version's requests.
    RolloutShare,
}

/// Why no plan can serve a request; in each case nothing has run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanError {
    /// The account may use no version that the class's cascade reaches.
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

/// Chooses the versions of a request.
///
/// A session's request runs on the session's version only. Otherwise one of two plans is drawn, which
/// together meet the target at the lowest expected cost: a single plan of the few there are would deliver
/// more than the target asks. If no plan meets the target, the one of highest quality is taken.
/// A version that is being rolled out takes the place of the stable version in a plan that was made with
/// the stable version's estimates: it gets the same requests, so the two can be compared, and exactly its
/// share of them.
///
/// # Errors
///
/// Returns an error if no version may serve the request; see [`PlanError`].
pub fn plan(input: &PlanInput, draws: [u64; DRAWS]) -> Result<Plan, PlanError> {
    if let Some(session) = &input.session {
        return steps::pinned(input, session);
    }
    let steps = steps::usable(input, draws[ROLLOUT_DRAW])?;
    let priced: Vec<_> = steps.iter().map(|s| s.priced(input)).collect();
    let terms = cost::Terms::of(input);
    let (chosen, reason) = if input.streamed {
        cost::stream_start(&priced, &terms)
    } else if steps.len() > 1 && hits(draws[EXPLORE_DRAW], input.explore) {
        // Escalations reach the last step anyway, and starting there costs most.
        let start = index(draws[START_DRAW], steps.len() - 1);
        let mask = cost::full_mask(steps.len()) & (u32::MAX << start);
        (cost::evaluate(&priced, &terms, mask), Reason::Explores)
    } else {
        let (mixture, reason) = cost::cheapest(&priced, &terms);
        let is_high = hits(draws[MIX_DRAW], Ppm::of(mixture.high_share));
        (if is_high { mixture.high } else { mixture.low }, reason)
    };
    Ok(steps::build(input, &steps, &chosen, reason))
}

/// Tells whether a draw falls into a share.
const fn hits(draw: u64, share: Ppm) -> bool {
    draw % (Ppm::ONE.0 as u64) < share.0 as u64
}

fn index(draw: u64, len: usize) -> usize {
    let len = u64::try_from(len).unwrap_or(1).max(1);
    usize::try_from(draw % len).unwrap_or(0)
}
