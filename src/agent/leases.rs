//! Leases that end with the idempotency records that are bound to them.
//!
//! An agent starts a new lease every ten minutes and binds the records of that time to it, so the key-value
//! service removes them by itself and holds few leases.

use crate::idempotency::MAX_AHEAD;
use crate::kv::{KvError, LeaseId};
use crate::units::Millis;

use super::shared::Shared;

/// Time for which records are bound to the same lease.
const SPAN: Millis = Millis::from_secs(600);

/// Longest time from the choice of a lease to the end of the call that writes its record last.
const CALL: Millis = Millis::from_secs(600);

/// The lease of new records.
#[derive(Debug, Clone, Copy)]
pub(super) struct RecordLease {
    id: LeaseId,
    until: Millis,
}

/// Returns how long a lease has to last, so that a record outlives the validity of its key.
const fn ttl(lifetime: Millis) -> Millis {
    Millis(lifetime.0 + MAX_AHEAD.0 + SPAN.0 + CALL.0)
}

/// Returns the lease of the present time span.
///
/// # Errors
/// [`KvError`] if a new lease is due and the service gave none; no record was written then.
pub(super) async fn current(shared: &Shared, lifetime: Millis) -> Result<LeaseId, KvError> {
    let now = shared.clock.now();
    if let Some(lease) = shared.record_lease.get()
        && now < lease.until
    {
        return Ok(lease.id);
    }
    // A lease whose answer is lost stays unused and ends by itself.
    let id = shared.kv.grant(ttl(lifetime)).await.map_err(no_effect)?;
    shared.record_lease.set(Some(RecordLease {
        id,
        until: now + SPAN,
    }));
    Ok(id)
}

/// Gives up a lease that the service no longer knows.
pub(super) fn forget(shared: &Shared) {
    shared.record_lease.set(None);
}

/// A lost answer of the grant leaves the record as it was.
fn no_effect(error: KvError) -> KvError {
    match error {
        KvError::AnswerLost(why) => KvError::Unreachable(why),
        other => other,
    }
}
