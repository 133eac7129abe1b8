//! The retry budget that all gateways share.
//!
//! Within any window, the sends of all gateways beyond the first one of each request are bounded by a
//! ratio of the requests plus a slack. Each gateway keeps to the ratio on its own requests and to its part
//! of the slack, so no messages between gateways are needed.

use std::collections::VecDeque;

use crate::units::Millis;

/// Width of one counting slot.
const SLOT: Millis = Millis(250);

/// Part of the ratio that is used, in percent; requests of a window's edge may be counted outside it.
const RATIO_PERCENT: u64 = 80;

/// Part of the slack that all gateways use together, in percent.
const SLACK_PERCENT: u64 = 80;

/// The figures that bound retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Sends beyond the first one for each request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Millis,
    /// Sends that are allowed on top, over all gateways.
    pub slack: u64,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    start: Millis,
    requests: u64,
    extra: u64,
}

/// One service's budget at one gateway.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bounds: RetryBounds,
    slots: VecDeque<Slot>,
    requests: u64,
    extra: u64,
}

impl RetryBudget {
    /// Starts an empty budget.
    #[must_use]
    pub const fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            slots: VecDeque::new(),
            requests: 0,
            extra: 0,
        }
    }

    /// Sets the figures that bound retries.
    pub const fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a request.
    pub fn request(&mut self, now: Millis) {
        self.slot(now).requests += 1;
        self.requests += 1;
    }

    /// Takes one send beyond the first from the budget; `gateways` share the slack.
    pub fn take(&mut self, now: Millis, gateways: usize) -> bool {
        let allowed = self.has_budget(now, gateways);
        if allowed {
            self.slot(now).extra += 1;
            self.extra += 1;
        }
        allowed
    }

    /// Tells whether a send beyond the first is left.
    pub fn has_budget(&mut self, now: Millis, gateways: usize) -> bool {
        self.slot(now);
        self.extra < self.allowed(gateways)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "counts of a window are far below 2^52 and the ratio is not negative"
    )]
    fn allowed(&self, gateways: usize) -> u64 {
        let share = self.bounds.slack * SLACK_PERCENT / 100 / gateways.max(1) as u64;
        let of_requests = self.bounds.ratio * self.requests as f64 * RATIO_PERCENT as f64 / 100.0;
        share + of_requests as u64
    }

    /// Drops slots that have left the window and returns the present one.
    fn slot(&mut self, now: Millis) -> &mut Slot {
        let start = Millis(now.0 / SLOT.0 * SLOT.0);
        while let Some(first) = self.slots.front() {
            if now.since(first.start) <= self.bounds.window {
                break;
            }
            self.requests -= first.requests;
            self.extra -= first.extra;
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|last| last.start < start) {
            self.slots.push_back(Slot {
                start,
                requests: 0,
                extra: 0,
            });
        }
        self.slots.back_mut().expect("a slot was just added")
    }
}
