//! The clock of a process, based on the runtime's clock so that tests can pause and advance it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_rt::time::Instant;
use nix::time::{ClockId, clock_gettime};

use crate::units::Millis;

/// The clock of a process.
///
/// Unix time is the system time at the start plus the time since, so it never goes back. The time for which the VM was
/// suspended counts, although the runtime's clock stands still meanwhile: what was valid before it, such as API keys,
/// may have been revoked.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Millis,
    /// Suspension of the VM before the start.
    suspended_at_start: Duration,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            unix_start: millis(unix.as_millis()),
            suspended_at_start: suspended(),
        }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Millis {
        since_start(self.start.elapsed(), self.suspended_at_start, suspended())
    }

    /// Returns the time since the Unix epoch.
    #[must_use]
    pub fn unix(&self) -> Millis {
        self.unix_start + self.now()
    }
}

/// Difference between the system's clocks up to which the VM counts as never suspended; the clocks are read one after
/// the other.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Longest time between two reads of a clock, for the difference to another clock read in between to be exact enough.
const MAX_READ_TIME: Duration = Duration::from_micros(500);

/// Number of times that the clocks are read until [`MAX_READ_TIME`] is kept.
const READ_ATTEMPTS: usize = 3;

/// Returns the time since the start, given the time by the runtime's clock and the suspension of the VM before the
/// start and until now.
fn since_start(elapsed: Duration, suspended_at_start: Duration, suspended: Duration) -> Millis {
    let suspended = suspended.saturating_sub(suspended_at_start);
    let counted = if suspended < MIN_SUSPENSION {
        Duration::ZERO
    } else {
        suspended
    };
    millis((elapsed + counted).as_millis())
}

/// Returns for how long the VM was suspended since it booted; a process that is interrupted between the reads gets a
/// little less.
fn suspended() -> Duration {
    let mut longest = Duration::ZERO;
    for _ in 0..READ_ATTEMPTS {
        let before = read(ClockId::CLOCK_MONOTONIC);
        let with_suspension = read(ClockId::CLOCK_BOOTTIME);
        let after = read(ClockId::CLOCK_MONOTONIC);
        longest = longest.max(with_suspension.saturating_sub(after));
        if after.saturating_sub(before) <= MAX_READ_TIME {
            break;
        }
    }
    longest
}

/// Returns a clock of the system; zero if it has none of this kind, so that no suspension is seen.
fn read(clock: ClockId) -> Duration {
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
}

fn millis(count: u128) -> Millis {
    Millis(u64::try_from(count).unwrap_or(u64::MAX))
}

#[cfg(test)]
mod tests;
