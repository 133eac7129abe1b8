//! The gateway's reassembly of an answer.

use std::fmt;

use bytes::{Buf, Bytes};
use sha2::{Digest, Sha256};

use super::{AttemptId, End, EndStatus, Part, Reply};

/// Result of a reply that was fed to an [`Assembly`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedResult {
    /// The next bytes of the answer; pass them to the caller and continue reading.
    Bytes(Bytes),
    /// No bytes yet; continue reading.
    Waiting,
    /// Bytes are missing; read again from this offset.
    ReadAgain(u64),
    /// The reply is late, repeated or of another attempt, and was ignored.
    Dropped,
    /// The caller has the complete answer.
    Whole,
    /// The answer cannot be completed; report this to the caller.
    Incomplete(IncompleteReason),
}

/// Why an answer cannot be completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncompleteReason {
    /// The upstream failed or the run was cancelled.
    UpstreamFailed,
    /// The agent no longer has bytes that the gateway needs.
    BytesGone,
    /// The declared length is below the number of bytes that were received.
    LengthMismatch,
    /// The SHA-256 of the received bytes is not the declared one.
    DigestMismatch,
    /// The agent is gone or does not have the answer.
    AgentLost,
    /// The request's deadline passed.
    Deadline,
}

impl fmt::Display for IncompleteReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UpstreamFailed => "upstream failed before the end of its answer",
            Self::BytesGone => "agent no longer has the rest of the answer",
            Self::LengthMismatch => "answer is longer than its declared length",
            Self::DigestMismatch => "answer does not match its SHA-256",
            Self::AgentLost => "agent of the answer is lost",
            Self::Deadline => "deadline of the request passed",
        })
    }
}

/// Error of a switch to another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchError {
    /// The caller already has bytes of the current attempt.
    BytesDelivered(u64),
    /// The answer has ended.
    Ended,
    /// The attempt is not newer than the current one.
    NotNewer(u32),
}

impl fmt::Display for SwitchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BytesDelivered(bytes) => {
                write!(f, "caller already has {bytes} bytes of the current attempt")
            }
            Self::Ended => f.write_str("answer has already ended"),
            Self::NotNewer(attempt) => {
                write!(f, "attempt {attempt} is not newer than the current one")
            }
        }
    }
}

impl std::error::Error for SwitchError {}

/// An answer that the gateway reassembles for its caller.
#[derive(Debug)]
pub struct Assembly {
    attempt_id: AttemptId,
    /// Number of bytes that were passed to the caller.
    delivered: u64,
    hash: Sha256,
    ended: bool,
}

impl Assembly {
    /// Opens the assembly of an attempt's answer.
    #[must_use]
    pub fn open(attempt_id: AttemptId) -> Self {
        Self {
            attempt_id,
            delivered: 0,
            hash: Sha256::new(),
            ended: false,
        }
    }

    /// Returns the current attempt.
    #[must_use]
    pub const fn attempt_id(&self) -> AttemptId {
        self.attempt_id
    }

    /// Returns the offset of the next read.
    #[must_use]
    pub const fn offset(&self) -> u64 {
        self.delivered
    }

    /// Processes a reply.
    pub fn feed(&mut self, reply: Reply) -> FeedResult {
        if self.ended || reply.attempt_id != self.attempt_id {
            return FeedResult::Dropped;
        }
        match reply.part {
            Part::Pending => FeedResult::Waiting,
            Part::Chunk { offset, bytes } => self.on_chunk(offset, bytes),
            Part::End(end) => self.on_end(end),
            Part::Gone { first } if first > self.delivered => {
                self.abort(IncompleteReason::BytesGone)
            }
            Part::Gone { .. } => FeedResult::Dropped,
        }
    }

    /// Switches to a newer attempt, which is allowed until the caller has received a byte.
    ///
    /// # Errors
    /// [`SwitchError`] if the switch is not allowed.
    pub fn switch(&mut self, attempt: u32) -> Result<(), SwitchError> {
        if self.ended {
            return Err(SwitchError::Ended);
        }
        if self.delivered > 0 {
            return Err(SwitchError::BytesDelivered(self.delivered));
        }
        if attempt <= self.attempt_id.attempt {
            return Err(SwitchError::NotNewer(attempt));
        }
        self.attempt_id.attempt = attempt;
        Ok(())
    }

    /// Ends the answer as incomplete; later replies are dropped.
    pub fn abort(&mut self, reason: IncompleteReason) -> FeedResult {
        if self.ended {
            return FeedResult::Dropped;
        }
        self.ended = true;
        FeedResult::Incomplete(reason)
    }

    fn on_chunk(&mut self, offset: u64, mut bytes: Bytes) -> FeedResult {
        if offset > self.delivered {
            return FeedResult::ReadAgain(self.delivered);
        }
        let overlap = usize::try_from(self.delivered - offset).unwrap_or(usize::MAX);
        if overlap >= bytes.len() {
            return FeedResult::Dropped;
        }
        bytes.advance(overlap);
        self.hash.update(&bytes);
        self.delivered += bytes.len() as u64;
        FeedResult::Bytes(bytes)
    }

    fn on_end(&mut self, end: End) -> FeedResult {
        if end.length > self.delivered {
            return FeedResult::ReadAgain(self.delivered);
        }
        if end.length < self.delivered {
            return self.abort(IncompleteReason::LengthMismatch);
        }
        if end.status == EndStatus::Broken {
            return self.abort(IncompleteReason::UpstreamFailed);
        }
        let digest: [u8; 32] = self.hash.clone().finalize().into();
        if digest != end.digest {
            return self.abort(IncompleteReason::DigestMismatch);
        }
        self.ended = true;
        FeedResult::Whole
    }
}
