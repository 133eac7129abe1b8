//! Waits until all processes have a revision.

use std::fmt;

use actix_rt::time::{Instant, sleep};

use crate::units::Millis;

/// Time between two polls.
const POLL_INTERVAL: Millis = Millis(200);

/// The revision that a process reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessRevision {
    /// Name or address of the process.
    pub process: String,
    /// Its revision; absent if it has none or did not answer.
    pub revision: Option<u64>,
}

impl fmt::Display for ProcessRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.revision {
            Some(revision) => write!(f, "{} has revision {revision}", self.process),
            None => write!(f, "{} has no revision or gave no answer", self.process),
        }
    }
}

/// Polls until every process has the revision or a later one.
///
/// # Errors
/// The processes that still have an older revision or none after `limit`.
pub async fn wait(
    revision: u64,
    limit: Millis,
    mut poll: impl AsyncFnMut() -> Vec<ProcessRevision>,
) -> Result<(), Vec<ProcessRevision>> {
    let deadline = Instant::now() + limit.duration();
    loop {
        let mut behind = poll().await;
        behind.retain(|process| process.revision.is_none_or(|held| held < revision));
        if behind.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(behind);
        }
        sleep(POLL_INTERVAL.duration()).await;
    }
}
