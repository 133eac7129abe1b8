//! Limits of an account for a request class: request rate, rate of generated tokens and concurrency.

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, ClassId};
use crate::sheet::Limit;
use crate::units::{Millis, Tokens};

/// Nano-tokens in a token. Buckets count in nano-tokens, so that the rounding error is below one part in a
/// million.
const NANOS_PER_TOKEN: i128 = 1_000_000_000;
/// Time in which an empty bucket refills; it determines the largest burst.
const BURST_DURATION: Millis = Millis::from_secs(1);
const MS_PER_S: i128 = 1_000;
const MS_PER_MIN: i128 = 60_000;

/// Which limit of an account was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Generated tokens per minute.
    Tokens,
    /// Requests in flight.
    Concurrency,
}

/// Refusal of a request by an account's limit; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRefusal {
    /// The limit that was reached.
    pub kind: LimitKind,
    /// Time after which the limit may allow the request.
    pub retry_after: Millis,
}

/// A token bucket in nano-tokens; the level is negative after requests that used more than expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Bucket {
    level: i128,
    /// Time of the last refill.
    filled: Millis,
}

/// Refill rate and capacity of a bucket.
#[derive(Debug, Clone, Copy)]
pub(super) struct BucketConfig {
    nano_per_ms: i128,
    capacity: i128,
}

impl BucketConfig {
    /// Divides a rate of `amount` per `period_ms` evenly among the gateways.
    ///
    /// The capacity is the refill of one second, but at least `min_capacity` tokens: a smaller bucket could
    /// never hold that many.
    pub(super) fn new(amount: u64, period_ms: i128, gateways: u32, min_capacity: u64) -> Self {
        let nano_per_ms =
            i128::from(amount) * NANOS_PER_TOKEN / (period_ms * i128::from(gateways.max(1)));
        let burst = nano_per_ms * i128::from(BURST_DURATION.0);
        Self {
            nano_per_ms,
            capacity: burst.max(i128::from(min_capacity) * NANOS_PER_TOKEN),
        }
    }
}

impl Bucket {
    pub(super) const fn new_full(config: BucketConfig, now: Millis) -> Self {
        Self {
            level: config.capacity,
            filled: now,
        }
    }

    /// Refills the bucket and returns the time until `amount` can be taken; zero if it can be taken now.
    pub(super) fn time_until_available(
        &mut self,
        config: BucketConfig,
        amount: u64,
        now: Millis,
    ) -> Millis {
        let elapsed = i128::from(now.since(self.filled).0);
        self.level = (self.level + elapsed * config.nano_per_ms).min(config.capacity);
        self.filled = self.filled.max(now);
        // An amount above the capacity is allowed when the bucket is full; the level then becomes negative.
        let needed = (i128::from(amount) * NANOS_PER_TOKEN).min(config.capacity);
        let deficit = (needed - self.level).max(0);
        let wait = match config.nano_per_ms {
            _ if deficit == 0 => 0,
            0 => i128::from(u64::MAX),
            rate => deficit.div_euclid(rate) + i128::from(deficit.rem_euclid(rate) != 0),
        };
        Millis(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    pub(super) fn take(&mut self, amount: u64) {
        self.level -= i128::from(amount) * NANOS_PER_TOKEN;
    }

    fn refund(&mut self, amount: u64) {
        self.level += i128::from(amount) * NANOS_PER_TOKEN;
    }
}

/// Usage of one class by one account at this gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Usage {
    account: AccountId,
    class: ClassId,
    requests: Bucket,
    tokens: Bucket,
    in_flight: u32,
}

/// Usage of all limits at this gateway.
///
/// Each gateway allows an equal share of a limit. The share of a concurrency limit is rounded up, since a
/// gateway with a share of zero would refuse requests of an account that is within its limit. With more
/// gateways than the limit, the account may therefore have one request in flight at each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitTable {
    gateways: u32,
    /// Sorted by account and class.
    rows: Vec<Usage>,
}

impl LimitTable {
    /// Creates an empty table for a number of live gateways, this one included.
    #[must_use]
    pub const fn new(gateways: u32) -> Self {
        Self {
            gateways,
            rows: Vec::new(),
        }
    }

    /// Sets the number of live gateways; buckets keep their levels and refill at the new rate.
    pub const fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways;
    }

    /// Charges a request to all limits, or to none if one of them is reached.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached; of the two rate limits, the one with the longer wait.
    pub fn admit(
        &mut self,
        account: &AccountId,
        limit: &Limit,
        expected: Tokens,
        now: Millis,
    ) -> Result<(), LimitRefusal> {
        let (requests, tokens) = self.bucket_configs(limit);
        let concurrency = limit.concurrency.div_ceil(self.gateways.max(1));
        let index = self.find_or_insert(account, limit, now);
        let usage = &mut self.rows[index];
        let waits = [
            (
                LimitKind::Requests,
                usage.requests.time_until_available(requests, 1, now),
            ),
            (
                LimitKind::Tokens,
                usage.tokens.time_until_available(tokens, expected.0, now),
            ),
        ];
        let longest = waits.into_iter().max_by_key(|(_, wait)| *wait);
        if let Some((kind, retry_after)) = longest.filter(|(_, wait)| wait.0 > 0) {
            return Err(LimitRefusal { kind, retry_after });
        }
        if usage.in_flight >= concurrency {
            // It is not known when a request in flight will end; a wait of one second spreads the retries.
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

    /// Ends an admitted request and charges the tokens it used instead of the expected ones.
    pub fn finish(&mut self, account: &AccountId, class: &ClassId, expected: Tokens, used: Tokens) {
        if let Ok(index) = self.find(account, class) {
            let usage = &mut self.rows[index];
            usage.in_flight = usage.in_flight.saturating_sub(1);
            usage.tokens.refund(expected.0);
            usage.tokens.take(used.0);
        }
    }

    /// Drops the rows for which `keep` is false, such as those of accounts that no longer exist.
    pub fn retain(&mut self, mut keep: impl FnMut(&AccountId, &ClassId) -> bool) {
        self.rows.retain(|row| keep(&row.account, &row.class));
    }

    fn bucket_configs(&self, limit: &Limit) -> (BucketConfig, BucketConfig) {
        let per_s = u64::from(limit.requests_per_s);
        let per_min = limit.tokens_per_min.0;
        (
            BucketConfig::new(per_s, MS_PER_S, self.gateways, 1),
            BucketConfig::new(per_min, MS_PER_MIN, self.gateways, 1),
        )
    }

    fn find(&self, account: &AccountId, class: &ClassId) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (&row.account, &row.class).cmp(&(account, class)))
    }

    fn find_or_insert(&mut self, account: &AccountId, limit: &Limit, now: Millis) -> usize {
        let (requests, tokens) = self.bucket_configs(limit);
        self.find(account, &limit.class).unwrap_or_else(|index| {
            let usage = Usage {
                account: account.clone(),
                class: limit.class.clone(),
                requests: Bucket::new_full(requests, now),
                tokens: Bucket::new_full(tokens, now),
                in_flight: 0,
            };
            self.rows.insert(index, usage);
            index
        })
    }
}
