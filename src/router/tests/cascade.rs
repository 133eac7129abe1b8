//! Choice of a model near and above the capacity of the engines.

use crate::router::cascade::{Cascade, Decision, EscalationInput};
use crate::router::lateness::Lateness;
use crate::units::Millis;

fn input(model: usize, confidence: u8) -> EscalationInput<'static> {
    EscalationInput {
        model,
        models: 3,
        confidence: Some(confidence),
        can_send: true,
        late_now: 0.0,
        late_probability: 0.0,
        relative_work: 1.0,
        prices: &[0.07, 0.5, 1.0],
    }
}

#[test]
fn low_confidence_escalates_to_the_smallest_sufficient_model() {
    let cascade = Cascade::default();

    assert_eq!(cascade.decide(input(0, 80)), Decision::Deliver);
    assert_eq!(cascade.decide(input(0, 50)), Decision::Escalate(1));
    assert_eq!(cascade.decide(input(0, 10)), Decision::Escalate(2));
    assert_eq!(cascade.decide(input(1, 10)), Decision::Escalate(2));
    assert_eq!(cascade.decide(input(2, 10)), Decision::Deliver);
}

#[test]
fn an_answer_is_delivered_if_nothing_can_be_sent() {
    let cascade = Cascade::default();
    let cannot_send = EscalationInput {
        can_send: false,
        ..input(0, 5)
    };
    let no_confidence = EscalationInput {
        confidence: None,
        ..input(0, 0)
    };

    assert_eq!(cascade.decide(cannot_send), Decision::Deliver);
    assert_eq!(cascade.decide(no_confidence), Decision::Deliver);
}

#[test]
fn a_model_without_a_gain_is_skipped() {
    let mut cascade = Cascade::default();
    for _ in 0..100 {
        cascade.observe((0, 50), (1, 50));
    }

    assert_eq!(cascade.decide(input(0, 50)), Decision::Escalate(2));
}

/// Returns the highest confidence at which an answer of the smallest model escalates.
fn highest_escalated(late_probability: f64, relative_work: f64) -> Option<u8> {
    let cascade = Cascade::default();
    let escalates = |confidence: &u8| {
        let input = EscalationInput {
            late_probability,
            relative_work,
            ..input(0, *confidence)
        };
        matches!(cascade.decide(input), Decision::Escalate(_))
    };
    (0..=100).rev().find(escalates)
}

/// Near capacity, an answer of the largest model that is certain to be late is worth less than the answer of the
/// smallest model that is available now, and each escalation delays the requests behind it.
#[test]
fn a_doubtful_answer_is_delivered_if_a_better_one_would_be_late() {
    let highest = [0.0, 0.05, 0.1, 0.15, 0.5, 1.0].map(|late| highest_escalated(late, 1.0));

    assert!(highest.is_sorted_by(|a, b| a >= b), "{highest:?}");
    assert!(
        highest[0].is_some_and(|c| (50..70).contains(&c)),
        "{highest:?}"
    );
    assert!(highest[2].is_some(), "{highest:?}");
    assert_eq!(highest[4..], [None, None]);
}

/// Above capacity, long prompts take the most work for each answer, so they stop to escalate first.
#[test]
fn long_prompts_stop_to_escalate_first() {
    let calm = [0.1, 1.0, 8.0].map(|work| highest_escalated(0.0, work));
    let busy = [0.1, 1.0, 8.0].map(|work| highest_escalated(0.1, work));

    assert!(
        calm.iter().all(|c| *c == calm[0] && c.is_some()),
        "{calm:?}"
    );
    assert!(busy[0] > busy[1] && busy[1] > busy[2], "{busy:?}");
    assert_eq!(busy[2], None);
}

/// An answer that is late anyway loses nothing more by a larger model, so a bad one still escalates while the larger
/// models have room.
#[test]
fn a_late_answer_escalates_if_the_larger_models_have_room() {
    let cascade = Cascade::default();
    let late = EscalationInput {
        late_now: 1.0,
        late_probability: 0.0,
        ..input(0, 30)
    };

    assert!(matches!(cascade.decide(late), Decision::Escalate(_)));
}

/// The backlog of a burst makes late answers likely, less so on a route with a longer latency target, and no
/// longer after the burst.
#[test]
fn the_probability_of_a_late_answer_follows_the_backlog() {
    let mut lateness = Lateness::default();
    let now = Millis::from_secs(10);
    let latency_target = Millis(1_500);
    let calm = lateness.late_probability(800, latency_target, now);
    for n in 0..40 {
        lateness.observe_backlog(30_000, now + Millis(n * 20));
        lateness.observe_first_byte(1_000, 30_000, Millis(3_000));
    }
    let now = now + Millis(800);

    let chance = lateness.late_probability(800, latency_target, now);
    let long_target = lateness.late_probability(800, Millis(6_000), now);
    let no_time_left = lateness.late_probability(800, Millis(0), now);

    assert!(calm < 1e-9, "{calm}");
    assert!(chance > 0.5, "{chance}");
    assert!(long_target < 0.25, "{long_target}");
    assert!(no_time_left > 0.999, "{no_time_left}");
    assert!(lateness.late_probability(800, latency_target, now + Millis::from_secs(2)) < 1e-9);
}

/// The backlog is a rough estimate: where it says little about the waits, the length of the prompt still does, so a
/// busy time does not make short prompts look late.
#[test]
fn the_prompt_and_the_backlog_are_weighted_by_what_was_seen() {
    let mut lateness = Lateness::default();
    let now = Millis::from_secs(10);
    for n in 0..200 {
        // 50 us for each token of the prompt; the backlog adds nothing.
        let (work, backlog) = [(2_000, 30_000), (40_000, 10_000)][n % 2];
        lateness.observe_backlog(20_000, now + Millis(n as u64 * 5));
        lateness.observe_first_byte(work, backlog, Millis(work / 20));
    }
    let now = now + Millis(1_000);

    let short = lateness.late_probability(2_000, Millis(500), now);
    let long = lateness.late_probability(40_000, Millis(1_500), now);

    assert!(short < 0.05, "{short}");
    assert!(long > 0.95, "{long}");
}

/// A prompt that takes longer than the time left is late on the largest model also without a backlog; a short one
/// is not.
#[test]
fn a_prompt_that_takes_longer_than_the_time_left_is_late() {
    let mut lateness = Lateness::default();
    let now = Millis::from_secs(10);
    for n in 0..40 {
        lateness.observe_backlog(0, now + Millis(n * 20));
        lateness.observe_first_byte(10_000, 0, Millis(500));
    }
    let now = now + Millis(800);

    let long = lateness.late_probability(60_000, Millis(2_000), now);
    let short = lateness.late_probability(10_000, Millis(2_000), now);

    assert!(long > 0.99, "{long}");
    assert!(short < 0.01, "{short}");
}
