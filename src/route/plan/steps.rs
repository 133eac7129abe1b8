//! The steps of a cascade that a request may use, and the verdicts on all versions.

use super::cost::{EvaluatedPlan, PlanParams, StepEstimates};
use super::{
    Accept, Candidate, CandidateInput, MAX_STEPS, Plan, PlanError, PlanInput, PlanStep, Reason,
    Verdict, falls_within,
};
use crate::ids::VersionRef;
use crate::rating::Ppm;
use crate::sheet::VersionState;
use crate::units::Micros;

/// A step of the cascade that a request may use.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsableStep<'a> {
    /// The version that runs: the stable one, or the one that is being rolled out to replace it.
    pub runs: &'a CandidateInput,
    /// The stable version, whose estimates the plan is made with.
    pub estimate_source: &'a CandidateInput,
}

impl UsableStep<'_> {
    pub(super) fn estimates(&self, input: &PlanInput) -> StepEstimates {
        let cost = self.estimate_source.cost_per_1k;
        let cost = cost.for_tokens(input.expected_tokens);
        let CandidateInput {
            first, escalated, ..
        } = *self.estimate_source;
        // Requests on which an earlier step failed are harder, so a version passes other requests at least as
        // often. The higher bound is used because few requests start at the last step and its first-step estimate
        // rests on few ratings.
        let is_escalated_higher = escalated.lower > first.lower;
        StepEstimates {
            cost: to_f64(cost),
            first: if is_escalated_higher {
                escalated
            } else {
                first
            },
            escalated,
        }
    }

    fn is_rollout(&self) -> bool {
        self.runs.version != self.estimate_source.version
    }
}

/// Returns the plan of a request whose session is pinned to a version.
pub(super) fn session_plan(input: &PlanInput, session: &VersionRef) -> Result<Plan, PlanError> {
    let known = input.candidates.iter().find(|c| c.version == *session);
    let Some(candidate) = known.filter(|c| c.state != VersionState::Withdrawn) else {
        return Err(PlanError::SessionVersionWithdrawn(session.clone()));
    };
    if !input.allow.contains(session) {
        return Err(PlanError::SessionVersionNotAllowed(session.clone()));
    }
    if !candidate.routable {
        return Err(PlanError::SessionVersionNotRoutable(session.clone()));
    }
    let verdict = |c: &CandidateInput| match exclusion(input, c) {
        _ if c.version == *session => Verdict::Chosen(Reason::SessionPinned),
        Some(verdict) => verdict,
        None => Verdict::SessionPinnedElsewhere,
    };
    Ok(Plan {
        steps: vec![PlanStep {
            version: session.clone(),
            accept: Accept::Final,
            first: candidate.first.lower,
            escalated: candidate.escalated.lower,
        }],
        expected_cost: candidate.cost_per_1k.for_tokens(input.expected_tokens),
        expected_quality: candidate.first.lower,
        considered: verdicts(input, verdict),
    })
}

/// Returns the steps of the cascade that a request without a session may use, in order.
pub(super) fn usable_steps(input: &PlanInput, draw: u64) -> Result<Vec<UsableStep<'_>>, PlanError> {
    let mut steps = Vec::new();
    let mut allowed = false;
    for version in &input.cascade {
        let Some(stable) = input.candidates.iter().find(|c| c.version == *version) else {
            continue;
        };
        let successor = successor(input, stable, draw);
        let options = successor.into_iter().chain([stable]);
        allowed |= options.clone().any(|c| input.allow.contains(&c.version));
        let runs = options.clone().find(|c| {
            exclusion(input, c).is_none() && (c.rollout.is_none() || c.version != *version)
        });
        if let Some(runs) = runs {
            steps.push(UsableStep {
                runs,
                estimate_source: stable,
            });
        }
    }
    steps.truncate(MAX_STEPS);
    match (steps.is_empty(), allowed) {
        (false, _) => Ok(steps),
        (true, true) => Err(PlanError::NothingRoutable),
        (true, false) => Err(PlanError::NoAllowedVersion),
    }
}

/// Returns the version being rolled out that replaces a stable one for this request, if the draw falls within its
/// share.
///
/// Several roll-outs that replace the same stable version use adjacent ranges of the draw.
fn successor<'a>(
    input: &'a PlanInput,
    stable: &CandidateInput,
    draw: u64,
) -> Option<&'a CandidateInput> {
    let mut cumulative_share = 0;
    for candidate in &input.candidates {
        let Some(rollout) = &candidate.rollout else {
            continue;
        };
        let replaces = candidate.version.model == stable.version.model
            && rollout.replaces == stable.version.version;
        if replaces {
            cumulative_share =
                (cumulative_share + u32::from(rollout.share.0) * 1_000).min(Ppm::ONE.0);
            if falls_within(draw, Ppm(cumulative_share)) {
                return Some(candidate);
            }
        }
    }
    None
}

/// Returns why a version may not serve a request without a session; `None` if it may.
fn exclusion(input: &PlanInput, candidate: &CandidateInput) -> Option<Verdict> {
    if !input.allow.contains(&candidate.version) {
        return Some(Verdict::NotAllowed);
    }
    match candidate.state {
        VersionState::Withdrawn => Some(Verdict::Withdrawn),
        VersionState::Draining => Some(Verdict::DrainingWithoutSession),
        VersionState::Serving if !candidate.routable => Some(Verdict::NoLiveUpstream),
        VersionState::Serving => None,
    }
}

/// Builds the plan from the chosen steps, with a verdict on every version.
pub(super) fn build(
    input: &PlanInput,
    usable: &[UsableStep<'_>],
    evaluated: &EvaluatedPlan,
    reason: Reason,
) -> Plan {
    let params = PlanParams::of(input);
    let last = evaluated.mask.ilog2() as usize;
    let chosen = (0..usable.len()).filter(|at| evaluated.mask & (1 << at) != 0);
    let steps = chosen.map(|at| {
        let estimates = usable[at].estimates(input);
        PlanStep {
            version: usable[at].runs.version.clone(),
            accept: match reason {
                _ if at == last => Accept::Final,
                Reason::Baseline => Accept::IfRatedPass,
                _ => params.accept(&estimates),
            },
            first: estimates.first.lower,
            escalated: estimates.escalated.lower,
        }
    });
    let verdict = |c: &CandidateInput| {
        let excluded = exclusion(input, c);
        excluded.unwrap_or_else(|| usable_verdict(input, usable, evaluated.mask, reason, c))
    };
    Plan {
        steps: steps.collect(),
        expected_cost: to_micros(evaluated.cost),
        expected_quality: Ppm::from_fraction(evaluated.quality),
        considered: verdicts(input, verdict),
    }
}

/// Returns the verdict on a version that may serve the request.
fn usable_verdict(
    input: &PlanInput,
    usable: &[UsableStep<'_>],
    mask: u32,
    reason: Reason,
    candidate: &CandidateInput,
) -> Verdict {
    let runs = usable
        .iter()
        .position(|s| s.runs.version == candidate.version);
    let Some(at) = runs else {
        return unused_verdict(usable, candidate);
    };
    if mask & (1 << at) != 0 {
        return Verdict::Chosen(if usable[at].is_rollout() {
            Reason::RolloutShare
        } else {
            reason
        });
    }
    match reason {
        Reason::Explores => Verdict::Unexplored,
        Reason::FirstAtTarget if at > mask.ilog2() as usize => Verdict::LaterThanStreamStart,
        _ if usable[at].estimate_source.first.lower.fraction()
            >= input.quality_target.fraction() =>
        {
            Verdict::OverCost
        }
        _ => Verdict::BelowTarget,
    }
}

/// Returns why a version that may serve the request is not among the usable steps.
fn unused_verdict(usable: &[UsableStep<'_>], candidate: &CandidateInput) -> Verdict {
    let replaced = usable
        .iter()
        .any(|s| s.estimate_source.version == candidate.version);
    if replaced {
        Verdict::ReplacedByRollout
    } else if candidate.rollout.is_some() {
        Verdict::OutsideRolloutShare
    } else {
        Verdict::NotInCascade
    }
}

fn verdicts(input: &PlanInput, verdict: impl Fn(&CandidateInput) -> Verdict) -> Vec<Candidate> {
    let one = |c: &CandidateInput| Candidate {
        version: c.version.clone(),
        verdict: verdict(c),
    };
    input.candidates.iter().map(one).collect()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the cost of one request is far below 2^53 micros"
)]
const fn to_f64(cost: Micros) -> f64 {
    cost.0 as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates and costs are not negative"
)]
const fn to_micros(cost: f64) -> Micros {
    Micros(cost.ceil() as u64)
}
