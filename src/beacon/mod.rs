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
use crate::units::Millis;

/// Magic bytes at the start of a subscription.
const SUBSCRIBE_MAGIC: [u8; 4] = *b"FWS3";

/// Magic bytes at the start of a load.
const LOAD_MAGIC: [u8; 4] = *b"FWL5";

/// Size of a datagram buffer; larger than the largest datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 64;

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
}

/// One datagram of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Datagram {
    /// A gateway subscribes to loads for the next seconds and reports its own answer counts of the upstream, and the latest
    /// word of its limit.
    Subscribe(Judged, Option<LimitWord>),
    /// A beacon reports the load of its upstream.
    Load(Load),
}

impl Datagram {
    /// Encodes the datagram.
    #[must_use]
    pub fn encode(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let (answer_counts, limit, leaving_boot) = match self {
            Self::Subscribe(answer_counts, limit) => {
                bytes.extend_from_slice(&SUBSCRIBE_MAGIC);
                (answer_counts, limit, None)
            }
            Self::Load(load) => {
                bytes.extend_from_slice(&LOAD_MAGIC);
                bytes.extend_from_slice(&load.seq.to_be_bytes());
                for count in [load.waiting, load.starting, load.running, load.gateways] {
                    bytes.extend_from_slice(&count.to_be_bytes());
                }
                let boot = load.leaving_boot.map_or(0, NonZeroU64::get);
                (load.answer_counts, load.limit, Some(boot))
            }
        };
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
        if let Some(boot) = leaving_boot {
            bytes.extend_from_slice(&boot.to_be_bytes());
        }
        bytes
    }

    /// Decodes a datagram; returns `None` if it does not belong to this protocol.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if let Some(rest) = bytes.strip_prefix(&SUBSCRIBE_MAGIC) {
            let (answer_counts, limit) = decode_counts(rest)?;
            return Some(Self::Subscribe(answer_counts, limit));
        }
        let (load, rest) = bytes.strip_prefix(&LOAD_MAGIC)?.split_first_chunk::<12>()?;
        let [a, b, c, d, w0, w1, s0, s1, r0, r1, g0, g1] = *load;
        let (rest, boot) = rest.split_last_chunk::<8>()?;
        let (answer_counts, limit) = decode_counts(rest)?;
        Some(Self::Load(Load {
            seq: u32::from_be_bytes([a, b, c, d]),
            waiting: u16::from_be_bytes([w0, w1]),
            starting: u16::from_be_bytes([s0, s1]),
            running: u16::from_be_bytes([r0, r1]),
            gateways: u16::from_be_bytes([g0, g1]),
            answer_counts,
            limit,
            leaving_boot: NonZeroU64::new(u64::from_be_bytes(*boot)),
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

fn decode_counts(bytes: &[u8]) -> Option<(Judged, Option<LimitWord>)> {
    let bytes: &[u8; 28] = bytes.try_into().ok()?;
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
