//! Whether a model's answer is whole before the deadline, while a burst slows all tokens down.

use crate::router::answer_times::AnswerTimes;
use crate::units::Millis;

/// Expected tokens of a usual answer and of the longest ones.
const USUAL: u64 = 290;
const LONGEST: u64 = 950;

/// Records answers of a large model that take this time per token.
fn times_at(ms_per_token: u64) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for _ in 0..10 {
        times.observe(2, USUAL, Millis(USUAL * ms_per_token));
    }
    times
}

#[test]
fn a_long_answer_does_not_go_to_a_model_that_would_be_cut_off() {
    let times = times_at(18);
    let left = Millis(14_000);

    assert!(!times.can_finish(2, LONGEST, Millis(200), left));
    assert!(times.can_finish(2, USUAL, Millis(200), left));
}

#[test]
fn without_load_the_longest_answers_go_to_the_largest_model() {
    assert!(times_at(8).can_finish(2, LONGEST, Millis(200), Millis(14_000)));
}

#[test]
fn a_model_that_no_answer_has_come_from_yet_is_not_held_for_slow() {
    let mut times = AnswerTimes::default();
    assert!(times.can_finish(2, LONGEST, Millis(200), Millis(1_000)));

    times.observe(2, USUAL, Millis(15_000));

    assert!(times.can_finish(2, LONGEST, Millis(200), Millis(1_000)));
}

#[test]
fn the_time_follows_the_end_of_a_burst_within_some_tens_of_answers() {
    let mut times = times_at(18);
    for _ in 0..40 {
        times.observe(2, USUAL, Millis(USUAL * 8));
    }

    assert!(times.can_finish(2, LONGEST, Millis(200), Millis(14_000)));
}

#[test]
fn an_answer_that_was_cut_off_counts_with_the_time_that_it_had() {
    let mut times = times_at(8);
    for _ in 0..20 {
        times.observe(2, LONGEST, Millis(15_000));
    }

    assert!(!times.can_finish(2, LONGEST, Millis(200), Millis(13_000)));
}
