//! The upstreams that are registered in the store, and whether they may be used.
//!
//! The registry can be wrong in four ways: entries expire while the store is unavailable, reports arrive out of
//! order, a new process can take over an id or an address, and a restored store has entries of upstreams that have left and
//! lacks those of upstreams that have joined.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::units::Millis;

/// How long after the store's recovery an entry that expired during the outage is still used. Live upstreams
/// register again within about two seconds.
const EXPIRY_GRACE: Millis = Millis(1_800);

/// Time after the store's recovery during which removals are attributed to the outage. Later removals are of
/// upstreams that left.
const EXPIRY_WINDOW: Millis = Millis(1_000);

/// Part of the catch-up time that must remain when a grace period ends, for requests that are in transit.
const TRANSIT_MARGIN: Millis = Millis(200);

/// Maximum number of departures in memory: more than five days of them on the largest deployment, and copies are some seconds
/// old.
const MAX_DEPARTED: usize = 4_096;

/// Missed heartbeats after which the store removes an entry.
const HEARTBEATS_TO_EXPIRY: u64 = 3;

/// How long before the end of a grace period the store must have answered for an absence to count as a departure: the time that an
/// answer takes.
const MAX_HEARD_AGE: Millis = Millis(100);

/// Returns the time after which an entry of an upstream that has left is gone from a restored store.
#[must_use]
pub const fn copied_entry_lifetime(heartbeat: Millis, settle: Millis) -> Millis {
    Millis(heartbeat.0 * HEARTBEATS_TO_EXPIRY + settle.0)
}

/// Distinguishes removals caused by an outage of the store from those of upstreams that left.
///
/// A single failed call does not count as an outage, since connections also break while the store is healthy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutageTracker {
    /// Interval at which upstreams renew their entries. An outage shorter than this prevents at most one renewal,
    /// and an entry expires only after three missed ones.
    heartbeat: Millis,
    /// Time within which a gateway must have the store's current state again after it was cut off.
    catch_up: Millis,
    unavailability: Option<Unavailability>,
    outage: Option<Outage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Unavailability {
    since: Millis,
    /// Earliest time at which the store may have been available again: the last failed call.
    last_failure: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outage {
    unavailability: Unavailability,
    /// When the store first answered again.
    ended_at: Millis,
}

impl OutageTracker {
    /// Creates a tracker without a recorded outage.
    #[must_use]
    pub const fn new(heartbeat: Millis, catch_up: Millis) -> Self {
        Self {
            heartbeat,
            catch_up,
            unavailability: None,
            outage: None,
        }
    }

    /// Sets the interval at which upstreams renew their entries, and the catch-up time.
    pub const fn set_bounds(&mut self, heartbeat: Millis, catch_up: Millis) {
        self.heartbeat = heartbeat;
        self.catch_up = catch_up;
    }

    /// Records a failed call to the store; `at` is when it failed or, if it got no answer, when it was sent.
    pub fn record_failure(&mut self, at: Millis) {
        let since = self
            .unavailability
            .map_or(at, |unavailability| unavailability.since);
        self.unavailability = Some(Unavailability {
            since,
            last_failure: at,
        });
    }

    /// Records an answer of the store; returns for how long the store may have been unavailable before it.
    pub fn record_success(&mut self, now: Millis) -> Option<Millis> {
        let unavailability = self.unavailability.take()?;
        self.outage = Some(Outage {
            unavailability,
            ended_at: now,
        });
        Some(now.since(unavailability.since))
    }

    /// Returns until when an entry that is removed now is still used; `None` if the upstream counts as gone at
    /// once.
    #[must_use]
    pub fn grace(&self, now: Millis) -> Option<Millis> {
        let Outage {
            unavailability,
            ended_at,
        } = self.outage?;
        let can_expire = ended_at.since(unavailability.since) >= self.heartbeat;
        let latest = unavailability.last_failure + self.catch_up.since(TRANSIT_MARGIN);
        let until = latest.min(ended_at + EXPIRY_GRACE);
        (can_expire && now.since(ended_at) <= EXPIRY_WINDOW && now < until).then_some(until)
    }
}

/// Whether an upstream takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamState {
    /// It takes requests.
    Ready,
    /// It finishes the requests that it has and will then leave.
    Draining,
}

/// One upstream as registered in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Id of this registration.
    pub id: Rc<str>,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Service that it belongs to.
    pub service: Rc<str>,
    /// Data centre.
    pub data_centre: Rc<str>,
    /// Version of its software or weights.
    pub version: Rc<str>,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: UpstreamState,
    /// Start time of its process, in Unix milliseconds; distinguishes processes that use the same id.
    pub boot: u64,
    /// Sequence number of the report; it grows while the process runs.
    pub seq: u64,
    /// How long after the report it is still slower than usual because its process has just started.
    pub warm_up: Millis,
}

#[derive(Debug, Clone)]
struct Member {
    upstream: Rc<Upstream>,
    /// When the upstream counts as gone, if its entry is missing since an outage.
    missing_until: Option<Millis>,
    /// Whether the store has removed the missing entry, rather than been restored from a copy that never had it.
    is_removed: bool,
}

/// Effect of a change in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A new upstream, or a new process under a known id.
    Joined(Rc<Upstream>),
    /// It takes no new requests any more.
    Draining(Rc<Upstream>),
    /// It is gone.
    Gone(Rc<Upstream>),
    /// Its entry is missing after an outage; the upstream is still used until its grace period ends.
    Missing(Rc<Upstream>),
    /// The report was older than the known one and was ignored; holds the known entry.
    Outdated(Rc<Upstream>),
    /// A restored store has an entry from before the upstream left; it is not used unless it outlasts the silence of a process
    /// that has ended.
    Held(Rc<Upstream>),
}

/// The last report of an upstream that has left.
#[derive(Debug, Clone)]
struct Departed {
    id: Rc<str>,
    boot: u64,
    seq: u64,
    /// Position in the order of departures.
    number: u64,
}

/// Times that the first listing of a restored store depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyTimes {
    /// The present time.
    pub now: Millis,
    /// When the history before was heard of last.
    pub heard_at: Millis,
    /// Until when upstreams that the copy lacks should have registered again.
    pub missing_until: Millis,
    /// Until when entries of processes that have ended expire.
    pub held_until: Millis,
}

/// An entry of a restored store that is older than its upstream's departure.
#[derive(Debug, Clone)]
struct Held {
    upstream: Upstream,
    /// When the upstream counts as alive if the entry is still there.
    until: Millis,
}

impl Member {
    fn is_present(&self, now: Millis) -> bool {
        self.missing_until.is_none_or(|until| now < until)
    }

    fn is_ready(&self, now: Millis) -> bool {
        self.upstream.state == UpstreamState::Ready && self.is_present(now)
    }
}

/// An upstream's process that has said itself that it leaves.
#[derive(Debug, Clone)]
struct Leaving {
    id: Rc<str>,
    boot: u64,
    /// Position in the order in which they said so.
    number: u64,
}

/// All registered upstreams, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    members: Vec<Member>,
    /// Upstreams that have left, sorted by id.
    departed: Vec<Departed>,
    departures: u64,
    /// Sorted by id.
    held: Vec<Held>,
    /// Sorted by id.
    leaving: Vec<Leaving>,
    leavings: u64,
}

impl Fleet {
    /// Applies a report of an upstream.
    pub fn put(&mut self, mut reported: Upstream) -> Option<Change> {
        self.release(&reported.id);
        if let Ok(at) = self.find_departed(&reported.id)
            && reported.boot <= self.departed[at].boot
        {
            self.departed.remove(at);
        }
        if self.is_leaving(&reported.id, reported.boot) {
            reported.state = UpstreamState::Draining;
        }
        let at = match self.find(&reported.id) {
            Ok(at) => at,
            Err(at) => {
                let upstream = Rc::new(reported);
                let member = Member {
                    upstream: Rc::clone(&upstream),
                    missing_until: None,
                    is_removed: false,
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
        let replaced = (!is_same_boot).then(|| Rc::clone(known));
        // A process that has started draining never becomes ready again.
        if is_same_boot && known.state == UpstreamState::Draining {
            reported.state = UpstreamState::Draining;
        }
        let previous_state = known.state;
        member.missing_until = None;
        member.is_removed = false;
        member.upstream = Rc::new(reported);
        let upstream = Rc::clone(&member.upstream);
        if let Some(replaced) = replaced {
            self.record_departure(&replaced);
        }
        match (is_same_boot, previous_state, upstream.state) {
            (false, _, _) => Some(Change::Joined(upstream)),
            (true, UpstreamState::Ready, UpstreamState::Draining) => {
                Some(Change::Draining(upstream))
            }
            (true, _, _) => None,
        }
    }

    /// Records that an upstream's process has said itself that it leaves. It takes no new requests, whatever the store says of
    /// it; another process under its id does.
    pub fn record_leaving(&mut self, id: &Rc<str>, boot: u64) -> Option<Change> {
        let at = match self.find_leaving(id) {
            Ok(at) if self.leaving[at].boot >= boot => return None,
            found => found,
        };
        self.leavings += 1;
        let leaving = Leaving {
            id: Rc::clone(id),
            boot,
            number: self.leavings,
        };
        match at {
            Ok(at) => self.leaving[at] = leaving,
            Err(at) => self.leaving.insert(at, leaving),
        }
        if self.leaving.len() > MAX_DEPARTED {
            let oldest = self.leavings - MAX_DEPARTED as u64;
            self.leaving.retain(|l| l.number > oldest);
        }
        let at = self.find(id).ok()?;
        let member = &mut self.members[at];
        if member.upstream.boot != boot || member.upstream.state == UpstreamState::Draining {
            return None;
        }
        let upstream = Rc::new(Upstream {
            state: UpstreamState::Draining,
            ..(*member.upstream).clone()
        });
        member.upstream = Rc::clone(&upstream);
        Some(Change::Draining(upstream))
    }

    /// Returns whether an upstream's process has said itself that it leaves.
    #[must_use]
    pub fn is_leaving(&self, id: &str, boot: u64) -> bool {
        self.find_leaving(id)
            .is_ok_and(|at| self.leaving[at].boot == boot)
    }

    /// Returns the number of registered upstreams that have said themselves that they leave.
    #[must_use]
    pub fn leaving_count(&self) -> usize {
        let leaving = |m: &&Member| self.is_leaving(&m.upstream.id, m.upstream.boot);
        self.members.iter().filter(leaving).count()
    }

    /// Applies the removal of an entry; `grace` is until when a ready upstream is still used, if an outage may be
    /// the cause.
    pub fn remove(&mut self, id: &str, grace: Option<Millis>) -> Option<Change> {
        self.release(id);
        let at = self.find(id).ok()?;
        let member = &mut self.members[at];
        let upstream = Rc::clone(&member.upstream);
        if let Some(until) = grace.filter(|_| upstream.state == UpstreamState::Ready) {
            member.missing_until.get_or_insert(until);
            member.is_removed = true;
            return Some(Change::Missing(upstream));
        }
        self.members.remove(at);
        self.record_departure(&upstream);
        Some(Change::Gone(upstream))
    }

    /// Applies a full list of the registry; known entries that are not in it count as removed.
    pub fn replace(&mut self, listed: Vec<Upstream>, grace: Option<Millis>) -> Vec<Change> {
        let mut ids: Vec<_> = listed.iter().map(|u| Rc::clone(&u.id)).collect();
        ids.sort();
        let known = self.members.iter().map(|m| Rc::clone(&m.upstream.id));
        let missing: Vec<_> = known.filter(|id| ids.binary_search(id).is_err()).collect();
        let removed = missing
            .iter()
            .filter_map(|id| self.remove(id, grace))
            .collect::<Vec<_>>();
        self.held
            .retain(|h| ids.binary_search(&h.upstream.id).is_ok());
        let put = listed.into_iter().filter_map(|u| {
            let is_held = self.held.iter().any(|h| h.upstream == u);
            if is_held { None } else { self.put(u) }
        });
        removed.into_iter().chain(put.collect::<Vec<_>>()).collect()
    }

    /// Applies the first list of a store that was restored from a copy.
    ///
    /// Upstreams that the copy lacks are used for a while, in which they register again. Entries from before a known departure
    /// are held.
    pub fn replace_by_copy(&mut self, listed: Vec<Upstream>, times: CopyTimes) -> Vec<Change> {
        // A grace that has ended does not start anew.
        let mut changes = self.expire(times.now, times.heard_at);
        self.held.clear();
        let mut ids: Vec<_> = listed.iter().map(|u| Rc::clone(&u.id)).collect();
        ids.sort();
        let known = self.members.iter().map(|m| Rc::clone(&m.upstream.id));
        let missing: Vec<_> = known.filter(|id| ids.binary_search(id).is_err()).collect();
        for id in missing {
            let Ok(at) = self.find(&id) else {
                continue;
            };
            let member = &mut self.members[at];
            if member.upstream.state == UpstreamState::Draining {
                changes.extend(self.remove(&id, None));
                continue;
            }
            // A grace from an earlier restore starts anew.
            member.missing_until = Some(times.missing_until);
            changes.push(Change::Missing(Rc::clone(&member.upstream)));
        }
        for upstream in listed {
            if self.is_from_before_departure(&upstream) {
                changes.push(Change::Held(Rc::new(upstream.clone())));
                self.hold(upstream, times.held_until);
                continue;
            }
            if let Ok(at) = self.find(&upstream.id) {
                self.members[at].missing_until = None;
                self.members[at].is_removed = false;
            }
            changes.extend(self.put(upstream));
        }
        changes
    }

    /// Removes missing entries whose grace period has ended.
    ///
    /// Upstreams that a restored store lacked count as departed only if the store's present history was heard of at `heard_at`,
    /// about when they should have registered again; a gateway that was frozen or cut off may have missed that.
    pub fn expire(&mut self, now: Millis, heard_at: Millis) -> Vec<Change> {
        let expired: Vec<_> = (self.members)
            .extract_if(.., |m| !m.is_present(now))
            .collect();
        for member in &expired {
            let until = member.missing_until.unwrap_or(now);
            if member.is_removed || heard_at + MAX_HEARD_AGE >= until {
                self.record_departure(&member.upstream);
            }
        }
        let gone = expired.into_iter().map(|m| Change::Gone(m.upstream));
        gone.collect()
    }

    /// Uses held entries that a restored store still has in the answer to a call that was sent at `called_at`, although those of
    /// processes that have ended are gone by then.
    pub fn release_lasting(&mut self, called_at: Millis) -> Vec<Change> {
        let lasting: Vec<_> = (self.held)
            .extract_if(.., |h| h.until <= called_at)
            .collect();
        let put = lasting.into_iter().filter_map(|h| self.put(h.upstream));
        put.collect()
    }

    fn is_from_before_departure(&self, upstream: &Upstream) -> bool {
        self.find_departed(&upstream.id).is_ok_and(|at| {
            let departed = &self.departed[at];
            (upstream.boot, upstream.seq) <= (departed.boot, departed.seq)
        })
    }

    fn hold(&mut self, upstream: Upstream, until: Millis) {
        match self
            .held
            .binary_search_by(|h| h.upstream.id.cmp(&upstream.id))
        {
            Ok(at) => self.held[at] = Held { upstream, until },
            Err(at) => self.held.insert(at, Held { upstream, until }),
        }
    }

    /// Drops a held entry, because the store has said something newer of it.
    fn release(&mut self, id: &str) {
        if let Ok(at) = self
            .held
            .binary_search_by(|h| h.upstream.id.as_ref().cmp(id))
        {
            self.held.remove(at);
        }
    }

    fn record_departure(&mut self, upstream: &Upstream) {
        self.departures += 1;
        let departed = Departed {
            id: Rc::clone(&upstream.id),
            boot: upstream.boot,
            seq: upstream.seq,
            number: self.departures,
        };
        match self.find_departed(&upstream.id) {
            Ok(at) => self.departed[at] = departed,
            Err(at) => self.departed.insert(at, departed),
        }
        if self.departed.len() > MAX_DEPARTED {
            let oldest = self.departures - MAX_DEPARTED as u64;
            self.departed.retain(|d| d.number > oldest);
        }
    }

    fn find_leaving(&self, id: &str) -> Result<usize, usize> {
        self.leaving.binary_search_by(|l| l.id.as_ref().cmp(id))
    }

    fn find_departed(&self, id: &str) -> Result<usize, usize> {
        self.departed.binary_search_by(|d| d.id.as_ref().cmp(id))
    }

    /// Returns the upstreams of a service that may get new requests now, sorted by id.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = &'a Rc<Upstream>> {
        let ready = self.members.iter().filter(move |m| m.is_ready(now));
        let upstreams = ready.map(|m| &m.upstream);
        upstreams.filter(move |u| u.service.as_ref() == service)
    }

    /// Returns all upstreams, sorted by id.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.members.iter().map(|m| &m.upstream)
    }

    /// Returns whether the upstream is still registered with this process and takes requests.
    #[must_use]
    pub fn is_ready(&self, id: &str, boot: u64, now: Millis) -> bool {
        self.find(id).is_ok_and(|at| {
            let member = &self.members[at];
            member.upstream.boot == boot && member.is_ready(now)
        })
    }

    /// Returns whether the upstream is still registered with this process, ready or draining.
    #[must_use]
    pub fn is_present(&self, id: &str, boot: u64) -> bool {
        self.find(id)
            .is_ok_and(|at| self.members[at].upstream.boot == boot)
    }

    /// Returns whether an upstream with this id is registered, whatever its process.
    #[must_use]
    pub fn has(&self, id: &str) -> bool {
        self.find(id).is_ok()
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|m| m.upstream.id.as_ref().cmp(id))
    }
}
