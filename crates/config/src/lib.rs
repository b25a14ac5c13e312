//! Builds a validated configuration from a base file and a site overlay.
//!
//! The format is TOML, and an overlay may set any key of the base. All problems
//! of both files are reported with file, line and column. See
//! `docs/design.md`, sections 1 and 14, and `docs/CONFIGURATION.md`.

#![forbid(unsafe_code)]

mod build;
mod read;
mod report;
mod settings;
mod tree;

use hornbeam_core::api::operator::CheckRequest;
use hornbeam_core::config::Configuration;
use hornbeam_core::{Error, Result};

pub use report::{MAX_FILE_BYTES, MAX_FINDINGS};
pub use settings::{Bounds, MAX_JOB_BYTES, SETTINGS, Setting, SettingKind};

use report::{FileRole, Report};

/// Builds the configuration from a base file and an overlay.
///
/// Tables are merged recursively, keys of the overlay take precedence, and
/// arrays are replaced. A value is checked in the file that sets it, even if
/// the overlay replaces it.
///
/// # Errors
/// `Invalid` with the findings of both files in the order of their location, at
/// most [`MAX_FINDINGS`].
pub fn load(files: &CheckRequest) -> Result<Configuration> {
    let mut report = Report::new(files);
    let base = read::file(&mut report, FileRole::Base);
    let overlay = read::file(&mut report, FileRole::Overlay);
    // If a file cannot be parsed, findings about missing keys would be false.
    let configuration = match (base, overlay) {
        (Some(base), Some(overlay)) => {
            let merged = tree::merge(base, overlay);
            build::configuration(&mut report, &merged)
        }
        _ => Configuration::default(),
    };
    let findings = report.finish();
    if findings.is_empty() {
        Ok(configuration)
    } else {
        Err(Error::invalid(findings))
    }
}
