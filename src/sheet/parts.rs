//! The sheet as content-addressed parts that one small root lists.

use std::fmt;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::digest::{ApplyId, Digest};
use super::model::{Sheet, Upstream};
use crate::ids::DataCentre;
use crate::kv::MAX_VALUE_BYTES;

/// Number of earlier apply IDs that a root keeps.
pub const MAX_RECENT_APPLY_IDS: usize = 16;

/// Largest root, in bytes: one transaction writes both the new root and the previous one.
pub const MAX_ROOT_BYTES: usize = MAX_VALUE_BYTES / 2;

/// Kind of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PartKind {
    /// One client account.
    Account,
    /// One cascade.
    Cascade,
    /// One request class.
    Class,
    /// One model with its versions.
    Model,
    /// The policy.
    Policy,
    /// One plain service.
    Service,
    /// The upstreams of one data centre.
    Upstreams,
}

impl fmt::Display for PartKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Account => "account",
            Self::Cascade => "cascade",
            Self::Class => "class",
            Self::Model => "model",
            Self::Policy => "policy",
            Self::Service => "service",
            Self::Upstreams => "upstreams",
        })
    }
}

/// The reference to a part, as the root lists it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    /// Kind of the part.
    pub kind: PartKind,
    /// Name of the entry, or of the data centre of the upstreams; empty for the policy.
    pub id: String,
    /// SHA-256 of the part's bytes.
    pub sha256: Digest,
}

impl fmt::Display for PartRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.kind, self.id)
    }
}

/// A part and its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The reference to the part in the root.
    pub reference: PartRef,
    /// The part's JSON text.
    pub bytes: Bytes,
}

/// The root: the list of the parts that make up one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// The revision number; it starts at 1 and each apply adds one.
    pub revision: u64,
    /// ID of the apply that created this revision.
    pub apply_id: ApplyId,
    /// IDs of the preceding applies, latest first.
    pub recent_apply_ids: Vec<ApplyId>,
    /// The parts, sorted by kind and ID.
    pub parts: Vec<PartRef>,
}

/// Parts or a root that are invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartsError {
    /// A part is too large for the key-value service.
    PartTooLarge {
        /// The part.
        part: Box<PartRef>,
        /// Its size.
        bytes: usize,
    },
    /// The root is too large for the key-value service.
    RootTooLarge {
        /// Its size.
        bytes: usize,
    },
    /// The root cannot be decoded or encoded.
    InvalidRoot(String),
    /// The root's parts are not sorted or not unique.
    Unsorted(Box<PartRef>),
    /// The root lists no policy.
    NoPolicy,
    /// A part is missing.
    Missing(Box<PartRef>),
    /// The bytes of a part do not match its digest.
    WrongDigest(Box<PartRef>),
    /// A part cannot be decoded or encoded.
    InvalidPart {
        /// The part.
        part: Box<PartRef>,
        /// The JSON parser's message.
        reason: String,
    },
    /// A part contains a different entry than the root lists.
    WrongEntry(Box<PartRef>),
}

impl fmt::Display for PartsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PartTooLarge { part, bytes } => write!(
                f,
                "part {part} has {bytes} bytes, over the limit of {MAX_VALUE_BYTES}"
            ),
            Self::RootTooLarge { bytes } => write!(
                f,
                "root has {bytes} bytes, over the limit of {MAX_ROOT_BYTES}"
            ),
            Self::InvalidRoot(reason) => write!(f, "root cannot be read: {reason}"),
            Self::Unsorted(part) => write!(f, "part {part} is out of order in the root"),
            Self::NoPolicy => f.write_str("root lists no policy"),
            Self::Missing(part) => write!(f, "part {part} with digest {} is missing", part.sha256),
            Self::WrongDigest(part) => {
                write!(
                    f,
                    "bytes of part {part} do not match digest {}",
                    part.sha256
                )
            }
            Self::InvalidPart { part, reason } => write!(f, "part {part} cannot be read: {reason}"),
            Self::WrongEntry(part) => write!(f, "part {part} contains a different entry"),
        }
    }
}

impl std::error::Error for PartsError {}

impl Root {
    /// Creates the successor of `previous`, or the first root.
    #[must_use]
    pub fn next(previous: Option<&Self>, apply_id: ApplyId, parts: &[Part]) -> Self {
        let recent_apply_ids = previous.map_or_else(Vec::new, |root| {
            let earlier = root.recent_apply_ids.iter().copied();
            let recent = std::iter::once(root.apply_id).chain(earlier);
            recent.take(MAX_RECENT_APPLY_IDS).collect()
        });
        Self {
            revision: previous.map_or(0, |root| root.revision) + 1,
            apply_id,
            recent_apply_ids,
            parts: parts.iter().map(|part| part.reference.clone()).collect(),
        }
    }

    /// Returns the revision that an apply created, if this root still lists the apply.
    #[must_use]
    pub fn revision_of(&self, apply_id: ApplyId) -> Option<u64> {
        let ids = std::iter::once(&self.apply_id).chain(&self.recent_apply_ids);
        let revisions = (0..=self.revision).rev();
        ids.zip(revisions)
            .find(|(id, _)| **id == apply_id)
            .map(|(_, revision)| revision)
    }

    /// Returns whether the root lists a part with this digest.
    #[must_use]
    pub fn contains(&self, digest: &Digest) -> bool {
        self.parts.iter().any(|part| part.sha256 == *digest)
    }

    /// Encodes the root as JSON.
    ///
    /// # Errors
    /// [`PartsError::RootTooLarge`] if it exceeds the key-value service's limit.
    pub fn encode(&self) -> Result<Bytes, PartsError> {
        let text = serde_json::to_vec(self).map_err(|e| PartsError::InvalidRoot(e.to_string()))?;
        if text.len() > MAX_ROOT_BYTES {
            return Err(PartsError::RootTooLarge { bytes: text.len() });
        }
        Ok(text.into())
    }

    /// Decodes a root and checks the order of its parts.
    ///
    /// # Errors
    /// [`PartsError`] if the text is not a valid root.
    pub fn decode(text: &[u8]) -> Result<Self, PartsError> {
        let root: Self =
            serde_json::from_slice(text).map_err(|e| PartsError::InvalidRoot(e.to_string()))?;
        let in_order = |a: &PartRef, b: &PartRef| (a.kind, &a.id) < (b.kind, &b.id);
        let mut pairs = root.parts.windows(2);
        match pairs.find(|pair| !in_order(&pair[0], &pair[1])) {
            Some(pair) => Err(PartsError::Unsorted(Box::new(pair[1].clone()))),
            None => Ok(root),
        }
    }
}

/// Splits a sorted sheet into its parts, sorted by kind and ID.
///
/// # Errors
/// [`PartsError::PartTooLarge`] if a part exceeds the key-value service's limit.
pub fn split(sheet: &Sheet) -> Result<Vec<Part>, PartsError> {
    let mut parts = vec![encode_part(PartKind::Policy, "", &sheet.policy)?];
    for account in &sheet.accounts {
        parts.push(encode_part(
            PartKind::Account,
            account.id.as_str(),
            account,
        )?);
    }
    for cascade in &sheet.cascades {
        parts.push(encode_part(
            PartKind::Cascade,
            cascade.id.as_str(),
            cascade,
        )?);
    }
    for class in &sheet.classes {
        parts.push(encode_part(PartKind::Class, class.id.as_str(), class)?);
    }
    for model in &sheet.models {
        parts.push(encode_part(PartKind::Model, model.id.as_str(), model)?);
    }
    for service in &sheet.services {
        parts.push(encode_part(
            PartKind::Service,
            service.id.as_str(),
            service,
        )?);
    }
    for (data_centre, group) in upstream_groups(&sheet.upstreams) {
        parts.push(encode_part(
            PartKind::Upstreams,
            data_centre.as_str(),
            &group,
        )?);
    }
    parts.sort_by(|a, b| a.reference.cmp(&b.reference));
    Ok(parts)
}

fn upstream_groups(upstreams: &[Upstream]) -> Vec<(&DataCentre, Vec<&Upstream>)> {
    let mut groups: Vec<(&DataCentre, Vec<&Upstream>)> = Vec::new();
    for upstream in upstreams {
        let key = &upstream.data_centre;
        match groups.binary_search_by(|(data_centre, _)| (*data_centre).cmp(key)) {
            Ok(index) => groups[index].1.push(upstream),
            Err(index) => groups.insert(index, (key, vec![upstream])),
        }
    }
    groups
}

fn encode_part(kind: PartKind, id: &str, entry: &impl Serialize) -> Result<Part, PartsError> {
    let text = serde_json::to_vec(entry);
    let sha256 = Digest::of(text.as_deref().unwrap_or_default());
    let id = id.to_owned();
    let reference = PartRef { kind, id, sha256 };
    let bytes = Bytes::from(text.map_err(|e| bad_part(&reference, &e))?);
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(PartsError::PartTooLarge {
            part: Box::new(reference),
            bytes: bytes.len(),
        });
    }
    Ok(Part { reference, bytes })
}

/// Reassembles the sheet from the parts that a root lists, and verifies each of them.
///
/// # Errors
/// [`PartsError`] if a part is missing or does not match the root.
pub fn join(root: &Root, find: impl Fn(&Digest) -> Option<Bytes>) -> Result<Sheet, PartsError> {
    let mut sheet = Sheet::default();
    let mut has_policy = false;
    for part in &root.parts {
        let bytes = find(&part.sha256).ok_or_else(|| PartsError::Missing(part.clone().into()))?;
        if Digest::of(&bytes) != part.sha256 {
            return Err(PartsError::WrongDigest(part.clone().into()));
        }
        has_policy |= part.kind == PartKind::Policy;
        add_part(&mut sheet, part, &bytes)?;
    }
    if !has_policy {
        return Err(PartsError::NoPolicy);
    }
    sheet.sort();
    Ok(sheet)
}

fn add_part(sheet: &mut Sheet, part: &PartRef, bytes: &[u8]) -> Result<(), PartsError> {
    match part.kind {
        PartKind::Account => push_entry(&mut sheet.accounts, part, bytes, |e| e.id.as_str()),
        PartKind::Cascade => push_entry(&mut sheet.cascades, part, bytes, |e| e.id.as_str()),
        PartKind::Class => push_entry(&mut sheet.classes, part, bytes, |e| e.id.as_str()),
        PartKind::Model => push_entry(&mut sheet.models, part, bytes, |e| e.id.as_str()),
        PartKind::Service => push_entry(&mut sheet.services, part, bytes, |e| e.id.as_str()),
        PartKind::Policy => {
            sheet.policy = decode_part(part, bytes)?;
            check_entry(part, part.id.is_empty())
        }
        PartKind::Upstreams => {
            let upstreams: Vec<Upstream> = decode_part(part, bytes)?;
            let is_member = |u: &Upstream| u.data_centre.as_str() == part.id;
            check_entry(part, upstreams.iter().all(is_member))?;
            sheet.upstreams.extend(upstreams);
            Ok(())
        }
    }
}

fn push_entry<T: DeserializeOwned>(
    list: &mut Vec<T>,
    part: &PartRef,
    bytes: &[u8],
    id: impl Fn(&T) -> &str,
) -> Result<(), PartsError> {
    let entry = decode_part(part, bytes)?;
    check_entry(part, id(&entry) == part.id)?;
    list.push(entry);
    Ok(())
}

fn decode_part<T: DeserializeOwned>(part: &PartRef, bytes: &[u8]) -> Result<T, PartsError> {
    serde_json::from_slice(bytes).map_err(|e| bad_part(part, &e))
}

fn check_entry(part: &PartRef, matches_root: bool) -> Result<(), PartsError> {
    if matches_root {
        Ok(())
    } else {
        Err(PartsError::WrongEntry(part.clone().into()))
    }
}

fn bad_part(part: &PartRef, error: &serde_json::Error) -> PartsError {
    PartsError::InvalidPart {
        part: part.clone().into(),
        reason: error.to_string(),
    }
}

/// Returns the parts that only the new root lists; these must be fetched.
#[must_use]
pub fn changed_parts<'a>(old_root: &Root, new_root: &'a Root) -> Vec<&'a PartRef> {
    let mut old_digests: Vec<_> = old_root.parts.iter().map(|part| part.sha256).collect();
    old_digests.sort();
    let parts = new_root.parts.iter();
    parts
        .filter(|part| old_digests.binary_search(&part.sha256).is_err())
        .collect()
}

/// The parts that a process has fetched, sorted by digest.
#[derive(Debug, Clone, Default)]
pub struct PartCache {
    parts: Vec<(Digest, Bytes)>,
}

impl PartCache {
    /// Returns the bytes of a part.
    #[must_use]
    pub fn get(&self, digest: &Digest) -> Option<Bytes> {
        let index = self.position(digest).ok()?;
        self.parts.get(index).map(|(_, bytes)| bytes.clone())
    }

    /// Adds bytes under their digest.
    pub fn insert(&mut self, bytes: Bytes) {
        let digest = Digest::of(&bytes);
        if let Err(index) = self.position(&digest) {
            self.parts.insert(index, (digest, bytes));
        }
    }

    /// Drops the parts that the root does not list.
    pub fn retain(&mut self, root: &Root) {
        let mut listed: Vec<_> = root.parts.iter().map(|part| part.sha256).collect();
        listed.sort();
        self.parts
            .retain(|(digest, _)| listed.binary_search(digest).is_ok());
    }

    /// Returns the number of parts.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether there are no parts.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    fn position(&self, digest: &Digest) -> Result<usize, usize> {
        self.parts.binary_search_by(|(entry, _)| entry.cmp(digest))
    }
}
