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
    pub can_ask: bool,
}

/// What is known of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Signs {
    /// When the request was sent or its last bytes came.
    pub since: Millis,
    /// Whether bytes for other requests have come after that.
    pub is_heard: bool,
    /// What it said when it was asked.
    pub state: Option<Asked>,
    /// Whether another upstream may get the request.
    pub can_move: bool,
}

/// What an upstream said of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Asked {
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
    Ask,
    /// Send the request to another upstream.
    Leave,
    /// The request's time is over.
    TimedOut,
}

/// Decides about an upstream from which nothing has come since a time.
#[must_use]
pub fn next(limits: &Limits, signs: &Signs, now: Millis) -> Next {
    let left = limits.deadline.since(now);
    if left == Millis(0) {
        return Next::TimedOut;
    }
    let late_at = signs.since + limits.silent;
    if now < late_at {
        return Next::Wait(late_at.since(now).min(left));
    }
    if !signs.can_move {
        return Next::Wait(RECHECK.min(left));
    }
    if now >= signs.since + limits.busy {
        return Next::Leave;
    }
    match signs.state {
        _ if signs.is_heard => Next::Wait(RECHECK.min(left)),
        Some(Asked::AtWork) => Next::Wait(RECHECK.min(left)),
        None if limits.can_ask => Next::Ask,
        Some(Asked::NoSign) | None => Next::Leave,
    }
}
