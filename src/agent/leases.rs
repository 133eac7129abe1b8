//! Leases in the key-value service that bound the lifetime of idempotency records.
//!
//! An agent requests a new lease every ten minutes and binds the records of that period to it. The key-value
//! service then removes expired records by itself and holds few leases.

use crate::idempotency::MAX_KEY_AHEAD;
use crate::kv::{KvError, LeaseId};
use crate::units::Millis;

use super::shared::Shared;

/// Time for which new records are bound to the same lease.
const REUSE_PERIOD: Millis = Millis::from_secs(600);

/// Maximum time from the choice of a lease to the end of the call that writes the record for the last time.
const MAX_CALL_DURATION: Millis = Millis::from_secs(600);

/// The lease that new records are bound to.
#[derive(Debug, Clone, Copy)]
pub(super) struct RecordLease {
    id: LeaseId,
    until: Millis,
}

/// Returns the time to live of a lease, so that each record outlives the validity of its key.
const fn ttl(lifetime: Millis) -> Millis {
    Millis(lifetime.0 + MAX_KEY_AHEAD.0 + REUSE_PERIOD.0 + MAX_CALL_DURATION.0)
}

/// Returns the lease of the current period; requests a new one if none is left.
///
/// # Errors
/// [`KvError`] if a new lease is due and was not granted; no record was written then.
pub(super) async fn current(shared: &Shared, lifetime: Millis) -> Result<LeaseId, KvError> {
    let now = shared.clock.now();
    if let Some(lease) = shared.record_lease.get()
        && now < lease.until
    {
        return Ok(lease.id);
    }
    // If the answer is lost, the granted lease stays unused and expires by itself.
    let id = shared
        .kv
        .grant(ttl(lifetime))
        .await
        .map_err(as_unreachable)?;
    shared.record_lease.set(Some(RecordLease {
        id,
        until: now + REUSE_PERIOD,
    }));
    Ok(id)
}

/// Drops the current lease, which no longer exists in the key-value service.
pub(super) fn forget(shared: &Shared) {
    shared.record_lease.set(None);
}

/// Turns a lost answer to the grant into [`KvError::Unreachable`]: the record is certainly unchanged.
fn as_unreachable(error: KvError) -> KvError {
    match error {
        KvError::AnswerLost(why) => KvError::Unreachable(why),
        other => other,
    }
}
