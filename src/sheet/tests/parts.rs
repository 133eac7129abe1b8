//! Tests of differences and parts.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde_json::Value;

use super::variant;
use crate::fixtures::{self, check_property};
use crate::sheet::digest::{ApplyId, Digest, ParseDigestError};
use crate::sheet::parts::{
    MAX_RECENT_APPLY_IDS, Part, PartCache, PartKind, PartsError, Root, changed_parts, join, split,
};
use crate::sheet::{Finding, Place, Rule, Sheet, diff};

/// Edits of the fixture, see [`variant`].
type Edits = Vec<(u8, u8)>;

/// Two sheets that differ in some entries.
fn pair(edits: &(Edits, Edits)) -> (Sheet, Sheet) {
    (variant(&edits.0), variant(&edits.1))
}

/// Returns every leaf of a sheet by its JSON pointer with IDs; the reference implementation for `diff`.
fn leaves(sheet: &Sheet) -> BTreeMap<String, Value> {
    fn walk(out: &mut BTreeMap<String, Value>, pointer: String, value: &Value) {
        let named = |item: &Value| {
            item["id"]
                .as_str()
                .or(item["class"].as_str())
                .map(str::to_owned)
        };
        match value {
            Value::Object(fields) if !fields.is_empty() => {
                for (name, value) in fields {
                    walk(out, format!("{pointer}/{name}"), value);
                }
            }
            Value::Array(items)
                if !items.is_empty() && items.iter().all(|i| named(i).is_some()) =>
            {
                for item in items {
                    walk(
                        out,
                        format!("{pointer}/{}", named(item).unwrap_or_default()),
                        item,
                    );
                }
            }
            // An empty list has no leaves, and the list itself exists in both sheets.
            Value::Array(items) if items.is_empty() => {}
            leaf => drop(out.insert(pointer, leaf.clone())),
        }
    }
    let mut out = BTreeMap::new();
    let document = serde_json::to_value(sheet).expect("a sheet is JSON");
    walk(&mut out, String::new(), &document);
    out
}

// Guards against a difference that is missed, reported twice or reported for equal values.
#[test]
fn diff_agrees_with_a_comparison_of_whole_documents() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(edits: (Edits, Edits)) -> bool {
        let (old, new) = pair(&edits);
        let found = diff(&old, &new);
        let (old, new) = (leaves(&old), leaves(&new));
        let mut differing: Vec<_> = old.keys().chain(new.keys()).collect();
        differing.sort();
        differing.dedup();
        differing.retain(|pointer| old.get(*pointer) != new.get(*pointer));
        let place = |pointer: &str| Place::Pointer(pointer.to_owned());
        let covers =
            |d: &&crate::sheet::Difference, p: &&&String| place(p).is_within(&place(&d.pointer));
        let once = differing
            .iter()
            .all(|p| found.iter().filter(|d| covers(d, &p)).count() == 1);
        let real = found
            .iter()
            .all(|d| differing.iter().any(|p| covers(&d, &p)));
        once && real
    }
    check_property(6, property as fn((Edits, Edits)) -> bool);
}

// Guards against pointers by index, which refer to another account after an insertion or a removal.
#[test]
fn differences_are_named_by_id() {
    let old = fixtures::sheet();
    let mut new = old.clone();
    new.accounts[1].allow.pop();
    new.accounts.remove(0);

    let found: Vec<_> = diff(&old, &new).iter().map(ToString::to_string).collect();

    assert!(found[0].starts_with("- /accounts/school: {"));
    assert_eq!(
        found[1..],
        [
            "~ /accounts/shop/allow: [\"large/v1\",\"small/v1\",\"small/v2\"] -> [\"large/v1\",\"small/v1\"]"
        ]
    );
}

fn root(parts: &[Part]) -> Root {
    Root::next(None, ApplyId::random(), parts)
}

fn cache(parts: &[Part]) -> PartCache {
    let mut cache = PartCache::default();
    for part in parts {
        cache.insert(part.bytes.clone());
    }
    cache
}

// Guards against parts that reassemble to a different sheet, and against fetching unchanged parts.
#[test]
fn parts_join_to_the_sheet_and_share_what_is_equal() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(edits: (Edits, Edits)) -> bool {
        let (old, new) = pair(&edits);
        let (old_parts, new_parts) = (split(&old), split(&new));
        let (old_parts, new_parts) = (
            old_parts.expect("each part is small"),
            new_parts.expect("each part is small"),
        );
        let old_root = root(&old_parts);
        let text = root(&new_parts).encode().expect("the root is small");
        let new_root = Root::decode(&text).expect("an encoded root can be decoded");
        let mut part_cache = cache(&old_parts);
        let changed = changed_parts(&old_root, &new_root);
        let is_needed = |part: &&Part| old_parts.iter().all(|o| o.bytes != part.bytes);
        let needed: Vec<_> = new_parts.iter().filter(is_needed).collect();
        for part in &needed {
            part_cache.insert(part.bytes.clone());
        }
        part_cache.retain(&new_root);
        changed.len() == needed.len()
            && part_cache.len() <= new_parts.len()
            && join(&new_root, |digest| part_cache.get(digest)) == Ok(new)
    }
    check_property(7, property as fn((Edits, Edits)) -> bool);
}

// Guards against accepting parts of another sheet, corrupt parts and incomplete roots.
#[test]
fn join_refuses_what_the_root_does_not_list() {
    let parts = split(&fixtures::sheet()).expect("the parts are small");
    let root = root(&parts);
    let part_cache = cache(&parts);
    let of = |kind| {
        root.parts
            .iter()
            .position(|p| p.kind == kind)
            .expect("the root has a part of this kind")
    };
    let joined = |root: &Root| {
        join(root, |digest| part_cache.get(digest)).expect_err("the root is rejected")
    };
    let account = root.parts[of(PartKind::Account)].clone();

    let damaged = join(&root, |_| Some(Bytes::from_static(b"{}")));
    assert_eq!(
        damaged,
        Err(PartsError::WrongDigest(account.clone().into()))
    );
    let missing = join(&root, |_| None);
    assert_eq!(missing, Err(PartsError::Missing(account.into())));

    let mut swapped = root.clone();
    swapped.parts[of(PartKind::Account)].sha256 = root.parts[of(PartKind::Class)].sha256;
    assert!(matches!(joined(&swapped), PartsError::InvalidPart { .. }));
    let mut renamed = root.clone();
    renamed.parts[of(PartKind::Upstreams)].id = "dc-0".to_owned();
    assert!(matches!(joined(&renamed), PartsError::WrongEntry(_)));
    let mut without = root.clone();
    without.parts.remove(of(PartKind::Policy));
    assert_eq!(joined(&without), PartsError::NoPolicy);

    let mut unsorted = root.clone();
    unsorted.parts.swap(0, 1);
    let text = unsorted.encode().expect("the root is small");
    assert!(matches!(Root::decode(&text), Err(PartsError::Unsorted(_))));
}

// Guards against a part that the key-value service rejects in the middle of an apply.
#[test]
fn parts_and_roots_over_the_size_limit_are_refused() {
    let mut sheet = fixtures::sheet();
    sheet.accounts[0].key_hashes = vec!["0".repeat(64); 16_000];
    assert!(matches!(
        split(&sheet),
        Err(PartsError::PartTooLarge { .. })
    ));

    let mut sheet = fixtures::sheet();
    let class = sheet.classes[0].clone();
    sheet.classes = (0..5_000)
        .map(|n| crate::sheet::Class {
            id: format!("class-{n:05}").into(),
            ..class.clone()
        })
        .collect();
    let parts = split(&sheet).expect("each part is small");
    assert!(matches!(
        root(&parts).encode(),
        Err(PartsError::RootTooLarge { .. })
    ));
}

// Guards against an apply that the root drops too early or reports with the wrong revision.
#[test]
fn a_root_lists_recent_applies_with_their_revisions() {
    let ids: Vec<_> = (0..20).map(|_| ApplyId::random()).collect();
    let mut root = Root::next(None, ids[0], &[]);
    for id in &ids[1..] {
        root = Root::next(Some(&root), *id, &[]);
    }

    assert_eq!(root.recent_apply_ids.len(), MAX_RECENT_APPLY_IDS);
    let revisions: Vec<_> = ids.iter().map(|id| root.revision_of(*id)).collect();
    let expected = (1..=20).map(|revision| (revision > 3).then_some(revision));
    assert_eq!(revisions, expected.collect::<Vec<_>>());
}

// Guards against a digest with two text forms, which would give a part two keys.
#[test]
fn digest_text_round_trips_in_lower_case_only() {
    let digest = Digest::of(b"a");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    let upper = digest.to_string().to_uppercase();
    assert_eq!(
        upper.parse::<Digest>(),
        Err(ParseDigestError::Digest(upper))
    );
}

// Guards against a finding with a line break or a very long value.
#[test]
fn findings_stay_on_one_short_line() {
    let value = "line\nbreak".repeat(100);
    let line = Finding::at("/a", Rule::UnknownField, value).to_string();
    assert!(line.len() < 200 && !line.contains('\n'));
}
