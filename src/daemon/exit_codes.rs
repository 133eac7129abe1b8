//! Exit codes of the daemons.

use std::fmt;
use std::process::ExitCode;

/// How a daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonExit {
    /// It stopped gracefully, or `--check` found the settings valid.
    Success,
    /// The command line or the path of the settings is wrong.
    Usage,
    /// The settings are invalid.
    InvalidSettings,
    /// An address cannot be bound, or another start-up step failed.
    CannotStart,
    /// It stopped before everything was finished and stored.
    CutOff,
}

impl DaemonExit {
    /// All codes.
    pub const ALL: &'static [Self] = &[
        Self::Success,
        Self::Usage,
        Self::InvalidSettings,
        Self::CannotStart,
        Self::CutOff,
    ];

    /// Returns the exit code of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Usage => 2,
            Self::InvalidSettings => 3,
            Self::CannotStart => 4,
            Self::CutOff => 5,
        }
    }
}

impl fmt::Display for DaemonExit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Success => "success",
            Self::Usage => "usage",
            Self::InvalidSettings => "invalid settings",
            Self::CannotStart => "cannot start",
            Self::CutOff => "stopped before everything was finished",
        })
    }
}

impl From<DaemonExit> for ExitCode {
    fn from(exit: DaemonExit) -> Self {
        Self::from(exit.code())
    }
}
