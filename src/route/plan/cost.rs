//! Expected cost and quality of plans, and the search for the cheapest one.

use super::{Accept, PlanInput, Reason};
use crate::rating::Estimate;

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
    pub target: f64,
    pub rated_in_time: f64,
}

impl Terms {
    pub(super) fn of(input: &PlanInput) -> Self {
        Self {
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

/// Returns the cheapest plan that meets the target, or else the one of highest quality.
pub(super) fn cheapest(steps: &[Priced], terms: &Terms) -> (Choice, Reason) {
    let mut search = Search {
        steps,
        terms,
        at_target: None,
        best: None,
    };
    search.extend(0, Partial::EMPTY);
    match (search.at_target, search.best) {
        (Some(choice), _) => (choice, Reason::CheapestAtTarget),
        (None, Some(choice)) => (choice, Reason::HighestQuality),
        (None, None) => (evaluate(steps, terms, 1), Reason::HighestQuality),
    }
}

/// Depth-first search over ordered subsets of the steps, with pruning by cost.
struct Search<'a> {
    steps: &'a [Priced],
    terms: &'a Terms,
    at_target: Option<Choice>,
    best: Option<Choice>,
}

impl Search<'_> {
    fn extend(&mut self, from: usize, partial: Partial) {
        for at in from..self.steps.len() {
            let step = &self.steps[at];
            let cost = partial.choice.cost + partial.by_mean.total() * step.cost;
            // Costs only grow along a plan, so no extension can beat a cheaper plan at the target.
            if self.at_target.is_some_and(|found| cost > found.cost) {
                continue;
            }
            self.offer(partial.end(at, step));
            self.extend(at + 1, partial.then(at, step, self.terms));
        }
    }

    fn offer(&mut self, choice: Choice) {
        let meets = choice.quality >= self.terms.target;
        if meets && self.at_target.is_none_or(|found| cheaper(&choice, &found)) {
            self.at_target = Some(choice);
        }
        if self.best.is_none_or(|found| better(&choice, &found)) {
            self.best = Some(choice);
        }
    }
}

fn cheaper(a: &Choice, b: &Choice) -> bool {
    (a.cost, -a.quality, a.mask) < (b.cost, -b.quality, b.mask)
}

fn better(a: &Choice, b: &Choice) -> bool {
    (-a.quality, a.cost, a.mask) < (-b.quality, b.cost, b.mask)
}

/// Returns the first step that meets the target alone, or else the one of highest quality.
///
/// A stream cannot be taken back, so its plan has one step.
pub(super) fn stream_start(steps: &[Priced], terms: &Terms) -> (Choice, Reason) {
    let single = |at: usize| evaluate(steps, terms, 1 << at);
    let first = (0..steps.len())
        .map(single)
        .find(|c| c.quality >= terms.target);
    if let Some(choice) = first {
        return (choice, Reason::FirstAtTarget);
    }
    let singles = (1..steps.len()).map(single);
    let best = singles.fold(single(0), |a, b| if better(&b, &a) { b } else { a });
    (best, Reason::HighestQuality)
}
