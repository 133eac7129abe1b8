//! Formats a record for human readers.

use std::fmt::Write as _;

use super::{AttemptEnd, Event, Outcome, RatingResult, Record, RequestedTarget};
use crate::route::pick::{Pick, PickReason};
use crate::route::plan::{Accept, Plan, Reason, Verdict};
use crate::route::{PlanError, PlanInput};

/// Formats a record as text with one fact per line.
#[must_use]
pub fn explain(record: &Record) -> String {
    let mut out = String::new();
    let target = match &record.asked {
        RequestedTarget::Class(class) => format!("an answer of class {class}"),
        RequestedTarget::Version(version) => format!("an answer of {version}"),
        RequestedTarget::Service(service) => format!("a call of service {service}"),
    };
    push_line(&mut out, 0, &format!("request {}", record.request));
    push_line(
        &mut out,
        1,
        &format!("account {} asked for {target}", record.account),
    );
    let decided_by = format!(
        "gateway {} decided based on sheet revision {}",
        record.gateway, record.revision
    );
    push_line(&mut out, 1, &decided_by);
    for event in &record.events {
        push_event(&mut out, event);
    }
    push_line(
        &mut out,
        1,
        &format!(
            "outcome after {}: {}",
            record.duration,
            outcome(&record.outcome)
        ),
    );
    out
}

fn push_line(out: &mut String, depth: usize, line: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{:1$}{line}", "", depth * 2);
}

fn push_event(out: &mut String, event: &Event) {
    match event {
        Event::Planned { input, result, .. } => push_plan(out, input, result),
        Event::Picked {
            step,
            attempt,
            pick,
        } => push_pick(out, *step, *attempt, pick),
        Event::Attempted {
            step,
            attempt,
            upstream,
            end,
        } => {
            let end = match end {
                AttemptEnd::Whole { status, bytes } => {
                    format!("complete answer, status {status}, {bytes} bytes")
                }
                AttemptEnd::Refused(refusal) => format!("refused: {refusal}"),
                AttemptEnd::Lost(why) => format!("lost: {why}"),
            };
            push_line(
                out,
                1,
                &format!("step {step} attempt {attempt} on {upstream}: {end}"),
            );
        }
        Event::Judged {
            step,
            accept,
            rated,
            accepted,
        } => {
            let rule = accept_text(*accept);
            let rated = match rated {
                RatingResult::Pass => "rated good",
                RatingResult::Fail => "rated not good enough",
                RatingResult::Missing => "not rated in time",
            };
            let action = if *accepted {
                "returned to the caller"
            } else {
                "escalated"
            };
            push_line(
                out,
                1,
                &format!("step {step} {rated}, rule {rule}: {action}"),
            );
        }
    }
}

fn push_plan(out: &mut String, input: &PlanInput, result: &Result<Plan, PlanError>) {
    let target = input.quality_target.0;
    push_line(
        out,
        1,
        &format!("quality target {target} of 1000, class {}", input.class),
    );
    match result {
        Err(error) => push_line(out, 1, &format!("no plan: {error}")),
        Ok(plan) => {
            let cost = plan.expected_cost;
            let quality = plan.expected_quality.fraction();
            push_line(
                out,
                1,
                &format!("plan: expected cost {cost}, quality at least {quality:.3}"),
            );
            for step in &plan.steps {
                push_line(
                    out,
                    2,
                    &format!("run {}, {}", step.version, accept_text(step.accept)),
                );
            }
            for candidate in &plan.considered {
                let verdict = verdict_text(candidate.verdict);
                push_line(
                    out,
                    2,
                    &format!("considered {}: {verdict}", candidate.version),
                );
            }
        }
    }
}

fn push_pick(out: &mut String, step: u16, attempt: u16, pick: &Pick) {
    let why = match pick.why {
        PickReason::LowestLoad => "lowest load of the sampled upstreams",
        PickReason::PrefixAffinity => "the prefix of the prompt is likely cached there",
    };
    let upstream = &pick.upstream;
    push_line(
        out,
        1,
        &format!("step {step} attempt {attempt}: picked {upstream}, {why}"),
    );
    for member in &pick.sampled {
        let (own, others, slots) = (member.own, member.others, member.slots);
        let load = format!("{own} own and {others} other requests on {slots} slots");
        push_line(out, 2, &format!("sampled {}: {load}", member.upstream));
    }
}

const fn accept_text(accept: Accept) -> &'static str {
    match accept {
        Accept::Final => "final",
        Accept::UnlessRatedFail => "accepted unless rated not good enough",
        Accept::IfRatedPass => "accepted only if rated good",
    }
}

const fn verdict_text(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Chosen(reason) => reason_text(reason),
        Verdict::NotAllowed => "dropped, the account may not use it",
        Verdict::Withdrawn => "dropped, withdrawn",
        Verdict::DrainingWithoutSession => "dropped, draining and the request has no session on it",
        Verdict::NoLiveUpstream => "dropped, no live upstream serves it",
        Verdict::SessionPinnedElsewhere => "dropped, the session is pinned to another version",
        Verdict::NotInCascade => "dropped, not in the cascade of the class",
        Verdict::OutsideRolloutShare => "dropped, the draw fell outside its roll-out share",
        Verdict::ReplacedByRollout => "dropped, the draw chose the version that replaces it",
        Verdict::LaterThanStreamStart => "dropped, an earlier step meets the target of the stream",
        Verdict::Unexplored => "dropped, the exploration started at another step",
        Verdict::OverCost => "dropped, it meets the target but costs more than the plan",
        Verdict::BelowTarget => "dropped, it misses the quality target",
    }
}

const fn reason_text(reason: Reason) -> &'static str {
    match reason {
        Reason::SessionPinned => "chosen, the session started with it",
        Reason::CheapestAtTarget => "chosen, part of the cheapest plan that meets the target",
        Reason::HighestQuality => "chosen, no plan meets the target and this has the best quality",
        Reason::FirstAtTarget => "chosen, the first step that meets the target of a stream alone",
        Reason::Explores => "chosen, the request explores to refresh the estimates",
        Reason::Baseline => "chosen by a baseline",
        Reason::RolloutShare => "chosen, the draw fell into its roll-out share",
    }
}

fn outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered {
            status,
            bytes,
            replayed,
            charge,
        } => {
            let source = if *replayed {
                "with the stored answer of an earlier request"
            } else {
                "in full"
            };
            let charge = charge.map_or_else(|| "nothing".to_owned(), |c| c.to_string());
            format!("answered {source}, status {status}, {bytes} bytes, charged {charge}")
        }
        Outcome::Refused(refusal) => {
            format!(
                "refused ({:?}, resend safe: {}): {refusal}",
                refusal.ran, refusal.resend_safe
            )
        }
        Outcome::Incomplete { bytes, refusal } => {
            format!("cut off after {bytes} bytes: {refusal}")
        }
        Outcome::CallerLeft => "the caller disconnected".to_owned(),
    }
}
