//! Reads the configuration in force.

use std::fmt;

use bytes::Bytes;

use super::{PART_PREFIX, ROOT_KEY, part_key};
use crate::kv::{KeyValue, KvError};
use crate::sheet::Sheet;
use crate::sheet::digest::Digest;
use crate::sheet::parts::{self, PartCache, PartsError, Root};

/// Number of reads after which reading fails if the root changed during each of them.
const MAX_READ_ATTEMPTS: usize = 5;

/// Largest number of missing parts that are read one by one; more are read by one list call.
const MAX_SINGLE_READS: usize = 4;

/// The configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct InForce {
    /// The root.
    pub root: Root,
    /// The sheet that the root's parts make up.
    pub sheet: Sheet,
    /// Store revision of the root's last change, for the next watch.
    pub mod_revision: u64,
}

/// The configuration in force could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// The key-value service failed.
    Store(KvError),
    /// The root is invalid, or a part is missing or invalid.
    Parts(PartsError),
    /// The root changed during each attempt.
    Contended,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => error.fmt(f),
            Self::Parts(error) => error.fmt(f),
            Self::Contended => write!(f, "root changed during each of {MAX_READ_ATTEMPTS} reads"),
        }
    }
}

impl std::error::Error for ReadError {}

impl From<KvError> for ReadError {
    fn from(error: KvError) -> Self {
        Self::Store(error)
    }
}

impl From<PartsError> for ReadError {
    fn from(error: PartsError) -> Self {
        Self::Parts(error)
    }
}

/// The root with the data that a compare-and-swap of it needs.
#[derive(Debug, Clone)]
pub struct StoredRoot {
    /// The root.
    pub root: Root,
    /// Its text as stored.
    pub text: Bytes,
    /// Store revision of its last change.
    pub mod_revision: u64,
}

/// Reads the root in force, if there is one.
///
/// # Errors
/// [`ReadError`] if the key-value service failed or the value is not a valid root.
pub async fn read_root(kv: &dyn KeyValue) -> Result<Option<StoredRoot>, ReadError> {
    let Some(entry) = kv.get(ROOT_KEY).await? else {
        return Ok(None);
    };
    Ok(Some(StoredRoot {
        root: Root::decode(&entry.value)?,
        text: entry.value,
        mod_revision: entry.mod_revision,
    }))
}

/// Reads the configuration in force, if there is one.
///
/// Parts in `cache` are not read again. On success, the cache contains exactly the parts in force.
///
/// # Errors
/// [`ReadError`] if the key-value service failed or the stored parts are not a complete sheet.
pub async fn read(kv: &dyn KeyValue, cache: &mut PartCache) -> Result<Option<InForce>, ReadError> {
    let mut missing_in_revision = None;
    for _ in 0..MAX_READ_ATTEMPTS {
        let Some(stored) = read_root(kv).await? else {
            return Ok(None);
        };
        fetch(kv, &stored.root, cache).await?;
        match parts::join(&stored.root, |digest| cache.get(digest)) {
            Ok(sheet) => {
                cache.retain(&stored.root);
                return Ok(Some(InForce {
                    root: stored.root,
                    sheet,
                    mod_revision: stored.mod_revision,
                }));
            }
            // The root may have been replaced twice and its parts removed since it was read.
            Err(PartsError::Missing(_)) if missing_in_revision != Some(stored.mod_revision) => {
                missing_in_revision = Some(stored.mod_revision);
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(ReadError::Contended)
}

async fn fetch(kv: &dyn KeyValue, root: &Root, cache: &mut PartCache) -> Result<(), KvError> {
    let mut missing: Vec<Digest> = root.parts.iter().map(|part| part.sha256).collect();
    missing.retain(|digest| cache.get(digest).is_none());
    if missing.len() <= MAX_SINGLE_READS {
        for digest in missing {
            if let Some(entry) = kv.get(&part_key(&digest)).await? {
                cache.insert(entry.value);
            }
        }
        return Ok(());
    }
    for entry in kv.list(PART_PREFIX).await? {
        cache.insert(entry.value);
    }
    Ok(())
}
