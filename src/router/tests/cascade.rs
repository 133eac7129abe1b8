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

/// Near capacity, an answer of the largest model that is certain to be late is worth less than the answer of the
/// smallest model that is available now, and each escalation delays the requests behind it.
#[test]
fn a_doubtful_answer_is_delivered_if_a_better_one_would_be_late() {
    let cascade = Cascade::default();
    let at = |confidence: u8, late_probability: f64| {
        cascade.decide(EscalationInput {
            late_probability,
            ..input(0, confidence)
        })
    };

    assert!(matches!(at(55, 0.0), Decision::Escalate(_)));
    assert!(matches!(at(45, 0.15), Decision::Escalate(_)));
    assert_eq!(at(55, 0.5), Decision::Deliver);
    assert!(matches!(at(20, 0.25), Decision::Escalate(_)));
    assert_eq!(at(40, 1.0), Decision::Deliver);
    assert_eq!(at(0, 1.0), Decision::Deliver);
}

/// Above capacity, long prompts take the most work for each answer, so they stop to escalate first.
#[test]
fn long_prompts_stop_to_escalate_first() {
    let cascade = Cascade::default();
    let decide = |relative_work: f64, late_probability: f64| {
        cascade.decide(EscalationInput {
            late_probability,
            relative_work,
            ..input(0, 10)
        })
    };

    let calm = [0.1, 1.0, 8.0].map(|work| decide(work, 0.0));
    let busy = [0.1, 1.0, 8.0].map(|work| decide(work, 0.3));

    assert_eq!(calm, [Decision::Escalate(2); 3]);
    assert_eq!(busy[0], Decision::Escalate(2));
    assert_eq!(busy[2], Decision::Deliver);
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
        lateness.observe_first_byte(30_000, Millis(3_000));
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

/// A prompt that takes longer than the time left is late on the largest model also without a backlog; a short one
/// is not.
#[test]
fn a_prompt_that_takes_longer_than_the_time_left_is_late() {
    let mut lateness = Lateness::default();
    let now = Millis::from_secs(10);
    for n in 0..40 {
        lateness.observe_backlog(0, now + Millis(n * 20));
        lateness.observe_first_byte(10_000, Millis(500));
    }
    let now = now + Millis(800);

    let long = lateness.late_probability(60_000, Millis(2_000), now);
    let short = lateness.late_probability(10_000, Millis(2_000), now);

    assert!(long > 0.99, "{long}");
    assert!(short < 0.01, "{short}");
}
