//! An admitted request: its route, client account, deadline, prompt size and affinity.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;

use crate::platform::headers;
use crate::router::cascade::Cascade;
use crate::router::demand::ModelClass;
use crate::router::fleet::Upstream;
use crate::router::hash;
use crate::router::pick::Lane;
use crate::router::silence_policy::Limits;
use crate::router::sizes::{Size, SizeMix};
use crate::router::table::{Account, Route, RouteTable};
use crate::suspect::{self, ExposureId, Feature};
use crate::units::Millis;
use crate::units::whole::parse_rounded_down;

use super::client::IncomingRequest;
use super::head::RequestHead;
use super::reply::LocalReply;
use super::shared::Shared;
use super::silence::SilenceWatch;

/// An admitted request, with what its attempts need and what they measured.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) route: Rc<Route>,
    pub(super) account: Option<Rc<Account>>,
    pub(super) service: Rc<str>,
    pub(super) arrived: Millis,
    /// Time on the runtime clock at which the client's or the route's time-out expires.
    pub(super) deadline: Millis,
    pub(super) id: Bytes,
    /// Hash of the shared part of the prompt, to reach an upstream that has it cached.
    pub(super) affinity: Option<u64>,
    /// What other requests may have in common with this one, sorted.
    pub(super) features: Rc<[Feature]>,
    /// Hash that stands for the session.
    pub(super) session_hash: u64,
    /// Size of the prompt and of the expected output.
    pub(super) size: Size,
    /// Index of the model; `None` if the client names it.
    pub(super) model: Option<usize>,
    /// Index and confidence of the smaller model whose answer was discarded last.
    pub(super) discarded: Option<(usize, u8)>,
    pub(super) is_head_request: bool,
    pub(super) keep_alive: bool,
    /// Id of the last event that the client has received.
    pub(super) resume_after: Option<u64>,
    /// Upstreams that the request was sent to.
    pub(super) sent_to: RefCell<Vec<Rc<str>>>,
    /// Run of the attempt in progress.
    pub(super) exposure: Cell<Option<ExposureId>>,
    /// Time from the arrival to the first byte of a stream.
    pub(super) first_byte: Cell<Option<Millis>>,
    /// Time per `PACE_EVENTS` events, measured at the beginning of a stream.
    pub(super) pace: Cell<Option<Millis>>,
    /// Longest pause between two writes of a stream to the client.
    pub(super) longest_pause: Cell<Millis>,
}

impl Job {
    /// Returns whether the service's upstreams are model engines.
    pub(super) fn is_engine(&self, shared: &Shared) -> bool {
        let table = shared.table.borrow();
        table.service(&self.service).is_some_and(|s| s.is_engine)
    }

    /// Returns whether an answer to something sent earlier on a kept connection could be taken for this request's: it has no id,
    /// or the upstream has had it before.
    pub(super) fn needs_new_connection(&self, upstream: &Upstream) -> bool {
        self.id.is_empty() || self.sent_to.borrow().contains(&upstream.id)
    }

    /// Returns the work of one prompt token on the request's model, in permille of that on the largest model.
    pub(super) fn token_permille(&self, shared: &Shared) -> u64 {
        let table = shared.table.borrow();
        let model = self.model.and_then(|at| self.route.models.get(at));
        let service = table.service(&self.service);
        let permille = model.zip(service).and_then(|(m, s)| s.work_permille(m));
        permille.unwrap_or(1_000)
    }

    /// Returns the work of the prompt, in prompt tokens of the largest model.
    pub(super) fn work(&self, shared: &Shared) -> u64 {
        self.size.prompt * self.token_permille(shared) / 1_000
    }

    /// Returns the price of each of the route's models, relative to the most expensive one of the service.
    pub(super) fn model_prices(&self, shared: &Shared) -> Vec<f64> {
        let table = shared.table.borrow();
        let service = table.service(&self.service);
        let price = |model: &Rc<str>| {
            let permille = service.and_then(|s| s.work_permille(model));
            u32::try_from(permille.unwrap_or(1_000)).map_or(1.0, |p| f64::from(p) / 1_000.0)
        };
        self.route.models.iter().map(price).collect()
    }

    /// Returns the work of the whole request, in prompt tokens of the largest model.
    pub(super) fn total_work(&self, shared: &Shared) -> u64 {
        self.size.work() * self.token_permille(shared) / 1_000
    }

    /// Returns the class of the request's model.
    pub(super) fn model_class(&self) -> ModelClass {
        if self.model == Some(0) {
            ModelClass::Smallest
        } else {
            ModelClass::Larger
        }
    }

    /// Returns whether the request goes to a larger model than the smallest one.
    pub(super) fn uses_larger_model(&self) -> bool {
        self.model.is_some_and(|model| model > 0)
    }

    /// Returns the priority of the account or else of the route; 0 is the most urgent.
    pub(super) fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|a| a.priority);
        account.unwrap_or(self.route.priority)
    }

    /// Returns the group of upstreams that the request prefers.
    pub(super) const fn lane<'a>(&self, sizes: &'a SizeMix) -> Lane<'a> {
        match self.model {
            None => Lane::Any,
            Some(0) => Lane::Small,
            Some(_) => Lane::Large {
                sizes,
                prompt: self.size.prompt,
            },
        }
    }

    pub(super) fn silence_watch<'a>(
        &'a self,
        shared: &'a Shared,
        upstream: &'a Rc<Upstream>,
        limits: Limits,
        has_attempts: bool,
    ) -> SilenceWatch<'a> {
        SilenceWatch {
            shared,
            upstream,
            service: &self.service,
            id: &self.id,
            limits,
            has_attempts,
        }
    }
}

/// Determines the route, client account and deadline of a request, or refuses it.
pub(super) fn admit(shared: &Shared, req: &IncomingRequest) -> Result<Job, LocalReply> {
    let table = Rc::clone(&shared.table.borrow());
    let head = &req.head;
    if table.version == 0 {
        return Err(not_run("no_configuration", 300));
    }
    let route = table.route(&head.host(), head.path());
    let route = Rc::clone(route.ok_or(LocalReply::new(404, "no_route"))?);
    let account = authenticate(shared, &table, &route, head)?;
    let service = route.service(shared.draw());
    let service = Rc::clone(service.ok_or_else(|| not_run("no_service", 500))?);
    let now = shared.clock.now();
    let timeout = head.fields.number(headers::DEADLINE_MS);
    let timeout = timeout.map_or(route.timeout, |ms| Millis(ms).min(route.timeout));
    shared.with_budget(&service, |b| b.record_request(now));
    if route.has_prompts {
        shared.sizes.borrow_mut().observe(size(head));
    }
    let parts = head.fields.text(headers::PROMPT_PARTS).unwrap_or_default();
    let chooses_model = !route.models.is_empty() && head.fields.get(headers::MODEL) == Some(b"*");
    Ok(Job {
        affinity: shared_part_hash(parts).filter(|_| route.has_prompts),
        features: features(req, account.as_deref(), parts).into(),
        session_hash: session_hash(head, parts),
        size: size(head),
        model: chooses_model.then(Cascade::first),
        discarded: None,
        account,
        service,
        arrived: req.arrived,
        deadline: req.arrived + timeout,
        id: Bytes::copy_from_slice(head.fields.get(headers::REQUEST_ID).unwrap_or_default()),
        is_head_request: head.method.as_ref() == b"HEAD",
        keep_alive: head.keep_alive,
        resume_after: head.fields.whole_number(headers::LAST_EVENT_ID),
        sent_to: RefCell::default(),
        exposure: Cell::default(),
        first_byte: Cell::default(),
        pace: Cell::default(),
        longest_pause: Cell::default(),
        route,
    })
}

fn authenticate(
    shared: &Shared,
    table: &RouteTable,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Rc<Account>>, LocalReply> {
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
        None => Err(LocalReply::new(401, "unknown_key")),
    }
}

/// Returns a 503 response, which guarantees that the request has not run.
pub(super) const fn not_run(reason: &'static str, retry_after_ms: u64) -> LocalReply {
    LocalReply {
        status: 503,
        reason,
        retry_after_ms: Some(retry_after_ms),
    }
}

fn features(req: &IncomingRequest, account: Option<&Account>, parts: &str) -> Vec<Feature> {
    let account = account.map_or("", |a| &a.name);
    let whole = Feature::of_request(account.as_bytes(), &req.head.target, &req.body);
    suspect::features(parts, whole)
}

/// Returns the hash of the last prompt part that other requests share: the last but one, or the only one.
fn shared_part_hash(parts: &str) -> Option<u64> {
    let mut ids = parts.rsplit(',').map(|part| part.split(':').next());
    let last = ids.next()??;
    let shared = ids.next().flatten().unwrap_or(last);
    (!shared.is_empty()).then(|| hash(shared.trim().as_bytes()))
}

/// Largest number of tokens that a client's headers may give, so that sums of many requests stay in range.
const MAX_TOKENS: u64 = u32::MAX as u64;

/// Returns the size given in the client's headers; without a length hint, half of the longest output is
/// expected.
fn size(head: &RequestHead) -> Size {
    let text = head.fields.text(headers::TOKENS).unwrap_or_default();
    let mut numbers = (text.split(','))
        .map(|part| parse_rounded_down(part.trim()).map_or(0, |n| n.min(MAX_TOKENS)));
    let prompt = numbers.next().unwrap_or(0);
    let longest = numbers.next().unwrap_or(0);
    let estimate = head.fields.number(headers::LENGTH_HINT);
    Size {
        prompt,
        output: estimate.map_or(longest / 2, |hint| hint.min(longest)),
    }
}

/// Returns the hash of the session id, or else of the last prompt part, or else of the request id.
fn session_hash(head: &RequestHead, parts: &str) -> u64 {
    if let Some(session) = head.fields.get(headers::SESSION) {
        return hash(session);
    }
    let last = parts.rsplit(',').next().and_then(|p| p.split(':').next());
    match last {
        Some(part) if !part.is_empty() => hash(part.as_bytes()),
        _ => hash(head.fields.get(headers::REQUEST_ID).unwrap_or_default()),
    }
}
