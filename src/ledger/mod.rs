//! Charges, ledger checkpoints, and the bill that is computed from them.
//!
//! A gateway numbers its requests without gaps and writes cumulative checkpoints. The agent that ran a
//! request holds a copy of the charge until a checkpoint covers it, and writes the copy as an orphan if the
//! gateway is gone. A bill is the union of both, with each request counted once.

mod bill;
mod gateway;
mod held;
mod intervals;
pub mod keys;
#[cfg(test)]
mod tests;
mod totals;

use serde::{Deserialize, Serialize};

pub use bill::{Bill, UnreadableRecord, read_bill};
pub use gateway::{
    Checkpoint, CloseError, FLUSH_INTERVAL, FlushResult, Flushed, GatewayLedger, MAX_BACKOFF,
    MAX_INTERVALS, MAX_ROWS_BYTES, MAX_WAITING_REQUESTS, MIN_BACKOFF, StoredCheckpoint,
    write_checkpoint,
};
pub use held::{
    GATEWAY_SILENCE_TIMEOUT, HeldCharges, HeldEffect, MAX_COPY_AGE, MAX_HELD_COPIES,
    MAX_PAGE_BYTES, ORPHAN_WRITE_SPREAD, OrphanPage, PageResult, write_orphans,
};
pub use intervals::{Intervals, InvalidIntervals};
pub use totals::{Total, Totals};

use crate::ids::{AccountId, RequestId, VersionRef};
use crate::units::{Micros, Millis, Tokens};

/// The charged item of a request, with its quantity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// Tokens of a version.
    Tokens {
        /// The version that generated the response.
        version: VersionRef,
        /// Number of prompt tokens.
        input: Tokens,
        /// Number of generated tokens.
        output: Tokens,
    },
    /// A priced call, such as `order`, `download-credit` or `donation`.
    Call(String),
}

impl Item {
    /// Returns the product under which the item is totalled.
    #[must_use]
    pub fn product(&self) -> Product {
        match self {
            Self::Tokens { version, .. } => Product::Version(version.clone()),
            Self::Call(name) => Product::Call(name.clone()),
        }
    }

    /// Returns the input and output tokens; zero for a call.
    #[must_use]
    pub const fn tokens(&self) -> (Tokens, Tokens) {
        match self {
            Self::Tokens { input, output, .. } => (*input, *output),
            Self::Call(_) => (Tokens(0), Tokens(0)),
        }
    }
}

/// An item without its quantity: one line of a bill.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Product {
    /// Tokens of a version.
    Version(VersionRef),
    /// A priced call.
    Call(String),
}

/// The cost of one request to its client account.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Charge {
    /// The request; its ID also identifies the charge.
    pub request: RequestId,
    /// Step of the cascade, from 0.
    pub step: u16,
    /// Attempt within the step, from 0.
    pub attempt: u16,
    /// The account that is charged.
    pub account: AccountId,
    /// The charged item.
    pub item: Item,
    /// The price.
    pub amount: Micros,
}

impl Charge {
    /// Returns the rank of the charge among those of its request; the highest rank replaces the others.
    #[must_use]
    pub const fn rank(&self) -> (u16, u16) {
        (self.step, self.attempt)
    }
}

/// A closed request in the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Closed {
    /// The request is charged.
    Charged(Charge),
    /// The request is not charged, because it did not run or was a replay.
    Free,
}

/// Returns the exponential back-off after this many consecutive failures.
fn backoff(failures: u32) -> Millis {
    let doubled = MIN_BACKOFF.0 << failures.saturating_sub(1).min(16);
    Millis(doubled).min(MAX_BACKOFF)
}
