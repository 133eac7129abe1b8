//! Callers: what they sent and what they received.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fireflywind::ids::{RequestId, VersionRef};
use fireflywind::refusal::Refusal;

use super::jobs::Ask;
use super::world::Proc;

/// How a request ended for its caller.
#[derive(Debug, Clone)]
pub enum Heard {
    Whole,
    Refused(Refusal),
    CutOff,
    /// The gateway was stopping and accepted no request.
    NotTaken,
}

/// What the caller of one request sent and received.
#[derive(Debug)]
pub struct Transcript {
    pub ask: Ask,
    /// Version that the caller's session is pinned to.
    pub pinned: Option<VersionRef>,
    pub proc: Rc<Proc>,
    pub request: Cell<Option<RequestId>>,
    pub bytes: RefCell<Vec<u8>>,
    /// Session token in the answer, and the version that it pins.
    pub token: RefCell<Option<(String, VersionRef)>>,
    pub heard: RefCell<Option<Heard>>,
}

impl Transcript {
    pub fn open(ask: Ask, pinned: Option<VersionRef>, proc: &Rc<Proc>) -> Rc<Self> {
        Rc::new(Self {
            ask,
            pinned,
            proc: Rc::clone(proc),
            request: Cell::new(None),
            bytes: RefCell::default(),
            token: RefCell::default(),
            heard: RefCell::default(),
        })
    }

    pub fn end(&self, heard: Heard) {
        *self.heard.borrow_mut() = Some(heard);
    }
}
