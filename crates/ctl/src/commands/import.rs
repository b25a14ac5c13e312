//! `hornbeam import`: applies an exported configuration.

use std::path::{Path, PathBuf};

use bpaf::{Parser, construct};
use eyre::{Result, WrapErr};
use hornbeam_core::api::operator::{ChangeContent, CheckRequest, SourceFile};
use hornbeam_core::{Error, Finding, Place};

use crate::commands::apply;
use crate::commands::export::ExportedConfig;
use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::input::{ChangeMetadata, change_metadata, file_argument};

/// `Import` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Import {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    file: PathBuf,
    metadata: ChangeMetadata,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Import> {
    let globals = globals();
    let file = file_argument("file", "File that `hornbeam export` wrote");
    let metadata = change_metadata();
    construct!(Import {
        globals,
        file,
        metadata
    })
    .to_options()
    .descr(
        "Puts the configuration of an exported file in force as a new version. The audit trail \
         of the file is not imported.",
    )
    .footer(
        "Example:\n\n      hornbeam import --control 10.0.0.1:7100 \
         --credential-file operator.key --file site.json --expected-version 0 \
         --operator aigerim --reason 'new control group'",
    )
    .command("import")
    .help("Put an exported configuration in force")
}

impl Import {
    /// Sends the change and prints the outcome.
    ///
    /// # Errors
    /// If the file cannot be read or the change was refused.
    pub(crate) async fn run(self) -> Result<Exit> {
        let content = ChangeContent::Files(check_request(&self.file)?);
        apply::submit_change(&self.globals, self.metadata, content).await
    }
}

/// Converts an exported file to a base file without an overlay, so that the
/// control host validates the configuration like any other.
fn check_request(path: &Path) -> Result<CheckRequest> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {name}"))?;
    let exported: ExportedConfig =
        serde_json::from_str(&text).map_err(|cause| invalid_file(&name, &cause))?;
    let base = SourceFile {
        name: format!("{name} as TOML"),
        text: toml::to_string(&exported.configuration)?,
    };
    let overlay = SourceFile {
        name: "no overlay".into(),
        text: String::new(),
    };
    Ok(CheckRequest { base, overlay })
}

fn invalid_file(name: &str, cause: &serde_json::Error) -> Error {
    let place = Place {
        source: name.to_owned(),
        line: u32::try_from(cause.line()).unwrap_or(u32::MAX),
        column: u32::try_from(cause.column()).unwrap_or(u32::MAX),
        ..Place::default()
    };
    Error::invalid(vec![Finding::new(place, cause.to_string())])
}
