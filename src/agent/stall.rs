//! Detects stalls: times in which the process was suspended.
//!
//! Requests that arrived during a stall were sent under a sheet that may have been replaced since, and their
//! gateways have abandoned them. The agent therefore refuses requests until its sheet is confirmed again.

use super::shared::Shared;
use crate::units::Millis;

/// Time without a step of the periodic work that counts as a stall.
///
/// Steps are 250 ms apart. A gateway abandons a request after 3 s.
const STALL_THRESHOLD: Millis = Millis::from_secs(2);

/// Time after a stall from which requests are admitted even if the key-value service has not confirmed the
/// sheet.
///
/// By then every gateway has sent its status, and a newer sheet if it has one.
const CONFIRMATION_TIMEOUT: Millis = Millis::from_secs(3);

/// Checks for a stall and records the time of a step of the periodic work.
pub(super) fn record_step(shared: &Shared) {
    detect_stall(shared);
    shared.last_step.set(shared.clock.now());
}

/// Returns whether the sheet was confirmed since the last stall, or the wait for this has timed out.
pub(super) fn is_confirmed(shared: &Shared) -> bool {
    detect_stall(shared);
    let Some(since) = shared.stall_detected_at.get() else {
        return true;
    };
    let elapsed = shared.clock.now().since(since);
    let confirmed = shared.follower.freshness().is_some_and(|age| age < elapsed);
    if confirmed || elapsed >= CONFIRMATION_TIMEOUT {
        shared.stall_detected_at.set(None);
        return true;
    }
    false
}

fn detect_stall(shared: &Shared) {
    let now = shared.clock.now();
    let gap = now.since(shared.last_step.get());
    if gap >= STALL_THRESHOLD && shared.stall_detected_at.get().is_none() {
        log::warn!(event = "process_was_stopped", ms = gap.0; "");
        shared.metrics.count_event("stalls");
        shared.stall_detected_at.set(Some(now));
        shared.follower.refresh();
    }
}
