//! One attempt of a request at one upstream, from opening the connection to the end of the answer.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};

use crate::platform::headers;
use crate::router::attempt::AttemptFailure;
use crate::router::cascade::{Decision, EscalationInput};
use crate::router::demand::ModelClass;
use crate::router::fleet::Upstream;
use crate::router::hash;
use crate::router::health::AttemptOutcome;
use crate::router::pace::{Measure, PaceCause};
use crate::router::rollout::{Answer, AnswerGrade, Phase, RequestProfile};
use crate::router::silence_policy::Limits;
use crate::router::table::RequestKind;
use crate::suspect::RunEnd;
use crate::units::Millis;

use super::answer_times;
use super::choose::Choice;
use super::client::{AfterAnswer, ClientConn, IncomingRequest};
use super::containment::RunGuard;
use super::crash;
use super::exchange::{self, ExchangeError, HeldBody};
use super::head::{Framing, ResponseHead};
use super::job::Job;
use super::notices;
use super::places;
use super::pool::Conn;
use super::reply::{self, BodyFraming};
use super::shared::Shared;
use super::silence::{self, SilenceOutcome};
use super::stream::{self, Relay, RelayEnd};

/// Time limit for opening a connection; a lost packet is retransmitted only after a second.
const CONNECT_TIMEOUT: Millis = Millis(350);

/// Longest idle time of a pooled connection for a request that must not run twice. The shorter it is, the
/// less likely the request crosses the upstream's close, which leaves the outcome unknown.
const NON_REPEATABLE_MAX_IDLE: Millis = Millis(1_000);

/// Shortest time after which an attempt at a silent upstream is abandoned for another upstream.
const MIN_SILENCE_TIMEOUT: Millis = Millis(400);

/// Largest body that is copied behind its head, so that both are sent at once; a larger one is sent by itself and takes
/// its memory only once.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// The upstream of an attempt and the open connection to it.
struct OpenAttempt {
    upstream: Rc<Upstream>,
    /// Work queued at the upstream when it was chosen, in prompt tokens of the largest model.
    backlog: Option<u64>,
    conn: Conn,
    sent_at: Millis,
    /// When the head of the answer arrived.
    began_at: Option<Millis>,
}

impl OpenAttempt {
    /// Returns for how long the answer has gone on, in milliseconds, or -1 if it has not begun.
    fn began_ms(&self, now: Millis) -> i128 {
        self.began_at.map_or(-1, |at| i128::from(now.since(at).0))
    }

    /// Records that bytes arrived from the upstream.
    fn record_bytes(&self, shared: &Shared, now: Millis) {
        let upstream = &self.upstream;
        (shared.health.borrow_mut()).record_bytes(&upstream.id, upstream.boot, now);
    }
}

/// Counts a request's work as pending at an upstream until dropped.
struct PendingWork<'a> {
    shared: &'a Shared,
    upstream: &'a Upstream,
    work: u64,
}

impl<'a> PendingWork<'a> {
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

impl Drop for PendingWork<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut health = self.shared.health.borrow_mut();
        health.end_pending(&self.upstream.id, self.upstream.boot, self.work, now);
    }
}

pub(super) enum AttemptEnd {
    Delivered {
        status: u16,
        after: AfterAnswer,
    },
    ClientGone,
    Broken,
    /// Not answered; another attempt may follow.
    Retry(AttemptFailure),
    /// The request is sent to this larger model, because the answering model reported only this confidence.
    Escalate(usize, u8),
    /// An upstream's error response, to be delivered if no later attempt succeeds.
    Failure(Box<ResponseHead>, HeldBody),
    /// The request's deadline has passed; the upstream may have run the request.
    TimedOut,
}

pub(super) async fn attempt(
    shared: &Rc<Shared>,
    client: &mut ClientConn,
    req: &IncomingRequest,
    job: &Job,
    choice: &Choice,
    relay: &mut Relay,
    can_reroute: bool,
) -> AttemptEnd {
    let upstream = &choice.upstream;
    let mut open = match open_attempt(shared, job, choice).await {
        Ok(open) => open,
        Err(end) => return end,
    };
    let message = encode(shared, req, job, upstream, relay);
    (job.sent_to.borrow_mut()).push(Rc::clone(&upstream.id));
    let mut run = RunGuard::start(shared, job, upstream);
    let pending = PendingWork::start(shared, upstream, job.work(shared));
    record_send_to_leaving(shared, job, upstream);
    let head = {
        let last_progress_at = Cell::new(open.sent_at);
        let silence = silence::wait(
            job.silence_watch(shared, upstream, head_limits(shared, job), can_reroute),
            &last_progress_at,
        );
        // The wait also covers sending, which does not end if the upstream does not read.
        let exchanged = async {
            let body = if req.body.len() > MAX_COPIED_BYTES {
                req.body.clone()
            } else {
                Bytes::new()
            };
            exchange::start_sending(&mut open.conn, message, body);
            exchange::read_head(&mut open.conn, &job.id, job.is_head_request).await
        };
        tokio::select! {
            biased;
            head = exchanged => head,
            () = client.closed() => {
                observe_given_up(shared, job, upstream, open.sent_at);
                return AttemptEnd::ClientGone;
            }
            silence = silence => return upstream_silent(shared, job, upstream, open.sent_at, silence),
            () = shared.end_of_stop() => return AttemptEnd::TimedOut,
        }
    };
    drop(pending);
    let head = match head {
        Ok(head) => head,
        Err(error) => {
            if matches!(error, ExchangeError::Invalid(_)) {
                observe_version(shared, job, upstream, Answer::Failed);
            }
            return connection_lost(shared, job, &open, &error);
        }
    };
    let now = shared.clock.now();
    open.record_bytes(shared, now);
    open.began_at = Some(now);
    shared.record_run_begin(job, now);
    notices::observe(shared, job, upstream, &head, open.sent_at);
    let is_unframed = head.framing == Framing::UntilClose;
    let end = handle_answer(shared, client, job, open, head, relay, can_reroute).await;
    match &end {
        AttemptEnd::Retry(AttemptFailure::Refused) => run.set_end(RunEnd::NotRun),
        AttemptEnd::Delivered { .. } | AttemptEnd::Failure(..) => {
            run.set_end(RunEnd::Complete);
            if is_unframed {
                // An upstream that crashes between two events ends such an answer in the same way.
                crash::check(shared, upstream, shared.clock.now());
            }
        }
        _ => {}
    }
    end
}

/// Counts and logs a request that is sent to an upstream that leaves.
fn record_send_to_leaving(shared: &Shared, job: &Job, upstream: &Upstream) {
    let now = shared.clock.now();
    let mut departures = shared.departures.borrow_mut();
    let Some(departure) = departures.record_send(&upstream.id, upstream.boot, now) else {
        return;
    };
    shared.metrics.count_event("sent_to_leaving");
    log::warn!(event = "sent_to_leaving", request:% = String::from_utf8_lossy(&job.id), upstream:% = upstream.id,
        word = departure.kind.name(), since_word_ms = now.since(departure.recorded_at).0,
        word_age_ms = departure.max_notice_age.0; "");
}

/// Takes an idle connection from the pool or opens a new one.
async fn open_attempt(
    shared: &Shared,
    job: &Job,
    choice: &Choice,
) -> Result<OpenAttempt, AttemptEnd> {
    let upstream = &choice.upstream;
    let now = shared.clock.now();
    let max_idle = match job.route.kind {
        RequestKind::AtMostOnce | RequestKind::Stream => NON_REPEATABLE_MAX_IDLE,
        RequestKind::Idempotent | RequestKind::ResumableStream => Millis(u64::MAX),
    };
    let pooled = if job.needs_new_connection(upstream) {
        None
    } else {
        (shared.pool.borrow_mut()).take(&upstream.id, upstream.boot, now, max_idle)
    };
    let conn = if let Some(conn) = pooled {
        conn
    } else {
        shared.metrics.count_event("upstream_connection");
        let left = job.deadline.since(now).min(CONNECT_TIMEOUT);
        let connect = exchange::connect(upstream.addr, &shared.answer_memory);
        let connected = actix_rt::time::timeout(left.duration(), connect).await;
        let Ok(Ok(conn)) = connected else {
            if matches!(&connected, Ok(Err(error)) if crash::is_refused(error)) {
                crash::connection_refused(shared, upstream);
            }
            observe_outcome(shared, upstream, AttemptOutcome::Silent, "connect");
            shared.observe_cold_silence(upstream, shared.clock.now());
            return Err(AttemptEnd::Retry(AttemptFailure::NotSent));
        };
        let now = shared.clock.now();
        let is_ready = (shared.fleet.borrow()).is_ready(&upstream.id, upstream.boot, now);
        let is_paused = (shared.pauses.borrow()).is_paused(&upstream.id, upstream.boot, now);
        let is_barred = places::barrier(shared, job, upstream).is_some();
        if !is_ready || is_paused || is_barred {
            log::info!(event = "attempt_withdrawn", request:% = String::from_utf8_lossy(&job.id),
                upstream:% = upstream.id; "");
            return Err(AttemptEnd::Retry(AttemptFailure::NotSent));
        }
        conn
    };
    if !shared.may_send_cold(upstream, choice.turn) {
        log::info!(event = "attempt_withdrawn", request:% = String::from_utf8_lossy(&job.id),
            upstream:% = upstream.id, barrier = "cold"; "");
        shared.metrics.count_event("cold_turn_missed");
        let now = shared.clock.now();
        (shared.pool.borrow_mut()).put(&upstream.id, upstream.boot, upstream.addr, conn, now);
        return Err(AttemptEnd::Retry(AttemptFailure::NotSent));
    }
    Ok(OpenAttempt {
        upstream: Rc::clone(upstream),
        backlog: choice.backlog,
        conn,
        sent_at: shared.clock.now(),
        began_at: None,
    })
}

/// Returns how long an upstream may be silent before its answer begins, and within an unstreamed answer.
fn head_limits(shared: &Shared, job: &Job) -> Limits {
    let latency_ms = job.route.latency_target.0;
    let (silent, busy) = if job.route.kind.is_stream() {
        (Millis(latency_ms * 5 / 10), Millis(latency_ms * 4))
    } else {
        (Millis(latency_ms * 2), Millis(latency_ms * 3))
    };
    let silent = silent.max(MIN_SILENCE_TIMEOUT);
    Limits {
        silence_limit: silent,
        busy_limit: busy.max(silent),
        deadline: job.deadline,
        can_probe: job.is_engine(shared),
    }
}

fn observe_outcome(shared: &Shared, upstream: &Upstream, outcome: AttemptOutcome, cause: &str) {
    let now = shared.clock.now();
    let mut health = shared.health.borrow_mut();
    let is_ejected = health.observe(&upstream.id, upstream.boot, outcome, now);
    let ejected_until = health
        .entry(&upstream.id, upstream.boot, now)
        .ejected_until();
    drop(health);
    if outcome != AttemptOutcome::Answer {
        shared.observe_pace_failure(upstream);
    }
    if is_ejected {
        shared.begin_pace(upstream, PaceCause::Ejected, ejected_until);
        shared.metrics.count_event("upstream_ejected");
        log::warn!(event = "ejected", upstream:% = upstream.id, what = cause; "");
    }
}

pub(super) fn observe_version(shared: &Shared, job: &Job, upstream: &Upstream, answer: Answer) {
    match answer {
        Answer::Good(took) => shared.observe_pace(job, upstream, Measure::FirstByte, took),
        Answer::Paced(took) => shared.observe_pace(job, upstream, Measure::Events, took),
        Answer::Failed | Answer::Broken | Answer::Unanswered(_) => {}
    }
    let mut rollouts = shared.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut(&job.service) else {
        return;
    };
    let length = job.size.prompt.max(1).ilog2();
    let profile = RequestProfile {
        route: hash(job.route.name.as_bytes()),
        length: u8::try_from(length).unwrap_or(u8::MAX),
        model: u8::try_from(job.model.unwrap_or(0)).unwrap_or(u8::MAX),
    };
    let now = shared.clock.now();
    let grade = rollout.observe(&upstream.version, profile, answer, now);
    let is_open = matches!(answer, Answer::Unanswered(_)) && grade == AnswerGrade::Normal;
    if rollout.phase() == Phase::Active && !is_open {
        let mut health = shared.health.borrow_mut();
        (health.entry(&upstream.id, upstream.boot, now).answer_counts).count(answer, grade);
    }
}

/// Records that an answer was given up, by the client or by this gateway, before it was whole.
fn observe_given_up(shared: &Shared, job: &Job, upstream: &Upstream, sent_at: Millis) {
    let waited = shared.clock.now().since(sent_at);
    observe_version(shared, job, upstream, Answer::Unanswered(waited));
}

pub(super) fn take_retry_budget(shared: &Shared, job: &Job) -> bool {
    let now = shared.clock.now();
    let gateways = shared.gateways_sharing_budget(now);
    let allowed = shared.with_budget(&job.service, |b| b.take(now, gateways));
    if !allowed {
        shared.metrics.count_event("retry_budget_empty");
    }
    allowed
}

fn take_escalation_budget(shared: &Shared, job: &Job) -> bool {
    let now = shared.clock.now();
    let gateways = shared.gateways_sharing_budget(now);
    let allowed = shared.with_budget(&job.service, |b| b.take_for_escalation(now, gateways));
    if !allowed {
        shared.metrics.count_event("escalation_budget_empty");
    }
    allowed
}

fn connection_lost(
    shared: &Rc<Shared>,
    job: &Job,
    open: &OpenAttempt,
    error: &ExchangeError,
) -> AttemptEnd {
    // The upstream may close an idle connection at any time; only a new one shows a fault, unless bytes came that are no answer.
    if !open.conn.is_reused || matches!(error, ExchangeError::Invalid(_)) {
        observe_outcome(shared, &open.upstream, AttemptOutcome::Broken, error.name());
    }
    let now = shared.clock.now();
    shared.observe_cold_silence(&open.upstream, now);
    log::info!(event = "attempt_lost", request:% = String::from_utf8_lossy(&job.id),
        upstream:% = open.upstream.id, error = error.name(), reused = open.conn.is_reused,
        began_ms = open.began_ms(now), features:? = job.features; "");
    check_process(shared, open, error, now);
    AttemptEnd::Retry(AttemptFailure::Lost)
}

/// Checks whether the upstream's process has ended, if an answer broke off as it does then.
fn check_process(shared: &Rc<Shared>, open: &OpenAttempt, error: &ExchangeError, now: Millis) {
    match error {
        ExchangeError::Closed | ExchangeError::Broken(_) => {
            crash::check(shared, &open.upstream, now);
        }
        ExchangeError::Invalid(_) | ExchangeError::TooLong(_) => {}
    }
}

fn upstream_silent(
    shared: &Shared,
    job: &Job,
    upstream: &Upstream,
    sent_at: Millis,
    silence: SilenceOutcome,
) -> AttemptEnd {
    let waited = shared.clock.now().since(sent_at);
    observe_given_up(shared, job, upstream, sent_at);
    log::info!(event = "attempt_silent", request:% = String::from_utf8_lossy(&job.id),
        upstream:% = upstream.id, waited_ms = waited.0, end:? = silence; "");
    match silence {
        SilenceOutcome::Leave => {
            observe_outcome(shared, upstream, AttemptOutcome::Silent, "silent");
            AttemptEnd::Retry(AttemptFailure::Lost)
        }
        SilenceOutcome::TimedOut => AttemptEnd::TimedOut,
    }
}

/// Encodes the request with the header fields that the gateway adds for the upstream; a body of more than
/// [`MAX_COPIED_BYTES`] is left out.
fn encode(
    shared: &Shared,
    req: &IncomingRequest,
    job: &Job,
    upstream: &Upstream,
    relay: &Relay,
) -> BytesMut {
    let body = (req.body.len() <= MAX_COPIED_BYTES).then_some(&req.body[..]);
    let mut out = BytesMut::with_capacity(body.map_or(0, <[u8]>::len) + 1_024);
    out.put_slice(&req.head.method);
    out.put_slice(b" ");
    out.put_slice(&req.head.target);
    out.put_slice(b" HTTP/1.1\r\n");
    let has_accounts = shared.table.borrow().has_accounts();
    let chooses_model = job.model.is_some();
    reply::copy_fields(&mut out, &req.head.fields, |name| {
        let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        headers::is_gateway_only(name)
            || is("expect")
            || (has_accounts && is(headers::AUTHORIZATION))
            || (chooses_model && is(headers::MODEL))
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
    out.put_slice(body.unwrap_or_default());
    out
}

async fn handle_answer(
    shared: &Rc<Shared>,
    client: &mut ClientConn,
    job: &Job,
    mut open: OpenAttempt,
    head: ResponseHead,
    relay: &mut Relay,
    can_reroute: bool,
) -> AttemptEnd {
    if let Some(text) = head.fields.text("keep-alive") {
        open.conn.set_keep_alive(text);
    }
    let is_success = (200..300).contains(&head.status);
    let may_have_events = head.status != 204 || relay.has_begun();
    if is_success && may_have_events && job.route.kind.is_stream() && !job.is_head_request {
        return handle_stream(shared, client, job, open, head, relay, can_reroute).await;
    }
    let body = {
        let last_progress_at = Cell::new(shared.clock.now());
        let upstream = Rc::clone(&open.upstream);
        let sent_at = open.sent_at;
        let silence = silence::wait(
            job.silence_watch(shared, &upstream, head_limits(shared, job), can_reroute),
            &last_progress_at,
        );
        let read = exchange::read_whole_body(&mut open.conn, &head);
        tokio::select! {
            biased;
            body = read => body,
            () = client.closed() => {
                observe_given_up(shared, job, &upstream, sent_at);
                return AttemptEnd::ClientGone;
            }
            silence = silence => return upstream_silent(shared, job, &upstream, sent_at, silence),
            () = shared.end_of_stop() => return AttemptEnd::TimedOut,
        }
    };
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            observe_version(shared, job, &open.upstream, Answer::Broken);
            return connection_lost(shared, job, &open, &error);
        }
    };
    let upstream = Rc::clone(&open.upstream);
    let first_byte = shared.clock.now().since(open.sent_at);
    return_to_pool(shared, open, &head);
    if head.status == 421 || head.fields.get(headers::NOT_RUN).is_some() && head.status != 400 {
        let outcome = if head.status == 421 {
            AttemptOutcome::Silent
        } else {
            AttemptOutcome::Full
        };
        if !head.asks_for_pause() {
            observe_outcome(shared, &upstream, outcome, "refused");
        }
        log::info!(event = "attempt_refused", request:% = String::from_utf8_lossy(&job.id),
            upstream:% = upstream.id, status = head.status; "");
        return AttemptEnd::Retry(AttemptFailure::Refused);
    }
    if relay.has_begun() {
        observe_outcome(shared, &upstream, AttemptOutcome::Error, "resume_failed");
        return AttemptEnd::Retry(AttemptFailure::Failed);
    }
    if head.status >= 500 {
        if !head.asks_for_pause() {
            observe_outcome(shared, &upstream, AttemptOutcome::Error, "error");
        }
        observe_version(shared, job, &upstream, Answer::Failed);
        if job.route.kind.is_repeatable() && can_reroute {
            return AttemptEnd::Failure(Box::new(head), body);
        }
    } else {
        observe_outcome(shared, &upstream, AttemptOutcome::Answer, "answer");
        observe_version(shared, job, &upstream, Answer::Good(first_byte));
    }
    let closes = shared.closes(job.keep_alive);
    deliver(client, job, &head, &body, closes).await
}

/// Returns the connection to the pool if it can carry another request.
fn return_to_pool(shared: &Shared, open: OpenAttempt, head: &ResponseHead) {
    let OpenAttempt { upstream, conn, .. } = open;
    if !head.keep_alive || !conn.buf.is_empty() || !conn.upload.is_sent() {
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
    let copied = (body.len() <= MAX_COPIED_BYTES).then_some(body);
    let mut out = BytesMut::with_capacity(copied.map_or(0, <[u8]>::len) + 512);
    let framing = if job.is_head_request || head.status == 204 {
        BodyFraming::None
    } else {
        BodyFraming::Length(body.len())
    };
    reply::write_head(&mut out, head, framing, closes);
    out.put_slice(copied.unwrap_or_default());
    let mut written = client.write(&out).await;
    if copied.is_none() && written.is_ok() {
        written = client.write(body).await;
    }
    match written {
        Ok(()) => AttemptEnd::Delivered {
            status: head.status,
            after: AfterAnswer::from_close(closes),
        },
        Err(_) => AttemptEnd::ClientGone,
    }
}

async fn handle_stream(
    shared: &Rc<Shared>,
    client: &mut ClientConn,
    job: &Job,
    mut open: OpenAttempt,
    head: ResponseHead,
    relay: &mut Relay,
    can_reroute: bool,
) -> AttemptEnd {
    let first_byte = shared.clock.now().since(open.sent_at);
    observe_outcome(shared, &open.upstream, AttemptOutcome::Answer, "stream");
    observe_version(shared, job, &open.upstream, Answer::Good(first_byte));
    if let Some(backlog) = open.backlog.filter(|_| job.uses_larger_model()) {
        let work = job.work(shared);
        shared.with_lateness(&job.service, |l| {
            l.observe_first_byte(work, backlog, first_byte);
        });
    }
    if let Some(backlog) = open
        .backlog
        .filter(|_| shared.policy().orders_under_shortage)
    {
        let work = job.work(shared);
        shared.with_admission(&job.service, job.model_class(), |admission| {
            admission.observe_first_byte(work, backlog, first_byte);
        });
    }
    if let Some(model) = job.model.filter(|_| !relay.has_begun()) {
        let prices = answer_times::prices(shared, job, first_byte);
        let input = EscalationInput {
            model,
            models: job.route.models.len(),
            confidence: (head.fields.number(headers::CONFIDENCE)).and_then(|c| c.try_into().ok()),
            can_send: can_reroute && has_free_upstream(shared, job),
            late_now: f64::from(u8::from(time_left(shared, job) == Millis(0))),
            late_probability: late_probability(shared, job),
            relative_work: relative_work(shared, job),
            prices: &prices,
        };
        let decision = shared.with_cascade(&job.route.name, |cascade| {
            if let (Some(earlier), Some(confidence)) = (job.discarded, input.confidence) {
                cascade.observe(earlier, (model, confidence));
            }
            cascade.decide(input)
        });
        log::info!(event = "confidence", request:% = String::from_utf8_lossy(&job.id), model = model,
            confidence = input.confidence.map_or(-1, i32::from), verdict:? = decision,
            first_byte_ms = first_byte.0, chance_late:? = input.late_probability; "");
        if let Decision::Escalate(larger) = decision
            && take_escalation_budget(shared, job)
        {
            let confidence = input.confidence.unwrap_or_default();
            return AttemptEnd::Escalate(larger, confidence);
        }
    }
    let closes = shared.closes(job.keep_alive);
    let upstream = Rc::clone(&open.upstream);
    let watch = job.silence_watch(shared, &upstream, stream::limits(shared, job), can_reroute);
    let is_whole = !relay.has_begun() && job.resume_after.is_none();
    let end = stream::relay(watch, client, job, &mut open.conn, &head, relay, closes).await;
    match end {
        RelayEnd::Complete => {
            if let Some(events) = relay.last_id().filter(|_| is_whole) {
                answer_times::record_length(shared, job, events);
            }
            let status = head.status;
            return_to_pool(shared, open, &head);
            AttemptEnd::Delivered {
                status,
                after: AfterAnswer::from_close(closes),
            }
        }
        RelayEnd::ClientGone => AttemptEnd::ClientGone,
        RelayEnd::Lost(error) => {
            observe_version(shared, job, &open.upstream, Answer::Broken);
            stream_lost(shared, job, &open, &error)
        }
        RelayEnd::Silent(SilenceOutcome::TimedOut) => AttemptEnd::TimedOut,
        RelayEnd::Silent(SilenceOutcome::Leave) => {
            observe_outcome(shared, &open.upstream, AttemptOutcome::Silent, "gap");
            stream_lost(shared, job, &open, &ExchangeError::Invalid("gap"))
        }
    }
}

/// Returns whether the request may be sent to an upstream that wants no pause; an answer that is ready is not given up for a
/// wait or a refusal.
fn has_free_upstream(shared: &Shared, job: &Job) -> bool {
    let pauses = shared.pauses.borrow();
    let now = shared.clock.now();
    let fleet = shared.fleet.borrow();
    let mut ready = fleet.ready(&job.service, now);
    ready
        .any(|u| !pauses.is_paused(&u.id, u.boot, now) && places::barrier(shared, job, u).is_none())
}

/// Returns the probability that an answer of the largest model would miss the route's latency target.
fn late_probability(shared: &Shared, job: &Job) -> f64 {
    let now = shared.clock.now();
    let left = time_left(shared, job);
    shared.with_lateness(&job.service, |l| {
        l.late_probability(job.size.prompt, left, now)
    })
}

/// Returns the time left until the route's latency target.
fn time_left(shared: &Shared, job: &Job) -> Millis {
    (job.arrived + job.route.latency_target).since(shared.clock.now())
}

/// Returns the work of the request on the largest model relative to the mean of the larger models.
#[expect(
    clippy::cast_precision_loss,
    reason = "the work of a request is far below 2^52"
)]
fn relative_work(shared: &Shared, job: &Job) -> f64 {
    let mean = shared.with_demand(&job.service, |d| d.mean_work(ModelClass::Larger));
    job.size.work() as f64 / (mean as f64).max(1.0)
}

fn stream_lost(
    shared: &Rc<Shared>,
    job: &Job,
    open: &OpenAttempt,
    error: &ExchangeError,
) -> AttemptEnd {
    observe_outcome(shared, &open.upstream, AttemptOutcome::Broken, error.name());
    let now = shared.clock.now();
    log::info!(event = "stream_lost", request:% = String::from_utf8_lossy(&job.id),
        upstream:% = open.upstream.id, error = error.name(), began_ms = open.began_ms(now),
        features:? = job.features; "");
    check_process(shared, open, error, now);
    if job.route.kind == RequestKind::ResumableStream {
        AttemptEnd::Retry(AttemptFailure::Lost)
    } else {
        AttemptEnd::Broken
    }
}
