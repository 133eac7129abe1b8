//! Tests of explanation records.

use super::*;
use crate::ids::Incarnation;
use crate::rating::{Estimate, Ppm};
use crate::route::pick::{Member, Pool, Tried};
use crate::route::plan::{CandidateInput, plan};
use crate::sheet::VersionState;
use crate::units::{Permille, Tokens};

fn candidate(name: &str, cost: u64, state: VersionState) -> CandidateInput {
    let estimate = Estimate {
        mean: Ppm(900_000),
        lower: Ppm(850_000),
        upper: Ppm(950_000),
        rated: 100,
        missing: 0,
    };
    CandidateInput {
        version: VersionRef::new(name, "v1"),
        state,
        cost_per_1k: Micros(cost),
        first: estimate,
        escalated: estimate,
        rollout: None,
        routable: true,
    }
}

fn input() -> PlanInput {
    let versions = [
        VersionRef::new("large", "v1"),
        VersionRef::new("small", "v1"),
    ];
    PlanInput {
        allow: versions.to_vec(),
        class: "tags".into(),
        quality_target: Permille(800),
        aim: Ppm(800_000),
        cascade: vec![versions[1].clone(), versions[0].clone()],
        session: None,
        streamed: false,
        expected_tokens: Tokens(300),
        rated_in_time: Ppm::ONE,
        explore: Ppm(0),
        candidates: vec![
            candidate("large", 1_000, VersionState::Serving),
            candidate("small", 100, VersionState::Serving),
        ],
    }
}

/// Returns the record of a request that was answered by one step.
fn record() -> Record {
    let draws = [1, 2, 3, 4];
    let result = plan(&input(), draws);
    let member = |n: u32| Member {
        upstream: format!("engine-{n}").into(),
        slots: 4,
        own: n,
        others: 0,
        age: Millis(0),
        refused: false,
    };
    let pool = Pool::new(vec![member(0), member(1), member(2)], Vec::new());
    let pick = pool
        .pick(Millis(0), [5, 6], None, &Tried::default())
        .expect("the pool has members");
    let upstream = pick.upstream.clone();
    let end = AttemptEnd::Whole {
        status: 200,
        bytes: 10,
    };
    let accept = result
        .as_ref()
        .map(|p| p.steps[0].accept)
        .expect("a version is usable");
    Record {
        request: RequestId {
            gateway: Incarnation(7),
            seq: 1,
        },
        at: Millis(1),
        gateway: "gateway-a".to_owned(),
        revision: 3,
        account: "shop".into(),
        asked: RequestedTarget::Class("tags".into()),
        events: vec![
            Event::Planned {
                input: Box::new(input()),
                draws,
                result,
            },
            Event::Picked {
                step: 0,
                attempt: 0,
                pick,
            },
            Event::Attempted {
                step: 0,
                attempt: 0,
                upstream,
                end,
            },
            Event::Judged {
                step: 0,
                accept,
                rated: RatingResult::Pass,
                accepted: true,
            },
        ],
        outcome: Outcome::Answered {
            status: 200,
            bytes: 10,
            replayed: false,
            charge: None,
        },
        duration: Millis(20),
    }
}

// Guards against a record that loses information in a JSON round trip.
#[test]
fn a_record_replays_after_a_round_trip() {
    let json = serde_json::to_string(&record()).expect("a record has a JSON form");
    let read: Record = serde_json::from_str(&json).expect("the JSON parses as a record");

    assert_eq!(read, record());
    assert_eq!(replay(&read), Ok(()));
}

// Guards against a replay that accepts a decision that does not follow from its inputs.
#[test]
fn every_changed_decision_is_found() {
    let mut other_input = record();
    let Event::Planned { input, .. } = &mut other_input.events[0] else {
        panic!("the first event is the plan");
    };
    input.candidates[1].state = VersionState::Withdrawn;
    assert!(matches!(
        replay(&other_input),
        Err(Difference::Plan { event: 0, .. })
    ));

    let mut other_load = record();
    let Event::Picked { pick, .. } = &mut other_load.events[1] else {
        panic!("the second event is the pick");
    };
    for member in &mut pick.sampled {
        member.own = if member.upstream == pick.upstream {
            4
        } else {
            0
        };
    }
    assert!(matches!(
        replay(&other_load),
        Err(Difference::Pick { event: 1, .. })
    ));

    let mut other_upstream = record();
    let Event::Attempted { upstream, .. } = &mut other_upstream.events[2] else {
        panic!("the third event is the attempt");
    };
    *upstream = "elsewhere".into();
    assert_eq!(
        replay(&other_upstream),
        Err(Difference::Upstream { event: 2 })
    );

    let mut other_acceptance = record();
    let Event::Judged { accepted, .. } = &mut other_acceptance.events[3] else {
        panic!("the fourth event is the judgement");
    };
    *accepted = false;
    assert_eq!(
        replay(&other_acceptance),
        Err(Difference::Acceptance { event: 3 })
    );

    let mut false_refusal = record();
    false_refusal.outcome = Outcome::Refused(Refusal::not_run(Code::Overloaded, "full"));
    assert!(matches!(
        replay(&false_refusal),
        Err(Difference::Outcome(_))
    ));
}

// Guards against an explanation that omits a candidate or the chosen upstream.
#[test]
fn an_explanation_names_candidates_and_winner() {
    let text = explain(&record());

    for part in [
        "considered large/v1",
        "considered small/v1",
        "picked engine-",
        "answered in full",
    ] {
        assert!(text.contains(part), "{part:?} is missing in:\n{text}");
    }
}

// Guards against a ring that grows beyond its limit, or that keeps the oldest records.
#[test]
fn the_ring_keeps_the_latest_records() {
    let size = serde_json::to_vec(&record())
        .expect("a record has a JSON form")
        .len();
    let mut ring = Ring::new(size * 3 + size / 2);
    let mut record = record();

    for seq in 1..=9 {
        record.request.seq = seq;
        ring.push(&record);
    }

    let id = |seq| RequestId {
        gateway: Incarnation(7),
        seq,
    };
    assert_eq!(
        (1..=9)
            .filter(|seq| ring.get(id(*seq)).is_some())
            .collect::<Vec<_>>(),
        [7, 8, 9]
    );
    assert_eq!(ring.iter().count(), 3);
}
