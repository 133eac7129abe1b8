//! Typed messages of the protocol.

use bytes::Bytes;

use crate::ids::{AccountId, ClassId, Incarnation, RequestId, ServiceId, VersionRef};
use crate::ledger::Charge;
use crate::refusal::Refusal;
use crate::stream::{End, EndStatus, Part};
use crate::units::Millis;

/// What a request runs on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A version of a model.
    Version(VersionRef),
    /// A plain service.
    Service(ServiceId),
}

/// Call to an agent to run one attempt of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRequest {
    /// The request.
    pub request: RequestId,
    /// Step of the cascade, from 0.
    pub step: u16,
    /// Attempt within the step, from 0.
    pub attempt: u16,
    /// Account that the request is billed to.
    pub account: AccountId,
    /// Class of the request.
    pub class: ClassId,
    /// What the request runs on.
    pub target: Target,
    /// Whether a session pins the version.
    pub pinned: bool,
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request may wait for a slot; otherwise it is refused as busy if none is free.
    pub wait: bool,
    /// Time left until the caller's deadline.
    pub deadline: Millis,
    /// Revision of the sheet that the gateway's decision is based on.
    pub revision: u64,
}

impl RunRequest {
    /// Returns the attempt's number among all attempts of the request, over all steps.
    #[must_use]
    pub const fn attempt_number(&self) -> u32 {
        (self.step as u32) << 16 | self.attempt as u32
    }
}

/// An agent's reply to [`RunRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunReply {
    /// The attempt was accepted; its answer has this number at the agent.
    Accepted(u64),
    /// The attempt was refused.
    Refused(Refusal),
    /// The agent has an older sheet, of this revision; nothing ran.
    Older(u64),
    /// The agent has a newer sheet, of this revision; nothing ran.
    Newer(u64),
    /// No slot is free and the request may not wait; nothing ran. The number of requests that run or wait.
    Busy(u32),
}

/// Status and content type of an answer; `status` is 0 until the upstream has answered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
}

/// The failure of an attempt, which has no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The refusal to send to the caller.
    pub refusal: Refusal,
    /// Whether the upstream crashed during the attempt.
    pub crashed: bool,
    /// Bytes of the answer before the failure.
    pub offset: u64,
}

/// A read of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRequest {
    /// Number of the answer at the agent.
    pub answer: u64,
    /// Offset of the first byte.
    pub offset: u64,
    /// Largest number of bytes to return.
    pub max: u32,
    /// How long the agent may wait for more bytes after the first, so that one reply carries several tokens.
    pub linger: Millis,
}

/// What a read of an answer returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadBody {
    /// No byte arrived during the poll.
    Pending,
    /// Bytes at an offset.
    Chunk {
        /// Offset of the first byte.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The answer is complete.
    End {
        /// Length of the answer in bytes.
        length: u64,
        /// SHA-256 of the answer.
        digest: [u8; 32],
        /// The charge as JSON; empty if nothing is charged.
        charge: Bytes,
        /// Whether the answer is the stored one of an earlier request with the same key.
        replayed: bool,
    },
    /// The attempt failed.
    Failed(Failure),
    /// The agent does not have the answer.
    Gone,
}

impl ReadBody {
    /// Returns the charge of a complete answer, and whether the answer is the stored one of an earlier request.
    #[must_use]
    pub fn charge_and_replayed(&self) -> (Option<Charge>, bool) {
        match self {
            Self::End {
                charge, replayed, ..
            } => (serde_json::from_slice(charge).ok(), *replayed),
            _ => (None, false),
        }
    }

    /// Returns the part of the answer that was read; `None` if the agent does not have it or the attempt failed.
    #[must_use]
    pub fn into_part(self) -> Option<Part> {
        Some(match self {
            Self::Pending => Part::Pending,
            Self::Chunk { offset, bytes } => Part::Chunk { offset, bytes },
            Self::End { length, digest, .. } => Part::End(End {
                status: EndStatus::Complete,
                length,
                digest,
            }),
            Self::Failed(_) | Self::Gone => return None,
        })
    }
}

/// An agent's reply to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadReply {
    /// Status and content type, once known.
    pub head: Head,
    /// The attempt's number among all attempts of the request; see [`RunRequest::attempt_number`].
    pub attempt: u32,
    /// Requests that run or wait at the agent.
    pub running: u32,
    /// The bytes or the end.
    pub body: ReadBody,
}

/// State that both ends exchange every second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Name of the process.
    pub name: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Revision of its sheet; 0 without one.
    pub revision: u64,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Requests that run or wait.
    pub running: u32,
    /// Ledger ids that the gateway has flushed, as JSON.
    pub flushed: Bytes,
    /// Crash reports, as JSON.
    pub suspects: Bytes,
}
