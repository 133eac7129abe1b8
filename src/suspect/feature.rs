//! What requests have in common that crash upstreams.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::router::{hash, mix};

/// Hash of something that requests share: a part of their prompts, or all that makes a request what it is.
///
/// The text form is a hexadecimal number of 16 digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Feature(pub u64);

/// Set in the features of whole requests only.
const WHOLE_REQUEST_BIT: u64 = 1;

impl Feature {
    /// Returns the feature of a part of a prompt.
    #[must_use]
    pub fn of_part(id: &[u8]) -> Self {
        Self(hash(id) & !WHOLE_REQUEST_BIT)
    }

    /// Returns the feature of a request that is repeated as a whole.
    #[must_use]
    pub fn of_request(account: &[u8], target: &[u8], body: &[u8]) -> Self {
        let fields = [account, target, body];
        Self(fields.iter().fold(0, |h, field| mix(h ^ hash(field))) | WHOLE_REQUEST_BIT)
    }

    /// Returns whether the feature stands for a whole request.
    #[must_use]
    pub const fn is_request(self) -> bool {
        self.0 & WHOLE_REQUEST_BIT != 0
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Text that is not the text form of a [`Feature`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseFeatureError(String);

impl fmt::Display for ParseFeatureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "feature is {:?}, expected 16 hexadecimal digits", self.0)
    }
}

impl std::error::Error for ParseFeatureError {}

impl FromStr for Feature {
    type Err = ParseFeatureError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u64::from_str_radix(text, 16).ok();
        let number = number.filter(|_| text.len() == 16);
        number
            .map(Self)
            .ok_or_else(|| ParseFeatureError(text.to_owned()))
    }
}

/// Returns the features of a request, sorted: the parts of its prompt but the last, which is its own or its session's, and
/// the whole request.
#[must_use]
pub fn features(parts: &str, whole: Feature) -> Vec<Feature> {
    let mut ids: Vec<_> = (parts.split(','))
        .filter_map(|part| part.split(':').next())
        .map(str::trim)
        .filter(|id| !id.is_empty())
        .collect();
    ids.pop();
    ids.truncate(MAX_PARTS);
    let parts = ids.into_iter().map(|id| Feature::of_part(id.as_bytes()));
    let mut features: Vec<_> = parts.chain([whole]).collect();
    features.sort_unstable();
    features.dedup();
    features
}

/// Number of parts of a prompt that are considered; longer prompts are judged by their first ones.
const MAX_PARTS: usize = 16;
