//! Records what clients sent and received and what upstreams ran, and reports violations as findings.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::Message;

/// Longest time that a key may be accepted after the store has acknowledged its revocation.
pub const REVOCATION_DEADLINE: Duration = Duration::from_secs(5);

/// Maximum number of attempts for one request.
pub const MAX_ATTEMPTS: usize = 3;

/// Number of events in each stream.
pub const EVENTS_PER_STREAM: u64 = 12;

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May run at most once.
    Order,
    /// May run several times.
    Lookup,
    /// A stream that may be resumed on another upstream.
    Generation,
}

impl Kind {
    /// Path prefix of the kind's route.
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Order => "/order/",
            Self::Lookup => "/lookup/",
            Self::Generation => "/generation/",
        }
    }

    fn max_runs(self) -> usize {
        match self {
            Self::Order => 1,
            Self::Lookup | Self::Generation => MAX_ATTEMPTS,
        }
    }
}

/// A request as its client sent it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub kind: Kind,
    /// Method and target.
    pub target: String,
    pub body: Vec<u8>,
    /// API key.
    pub key: String,
    /// Account that holds the key.
    pub account: String,
    /// When it was sent.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct History {
    sent: HashMap<String, SentRequest>,
    runs: HashMap<String, usize>,
    refused: HashMap<String, u16>,
    revoked: HashMap<String, Instant>,
    findings: Vec<String>,
    delivered: u64,
    answers: HashMap<u16, u64>,
}

/// Record of one test run, shared by upstreams and clients.
#[derive(Debug, Default)]
pub struct Checker {
    history: Mutex<History>,
}

/// Result of a test run.
#[derive(Debug)]
pub struct Report {
    /// Violated guarantees.
    pub findings: Vec<String>,
    /// Number of requests that were sent.
    pub sent: usize,
    /// Number of complete and correct answers.
    pub delivered: u64,
    /// Number of answers by status, sorted.
    pub answers: Vec<(u16, u64)>,
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (sent, delivered) = (self.sent, self.delivered);
        write!(
            f,
            "sent {sent}, delivered {delivered}, by status {:?}",
            self.answers
        )?;
        for finding in &self.findings {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl Checker {
    fn history(&self) -> std::sync::MutexGuard<'_, History> {
        self.history.lock().expect("the mutex is not poisoned")
    }

    /// Records a violated guarantee.
    pub fn add_finding(&self, finding: String) {
        self.history().findings.push(finding);
    }

    /// Records a request; to be called before its first byte is sent.
    pub fn record_request(&self, id: &str, sent: SentRequest) {
        self.history().sent.insert(id.to_owned(), sent);
    }

    /// Records that the store has acknowledged the revocation of a key.
    pub fn record_revocation(&self, key: &str) {
        self.history()
            .revoked
            .insert(key.to_owned(), Instant::now());
    }

    /// Records that an upstream begins to run a request, and checks that it may.
    pub fn record_run(&self, upstream: &str, message: &Message) {
        let id = message.field("x-fireflywind-request-id").unwrap_or("-");
        let mut history = self.history();
        let Some(sent) = history.sent.get(id).cloned() else {
            history.findings.push(format!(
                "{id}: {upstream} runs a request that no client sent"
            ));
            return;
        };
        let runs = history.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        let mut report_violation = |what: &str| {
            let (target, account) = (&sent.target, &sent.account);
            let finding = format!("{id}: {upstream} {what} ({target} of {account})");
            history.findings.push(finding);
        };
        if runs > sent.kind.max_runs() {
            report_violation("runs it more often than allowed");
        }
        let target = format!(
            "{} {}",
            message.start_line_part(0),
            message.start_line_part(1)
        );
        if target != sent.target || message.body != sent.body {
            report_violation("receives an altered request");
        }
        if message.field("x-fireflywind-tenant") != Some(&*sent.account) {
            report_violation("receives the wrong account");
        }
        if message.field("authorization").is_some() {
            report_violation("receives the API key");
        }
        if let Some(status) = history.refused.get(id) {
            let finding = format!("{id}: {upstream} runs it after the client got {status}");
            history.findings.push(finding);
        }
        let revoked = history.revoked.get(&sent.key);
        if revoked.is_some_and(|at| sent.at > *at + REVOCATION_DEADLINE) {
            let finding = format!("{id}: {upstream} runs it with a revoked key");
            history.findings.push(finding);
        }
    }

    /// Records an answer from a gateway; `is_own` means that the gateway created it, without an upstream's stamp.
    pub fn record_answer(&self, id: &str, status: u16, is_own: bool) {
        let mut history = self.history();
        *history.answers.entry(status).or_default() += 1;
        let says_not_run = is_own && matches!(status, 408 | 421 | 429 | 503);
        if !says_not_run {
            return;
        }
        history.refused.insert(id.to_owned(), status);
        let kind = history.sent.get(id).map(|s| s.kind);
        if kind == Some(Kind::Order) && history.runs.contains_key(id) {
            let finding = format!("{id}: {status}, which means not run, although it ran");
            history.findings.push(finding);
        }
    }

    /// Counts a complete and correct answer.
    pub fn record_delivery(&self) {
        self.history().delivered += 1;
    }

    /// Returns the number of complete and correct answers.
    pub fn delivered(&self) -> u64 {
        self.history().delivered
    }

    /// Returns the result so far.
    pub fn report(&self) -> Report {
        let history = self.history();
        let mut answers: Vec<_> = history.answers.iter().map(|(s, n)| (*s, *n)).collect();
        answers.sort_unstable();
        Report {
            findings: history.findings.clone(),
            sent: history.sent.len(),
            delivered: history.delivered,
            answers,
        }
    }
}
