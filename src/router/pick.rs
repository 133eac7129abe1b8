//! Choice of an upstream for one attempt.
//!
//! Requests that share a prompt prefix go to the same few upstreams, whose prompt caches hold the prefix. This is
//! rendezvous hashing with bounded loads: a hot prefix spreads to the next upstreams in its rendezvous order. All
//! gateways use the same hash, so they agree without exchanging messages. Requests without a prefix go to the
//! upstream with the fewest requests of this gateway in flight per slot; upstreams of the gateway's own data
//! centre are preferred.

use super::sizes::SizeMix;
use super::spread;

/// Load bound of an upstream for prefix affinity, in percent of the mean number of requests in flight. An upstream
/// at the bound is skipped in the prefix's rendezvous order.
const LOAD_BOUND_PERCENT: u64 = 130;

/// Requests added to the load bound, so that prefix affinity also holds while upstreams are nearly idle.
const LOAD_BOUND_SLACK_REQUESTS: u64 = 2;

/// Cost of leaving a request's own lane, as backlog in prompt tokens of the largest model: the request goes to
/// another lane only if that saves more work than this, about a seventh of a second. It is less than
/// [`BACKLOG_SLACK_TOKENS`], so that prefix affinity decides while upstreams are idle.
const LEAVE_LANE_COST_TOKENS: u64 = 4_000;

/// Cost for a request of a larger model to use the lane of the smallest one. It is higher because every request
/// starts on the smallest model.
const USE_SMALL_LANE_COST_TOKENS: u64 = 20_000;

/// Minimum number of upstreams in a size class. In a smaller class, requests wait for one of its upstreams while
/// those of other classes are idle.
const MIN_CLASS_UPSTREAMS: usize = 4;

/// Maximum number of size classes.
const MAX_SIZE_CLASSES: usize = 4;

/// Pending prompt tokens added to the bound on pending work, which is [`LOAD_BOUND_PERCENT`] of the mean. An
/// upstream above that bound is skipped in the prefix's rendezvous order.
const PENDING_SLACK_TOKENS: u64 = 2_048;

/// Minimum number of upstreams for which lanes are used; with fewer, all upstreams serve all models.
const MIN_UPSTREAMS_FOR_LANES: usize = 4;

/// Load added to an upstream in another data centre, in permille of its slots.
const REMOTE_LOAD_PERMILLE: u64 = 120;

/// One upstream that the attempt may be sent to.
#[expect(
    clippy::struct_excessive_bools,
    reason = "they are independent facts about one upstream"
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Hash of the upstream's id.
    pub hash: u64,
    /// Whether it is in the gateway's data centre.
    pub is_local: bool,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Requests of this gateway in flight there.
    pub in_flight: u32,
    /// Work of this gateway's requests there that have produced no output yet, in prompt tokens of the largest
    /// model.
    pub pending: u64,
    /// Requests of all gateways there that have produced no output yet, if a recent load report is known.
    pub awaiting_output: Option<u64>,
    /// Requests of this gateway there that have produced no output yet.
    pub own_awaiting_output: u64,
    /// Requests of all gateways that hold a slot there; 0 if no recent load report is known.
    pub running: u64,
    /// Cost of using this upstream if it is in another lane, in prompt tokens of the largest model; 0 in the
    /// request's own lane.
    pub lane_cost: u64,
    /// Whether it is in the lane of the smallest model.
    pub serves_small: bool,
    /// Share of recent attempts that failed, in permille.
    pub failures: u32,
    /// Whether outlier detection has ejected it; then it is used only if no other upstream is left.
    pub is_ejected: bool,
    /// Whether an earlier attempt of the request was sent to it; then it is used only as the last choice.
    pub is_tried: bool,
}

impl Candidate {
    const fn is_usable(&self) -> bool {
        !self.is_ejected && !self.is_tried
    }

    fn load(&self) -> u64 {
        let load = u64::from(self.in_flight) * 1_000 / u64::from(self.slots.max(1));
        let distance = if self.is_local {
            0
        } else {
            REMOTE_LOAD_PERMILLE
        };
        load + distance + u64::from(self.failures)
    }
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It probably has the prompt's prefix in its cache.
    Prefix,
    /// It probably has the prefix in its cache, and its reported backlog is short.
    Backlog,
    /// It has the least load.
    Load,
    /// Every upstream has been tried or is ejected.
    LastChoice,
}

impl Reason {
    /// Returns the name used in logs.
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

/// Group of upstreams that an attempt prefers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Lane<'a> {
    /// All upstreams.
    Any,
    /// The upstreams of the smallest model.
    Small,
    /// The upstreams of the larger models, for a prompt of the given size.
    Large {
        /// Distribution of recent prompt sizes of the larger models.
        sizes: &'a SizeMix,
        /// Length of the prompt in tokens.
        prompt: u64,
    },
}

/// Assigns the upstreams to lanes and sets each one's lane cost for a request, 0 in the request's own lane.
///
/// Long prompts on a large model delay every token of the requests that run on the same upstream. The smallest model
/// answers first and takes a fraction of the work, so it gets upstreams of its own: `small_share_permille` of all.
///
/// The assignment follows the order of the id hashes. Gateways with the same list of upstreams agree on which
/// serve the smallest model.
pub fn assign_lanes(candidates: &mut [Candidate], lane: Lane<'_>, small_share_permille: u64) {
    if lane == Lane::Any || candidates.len() < MIN_UPSTREAMS_FOR_LANES {
        return;
    }
    let mut order: Vec<_> = (0..candidates.len()).collect();
    order.sort_by_key(|&at| candidates[at].hash);
    let small = (order.len() as u64 * small_share_permille).div_ceil(1_000);
    let small = usize::try_from(small).map_or(order.len(), |small| small.min(order.len()));
    let large = order.len() - small;
    let classes = (large / MIN_CLASS_UPSTREAMS).clamp(1, MAX_SIZE_CLASSES);
    let own = match lane {
        // Before enough prompt sizes are known, `class` returns `None` and all classes are used. If gateways that
        // start at the same time guessed a class, they would send to the same few upstreams.
        Lane::Any | Lane::Small => None,
        Lane::Large { sizes, prompt } => sizes.class(prompt, classes),
    };
    for (rank, at) in order.into_iter().enumerate() {
        let candidate = &mut candidates[at];
        candidate.serves_small = rank < small;
        candidate.lane_cost = match (lane, rank.checked_sub(small)) {
            (Lane::Any, _) | (Lane::Small, None) => 0,
            (Lane::Small, Some(_)) => LEAVE_LANE_COST_TOKENS,
            (Lane::Large { .. }, None) => USE_SMALL_LANE_COST_TOKENS,
            (Lane::Large { .. }, Some(rank)) => {
                let class = rank * classes / large.max(1);
                let is_own = own.is_none_or(|own| own == class);
                if is_own { 0 } else { LEAVE_LANE_COST_TOKENS }
            }
        };
    }
}

/// Excludes the upstreams of other lanes, by marking them as tried, if the request's own lane has a usable one.
fn exclude_other_lanes(candidates: &[Candidate]) -> Vec<Candidate> {
    let has_own = candidates.iter().any(|c| c.is_usable() && c.lane_cost == 0);
    let mut own = candidates.to_vec();
    for candidate in &mut own {
        candidate.is_tried |= has_own && candidate.lane_cost > 0;
    }
    own
}

/// Properties of the request that an upstream is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PickRequest {
    /// Hash of the shared prompt prefix, if there is one.
    pub affinity: Option<u64>,
    /// Work of one prompt token on the request's model, in permille of that on the largest model.
    pub token_permille: u64,
    /// Work that all gateways are expected to send to the request's lane before the next load reports, in prompt
    /// tokens of the largest model.
    pub arriving: u64,
    /// Mean work of a request on the smallest and on the larger models, in prompt tokens of the largest model.
    pub mean_work: [u64; 2],
}

/// Returns the index of the upstream to use, and why it was chosen; `draw` is a random number that breaks ties.
#[must_use]
pub fn pick(candidates: &[Candidate], request: PickRequest, draw: u64) -> Option<(usize, Reason)> {
    let usable = candidates.iter().filter(|c| c.is_usable()).count() as u64;
    if usable == 0 {
        return choose_by_load(candidates, draw, |c| !c.is_tried)
            .or_else(|| choose_by_load(candidates, draw, |_| true))
            .map(|at| (at, Reason::LastChoice));
    }
    if let Some(affinity) = request.affinity
        && let Some(at) = choose_by_backlog(candidates, request, affinity)
    {
        return Some((at, Reason::Backlog));
    }
    let own = exclude_other_lanes(candidates);
    if let Some(affinity) = request.affinity
        && let Some(at) = choose_by_prefix(&own, affinity)
    {
        return Some((at, Reason::Prefix));
    }
    choose_by_load(&own, draw, Candidate::is_usable).map(|at| (at, Reason::Load))
}

/// Assumed work of a request that already produces output, in prompt tokens of the largest model.
const ASSUMED_RUNNING_WORK_TOKENS: u64 = 150;

/// Work of a request on the smallest model, in permille of that on a large model.
const SMALL_WORK_PERMILLE: u64 = 100;

/// Backlog above the lowest one up to which a prefix stays with its upstream, in prompt tokens of the request's
/// model. Processing a shared prefix again on another upstream costs about as much.
const BACKLOG_SLACK_TOKENS: u64 = 4_500;

impl Candidate {
    /// Returns the work ahead of a new request plus the lane cost, if a recent load report is known.
    fn cost(&self, mean_work: [u64; 2]) -> Option<u64> {
        Some(self.backlog(mean_work)? + self.lane_cost)
    }

    /// Returns the work ahead of a new request, in prompt tokens of the largest model, if a recent load report
    /// is known.
    #[must_use]
    pub fn backlog(&self, mean_work: [u64; 2]) -> Option<u64> {
        let awaiting_output = self.awaiting_output?;
        // Requests that this gateway sent after the report are counted in `own_awaiting_output` and `pending`,
        // but not in `awaiting_output`, so the difference can be negative.
        let others = awaiting_output.saturating_sub(self.own_awaiting_output);
        let running = self.running.max(u64::from(self.in_flight)) * ASSUMED_RUNNING_WORK_TOKENS;
        let [small, large] = mean_work;
        let assumed = if self.serves_small {
            others * small + running * SMALL_WORK_PERMILLE / 1_000
        } else {
            others * large + running
        };
        Some(self.pending + assumed)
    }
}

/// Returns an upstream whose backlog is below the level up to which the arriving work fills the upstreams. Each one
/// gets the part of the prefixes that fills it up to the level; see [`spread`]. `None` if fewer than half of the
/// usable upstreams have a recent load report.
fn choose_by_backlog(
    candidates: &[Candidate],
    request: PickRequest,
    affinity: u64,
) -> Option<usize> {
    let usable = candidates.iter().filter(|c| c.is_usable()).count();
    let mut costs: Vec<_> = (candidates.iter().enumerate())
        .filter(|(_, c)| c.is_usable())
        .filter_map(|(at, c)| Some((c.cost(request.mean_work)?, at)))
        .collect();
    if costs.len() * 2 < usable {
        return None;
    }
    costs.sort_unstable();
    let sorted: Vec<_> = costs.iter().map(|(cost, _)| *cost).collect();
    let slack = BACKLOG_SLACK_TOKENS * request.token_permille / 1_000;
    let level = spread::level(&sorted, request.arriving).max(sorted.first()? + slack.max(1));
    let position = |at: usize, weight: u64| spread::position(affinity, candidates[at].hash, weight);
    (costs.into_iter())
        .take_while(|(cost, _)| *cost < level)
        .map(|(cost, at)| (position(at, level - cost), at))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, at)| at)
}

/// Returns the first upstream in the prefix's rendezvous order whose load and pending work are within the bounds.
fn choose_by_prefix(candidates: &[Candidate], affinity: u64) -> Option<usize> {
    let usable = candidates.iter().filter(|c| c.is_usable()).count().max(1) as u64;
    let total: u64 = (candidates.iter().filter(|c| c.is_usable()))
        .map(|c| u64::from(c.in_flight))
        .sum();
    let bound = total * LOAD_BOUND_PERCENT / 100 / usable + LOAD_BOUND_SLACK_REQUESTS;
    let pending: u64 = (candidates.iter().filter(|c| c.is_usable()))
        .map(|c| c.pending)
        .sum();
    let pending_bound = pending * LOAD_BOUND_PERCENT / 100 / usable + PENDING_SLACK_TOKENS;
    let is_within_bounds = |c: &Candidate| {
        let in_flight = u64::from(c.in_flight);
        let has_room = in_flight < bound && in_flight < u64::from(c.slots);
        c.is_usable() && has_room && c.pending <= pending_bound
    };
    (0..candidates.len())
        .filter(|&at| is_within_bounds(&candidates[at]))
        .max_by_key(|&at| super::mix(affinity ^ candidates[at].hash))
}

fn choose_by_load(
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
