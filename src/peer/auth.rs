//! Mutual authentication by the shared peer key.

use std::fmt;
use std::rc::Rc;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Shortest accepted key, in bytes.
pub const MIN_KEY_BYTES: usize = 32;

/// The end of the link that a proof is from; prevents replaying one end's proof as the other's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The gateway.
    Client,
    /// The agent.
    Server,
}

/// The key that all processes of a deployment share.
#[derive(Clone)]
pub struct PeerKey(Rc<[u8]>);

impl PeerKey {
    /// Creates a key from its bytes; `None` if there are fewer than `MIN_KEY_BYTES`.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Option<Self> {
        (bytes.len() >= MIN_KEY_BYTES).then(|| Self(Rc::from(bytes)))
    }

    /// Computes an end's proof over the nonces of both ends.
    pub(super) fn proof(&self, role: Role, client: &[u8], server: &[u8]) -> Vec<u8> {
        self.mac(role, client, server)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Verifies an end's proof in constant time.
    pub(super) fn verify(&self, role: Role, client: &[u8], server: &[u8], proof: &[u8]) -> bool {
        self.mac(role, client, server).verify_slice(proof).is_ok()
    }

    fn mac(&self, role: Role, client: &[u8], server: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts a key of any length");
        let role_text: &[u8] = match role {
            Role::Client => b"client",
            Role::Server => b"server",
        };
        for part in [role_text, client, server] {
            // The length distinguishes two different splits of the same bytes.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(..)")
    }
}
