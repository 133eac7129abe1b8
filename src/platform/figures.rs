//! Figures in the settings of the platform.
//!
//! The platform renders a figure as a whole number, a fraction, `true` or `false`, and as nothing if it has none. A figure
//! may be a JSON value or the text of one. Without a number, the setting has its default.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use serde::de::{Deserializer, Error, Unexpected, Visitor};
use serde_with::DeserializeAs;

use crate::units::Millis;
use crate::units::whole::{parse_decimal, parse_whole};

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
            text => parse_decimal(text).map(Self::Number),
        }
    }
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

/// A time in milliseconds, 0 or more.
pub(super) struct Milliseconds;

impl<'de> DeserializeAs<'de, Option<Millis>> for Milliseconds {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Option<Millis>, D::Error> {
        let millis = number(deserializer, "a number of milliseconds, 0 or more", |n| {
            n >= 0.0
        })?;
        Ok(millis.map(Millis::from_millis_f64))
    }
}

/// A time in seconds, 0 or more.
pub(super) struct Seconds;

impl<'de> DeserializeAs<'de, Option<Millis>> for Seconds {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Option<Millis>, D::Error> {
        let seconds = number(deserializer, "a number of seconds, 0 or more", |n| n >= 0.0)?;
        Ok(seconds.map(Millis::from_secs_f64))
    }
}

/// A time in seconds, more than 0.
pub(super) struct PositiveSeconds;

impl<'de> DeserializeAs<'de, Option<Millis>> for PositiveSeconds {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Option<Millis>, D::Error> {
        let seconds = number(deserializer, "a number of seconds, more than 0", |n| {
            n > 0.0
        })?;
        Ok(seconds.map(Millis::from_secs_f64))
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

fn parse_port(text: &str) -> Option<u16> {
    u16::try_from(parse_whole(text)?).ok()
}
