//! Tests of the text forms of units.

use super::*;
use crate::fixtures::check_property;

// Guards against amounts or time spans that change when a sheet is written and read back.
#[test]
fn unit_text_round_trips() {
    fn property(n: u64) -> bool {
        Micros(n).to_string().parse() == Ok(Micros(n))
            && Millis(n).to_string().parse() == Ok(Millis(n))
    }
    check_property(1, property as fn(u64) -> bool);
}

// Guards against a panic on untrusted text.
#[test]
fn unit_parsers_never_panic() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(text: String) -> bool {
        let _ = text.parse::<Millis>();
        let _ = text.parse::<Micros>();
        true
    }
    check_property(2, property as fn(String) -> bool);
}

// Guards against a number without a unit that is accepted.
#[test]
fn a_span_needs_its_unit() {
    for text in ["", "5", "s", "1.5s", "-1s", "5 s", "99999999999999999999s"] {
        assert_eq!(
            text.parse::<Millis>(),
            Err(ParseUnitError::Span(text.to_owned()))
        );
    }
    assert_eq!("24h".parse(), Ok(Millis::from_secs(86_400)));
}

// Guards against a price that is rounded down to zero.
#[test]
fn token_price_is_rounded_up() {
    assert_eq!(Micros(1).for_tokens(Tokens(1)), Micros(1));
    assert_eq!(Micros(250).for_tokens(Tokens(2_000)), Micros(500));
}
