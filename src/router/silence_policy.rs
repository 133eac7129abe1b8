//! When to leave an upstream that is silent.
//!
//! A busy engine can be silent for as long as a dead one: it reads long prompts before it answers. Leaving
//! it costs a second run and adds to the load that made it slow, so a silent upstream is asked first.

use crate::units::Millis;

/// Pause between two looks at a late upstream.
const RECHECK: Millis = Millis(100);

/// How long an upstream may be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// If it is silent on all connections.
    pub silent: Millis,
    /// If it is known to work on other requests.
    pub busy: Millis,
    /// Runtime time at which the request ends.
    pub deadline: Millis,
    /// Whether it can be asked for its state.
    pub can_probe: bool,
}

/// What is known of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamActivity {
    /// When the request was sent or its last bytes came.
    pub since: Millis,
    /// Whether bytes for other requests have come after that.
    pub has_recent_bytes: bool,
    /// What it said when it was asked.
    pub state: Option<ProbeResult>,
    /// Whether another upstream may get the request.
    pub can_reroute: bool,
}

/// What an upstream said of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// It has the request, or requests that wait.
    AtWork,
    /// It did not say so.
    NoSign,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next {
    /// Look again after this time.
    Wait(Millis),
    /// Ask the upstream.
    Probe,
    /// Send the request to another upstream.
    Reroute,
    /// The request's time is over.
    TimedOut,
}

/// Decides about an upstream from which nothing has come since a time.
#[must_use]
pub fn next(limits: &Limits, signs: &UpstreamActivity, now: Millis) -> Next {
    let left = limits.deadline.since(now);
    if left == Millis(0) {
        return Next::TimedOut;
    }
    let late_at = signs.since + limits.silent;
    if now < late_at {
        return Next::Wait(late_at.since(now).min(left));
    }
    if !signs.can_reroute {
        return Next::Wait(RECHECK.min(left));
    }
    if now >= signs.since + limits.busy {
        return Next::Reroute;
    }
    match signs.state {
        _ if signs.has_recent_bytes => Next::Wait(RECHECK.min(left)),
        Some(ProbeResult::AtWork) => Next::Wait(RECHECK.min(left)),
        None if limits.can_probe => Next::Probe,
        Some(ProbeResult::NoSign) | None => Next::Reroute,
    }
}
