//! The state machine of one process.

use super::peers::{ConfirmedAt, Peers};
use super::{
    Admission, Delta, Digest, Effect, MAX_MESSAGE_PARTS, Message, Neighbours, Part, PeerId,
    RootRef, Status,
};
use crate::units::Millis;

/// Time between two status messages to each parent.
pub const STATUS_INTERVAL: Millis = Millis::from_secs(1);
/// Time after which a pull or a request for parts is sent to another source.
pub const ASK_RETRY: Millis = Millis(400);
/// Wait of a reader after its first failed read of the root.
pub const READ_BACK_OFF_MIN: Millis = Millis(500);
/// Longest wait of a reader between reads of the root; after an outage, a sheet is in effect within 3 s.
///
/// 2,210 processes without a relay tree make 1,105 of the service's 2,000 reads a second with it.
pub const READ_BACK_OFF_MAX: Millis = Millis::from_secs(2);
/// Age of the confirmation at which a process that is no reader reads the root itself.
///
/// Without faults the age reaches 10 s of a watch and 1 s for each of seven levels. With 10 s here, ordinary
/// ages caused such reads, and the busiest second had 19% of the service's reads.
pub const FALLBACK_AFTER: Millis = Millis::from_secs(30);
/// Span over which these reads are spread.
const FALLBACK_SPREAD_MS: u64 = 30_000;
/// Longest wait between such reads; 2,210 processes then make 37 of the service's 2,000 reads a second.
pub const FALLBACK_MAX: Millis = Millis::from_secs(60);
/// Roots that are kept to give deltas against; at 4,400 changes a day they last 5 min.
const MAX_HISTORY: usize = 16;

/// A root with the time at which the service last confirmed it.
#[derive(Debug)]
struct Held {
    root: RootRef,
    confirmed: Option<ConfirmedAt>,
}

/// Where missing parts are asked for.
#[derive(Debug, Clone)]
enum Source {
    Store,
    Peer(PeerId),
}

#[derive(Debug)]
enum Reading {
    InFlight,
    Idle { next: Millis },
}

/// The configuration that one process holds.
///
/// A root is in force only when all its parts are verified, and only a root of a higher revision replaces it.
#[derive(Debug)]
pub struct Replica {
    role: Neighbours,
    started: Millis,
    /// Spreads the reads of processes that lost their parents.
    jitter: Millis,
    peers: Peers,
    current: Option<Held>,
    /// The newer root whose parts are being fetched.
    next: Option<Held>,
    history: Vec<RootRef>,
    /// Verified parts of the current and the next root, sorted by digest.
    parts: Vec<(Digest, Part)>,
    /// Time of the last pull or request for parts.
    asked: Millis,
    /// Revision that the last pull was for.
    pulled: u64,
    asks: usize,
    reading: Reading,
    failures: u32,
    next_status: Millis,
}

impl Replica {
    /// Starts without a configuration; `draw` is a random number.
    #[must_use]
    pub const fn new(role: Neighbours, draw: u64, now: Millis) -> Self {
        Self {
            role,
            started: now,
            jitter: Millis(draw % FALLBACK_SPREAD_MS),
            peers: Peers::new(draw),
            current: None,
            next: None,
            history: Vec::new(),
            parts: Vec::new(),
            asked: Millis(0),
            pulled: 0,
            asks: 0,
            reading: Reading::Idle { next: now },
            failures: 0,
            next_status: now,
        }
    }

    /// Changes the neighbours.
    pub fn set_role(&mut self, role: Neighbours) {
        self.role = role;
    }

    /// Returns the root in force.
    #[must_use]
    pub fn root(&self) -> Option<&RootRef> {
        self.current.as_ref().map(|held| &held.root)
    }

    /// Returns the revision in force; 0 if none is.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.root().map_or(0, |root| root.revision)
    }

    /// Returns the text of a part of the root in force.
    #[must_use]
    pub fn part(&self, name: &str) -> Option<&Part> {
        self.held_part(self.root()?.part(name)?)
    }

    /// Returns the time since the service last confirmed the root in force.
    #[must_use]
    pub fn freshness(&self, now: Millis) -> Option<Millis> {
        let confirmed = self.current.as_ref()?.confirmed?;
        Some(confirmed.age(now))
    }

    /// Tells whether the process may serve requests with what it holds.
    #[must_use]
    pub fn may_serve(&self, now: Millis, max_staleness: Millis) -> bool {
        self.freshness(now).is_some_and(|age| age <= max_staleness)
    }

    /// Decides about a call of a process that has this revision in force.
    #[must_use]
    pub fn admit(&self, revision: u64, now: Millis, max_staleness: Millis) -> Admission {
        match revision.cmp(&self.revision()) {
            std::cmp::Ordering::Greater => Admission::FetchFirst,
            std::cmp::Ordering::Less => Admission::CallerBehind,
            std::cmp::Ordering::Equal if self.may_serve(now, max_staleness) => Admission::Run,
            std::cmp::Ordering::Equal => Admission::Stale,
        }
    }

    /// Tells a peer what is held, so that it asks for what is newer.
    #[must_use]
    pub fn announce_to(&self, peer: &PeerId, now: Millis) -> Vec<Effect> {
        vec![self.status(peer, false, now)]
    }

    /// Asks a peer for what is newer, before a call that it made or takes may run.
    #[must_use]
    pub fn fetch_from(&mut self, peer: &PeerId, now: Millis) -> Vec<Effect> {
        self.asked = now;
        vec![Effect::Send(
            peer.clone(),
            Message::Pull(self.newest_revision()),
        )]
    }

    /// Takes a root that was read from the service by a read sent at `sent`.
    pub fn on_root(&mut self, root: Option<RootRef>, sent: Millis, now: Millis) -> Vec<Effect> {
        self.failures = 0;
        let is_older = root.as_ref().is_some_and(|r| r.revision < self.revision());
        // Only readers with a useful answer watch again at once.
        let wait = match (&root, self.role.watches) {
            (None, true) => READ_BACK_OFF_MIN,
            (Some(_), true) if !is_older => Millis(0),
            _ => READ_BACK_OFF_MAX,
        };
        self.reading = Reading::Idle { next: now + wait };
        let Some(root) = root else {
            return Vec::new();
        };
        let confirmed = ConfirmedAt::ago(now, now.since(sent));
        let revision = root.revision;
        let mut effects = self.adopt(root, &Source::Store, Some(confirmed), now);
        self.confirm(revision, confirmed);
        effects.extend(self.put_into_force(now));
        effects
    }

    /// Takes the failure of a read of the root.
    pub fn on_root_failed(&mut self, now: Millis) {
        let longest = if self.role.watches {
            READ_BACK_OFF_MAX
        } else {
            FALLBACK_MAX
        };
        let wait = Millis(READ_BACK_OFF_MIN.0 << self.failures.min(10)).min(longest);
        self.failures = self.failures.saturating_add(1);
        self.reading = Reading::Idle { next: now + wait };
    }

    /// Takes parts, from the service or from a peer; what does not match a missing digest is dropped.
    pub fn on_parts(&mut self, parts: &[Part], now: Millis) -> Vec<Effect> {
        self.keep_parts(parts);
        self.put_into_force(now)
    }

    /// Takes a message of a peer.
    pub fn on_message(&mut self, from: &PeerId, message: Message, now: Millis) -> Vec<Effect> {
        match message {
            Message::Status(status) => self.on_status(from, &status, now),
            Message::Pull(have) => self.answer_pull(from, have),
            Message::Delta(delta) => self.on_delta(from, &delta, now),
            Message::Want(digests) => {
                let parts = self.limited(digests.iter().copied());
                vec![Effect::Send(from.clone(), Message::Parts(parts))]
            }
            Message::Parts(parts) => {
                let effects = self.on_parts(&parts, now);
                // A sender that could not put all into one message is asked for the rest at once.
                let more = effects.is_empty() && !parts.is_empty() && !self.missing().is_empty();
                if more {
                    return self.ask(&Source::Peer(from.clone()), now);
                }
                effects
            }
        }
    }

    /// Returns what is due now.
    pub fn step(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.must_read(now) {
            self.reading = Reading::InFlight;
            effects.push(Effect::ReadRoot {
                after: self.newest_revision(),
                wait: self.role.watches,
            });
        }
        if now >= self.next_status {
            self.next_status = now + STATUS_INTERVAL;
            for parent in self.role.parents.clone() {
                effects.push(self.status(&parent, true, now));
            }
        }
        if now.since(self.asked) >= ASK_RETRY {
            effects.extend(self.ask_again(now));
        }
        effects
    }

    fn must_read(&self, now: Millis) -> bool {
        let Reading::Idle { next } = self.reading else {
            return false;
        };
        let age = self
            .freshness(now)
            .unwrap_or_else(|| now.since(self.started));
        now >= next && (self.role.watches || age >= FALLBACK_AFTER + self.jitter)
    }

    /// Returns the highest revision that is held or being fetched.
    fn newest_revision(&self) -> u64 {
        let next = self.next.as_ref().map_or(0, |held| held.root.revision);
        next.max(self.revision())
    }

    fn on_status(&mut self, from: &PeerId, status: &Status, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(confirmed) = self.peers.observe(from, status, now) {
            self.confirm(status.revision, confirmed);
        }
        // The second parent's status must not fetch the same change again.
        let is_asked = status.revision <= self.pulled && now.since(self.asked) < ASK_RETRY;
        if status.revision > self.newest_revision() && !is_asked {
            self.pulled = status.revision;
            effects.extend(self.fetch_from(from, now));
        }
        if status.reply {
            effects.push(self.status(from, false, now));
        }
        effects
    }

    fn status(&self, to: &PeerId, reply: bool, now: Millis) -> Effect {
        let status = Status {
            revision: self.revision(),
            freshness: self.freshness(now),
            sent: self.peers.stamp(now),
            echo: self.peers.echo(to, now),
            reply,
        };
        Effect::Send(to.clone(), Message::Status(status))
    }

    /// Notes a confirmation of a revision that is held or being fetched.
    fn confirm(&mut self, revision: u64, confirmed: ConfirmedAt) {
        for held in [&mut self.current, &mut self.next].into_iter().flatten() {
            if held.root.revision == revision {
                held.confirmed = held.confirmed.max(Some(confirmed));
            }
        }
    }

    fn answer_pull(&self, from: &PeerId, have: u64) -> Vec<Effect> {
        let Some(root) = self.root().filter(|root| root.revision > have) else {
            return Vec::new();
        };
        let empty = RootRef::default();
        let base = self.history.iter().find(|old| old.revision == have);
        let base = base.unwrap_or(&empty);
        let (changed, removed) = root.changes_since(base);
        let delta = Delta {
            base: base.revision,
            revision: root.revision,
            digest: root.digest(),
            parts: self.limited(changed.iter().map(|(_, digest)| *digest)),
            changed,
            removed,
        };
        vec![Effect::Send(from.clone(), Message::Delta(delta))]
    }

    fn on_delta(&mut self, from: &PeerId, delta: &Delta, now: Millis) -> Vec<Effect> {
        if delta.revision <= self.newest_revision() {
            // A second answer to the same pull may still bring parts.
            return self.on_parts(&delta.parts, now);
        }
        let Some(root) = self.apply_delta(delta) else {
            // A full root that does not match its digest was damaged; the next status repairs it.
            return match delta.base {
                0 => Vec::new(),
                _ => vec![Effect::Send(from.clone(), Message::Pull(0))],
            };
        };
        let of_revision = self.peers.iter().filter(|p| p.revision == delta.revision);
        let confirmed = of_revision.filter_map(|peer| peer.confirmed).max();
        // The parts of the delta are kept before the missing ones are asked for.
        self.next = Some(Held { root, confirmed });
        let mut effects = self.on_parts(&delta.parts, now);
        if effects.is_empty() {
            effects.extend(self.ask(&Source::Peer(from.clone()), now));
        }
        effects
    }

    fn apply_delta(&self, delta: &Delta) -> Option<RootRef> {
        let empty = RootRef::default();
        let held = [&self.current, &self.next].into_iter().flatten();
        let mut bases = held.map(|held| &held.root).chain([&empty]);
        bases
            .find(|root| root.revision == delta.base)
            .map(|base| base.with_changes(delta.revision, &delta.changed, &delta.removed))
            .filter(|root| root.digest() == delta.digest)
    }

    /// Begins to fetch a root if it is newer than all that is held.
    fn adopt(
        &mut self,
        root: RootRef,
        source: &Source,
        confirmed: Option<ConfirmedAt>,
        now: Millis,
    ) -> Vec<Effect> {
        if root.revision < self.revision() {
            return vec![Effect::Refused(root.revision)];
        }
        if root.revision <= self.newest_revision() {
            return Vec::new();
        }
        self.next = Some(Held { root, confirmed });
        self.ask(source, now)
    }

    /// Asks a source for the missing parts of the next root.
    fn ask(&mut self, source: &Source, now: Millis) -> Vec<Effect> {
        let missing = self.missing();
        if missing.is_empty() {
            return Vec::new();
        }
        self.asked = now;
        vec![match source {
            Source::Store => Effect::ReadParts(missing),
            Source::Peer(id) => Effect::Send(id.clone(), Message::Want(missing)),
        }]
    }

    /// Repeats an unanswered pull or request for parts at another source.
    fn ask_again(&mut self, now: Millis) -> Vec<Effect> {
        let newest = self.newest_revision();
        let is_fetching = self.next.is_some();
        let ahead = |revision: u64| revision > newest || (is_fetching && revision == newest);
        let peers = self.peers.iter().filter(|peer| ahead(peer.revision));
        let mut sources: Vec<_> = peers
            .map(|peer| (Source::Peer(peer.id.clone()), peer.revision))
            .collect();
        if is_fetching && (self.role.watches || sources.is_empty()) {
            sources.push((Source::Store, newest));
        }
        self.asks = self.asks.wrapping_add(1);
        match sources.get(self.asks % sources.len().max(1)) {
            Some((Source::Peer(id), revision)) if *revision > newest => {
                let id = id.clone();
                self.fetch_from(&id, now)
            }
            Some((source, _)) => self.ask(&source.clone(), now),
            None => Vec::new(),
        }
    }

    /// Returns the digests of the next root whose parts are not held.
    fn missing(&self) -> Vec<Digest> {
        let wanted = self.next.iter().flat_map(|held| &held.root.parts);
        let mut missing: Vec<_> = wanted
            .map(|(_, digest)| *digest)
            .filter(|digest| self.held_part(*digest).is_none())
            .collect();
        missing.sort_unstable();
        missing.dedup();
        missing
    }

    fn keep_parts(&mut self, parts: &[Part]) {
        let missing = self.missing();
        for part in parts {
            let digest = Digest::of(part);
            if missing.binary_search(&digest).is_err() {
                continue;
            }
            if let Err(at) = self
                .parts
                .binary_search_by_key(&digest, |(known, _)| *known)
            {
                self.parts.insert(at, (digest, Part::clone(part)));
            }
        }
    }

    /// Puts the next root into force if all its parts are held, and tells the neighbours.
    fn put_into_force(&mut self, now: Millis) -> Vec<Effect> {
        if !self.missing().is_empty() {
            return Vec::new();
        }
        let Some(next) = self.next.take() else {
            return Vec::new();
        };
        let root = &next.root;
        self.parts.retain(|(digest, _)| root.contains(*digest));
        if self.history.len() == MAX_HISTORY {
            self.history.remove(0);
        }
        self.history.push(root.clone());
        let mut effects = vec![Effect::InForce(root.revision)];
        self.current = Some(next);
        let neighbours = self.role.children.iter().chain(&self.role.parents);
        effects.extend(neighbours.map(|id| self.status(id, false, now)));
        effects
    }

    fn held_part(&self, digest: Digest) -> Option<&Part> {
        let at = self
            .parts
            .binary_search_by_key(&digest, |(known, _)| *known);
        at.ok().map(|at| &self.parts[at].1)
    }

    /// Returns the held parts of these digests, as far as they fit one message.
    fn limited(&self, digests: impl Iterator<Item = Digest>) -> Vec<Part> {
        let mut bytes = 0;
        digests
            .filter_map(|digest| self.held_part(digest))
            .take_while(|part| {
                let is_first = bytes == 0;
                bytes += part.len();
                is_first || bytes <= MAX_MESSAGE_PARTS
            })
            .cloned()
            .collect()
    }
}
