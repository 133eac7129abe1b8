//! Slots of the upstream: which requests run, which wait and which are refused.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::limits::{Admission, AdmissionQueue, AdmissionRequest, Shed};
use crate::refusal::{Code, Refusal};
use crate::sheet::Priority;
use crate::units::Millis;

/// Divisor of the moving average of run times: the latest run has a weight of 1/8.
const SMOOTHING_DIVISOR: u64 = 8;

/// The slots of one upstream.
#[derive(Debug)]
pub(super) struct Slots {
    clock: Clock,
    queue: RefCell<AdmissionQueue>,
    waiting: RefCell<Vec<(u64, oneshot::Sender<()>)>>,
    last_id: Cell<u64>,
    /// Time that a run is expected to hold its slot.
    expected_run_time: Cell<Millis>,
}

/// A request for a slot that was granted or queued.
#[derive(Debug)]
pub(super) enum SlotRequest {
    /// The request has a slot and can run.
    Granted(Slot),
    /// The request waits in the queue.
    Queued(QueuedRequest),
}

impl SlotRequest {
    /// Waits for the slot; `None` if the deadline would be missed.
    pub async fn wait(self) -> Option<Slot> {
        match self {
            Self::Granted(slot) => Some(slot),
            Self::Queued(queued) => queued.wait().await,
        }
    }
}

impl Slots {
    pub fn new(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            queue: RefCell::new(AdmissionQueue::new(0)),
            waiting: RefCell::default(),
            last_id: Cell::new(0),
            expected_run_time: Cell::new(Millis(0)),
        })
    }

    /// Requests one of `count` slots.
    ///
    /// # Errors
    /// The [`Refusal`] of a request that would wait for too long.
    pub fn request_slot(
        self: &Rc<Self>,
        count: u32,
        priority: Priority,
        deadline: Millis,
    ) -> Result<SlotRequest, Refusal> {
        let now = self.clock.now();
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let mut queue = self.queue.borrow_mut();
        queue.set_slots(count);
        let deadline = now + deadline;
        let request = AdmissionRequest {
            id,
            priority,
            deadline,
            expected_run_time: self.expected_run_time.get(),
        };
        match queue.submit(request, now) {
            Admission::Run => Ok(SlotRequest::Granted(Slot {
                slots: Rc::clone(self),
                acquired_at: now,
            })),
            Admission::Queued(_) => {
                let (tx, rx) = oneshot::channel();
                self.waiting.borrow_mut().push((id, tx));
                Ok(SlotRequest::Queued(QueuedRequest {
                    slots: Rc::clone(self),
                    id,
                    rx,
                }))
            }
            Admission::Shed(shed) => Err(match shed.reason {
                Shed::DeadlineTooShort => {
                    let why = "the deadline is shorter than a run is expected to take";
                    Refusal::not_run(Code::DeadlineExceeded, why)
                }
                Shed::QueueDelay | Shed::QueueFull => {
                    let refusal = Refusal::not_run(Code::Overloaded, "upstream is at capacity");
                    refusal.retry_after(shed.retry_after.max(Millis::from_secs(1)))
                }
            }),
        }
    }

    /// Hands a free slot to the next waiting request.
    fn release(&self) {
        loop {
            let mut expired = Vec::new();
            let next = self
                .queue
                .borrow_mut()
                .release(self.clock.now(), &mut expired);
            for request in expired {
                // Dropping the sender notifies the request that its deadline would be missed.
                drop(self.take(request.id));
            }
            let Some(next) = next else {
                return;
            };
            if self.take(next.id).is_some_and(|tx| tx.send(()).is_ok()) {
                return;
            }
        }
    }

    fn take(&self, id: u64) -> Option<oneshot::Sender<()>> {
        let mut waiting = self.waiting.borrow_mut();
        let at = waiting.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(waiting.remove(at).1)
    }
}

/// A slot; dropping it hands it to the next waiting request.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Rc<Slots>,
    acquired_at: Millis,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let run_time = self.slots.clock.now().since(self.acquired_at);
        let previous = self.slots.expected_run_time.get();
        let smoothed = (previous.0 * (SMOOTHING_DIVISOR - 1) + run_time.0) / SMOOTHING_DIVISOR;
        self.slots.expected_run_time.set(Millis(smoothed));
        self.slots.release();
    }
}

/// A position in the queue; dropping it leaves the queue.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    slots: Rc<Slots>,
    id: u64,
    rx: oneshot::Receiver<()>,
}

impl QueuedRequest {
    async fn wait(mut self) -> Option<Slot> {
        (&mut self.rx).await.ok()?;
        Some(Slot {
            slots: Rc::clone(&self.slots),
            acquired_at: self.slots.clock.now(),
        })
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.slots.queue.borrow_mut().cancel(self.id);
        drop(self.slots.take(self.id));
        // A slot may have been handed to this request just before it was dropped.
        if self.rx.try_recv().is_ok() {
            self.slots.release();
        }
    }
}

/// Returns the refusal of a request that waited and would miss its deadline.
pub(super) fn no_slot() -> Refusal {
    let why = "no slot became free in time";
    Refusal::not_run(Code::DeadlineExceeded, why)
}
