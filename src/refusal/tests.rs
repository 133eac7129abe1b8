//! Tests of refusals.

use super::*;

// Guards against a code whose text form in answers differs from the serialised form in records.
#[test]
fn code_text_equals_its_serialised_form() {
    for code in Code::ALL {
        let json = serde_json::to_value(code).expect("a code has a JSON form");
        assert_eq!(json, serde_json::Value::from(code.as_str()));
        assert!((400..=599).contains(&code.status()));
    }
}
