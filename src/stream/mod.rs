//! Buffering of answers at the agent and their reassembly at the gateway.
//!
//! The gateway pulls: each read carries the offset up to which the gateway has received the answer, and so
//! acknowledges all bytes before it. One read of an answer is in flight at a time; late and repeated
//! replies are recognised by request, attempt and offset.

mod answer_buffer;
mod assembly;
#[cfg(test)]
mod tests;

use bytes::Bytes;

pub use answer_buffer::{
    AnswerBuffer, ENDED_ANSWER_RETENTION, MAX_UNACKNOWLEDGED_BYTES, READER_TIMEOUT, RetentionAction,
};
pub use assembly::{Assembly, FeedResult, IncompleteReason, SwitchError};

use crate::ids::RequestId;
use crate::units::Millis;

/// Maximum time that the agent holds a read open without bytes; the empty reply serves as a heartbeat.
pub const LONG_POLL_TIMEOUT: Millis = Millis::from_secs(1);

/// Time without a reply after which the gateway reads again on a new connection.
pub const READ_TIMEOUT: Millis = Millis::from_secs(3);

/// One attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The gateway's number of the attempt.
    pub attempt: u32,
}

/// Reply to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The attempt that the reply belongs to.
    pub attempt_id: AttemptId,
    /// What the read found.
    pub part: Part,
}

/// What a read found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Bytes of the answer.
    Chunk {
        /// Offset of the first byte.
        offset: u64,
        /// The bytes; never empty.
        bytes: Bytes,
    },
    /// No byte yet.
    Pending,
    /// The answer has no more bytes.
    End(End),
    /// Bytes at the offset were acknowledged by an earlier read and are gone.
    Gone {
        /// Offset of the first byte that the agent still has.
        first: u64,
    },
}

/// The end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// How the answer ended.
    pub status: EndStatus,
    /// Length of the answer in bytes.
    pub length: u64,
    /// SHA-256 of the answer.
    pub digest: [u8; 32],
}

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndStatus {
    /// The upstream gave its complete answer.
    Complete,
    /// The upstream failed or the run was cancelled; more bytes would have followed.
    Broken,
}
