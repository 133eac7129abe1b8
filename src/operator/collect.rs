//! Garbage collection of old parts.

use super::read::{ReadError, read_root};
use super::{COLLECTION_KEY, MAX_TXN_OPS, PART_PREFIX, PREVIOUS_ROOT_KEY, ROOT_KEY};
use crate::kv::{Change, Compare, KeyValue, TxnOutcome};
use crate::sheet::digest::Digest;
use crate::sheet::parts::Root;

/// Removes parts that neither the root in force nor the previous one lists; returns their number.
///
/// Each removal modifies [`COLLECTION_KEY`] and is conditional on an unchanged root. An apply that wrote parts
/// before the removal detects the modification and writes them again.
///
/// # Errors
/// [`ReadError`] if the key-value service failed or a root cannot be decoded.
pub async fn collect_garbage(kv: &dyn KeyValue) -> Result<usize, ReadError> {
    let Some(stored) = read_root(kv).await? else {
        return Ok(0);
    };
    let previous = match kv.get(PREVIOUS_ROOT_KEY).await? {
        Some(entry) => Some(Root::decode(&entry.value)?),
        None => None,
    };
    let mut old = Vec::new();
    for entry in kv.list(PART_PREFIX).await? {
        let digest = entry.key[PART_PREFIX.len()..].parse::<Digest>();
        let is_listed = digest.is_ok_and(|digest| {
            stored.root.contains(&digest)
                || previous.as_ref().is_some_and(|root| root.contains(&digest))
        });
        if !is_listed {
            old.push(entry.key);
        }
    }
    let mut removed = 0;
    for batch in old.chunks(MAX_TXN_OPS - 1) {
        let conditions = vec![Compare::ModRevision(
            ROOT_KEY.to_owned(),
            stored.mod_revision,
        )];
        let collection_update = Change::put(COLLECTION_KEY, stored.root.revision.to_string());
        let deletes = batch.iter().cloned().map(Change::Delete);
        let changes = std::iter::once(collection_update).chain(deletes).collect();
        match kv.txn(conditions, changes).await? {
            TxnOutcome::Applied(_) => removed += batch.len(),
            TxnOutcome::Conflict => break,
        }
    }
    Ok(removed)
}
