//! Turns of the gateways at one upstream: a rate that all gateways together may not exceed, without a message for each request.
//!
//! Time is divided into turns of one request each. The beacon beside the upstream hands out the turns as leases: a lease names
//! a place among a power of two of places, and its holder has the turns whose number leaves that remainder. Places are
//! split and merged as gateways come and go, so that all turns belong to somebody and no two gateways ever have the same.

use std::net::SocketAddr;

use crate::units::Millis;

/// Time for which a gateway may use a lease after it asked for it.
///
/// It outlasts an interval of subscription, one of the beacon's polls, and a tenth of a second in which the gateway does not
/// run; a place that is split or given up is idle for this time.
pub const LEASE_LIFETIME: Millis = Millis(700);

/// Most places; twice as many as the largest deployment has gateways.
const MAX_PLACES: u16 = 1_024;

/// Share of a second by which the requests of a turn may be late at the upstream.
const LATENESS: f64 = 0.05;

/// A gateway's place among the turns of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Remainder of the numbers of its turns.
    pub place: u16,
    /// Number of places, a power of two.
    pub places: u16,
}

impl Lease {
    /// Creates a lease; `None` if the place cannot exist.
    #[must_use]
    pub const fn new(place: u16, places: u16) -> Option<Self> {
        let is_valid = places.is_power_of_two() && places <= MAX_PLACES && place < places;
        if is_valid {
            Some(Self { place, places })
        } else {
            None
        }
    }

    /// Returns whether a turn belongs to the place.
    #[must_use]
    pub const fn has(self, turn: u64) -> bool {
        turn % self.places as u64 == self.place as u64
    }

    /// Returns the first turn from `turn` on that belongs to the place.
    #[must_use]
    pub const fn next(self, turn: u64) -> u64 {
        let places = self.places as u64;
        turn + (self.place as u64 + places - turn % places) % places
    }
}

/// Length of the turns at an upstream, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TurnLength(f64);

impl TurnLength {
    /// Returns the length with which no sliding second has more than `allowed` requests; `None` if there is none.
    ///
    /// A second touches two turns at its ends in addition to those that lie within it.
    #[must_use]
    pub fn within_second(allowed: f64) -> Option<Self> {
        let whole = allowed.floor() - 1.0;
        (whole >= 1.0 && whole.is_finite()).then(|| Self((1.0 + LATENESS) * 1_000.0 / whole))
    }

    /// Returns the number of the turn at a time.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "times are positive and far below 2^52"
    )]
    pub fn turn_at(self, time: Millis) -> u64 {
        (time.0 as f64 / self.0) as u64
    }

    /// Returns when a turn begins, rounded up.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "turns are positive and far below 2^52"
    )]
    pub fn begin(self, turn: u64) -> Millis {
        Millis((turn as f64 * self.0).ceil() as u64)
    }
}

/// A place and its holder.
#[derive(Debug, Clone, Copy)]
struct Place {
    lease: Lease,
    holder: Option<SocketAddr>,
    /// When leases of others for its turns have ended.
    blocked_until: Millis,
    /// When the last lease of its holder ends.
    leased_until: Millis,
}

impl Place {
    /// Takes the place from its holder, whose lease runs on.
    fn release(&mut self) {
        self.holder = None;
        self.blocked_until = self.blocked_until.max(self.leased_until);
    }

    fn is_free(&self, now: Millis) -> bool {
        self.holder.is_none() && self.blocked_until <= now
    }

    /// Returns the place that has the same turns but for one bit of their number.
    const fn buddy(&self) -> Option<Lease> {
        if self.lease.places == 1 {
            return None;
        }
        Some(Lease {
            place: self.lease.place ^ (self.lease.places / 2),
            places: self.lease.places,
        })
    }
}

/// The places at one upstream, as its beacon hands them out.
#[derive(Debug, Clone)]
pub struct Places {
    /// Sorted by holder; those without one come first.
    places: Vec<Place>,
}

impl Default for Places {
    fn default() -> Self {
        Self::new()
    }
}

impl Places {
    /// Creates one place that has all turns.
    #[must_use]
    pub fn new() -> Self {
        Self {
            places: vec![Place {
                lease: Lease {
                    place: 0,
                    places: 1,
                },
                holder: None,
                blocked_until: Millis(0),
                leased_until: Millis(0),
            }],
        }
    }

    /// Finds a place for a gateway that has none.
    ///
    /// Gateways that come together get theirs before any of them has a lease, so that none waits for the end of another's.
    pub fn reserve(&mut self, holder: SocketAddr) {
        if self.position(holder).is_none() {
            self.admit(holder);
        }
    }

    /// Returns the lease of a gateway; `None` if it has no place, or while others may use its turns.
    pub fn lease(&mut self, holder: SocketAddr, now: Millis) -> Option<Lease> {
        let at = self.position(holder)?;
        let place = &mut self.places[at];
        if now < place.blocked_until {
            return None;
        }
        place.leased_until = now + LEASE_LIFETIME;
        Some(place.lease)
    }

    /// Takes places back from gateways for which `keep` returns `false`, and gives their turns to the others.
    pub fn retain(&mut self, mut keep: impl FnMut(SocketAddr) -> bool, now: Millis) {
        for place in &mut self.places {
            if place.holder.is_some_and(|holder| !keep(holder)) {
                place.release();
            }
        }
        self.sort();
        while let Some((free, buddy)) = self.mergeable(now) {
            let merged = &mut self.places[buddy];
            merged.lease.places /= 2;
            merged.lease.place %= merged.lease.places;
            self.places.remove(free);
        }
        self.move_to_larger(now);
    }

    /// Returns the number of gateways that have a place.
    #[must_use]
    pub fn len(&self) -> usize {
        let held = self.places.iter().filter(|p| p.holder.is_some());
        held.count()
    }

    /// Returns whether no gateway has a place.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Finds a place for a gateway: the largest one that nobody has, or half of the largest one.
    fn admit(&mut self, holder: SocketAddr) {
        let unheld = (self.places.iter_mut()).filter(|p| p.holder.is_none());
        if let Some(place) = unheld.min_by_key(|p| (p.lease.places, p.blocked_until)) {
            place.holder = Some(holder);
            place.leased_until = Millis(0);
        } else {
            let largest = self.places.iter_mut().min_by_key(|p| p.lease.places);
            let Some((largest, half)) = largest.and_then(|largest| {
                let lease = largest.lease;
                let half = Lease::new(lease.place + lease.places, lease.places * 2)?;
                Some((largest, half))
            }) else {
                return;
            };
            largest.lease.places *= 2;
            let place = Place {
                lease: half,
                holder: Some(holder),
                blocked_until: largest.blocked_until.max(largest.leased_until),
                leased_until: Millis(0),
            };
            self.places.push(place);
        }
        self.sort();
    }

    /// Returns a free place and its buddy, if that is whole.
    fn mergeable(&self, now: Millis) -> Option<(usize, usize)> {
        let free = self.places.iter().enumerate();
        let mut free = free.filter(|(_, p)| p.is_free(now));
        free.find_map(|(at, place)| {
            let buddy = place.buddy()?;
            let buddy = self.places.iter().position(|p| p.lease == buddy)?;
            Some((at, buddy))
        })
    }

    /// Moves one gateway to a free place that is larger than its own.
    fn move_to_larger(&mut self, now: Millis) {
        let free = self.places.iter().position(|p| p.is_free(now));
        let held = (0..self.places.len()).filter(|at| self.places[*at].holder.is_some());
        let smallest = held.max_by_key(|at| self.places[*at].lease.places);
        let (Some(free), Some(smallest)) = (free, smallest) else {
            return;
        };
        if self.places[free].lease.places < self.places[smallest].lease.places {
            self.places[free].holder = self.places[smallest].holder;
            self.places[free].leased_until = Millis(0);
            self.places[smallest].release();
            self.sort();
        }
    }

    fn sort(&mut self) {
        self.places.sort_unstable_by_key(|p| p.holder);
    }

    fn position(&self, holder: SocketAddr) -> Option<usize> {
        let found = (self.places).binary_search_by(|p| p.holder.cmp(&Some(holder)));
        found.ok()
    }
}
