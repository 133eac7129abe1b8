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
pub enum WriteFault {
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
    pub is_out: Cell<bool>,
    /// Faults of the next writes, in order.
    pub write_faults: RefCell<VecDeque<WriteFault>>,
}

impl StoreFaults {
    pub fn clear(&self) {
        self.is_out.set(false);
        self.write_faults.borrow_mut().clear();
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

    fn check_reachable(&self) -> Result<(), KvError> {
        let env = &self.proc.env;
        if env.store_faults.is_out.get() || env.faults.partitioned.borrow()[self.proc.data_centre] {
            return Err(KvError::Unreachable("no route to the service".to_owned()));
        }
        Ok(())
    }

    /// Transmits a call to the service.
    async fn send_call(&self) -> Result<(), KvError> {
        sleep(self.proc.env.latency().duration()).await;
        self.check_reachable()
    }

    /// Transmits an answer back to the process.
    async fn return_answer<T>(&self, result: Result<T, KvError>) -> Result<T, KvError> {
        sleep(self.proc.env.latency().duration()).await;
        self.proc.wait_while_suspended().await;
        result
    }

    async fn write(
        &self,
        conditions: Vec<Compare>,
        changes: Vec<Change>,
    ) -> Result<TxnOutcome, KvError> {
        self.send_call().await?;
        let lost = || Err(KvError::AnswerLost("answer dropped".to_owned()));
        let env = Rc::clone(&self.proc.env);
        let changes_root = changes
            .iter()
            .any(|c| matches!(c, Change::Put { key, .. } if key == ROOT_KEY));
        let apply = async move {
            let outcome = env.kv.txn(conditions, changes).await;
            if changes_root && matches!(outcome, Ok(TxnOutcome::Applied(_))) {
                let entry = env.kv.get(ROOT_KEY).await.ok().flatten();
                env.oracle.check_root(entry.as_ref(), env.now());
            }
            outcome
        };
        let fault = self
            .proc
            .env
            .store_faults
            .write_faults
            .borrow_mut()
            .pop_front();
        match fault {
            None => apply.await,
            Some(WriteFault::Lost) => lost(),
            Some(WriteFault::AnswerLost) => {
                // Only the answer is lost.
                let _ = apply.await;
                lost()
            }
            Some(WriteFault::Late(after)) => {
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
            self.send_call().await?;
            let read = self.inner().get(key).await;
            self.return_answer(read).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<Entry>, KvError>> {
        Box::pin(async move {
            self.send_call().await?;
            let read = self.inner().list(prefix).await;
            self.return_answer(read).await
        })
    }

    fn txn(
        &self,
        conditions: Vec<Compare>,
        changes: Vec<Change>,
    ) -> LocalFuture<'_, Result<TxnOutcome, KvError>> {
        Box::pin(async move {
            let written = self.write(conditions, changes).await;
            self.return_answer(written).await
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
    ) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        Box::pin(async move {
            self.send_call().await?;
            let watch = self.inner().watch(key, after);
            tokio::pin!(watch);
            loop {
                let changed = self.proc.env.changed.notified();
                self.check_reachable()?;
                tokio::select! {
                    biased;
                    read = &mut watch => return self.return_answer(read).await,
                    () = changed => {}
                }
            }
        })
    }

    fn grant(&self, ttl: Millis) -> LocalFuture<'_, Result<LeaseId, KvError>> {
        Box::pin(async move {
            self.send_call().await?;
            let granted = self.inner().grant(ttl).await;
            self.return_answer(granted).await
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            self.send_call().await?;
            let renewed = self.inner().keep_alive(lease).await;
            self.return_answer(renewed).await
        })
    }

    fn revoke(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            self.send_call().await?;
            let revoked = self.inner().revoke(lease).await;
            self.return_answer(revoked).await
        })
    }
}
