//! Attempts of one request: what may have run, what may be sent again, what is guaranteed to the client.

use super::table::RequestKind;

/// Sends to upstreams that provably did not run the request which one request may cost on top of its
/// attempts; each is a round trip.
const MAX_REFUSED_SENDS: u32 = 4;

/// How one attempt ended without an answer for the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream said that it did not run the request.
    Refused,
    /// The upstream may have run it; nothing usable came back.
    Lost,
    /// The upstream ran it and failed.
    Failed,
    /// The answer was dropped for a larger model.
    Dropped,
}

/// What can be said to the client at the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExecutionGuarantee {
    /// No upstream has run the request or ever will.
    NotRun,
    /// Nothing is guaranteed.
    Unknown,
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    kind: RequestKind,
    allowed: u32,
    /// Attempts that may have run.
    ran: u32,
    refused: u32,
}

impl Attempts {
    /// Starts without an attempt; `allowed` upstreams may run the request.
    #[must_use]
    pub const fn new(kind: RequestKind, allowed: u32) -> Self {
        Self {
            kind,
            allowed,
            ran: 0,
            refused: 0,
        }
    }

    /// Records how an attempt ended.
    pub const fn record(&mut self, ended: AttemptFailure) {
        match ended {
            AttemptFailure::NotSent | AttemptFailure::Refused => self.refused += 1,
            AttemptFailure::Lost | AttemptFailure::Failed | AttemptFailure::Dropped => {
                self.ran += 1;
            }
        }
    }

    /// Tells whether another upstream may get the request.
    #[must_use]
    pub const fn can_send(&self) -> bool {
        let may_repeat = self.ran == 0 || self.kind.is_repeatable();
        may_repeat && self.ran < self.allowed && self.refused <= MAX_REFUSED_SENDS
    }

    /// Tells whether a larger model may be asked while an attempt is under way.
    #[must_use]
    pub const fn can_escalate(&self) -> bool {
        self.kind.is_repeatable() && self.ran + 1 < self.allowed
    }

    /// Returns what can be guaranteed if the request is given up now.
    #[must_use]
    pub const fn execution_guarantee(&self) -> ExecutionGuarantee {
        if self.ran == 0 {
            ExecutionGuarantee::NotRun
        } else {
            ExecutionGuarantee::Unknown
        }
    }
}
