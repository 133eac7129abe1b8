//! Numbers that other programs write. JSON and header fields have one kind of number: `3`, `3.0` and `30e-1` are the same.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserializer, Error, Unexpected, Visitor};
use serde_with::DeserializeAs;

/// Reads a decimal number; one beyond the range of `f64` is cut off there.
#[must_use]
pub fn parse_decimal(text: &str) -> Option<f64> {
    // The standard library also reads "inf" and "nan".
    let is_decimal = |b: u8| b.is_ascii_digit() || b"+-.eE".contains(&b);
    let number = text.parse::<f64>().ok()?;
    (text.bytes().all(is_decimal)).then(|| number.clamp(f64::MIN, f64::MAX))
}

/// Reads a number that is not negative and fits the type; a fraction is rounded down.
#[must_use]
pub fn parse_rounded_down(text: &str) -> Option<u64> {
    // A large number loses digits in an `f64`.
    (text.parse().ok()).or_else(|| round_down(parse_decimal(text)?))
}

/// Reads a whole number that is not negative and fits the type.
#[must_use]
pub fn parse_whole(text: &str) -> Option<u64> {
    let from_decimal = || {
        let number = parse_decimal(text)?;
        (number.fract() == 0.0).then(|| round_down(number))?
    };
    text.parse().ok().or_else(from_decimal)
}

/// First number beyond the range of `u64`.
const U64_END: f64 = 18_446_744_073_709_551_616.0;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is in the range of the type"
)]
fn round_down(number: f64) -> Option<u64> {
    (0.0..U64_END).contains(&number).then_some(number as u64)
}

/// `serde_with` adapter for an unsigned integer that may be written as any number; a fraction is rounded down.
#[derive(Debug)]
pub struct Whole;

impl<'de, T: TryFrom<u64>> DeserializeAs<'de, T> for Whole {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<T, D::Error> {
        deserializer.deserialize_any(WholeVisitor(PhantomData))
    }
}

struct WholeVisitor<T>(PhantomData<T>);

impl<T: TryFrom<u64>> WholeVisitor<T> {
    fn convert<E: Error>(&self, number: Option<u64>, got: Unexpected<'_>) -> Result<T, E> {
        let converted = number.and_then(|number| T::try_from(number).ok());
        converted.ok_or_else(|| E::invalid_value(got, self))
    }
}

impl<T: TryFrom<u64>> Visitor<'_> for WholeVisitor<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bits = 8 * size_of::<T>();
        write!(
            formatter,
            "a number that is 0 or more and fits in {bits} bits"
        )
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<T, E> {
        self.convert(Some(v), Unexpected::Unsigned(v))
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<T, E> {
        self.convert(u64::try_from(v).ok(), Unexpected::Signed(v))
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<T, E> {
        self.convert(round_down(v), Unexpected::Float(v))
    }
}
