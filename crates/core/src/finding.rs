//! Problems found in an input. Each has its location, so that all of them can
//! be reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Place` is the location of a finding in the input.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Place {
    /// Name of the file or message, for example `base.toml` or `body`.
    pub source: String,
    /// Path of the field, for example `tasks[3].run_ms`; empty for the whole
    /// input.
    pub path: String,
    /// Line, counted from 1, or 0 if the source has no lines.
    pub line: u32,
    /// Column in characters, counted from 1, or 0 if unknown.
    pub column: u32,
}

impl Place {
    /// Creates a place in a message body, which has a path but no line.
    pub fn body(path: impl Into<String>) -> Self {
        Self {
            source: "body".into(),
            path: path.into(),
            line: 0,
            column: 0,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.source)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        Ok(())
    }
}

/// `Finding` is one problem at one location of an input.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Finding {
    /// Where the problem is.
    pub place: Place,
    /// What is wrong and what is allowed, as a full sentence.
    pub message: String,
}

impl Finding {
    /// Creates a finding.
    pub fn new(place: Place, message: impl Into<String>) -> Self {
        Self {
            place,
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// `Findings` holds all findings of one input in the order in which they were
/// found.
pub type Findings = Vec<Finding>;
