//! The faults that may be injected, and their end.

use std::time::Duration;

use crate::draw::Draw;
use crate::proxy::Way;
use crate::upstream::Mood;

/// Something that goes wrong for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway's process stands still.
    Freeze(usize),
    /// A gateway's process is killed, and another one is started.
    Kill(usize),
    /// A gateway's process is asked to stop, and another one is started.
    Stop(usize),
    /// A gateway is told that its settings may have changed.
    HangUp(usize),
    /// The store refuses all calls.
    StoreBusy,
    /// A gateway's connections to the store are harmed.
    StoreWay(usize, Way),
    /// A gateway's connections to the store are reset.
    StoreReset(usize),
    /// The store loses its history.
    Compact,
    /// The connections to an upstream are harmed.
    UpstreamWay(usize, Way),
    /// The connections to an upstream are reset.
    UpstreamReset(usize),
    /// An upstream misbehaves.
    UpstreamMood(usize, Mood),
    /// An upstream crashes; another one takes its place.
    Crash(usize),
    /// An upstream drains and leaves; another one takes its place.
    Leave(usize),
    /// A configuration without changes for the clients is written.
    Configure,
    /// A key is taken away.
    Revoke,
}

impl Fault {
    /// Draws a fault for so many gateways and upstreams.
    pub fn draw(draw: &mut Draw, gateways: u64, upstreams: u64) -> Self {
        let at = |number: u64| usize::try_from(number).expect("it is small");
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

    /// Draws how long it lasts.
    pub const fn span(draw: &mut Draw) -> Duration {
        draw.millis(100, 2_000)
    }
}
