//! Limits of an account for one request class: requests, generated tokens and concurrency.

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, ClassId};
use crate::sheet::Limit;
use crate::units::{Millis, Tokens};

/// Parts of a token that a bucket counts in; what rounding loses is under one part in a million.
const NANO: i128 = 1_000_000_000;
/// Length of the burst that a bucket holds.
const BURST: Millis = Millis::from_secs(1);
const MS_PER_S: i128 = 1_000;
const MS_PER_MIN: i128 = 60_000;

/// Which limit of an account was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    /// Requests a second.
    Requests,
    /// Generated tokens a minute.
    Tokens,
    /// Requests in flight.
    Concurrency,
}

/// A request that an account's limit refused; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRefusal {
    /// The limit.
    pub kind: LimitKind,
    /// When the limit may allow the request.
    pub retry_after: Millis,
}

/// A token bucket in nano-tokens; a level below zero is a debt of requests that used more than expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Bucket {
    level: i128,
    filled: Millis,
}

/// Rate and size of a bucket.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    nano_per_ms: i128,
    capacity: i128,
}

impl Flow {
    /// Divides `amount` per `span_ms` by the gateways; the bucket holds one second's worth, at least
    /// `least`, since a smaller one would refuse that much for ever.
    pub(super) fn new(amount: u64, span_ms: i128, gateways: u32, least: u64) -> Self {
        let nano_per_ms = i128::from(amount) * NANO / (span_ms * i128::from(gateways.max(1)));
        let burst = nano_per_ms * i128::from(BURST.0);
        Self {
            nano_per_ms,
            capacity: burst.max(i128::from(least) * NANO),
        }
    }
}

impl Bucket {
    pub(super) const fn full(flow: Flow, now: Millis) -> Self {
        Self {
            level: flow.capacity,
            filled: now,
        }
    }

    /// Returns how long it takes until `amount` can be taken; zero if it can be taken now.
    pub(super) fn wait(&mut self, flow: Flow, amount: u64, now: Millis) -> Millis {
        let elapsed = i128::from(now.since(self.filled).0);
        self.level = (self.level + elapsed * flow.nano_per_ms).min(flow.capacity);
        self.filled = self.filled.max(now);
        // More than the bucket can hold is allowed from a full bucket, into debt.
        let needed = (i128::from(amount) * NANO).min(flow.capacity);
        let missing = (needed - self.level).max(0);
        let wait = match flow.nano_per_ms {
            _ if missing == 0 => 0,
            0 => i128::from(u64::MAX),
            rate => missing.div_euclid(rate) + i128::from(missing.rem_euclid(rate) != 0),
        };
        Millis(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    pub(super) fn take(&mut self, amount: u64) {
        self.level -= i128::from(amount) * NANO;
    }

    fn give(&mut self, amount: u64) {
        self.level += i128::from(amount) * NANO;
    }
}

/// What one account uses of one class at this gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Usage {
    account: AccountId,
    class: ClassId,
    requests: Bucket,
    tokens: Bucket,
    in_flight: u32,
}

/// Use of all limits at this gateway, sorted by account and class.
///
/// Each gateway allows an equal part of a limit. Concurrency is rounded up, since a gateway that allows
/// none would refuse requests of an account that is within its limit: with more gateways than the limit,
/// the account may have one request in flight at each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitTable {
    gateways: u32,
    rows: Vec<Usage>,
}

impl LimitTable {
    /// Makes an empty table for a number of live gateways, this one included.
    #[must_use]
    pub const fn new(gateways: u32) -> Self {
        Self {
            gateways,
            rows: Vec::new(),
        }
    }

    /// Takes note of the number of live gateways; levels stay and refill at the new rate.
    pub const fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways;
    }

    /// Takes a request's part of all limits, or of none.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached, with the longest wait if there are several.
    pub fn admit(
        &mut self,
        account: &AccountId,
        limit: &Limit,
        expected: Tokens,
        now: Millis,
    ) -> Result<(), LimitRefusal> {
        let (requests, tokens) = self.flows(limit);
        let concurrency = limit.concurrency.div_ceil(self.gateways.max(1));
        let at = self.row(account, limit, now);
        let usage = &mut self.rows[at];
        let waits = [
            (LimitKind::Requests, usage.requests.wait(requests, 1, now)),
            (
                LimitKind::Tokens,
                usage.tokens.wait(tokens, expected.0, now),
            ),
        ];
        let longest = waits.into_iter().max_by_key(|(_, wait)| *wait);
        if let Some((kind, retry_after)) = longest.filter(|(_, wait)| wait.0 > 0) {
            return Err(LimitRefusal { kind, retry_after });
        }
        if usage.in_flight >= concurrency {
            // The end of a request in flight is not known; a second spreads the retries.
            return Err(LimitRefusal {
                kind: LimitKind::Concurrency,
                retry_after: Millis::from_secs(1),
            });
        }
        usage.requests.take(1);
        usage.tokens.take(expected.0);
        usage.in_flight += 1;
        Ok(())
    }

    /// Ends an admitted request, with the tokens that it really used.
    pub fn finish(&mut self, account: &AccountId, class: &ClassId, expected: Tokens, used: Tokens) {
        if let Ok(at) = self.find(account, class) {
            let usage = &mut self.rows[at];
            usage.in_flight = usage.in_flight.saturating_sub(1);
            usage.tokens.give(expected.0);
            usage.tokens.take(used.0);
        }
    }

    /// Drops the rows for which `keep` is false, such as those of accounts that no longer exist.
    pub fn retain(&mut self, mut keep: impl FnMut(&AccountId, &ClassId) -> bool) {
        self.rows.retain(|row| keep(&row.account, &row.class));
    }

    fn flows(&self, limit: &Limit) -> (Flow, Flow) {
        let per_s = u64::from(limit.requests_per_s);
        let per_min = limit.tokens_per_min.0;
        (
            Flow::new(per_s, MS_PER_S, self.gateways, 1),
            Flow::new(per_min, MS_PER_MIN, self.gateways, 1),
        )
    }

    fn find(&self, account: &AccountId, class: &ClassId) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (&row.account, &row.class).cmp(&(account, class)))
    }

    fn row(&mut self, account: &AccountId, limit: &Limit, now: Millis) -> usize {
        let (requests, tokens) = self.flows(limit);
        self.find(account, &limit.class).unwrap_or_else(|at| {
            let usage = Usage {
                account: account.clone(),
                class: limit.class.clone(),
                requests: Bucket::full(requests, now),
                tokens: Bucket::full(tokens, now),
                in_flight: 0,
            };
            self.rows.insert(at, usage);
            at
        })
    }
}
