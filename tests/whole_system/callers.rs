//! What callers send and hear.

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
    /// The gateway takes no request any more.
    NotTaken,
}

/// What the caller of one request knows.
#[derive(Debug)]
pub struct Transcript {
    pub ask: Ask,
    /// Version of the session that the caller names.
    pub pinned: Option<VersionRef>,
    pub proc: Rc<Proc>,
    pub request: Cell<Option<RequestId>>,
    pub bytes: RefCell<Vec<u8>>,
    /// Token that came with the answer and the version that it names.
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
