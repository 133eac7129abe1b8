//! Tests of the sheet.

use super::*;
use crate::fixtures;
use crate::ids::VersionRef;

// Guards against a lookup that searches an unsorted list.
#[test]
fn lookups_find_every_entry_of_a_sorted_sheet() {
    let sheet = fixtures::sheet();

    assert!(
        sheet
            .accounts
            .iter()
            .all(|a| sheet.account(&a.id) == Some(a))
    );
    assert!(
        sheet
            .upstreams
            .iter()
            .all(|u| sheet.upstream(&u.id) == Some(u))
    );
    let large = sheet.version(&VersionRef::new("large", "v1"));
    assert_eq!(large.map(|v| v.state), Some(VersionState::Serving));
}
