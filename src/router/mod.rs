//! Routing decisions of a gateway on a managed platform: the upstream and model for a request, and retries.
//!
//! The modules are deterministic: the current time is passed in as milliseconds of the runtime clock, and nothing
//! performs I/O. The platform's adapter fills [`table::RouteTable`] and [`fleet::Fleet`]; [`crate::forward`]
//! executes the decisions.

pub mod admission;
pub mod answer_times;
pub mod attempt;
pub mod cascade;
pub mod cold;
pub mod comparison;
pub mod demand;
pub mod departures;
pub mod eligibility;
pub mod evacuations;
pub mod fleet;
pub mod freshness;
pub mod health;
pub mod history;
pub mod homes;
pub mod lateness;
pub mod named_limits;
pub mod pace;
pub mod pauses;
pub mod pick;
pub mod retry;
pub mod rollout;
pub mod sessions;
pub mod silence_policy;
pub mod sizes;
pub mod spread;
pub mod table;
#[cfg(test)]
mod tests;
pub mod turns;

/// Scrambles the bits of a number; one output step of `SplitMix64`.
#[must_use]
pub const fn mix(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hashes bytes to a number that is the same in every process: FNV-1a, then [`mix`].
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    let folded = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(folded)
}
