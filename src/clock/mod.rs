//! The clock of a process, based on the runtime's clock so that tests can pause and advance it.

use std::time::{SystemTime, UNIX_EPOCH};

use actix_rt::time::Instant;

use crate::units::Millis;

/// The clock of a process.
///
/// Unix time is the system time at the start plus the monotonic time since, so it never goes back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Millis,
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
        }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Millis {
        millis(self.start.elapsed().as_millis())
    }

    /// Returns the time since the Unix epoch.
    #[must_use]
    pub fn unix(&self) -> Millis {
        self.unix_start + self.now()
    }
}

fn millis(count: u128) -> Millis {
    Millis(u64::try_from(count).unwrap_or(u64::MAX))
}
