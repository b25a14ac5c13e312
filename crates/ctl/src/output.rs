//! Printing of results and failures.

use std::io::Write;

use eyre::{Report, Result};
use serde::Serialize;

use crate::exit::Exit;
use crate::globals::Format;

/// `FailureLine` is a failure as printed with `--output json`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct FailureLine {
    error: String,
    exit_code: u8,
}

/// Prints a result as text or as one line of JSON.
///
/// # Errors
/// If stdout cannot be written.
pub(crate) fn result<T: Serialize>(
    format: Format,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<()> {
    let line = match format {
        Format::Text => text(value),
        Format::Json => serde_json::to_string(value)?,
    };
    print(line.trim_end())
}

/// Prints one line of JSON, whatever the format.
///
/// # Errors
/// If stdout cannot be written.
pub(crate) fn json_line<T: Serialize>(value: &T) -> Result<()> {
    print(&serde_json::to_string(value)?)
}

/// Prints a failure to stderr.
pub(crate) fn failure(format: Format, report: &Report, exit: Exit) {
    let error = format!("{report:#}");
    let line = FailureLine {
        error: error.clone(),
        exit_code: exit as u8,
    };
    match (format, serde_json::to_string(&line)) {
        (Format::Json, Ok(json)) => eprintln!("{json}"),
        _ => eprintln!("hornbeam: {error}"),
    }
}

/// Flushes each line, because a reader may wait for it through a pipe.
fn print(line: &str) -> Result<()> {
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{line}")?;
    stdout.flush()?;
    Ok(())
}
