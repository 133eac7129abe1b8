//! Signed session tokens that pin a session to a version.
//!
//! A token is `v1.<payload>.<signature>`; payload and signature are in unpadded base64url. The payload is JSON.
//! The signature is HMAC-SHA256 over the text before the last dot, so that it covers the format version too.

#[cfg(test)]
mod tests;

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::ids::{AccountId, VersionRef};
use crate::units::Millis;

/// Longest token that is accepted, in bytes.
pub const MAX_TOKEN_BYTES: usize = 1_024;

/// Shortest secret, in bytes: the length of the HMAC output.
pub const MIN_SECRET_BYTES: usize = 32;

/// Longest key id, in bytes.
pub const MAX_KEY_ID_BYTES: usize = 32;

/// Longest time by which a token's issue time may be ahead of the clock of the gateway that verifies it.
pub const MAX_AHEAD: Millis = Millis::from_secs(300);

/// Version of the token format.
const TOKEN_FORMAT: &str = "v1";

/// A key that signs and verifies tokens.
#[derive(Clone)]
pub struct SessionKey {
    id: String,
    secret: Vec<u8>,
}

// Omits the secret, which must not appear in logs.
impl fmt::Debug for SessionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SessionKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Why a set of session keys is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeysError {
    /// The set has no key.
    Empty,
    /// A key id is empty, longer than [`MAX_KEY_ID_BYTES`], or has characters other than ASCII letters, digits,
    /// `-` and `_`.
    InvalidId(String),
    /// Two keys have this id.
    DuplicateId(String),
    /// The secret of this key is shorter than [`MIN_SECRET_BYTES`].
    ShortSecret(String),
}

impl fmt::Display for KeysError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("list of session keys is empty; it needs at least 1"),
            Self::InvalidId(id) => write!(
                f,
                "session key id {id:?} is not 1 to {MAX_KEY_ID_BYTES} letters, digits, '-' or '_'"
            ),
            Self::DuplicateId(id) => write!(f, "two session keys have the id {id:?}"),
            Self::ShortSecret(id) => write!(
                f,
                "secret of session key {id:?} is shorter than {MIN_SECRET_BYTES} bytes"
            ),
        }
    }
}

impl std::error::Error for KeysError {}

/// Why a session token is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionError {
    /// The token does not have the expected format.
    Malformed,
    /// The token names a key that this process does not have.
    UnknownKey,
    /// The signature does not match the key.
    BadSignature,
    /// The token has expired, or its issue time is more than [`MAX_AHEAD`] in the future.
    Expired,
    /// The token was issued to another client account.
    WrongAccount,
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "session token is malformed",
            Self::UnknownKey => "session token was signed with an unknown key",
            Self::BadSignature => "session token has a bad signature",
            Self::Expired => "session token has expired",
            Self::WrongAccount => "session token belongs to another client account",
        })
    }
}

impl std::error::Error for SessionError {}

/// Content of a valid token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PinnedSession {
    /// The version to which the session is pinned.
    pub version: VersionRef,
    /// When the token was issued, in Unix milliseconds.
    pub issued_at: Millis,
    /// When the token expires, in Unix milliseconds.
    pub expires_at: Millis,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Payload {
    key: String,
    account: AccountId,
    version: VersionRef,
    issued_ms: u64,
    expires_ms: u64,
}

/// The session keys of a deployment: the first one signs, all verify.
///
/// To rotate keys, the new key is added at the end on all gateways and then moved to the front. The old key is
/// removed after the longest lifetime of a token.
#[derive(Debug, Clone)]
pub struct SessionKeys {
    keys: Vec<SessionKey>,
}

impl SessionKey {
    /// Creates a key; [`SessionKeys::new`] checks it.
    #[must_use]
    pub fn new(id: impl Into<String>, secret: impl Into<Vec<u8>>) -> Self {
        Self {
            id: id.into(),
            secret: secret.into(),
        }
    }

    fn validate(&self) -> Result<(), KeysError> {
        let has_valid_length = (1..=MAX_KEY_ID_BYTES).contains(&self.id.len());
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        if !has_valid_length || !self.id.bytes().all(is_allowed) {
            return Err(KeysError::InvalidId(self.id.clone()));
        }
        if self.secret.len() < MIN_SECRET_BYTES {
            return Err(KeysError::ShortSecret(self.id.clone()));
        }
        Ok(())
    }

    fn mac(&self, signed: &str) -> [u8; 32] {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC accepts keys of any length");
        mac.update(signed.as_bytes());
        mac.finalize().into_bytes().into()
    }
}

impl SessionKeys {
    /// Checks the keys of a deployment; the first one signs.
    ///
    /// # Errors
    /// [`KeysError`] if there is no key, or if a key or its id is invalid.
    pub fn new(keys: Vec<SessionKey>) -> Result<Self, KeysError> {
        if keys.is_empty() {
            return Err(KeysError::Empty);
        }
        for (at, key) in keys.iter().enumerate() {
            key.validate()?;
            if keys[..at].iter().any(|other| other.id == key.id) {
                return Err(KeysError::DuplicateId(key.id.clone()));
            }
        }
        Ok(Self { keys })
    }

    /// Returns a token that pins a session of the account to a version; times are in Unix milliseconds.
    ///
    /// The token is not longer than [`MAX_TOKEN_BYTES`] if the names have at most
    /// [`MAX_NAME_BYTES`](crate::ids::MAX_NAME_BYTES) and no characters that JSON escapes.
    ///
    /// # Panics
    /// Never: the payload always serialises and a set of keys is never empty.
    #[must_use]
    pub fn sign(
        &self,
        account: &AccountId,
        version: &VersionRef,
        issued_at: Millis,
        lifetime: Millis,
    ) -> String {
        let key = self.keys.first().expect("a set of keys is not empty");
        let payload = Payload {
            key: key.id.clone(),
            account: account.clone(),
            version: version.clone(),
            issued_ms: issued_at.0,
            expires_ms: (issued_at + lifetime).0,
        };
        let payload = serde_json::to_vec(&payload).expect("the payload serialises to JSON");
        let signed = format!("{TOKEN_FORMAT}.{}", URL_SAFE_NO_PAD.encode(payload));
        let signature = URL_SAFE_NO_PAD.encode(key.mac(&signed));
        format!("{signed}.{signature}")
    }

    /// Verifies the token of a request of `account` at `now`, in Unix milliseconds.
    ///
    /// # Errors
    /// [`SessionError`] if the token does not pin a session of this account.
    pub fn verify(
        &self,
        token: &str,
        account: &AccountId,
        now: Millis,
    ) -> Result<PinnedSession, SessionError> {
        let (signed, payload, signature) = parse(token).ok_or(SessionError::Malformed)?;
        let key = self
            .keys
            .iter()
            .find(|key| key.id == payload.key)
            .ok_or(SessionError::UnknownKey)?;
        if !bool::from(key.mac(signed).ct_eq(&signature)) {
            return Err(SessionError::BadSignature);
        }
        if payload.account != *account {
            return Err(SessionError::WrongAccount);
        }
        let ahead = Millis(payload.issued_ms).since(now);
        if now.0 >= payload.expires_ms || ahead > MAX_AHEAD {
            return Err(SessionError::Expired);
        }
        Ok(PinnedSession {
            version: payload.version,
            issued_at: Millis(payload.issued_ms),
            expires_at: Millis(payload.expires_ms),
        })
    }
}

/// Splits a token into the signed text, the payload and the signature.
fn parse(token: &str) -> Option<(&str, Payload, [u8; 32])> {
    if token.len() > MAX_TOKEN_BYTES {
        return None;
    }
    let (signed, signature) = token.rsplit_once('.')?;
    let (format, payload) = signed.split_once('.')?;
    if format != TOKEN_FORMAT {
        return None;
    }
    let payload = URL_SAFE_NO_PAD.decode(payload).ok()?;
    let payload: Payload = serde_json::from_slice(&payload).ok()?;
    let signature = URL_SAFE_NO_PAD.decode(signature).ok()?;
    Some((signed, payload, signature.try_into().ok()?))
}
