//! Digests of parts and IDs of applies.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest as _, Sha256};
use uuid::Uuid;

/// Text that is not a valid digest or apply ID.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseDigestError {
    /// A digest is not 64 lowercase hexadecimal digits.
    Digest(String),
    /// An apply ID is not a UUID.
    ApplyId(String),
}

impl fmt::Display for ParseDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Digest(text) => write!(
                f,
                "{text:?} is not a SHA-256 of 64 lowercase hexadecimal digits"
            ),
            Self::ApplyId(text) => write!(f, "{text:?} is not a UUID"),
        }
    }
}

impl std::error::Error for ParseDigestError {}

/// Length of a SHA-256, in bytes.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 of a part, written as 64 lowercase hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseDigestError::Digest(text.to_owned());
        // Lowercase only, so that a digest has exactly one key in the key-value service.
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(is_digit) {
            return Err(error());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_digits| error())?;
        }
        Ok(Self(digest))
    }
}

/// The unique ID of one apply.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ApplyId(pub Uuid);

impl ApplyId {
    /// Generates an ID with the operating system's random number generator.
    #[must_use]
    pub fn random() -> Self {
        Self(Uuid::new_v4())
    }
}

impl fmt::Display for ApplyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for ApplyId {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = |_not_a_uuid| ParseDigestError::ApplyId(text.to_owned());
        text.parse().map(Self).map_err(error)
    }
}
