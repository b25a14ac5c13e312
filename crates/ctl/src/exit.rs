//! Exit codes.

use std::fmt;
use std::process::ExitCode;

use hornbeam_core::Error;

/// `Exit` is the exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Ok = 0,
    /// The command failed; the output says what it did.
    Failure = 1,
    /// The arguments are invalid; nothing was done.
    Usage = 2,
    /// Validation of the input reported findings; nothing was changed or run.
    Findings = 3,
    /// A concurrent change was accepted first; nothing was changed.
    Conflict = 4,
    /// The request was refused or never sent; nothing was changed or run.
    Refused = 5,
    /// The request may or may not have taken effect.
    Unknown = 6,
}

/// List of the exit codes in the help text.
pub(crate) const EXIT_CODES_HELP: &str = "Exit codes: 0 done, 1 failed, 2 wrong arguments, \
     3 input has findings, 4 conflict with another change, 5 refused or not run, \
     6 outcome unknown";

impl Exit {
    /// Maps an error to its exit code.
    pub(crate) fn from_report(report: &eyre::Report) -> Self {
        if report.downcast_ref::<UsageError>().is_some() {
            return Self::Usage;
        }
        match report.downcast_ref::<Error>() {
            Some(Error::Invalid(_)) => Self::Findings,
            Some(Error::NotSent(_) | Error::Refused(_)) => Self::Refused,
            Some(Error::OutcomeUnknown(_)) => Self::Unknown,
            _ => Self::Failure,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// `UsageError` is an invalid argument that the parser cannot detect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct UsageError(pub(crate) String);

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for UsageError {}
