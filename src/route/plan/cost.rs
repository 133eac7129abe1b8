//! Expected cost and quality of plans, and the search for the cheapest one.

use super::{Accept, PlanInput, Reason};
use crate::rating::Estimate;

/// Quality that is not worth a higher cost while no plan meets the target. While ratings are out, a step
/// that escalates nearly always gains a hundred-thousandth at the full cost of its run.
const QUALITY_MARGIN: f64 = 0.001;

/// A step with what the search needs of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Priced {
    /// Expected cost of one run, in micros.
    pub cost: f64,
    /// Pass rate on requests that no earlier step has failed.
    pub first: Estimate,
    /// Pass rate on requests that an earlier step has failed.
    pub escalated: Estimate,
}

/// What all plans of one request have in common.
#[derive(Debug, Clone, Copy)]
pub(super) struct Terms {
    /// Quality that the answers of all requests aim at together.
    pub aim: f64,
    /// Quality that an answer without a rating must have by itself.
    pub target: f64,
    pub rated_in_time: f64,
}

impl Terms {
    pub(super) fn of(input: &PlanInput) -> Self {
        Self {
            aim: input.aim.fraction(),
            target: input.quality_target.fraction(),
            rated_in_time: input.rated_in_time.fraction(),
        }
    }

    /// Says when the answer of a step is returned that is not the last one.
    pub(super) fn accept(&self, step: &Priced) -> Accept {
        if step.first.lower.fraction() >= self.target {
            Accept::UnlessRatedFail
        } else {
            Accept::IfRatedPass
        }
    }
}

/// A plan: the steps as bits of a mask, with its expected cost and quality.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Choice {
    pub mask: u32,
    pub cost: f64,
    pub quality: f64,
}

/// Requests that are still without an accepted answer, as shares of all.
#[derive(Debug, Clone, Copy)]
struct Open {
    /// An earlier step was rated and failed.
    failed: f64,
    /// No earlier step was rated.
    unrated: f64,
}

impl Open {
    fn total(self) -> f64 {
        self.failed + self.unrated
    }

    /// Returns the share that gets a good answer from a step with these pass rates.
    fn passed(self, first: f64, escalated: f64) -> f64 {
        self.failed * escalated + self.unrated * first
    }

    /// Returns what stays open after a step whose answers may be rejected.
    fn after(self, first: f64, escalated: f64, timely: f64, accept: Accept) -> Self {
        let rated_fail = self.total() - self.passed(first, escalated);
        let escalating = if accept == Accept::IfRatedPass {
            1.0 - timely
        } else {
            0.0
        };
        Self {
            failed: timely * rated_fail + escalating * self.failed,
            unrated: escalating * self.unrated,
        }
    }
}

/// A plan under construction. Cost follows the means, quality the lower bounds (D10).
#[derive(Debug, Clone, Copy)]
struct Partial {
    choice: Choice,
    by_mean: Open,
    by_lower: Open,
}

impl Partial {
    const EMPTY: Self = Self {
        choice: Choice {
            mask: 0,
            cost: 0.0,
            quality: 0.0,
        },
        by_mean: Open {
            failed: 0.0,
            unrated: 1.0,
        },
        by_lower: Open {
            failed: 0.0,
            unrated: 1.0,
        },
    };

    /// Ends the plan with a step whose answer is final.
    fn end(mut self, at: usize, step: &Priced) -> Choice {
        let (first, escalated) = lower(step);
        self.choice.mask |= 1 << at;
        self.choice.cost += self.by_mean.total() * step.cost;
        self.choice.quality += self.by_lower.passed(first, escalated);
        self.choice
    }

    /// Goes on with a step whose answer may be rejected.
    fn then(mut self, at: usize, step: &Priced, terms: &Terms) -> Self {
        let accept = terms.accept(step);
        let timely = terms.rated_in_time;
        let (first, escalated) = lower(step);
        let accepted = match accept {
            Accept::IfRatedPass => timely,
            Accept::UnlessRatedFail | Accept::Final => 1.0,
        };
        self.choice.mask |= 1 << at;
        self.choice.cost += self.by_mean.total() * step.cost;
        self.choice.quality += accepted * self.by_lower.passed(first, escalated);
        self.by_lower = self.by_lower.after(first, escalated, timely, accept);
        let (first, escalated) = (step.first.mean.fraction(), step.escalated.mean.fraction());
        self.by_mean = self.by_mean.after(first, escalated, timely, accept);
        self
    }
}

fn lower(step: &Priced) -> (f64, f64) {
    (step.first.lower.fraction(), step.escalated.lower.fraction())
}

/// Returns the mask of all of `len` steps.
pub(super) const fn full_mask(len: usize) -> u32 {
    (1 << len) - 1
}

/// Returns the cost and quality of one plan, whose mask is not zero.
pub(super) fn evaluate(steps: &[Priced], terms: &Terms, mask: u32) -> Choice {
    let last = mask.ilog2() as usize;
    let earlier = (0..last).filter(|at| mask & (1 << at) != 0);
    let partial = earlier.fold(Partial::EMPTY, |partial, at| {
        partial.then(at, &steps[at], terms)
    });
    partial.end(last, &steps[last])
}

/// Two plans that meet the target together, or one that does alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Mixture {
    /// The plan of higher quality.
    pub high: Choice,
    /// The plan of lower cost; the same as `high` if one plan is enough.
    pub low: Choice,
    /// Share of requests that the plan of higher quality serves.
    pub high_share: f64,
}

impl Mixture {
    const fn single(choice: Choice) -> Self {
        Self {
            high: choice,
            low: choice,
            high_share: 1.0,
        }
    }
}

/// Returns the cheapest mixture of plans that meets the target, or else the cheapest plan of nearly the
/// highest quality.
///
/// Quality and cost of a mixture are the weighted means of its plans', so the cheapest one lies on the
/// upper edge of the convex hull of all plans in the plane of cost and quality, where the edge crosses
/// the target.
pub(super) fn cheapest(steps: &[Priced], terms: &Terms) -> (Mixture, Reason) {
    let mut plans = Vec::new();
    extend(steps, terms, 0, Partial::EMPTY, &mut plans);
    plans.sort_unstable_by(order);
    let edge = upper_edge(&plans);
    let crossing = edge.iter().position(|c| c.quality >= terms.aim);
    match crossing {
        Some(0) => (Mixture::single(edge[0]), Reason::CheapestAtTarget),
        Some(at) => {
            let (low, high) = (edge[at - 1], edge[at]);
            let high_share = (terms.aim - low.quality) / (high.quality - low.quality);
            let mixture = Mixture {
                high,
                low,
                high_share,
            };
            (mixture, Reason::CheapestAtTarget)
        }
        None => {
            let highest = edge.last().map_or(0.0, |c| c.quality);
            let best = edge.iter().find(|c| c.quality >= highest - QUALITY_MARGIN);
            let best = best.copied();
            let best = best.unwrap_or_else(|| evaluate(steps, terms, 1));
            (Mixture::single(best), Reason::HighestQuality)
        }
    }
}

/// Adds all plans that begin with `partial` and go on from a step at or after `from`.
fn extend(steps: &[Priced], terms: &Terms, from: usize, partial: Partial, plans: &mut Vec<Choice>) {
    for at in from..steps.len() {
        plans.push(partial.end(at, &steps[at]));
        extend(
            steps,
            terms,
            at + 1,
            partial.then(at, &steps[at], terms),
            plans,
        );
    }
}

/// Returns the plans that no mixture of others beats, by rising cost and quality.
fn upper_edge(sorted: &[Choice]) -> Vec<Choice> {
    let mut edge: Vec<Choice> = Vec::new();
    for plan in sorted {
        if edge.last().is_some_and(|last| plan.quality <= last.quality) {
            continue;
        }
        while let [.., a, b] = edge.as_slice()
            && is_below(b, a, plan)
        {
            edge.pop();
        }
        edge.push(*plan);
    }
    edge
}

/// Tells whether `b` is not above the line from `a` to `c`.
fn is_below(b: &Choice, a: &Choice, c: &Choice) -> bool {
    (b.quality - a.quality) * (c.cost - a.cost) <= (c.quality - a.quality) * (b.cost - a.cost)
}

fn order(a: &Choice, b: &Choice) -> std::cmp::Ordering {
    let by_cost = a.cost.total_cmp(&b.cost);
    let by_quality = b.quality.total_cmp(&a.quality);
    by_cost.then(by_quality).then(a.mask.cmp(&b.mask))
}

/// Returns the first step that meets the target alone, or else the one that may have the highest quality.
///
/// A stream cannot be taken back, so its plan has one step. Streams do not explore; as long as no step is
/// known to meet the target, the highest upper bound is taken, so that a version without evidence gets
/// some.
pub(super) fn stream_start(steps: &[Priced], terms: &Terms) -> (Choice, Reason) {
    let single = |at: usize| evaluate(steps, terms, 1 << at);
    let first = (0..steps.len())
        .map(single)
        .find(|c| c.quality >= terms.target);
    if let Some(choice) = first {
        return (choice, Reason::FirstAtTarget);
    }
    let highest = steps.iter().map(|s| s.first.upper).max();
    let at = steps.iter().position(|s| Some(s.first.upper) == highest);
    (single(at.unwrap_or(0)), Reason::HighestQuality)
}
