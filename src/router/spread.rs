//! Division of new work between upstreams whose load reports are stale.
//!
//! Many gateways read the same reports. If each sent its requests to the upstream with the shortest backlog, all of
//! them would use the same one until its next report, and its queue would become the longest. The reports are
//! therefore interpreted together with the work that all gateways send before the next ones: this work is poured
//! over the backlogs up to a common level, and each upstream gets the part that fills it up to that level.

/// Returns the level up to which `arriving` units of work fill the given costs, which are sorted in ascending order.
#[must_use]
pub fn level(costs: &[u64], arriving: u64) -> u64 {
    let mut sum = 0_u64;
    for (at, &cost) in costs.iter().enumerate() {
        let filled = cost.saturating_mul(at as u64);
        if filled.saturating_sub(sum) >= arriving && at > 0 {
            return (sum + arriving).div_ceil(at as u64);
        }
        sum = sum.saturating_add(cost);
    }
    let count = (costs.len() as u64).max(1);
    sum.saturating_add(arriving).div_ceil(count)
}

/// Returns the position of an upstream in the rendezvous order of a key; the lowest one is used.
///
/// Each upstream is first for a share of the keys that is proportional to its weight. When weights change, only
/// keys of upstreams whose share has shrunk move.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "53 bits of the hash are enough for a uniform draw"
)]
pub fn position(key: u64, upstream: u64, weight: u64) -> f64 {
    let draw = super::mix(key ^ upstream) >> 11;
    let uniform = (draw as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / (weight as f64).max(f64::MIN_POSITIVE)
}
