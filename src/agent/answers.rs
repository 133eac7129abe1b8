//! Answers that the agent keeps until gateways have read them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use actix_rt::time::timeout;
use bytes::Bytes;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::ledger::Charge;
use crate::peer::{Failure, Head, ReadBody, ReadReply, ReadRequest, RunRequest};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::stream::{AnswerBuffer, AttemptId, EndStatus, LONG_POLL_TIMEOUT, Part, RetentionAction};
use crate::units::Millis;

/// Maximum time that a read collects bytes; below the gap of 75 ms between tokens that callers are guaranteed.
const MAX_LINGER: Millis = Millis(50);

/// An answer that a run produces and a gateway reads.
#[derive(Debug)]
pub struct Answer {
    clock: Clock,
    buffer: RefCell<AnswerBuffer>,
    attempt: u32,
    head: RefCell<Head>,
    failure: RefCell<Option<Failure>>,
    charge: RefCell<Bytes>,
    replayed: Cell<bool>,
    changed: Notify,
    /// Set when the run has to end early.
    cancelled: Cell<bool>,
    cancel: Notify,
}

impl Answer {
    /// Opens the answer of an attempt; it buffers at most `max_bytes` for the gateway.
    #[must_use]
    pub fn open(req: &RunRequest, clock: Clock, max_bytes: usize) -> Rc<Self> {
        let attempt = req.attempt_number();
        let attempt_id = AttemptId {
            request: req.request,
            attempt,
        };
        let buffer = AnswerBuffer::open(attempt_id, max_bytes, clock.now());
        Rc::new(Self {
            clock,
            buffer: RefCell::new(buffer),
            attempt,
            head: RefCell::default(),
            failure: RefCell::default(),
            charge: RefCell::default(),
            replayed: Cell::new(false),
            changed: Notify::new(),
            cancelled: Cell::new(false),
            cancel: Notify::new(),
        })
    }

    /// Sets the status and the content type.
    pub fn set_head(&self, status: u16, content_type: &str) {
        *self.head.borrow_mut() = Head {
            status,
            content_type: content_type.to_owned(),
        };
    }

    /// Appends bytes; waits while the buffer is full.
    pub async fn append(&self, mut bytes: Bytes) {
        while !bytes.is_empty() && !self.cancelled.get() {
            let taken = self.buffer.borrow_mut().append(&bytes);
            if taken == 0 {
                self.changed.notified().await;
                continue;
            }
            bytes = bytes.split_off(taken);
            self.changed.notify_waiters();
        }
    }

    /// Appends a whole body at once; `false` if it does not fit into the buffer.
    #[must_use]
    pub fn append_whole(&self, body: &[u8]) -> bool {
        self.buffer.borrow_mut().append(body) == body.len()
    }

    /// Ends the answer as complete.
    pub fn complete(&self, charge: Option<&Charge>, replayed: bool) {
        if let Some(charge) = charge {
            // A charge can always be serialised.
            let json = serde_json::to_vec(charge).unwrap_or_default();
            *self.charge.borrow_mut() = json.into();
        }
        self.replayed.set(replayed);
        self.buffer
            .borrow_mut()
            .end(EndStatus::Complete, self.clock.now());
        self.changed.notify_waiters();
    }

    /// Ends the answer as failed.
    pub fn fail(&self, refusal: Refusal, crashed: bool) {
        let offset = self.buffer.borrow().length();
        *self.failure.borrow_mut() = Some(Failure {
            refusal,
            crashed,
            offset,
        });
        self.buffer
            .borrow_mut()
            .end(EndStatus::Broken, self.clock.now());
        self.changed.notify_waiters();
    }

    /// Requests that the run end early.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.cancel.notify_waiters();
        self.changed.notify_waiters();
    }

    /// Waits until the run has to end early.
    pub async fn cancelled(&self) {
        while !self.cancelled.get() {
            self.cancel.notified().await;
        }
    }

    /// Reads from an offset; waits up to [`LONG_POLL_TIMEOUT`] for bytes. The caller adds the agent's load.
    pub async fn read(&self, req: ReadRequest) -> ReadReply {
        let offset = req.offset;
        let max = usize::try_from(req.max).unwrap_or(usize::MAX);
        let wait = async {
            loop {
                let changed = self.changed.notified();
                let body = self.read_now(offset, max);
                if body != ReadBody::Pending {
                    return body;
                }
                changed.await;
            }
        };
        let mut body = timeout(LONG_POLL_TIMEOUT.duration(), wait)
            .await
            .unwrap_or(ReadBody::Pending);
        // The first bytes of an answer are returned at once.
        if matches!(body, ReadBody::Chunk { .. }) && offset > 0 && req.linger.0 > 0 {
            self.linger(req.linger.min(MAX_LINGER), max).await;
            body = self.read_now(offset, max);
        }
        // A read frees space in the buffer for the producer.
        self.changed.notify_waiters();
        ReadReply {
            head: self.head.borrow().clone(),
            attempt: self.attempt,
            running: 0,
            body,
        }
    }

    /// Waits up to `limit` for further bytes, until there are `max` or the answer ends.
    async fn linger(&self, limit: Millis, max: usize) {
        let collect = async {
            loop {
                let changed = self.changed.notified();
                if self.cancelled.get() || self.buffer.borrow().is_ready(max) {
                    return;
                }
                changed.await;
            }
        };
        // The bytes so far are returned either way.
        let _ = timeout(limit.duration(), collect).await;
    }

    fn read_now(&self, offset: u64, max: usize) -> ReadBody {
        let reply = self.buffer.borrow_mut().read(offset, max, self.clock.now());
        match reply.part {
            Part::Pending => ReadBody::Pending,
            Part::Chunk { offset, bytes } => ReadBody::Chunk { offset, bytes },
            Part::Gone { .. } => ReadBody::Gone,
            Part::End(end) if end.status == EndStatus::Complete => ReadBody::End {
                length: end.length,
                digest: end.digest,
                charge: self.charge.borrow().clone(),
                replayed: self.replayed.get(),
            },
            Part::End(_) => ReadBody::Failed(self.failure()),
        }
    }

    fn failure(&self) -> Failure {
        let cancelled = || {
            let refusal = Refusal::after_run(
                Code::UpstreamFailed,
                RunStatus::Unknown,
                "run was cancelled",
            );
            Failure {
                refusal,
                crashed: false,
                offset: self.buffer.borrow().length(),
            }
        };
        self.failure.borrow().clone().unwrap_or_else(cancelled)
    }
}

#[derive(Debug)]
struct Entry {
    number: u64,
    answer: Rc<Answer>,
    /// The task of the run; `None` if it must not be cancelled.
    run: Option<JoinHandle<()>>,
}

/// The answers of one agent, sorted by number.
#[derive(Debug, Default)]
pub struct Answers {
    entries: Vec<Entry>,
    last_number: u64,
}

impl Answers {
    /// Returns the number of answers that are kept.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no answer is kept.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an answer and returns its number.
    pub fn add(&mut self, answer: Rc<Answer>, run: Option<JoinHandle<()>>) -> u64 {
        self.last_number += 1;
        self.entries.push(Entry {
            number: self.last_number,
            answer,
            run,
        });
        self.last_number
    }

    /// Finds an answer.
    #[must_use]
    pub fn get(&self, number: u64) -> Option<Rc<Answer>> {
        let at = self
            .entries
            .binary_search_by_key(&number, |e| e.number)
            .ok()?;
        self.entries.get(at).map(|e| Rc::clone(&e.answer))
    }

    /// Records that the gateway has read an answer to the end or no longer needs it.
    ///
    /// The answer is dropped once it has ended.
    pub fn acknowledge(&mut self, number: u64, now: Millis) {
        if let Some(answer) = self.get(number) {
            answer.buffer.borrow_mut().acknowledge();
        }
        self.sweep(now);
    }

    /// Cancels runs whose answers are not read and drops answers whose retention time has passed.
    pub fn sweep(&mut self, now: Millis) {
        self.entries.retain(|entry| {
            let action = entry.answer.buffer.borrow().next_action(now);
            match action {
                RetentionAction::Drop => false,
                RetentionAction::Cancel if entry.run.is_some() => {
                    entry.answer.cancel();
                    // The run ends the answer, and the next sweep drops it.
                    true
                }
                RetentionAction::KeepUntil(_) | RetentionAction::Cancel => true,
            }
        });
    }
}
