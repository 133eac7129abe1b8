//! How long API keys are trusted without an answer from the store, and how long one watch call may wait.
//!
//! A revoked key must not work for longer than the deployment allows, even on a gateway that is cut off from the
//! store. A gateway therefore trusts its table only for a limited time after the store has confirmed it. While a
//! watch call is open on a connection that has gone silent, changes go unnoticed until the call is abandoned, so
//! its wait is limited too.

use crate::units::Millis;

/// Share of the allowed time after which keys are no longer trusted, in percent.
///
/// The rest covers the transit of a request from the client to the gateway and on to the upstream.
const TRUST_PERCENT: u64 = 90;

/// Share of the allowed time within which the next answer of the store should arrive, in percent. The rest is for
/// a failed call and its retry.
const REFRESH_PERCENT: u64 = 66;

/// Shortest wait time of a watch call.
const MIN_WAIT: Millis = Millis(200);

/// Part of the catch-up time that must remain when a watch ends: for an answer that arrives late (700 ms), the
/// pause after a failed call (300 ms) and the next call on a new connection.
const RECOVERY_MARGIN: Millis = Millis(1_300);

/// Longest time for which a watch may miss changes: the store may withhold changes for a second before it reports
/// that its history is lost.
const MAX_WATCH_LAG: Millis = Millis(1_000);

/// Tracks when the routing table was last known to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    revocation_limit: Option<Millis>,
    catch_up: Millis,
    confirmed_at: Option<Millis>,
}

impl Freshness {
    /// Starts without a confirmed table. `revocation_limit` is the longest time for which a revoked key may work,
    /// or `None` if keys are trusted without a limit. `catch_up` is the time within which a gateway must have the
    /// store's current state again after its connections have gone silent.
    #[must_use]
    pub const fn new(revocation_limit: Option<Millis>, catch_up: Millis) -> Self {
        Self {
            revocation_limit,
            catch_up,
            confirmed_at: None,
        }
    }

    /// Sets the longest time for which a revoked key may work, and the catch-up time.
    pub const fn set_bounds(&mut self, revocation_limit: Option<Millis>, catch_up: Millis) {
        self.revocation_limit = revocation_limit;
        self.catch_up = catch_up;
    }

    /// Records that the table was current at `at`, a time no later than the store's answer.
    pub fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records an answer without changes to a watch; the watch was sent at `sent_at` and the answer arrived at
    /// `now`.
    ///
    /// The store answers at the end of `wait`, so the table was current then, less the `MAX_WATCH_LAG` time for
    /// which the watch may have missed changes. An answer before the end of `wait` only confirms the time of the
    /// call.
    pub fn confirm_unchanged(&mut self, sent_at: Millis, wait: Millis, now: Millis) {
        let has_waited = now.since(sent_at) >= wait;
        let confirmed_wait = if has_waited {
            wait.since(MAX_WATCH_LAG)
        } else {
            Millis(0)
        };
        self.confirm(sent_at + confirmed_wait);
    }

    /// Returns how long the next watch may wait, so that keys stay trusted and a silent connection is abandoned
    /// early enough to catch up.
    #[must_use]
    pub fn next_wait(&self, now: Millis) -> Millis {
        let longest = self.catch_up.since(RECOVERY_MARGIN);
        let wait = match self.revocation_limit {
            Some(revocation_limit) => {
                let age = self.age(now).unwrap_or_default();
                Millis(revocation_limit.0 * REFRESH_PERCENT / 100)
                    .since(age)
                    .min(longest)
            }
            None => longest,
        };
        wait.max(MIN_WAIT)
    }

    /// Returns the time since the table was last known to be current; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether API keys may be trusted.
    #[must_use]
    pub fn is_trusted(&self, now: Millis) -> bool {
        match (self.revocation_limit, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(revocation_limit), Some(age)) => age.0 * 100 < revocation_limit.0 * TRUST_PERCENT,
        }
    }
}
