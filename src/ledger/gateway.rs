//! The gateway's part of the ledger: cumulative checkpoints.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::keys::Key;
use super::{Charge, Closed, Intervals, Totals, backoff};
use crate::ids::{Incarnation, RequestId};
use crate::kv::{Change, Compare, KeyValue, KvError, MAX_VALUE_BYTES, TxnOutcome};
use crate::units::Millis;

/// Time between two checkpoints; 410 gateways then use 82 of the service's 300 writes per second.
pub const FLUSH_INTERVAL: Millis = Millis::from_secs(5);
/// Time after which an unchanged checkpoint is written again, in case that the service was restored from a copy without it;
/// 410 gateways then use 7 of the service's 300 writes per second.
pub const REWRITE_INTERVAL: Millis = Millis::from_secs(60);
/// Wait after the first failed write.
pub const MIN_BACKOFF: Millis = Millis::from_secs(1);
/// Maximum wait between writes during an outage.
pub const MAX_BACKOFF: Millis = Millis::from_secs(30);
/// Maximum number of intervals in a checkpoint; each takes at most 44 bytes, so 440 KB in total.
pub const MAX_INTERVALS: usize = 10_000;
/// Maximum size of the rows in a checkpoint, in bytes; about 1,800 rows with names of 16 bytes.
pub const MAX_ROWS_BYTES: usize = 500_000;
/// Number of closed requests that wait for room in the checkpoint at which the gateway refuses new requests.
pub const MAX_WAITING_REQUESTS: usize = 10_000;

// An interval takes 44 bytes: two numbers of 20 digits, brackets and commas. The other fields take 1,000.
const _: () = assert!(MAX_INTERVALS * 44 + MAX_ROWS_BYTES + 1_000 < MAX_VALUE_BYTES);

/// The cumulative state of a gateway's ledger, as stored in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The gateway's incarnation.
    pub gateway: Incarnation,
    /// Number of this write, starting at 1; a repeated write gets a new number.
    pub number: u64,
    /// Number of the highest request that was opened.
    pub opened: u64,
    /// Closed requests that `totals` contains.
    pub closed: Intervals,
    /// Exact totals of the closed requests.
    pub totals: Totals,
}

/// Content of the last checkpoint that the service confirmed; gateways report it to agents.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flushed {
    /// Number of the highest request that was opened.
    pub opened: u64,
    /// Closed requests.
    pub closed: Intervals,
}

/// What is known of the gateway's stored checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredCheckpoint {
    /// No checkpoint has been written.
    Absent,
    /// The last write has this store revision.
    At(u64),
    /// The answer to a write was lost, or a write conflicted.
    Unknown,
}

/// Result of the write of a checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlushResult {
    /// The write was applied at this store revision.
    Applied(u64),
    /// Another write of this gateway was applied in between.
    Conflict,
    /// The write was not applied.
    NotApplied,
    /// The write may have been applied, or may still be.
    Lost,
}

/// Reason why a request cannot be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseError {
    /// The request was never opened in this ledger.
    NotOpened(RequestId),
    /// The request is already closed; only the first close counts.
    AlreadyClosed(RequestId),
    /// The charge belongs to another request.
    OtherRequest(RequestId),
}

impl fmt::Display for CloseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotOpened(id) => write!(f, "request {id} was never opened"),
            Self::AlreadyClosed(id) => write!(f, "request {id} is already closed"),
            Self::OtherRequest(id) => write!(f, "the charge does not belong to request {id}"),
        }
    }
}

impl std::error::Error for CloseError {}

/// The ledger of one gateway incarnation.
///
/// A checkpoint holds at most [`MAX_INTERVALS`] intervals and [`MAX_ROWS_BYTES`] of rows. A closed request
/// that would exceed one of these limits waits outside the checkpoint; its agent keeps the copy and writes it
/// as an orphan after [`MAX_COPY_AGE`](super::MAX_COPY_AGE). When [`MAX_WAITING_REQUESTS`] requests wait,
/// [`GatewayLedger::has_room`] returns false and the gateway refuses new requests.
#[derive(Debug)]
pub struct GatewayLedger {
    gateway: Incarnation,
    opened: u64,
    closed: Intervals,
    totals: Totals,
    /// Closed requests that do not fit into the checkpoint, sorted by number.
    waiting: Vec<(u64, Closed)>,
    flushed: Flushed,
    stored: StoredCheckpoint,
    last_number: u64,
    in_flight: Option<Checkpoint>,
    failures: u32,
    next_flush_at: Millis,
    /// When the checkpoint is written again although it has not changed; `None` before the first one.
    rewrite_at: Option<Millis>,
}

impl GatewayLedger {
    /// Creates the ledger of a new incarnation.
    #[must_use]
    pub fn new(gateway: Incarnation) -> Self {
        Self {
            gateway,
            opened: 0,
            closed: Intervals::default(),
            totals: Totals::default(),
            waiting: Vec::new(),
            flushed: Flushed::default(),
            stored: StoredCheckpoint::Absent,
            last_number: 0,
            in_flight: None,
            failures: 0,
            next_flush_at: Millis(0),
            rewrite_at: None,
        }
    }

    /// Returns whether a new request may be opened.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.waiting.len() < MAX_WAITING_REQUESTS
    }

    /// Opens the next request.
    pub const fn open_request(&mut self) -> RequestId {
        self.opened += 1;
        RequestId {
            gateway: self.gateway,
            seq: self.opened,
        }
    }

    /// Closes a request, with its charge or without one.
    ///
    /// A request whose charge is unknown, because its agent died after the run, is not closed. It remains
    /// open and the bill lists it as unknown, unless an agent or an idempotency record has the charge.
    ///
    /// # Errors
    /// Returns [`CloseError`] if the request is not open or the charge belongs to another request.
    pub fn close(&mut self, request: RequestId, charge: Option<Charge>) -> Result<(), CloseError> {
        let seq = request.seq;
        if request.gateway != self.gateway || seq == 0 || seq > self.opened {
            return Err(CloseError::NotOpened(request));
        }
        if charge.as_ref().is_some_and(|c| c.request != request) {
            return Err(CloseError::OtherRequest(request));
        }
        let position = self.waiting.binary_search_by_key(&seq, |(seq, _)| *seq);
        let (Err(at), false) = (position, self.closed.contains(seq)) else {
            return Err(CloseError::AlreadyClosed(request));
        };
        let closed = charge.map_or(Closed::Free, Closed::Charged);
        if self.fits(seq, &closed) {
            self.include(seq, &closed);
            self.include_waiting();
        } else {
            self.waiting.insert(at, (seq, closed));
        }
        Ok(())
    }

    /// Returns the checkpoint to write now, if one is due and none is in flight.
    ///
    /// Every checkpoint includes the content of all earlier ones, so a write whose answer was lost is repeated
    /// with at least the same content. The caller writes the checkpoint with [`write_checkpoint`] and reports
    /// the result to [`GatewayLedger::on_flushed`].
    pub fn flush(&mut self, now: Millis) -> Option<Checkpoint> {
        let changed = self.closed != self.flushed.closed || self.opened != self.flushed.opened;
        let is_rewrite_due = self.rewrite_at.is_some_and(|at| now >= at);
        if self.in_flight.is_some() || !(changed || is_rewrite_due) || now < self.next_flush_at {
            return None;
        }
        self.last_number += 1;
        let checkpoint = Checkpoint {
            gateway: self.gateway,
            number: self.last_number,
            opened: self.opened,
            closed: self.closed.clone(),
            totals: self.totals.clone(),
        };
        self.in_flight = Some(checkpoint.clone());
        Some(checkpoint)
    }

    /// Handles the result of the write of a checkpoint; ignored unless checkpoint `number` is in flight.
    pub fn on_flushed(&mut self, number: u64, result: FlushResult, now: Millis) {
        let Some(sent) = self.in_flight.take_if(|sent| sent.number == number) else {
            return;
        };
        match result {
            FlushResult::Applied(revision) => {
                self.flushed = Flushed {
                    opened: sent.opened,
                    closed: sent.closed,
                };
                self.stored = StoredCheckpoint::At(revision);
                self.failures = 0;
                self.next_flush_at = now + FLUSH_INTERVAL;
                self.rewrite_at = Some(now + REWRITE_INTERVAL);
                return;
            }
            FlushResult::Conflict | FlushResult::Lost => self.stored = StoredCheckpoint::Unknown,
            FlushResult::NotApplied => {}
        }
        self.failures = self.failures.saturating_add(1);
        self.next_flush_at = now + backoff(self.failures);
    }

    /// Makes the next flush due at once, for a planned stop.
    pub const fn expedite(&mut self) {
        self.next_flush_at = Millis(0);
    }

    /// Returns what is known about the stored checkpoint.
    #[must_use]
    pub const fn stored(&self) -> StoredCheckpoint {
        self.stored
    }

    /// Returns whether all closed requests are in a checkpoint that the service confirmed.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        self.closed == self.flushed.closed && self.waiting.is_empty()
    }

    /// Returns the largest N such that the last confirmed checkpoint contains all requests from 1 to N.
    #[must_use]
    pub fn flushed_prefix(&self) -> u64 {
        self.flushed.closed.prefix()
    }

    /// Returns the content of the last checkpoint that the service confirmed.
    #[must_use]
    pub const fn flushed(&self) -> &Flushed {
        &self.flushed
    }

    /// Returns the requests that are currently open.
    #[must_use]
    pub fn open_requests(&self) -> Intervals {
        let mut closed = self.closed.clone();
        for (seq, _) in &self.waiting {
            closed.insert(*seq);
        }
        closed.missing(self.opened)
    }

    fn fits(&self, seq: u64, closed: &Closed) -> bool {
        let rows = match closed {
            Closed::Charged(charge) => self.totals.bytes_with(charge),
            Closed::Free => self.totals.bytes(),
        };
        self.closed.len_with(seq) <= MAX_INTERVALS && rows <= MAX_ROWS_BYTES
    }

    fn include(&mut self, seq: u64, closed: &Closed) {
        self.closed.insert(seq);
        if let Closed::Charged(charge) = closed {
            self.totals.add(charge);
        }
    }

    /// Moves waiting requests into the checkpoint that fit now, because a gap between intervals was closed.
    fn include_waiting(&mut self) {
        for (seq, closed) in std::mem::take(&mut self.waiting) {
            if self.fits(seq, &closed) {
                self.include(seq, &closed);
            } else {
                self.waiting.push((seq, closed));
            }
        }
    }
}

impl Checkpoint {
    /// Returns the store key of the checkpoint.
    #[must_use]
    pub fn key(&self) -> String {
        Key::Checkpoint(self.gateway).to_string()
    }

    /// Returns the conditional write of the checkpoint, given the store revision of the previous one.
    ///
    /// Without the condition, a delayed earlier write would overwrite a newer checkpoint and remove requests
    /// from it whose copies the agents have already dropped.
    ///
    /// # Panics
    /// Never: all fields have a JSON form.
    #[must_use]
    pub fn transaction(&self, last: Option<u64>) -> (Vec<Compare>, Vec<Change>) {
        let key = self.key();
        let value = serde_json::to_vec(self).expect("a checkpoint has a JSON form");
        let condition = match last {
            None => Compare::Absent(key.clone()),
            Some(revision) => Compare::ModRevision(key.clone(), revision),
        };
        (vec![condition], vec![Change::put(key, value)])
    }
}

/// Writes a checkpoint; if the stored revision is unknown, reads it first.
pub async fn write_checkpoint(
    kv: &dyn KeyValue,
    checkpoint: &Checkpoint,
    stored: StoredCheckpoint,
) -> FlushResult {
    let last = match stored {
        StoredCheckpoint::Absent => None,
        StoredCheckpoint::At(revision) => Some(revision),
        StoredCheckpoint::Unknown => match kv.get(&checkpoint.key()).await {
            Ok(entry) => entry.map(|entry| entry.mod_revision),
            Err(_) => return FlushResult::NotApplied,
        },
    };
    let (conditions, changes) = checkpoint.transaction(last);
    match kv.txn(conditions, changes).await {
        Ok(TxnOutcome::Applied(revision)) => FlushResult::Applied(revision),
        Ok(TxnOutcome::Conflict) => FlushResult::Conflict,
        Err(KvError::AnswerLost(_)) => FlushResult::Lost,
        Err(_) => FlushResult::NotApplied,
    }
}
