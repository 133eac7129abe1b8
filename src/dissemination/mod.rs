//! Dissemination of configuration revisions from the key-value service to all processes.
//!
//! [`Replica`] is the state machine of one process. In fleet mode, [`neighbours`] returns the position of each
//! process in a relay tree: two readers per data centre watch the key-value service, and all other processes
//! get deltas from two parents. Without a fleet, every process watches the service.

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
    FALLBACK_BACK_OFF_MAX, FALLBACK_READ_AGE, READ_BACK_OFF_MAX, READ_BACK_OFF_MIN,
    REQUEST_RETRY_INTERVAL, Replica, STATUS_INTERVAL,
};
pub use root::{Digest, ParseDigestError, RootRef};
pub use topology::{FAN_OUT, Neighbours, READERS_PER_DATA_CENTRE, neighbours};

use crate::units::Millis;

/// Content of one part of the configuration.
pub type Part = Arc<str>;

/// Maximum size of the parts in one message, in bytes; the receiver requests the rest.
pub const MAX_MESSAGE_PARTS_BYTES: usize = 256_000;

/// Name of a process that takes part in the dissemination.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(Arc<str>);

impl PeerId {
    /// Returns the name as a string.
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
/// It is the process's clock plus a random offset, so that a process does not mistake a stamp of its
/// predecessor for its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Stamp(pub u64);

/// The last stamp that a process received from the other side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The stamp.
    pub stamp: Stamp,
    /// Time since the stamp arrived.
    pub held: Millis,
}

/// Status message of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Revision in force; 0 if none is.
    pub revision: u64,
    /// Time since the service last confirmed that revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub freshness: Option<Millis>,
    /// Sender's stamp of the time of sending.
    pub sent: Stamp,
    /// Echo of the receiver's last stamp, from which it bounds the transit time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
    /// Whether the sender requests a status in reply.
    pub reply: bool,
}

/// The difference between a root and an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision that the difference is based on; 0 for the empty root.
    pub base: u64,
    /// Revision of the changed root.
    pub revision: u64,
    /// Digest of the changed root.
    pub digest: Digest,
    /// Parts that are new or changed.
    pub changed: Vec<(String, Digest)>,
    /// Names of removed parts.
    pub removed: Vec<String>,
    /// Content of the changed parts, up to [`MAX_MESSAGE_PARTS_BYTES`].
    pub parts: Vec<Part>,
}

/// A message between two processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Exchanged with each parent every second, and sent to all neighbours on a change.
    Status(Status),
    /// Requests a newer root than the one of this revision.
    Pull(u64),
    /// Answers a pull.
    Delta(Delta),
    /// Requests parts.
    Want(Vec<Digest>),
    /// Answers a [`Self::Want`] with the requested parts that the process holds.
    Parts(Vec<Part>),
}

/// An action for the process to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Read the root from the service; if `wait` is set, wait until its revision is newer than `after`.
    ///
    /// Pass the answer to [`Replica::on_root`] with the time at which the read was sent. A read without an
    /// answer must end in [`Replica::on_root_failed`], because no other read starts before.
    ReadRoot {
        /// Newest revision that is held or being fetched.
        after: u64,
        /// Whether to wait for a change.
        wait: bool,
    },
    /// Read parts from the service and pass those found to [`Replica::on_parts`].
    ReadParts(Vec<Digest>),
    /// Send a message to a peer.
    Send(PeerId, Message),
    /// The root of this revision is in force from now on.
    InForce(u64),
    /// The service returned a root of a lower revision than the one in force, which was refused.
    Refused(u64),
}

/// Decision whether a call from another process may run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Run the call: both sides have the same revision.
    Run,
    /// Fetch the caller's newer revision first; it must be in force before the call runs.
    FetchFirst,
    /// Do not run the call: the caller has an older revision and must decide again under the newer one.
    CallerOutdated,
    /// Do not run the call: the service last confirmed the revision too long ago.
    Stale,
}
