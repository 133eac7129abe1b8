//! Values of settings that a file leaves out.

use log::LevelFilter;

use crate::units::Millis;

/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: u64 = 1_048_576;

/// Largest head of a request, in bytes.
pub const MAX_HEADER_BYTES: u64 = 16_384;

/// Least severe level that is logged.
pub const LOG_LEVEL: LevelFilter = LevelFilter::Info;

/// Time that a planned stop may take (D14).
pub const STOP_DEADLINE: Millis = Millis::from_secs(30);
