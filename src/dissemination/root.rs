//! Roots: the names and digests of all parts of a configuration revision.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest as _, Sha256};

/// SHA-256 digest of a part or a root, written as 64 hexadecimal digits.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest(pub [u8; 32]);

/// Text that is not 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseDigestError(String);

impl fmt::Display for ParseDigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not 64 hexadecimal digits", self.0)
    }
}

impl std::error::Error for ParseDigestError {}

impl Digest {
    /// Computes the digest of a text.
    #[must_use]
    pub fn of(text: &str) -> Self {
        Self(Sha256::digest(text).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseDigestError(text.to_owned());
        if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(error());
        }
        let mut digest = [0; 32];
        for (at, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_digits| error())?;
        }
        Ok(Self(digest))
    }
}

/// A revision of the configuration as names and digests of its parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootRef {
    /// The revision, from 1.
    pub revision: u64,
    /// Name and digest of each part, sorted by name.
    pub parts: Vec<(String, Digest)>,
}

impl RootRef {
    /// Computes the digest of the root: of its revision and of its parts' names and digests.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut hash = Sha256::new();
        hash.update(self.revision.to_be_bytes());
        for (name, digest) in &self.parts {
            hash.update((name.len() as u64).to_be_bytes());
            hash.update(name);
            hash.update(digest.0);
        }
        Digest(hash.finalize().into())
    }

    /// Returns the parts that were added or changed since `base`, and the names of those that were removed.
    #[must_use]
    pub fn changes_since(&self, base: &Self) -> (Vec<(String, Digest)>, Vec<String>) {
        let changed = self
            .parts
            .iter()
            .filter(|(name, digest)| base.part(name) != Some(*digest));
        let removed = base
            .parts
            .iter()
            .filter(|(name, _)| self.part(name).is_none());
        (
            changed.cloned().collect(),
            removed.map(|(name, _)| name.clone()).collect(),
        )
    }

    /// Returns a copy of the root with a new revision and the changes applied.
    #[must_use]
    pub fn with_changes(
        &self,
        revision: u64,
        changed: &[(String, Digest)],
        removed: &[String],
    ) -> Self {
        let mut parts = self.parts.clone();
        parts.retain(|(name, _)| !removed.contains(name));
        for (name, digest) in changed {
            match parts.binary_search_by(|(known, _)| known.cmp(name)) {
                Ok(at) => parts[at].1 = *digest,
                Err(at) => parts.insert(at, (name.clone(), *digest)),
            }
        }
        Self { revision, parts }
    }

    /// Returns the digest of the part with this name.
    #[must_use]
    pub fn part(&self, name: &str) -> Option<Digest> {
        let at = self
            .parts
            .binary_search_by(|(known, _)| known.as_str().cmp(name));
        at.ok().map(|at| self.parts[at].1)
    }

    /// Returns whether a part of the root has this digest.
    #[must_use]
    pub fn contains(&self, digest: Digest) -> bool {
        self.parts.iter().any(|(_, of_part)| *of_part == digest)
    }
}
