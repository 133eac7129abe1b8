//! Callers: what they sent and what they received.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fireflywind::ids::{RequestId, VersionRef};
use fireflywind::refusal::Refusal;

use super::jobs::CallerRequest;
use super::world::Proc;

/// How a request ended for its caller.
#[derive(Debug, Clone)]
pub enum CallerOutcome {
    Whole,
    Refused(Refusal),
    Truncated,
    /// The gateway was stopping and accepted no request.
    NotAccepted,
}

/// What the caller of one request sent and received.
#[derive(Debug)]
pub struct Transcript {
    pub caller_request: CallerRequest,
    /// Version that the caller's session is pinned to.
    pub pinned: Option<VersionRef>,
    pub proc: Rc<Proc>,
    pub request: Cell<Option<RequestId>>,
    pub bytes: RefCell<Vec<u8>>,
    /// Session token in the answer, and the version that it pins.
    pub token: RefCell<Option<(String, VersionRef)>>,
    pub outcome: RefCell<Option<CallerOutcome>>,
}

impl Transcript {
    pub fn open(
        caller_request: CallerRequest,
        pinned: Option<VersionRef>,
        proc: &Rc<Proc>,
    ) -> Rc<Self> {
        Rc::new(Self {
            caller_request,
            pinned,
            proc: Rc::clone(proc),
            request: Cell::new(None),
            bytes: RefCell::default(),
            token: RefCell::default(),
            outcome: RefCell::default(),
        })
    }

    pub fn end(&self, outcome: CallerOutcome) {
        *self.outcome.borrow_mut() = Some(outcome);
    }
}
