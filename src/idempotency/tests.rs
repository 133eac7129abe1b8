//! Stateful fuzzing of keyed calls against a store with outages, and tests of keys.

use uuid::Uuid;

use super::*;
use crate::fixtures::check_property;
use crate::ids::{Incarnation, RequestId};

const LIFETIME: Millis = Millis(100_000);
const START_TIME: Millis = Millis(1_000_000_000);
const AGENTS: usize = 3;
/// Fault number with which every effect succeeds.
const NO_FAULT: u8 = 29;

fn key(time: Millis, n: u8) -> IdempotencyKey {
    let bits = (u128::from(time.0) << 80) | (7 << 76) | (0b10 << 62) | u128::from(n);
    IdempotencyKey::new(Uuid::from_u128(bits)).expect("the version is 7")
}

fn call_digest(n: u8) -> CallDigest {
    CallDigest::of("POST", "/orders", &[n])
}

fn keyed_call(key: IdempotencyKey, digest: CallDigest, agent: u128, call: u64) -> KeyedCall {
    let by = Attempt {
        agent: Incarnation(agent),
        call,
        request: RequestId {
            gateway: Incarnation(1),
            seq: 1,
        },
        attempt: 1,
    };
    KeyedCall {
        account: "shop".into(),
        key,
        digest,
        by,
        lifetime: LIFETIME,
    }
}

/// The result of an effect, not yet reported to its call.
#[derive(Debug, Clone)]
enum EffectResult {
    Write(Result<TxnOutcome, KvError>),
    Read(Result<Option<Entry>, KvError>),
    Run(RunEnd),
    Outcome(Result<TxnOutcome, KvError>),
    Retry,
}

#[derive(Debug)]
struct RunningCall {
    agent: usize,
    call: Call,
    next: Option<Effect>,
    effect_result: Option<EffectResult>,
    /// Whether nothing had run under the key when the call last read its record or was sent.
    had_not_run: bool,
}

/// Simulated agents that can be replaced, their calls, one store, and the runs at the upstream.
#[derive(Debug, Default)]
struct Simulation {
    now: Millis,
    revision: u64,
    entries: Vec<Entry>,
    /// Writes that failed with `AnswerLost` and were not applied yet.
    delayed_writes: Vec<RecordWrite>,
    agents: Vec<(u128, RecordCache)>,
    calls: Vec<RunningCall>,
    started_calls: u64,
    /// Runs at the upstream, with the number of the call and the outcome.
    runs: Vec<(IdempotencyKey, u64, Outcome)>,
    /// Numbers of the calls that were answered with `not_run`.
    not_run: Vec<u64>,
    started_keys: Vec<(IdempotencyKey, CallDigest)>,
    answers: usize,
}

impl Simulation {
    fn new() -> Self {
        let agents = (0..AGENTS).map(|n| (n as u128, RecordCache::new(4_000)));
        Self {
            now: START_TIME,
            agents: agents.collect(),
            ..Self::default()
        }
    }

    fn apply_write(&mut self, write: RecordWrite) -> TxnOutcome {
        let at = self.entries.iter().position(|e| e.key == write.key);
        let holds = match (&write.condition, at) {
            (Compare::Absent(_), at) => at.is_none(),
            (Compare::ModRevision(_, rev), Some(at)) => self.entries[at].mod_revision == *rev,
            (Compare::ModRevision(..), None) => false,
        };
        if !holds {
            return TxnOutcome::Conflict;
        }
        self.revision += 1;
        let at = at.unwrap_or(self.entries.len());
        let entry = Entry {
            key: write.key,
            value: write.value,
            mod_revision: self.revision,
            create_revision: 0,
        };
        if at == self.entries.len() {
            self.entries.push(entry);
        } else {
            self.entries[at] = entry;
        }
        TxnOutcome::Applied(self.revision)
    }

    fn write_with_fault(&mut self, write: RecordWrite, fault: u8) -> Result<TxnOutcome, KvError> {
        match fault % 8 {
            0 => Err(KvError::Unreachable(String::new())),
            1 => Err(KvError::Refused(String::new())),
            2 => {
                self.delayed_writes.push(write);
                Err(KvError::AnswerLost(String::new()))
            }
            3 => {
                self.apply_write(write);
                Err(KvError::AnswerLost(String::new()))
            }
            _ => Ok(self.apply_write(write)),
        }
    }

    fn run_at_upstream(&mut self, key: IdempotencyKey, call: u64, fault: u8) -> RunEnd {
        let end = match fault % 6 {
            0 | 1 => return RunEnd::NotSent,
            2 => return RunEnd::Broken,
            end => end,
        };
        let n = self.runs.len();
        let text = Bytes::from(vec![b'x'; (n % 2) * (MAX_STORED_BODY_BYTES + 1) + n % 3]);
        let outcome = Outcome::new(200, None, text, n.into());
        self.runs.push((key, call, outcome.clone()));
        if end == 3 {
            RunEnd::Broken
        } else {
            RunEnd::Done(outcome)
        }
    }

    fn start_call(&mut self, agent: usize, key: IdempotencyKey, digest: CallDigest) {
        self.started_calls += 1;
        self.started_keys.push((key, digest));
        let (incarnation, cache) = &self.agents[agent];
        let call = keyed_call(key, digest, *incarnation, self.started_calls);
        let (call, step) = Call::start(call, self.now, cache);
        self.calls.push(RunningCall {
            agent,
            call,
            next: None,
            effect_result: None,
            had_not_run: false,
        });
        self.take(self.calls.len() - 1, step);
    }

    /// Performs the next effect of a call, or reports its result, so that a crash can occur between the two.
    fn step(&mut self, at: usize, fault: u8) {
        if let Some(effect_result) = self.calls[at].effect_result.take() {
            let running = &mut self.calls[at];
            let cache = &mut self.agents[running.agent].1;
            let step = match effect_result {
                EffectResult::Write(result) => running.call.on_write(result, self.now, cache),
                EffectResult::Read(result) => running.call.on_read(result, self.now, cache),
                EffectResult::Run(end) => running.call.on_run_end(end, cache),
                EffectResult::Outcome(result) => {
                    let draw = u64::from(fault);
                    running.call.on_outcome_write(&result, draw, cache)
                }
                EffectResult::Retry => running.call.on_retry(self.now, cache),
            };
            return self.take(at, step);
        }
        let KeyedCall { key, by, .. } = self.calls[at].call.params;
        let Some(effect) = self.calls[at].next.take() else {
            return;
        };
        if matches!(effect, Effect::ReadBack(_) | Effect::Run) {
            self.calls[at].had_not_run = self.outcome_of(key).is_none();
        }
        self.calls[at].effect_result = Some(match effect {
            Effect::WriteIntent(write) => EffectResult::Write(self.write_with_fault(write, fault)),
            Effect::WriteOutcome(write) => {
                EffectResult::Outcome(self.write_with_fault(write, fault))
            }
            Effect::ReadBack(_) if fault.is_multiple_of(8) => {
                EffectResult::Read(Err(KvError::AnswerLost(String::new())))
            }
            Effect::ReadBack(key) => {
                EffectResult::Read(Ok(self.entries.iter().find(|e| e.key == key).cloned()))
            }
            Effect::Run => EffectResult::Run(self.run_at_upstream(key, by.call, fault)),
            Effect::RetryOutcome(_) => EffectResult::Retry,
        });
    }

    fn outcome_of(&self, key: IdempotencyKey) -> Option<&Outcome> {
        let run = self.runs.iter().find(|(k, ..)| *k == key);
        run.map(|(.., outcome)| outcome)
    }

    /// Takes the next effect from a step of a call, and checks its answer.
    fn take(&mut self, at: usize, step: Step) {
        self.calls[at].next = step.next;
        let Some(answer) = step.answer else {
            return;
        };
        self.answers += 1;
        let KeyedCall {
            key, digest, by, ..
        } = self.calls[at].call.params;
        let run = self.outcome_of(key);
        match answer {
            KeyedAnswer::NotRun => {
                // A concurrent attempt may run between the check and the answer.
                assert!(
                    self.calls[at].had_not_run,
                    "not_run was claimed after a run"
                );
                self.not_run.push(by.call);
            }
            KeyedAnswer::Fresh(outcome) | KeyedAnswer::Replayed(outcome) => {
                assert_eq!(run, Some(&outcome), "the answer was produced by no run");
            }
            KeyedAnswer::KeyReused => {
                assert!(
                    self.started_keys
                        .iter()
                        .any(|(k, d)| *k == key && *d != digest)
                );
            }
            KeyedAnswer::KeyRefused(age) => {
                assert_eq!(key.check_age(self.now, LIFETIME), Err(age));
            }
            KeyedAnswer::Unknown | KeyedAnswer::StoreUnavailable => {}
        }
    }

    fn replace_agent(&mut self, agent: usize) {
        self.started_calls += 1;
        self.agents[agent] = (u128::from(self.started_calls) << 8, RecordCache::new(4_000));
        self.calls.retain(|running| running.agent != agent);
    }

    /// Removes the records of expired keys, as a clean-up by an operator may do.
    fn remove_expired_records(&mut self) {
        let now = self.now;
        self.entries.retain(|entry| {
            let key = entry
                .key
                .rsplit('/')
                .next()
                .expect("the store key has a last segment");
            let key: IdempotencyKey = key
                .parse()
                .expect("the store key ends with an idempotency key");
            key.check_age(now, LIFETIME).is_ok()
        });
    }

    fn apply_op(&mut self, (op, a, b): (u8, u8, u8)) {
        let agent = usize::from(a) % AGENTS;
        match op % 32 {
            0..=3 => {
                // Some keys expire while their calls are in progress.
                let time = Millis(START_TIME.0 - 80_000 + u64::from(b % 6) * 20_000);
                self.start_call(agent, key(time, b % 6), call_digest(u8::from(a > 230)));
            }
            4 if a.is_multiple_of(4) => self.replace_agent(agent),
            5 if !self.delayed_writes.is_empty() => {
                let at = usize::from(a) % self.delayed_writes.len();
                let write = self.delayed_writes.swap_remove(at);
                self.apply_write(write);
            }
            6 => self.now = self.now + Millis(u64::from(a) * 100),
            7 => self.remove_expired_records(),
            _ if self.calls.is_empty() => {}
            _ => {
                let at = usize::from(a) % self.calls.len();
                self.step(at, b);
                if self.calls[at].next.is_none() && self.calls[at].effect_result.is_none() {
                    self.calls.swap_remove(at);
                }
            }
        }
        for (at, (key, call, _)) in self.runs.iter().enumerate() {
            assert!(
                !self.runs[..at].iter().any(|(k, ..)| k == key),
                "the key ran twice"
            );
            assert!(!self.not_run.contains(call), "the call ran after not_run");
        }
        for (_, cache) in &self.agents {
            assert!(cache.bytes() <= 4_000 + 3 * (MAX_STORED_BODY_BYTES + 512));
        }
    }
}

// Guards against a second run, a false `not_run` and the answer of another run, with crashes between any
// two effects, delayed and lost writes, concurrent attempts, reused keys and keys that expire during a call.
#[test]
fn a_key_runs_at_most_once_under_faults() {
    type Ops = Vec<(u8, u8, u8)>;
    fn property(first: Ops, second: Ops, third: Ops, fourth: Ops) -> bool {
        let mut simulation = Simulation::new();
        for op in [first, second, third, fourth].concat() {
            simulation.apply_op(op);
        }
        true
    }
    check_property(1, property as fn(Ops, Ops, Ops, Ops) -> bool);
}

/// Runs the last call to its end; each effect gets the next fault number, then [`NO_FAULT`].
fn run_last_call(simulation: &mut Simulation, faults: &[u8]) -> usize {
    let at = simulation.calls.len() - 1;
    let mut faults = faults.iter().copied();
    while simulation.calls[at].next.is_some() || simulation.calls[at].effect_result.is_some() {
        let fault = if simulation.calls[at].effect_result.is_some() {
            0
        } else {
            faults.next().unwrap_or(NO_FAULT)
        };
        simulation.step(at, fault);
    }
    simulation.runs.len()
}

// Guards against a state machine that never runs a call or never replays an outcome.
#[test]
fn calls_make_progress() {
    let mut simulation = Simulation::new();
    let first = key(START_TIME, 1);

    simulation.start_call(0, first, call_digest(0));
    // The answer to the intent write is lost, then the first outcome write fails.
    assert_eq!(
        run_last_call(&mut simulation, &[3, NO_FAULT, NO_FAULT, 0]),
        1
    );
    simulation.start_call(0, first, call_digest(0));
    assert_eq!(simulation.calls[1].next, None, "answered from the cache");
    simulation.start_call(1, first, call_digest(0));
    assert_eq!(run_last_call(&mut simulation, &[]), 1);
    assert_eq!(
        simulation.agents[1]
            .1
            .get(&"shop".into(), first)
            .map(|r| r.by.call),
        Some(1)
    );

    // A call that was not sent leaves a record that the next attempt replaces.
    let second = key(START_TIME, 2);
    simulation.start_call(0, second, call_digest(0));
    assert_eq!(run_last_call(&mut simulation, &[NO_FAULT, 0]), 1);
    simulation.start_call(1, second, call_digest(0));
    assert_eq!(run_last_call(&mut simulation, &[]), 2);
    assert_eq!(simulation.answers, 5);
}

// Guards against an outage in which a cached outcome is not replayed, or in which `not_run` is claimed for
// a key whose record cannot be read.
#[test]
fn an_outage_replays_cached_outcomes_and_never_claims_not_run() {
    let mut cache = RecordCache::new(RECORD_CACHE_BYTES);
    let unreachable = || Err(KvError::Unreachable(String::new()));
    let first = keyed_call(key(START_TIME, 1), call_digest(0), 1, 1);
    let (mut call, _) = Call::start(first.clone(), START_TIME, &cache);
    call.on_write(Ok(TxnOutcome::Applied(1)), START_TIME, &mut cache);
    let outcome = Outcome::new(200, None, "ok".into(), serde_json::Value::Null);
    call.on_run_end(RunEnd::Done(outcome.clone()), &mut cache);
    let step = call.on_outcome_write(&unreachable(), 0, &mut cache);
    assert_eq!(step.answer, Some(KeyedAnswer::Fresh(outcome.clone())));
    assert!(matches!(step.next, Some(Effect::RetryOutcome(_))));

    let (_, replay) = Call::start(first, START_TIME, &cache);
    let (mut other, _) = Call::start(
        keyed_call(key(START_TIME, 2), call_digest(0), 1, 2),
        START_TIME,
        &cache,
    );
    other.on_write(unreachable(), START_TIME, &mut cache);
    let other = other.on_read(
        Err(KvError::Unreachable(String::new())),
        START_TIME,
        &mut cache,
    );

    assert_eq!(replay, Step::last(KeyedAnswer::Replayed(outcome)));
    assert_eq!(other, Step::last(KeyedAnswer::StoreUnavailable));
}

// Guards against a `not_run` while an intent write of the call may still be applied and block the key.
#[test]
fn not_run_needs_writes_without_effect() {
    let lost = KvError::AnswerLost(String::new());
    let refused = KvError::Refused(String::new());
    let cases = [
        ([&refused, &refused], KeyedAnswer::NotRun),
        ([&lost, &refused], KeyedAnswer::StoreUnavailable),
        ([&refused, &lost], KeyedAnswer::StoreUnavailable),
    ];
    for (errors, expected) in cases {
        let mut cache = RecordCache::new(RECORD_CACHE_BYTES);
        let (mut call, mut step) = Call::start(
            keyed_call(key(START_TIME, 1), call_digest(0), 1, 1),
            START_TIME,
            &cache,
        );
        for error in errors {
            assert!(matches!(step.next, Some(Effect::WriteIntent(_))));
            call.on_write(Err(error.clone()), START_TIME, &mut cache);
            step = call.on_read(Ok(None), START_TIME, &mut cache);
        }
        assert_eq!(step, Step::last(expected));
    }

    // The record that caused the conflict was removed, and possibly the outcome of a run with it.
    let mut cache = RecordCache::new(RECORD_CACHE_BYTES);
    let (mut call, _) = Call::start(
        keyed_call(key(START_TIME, 1), call_digest(0), 1, 1),
        START_TIME,
        &cache,
    );
    call.on_write(Ok(TxnOutcome::Conflict), START_TIME, &mut cache);
    let step = call.on_read(Ok(None), START_TIME, &mut cache);
    assert_eq!(step, Step::last(KeyedAnswer::Unknown));
}

// Guards against keys without a time and against a panic on a malformed header.
#[test]
fn malformed_and_untimely_keys_are_rejected() {
    let valid = "01890a5d-ac96-774b-bcce-b302099a8057";
    let parse = str::parse::<IdempotencyKey>;
    assert_eq!(parse(valid), parse(&format!("\"{valid}\"")));
    assert_eq!(
        parse(valid).map(IdempotencyKey::time),
        Ok(Millis(0x0189_0a5d_ac96))
    );
    assert_eq!(
        parse("919108f7-52d1-4320-9bac-f847db4148a8"),
        Err(KeyError::NotVersion7)
    );
    assert_eq!(parse(&"a".repeat(39)), Err(KeyError::TooLong(39)));
    assert_eq!(parse(&valid.replace('-', "")), Err(KeyError::Malformed));

    let at = |ms| key(START_TIME, 0).check_age(Millis(ms), LIFETIME);
    assert_eq!(at(START_TIME.0 + LIFETIME.0 + 1), Err(KeyAge::Expired));
    assert_eq!(
        at(START_TIME.0 - MAX_KEY_AHEAD.0 - 1),
        Err(KeyAge::InFuture)
    );
    assert_eq!(at(START_TIME.0 - MAX_KEY_AHEAD.0), Ok(()));
}

// Guards against a record that changes when it is serialised and parsed.
#[test]
fn record_json_round_trips() {
    fn property(n: u8, text: Vec<u8>, status: u16) -> bool {
        let outcome = Outcome::new(status, Some("a/b".to_owned()), text.into(), 5.into());
        let by = keyed_call(key(START_TIME, n), call_digest(n), 1, 1).by;
        [
            RecordState::Intent,
            RecordState::NotRun,
            RecordState::Done(outcome),
        ]
        .into_iter()
        .all(|state| {
            let record = Record {
                digest: call_digest(n),
                by,
                started_at: START_TIME,
                state,
            };
            Record::from_json(&record.to_json()).is_ok_and(|read| read == record)
        })
    }
    check_property(2, property as fn(u8, Vec<u8>, u16) -> bool);
}
