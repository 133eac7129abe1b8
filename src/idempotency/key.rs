//! Idempotency keys: parsing, and validation of their age.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use uuid::{Uuid, Variant};

use crate::ids::AccountId;
use crate::units::Millis;

/// Maximum length of the header value: a hyphenated UUID in quotes.
pub const MAX_KEY_BYTES: usize = 38;

/// Maximum time by which a key may be ahead of the agent's clock.
pub const MAX_KEY_AHEAD: Millis = Millis::from_secs(300);

/// A `UUIDv7` that identifies one call of a client account.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct IdempotencyKey(Uuid);

/// Reason why a header value is not a valid idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The value is longer than [`MAX_KEY_BYTES`].
    TooLong(usize),
    /// The value is not a hyphenated UUID.
    Malformed,
    /// The value is a UUID of another version, which contains no usable time.
    NotVersion7,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(len) => write!(
                f,
                "idempotency key has {len} bytes, more than {MAX_KEY_BYTES}"
            ),
            Self::Malformed => f.write_str("idempotency key is not a hyphenated UUID"),
            Self::NotVersion7 => f.write_str("idempotency key is not a UUID of version 7"),
        }
    }
}

impl std::error::Error for KeyError {}

/// Prefix of the store keys of records; followed by the account and the idempotency key.
pub const RECORD_PREFIX: &str = "/fireflywind/idem/";

/// Reason why a key is rejected because of its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// The key is older than the lifetime of keys; its record may have been removed.
    Expired,
    /// The key's time is more than [`MAX_KEY_AHEAD`] in the future.
    InFuture,
}

impl IdempotencyKey {
    /// Creates a key from a UUID.
    ///
    /// # Errors
    /// Returns [`KeyError::NotVersion7`] if the UUID has another version or variant.
    pub fn new(uuid: Uuid) -> Result<Self, KeyError> {
        if uuid.get_version_num() == 7 && uuid.get_variant() == Variant::RFC4122 {
            Ok(Self(uuid))
        } else {
            Err(KeyError::NotVersion7)
        }
    }

    /// Returns the time of the key, in Unix milliseconds.
    #[must_use]
    pub fn time(self) -> Millis {
        // The first 48 bits of a UUIDv7 are its Unix time in milliseconds.
        let bits = self.0.as_u128() >> 80;
        Millis(u64::try_from(bits).unwrap_or(u64::MAX))
    }

    /// Checks the age of the key at `now`, in Unix milliseconds.
    ///
    /// # Errors
    /// Returns [`KeyAge`] if a call with this key must not run.
    pub fn check_age(self, now: Millis, lifetime: Millis) -> Result<(), KeyAge> {
        if now.since(self.time()) > lifetime {
            Err(KeyAge::Expired)
        } else if self.time().since(now) > MAX_KEY_AHEAD {
            Err(KeyAge::InFuture)
        } else {
            Ok(())
        }
    }

    /// Returns the store key of the call's record in the key-value service.
    #[must_use]
    pub fn record_key(self, account: &AccountId) -> String {
        format!("{RECORD_PREFIX}{account}/{self}")
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.hyphenated())
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    /// Parses a header value: a hyphenated `UUIDv7`, plain or as a quoted structured-field string.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong(text.len()));
        }
        let plain = text
            .strip_prefix('"')
            .and_then(|rest| rest.strip_suffix('"'))
            .unwrap_or(text);
        // Other forms of UUIDs are rejected, so that a key has only one spelling apart from upper and lower case.
        if plain.len() != 36 {
            return Err(KeyError::Malformed);
        }
        let uuid = Uuid::try_parse(plain).map_err(|_malformed| KeyError::Malformed)?;
        Self::new(uuid)
    }
}
