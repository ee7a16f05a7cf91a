//! Exit codes, which the help text lists too.

use std::process::ExitCode;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded; for `publish`, the edit was accepted.
    Done = 0,
    /// The input has faults or the edit was refused; nothing has changed.
    Refused = 1,
    /// The command line or a settings file is wrong.
    Usage = 2,
    /// A service could not be reached; nothing has changed.
    Unreachable = 3,
    /// The edit may have been appended to the log, but its verdict was not received.
    Unknown = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
