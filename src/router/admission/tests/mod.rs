//! Tests of admission under shortage; none needs a network.

use std::rc::Rc;

use crate::units::Millis;

use super::room::Room;
use super::{Admission, Applicant, Verdict};

/// Prompt of a long request, in tokens.
const LONG: u64 = 12_000;

/// Time per token at the upstreams of these tests, in microseconds.
const US_PER_TOKEN: u64 = 60;

fn applicant(account: &str, priority: u8, work: u64, arrived: Millis) -> Applicant {
    Applicant {
        priority,
        account: Some(account.into()),
        work,
        arrived,
        latency_target: Millis(8_000),
        deadline: arrived + Millis(20_000),
    }
}

/// Returns an admission that has seen short requests with an aim of two seconds, and the upstreams' speed.
fn admission_beside_urgent(now: Millis) -> Admission {
    let mut admission = Admission::default();
    admission.record_request(0, Millis(2_000), now);
    for _ in 0..1_000 {
        admission.observe_first_byte(LONG, LONG, Millis(2 * LONG * US_PER_TOKEN / 1_000));
    }
    admission
}

/// Returns the room of `upstreams` that all have the same backlog, as one of `gateways` sees it.
fn room(admission: &Admission, upstreams: usize, backlog: u64, gateways: u64) -> Option<Room> {
    let bound = admission.queue_bound(Millis(2_000));
    Room::below(bound, vec![Some(backlog); upstreams], gateways)
}

/// Sends what may be sent now, and returns the accounts in the order in which they were sent.
fn drain(
    admission: &mut Admission,
    places: &mut Vec<(Rc<str>, super::queue::Place)>,
    now: Millis,
) -> Vec<Rc<str>> {
    let mut sent = Vec::new();
    loop {
        let next =
            (places.iter()).position(|(_, place)| admission.poll(place, 0, now) != Verdict::Wait);
        let Some(at) = next else {
            return sent;
        };
        sent.push(places.remove(at).0);
    }
}

#[test]
fn a_burst_of_long_prompts_waits_while_queues_are_too_long_for_short_ones() {
    let now = Millis(1_000);
    let mut admission = admission_beside_urgent(now);
    let full = room(&admission, 56, 20_000, 31);
    admission.set_view(full, now);

    let place = admission.enter(&applicant("a", 2, LONG, now));

    assert_eq!(admission.poll(&place, 0, now), Verdict::Wait);
    assert_eq!(admission.waiting(), 1);
}

#[test]
fn nothing_waits_while_upstreams_are_idle() {
    let now = Millis(1_000);
    for (upstreams, gateways) in [(3, 3), (56, 31), (1_800, 410)] {
        let mut admission = admission_beside_urgent(now);
        let idle = room(&admission, upstreams, 0, gateways);
        admission.set_view(idle, now);
        // One request of each gateway at a time, well below what the upstreams take.
        let place = admission.enter(&applicant("a", 2, 5_000, now));
        assert_eq!(admission.poll(&place, 0, now), Verdict::Room, "{upstreams}");
    }
}

#[test]
fn a_request_waits_only_for_those_with_less_time_and_no_lower_rank() {
    let now = Millis(1_000);
    let mut admission = Admission::default();
    admission.record_request(1, Millis(2_000), now);
    admission.record_request(1, Millis(8_000), now);

    // A long draft of the same rank or a lower one waits.
    for priority in [1, 2, 9] {
        let target = admission.tighter_target(priority, Millis(8_000), now);
        assert_eq!(target, Some(Millis(2_000)));
    }
    // A draft of a more urgent account, and a short note of any account, are sent at once.
    assert_eq!(admission.tighter_target(0, Millis(8_000), now), None);
    assert_eq!(admission.tighter_target(9, Millis(2_000), now), None);
}

#[test]
fn without_short_requests_of_late_nothing_is_kept_back() {
    let admission = admission_beside_urgent(Millis(1_000));

    let target = admission.tighter_target(2, Millis(8_000), Millis(10_000));

    assert_eq!(target, None);
}

#[test]
fn a_request_is_sent_in_any_case_before_its_target_is_lost() {
    let arrived = Millis(1_000);
    for work in [500, LONG, 54_600] {
        let mut admission = admission_beside_urgent(arrived);
        let place = admission.enter(&applicant("a", 2, work, arrived));
        let full = room(&admission, 56, 20_000, 31);

        admission.set_view(full, arrived);
        assert_eq!(admission.poll(&place, 0, arrived), Verdict::Wait);
        let latest = arrived + Millis(4_000);
        admission.set_view(full, latest);
        assert_eq!(admission.poll(&place, 0, latest), Verdict::Aged, "{work}");
    }
}

#[test]
fn a_longer_prompt_waits_for_less_because_it_takes_longer_itself() {
    let mut admission = admission_beside_urgent(Millis(0));
    let short = admission.enter(&applicant("a", 2, 500, Millis(0)));
    let long = admission.enter(&applicant("a", 2, LONG, Millis(0)));

    assert!(long.latest < short.latest);
    // Two runs of 12,000 tokens at 60 us take 1,440 ms of the target of 8,000 ms; half of the rest is left.
    let exact = Millis(3_280);
    assert!(long.latest.since(exact) < Millis(20) && exact.since(long.latest) < Millis(20));
}

#[test]
fn a_hot_account_waits_behind_the_others() {
    let now = Millis(1_000);
    let mut admission = admission_beside_urgent(now);
    let mut places = Vec::new();
    for account in ["hot", "hot", "hot", "hot", "hot", "a", "b"] {
        let place = admission.enter(&applicant(account, 2, LONG, now));
        places.push((Rc::from(account), place));
    }
    // Room for three.
    let some = Some(Room {
        share: 3 * LONG,
        open: 4,
        known: 56,
    });
    admission.set_view(some, now);

    let mut sent = drain(&mut admission, &mut places, now);

    sent.sort();
    assert_eq!(sent, ["a".into(), "b".into(), Rc::from("hot")]);
}

#[test]
fn a_more_urgent_request_passes_those_that_wait() {
    let now = Millis(1_000);
    let mut admission = admission_beside_urgent(now);
    let draft = admission.enter(&applicant("a", 2, LONG, now));
    let check = admission.enter(&applicant("a", 1, 2_000, now));
    admission.set_view(
        Some(Room {
            share: LONG,
            open: 1,
            known: 56,
        }),
        now,
    );

    assert_eq!(admission.poll(&draft, 0, now), Verdict::Wait);
    assert_eq!(admission.poll(&check, 0, now), Verdict::Room);
}

#[test]
fn a_gateway_with_an_old_view_keeps_nothing_back() {
    let now = Millis(1_000);
    let mut admission = admission_beside_urgent(now);
    let reported = (0..56).map(|n| (n < 20).then_some(20_000));
    let view = Room::below(8_000, reported, 31);
    admission.set_view(view, now);
    let place = admission.enter(&applicant("a", 2, LONG, now));

    assert_eq!(admission.poll(&place, 0, now), Verdict::Unknown);
}

#[test]
fn gateways_that_see_the_same_room_do_not_fill_it_many_times_over() {
    for (upstreams, gateways) in [(3_u64, 3), (56, 31), (1_800, 410)] {
        let bound = 8_000;
        let backlogs = vec![Some(4_000); usize::try_from(upstreams).expect("it is small")];
        let room = Room::below(bound, backlogs, gateways).expect("all have reported");
        let sent: u64 = (0..gateways)
            .filter(|gateway| room.admits(LONG, crate::router::mix(*gateway)))
            .map(|_| LONG)
            .sum();
        let free = upstreams * 4_000;
        // Each gateway decides on one prompt, by chance where its part is smaller than that.
        assert!(
            sent <= free + free / 2 + LONG,
            "{gateways}: {sent} of {free}"
        );
        assert!(
            sent + LONG * 3 >= free.min(gateways * LONG) / 2,
            "{gateways}: {sent} of {free}"
        );
    }
}

#[test]
fn a_client_that_leaves_gives_up_its_place() {
    let now = Millis(1_000);
    let mut admission = admission_beside_urgent(now);
    let first = admission.enter(&applicant("a", 2, LONG, now));
    let second = admission.enter(&applicant("b", 2, LONG, now));
    admission.set_view(
        Some(Room {
            share: LONG,
            open: 1,
            known: 56,
        }),
        now,
    );

    admission.withdraw(&first);

    assert_eq!(admission.poll(&second, 0, now), Verdict::Room);
    assert_eq!(admission.waiting(), 0);
}

#[test]
fn a_burst_that_fits_into_the_time_it_can_wait_is_sent_as_room_comes() {
    // Twelve long prompts within a second at one gateway, whose part of the room is four a second.
    let start = Millis(1_000);
    let mut admission = admission_beside_urgent(start);
    let mut places = Vec::new();
    let mut sent_at = Vec::new();
    for step in 0..100 {
        let now = start + Millis(step * 50);
        if step % 5 < 3 && step < 20 {
            places.push(admission.enter(&applicant("a", 2, LONG, now)));
        }
        let share = if step % 5 == 0 { LONG } else { 0 };
        admission.set_view(
            Some(Room {
                share,
                open: 1,
                known: 56,
            }),
            now,
        );
        places.retain(|place| match admission.poll(place, u64::MAX, now) {
            Verdict::Wait => true,
            verdict => {
                sent_at.push((verdict, now));
                false
            }
        });
    }

    let expected: Vec<_> = (0..12)
        .map(|n| (Verdict::Room, start + Millis(n * 250)))
        .collect();
    assert_eq!(sent_at, expected);
}
