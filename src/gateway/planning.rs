//! Collects what a plan depends on.

use super::chat::Chat;
use super::shared::Shared;
use crate::follower::InForce;
use crate::ids::{ClassId, VersionRef};
use crate::rating::{Ppm, Reach};
use crate::record::Asked;
use crate::refusal::{Code, Refusal};
use crate::route::PlanInput;
use crate::route::plan::{CandidateInput, EXPLORE, RolloutInput};
use crate::sheet::{Account, Sheet, Version, VersionState};
use crate::units::{Millis, Permille};

/// Class name of requests that ask for one version.
const DIRECT: &str = "direct";

/// Deadline of requests that ask for one version.
const DIRECT_DEADLINE: Millis = Millis::from_secs(120);

/// Class, deadline and plan input of a request.
#[derive(Debug)]
pub(super) struct Planning {
    pub class: ClassId,
    pub deadline: Millis,
    pub input: PlanInput,
}

/// Collects what the plan of a request depends on.
///
/// # Errors
/// A refusal if the account may not use the version that the request names.
pub(super) fn collect(
    shared: &Shared,
    in_force: &InForce,
    account: &Account,
    chat: &Chat,
    session: Option<VersionRef>,
) -> Result<Planning, Refusal> {
    let sheet = &in_force.sheet;
    let (class, quality_target, deadline, cascade) = match &chat.asked {
        Asked::Class(id) => of_class(sheet, id)?,
        Asked::Version(version) => {
            let cascade = vec![version.clone()];
            (DIRECT.into(), Permille(0), DIRECT_DEADLINE, cascade)
        }
        Asked::Service(id) => {
            let why = format!("service {id} answers no chat completions");
            return Err(Refusal::not_run(Code::BadRequest, why));
        }
    };
    if let Asked::Version(version) = &chat.asked
        && account.allow.binary_search(version).is_err()
    {
        let why = format!("account {} may not use {version}", account.id);
        return Err(Refusal::not_run(Code::Forbidden, why));
    }
    let candidates = candidates(shared, in_force, &class, &cascade, session.as_ref());
    let input = PlanInput {
        allow: account.allow.clone(),
        class: class.clone(),
        aim: shared.quality.borrow().table.aim(&class, quality_target),
        quality_target,
        cascade,
        session,
        streamed: chat.streamed,
        expected_tokens: chat.expected_tokens,
        rated_in_time: rated_in_time(shared, &class),
        explore: EXPLORE,
        candidates,
    };
    Ok(Planning {
        class,
        deadline,
        input,
    })
}

type ClassFacts = (ClassId, Permille, Millis, Vec<VersionRef>);

fn of_class(sheet: &Sheet, id: &ClassId) -> Result<ClassFacts, Refusal> {
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

/// Without a rating service no rating will come in time.
fn rated_in_time(shared: &Shared, class: &ClassId) -> Ppm {
    match shared.rating {
        Some(_) => shared.quality.borrow().table.rated_in_time(class),
        None => Ppm(0),
    }
}

/// Returns the versions that a plan can choose from or has to explain, sorted.
fn candidates(
    shared: &Shared,
    in_force: &InForce,
    class: &ClassId,
    cascade: &[VersionRef],
    session: Option<&VersionRef>,
) -> Vec<CandidateInput> {
    let mut found = Vec::new();
    for model in &in_force.sheet.models {
        for version in &model.versions {
            let id = VersionRef {
                model: model.id.clone(),
                version: version.id.clone(),
            };
            let replaces = |step: &VersionRef| {
                let rollout = version.rollout.as_ref();
                step.model == model.id && rollout.is_some_and(|r| r.replaces == step.version)
            };
            let matters =
                cascade.contains(&id) || session == Some(&id) || cascade.iter().any(replaces);
            if matters {
                found.push(candidate(shared, in_force, class, id, version));
            }
        }
    }
    found
}

fn candidate(
    shared: &Shared,
    in_force: &InForce,
    class: &ClassId,
    id: VersionRef,
    version: &Version,
) -> CandidateInput {
    let (unix, now) = (shared.clock.unix(), shared.clock.now());
    let quality = shared.quality.borrow();
    let estimate = |reach| quality.table.estimate(class, &id, reach, unix);
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
            share: shared.rollouts.borrow().share(&id, rollout),
        }),
        routable: shared.links.borrow().is_routable(in_force, &id, now),
        version: id,
    }
}
