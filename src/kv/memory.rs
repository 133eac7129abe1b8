//! An in-memory key-value service with fault injection, which uses the runtime's clock.

use std::cell::RefCell;
use std::rc::Rc;

use actix_rt::time::{Instant, sleep, timeout};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{Change, Compare, Entry, KeyValue, KvError, LeaseId, LocalFuture, TxnOutcome};
use crate::units::Millis;

/// Maximum time that a watch waits before it returns the unchanged entry.
pub const MAX_WATCH_WAIT: Millis = Millis::from_secs(10);

/// Maximum number of recorded removals; beyond it all are discarded, and a watch of such a key waits for
/// [`MAX_WATCH_WAIT`].
const MAX_REMOVED_KEYS: usize = 10_000;

/// How the service answers calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Calls are answered normally.
    #[default]
    None,
    /// Calls fail and have no effect.
    Out,
    /// Writes take effect and their answers are lost; reads fail.
    LoseAnswers,
    /// The answer of the next write is lost after it took effect.
    LoseNextWrite,
    /// Reads and watches return the keys as they were when the fault was set; writes work.
    StaleReads,
}

#[derive(Debug)]
struct Lease {
    id: LeaseId,
    ttl: Millis,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    entries: Vec<(Entry, Option<LeaseId>)>,
    leases: Vec<Lease>,
    last_lease_id: u64,
    fault: Fault,
    delay: Millis,
    /// Entries that reads return under [`Fault::StaleReads`].
    snapshot: Vec<(Entry, Option<LeaseId>)>,
    /// Removed keys with the revision of their removal, sorted by key.
    removed: Vec<(String, u64)>,
    calls: u64,
}

/// What a store had at one moment, without its leases.
#[derive(Debug, Clone)]
pub struct Copy {
    revision: u64,
    entries: Vec<(Entry, Option<LeaseId>)>,
    last_lease_id: u64,
}

/// An in-memory key-value service; clones share the store.
#[derive(Debug, Clone, Default)]
pub struct MemoryKv {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
}

impl MemoryKv {
    /// Creates an empty store.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Sets the fault that applies to all following calls.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.state.borrow_mut();
        state.fault = fault;
        let entries = state.entries.clone();
        state.snapshot = entries;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns a copy of the present content.
    #[must_use]
    pub fn copy(&self) -> Copy {
        let state = self.state.borrow();
        Copy {
            revision: state.revision,
            entries: state.entries.clone(),
            last_lease_id: state.last_lease_id,
        }
    }

    /// Goes on from a copy: later changes and all leases are gone, and revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.borrow_mut();
        state.revision = copy.revision;
        state.entries = copy.entries;
        state.entries.retain(|(_, lease)| lease.is_none());
        state.last_lease_id = copy.last_lease_id;
        state.leases.clear();
        state.removed.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Delays the answers of calls, but not their effects, by this time; watches are not delayed.
    pub fn set_delay(&self, delay: Millis) {
        self.state.borrow_mut().delay = delay;
    }

    async fn delay_answer(&self) {
        let delay = self.state.borrow().delay;
        if delay > Millis(0) {
            sleep(delay.duration()).await;
        }
    }

    /// Returns the number of calls so far; a watch counts as one call.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    /// Returns the store's revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// Returns whether a lease has not ended.
    #[must_use]
    pub fn is_lease_active(&self, lease: LeaseId) -> bool {
        let mut state = self.state.borrow_mut();
        state.expire_leases();
        state.leases.iter().any(|l| l.id == lease)
    }

    /// Returns the revision of a key's removal if it is newer than `after`.
    #[must_use]
    pub fn removal_revision_after(&self, key: &str, after: u64) -> Option<u64> {
        let state = self.state.borrow();
        let revision = state.last_change(key);
        (state.visible_entry(key).is_none() && revision > after).then_some(revision)
    }

    fn begin_read(&self) -> Result<(), KvError> {
        let mut state = self.state.borrow_mut();
        state.calls += 1;
        state.expire_leases();
        match state.fault {
            Fault::Out => Err(KvError::Unreachable("outage".to_owned())),
            Fault::LoseAnswers => Err(KvError::AnswerLost("outage".to_owned())),
            Fault::None | Fault::LoseNextWrite | Fault::StaleReads => Ok(()),
        }
    }

    fn write<T>(
        &self,
        effect: impl FnOnce(&mut State) -> Result<T, KvError>,
    ) -> Result<T, KvError> {
        let mut state = self.state.borrow_mut();
        state.calls += 1;
        state.expire_leases();
        if state.fault == Fault::Out {
            return Err(KvError::Unreachable("outage".to_owned()));
        }
        let outcome = effect(&mut state)?;
        self.changed.notify_waiters();
        match state.fault {
            Fault::LoseAnswers => Err(KvError::AnswerLost("outage".to_owned())),
            Fault::LoseNextWrite => {
                state.fault = Fault::None;
                Err(KvError::AnswerLost("answer dropped".to_owned()))
            }
            Fault::None | Fault::Out | Fault::StaleReads => Ok(outcome),
        }
    }
}

impl State {
    fn position(&self, key: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|(entry, _)| entry.key.as_str().cmp(key))
    }

    fn get(&self, key: &str) -> Option<Entry> {
        let at = self.position(key).ok()?;
        self.entries.get(at).map(|(entry, _)| entry.clone())
    }

    /// Returns the entries with a prefix that are visible to reads.
    fn visible_entries<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> {
        let entries = match self.fault {
            Fault::StaleReads => &self.snapshot,
            _ => &self.entries,
        };
        let from = entries.partition_point(|(entry, _)| entry.key.as_str() < prefix);
        entries[from..]
            .iter()
            .map(|(entry, _)| entry)
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// Returns the entry of a key that is visible to reads.
    fn visible_entry(&self, key: &str) -> Option<Entry> {
        self.visible_entries(key)
            .find(|entry| entry.key == key)
            .cloned()
    }

    /// Returns the revision of a key's last change or removal that is visible to watches; 0 if there is none.
    fn last_change(&self, key: &str) -> u64 {
        let removed = self.removed.binary_search_by(|(k, _)| k.as_str().cmp(key));
        match (self.visible_entry(key), removed) {
            (Some(entry), _) => entry.mod_revision,
            (None, Ok(at)) if self.fault != Fault::StaleReads => self.removed[at].1,
            (None, _) => 0,
        }
    }

    /// Returns a key's entry, whether it changed after a revision, and when the next lease expires.
    fn watch_state(&self, key: &str, after: u64) -> (Option<Entry>, bool, Option<Instant>) {
        let lease_end = self.leases.iter().map(|lease| lease.expires_at).min();
        (
            self.visible_entry(key),
            self.last_change(key) > after,
            lease_end,
        )
    }

    fn record_removal(&mut self, key: String) {
        if self.removed.len() >= MAX_REMOVED_KEYS {
            self.removed.clear();
        }
        let revision = self.revision;
        match self.removed.binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(at) => self.removed[at].1 = revision,
            Err(at) => self.removed.insert(at, (key, revision)),
        }
    }

    fn is_satisfied(&self, condition: &Compare) -> bool {
        match condition {
            Compare::Absent(key) => self.position(key).is_err(),
            // A key that does not exist compares as revision 0, as in etcd.
            Compare::ModRevision(key, revision) => {
                self.get(key).map_or(0, |entry| entry.mod_revision) == *revision
            }
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Delete(key) => {
                if let Ok(at) = self.position(&key) {
                    self.entries.remove(at);
                    self.record_removal(key);
                }
            }
            Change::Put { key, value, lease } => match self.position(&key) {
                Ok(at) => {
                    let (entry, bound_lease) = &mut self.entries[at];
                    entry.value = value;
                    entry.mod_revision = self.revision;
                    *bound_lease = lease;
                }
                Err(at) => {
                    let revision = self.revision;
                    let entry = Entry {
                        key,
                        value,
                        mod_revision: revision,
                        create_revision: revision,
                    };
                    self.entries.insert(at, (entry, lease));
                }
            },
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<_> = self
            .leases
            .iter()
            .filter(|l| l.expires_at <= now)
            .map(|l| l.id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.retain(|l| l.id != lease);
        let is_bound = |(_, by): &mut (Entry, Option<LeaseId>)| *by == Some(lease);
        let ended: Vec<_> = self.entries.extract_if(.., is_bound).collect();
        if !ended.is_empty() {
            self.revision += 1;
        }
        for (entry, _) in ended {
            self.record_removal(entry.key);
        }
    }

    /// Returns whether the changes of a transaction would change the store.
    fn is_effective(&self, changes: &[Change]) -> bool {
        changes.iter().any(|change| match change {
            Change::Put { .. } => true,
            Change::Delete(key) => self.position(key).is_ok(),
        })
    }

    /// Rejects changes that etcd rejects before it evaluates the conditions.
    fn check_changes(changes: &[Change]) -> Result<(), KvError> {
        let mut keys = Vec::new();
        for change in changes {
            match change {
                Change::Put { key, value, .. } => {
                    if value.len() > super::MAX_VALUE_BYTES {
                        return Err(KvError::Refused("value is over 1 MB".to_owned()));
                    }
                    keys.push(key);
                }
                Change::Delete(key) => keys.push(key),
            }
        }
        keys.sort_unstable();
        if keys.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(KvError::Refused("a key is changed twice".to_owned()));
        }
        Ok(())
    }
}

impl KeyValue for MemoryKv {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        Box::pin(async move {
            self.begin_read()?;
            let entry = self.state.borrow().visible_entry(key);
            self.delay_answer().await;
            Ok(entry)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<Entry>, KvError>> {
        Box::pin(async move {
            self.begin_read()?;
            let entries = self
                .state
                .borrow()
                .visible_entries(prefix)
                .cloned()
                .collect();
            self.delay_answer().await;
            Ok(entries)
        })
    }

    fn txn(
        &self,
        conditions: Vec<Compare>,
        changes: Vec<Change>,
    ) -> LocalFuture<'_, Result<TxnOutcome, KvError>> {
        Box::pin(async move {
            let outcome = self.write(|state| {
                State::check_changes(&changes)?;
                if !conditions
                    .iter()
                    .all(|condition| state.is_satisfied(condition))
                {
                    return Ok(TxnOutcome::Conflict);
                }
                let is_lease_missing = changes.iter().any(|change| match change {
                    Change::Put {
                        lease: Some(id), ..
                    } => !state.leases.iter().any(|l| l.id == *id),
                    _ => false,
                });
                if is_lease_missing {
                    return Err(KvError::LeaseGone);
                }
                if state.is_effective(&changes) {
                    state.revision += 1;
                }
                for change in changes {
                    state.apply(change);
                }
                Ok(TxnOutcome::Applied(state.revision))
            });
            self.delay_answer().await;
            outcome
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
    ) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        Box::pin(async move {
            let deadline = Instant::now() + MAX_WATCH_WAIT.duration();
            self.state.borrow_mut().calls += 1;
            loop {
                let notified = self.changed.notified();
                self.begin_read()?;
                self.state.borrow_mut().calls -= 1;
                let (entry, has_changed, lease_end) = self.state.borrow().watch_state(key, after);
                let now = Instant::now();
                if has_changed || now >= deadline {
                    return Ok(entry);
                }
                // The expiry of a lease removes keys without a call that would notify this watch.
                let wake = lease_end.map_or(deadline, |end| end.min(deadline));
                // The result is not needed: the loop checks for changes and for the deadline.
                let _ = timeout(wake.saturating_duration_since(now), notified).await;
            }
        })
    }

    fn grant(&self, ttl: Millis) -> LocalFuture<'_, Result<LeaseId, KvError>> {
        Box::pin(async move {
            let outcome = self.write(|state| {
                state.last_lease_id += 1;
                let id = LeaseId(state.last_lease_id);
                state.leases.push(Lease {
                    id,
                    ttl,
                    expires_at: Instant::now() + ttl.duration(),
                });
                Ok(id)
            });
            self.delay_answer().await;
            outcome
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            let outcome = self.write(|state| {
                let lease = state
                    .leases
                    .iter_mut()
                    .find(|l| l.id == lease)
                    .ok_or(KvError::LeaseGone)?;
                lease.expires_at = Instant::now() + lease.ttl.duration();
                Ok(())
            });
            self.delay_answer().await;
            outcome
        })
    }

    fn revoke(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            let outcome = self.write(|state| {
                state.end_lease(lease);
                Ok(())
            });
            self.delay_answer().await;
            outcome
        })
    }
}
