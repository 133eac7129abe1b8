//! Exit codes of the program.

use std::process;

/// Exit code of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// The verb succeeded.
    Success = 0,
    /// `diff` found differences.
    Different = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A file cannot be read or is invalid, or the sheet does not fit into the key-value service.
    Invalid = 3,
    /// `apply` had no effect, because another revision than the base is in force.
    Conflict = 4,
    /// It is unknown whether `apply` took effect; repeat it with the same apply ID.
    Unknown = 5,
    /// The key-value service gave no result or holds no complete sheet; nothing was changed.
    Unavailable = 6,
    /// `apply --wait` or `status` found processes that do not have the revision in force.
    Behind = 7,
    /// `replay` computed another decision than the recorded one.
    ReplayDiffers = 8,
    /// No gateway has the record, or the sheet has no such version.
    NotFound = 9,
    /// `demo` found a violated property or could not run.
    DemoFailed = 10,
    /// `check --platform` found entries that gateways take but that have no effect or contradict each other.
    Doubtful = 11,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
