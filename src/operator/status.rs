//! A summary of the configuration in force.

use serde::Serialize;

use super::read::InForce;
use crate::ids::{VersionId, VersionRef};
use crate::sheet::digest::ApplyId;
use crate::sheet::{Sheet, Version, VersionState};
use crate::units::Permille;

/// A summary of the configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Status {
    /// The revision in force.
    pub revision: u64,
    /// ID of the apply that created it.
    pub apply_id: ApplyId,
    /// Number of client accounts.
    pub accounts: usize,
    /// Number of versions over all models.
    pub versions: usize,
    /// Number of request classes.
    pub classes: usize,
    /// Number of plain services.
    pub services: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Versions that take only requests of their existing sessions.
    pub draining: Vec<VersionRef>,
    /// Versions that take no new request.
    pub withdrawn: Vec<VersionRef>,
    /// Versions that are being rolled out.
    pub rollouts: Vec<RolloutStatus>,
}

/// A version that is being rolled out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutStatus {
    /// The new version.
    pub version: VersionRef,
    /// The stable version that it replaces.
    pub replaces: VersionId,
    /// Largest share of the stable version's requests, in permille.
    pub max_share: Permille,
}

/// Summarises the configuration in force.
#[must_use]
pub fn status(in_force: &InForce) -> Status {
    let sheet = &in_force.sheet;
    Status {
        revision: in_force.root.revision,
        apply_id: in_force.root.apply_id,
        accounts: sheet.accounts.len(),
        versions: versions(sheet).count(),
        classes: sheet.classes.len(),
        services: sheet.services.len(),
        upstreams: sheet.upstreams.len(),
        draining: in_state(sheet, VersionState::Draining),
        withdrawn: in_state(sheet, VersionState::Withdrawn),
        rollouts: versions(sheet).filter_map(rollout).collect(),
    }
}

fn versions(sheet: &Sheet) -> impl Iterator<Item = (VersionRef, &Version)> {
    sheet.models.iter().flat_map(|model| {
        model.versions.iter().map(|version| {
            let reference = VersionRef {
                model: model.id.clone(),
                version: version.id.clone(),
            };
            (reference, version)
        })
    })
}

fn in_state(sheet: &Sheet, state: VersionState) -> Vec<VersionRef> {
    versions(sheet)
        .filter(|(_, version)| version.state == state)
        .map(|(reference, _)| reference)
        .collect()
}

fn rollout((reference, version): (VersionRef, &Version)) -> Option<RolloutStatus> {
    let rollout = version.rollout.as_ref()?;
    Some(RolloutStatus {
        version: reference,
        replaces: rollout.replaces.clone(),
        max_share: rollout.max_share,
    })
}
