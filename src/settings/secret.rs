//! Text that must not be printed.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;

/// A secret; its debug form does not print it.
#[derive(Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Returns the secret's bytes, for a MAC.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
