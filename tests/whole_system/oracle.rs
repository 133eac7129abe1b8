//! The test oracle: records what happened in a sequence and checks that P1 to P10 hold.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use fireflywind::idempotency::{RECORD_PREFIX, Record, RecordState};
use fireflywind::ids::{AccountId, Incarnation, RequestId, UpstreamId, VersionRef};
use fireflywind::kv::memory::MemoryKv;
use fireflywind::kv::{Entry, KeyValue};
use fireflywind::ledger::keys::{Key, PREFIX};
use fireflywind::ledger::{Charge, Checkpoint, OrphanPage, read_bill};
use fireflywind::peer::{RunRequest, Target};
use fireflywind::refusal::{Code, RunStatus};
use fireflywind::sheet::parts::Root;
use fireflywind::sheet::{ApplyId, Sheet, VersionState};
use fireflywind::units::Millis;

use super::agent::Agent;
use super::callers::{CallerOutcome, Transcript};
use super::runs::CRASH;
use super::world::{MAX_STALENESS, Rng};

/// Time after a leaving notice within which an agent may still accept requests.
const LEAVE_GRACE: Millis = Millis::from_secs(3);

/// Time within which all processes must use a new sheet.
const FOLLOW_TIMEOUT: Millis = Millis::from_secs(3);

/// Tolerance for times that are rounded to milliseconds.
const ROUNDING_TOLERANCE: Millis = Millis(5);

/// A run at an upstream.
#[derive(Debug)]
struct Execution {
    request: RequestId,
    account: AccountId,
    target: Target,
    key: Option<String>,
    bytes: Vec<u8>,
}

/// A sheet that was in force.
#[derive(Debug)]
struct InForce {
    revision: u64,
    since: Millis,
    sheet: Sheet,
}

#[derive(Debug, Default)]
struct State {
    violations: Vec<String>,
    /// Whether any fault was injected.
    had_fault: bool,
    runs: Vec<Execution>,
    transcripts: Vec<Rc<Transcript>>,
    applies: Vec<(ApplyId, Sheet)>,
    history: Vec<InForce>,
    /// Revision that the gateway had when it sent an attempt.
    sent: BTreeMap<(RequestId, u32), u64>,
    revisions: BTreeMap<Incarnation, u64>,
    charges: Vec<(Incarnation, Charge)>,
    closes: BTreeMap<RequestId, Option<Charge>>,
    /// Processes that stopped gracefully with all their ledger data stored.
    stored: Vec<Incarnation>,
}

/// Record of what happened in a sequence.
#[derive(Debug, Default)]
pub struct Oracle(RefCell<State>);

impl Oracle {
    pub fn record_fault(&self) {
        self.0.borrow_mut().had_fault = true;
    }

    pub fn violations(&self) -> Vec<String> {
        self.0.borrow().violations.clone()
    }

    pub fn add_transcript(&self, transcript: Rc<Transcript>) {
        self.0.borrow_mut().transcripts.push(transcript);
    }

    /// Returns the token of an earlier session and its version.
    pub fn session_token(&self, pick: usize) -> Option<(AccountId, String, VersionRef)> {
        let state = self.0.borrow();
        let of = |t: &Rc<Transcript>| {
            let token = t.token.borrow().clone()?;
            Some((t.caller_request.account.clone(), token.0, token.1))
        };
        let tokens: Vec<_> = state.transcripts.iter().rev().filter_map(of).collect();
        tokens.get(pick).cloned()
    }

    /// Returns the sheet that was put into force last.
    pub fn newest(&self) -> Option<(u64, Sheet)> {
        let state = self.0.borrow();
        let last = state.history.last()?;
        Some((last.revision, last.sheet.clone()))
    }

    pub fn record_apply(&self, id: ApplyId, sheet: &Sheet) {
        self.0.borrow_mut().applies.push((id, sheet.clone()));
    }

    pub fn check_root(&self, entry: Option<&Entry>, now: Millis) {
        let mut state = self.0.borrow_mut();
        let root = entry.and_then(|entry| Root::decode(&entry.value).ok());
        let Some(root) = root else {
            return state.add_violation("P10: the stored root cannot be read".to_owned());
        };
        let last = state.history.last().map_or(0, |h| h.revision);
        if root.revision != last + 1 {
            state.add_violation(format!("P10: root {} follows {last}", root.revision));
        }
        let apply = state.applies.iter().find(|(id, _)| *id == root.apply_id);
        let sheet = apply.map(|(_, sheet)| sheet.clone()).unwrap_or_default();
        state.history.push(InForce {
            revision: root.revision,
            since: now,
            sheet,
        });
    }

    pub fn check_accepted(&self, revision: u64, sheet: &Sheet) {
        let mut state = self.0.borrow_mut();
        let found = state
            .sheet(revision)
            .is_some_and(|held| held.sheet == *sheet);
        if !found {
            state.add_violation(format!(
                "P10: revision {revision} was accepted and is not in force"
            ));
        }
    }

    pub fn record_sent(&self, req: &RunRequest, revision: u64) {
        let attempt = (req.request, req.attempt_number());
        self.0.borrow_mut().sent.insert(attempt, revision);
    }

    /// Checks an attempt that an agent accepted.
    pub fn check_admitted(&self, agent: &Agent, req: &RunRequest, revision: u64, now: Millis) {
        let mut state = self.0.borrow_mut();
        let attempt = (req.request, req.attempt_number());
        let sent = state.sent.get(&attempt).copied().unwrap_or(0);
        let mut violations = Vec::new();
        for revision in [revision, sent] {
            match state.sheet(revision) {
                Some(held) => violations.extend(forbidden(&held.sheet, req)),
                None => violations.push(format!("P10: revision {revision} was never in force")),
            }
        }
        let next = state.sheet(revision + 1);
        if next.is_some_and(|next| now > next.since + MAX_STALENESS + ROUNDING_TOLERANCE) {
            violations.push(format!("P2: revision {revision} was used for too long"));
        }
        if agent
            .leaving_since
            .get()
            .is_some_and(|at| now > at + LEAVE_GRACE)
        {
            violations.push(format!(
                "P8: {} accepted a request while it was leaving",
                agent.id
            ));
        }
        state.violations.extend(violations);
    }

    /// Records a run at an upstream and returns its answer; every run has different bytes.
    pub fn record_run(&self, slot: usize, req: &RunRequest, rng: &Rng) -> Vec<u8> {
        let mut state = self.0.borrow_mut();
        let number = state.runs.len();
        let mut bytes = format!("run {number} at {slot}:").into_bytes();
        let length = rng.below(400);
        bytes.extend((0..length).map(|_| rng.draw().to_le_bytes()[0]));
        if let Some(key) = &req.idempotency_key {
            let same =
                |run: &Execution| run.key.as_ref() == Some(key) && run.account == req.account;
            if state.runs.iter().any(same) {
                state.add_violation(format!("P7: key {key} ran twice"));
            }
        }
        state.runs.push(Execution {
            request: req.request,
            account: req.account.clone(),
            target: req.target.clone(),
            key: req.idempotency_key.clone(),
            bytes: bytes.clone(),
        });
        bytes
    }

    pub fn record_charge(&self, agent: Incarnation, charge: &Charge) {
        self.0.borrow_mut().charges.push((agent, charge.clone()));
    }

    pub fn record_close(&self, request: RequestId, charge: Option<&Charge>) {
        self.0.borrow_mut().closes.insert(request, charge.cloned());
    }

    pub fn record_stored(&self, process: Incarnation) {
        self.0.borrow_mut().stored.push(process);
    }

    pub fn check_order(&self, upstream: &UpstreamId, last: u64, fence: u64) {
        if fence < last {
            let violation = format!("fencing: {upstream} accepted token {fence} after {last}");
            self.0.borrow_mut().add_violation(violation);
        }
    }

    /// Records the revision of a process and checks that it does not go back.
    pub fn check_revision(&self, process: Incarnation, revision: u64) {
        let mut state = self.0.borrow_mut();
        let last = state.revisions.insert(process, revision).unwrap_or(0);
        if revision < last {
            state.add_violation(format!(
                "P10: {process} went from {last} back to {revision}"
            ));
        }
    }

    /// Checks, unless a fault was injected, that processes use a new sheet within 3 s. Processes without a
    /// sheet are left out, as they have just started.
    pub fn check_following(&self, processes: &[(String, u64)], now: Millis) {
        if !self.0.borrow().had_fault {
            let started = processes.iter().filter(|(_, held)| *held > 0);
            let started: Vec<_> = started.cloned().collect();
            self.check_converged(&started, now.since(FOLLOW_TIMEOUT));
        }
    }

    /// Checks that all processes have at least the revision that was in force at a given time.
    pub fn check_converged(&self, processes: &[(String, u64)], ended_at: Millis) {
        let mut state = self.0.borrow_mut();
        let before = state.history.iter().rev().find(|h| h.since <= ended_at);
        let wanted = before.map_or(0, |h| h.revision);
        for (name, revision) in processes.iter().filter(|(_, held)| *held < wanted) {
            state.add_violation(format!("P10: {name} is at {revision}, not at {wanted}"));
        }
    }

    pub fn all_ended(&self) -> bool {
        let state = self.0.borrow();
        let is_over = |t: &Rc<Transcript>| t.outcome.borrow().is_some() || !t.proc.is_alive();
        state.transcripts.iter().all(is_over)
    }

    pub async fn check_end(&self, kv: &MemoryKv, alive: &[Incarnation]) {
        let bill = Bill::read(kv).await;
        let mut state = self.0.borrow_mut();
        let mut violations = Vec::new();
        for transcript in &state.transcripts {
            violations.extend(state.check_caller(transcript));
        }
        violations.extend(state.check_bill(&bill, alive));
        state.violations.extend(violations);
    }
}

/// Returns why a sheet forbids an attempt.
fn forbidden(sheet: &Sheet, req: &RunRequest) -> Option<String> {
    let account = sheet.account(&req.account);
    match &req.target {
        Target::Version(version) => {
            if account.is_none_or(|a| !a.allow.contains(version)) {
                return Some(format!("P1: {} ran on {version}", req.account));
            }
            let state = sheet.version(version).map(|v| v.state);
            let may_run = state == Some(VersionState::Serving)
                || state == Some(VersionState::Draining) && req.pinned;
            (!may_run).then(|| format!("P2: {version} received a request while {state:?}"))
        }
        Target::Service(id) => {
            let forbidden = account.is_none_or(|a| !a.services.contains(id));
            forbidden.then(|| format!("P1: {} called {id}", req.account))
        }
    }
}

impl State {
    fn add_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    fn sheet(&self, revision: u64) -> Option<&InForce> {
        self.history.iter().find(|held| held.revision == revision)
    }

    /// Checks what the caller of one request received.
    fn check_caller(&self, t: &Transcript) -> Vec<String> {
        let mut violations = Vec::new();
        let request = t.request.get();
        let of_request = |run: &&Execution| Some(run.request) == request;
        let outcome = t.outcome.borrow();
        let bytes = t.bytes.borrow();
        // A call whose key was used before gets the answer of that run.
        let mut sources = self.runs.iter().filter(|run| {
            let same_key = t.caller_request.key.is_some() && run.key == t.caller_request.key;
            of_request(run) || (same_key && run.account == t.caller_request.account)
        });
        let is_whole = matches!(*outcome, Some(CallerOutcome::Whole));
        let is_answer_of_a_run = if is_whole {
            sources.any(|run| run.bytes == *bytes)
        } else {
            bytes.is_empty() || sources.any(|run| run.bytes.starts_with(&bytes))
        };
        if !is_answer_of_a_run {
            violations.push(format!(
                "P5: {request:?} got {} bytes, whole: {is_whole}",
                bytes.len()
            ));
        }
        let runs: Vec<_> = self.runs.iter().filter(of_request).collect();
        if let Some(CallerOutcome::Refused(refusal)) = &*outcome
            && refusal.ran == RunStatus::NotRun
            && !runs.is_empty()
        {
            violations.push(format!(
                "P6: {request:?} ran and was refused with {refusal}"
            ));
        }
        if let Some(pinned) = &t.pinned {
            let other_version = |run: &&&Execution| run.target != Target::Version(pinned.clone());
            if let Some(run) = runs.iter().find(other_version) {
                violations.push(format!("P3: a session of {pinned} ran on {:?}", run.target));
            }
        }
        let crashes = t.caller_request.body.starts_with(CRASH.as_bytes());
        let is_broken_off = match &*outcome {
            None | Some(CallerOutcome::Truncated) => true,
            Some(CallerOutcome::Refused(refusal)) => {
                let failed = matches!(refusal.code, Code::UpstreamFailed | Code::DeadlineExceeded);
                failed && refusal.ran != RunStatus::NotRun
            }
            Some(CallerOutcome::Whole | CallerOutcome::NotAccepted) => false,
        };
        if is_broken_off && !self.had_fault && !crashes {
            violations.push(format!("P9: {request:?} was cut off: {outcome:?}"));
        }
        if outcome.is_none() && t.proc.is_alive() {
            violations.push(format!("P5: {request:?} never ended"));
        }
        violations
    }

    /// Checks the bill against the charges, the processes that held them and the closed requests.
    fn check_bill(&self, bill: &Bill, alive: &[Incarnation]) -> Vec<String> {
        let mut violations = Vec::new();
        let survives = |incarnation: &Incarnation| {
            alive.contains(incarnation) || self.stored.contains(incarnation)
        };
        let charged = self.charges.iter().map(|(_, charge)| charge.request);
        let opened = self.transcripts.iter().filter_map(|t| t.request.get());
        let mut requests: Vec<_> = charged.chain(opened).collect();
        requests.sort_unstable();
        requests.dedup();
        let mut totals: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for id in requests {
            let held = self.charges.iter().filter(|(_, c)| c.request == id);
            let closed = self.closes.get(&id);
            let covered = bill.covers(id);
            let billed = match closed {
                Some(charge) if covered => charge.as_ref(),
                _ if covered => None,
                _ => bill.charge(id),
            };
            if let Some(charge) = billed {
                let sum = totals.entry(charge.account.as_str()).or_default();
                *sum = (sum.0 + 1, sum.1 + charge.amount.0);
            }
            let survivor = held.clone().find(|(agent, _)| survives(agent));
            let at_gateway = survives(&id.gateway) && matches!(closed, Some(Some(_)));
            if billed.is_none() && (survivor.is_some() || at_gateway) {
                violations.push(format!("P4: the charge of {id} is missing"));
            }
            if closed == Some(&None) && held.clone().next().is_some() {
                violations.push(format!("P4: {id} was charged and closed without a charge"));
            }
            let listed = bill.lists_as_unknown(id);
            let must_list = billed.is_none() && !covered && bill.names_this_or_higher(id);
            if listed != must_list && (must_list || billed.is_some()) {
                violations.push(format!("P4: {id} is listed as unknown: {listed}"));
            }
        }
        let mut read: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for row in bill.read.totals.rows() {
            let sum = read.entry(row.account.as_str()).or_default();
            *sum = (sum.0 + row.requests, sum.1 + row.amount.0);
        }
        if read != totals {
            violations.push(format!("P4: the bill is {read:?}, not {totals:?}"));
        }
        violations
    }
}

/// The bill and the stored records from which it was computed.
struct Bill {
    read: fireflywind::ledger::Bill,
    checkpoints: Vec<Checkpoint>,
    /// Charges of orphan pages and of records of keyed calls.
    charges: Vec<Charge>,
    intents: Vec<RequestId>,
}

impl Bill {
    async fn read(kv: &MemoryKv) -> Self {
        let read = read_bill(kv).await.expect("the service answers");
        let mut bill = Self {
            read,
            checkpoints: Vec::new(),
            charges: Vec::new(),
            intents: Vec::new(),
        };
        for entry in kv.list(PREFIX).await.expect("the service answers") {
            match Key::parse(&entry.key) {
                Some(Key::Checkpoint(_)) => {
                    bill.checkpoints.push(
                        serde_json::from_slice(&entry.value)
                            .expect("the stored value is valid JSON"),
                    );
                }
                Some(Key::Orphans { .. }) => {
                    let page: OrphanPage = serde_json::from_slice(&entry.value)
                        .expect("the stored value is valid JSON");
                    bill.charges.extend(page.charges);
                }
                None => panic!("{} is no key of the ledger", entry.key),
            }
        }
        for entry in kv.list(RECORD_PREFIX).await.expect("the service answers") {
            let record = Record::from_json(&entry.value).expect("the stored value is a record");
            match record.state {
                RecordState::Done(outcome) => {
                    bill.charges
                        .extend(serde_json::from_value::<Charge>(outcome.charge));
                }
                RecordState::Intent => bill.intents.push(record.by.request),
                RecordState::NotRun => {}
            }
        }
        bill
    }

    fn covers(&self, id: RequestId) -> bool {
        let of_gateway = self.checkpoints.iter().find(|c| c.gateway == id.gateway);
        of_gateway.is_some_and(|c| c.closed.contains(id.seq))
    }

    fn charge(&self, id: RequestId) -> Option<&Charge> {
        let of_request = self.charges.iter().filter(|c| c.request == id);
        of_request.max_by_key(|c| c.rank())
    }

    fn lists_as_unknown(&self, id: RequestId) -> bool {
        let of_gateway = self
            .read
            .unknown
            .iter()
            .find(|(gateway, _)| *gateway == id.gateway);
        of_gateway.is_some_and(|(_, ids)| ids.contains(id.seq))
    }

    /// Returns whether a record names this request's ID or a higher one of the same gateway.
    fn names_this_or_higher(&self, id: RequestId) -> bool {
        let checkpoints = self.checkpoints.iter();
        let opened = checkpoints
            .filter(|c| c.gateway == id.gateway)
            .map(|c| c.opened);
        let charged = self.charges.iter().map(|c| c.request);
        let named = charged.chain(self.intents.iter().copied());
        let named = named.filter(|of| of.gateway == id.gateway).map(|of| of.seq);
        opened.chain(named).max() >= Some(id.seq)
    }
}
