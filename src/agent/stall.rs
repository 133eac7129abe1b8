//! Notices that the process was stopped for a while.
//!
//! Requests that arrived meanwhile were sent under a sheet that may have been replaced, and their gateways have
//! given them up. The agent therefore takes no request until its sheet is confirmed again.

use super::shared::Shared;
use crate::units::Millis;

/// Time without a step of the periodic work after which the process counts as having been stopped.
///
/// Steps are 250 ms apart. A gateway gives a request up after 3 s.
const STALL: Millis = Millis::from_secs(2);

/// Time after which requests are taken again although the key-value service gave no confirmation.
///
/// By then every gateway has sent its status, with a newer sheet if it has one.
const PATIENCE: Millis = Millis::from_secs(3);

/// Notes the time at a step of the periodic work.
pub(super) fn note_step(shared: &Shared) {
    look(shared);
    shared.last_step.set(shared.clock.now());
}

/// Tells whether the sheet was confirmed since the process was stopped last.
pub(super) fn is_confirmed(shared: &Shared) -> bool {
    look(shared);
    let Some(since) = shared.stalled.get() else {
        return true;
    };
    let passed = shared.clock.now().since(since);
    let confirmed = shared.follower.freshness().is_some_and(|age| age < passed);
    if confirmed || passed >= PATIENCE {
        shared.stalled.set(None);
        return true;
    }
    false
}

fn look(shared: &Shared) {
    let now = shared.clock.now();
    let gap = now.since(shared.last_step.get());
    if gap >= STALL && shared.stalled.get().is_none() {
        log::warn!(event = "process_was_stopped", ms = gap.0; "");
        shared.metrics.event("stalls");
        shared.stalled.set(Some(now));
        shared.follower.read_now();
    }
}
