//! What the gateway knows of cold upstreams: from the store, from answers and from beacons.

use std::rc::Rc;

use crate::platform::headers;
use crate::router::cold::{BeaconWord, Cold, ColdTerms, Turn, View};
use crate::router::fleet::Upstream;
use crate::units::Millis;

use super::head::ResponseHead;
use super::shared::Shared;

/// Where the word of a cold upstream comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ColdSource {
    /// Its entry in the store.
    Entry,
    /// An answer to a request.
    Answer,
    /// The beacon beside it.
    Beacon,
}

impl ColdSource {
    /// Returns the name used in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Answer => "answer",
            Self::Beacon => "beacon",
        }
    }
}

impl Shared {
    /// Returns the terms for cold upstreams of a service, if there is a bound on what they get.
    pub(crate) fn cold_terms(&self, service: &str) -> Option<ColdTerms> {
        let bound = self.policy.borrow().cold?;
        bound.terms(self.table.borrow().service(service)?)
    }

    /// Returns from where the state of upstreams is looked at.
    pub(crate) fn cold_view(&self, now: Millis) -> View {
        View {
            now,
            unix: self.clock.unix(),
            store_age: (self.freshness.borrow().age(now)).unwrap_or(Millis(u64::MAX)),
        }
    }

    /// Records an upstream's entry in the store.
    pub(super) fn observe_cold_entry(&self, upstream: &Upstream, now: Millis) {
        let left = upstream.warm_up;
        let is_new = (self.cold.borrow_mut()).observe(&upstream.id, upstream.boot, left, now);
        self.log_cold(upstream, is_new, left, ColdSource::Entry);
    }

    /// Records what an answer says of its upstream.
    pub(super) fn observe_cold_answer(&self, upstream: &Upstream, head: &ResponseHead) {
        let Some(left) = head.fields.number(headers::UPSTREAM_COLD_MS) else {
            return;
        };
        let (left, now) = (Millis(left), self.clock.now());
        let is_new = (self.cold.borrow_mut()).observe(&upstream.id, upstream.boot, left, now);
        self.log_cold(upstream, is_new, left, ColdSource::Answer);
    }

    /// Records a beacon's word of its upstream.
    pub(crate) fn observe_cold_beacon(&self, upstream: &Upstream, word: BeaconWord, now: Millis) {
        let (id, boot) = (&upstream.id, upstream.boot);
        let is_new = (self.cold.borrow_mut()).observe_beacon(id, boot, word, now);
        self.log_cold(upstream, is_new, word.cold_left, ColdSource::Beacon);
    }

    /// Records that an upstream does not answer; it may come back cold.
    pub(super) fn observe_cold_silence(&self, upstream: &Upstream, now: Millis) {
        (self.cold.borrow_mut()).observe_silence(&upstream.id, upstream.boot, now);
    }

    fn log_cold(&self, upstream: &Upstream, is_new: bool, left: Millis, source: ColdSource) {
        if !is_new || self.cold_terms(&upstream.service).is_none() {
            return;
        }
        self.metrics.count_event("upstream_cold");
        log::info!(event = "upstream_cold", upstream:% = upstream.id, boot = upstream.boot, left_ms = left.0,
            source = source.name(); "");
    }

    /// Returns why an upstream gets no request from this gateway now, if it is cold.
    pub(super) fn cold(&self, upstream: &Upstream, terms: ColdTerms, view: View) -> Option<Cold> {
        (self.cold.borrow()).cold(&upstream.id, upstream.boot, terms, view)
    }

    /// Takes the turn for a request to an upstream; `None` if it is not cold.
    pub(super) fn take_cold_turn(&self, upstream: &Upstream, now: Millis) -> Option<Turn> {
        let terms = self.cold_terms(&upstream.service)?;
        let view = self.cold_view(now);
        let mut cold = self.cold.borrow_mut();
        let turn = cold.take(&upstream.id, upstream.boot, terms, view)?;
        drop(cold);
        self.metrics.count_event("cold_turn");
        Some(turn)
    }

    /// Returns whether a request may still be sent that has taken this turn.
    pub(super) fn may_send_cold(&self, upstream: &Rc<Upstream>, turn: Option<Turn>) -> bool {
        let Some(terms) = self.cold_terms(&upstream.service) else {
            return true;
        };
        let now = self.clock.now();
        let view = self.cold_view(now);
        let mut cold = self.cold.borrow_mut();
        cold.tick(now);
        cold.may_send(&upstream.id, upstream.boot, turn, terms, view)
    }
}
