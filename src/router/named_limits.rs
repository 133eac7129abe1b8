//! Limits that upstreams in need name in their answers: the requests a second that they take from all gateways together.
//!
//! Each gateway uses its part of the limit and needs no message for each request. A part of a request a second or more is a
//! token bucket. A smaller part would let every gateway send its first request at the same moment, so gateways then take
//! turns: time is divided into turns of one request each. The beacon beside an upstream leases the turns, so that each has one
//! gateway; see [`super::turns`]. Without a lease, a hash gives each gateway its own among as many turns as there are gateways.

use std::rc::Rc;

use crate::router::turns::Lease;
use crate::router::{hash, mix};
use crate::units::Millis;

/// Share of the limit that token buckets use; their burst takes up to a further quarter of a second of it.
const USED_BY_BUCKETS: f64 = 0.9;

/// Share of the limit that leased turns use.
const USED_BY_LEASES: f64 = 0.9;

/// Share of the limit that other turns use; the hash may give several gateways the same one.
const USED_BY_TURNS: f64 = 0.6;

/// Part of a gateway, in requests a second, from which it has a token bucket.
const MIN_BUCKET_RATE: f64 = 1.0;

/// Time of its part that a bucket holds, in seconds, in addition to one request.
const BURST_S: f64 = 0.25;

/// Lowest limit that is kept to, in requests a second: a lower one would never show that it is lifted.
const MIN_LIMIT: f64 = 0.02;

/// Longest time that a client waits before it comes again.
const MAX_RETRY_AFTER: Millis = Millis::from_secs(5);

/// Time by which another gateway's word must be newer than the own one; their clocks and the way of the word differ.
const WORD_MARGIN: Millis = Millis(200);

/// The gateways among which a limit is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharing {
    /// Hash of the gateway's name.
    pub gateway: u64,
    /// Number of gateways.
    pub gateways: u64,
    /// The gateway's lease of turns at the upstream, with the time by the clock of the beacon.
    pub lease: Option<(Lease, Millis)>,
}

impl Sharing {
    /// Returns the number of parts that the limit is divided into.
    fn parts(self) -> u64 {
        let leased = self.lease.map(|(lease, _)| u64::from(lease.places));
        leased.unwrap_or(self.gateways).max(1)
    }

    /// Returns the time by which turns are counted.
    fn time(self, unix: Millis) -> Millis {
        self.lease.map_or(unix, |(_, time)| time)
    }
}

/// What the last answer of an upstream says of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitWord {
    /// Requests in 1,000 s, if it names a limit.
    pub per_1000_s: Option<u32>,
    /// Age of the answer.
    pub age: Millis,
}

/// Where a limit is known from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LimitSource {
    /// An answer to this gateway.
    Answer,
    /// An answer to another gateway, which a beacon passed on.
    Gateway,
}

/// Why an upstream gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limited {
    /// Time until it may get one, at most a few seconds.
    pub wait: Millis,
    /// Age of the answer that named the limit.
    pub age: Millis,
    /// Where the limit is known from.
    pub source: LimitSource,
}

/// What is known of one upstream's process.
#[derive(Debug, Clone)]
struct NamedLimit {
    upstream: Rc<str>,
    boot: u64,
    /// Requests a second from all gateways, if the last answer names a limit.
    per_second: Option<f64>,
    /// When that answer came, at this gateway or at the one that passed it on.
    told_at: Millis,
    source: LimitSource,
    /// Requests that the bucket holds at `filled_at`.
    tokens: f64,
    filled_at: Millis,
    /// Number of the last turn that was used.
    last_turn: Option<u64>,
}

/// What an answer changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The upstream names a limit, in requests a second, or another one than before.
    Named(f64),
    /// It no longer names one.
    Lifted,
}

/// Limits by upstream, sorted by id; upstreams that never named one are not in it.
#[derive(Debug, Default)]
pub struct NamedLimits {
    limits: Vec<NamedLimit>,
}

impl NamedLimits {
    /// Records what an answer says of the limit; `sent_at` is when its request was sent.
    pub fn observe(
        &mut self,
        upstream: &Rc<str>,
        boot: u64,
        named: Option<f64>,
        sent_at: Millis,
        now: Millis,
    ) -> Option<LimitChange> {
        let named = named.filter(|limit| limit.is_finite() && *limit >= 0.0);
        // The answer to a request from before may have been made before the limit was named.
        let is_late = |known: &NamedLimit| named.is_none() && sent_at < known.told_at;
        if self.find(upstream, boot).is_some_and(is_late) {
            return None;
        }
        self.set(upstream, boot, named, now, LimitSource::Answer)
    }

    /// Records the word that another gateway has had, if it is newer than what is known.
    pub fn observe_word(
        &mut self,
        upstream: &Rc<str>,
        boot: u64,
        word: LimitWord,
        now: Millis,
    ) -> Option<LimitChange> {
        let told_at = Millis(now.0.saturating_sub(word.age.0));
        let known = self.find(upstream, boot);
        if known.is_some_and(|k| told_at <= k.told_at + WORD_MARGIN) {
            return None;
        }
        let per_second = word.per_1000_s.map(|limit| f64::from(limit) / 1_000.0);
        self.set(upstream, boot, per_second, told_at, LimitSource::Gateway)
    }

    /// Returns what is known of an upstream, for other gateways.
    #[must_use]
    pub fn word(&self, upstream: &str, boot: u64, now: Millis) -> Option<LimitWord> {
        let known = self.find(upstream, boot)?;
        Some(LimitWord {
            per_1000_s: known.per_second.map(to_per_1000_s),
            age: now.since(known.told_at),
        })
    }

    /// Returns whether the upstream may get a request; `unix` is the Unix time, which all gateways share.
    #[must_use]
    pub fn may_send(
        &self,
        upstream: &str,
        boot: u64,
        sharing: Sharing,
        now: Millis,
        unix: Millis,
    ) -> bool {
        let Some(known) = self.find(upstream, boot) else {
            return true;
        };
        match known.part(sharing) {
            None => true,
            Some(Part::Bucket { rate }) => known.tokens_at(rate, now) >= 1.0,
            Some(Part::Turn { width_ms, own }) => {
                let turn = turn_at(sharing.time(unix), width_ms);
                turn % sharing.parts() == own && known.last_turn != Some(turn)
            }
        }
    }

    /// Counts a request that is sent to an upstream.
    pub fn record_send(
        &mut self,
        upstream: &str,
        boot: u64,
        sharing: Sharing,
        now: Millis,
        unix: Millis,
    ) {
        let Ok(at) = self.position(upstream) else {
            return;
        };
        let known = &mut self.limits[at];
        if known.boot != boot {
            return;
        }
        match known.part(sharing) {
            None => {}
            Some(Part::Bucket { rate }) => {
                known.tokens = known.tokens_at(rate, now) - 1.0;
                known.filled_at = now;
            }
            Some(Part::Turn { width_ms, .. }) => {
                known.last_turn = Some(turn_at(sharing.time(unix), width_ms));
            }
        }
    }

    /// Returns why an upstream gets no request now, if it names a limit.
    #[must_use]
    pub fn limited(
        &self,
        upstream: &str,
        boot: u64,
        sharing: Sharing,
        now: Millis,
        unix: Millis,
    ) -> Option<Limited> {
        let known = self.find(upstream, boot)?;
        let wait = match known.part(sharing)? {
            Part::Bucket { rate } => from_ms((1.0 - known.tokens_at(rate, now)) * 1_000.0 / rate),
            Part::Turn { width_ms, own } => {
                let parts = sharing.parts();
                let turn = turn_at(sharing.time(unix), width_ms) % parts;
                let turns = (own + parts - turn - 1) % parts + 1;
                from_ms(to_f64(turns) * width_ms)
            }
        };
        Some(Limited {
            wait: wait.min(MAX_RETRY_AFTER),
            age: now.since(known.told_at),
            source: known.source,
        })
    }

    /// Returns whether an upstream names a limit.
    #[must_use]
    pub fn has_limit(&self, upstream: &str, boot: u64) -> bool {
        let known = self.find(upstream, boot);
        known.is_some_and(|known| known.per_second.is_some())
    }

    /// Returns the number of upstreams that name a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        let named = self.limits.iter().filter(|l| l.per_second.is_some());
        named.count()
    }

    /// Returns whether no upstream names a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes the limits of upstreams for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, u64) -> bool) {
        self.limits.retain(|l| keep(&l.upstream, l.boot));
    }

    fn set(
        &mut self,
        upstream: &Rc<str>,
        boot: u64,
        per_second: Option<f64>,
        told_at: Millis,
        source: LimitSource,
    ) -> Option<LimitChange> {
        let at = match self.position(upstream) {
            Ok(at) if self.limits[at].boot > boot => return None,
            Ok(at) if self.limits[at].boot == boot => at,
            found => {
                per_second?;
                let limit = NamedLimit {
                    upstream: Rc::clone(upstream),
                    boot,
                    per_second: None,
                    told_at,
                    source,
                    tokens: 0.0,
                    filled_at: told_at,
                    last_turn: None,
                };
                match found {
                    Ok(at) => self.limits[at] = limit,
                    Err(at) => self.limits.insert(at, limit),
                }
                found.unwrap_or_else(|at| at)
            }
        };
        let known = &mut self.limits[at];
        known.told_at = known.told_at.max(told_at);
        known.source = source;
        let before = std::mem::replace(&mut known.per_second, per_second);
        if before.map(f64::to_bits) == per_second.map(f64::to_bits) {
            return None;
        }
        if before.is_none() {
            known.tokens = 0.0;
            known.filled_at = told_at;
        }
        Some(per_second.map_or(LimitChange::Lifted, LimitChange::Named))
    }

    fn find(&self, upstream: &str, boot: u64) -> Option<&NamedLimit> {
        let at = self.position(upstream).ok()?;
        Some(&self.limits[at]).filter(|l| l.boot == boot)
    }

    fn position(&self, upstream: &str) -> Result<usize, usize> {
        (self.limits).binary_search_by(|l| l.upstream.as_ref().cmp(upstream))
    }
}

/// A gateway's part of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Part {
    /// A token bucket with this rate, in requests a second.
    Bucket { rate: f64 },
    /// Turns of this length, of which the one with this number among as many as there are gateways is the gateway's own.
    Turn { width_ms: f64, own: u64 },
}

impl NamedLimit {
    fn part(&self, sharing: Sharing) -> Option<Part> {
        let limit = self.per_second?.max(MIN_LIMIT);
        let rate = limit * USED_BY_BUCKETS / to_f64(sharing.parts());
        if rate >= MIN_BUCKET_RATE {
            return Some(Part::Bucket { rate });
        }
        let (used, own) = if let Some((lease, _)) = sharing.lease {
            (USED_BY_LEASES, lease.place.into())
        } else {
            let own = mix(sharing.gateway ^ hash(self.upstream.as_bytes()));
            (USED_BY_TURNS, own % sharing.parts())
        };
        Some(Part::Turn {
            width_ms: 1_000.0 / (limit * used),
            own,
        })
    }

    fn tokens_at(&self, rate: f64, now: Millis) -> f64 {
        let earned = to_f64(now.since(self.filled_at).0) * rate / 1_000.0;
        (self.tokens + earned).min(1.0 + rate * BURST_S)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times and widths are positive and far below 2^52"
)]
fn turn_at(unix: Millis, width_ms: f64) -> u64 {
    (to_f64(unix.0) / width_ms) as u64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times and numbers of gateways are far below 2^52"
)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates at the limits"
)]
fn to_per_1000_s(per_second: f64) -> u32 {
    // The highest number stands for none in datagrams.
    ((per_second * 1_000.0).round() as u32).min(u32::MAX - 1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates at the limits"
)]
fn from_ms(ms: f64) -> Millis {
    Millis(ms.ceil() as u64)
}
