//! How the program ends, for scripts.

use std::process::ExitCode;

/// The result of a statement, and of the program: that of the first statement that did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Answered, planned, or accepted (with `--wait`: and in force everywhere).
    Success = 0,
    /// Refused: the order was not applied and never will be.
    Refused = 1,
    /// The flags or the statement are faulty; nothing was sent.
    Usage = 2,
    /// The order may have been applied, or may yet.
    Unknown = 3,
    /// No daemon could be reached; nothing was sent.
    Unreachable = 4,
    /// Accepted, but not in force everywhere within the time of `--wait`.
    NotInForce = 5,
}

impl Exit {
    /// The first of the two that is no success.
    #[must_use]
    pub fn or(self, later: Self) -> Self {
        match self {
            Self::Success => later,
            first => first,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
