//! When a request may be sent again, what is guaranteed to the client, and when a silent upstream is abandoned.

use std::num::NonZeroU64;
use std::rc::Rc;

use crate::beacon::Load;
use crate::fixtures;
use crate::router::attempt::{AttemptFailure, Attempts, ExecutionGuarantee};
use crate::router::health::HealthTable;
use crate::router::silence_policy::{self, Limits, NextAction, ProbeResult, UpstreamActivity};
use crate::router::table::RequestKind;
use crate::units::Millis;

const FAILURES: [AttemptFailure; 5] = [
    AttemptFailure::NotSent,
    AttemptFailure::Refused,
    AttemptFailure::Lost,
    AttemptFailure::Failed,
    AttemptFailure::Dropped,
];

/// For any sequence of failures, a request that may run at most once is never sent again after it may have run,
/// and `NotRun` is guaranteed exactly if no upstream can have run it.
#[test]
fn not_run_is_guaranteed_only_if_true_and_runs_are_bounded() {
    fn property(failures: Vec<u8>, kind: u8, allowed: u8) {
        let kinds = [
            RequestKind::Idempotent,
            RequestKind::AtMostOnce,
            RequestKind::ResumableStream,
            RequestKind::Stream,
        ];
        let kind = kinds[usize::from(kind) % kinds.len()];
        let allowed = u32::from(allowed % 4) + 1;
        let mut attempts = Attempts::new(kind, allowed);
        let mut ran = 0;
        for failure in failures {
            if !attempts.can_send() {
                break;
            }
            assert!(ran == 0 || kind.is_repeatable());
            let failure = FAILURES[usize::from(failure) % FAILURES.len()];
            attempts.record(failure);
            ran += u32::from(!matches!(
                failure,
                AttemptFailure::NotSent | AttemptFailure::Refused
            ));
        }
        assert!(ran <= allowed);
        assert_eq!(
            attempts.execution_guarantee() == ExecutionGuarantee::NotRun,
            ran == 0
        );
    }
    fixtures::check_property(3, property as fn(Vec<u8>, u8, u8));
}

#[test]
fn sends_to_refusing_upstreams_are_bounded() {
    let mut attempts = Attempts::new(RequestKind::AtMostOnce, 1);
    let mut sends = 0;
    while attempts.can_send() {
        attempts.record(AttemptFailure::Refused);
        sends += 1;
    }

    assert!(sends <= 6);
    assert_eq!(attempts.execution_guarantee(), ExecutionGuarantee::NotRun);
}

fn limits() -> Limits {
    Limits {
        silence_limit: Millis(1_000),
        busy_limit: Millis(4_000),
        deadline: Millis(20_000),
        can_probe: true,
    }
}

fn activity() -> UpstreamActivity {
    UpstreamActivity {
        since: Millis(0),
        has_recent_bytes: false,
        state: None,
        can_reroute: true,
    }
}

#[test]
fn a_silent_upstream_is_probed_before_a_reroute() {
    let idle = UpstreamActivity {
        state: Some(ProbeResult::NoSign),
        ..activity()
    };

    assert_eq!(
        silence_policy::next(&limits(), &activity(), Millis(400)),
        NextAction::Wait(Millis(600))
    );
    assert_eq!(
        silence_policy::next(&limits(), &activity(), Millis(1_000)),
        NextAction::Probe
    );
    assert_eq!(
        silence_policy::next(&limits(), &idle, Millis(1_000)),
        NextAction::Reroute
    );
}

/// A busy engine sends no bytes for a request while it processes a long prompt and generates tokens of other
/// requests. The request must not be rerouted before the limit for busy upstreams.
#[test]
fn a_busy_upstream_keeps_its_request_until_the_busy_limit() {
    let sends_other_bytes = UpstreamActivity {
        has_recent_bytes: true,
        ..activity()
    };
    let at_work = UpstreamActivity {
        state: Some(ProbeResult::AtWork),
        ..activity()
    };

    for activity in [sends_other_bytes, at_work] {
        assert!(matches!(
            silence_policy::next(&limits(), &activity, Millis(3_900)),
            NextAction::Wait(_)
        ));
        assert_eq!(
            silence_policy::next(&limits(), &activity, Millis(4_000)),
            NextAction::Reroute
        );
    }
}

/// Waves of long prompts: many gateways wait at the same busy engine, and each probe takes its time and a connection. The report of the
/// beacon beside it, if it came after the request fell silent, says the same.
#[test]
fn a_busy_engine_is_not_probed_for_what_its_beacon_has_told() {
    let id = Rc::from("u");
    let at_work = |waiting: u16, leaving: u64, arrived: Millis, now: Millis| {
        let load = Load {
            waiting,
            leaving_boot: NonZeroU64::new(leaving),
            ..Load::default()
        };
        let mut health = HealthTable::default();
        health.record_load(&id, 1, load, arrived);
        let silent_since = Millis(1_000);
        health
            .entry(&id, 1, now)
            .is_reported_at_work(silent_since, now)
    };
    let now = Millis(2_000);

    assert!(at_work(3, 0, Millis(1_900), now));
    assert!(!at_work(0, 0, Millis(1_900), now));
    assert!(!at_work(3, 0, Millis(900), now));
    assert!(!at_work(3, 0, Millis(1_100), Millis(2_500)));
    assert!(!at_work(3, 9, Millis(1_900), now));
}

/// A silent upstream must not end a request that cannot be sent to another upstream.
#[test]
fn without_another_attempt_only_the_deadline_ends_a_request() {
    let no_alternative = UpstreamActivity {
        can_reroute: false,
        state: Some(ProbeResult::NoSign),
        ..activity()
    };

    assert!(matches!(
        silence_policy::next(&limits(), &no_alternative, Millis(19_999)),
        NextAction::Wait(_)
    ));
    assert_eq!(
        silence_policy::next(&limits(), &no_alternative, Millis(20_000)),
        NextAction::TimedOut
    );
}
