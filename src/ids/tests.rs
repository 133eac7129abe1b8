//! Tests of the text forms of identifiers.

use super::*;
use crate::fixtures::check_property;

// Guards against a request ID that cannot be parsed back from a log line or a ledger key.
#[test]
fn request_id_text_round_trips() {
    fn property(high: u64, low: u64, seq: u64) -> bool {
        let gateway = Incarnation((u128::from(high) << 64) | u128::from(low));
        let id = RequestId { gateway, seq };
        id.to_string().parse() == Ok(id)
    }
    check_property(1, property as fn(u64, u64, u64) -> bool);
}

// Guards against a panic on untrusted text.
#[test]
fn id_parsers_never_panic() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(text: String) -> bool {
        let _ = text.parse::<VersionRef>();
        let _ = text.parse::<Incarnation>();
        let _ = text.parse::<RequestId>();
        true
    }
    check_property(2, property as fn(String) -> bool);
}

// Guards against accepting references with a missing or an extra part.
#[test]
fn version_ref_needs_exactly_two_parts() {
    for text in ["", "/", "small", "small/", "/v1", "small/v1/x"] {
        assert_eq!(
            text.parse::<VersionRef>(),
            Err(ParseIdError::VersionRef(text.to_owned()))
        );
    }
    assert_eq!("small/v1".parse(), Ok(VersionRef::new("small", "v1")));
}
