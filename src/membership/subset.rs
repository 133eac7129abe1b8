//! Selection of a stable subset by rendezvous hashing.

use sha2::{Digest, Sha256};

use crate::ids::{DataCentre, UpstreamId};

/// Number of upstreams of one version that a gateway connects to.
pub const SUBSET_SIZE: usize = 24;

/// Returns the rendezvous hash of two names; candidates with a higher rank are preferred.
#[must_use]
pub fn rank(chooser: &str, candidate: &str) -> u64 {
    let mut hash = Sha256::new();
    // The length prefix gives ("ab", "c") and ("a", "bc") different hashes.
    hash.update((chooser.len() as u64).to_be_bytes());
    hash.update(chooser);
    hash.update(candidate);
    let digest = hash.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |rank, byte| rank << 8 | u64::from(*byte))
}

/// Selects at most `n` upstreams, first those of the gateway's own data centre, in order of decreasing rank.
///
/// The removal of an upstream from the input removes no other upstream from the subset.
#[must_use]
pub fn subset(
    gateway: &str,
    own: &DataCentre,
    upstreams: &[(UpstreamId, DataCentre)],
    n: usize,
) -> Vec<UpstreamId> {
    let mut ranked: Vec<_> = upstreams
        .iter()
        .map(|(id, data_centre)| (data_centre != own, !rank(gateway, id.as_str()), id))
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(n);
    ranked.into_iter().map(|(_, _, id)| id.clone()).collect()
}
