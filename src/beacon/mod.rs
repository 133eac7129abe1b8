//! Beacon: a process beside an upstream that sends the upstream's load to gateways.
//!
//! Many gateways share the upstreams, and each observes only its own requests. The beacon beside an upstream polls
//! its current state and sends it in small datagrams to the subscribed gateways. Datagrams may be lost or late, so
//! a load is a hint that loses value with age, not a guarantee.

pub mod receiver;
pub mod sender;
#[cfg(test)]
mod tests;

use std::num::NonZeroU64;

use crate::router::named_limits::LimitWord;
use crate::router::rollout::Judged;
use crate::router::turns::Lease;
use crate::units::Millis;

/// Magic bytes at the start of a subscription.
const SUBSCRIBE_MAGIC: [u8; 4] = *b"FWS4";

/// Magic bytes at the start of a load.
const LOAD_MAGIC: [u8; 4] = *b"FWL6";

/// Size of a datagram buffer; larger than the largest datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 128;

/// Load of an upstream, with the answer counts of its subscribers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Sequence number of the datagram; it increases while the sender runs.
    pub seq: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u16,
    /// Number of requests that have a slot but no output yet.
    pub starting: u16,
    /// Number of requests that have a slot.
    pub running: u16,
    /// Number of gateways that subscribe to the loads.
    pub gateways: u16,
    /// Sum of the answer counts that all subscribers reported for this upstream; used in roll-outs.
    pub answer_counts: Judged,
    /// Latest word of the upstream's limit that a subscriber has had.
    pub limit: Option<LimitWord>,
    /// Start time of the upstream's process, in Unix milliseconds, if it says that it leaves.
    pub leaving_boot: Option<NonZeroU64>,
    /// Start time of the upstream's process, in Unix milliseconds, if it names it.
    pub boot: Option<NonZeroU64>,
    /// Milliseconds for which the upstream says that it stays cold.
    pub cold_left_ms: u32,
    /// Milliseconds since the upstream answered for the first time, or again after a silence.
    pub answering_for_ms: u32,
    /// Unix time at which the load was sent, by the beacon's clock.
    pub sent_at: Millis,
    /// Time of the last subscription, as the gateway named it.
    pub asked_at_ms: u32,
    /// Turns of the gateway at the upstream.
    pub lease: Option<Lease>,
}

/// A gateway's subscription to the loads of an upstream for the next seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Subscription {
    /// The gateway's own answer counts of the upstream.
    pub answer_counts: Judged,
    /// The latest word of the upstream's limit that it has had.
    pub limit: Option<LimitWord>,
    /// Lowest bits of the gateway's clock, in milliseconds.
    pub asked_at_ms: u32,
    /// Whether the gateway waits for a load.
    pub is_urgent: bool,
}

/// One datagram of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Datagram {
    /// A gateway subscribes to loads.
    Subscribe(Subscription),
    /// A beacon reports the load of its upstream.
    Load(Load),
}

impl Datagram {
    /// Encodes the datagram.
    #[must_use]
    pub fn encode(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        match self {
            Self::Subscribe(subscription) => {
                bytes.extend_from_slice(&SUBSCRIBE_MAGIC);
                encode_counts(&mut bytes, subscription.answer_counts, subscription.limit);
                bytes.extend_from_slice(&subscription.asked_at_ms.to_be_bytes());
                bytes.push(u8::from(subscription.is_urgent));
            }
            Self::Load(load) => {
                bytes.extend_from_slice(&LOAD_MAGIC);
                bytes.extend_from_slice(&load.seq.to_be_bytes());
                for count in [load.waiting, load.starting, load.running, load.gateways] {
                    bytes.extend_from_slice(&count.to_be_bytes());
                }
                encode_counts(&mut bytes, load.answer_counts, load.limit);
                for boot in [load.leaving_boot, load.boot] {
                    let boot = boot.map_or(0, NonZeroU64::get);
                    bytes.extend_from_slice(&boot.to_be_bytes());
                }
                bytes.extend_from_slice(&load.sent_at.0.to_be_bytes());
                for ms in [load.cold_left_ms, load.answering_for_ms, load.asked_at_ms] {
                    bytes.extend_from_slice(&ms.to_be_bytes());
                }
                let (place, places) = load.lease.map_or((0, 0), |l| (l.place, l.places));
                bytes.extend_from_slice(&place.to_be_bytes());
                bytes.extend_from_slice(&places.to_be_bytes());
            }
        }
        bytes
    }

    /// Decodes a datagram; returns `None` if it does not belong to this protocol.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if let Some(rest) = bytes.strip_prefix(&SUBSCRIBE_MAGIC) {
            let (counts, rest) = rest.split_first_chunk::<28>()?;
            let (asked_at, rest) = rest.split_first_chunk::<4>()?;
            let is_urgent = match rest {
                [0] => false,
                [1] => true,
                _ => return None,
            };
            let (answer_counts, limit) = decode_counts(counts)?;
            return Some(Self::Subscribe(Subscription {
                answer_counts,
                limit,
                asked_at_ms: u32::from_be_bytes(*asked_at),
                is_urgent,
            }));
        }
        let (load, rest) = bytes.strip_prefix(&LOAD_MAGIC)?.split_first_chunk::<12>()?;
        let [a, b, c, d, w0, w1, s0, s1, r0, r1, g0, g1] = *load;
        let (counts, rest) = rest.split_first_chunk::<28>()?;
        let (answer_counts, limit) = decode_counts(counts)?;
        let (times, rest) = rest.split_first_chunk::<24>()?;
        let (times, _) = times.as_chunks::<8>();
        let [leaving_boot, boot, sent_at] = [0, 1, 2].map(|at| u64::from_be_bytes(times[at]));
        let (spans, rest) = rest.split_first_chunk::<12>()?;
        let (spans, _) = spans.as_chunks::<4>();
        let [cold_left_ms, answering_for_ms, asked_at_ms] =
            [0, 1, 2].map(|at| u32::from_be_bytes(spans[at]));
        let &[p0, p1, n0, n1] = rest else {
            return None;
        };
        let lease = match (u16::from_be_bytes([p0, p1]), u16::from_be_bytes([n0, n1])) {
            (0, 0) => None,
            (place, places) => Some(Lease::new(place, places)?),
        };
        Some(Self::Load(Load {
            seq: u32::from_be_bytes([a, b, c, d]),
            waiting: u16::from_be_bytes([w0, w1]),
            starting: u16::from_be_bytes([s0, s1]),
            running: u16::from_be_bytes([r0, r1]),
            gateways: u16::from_be_bytes([g0, g1]),
            answer_counts,
            limit,
            leaving_boot: NonZeroU64::new(leaving_boot),
            boot: NonZeroU64::new(boot),
            cold_left_ms,
            answering_for_ms,
            sent_at: Millis(sent_at),
            asked_at_ms,
            lease,
        }))
    }
}

/// Number that stands for no limit, or for no word of one.
const NONE: u32 = u32::MAX;

fn encode_limit(word: Option<LimitWord>) -> [u32; 2] {
    let Some(word) = word else {
        return [0, NONE];
    };
    let age = u32::try_from(word.age.0).unwrap_or(NONE).min(NONE - 1);
    [word.per_1000_s.unwrap_or(NONE), age]
}

fn encode_counts(bytes: &mut Vec<u8>, answer_counts: Judged, limit: Option<LimitWord>) {
    let counts = [
        answer_counts.answers,
        answer_counts.failed,
        answer_counts.slow,
        answer_counts.paces,
        answer_counts.slow_paces,
    ];
    for count in counts.into_iter().chain(encode_limit(limit)) {
        bytes.extend_from_slice(&count.to_be_bytes());
    }
}

fn decode_counts(bytes: &[u8; 28]) -> Option<(Judged, Option<LimitWord>)> {
    let (counts, _) = bytes.as_chunks::<4>();
    let [answers, failed, slow, paces, slow_paces, limit, age] =
        [0, 1, 2, 3, 4, 5, 6].map(|at| u32::from_be_bytes(counts[at]));
    let counts = Judged {
        answers,
        failed,
        slow,
        paces,
        slow_paces,
    };
    if age == NONE && limit != 0 {
        return None;
    }
    let word = (age != NONE).then(|| LimitWord {
        per_1000_s: (limit != NONE).then_some(limit),
        age: Millis(age.into()),
    });
    Some((counts, word))
}
