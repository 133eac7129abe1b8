//! Decides when a request on a silent upstream is rerouted to another one.
//!
//! A busy engine can be silent for as long as a dead one, since it processes long prompts before it answers.
//! Rerouting costs a second run and adds to the load that made the engine slow, so a silent upstream is probed
//! for its state first.

use crate::units::Millis;

/// Interval between two checks of an upstream that has exceeded its silence limit.
const RECHECK_INTERVAL: Millis = Millis(100);

/// How long an upstream may send nothing before its request is rerouted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Limit if no bytes have come from it for any request.
    pub silence_limit: Millis,
    /// Limit if it is known to be working: it sends bytes for other requests, or a probe found it at work.
    pub busy_limit: Millis,
    /// Runtime clock reading at which the request times out.
    pub deadline: Millis,
    /// Whether the upstream has an endpoint that reports its state.
    pub can_probe: bool,
}

/// What is known of the upstream's activity since the request last made progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamActivity {
    /// When the request was sent or the last bytes of its answer arrived.
    pub since: Millis,
    /// Whether bytes for other requests have arrived after `since`.
    pub has_recent_bytes: bool,
    /// Result of a probe made at or after `since`, if there was one.
    pub state: Option<ProbeResult>,
    /// Whether attempts and the retry budget allow a send to another upstream.
    pub can_reroute: bool,
}

/// Result of probing an upstream for its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// It reports that it has the request, or that requests are queued there.
    AtWork,
    /// It reports neither, or did not answer the probe.
    NoSign,
}

/// Next action for a request that waits for its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NextAction {
    /// Check again after this time.
    Wait(Millis),
    /// Probe the upstream for its state.
    Probe,
    /// Send the request to another upstream.
    Reroute,
    /// The request's deadline has passed.
    TimedOut,
}

/// Returns the next action for an upstream that has sent nothing for the request since `activity.since`.
#[must_use]
pub fn next(limits: &Limits, activity: &UpstreamActivity, now: Millis) -> NextAction {
    let left = limits.deadline.since(now);
    if left == Millis(0) {
        return NextAction::TimedOut;
    }
    let silent_until = activity.since + limits.silence_limit;
    if now < silent_until {
        return NextAction::Wait(silent_until.since(now).min(left));
    }
    if !activity.can_reroute {
        return NextAction::Wait(RECHECK_INTERVAL.min(left));
    }
    if now >= activity.since + limits.busy_limit {
        return NextAction::Reroute;
    }
    match activity.state {
        _ if activity.has_recent_bytes => NextAction::Wait(RECHECK_INTERVAL.min(left)),
        Some(ProbeResult::AtWork) => NextAction::Wait(RECHECK_INTERVAL.min(left)),
        None if limits.can_probe => NextAction::Probe,
        Some(ProbeResult::NoSign) | None => NextAction::Reroute,
    }
}
