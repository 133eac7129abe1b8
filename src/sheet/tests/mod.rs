//! Tests of the sheet.

mod parts;

use serde_json::{Value, json};

use super::*;
use crate::fixtures::{self, check_property};
use crate::ids::VersionRef;
use crate::units::{Millis, Permille};

const FIXTURE: &str = include_str!("../../fixtures/sheet.json");

/// Returns the fixture after edits that keep it sorted; it need not pass the rules.
#[must_use]
pub fn variant(edits: &[(u8, u8)]) -> Sheet {
    let mut sheet = fixtures::sheet();
    for (kind, n) in edits {
        edit(&mut sheet, kind % 12, *n);
    }
    sheet.sort();
    sheet
}

fn edit(sheet: &mut Sheet, kind: u8, n: u8) {
    let at = usize::from(n);
    let account = at % sheet.accounts.len();
    let name = format!("extra-{}", n % 4);
    match kind {
        0 => sheet.accounts[account].priority = Priority::Low,
        1 => sheet.accounts[account].allow.truncate(1),
        2 if sheet.accounts.len() > 1 => drop(sheet.accounts.remove(account)),
        3 if sheet.account(&name.as_str().into()).is_none() => {
            let id = name.into();
            let account = sheet.accounts[0].clone();
            sheet.accounts.push(Account { id, ..account });
            sheet.sort();
        }
        4 => sheet.accounts[account].limits.clear(),
        5 => sheet.classes[at % 2].deadline = Millis::from_secs(u64::from(n)),
        6 => sheet.models[at % 2].versions[0].state = VersionState::Draining,
        7 => sheet.models[at % 2].versions[0].rollout = None,
        8 => sheet.upstreams[at % 4].data_centre = "dc-c".into(),
        9 => sheet.policy.latency_weight = Permille(n.into()),
        10 => sheet.cascades[0].steps.reverse(),
        _ => sheet.services.clear(),
    }
}

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

// Guards against a sheet that changes when a process serialises it for another.
#[test]
fn a_valid_sheet_round_trips() {
    let sheet = parse(FIXTURE.as_bytes()).expect("the fixture is valid");
    assert_eq!(sheet, fixtures::sheet());

    let text = serde_json::to_vec(&sheet).expect("a sheet is JSON");

    assert_eq!(parse(&text), Ok(sheet));
}

fn findings(text: &[u8]) -> Vec<String> {
    let found = parse(text).err().unwrap_or_default();
    found.iter().map(ToString::to_string).collect()
}

/// Returns the fixture with one value replaced, added or (with null) removed.
fn edited(pointer: &str, value: Value) -> String {
    let mut sheet: Value = serde_json::from_str(FIXTURE).expect("the fixture is JSON");
    let (parent, last) = pointer.rsplit_once('/').expect("the pointer has a parent");
    match sheet.pointer_mut(parent).expect("the parent exists") {
        Value::Array(items) if last == "-" => items.push(value),
        Value::Array(items) => items[last.parse::<usize>().expect("an index")] = value,
        Value::Object(fields) if value.is_null() => drop(fields.remove(last)),
        Value::Object(fields) => drop(fields.insert(last.to_owned(), value)),
        other => panic!("{other} has no fields"),
    }
    sheet.to_string()
}

/// A pointer into the fixture, the value to put there, and all findings that must result.
type BadSheet = (String, Value, Vec<String>);

// Guards against an invalid sheet that is accepted, and against a finding at the wrong place.
#[test]
fn each_fault_is_found_at_its_place() {
    let cases: Vec<BadSheet> =
        serde_json::from_str(include_str!("bad_sheets.json")).expect("the cases are JSON");
    assert!(cases.len() >= 25);
    for (pointer, value, expected) in cases {
        let text = edited(&pointer, value);
        assert_eq!(findings(text.as_bytes()), expected, "{pointer}");
    }
}

// Guards against syntax errors that are reported without a position, and against a stack overflow by nesting.
#[test]
fn text_faults_have_a_line_and_a_column() {
    let twice = FIXTURE.replacen("\"id\": \"shop\"", "\"id\": \"shop\", \"id\": \"x\"", 1);
    let cases = [
        (
            b"{\"accounts\": [\n".to_vec(),
            "line 2, column 0: text ends inside the document: ",
        ),
        (
            b"{\n  accounts: []}".to_vec(),
            "line 2, column 3: not valid JSON (key must be a string): accounts: []}",
        ),
        (
            b"{} x".to_vec(),
            "line 1, column 4: not valid JSON (trailing characters): {} x",
        ),
        (
            vec![b'['; 17],
            "line 1, column 17: nested more than 16 deep: [[[[[[[[[[[[[[[[[",
        ),
        (
            vec![b' '; 1_000_001],
            "document: text is longer than 1000000 bytes: 1000001 bytes",
        ),
        (b"[]".to_vec(), "document: must be an object: list of 0"),
        (
            twice.into_bytes(),
            "/accounts/0/id: field appears twice: \"x\"",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(findings(&text), [expected]);
    }
}

// Guards against a check that stops at the first error.
#[test]
fn all_findings_are_reported_together() {
    let mut sheet: Value = serde_json::from_str(FIXTURE).expect("the fixture is JSON");
    sheet["accounts"][1]["id"] = json!(7);
    sheet["classes"][0]["deadline"] = json!(30);
    sheet["cascades"][0]["steps"][0] = json!("small/v9");

    let found = findings(sheet.to_string().as_bytes());

    let places: Vec<_> = found.iter().filter_map(|f| f.split(": ").next()).collect();
    let expected = [
        "/accounts/1/id",
        "/classes/0/deadline",
        "/cascades/0/steps/0",
    ];
    assert_eq!(places, expected);
}

// Guards against a panic on a file that is corrupt or not a sheet.
#[test]
fn parse_never_panics() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn arbitrary(text: Vec<u8>) -> bool {
        parse(&text).is_err()
    }
    fn corrupted(edits: Vec<(u16, u8, u8)>) -> bool {
        let mut text = FIXTURE.as_bytes().to_vec();
        for (at, kind, byte) in edits {
            let at = usize::from(at) % text.len();
            match kind % 3 {
                0 => text[at] = byte,
                1 => text.insert(at, byte),
                _ => drop(text.remove(at)),
            }
        }
        let found = findings(&text);
        found.iter().all(|finding| !finding.contains('\n'))
    }
    fn replaced(tokens: Vec<(u16, u8)>) -> bool {
        const WORDS: [&str; 8] = [
            "null",
            "0",
            "\"\"",
            "[]",
            "{}",
            "-1e9",
            "\"small/v1\"",
            "\"2s\"",
        ];
        let mut text = FIXTURE.to_owned();
        for (at, word) in tokens.into_iter().take(3) {
            let quoted: Vec<_> = text.match_indices('"').map(|(at, _)| at).collect();
            let Some(pair) = quoted
                .chunks_exact(2)
                .nth(usize::from(at) % (quoted.len() / 2))
            else {
                continue;
            };
            text.replace_range(pair[0]..=pair[1], WORDS[usize::from(word) % WORDS.len()]);
        }
        let admitted = findings(text.as_bytes());
        // A value that a shape accepts but its type rejects would be reported for the whole document.
        admitted
            .iter()
            .all(|finding| !finding.starts_with("document"))
    }
    check_property(3, arbitrary as fn(Vec<u8>) -> bool);
    check_property(4, corrupted as fn(Vec<(u16, u8, u8)>) -> bool);
    check_property(5, replaced as fn(Vec<(u16, u8)>) -> bool);
}
