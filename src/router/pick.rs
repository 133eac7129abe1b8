//! Choice of an upstream for one attempt.
//!
//! Requests that share a prompt prefix go to the same few upstreams, whose cache holds it: rendezvous
//! hashing with bounded load, so that a hot prefix spreads to the next upstreams in its order. All
//! gateways use the same hash and agree without messages. Requests without a prefix go where the fewest
//! of this gateway are in flight, the own data centre first.

/// Load above the mean at which a prefix's preferred upstream is passed over, in percent.
const BOUND_PERCENT: u64 = 130;

/// Requests on top of the bound, so that a nearly idle fleet keeps its affinity.
const BOUND_SLACK: u64 = 2;

/// Part of the upstreams that serves the smallest model, in percent, if a route has several models.
///
/// Long prompts on a large model hold up every token of the requests beside them. The smallest model takes
/// about a fifth of the work and answers first, so it has upstreams of its own.
const SMALL_MODEL_PERCENT: usize = 25;

/// Part of the upstreams that serves the largest prompts on larger models, in percent.
const LARGE_PROMPT_PERCENT: usize = 40;

/// Part of the tokens of larger models that the largest prompts make up, in percent; it is the part that
/// [`LARGE_PROMPT_PERCENT`] is of the upstreams of larger models.
pub const LARGE_PROMPT_TOKENS: u32 = 45;

/// Unread prompt tokens above the mean at which a prefix's preferred upstream is passed over.
const PENDING_SLACK: u64 = 2_048;

/// Fewest upstreams that are divided between models.
const MIN_DIVIDED: usize = 4;

/// Load that another data centre counts for, in permille of an upstream's slots.
const DISTANCE: u64 = 120;

/// One upstream that may take the attempt.
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
    /// Prompt tokens of this gateway's requests whose answers have not begun there.
    pub pending: u64,
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
            Self::Load => "load",
            Self::LastChoice => "last_choice",
        }
    }
}

/// Which models' upstreams an attempt prefers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Lane {
    /// All upstreams.
    Any,
    /// Those of the smallest model.
    Small,
    /// Those of the larger models.
    Large,
    /// Those of the largest prompts on larger models.
    LargePrompt,
}

impl Lane {
    /// Returns the lane of a model by its index, smallest first.
    #[must_use]
    pub const fn of(model: Option<usize>, has_large_prompt: bool) -> Self {
        match model {
            None => Self::Any,
            Some(0) => Self::Small,
            Some(_) if has_large_prompt => Self::LargePrompt,
            Some(_) => Self::Large,
        }
    }
}

/// Marks the upstreams outside a lane as tried, as long as the lane has one that can be used.
///
/// The division follows the order of the hashes, so all gateways agree on it.
pub fn divide(candidates: &mut [Candidate], lane: Lane) {
    if lane == Lane::Any || candidates.len() < MIN_DIVIDED {
        return;
    }
    let mut order: Vec<_> = (0..candidates.len()).collect();
    order.sort_by_key(|&at| candidates[at].hash);
    let part = |percent: usize| (order.len() * percent / 100).max(1);
    let small = part(SMALL_MODEL_PERCENT);
    let large = small + part(LARGE_PROMPT_PERCENT);
    let own = match lane {
        Lane::Small => 0..small,
        Lane::LargePrompt => small..large,
        Lane::Any | Lane::Large => large..order.len(),
    };
    if order[own.clone()]
        .iter()
        .any(|&at| candidates[at].is_good())
    {
        for (rank, at) in order.into_iter().enumerate() {
            candidates[at].is_tried |= !own.contains(&rank);
        }
    }
}

/// Returns the index of the upstream to use; `affinity` is the hash of the shared prefix.
#[must_use]
pub fn pick(candidates: &[Candidate], affinity: Option<u64>, draw: u64) -> Option<(usize, Reason)> {
    let good = candidates.iter().filter(|c| c.is_good()).count() as u64;
    if good == 0 {
        return least_loaded(candidates, draw, |c| !c.is_tried)
            .or_else(|| least_loaded(candidates, draw, |_| true))
            .map(|at| (at, Reason::LastChoice));
    }
    if let Some(affinity) = affinity
        && let Some(at) = preferred(candidates, affinity, good)
    {
        return Some((at, Reason::Prefix));
    }
    least_loaded(candidates, draw, Candidate::is_good).map(|at| (at, Reason::Load))
}

/// Returns the first upstream in the prefix's order whose load is within the bound.
fn preferred(candidates: &[Candidate], affinity: u64, good: u64) -> Option<usize> {
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
