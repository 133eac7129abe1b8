//! Evacuations that the store tells of: taking them into force, with logs and counters.

use std::rc::Rc;

use crate::router::evacuations::EvacuationChange;
use crate::router::pace::PaceCause;
use crate::units::Millis;

use super::follow::UpdateKind;
use super::shared::Shared;

impl Shared {
    /// Puts an evacuation into force; `max_notice_age` is the longest time for which the store may have held the change.
    pub(super) fn start_evacuation(&self, data_centre: &Rc<str>, max_notice_age: Millis) {
        let now = self.clock.now();
        let change = self.evacuations.borrow_mut().start(data_centre, now);
        self.record_evacuations(change, max_notice_age);
    }

    /// Ends an evacuation that was taken back.
    pub(super) fn end_evacuation(&self, data_centre: &str, max_notice_age: Millis) {
        let now = self.clock.now();
        let change = self.evacuations.borrow_mut().end(data_centre, now);
        self.record_evacuations(change, max_notice_age);
    }

    /// Applies the evacuations of a listing.
    pub(super) fn replace_evacuations(
        &self,
        kind: UpdateKind,
        listed: &[Rc<str>],
        max_notice_age: Millis,
    ) {
        let now = self.clock.now();
        let settles_in = self.history.borrow().settles_in(now).unwrap_or_default();
        let mut evacuations = self.evacuations.borrow_mut();
        let changes = match kind {
            UpdateKind::Changes => return,
            UpdateKind::Listing => evacuations.replace(listed, now),
            UpdateKind::FirstListing => evacuations.replace_by_copy(listed, now + settles_in, now),
        };
        drop(evacuations);
        self.record_evacuations(changes, max_notice_age);
    }

    /// Ends evacuations that a restored store still lacks in the answer to a call that was sent at `called_at`.
    pub(super) fn release_evacuations(&self, called_at: Millis) {
        let now = self.clock.now();
        let ended = (self.evacuations.borrow_mut()).release_missing(called_at, now);
        self.record_evacuations(ended, Millis(0));
    }

    /// Logs and counts changes of evacuations.
    fn record_evacuations(
        &self,
        changes: impl IntoIterator<Item = EvacuationChange>,
        max_notice_age: Millis,
    ) {
        for change in changes {
            let (change_name, event, data_centre, lasted) = match &change {
                EvacuationChange::Started(name) => {
                    ("started", "evacuation_started", name, Millis(0))
                }
                EvacuationChange::Missing(name) => {
                    ("missing", "evacuation_missing", name, Millis(0))
                }
                EvacuationChange::Ended {
                    data_centre,
                    lasted,
                } => ("ended", "evacuation_ended", data_centre, *lasted),
            };
            let fleet = self.fleet.borrow();
            let upstreams = fleet.all().filter(|u| u.data_centre == *data_centre);
            let upstreams: Vec<_> = upstreams.collect();
            if matches!(change, EvacuationChange::Ended { .. }) {
                for upstream in &upstreams {
                    self.begin_pace(upstream, PaceCause::Evacuated, self.clock.now());
                }
            }
            log::info!(event = "evacuation", change = change_name, data_centre:% = data_centre,
                upstreams = upstreams.len(), lasted_ms = lasted.0, word_age_ms = max_notice_age.0; "");
            self.metrics.count_event(event);
        }
    }
}
