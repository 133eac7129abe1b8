//! What clients sent and saw, what upstreams ran, and the findings that follow.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::wire::Message;

/// Longest time that a key may work after the store has acknowledged that it was taken away.
pub const REVOCATION: Duration = Duration::from_secs(5);

/// Most upstreams that may run one request.
pub const ATTEMPTS: usize = 3;

/// Events of every stream.
pub const EVENTS: u64 = 12;

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May run once.
    Order,
    /// May run several times.
    Lookup,
    /// A stream that may go on at another upstream.
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

    fn most_runs(self) -> usize {
        match self {
            Self::Order => 1,
            Self::Lookup | Self::Generation => ATTEMPTS,
        }
    }
}

/// A request as its client sent it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Kind.
    pub kind: Kind,
    /// Method and target.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    /// API key.
    pub key: String,
    /// Account that holds the key.
    pub account: String,
    /// When it was sent.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Book {
    sent: HashMap<String, Sent>,
    runs: HashMap<String, usize>,
    refused: HashMap<String, u16>,
    revoked: HashMap<String, Instant>,
    findings: Vec<String>,
    delivered: u64,
    answers: HashMap<u16, u64>,
}

/// The record of one run; upstreams and clients write to it.
#[derive(Debug, Default)]
pub struct Ledger {
    book: Mutex<Book>,
}

/// What a run came to.
#[derive(Debug)]
pub struct Report {
    /// Broken promises.
    pub findings: Vec<String>,
    /// Requests that were sent.
    pub sent: usize,
    /// Requests that were answered in whole.
    pub delivered: u64,
    /// Answers by status, sorted.
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

impl Ledger {
    fn book(&self) -> std::sync::MutexGuard<'_, Book> {
        self.book.lock().expect("no thread panics while it writes")
    }

    /// Notes a broken promise.
    pub fn find(&self, finding: String) {
        self.book().findings.push(finding);
    }

    /// Notes a request before its first byte is sent.
    pub fn send(&self, id: &str, sent: Sent) {
        self.book().sent.insert(id.to_owned(), sent);
    }

    /// Notes that the store has acknowledged that a key no longer holds.
    pub fn revoke(&self, key: &str) {
        self.book().revoked.insert(key.to_owned(), Instant::now());
    }

    /// Notes that an upstream begins to run a request.
    pub fn run(&self, upstream: &str, message: &Message) {
        let id = message.field("x-fireflywind-request-id").unwrap_or("-");
        let mut book = self.book();
        let Some(sent) = book.sent.get(id).cloned() else {
            book.findings
                .push(format!("{id}: {upstream} runs what no client sent"));
            return;
        };
        let runs = book.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        let mut find = |what: &str| {
            let (target, account) = (&sent.target, &sent.account);
            let finding = format!("{id}: {upstream} {what} ({target} of {account})");
            book.findings.push(finding);
        };
        if runs > sent.kind.most_runs() {
            find("runs it once too often");
        }
        let target = format!("{} {}", message.word(0), message.word(1));
        if target != sent.target || message.body != sent.body {
            find("gets another request");
        }
        if message.field("x-fireflywind-tenant") != Some(&*sent.account) {
            find("gets another account");
        }
        if message.field("authorization").is_some() {
            find("gets the key");
        }
        if let Some(status) = book.refused.get(id) {
            let finding = format!("{id}: {upstream} runs it after {status}");
            book.findings.push(finding);
        }
        let revoked = book.revoked.get(&sent.key);
        if revoked.is_some_and(|at| sent.at > *at + REVOCATION) {
            let finding = format!("{id}: {upstream} runs it with a revoked key");
            book.findings.push(finding);
        }
    }

    /// Notes an answer of a gateway; `is_own` if it bears no upstream's signature.
    pub fn answer(&self, id: &str, status: u16, is_own: bool) {
        let mut book = self.book();
        *book.answers.entry(status).or_default() += 1;
        let says_not_run = is_own && matches!(status, 408 | 421 | 429 | 503);
        if !says_not_run {
            return;
        }
        book.refused.insert(id.to_owned(), status);
        let kind = book.sent.get(id).map(|s| s.kind);
        if kind == Some(Kind::Order) && book.runs.contains_key(id) {
            let finding = format!("{id}: {status} although it ran");
            book.findings.push(finding);
        }
    }

    /// Notes an answer that was whole and right.
    pub fn deliver(&self) {
        self.book().delivered += 1;
    }

    /// Returns how many answers were whole and right.
    pub fn delivered(&self) -> u64 {
        self.book().delivered
    }

    /// Returns what the run came to.
    pub fn report(&self) -> Report {
        let book = self.book();
        let mut answers: Vec<_> = book.answers.iter().map(|(s, n)| (*s, *n)).collect();
        answers.sort_unstable();
        Report {
            findings: book.findings.clone(),
            sent: book.sent.len(),
            delivered: book.delivered,
            answers,
        }
    }
}
