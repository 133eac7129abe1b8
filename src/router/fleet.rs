//! The upstreams that are registered in the store, and how far they may be used.
//!
//! The registry can be wrong in known ways: entries lapse while the store is away, old reports arrive
//! after newer ones, and an id or an address can be taken over by a new process.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::units::Millis;

/// How long an entry that lapsed during an outage of the store is still used after the store's return; live
/// upstreams are back within about two seconds.
const LAPSE_GRACE: Millis = Millis(1_800);

/// Time after the store's return in which removals count as caused by the outage; later ones are upstreams that left.
const LAPSE_WINDOW: Millis = Millis(1_000);

/// Part of the time to catch up that is left after a grace, for requests on their way.
const SEND_MARGIN: Millis = Millis(200);

/// Tells removals that an outage of the store caused from upstreams that left.
///
/// A single call that fails is no outage: connections break while the store is sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutageTracker {
    /// Interval in which upstreams renew their entries. A shorter outage costs one renewal at most, and an
    /// entry lapses after three.
    heartbeat: Millis,
    /// Time in which a gateway is to know again what the store says after it was cut off.
    catch_up: Millis,
    away: Option<Away>,
    outage: Option<Outage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Away {
    since: Millis,
    /// When the store may have been back at the earliest.
    back_after: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outage {
    away: Away,
    /// When the store answered again.
    ended: Millis,
}

impl OutageTracker {
    /// Starts without an outage.
    #[must_use]
    pub const fn new(heartbeat: Millis, catch_up: Millis) -> Self {
        Self {
            heartbeat,
            catch_up,
            away: None,
            outage: None,
        }
    }

    /// Sets the interval in which upstreams renew their entries, and the time to catch up.
    pub const fn set_bounds(&mut self, heartbeat: Millis, catch_up: Millis) {
        self.heartbeat = heartbeat;
        self.catch_up = catch_up;
    }

    /// Records a call that failed; `at` is when it was refused or, if it got no answer, when it was sent.
    pub fn record_failure(&mut self, at: Millis) {
        let since = self.away.map_or(at, |away| away.since);
        self.away = Some(Away {
            since,
            back_after: at,
        });
    }

    /// Records an answer; returns for how long the store may have been away before it.
    pub fn record_success(&mut self, now: Millis) -> Option<Millis> {
        let away = self.away.take()?;
        self.outage = Some(Outage { away, ended: now });
        Some(now.since(away.since))
    }

    /// Returns until when an entry that is removed now is still used; `None` if it is gone.
    #[must_use]
    pub fn grace(&self, now: Millis) -> Option<Millis> {
        let Outage { away, ended } = self.outage?;
        let can_lapse = ended.since(away.since) >= self.heartbeat;
        let latest = away.back_after + self.catch_up.since(SEND_MARGIN);
        let until = latest.min(ended + LAPSE_GRACE);
        (can_lapse && now.since(ended) <= LAPSE_WINDOW && now < until).then_some(until)
    }
}

/// Whether an upstream takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and will leave.
    Draining,
}

/// One upstream as registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Id of this registration.
    pub id: Rc<str>,
    /// Address that takes requests.
    pub addr: SocketAddr,
    /// Service that it belongs to.
    pub service: Rc<str>,
    /// Data centre.
    pub data_centre: Rc<str>,
    /// Version of its software or weights.
    pub version: Rc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: UpstreamState,
    /// Start of its process, in Unix milliseconds; tells two processes with one id apart.
    pub boot: u64,
    /// Number of the report; it grows within a boot.
    pub seq: u64,
    /// Time until which it is slower than usual after its start, as a span from the report.
    pub warm_up: Millis,
}

#[derive(Debug, Clone)]
struct Member {
    upstream: Rc<Upstream>,
    /// When an entry that is missing since an outage is taken as gone.
    missing_until: Option<Millis>,
}

/// What a change of the registry meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A new upstream, or a new process under a known id.
    Joined(Rc<Upstream>),
    /// It takes no new requests.
    Draining(Rc<Upstream>),
    /// It is gone.
    Gone(Rc<Upstream>),
    /// It is missing after an outage and still used for a while.
    Missing(Rc<Upstream>),
    /// An older report than the known one, which is ignored.
    Outdated(Rc<Upstream>),
}

impl Member {
    fn is_present(&self, now: Millis) -> bool {
        self.missing_until.is_none_or(|until| now < until)
    }

    fn is_ready(&self, now: Millis) -> bool {
        self.upstream.state == UpstreamState::Ready && self.is_present(now)
    }
}

/// All registered upstreams, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    members: Vec<Member>,
}

impl Fleet {
    /// Takes in a report of an upstream.
    pub fn put(&mut self, mut reported: Upstream) -> Option<Change> {
        let at = match self.find(&reported.id) {
            Ok(at) => at,
            Err(at) => {
                let upstream = Rc::new(reported);
                let member = Member {
                    upstream: Rc::clone(&upstream),
                    missing_until: None,
                };
                self.members.insert(at, member);
                return Some(Change::Joined(upstream));
            }
        };
        let member = &mut self.members[at];
        let known = &member.upstream;
        if (reported.boot, reported.seq) < (known.boot, known.seq) {
            return Some(Change::Outdated(Rc::clone(known)));
        }
        let is_same_boot = reported.boot == known.boot;
        // A process that has begun to leave does not come back.
        if is_same_boot && known.state == UpstreamState::Draining {
            reported.state = UpstreamState::Draining;
        }
        let was = known.state;
        member.missing_until = None;
        member.upstream = Rc::new(reported);
        let upstream = Rc::clone(&member.upstream);
        match (is_same_boot, was, upstream.state) {
            (false, _, _) => Some(Change::Joined(upstream)),
            (true, UpstreamState::Ready, UpstreamState::Draining) => {
                Some(Change::Draining(upstream))
            }
            (true, _, _) => None,
        }
    }

    /// Takes in that an entry was removed; `grace` is until when it is used if it has only lapsed.
    pub fn remove(&mut self, id: &str, grace: Option<Millis>) -> Option<Change> {
        let at = self.find(id).ok()?;
        let member = &mut self.members[at];
        let upstream = Rc::clone(&member.upstream);
        if let Some(until) = grace.filter(|_| upstream.state == UpstreamState::Ready) {
            member.missing_until.get_or_insert(until);
            return Some(Change::Missing(upstream));
        }
        self.members.remove(at);
        Some(Change::Gone(upstream))
    }

    /// Replaces the registry by a full list; entries that are not in it count as removed.
    pub fn replace(&mut self, listed: Vec<Upstream>, grace: Option<Millis>) -> Vec<Change> {
        let mut ids: Vec<_> = listed.iter().map(|u| Rc::clone(&u.id)).collect();
        ids.sort();
        let known = self.members.iter().map(|m| Rc::clone(&m.upstream.id));
        let missing: Vec<_> = known.filter(|id| ids.binary_search(id).is_err()).collect();
        let removed = missing
            .iter()
            .filter_map(|id| self.remove(id, grace))
            .collect::<Vec<_>>();
        let put = listed.into_iter().filter_map(|u| self.put(u));
        removed.into_iter().chain(put.collect::<Vec<_>>()).collect()
    }

    /// Drops entries whose time as missing is over.
    pub fn expire(&mut self, now: Millis) -> Vec<Change> {
        let mut gone = Vec::new();
        self.members.retain(|m| {
            let is_present = m.is_present(now);
            if !is_present {
                gone.push(Change::Gone(Rc::clone(&m.upstream)));
            }
            is_present
        });
        gone
    }

    /// Returns the upstreams of a service that may get new requests now, by id.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = &'a Rc<Upstream>> {
        let ready = self.members.iter().filter(move |m| m.is_ready(now));
        let upstreams = ready.map(|m| &m.upstream);
        upstreams.filter(move |u| u.service.as_ref() == service)
    }

    /// Returns all upstreams, by id.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.members.iter().map(|m| &m.upstream)
    }

    /// Tells whether the same process still takes requests.
    #[must_use]
    pub fn is_ready(&self, id: &str, boot: u64, now: Millis) -> bool {
        self.find(id).is_ok_and(|at| {
            let member = &self.members[at];
            member.upstream.boot == boot && member.is_ready(now)
        })
    }

    /// Tells whether the same process is registered, also if it is draining.
    #[must_use]
    pub fn is_present(&self, id: &str, boot: u64) -> bool {
        self.find(id)
            .is_ok_and(|at| self.members[at].upstream.boot == boot)
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|m| m.upstream.id.as_ref().cmp(id))
    }
}
