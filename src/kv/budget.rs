//! Rate limits for the calls that one process sends to the key-value service.

use crate::units::Millis;

/// Bucket units per call; with 1,000, a rate in calls per second equals the refill in units per millisecond.
const UNITS_PER_CALL: u64 = 1_000;

/// Kind of a call to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A call that changes nothing, such as a range read or a watch.
    Read,
    /// A call that may change the store, such as a transaction or a lease renewal.
    Write,
}

/// Numbers of calls since the budget was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads that were allowed.
    pub reads: u64,
    /// Writes that were allowed.
    pub writes: u64,
    /// Reads that were refused because the budget was exhausted.
    pub refused_reads: u64,
    /// Writes that were refused because the budget was exhausted.
    pub refused_writes: u64,
}

/// A token bucket with the capacity of one second of calls.
#[derive(Debug, Clone)]
struct Bucket {
    per_second: u64,
    units: u64,
    refilled_at: Millis,
}

impl Bucket {
    const fn new(per_second: u32) -> Self {
        let per_second = per_second as u64;
        Self {
            per_second,
            units: per_second * UNITS_PER_CALL,
            refilled_at: Millis(0),
        }
    }

    fn take(&mut self, now: Millis) -> bool {
        let refill = now
            .since(self.refilled_at)
            .0
            .saturating_mul(self.per_second);
        let capacity = self.per_second * UNITS_PER_CALL;
        self.units = self.units.saturating_add(refill).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
        if self.units < UNITS_PER_CALL {
            return false;
        }
        self.units -= UNITS_PER_CALL;
        true
    }
}

/// Limits reads and writes per second and counts them.
#[derive(Debug, Clone)]
pub struct CallBudget {
    reads: Bucket,
    writes: Bucket,
    counts: CallCounts,
}

impl CallBudget {
    /// Creates a full budget; a rate of zero refuses every call of its kind.
    #[must_use]
    pub const fn new(reads_per_second: u32, writes_per_second: u32) -> Self {
        Self {
            reads: Bucket::new(reads_per_second),
            writes: Bucket::new(writes_per_second),
            counts: CallCounts {
                reads: 0,
                writes: 0,
                refused_reads: 0,
                refused_writes: 0,
            },
        }
    }

    /// Creates the budget of one daemon.
    ///
    /// With two sites, 26 daemons that all exhaust it stay under the service's 2,000 reads per second.
    /// Writes are limited to what a daemon needs: two per order, and a checkpoint every few seconds.
    #[must_use]
    pub const fn per_process() -> Self {
        Self::new(60, 40)
    }

    /// Charges one call to the budget and returns whether it may be sent.
    ///
    /// `now` is the time since any fixed point; a time before that of the previous call refills nothing.
    pub fn take(&mut self, kind: CallKind, now: Millis) -> bool {
        let (bucket, allowed, refused) = match kind {
            CallKind::Read => (
                &mut self.reads,
                &mut self.counts.reads,
                &mut self.counts.refused_reads,
            ),
            CallKind::Write => (
                &mut self.writes,
                &mut self.counts.writes,
                &mut self.counts.refused_writes,
            ),
        };
        let is_allowed = bucket.take(now);
        *(if is_allowed { allowed } else { refused }) += 1;
        is_allowed
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub const fn counts(&self) -> CallCounts {
        self.counts
    }
}
