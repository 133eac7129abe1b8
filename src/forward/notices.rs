//! What upstreams say of themselves in the heads of their answers: that they leave, that they want a pause, and how many
//! requests they take.

use std::rc::Rc;

use crate::platform::headers;
use crate::router::fleet::Upstream;
use crate::router::pace::PaceCause;
use crate::router::pauses::PauseRequest;
use crate::units::Millis;

use super::head::ResponseHead;
use super::job::Job;
use super::shared::Shared;

/// How the gateway has learned from an upstream itself that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum LeavingSource {
    /// An answer to a request.
    Answer,
    /// A load report that was asked for.
    Probe,
    /// A load report that the beacon beside it passed on.
    Beacon,
}

impl LeavingSource {
    /// Returns the name used in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Probe => "probe",
            Self::Beacon => "beacon",
        }
    }
}

/// Status of an upstream that is not the one that the request was meant for.
const MISDIRECTED: u16 = 421;

/// Status of an upstream that refuses a request and may ask for a pause.
const UNAVAILABLE: u16 = 503;

impl ResponseHead {
    /// Returns whether the upstream that has written this answer leaves.
    pub(super) fn is_of_leaving_upstream(&self) -> bool {
        self.fields
            .get(headers::UPSTREAM_LEAVING)
            .map(<[u8]>::trim_ascii)
            == Some(b"1")
    }

    /// Returns whether this is a refusal that asks for a pause. The upstream is neither full nor faulty.
    pub(super) fn asks_for_pause(&self) -> bool {
        (self.pause()).is_some_and(|(request, _)| request.time() > Millis(0))
    }

    /// Returns the longest pause that a refusal asks for, with its text.
    fn pause(&self) -> Option<(PauseRequest, String)> {
        if self.status != UNAVAILABLE {
            return None;
        }
        let name = headers::RETRY_AFTER.as_bytes();
        let values = self
            .fields
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let texts = values.map(|(_, value)| String::from_utf8_lossy(value).into_owned());
        let requests = texts.map(|text| (PauseRequest::parse(&text), text));
        requests.max_by_key(|(request, _)| request.time())
    }
}

/// Records what the head of an answer says of its upstream; `sent_at` is when the request was sent.
pub(super) fn observe(
    shared: &Shared,
    job: &Job,
    upstream: &Upstream,
    head: &ResponseHead,
    sent_at: Millis,
) {
    if head.status == MISDIRECTED {
        // Another process has the address now.
        return;
    }
    observe_limit(shared, upstream, head, sent_at);
    shared.observe_cold_answer(upstream, head);
    if head.is_of_leaving_upstream() {
        shared.record_leaving(&upstream.id, upstream.boot, LeavingSource::Answer);
    }
    if let Some((request, text)) = head.pause() {
        observe_pause(shared, job, upstream, request, &text);
    }
}

/// Records the limit that an upstream's answer names, or that it names none.
fn observe_limit(shared: &Shared, upstream: &Upstream, head: &ResponseHead, sent_at: Millis) {
    let now = shared.clock.now();
    let named = head.fields.text(headers::UPSTREAM_LIMIT);
    let named = named.and_then(|text| text.trim().parse().ok());
    let mut limits = shared.named_limits.borrow_mut();
    let change = limits.observe(&upstream.id, upstream.boot, named, sent_at, now);
    drop(limits);
    shared.log_limit_change(upstream, change);
}

fn observe_pause(
    shared: &Shared,
    job: &Job,
    upstream: &Upstream,
    request: PauseRequest,
    text: &str,
) {
    let (pause, now) = (request.time(), shared.clock.now());
    let mut pauses = shared.pauses.borrow_mut();
    let is_longer = pauses.observe(&upstream.id, upstream.boot, pause, now);
    let upstreams = pauses.len(now);
    drop(pauses);
    if !matches!(request, PauseRequest::For(_)) {
        shared.metrics.count_event("upstream_pause_out_of_range");
        log::warn!(event = "upstream_pause_out_of_range", upstream:% = upstream.id, value:? = text, used_ms = pause.0; "");
    }
    if is_longer {
        shared.begin_pace(upstream, PaceCause::Paused, now + pause);
        shared.metrics.count_event("upstream_pause");
        log::info!(event = "upstream_pause", upstream:% = upstream.id, boot = upstream.boot, pause_ms = pause.0,
            request:% = String::from_utf8_lossy(&job.id), paused_upstreams = upstreams; "");
    }
}

impl Shared {
    /// Takes an upstream's process that says that it leaves out of use.
    pub(crate) fn record_leaving(&self, id: &Rc<str>, boot: u64, source: LeavingSource) {
        if self.fleet.borrow().is_leaving(id, boot) {
            return;
        }
        let change = self.fleet.borrow_mut().record_leaving(id, boot);
        log::info!(event = "upstream_leaving", upstream:% = id, boot = boot, source = source.name(),
            was_ready = change.is_some(); "");
        self.metrics.count_event("upstream_leaving");
        self.record_change(change, Millis(0));
    }
}
