//! The retry budget that all gateways share.
//!
//! An extra send is any send of a request after its first one. Within any window, the extra sends of all gateways
//! are bounded by a ratio of the requests plus a fixed slack. Each gateway applies the ratio to its own requests
//! and uses only its part of the slack, so gateways need not exchange messages.

use std::collections::VecDeque;

use crate::units::Millis;

/// Length of one counting slot.
const SLOT_LENGTH: Millis = Millis(250);

/// Share of the ratio that is used, in percent. The rest is a margin for requests at the edge of the window, which
/// may be counted outside it.
const USED_RATIO_PERCENT: u64 = 80;

/// Share of the slack that all gateways together use, in percent.
const USED_SLACK_PERCENT: f64 = 80.0;

/// Share of the budget that is left for failures when requests escalate, in percent. A request whose first answer was
/// discarded fails if the larger model's upstream is lost and no extra send is left.
const RESERVED_FOR_FAILURES_PERCENT: u64 = 5;

/// Bounds of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Extra sends allowed per request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Millis,
    /// Extra sends allowed in addition within one window, over all gateways.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    start: Millis,
    requests: u64,
    extra_sends: u64,
}

/// Retry budget of one service at one gateway.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bounds: RetryBounds,
    slots: VecDeque<Slot>,
    requests: u64,
    extra_sends: u64,
}

impl RetryBudget {
    /// Starts an empty budget.
    #[must_use]
    pub const fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            slots: VecDeque::new(),
            requests: 0,
            extra_sends: 0,
        }
    }

    /// Sets the bounds.
    pub const fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Millis) {
        self.slot(now).requests += 1;
        self.requests += 1;
    }

    /// Takes one extra send from the budget and returns whether it was available; `gateways` is the number of
    /// gateways that share the slack.
    pub fn take(&mut self, now: Millis, gateways: usize) -> bool {
        let allowed = self.has_budget(now, gateways);
        if allowed {
            self.slot(now).extra_sends += 1;
            self.extra_sends += 1;
        }
        allowed
    }

    /// Takes one extra send for an escalation to a larger model, unless only the part that is reserved for failures is
    /// left; returns whether it was available.
    pub fn take_for_escalation(&mut self, now: Millis, gateways: usize) -> bool {
        self.slot(now);
        let allowed = self.allowed(gateways);
        let usable = allowed.saturating_mul(100 - RESERVED_FOR_FAILURES_PERCENT) / 100;
        self.extra_sends < usable && self.take(now, gateways)
    }

    /// Returns whether an extra send is available.
    pub fn has_budget(&mut self, now: Millis, gateways: usize) -> bool {
        self.slot(now);
        self.extra_sends < self.allowed(gateways)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "counts of a window are far below 2^52, the bounds are not negative, and a float cast saturates"
    )]
    fn allowed(&self, gateways: usize) -> u64 {
        let share = self.bounds.slack * USED_SLACK_PERCENT / 100.0 / gateways.max(1) as f64;
        let for_requests =
            self.bounds.ratio * self.requests as f64 * USED_RATIO_PERCENT as f64 / 100.0;
        (share as u64).saturating_add(for_requests as u64)
    }

    /// Drops slots that have left the window and returns the current one.
    fn slot(&mut self, now: Millis) -> &mut Slot {
        let start = Millis(now.0 / SLOT_LENGTH.0 * SLOT_LENGTH.0);
        while let Some(first) = self.slots.front() {
            if now.since(first.start) <= self.bounds.window {
                break;
            }
            self.requests -= first.requests;
            self.extra_sends -= first.extra_sends;
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|last| last.start < start) {
            self.slots.push_back(Slot {
                start,
                requests: 0,
                extra_sends: 0,
            });
        }
        self.slots
            .back_mut()
            .expect("the current slot was added if it was missing")
    }
}
