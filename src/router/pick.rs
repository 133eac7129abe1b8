//! Choice of an upstream for one attempt.
//!
//! Requests that share a prompt prefix go to the same few upstreams, whose cache holds it: rendezvous
//! hashing with bounded load, so that a hot prefix spreads to the next upstreams in its order. All
//! gateways use the same hash and agree without messages. Requests without a prefix go where the fewest
//! of this gateway are in flight, the own data centre first.

use super::sizes::SizeMix;

/// Load above the mean at which a prefix's preferred upstream is passed over, in percent.
const BOUND_PERCENT: u64 = 130;

/// Requests on top of the bound, so that a nearly idle fleet keeps its affinity.
const BOUND_SLACK: u64 = 2;

/// Part of the upstreams that serves the smallest model, in percent, if a route has several models.
///
/// Long prompts on a large model hold up every token of the requests beside them. The smallest model takes
/// about a fifth of the work and answers first, so it has upstreams of its own.
const SMALL_MODEL_PERCENT: usize = 18;

/// Work that a request waits for in its own lane before it goes to another one, in prompt tokens of the
/// largest model; about a seventh of a second. It is less than [`BACKLOG_SLACK`], so that on idle upstreams
/// the prefix decides.
const OTHER_LANE_COST: u64 = 4_000;

/// The same for requests of larger models that would go to the lane of the smallest one, where every
/// request begins.
const SMALL_LANE_COST: u64 = 20_000;

/// Fewest upstreams of a size class; with fewer, a class waits for one of them while others are idle.
const MIN_CLASS: usize = 4;

/// Most size classes.
const MAX_CLASSES: usize = 4;

/// Unread prompt tokens above the mean at which a prefix's preferred upstream is passed over.
const PENDING_SLACK: u64 = 2_048;

/// Fewest upstreams that are divided between models.
const MIN_DIVIDED: usize = 4;

/// Load that another data centre counts for, in permille of an upstream's slots.
const DISTANCE: u64 = 120;

/// One upstream that may take the attempt.
#[expect(
    clippy::struct_excessive_bools,
    reason = "they are independent facts about one upstream"
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Hash of its id.
    pub hash: u64,
    /// Whether it is in the gateway's data centre.
    pub is_local: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests of this gateway that are in flight there.
    pub in_flight: u32,
    /// Work of this gateway's requests whose answers have not begun there, in prompt tokens of the largest
    /// model.
    pub pending: u64,
    /// Requests of all gateways there that have made no output, if it told its load.
    pub starting: Option<u64>,
    /// Requests of this gateway there that have made no output.
    pub own_starting: u64,
    /// Requests of all gateways there that have a slot, if it told its load.
    pub running: u64,
    /// Work that a place in another lane is worth avoiding; zero in the request's own lane.
    pub lane_cost: u64,
    /// Whether it is in the lane of the smallest model.
    pub serves_small: bool,
    /// Share of recent failures, in permille.
    pub failures: u32,
    /// Whether it is ejected; used only if all are.
    pub is_ejected: bool,
    /// Whether an earlier attempt of the request was there; used only as the last choice.
    pub is_tried: bool,
}

impl Candidate {
    const fn is_good(&self) -> bool {
        !self.is_ejected && !self.is_tried
    }

    fn load(&self) -> u64 {
        let load = u64::from(self.in_flight) * 1_000 / u64::from(self.slots.max(1));
        let distance = if self.is_local { 0 } else { DISTANCE };
        load + distance + u64::from(self.failures)
    }
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It likely holds the prompt's prefix.
    Prefix,
    /// It likely holds the prefix, and its reported backlog is short.
    Backlog,
    /// It has the least load.
    Load,
    /// All sound ones were tried or ejected.
    LastChoice,
}

impl Reason {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Prefix => "prefix",
            Self::Backlog => "backlog",
            Self::Load => "load",
            Self::LastChoice => "last_choice",
        }
    }
}

/// Which upstreams an attempt prefers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Lane<'a> {
    /// All upstreams.
    Any,
    /// Those of the smallest model.
    Small,
    /// Those of larger models for prompts of a size.
    Large {
        /// Recent prompts of larger models.
        sizes: &'a SizeMix,
        /// Tokens of the prompt.
        prompt: u64,
    },
}

/// Gives each upstream its lane's cost for a request; zero inside the request's own lane.
///
/// The division follows the order of the hashes, so all gateways agree on it.
pub fn divide(candidates: &mut [Candidate], lane: Lane<'_>) {
    if lane == Lane::Any || candidates.len() < MIN_DIVIDED {
        return;
    }
    let mut order: Vec<_> = (0..candidates.len()).collect();
    order.sort_by_key(|&at| candidates[at].hash);
    let small = (order.len() * SMALL_MODEL_PERCENT).div_ceil(100);
    let large = order.len() - small;
    let classes = (large / MIN_CLASS).clamp(1, MAX_CLASSES);
    let own = match lane {
        // Guesses of many starting gateways would meet at the same few upstreams.
        Lane::Any | Lane::Small => None,
        Lane::Large { sizes, prompt } => sizes.class(prompt, classes),
    };
    for (rank, at) in order.into_iter().enumerate() {
        let candidate = &mut candidates[at];
        candidate.serves_small = rank < small;
        candidate.lane_cost = match (lane, rank.checked_sub(small)) {
            (Lane::Any, _) | (Lane::Small, None) => 0,
            (Lane::Small, Some(_)) => OTHER_LANE_COST,
            (Lane::Large { .. }, None) => SMALL_LANE_COST,
            (Lane::Large { .. }, Some(rank)) => {
                let class = rank * classes / large.max(1);
                let is_own = own.is_none_or(|own| own == class);
                if is_own { 0 } else { OTHER_LANE_COST }
            }
        };
    }
}

/// Leaves out the upstreams of other lanes, as long as the own one has a sound upstream.
fn stay_in_lane(candidates: &[Candidate]) -> Vec<Candidate> {
    let has_own = candidates.iter().any(|c| c.is_good() && c.lane_cost == 0);
    let mut own = candidates.to_vec();
    for candidate in &mut own {
        candidate.is_tried |= has_own && candidate.lane_cost > 0;
    }
    own
}

/// Request that an upstream is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wanted {
    /// Hash of the shared prefix.
    pub affinity: Option<u64>,
    /// Work of one prompt token on the request's model, in permille of the largest model's.
    pub token_permille: u64,
}

/// Returns the index of the upstream to use.
#[must_use]
pub fn pick(candidates: &[Candidate], wanted: Wanted, draw: u64) -> Option<(usize, Reason)> {
    let good = candidates.iter().filter(|c| c.is_good()).count() as u64;
    if good == 0 {
        return least_loaded(candidates, draw, |c| !c.is_tried)
            .or_else(|| least_loaded(candidates, draw, |_| true))
            .map(|at| (at, Reason::LastChoice));
    }
    if let Some(affinity) = wanted.affinity
        && let Some(at) = by_backlog(candidates, affinity, wanted.token_permille)
    {
        return Some((at, Reason::Backlog));
    }
    let own = stay_in_lane(candidates);
    if let Some(affinity) = wanted.affinity
        && let Some(at) = preferred(&own, affinity)
    {
        return Some((at, Reason::Prefix));
    }
    least_loaded(&own, draw, Candidate::is_good).map(|at| (at, Reason::Load))
}

/// Prompt tokens that a request of another gateway is taken to have, about the mean of long prompts.
const OTHERS_TOKENS: u64 = 6_000;

/// Work that a request counts for which already makes output.
const RUNNING_WORK: u64 = 150;

/// Part of a large model's work that a request of the smallest one takes, in permille.
const SMALL_PERMILLE: u64 = 100;

/// Backlog above the least one at which a prefix's preferred upstream is passed over, in prompt tokens of
/// the request's model; to read a shared prefix again costs about as much.
const BACKLOG_SLACK: u64 = 4_500;

impl Candidate {
    /// Returns the work before a new request, with the cost of leaving its lane, if the upstream told its load.
    fn detour(&self) -> Option<u64> {
        Some(self.backlog()? + self.lane_cost)
    }

    /// Returns the work before a new request, in prompt tokens of the largest model, if the upstream told
    /// its load.
    #[must_use]
    pub fn backlog(&self) -> Option<u64> {
        let starting = self.starting?;
        // The own requests since the report are in `pending`, but not in the report.
        let others = starting.saturating_sub(self.own_starting) * OTHERS_TOKENS;
        let running = self.running.max(u64::from(self.in_flight)) * RUNNING_WORK;
        let unknown = others + running;
        let unknown = if self.serves_small {
            unknown * SMALL_PERMILLE / 1_000
        } else {
            unknown
        };
        Some(self.pending + unknown)
    }
}

/// Returns the upstream by reported backlogs: the first one in the prefix's order that is not much above
/// the least. `None` if too few upstreams tell their load.
fn by_backlog(candidates: &[Candidate], affinity: u64, token_permille: u64) -> Option<usize> {
    let good = || (0..candidates.len()).filter(|&at| candidates[at].is_good());
    let known = good()
        .filter(|&at| candidates[at].starting.is_some())
        .count();
    if known * 2 < good().count() {
        return None;
    }
    let least = good().filter_map(|at| candidates[at].detour()).min()?;
    let slack = BACKLOG_SLACK * token_permille / 1_000;
    let is_open = |at: &usize| {
        let detour = candidates[*at].detour();
        detour.is_some_and(|detour| detour <= least + slack)
    };
    good()
        .filter(is_open)
        .max_by_key(|&at| super::mix(affinity ^ candidates[at].hash))
}

/// Returns the first upstream in the prefix's order whose load is within the bound.
fn preferred(candidates: &[Candidate], affinity: u64) -> Option<usize> {
    let good = candidates.iter().filter(|c| c.is_good()).count().max(1) as u64;
    let total: u64 = (candidates.iter().filter(|c| c.is_good()))
        .map(|c| u64::from(c.in_flight))
        .sum();
    let bound = total * BOUND_PERCENT / 100 / good + BOUND_SLACK;
    let pending: u64 = (candidates.iter().filter(|c| c.is_good()))
        .map(|c| c.pending)
        .sum();
    let pending_bound = pending * BOUND_PERCENT / 100 / good + PENDING_SLACK;
    let open = |c: &Candidate| {
        let in_flight = u64::from(c.in_flight);
        let has_room = in_flight < bound && in_flight < u64::from(c.slots);
        c.is_good() && has_room && c.pending <= pending_bound
    };
    (0..candidates.len())
        .filter(|&at| open(&candidates[at]))
        .max_by_key(|&at| super::mix(affinity ^ candidates[at].hash))
}

fn least_loaded(
    candidates: &[Candidate],
    draw: u64,
    is_allowed: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    (0..candidates.len())
        .filter(|&at| is_allowed(&candidates[at]))
        .min_by_key(|&at| {
            (
                candidates[at].load(),
                super::mix(draw ^ candidates[at].hash),
            )
        })
}
