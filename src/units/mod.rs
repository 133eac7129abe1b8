//! Newtypes for time, money, tokens and shares.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

#[cfg(test)]
mod tests;
pub mod whole;

/// Text that cannot be parsed as a quantity of the expected unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseUnitError {
    /// A time span without a number or without one of the units `ms`, `s`, `m`, `h`.
    Span(String),
    /// An amount of money that is not a decimal number with at most six decimals.
    Money(String),
}

impl fmt::Display for ParseUnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Span(text) => {
                write!(
                    f,
                    "{text:?} is not a time span such as \"500ms\", \"2s\", \"5m\" or \"24h\""
                )
            }
            Self::Money(text) => {
                write!(
                    f,
                    "{text:?} is not an amount such as \"0.25\" (at most six decimals)"
                )
            }
        }
    }
}

impl std::error::Error for ParseUnitError {}

/// Milliseconds: a time span, or a point in time relative to an epoch that the field documents.
///
/// The text form in settings and sheets is a whole number with a unit: `500ms`, `2s`, `5m`, `24h`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Creates a span of whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// Longest span that is read from a number; a longer one is cut off, so that sums and products of spans stay in range.
    pub const MAX_READ: Self = Self::from_secs(30 * 86_400);

    /// Converts a number of milliseconds. It is rounded down, so that no bound becomes longer than stated, but a positive
    /// span is never rounded to zero; a negative one is zero.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast saturates at the limits"
    )]
    pub fn from_millis_f64(millis: f64) -> Self {
        let whole = Self(millis as u64).min(Self::MAX_READ);
        if millis > 0.0 {
            whole.max(Self(1))
        } else {
            whole
        }
    }

    /// Converts a number of seconds in the same way.
    #[must_use]
    pub fn from_secs_f64(secs: f64) -> Self {
        Self::from_millis_f64(secs * 1_000.0)
    }

    /// Returns the span from `earlier` to this time, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts the span to a standard duration, for the runtime's timers.
    #[must_use]
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 != 0 && self.0.is_multiple_of(1_000) {
            write!(f, "{}s", self.0 / 1_000)
        } else {
            write!(f, "{}ms", self.0)
        }
    }
}

impl FromStr for Millis {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseUnitError::Span(text.to_owned());
        let unit_start = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (number, unit) = text.split_at(unit_start);
        let factor = match unit {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(error()),
        };
        let number = number.parse::<u64>().map_err(|_number| error())?;
        number.checked_mul(factor).map(Self).ok_or_else(error)
    }
}

/// Money in millionths of the deployment's currency.
///
/// The text form is a decimal number with at most six decimals: `0.25`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Micros(pub u64);

/// Millionths in one unit of the currency.
const MICROS_PER_UNIT: u64 = 1_000_000;

impl Micros {
    /// Returns the price of `tokens` at this price for a thousand tokens, rounded up.
    #[must_use]
    pub fn for_tokens(self, tokens: Tokens) -> Self {
        Self(self.0.saturating_mul(tokens.0).div_ceil(1_000))
    }
}

impl Add for Micros {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sum for Micros {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self(0), Add::add)
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:06}",
            self.0 / MICROS_PER_UNIT,
            self.0 % MICROS_PER_UNIT
        )
    }
}

impl FromStr for Micros {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseUnitError::Money(text.to_owned());
        let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
        let is_digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
        if !is_digits(whole) || !is_digits(decimals) || decimals.len() > 6 {
            return Err(error());
        }
        let whole = whole.parse::<u64>().map_err(|_number| error())?;
        let fraction = format!("{decimals:0<6}")
            .parse::<u64>()
            .map_err(|_number| error())?;
        whole
            .checked_mul(MICROS_PER_UNIT)
            .and_then(|micros| micros.checked_add(fraction))
            .map(Self)
            .ok_or_else(error)
    }
}

/// A number of tokens.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Add for Tokens {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

/// A share in thousandths, 0 to 1,000.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Permille(pub u16);

impl Permille {
    /// The whole: 1,000 thousandths.
    pub const ONE: Self = Self(1_000);

    /// Returns the share as a fraction of one.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}
