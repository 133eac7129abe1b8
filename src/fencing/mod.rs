//! Fencing of engine orders: an agent rejects orders with a lower token than the highest that it has received.
//!
//! A duty is performed by the holder of its lease. The fencing token is the store revision at which the
//! holder claimed the duty. The claim also writes a key that outlives the lease, so that an agent that
//! starts between two holders can still read the highest token.

mod holder;
mod orders;
#[cfg(test)]
mod tests;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use holder::Holder;
pub use orders::{
    EngineOrders, HIGHEST_READ_RETRY_DELAY, MAX_QUEUED_ORDERS, ORDER_DRAIN_TIMEOUT, OrderEffect,
    OrderEnd, OrderResponse,
};

use crate::ids::Incarnation;
use crate::kv::{Change, Compare, Entry, LeaseId};

/// Duty of advancing roll-outs and sending orders to engines, which one gateway holds at a time.
pub const FLEET_DUTY: &str = "fleet";

/// A fencing token.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    /// Returns the highest token of a duty, given the entry of its [`fence_key`]; 0 without an entry.
    #[must_use]
    pub fn highest(entry: Option<&Entry>) -> Self {
        Self(entry.map_or(0, |entry| entry.mod_revision))
    }

    /// Returns the token of a claim whose answer was lost, given the entry of the duty's [`lease_key`].
    #[must_use]
    pub fn of_claim(entry: &Entry, holder: Incarnation) -> Option<Self> {
        let own = entry.value == holder.to_string().as_bytes();
        own.then_some(Self(entry.create_revision))
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Returns the key that exists while a duty has a holder.
#[must_use]
pub fn lease_key(duty: &str) -> String {
    format!("/fireflywind/lease/{duty}")
}

/// Returns the key whose last modification is the latest claim of a duty; it outlives the lease.
#[must_use]
pub fn fence_key(duty: &str) -> String {
    format!("/fireflywind/fence/{duty}")
}

/// Returns the conditions and changes that claim a duty; the revision of the transaction is the fencing token.
#[must_use]
pub fn claim(duty: &str, holder: Incarnation, lease: LeaseId) -> (Vec<Compare>, Vec<Change>) {
    let value = holder.to_string();
    let conditions = vec![Compare::Absent(lease_key(duty))];
    let changes = vec![
        Change::Put {
            key: lease_key(duty),
            value: value.clone().into(),
            lease: Some(lease),
        },
        Change::put(fence_key(duty), value),
    ];
    (conditions, changes)
}
