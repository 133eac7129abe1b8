//! The faults that are injected.

use std::time::Duration;

use crate::proxy::ForwardMode;
use crate::rng::Rng;
use crate::upstream::Behaviour;

/// A fault; some last for a while, others are single events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Suspends a gateway process (SIGSTOP).
    Suspend(usize),
    /// Kills a gateway process and starts a new one.
    Kill(usize),
    /// Stops a gateway process gracefully (SIGTERM) and starts a new one.
    Stop(usize),
    /// Makes a gateway reload its settings (SIGHUP).
    Reload(usize),
    /// Makes the store refuse all calls.
    StoreBusy,
    /// Disturbs the connections between a gateway and the store.
    StoreConnections(usize, ForwardMode),
    /// Closes the connections between a gateway and the store.
    StoreReset(usize),
    /// Drops the store's history of changes.
    CompactHistory,
    /// Disturbs the connections to an upstream.
    UpstreamConnections(usize, ForwardMode),
    /// Closes the connections to an upstream.
    UpstreamReset(usize),
    /// Makes an upstream misbehave.
    UpstreamBehaviour(usize, Behaviour),
    /// Crashes an upstream and starts a replacement.
    Crash(usize),
    /// Drains and removes an upstream and starts a replacement.
    Leave(usize),
    /// Writes a new version of the configuration that changes nothing for clients.
    RewriteConfiguration,
    /// Revokes the API key of an account and issues a new one.
    RevokeKey,
}

impl Fault {
    /// Returns a random fault, given the numbers of gateways and upstreams.
    pub fn random(rng: &mut Rng, gateways: u64, upstreams: u64) -> Self {
        let at = |number: u64| usize::try_from(number).expect("the index fits in usize");
        let (g, u) = (at(rng.below(gateways)), at(rng.below(upstreams)));
        let mode = *rng.choose(&[
            ForwardMode::Delayed,
            ForwardMode::Stalled,
            ForwardMode::RequestsOnly,
        ]);
        let behaviour = *rng.choose(&[
            Behaviour::Failing,
            Behaviour::Full,
            Behaviour::Truncating,
            Behaviour::Unresponsive,
        ]);
        match rng.below(17) {
            0 => Self::Suspend(g),
            1 => Self::Kill(g),
            2 => Self::Stop(g),
            3 => Self::Reload(g),
            4 => Self::StoreBusy,
            5 => Self::StoreConnections(g, mode),
            6 => Self::StoreReset(g),
            7 => Self::CompactHistory,
            8 | 9 => Self::UpstreamConnections(u, mode),
            10 => Self::UpstreamReset(u),
            11..=13 => Self::UpstreamBehaviour(u, behaviour),
            14 => Self::Crash(u),
            15 => Self::Leave(u),
            _ if rng.percent_chance(50) => Self::RewriteConfiguration,
            _ => Self::RevokeKey,
        }
    }

    /// Returns a random duration of a fault.
    pub const fn random_duration(rng: &mut Rng) -> Duration {
        rng.duration_ms(100, 2_000)
    }
}
