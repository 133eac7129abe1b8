//! Attempts of one request: whether it may have run, whether it may be sent again, and what is guaranteed to the
//! client.

use super::table::RequestKind;

/// Sends that one request may use in addition to its allowed runs, if the upstreams provably did not run it. They
/// are bounded because each costs a round trip.
const MAX_REFUSED_SENDS: u32 = 4;

/// Why an attempt ended without delivering an answer to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream refused the request and states that it did not run it.
    Refused,
    /// The upstream may have run the request, but no usable answer arrived.
    Lost,
    /// The upstream ran the request and answered with an error.
    Failed,
    /// The answer was discarded in order to escalate to a larger model.
    Dropped,
}

/// What can be guaranteed to the client if the request ends without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExecutionGuarantee {
    /// No upstream has run the request or will run it.
    NotRun,
    /// Nothing is guaranteed.
    Unknown,
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    kind: RequestKind,
    max_runs: u32,
    /// Attempts that may have run.
    possible_runs: u32,
    refused_sends: u32,
}

impl Attempts {
    /// Starts without attempts; at most `max_runs` upstreams may run the request.
    #[must_use]
    pub const fn new(kind: RequestKind, max_runs: u32) -> Self {
        Self {
            kind,
            max_runs,
            possible_runs: 0,
            refused_sends: 0,
        }
    }

    /// Records how an attempt ended.
    pub const fn record(&mut self, failure: AttemptFailure) {
        match failure {
            AttemptFailure::NotSent | AttemptFailure::Refused => self.refused_sends += 1,
            AttemptFailure::Lost | AttemptFailure::Failed | AttemptFailure::Dropped => {
                self.possible_runs += 1;
            }
        }
    }

    /// Returns whether the request may be sent to another upstream.
    #[must_use]
    pub const fn can_send(&self) -> bool {
        let may_repeat = self.possible_runs == 0 || self.kind.is_repeatable();
        may_repeat && self.possible_runs < self.max_runs && self.refused_sends <= MAX_REFUSED_SENDS
    }

    /// Returns whether the request may escalate to a larger model or be rerouted while an attempt is in progress.
    #[must_use]
    pub const fn can_escalate(&self) -> bool {
        self.kind.is_repeatable() && self.possible_runs + 1 < self.max_runs
    }

    /// Returns what can be guaranteed to the client if the request is abandoned now.
    #[must_use]
    pub const fn execution_guarantee(&self) -> ExecutionGuarantee {
        if self.possible_runs == 0 {
            ExecutionGuarantee::NotRun
        } else {
            ExecutionGuarantee::Unknown
        }
    }
}
