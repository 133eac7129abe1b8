//! What upstreams say of themselves in the heads of their answers: that they leave, and how many requests they take.

use std::rc::Rc;

use crate::platform::headers;
use crate::router::fleet::Upstream;
use crate::units::Millis;

use super::head::ResponseHead;
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

impl ResponseHead {
    /// Returns whether the upstream that has written this answer leaves.
    pub(super) fn is_of_leaving_upstream(&self) -> bool {
        self.fields
            .get(headers::UPSTREAM_LEAVING)
            .map(<[u8]>::trim_ascii)
            == Some(b"1")
    }
}

/// Records what the head of an answer says of its upstream; `sent_at` is when the request was sent.
pub(super) fn observe(shared: &Shared, upstream: &Upstream, head: &ResponseHead, sent_at: Millis) {
    if head.status == MISDIRECTED {
        // Another process has the address now.
        return;
    }
    observe_limit(shared, upstream, head, sent_at);
    if head.is_of_leaving_upstream() {
        shared.record_leaving(&upstream.id, upstream.boot, LeavingSource::Answer);
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
