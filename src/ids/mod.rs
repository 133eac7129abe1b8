//! Newtypes for names and identifiers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

#[cfg(test)]
mod tests;

/// Longest name that a sheet, a setting or a peer may use, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(Arc::from(name))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    };
}

name_type!(
    /// Name of a client account.
    AccountId
);
name_type!(
    /// Name of a model.
    ModelId
);
name_type!(
    /// Name of a version within its model.
    VersionId
);
name_type!(
    /// Name of a request class, such as `tags` or `restock-plan`.
    ClassId
);
name_type!(
    /// Name of an upstream and of its agent.
    UpstreamId
);
name_type!(
    /// Name of a data centre.
    DataCentre
);
name_type!(
    /// Name of a plain service, such as `orders`.
    ServiceId
);

/// Text that cannot be parsed as an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseIdError {
    /// A version reference is not of the form `model/version`.
    VersionRef(String),
    /// An incarnation is not 32 hexadecimal digits.
    Incarnation(String),
    /// A request ID is not of the form `incarnation-number`.
    RequestId(String),
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VersionRef(text) => write!(f, "{text:?} is not of the form model/version"),
            Self::Incarnation(text) => write!(f, "{text:?} is not 32 hexadecimal digits"),
            Self::RequestId(text) => write!(f, "{text:?} is not of the form incarnation-number"),
        }
    }
}

impl std::error::Error for ParseIdError {}

/// A version of a model, written `model/version`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct VersionRef {
    /// The model.
    pub model: ModelId,
    /// The version within the model.
    pub version: VersionId,
}

impl VersionRef {
    /// Creates a reference from the names of a model and a version.
    #[must_use]
    pub fn new(model: &str, version: &str) -> Self {
        Self {
            model: model.into(),
            version: version.into(),
        }
    }
}

impl fmt::Display for VersionRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.version)
    }
}

impl FromStr for VersionRef {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split_once('/');
        match parts {
            Some((model, version))
                if !model.is_empty() && !version.is_empty() && !version.contains('/') =>
            {
                Ok(Self::new(model, version))
            }
            _ => Err(ParseIdError::VersionRef(text.to_owned())),
        }
    }
}

/// Generates 64 random bits with the operating system's random number generator.
#[must_use]
pub fn random_u64() -> u64 {
    // The XOR combines the fixed bits in each half of a version 4 UUID with random bits of the other half.
    let (high, low) = uuid::Uuid::new_v4().as_u64_pair();
    high ^ low.rotate_left(32)
}

/// Identifies one run of a process; random, generated when the process starts.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Incarnation(pub u128);

impl Incarnation {
    /// Generates an incarnation with the operating system's random number generator.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().as_u128())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseIdError::Incarnation(text.to_owned()));
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_overflow| ParseIdError::Incarnation(text.to_owned()))
    }
}

/// Identifies a request and its charge; requests are numbered without gaps within a gateway's incarnation.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct RequestId {
    /// The incarnation of the gateway that received the request.
    pub gateway: Incarnation,
    /// Number of the request at this gateway; requests are numbered from 1.
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.gateway, self.seq)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseIdError::RequestId(text.to_owned());
        let (gateway, seq) = text.split_once('-').ok_or_else(error)?;
        let gateway = gateway.parse().map_err(|_incarnation| error())?;
        let seq = seq.parse().map_err(|_number| error())?;
        Ok(Self { gateway, seq })
    }
}
