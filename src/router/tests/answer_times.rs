//! Whether a model's answer is whole before the deadline, while a burst slows all events down.

use crate::router::answer_times::AnswerTimes;
use crate::units::Millis;

/// Expected tokens of a usual answer and of the longest ones, at ten tokens to an event.
const USUAL: u64 = 290;
const LONGEST: u64 = 950;

/// Time that the client still waits, and the wait until the next model answers.
const LEFT: Millis = Millis(14_000);
const WAIT: Millis = Millis(200);

/// Records streams of the largest model at this time between two events.
fn times_at(ms_per_event: u64) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for _ in 0..10 {
        times.observe_pace(2, 4, Millis(4 * ms_per_event));
        times.observe_length(USUAL, USUAL / 10);
    }
    times
}

#[test]
fn a_long_answer_does_not_go_to_a_model_that_would_be_cut_off() {
    let times = times_at(180);

    assert!(!times.can_finish(2, LONGEST, WAIT, LEFT));
    assert!(times.can_finish(2, USUAL, WAIT, LEFT));
}

#[test]
fn without_load_the_longest_answers_go_to_the_largest_model() {
    assert!(times_at(80).can_finish(2, LONGEST, WAIT, LEFT));
}

#[test]
fn a_model_that_no_answer_has_come_from_yet_is_not_held_for_slow() {
    let mut times = AnswerTimes::default();
    assert!(times.can_finish(2, LONGEST, WAIT, Millis(1_000)));

    times.observe_pace(2, 4, Millis(4_000));

    assert!(times.can_finish(2, LONGEST, WAIT, Millis(1_000)));
}

#[test]
fn a_smaller_model_is_not_left_out_for_the_pace_of_a_larger_one() {
    let mut times = times_at(180);
    for _ in 0..10 {
        times.observe_pace(1, 4, Millis(4 * 50));
    }

    assert!(!times.can_finish(2, LONGEST, WAIT, LEFT));
    assert!(times.can_finish(1, LONGEST, WAIT, LEFT));
}

#[test]
fn a_burst_shows_in_the_first_events_of_its_streams() {
    let mut times = times_at(80);
    for _ in 0..20 {
        times.observe_pace(2, 4, Millis(4 * 200));
    }

    assert!(!times.can_finish(2, LONGEST, WAIT, LEFT));
}

#[test]
fn the_time_follows_the_end_of_a_burst_within_some_tens_of_streams() {
    let mut times = times_at(200);
    for _ in 0..40 {
        times.observe_pace(2, 4, Millis(4 * 80));
    }

    assert!(times.can_finish(2, LONGEST, WAIT, LEFT));
}

#[test]
fn a_few_slow_upstreams_do_not_take_the_larger_model_from_all_requests() {
    let mut times = times_at(80);
    for n in 0..20 {
        let ms_per_event = if n % 2 == 0 { 80 } else { 500 };
        times.observe_pace(2, 4, Millis(4 * ms_per_event));
    }

    assert!(times.can_finish(2, LONGEST, WAIT, LEFT));
}
