//! Keeps the sheet in force up to date by performing the effects of the dissemination's state machine.
//!
//! [`Replica`] enforces the rules: never a lower revision, never a root with missing parts. This module
//! performs its reads and joins the parts into a sheet.

mod root;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::dissemination::{
    Admission, Digest, Effect, Message, Neighbours, Part, PeerId, Replica, RootRef,
};
use crate::kv::KeyValue;
use crate::operator::{PART_PREFIX, ROOT_KEY};
use crate::sheet::Sheet;
use crate::units::Millis;

/// Time between steps of the state machine.
const STEP_INTERVAL: Millis = Millis(100);

/// A sheet in force.
#[derive(Debug, Clone, PartialEq)]
pub struct InForce {
    /// Revision of the sheet.
    pub revision: u64,
    /// The sheet.
    pub sheet: Sheet,
}

/// Messages from one process to another, as sent over a link.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    from: String,
    messages: Vec<Message>,
}

/// Keeps the sheet in force up to date until it is dropped.
#[derive(Debug)]
pub struct Follower {
    inner: Rc<Inner>,
    step_task: JoinHandle<()>,
}

struct Inner {
    name: String,
    clock: Clock,
    kv: Rc<dyn KeyValue>,
    replica: RefCell<Replica>,
    in_force: RefCell<Option<Rc<InForce>>>,
    outbox: RefCell<Vec<(PeerId, Message)>>,
    /// Task of the last read of the root, which may have ended.
    read_task: RefCell<Option<JoinHandle<()>>>,
    /// Store revision of the root that was last read; 0 if there was none.
    root_mod_revision: Cell<u64>,
    changed: Notify,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.step_task.abort();
    }
}

impl Follower {
    /// Starts to follow the root in the key-value service; `random` is a random number.
    #[must_use]
    pub fn open(name: &str, kv: Rc<dyn KeyValue>, clock: Clock, random: u64) -> Self {
        let neighbours = Neighbours {
            is_reader: true,
            ..Neighbours::default()
        };
        let inner = Rc::new(Inner {
            name: name.to_owned(),
            clock,
            kv,
            replica: RefCell::new(Replica::new(neighbours, random, clock.now())),
            in_force: RefCell::default(),
            outbox: RefCell::default(),
            read_task: RefCell::default(),
            root_mod_revision: Cell::new(0),
            changed: Notify::new(),
        });
        let step_task = actix_rt::spawn(run_steps(Rc::clone(&inner)));
        Self { inner, step_task }
    }

    /// Returns the sheet in force, if there is one.
    #[must_use]
    pub fn in_force(&self) -> Option<Rc<InForce>> {
        self.inner.in_force.borrow().clone()
    }

    /// Returns the revision in force; 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.in_force().map_or(0, |held| held.revision)
    }

    /// Returns an upper bound of the time since the service last confirmed the sheet, if it is known.
    #[must_use]
    pub fn freshness(&self) -> Option<Millis> {
        let now = self.inner.clock.now();
        self.inner.replica.borrow().freshness(now)
    }

    /// Returns whether requests may be served with the sheet in force.
    #[must_use]
    pub fn may_serve(&self) -> bool {
        let Some(held) = self.in_force() else {
            return false;
        };
        let now = self.inner.clock.now();
        self.inner
            .replica
            .borrow()
            .may_serve(now, held.sheet.policy.max_staleness)
    }

    /// Decides whether a call from a process that has this revision in force may run.
    #[must_use]
    pub fn admit(&self, revision: u64) -> Admission {
        let Some(held) = self.in_force() else {
            return if revision > 0 {
                Admission::FetchFirst
            } else {
                Admission::Stale
            };
        };
        let now = self.inner.clock.now();
        self.inner
            .replica
            .borrow()
            .admit(revision, now, held.sheet.policy.max_staleness)
    }

    /// Reads the root at once and cancels a read in progress.
    pub fn refresh(&self) {
        start_read(&self.inner, false);
    }

    /// Waits for the next change of the sheet in force.
    pub async fn changed(&self) {
        self.inner.changed.notified().await;
    }

    /// Sets the processes with which status messages are exchanged.
    pub fn set_peers(&self, names: &[String]) {
        let parents = names
            .iter()
            .map(|name| PeerId::from(name.as_str()))
            .collect();
        let neighbours = Neighbours {
            parents,
            is_reader: true,
            ..Neighbours::default()
        };
        self.inner.replica.borrow_mut().set_neighbours(neighbours);
        let is_peer = |peer: &PeerId| names.iter().any(|name| name == peer.as_str());
        self.inner
            .outbox
            .borrow_mut()
            .retain(|(peer, _)| is_peer(peer));
    }

    /// Queues a status message for a peer, which then pulls a newer root from this process.
    pub fn announce_to(&self, name: &str) {
        let now = self.inner.clock.now();
        let effects = self
            .inner
            .replica
            .borrow()
            .announce_to(&PeerId::from(name), now);
        perform(&self.inner, effects);
    }

    /// Queues a pull of a newer root for a peer.
    pub fn pull_from(&self, name: &str) {
        let now = self.inner.clock.now();
        let effects = self
            .inner
            .replica
            .borrow_mut()
            .pull_from(&PeerId::from(name), now);
        perform(&self.inner, effects);
    }

    /// Removes and encodes the messages that are queued for a peer; `None` if there are none.
    #[must_use]
    pub fn take_messages(&self, name: &str) -> Option<Bytes> {
        let mut outbox = self.inner.outbox.borrow_mut();
        let of_peer = outbox.extract_if(.., |(peer, _)| peer.as_str() == name);
        let messages: Vec<_> = of_peer.map(|(_, message)| message).collect();
        if messages.is_empty() {
            return None;
        }
        let envelope = Envelope {
            from: self.inner.name.clone(),
            messages,
        };
        serde_json::to_vec(&envelope).ok().map(Bytes::from)
    }

    /// Handles encoded messages of a peer and returns the name of the sender.
    ///
    /// Replies are queued for [`Self::take_messages`]. Returns `None` if the bytes cannot be decoded.
    #[must_use]
    pub fn on_messages(&self, bytes: &[u8]) -> Option<String> {
        let envelope: Envelope = serde_json::from_slice(bytes).ok()?;
        let from = PeerId::from(envelope.from.as_str());
        for message in envelope.messages {
            let now = self.inner.clock.now();
            let effects = self
                .inner
                .replica
                .borrow_mut()
                .on_message(&from, message, now);
            perform(&self.inner, effects);
        }
        Some(envelope.from)
    }
}

async fn run_steps(inner: Rc<Inner>) {
    loop {
        let now = inner.clock.now();
        let effects = inner.replica.borrow_mut().step(now);
        perform(&inner, effects);
        sleep(STEP_INTERVAL.duration()).await;
    }
}

fn perform(inner: &Rc<Inner>, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::ReadRoot { wait, .. } => start_read(inner, wait),
            Effect::ReadParts(digests) => {
                actix_rt::spawn(read_parts(Rc::clone(inner), digests));
            }
            Effect::Send(peer, message) => {
                let mut outbox = inner.outbox.borrow_mut();
                if let Message::Status(_) = message {
                    // A queued status is replaced by the newer one.
                    outbox.retain(|(to, m)| *to != peer || !matches!(m, Message::Status(_)));
                }
                outbox.push((peer, message));
            }
            Effect::InForce(revision) => put_into_force(inner, revision),
            Effect::Refused(revision) => {
                log::warn!(event = "older_sheet_refused", revision = revision; "");
            }
        }
    }
}

fn start_read(inner: &Rc<Inner>, wait: bool) {
    let read = actix_rt::spawn(read_root(Rc::clone(inner), wait));
    let previous = inner.read_task.borrow_mut().replace(read);
    if let Some(previous) = previous {
        // Has no effect on a task that has ended.
        previous.abort();
    }
}

async fn read_root(inner: Rc<Inner>, wait: bool) {
    let sent = inner.clock.now();
    let read = if wait {
        inner
            .kv
            .watch(ROOT_KEY, inner.root_mod_revision.get())
            .await
    } else {
        inner.kv.get(ROOT_KEY).await
    };
    let now = inner.clock.now();
    let read = read.map_err(|error| error.to_string());
    let root = read.and_then(|entry| entry.as_ref().map(root::decode).transpose());
    let effects = match root {
        Ok(found) => {
            let (root, root_mod_revision) = found.map_or((None, 0), |(root, root_mod_revision)| {
                (Some(root), root_mod_revision)
            });
            inner.root_mod_revision.set(root_mod_revision);
            inner.replica.borrow_mut().on_root(root, sent, now)
        }
        Err(error) => {
            log::warn!(event = "sheet_read_failed", error = error.as_str(); "");
            inner.replica.borrow_mut().on_root_failed(now);
            Vec::new()
        }
    };
    perform(&inner, effects);
}

async fn read_parts(inner: Rc<Inner>, digests: Vec<Digest>) {
    let mut parts: Vec<Part> = Vec::new();
    for digest in digests {
        let key = format!("{PART_PREFIX}{digest}");
        let Ok(Some(entry)) = inner.kv.get(&key).await else {
            // The state machine requests the missing parts again.
            break;
        };
        if let Ok(text) = std::str::from_utf8(&entry.value) {
            parts.push(Part::from(text));
        }
    }
    let now = inner.clock.now();
    let effects = inner.replica.borrow_mut().on_parts(&parts, now);
    perform(&inner, effects);
}

fn put_into_force(inner: &Rc<Inner>, revision: u64) {
    let joined = {
        let replica = inner.replica.borrow();
        replica
            .root()
            .map(|root: &RootRef| root::join(root, |name| replica.part(name).cloned()))
    };
    let in_force = match joined {
        Some(Ok(sheet)) => {
            log::info!(event = "sheet_in_force", process = inner.name.as_str(), revision; "");
            Some(Rc::new(InForce { revision, sheet }))
        }
        Some(Err(error)) => {
            // Keeping the older sheet could serve a version that this one withdraws.
            log::error!(event = "sheet_damaged", revision, error:% = error; "");
            None
        }
        None => None,
    };
    *inner.in_force.borrow_mut() = in_force;
    inner.changed.notify_waiters();
}
