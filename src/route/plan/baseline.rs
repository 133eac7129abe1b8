//! Simple policies for the choice of versions, as baselines of the experiments.

use serde::{Deserialize, Serialize};

use super::cost::{self, PlanParams};
use super::{DRAWS, Plan, PlanError, PlanInput, ROLLOUT_DRAW, Reason, steps};

/// A policy that chooses versions without estimates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Baseline {
    /// Only the last usable step of the cascade.
    AlwaysBest,
    /// The first usable step, then the last one unless the first answer is rated good.
    CheapestFirst,
    /// All usable steps in order.
    PlainCascade,
}

/// Chooses versions without estimates, under the same access, state and session rules as [`plan`](super::plan).
///
/// # Errors
///
/// Returns an error if no version may serve the request; see [`PlanError`].
pub fn baseline(kind: Baseline, input: &PlanInput, draws: [u64; DRAWS]) -> Result<Plan, PlanError> {
    if let Some(session) = &input.session {
        return steps::session_plan(input, session);
    }
    let usable = steps::usable_steps(input, draws[ROLLOUT_DRAW])?;
    let estimates: Vec<_> = usable.iter().map(|s| s.estimates(input)).collect();
    let last = 1 << (usable.len() - 1);
    let mask = match kind {
        Baseline::AlwaysBest => last,
        Baseline::CheapestFirst | Baseline::PlainCascade if input.streamed => 1,
        Baseline::CheapestFirst => 1 | last,
        Baseline::PlainCascade => cost::full_mask(usable.len()),
    };
    let evaluated = cost::evaluate(&estimates, &PlanParams::of(input), mask);
    Ok(steps::build(input, &usable, &evaluated, Reason::Baseline))
}
