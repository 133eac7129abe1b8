//! The lease of a duty, from the point of view of the process that holds it.

use super::Fence;
use crate::units::Millis;

/// Divisor of the lease's TTL for the safety margin by which the holder stops before the lease expires; the
/// rates of two clocks must differ by less than this margin.
const SAFETY_MARGIN_DIVISOR: u64 = 5;

/// Divisor of the lease's TTL for the time after which it is renewed; leaves time for two more attempts.
const RENEW_DIVISOR: u64 = 3;

/// Local state of a lease that a process holds.
///
/// The deadline is computed from the local time at which the request for the grant or the renewal was sent,
/// because the service cannot have started the TTL before it.
#[derive(Debug, Clone)]
pub struct Holder {
    ttl: Millis,
    held: Option<HeldLease>,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    fence: Fence,
    requested_at: Millis,
}

impl Holder {
    /// Creates the state of a process that holds no lease; `ttl` is the TTL of the lease.
    #[must_use]
    pub const fn new(ttl: Millis) -> Self {
        Self { ttl, held: None }
    }

    /// Records a successful claim; `requested_at` is the time at which the request for the lease was sent.
    pub fn claimed(&mut self, fence: Fence, requested_at: Millis) {
        self.held = Some(HeldLease {
            fence,
            requested_at,
        });
    }

    /// Records a successful renewal; `requested_at` is the time at which its request was sent.
    pub fn renewed(&mut self, requested_at: Millis) {
        if let Some(held) = &mut self.held {
            held.requested_at = held.requested_at.max(requested_at);
        }
    }

    /// Records that the lease no longer exists in the service.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Returns the fencing token for an order; `None` if no lease is held or it may have expired.
    #[must_use]
    pub fn fence(&self, now: Millis) -> Option<Fence> {
        let held = self.held.filter(|held| now < self.deadline(held))?;
        Some(held.fence)
    }

    /// Returns the time at which to renew the lease, if one is held.
    #[must_use]
    pub fn renew_at(&self) -> Option<Millis> {
        let held = self.held?;
        Some(held.requested_at + Millis(self.ttl.0 / RENEW_DIVISOR))
    }

    const fn deadline(&self, held: &HeldLease) -> Millis {
        let margin = self.ttl.0.div_ceil(SAFETY_MARGIN_DIVISOR);
        Millis(held.requested_at.0.saturating_add(self.ttl.0 - margin))
    }
}
