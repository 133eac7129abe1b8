//! The steps of a cascade that a request may use, and the verdicts on all versions.

use super::cost::{Choice, Priced, Terms};
use super::{
    Accept, Candidate, CandidateInput, MAX_STEPS, Plan, PlanError, PlanInput, PlanStep, Reason,
    Verdict, hits,
};
use crate::ids::VersionRef;
use crate::rating::Ppm;
use crate::sheet::VersionState;
use crate::units::Micros;

/// A step of the cascade that a request may use.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usable<'a> {
    /// The version that runs: the stable one, or the one that is being rolled out to replace it.
    pub runs: &'a CandidateInput,
    /// The stable version, whose estimates the plan is made with.
    pub stands_for: &'a CandidateInput,
}

impl Usable<'_> {
    pub(super) fn priced(&self, input: &PlanInput) -> Priced {
        let cost = self.stands_for.cost_per_1k;
        let cost = cost.for_tokens(input.expected_tokens);
        let CandidateInput {
            first, escalated, ..
        } = *self.stands_for;
        // Requests on which an earlier step failed are harder, so a version passes other requests at least as
        // often. The higher bound is used because few requests start at the last step and its first-step estimate
        // rests on few ratings.
        let harder = escalated.lower > first.lower;
        Priced {
            cost: to_f64(cost),
            first: if harder { escalated } else { first },
            escalated,
        }
    }

    fn is_rollout(&self) -> bool {
        self.runs.version != self.stands_for.version
    }
}

/// Returns the plan of a request whose session is pinned to a version.
pub(super) fn pinned(input: &PlanInput, session: &VersionRef) -> Result<Plan, PlanError> {
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
    let verdict = |c: &CandidateInput| match refusal(input, c) {
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
        considered: consider(input, verdict),
    })
}

/// Returns the steps of the cascade that a request without a session may use, in order.
pub(super) fn usable(input: &PlanInput, draw: u64) -> Result<Vec<Usable<'_>>, PlanError> {
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
            refusal(input, c).is_none() && (c.rollout.is_none() || c.version != *version)
        });
        if let Some(runs) = runs {
            steps.push(Usable {
                runs,
                stands_for: stable,
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
    let mut taken = 0;
    for candidate in &input.candidates {
        let Some(rollout) = &candidate.rollout else {
            continue;
        };
        let replaces = candidate.version.model == stable.version.model
            && rollout.replaces == stable.version.version;
        if replaces {
            taken = (taken + u32::from(rollout.share.0) * 1_000).min(Ppm::ONE.0);
            if hits(draw, Ppm(taken)) {
                return Some(candidate);
            }
        }
    }
    None
}

/// Returns why a version may not serve a request without a session; `None` if it may.
fn refusal(input: &PlanInput, candidate: &CandidateInput) -> Option<Verdict> {
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
    usable: &[Usable<'_>],
    choice: &Choice,
    reason: Reason,
) -> Plan {
    let terms = Terms::of(input);
    let last = choice.mask.ilog2() as usize;
    let chosen = (0..usable.len()).filter(|at| choice.mask & (1 << at) != 0);
    let steps = chosen.map(|at| {
        let priced = usable[at].priced(input);
        PlanStep {
            version: usable[at].runs.version.clone(),
            accept: match reason {
                _ if at == last => Accept::Final,
                Reason::Baseline => Accept::IfRatedPass,
                _ => terms.accept(&priced),
            },
            first: priced.first.lower,
            escalated: priced.escalated.lower,
        }
    });
    let verdict = |c: &CandidateInput| {
        let refused = refusal(input, c);
        refused.unwrap_or_else(|| weighed(input, usable, choice.mask, reason, c))
    };
    Plan {
        steps: steps.collect(),
        expected_cost: to_micros(choice.cost),
        expected_quality: Ppm::of(choice.quality),
        considered: consider(input, verdict),
    }
}

/// Returns the verdict on a version that may serve the request.
fn weighed(
    input: &PlanInput,
    usable: &[Usable<'_>],
    mask: u32,
    reason: Reason,
    candidate: &CandidateInput,
) -> Verdict {
    let runs = usable
        .iter()
        .position(|s| s.runs.version == candidate.version);
    let Some(at) = runs else {
        return absent(usable, candidate);
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
        _ if usable[at].stands_for.first.lower.fraction() >= input.quality_target.fraction() => {
            Verdict::OverCost
        }
        _ => Verdict::BelowTarget,
    }
}

/// Returns why a version that may serve the request is not among the usable steps.
fn absent(usable: &[Usable<'_>], candidate: &CandidateInput) -> Verdict {
    let replaced = usable
        .iter()
        .any(|s| s.stands_for.version == candidate.version);
    if replaced {
        Verdict::ReplacedByRollout
    } else if candidate.rollout.is_some() {
        Verdict::OutsideRolloutShare
    } else {
        Verdict::NotInCascade
    }
}

fn consider(input: &PlanInput, verdict: impl Fn(&CandidateInput) -> Verdict) -> Vec<Candidate> {
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
