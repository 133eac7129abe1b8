//! Messages of the JSON form of etcd's v3 API, limited to what the client and the stand-in use.
//!
//! The JSON form follows proto3: 64-bit integers are strings, bytes are base64, and fields with their default
//! value may be omitted.

use std::fmt;
use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Code in an [`ErrorBody`] for an invalid argument.
pub const CODE_INVALID: u32 = 3;
/// Code in an [`ErrorBody`] for a lease that does not exist.
pub const CODE_NOT_FOUND: u32 = 5;
/// Code in an [`ErrorBody`] for an unavailable service.
pub const CODE_UNAVAILABLE: u32 = 14;

/// Bytes, encoded as base64 in JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct Blob(pub Vec<u8>);

impl fmt::Display for Blob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&STANDARD.encode(&self.0))
    }
}

impl FromStr for Blob {
    type Err = base64::DecodeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        STANDARD.decode(text).map(Self)
    }
}

impl From<&str> for Blob {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

/// An unsigned 64-bit integer, encoded as a decimal string in JSON.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct Int64(pub u64);

impl Int64 {
    /// Returns whether the value is the default, which proto3 omits.
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes the field by reference"
    )]
    const fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for Int64 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Int64 {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Header of every answer.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Store revision after the call.
    pub revision: Int64,
}

/// A key with its value and revisions.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Pair {
    /// The key.
    pub key: Blob,
    /// Store revision at which the key was created.
    pub create_revision: Int64,
    /// Store revision of the last change.
    pub mod_revision: Int64,
    /// The value.
    pub value: Blob,
}

/// Body of `/v3/kv/range`.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The key, or the first key of the range.
    pub key: Blob,
    /// First key after the range; empty for a single key.
    pub range_end: Blob,
}

/// Answer of `/v3/kv/range`.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeAnswer {
    /// The store's state.
    pub header: Header,
    /// The keys of the range, in key order.
    pub kvs: Vec<Pair>,
}

/// Field that a condition compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Revision of the key's creation; zero if the key does not exist.
    Create,
    /// Revision of the key's last change.
    Mod,
}

/// Comparison of a condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Comparison {
    /// Both sides are equal.
    Equal,
}

/// A condition of a transaction.
#[derive(Debug, Serialize, Deserialize)]
pub struct Condition {
    /// The key to compare.
    pub key: Blob,
    /// The field to compare.
    pub target: Target,
    /// The comparison to make.
    pub result: Comparison,
    /// Expected value for [`Target::Create`]; etcd rejects a condition with two expected values.
    #[serde(alias = "createRevision", skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int64>,
    /// Expected value for [`Target::Mod`].
    #[serde(alias = "modRevision", skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int64>,
}

/// A write of a transaction.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// Lease of the key; zero for none.
    pub lease: Int64,
}

/// A removal of a transaction.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The key.
    pub key: Blob,
}

/// A change of a transaction.
#[derive(Debug, Serialize, Deserialize)]
pub enum Operation {
    /// Writes a value.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    /// Removes a key.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(DeleteRequest),
}

/// Body of `/v3/kv/txn`.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Condition>,
    /// Changes to apply if all conditions hold.
    pub success: Vec<Operation>,
}

/// Answer of `/v3/kv/txn`.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnAnswer {
    /// The store's state.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
}

/// Body and answer of the lease calls.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseMessage {
    /// Remaining time in seconds; zero in an answer means that the lease has ended.
    #[serde(rename = "TTL", skip_serializing_if = "Int64::is_zero")]
    pub ttl: Int64,
    /// The lease; zero in a grant lets the service choose.
    #[serde(rename = "ID", skip_serializing_if = "Int64::is_zero")]
    pub id: Int64,
}

/// Body of `/v3/watch`.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The watch to start.
    pub create_request: WatchCreate,
}

/// A watch of one key.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The key.
    pub key: Blob,
    /// First revision whose events are sent; zero starts after the current revision.
    pub start_revision: Int64,
}

/// One message of a streamed answer.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamLine<T> {
    /// The message.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<T>,
    /// The error that ends the stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<ErrorBody>,
}

/// Message of a watch.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchAnswer {
    /// The store's state.
    pub header: Header,
    /// Whether this message confirms the start of the watch.
    pub created: bool,
    /// Whether the service ended the watch, for example because its start was compacted.
    pub canceled: bool,
    /// The changes, oldest first.
    pub events: Vec<Event>,
}

/// Kind of a change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was removed.
    Delete,
}

/// A change that a watch reports.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// What happened.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The key after the change.
    pub kv: Pair,
}

/// Body of a failed call.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// gRPC status code.
    pub code: u32,
    /// The reason.
    pub message: String,
}

/// Returns the first key and the end of the range of all keys with a prefix, as etcd defines them.
///
/// The range of all keys, for an empty prefix, has `\0` as its key and as its end.
#[must_use]
pub fn prefix_range(prefix: &str) -> (Blob, Blob) {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return (Blob::from(prefix), Blob(end));
        }
    }
    (Blob(vec![0]), Blob(vec![0]))
}
