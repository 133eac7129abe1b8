//! The agent's buffer of an answer.

use bytes::{Buf, Bytes, BytesMut};
use sha2::{Digest, Sha256};

use super::{AttemptId, End, EndStatus, Part, Reply};
use crate::units::Millis;

/// Default limit of the unacknowledged bytes of an answer that the agent buffers.
pub const MAX_UNACKNOWLEDGED_BYTES: usize = 256 * 1024;

/// Time for which an answer is kept after its end if it is not acknowledged.
pub const ENDED_ANSWER_RETENTION: Millis = Millis::from_secs(60);

/// Time without a read after which a run is cancelled: five read timeouts of the gateway.
pub const READER_TIMEOUT: Millis = Millis::from_secs(15);

/// What to do with a kept answer at a given time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetentionAction {
    /// Keep it and check again at this time.
    KeepUntil(Millis),
    /// The answer was acknowledged before its end, or not read for [`READER_TIMEOUT`]: cancel the run, then
    /// call [`AnswerBuffer::end`].
    Cancel,
    /// Drop it.
    Drop,
}

/// An answer that the agent keeps until the gateway has read all of it.
#[derive(Debug)]
pub struct AnswerBuffer {
    attempt_id: AttemptId,
    max_bytes: usize,
    buf: BytesMut,
    /// Offset of the first byte in `buf`.
    first: u64,
    hash: Sha256,
    end: Option<End>,
    ended_at: Millis,
    read_at: Millis,
    acknowledged: bool,
}

impl AnswerBuffer {
    /// Opens an empty answer that holds at most `max_bytes` unacknowledged bytes.
    #[must_use]
    pub fn open(attempt_id: AttemptId, max_bytes: usize, now: Millis) -> Self {
        Self {
            attempt_id,
            max_bytes,
            buf: BytesMut::new(),
            first: 0,
            hash: Sha256::new(),
            end: None,
            ended_at: now,
            read_at: now,
            acknowledged: false,
        }
    }

    /// Returns how many bytes can be appended; the producer pauses while it is zero.
    #[must_use]
    pub fn room(&self) -> usize {
        self.max_bytes - self.buf.len()
    }

    /// Returns whether a read of `max` bytes has nothing more to wait for.
    #[must_use]
    pub fn is_ready(&self, max: usize) -> bool {
        self.end.is_some() || self.room() == 0 || self.buf.len() >= max
    }

    /// Returns the number of bytes that were appended so far.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.first + self.buf.len() as u64
    }

    /// Appends as many bytes as there is room for and returns their number, which is 0 after the end.
    #[must_use = "the bytes that were not taken have to be appended again"]
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        if self.end.is_some() {
            return 0;
        }
        let taken = bytes.len().min(self.room());
        let bytes = &bytes[..taken];
        self.hash.update(bytes);
        self.buf.extend_from_slice(bytes);
        taken
    }

    /// Ends the answer; later calls have no effect.
    pub fn end(&mut self, status: EndStatus, now: Millis) {
        if self.end.is_some() {
            return;
        }
        self.ended_at = now;
        self.end = Some(End {
            status,
            length: self.length(),
            digest: self.hash.clone().finalize().into(),
        });
    }

    /// Reads up to `max` bytes at `offset` and drops the bytes before it.
    pub fn read(&mut self, offset: u64, max: usize, now: Millis) -> Reply {
        self.read_at = self.read_at.max(now);
        let part = if offset < self.first {
            Part::Gone { first: self.first }
        } else {
            self.trim(offset);
            self.part(max)
        };
        Reply {
            attempt_id: self.attempt_id,
            part,
        }
    }

    /// Records that the gateway no longer needs the answer.
    pub fn acknowledge(&mut self) {
        self.acknowledged = true;
    }

    /// Returns whether to keep the answer, to cancel its run or to drop it.
    #[must_use]
    pub fn next_action(&self, now: Millis) -> RetentionAction {
        let (deadline, action) = if self.end.is_some() {
            (
                self.ended_at + ENDED_ANSWER_RETENTION,
                RetentionAction::Drop,
            )
        } else if self.acknowledged {
            return RetentionAction::Cancel;
        } else {
            (self.read_at + READER_TIMEOUT, RetentionAction::Cancel)
        };
        if self.acknowledged || now >= deadline {
            action
        } else {
            RetentionAction::KeepUntil(deadline)
        }
    }

    fn trim(&mut self, offset: u64) {
        let buffered = self.buf.len();
        let count =
            usize::try_from(offset - self.first).map_or(buffered, |count| count.min(buffered));
        self.buf.advance(count);
        self.first += count as u64;
    }

    fn part(&self, max: usize) -> Part {
        if self.buf.is_empty() {
            return self.end.map_or(Part::Pending, Part::End);
        }
        let len = self.buf.len().min(max.max(1));
        Part::Chunk {
            offset: self.first,
            bytes: Bytes::copy_from_slice(&self.buf[..len]),
        }
    }
}
