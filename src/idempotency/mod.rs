//! At-most-once execution of requests that carry an idempotency key.
//!
//! [`Call`] is the state machine of one call at one agent. The agent performs each [`Effect`], reports its
//! result to the call, and sends the caller the answer of the first [`Step`] that has one. An event that is
//! not expected in the current state is ignored.

mod key;
mod record;
mod record_cache;
#[cfg(test)]
mod tests;

use bytes::Bytes;

pub use key::{IdempotencyKey, KeyAge, KeyError, MAX_KEY_AHEAD, MAX_KEY_BYTES, RECORD_PREFIX};
pub use record::{
    Attempt, CallDigest, DigestError, MAX_STORED_BODY_BYTES, Outcome, Record, RecordState,
    StoredBody,
};
pub use record_cache::{RECORD_CACHE_BYTES, RecordCache};

use crate::ids::AccountId;
use crate::kv::{Compare, Entry, KvError, TxnOutcome};
use crate::units::Millis;

/// Maximum number of intent writes per call; the second write follows a read of the record.
pub const MAX_INTENT_WRITES: u8 = 2;

/// Maximum wait before the first retry of a failed outcome write; doubles with each further failure.
pub const INITIAL_OUTCOME_BACKOFF: Millis = Millis(200);

/// Maximum wait between two outcome writes.
pub const MAX_OUTCOME_BACKOFF: Millis = Millis::from_secs(30);

/// A call that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedCall {
    /// The client account that the key belongs to.
    pub account: AccountId,
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of the call.
    pub digest: CallDigest,
    /// This attempt.
    pub by: Attempt,
    /// How long keys are valid, from the policy in the configuration.
    pub lifetime: Millis,
}

/// A write of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// Store key of the record.
    pub key: String,
    /// The record as JSON.
    pub value: Bytes,
    /// Condition of the write.
    pub condition: Compare,
}

/// The next action of the agent for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Write the intent, then call [`Call::on_write`].
    WriteIntent(RecordWrite),
    /// Read the record, then call [`Call::on_read`].
    ReadBack(String),
    /// Run the call at the upstream, then call [`Call::on_run_end`].
    Run,
    /// Write the outcome, then call [`Call::on_outcome_write`].
    WriteOutcome(RecordWrite),
    /// Wait, then call [`Call::on_retry`].
    RetryOutcome(Millis),
}

/// The answer to a keyed call.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyedAnswer {
    /// This attempt ran the call.
    Fresh(Outcome),
    /// An earlier attempt ran the call; it is not billed again.
    Replayed(Outcome),
    /// The call may have run and will not run again (409, `unknown`).
    Unknown,
    /// The key was used for a call with another digest (422).
    KeyReused,
    /// The key is too old or too far in the future; this attempt did not run (`unknown`).
    KeyRefused(KeyAge),
    /// The key-value service is unavailable; a resend with the same key is safe (503, `unknown`).
    StoreUnavailable,
    /// Nothing ran under this key, neither in this attempt nor in an earlier one.
    NotRun,
}

/// How a run at the upstream ended.
#[derive(Debug, Clone, PartialEq)]
pub enum RunEnd {
    /// The complete response arrived.
    Done(Outcome),
    /// Provably no byte of the call reached the upstream.
    NotSent,
    /// The call was sent, but no complete response arrived.
    Broken,
}

/// Result of a state transition; a step without an effect ends the call.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Step {
    /// Answer for the caller; present in at most one step of a call.
    pub answer: Option<KeyedAnswer>,
    /// The next action of the agent.
    pub next: Option<Effect>,
}

impl Step {
    const fn effect(effect: Effect) -> Self {
        Self {
            answer: None,
            next: Some(effect),
        }
    }

    const fn last(answer: KeyedAnswer) -> Self {
        Self {
            answer: Some(answer),
            next: None,
        }
    }
}

#[derive(Debug)]
enum State {
    WritingIntent,
    ReadingRecord,
    Running { revision: u64 },
    WritingOutcome(Box<PendingOutcome>),
    Ended,
}

#[derive(Debug)]
struct PendingOutcome {
    /// Store revision of the intent.
    revision: u64,
    record: Record,
    /// Answer that is held back until the first outcome write has ended.
    answer: Option<KeyedAnswer>,
    failures: u32,
}

/// State machine of one call at one agent.
#[derive(Debug)]
pub struct Call {
    params: KeyedCall,
    started_at: Millis,
    state: State,
    intent_writes: u8,
    /// An intent write may have been applied, or may still be, because its answer was lost.
    intent_maybe_applied: bool,
    /// A record of the key is known to exist, or to have existed.
    record_seen: bool,
}

impl Call {
    /// Starts a call; `now` is in Unix milliseconds.
    #[must_use]
    pub fn start(call: KeyedCall, now: Millis, cache: &RecordCache) -> (Self, Step) {
        let mut started = Self {
            params: call,
            started_at: now,
            state: State::Ended,
            intent_writes: 0,
            intent_maybe_applied: false,
            record_seen: false,
        };
        let step = started.first_step(now, cache);
        (started, step)
    }

    /// Handles the result of [`Effect::WriteIntent`].
    pub fn on_write(
        &mut self,
        result: Result<TxnOutcome, KvError>,
        now: Millis,
        cache: &mut RecordCache,
    ) -> Step {
        if !matches!(self.state, State::WritingIntent) {
            return Step::default();
        }
        match result {
            Ok(TxnOutcome::Applied(revision)) => return self.start_run(revision, now, cache),
            Ok(TxnOutcome::Conflict) => self.record_seen = true,
            Err(error) => self.intent_maybe_applied |= error.may_have_applied(),
        }
        self.read_record()
    }

    /// Handles the result of [`Effect::ReadBack`].
    pub fn on_read(
        &mut self,
        result: Result<Option<Entry>, KvError>,
        now: Millis,
        cache: &mut RecordCache,
    ) -> Step {
        if !matches!(self.state, State::ReadingRecord) {
            return Step::default();
        }
        match result {
            Err(_) => self.end_with(self.answer_without_store(cache)),
            Ok(None) => self.on_no_record(now),
            Ok(Some(entry)) => match Record::from_json(&entry.value) {
                Ok(record) => self.on_record(record, entry.mod_revision, now, cache),
                Err(_malformed) => self.end_with(KeyedAnswer::Unknown),
            },
        }
    }

    /// Handles the result of [`Effect::Run`].
    pub fn on_run_end(&mut self, end: RunEnd, cache: &mut RecordCache) -> Step {
        let State::Running { revision } = self.state else {
            return Step::default();
        };
        let (state, answer) = match end {
            // The intent stays in the store and marks the outcome as unknown.
            RunEnd::Broken => return self.end_with(KeyedAnswer::Unknown),
            RunEnd::NotSent => (RecordState::NotRun, KeyedAnswer::NotRun),
            RunEnd::Done(outcome) => (
                RecordState::Done(outcome.clone()),
                KeyedAnswer::Fresh(outcome),
            ),
        };
        let record = self.record(state);
        if matches!(record.state, RecordState::Done(_)) {
            cache.put(&self.params.account, self.params.key, record.clone(), true);
        } else {
            // Another agent may replace the record, so only the store has its current state.
            cache.remove(&self.params.account, self.params.key, &self.params.by);
        }
        let write = self.record_write(&record, Some(revision));
        self.state = State::WritingOutcome(Box::new(PendingOutcome {
            revision,
            record,
            answer: Some(answer),
            failures: 0,
        }));
        Step::effect(Effect::WriteOutcome(write))
    }

    /// Handles the result of [`Effect::WriteOutcome`]; `draw` is a random number that adds jitter to retries.
    pub fn on_outcome_write(
        &mut self,
        result: &Result<TxnOutcome, KvError>,
        draw: u64,
        cache: &mut RecordCache,
    ) -> Step {
        let State::WritingOutcome(pending) = &mut self.state else {
            return Step::default();
        };
        let answer = pending.answer.take();
        let next = if result.is_ok() {
            // A conflict means that an earlier write, whose answer was lost, was applied: no other attempt
            // replaces the intent of this one.
            self.finish_outcome(cache);
            None
        } else {
            let wait = backoff(pending.failures, draw);
            pending.failures = pending.failures.saturating_add(1);
            Some(Effect::RetryOutcome(wait))
        };
        Step { answer, next }
    }

    /// Continues after the wait of [`Effect::RetryOutcome`].
    pub fn on_retry(&mut self, now: Millis, cache: &mut RecordCache) -> Step {
        let State::WritingOutcome(pending) = &self.state else {
            return Step::default();
        };
        if self.check_age(now) == Err(KeyAge::Expired) {
            self.finish_outcome(cache);
            return Step::default();
        }
        let write = self.record_write(&pending.record, Some(pending.revision));
        Step::effect(Effect::WriteOutcome(write))
    }

    fn first_step(&mut self, now: Millis, cache: &RecordCache) -> Step {
        if let Err(age) = self.check_age(now) {
            return self.end_with(KeyedAnswer::KeyRefused(age));
        }
        let Some(record) = cache.get(&self.params.account, self.params.key) else {
            return self.write_intent(None);
        };
        if record.digest != self.params.digest {
            return self.end_with(KeyedAnswer::KeyReused);
        }
        match &record.state {
            RecordState::Done(outcome) => self.end_with(KeyedAnswer::Replayed(outcome.clone())),
            // This agent is the only writer of its own intent, so the cached record is current.
            RecordState::Intent if record.by.agent == self.params.by.agent => {
                self.end_with(KeyedAnswer::Unknown)
            }
            RecordState::Intent | RecordState::NotRun => {
                self.record_seen = true;
                self.read_record()
            }
        }
    }

    fn on_no_record(&mut self, now: Millis) -> Step {
        if let Err(age) = self.check_age(now) {
            return self.end_with(KeyedAnswer::KeyRefused(age));
        }
        if self.record_seen {
            // The record was removed, and it may have contained the outcome of a run.
            return self.end_with(KeyedAnswer::Unknown);
        }
        self.write_again(None)
    }

    fn on_record(
        &mut self,
        record: Record,
        revision: u64,
        now: Millis,
        cache: &mut RecordCache,
    ) -> Step {
        self.record_seen = true;
        let own = record.by == self.params.by;
        if own && record.state == RecordState::Intent {
            return self.start_run(revision, now, cache);
        }
        let answer = match &record.state {
            _ if record.digest != self.params.digest => KeyedAnswer::KeyReused,
            RecordState::Done(outcome) => KeyedAnswer::Replayed(outcome.clone()),
            RecordState::Intent => KeyedAnswer::Unknown,
            RecordState::NotRun => return self.write_again(Some(revision)),
        };
        // A read of this agent's own intent may be older than the cached record.
        if record.by.agent != self.params.by.agent {
            cache.put(&self.params.account, self.params.key, record, false);
        }
        self.end_with(answer)
    }

    /// Repeats the intent write at most once; its value and condition allow it to be applied only once.
    fn write_again(&mut self, replaced_revision: Option<u64>) -> Step {
        if self.intent_writes < MAX_INTENT_WRITES {
            return self.write_intent(replaced_revision);
        }
        if self.intent_maybe_applied {
            // The write may still be applied and would then block the key, so `not_run` cannot be claimed.
            return self.end_with(KeyedAnswer::StoreUnavailable);
        }
        self.end_with(KeyedAnswer::NotRun)
    }

    fn write_intent(&mut self, replaced_revision: Option<u64>) -> Step {
        self.state = State::WritingIntent;
        self.intent_writes += 1;
        let write = self.record_write(&self.record(RecordState::Intent), replaced_revision);
        Step::effect(Effect::WriteIntent(write))
    }

    fn read_record(&mut self) -> Step {
        self.state = State::ReadingRecord;
        let key = self.params.key.record_key(&self.params.account);
        Step::effect(Effect::ReadBack(key))
    }

    fn start_run(&mut self, revision: u64, now: Millis, cache: &mut RecordCache) -> Step {
        // The write may have been slow, and the record of an expired key may have been removed before it.
        if let Err(age) = self.check_age(now) {
            return self.end_with(KeyedAnswer::KeyRefused(age));
        }
        let record = self.record(RecordState::Intent);
        cache.put(&self.params.account, self.params.key, record, false);
        self.state = State::Running { revision };
        Step::effect(Effect::Run)
    }

    fn end_with(&mut self, answer: KeyedAnswer) -> Step {
        self.state = State::Ended;
        Step::last(answer)
    }

    fn finish_outcome(&mut self, cache: &mut RecordCache) {
        cache.mark_saved(&self.params.account, self.params.key, &self.params.by);
        self.state = State::Ended;
    }

    fn answer_without_store(&self, cache: &RecordCache) -> KeyedAnswer {
        let seen = self.record_seen || cache.get(&self.params.account, self.params.key).is_some();
        if seen {
            KeyedAnswer::Unknown
        } else {
            KeyedAnswer::StoreUnavailable
        }
    }

    fn check_age(&self, now: Millis) -> Result<(), KeyAge> {
        self.params.key.check_age(now, self.params.lifetime)
    }

    fn record(&self, state: RecordState) -> Record {
        Record {
            digest: self.params.digest,
            by: self.params.by,
            started_at: self.started_at,
            state,
        }
    }

    /// Builds a conditional write that creates the record, or that replaces it at `replaced_revision`.
    fn record_write(&self, record: &Record, replaced_revision: Option<u64>) -> RecordWrite {
        let key = self.params.key.record_key(&self.params.account);
        let condition = match replaced_revision {
            None => Compare::Absent(key.clone()),
            Some(revision) => Compare::ModRevision(key.clone(), revision),
        };
        RecordWrite {
            key,
            value: record.to_json(),
            condition,
        }
    }
}

/// Returns a random wait between half of the exponential backoff and all of it.
fn backoff(failures: u32, draw: u64) -> Millis {
    let factor = 1_u64.checked_shl(failures).unwrap_or(u64::MAX);
    let full = INITIAL_OUTCOME_BACKOFF
        .0
        .saturating_mul(factor)
        .min(MAX_OUTCOME_BACKOFF.0);
    let half = full / 2;
    Millis(half + draw % (half + 1))
}
