//! Choice of a stable subset by rendezvous hashing.

use sha2::{Digest, Sha256};

use crate::ids::{DataCentre, UpstreamId};

/// Upstreams of one version that a gateway connects to.
pub const SUBSET_SIZE: usize = 24;

/// Returns the rendezvous hash of two names; the highest rank wins.
#[must_use]
pub fn rank(chooser: &str, candidate: &str) -> u64 {
    let mut hash = Sha256::new();
    // The length keeps ("ab", "c") apart from ("a", "bc").
    hash.update((chooser.len() as u64).to_be_bytes());
    hash.update(chooser);
    hash.update(candidate);
    let digest = hash.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |rank, byte| rank << 8 | u64::from(*byte))
}

/// Chooses at most `n` upstreams, those of the own data centre first, the best rank first.
///
/// The removal of one upstream changes no other place of the subset.
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
