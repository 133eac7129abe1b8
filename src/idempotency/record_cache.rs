//! An agent's in-memory cache of records.

use std::collections::VecDeque;

use super::{Attempt, IdempotencyKey, Record, RecordState};
use crate::ids::AccountId;

/// Default limit of the cache, in bytes.
pub const RECORD_CACHE_BYTES: usize = 16 * 1024 * 1024;

#[derive(Debug)]
struct CacheEntry {
    key: IdempotencyKey,
    account: AccountId,
    record: Record,
    /// Whether the outcome still has to be written to the key-value service.
    is_unsaved: bool,
}

/// Records that an agent wrote or read, limited in bytes; evicts the oldest keys first.
///
/// Unsaved outcomes are never evicted. No run starts while the key-value service is unreachable, so their
/// number is bounded by the calls that were in flight when the outage began.
#[derive(Debug)]
pub struct RecordCache {
    /// Sorted by key, and therefore by the time of the key.
    entries: VecDeque<CacheEntry>,
    bytes: usize,
    max_bytes: usize,
}

impl RecordCache {
    /// Creates an empty cache of at most `max_bytes`.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Returns the approximate size of the cached records in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the cached record of a key.
    #[must_use]
    pub fn get(&self, account: &AccountId, key: IdempotencyKey) -> Option<&Record> {
        let at = self.position(account, key).ok()?;
        self.entries.get(at).map(|entry| &entry.record)
    }

    /// Inserts or replaces a record; an outcome is final and is never replaced.
    pub(super) fn put(
        &mut self,
        account: &AccountId,
        key: IdempotencyKey,
        record: Record,
        is_unsaved: bool,
    ) {
        let entry = CacheEntry {
            key,
            account: account.clone(),
            record,
            is_unsaved,
        };
        match self.position(account, key) {
            Ok(at) if matches!(self.entries[at].record.state, RecordState::Done(_)) => return,
            Ok(at) => {
                self.bytes -= self.entries[at].record.memory_bytes();
                self.bytes += entry.record.memory_bytes();
                self.entries[at] = entry;
            }
            Err(at) => {
                self.bytes += entry.record.memory_bytes();
                self.entries.insert(at, entry);
            }
        }
        self.evict();
    }

    /// Marks the outcome of an attempt as saved, or as expired and not to be saved, so that it can be evicted.
    pub(super) fn mark_saved(&mut self, account: &AccountId, key: IdempotencyKey, by: &Attempt) {
        if let Some(at) = self.position_by(account, key, by) {
            self.entries[at].is_unsaved = false;
            self.evict();
        }
    }

    /// Removes the record that an attempt wrote.
    pub(super) fn remove(&mut self, account: &AccountId, key: IdempotencyKey, by: &Attempt) {
        if let Some(at) = self.position_by(account, key, by) {
            self.remove_at(at);
        }
    }

    fn position(&self, account: &AccountId, key: IdempotencyKey) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (entry.key, &entry.account).cmp(&(key, account)))
    }

    fn position_by(&self, account: &AccountId, key: IdempotencyKey, by: &Attempt) -> Option<usize> {
        let at = self.position(account, key).ok()?;
        (self.entries[at].record.by == *by).then_some(at)
    }

    fn remove_at(&mut self, at: usize) {
        if let Some(entry) = self.entries.remove(at) {
            self.bytes -= entry.record.memory_bytes();
        }
    }

    fn evict(&mut self) {
        while self.bytes > self.max_bytes {
            let Some(at) = self.entries.iter().position(|entry| !entry.is_unsaved) else {
                return;
            };
            self.remove_at(at);
        }
    }
}
