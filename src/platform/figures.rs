//! Figures in the settings of the platform.
//!
//! The platform renders a figure as a whole number, a fraction, `true` or `false`, and as nothing if it has none. A figure
//! may be a JSON value or the text of one. Without a number, the setting has its default.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use serde::de::{Deserializer, Error, Unexpected, Visitor};
use serde_with::DeserializeAs;

use crate::units::Millis;

/// Longest time span; a longer one is cut off, so that sums and products of spans stay in range.
const MAX_SPAN: Millis = Millis::from_secs(30 * 86_400);

/// What the platform has rendered for a figure.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Figure {
    /// Nothing, or `true` or `false`.
    Unstated(Option<bool>),
    /// A finite number.
    Number(f64),
}

impl Figure {
    /// Reads a figure as it was rendered; returns `None` if it is neither a number nor `true` or `false`.
    fn parse(text: &str) -> Option<Self> {
        match text.trim() {
            "" => Some(Self::Unstated(None)),
            "true" => Some(Self::Unstated(Some(true))),
            "false" => Some(Self::Unstated(Some(false))),
            text => parse_number(text).map(Self::Number),
        }
    }
}

/// Reads a decimal number; one beyond the range of `f64` is cut off there.
fn parse_number(text: &str) -> Option<f64> {
    // The standard library also reads "inf" and "nan".
    let is_decimal = |b: u8| b.is_ascii_digit() || b"+-.eE".contains(&b);
    let number = text.parse::<f64>().ok()?;
    (text.bytes().all(is_decimal)).then(|| number.clamp(f64::MIN, f64::MAX))
}

/// Reads a value that is a scalar or the text of one, and calls `convert` with its text.
struct Scalar<F> {
    wanted: &'static str,
    convert: F,
}

impl<T, F: FnOnce(&str) -> Option<T>> Scalar<F> {
    fn read<E: Error>(self, text: &str) -> Result<T, E> {
        let wanted = self.wanted;
        (self.convert)(text).ok_or_else(|| E::invalid_value(Unexpected::Str(text), &wanted))
    }
}

impl<T, F: FnOnce(&str) -> Option<T>> Visitor<'_> for Scalar<F> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.wanted)
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<T, E> {
        self.read(v)
    }

    fn visit_bool<E: Error>(self, v: bool) -> Result<T, E> {
        self.read(&v.to_string())
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<T, E> {
        self.read(&v.to_string())
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<T, E> {
        self.read(&v.to_string())
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<T, E> {
        self.read(&v.to_string())
    }

    fn visit_unit<E: Error>(self) -> Result<T, E> {
        self.read("")
    }
}

/// Reads a figure whose number, if it has one, must meet a condition.
fn number<'de, D: Deserializer<'de>>(
    deserializer: D,
    wanted: &'static str,
    is_valid: impl FnOnce(f64) -> bool,
) -> Result<Option<f64>, D::Error> {
    let convert = |text: &str| match Figure::parse(text)? {
        Figure::Unstated(_) => Some(None),
        Figure::Number(number) => is_valid(number).then_some(Some(number)),
    };
    deserializer.deserialize_any(Scalar { wanted, convert })
}

/// Converts a time in milliseconds. It is rounded down, so that no bound becomes longer than stated, but a positive time
/// is never rounded to zero.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates at the limits"
)]
fn span(millis: f64) -> Millis {
    let whole = Millis(millis as u64).min(MAX_SPAN);
    if millis > 0.0 {
        whole.max(Millis(1))
    } else {
        whole
    }
}

/// A time in milliseconds, 0 or more.
pub(super) struct Milliseconds;

impl<'de> DeserializeAs<'de, Option<Millis>> for Milliseconds {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Option<Millis>, D::Error> {
        let millis = number(deserializer, "a number of milliseconds, 0 or more", |n| {
            n >= 0.0
        })?;
        Ok(millis.map(span))
    }
}

/// A time in seconds, 0 or more.
pub(super) struct Seconds;

impl<'de> DeserializeAs<'de, Option<Millis>> for Seconds {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Option<Millis>, D::Error> {
        let seconds = number(deserializer, "a number of seconds, 0 or more", |n| n >= 0.0)?;
        Ok(seconds.map(|s| span(s * 1_000.0)))
    }
}

/// A time in seconds, more than 0.
pub(super) struct PositiveSeconds;

impl<'de> DeserializeAs<'de, Option<Millis>> for PositiveSeconds {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Option<Millis>, D::Error> {
        let seconds = number(deserializer, "a number of seconds, more than 0", |n| {
            n > 0.0
        })?;
        Ok(seconds.map(|s| span(s * 1_000.0)))
    }
}

/// A number that is not negative.
pub(super) struct NotNegative;

impl<'de> DeserializeAs<'de, Option<f64>> for NotNegative {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
        number(deserializer, "a number, 0 or more", |n| n >= 0.0)
    }
}

/// A share, from 0 to 1.
pub(super) struct Share;

impl<'de> DeserializeAs<'de, Option<f64>> for Share {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
        number(deserializer, "a number from 0 to 1", |n| {
            (0.0..=1.0).contains(&n)
        })
    }
}

/// A switch: `true` or `false`, or a number, of which 0 is `false`. Nothing is `false`.
pub(super) struct Switch;

impl<'de> DeserializeAs<'de, bool> for Switch {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
        let convert = |text: &str| match Figure::parse(text)? {
            Figure::Unstated(value) => Some(value.unwrap_or_default()),
            Figure::Number(number) => Some(number != 0.0),
        };
        let wanted = "true or false";
        deserializer.deserialize_any(Scalar { wanted, convert })
    }
}

/// A port.
pub(super) struct Port;

impl<'de> DeserializeAs<'de, u16> for Port {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u16, D::Error> {
        let wanted = "a port, a whole number from 0 to 65535";
        let convert = parse_port;
        deserializer.deserialize_any(Scalar { wanted, convert })
    }
}

/// An IP address and a port.
pub(super) struct Address;

impl<'de> DeserializeAs<'de, SocketAddr> for Address {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
        let wanted = "an IP address and a port, such as \"10.1.0.40:8227\"";
        let convert = |text: &str| {
            let (ip, port) = text.rsplit_once(':')?;
            let ip = ip.trim_start_matches('[').trim_end_matches(']');
            Some(SocketAddr::new(
                ip.parse::<IpAddr>().ok()?,
                parse_port(port)?,
            ))
        };
        deserializer.deserialize_any(Scalar { wanted, convert })
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is whole and in the range of the type"
)]
fn parse_port(text: &str) -> Option<u16> {
    let port = parse_number(text)?;
    let is_port = (0.0..=f64::from(u16::MAX)).contains(&port) && port.fract() == 0.0;
    is_port.then_some(port as u16)
}
