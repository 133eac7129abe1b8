//! The state machine of one process in the dissemination.

use super::peers::{ConfirmedAt, Peers};
use super::{
    Admission, Delta, Digest, Effect, MAX_MESSAGE_PARTS_BYTES, Message, Neighbours, Part, PeerId,
    RootRef, Status,
};
use crate::units::Millis;

/// Time between status messages to each parent.
pub const STATUS_INTERVAL: Millis = Millis::from_secs(1);
/// Time after which an unanswered pull or request for parts is repeated at another source.
pub const REQUEST_RETRY_INTERVAL: Millis = Millis(400);
/// Wait of a reader after its first failed read of the root.
pub const READ_BACK_OFF_MIN: Millis = Millis(500);
/// Maximum wait of a reader between reads of the root; after an outage, a sheet is in effect within 3 s.
///
/// Without a relay tree, 2,210 processes then send 1,105 reads per second; the service allows 2,000.
pub const READ_BACK_OFF_MAX: Millis = Millis::from_secs(2);
/// Age of the last confirmation at which a process that is not a reader reads the root itself.
///
/// Without faults the age reaches 17 s: 10 s of a watch and 1 s for each of seven tree levels. With a limit
/// of 10 s, normal ages caused such reads, and the busiest second used 19% of the service's reads.
pub const FALLBACK_READ_AGE: Millis = Millis::from_secs(30);
/// Range of the random delay that is added to [`FALLBACK_READ_AGE`] to spread these reads.
const FALLBACK_JITTER_MS: u64 = 30_000;
/// Maximum wait after a failed fallback read; 2,210 processes then send 37 reads per second; the service
/// allows 2,000.
pub const FALLBACK_BACK_OFF_MAX: Millis = Millis::from_secs(60);
/// Number of roots kept as bases for deltas; at 4,400 changes per day they cover 5 min.
const MAX_HISTORY_ROOTS: usize = 16;

/// A root with the time at which the service last confirmed it.
#[derive(Debug)]
struct TrackedRoot {
    root: RootRef,
    confirmed: Option<ConfirmedAt>,
}

/// Source from which missing parts are requested.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Source {
    Store,
    Peer(PeerId),
}

#[derive(Debug)]
enum ReadState {
    InFlight,
    Idle { next_read_at: Millis },
}

/// The configuration that one process holds.
///
/// A root comes into force only when all its parts are held and verified, and only a root of a higher revision
/// replaces it.
#[derive(Debug)]
pub struct Replica {
    neighbours: Neighbours,
    started: Millis,
    /// Random delay that spreads the fallback reads of processes that lost their parents.
    jitter: Millis,
    peers: Peers,
    current: Option<TrackedRoot>,
    /// A newer root whose parts are being fetched.
    next: Option<TrackedRoot>,
    history: Vec<RootRef>,
    /// Verified parts of the current and next root, sorted by digest.
    parts: Vec<(Digest, Part)>,
    /// Time of the last pull or request for parts.
    requested_at: Millis,
    /// Revision of the status that caused the last pull.
    pulled_revision: u64,
    /// Number of repeated requests, which go to the sources in turn.
    retries: usize,
    read_state: ReadState,
    read_failures: u32,
    next_status: Millis,
}

impl Replica {
    /// Creates a replica without a configuration; `random` is a random number.
    #[must_use]
    pub const fn new(neighbours: Neighbours, random: u64, now: Millis) -> Self {
        Self {
            neighbours,
            started: now,
            jitter: Millis(random % FALLBACK_JITTER_MS),
            peers: Peers::new(random),
            current: None,
            next: None,
            history: Vec::new(),
            parts: Vec::new(),
            requested_at: Millis(0),
            pulled_revision: 0,
            retries: 0,
            read_state: ReadState::Idle { next_read_at: now },
            read_failures: 0,
            next_status: now,
        }
    }

    /// Changes the neighbours.
    pub fn set_neighbours(&mut self, neighbours: Neighbours) {
        self.neighbours = neighbours;
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

    /// Returns the content of a part of the root in force.
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

    /// Returns whether the process may serve requests with the root in force.
    #[must_use]
    pub fn may_serve(&self, now: Millis, max_staleness: Millis) -> bool {
        self.freshness(now).is_some_and(|age| age <= max_staleness)
    }

    /// Decides whether a call from a process that has this revision in force may run.
    #[must_use]
    pub fn admit(&self, revision: u64, now: Millis, max_staleness: Millis) -> Admission {
        match revision.cmp(&self.revision()) {
            std::cmp::Ordering::Greater => Admission::FetchFirst,
            std::cmp::Ordering::Less => Admission::CallerOutdated,
            std::cmp::Ordering::Equal if self.may_serve(now, max_staleness) => Admission::Run,
            std::cmp::Ordering::Equal => Admission::Stale,
        }
    }

    /// Sends the current status to a peer, which pulls the root if it is newer.
    #[must_use]
    pub fn announce_to(&self, peer: &PeerId, now: Millis) -> Vec<Effect> {
        vec![self.status(peer, false, now)]
    }

    /// Pulls a newer root from a peer, so that a call from or to that peer may run.
    #[must_use]
    pub fn pull_from(&mut self, peer: &PeerId, now: Millis) -> Vec<Effect> {
        self.requested_at = now;
        vec![Effect::Send(
            peer.clone(),
            Message::Pull(self.newest_revision()),
        )]
    }

    /// Handles the result of a read of the root that was sent to the service at `sent`.
    pub fn on_root(&mut self, root: Option<RootRef>, sent: Millis, now: Millis) -> Vec<Effect> {
        self.read_failures = 0;
        let is_older = root.as_ref().is_some_and(|r| r.revision < self.revision());
        // Only readers that got a current root watch again at once.
        let wait = match (&root, self.neighbours.is_reader) {
            (None, true) => READ_BACK_OFF_MIN,
            (Some(_), true) if !is_older => Millis(0),
            _ => READ_BACK_OFF_MAX,
        };
        self.read_state = ReadState::Idle {
            next_read_at: now + wait,
        };
        let Some(root) = root else {
            return Vec::new();
        };
        let confirmed = ConfirmedAt::ago(now, now.since(sent));
        let mut effects = self.start_fetch(root.clone(), &Source::Store, Some(confirmed), now);
        for held in [&mut self.current, &mut self.next].into_iter().flatten() {
            if held.root == root {
                held.confirmed = held.confirmed.max(Some(confirmed));
            }
        }
        effects.extend(self.put_into_force(now));
        effects
    }

    /// Handles a failed read of the root.
    pub fn on_root_failed(&mut self, now: Millis) {
        let max_wait = if self.neighbours.is_reader {
            READ_BACK_OFF_MAX
        } else {
            FALLBACK_BACK_OFF_MAX
        };
        let wait = Millis(READ_BACK_OFF_MIN.0 << self.read_failures.min(10)).min(max_wait);
        self.read_failures = self.read_failures.saturating_add(1);
        self.read_state = ReadState::Idle {
            next_read_at: now + wait,
        };
    }

    /// Handles parts from the service or from a peer; parts that match no missing digest are dropped.
    pub fn on_parts(&mut self, parts: &[Part], now: Millis) -> Vec<Effect> {
        self.store_parts(parts);
        self.put_into_force(now)
    }

    /// Handles a message from a peer.
    pub fn on_message(&mut self, from: &PeerId, message: Message, now: Millis) -> Vec<Effect> {
        match message {
            Message::Status(status) => self.on_status(from, &status, now),
            Message::Pull(held_revision) => self.answer_pull(from, held_revision),
            Message::Delta(delta) => self.on_delta(from, &delta, now),
            Message::Want(digests) => {
                let parts = self.parts_within_limit(digests.iter().copied());
                vec![Effect::Send(from.clone(), Message::Parts(parts))]
            }
            Message::Parts(parts) => {
                let effects = self.on_parts(&parts, now);
                // The sender may have been limited by the message size; request the rest at once.
                let is_incomplete =
                    effects.is_empty() && !parts.is_empty() && !self.missing_digests().is_empty();
                if is_incomplete {
                    return self.request_missing(&Source::Peer(from.clone()), now);
                }
                effects
            }
        }
    }

    /// Returns the actions that are due.
    pub fn step(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.is_read_due(now) {
            self.read_state = ReadState::InFlight;
            effects.push(Effect::ReadRoot {
                after: self.newest_revision(),
                wait: self.neighbours.is_reader,
            });
        }
        if now >= self.next_status {
            self.next_status = now + STATUS_INTERVAL;
            for parent in self.neighbours.parents.clone() {
                effects.push(self.status(&parent, true, now));
            }
        }
        if now.since(self.requested_at) >= REQUEST_RETRY_INTERVAL {
            effects.extend(self.retry_request(now));
        }
        effects
    }

    fn is_read_due(&self, now: Millis) -> bool {
        let ReadState::Idle { next_read_at } = self.read_state else {
            return false;
        };
        let age = self
            .freshness(now)
            .unwrap_or_else(|| now.since(self.started));
        now >= next_read_at && (self.neighbours.is_reader || age >= FALLBACK_READ_AGE + self.jitter)
    }

    /// Returns the highest revision that is held or being fetched.
    fn newest_revision(&self) -> u64 {
        let next = self.next.as_ref().map_or(0, |held| held.root.revision);
        next.max(self.revision())
    }

    fn on_status(&mut self, from: &PeerId, status: &Status, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(confirmed) = self.peers.observe(from, status, now) {
            self.record_confirmation(status.revision, confirmed);
        }
        // The status of the second parent must not cause another pull of the same change.
        let is_requested = status.revision <= self.pulled_revision
            && now.since(self.requested_at) < REQUEST_RETRY_INTERVAL;
        if status.revision > self.newest_revision() && !is_requested {
            self.pulled_revision = status.revision;
            effects.extend(self.pull_from(from, now));
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

    /// Records a peer's confirmation of a revision that is held or being fetched.
    fn record_confirmation(&mut self, revision: u64, confirmed: ConfirmedAt) {
        for held in [&mut self.current, &mut self.next].into_iter().flatten() {
            if held.root.revision == revision {
                held.confirmed = held.confirmed.max(Some(confirmed));
            }
        }
    }

    fn answer_pull(&self, from: &PeerId, held_revision: u64) -> Vec<Effect> {
        let Some(root) = self.root().filter(|root| root.revision > held_revision) else {
            return Vec::new();
        };
        let empty = RootRef::default();
        let base = self
            .history
            .iter()
            .find(|old| old.revision == held_revision);
        let base = base.unwrap_or(&empty);
        let (changed, removed) = root.changes_since(base);
        let delta = Delta {
            base: base.revision,
            revision: root.revision,
            digest: root.digest(),
            parts: self.parts_within_limit(changed.iter().map(|(_, digest)| *digest)),
            changed,
            removed,
        };
        vec![Effect::Send(from.clone(), Message::Delta(delta))]
    }

    fn on_delta(&mut self, from: &PeerId, delta: &Delta, now: Millis) -> Vec<Effect> {
        if delta.revision <= self.newest_revision() {
            // A second answer to the same pull may still contain missing parts.
            return self.on_parts(&delta.parts, now);
        }
        let Some(root) = self.apply_delta(delta) else {
            // A full root that does not match its digest is corrupt; the next status causes a new pull.
            return match delta.base {
                0 => Vec::new(),
                _ => vec![Effect::Send(from.clone(), Message::Pull(0))],
            };
        };
        let of_revision = self.peers.iter().filter(|p| p.revision == delta.revision);
        let confirmed = of_revision.filter_map(|peer| peer.confirmed).max();
        // The parts of the delta are stored before the missing ones are requested.
        self.next = Some(TrackedRoot { root, confirmed });
        let mut effects = self.on_parts(&delta.parts, now);
        if effects.is_empty() {
            effects.extend(self.request_missing(&Source::Peer(from.clone()), now));
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

    /// Starts to fetch a root if it is newer than any that is held or being fetched.
    ///
    /// A service that was restored from a copy gives the revisions since then out again. Another root that it has at the
    /// revision in force was applied after the restore.
    fn start_fetch(
        &mut self,
        root: RootRef,
        source: &Source,
        confirmed: Option<ConfirmedAt>,
        now: Millis,
    ) -> Vec<Effect> {
        if root.revision < self.revision() {
            return vec![Effect::Refused(root.revision)];
        }
        let newest = self.next.as_ref().or(self.current.as_ref());
        let is_other = newest.is_some_and(|held| held.root != root);
        let is_given_out_again =
            *source == Source::Store && is_other && root.revision == self.newest_revision();
        if root.revision <= self.newest_revision() && !is_given_out_again {
            return Vec::new();
        }
        self.next = Some(TrackedRoot { root, confirmed });
        self.request_missing(source, now)
    }

    /// Requests the missing parts of the next root from a source.
    fn request_missing(&mut self, source: &Source, now: Millis) -> Vec<Effect> {
        let missing_digests = self.missing_digests();
        if missing_digests.is_empty() {
            return Vec::new();
        }
        self.requested_at = now;
        vec![match source {
            Source::Store => Effect::ReadParts(missing_digests),
            Source::Peer(id) => Effect::Send(id.clone(), Message::Want(missing_digests)),
        }]
    }

    /// Repeats an unanswered pull or request for parts at another source.
    fn retry_request(&mut self, now: Millis) -> Vec<Effect> {
        let newest = self.newest_revision();
        let is_fetching = self.next.is_some();
        let is_newer = |revision: u64| revision > newest || (is_fetching && revision == newest);
        let peers = self.peers.iter().filter(|peer| is_newer(peer.revision));
        let mut sources: Vec<_> = peers
            .map(|peer| (Source::Peer(peer.id.clone()), peer.revision))
            .collect();
        if is_fetching && (self.neighbours.is_reader || sources.is_empty()) {
            sources.push((Source::Store, newest));
        }
        self.retries = self.retries.wrapping_add(1);
        match sources.get(self.retries % sources.len().max(1)) {
            Some((Source::Peer(id), revision)) if *revision > newest => {
                let id = id.clone();
                self.pull_from(&id, now)
            }
            Some((source, _)) => self.request_missing(&source.clone(), now),
            None => Vec::new(),
        }
    }

    /// Returns the digests of the parts of the next root that are not held.
    fn missing_digests(&self) -> Vec<Digest> {
        let wanted = self.next.iter().flat_map(|held| &held.root.parts);
        let mut missing_digests: Vec<_> = wanted
            .map(|(_, digest)| *digest)
            .filter(|digest| self.held_part(*digest).is_none())
            .collect();
        missing_digests.sort_unstable();
        missing_digests.dedup();
        missing_digests
    }

    fn store_parts(&mut self, parts: &[Part]) {
        let missing_digests = self.missing_digests();
        for part in parts {
            let digest = Digest::of(part);
            if missing_digests.binary_search(&digest).is_err() {
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

    /// Puts the next root into force if all its parts are held, and sends the status to the neighbours.
    fn put_into_force(&mut self, now: Millis) -> Vec<Effect> {
        if !self.missing_digests().is_empty() {
            return Vec::new();
        }
        let Some(next) = self.next.take() else {
            return Vec::new();
        };
        let root = &next.root;
        self.parts.retain(|(digest, _)| root.contains(*digest));
        if self.history.len() == MAX_HISTORY_ROOTS {
            self.history.remove(0);
        }
        self.history.push(root.clone());
        let mut effects = vec![Effect::InForce(root.revision)];
        self.current = Some(next);
        let neighbours = self
            .neighbours
            .children
            .iter()
            .chain(&self.neighbours.parents);
        effects.extend(neighbours.map(|id| self.status(id, false, now)));
        effects
    }

    fn held_part(&self, digest: Digest) -> Option<&Part> {
        let at = self
            .parts
            .binary_search_by_key(&digest, |(known, _)| *known);
        at.ok().map(|at| &self.parts[at].1)
    }

    /// Returns the held parts with these digests, as many as fit into one message.
    fn parts_within_limit(&self, digests: impl Iterator<Item = Digest>) -> Vec<Part> {
        let mut bytes = 0;
        digests
            .filter_map(|digest| self.held_part(digest))
            .take_while(|part| {
                let is_first = bytes == 0;
                bytes += part.len();
                is_first || bytes <= MAX_MESSAGE_PARTS_BYTES
            })
            .cloned()
            .collect()
    }
}
