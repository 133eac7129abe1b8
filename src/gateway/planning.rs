//! Builds the planner input of a request; pure except for `collect`.

use super::chat::Chat;
use super::shared::Shared;
use crate::follower::InForce;
use crate::ids::{ClassId, VersionRef};
use crate::rating::{Estimate, Ppm, Reach};
use crate::record::RequestedTarget;
use crate::refusal::{Code, Refusal};
use crate::route::PlanInput;
use crate::route::plan::{CandidateInput, EXPLORE_SHARE, RolloutInput};
use crate::sheet::{Account, Rollout, Sheet, Version, VersionState};
use crate::units::{Millis, Permille, Tokens};

/// Class name of requests that name a model version instead of a class.
pub(super) const DIRECT_CLASS: &str = "direct";

/// Deadline of requests that name a model version instead of a class.
const DIRECT_DEADLINE: Millis = Millis::from_secs(120);

/// Class, deadline and planner input of a request.
#[derive(Debug)]
pub struct Planning {
    /// Class of the request.
    pub class: ClassId,
    /// Time allowed from the arrival of the request to the end of the answer.
    pub deadline: Millis,
    /// Input of the planner.
    pub input: PlanInput,
}

/// Properties of a request that its plan depends on.
#[derive(Debug)]
pub struct RequestTraits<'a> {
    /// Class, version or service that the caller requested.
    pub asked: &'a RequestedTarget,
    /// Version that the caller's session is pinned to.
    pub session: Option<VersionRef>,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Tokens that the request is expected to use.
    pub expected_tokens: Tokens,
}

/// Functions that look up a gateway's runtime data on classes and versions; the sheet has their configuration.
#[expect(
    missing_debug_implementations,
    reason = "closures do not implement `Debug`"
)]
pub struct RuntimeData<'a> {
    /// Quality that plans of a class aim at, given its quality target.
    pub aim: &'a dyn Fn(&ClassId, Permille) -> Ppm,
    /// Share of a class's ratings that arrive in time.
    pub rated_in_time: &'a dyn Fn(&ClassId) -> Ppm,
    /// Estimated pass rate of a version in a class.
    pub estimate: &'a dyn Fn(&ClassId, &VersionRef, Reach) -> Estimate,
    /// Current traffic share of a version that is being rolled out.
    pub share: &'a dyn Fn(&VersionRef, &Rollout) -> Permille,
    /// Whether any upstream can receive requests for a version now.
    pub routable: &'a dyn Fn(&VersionRef) -> bool,
}

/// Builds the planner input of a request from the current state of the gateway.
///
/// # Errors
/// A refusal if the request names a service, a class that does not exist, or a version that the account may not
/// use.
pub(super) fn collect(
    shared: &Shared,
    in_force: &InForce,
    account: &Account,
    chat: &Chat,
    session: Option<VersionRef>,
) -> Result<Planning, Refusal> {
    let (unix, now) = (shared.clock.unix(), shared.clock.now());
    let quality = shared.quality.borrow();
    let traits = RequestTraits {
        asked: &chat.asked,
        session,
        streamed: chat.streamed,
        expected_tokens: chat.expected_tokens,
    };
    let runtime = RuntimeData {
        aim: &|class, target| quality.table.aim(class, target),
        // Without a rating service, no rating arrives in time.
        rated_in_time: &|class| match shared.rating {
            Some(_) => quality.table.rated_in_time(class),
            None => Ppm(0),
        },
        estimate: &|class, version, reach| quality.table.estimate(class, version, reach, unix),
        share: &|version, rollout| shared.rollouts.borrow().share(version, rollout),
        routable: &|version| shared.links.borrow().is_routable(in_force, version, now),
    };
    build_input(&in_force.sheet, account, &traits, &runtime)
}

/// Builds the planner input of a request from the sheet and the gateway's runtime data.
///
/// # Errors
/// A refusal if the request names a service, a class that does not exist, or a version that the account may not
/// use.
pub fn build_input(
    sheet: &Sheet,
    account: &Account,
    traits: &RequestTraits<'_>,
    runtime: &RuntimeData<'_>,
) -> Result<Planning, Refusal> {
    let (class, quality_target, deadline, cascade) = match traits.asked {
        RequestedTarget::Class(id) => class_params(sheet, id)?,
        RequestedTarget::Version(version) => {
            let cascade = vec![version.clone()];
            (DIRECT_CLASS.into(), Permille(0), DIRECT_DEADLINE, cascade)
        }
        RequestedTarget::Service(id) => {
            let message = format!("service {id} answers no chat completions");
            return Err(Refusal::not_run(Code::BadRequest, message));
        }
    };
    if let RequestedTarget::Version(version) = traits.asked
        && account.allow.binary_search(version).is_err()
    {
        let message = format!("account {} may not use {version}", account.id);
        return Err(Refusal::not_run(Code::Forbidden, message));
    }
    let candidates = candidates(sheet, &class, &cascade, traits.session.as_ref(), runtime);
    let input = PlanInput {
        allow: account.allow.clone(),
        class: class.clone(),
        aim: (runtime.aim)(&class, quality_target),
        quality_target,
        cascade,
        session: traits.session.clone(),
        streamed: traits.streamed,
        expected_tokens: traits.expected_tokens,
        rated_in_time: (runtime.rated_in_time)(&class),
        explore: EXPLORE_SHARE,
        candidates,
    };
    Ok(Planning {
        class,
        deadline,
        input,
    })
}

type ClassParams = (ClassId, Permille, Millis, Vec<VersionRef>);

fn class_params(sheet: &Sheet, id: &ClassId) -> Result<ClassParams, Refusal> {
    let missing = || Refusal::not_run(Code::NotFound, format!("class {id} does not exist"));
    let class = sheet.class(id).ok_or_else(missing)?;
    let cascade = sheet.cascade(&class.cascade).ok_or_else(missing)?;
    Ok((
        id.clone(),
        class.quality_target,
        class.deadline,
        cascade.steps.clone(),
    ))
}

/// Returns the versions that the planner can choose from or must explain, sorted.
fn candidates(
    sheet: &Sheet,
    class: &ClassId,
    cascade: &[VersionRef],
    session: Option<&VersionRef>,
    runtime: &RuntimeData<'_>,
) -> Vec<CandidateInput> {
    let mut found = Vec::new();
    for model in &sheet.models {
        for version in &model.versions {
            let id = VersionRef {
                model: model.id.clone(),
                version: version.id.clone(),
            };
            let is_replacement_of = |step: &VersionRef| {
                let rollout = version.rollout.as_ref();
                step.model == model.id && rollout.is_some_and(|r| r.replaces == step.version)
            };
            let is_relevant = cascade.contains(&id)
                || session == Some(&id)
                || cascade.iter().any(is_replacement_of);
            if is_relevant {
                found.push(candidate(class, id, version, runtime));
            }
        }
    }
    found
}

fn candidate(
    class: &ClassId,
    id: VersionRef,
    version: &Version,
    runtime: &RuntimeData<'_>,
) -> CandidateInput {
    let estimate = |reach| (runtime.estimate)(class, &id, reach);
    let rollout = version
        .rollout
        .as_ref()
        .filter(|_| version.state == VersionState::Serving);
    CandidateInput {
        state: version.state,
        cost_per_1k: version.cost_per_1k,
        first: estimate(Reach::First),
        escalated: estimate(Reach::Escalated),
        rollout: rollout.map(|rollout| RolloutInput {
            replaces: rollout.replaces.clone(),
            share: (runtime.share)(&id, rollout),
        }),
        routable: (runtime.routable)(&id),
        version: id,
    }
}
