//! How long API keys may be trusted without word from the store, and how long one call may wait for it.
//!
//! A key that was taken away must not work for longer than the deployment allows, also on a gateway that
//! is cut off. A gateway therefore trusts its table only for some time after the store has confirmed it.
//! A call whose connection has gone silent hides every change until it is given up.

use crate::units::Millis;

/// Part of the allowed time after which keys are no longer trusted, in percent.
///
/// The rest covers the way of a request from the client to the gateway and on to the upstream.
const TRUST_PERCENT: u64 = 90;

/// Part of the allowed time within which the next answer of the store is to come, in percent; the rest
/// is for a call that fails and its repetition.
const ASK_PERCENT: u64 = 66;

/// Shortest wait of one watch call.
const SHORTEST_WAIT: Millis = Millis(200);

/// Part of the time to catch up after a watch has ended that is left for its late answer (700 ms), the pause after
/// a failed call (300 ms) and the next call on a new connection.
const NEXT_CALL: Millis = Millis(1_300);

/// Time for which a watch may be deaf: the store may hold changes back for a second before it tells that
/// its history is lost.
const DEAF: Millis = Millis(1_000);

/// Age of the routing table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    bound: Option<Millis>,
    catch_up: Millis,
    confirmed: Option<Millis>,
}

impl Freshness {
    /// Starts without a confirmed table; `bound` is the longest time that a revoked key may work, or
    /// `None` if keys are trusted without a limit. `catch_up` is the time in which a gateway is to know
    /// again what the store says after its connections have gone silent.
    #[must_use]
    pub const fn new(bound: Option<Millis>, catch_up: Millis) -> Self {
        Self {
            bound,
            catch_up,
            confirmed: None,
        }
    }

    /// Sets the longest time that a revoked key may work, and the time to catch up.
    pub const fn set_bounds(&mut self, bound: Option<Millis>, catch_up: Millis) {
        self.bound = bound;
        self.catch_up = catch_up;
    }

    /// Notes that the table was current at `at`, a time at or before the store's answer.
    pub fn confirm(&mut self, at: Millis) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records an answer without changes to a watch that was sent at `asked` and came at `now`.
    ///
    /// The store answers it at the end of `wait`, so the table was current then, unless the watch was deaf.
    pub fn confirm_unchanged(&mut self, asked: Millis, wait: Millis, now: Millis) {
        let has_waited = now.since(asked) >= wait;
        let waited = if has_waited {
            wait.since(DEAF)
        } else {
            Millis(0)
        };
        self.confirm(asked + waited);
    }

    /// Returns how long the next watch may wait, so that keys stay trusted and a silent connection is left in
    /// time.
    #[must_use]
    pub fn next_wait(&self, now: Millis) -> Millis {
        let longest = self.catch_up.since(NEXT_CALL);
        let wait = match self.bound {
            Some(bound) => {
                let age = self.age(now).unwrap_or_default();
                Millis(bound.0 * ASK_PERCENT / 100).since(age).min(longest)
            }
            None => longest,
        };
        wait.max(SHORTEST_WAIT)
    }

    /// Returns the time since the table was last known to be current.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Tells whether API keys may be trusted.
    #[must_use]
    pub fn is_trusted(&self, now: Millis) -> bool {
        match (self.bound, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(age)) => age.0 * 100 < bound.0 * TRUST_PERCENT,
        }
    }
}
