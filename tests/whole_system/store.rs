//! A process's client of the simulated key-value service, with faults.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;

use actix_rt::time::sleep;
use fireflywind::kv::memory::MemoryKv;
use fireflywind::kv::{
    Change, Compare, Entry, KeyValue, KvError, LeaseId, LocalFuture, TxnOutcome,
};
use fireflywind::operator::ROOT_KEY;
use fireflywind::units::Millis;

use super::world::Proc;

/// Fault of a write.
#[derive(Debug, Clone, Copy)]
pub enum Fate {
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write has no effect; its caller gets the same error as if the answer was lost.
    Lost,
    /// The answer is lost, and the write takes effect after this time.
    Late(Millis),
}

/// Faults of the service.
#[derive(Debug, Default)]
pub struct StoreFaults {
    pub out: Cell<bool>,
    /// Faults of the next writes, in order.
    pub fates: RefCell<VecDeque<Fate>>,
}

impl StoreFaults {
    pub fn end(&self) {
        self.out.set(false);
        self.fates.borrow_mut().clear();
    }
}

/// A process's client of the service.
pub struct Kv {
    proc: Rc<Proc>,
}

impl fmt::Debug for Kv {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Kv")
    }
}

impl Kv {
    pub fn open(proc: &Rc<Proc>) -> Rc<Self> {
        let proc = Rc::clone(proc);
        Rc::new(Self { proc })
    }

    fn inner(&self) -> &MemoryKv {
        &self.proc.env.kv
    }

    fn reachable(&self) -> Result<(), KvError> {
        let env = &self.proc.env;
        if env.store_faults.out.get() || env.faults.cut.borrow()[self.proc.dc] {
            return Err(KvError::Unreachable("no route to the service".to_owned()));
        }
        Ok(())
    }

    /// Transmits a call to the service.
    async fn pass(&self) -> Result<(), KvError> {
        sleep(self.proc.env.latency().duration()).await;
        self.reachable()
    }

    /// Transmits an answer back to the process.
    async fn back<T>(&self, result: Result<T, KvError>) -> Result<T, KvError> {
        sleep(self.proc.env.latency().duration()).await;
        self.proc.thaw().await;
        result
    }

    async fn write(
        &self,
        conditions: Vec<Compare>,
        changes: Vec<Change>,
    ) -> Result<TxnOutcome, KvError> {
        self.pass().await?;
        let lost = || Err(KvError::AnswerLost("answer dropped".to_owned()));
        let env = Rc::clone(&self.proc.env);
        let changes_root = changes
            .iter()
            .any(|c| matches!(c, Change::Put { key, .. } if key == ROOT_KEY));
        let apply = async move {
            let outcome = env.kv.txn(conditions, changes).await;
            if changes_root && matches!(outcome, Ok(TxnOutcome::Applied(_))) {
                let entry = env.kv.get(ROOT_KEY).await.ok().flatten();
                env.oracle.root_written(entry.as_ref(), env.now());
            }
            outcome
        };
        let fate = self.proc.env.store_faults.fates.borrow_mut().pop_front();
        match fate {
            None => apply.await,
            Some(Fate::Lost) => lost(),
            Some(Fate::AnswerLost) => {
                // Only the answer is lost.
                let _ = apply.await;
                lost()
            }
            Some(Fate::Late(after)) => {
                tokio::task::spawn_local(async move {
                    sleep(after.duration()).await;
                    let _ = apply.await;
                });
                lost()
            }
        }
    }
}

impl KeyValue for Kv {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        Box::pin(async move {
            self.pass().await?;
            let read = self.inner().get(key).await;
            self.back(read).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<Entry>, KvError>> {
        Box::pin(async move {
            self.pass().await?;
            let read = self.inner().list(prefix).await;
            self.back(read).await
        })
    }

    fn txn(
        &self,
        conditions: Vec<Compare>,
        changes: Vec<Change>,
    ) -> LocalFuture<'_, Result<TxnOutcome, KvError>> {
        Box::pin(async move {
            let written = self.write(conditions, changes).await;
            self.back(written).await
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
    ) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        Box::pin(async move {
            self.pass().await?;
            let watch = self.inner().watch(key, after);
            tokio::pin!(watch);
            loop {
                let changed = self.proc.env.changed.notified();
                self.reachable()?;
                tokio::select! {
                    biased;
                    read = &mut watch => return self.back(read).await,
                    () = changed => {}
                }
            }
        })
    }

    fn grant(&self, ttl: Millis) -> LocalFuture<'_, Result<LeaseId, KvError>> {
        Box::pin(async move {
            self.pass().await?;
            let granted = self.inner().grant(ttl).await;
            self.back(granted).await
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            self.pass().await?;
            let renewed = self.inner().keep_alive(lease).await;
            self.back(renewed).await
        })
    }

    fn revoke(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            self.pass().await?;
            let revoked = self.inner().revoke(lease).await;
            self.back(revoked).await
        })
    }
}
