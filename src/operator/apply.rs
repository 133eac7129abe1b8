//! Applies a sheet, which puts it into force.

use std::fmt;

use bytes::Bytes;

use super::read::{ReadError, StoredRoot, read, read_root};
use super::{COLLECTION_KEY, MAX_TXN_OPS, PREVIOUS_ROOT_KEY, ROOT_KEY, part_key};
use crate::kv::{Change, Compare, KeyValue, KvError, MAX_VALUE_BYTES, TxnOutcome};
use crate::sheet::digest::ApplyId;
use crate::sheet::parts::{MAX_RECENT_APPLY_IDS, Part, PartCache, PartsError, Root, split};
use crate::sheet::{Difference, Sheet, diff};
use crate::units::Millis;

/// Number of times that an apply reads the root and tries to replace it.
const MAX_ATTEMPTS: usize = 4;

/// Time between two attempts.
const RETRY_DELAY: Millis = Millis(500);

/// Number of times that a batch of parts is sent if its response is lost; writing a part is idempotent.
const MAX_BATCH_ATTEMPTS: usize = 3;

/// Largest total size of the parts in one transaction, in bytes; a larger part has one of its own.
const MAX_BATCH_BYTES: usize = MAX_VALUE_BYTES / 2;

/// A sheet that is or was in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// The revision that the apply created.
    pub revision: u64,
    /// Whether an earlier call with the same apply ID had already applied it.
    pub already_applied: bool,
}

/// An apply that failed or whose outcome is unknown.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyError {
    /// The revision in force is not the base; the apply had no effect.
    Conflict {
        /// The revision in force, if there is one.
        in_force_revision: Option<u64>,
        /// Differences from the sheet in force to the rejected one; absent if the former could not be read.
        differences: Option<Vec<Difference>>,
    },
    /// The write may have taken effect, and reading the root back did not show whether it did.
    Unknown(KvError),
    /// The key-value service failed before the root was written; the call had no effect.
    Unavailable(KvError),
    /// The configuration in force cannot be read; the call had no effect.
    Unreadable(ReadError),
    /// Old parts were removed during each attempt; the call had no effect.
    Contended,
    /// The sheet exceeds the limits of the key-value service.
    Parts(PartsError),
    /// The revision in force has the same apply ID but another sheet.
    IdReused {
        /// The revision in force.
        revision: u64,
    },
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict {
                in_force_revision: Some(revision),
                ..
            } => write!(f, "conflict: revision {revision} is in force"),
            Self::Conflict { .. } => f.write_str("conflict: no revision is in force"),
            Self::Unknown(error) => write!(
                f,
                "unknown whether the sheet is in force, repeat with the same apply ID: {error}"
            ),
            Self::Unavailable(error) => write!(f, "not applied: {error}"),
            Self::Unreadable(error) => write!(f, "not applied: {error}"),
            Self::Contended => write!(
                f,
                "not applied: parts were removed during each of {MAX_ATTEMPTS} attempts"
            ),
            Self::Parts(error) => write!(f, "not applied: {error}"),
            Self::IdReused { revision } => write!(
                f,
                "not applied: the apply ID belongs to another sheet, in force as revision {revision}"
            ),
        }
    }
}

impl std::error::Error for ApplyError {}

impl From<PartsError> for ApplyError {
    fn from(error: PartsError) -> Self {
        Self::Parts(error)
    }
}

impl From<KvError> for ApplyError {
    fn from(error: KvError) -> Self {
        Self::Unavailable(error)
    }
}

impl From<ReadError> for ApplyError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Store(error) => Self::Unavailable(error),
            other => Self::Unreadable(other),
        }
    }
}

/// Puts a sheet into force in place of revision `base`, which is absent for the first sheet.
///
/// Parts are written before the root. After an error, the call may be repeated with the same `apply_id`: an
/// apply takes effect at most once. If the ID is that of an earlier revision, the call succeeds without a
/// comparison of the sheets, since the root does not record the parts of earlier revisions.
///
/// # Errors
/// [`ApplyError`]; only [`ApplyError::Unknown`] leaves open whether the sheet is in force.
pub async fn apply(
    kv: &dyn KeyValue,
    sheet: &Sheet,
    base: Option<u64>,
    apply_id: ApplyId,
) -> Result<Applied, ApplyError> {
    let parts = split(sheet)?;
    let mut attempt = Attempt {
        kv,
        sheet,
        parts: &parts,
        base,
        apply_id,
        lost_write: None,
    };
    for number in 0..MAX_ATTEMPTS {
        if number > 0 {
            actix_rt::time::sleep(RETRY_DELAY.duration()).await;
        }
        match attempt.try_once().await {
            Ok(Some(applied)) => return Ok(applied),
            Err(error) if attempt.lost_write.is_none() || proves_no_effect(&error) => {
                return Err(error);
            }
            // After a lost response, only the root shows whether the write took effect.
            Ok(None) | Err(_) => {}
        }
    }
    Err(attempt
        .lost_write
        .map_or(ApplyError::Contended, ApplyError::Unknown))
}

const fn proves_no_effect(error: &ApplyError) -> bool {
    matches!(
        error,
        ApplyError::Conflict { .. } | ApplyError::Unknown(_) | ApplyError::IdReused { .. }
    )
}

struct Attempt<'a> {
    kv: &'a dyn KeyValue,
    sheet: &'a Sheet,
    parts: &'a [Part],
    base: Option<u64>,
    apply_id: ApplyId,
    /// Set once the response to a write of the root was lost.
    lost_write: Option<KvError>,
}

impl Attempt<'_> {
    /// Reads the root and replaces it if it is the base; `None` means that the caller should try again.
    async fn try_once(&mut self) -> Result<Option<Applied>, ApplyError> {
        let stored = read_root(self.kv).await?;
        if let Some(applied) = self.find_own_apply(stored.as_ref())? {
            return Ok(Some(applied));
        }
        if stored.as_ref().map(|stored| stored.root.revision) != self.base {
            return Err(self.conflict(stored.as_ref()).await);
        }
        // Read before the parts are written, so that any later removal of parts changes the key.
        let entry = self.kv.get(COLLECTION_KEY).await?;
        let collection_condition =
            require_unchanged(COLLECTION_KEY, entry.map(|entry| entry.mod_revision));
        self.write_parts(stored.as_ref()).await?;
        self.write_root(stored, collection_condition).await
    }

    fn find_own_apply(&self, stored: Option<&StoredRoot>) -> Result<Option<Applied>, ApplyError> {
        let Some(root) = stored.map(|stored| &stored.root) else {
            return Ok(None);
        };
        let Some(revision) = root.revision_of(self.apply_id) else {
            return Ok(None);
        };
        let has_same_parts = root
            .parts
            .iter()
            .eq(self.parts.iter().map(|part| &part.reference));
        if root.apply_id == self.apply_id && !has_same_parts {
            return Err(ApplyError::IdReused { revision });
        }
        Ok(Some(Applied {
            revision,
            already_applied: self.lost_write.is_none(),
        }))
    }

    async fn conflict(&self, stored: Option<&StoredRoot>) -> ApplyError {
        let revision = stored.map(|stored| stored.root.revision);
        // The root lists recent applies only: this one may have been in force and replaced since.
        let own_revision = self.base.unwrap_or_default() + 1;
        let is_beyond_history =
            revision.is_some_and(|r| r > own_revision + MAX_RECENT_APPLY_IDS as u64);
        if let Some(error) = self.lost_write.clone().filter(|_| is_beyond_history) {
            return ApplyError::Unknown(error);
        }
        let in_force = read(self.kv, &mut PartCache::default()).await;
        let in_force = in_force.ok().flatten();
        ApplyError::Conflict {
            in_force_revision: in_force.as_ref().map(|it| it.root.revision).or(revision),
            differences: in_force.map(|it| diff(&it.sheet, self.sheet)),
        }
    }

    /// Writes the parts that the root in force does not list.
    async fn write_parts(&self, stored: Option<&StoredRoot>) -> Result<(), KvError> {
        let is_new =
            |part: &&Part| !stored.is_some_and(|s| s.root.contains(&part.reference.sha256));
        let mut batch = Vec::new();
        let mut bytes = 0;
        for part in self.parts.iter().filter(is_new) {
            let is_full = batch.len() == MAX_TXN_OPS || bytes + part.bytes.len() > MAX_BATCH_BYTES;
            if is_full && !batch.is_empty() {
                write_batch(self.kv, std::mem::take(&mut batch)).await?;
                bytes = 0;
            }
            bytes += part.bytes.len();
            batch.push(Change::put(
                part_key(&part.reference.sha256),
                part.bytes.clone(),
            ));
        }
        if batch.is_empty() {
            return Ok(());
        }
        write_batch(self.kv, batch).await
    }

    async fn write_root(
        &mut self,
        stored: Option<StoredRoot>,
        collection_condition: Compare,
    ) -> Result<Option<Applied>, ApplyError> {
        let previous = stored.as_ref().map(|stored| &stored.root);
        let next = Root::next(previous, self.apply_id, self.parts);
        let mod_revision = stored.as_ref().map(|stored| stored.mod_revision);
        let conditions = vec![
            require_unchanged(ROOT_KEY, mod_revision),
            collection_condition,
        ];
        let changes = root_changes(next.encode()?, stored.map(|stored| stored.text));
        match self.kv.txn(conditions, changes).await {
            Ok(TxnOutcome::Applied(_)) => Ok(Some(Applied {
                revision: next.revision,
                already_applied: false,
            })),
            Ok(TxnOutcome::Conflict) => Ok(None),
            Err(error) if error.may_have_applied() => {
                self.lost_write = Some(error);
                Ok(None)
            }
            Err(error) => Err(error.into()),
        }
    }
}

fn require_unchanged(key: &str, mod_revision: Option<u64>) -> Compare {
    match mod_revision {
        Some(revision) => Compare::ModRevision(key.to_owned(), revision),
        None => Compare::Absent(key.to_owned()),
    }
}

fn root_changes(next: Bytes, previous: Option<Bytes>) -> Vec<Change> {
    let previous = previous.map(|text| Change::put(PREVIOUS_ROOT_KEY, text));
    let mut changes = vec![Change::put(ROOT_KEY, next)];
    changes.extend(previous);
    changes
}

async fn write_batch(kv: &dyn KeyValue, batch: Vec<Change>) -> Result<(), KvError> {
    let mut attempts = 1;
    loop {
        match kv.txn(Vec::new(), batch.clone()).await {
            Ok(_) => return Ok(()),
            Err(error) if error.may_have_applied() && attempts < MAX_BATCH_ATTEMPTS => {
                attempts += 1;
            }
            Err(error) => return Err(error),
        }
    }
}
