//! A key-value service that delays, fails and loses calls on a schedule, and logs every root.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use actix_rt::time::sleep;

use crate::kv::memory::MemoryKv;
use crate::kv::{Change, Compare, Entry, KeyValue, KvError, LeaseId, LocalFuture, TxnOutcome};
use crate::operator::{PART_PREFIX, PREVIOUS_ROOT_KEY, ROOT_KEY};
use crate::sheet::Sheet;
use crate::sheet::parts::{PartCache, Root, join};
use crate::units::Millis;

/// A root that came into force, with its sheet.
pub type LoggedRoot = (Root, Sheet);

#[derive(Debug, Clone, Default)]
pub struct FaultyKv {
    inner: MemoryKv,
    schedule: Rc<Vec<u8>>,
    position: Rc<Cell<usize>>,
    log: Rc<RefCell<Vec<LoggedRoot>>>,
}

impl FaultyKv {
    pub fn open(schedule: Vec<u8>) -> Self {
        Self {
            schedule: Rc::new(schedule),
            ..Self::default()
        }
    }

    /// Returns the store itself, which neither delays nor fails.
    pub fn store(&self) -> &MemoryKv {
        &self.inner
    }

    pub fn log(&self) -> Vec<LoggedRoot> {
        self.log.borrow().clone()
    }

    /// Delays the call by the next byte of the schedule and returns the byte.
    async fn delay(&self) -> u8 {
        let position = self.position.replace(self.position.get() + 1);
        let byte = match self.schedule.len() {
            0 => 0,
            len => self.schedule[position % len],
        };
        sleep(Millis(u64::from(byte % 8)).duration()).await;
        byte
    }

    async fn delay_read(&self) -> Result<(), KvError> {
        match self.delay().await {
            160..=170 => Err(KvError::Unreachable("scheduled".to_owned())),
            171..=180 => Err(KvError::AnswerLost("scheduled".to_owned())),
            _ => Ok(()),
        }
    }

    async fn write(
        &self,
        conditions: Vec<Compare>,
        changes: Vec<Change>,
    ) -> Result<TxnOutcome, KvError> {
        let is_part = |change: &Change| matches!(change, Change::Put { key, .. } if key.starts_with(PART_PREFIX));
        let may_change_roots = !changes.iter().all(is_part);
        let outcome = self.inner.txn(conditions, changes).await;
        if may_change_roots {
            self.log_root().await;
        }
        outcome
    }

    /// Logs a new root; fails if a part of the new or the previous root is missing.
    async fn log_root(&self) {
        let Some(root) = self.root(ROOT_KEY).await else {
            return;
        };
        let mut parts = PartCache::default();
        for entry in self.inner.list(PART_PREFIX).await.expect("the store is up") {
            parts.insert(entry.value);
        }
        let sheet = join(&root, |digest| parts.get(digest)).expect("the root's parts exist");
        if let Some(previous) = self.root(PREVIOUS_ROOT_KEY).await {
            join(&previous, |digest| parts.get(digest)).expect("the previous root's parts exist");
        }
        let mut log = self.log.borrow_mut();
        if log.last().is_none_or(|(last, _)| *last != root) {
            log.push((root, sheet));
        }
    }

    async fn root(&self, key: &str) -> Option<Root> {
        let entry = self.inner.get(key).await.expect("the store is up")?;
        Some(Root::decode(&entry.value).expect("the root is valid"))
    }
}

impl KeyValue for FaultyKv {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        Box::pin(async move {
            self.delay_read().await?;
            self.inner.get(key).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<Entry>, KvError>> {
        Box::pin(async move {
            self.delay_read().await?;
            self.inner.list(prefix).await
        })
    }

    fn txn(
        &self,
        conditions: Vec<Compare>,
        changes: Vec<Change>,
    ) -> LocalFuture<'_, Result<TxnOutcome, KvError>> {
        Box::pin(async move {
            let lost = || Err(KvError::AnswerLost("scheduled".to_owned()));
            match self.delay().await {
                160..=170 => Err(KvError::Unreachable("scheduled".to_owned())),
                171..=180 => lost(),
                181..=200 => {
                    let _ = self.write(conditions, changes).await;
                    lost()
                }
                byte @ 201..=220 => {
                    let late = self.clone();
                    actix_rt::spawn(async move {
                        sleep(Millis(u64::from(byte - 200) * 100).duration()).await;
                        let _ = late.write(conditions, changes).await;
                    });
                    lost()
                }
                _ => self.write(conditions, changes).await,
            }
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
    ) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        self.inner.watch(key, after)
    }

    fn grant(&self, ttl: Millis) -> LocalFuture<'_, Result<LeaseId, KvError>> {
        self.inner.grant(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        self.inner.keep_alive(lease)
    }

    fn revoke(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        self.inner.revoke(lease)
    }
}
