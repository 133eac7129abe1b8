//! One request: admission, attempts, and the answer to the client.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};

use crate::platform::headers;
use crate::router::attempt::{Attempts, Ended, Promise};
use crate::router::cascade::{Cascade, Opinion, Verdict};
use crate::router::fleet::Upstream;
use crate::router::health::Seen;
use crate::router::patience::Limits;
use crate::router::pick::{self, Candidate, Lane};
use crate::router::rollout::{Answer, Group};
use crate::router::table::{Account, RequestKind, Route, RouteTable};
use crate::router::{hash, mix};
use crate::units::Millis;

use super::client::{After, ClientConn, Incoming};
use super::exchange::{self, ExchangeError};
use super::head::{RequestHead, ResponseHead};
use super::pool::Conn;
use super::reply::{self, BodyOut, OwnReply};
use super::shared::Shared;
use super::silence::{self, Silence, Watched};
use super::stream::{self, Relay, RelayEnd};

/// Time for a new connection; a packet that is lost on the way is sent again only after a second.
const CONNECT_TIMEOUT: Millis = Millis(350);

/// Longest idle time of a kept connection for a request that may run once: the shorter, the less likely
/// the request crosses the upstream's close, whose outcome nobody knows.
const FRESH_IDLE: Millis = Millis(1_000);

/// Time that must be left for another attempt.
const MIN_LEFT: Millis = Millis(20);

/// Shortest time after which an upstream that is silent is given up for another one.
const MIN_SILENCE: Millis = Millis(400);

/// Pause before a retry if no upstream is known, as long as time is left.
const NO_UPSTREAM_RETRY: Millis = Millis(400);

/// Requests share the slack of the retry budget over at most this many gateways.
pub(super) const MAX_GATEWAYS: usize = 32;

/// The request as it is to be served.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) route: Rc<Route>,
    account: Option<Rc<Account>>,
    service: Rc<str>,
    pub(super) arrived: Millis,
    /// Runtime time at which the client or the route gives up.
    pub(super) deadline: Millis,
    pub(super) id: Bytes,
    affinity: Option<u64>,
    session: u64,
    /// Length of the prompt.
    prompt_tokens: u64,
    /// Index of the model; `None` if the client names it.
    model: Option<usize>,
    /// Model whose answer was dropped last, and its confidence.
    dropped: Option<(usize, u8)>,
    to_head: bool,
    keep_alive: bool,
    /// Last event that the client has.
    pub(super) resume_after: Option<u64>,
}

/// An upstream that was chosen, and the connection to it.
pub(super) struct Leg {
    pub(super) upstream: Rc<Upstream>,
    pub(super) conn: Conn,
    pub(super) sent: Millis,
}

impl Leg {
    /// Notes that bytes came from the upstream.
    pub(super) fn hear(&self, shared: &Shared, now: Millis) {
        let upstream = &self.upstream;
        (shared.health.borrow_mut()).hear(&upstream.id, upstream.boot, now);
    }
}

impl Job {
    /// Tells whether the service's upstreams are model engines.
    pub(super) fn is_engine(&self, shared: &Shared) -> bool {
        let table = shared.table.borrow();
        table.service(&self.service).is_some_and(|s| s.is_engine)
    }

    fn lane(&self, shared: &Shared) -> Lane {
        let sizes = shared.sizes.borrow();
        let is_large = sizes.is_large(self.prompt_tokens, pick::LARGE_PROMPT_TOKENS);
        Lane::of(self.model, is_large)
    }

    fn watched<'a>(
        &'a self,
        shared: &'a Shared,
        upstream: &'a Rc<Upstream>,
        limits: Limits,
        has_attempts: bool,
    ) -> Watched<'a> {
        Watched {
            shared,
            upstream,
            service: &self.service,
            id: &self.id,
            limits,
            has_attempts,
        }
    }
}

/// Prompt tokens that an upstream has to read, for as long as this lives.
struct Pending<'a> {
    shared: &'a Shared,
    upstream: &'a Upstream,
    tokens: u64,
}

impl<'a> Pending<'a> {
    fn start(shared: &'a Shared, upstream: &'a Upstream, tokens: u64) -> Self {
        let now = shared.clock.now();
        let mut health = shared.health.borrow_mut();
        health.add_pending(&upstream.id, upstream.boot, tokens, now);
        drop(health);
        Self {
            shared,
            upstream,
            tokens,
        }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut health = self.shared.health.borrow_mut();
        health.end_pending(&self.upstream.id, self.upstream.boot, self.tokens, now);
    }
}

enum Outcome {
    /// The answer was delivered.
    Delivered { status: u16, after: After },
    /// An answer of the gateway's own is due.
    Own(OwnReply),
    /// The client has gone.
    ClientGone,
    /// The answer broke off and the connection must be closed.
    Broken,
}

enum AttemptEnd {
    Delivered {
        status: u16,
        after: After,
    },
    ClientGone,
    Broken,
    /// Not answered; another attempt may follow.
    Retry(Ended),
    /// A larger model is to be asked, since this one had only this confidence.
    Escalate(usize, u8),
    /// An upstream's failure, to be delivered if nothing better follows.
    Failure(Box<ResponseHead>, Bytes),
    TimedOut {
        may_have_run: bool,
    },
}

/// Serves one request.
pub async fn serve(shared: &Rc<Shared>, client: &mut ClientConn, req: Incoming) -> After {
    let keep_alive = req.head.keep_alive && !shared.is_stopping.get();
    let to_head = req.head.method.as_ref() == b"HEAD";
    let (outcome, job) = match admit(shared, &req) {
        Ok(mut job) => {
            job.keep_alive = keep_alive;
            let outcome = attempts(shared, client, &req, &mut job).await;
            (outcome, Some(job))
        }
        Err(reply) => (Outcome::Own(reply), None),
    };
    let (after, status, reason) = match outcome {
        Outcome::Delivered { status, after } => (after, status, "answered"),
        Outcome::ClientGone => (After::Close, 499, "client_gone"),
        Outcome::Broken => (After::Close, 0, "broken_off"),
        Outcome::Own(reply) => {
            let mut out = BytesMut::new();
            let closes = !keep_alive || shared.is_stopping.get();
            reply.write(&mut out, closes, to_head);
            let is_written = client.write(&out).await.is_ok();
            let after = if closes || !is_written {
                After::Close
            } else {
                After::KeepAlive
            };
            (after, reply.status, reply.reason)
        }
    };
    note_end(shared, &req, job.as_ref(), status, reason);
    after
}

fn note_end(shared: &Shared, req: &Incoming, job: Option<&Job>, status: u16, reason: &str) {
    let took = shared.clock.now().since(req.arrived);
    let id = req.head.fields.text(headers::REQUEST_ID).unwrap_or("-");
    let route = job.map_or("-", |j| &j.route.name);
    let account = job
        .and_then(|j| j.account.as_ref())
        .map_or("-", |a| &a.name);
    let seconds = std::time::Duration::from_millis(took.0).as_secs_f64();
    shared.metrics.request(account, route, reason, seconds);
    log::info!(event = "outcome", request = id, route = route, account = account, status = status,
        reason = reason, took_ms = took.0; "");
}

/// Finds route, client account and deadline of a request, or refuses it.
fn admit(shared: &Shared, req: &Incoming) -> Result<Job, OwnReply> {
    let table = Rc::clone(&shared.table.borrow());
    let head = &req.head;
    if table.version == 0 {
        return Err(not_run("no_configuration", 300));
    }
    let route = table.route(&head.host(), head.path());
    let route = Rc::clone(route.ok_or(OwnReply::new(404, "no_route"))?);
    let account = authenticate(shared, &table, &route, head)?;
    let service = route.service(shared.draw());
    let service = Rc::clone(service.ok_or_else(|| not_run("no_service", 500))?);
    let now = shared.clock.now();
    let patience = head.fields.number(headers::DEADLINE_MS);
    let patience = patience.map_or(route.timeout, |ms| Millis(ms).min(route.timeout));
    shared.with_budget(&service, |b| b.request(now));
    let parts = head.fields.text(headers::PROMPT_PARTS).unwrap_or_default();
    let chooses_model = !route.models.is_empty() && head.fields.get(headers::MODEL) == Some(b"*");
    Ok(Job {
        affinity: shared_part(parts).filter(|_| route.has_prompts),
        session: session(head, parts),
        prompt_tokens: prompt_tokens(head),
        model: chooses_model.then(Cascade::first),
        dropped: None,
        account,
        service,
        arrived: req.arrived,
        deadline: req.arrived + patience,
        id: Bytes::copy_from_slice(head.fields.get(headers::REQUEST_ID).unwrap_or_default()),
        to_head: head.method.as_ref() == b"HEAD",
        keep_alive: true,
        resume_after: head.fields.number(headers::LAST_EVENT_ID),
        route,
    })
}

fn authenticate(
    shared: &Shared,
    table: &RouteTable,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Rc<Account>>, OwnReply> {
    if !table.has_accounts() || route.is_public {
        return Ok(None);
    }
    if !shared.freshness.borrow().is_trusted(shared.clock.now()) {
        return Err(not_run("keys_too_old", 1_000));
    }
    let key = head.fields.text(headers::AUTHORIZATION);
    let key = key.and_then(|text| text.strip_prefix(headers::KEY_SCHEME));
    match key.and_then(|key| table.account(key.trim())) {
        Some(account) => Ok(Some(Rc::clone(account))),
        None => Err(OwnReply::new(401, "unknown_key")),
    }
}

/// Returns a refusal that promises that the request has not run.
pub(super) const fn not_run(reason: &'static str, retry_after_ms: u64) -> OwnReply {
    OwnReply {
        status: 503,
        reason,
        retry_after_ms: Some(retry_after_ms),
    }
}

/// Returns the hash of the last part of the prompt that other requests share.
fn shared_part(parts: &str) -> Option<u64> {
    let mut ids = parts.rsplit(',').map(|part| part.split(':').next());
    let last = ids.next()??;
    let shared = ids.next().flatten().unwrap_or(last);
    (!shared.is_empty()).then(|| hash(shared.trim().as_bytes()))
}

/// Returns the length of the prompt; the field holds it and the longest output.
fn prompt_tokens(head: &RequestHead) -> u64 {
    let text = head.fields.text(headers::TOKENS).unwrap_or_default();
    let first = text.split(',').next().unwrap_or_default();
    first.trim().parse().unwrap_or(0)
}

/// Returns the hash of the session, or of what is closest to it.
fn session(head: &RequestHead, parts: &str) -> u64 {
    if let Some(session) = head.fields.get(headers::SESSION) {
        return hash(session);
    }
    let last = parts.rsplit(',').next().and_then(|p| p.split(':').next());
    match last {
        Some(part) if !part.is_empty() => hash(part.as_bytes()),
        _ => hash(head.fields.get(headers::REQUEST_ID).unwrap_or_default()),
    }
}

async fn attempts(
    shared: &Rc<Shared>,
    client: &mut ClientConn,
    req: &Incoming,
    job: &mut Job,
) -> Outcome {
    let mut attempts = Attempts::new(job.route.kind, job.route.attempts);
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut failure: Option<(Box<ResponseHead>, Bytes)> = None;
    let mut relay = Relay::new(job.resume_after);
    let mut needs_budget = false;
    loop {
        let now = shared.clock.now();
        if now + MIN_LEFT >= job.deadline {
            return give_up(client, failure, &attempts, job, "deadline", &relay).await;
        }
        if !attempts.can_send() || (needs_budget && !take_budget(shared, job)) {
            return give_up(client, failure, &attempts, job, "attempts_used", &relay).await;
        }
        let Some(upstream) = choose(shared, job, &tried) else {
            return give_up(client, failure, &attempts, job, "no_upstream", &relay).await;
        };
        tried.push(Rc::clone(&upstream.id));
        let can_move = attempts.can_escalate();
        (shared.health.borrow_mut()).start(&upstream.id, upstream.boot, now);
        let end = attempt(shared, client, req, job, &upstream, &mut relay, can_move).await;
        let now = shared.clock.now();
        (shared.health.borrow_mut()).end(&upstream.id, upstream.boot, now);
        needs_budget = true;
        match end {
            AttemptEnd::Delivered { status, after } => return Outcome::Delivered { status, after },
            AttemptEnd::ClientGone => return Outcome::ClientGone,
            AttemptEnd::Broken => return Outcome::Broken,
            AttemptEnd::Retry(ended) => {
                needs_budget = ended != Ended::NotSent;
                attempts.note(ended);
            }
            AttemptEnd::Escalate(model, confidence) => {
                job.dropped = job.model.map(|smaller| (smaller, confidence));
                job.model = Some(model);
                shared.sizes.borrow_mut().observe(job.prompt_tokens);
                // The other model's upstreams are chosen afresh.
                tried.clear();
                attempts.note(Ended::Dropped);
                needs_budget = false;
            }
            AttemptEnd::Failure(head, body) => {
                attempts.note(Ended::Failed);
                failure = Some((head, body));
            }
            AttemptEnd::TimedOut { may_have_run } => {
                if may_have_run {
                    attempts.note(Ended::Lost);
                }
                return give_up(client, failure, &attempts, job, "timeout", &relay).await;
            }
        }
    }
}

fn take_budget(shared: &Shared, job: &Job) -> bool {
    let now = shared.clock.now();
    let allowed = shared.with_budget(&job.service, |b| b.take(now, MAX_GATEWAYS));
    if !allowed {
        shared.metrics.event("retry_budget_empty");
    }
    allowed
}

async fn give_up(
    client: &mut ClientConn,
    failure: Option<(Box<ResponseHead>, Bytes)>,
    attempts: &Attempts,
    job: &Job,
    reason: &'static str,
    relay: &Relay,
) -> Outcome {
    if relay.has_begun() {
        // The client sees a cut answer and may go on after its last event.
        return Outcome::Broken;
    }
    if let Some((head, body)) = failure {
        return match deliver(client, job, &head, &body, true).await {
            AttemptEnd::Delivered { status, after } => Outcome::Delivered { status, after },
            _ => Outcome::ClientGone,
        };
    }
    Outcome::Own(match attempts.promise() {
        Promise::NotRun => not_run(reason, NO_UPSTREAM_RETRY.0),
        Promise::Unknown if reason == "timeout" || reason == "deadline" => {
            OwnReply::new(504, "timeout")
        }
        Promise::Unknown => OwnReply::new(502, "upstream_lost"),
    })
}

/// Chooses the upstream of an attempt.
fn choose(shared: &Shared, job: &Job, tried: &[Rc<str>]) -> Option<Rc<Upstream>> {
    let now = shared.clock.now();
    let fleet = shared.fleet.borrow();
    let ready: Vec<_> = fleet.ready(&job.service).collect();
    let usable = of_group(shared, job, ready, now);
    let mut health = shared.health.borrow_mut();
    let mut candidates: Vec<_> = usable
        .iter()
        .map(|u| {
            let health = health.entry(&u.id, u.boot, now);
            Candidate {
                hash: hash(u.id.as_bytes()),
                is_local: u.data_centre == shared.policy.data_centre,
                slots: u.slots,
                in_flight: health.in_flight,
                pending: health.pending,
                failures: permille(health.failure_rate()),
                is_ejected: health.is_ejected(now),
                is_tried: tried.contains(&u.id),
            }
        })
        .collect();
    pick::divide(&mut candidates, job.lane(shared));
    let affinity = job.affinity.map(|a| mix(a ^ job.model.unwrap_or(0) as u64));
    let (at, reason) = pick::pick(&candidates, affinity, shared.draw())?;
    let upstream = usable[at];
    log::info!(event = "pick", request:% = String::from_utf8_lossy(&job.id), upstream:% = upstream.id,
        session:% = format_args!("{:x}", job.session), version:% = upstream.version, reason = reason.name(), of = candidates.len(),
        in_flight = candidates[at].in_flight, attempt = tried.len(), model = job.model.unwrap_or(0),
        table = shared.table.borrow().version; "");
    Some(Rc::clone(upstream))
}

/// Returns the upstreams of the versions that the request may run on.
fn of_group<'a>(
    shared: &Shared,
    job: &Job,
    ready: Vec<&'a Rc<Upstream>>,
    now: Millis,
) -> Vec<&'a Rc<Upstream>> {
    let span = shared.policy.session_span;
    let mut sessions = shared.sessions.borrow_mut();
    let rollouts = shared.rollouts.borrow();
    let Some(rollout) = rollouts.get(&job.service).filter(|r| !r.to.is_empty()) else {
        sessions.note(job.session, Group::Old, now, span);
        return ready;
    };
    let pinned = sessions.group(job.session, now, span);
    let pinned = pinned.filter(|_| rollout.pins_sessions(now));
    let group = pinned.unwrap_or_else(|| rollout.group(job.session, now));
    sessions.note(job.session, group, now, span);
    let in_group = |group: Group| {
        let is_new = group == Group::New;
        let of_group = ready.iter().filter(|u| (u.version == rollout.to) == is_new);
        of_group.copied().collect::<Vec<_>>()
    };
    let own = in_group(group);
    match group {
        _ if !own.is_empty() || !rollout.can_fall_back(group) => own,
        Group::New => in_group(Group::Old),
        Group::Old => in_group(Group::New),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is between 0 and 1"
)]
fn permille(share: f64) -> u32 {
    (share * 1_000.0) as u32
}

async fn attempt(
    shared: &Rc<Shared>,
    client: &mut ClientConn,
    req: &Incoming,
    job: &Job,
    upstream: &Rc<Upstream>,
    relay: &mut Relay,
    can_move: bool,
) -> AttemptEnd {
    let mut leg = match open_leg(shared, job, upstream).await {
        Ok(leg) => leg,
        Err(end) => return end,
    };
    let message = encode(shared, req, job, upstream, relay);
    if let Err(error) = exchange::send(&mut leg.conn, &message).await {
        return lost(shared, job, &leg, &ExchangeError::Broken(error));
    }
    let pending = Pending::start(shared, upstream, job.prompt_tokens);
    let head = {
        let last = Cell::new(leg.sent);
        let silence = silence::wait(
            job.watched(shared, upstream, head_limits(shared, job), can_move),
            &last,
        );
        let read = exchange::read_head(&mut leg.conn, &job.id, job.to_head);
        tokio::select! {
            biased;
            head = read => head,
            () = client.closed() => return AttemptEnd::ClientGone,
            silence = silence => return silent(shared, job, upstream, leg.sent, silence),
        }
    };
    drop(pending);
    let head = match head {
        Ok(head) => head,
        Err(error) => return lost(shared, job, &leg, &error),
    };
    leg.hear(shared, shared.clock.now());
    answer(shared, client, job, leg, head, relay, can_move).await
}

/// Takes a kept connection or opens one.
async fn open_leg(shared: &Shared, job: &Job, upstream: &Rc<Upstream>) -> Result<Leg, AttemptEnd> {
    let now = shared.clock.now();
    let max_idle = match job.route.kind {
        RequestKind::AtMostOnce | RequestKind::Stream => FRESH_IDLE,
        RequestKind::Idempotent | RequestKind::ResumableStream => Millis(u64::MAX),
    };
    let kept = (shared.pool.borrow_mut()).take(&upstream.id, upstream.boot, now, max_idle);
    let conn = match kept {
        Some(conn) => conn,
        None => {
            shared.metrics.event("upstream_connection");
            let left = job.deadline.since(now).min(CONNECT_TIMEOUT);
            let connect = exchange::connect(upstream.addr);
            match actix_rt::time::timeout(left.duration(), connect).await {
                Ok(Ok(conn)) => conn,
                Ok(Err(_)) | Err(_) => {
                    observe(shared, upstream, Seen::Silent, "connect");
                    return Err(AttemptEnd::Retry(Ended::NotSent));
                }
            }
        }
    };
    Ok(Leg {
        upstream: Rc::clone(upstream),
        conn,
        sent: shared.clock.now(),
    })
}

/// Returns how long an upstream may be silent before its answer begins.
fn head_limits(shared: &Shared, job: &Job) -> Limits {
    let goal = job.route.goal.0;
    let (silent, busy) = if job.route.kind.is_stream() {
        (Millis(goal * 5 / 10), Millis(goal * 2))
    } else {
        (Millis(goal * 2), Millis(goal * 3))
    };
    let silent = silent.max(MIN_SILENCE);
    Limits {
        silent,
        busy: busy.max(silent),
        deadline: job.deadline,
        can_ask: job.is_engine(shared),
    }
}

fn observe(shared: &Shared, upstream: &Upstream, seen: Seen, what: &str) {
    let now = shared.clock.now();
    let mut health = shared.health.borrow_mut();
    let is_ejected = health.observe(&upstream.id, upstream.boot, seen, now);
    if is_ejected {
        shared.metrics.event("upstream_ejected");
        log::warn!(event = "ejected", upstream:% = upstream.id, what = what; "");
    }
}

fn observe_version(shared: &Shared, job: &Job, upstream: &Upstream, answer: Answer) {
    let kind = mix(hash(job.route.name.as_bytes()) ^ job.model.unwrap_or(0) as u64);
    let now = shared.clock.now();
    if let Some(rollout) = shared.rollouts.borrow_mut().get_mut(&job.service) {
        rollout.observe(&upstream.version, kind, answer, now);
    }
}

fn lost(shared: &Shared, job: &Job, leg: &Leg, error: &ExchangeError) -> AttemptEnd {
    // A kept connection that is closed says nothing about the upstream.
    if !leg.conn.is_reused {
        observe(shared, &leg.upstream, Seen::Broken, error.name());
    }
    log::info!(event = "attempt_lost", request:% = String::from_utf8_lossy(&job.id),
        upstream:% = leg.upstream.id, error = error.name(), reused = leg.conn.is_reused; "");
    AttemptEnd::Retry(Ended::Lost)
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
            observe(shared, upstream, Seen::Silent, "silent");
            AttemptEnd::Retry(Ended::Lost)
        }
        Silence::TimedOut => AttemptEnd::TimedOut { may_have_run: true },
    }
}

/// Encodes the request for an upstream.
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
        let account = job.account.as_ref().and_then(|a| a.priority);
        let priority = account.unwrap_or(job.route.priority).min(9);
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
        let read = exchange::read_whole(&mut leg.conn, &head);
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
            observe_version(shared, job, &leg.upstream, Answer::Bad);
            return lost(shared, job, &leg, &error);
        }
    };
    let upstream = Rc::clone(&leg.upstream);
    let first_byte = shared.clock.now().since(leg.sent);
    keep(shared, leg, &head);
    if head.status == 421 || head.fields.get(headers::NOT_RUN).is_some() && head.status != 400 {
        let seen = if head.status == 421 {
            Seen::Silent
        } else {
            Seen::Full
        };
        observe(shared, &upstream, seen, "refused");
        log::info!(event = "attempt_refused", request:% = String::from_utf8_lossy(&job.id),
            upstream:% = upstream.id, status = head.status; "");
        return AttemptEnd::Retry(Ended::Refused);
    }
    if relay.has_begun() {
        observe(shared, &upstream, Seen::Error, "resume_failed");
        return AttemptEnd::Retry(Ended::Failed);
    }
    if head.status >= 500 {
        observe(shared, &upstream, Seen::Error, "error");
        observe_version(shared, job, &upstream, Answer::Bad);
        if job.route.kind.is_repeatable() && can_move {
            return AttemptEnd::Failure(Box::new(head), body);
        }
    } else {
        observe(shared, &upstream, Seen::Answer, "answer");
        observe_version(shared, job, &upstream, Answer::Good(first_byte));
    }
    let closes = !job.keep_alive || shared.is_stopping.get();
    deliver(client, job, &head, &body, closes).await
}

/// Keeps the connection if it can carry another request.
fn keep(shared: &Shared, leg: Leg, head: &ResponseHead) {
    let Leg { upstream, conn, .. } = leg;
    if !head.keep_alive || !conn.buf.is_empty() {
        return;
    }
    if !shared.fleet.borrow().is_ready(&upstream.id, upstream.boot) {
        return;
    }
    let now = shared.clock.now();
    (shared.pool.borrow_mut()).put(&upstream.id, upstream.boot, upstream.addr, conn, now);
}

async fn deliver(
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
            after: if closes {
                After::Close
            } else {
                After::KeepAlive
            },
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
    observe(shared, &leg.upstream, Seen::Answer, "stream");
    observe_version(shared, job, &leg.upstream, Answer::Good(first_byte));
    if let Some(model) = job.model.filter(|_| !relay.has_begun()) {
        let opinion = Opinion {
            model,
            models: job.route.models.len(),
            confidence: (head.fields.number(headers::CONFIDENCE)).and_then(|c| c.try_into().ok()),
            can_send: can_move,
        };
        let verdict = shared.with_cascade(&job.route.name, |cascade| {
            if let (Some(earlier), Some(confidence)) = (job.dropped, opinion.confidence) {
                cascade.learn(earlier, (model, confidence));
            }
            cascade.judge(opinion)
        });
        log::info!(event = "confidence", request:% = String::from_utf8_lossy(&job.id), model = model,
            confidence = opinion.confidence.map_or(-1, i32::from), verdict:? = verdict,
            first_byte_ms = first_byte.0; "");
        if let Verdict::Escalate(larger) = verdict
            && take_budget(shared, job)
        {
            let confidence = opinion.confidence.unwrap_or_default();
            return AttemptEnd::Escalate(larger, confidence);
        }
    }
    let closes = !job.keep_alive || shared.is_stopping.get();
    let upstream = Rc::clone(&leg.upstream);
    let watched = job.watched(shared, &upstream, stream::limits(shared, job), can_move);
    let end = stream::relay(watched, client, job, &mut leg.conn, &head, relay, closes).await;
    match end {
        RelayEnd::Complete => {
            let status = head.status;
            keep(shared, leg, &head);
            AttemptEnd::Delivered {
                status,
                after: if closes {
                    After::Close
                } else {
                    After::KeepAlive
                },
            }
        }
        RelayEnd::ClientGone => AttemptEnd::ClientGone,
        RelayEnd::Lost(error) => {
            observe_version(shared, job, &leg.upstream, Answer::Bad);
            lost_midway(shared, job, &leg, &error)
        }
        RelayEnd::Silent(Silence::TimedOut) => AttemptEnd::TimedOut { may_have_run: true },
        RelayEnd::Silent(Silence::Leave) => {
            observe(shared, &leg.upstream, Seen::Silent, "gap");
            lost_midway(shared, job, &leg, &ExchangeError::Garbled("gap"))
        }
    }
}

fn lost_midway(shared: &Shared, job: &Job, leg: &Leg, error: &ExchangeError) -> AttemptEnd {
    observe(shared, &leg.upstream, Seen::Broken, error.name());
    log::info!(event = "stream_lost", request:% = String::from_utf8_lossy(&job.id),
        upstream:% = leg.upstream.id, error = error.name(); "");
    if job.route.kind == RequestKind::ResumableStream {
        AttemptEnd::Retry(Ended::Lost)
    } else {
        AttemptEnd::Broken
    }
}
