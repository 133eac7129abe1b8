//! Records what clients sent and received and what upstreams ran, and reports violations as findings.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::Message;
use crate::upstream::{NAMED_LIMIT, data_centre, is_crashing};

/// Longest time that a key may be accepted after the store has acknowledged its revocation.
pub const REVOCATION_DEADLINE: Duration = Duration::from_secs(5);

/// Number of crashes under requests after which these must no longer reach upstreams.
const CRASHES_TO_CONTAIN: usize = 5;

/// Time after a crash or a fault within which gateways must know of it.
const TOUCH: Duration = Duration::from_secs(3);

/// Number of crashing requests that may reach upstreams all the same.
const MAX_LATE_CRASHING: usize = 3;

/// Time in which the requests at an upstream that names a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Most requests in that time: one and a half times what the limit allows, and five.
const MAX_LIMITED_RUNS: usize = NAMED_LIMIT * 4 * 3 / 2 + 5;

/// Time after an answer of an upstream that leaves within which a gateway may still send requests to it.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Time after the store has acknowledged an evacuation within which upstreams there may still get requests.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Time after a refusal with a pause from which requests count.
const PAUSE_GRACE: Duration = Duration::from_millis(500);

/// Most requests at an upstream within a pause that it has asked a gateway for.
const MAX_PAUSED_ARRIVALS: usize = 2;

/// Number of sound generations from which their share of answers is checked.
const MIN_SOUND: u64 = 20;

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
    /// Whether it crashes the upstreams that answer it.
    pub is_crashing: bool,
    /// Method and target.
    pub target: String,
    pub body: Vec<u8>,
    /// API key.
    pub key: String,
    /// Account that holds the key.
    pub account: String,
    /// When it was sent.
    pub at: Instant,
    /// Gateway that it was sent to.
    pub gateway: SocketAddr,
}

/// Faults that excuse a gateway or an upstream.
#[derive(Debug)]
struct Excuse {
    ongoing: i32,
    last_change: Instant,
}

/// A pause that an upstream has asked a gateway for.
#[derive(Debug)]
struct Pause {
    asked_at: Instant,
    until: Instant,
    arrivals: usize,
}

#[derive(Debug, Default)]
struct History {
    sent: HashMap<String, SentRequest>,
    runs: HashMap<String, usize>,
    refused: HashMap<String, u16>,
    revoked: HashMap<String, Instant>,
    findings: Vec<String>,
    delivered: u64,
    crashes: usize,
    /// When the fifth upstream crashed under a request.
    fifth_crash: Option<Instant>,
    /// When a fault last began or ended.
    disturbed: Option<Instant>,
    /// Runs of crashing requests that came too late.
    late_crashing: usize,
    /// An upstream that names a limit, since when it has been told to, and its runs since gateways must know.
    limited: Option<(String, Instant)>,
    limited_runs: usize,
    /// Sound generations while crashing ones must be contained: answered, and refused or failed.
    sound: [u64; 2],
    answers: HashMap<u16, u64>,
    /// When a gateway first passed on that an upstream leaves.
    leaving: HashMap<(SocketAddr, String), Instant>,
    pauses: HashMap<(SocketAddr, String), Vec<Pause>>,
    /// Data centre that is evacuated, and since when.
    evacuated: Option<(&'static str, Instant)>,
    /// Gateways that are frozen and upstreams whose ways are disturbed, or were last at that time; by address or id.
    excused: HashMap<String, Excuse>,
}

impl History {
    fn is_excused(&self, gateway: SocketAddr, upstream: &str, since: Instant) -> bool {
        let keys = [gateway.to_string(), upstream.to_owned()];
        let mut excuses = keys.iter().filter_map(|key| self.excused.get(key));
        excuses.any(|excuse| excuse.ongoing > 0 || excuse.last_change >= since)
    }

    /// Returns whether crashing requests must be contained, and nothing else disturbs the gateways.
    fn is_settled(&self) -> bool {
        let has_passed = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() > TOUCH);
        has_passed(self.fifth_crash) && has_passed(self.disturbed)
    }
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
    /// Number of upstreams that requests have crashed.
    pub crashes: usize,
    /// Sound generations after the crashes: answered, and refused or failed.
    pub sound: [u64; 2],
    /// Number of answers by status, sorted.
    pub answers: Vec<(u16, u64)>,
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (sent, delivered, crashes) = (self.sent, self.delivered, self.crashes);
        let [answered, refused] = self.sound;
        write!(
            f,
            "sent {sent}, delivered {delivered}, crashes {crashes}, sound ones after them {answered} answered and {refused} not, by status {:?}",
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

    /// Records that a fault begins or ends.
    pub fn record_disturbance(&self) {
        self.history().disturbed = Some(Instant::now());
    }

    /// Records that a request has crashed an upstream.
    pub fn record_crash(&self) {
        let mut history = self.history();
        history.crashes += 1;
        if history.crashes == CRASHES_TO_CONTAIN {
            history.fifth_crash = Some(Instant::now());
        }
    }

    /// Records that a request that crashes upstreams reaches one.
    fn record_crashing_run(&self, id: &str) {
        let mut history = self.history();
        if !history.is_settled() {
            return;
        }
        history.late_crashing += 1;
        if history.late_crashing == MAX_LATE_CRASHING + 1 {
            let finding = format!(
                "{id}: still sent after {} upstreams crashed",
                history.crashes
            );
            history.findings.push(finding);
        }
    }

    /// Records that an upstream names a limit from now on.
    pub fn record_limit(&self, upstream: &str) {
        self.history().limited = Some((upstream.to_owned(), Instant::now()));
    }

    /// Counts a run at the upstream that names a limit, in the window that is checked.
    fn record_limited_run(&self, upstream: &str) {
        let mut history = self.history();
        let limited = history.limited.as_ref().filter(|(id, _)| id == upstream);
        let named_for = limited.map(|(_, at)| at.elapsed());
        let is_checked = named_for.is_some_and(|t| t > TOUCH && t <= TOUCH + LIMIT_WINDOW);
        history.limited_runs += usize::from(is_checked);
        if is_checked && history.limited_runs == MAX_LIMITED_RUNS + 1 {
            let finding = format!(
                "{upstream}: more than {MAX_LIMITED_RUNS} requests at a limit of {NAMED_LIMIT} a second"
            );
            history.findings.push(finding);
        }
    }

    /// Records that faults that excuse a gateway or an upstream, by address or id, begin (1), end (-1), or strike once (0).
    pub fn record_excuse(&self, key: &str, change: i32) {
        let mut history = self.history();
        let excuse = (history.excused.entry(key.to_owned())).or_insert_with(|| Excuse {
            ongoing: 0,
            last_change: Instant::now(),
        });
        // An upstream that replaces another one has not seen the beginning of a fault.
        excuse.ongoing = (excuse.ongoing + change).max(0);
        excuse.last_change = Instant::now();
    }

    /// Records that the store has acknowledged the evacuation of a data centre, or that it was taken back.
    pub fn record_evacuation(&self, data_centre: Option<&'static str>) {
        self.history().evacuated = data_centre.map(|name| (name, Instant::now()));
    }

    /// Records that a gateway has passed on an answer of an upstream that leaves.
    pub fn record_leaving(&self, gateway: SocketAddr, upstream: &str) {
        let mut history = self.history();
        let key = (gateway, upstream.to_owned());
        history.leaving.entry(key).or_insert_with(Instant::now);
    }

    /// Records that an upstream turns a request away and asks its gateway for a pause.
    pub fn record_pause(&self, upstream: &str, id: &str, pause: Duration) {
        let mut history = self.history();
        let Some(gateway) = history.sent.get(id).map(|s| s.gateway) else {
            return;
        };
        let now = Instant::now();
        let key = (gateway, upstream.to_owned());
        history.pauses.entry(key).or_default().push(Pause {
            asked_at: now,
            until: now + pause,
            arrivals: 0,
        });
    }

    /// Records that a request reaches an upstream, whether it runs or not, and checks that it may.
    pub fn record_arrival(&self, upstream: &str, id: &str) {
        let mut history = self.history();
        let Some((gateway, sent_at)) = history.sent.get(id).map(|s| (s.gateway, s.at)) else {
            return;
        };
        if let Some((evacuated, since)) = history.evacuated
            && data_centre(upstream) == evacuated
            && history.disturbed.unwrap_or(since).max(since).elapsed() > EVACUATION_BOUND
        {
            let finding = format!("{id}: {gateway} sends it to {upstream}, which is evacuated");
            history.findings.push(finding);
        }
        let key = (gateway, upstream.to_owned());
        if let Some(told_at) = history.leaving.get(&key).copied()
            && sent_at > told_at + DRAIN_BOUND
            && !history.is_excused(gateway, upstream, told_at)
        {
            let finding = format!("{id}: {gateway} sends it to {upstream}, which leaves");
            history.findings.push(finding);
        }
        let now = Instant::now();
        let asked = history.pauses.get(&key);
        let oldest = asked.and_then(|pauses| pauses.iter().map(|p| p.asked_at).min());
        if oldest.is_none_or(|oldest| history.is_excused(gateway, upstream, oldest)) {
            history.pauses.remove(&key);
            return;
        }
        let mut is_exceeded = false;
        for pause in history.pauses.entry(key).or_default() {
            if now > pause.asked_at + PAUSE_GRACE && now < pause.until {
                pause.arrivals += 1;
                is_exceeded |= pause.arrivals == MAX_PAUSED_ARRIVALS + 1;
            }
        }
        if is_exceeded {
            let finding = format!("{id}: {gateway} sends it to {upstream}, which wants a pause");
            history.findings.push(finding);
        }
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
        if is_crashing(message) {
            self.record_crashing_run(id);
        }
        self.record_limited_run(upstream);
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
        if !(200..600).contains(&status) {
            let finding = format!("{id}: {status}, which is no status of an answer");
            history.findings.push(finding);
        }
        let is_sound = |s: &SentRequest| s.kind == Kind::Generation && !s.is_crashing;
        if history.is_settled() && status != 401 && history.sent.get(id).is_some_and(is_sound) {
            history.sound[usize::from(status != 200)] += 1;
        }
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
        let mut history = self.history();
        let [answered, refused] = history.sound;
        if answered + refused >= MIN_SOUND && refused > answered {
            let finding = format!(
                "{refused} of {} sound generations were refused",
                answered + refused
            );
            history.findings.push(finding);
        }
        let mut answers: Vec<_> = history.answers.iter().map(|(s, n)| (*s, *n)).collect();
        answers.sort_unstable();
        Report {
            findings: history.findings.clone(),
            sent: history.sent.len(),
            delivered: history.delivered,
            crashes: history.crashes,
            sound: history.sound,
            answers,
        }
    }
}
