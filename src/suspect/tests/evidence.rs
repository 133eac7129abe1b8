//! Which runs are accused of a crash, when a verdict is reached, and how it is taken back.

use std::rc::Rc;

use crate::fixtures::check_property;
use crate::suspect::{
    CRASH_WINDOW, CRASHES_TO_CONTAIN, ContainmentRecord, CrashRecord, Decision, Evidence,
    EvidenceWrite, Exposures, Feature, Report, RunEnd, Survival, WriteResult, features,
};
use crate::units::Millis;

const START: Millis = Millis(1_000_000);

/// Time at which a gateway that started at [`START`] reaches verdicts of its own.
const WARM: Millis = Millis(START.0 + 10_000);

pub(super) fn gateway(name: &str) -> Evidence {
    let mut evidence = Evidence::new(name.into(), START);
    evidence.expire(WARM);
    evidence
}

fn part(name: &str) -> Feature {
    Feature::of_part(name.as_bytes())
}

pub(super) fn sorted<const N: usize>(names: [&str; N]) -> Vec<Feature> {
    let mut features: Vec<_> = names.into_iter().map(part).collect();
    features.sort_unstable();
    features
}

pub(super) fn at(seconds: u64) -> Millis {
    WARM + Millis::from_secs(seconds)
}

/// Records crashes of upstreams `n` in turn, a second apart.
pub(super) fn crash(evidence: &mut Evidence, numbers: std::ops::Range<u64>, features: &[Feature]) {
    for n in numbers {
        evidence.record_crash(&format!("u{n}").into(), 1, at(n), features);
    }
}

pub(super) fn is_refused(evidence: &mut Evidence, features: &[Feature], now: Millis) -> bool {
    matches!(evidence.decide(features, now), Decision::Refuse(_))
}

/// Writes what is due and returns the write; the store is at `revision` after it.
fn write(evidence: &mut Evidence, now: Millis, revision: u64) -> Option<EvidenceWrite> {
    let write = evidence.due_write(now, 1)?;
    evidence.record_write(&write, WriteResult::Written(revision), now);
    Some(write)
}

/// Returns a gateway that has recorded the containment of `bad`, with the record.
pub(super) fn contained() -> (Evidence, ContainmentRecord) {
    let mut evidence = gateway("a");
    crash(&mut evidence, 0..3, &sorted(["bad", "common"]));
    crash(&mut evidence, 3..4, &sorted(["bad", "other"]));
    for second in 5..8 {
        let written = write(&mut evidence, at(second), second);
        let record = written.and_then(|w| w.containment?.record);
        if let Some(record) = record {
            return (evidence, record);
        }
    }
    panic!("the containment was not recorded");
}

#[test]
fn runs_that_could_have_crashed_the_upstream_are_accused() {
    let cases = [
        // Began, ended, and whether the run is accused of a crash at 10 s.
        (None, None, true),
        (Some(9_900), None, true),
        (Some(9_900), Some((9_910, RunEnd::Dropped)), true),
        (Some(9_900), Some((9_990, RunEnd::Complete)), true),
        (None, Some((9_700, RunEnd::Dropped)), true),
        (Some(5_000), None, false),
        (Some(5_000), Some((9_990, RunEnd::Complete)), false),
        (None, Some((5_000, RunEnd::Dropped)), false),
        (Some(9_900), Some((9_950, RunEnd::NotRun)), false),
    ];
    for (began, ended, is_accused) in cases {
        let mut exposures = Exposures::default();
        let features: Rc<[Feature]> = sorted(["x"]).into();
        let run = exposures.start(&"u".into(), 1, &features);
        if let Some(began) = began {
            exposures.begin(run, Millis(began));
        }
        if let Some((ended, end)) = ended {
            exposures.end(run, end, Millis(ended));
        }

        let elsewhere = exposures.crash("other", 1, Millis(10_000));
        let earlier_process = exposures.crash("u", 0, Millis(10_000));
        let accused = exposures.crash("u", 1, Millis(10_000));

        assert_eq!([elsewhere.len(), earlier_process.len()], [0, 0]);
        assert_eq!(
            accused.len(),
            usize::from(is_accused),
            "{began:?} {ended:?}"
        );
    }
}

// Guards against an answer without framing that a crash cuts off between two events and that counts as survived.
#[test]
fn a_complete_answer_survives_only_if_its_upstream_does() {
    let mut exposures = Exposures::default();
    let features: Rc<[Feature]> = sorted(["x"]).into();
    for upstream in ["crashes", "lives"] {
        let run = exposures.start(&upstream.into(), 1, &features);
        exposures.begin(run, Millis(100));
        exposures.end(run, RunEnd::Complete, Millis(150));
    }

    let early = exposures.take_survived(Millis(200));
    exposures.crash("crashes", 1, Millis(150));
    let survived = exposures.take_survived(Millis(151) + CRASH_WINDOW);

    assert!(early.is_empty());
    assert_eq!(survived.len(), 1);
}

#[test]
fn an_answer_that_goes_on_has_survived_once() {
    let mut exposures = Exposures::default();
    let run = exposures.start(&"u".into(), 1, &sorted(["x"]).into());

    let times = [100, 400, 501, 550, 602, 700];
    let survived = times.map(|at| exposures.progress(run, Millis(at)).is_some());

    assert_eq!(survived, [false, false, false, false, true, false]);
}

// Guards against bytes from before a crash that a suspended gateway reads later, and that speak for the culprit.
#[test]
fn bytes_that_were_read_late_do_not_survive() {
    let mut exposures = Exposures::default();
    let run = exposures.start(&"u".into(), 1, &sorted(["x"]).into());
    exposures.begin(run, Millis(100));

    let late = [3_000, 3_001].map(|at| exposures.progress(run, Millis(at)).is_some());

    assert_eq!(late, [false, false]);
}

#[test]
fn the_last_part_of_a_prompt_is_not_shared() {
    let whole = Feature::of_request(b"shop", b"/a", b"body");

    let found = features("a:800, b:410,c:250", whole);
    let single = features("a:800", whole);
    let none = features("", whole);

    let mut expected = sorted(["a", "b"]);
    expected.push(whole);
    expected.sort_unstable();
    assert_eq!(found, expected);
    assert_eq!([single, none], [vec![whole], vec![whole]]);
    assert!(whole.is_request() && !part("a").is_request());
    assert_eq!(whole.to_string().parse(), Ok(whole));
    assert_eq!("12".parse::<Feature>().ok(), None);
}

// Guards against sound requests that are refused because they share some parts with requests that crash upstreams.
#[test]
fn only_the_part_that_all_crashes_have_in_common_is_contained() {
    let mut evidence = gateway("a");
    crash(&mut evidence, 0..2, &sorted(["common", "bad", "one"]));
    evidence.record_survival(&sorted(["common"]), at(2));
    crash(&mut evidence, 3..4, &sorted(["common", "bad", "two"]));

    let refused = [
        ["common", "bad", "three"],
        ["common", "one", "two"],
        ["one", "two", "three"],
    ]
    .map(|parts| is_refused(&mut evidence, &sorted(parts), at(4)));

    assert_eq!(refused, [true, false, false]);
}

// Guards against a part that is blamed together with the culprit because both were in the same requests so far.
#[test]
fn parts_that_cannot_be_told_apart_are_contained_only_together() {
    let mut evidence = gateway("a");
    crash(&mut evidence, 0..3, &sorted(["bad", "companion"]));

    let both = is_refused(&mut evidence, &sorted(["bad", "companion"]), at(3));
    let companion = is_refused(&mut evidence, &sorted(["companion", "other"]), at(3));
    crash(&mut evidence, 4..5, &sorted(["bad", "other"]));
    let bad = is_refused(&mut evidence, &sorted(["bad", "third"]), at(5));
    let companion_after = is_refused(&mut evidence, &sorted(["companion", "other"]), at(5));

    assert_eq!([both, companion], [true, false]);
    assert_eq!([bad, companion_after], [true, false]);
}

// Guards against one request whose retries crash three upstreams and that then hides the part that does it.
#[test]
fn a_part_is_found_behind_a_request_that_was_repeated() {
    let repeated = |n: u8| {
        let whole = Feature::of_request(b"shop", b"/a", &[n]);
        features("common,bad,own", whole)
    };
    let mut evidence = gateway("a");
    for n in 0..3 {
        let at = at(0) + Millis(20 * n);
        evidence.record_crash(&format!("u{n}").into(), 1, at, &repeated(0));
    }
    let first = is_refused(&mut evidence, &repeated(0), at(1));
    for second in 1..4 {
        write(&mut evidence, at(second), second);
    }

    evidence.record_crash(&"u9".into(), 1, at(5), &features("bad,own", Feature(3)));
    let other = is_refused(&mut evidence, &features("bad,own", Feature(5)), at(6));
    let sound = is_refused(&mut evidence, &features("common,own", Feature(7)), at(6));

    assert_eq!([first, other, sound], [true, true, false]);
}

// Guards against the loss of a rack being taken for crashes under what its upstreams ran.
#[test]
fn upstreams_that_end_at_the_same_moment_are_one_crash() {
    let mut evidence = gateway("a");
    for n in 0..20 {
        evidence.record_crash(
            &format!("u{n}").into(),
            1,
            at(0) + Millis(n),
            &sorted(["x"]),
        );
    }

    assert!(!is_refused(&mut evidence, &sorted(["x"]), at(1)));
}

// Guards against a gateway that has just started and takes what all requests share for the culprit.
#[test]
fn a_gateway_obeys_recorded_verdicts_only_until_it_has_seen_enough() {
    let (_, record) = contained();
    let mut evidence = Evidence::new("new".into(), WARM);
    for n in 0..4 {
        evidence.record_crash(
            &format!("u{n}").into(),
            1,
            WARM + Millis(n * 200),
            &sorted(["x"]),
        );
    }
    evidence.apply(record, 9);

    let now = WARM + Millis::from_secs(1);
    let own = is_refused(&mut evidence, &sorted(["x"]), now);
    let recorded = is_refused(&mut evidence, &sorted(["bad", "y"]), now);

    assert_eq!([own, recorded], [false, true]);
}

// Guards against a wrong verdict that stays although a run with the feature has survived, here or at another gateway.
#[test]
fn a_survived_run_takes_a_verdict_back_at_all_gateways() {
    let (mut evidence, record) = contained();
    let mut other = gateway("b");
    other.apply(record, 5);
    let request = sorted(["bad", "y"]);
    assert!(is_refused(&mut other, &request, at(8)));

    evidence.record_survival(&sorted(["bad", "common"]), at(9));
    let mut report = None;
    let mut removed = None;
    for second in 10..14 {
        if let Some(written) = write(&mut evidence, at(second), second) {
            removed = removed.or(written.containment.filter(|c| c.record.is_none()));
            report = Some(written.report);
        }
    }
    other.merge(&report.expect("the survival is reported"), at(14));

    assert!(!is_refused(&mut evidence, &request, at(14)));
    assert!(!is_refused(&mut other, &request, at(14)));
    assert!(removed.is_some(), "the record is removed from the store");
    assert_eq!([evidence.contained(), other.contained()], [0, 0]);
}

// Guards against a trial at each gateway: only the one that changes the record sends a single request.
#[test]
fn one_gateway_tries_one_request() {
    let (mut first, record) = contained();
    let mut second = gateway("b");
    second.apply(record.clone(), 100);
    first.apply(record.clone(), 100);
    let request = sorted(["bad", "y"]);
    let due = record.next_trial + Millis(1);

    let refused = [&mut first, &mut second].map(|g| is_refused(g, &request, due));
    let claim = first.due_write(due, 2).expect("a trial is due");
    let late_claim = second.due_write(due, 2).expect("a trial is due here too");
    first.record_write(&claim, WriteResult::Written(101), due);
    second.record_write(&late_claim, WriteResult::Conflict, due);
    let claimed = claim.containment.and_then(|c| c.record).expect("a claim");
    second.apply(claimed.clone(), 101);

    assert_eq!(refused, [true, true]);
    assert!(matches!(first.decide(&request, due), Decision::Trial(_)));
    assert!(is_refused(&mut first, &request, due));
    assert!(is_refused(&mut second, &request, due));
    assert_eq!(claimed.trials, 1);
    assert!(claimed.next_trial.since(due) > record.next_trial.since(record.since));
}

// Guards against containments that outlive their record in the store.
#[test]
fn a_containment_ends_with_its_record() {
    let (_, record) = contained();
    let request = sorted(["bad", "y"]);
    let mut by_removal = gateway("b");
    let mut by_listing = gateway("c");
    for evidence in [&mut by_removal, &mut by_listing] {
        evidence.apply(record.clone(), 5);
    }

    by_removal.remove(record.key());
    by_listing.retain_listed(&[]);

    assert!(!is_refused(&mut by_removal, &request, at(9)));
    assert!(!is_refused(&mut by_listing, &request, at(9)));
}

// Guards against an older record that replaces a newer one.
#[test]
fn a_late_record_is_ignored() {
    let (mut evidence, record) = contained();
    let late = ContainmentRecord {
        next_trial: Millis(0),
        ..record
    };

    evidence.apply(late, 1);
    let Decision::Refuse(refusal) = evidence.decide(&sorted(["bad"]), at(8)) else {
        panic!("the request is contained");
    };

    assert!(refusal.retry_after > Millis::from_secs(1));
}

// Guards against verdicts that depend on the order or repetition of reports.
#[test]
fn reports_may_come_late_repeated_and_in_any_order() {
    type Reports = Vec<(u8, u8, u8, bool)>;
    fn reports(list: Reports) -> Vec<Report> {
        let report = |(upstream, feature, time, is_survival): (u8, u8, u8, bool)| {
            let feature = Feature(u64::from(feature % 5) * 2);
            let at = WARM + Millis(u64::from(time) * 100);
            let mut report = Report::default();
            if is_survival {
                report.survivals.push(Survival {
                    feature,
                    at,
                    count: 1,
                });
            } else {
                report.crashes.push(CrashRecord {
                    upstream: format!("u{}", upstream % 12).into(),
                    boot: 1,
                    at,
                    features: vec![feature, Feature(98)],
                });
            }
            report
        };
        list.into_iter().map(report).collect()
    }
    fn property(list: Reports) -> bool {
        let list = reports(list);
        let mut one = gateway("a");
        let mut other = gateway("a");

        for report in &list {
            one.merge(report, at(30));
        }
        for report in list.iter().rev().chain(&list) {
            other.merge(report, at(30));
        }

        (0..50).all(|n| {
            let request = [Feature(n * 2), Feature(98)];
            is_refused(&mut one, &request, at(30)) == is_refused(&mut other, &request, at(30))
        })
    }
    check_property(3, property as fn(Reports) -> bool);
}

// Guards against memory that grows with the number of upstreams, requests or crashes.
#[test]
fn memory_is_bounded_at_the_target_size() {
    let mut evidence = gateway("a");
    let mut exposures = Exposures::default();
    for n in 0..20_000_u64 {
        let features: Vec<_> = (0..8).map(|f| Feature((n * 8 + f) * 2)).collect();
        let upstream: Rc<str> = format!("u{}", n % 1_800).into();
        let run = exposures.start(&upstream, n / 1_800, &features.clone().into());
        exposures.end(run, RunEnd::Dropped, at(0) + Millis(n / 10));
        evidence.record_survival(&features, at(0) + Millis(n));
        evidence.record_crash(
            &upstream,
            n / 1_800,
            at(0) + Millis(n),
            &[Feature(n * 2 + 1)],
        );
    }
    exposures.take_survived(at(2));

    let [crashes, survivals, containments] = evidence.sizes();
    let write = evidence.due_write(at(30), 410).expect("there is evidence");
    let bytes = serde_json::to_vec(&write.report).map_or(0, |b| b.len());

    assert!(crashes <= 256 && survivals <= 8_192 + 8 && containments <= 64);
    assert!(exposures.len() <= 4_096, "{}", exposures.len());
    assert!(bytes <= 64 * 1_024, "{bytes} bytes");
    assert_eq!(CRASHES_TO_CONTAIN, 3);
}
