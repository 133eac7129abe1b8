//! An in-memory key-value service with injectable faults, on the runtime's clock.

use std::cell::RefCell;
use std::rc::Rc;

use actix_rt::time::{Instant, timeout};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{Change, Compare, Entry, KeyValue, KvError, LeaseId, LocalFuture, TxnOutcome};
use crate::units::Millis;

/// Longest time that a watch waits before it returns the unchanged entry.
pub const WATCH_WAIT: Millis = Millis::from_secs(10);

/// How the service answers calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Calls are answered.
    #[default]
    None,
    /// Calls fail and have no effect.
    Out,
    /// Writes take effect and their answers are lost; reads fail.
    LoseAnswers,
    /// The answer of the next write is lost after it took effect.
    LoseNextWrite,
}

#[derive(Debug)]
struct Lease {
    id: LeaseId,
    ttl: Millis,
    ends: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    entries: Vec<(Entry, Option<LeaseId>)>,
    leases: Vec<Lease>,
    next_lease: u64,
    fault: Fault,
    calls: u64,
}

/// An in-memory key-value service; clones share the store.
#[derive(Debug, Clone, Default)]
pub struct MemoryKv {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
}

impl MemoryKv {
    /// Opens an empty store.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Sets how calls are answered from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state.borrow_mut().fault = fault;
        self.changed.notify_waiters();
    }

    /// Returns the number of calls so far; a watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    /// Returns the store's revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// Tells whether a lease has not ended.
    #[must_use]
    pub fn holds_lease(&self, lease: LeaseId) -> bool {
        let mut state = self.state.borrow_mut();
        state.expire_leases();
        state.leases.iter().any(|l| l.id == lease)
    }

    fn begin_read(&self) -> Result<(), KvError> {
        let mut state = self.state.borrow_mut();
        state.calls += 1;
        state.expire_leases();
        match state.fault {
            Fault::Out => Err(KvError::Unreachable("outage".to_owned())),
            Fault::LoseAnswers => Err(KvError::AnswerLost("outage".to_owned())),
            Fault::None | Fault::LoseNextWrite => Ok(()),
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
            Fault::None | Fault::Out => Ok(outcome),
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

    fn holds(&self, condition: &Compare) -> bool {
        match condition {
            Compare::Absent(key) => self.position(key).is_err(),
            Compare::ModRevision(key, revision) => self
                .get(key)
                .is_some_and(|entry| entry.mod_revision == *revision),
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Delete(key) => {
                if let Ok(at) = self.position(&key) {
                    self.entries.remove(at);
                }
            }
            Change::Put { key, value, lease } => match self.position(&key) {
                Ok(at) => {
                    let (entry, held_by) = &mut self.entries[at];
                    entry.value = value;
                    entry.mod_revision = self.revision;
                    *held_by = lease;
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
            .filter(|l| l.ends <= now)
            .map(|l| l.id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.retain(|l| l.id != lease);
        let before = self.entries.len();
        self.entries.retain(|(_, held_by)| *held_by != Some(lease));
        if self.entries.len() != before {
            self.revision += 1;
        }
    }
}

impl KeyValue for MemoryKv {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        Box::pin(async move {
            self.begin_read()?;
            Ok(self.state.borrow().get(key))
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<Entry>, KvError>> {
        Box::pin(async move {
            self.begin_read()?;
            let state = self.state.borrow();
            let from = state
                .entries
                .partition_point(|(entry, _)| entry.key.as_str() < prefix);
            Ok(state.entries[from..]
                .iter()
                .map(|(entry, _)| entry)
                .take_while(|entry| entry.key.starts_with(prefix))
                .cloned()
                .collect())
        })
    }

    fn txn(
        &self,
        conditions: Vec<Compare>,
        changes: Vec<Change>,
    ) -> LocalFuture<'_, Result<TxnOutcome, KvError>> {
        Box::pin(async move {
            self.write(|state| {
                let too_large = changes.iter().any(|change| match change {
                    Change::Put { value, .. } => value.len() > super::MAX_VALUE_BYTES,
                    Change::Delete(_) => false,
                });
                if too_large {
                    return Err(KvError::Refused("value is over 1 MB".to_owned()));
                }
                if !conditions.iter().all(|condition| state.holds(condition)) {
                    return Ok(TxnOutcome::Conflict);
                }
                let lease_gone = changes.iter().any(|change| match change {
                    Change::Put {
                        lease: Some(id), ..
                    } => !state.leases.iter().any(|l| l.id == *id),
                    _ => false,
                });
                if lease_gone {
                    return Err(KvError::LeaseGone);
                }
                state.revision += 1;
                for change in changes {
                    state.apply(change);
                }
                Ok(TxnOutcome::Applied(state.revision))
            })
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
    ) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        Box::pin(async move {
            let deadline = Instant::now() + WATCH_WAIT.duration();
            self.state.borrow_mut().calls += 1;
            loop {
                let notified = self.changed.notified();
                self.begin_read()?;
                self.state.borrow_mut().calls -= 1;
                let entry = self.state.borrow().get(key);
                let newer = entry
                    .as_ref()
                    .is_some_and(|entry| entry.mod_revision > after);
                let left = deadline.saturating_duration_since(Instant::now());
                if newer || left.is_zero() {
                    return Ok(entry);
                }
                // The loop checks the deadline itself.
                let _ = timeout(left, notified).await;
            }
        })
    }

    fn grant(&self, ttl: Millis) -> LocalFuture<'_, Result<LeaseId, KvError>> {
        Box::pin(async move {
            self.write(|state| {
                state.next_lease += 1;
                let id = LeaseId(state.next_lease);
                state.leases.push(Lease {
                    id,
                    ttl,
                    ends: Instant::now() + ttl.duration(),
                });
                Ok(id)
            })
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            self.write(|state| {
                let lease = state
                    .leases
                    .iter_mut()
                    .find(|l| l.id == lease)
                    .ok_or(KvError::LeaseGone)?;
                lease.ends = Instant::now() + lease.ttl.duration();
                Ok(())
            })
        })
    }

    fn revoke(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            self.write(|state| {
                state.end_lease(lease);
                Ok(())
            })
        })
    }
}
