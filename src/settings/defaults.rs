//! Default values of optional settings.

use log::LevelFilter;

use crate::units::Millis;

/// Largest request body, in bytes.
pub const MAX_BODY_BYTES: u64 = 1_048_576;

/// Largest request head, in bytes.
pub const MAX_HEADER_BYTES: u64 = 16_384;

/// Least severe level that is logged.
pub const LOG_LEVEL: LevelFilter = LevelFilter::Info;

/// Time limit of a planned stop (D14).
pub const STOP_DEADLINE: Millis = Millis::from_secs(30);
