//! Which configuration revision a process holds, offers and fetches.
//!
//! [`Replica`] is the state machine of one process. In fleet mode, [`neighbours`] gives each process its
//! place in a relay tree: two readers of each data centre watch the key-value service, and all others get
//! deltas from two parents. Without a fleet, every process watches the service.

mod peers;
mod replica;
mod root;
#[cfg(test)]
mod tests;
mod topology;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use replica::{
    ASK_RETRY, FALLBACK_AFTER, FALLBACK_MAX, READ_BACK_OFF_MAX, READ_BACK_OFF_MIN, Replica,
    STATUS_INTERVAL,
};
pub use root::{Digest, ParseDigestError, RootRef};
pub use topology::{FAN_OUT, Neighbours, READERS, neighbours};

use crate::units::Millis;

/// Text of one part of the configuration.
pub type Part = Arc<str>;

/// Most bytes of parts in one message; the receiver asks for the rest.
pub const MAX_MESSAGE_PARTS: usize = 256_000;

/// Name of a process that takes part in the exchange.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(Arc<str>);

impl PeerId {
    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for PeerId {
    fn from(name: &str) -> Self {
        Self(Arc::from(name))
    }
}

impl fmt::Display for PeerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A point in time of one process, opaque to all others.
///
/// It is the process's clock plus a random offset, so that a process does not take a stamp of its
/// predecessor for its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Stamp(pub u64);

/// The last stamp that a process received from the other side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The stamp.
    pub stamp: Stamp,
    /// Time since it arrived.
    pub held: Millis,
}

/// What a process says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Revision in force; 0 if none is.
    pub revision: u64,
    /// Time since the service last confirmed that revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub freshness: Option<Millis>,
    /// When the status was sent.
    pub sent: Stamp,
    /// Lets the receiver bound the time in transit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
    /// Whether the sender waits for a status.
    pub reply: bool,
}

/// The change of a root against an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the change is against; 0 for the empty root.
    pub base: u64,
    /// Revision of the changed root.
    pub revision: u64,
    /// Digest of the changed root.
    pub digest: Digest,
    /// Parts that are new or changed.
    pub changed: Vec<(String, Digest)>,
    /// Names of parts that are gone.
    pub removed: Vec<String>,
    /// Text of the changed parts, as far as it fits.
    pub parts: Vec<Part>,
}

/// A message between two processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Exchanged each second, and sent to all neighbours on a change.
    Status(Status),
    /// Asks for what is newer than the revision.
    Pull(u64),
    /// Answers a pull.
    Delta(Delta),
    /// Asks for parts.
    Want(Vec<Digest>),
    /// Answers with those parts that the process has.
    Parts(Vec<Part>),
}

/// What the process has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Read the root, and wait for a change of this revision if `wait` is set.
    ///
    /// The answer goes to [`Replica::on_root`] with the time at which the read was sent. A read without an
    /// answer must end in [`Replica::on_root_failed`], because no other is started before.
    ReadRoot {
        /// Revision that is held.
        after: u64,
        /// Whether to wait for a change.
        wait: bool,
    },
    /// Read parts from the service; what was read goes to [`Replica::on_parts`].
    ReadParts(Vec<Digest>),
    /// Send a message.
    Send(PeerId, Message),
    /// The root of this revision is in force from now on.
    InForce(u64),
    /// A root of a lower revision than the one in force was offered and refused.
    Refused(u64),
}

/// Whether a call of another process may run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Both sides have the same revision.
    Run,
    /// The caller has a newer revision, which must be in force here first.
    FetchFirst,
    /// The caller has an older revision and must choose anew; the call is not run.
    CallerBehind,
    /// The service has not confirmed the revision for too long; the call is not run.
    Stale,
}
