//! The holder of a duty's lease.

use super::Fence;
use crate::units::Millis;

/// Share of a lease's time by which the holder stops early, as a divisor: clocks may differ in rate by less
/// than that.
const MARGIN_DIVISOR: u64 = 5;

/// Share of a lease's time after which it is renewed, as a divisor; leaves two more tries.
const RENEW_DIVISOR: u64 = 3;

/// A process's belief that it holds a lease.
///
/// The deadline counts from the time when the grant or the renewal was sent, by the local clock: the
/// service cannot have started the lease's time earlier.
#[derive(Debug, Clone)]
pub struct Holder {
    ttl: Millis,
    held: Option<Held>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    fence: Fence,
    asked_at: Millis,
}

impl Holder {
    /// Makes a process that holds nothing; `ttl` is the lease's time.
    #[must_use]
    pub const fn new(ttl: Millis) -> Self {
        Self { ttl, held: None }
    }

    /// Takes a claim that succeeded; `asked_at` is when the lease's grant was sent.
    pub fn claimed(&mut self, fence: Fence, asked_at: Millis) {
        self.held = Some(Held { fence, asked_at });
    }

    /// Takes a renewal that succeeded; `asked_at` is when it was sent.
    pub fn renewed(&mut self, asked_at: Millis) {
        if let Some(held) = &mut self.held {
            held.asked_at = held.asked_at.max(asked_at);
        }
    }

    /// Notes that the service no longer has the lease.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Returns the token for an order, unless the lease may have ended.
    #[must_use]
    pub fn fence(&self, now: Millis) -> Option<Fence> {
        let held = self.held.filter(|held| now < self.deadline(held))?;
        Some(held.fence)
    }

    /// Returns when to renew the lease, if one is held.
    #[must_use]
    pub fn renew_at(&self) -> Option<Millis> {
        let held = self.held?;
        Some(held.asked_at + Millis(self.ttl.0 / RENEW_DIVISOR))
    }

    const fn deadline(&self, held: &Held) -> Millis {
        let margin = self.ttl.0.div_ceil(MARGIN_DIVISOR);
        Millis(held.asked_at.0.saturating_add(self.ttl.0 - margin))
    }
}
