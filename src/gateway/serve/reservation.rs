//! Reservation of a request against its account's limits.

use std::cell::Cell;
use std::rc::Rc;

use super::super::planning::DIRECT_CLASS;
use super::super::shared::Shared;
use crate::follower::InForce;
use crate::ids::{AccountId, ClassId};
use crate::limits::LimitKind;
use crate::refusal::{Code, Refusal};
use crate::sheet::{Account, Limit};
use crate::units::Tokens;

/// Reservation of a request against its account's limits; released when dropped.
#[derive(Debug)]
pub(super) struct LimitReservation {
    shared: Rc<Shared>,
    account: AccountId,
    class: ClassId,
    expected: Tokens,
    used: Cell<Tokens>,
}

impl Drop for LimitReservation {
    fn drop(&mut self) {
        let mut limits = self.shared.limits.borrow_mut();
        limits.finish(&self.account, &self.class, self.expected, self.used.get());
    }
}

impl LimitReservation {
    /// Reserves capacity for a request; `None` if the account has no limit for the request's class.
    ///
    /// # Errors
    /// A refusal if the account has reached a limit.
    pub fn admit(
        shared: &Rc<Shared>,
        in_force: &InForce,
        account: &AccountId,
        class: &ClassId,
        expected: Tokens,
    ) -> Result<Option<Self>, Refusal> {
        let found = in_force.sheet.account(account);
        let Some(limit) = found.and_then(|account| limit_of(account, class)) else {
            return Ok(None);
        };
        let now = shared.clock.now();
        let admitted = shared
            .limits
            .borrow_mut()
            .admit(account, limit, expected, now);
        if let Err(reached) = admitted {
            let unit = match reached.kind {
                LimitKind::Requests => "requests a second",
                LimitKind::Tokens => "tokens a minute",
                LimitKind::Concurrency => "requests in flight",
            };
            let message = format!(
                "account {account} reached its limit of {unit} for {}",
                limit.class
            );
            return Err(
                Refusal::not_run(Code::RateLimited, message).retry_after(reached.retry_after)
            );
        }
        Ok(Some(Self {
            shared: Rc::clone(shared),
            account: account.clone(),
            class: limit.class.clone(),
            expected,
            used: Cell::new(expected),
        }))
    }

    /// Records the tokens that the request actually used.
    pub fn record_usage(&self, tokens: Tokens) {
        self.used.set(tokens);
    }
}

/// Returns the limit that a request counts against.
///
/// A request that names a version belongs to no class. It counts against the account's limit with the lowest
/// request rate, so that naming versions does not bypass the limits.
fn limit_of<'a>(account: &'a Account, class: &ClassId) -> Option<&'a Limit> {
    let limits = account.limits.iter();
    if class.as_str() == DIRECT_CLASS {
        return limits.min_by_key(|limit| limit.requests_per_s);
    }
    limits.into_iter().find(|limit| limit.class == *class)
}
