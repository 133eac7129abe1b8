//! Why an upstream that is registered and serves the right version gets no request now.

use crate::units::Millis;

use super::cold::Cold;
use super::named_limits::Limited;
use super::pauses::Paused;

/// What keeps a request from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Barrier {
    /// It leaves, or its entry is gone.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// It is outside the homes of the route or of the client account.
    OutsideHome,
    /// It wants a pause.
    Paused(Paused),
    /// It names a limit, and this gateway's part is used up for now.
    Limited(Limited),
    /// It is cold, and this gateway has no turn now.
    Cold(Cold),
}

impl Barrier {
    /// Returns the time until the barrier opens by itself, if that is known.
    #[must_use]
    pub const fn wait(self) -> Option<Millis> {
        match self {
            Self::Leaving | Self::Evacuated | Self::OutsideHome => None,
            Self::Paused(paused) => Some(paused.wait),
            Self::Limited(limited) => Some(limited.wait),
            Self::Cold(cold) => Some(cold.wait),
        }
    }

    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::OutsideHome => "not_home",
            Self::Paused(_) => "paused",
            Self::Limited(_) => "limited",
            Self::Cold(_) => "cold",
        }
    }
}

/// Divides candidates into those that may get a request and the barrier of the others that opens first.
pub fn divide<T>(
    candidates: Vec<T>,
    mut barrier: impl FnMut(&T) -> Option<Barrier>,
) -> (Vec<T>, Option<Barrier>) {
    let mut first: Option<Barrier> = None;
    let open = candidates.into_iter().filter(|candidate| {
        let Some(barrier) = barrier(candidate) else {
            return true;
        };
        let opens_at = |barrier: &Barrier| barrier.wait().unwrap_or(Millis(u64::MAX));
        first = first.into_iter().chain([barrier]).min_by_key(opens_at);
        false
    });
    (open.collect(), first)
}
