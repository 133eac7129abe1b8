//! Roll-outs: reports this gateway's evidence, and advances them while it holds the fleet duty.
//!
//! Each gateway writes its own counts. The gateway that holds the duty aggregates them and replaces the state
//! by compare-and-swap, so that a holder that was paused cannot undo a newer step. During an outage of the
//! key-value service, every gateway keeps the share that it read last.

use super::shared::Shared;
use crate::follower::InForce;
use crate::ids::{Incarnation, VersionRef};
use crate::kv::{Change, Compare, KvError, TxnOutcome};
use crate::rollout::{Evidence, Observation, Phase, RolloutGuard};
use crate::sheet::{Rollout, VersionState};
use crate::units::{Millis, Permille};

/// Time between two exchanges with the key-value service.
const EXCHANGE_INTERVAL: Millis = Millis::from_secs(1);

/// This gateway's view of one roll-out.
#[derive(Debug)]
struct RolloutView {
    version: VersionRef,
    evidence: Evidence,
    /// Evidence as last written to the key-value service.
    written: Option<Evidence>,
    share: Permille,
    stopped: bool,
}

/// This gateway's view of all roll-outs, sorted by version.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    views: Vec<RolloutView>,
    next_exchange: Millis,
}

impl Rollouts {
    fn find(&self, version: &VersionRef) -> Result<usize, usize> {
        self.views
            .binary_search_by(|view| view.version.cmp(version))
    }

    fn view_mut(&mut self, version: &VersionRef, source: Incarnation) -> &mut RolloutView {
        let at = self.find(version).unwrap_or_else(|at| {
            let view = RolloutView {
                version: version.clone(),
                evidence: Evidence::new(source),
                written: None,
                share: Permille(0),
                stopped: false,
            };
            self.views.insert(at, view);
            at
        });
        &mut self.views[at]
    }

    /// Returns the share of the stable version's requests that goes to a version now.
    pub fn share(&self, version: &VersionRef, rollout: &Rollout) -> Permille {
        let share = self
            .find(version)
            .map_or(Permille(0), |at| self.views[at].share);
        share.min(rollout.max_share)
    }

    /// Returns each roll-out with its share and whether it was stopped.
    pub fn iter(&self) -> impl Iterator<Item = (&VersionRef, Permille, bool)> {
        self.views
            .iter()
            .map(|view| (&view.version, view.share, view.stopped))
    }
}

/// Returns the versions that are being rolled out.
fn rolled_out(in_force: &InForce) -> Vec<(VersionRef, &Rollout)> {
    let models = in_force.sheet.models.iter();
    let versions = models.flat_map(|model| model.versions.iter().map(move |v| (model, v)));
    versions
        .filter(|(_, version)| version.state == VersionState::Serving)
        .filter_map(|(model, version)| {
            let id = VersionRef {
                model: model.id.clone(),
                version: version.id.clone(),
            };
            Some((id, version.rollout.as_ref()?))
        })
        .collect()
}

/// Counts an observation of a version in the evidence of each roll-out that the version takes part in.
pub(super) fn observe(
    shared: &Shared,
    in_force: &InForce,
    version: &VersionRef,
    observation: Observation,
) {
    for (new, rollout) in rolled_out(in_force) {
        let is_stable = new.model == version.model && rollout.replaces == version.version;
        if new != *version && !is_stable {
            continue;
        }
        let mut rollouts = shared.rollouts.borrow_mut();
        let evidence = &mut rollouts.view_mut(&new, shared.incarnation).evidence;
        if is_stable {
            evidence.stable.observe(observation);
        } else {
            evidence.new.observe(observation);
        }
    }
}

/// Exchanges evidence and state with the key-value service if an exchange is due.
pub(super) async fn step(shared: &Shared) {
    let now = shared.clock.now();
    let Some(in_force) = shared.follower.in_force() else {
        return;
    };
    if now < shared.rollouts.borrow().next_exchange {
        return;
    }
    shared.rollouts.borrow_mut().next_exchange = now + EXCHANGE_INTERVAL;
    for (version, rollout) in rolled_out(&in_force) {
        if let Err(error) = exchange(shared, &in_force, &version, rollout).await {
            log::debug!(event = "rollout_exchange_failed", version:% = version, error:% = error; "");
            return;
        }
    }
}

async fn exchange(
    shared: &Shared,
    in_force: &InForce,
    version: &VersionRef,
    rollout: &Rollout,
) -> Result<(), KvError> {
    write_evidence(shared, version).await?;
    let now = shared.clock.now();
    let has_duty = shared.presence.borrow().fence(now).is_some();
    let guard = if has_duty {
        advance(shared, in_force, version, rollout).await?
    } else {
        read_state(shared, version).await?.map(|(guard, _)| guard)
    };
    if let Some(guard) = guard {
        take(shared, &guard);
    }
    Ok(())
}

async fn write_evidence(shared: &Shared, version: &VersionRef) -> Result<(), KvError> {
    let evidence = {
        let mut rollouts = shared.rollouts.borrow_mut();
        let view = rollouts.view_mut(version, shared.incarnation);
        if view.written == Some(view.evidence) {
            return Ok(());
        }
        view.evidence
    };
    let key = format!("{}{}", evidence_prefix(version), shared.incarnation);
    let value = serde_json::to_vec(&evidence).unwrap_or_default().into();
    // The state retains aggregated evidence, so a report may expire with the lease of its gateway.
    let lease = shared.presence.borrow().lease();
    let put = Change::Put { key, value, lease };
    shared.kv.txn(Vec::new(), vec![put]).await?;
    shared
        .rollouts
        .borrow_mut()
        .view_mut(version, shared.incarnation)
        .written = Some(evidence);
    Ok(())
}

/// Aggregates the evidence of all gateways and replaces the state.
async fn advance(
    shared: &Shared,
    in_force: &InForce,
    version: &VersionRef,
    rollout: &Rollout,
) -> Result<Option<RolloutGuard>, KvError> {
    let now = shared.clock.unix();
    let stored = read_state(shared, version).await?;
    let (mut guard, condition) = if let Some((guard, revision)) = stored {
        (guard, Compare::ModRevision(state_key(version), revision))
    } else {
        let weight = in_force.sheet.policy.exposure_weight;
        let guard = RolloutGuard::new(version.clone(), rollout.max_share, weight, now);
        (guard, Compare::Absent(state_key(version)))
    };
    let entries = shared.kv.list(&evidence_prefix(version)).await?;
    let reports: Vec<Evidence> = entries
        .iter()
        .filter_map(|e| serde_json::from_slice(&e.value).ok())
        .collect();
    guard.update(&reports, now);
    let value = serde_json::to_vec(&guard).unwrap_or_default();
    let change = Change::put(state_key(version), value);
    match shared.kv.txn(vec![condition], vec![change]).await? {
        TxnOutcome::Applied(_) => Ok(Some(guard)),
        // Another gateway has replaced the state first; its state is read in the next exchange.
        TxnOutcome::Conflict => Ok(None),
    }
}

async fn read_state(
    shared: &Shared,
    version: &VersionRef,
) -> Result<Option<(RolloutGuard, u64)>, KvError> {
    let entry = shared.kv.get(&state_key(version)).await?;
    Ok(entry.and_then(|entry| {
        let guard = serde_json::from_slice(&entry.value).ok()?;
        Some((guard, entry.mod_revision))
    }))
}

/// Applies a state that was read or written to the view of its roll-out.
fn take(shared: &Shared, guard: &RolloutGuard) {
    let mut rollouts = shared.rollouts.borrow_mut();
    let view = rollouts.view_mut(&guard.version, shared.incarnation);
    let (version, share) = (&guard.version, guard.share());
    if view.share != share {
        log::info!(event = "rollout_share", version:% = version, permille = share.0; "");
    }
    if let Phase::Stopped(reason) = guard.phase()
        && !view.stopped
    {
        shared.metrics.count_event("rollouts_stopped");
        log::warn!(event = "rollout_stopped", version:% = version, reason:% = reason; "");
    }
    view.share = share;
    view.stopped = matches!(guard.phase(), Phase::Stopped(_));
}

fn state_key(version: &VersionRef) -> String {
    format!("/fireflywind/rollout/{version}/state")
}

fn evidence_prefix(version: &VersionRef) -> String {
    format!("/fireflywind/rollout/{version}/evidence/")
}
