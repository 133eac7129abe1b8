//! Expected cost and quality of plans, and the search for the cheapest one.

use super::{Accept, PlanInput, Reason};
use crate::rating::Estimate;

/// Difference in quality that does not justify a higher cost while no plan meets the target. During an outage of
/// the rating service, a step that nearly always escalates adds a quality of 0.00001 at the full cost of its run.
const QUALITY_MARGIN: f64 = 0.001;

/// Cost and pass rates of a step, as the search needs them.
#[derive(Debug, Clone, Copy)]
pub(super) struct StepEstimates {
    /// Expected cost of one run, in [`Micros`](crate::units::Micros).
    pub cost: f64,
    /// Pass rate on requests of which no earlier step's answer was rated bad.
    pub first: Estimate,
    /// Pass rate on requests of which an earlier step's answer was rated bad.
    pub escalated: Estimate,
}

/// Parameters that all plans of one request share.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlanParams {
    /// Quality that the answers of all requests of the class should have on average.
    pub aim: f64,
    /// Quality that an answer must have by itself to be accepted without a rating.
    pub target: f64,
    /// Share of answers that are rated in time.
    pub rated_in_time: f64,
}

impl PlanParams {
    pub(super) fn of(input: &PlanInput) -> Self {
        Self {
            aim: input.aim.fraction(),
            target: input.quality_target.fraction(),
            rated_in_time: input.rated_in_time.fraction(),
        }
    }

    /// Returns when the answer of a step that is not the last one is accepted.
    pub(super) fn accept(&self, step: &StepEstimates) -> Accept {
        if step.first.lower.fraction() >= self.target {
            Accept::UnlessRatedFail
        } else {
            Accept::IfRatedPass
        }
    }
}

/// A plan with its expected cost and quality; bit `n` of the mask is set if step `n` is part of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct EvaluatedPlan {
    pub mask: u32,
    pub cost: f64,
    pub quality: f64,
}

/// Requests that have no accepted answer yet, as shares of all requests.
#[derive(Debug, Clone, Copy)]
struct Unresolved {
    /// The answer of an earlier step was rated bad.
    failed: f64,
    /// No answer of an earlier step was rated.
    unrated: f64,
}

impl Unresolved {
    fn total(self) -> f64 {
        self.failed + self.unrated
    }

    /// Returns the share of requests that get a good answer from a step with these pass rates.
    fn good_share(self, first: f64, escalated: f64) -> f64 {
        self.failed * escalated + self.unrated * first
    }

    /// Returns the requests without an accepted answer after a step whose answers may be rejected.
    fn after(self, first: f64, escalated: f64, rated_in_time: f64, accept: Accept) -> Self {
        let rated_fail = self.total() - self.good_share(first, escalated);
        let escalated_share = if accept == Accept::IfRatedPass {
            1.0 - rated_in_time
        } else {
            0.0
        };
        Self {
            failed: rated_in_time * rated_fail + escalated_share * self.failed,
            unrated: escalated_share * self.unrated,
        }
    }
}

/// A plan under construction. Its cost is computed from the mean pass rates and its quality from their lower
/// bounds (design decision D10).
#[derive(Debug, Clone, Copy)]
struct PartialPlan {
    evaluated: EvaluatedPlan,
    by_mean: Unresolved,
    by_lower: Unresolved,
}

impl PartialPlan {
    const EMPTY: Self = Self {
        evaluated: EvaluatedPlan {
            mask: 0,
            cost: 0.0,
            quality: 0.0,
        },
        by_mean: Unresolved {
            failed: 0.0,
            unrated: 1.0,
        },
        by_lower: Unresolved {
            failed: 0.0,
            unrated: 1.0,
        },
    };

    /// Completes the plan with a step whose answer is final.
    fn finish(mut self, at: usize, step: &StepEstimates) -> EvaluatedPlan {
        let (first, escalated) = lower_bounds(step);
        self.evaluated.mask |= 1 << at;
        self.evaluated.cost += self.by_mean.total() * step.cost;
        self.evaluated.quality += self.by_lower.good_share(first, escalated);
        self.evaluated
    }

    /// Adds a step whose answer may be rejected.
    fn add_step(mut self, at: usize, step: &StepEstimates, params: &PlanParams) -> Self {
        let accept = params.accept(step);
        let rated_in_time = params.rated_in_time;
        let (first, escalated) = lower_bounds(step);
        let accepted = match accept {
            Accept::IfRatedPass => rated_in_time,
            Accept::UnlessRatedFail | Accept::Final => 1.0,
        };
        self.evaluated.mask |= 1 << at;
        self.evaluated.cost += self.by_mean.total() * step.cost;
        self.evaluated.quality += accepted * self.by_lower.good_share(first, escalated);
        self.by_lower = self.by_lower.after(first, escalated, rated_in_time, accept);
        let (first, escalated) = (step.first.mean.fraction(), step.escalated.mean.fraction());
        self.by_mean = self.by_mean.after(first, escalated, rated_in_time, accept);
        self
    }
}

fn lower_bounds(step: &StepEstimates) -> (f64, f64) {
    (step.first.lower.fraction(), step.escalated.lower.fraction())
}

/// Returns the mask with all of `len` steps.
pub(super) const fn full_mask(len: usize) -> u32 {
    (1 << len) - 1
}

/// Returns the cost and quality of the plan with this mask, which must not be zero.
pub(super) fn evaluate(steps: &[StepEstimates], params: &PlanParams, mask: u32) -> EvaluatedPlan {
    let last = mask.ilog2() as usize;
    let earlier = (0..last).filter(|at| mask & (1 << at) != 0);
    let partial = earlier.fold(PartialPlan::EMPTY, |partial, at| {
        partial.add_step(at, &steps[at], params)
    });
    partial.finish(last, &steps[last])
}

/// Two plans between which a random draw decides so that they meet the target on average, or a single plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Mixture {
    /// The plan with the higher quality.
    pub high: EvaluatedPlan,
    /// The plan with the lower cost; the same as `high` if one plan is enough.
    pub low: EvaluatedPlan,
    /// Share of requests that `high` serves.
    pub high_share: f64,
}

impl Mixture {
    const fn single(evaluated: EvaluatedPlan) -> Self {
        Self {
            high: evaluated,
            low: evaluated,
            high_share: 1.0,
        }
    }
}

/// Returns the cheapest mixture of plans that meets the target, or else the cheapest plan of nearly the highest
/// quality.
///
/// The quality and cost of a mixture are the weighted means of those of its plans. With cost on the horizontal and
/// quality on the vertical axis, the cheapest mixture is therefore the point where the upper convex hull of all
/// plans crosses the target.
pub(super) fn cheapest(steps: &[StepEstimates], params: &PlanParams) -> (Mixture, Reason) {
    let mut plans = Vec::new();
    add_extensions(steps, params, 0, PartialPlan::EMPTY, &mut plans);
    plans.sort_unstable_by(by_cost_then_quality);
    let hull = upper_hull(&plans);
    let crossing = hull.iter().position(|c| c.quality >= params.aim);
    match crossing {
        Some(0) => (Mixture::single(hull[0]), Reason::CheapestAtTarget),
        Some(at) => {
            let (low, high) = (hull[at - 1], hull[at]);
            let high_share = (params.aim - low.quality) / (high.quality - low.quality);
            let mixture = Mixture {
                high,
                low,
                high_share,
            };
            (mixture, Reason::CheapestAtTarget)
        }
        None => {
            let highest = hull.last().map_or(0.0, |c| c.quality);
            let best = hull.iter().find(|c| c.quality >= highest - QUALITY_MARGIN);
            let best = best.copied();
            let best = best.unwrap_or_else(|| evaluate(steps, params, 1));
            (Mixture::single(best), Reason::HighestQuality)
        }
    }
}

/// Adds all plans that extend `partial` with steps at or after `from`.
fn add_extensions(
    steps: &[StepEstimates],
    params: &PlanParams,
    from: usize,
    partial: PartialPlan,
    plans: &mut Vec<EvaluatedPlan>,
) {
    for at in from..steps.len() {
        plans.push(partial.finish(at, &steps[at]));
        add_extensions(
            steps,
            params,
            at + 1,
            partial.add_step(at, &steps[at], params),
            plans,
        );
    }
}

/// Returns the upper convex hull of plans that are sorted by cost, in order of increasing cost and quality: no
/// mixture of other plans is both as cheap and as good as one of these.
fn upper_hull(sorted: &[EvaluatedPlan]) -> Vec<EvaluatedPlan> {
    let mut hull: Vec<EvaluatedPlan> = Vec::new();
    for plan in sorted {
        if hull.last().is_some_and(|last| plan.quality <= last.quality) {
            continue;
        }
        while let [.., a, b] = hull.as_slice()
            && is_on_or_below(b, a, plan)
        {
            hull.pop();
        }
        hull.push(*plan);
    }
    hull
}

/// Returns whether `b` lies on or below the line from `a` to `c`.
fn is_on_or_below(b: &EvaluatedPlan, a: &EvaluatedPlan, c: &EvaluatedPlan) -> bool {
    (b.quality - a.quality) * (c.cost - a.cost) <= (c.quality - a.quality) * (b.cost - a.cost)
}

fn by_cost_then_quality(a: &EvaluatedPlan, b: &EvaluatedPlan) -> std::cmp::Ordering {
    let by_cost = a.cost.total_cmp(&b.cost);
    let by_quality = b.quality.total_cmp(&a.quality);
    by_cost.then(by_quality).then(a.mask.cmp(&b.mask))
}

/// Returns the plan of a streamed answer: the first step that meets the target alone, or else the one with the
/// highest upper bound of quality.
///
/// A streamed answer cannot be retracted, so the plan has one step. Streams are not used for exploration. While no
/// step is known to meet the target, the choice by upper bound lets a version without ratings collect some.
pub(super) fn stream_plan(steps: &[StepEstimates], params: &PlanParams) -> (EvaluatedPlan, Reason) {
    let single = |at: usize| evaluate(steps, params, 1 << at);
    let first = (0..steps.len())
        .map(single)
        .find(|c| c.quality >= params.target);
    if let Some(evaluated) = first {
        return (evaluated, Reason::FirstAtTarget);
    }
    let highest = steps.iter().map(|s| s.first.upper).max();
    let at = steps.iter().position(|s| Some(s.first.upper) == highest);
    (single(at.unwrap_or(0)), Reason::HighestQuality)
}
