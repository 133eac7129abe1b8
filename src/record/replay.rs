//! Recomputes the decisions of a record and compares them with the recorded ones.

use std::fmt;

use super::{AttemptEnd, Event, Outcome, Record, accepts, claims_not_run, refusal_of};
use crate::ids::UpstreamId;
use crate::refusal::RunStatus;
use crate::route::Plan;
use crate::route::pick::choose;
use crate::route::plan::plan;

/// The first difference between a record and its replay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
    /// The inputs and draws yield another plan.
    Plan {
        /// Index of the event.
        event: usize,
        /// Summary of the plan that the inputs yield.
        replayed: String,
    },
    /// The sampled upstreams yield another choice.
    Pick {
        /// Index of the event.
        event: usize,
        /// The upstream that the samples yield.
        replayed: Option<UpstreamId>,
    },
    /// An attempt ran on an upstream that was not picked.
    Upstream {
        /// Index of the event.
        event: usize,
    },
    /// The rule and the rating yield another decision.
    Acceptance {
        /// Index of the event.
        event: usize,
    },
    /// A step is recorded that the plan does not contain.
    Step {
        /// Index of the event.
        event: usize,
    },
    /// The outcome does not follow from the events.
    Outcome(&'static str),
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plan { event, replayed } => write!(f, "event {event}: replay plans {replayed}"),
            Self::Pick {
                event,
                replayed: Some(upstream),
            } => {
                write!(f, "event {event}: replay picks {upstream}")
            }
            Self::Pick {
                event,
                replayed: None,
            } => write!(f, "event {event}: replay picks none"),
            Self::Upstream { event } => {
                write!(
                    f,
                    "event {event}: the attempt ran on an upstream that was not picked"
                )
            }
            Self::Acceptance { event } => {
                write!(
                    f,
                    "event {event}: replay makes a different decision about the answer"
                )
            }
            Self::Step { event } => write!(f, "event {event}: the plan has no such step"),
            Self::Outcome(why) => write!(f, "outcome: {why}"),
        }
    }
}

impl std::error::Error for Difference {}

/// Recomputes every decision of a record.
///
/// # Errors
/// Returns the first [`Difference`] between the record and the replay.
pub fn replay(record: &Record) -> Result<(), Difference> {
    let mut planned: Option<&Plan> = None;
    let mut picked = None;
    for (event, entry) in record.events.iter().enumerate() {
        match entry {
            Event::Planned {
                input,
                draws,
                result,
            } => {
                let replayed = plan(input, *draws);
                if replayed != *result {
                    return Err(Difference::Plan {
                        event,
                        replayed: summary(&replayed),
                    });
                }
                planned = result.as_ref().ok();
            }
            Event::Picked { step, pick, .. } => {
                check_step(planned, *step, event)?;
                let replayed = choose(pick.sampled.clone(), pick.affine);
                if replayed.as_ref() != Some(pick) {
                    let replayed = replayed.map(|p| p.upstream);
                    return Err(Difference::Pick { event, replayed });
                }
                picked = Some(&pick.upstream);
            }
            Event::Attempted { upstream, .. } => {
                if picked != Some(upstream) {
                    return Err(Difference::Upstream { event });
                }
            }
            Event::Judged {
                step,
                accept,
                rated,
                accepted,
            } => {
                check_step(planned, *step, event)?;
                let rule = planned.and_then(|p| p.steps.get(usize::from(*step)));
                let same_rule = rule.is_none_or(|s| s.accept == *accept);
                if !same_rule || accepts(*accept, *rated) != *accepted {
                    return Err(Difference::Acceptance { event });
                }
            }
        }
    }
    check_outcome(record)
}

/// Checks that the plan has the step; plain service calls have no plan and one step.
fn check_step(planned: Option<&Plan>, step: u16, event: usize) -> Result<(), Difference> {
    let steps = planned.map_or(1, |plan| plan.steps.len());
    if usize::from(step) < steps {
        Ok(())
    } else {
        Err(Difference::Step { event })
    }
}

fn check_outcome(record: &Record) -> Result<(), Difference> {
    let plan_error = record.events.iter().find_map(|entry| match entry {
        Event::Planned {
            result: Err(error), ..
        } => Some(error),
        _ => None,
    });
    if let Some(error) = plan_error
        && record.outcome != Outcome::Refused(refusal_of(error))
    {
        return Err(Difference::Outcome(
            "planning failed, but the caller received a different outcome",
        ));
    }
    if claims_not_run(&record.outcome) && record.events.iter().any(may_have_run) {
        return Err(Difference::Outcome(
            "the refusal claims not_run, but an attempt may have run",
        ));
    }
    let answered = matches!(record.outcome, Outcome::Answered { .. });
    let whole = |entry: &Event| {
        matches!(
            entry,
            Event::Attempted {
                end: AttemptEnd::Whole { .. },
                ..
            }
        )
    };
    if answered && !record.events.iter().any(whole) {
        return Err(Difference::Outcome(
            "the caller received an answer that no attempt produced",
        ));
    }
    Ok(())
}

fn may_have_run(entry: &Event) -> bool {
    match entry {
        Event::Attempted {
            end: AttemptEnd::Refused(refusal),
            ..
        } => refusal.ran != RunStatus::NotRun,
        Event::Attempted { .. } => true,
        _ => false,
    }
}

fn summary(result: &Result<Plan, crate::route::PlanError>) -> String {
    match result {
        Ok(plan) => {
            let names: Vec<_> = plan.steps.iter().map(|s| s.version.to_string()).collect();
            names.join(", ")
        }
        Err(error) => error.to_string(),
    }
}
