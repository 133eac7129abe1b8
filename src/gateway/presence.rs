//! The gateway's lease, to which its entry in the list of gateways and the fleet duty are bound. One gateway
//! holds the duty at a time.

use std::cell::Cell;

use crate::fencing::{self, FLEET_DUTY, Fence, Holder};
use crate::ids::Incarnation;
use crate::kv::{Change, KeyValue, KvError, LeaseId, TxnOutcome};
use crate::units::Millis;

use super::shared::Shared;

/// Time after which the lease of a gateway expires unless it is renewed.
const LEASE_TTL: Millis = Millis::from_secs(10);

/// Time between two renewals; the lease outlasts two lost ones.
const RENEWAL_INTERVAL: Millis = Millis::from_secs(3);

/// Key prefix of the entries of live gateways, followed by the gateway's incarnation.
const GATEWAY_PREFIX: &str = "/fireflywind/gateway/";

/// The gateway's lease and duty in the key-value service.
#[derive(Debug)]
pub(super) struct Presence {
    lease: Option<LeaseId>,
    next_renewal: Millis,
    holder: Holder,
    /// Number of live gateways, this one included; the last known one during an outage.
    pub gateways: Cell<u32>,
}

impl Default for Presence {
    fn default() -> Self {
        Self::new()
    }
}

impl Presence {
    pub const fn new() -> Self {
        Self {
            lease: None,
            next_renewal: Millis(0),
            holder: Holder::new(LEASE_TTL),
            gateways: Cell::new(1),
        }
    }

    /// Returns the lease, if the gateway has one.
    pub const fn lease(&self) -> Option<LeaseId> {
        self.lease
    }

    /// Returns the fencing token if this gateway holds the duty now.
    pub fn fence(&self, now: Millis) -> Option<Fence> {
        self.holder.fence(now)
    }
}

/// Renews the lease if a renewal is due; claims the duty if no gateway holds it.
pub(super) async fn step(shared: &Shared) {
    let now = shared.clock.now();
    let lease = {
        let mut presence = shared.presence.borrow_mut();
        if now < presence.next_renewal {
            return;
        }
        presence.next_renewal = now + RENEWAL_INTERVAL;
        presence.lease
    };
    let renewed = match lease {
        Some(lease) => renew(shared, lease, now).await,
        None => register(shared, now).await,
    };
    if let Err(error) = renewed {
        log::debug!(event = "lease_failed", error:% = error; "");
        if error == KvError::LeaseGone {
            let mut presence = shared.presence.borrow_mut();
            presence.lease = None;
            presence.holder.lost();
            presence.next_renewal = now;
        }
    }
}

async fn renew(shared: &Shared, lease: LeaseId, requested_at: Millis) -> Result<(), KvError> {
    shared.kv.keep_alive(lease).await?;
    let held = {
        let mut presence = shared.presence.borrow_mut();
        presence.holder.renewed(requested_at);
        presence.holder.fence(shared.clock.now()).is_some()
    };
    if !held {
        claim(shared, lease, requested_at).await?;
    }
    update_gateway_count(shared).await
}

async fn register(shared: &Shared, requested_at: Millis) -> Result<(), KvError> {
    let lease = shared.kv.grant(LEASE_TTL).await?;
    let key = format!("{GATEWAY_PREFIX}{}", shared.incarnation);
    let value = shared.name.clone().into();
    let put = Change::Put {
        key,
        value,
        lease: Some(lease),
    };
    shared.kv.txn(Vec::new(), vec![put]).await?;
    shared.presence.borrow_mut().lease = Some(lease);
    claim(shared, lease, requested_at).await?;
    update_gateway_count(shared).await
}

/// Claims the duty; has no effect while another gateway holds it under a live lease.
async fn claim(shared: &Shared, lease: LeaseId, requested_at: Millis) -> Result<(), KvError> {
    let (conditions, changes) = fencing::claim(FLEET_DUTY, shared.incarnation, lease);
    let fence = match shared.kv.txn(conditions, changes).await {
        Ok(TxnOutcome::Applied(revision)) => Some(Fence(revision)),
        Ok(TxnOutcome::Conflict) => None,
        Err(error) if error.may_have_applied() => read_claim(shared, shared.incarnation).await?,
        Err(error) => return Err(error),
    };
    if let Some(fence) = fence {
        log::info!(event = "duty_taken", fence:% = fence; "");
        shared
            .presence
            .borrow_mut()
            .holder
            .claimed(fence, requested_at);
    }
    Ok(())
}

/// Checks whether a claim whose reply was lost took effect.
async fn read_claim(shared: &Shared, own: Incarnation) -> Result<Option<Fence>, KvError> {
    let entry = shared.kv.get(&fencing::lease_key(FLEET_DUTY)).await?;
    Ok(entry.and_then(|entry| Fence::of_claim(&entry, own)))
}

async fn update_gateway_count(shared: &Shared) -> Result<(), KvError> {
    let live = shared.kv.list(GATEWAY_PREFIX).await?.len();
    let live = u32::try_from(live).unwrap_or(u32::MAX).max(1);
    shared.presence.borrow().gateways.set(live);
    shared.limits.borrow_mut().set_gateways(live);
    Ok(())
}

/// Revokes the lease, so that another gateway can claim the duty at once.
pub(super) async fn leave(kv: &dyn KeyValue, presence: &mut Presence) {
    presence.holder.lost();
    if let Some(lease) = presence.lease.take() {
        // If the call fails, the lease expires by itself.
        let _ = kv.revoke(lease).await;
    }
}
