//! Choice of an upstream for one attempt.
//!
//! Load reports lag, so if every gateway chose the upstream with the lowest reported load, that one would be
//! overloaded. Each gateway therefore compares a few sampled members by their reported load and its own requests
//! in flight there. The weight of a reported load decreases with its age.
//!
//! An agent without a free slot refuses a request and returns its current load, and the gateway tries the next
//! upstream. After [`MAX_PROBES`] refusals the request waits in the shortest queue.

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::ids::UpstreamId;
use crate::units::Millis;

#[cfg(test)]
mod tests;

/// Number of refusals for lack of a free slot after which a request waits in a queue; each refusal costs a round
/// trip.
pub const MAX_PROBES: usize = 8;

/// Number of members sampled in the gateway's own data centre.
const LOCAL_SAMPLES: u32 = 2;

/// Number of members sampled in other data centres if all local samples are full.
const REMOTE_SAMPLES: u32 = 2;

/// Number of members that are always sampled because their load arrived most recently with a reply.
const MAX_RECENT_MEMBERS: usize = 8;

/// Expected load above the lowest one, in permille of the slots, that prefix affinity may accept.
///
/// A margin of 250 sent one in nine requests of 410 gateways to a full upstream first.
const AFFINITY_MARGIN_PERMILLE: u64 = 100;

/// Expected load, in permille, up to which prefix affinity is always followed, since a slot is likely free.
const AFFINITY_LOAD_LIMIT_PERMILLE: u64 = 840;

/// Expected load of a member without a report, in permille: the load that sites are sized for.
const DEFAULT_LOAD_PERMILLE: u64 = 950;

/// Age at which a reported load and [`DEFAULT_LOAD_PERMILLE`] have equal weight.
///
/// Gateways fill members with a low reported load and avoid those with a high one within a few hundred
/// milliseconds.
const EQUAL_WEIGHT_AGE: Millis = Millis(200);

/// Load of a member whose slots are all in use, in permille.
const FULL_LOAD_PERMILLE: u64 = 1_000;

/// A gateway's knowledge of one upstream that serves a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Number of requests that the upstream runs concurrently; at least 1.
    pub slots: u32,
    /// Number of this gateway's requests in flight there.
    pub own: u32,
    /// Number of other gateways' requests there, from the last report or reply.
    pub others: u32,
    /// Age of `others` when the member was sampled; zero in a pool.
    #[serde(default)]
    pub age: Millis,
    /// Whether it refused this request because no slot was free.
    #[serde(default)]
    pub refused: bool,
}

impl Member {
    /// Returns the known requests per slot, in permille.
    #[must_use]
    pub fn load(&self) -> u64 {
        let requests = u64::from(self.own) + u64::from(self.others);
        requests * FULL_LOAD_PERMILLE / u64::from(self.slots.max(1))
    }

    /// Returns the load that is expected now, in permille. It approaches `DEFAULT_LOAD_PERMILLE` as the known
    /// load ages.
    #[must_use]
    pub fn expected_load(&self) -> u64 {
        let age = u128::from(self.age.0);
        let equal_weight_age = u128::from(EQUAL_WEIGHT_AGE.0);
        let known = u128::from(self.load()) * equal_weight_age;
        let weighted_default = u128::from(DEFAULT_LOAD_PERMILLE) * age;
        u64::try_from((known + weighted_default) / (equal_weight_age + age)).unwrap_or(u64::MAX)
    }
}

/// The upstreams of one version that may receive new requests, those of the gateway's data centre first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pool {
    members: Vec<Member>,
    /// Time at which each agent counted its load, in the order of `members`.
    counted_at: Vec<Millis>,
    /// Indexes into `members`, sorted by name.
    by_name: Vec<usize>,
    /// Indexes of the members that replied most recently, the latest first.
    recent: Vec<usize>,
    local_count: usize,
}

/// The message with which an agent's load arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// A regular state report.
    Report,
    /// An answer or a refusal.
    Reply,
}

/// Upstreams that earlier attempts of a request were sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tried {
    /// Upstreams that refused it because no slot was free; the request may wait there.
    pub full: Vec<UpstreamId>,
    /// Upstreams that must not receive it again.
    pub failed: Vec<UpstreamId>,
}

impl Tried {
    fn contains(&self, upstream: &UpstreamId) -> bool {
        self.full.contains(upstream) || self.failed.contains(upstream)
    }
}

/// Why a member was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PickReason {
    /// It had the lowest expected load of the sampled members.
    LowestLoad,
    /// The prompt's prefix is likely cached there, and its expected load is low or close to the lowest.
    PrefixAffinity,
}

/// A choice, with all data that is needed to replay it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pick {
    /// The members that were compared, in the order of sampling.
    pub sampled: Vec<Member>,
    /// Index in `sampled` of the member that prefix affinity prefers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub affine: Option<usize>,
    /// The chosen upstream.
    pub upstream: UpstreamId,
    /// Why it was chosen.
    pub why: PickReason,
    /// Whether the request may wait in the agent's queue; otherwise the agent refuses it if no slot is free.
    #[serde(default)]
    pub wait: bool,
}

impl Pool {
    /// Creates a pool; `local` are the members in the gateway's data centre.
    #[must_use]
    pub fn new(local: Vec<Member>, remote: Vec<Member>) -> Self {
        let local_count = local.len();
        let mut members = local;
        members.extend(remote);
        let mut by_name: Vec<_> = (0..members.len()).collect();
        by_name.sort_by(|a, b| members[*a].upstream.cmp(&members[*b].upstream));
        Self {
            counted_at: vec![Millis(0); members.len()],
            by_name,
            recent: Vec::new(),
            members,
            local_count,
        }
    }

    /// Returns whether the pool has no members.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns all members, local ones first.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns a member, to update its load.
    pub fn member_mut(&mut self, upstream: &UpstreamId) -> Option<&mut Member> {
        let at = self.position(upstream)?;
        self.members.get_mut(at)
    }

    /// Records the number of other gateways' requests that an agent counted at `counted_at`.
    ///
    /// A count that is older than the known one is ignored, since a report may arrive after a reply with a later
    /// count.
    pub fn observe(
        &mut self,
        upstream: &UpstreamId,
        others: u32,
        counted_at: Millis,
        source: LoadSource,
    ) {
        let Some(at) = self.position(upstream) else {
            return;
        };
        if counted_at >= self.counted_at[at] {
            self.counted_at[at] = counted_at;
            self.members[at].others = others;
        }
        if source == LoadSource::Reply {
            self.recent.retain(|known| *known != at);
            self.recent.insert(0, at);
            self.recent.truncate(MAX_RECENT_MEMBERS);
        }
    }

    /// Chooses an upstream for the next attempt of a request; returns `None` if none is left.
    ///
    /// Each attempt needs new random draws. The number of compared members does not depend on the size of the
    /// pool.
    #[must_use]
    pub fn pick(
        &self,
        now: Millis,
        draws: [u64; 2],
        prefix: Option<u64>,
        tried: &Tried,
    ) -> Option<Pick> {
        let probe = (tried.full.len() < MAX_PROBES)
            .then(|| self.probe(now, draws, prefix, tried))
            .flatten();
        probe.or_else(|| self.shortest_queue(now, tried))
    }

    fn probe(
        &self,
        now: Millis,
        draws: [u64; 2],
        prefix: Option<u64>,
        tried: &Tried,
    ) -> Option<Pick> {
        let mut sampled = Vec::new();
        let affine = prefix.and_then(|hash| self.affine_member(hash, tried));
        sampled.extend(affine);
        self.sample_recent(&(0..self.local_count), tried, &mut sampled);
        self.sample(
            0..self.local_count,
            draws[0],
            LOCAL_SAMPLES,
            tried,
            &mut sampled,
        );
        if sampled
            .iter()
            .all(|at| self.members[*at].load() >= FULL_LOAD_PERMILLE)
        {
            let remote = self.local_count..self.members.len();
            self.sample_recent(&remote, tried, &mut sampled);
            self.sample(remote, draws[1], REMOTE_SAMPLES, tried, &mut sampled);
        }
        let sampled = sampled.iter().map(|at| self.with_age(*at, now)).collect();
        choose(sampled, affine.map(|_| 0))
    }

    /// Chooses among the members that refused the request.
    fn shortest_queue(&self, now: Millis, tried: &Tried) -> Option<Pick> {
        let waitable = tried.full.iter().filter(|u| !tried.failed.contains(u));
        let sampled = waitable
            .filter_map(|upstream| self.position(upstream))
            .map(|at| Member {
                refused: true,
                ..self.with_age(at, now)
            });
        choose(sampled.collect(), None)
    }

    /// Chooses the member with the lowest load by a scan of all members; the baseline of the experiments.
    #[must_use]
    pub fn pick_by_scan(&self, tried: &[UpstreamId]) -> Option<&Member> {
        self.members
            .iter()
            .filter(|m| !tried.contains(&m.upstream))
            .min_by_key(|m| m.load())
    }

    fn with_age(&self, at: usize, now: Millis) -> Member {
        let age = now.since(self.counted_at[at]);
        Member {
            age,
            ..self.members[at].clone()
        }
    }

    fn position(&self, upstream: &UpstreamId) -> Option<usize> {
        let found = self
            .by_name
            .binary_search_by(|at| self.members[*at].upstream.cmp(upstream));
        found.ok().map(|at| self.by_name[at])
    }

    /// Returns the member that a prefix hash maps to, which is the same at every gateway of a data centre.
    fn affine_member(&self, hash: u64, tried: &Tried) -> Option<usize> {
        let candidate_count = if self.local_count == 0 {
            self.members.len()
        } else {
            self.local_count
        };
        let at = (candidate_count > 0).then(|| index_below(hash, candidate_count))?;
        (!tried.contains(&self.members[at].upstream)).then_some(at)
    }

    /// Adds the untried members that replied most recently.
    fn sample_recent(&self, range: &Range<usize>, tried: &Tried, sampled: &mut Vec<usize>) {
        for at in &self.recent {
            let is_new = range.contains(at) && !sampled.contains(at);
            if is_new && !tried.contains(&self.members[*at].upstream) {
                sampled.push(*at);
            }
        }
    }

    /// Adds up to `count` untried members, each the first at or after a random index.
    fn sample(
        &self,
        range: Range<usize>,
        draw: u64,
        count: u32,
        tried: &Tried,
        sampled: &mut Vec<usize>,
    ) {
        if range.is_empty() {
            return;
        }
        for n in 0..count {
            // Different bits of the draw give different start indexes, so that it is not always neighbours that
            // are compared.
            let bits = draw.rotate_right(n * u64::BITS / count);
            let start = range.start + index_below(bits, range.len());
            let untried = (start..range.end)
                .chain(range.start..start)
                .find(|at| !sampled.contains(at) && !tried.contains(&self.members[*at].upstream));
            sampled.extend(untried);
        }
    }
}

/// Chooses among sampled members; also replays a recorded choice.
#[must_use]
pub fn choose(sampled: Vec<Member>, affine: Option<usize>) -> Option<Pick> {
    let best = sampled.iter().min_by_key(|m| m.expected_load())?;
    let preferred = affine.and_then(|at| sampled.get(at));
    let bound = AFFINITY_LOAD_LIMIT_PERMILLE.max(best.expected_load() + AFFINITY_MARGIN_PERMILLE);
    let (chosen, why) = match preferred {
        Some(member) if member.expected_load() <= bound && member.load() < FULL_LOAD_PERMILLE => {
            (member, PickReason::PrefixAffinity)
        }
        _ => (best, PickReason::LowestLoad),
    };
    let upstream = chosen.upstream.clone();
    let wait = chosen.refused;
    Some(Pick {
        sampled,
        affine,
        upstream,
        why,
        wait,
    })
}

/// Maps a hash or a random draw to an index below `len`, which must not be zero.
fn index_below(hash: u64, len: usize) -> usize {
    let len = u64::try_from(len).unwrap_or(u64::MAX);
    usize::try_from(hash % len).unwrap_or_default()
}
