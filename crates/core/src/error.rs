//! The error type shared by the library crates.

use std::fmt;

use crate::finding::Findings;

/// `Result` is the result type of the library crates.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is a failure of a library call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The input is invalid; all problems are listed.
    Invalid(Findings),
    /// A message could not be encoded or decoded.
    Codec(String),
    /// A file or socket operation failed.
    Io(String),
    /// A stored record failed its checksum or is malformed.
    Corrupt(String),
    /// The request certainly did not reach its receiver.
    NotSent(String),
    /// The request may or may not have reached its receiver.
    OutcomeUnknown(String),
    /// The receiver refused the request.
    Refused(String),
    /// A documented limit was reached.
    Limit(String),
}

impl Error {
    /// Creates an [`Error::Invalid`].
    pub fn invalid(findings: Findings) -> Self {
        Self::Invalid(findings)
    }

    /// Creates an [`Error::Codec`].
    pub fn codec(cause: impl fmt::Display) -> Self {
        Self::Codec(cause.to_string())
    }

    /// Creates an [`Error::Io`].
    pub fn io(cause: impl fmt::Display) -> Self {
        Self::Io(cause.to_string())
    }

    /// Creates an [`Error::Corrupt`].
    pub fn corrupt(cause: impl fmt::Display) -> Self {
        Self::Corrupt(cause.to_string())
    }

    /// Creates an [`Error::NotSent`].
    pub fn not_sent(cause: impl fmt::Display) -> Self {
        Self::NotSent(cause.to_string())
    }

    /// Creates an [`Error::OutcomeUnknown`].
    pub fn outcome_unknown(cause: impl fmt::Display) -> Self {
        Self::OutcomeUnknown(cause.to_string())
    }

    /// Creates an [`Error::Refused`].
    pub fn refused(cause: impl fmt::Display) -> Self {
        Self::Refused(cause.to_string())
    }

    /// Creates an [`Error::Limit`].
    pub fn limit(cause: impl fmt::Display) -> Self {
        Self::Limit(cause.to_string())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(findings) => {
                write!(f, "invalid input")?;
                findings
                    .iter()
                    .try_for_each(|finding| write!(f, "\n  {finding}"))
            }
            Self::Codec(cause) => write!(f, "codec: {cause}"),
            Self::Io(cause) => write!(f, "i/o: {cause}"),
            Self::Corrupt(cause) => write!(f, "corrupt data: {cause}"),
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::OutcomeUnknown(cause) => write!(f, "outcome unknown: {cause}"),
            Self::Refused(cause) => write!(f, "refused: {cause}"),
            Self::Limit(cause) => write!(f, "limit reached: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(cause: std::io::Error) -> Self {
        Self::io(cause)
    }
}
