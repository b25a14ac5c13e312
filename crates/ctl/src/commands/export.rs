//! `hornbeam export`: writes the configuration and the audit trail to a file.

use std::io::Write;
use std::path::{Path, PathBuf};

use bpaf::{Parser, construct};
use eyre::{Result, WrapErr};
use hornbeam_core::api::operator::AuditEntry;
use hornbeam_core::config::Configuration;
use hornbeam_core::ids::ConfigVersion;
use serde::{Deserialize, Serialize};
use tempfile::NamedTempFile;

use crate::client::ApiClient;
use crate::commands::history;
use crate::commands::show::{READ_TIMEOUT, configuration};
use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::input::file_argument;
use crate::output;

/// `Export` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Export {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    file: PathBuf,
}

/// `ExportedConfig` is the content of an exported file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) struct ExportedConfig {
    /// Version in force.
    pub(crate) version: ConfigVersion,
    /// The configuration in force.
    pub(crate) configuration: Configuration,
    /// The audit trail up to this version, oldest change first.
    pub(crate) audit_trail: Vec<AuditEntry>,
}

/// `ExportLine` is the printed summary of an export.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct ExportLine {
    file: PathBuf,
    version: ConfigVersion,
    audit_entries: usize,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Export> {
    let globals = globals();
    let file = file_argument("file", "File to write; an existing one is replaced");
    construct!(Export { globals, file })
        .to_options()
        .descr("Writes the configuration in force, its version and the audit trail as JSON")
        .footer("Example:\n\n      hornbeam export --control 10.0.0.1:7100 --file site.json")
        .command("export")
        .help("Write the configuration and the audit trail to a file")
}

impl Export {
    /// Writes the file.
    ///
    /// # Errors
    /// If no control host answers or the file cannot be written.
    pub(crate) async fn run(self) -> Result<Exit> {
        let api = self.globals.control_api(READ_TIMEOUT)?;
        let exported = ExportedConfig::read(&api).await?;
        write(&self.file, &exported)?;
        let line = ExportLine {
            file: self.file,
            version: exported.version,
            audit_entries: exported.audit_trail.len(),
        };
        output::print_result(self.globals.output, &line, |line| {
            format!(
                "Version {} and {} entries of the audit trail are in {}.",
                line.version,
                line.audit_entries,
                line.file.display()
            )
        })?;
        Ok(Exit::Ok)
    }
}

impl ExportedConfig {
    /// Reads the configuration, and the audit trail up to its version.
    async fn read(api: &ApiClient) -> Result<Self> {
        let answer = configuration(api, None).await?;
        let mut audit_trail = history::entries(api, None, None).await?;
        // A change may be accepted between the two reads.
        audit_trail.retain(|entry| entry.version <= answer.version);
        Ok(Self {
            version: answer.version,
            configuration: answer.configuration,
            audit_trail,
        })
    }
}

/// Writes a temporary file and renames it, so that a failure leaves no partial
/// file.
fn write(path: &Path, exported: &ExportedConfig) -> Result<()> {
    let folder = path.parent().filter(|folder| *folder != Path::new(""));
    let folder = folder.unwrap_or(Path::new("."));
    let mut file = NamedTempFile::new_in(folder)
        .wrap_err_with(|| format!("cannot write to {}", folder.display()))?;
    serde_json::to_writer_pretty(&mut file, exported)?;
    file.write_all(b"\n")?;
    file.as_file().sync_all()?;
    file.persist(path)
        .wrap_err_with(|| format!("cannot write {}", path.display()))?;
    Ok(())
}
