//! Conversion of the stored root to that of the dissemination, and of that root and its parts to a sheet.

use bytes::Bytes;

use crate::dissemination::{Digest, Part, RootRef};
use crate::kv::Entry;
use crate::sheet::Sheet;
use crate::sheet::digest::ApplyId;
use crate::sheet::parts::{self, PartKind, PartRef, PartsError, Root};

/// Decodes a stored root and returns it with its store revision.
pub(super) fn decode(entry: &Entry) -> Result<(RootRef, u64), String> {
    let root = Root::decode(&entry.value).map_err(|error| error.to_string())?;
    let named = root
        .parts
        .iter()
        .map(|part| Ok((name(part), digest(part)?)));
    let mut parts = named.collect::<Result<Vec<_>, String>>()?;
    parts.sort_unstable();
    Ok((
        RootRef {
            revision: root.revision,
            parts,
        },
        entry.mod_revision,
    ))
}

/// Joins the parts of a root into a sheet; `find` returns the content of a part by its name.
pub(super) fn join(
    root: &RootRef,
    find: impl Fn(&str) -> Option<Part>,
) -> Result<Sheet, PartsError> {
    let mut refs = Vec::with_capacity(root.parts.len());
    let mut texts = Vec::with_capacity(root.parts.len());
    for (name, digest) in &root.parts {
        let part_ref = part_ref(name, *digest)?;
        if let Some(text) = find(name) {
            texts.push((part_ref.sha256, Bytes::copy_from_slice(text.as_bytes())));
        }
        refs.push(part_ref);
    }
    refs.sort_unstable();
    texts.sort_unstable_by_key(|(digest, _)| *digest);
    let joined = Root {
        revision: root.revision,
        // Apply ids are used only by operators' tools, which read them from the service.
        apply_id: ApplyId(uuid::Uuid::nil()),
        recent_apply_ids: Vec::new(),
        parts: refs,
    };
    parts::join(&joined, |wanted| {
        let at = texts
            .binary_search_by_key(wanted, |(digest, _)| *digest)
            .ok()?;
        texts.get(at).map(|(_, text)| text.clone())
    })
}

fn name(part: &PartRef) -> String {
    format!("{}/{}", part.kind, part.id)
}

fn digest(part: &PartRef) -> Result<Digest, String> {
    part.sha256
        .to_string()
        .parse()
        .map_err(|error| format!("digest of part {} is invalid: {error}", name(part)))
}

fn part_ref(name: &str, digest: Digest) -> Result<PartRef, PartsError> {
    let bad_name = || PartsError::InvalidRoot(format!("part {name:?} has no known kind"));
    let (kind, id) = name.split_once('/').ok_or_else(bad_name)?;
    let kind: PartKind = serde_json::from_value(kind.into()).map_err(|_unknown| bad_name())?;
    let sha256 = digest.to_string().parse().map_err(|_digits| bad_name())?;
    Ok(PartRef {
        kind,
        id: id.to_owned(),
        sha256,
    })
}
