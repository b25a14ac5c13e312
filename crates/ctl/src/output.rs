//! Printing of results and errors.

use std::io::Write;

use eyre::{Report, Result};
use serde::Serialize;

use crate::exit::Exit;
use crate::globals::Format;

/// `ErrorLine` is the JSON line of an error with `--output json`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct ErrorLine {
    error: String,
    exit_code: u8,
}

/// Prints a result as text or as one line of JSON.
///
/// # Errors
/// If stdout cannot be written.
pub(crate) fn print_result<T: Serialize>(
    format: Format,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<()> {
    let line = match format {
        Format::Text => text(value),
        Format::Json => serde_json::to_string(value)?,
    };
    print_line(line.trim_end())
}

/// Prints one line of JSON, regardless of the output format.
///
/// # Errors
/// If stdout cannot be written.
pub(crate) fn print_json<T: Serialize>(value: &T) -> Result<()> {
    print_line(&serde_json::to_string(value)?)
}

/// Prints an error to stderr.
pub(crate) fn print_error(format: Format, report: &Report, exit: Exit) {
    let error = format!("{report:#}");
    let line = ErrorLine {
        error: error.clone(),
        exit_code: exit as u8,
    };
    match (format, serde_json::to_string(&line)) {
        (Format::Json, Ok(json)) => eprintln!("{json}"),
        _ => eprintln!("hornbeam: {error}"),
    }
}

/// Prints a line and flushes it, because a program may read it through a pipe.
fn print_line(line: &str) -> Result<()> {
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{line}")?;
    stdout.flush()?;
    Ok(())
}
