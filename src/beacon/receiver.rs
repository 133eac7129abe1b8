//! The gateway's side: subscribes to beacons and receives the loads of their upstreams.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::num::NonZeroU64;
use std::rc::Rc;

use actix_rt::time::sleep;
use tokio::net::UdpSocket;

use crate::forward::notices::LeavingSource;
use crate::forward::shared::Shared;
use crate::router::cold::BeaconWord;
use crate::router::fleet::Upstream;
use crate::router::named_limits::LimitWord;
use crate::router::rollout::Judged;
use crate::units::Millis;

use super::{Datagram, MAX_DATAGRAM_BYTES, Subscription};

/// Interval at which the gateway renews its subscriptions.
const SUBSCRIBE_INTERVAL: Millis = Millis::from_secs(1);

/// Interval at which the gateway reports new bad answers. The rollback of a bad version must be complete five seconds
/// after its 50th bad answer, so these are not held back until the next renewal.
pub(super) const REPORT_INTERVAL: Millis = Millis(250);

/// Receiver of loads, bound to a UDP socket.
#[derive(Debug)]
pub struct Receiver {
    socket: Rc<UdpSocket>,
    /// Port on which the beacons listen.
    port: u16,
}

impl Receiver {
    /// Binds the address that loads are sent to.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn bind(listen: SocketAddr, port: u16) -> io::Result<Self> {
        Ok(Self {
            socket: Rc::new(UdpSocket::bind(listen).await?),
            port,
        })
    }

    /// Subscribes and receives loads until the future is dropped.
    pub async fn run(self, shared: Rc<Shared>) {
        tokio::join!(
            subscribe(&self.socket, self.port, &shared),
            receive_loads(&self.socket, &shared),
        );
    }
}

async fn subscribe(socket: &UdpSocket, port: u16, shared: &Shared) {
    let (mut reported, mut reported_words) = (Vec::new(), Vec::new());
    let mut renewed_at = None;
    loop {
        let now = shared.clock.now();
        let is_due = renewed_at.is_none_or(|at| now.since(at) >= SUBSCRIBE_INTERVAL);
        let engines = engines(shared);
        let words = limit_words(shared, now);
        let urgent = upstreams_by_turns(shared, now);
        let due = if is_due {
            renewed_at = Some(now);
            engines.clone()
        } else {
            let mut due = with_new_bad_answers(&engines, &reported);
            due.extend(with_changed_limits(&engines, &words, &reported_words));
            let is_urgent = |(ip, _): &&(IpAddr, Judged)| urgent.binary_search(ip).is_ok();
            due.extend(engines.iter().filter(is_urgent));
            due.sort_unstable_by_key(|(ip, _)| *ip);
            due.dedup_by_key(|(ip, _)| *ip);
            due
        };
        for (ip, answer_counts) in due {
            let word = words.binary_search_by_key(&ip, |(ip, _)| *ip);
            let bytes = Datagram::Subscribe(Subscription {
                answer_counts,
                limit: word.ok().map(|at| words[at].1),
                asked_at_ms: low_bits(now),
                is_urgent: urgent.binary_search(&ip).is_ok(),
            })
            .encode();
            if let Err(error) = socket.send_to(&bytes, (ip, port)).await {
                log::debug!(event = "subscribe_failed", upstream:% = ip, error:% = error; "");
            }
        }
        reported = engines;
        reported_words = words;
        sleep(REPORT_INTERVAL.duration()).await;
    }
}

/// Returns the engines with more bad answers than were `reported`; both lists are sorted by address.
pub(super) fn with_new_bad_answers(
    engines: &[(IpAddr, Judged)],
    reported: &[(IpAddr, Judged)],
) -> Vec<(IpAddr, Judged)> {
    let is_new = |(ip, counts): &&(IpAddr, Judged)| {
        let at = reported.binary_search_by_key(ip, |(known, _)| *known);
        let known = at.map_or(0, |at| reported[at].1.bad());
        counts.bad() > known
    };
    engines.iter().filter(is_new).copied().collect()
}

/// Returns the engines whose limit, or whether they name one, differs from what was `reported`; all lists are sorted by
/// address.
fn with_changed_limits(
    engines: &[(IpAddr, Judged)],
    words: &[(IpAddr, LimitWord)],
    reported: &[(IpAddr, LimitWord)],
) -> Vec<(IpAddr, Judged)> {
    let limit = |words: &[(IpAddr, LimitWord)], ip: &IpAddr| {
        let at = words.binary_search_by_key(ip, |(known, _)| *known).ok()?;
        Some(words[at].1.per_1000_s)
    };
    let has_changed = |(ip, _): &&(IpAddr, Judged)| limit(words, ip) != limit(reported, ip);
    engines.iter().filter(has_changed).copied().collect()
}

/// Returns the addresses of the upstreams that name a limit or have named one, with the latest word, sorted.
fn limit_words(shared: &Shared, now: Millis) -> Vec<(IpAddr, LimitWord)> {
    let (fleet, limits) = (shared.fleet.borrow(), shared.named_limits.borrow());
    let known = fleet
        .all()
        .filter_map(|u| Some((u.addr.ip(), limits.word(&u.id, u.boot, now)?)));
    let mut words: Vec<_> = known.collect();
    words.sort_unstable_by_key(|(ip, word)| (*ip, word.age));
    words.dedup_by_key(|(ip, _)| *ip);
    words
}

/// Returns the addresses of upstreams where this gateway needs turns, or to hear that they are warm; sorted.
fn upstreams_by_turns(shared: &Shared, now: Millis) -> Vec<IpAddr> {
    let (fleet, cold) = (shared.fleet.borrow(), shared.cold.borrow());
    let limits = shared.named_limits.borrow();
    let view = shared.cold_view(now);
    let has_turns = |u: &&Rc<Upstream>| {
        let terms = shared.cold_terms(&u.service);
        terms.is_some_and(|terms| cold.is_cold(&u.id, u.boot, terms, view))
            || limits.has_limit(&u.id, u.boot)
    };
    let mut ips: Vec<_> = fleet.all().filter(has_turns).map(|u| u.addr.ip()).collect();
    ips.sort_unstable();
    ips
}

/// Returns the part of a time that a datagram holds.
fn low_bits(time: Millis) -> u32 {
    u32::try_from(time.0 & u64::from(u32::MAX)).unwrap_or_default()
}

/// Returns the time before `now` whose lowest bits a datagram holds.
fn from_low_bits(bits: u32, now: Millis) -> Millis {
    let age = low_bits(now).wrapping_sub(bits);
    Millis(now.0.saturating_sub(age.into()))
}

/// Returns the addresses of the engines, each with this gateway's answer counts.
fn engines(shared: &Shared) -> Vec<(IpAddr, Judged)> {
    let now = shared.clock.now();
    let (table, fleet) = (shared.table.borrow(), shared.fleet.borrow());
    let mut health = shared.health.borrow_mut();
    let engines = fleet
        .all()
        .filter(|u| table.service(&u.service).is_some_and(|s| s.is_engine));
    let mut engines: Vec<_> = engines
        .map(|u| (u.addr.ip(), health.entry(&u.id, u.boot, now).answer_counts))
        .collect();
    engines.sort_unstable_by_key(|(ip, _)| *ip);
    // Upstreams with the same address, such as a process and its predecessor, are counted together.
    engines.dedup_by(|(ip, answer_counts), (total_ip, total)| {
        let is_same = ip == total_ip;
        if is_same {
            *total = total.plus(*answer_counts);
        }
        is_same
    });
    engines
}

async fn receive_loads(socket: &UdpSocket, shared: &Shared) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => {
                if let Some(Datagram::Load(load)) = Datagram::decode(&buf[..length]) {
                    shared.record_beacon_load(from.ip(), load);
                }
            }
            Err(error) => {
                // An upstream has no beacon: its host reports the port as unreachable.
                log::debug!(event = "receive_failed", error:% = error; "");
                sleep(Millis(50).duration()).await;
            }
        }
    }
}

impl Shared {
    /// Records the load of the upstreams at an address.
    fn record_beacon_load(&self, ip: IpAddr, load: super::Load) {
        let now = self.clock.now();
        self.record_gateways(load.gateways, now);
        let word = BeaconWord {
            boot: load.boot.map(NonZeroU64::get),
            cold_left: Millis(load.cold_left_ms.into()),
            answering_for: Millis(load.answering_for_ms.into()),
            asked_at: from_low_bits(load.asked_at_ms, now),
            sent_at: load.sent_at,
            lease: load.lease,
        };
        let upstreams: Vec<_> = (self.fleet.borrow().all())
            .filter(|u| u.addr.ip() == ip)
            .cloned()
            .collect();
        for upstream in &upstreams {
            self.observe_cold_beacon(upstream, word, now);
            (self.health.borrow_mut()).record_load(&upstream.id, upstream.boot, load, now);
            self.observe_pace_report(upstream, load.waiting, now);
            if load.leaving_boot.map(NonZeroU64::get) == Some(upstream.boot) {
                self.record_leaving(&upstream.id, upstream.boot, LeavingSource::Beacon);
            }
            // The word may be of the process that was at this address before.
            let is_own = |w: &LimitWord| self.clock.unix().since(w.age).0 >= upstream.boot;
            let Some(word) = load.limit.filter(is_own) else {
                continue;
            };
            let mut limits = self.named_limits.borrow_mut();
            let change = limits.observe_word(&upstream.id, upstream.boot, word, now);
            drop(limits);
            self.log_limit_change(upstream, change);
        }
    }
}
