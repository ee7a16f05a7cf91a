//! Exit codes; the help text lists them.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done; an edit was accepted.
    Done = 0,
    /// The input has faults or the edit was refused; nothing has changed.
    Refused = 1,
    /// The command line or a settings file is wrong.
    Usage = 2,
    /// A service was not reached; nothing has changed.
    NotSent = 3,
    /// The change may have taken effect; its verdict was not seen.
    Unknown = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
