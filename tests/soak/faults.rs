//! The faults that are injected.

use std::time::Duration;

use crate::draw::Draw;
use crate::proxy::Way;
use crate::upstream::Mood;

/// A fault; some last for a while, others are single events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Suspends a gateway process (SIGSTOP).
    Freeze(usize),
    /// Kills a gateway process and starts a new one.
    Kill(usize),
    /// Stops a gateway process gracefully (SIGTERM) and starts a new one.
    Stop(usize),
    /// Makes a gateway reload its settings (SIGHUP).
    HangUp(usize),
    /// Makes the store refuse all calls.
    StoreBusy,
    /// Disturbs the connections between a gateway and the store.
    StoreWay(usize, Way),
    /// Closes the connections between a gateway and the store.
    StoreReset(usize),
    /// Drops the store's history of changes.
    Compact,
    /// Disturbs the connections to an upstream.
    UpstreamWay(usize, Way),
    /// Closes the connections to an upstream.
    UpstreamReset(usize),
    /// Makes an upstream misbehave.
    UpstreamMood(usize, Mood),
    /// Crashes an upstream and starts a replacement.
    Crash(usize),
    /// Drains and removes an upstream and starts a replacement.
    Leave(usize),
    /// Writes a new version of the configuration that changes nothing for clients.
    Configure,
    /// Revokes the API key of an account and issues a new one.
    Revoke,
}

impl Fault {
    /// Returns a random fault, given the numbers of gateways and upstreams.
    pub fn draw(draw: &mut Draw, gateways: u64, upstreams: u64) -> Self {
        let at = |number: u64| usize::try_from(number).expect("the index fits in usize");
        let (g, u) = (at(draw.below(gateways)), at(draw.below(upstreams)));
        let way = *draw.pick(&[Way::Delayed, Way::Silent, Way::Half]);
        let mood = *draw.pick(&[Mood::Failing, Mood::Full, Mood::Cutting, Mood::Mute]);
        match draw.below(17) {
            0 => Self::Freeze(g),
            1 => Self::Kill(g),
            2 => Self::Stop(g),
            3 => Self::HangUp(g),
            4 => Self::StoreBusy,
            5 => Self::StoreWay(g, way),
            6 => Self::StoreReset(g),
            7 => Self::Compact,
            8 | 9 => Self::UpstreamWay(u, way),
            10 => Self::UpstreamReset(u),
            11..=13 => Self::UpstreamMood(u, mood),
            14 => Self::Crash(u),
            15 => Self::Leave(u),
            _ if draw.chance(50) => Self::Configure,
            _ => Self::Revoke,
        }
    }

    /// Returns a random duration of a fault.
    pub const fn span(draw: &mut Draw) -> Duration {
        draw.millis(100, 2_000)
    }
}
