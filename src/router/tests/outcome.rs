//! When a request may be sent again, what is guaranteed to the client, and when a silent upstream is given up.

use crate::fixtures;
use crate::router::attempt::{AttemptFailure, Attempts, ExecutionGuarantee};
use crate::router::silence_policy::{self, Limits, Next, ProbeResult, UpstreamActivity};
use crate::router::table::RequestKind;
use crate::units::Millis;

const ENDS: [AttemptFailure; 5] = [
    AttemptFailure::NotSent,
    AttemptFailure::Refused,
    AttemptFailure::Lost,
    AttemptFailure::Failed,
    AttemptFailure::Dropped,
];

/// For any sequence of failures, a request that may run at most once is never sent again after it may have run,
/// and `NotRun` is guaranteed exactly if no upstream can have run it.
#[test]
fn refusals_are_true_and_runs_are_bounded() {
    fn property(ends: Vec<u8>, kind: u8, allowed: u8) {
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
        for end in ends {
            if !attempts.can_send() {
                break;
            }
            assert!(ran == 0 || kind.is_repeatable());
            let end = ENDS[usize::from(end) % ENDS.len()];
            attempts.record(end);
            ran += u32::from(!matches!(
                end,
                AttemptFailure::NotSent | AttemptFailure::Refused
            ));
        }
        assert!(ran <= allowed);
        assert_eq!(
            attempts.execution_guarantee() == ExecutionGuarantee::NotRun,
            ran == 0
        );
    }
    fixtures::check(3, property as fn(Vec<u8>, u8, u8));
}

#[test]
fn refusing_upstreams_do_not_keep_a_request_for_ever() {
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
        silent: Millis(1_000),
        busy: Millis(4_000),
        deadline: Millis(20_000),
        can_probe: true,
    }
}

fn signs() -> UpstreamActivity {
    UpstreamActivity {
        since: Millis(0),
        has_recent_bytes: false,
        state: None,
        can_reroute: true,
    }
}

#[test]
fn a_silent_upstream_is_asked_and_then_left() {
    let no_sign = UpstreamActivity {
        state: Some(ProbeResult::NoSign),
        ..signs()
    };

    assert_eq!(
        silence_policy::next(&limits(), &signs(), Millis(400)),
        Next::Wait(Millis(600))
    );
    assert_eq!(
        silence_policy::next(&limits(), &signs(), Millis(1_000)),
        Next::Probe
    );
    assert_eq!(
        silence_policy::next(&limits(), &no_sign, Millis(1_000)),
        Next::Reroute
    );
}

/// A busy engine sends no bytes for a request while it processes a long prompt and generates tokens of other
/// requests. The request must not be rerouted before the limit for busy upstreams.
#[test]
fn a_busy_upstream_is_kept_until_its_limit() {
    let heard = UpstreamActivity {
        has_recent_bytes: true,
        ..signs()
    };
    let at_work = UpstreamActivity {
        state: Some(ProbeResult::AtWork),
        ..signs()
    };

    for signs in [heard, at_work] {
        assert!(matches!(
            silence_policy::next(&limits(), &signs, Millis(3_900)),
            Next::Wait(_)
        ));
        assert_eq!(
            silence_policy::next(&limits(), &signs, Millis(4_000)),
            Next::Reroute
        );
    }
}

/// A silent upstream must not end a request that cannot be sent to another upstream.
#[test]
fn without_another_attempt_only_the_deadline_ends_a_request() {
    let stuck = UpstreamActivity {
        can_reroute: false,
        state: Some(ProbeResult::NoSign),
        ..signs()
    };

    assert!(matches!(
        silence_policy::next(&limits(), &stuck, Millis(19_999)),
        Next::Wait(_)
    ));
    assert_eq!(
        silence_policy::next(&limits(), &stuck, Millis(20_000)),
        Next::TimedOut
    );
}
