//! The last known status of each peer.

use super::{Echo, PeerId, Stamp, Status};
use crate::units::Millis;

/// Maximum number of peers; the one whose last status is oldest is evicted.
const MAX_PEERS: usize = 512;

/// Time at which the service confirmed a revision; may be before the start of this process's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfirmedAt(i64);

impl ConfirmedAt {
    /// Returns the time `age` before `now`.
    pub fn ago(now: Millis, age: Millis) -> Self {
        Self(signed(now).saturating_sub(signed(age)))
    }

    /// Returns the time since then.
    pub fn age(self, now: Millis) -> Millis {
        let age = signed(now).saturating_sub(self.0);
        Millis(u64::try_from(age).unwrap_or(0))
    }
}

fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}

/// The last status of a peer.
#[derive(Debug)]
pub struct Peer {
    /// Name of the peer.
    pub id: PeerId,
    /// Revision in force at the peer.
    pub revision: u64,
    /// Earliest time at which the service can have last confirmed that revision.
    pub confirmed: Option<ConfirmedAt>,
    stamp: Stamp,
    last_status_at: Millis,
}

/// The peers from which a status was received, sorted by name.
#[derive(Debug)]
pub struct Peers {
    peers: Vec<Peer>,
    /// Random offset that stamps add to this process's clock.
    offset: u64,
}

impl Peers {
    /// Creates an empty set; `random` is a random number for the offset of stamps.
    pub const fn new(random: u64) -> Self {
        Self {
            peers: Vec::new(),
            // 52 bits, because not all JSON decoders represent larger integers exactly.
            offset: random >> 12,
        }
    }

    /// Returns the peers.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// Returns the stamp of a message sent now.
    pub const fn stamp(&self, now: Millis) -> Stamp {
        Stamp(self.offset.wrapping_add(now.0))
    }

    /// Returns the echo for a message to a peer.
    pub fn echo(&self, id: &PeerId, now: Millis) -> Option<Echo> {
        let at = self.position(id).ok()?;
        let peer = &self.peers[at];
        Some(Echo {
            stamp: peer.stamp,
            held: now.since(peer.last_status_at),
        })
    }

    /// Records a status and returns when the service confirmed the peer's revision, if that can be determined.
    ///
    /// The round trip measured with the echo bounds the transit time. A status without a valid echo may be
    /// arbitrarily old, so its freshness is not used.
    pub fn observe(&mut self, id: &PeerId, status: &Status, now: Millis) -> Option<ConfirmedAt> {
        let confirmed = status
            .freshness
            .zip(self.max_transit(status.echo, now))
            .map(|(age, max_transit)| ConfirmedAt::ago(now, age + max_transit));
        let peer = Peer {
            id: id.clone(),
            revision: status.revision,
            confirmed,
            stamp: status.sent,
            last_status_at: now,
        };
        match self.position(id) {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
        if self.peers.len() > MAX_PEERS {
            let oldest = (0..self.peers.len()).min_by_key(|at| self.peers[*at].last_status_at);
            oldest.map(|at| self.peers.remove(at));
        }
        confirmed
    }

    fn max_transit(&self, echo: Option<Echo>, now: Millis) -> Option<Millis> {
        let echo = echo?;
        let sent = echo.stamp.0.checked_sub(self.offset)?;
        let round_trip = now.0.checked_sub(sent)?;
        round_trip.checked_sub(echo.held.0).map(Millis)
    }

    fn position(&self, id: &PeerId) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.id.cmp(id))
    }
}
