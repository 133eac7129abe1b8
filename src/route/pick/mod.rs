//! Choice of an upstream for one attempt.
//!
//! Load reports lag, so the least reported upstream would be flooded by every gateway that saw the same
//! report. The choice is therefore among a few sampled members, by reported load and own work in flight.

use serde::{Deserialize, Serialize};

use crate::ids::UpstreamId;

#[cfg(test)]
mod tests;

/// Members that are sampled in the own data centre.
const LOCAL_SAMPLES: usize = 2;

/// Members that are sampled in other data centres if all local samples are full.
const REMOTE_SAMPLES: usize = 2;

/// Extra load, in permille of the slots, that prefix affinity may cost; a cached prefix saves less.
const AFFINITY_MARGIN: u64 = 250;

/// Load of a member at which all of its slots are taken, in permille.
const FULL: u64 = 1_000;

/// What a gateway knows of one upstream that serves a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests that the upstream runs at one time; at least 1.
    pub slots: u32,
    /// Requests of this gateway that are in flight there.
    pub own: u32,
    /// Requests of other gateways there, from the last report.
    pub others: u32,
}

impl Member {
    /// Returns requests per slot, in permille.
    #[must_use]
    pub fn load(&self) -> u64 {
        let requests = u64::from(self.own) + u64::from(self.others);
        requests * FULL / u64::from(self.slots.max(1))
    }
}

/// The upstreams of one version that may receive new work, those of the own data centre first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pool {
    members: Vec<Member>,
    local: usize,
}

/// Why a member was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// It had the lowest load of the sampled members.
    LowestLoad,
    /// The prompt's prefix is likely cached there and its load is close to the lowest.
    PrefixAffinity,
}

/// A choice with everything that is needed to repeat it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pick {
    /// The members that were compared, in the order of sampling.
    pub sampled: Vec<Member>,
    /// Index into `sampled` of the member that prefix affinity prefers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub affine: Option<usize>,
    /// The chosen upstream.
    pub upstream: UpstreamId,
    /// Why it was chosen.
    pub why: Why,
}

impl Pool {
    /// Makes a pool; `local` members are in the own data centre.
    #[must_use]
    pub fn new(local: Vec<Member>, remote: Vec<Member>) -> Self {
        let count = local.len();
        let mut members = local;
        members.extend(remote);
        Self {
            members,
            local: count,
        }
    }

    /// Tells whether the pool has no member.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns all members, local ones first.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns a member for an update of its load.
    pub fn member_mut(&mut self, upstream: &UpstreamId) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| m.upstream == *upstream)
    }

    /// Chooses a member that `tried` does not name; `None` if there is none.
    ///
    /// Takes constant time in the size of the pool, but for the names in `tried`.
    #[must_use]
    pub fn pick(&self, draws: [u64; 2], prefix: Option<u64>, tried: &[UpstreamId]) -> Option<Pick> {
        let (local, remote) = self.members.split_at(self.local);
        let mut sampled = Vec::with_capacity(LOCAL_SAMPLES + REMOTE_SAMPLES + 1);
        let affine = prefix.and_then(|hash| affine_member(self.near(), hash, tried));
        sampled.extend(affine);
        sample(local, draws[0], LOCAL_SAMPLES, tried, &mut sampled);
        if sampled.iter().all(|m| m.load() >= FULL) {
            sample(remote, draws[1], REMOTE_SAMPLES, tried, &mut sampled);
        }
        let affine = affine.map(|_| 0);
        let sampled: Vec<_> = sampled.into_iter().cloned().collect();
        choose(sampled, affine)
    }

    /// Chooses by a scan of all members; the baseline of the experiments.
    #[must_use]
    pub fn pick_by_scan(&self, tried: &[UpstreamId]) -> Option<&Member> {
        self.members
            .iter()
            .filter(|m| !tried.contains(&m.upstream))
            .min_by_key(|m| m.load())
    }

    /// Returns the members of the own data centre, or all if it has none.
    fn near(&self) -> &[Member] {
        if self.local == 0 {
            &self.members
        } else {
            &self.members[..self.local]
        }
    }
}

/// Repeats the choice among sampled members.
#[must_use]
pub fn choose(sampled: Vec<Member>, affine: Option<usize>) -> Option<Pick> {
    let best = sampled.iter().min_by_key(|m| m.load())?;
    let preferred = affine.and_then(|at| sampled.get(at));
    let (chosen, why) = match preferred {
        Some(member) if member.load() <= best.load() + AFFINITY_MARGIN && member.load() < FULL => {
            (member, Why::PrefixAffinity)
        }
        _ => (best, Why::LowestLoad),
    };
    let upstream = chosen.upstream.clone();
    Some(Pick {
        sampled,
        affine,
        upstream,
        why,
    })
}

/// Adds up to `count` members that stand at or after a drawn place.
fn sample<'a>(
    members: &'a [Member],
    draw: u64,
    count: usize,
    tried: &[UpstreamId],
    sampled: &mut Vec<&'a Member>,
) {
    if members.is_empty() {
        return;
    }
    let wanted = sampled.len() + count;
    // Two halves of the draw give two places, so that neighbours are not always compared.
    for half in [draw & 0xffff_ffff, draw >> 32] {
        let start = index(half, members.len());
        let untried = members[start..]
            .iter()
            .chain(&members[..start])
            .find(|m| !tried.contains(&m.upstream) && !contains(sampled, m));
        sampled.extend(untried);
        if sampled.len() == wanted {
            return;
        }
    }
}

fn contains(sampled: &[&Member], member: &Member) -> bool {
    sampled.iter().any(|m| m.upstream == member.upstream)
}

/// Finds the member that owns a prefix: the same one at every gateway of a data centre.
fn affine_member<'a>(members: &'a [Member], hash: u64, tried: &[UpstreamId]) -> Option<&'a Member> {
    if members.is_empty() {
        return None;
    }
    let member = members.get(index(hash, members.len()))?;
    (!tried.contains(&member.upstream)).then_some(member)
}

/// Maps a hash or draw to an index below `len`, which is not zero.
fn index(hash: u64, len: usize) -> usize {
    let len = u64::try_from(len).unwrap_or(u64::MAX);
    usize::try_from(hash % len).unwrap_or_default()
}
