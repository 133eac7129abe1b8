//! The record that the key-value service stores for each keyed call.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

use crate::ids::{Incarnation, RequestId};
use crate::units::Millis;

/// Maximum size of a response body that is stored in a record, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// SHA-256 of a call's method, path and body.
#[derive(Clone, Copy, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct CallDigest([u8; 32]);

impl CallDigest {
    /// Computes the digest of a call.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        // Each part is preceded by its length, so that two different calls never hash the same input.
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }
}

impl fmt::Display for CallDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for CallDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The text of a digest is not 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestError;

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("digest is not 64 hexadecimal digits")
    }
}

impl std::error::Error for DigestError {}

impl FromStr for CallDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(DigestError);
        }
        let mut digest = [0; 32];
        for (at, byte) in digest.iter_mut().enumerate() {
            *byte =
                u8::from_str_radix(&text[2 * at..2 * at + 2], 16).map_err(|_digits| DigestError)?;
        }
        Ok(Self(digest))
    }
}

/// Identifies one attempt of a call at one agent; no two attempts are equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The agent's incarnation.
    pub agent: Incarnation,
    /// Number that the agent assigns to each call; distinguishes two deliveries of the same attempt.
    pub call: u64,
    /// The request.
    pub request: RequestId,
    /// Number that the gateway assigned to the attempt.
    pub attempt: u32,
}

/// The value that the key-value service stores for a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the call; never changes while the record exists.
    pub digest: CallDigest,
    /// The attempt that wrote the record last.
    pub by: Attempt,
    /// Start of that attempt, in Unix milliseconds.
    pub started_at: Millis,
    /// Progress of that attempt.
    pub state: RecordState,
}

/// Progress of an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// The call may still run, may have run, or failed after it was sent.
    Intent,
    /// The call was provably not sent; another attempt may replace the record with its own intent.
    NotRun,
    /// The call ran.
    Done(Outcome),
}

/// Result of a run at the upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<String>,
    /// Response body.
    pub body: StoredBody,
    /// Charge of the call in the ledger's JSON form.
    pub charge: serde_json::Value,
}

impl Outcome {
    /// Creates an outcome; of a body over [`MAX_STORED_BODY_BYTES`] only the length is stored.
    #[must_use]
    pub fn new(
        status: u16,
        content_type: Option<String>,
        body: Bytes,
        charge: serde_json::Value,
    ) -> Self {
        let body = if body.len() > MAX_STORED_BODY_BYTES {
            StoredBody::TooLarge {
                length: body.len() as u64,
            }
        } else {
            StoredBody::Whole(body)
        };
        Self {
            status,
            content_type,
            body,
            charge,
        }
    }
}

/// A response body as stored in a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// The complete body, as base64 in JSON.
    Whole(
        #[serde(
            serialize_with = "serialize_base64",
            deserialize_with = "deserialize_base64"
        )]
        Bytes,
    ),
    /// The body was over [`MAX_STORED_BODY_BYTES`] and was not stored.
    TooLarge {
        /// Length of the body in bytes.
        length: u64,
    },
}

fn serialize_base64<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(body))
}

fn deserialize_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD
        .decode(text)
        .map(Bytes::from)
        .map_err(serde::de::Error::custom)
}

impl Record {
    /// Parses a record from JSON.
    ///
    /// # Errors
    /// Returns the JSON error if the value is not a record.
    pub fn from_json(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// Serialises the record as JSON.
    ///
    /// # Panics
    /// Never: all keys of a record are strings and no number is outside JSON's range.
    #[must_use]
    pub fn to_json(&self) -> Bytes {
        serde_json::to_vec(self)
            .expect("a record is valid JSON")
            .into()
    }

    /// Returns the approximate memory use of the record in the agent, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        // Covers the fixed-size fields, the names and a typical charge.
        const FIXED_BYTES: usize = 512;
        match &self.state {
            RecordState::Done(Outcome {
                body: StoredBody::Whole(body),
                ..
            }) => FIXED_BYTES + body.len(),
            _ => FIXED_BYTES,
        }
    }
}
