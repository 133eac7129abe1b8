//! One attempt of a request at one upstream, from opening the connection to the end of the answer.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};

use crate::platform::headers;
use crate::router::attempt::AttemptFailure;
use crate::router::cascade::{Decision, EscalationInput};
use crate::router::fleet::Upstream;
use crate::router::hash;
use crate::router::health::AttemptOutcome;
use crate::router::rollout::{Answer, Phase, RequestProfile};
use crate::router::silence_policy::Limits;
use crate::router::table::RequestKind;
use crate::units::Millis;

use super::choose::Choice;
use super::client::{After, ClientConn, Incoming};
use super::exchange::{self, ExchangeError};
use super::head::ResponseHead;
use super::job::Job;
use super::pool::Conn;
use super::reply::{self, BodyOut};
use super::shared::Shared;
use super::silence::{self, Silence};
use super::stream::{self, Relay, RelayEnd};

/// Time limit for opening a connection; a lost packet is retransmitted only after a second.
const CONNECT_TIMEOUT: Millis = Millis(350);

/// Longest idle time of a pooled connection for a request that must not run twice. The shorter it is, the
/// less likely the request crosses the upstream's close, which leaves the outcome unknown.
const FRESH_IDLE: Millis = Millis(1_000);

/// Shortest time after which an attempt at a silent upstream is abandoned for another upstream.
const MIN_SILENCE: Millis = Millis(400);

/// Largest number of gateways that share the slack of the retry budget.
pub(super) const MAX_GATEWAYS: usize = 32;

/// The upstream of an attempt and the open connection to it.
struct Leg {
    upstream: Rc<Upstream>,
    /// Work queued at the upstream when it was chosen, in prompt tokens of the largest model.
    backlog: Option<u64>,
    conn: Conn,
    sent: Millis,
}

impl Leg {
    /// Records that bytes arrived from the upstream.
    fn record_bytes(&self, shared: &Shared, now: Millis) {
        let upstream = &self.upstream;
        (shared.health.borrow_mut()).record_bytes(&upstream.id, upstream.boot, now);
    }
}

/// Counts a request's work as pending at an upstream until dropped.
struct Pending<'a> {
    shared: &'a Shared,
    upstream: &'a Upstream,
    work: u64,
}

impl<'a> Pending<'a> {
    fn start(shared: &'a Shared, upstream: &'a Upstream, work: u64) -> Self {
        let now = shared.clock.now();
        let mut health = shared.health.borrow_mut();
        health.add_pending(&upstream.id, upstream.boot, work, now);
        drop(health);
        Self {
            shared,
            upstream,
            work,
        }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut health = self.shared.health.borrow_mut();
        health.end_pending(&self.upstream.id, self.upstream.boot, self.work, now);
    }
}

pub(super) enum AttemptEnd {
    Delivered {
        status: u16,
        after: After,
    },
    ClientGone,
    Broken,
    /// Not answered; another attempt may follow.
    Retry(AttemptFailure),
    /// The request is sent to this larger model, because the answering model reported only this confidence.
    Escalate(usize, u8),
    /// An upstream's error response, to be delivered if no later attempt succeeds.
    Failure(Box<ResponseHead>, Bytes),
    /// The request's deadline has passed; the upstream may have run the request.
    TimedOut,
}

pub(super) async fn attempt(
    shared: &Rc<Shared>,
    client: &mut ClientConn,
    req: &Incoming,
    job: &Job,
    choice: &Choice,
    relay: &mut Relay,
    can_move: bool,
) -> AttemptEnd {
    let upstream = &choice.upstream;
    let mut leg = match open_leg(shared, job, choice).await {
        Ok(leg) => leg,
        Err(end) => return end,
    };
    let message = encode(shared, req, job, upstream, relay);
    let pending = Pending::start(shared, upstream, job.work(shared));
    note_send(shared, job, upstream);
    let head = {
        let last = Cell::new(leg.sent);
        let silence = silence::wait(
            job.watched(shared, upstream, head_limits(shared, job), can_move),
            &last,
        );
        // The wait also covers sending, which blocks if the upstream does not read.
        let exchanged = async {
            exchange::send(&mut leg.conn, &message).await?;
            exchange::read_head(&mut leg.conn, &job.id, job.to_head).await
        };
        tokio::select! {
            biased;
            head = exchanged => head,
            () = client.closed() => return AttemptEnd::ClientGone,
            silence = silence => return silent(shared, job, upstream, leg.sent, silence),
        }
    };
    drop(pending);
    let head = match head {
        Ok(head) => head,
        Err(error) => return lost(shared, job, &leg, &error),
    };
    leg.record_bytes(shared, shared.clock.now());
    answer(shared, client, job, leg, head, relay, can_move).await
}

/// Counts and logs a request that is sent to an upstream that leaves.
fn note_send(shared: &Shared, job: &Job, upstream: &Upstream) {
    let now = shared.clock.now();
    let mut departures = shared.departures.borrow_mut();
    let Some(departure) = departures.record_send(&upstream.id, upstream.boot, now) else {
        return;
    };
    shared.metrics.event("sent_to_leaving");
    log::warn!(event = "sent_to_leaving", request:% = String::from_utf8_lossy(&job.id), upstream:% = upstream.id,
        word = departure.kind.name(), since_word_ms = now.since(departure.recorded_at).0,
        word_age_ms = departure.max_notice_age.0; "");
}

/// Takes an idle connection from the pool or opens a new one.
async fn open_leg(shared: &Shared, job: &Job, choice: &Choice) -> Result<Leg, AttemptEnd> {
    let upstream = &choice.upstream;
    let now = shared.clock.now();
    let max_idle = match job.route.kind {
        RequestKind::AtMostOnce | RequestKind::Stream => FRESH_IDLE,
        RequestKind::Idempotent | RequestKind::ResumableStream => Millis(u64::MAX),
    };
    let kept = (shared.pool.borrow_mut()).take(&upstream.id, upstream.boot, now, max_idle);
    let conn = if let Some(conn) = kept {
        conn
    } else {
        shared.metrics.event("upstream_connection");
        let left = job.deadline.since(now).min(CONNECT_TIMEOUT);
        let connect = exchange::connect(upstream.addr);
        let connected = actix_rt::time::timeout(left.duration(), connect).await;
        let Ok(Ok(conn)) = connected else {
            observe(shared, upstream, AttemptOutcome::Silent, "connect");
            return Err(AttemptEnd::Retry(AttemptFailure::NotSent));
        };
        let now = shared.clock.now();
        if !shared
            .fleet
            .borrow()
            .is_ready(&upstream.id, upstream.boot, now)
        {
            log::info!(event = "attempt_withdrawn", request:% = String::from_utf8_lossy(&job.id),
                upstream:% = upstream.id; "");
            return Err(AttemptEnd::Retry(AttemptFailure::NotSent));
        }
        conn
    };
    Ok(Leg {
        upstream: Rc::clone(upstream),
        backlog: choice.backlog,
        conn,
        sent: shared.clock.now(),
    })
}

/// Returns how long an upstream may be silent before its answer begins, and within an unstreamed answer.
fn head_limits(shared: &Shared, job: &Job) -> Limits {
    let goal = job.route.latency_target.0;
    let (silent, busy) = if job.route.kind.is_stream() {
        (Millis(goal * 5 / 10), Millis(goal * 4))
    } else {
        (Millis(goal * 2), Millis(goal * 3))
    };
    let silent = silent.max(MIN_SILENCE);
    Limits {
        silent,
        busy: busy.max(silent),
        deadline: job.deadline,
        can_probe: job.is_engine(shared),
    }
}

fn observe(shared: &Shared, upstream: &Upstream, seen: AttemptOutcome, what: &str) {
    let now = shared.clock.now();
    let mut health = shared.health.borrow_mut();
    let is_ejected = health.observe(&upstream.id, upstream.boot, seen, now);
    if is_ejected {
        shared.metrics.event("upstream_ejected");
        log::warn!(event = "ejected", upstream:% = upstream.id, what = what; "");
    }
}

pub(super) fn observe_version(shared: &Shared, job: &Job, upstream: &Upstream, answer: Answer) {
    let mut rollouts = shared.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut(&job.service) else {
        return;
    };
    let length = job.size.prompt.max(1).ilog2();
    let kind = RequestProfile {
        route: hash(job.route.name.as_bytes()),
        length: u8::try_from(length).unwrap_or(u8::MAX),
        model: u8::try_from(job.model.unwrap_or(0)).unwrap_or(u8::MAX),
    };
    let now = shared.clock.now();
    let mark = rollout.observe(&upstream.version, kind, answer, now);
    if rollout.phase() == Phase::Active {
        let mut health = shared.health.borrow_mut();
        (health.entry(&upstream.id, upstream.boot, now).answer_counts).count(answer, mark);
    }
}

pub(super) fn take_budget(shared: &Shared, job: &Job) -> bool {
    let now = shared.clock.now();
    let allowed = shared.with_budget(&job.service, |b| b.take(now, MAX_GATEWAYS));
    if !allowed {
        shared.metrics.event("retry_budget_empty");
    }
    allowed
}

fn lost(shared: &Shared, job: &Job, leg: &Leg, error: &ExchangeError) -> AttemptEnd {
    // The upstream may close an idle connection at any time; only a new one shows a fault.
    if !leg.conn.is_reused {
        observe(shared, &leg.upstream, AttemptOutcome::Broken, error.name());
    }
    log::info!(event = "attempt_lost", request:% = String::from_utf8_lossy(&job.id),
        upstream:% = leg.upstream.id, error = error.name(), reused = leg.conn.is_reused; "");
    AttemptEnd::Retry(AttemptFailure::Lost)
}

fn silent(
    shared: &Shared,
    job: &Job,
    upstream: &Upstream,
    sent: Millis,
    silence: Silence,
) -> AttemptEnd {
    let waited = shared.clock.now().since(sent);
    log::info!(event = "attempt_silent", request:% = String::from_utf8_lossy(&job.id),
        upstream:% = upstream.id, waited_ms = waited.0, end:? = silence; "");
    match silence {
        Silence::Leave => {
            observe(shared, upstream, AttemptOutcome::Silent, "silent");
            AttemptEnd::Retry(AttemptFailure::Lost)
        }
        Silence::TimedOut => AttemptEnd::TimedOut,
    }
}

/// Encodes the request with the header fields that the gateway adds for the upstream.
fn encode(
    shared: &Shared,
    req: &Incoming,
    job: &Job,
    upstream: &Upstream,
    relay: &Relay,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(req.body.len() + 1_024);
    out.put_slice(&req.head.method);
    out.put_slice(b" ");
    out.put_slice(&req.head.target);
    out.put_slice(b" HTTP/1.1\r\n");
    let has_accounts = shared.table.borrow().has_accounts();
    let names_model = job.model.is_some();
    reply::copy_fields(&mut out, &req.head.fields, |name| {
        let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        headers::is_own(name)
            || is("expect")
            || (has_accounts && is(headers::AUTHORIZATION))
            || (names_model && is(headers::MODEL))
            || is(headers::LAST_EVENT_ID)
    });
    let mut field = |name: &str, value: &[u8]| {
        out.put_slice(name.as_bytes());
        out.put_slice(b": ");
        out.put_slice(value);
        out.put_slice(b"\r\n");
    };
    let left = job.deadline.since(shared.clock.now()).0.max(1);
    field(headers::DEADLINE_MS, left.to_string().as_bytes());
    field(headers::EXPECTED_UPSTREAM, upstream.id.as_bytes());
    if let Some(account) = &job.account {
        field(headers::ACCOUNT, account.name.as_bytes());
    }
    if let Some(model) = job.model {
        field(headers::MODEL, job.route.models[model].as_bytes());
    }
    if job.route.has_prompts {
        let priority = job.priority().min(9);
        field(headers::ENGINE_PRIORITY, priority.to_string().as_bytes());
    }
    if let Some(id) = relay.last_id() {
        field(headers::LAST_EVENT_ID, id.to_string().as_bytes());
    }
    if !req.body.is_empty() || req.head.method.as_ref() != b"GET" {
        field("Content-Length", req.body.len().to_string().as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(&req.body);
    out
}

async fn answer(
    shared: &Rc<Shared>,
    client: &mut ClientConn,
    job: &Job,
    mut leg: Leg,
    head: ResponseHead,
    relay: &mut Relay,
    can_move: bool,
) -> AttemptEnd {
    if let Some(text) = head.fields.text("keep-alive") {
        leg.conn.set_keep_alive(text);
    }
    let is_success = (200..300).contains(&head.status);
    if is_success && job.route.kind.is_stream() && !job.to_head {
        return answer_stream(shared, client, job, leg, head, relay, can_move).await;
    }
    let body = {
        let last = Cell::new(shared.clock.now());
        let upstream = Rc::clone(&leg.upstream);
        let sent = leg.sent;
        let silence = silence::wait(
            job.watched(shared, &upstream, head_limits(shared, job), can_move),
            &last,
        );
        let read = exchange::read_whole(&mut leg.conn, &head, &shared.held_bytes);
        tokio::select! {
            biased;
            body = read => body,
            () = client.closed() => return AttemptEnd::ClientGone,
            silence = silence => return silent(shared, job, &upstream, sent, silence),
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            observe_version(shared, job, &leg.upstream, Answer::Broken);
            return lost(shared, job, &leg, &error);
        }
    };
    let upstream = Rc::clone(&leg.upstream);
    let first_byte = shared.clock.now().since(leg.sent);
    keep(shared, leg, &head);
    if head.status == 421 || head.fields.get(headers::NOT_RUN).is_some() && head.status != 400 {
        let seen = if head.status == 421 {
            AttemptOutcome::Silent
        } else {
            AttemptOutcome::Full
        };
        observe(shared, &upstream, seen, "refused");
        log::info!(event = "attempt_refused", request:% = String::from_utf8_lossy(&job.id),
            upstream:% = upstream.id, status = head.status; "");
        return AttemptEnd::Retry(AttemptFailure::Refused);
    }
    if relay.has_begun() {
        observe(shared, &upstream, AttemptOutcome::Error, "resume_failed");
        return AttemptEnd::Retry(AttemptFailure::Failed);
    }
    if head.status >= 500 {
        observe(shared, &upstream, AttemptOutcome::Error, "error");
        observe_version(shared, job, &upstream, Answer::Failed);
        if job.route.kind.is_repeatable() && can_move {
            return AttemptEnd::Failure(Box::new(head), body);
        }
    } else {
        observe(shared, &upstream, AttemptOutcome::Answer, "answer");
        observe_version(shared, job, &upstream, Answer::Good(first_byte));
    }
    let closes = shared.closes(job.keep_alive);
    deliver(client, job, &head, &body, closes).await
}

/// Returns the connection to the pool if it can carry another request.
fn keep(shared: &Shared, leg: Leg, head: &ResponseHead) {
    let Leg { upstream, conn, .. } = leg;
    if !head.keep_alive || !conn.buf.is_empty() {
        return;
    }
    let now = shared.clock.now();
    if !shared
        .fleet
        .borrow()
        .is_ready(&upstream.id, upstream.boot, now)
    {
        return;
    }
    (shared.pool.borrow_mut()).put(&upstream.id, upstream.boot, upstream.addr, conn, now);
}

pub(super) async fn deliver(
    client: &mut ClientConn,
    job: &Job,
    head: &ResponseHead,
    body: &[u8],
    closes: bool,
) -> AttemptEnd {
    let mut out = BytesMut::with_capacity(body.len() + 512);
    let framing = if job.to_head {
        BodyOut::None
    } else {
        BodyOut::Length(body.len())
    };
    reply::write_head(&mut out, head, framing, closes);
    out.put_slice(body);
    match client.write(&out).await {
        Ok(()) => AttemptEnd::Delivered {
            status: head.status,
            after: After::answer(closes),
        },
        Err(_) => AttemptEnd::ClientGone,
    }
}

async fn answer_stream(
    shared: &Rc<Shared>,
    client: &mut ClientConn,
    job: &Job,
    mut leg: Leg,
    head: ResponseHead,
    relay: &mut Relay,
    can_move: bool,
) -> AttemptEnd {
    let first_byte = shared.clock.now().since(leg.sent);
    observe(shared, &leg.upstream, AttemptOutcome::Answer, "stream");
    observe_version(shared, job, &leg.upstream, Answer::Good(first_byte));
    if let Some(backlog) = leg.backlog.filter(|_| job.asks_larger()) {
        let work = backlog + job.work(shared);
        shared.with_lateness(&job.service, |l| l.observe_first_byte(work, first_byte));
    }
    if let Some(model) = job.model.filter(|_| !relay.has_begun()) {
        let opinion = EscalationInput {
            model,
            models: job.route.models.len(),
            confidence: (head.fields.number(headers::CONFIDENCE)).and_then(|c| c.try_into().ok()),
            can_send: can_move,
            late_probability: chance_late(shared, job),
        };
        let verdict = shared.with_cascade(&job.route.name, |cascade| {
            if let (Some(earlier), Some(confidence)) = (job.dropped, opinion.confidence) {
                cascade.observe(earlier, (model, confidence));
            }
            cascade.decide(opinion)
        });
        log::info!(event = "confidence", request:% = String::from_utf8_lossy(&job.id), model = model,
            confidence = opinion.confidence.map_or(-1, i32::from), verdict:? = verdict,
            first_byte_ms = first_byte.0, chance_late:? = opinion.late_probability; "");
        if let Decision::Escalate(larger) = verdict
            && take_budget(shared, job)
        {
            let confidence = opinion.confidence.unwrap_or_default();
            return AttemptEnd::Escalate(larger, confidence);
        }
    }
    let closes = shared.closes(job.keep_alive);
    let upstream = Rc::clone(&leg.upstream);
    let watched = job.watched(shared, &upstream, stream::limits(shared, job), can_move);
    let end = stream::relay(watched, client, job, &mut leg.conn, &head, relay, closes).await;
    match end {
        RelayEnd::Complete => {
            let status = head.status;
            keep(shared, leg, &head);
            AttemptEnd::Delivered {
                status,
                after: After::answer(closes),
            }
        }
        RelayEnd::ClientGone => AttemptEnd::ClientGone,
        RelayEnd::Lost(error) => {
            observe_version(shared, job, &leg.upstream, Answer::Broken);
            lost_midway(shared, job, &leg, &error)
        }
        RelayEnd::Silent(Silence::TimedOut) => AttemptEnd::TimedOut,
        RelayEnd::Silent(Silence::Leave) => {
            observe(shared, &leg.upstream, AttemptOutcome::Silent, "gap");
            lost_midway(shared, job, &leg, &ExchangeError::Garbled("gap"))
        }
    }
}

/// Returns the probability that an answer of the largest model would miss the route's latency target.
fn chance_late(shared: &Shared, job: &Job) -> f64 {
    let now = shared.clock.now();
    let left = (job.arrived + job.route.latency_target).since(now);
    shared.with_lateness(&job.service, |l| l.chance(job.size.prompt, left, now))
}

fn lost_midway(shared: &Shared, job: &Job, leg: &Leg, error: &ExchangeError) -> AttemptEnd {
    observe(shared, &leg.upstream, AttemptOutcome::Broken, error.name());
    log::info!(event = "stream_lost", request:% = String::from_utf8_lossy(&job.id),
        upstream:% = leg.upstream.id, error = error.name(); "");
    if job.route.kind == RequestKind::ResumableStream {
        AttemptEnd::Retry(AttemptFailure::Lost)
    } else {
        AttemptEnd::Broken
    }
}
