//! Data centres that operators have evacuated: until an evacuation is taken back, no request is sent to an upstream there.
//!
//! The store holds one record for each evacuated data centre. A restored store may lack a record that was confirmed, so an
//! evacuation that a copy lacks stays in force until the history is settled. One that the copy still has, although it was taken
//! back, is in force until the operator takes it back again: it costs capacity for a short time and breaks no promise.

use std::rc::Rc;

use crate::units::Millis;

/// Time in which a data centre gets its share of requests back. The gateways learn of its upstreams' loads from reports that are
/// up to 200 ms old; within several of these, idle upstreams would get the requests of all gateways at once.
const RETURN_RAMP: Millis = Millis(1_000);

/// Range of the random numbers that decide within the ramp.
const DRAW_RANGE: u64 = 1_000;

/// Bounds of the time after which a refused client may come back.
const MIN_RETRY_AFTER: Millis = Millis(1_000);
const MAX_RETRY_AFTER: Millis = Millis::from_secs(30);

/// What changed for a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// It is evacuated from now on.
    Started(Rc<str>),
    /// A restored store lacks its record; the evacuation stays in force for now.
    Missing(Rc<str>),
    /// The evacuation was taken back.
    Ended {
        /// The data centre.
        data_centre: Rc<str>,
        /// Time for which it was evacuated.
        lasted: Millis,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Evacuation {
    data_centre: Rc<str>,
    since: Millis,
    /// When the operator should have written the record again that a restored store lacks.
    missing_until: Option<Millis>,
}

/// Evacuations in force, and those that ended a short time ago.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Sorted by data centre.
    in_force: Vec<Evacuation>,
    /// Data centres and when their evacuation ended, sorted by data centre.
    ended: Vec<(Rc<str>, Millis)>,
}

impl Evacuations {
    /// Puts an evacuation into force; one that is in force already goes on.
    pub fn start(&mut self, data_centre: &Rc<str>, now: Millis) -> Option<EvacuationChange> {
        match self.find(data_centre) {
            Ok(at) => {
                self.in_force[at].missing_until = None;
                None
            }
            Err(at) => {
                let evacuation = Evacuation {
                    data_centre: Rc::clone(data_centre),
                    since: now,
                    missing_until: None,
                };
                self.in_force.insert(at, evacuation);
                self.ended.retain(|(ended, _)| ended != data_centre);
                Some(EvacuationChange::Started(Rc::clone(data_centre)))
            }
        }
    }

    /// Ends an evacuation that was taken back.
    pub fn end(&mut self, data_centre: &str, now: Millis) -> Option<EvacuationChange> {
        let at = self.find(data_centre).ok()?;
        let evacuation = self.in_force.remove(at);
        let name = Rc::clone(&evacuation.data_centre);
        if let Err(at) = self.find_ended(data_centre) {
            self.ended.insert(at, (Rc::clone(&name), now));
        }
        Some(EvacuationChange::Ended {
            data_centre: name,
            lasted: now.since(evacuation.since),
        })
    }

    /// Applies a full list of the records; an evacuation that is not in it was taken back.
    pub fn replace(&mut self, listed: &[Rc<str>], now: Millis) -> Vec<EvacuationChange> {
        let ended: Vec<_> = self.not_in(listed).collect();
        let ended = ended.into_iter().filter_map(|name| self.end(&name, now));
        let mut changes: Vec<_> = ended.collect();
        changes.extend(listed.iter().filter_map(|name| self.start(name, now)));
        changes
    }

    /// Applies the first list of a store that was restored from a copy; evacuations that it lacks stay in force until
    /// `missing_until`, by when their operators have written them again.
    pub fn replace_by_copy(
        &mut self,
        listed: &[Rc<str>],
        missing_until: Millis,
        now: Millis,
    ) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        for name in self.not_in(listed).collect::<Vec<_>>() {
            if let Ok(at) = self.find(&name) {
                self.in_force[at].missing_until = Some(missing_until);
            }
            changes.push(EvacuationChange::Missing(name));
        }
        changes.extend(listed.iter().filter_map(|name| self.start(name, now)));
        changes
    }

    /// Ends evacuations whose records a restored store still lacks in the answer to a call that was sent at `called_at`,
    /// although it is settled by then.
    pub fn release_missing(&mut self, called_at: Millis, now: Millis) -> Vec<EvacuationChange> {
        let is_over = |e: &&Evacuation| e.missing_until.is_some_and(|until| until <= called_at);
        let over = self.in_force.iter().filter(is_over);
        let over: Vec<_> = over.map(|e| Rc::clone(&e.data_centre)).collect();
        let ended = over.iter().filter_map(|name| self.end(name, now));
        ended.collect()
    }

    /// Returns whether upstreams of a data centre may get no request.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.find(data_centre).is_ok()
    }

    /// Returns whether no data centre is evacuated.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.in_force.is_empty()
    }

    /// Returns the number of evacuated data centres.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.in_force.len()
    }

    /// Returns whether no data centre is evacuated or gets its share back.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.in_force.is_empty() && self.ended.is_empty()
    }

    /// Returns whether a request should avoid a data centre whose evacuation ended a short time ago; `draw` is the request's
    /// random number.
    #[must_use]
    pub fn is_returning(&self, data_centre: &str, now: Millis, draw: u64) -> bool {
        self.find_ended(data_centre).is_ok_and(|at| {
            let share = now.since(self.ended[at].1).0 * DRAW_RANGE / RETURN_RAMP.0;
            draw % DRAW_RANGE >= share
        })
    }

    /// Returns the time after which a client that is refused because of an evacuation may come back: an evacuation that has
    /// lasted for some time is expected to last as long again.
    #[must_use]
    pub fn retry_after(&self, now: Millis) -> Millis {
        let latest = self.in_force.iter().map(|e| e.since).max();
        let age = latest.map_or(Millis(0), |since| now.since(since));
        age.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }

    /// Forgets evacuations whose data centres have their whole share again.
    pub fn expire(&mut self, now: Millis) {
        (self.ended).retain(|(_, ended_at)| now.since(*ended_at) < RETURN_RAMP);
    }

    fn not_in<'a>(&'a self, listed: &'a [Rc<str>]) -> impl Iterator<Item = Rc<str>> + 'a {
        let names = self.in_force.iter().map(|e| &e.data_centre);
        names.filter(|name| !listed.contains(name)).map(Rc::clone)
    }

    fn find(&self, data_centre: &str) -> Result<usize, usize> {
        (self.in_force).binary_search_by(|e| e.data_centre.as_ref().cmp(data_centre))
    }

    fn find_ended(&self, data_centre: &str) -> Result<usize, usize> {
        (self.ended).binary_search_by(|(name, _)| name.as_ref().cmp(data_centre))
    }
}
