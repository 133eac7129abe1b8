//! Load of an upstream, told to gateways by a process beside it.
//!
//! Many gateways share the upstreams, and each sees only its own requests. The process beside an upstream
//! reads its fresh state and sends it in small datagrams to the gateways that subscribed. Datagrams may be
//! lost or late: a load is a hint with an age, never a promise.

pub mod receiver;
pub mod sender;
#[cfg(test)]
mod tests;

/// First bytes of a subscription.
const SUBSCRIBE: [u8; 4] = *b"FWS1";

/// First bytes of a load.
const LOAD: [u8; 4] = *b"FWL1";

/// Bytes of a load.
const LOAD_BYTES: usize = 14;

/// Load of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of the datagram; it grows while the sender runs.
    pub seq: u32,
    /// Requests that wait for a slot.
    pub waiting: u16,
    /// Requests that have a slot and no output yet.
    pub starting: u16,
    /// Requests that have a slot.
    pub running: u16,
}

/// One datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Datagram {
    /// A gateway wants loads for the next seconds.
    Subscribe,
    /// A load.
    Load(Load),
}

impl Datagram {
    /// Encodes the datagram.
    #[must_use]
    pub fn encode(self) -> Vec<u8> {
        match self {
            Self::Subscribe => SUBSCRIBE.to_vec(),
            Self::Load(load) => {
                let mut bytes = Vec::with_capacity(LOAD_BYTES);
                bytes.extend_from_slice(&LOAD);
                bytes.extend_from_slice(&load.seq.to_be_bytes());
                for count in [load.waiting, load.starting, load.running] {
                    bytes.extend_from_slice(&count.to_be_bytes());
                }
                bytes
            }
        }
    }

    /// Decodes a datagram; `None` if it is none of this protocol.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes == SUBSCRIBE {
            return Some(Self::Subscribe);
        }
        let rest: &[u8; 10] = bytes.strip_prefix(&LOAD)?.try_into().ok()?;
        let [a, b, c, d, w0, w1, s0, s1, r0, r1] = *rest;
        Some(Self::Load(Load {
            seq: u32::from_be_bytes([a, b, c, d]),
            waiting: u16::from_be_bytes([w0, w1]),
            starting: u16::from_be_bytes([s0, s1]),
            running: u16::from_be_bytes([r0, r1]),
        }))
    }
}
