//! Rules for further attempts and for the refusals that callers receive; pure.

use crate::refusal::{Code, Refusal, RunStatus};
use crate::stream::IncompleteReason;
use crate::units::Millis;

/// Maximum number of attempts of one step: the probes for a free slot, and as many again that were refused
/// without a run.
pub const MAX_ATTEMPTS: u16 = 16;

/// Maximum number of resends in one step after attempts that may have run.
const MAX_RESENDS: u32 = 2;

/// Returns whether a request may be sent again after an attempt that may have run.
#[must_use]
pub const fn may_resend(code: Code, is_keyed: bool, resends: u32) -> bool {
    !is_keyed && matches!(code, Code::UpstreamFailed) && resends < MAX_RESENDS
}

/// Returns whether another upstream may accept a request that one refused without a run.
#[must_use]
pub const fn may_try_another_upstream(code: Code) -> bool {
    matches!(
        code,
        Code::Overloaded | Code::Stopping | Code::NoUpstream | Code::UpstreamFailed | Code::NoSheet
    )
}

/// Returns whether an agent may hold a charge for a failed attempt.
///
/// A crashed or failed run is not charged; an agent that was lost may hold a charge.
#[must_use]
pub fn may_hold_charge(refusal: &Refusal, crashed: bool) -> bool {
    refusal.ran != RunStatus::NotRun && !crashed
}

/// Corrects the refusal of the last attempt, which must not hide that an earlier attempt may have run.
#[must_use]
pub fn correct_run_status(mut refusal: Refusal, may_have_run: bool) -> Refusal {
    if refusal.ran == RunStatus::NotRun && may_have_run {
        refusal.ran = RunStatus::Unknown;
    }
    // Every request is idempotent or carries a key, under which it runs at most once.
    refusal.resend_safe |= matches!(refusal.code, Code::UpstreamFailed | Code::DeadlineExceeded);
    refusal
}

/// Returns the refusal of a request whose answer cannot be completed.
#[must_use]
pub fn incomplete(reason: IncompleteReason) -> Refusal {
    let code = match reason {
        IncompleteReason::Deadline => Code::DeadlineExceeded,
        _ => Code::UpstreamFailed,
    };
    Refusal::after_run(code, RunStatus::Unknown, reason.to_string())
}

/// Returns the refusal of a request that cannot be planned again because an attempt may have run.
#[must_use]
pub fn sheet_changed_after_run() -> Refusal {
    let message = "the sheet changed after an attempt that may have run";
    Refusal::after_run(Code::UpstreamFailed, RunStatus::Unknown, message)
}

/// Returns the refusal of a request under which the sheet changed too often.
#[must_use]
pub fn sheet_changed_too_often() -> Refusal {
    Refusal::not_run(Code::NoUpstream, "the sheet changed during each try").retry_after(Millis(500))
}
