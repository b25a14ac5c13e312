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

use crate::client::Api;
use crate::commands::history;
use crate::commands::show::{READ_TIMEOUT, configuration};
use crate::exit::Exit;
use crate::globals::{Globals, globals};
use crate::input::file;
use crate::output;

/// `Export` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Export {
    /// Settings of every command.
    pub(crate) globals: Globals,
    file: PathBuf,
}

/// `Snapshot` is the content of an exported file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) struct Snapshot {
    /// Version in force.
    pub(crate) version: ConfigVersion,
    /// The configuration in force.
    pub(crate) configuration: Configuration,
    /// The audit trail up to this version, oldest change first.
    pub(crate) audit_trail: Vec<AuditEntry>,
}

/// `ExportLine` is what was written as printed.
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
    let file = file("file", "File to write; an existing one is replaced");
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
        let snapshot = Snapshot::read(&api).await?;
        write(&self.file, &snapshot)?;
        let line = ExportLine {
            file: self.file,
            version: snapshot.version,
            audit_entries: snapshot.audit_trail.len(),
        };
        output::result(self.globals.output, &line, |line| {
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

impl Snapshot {
    /// Reads the configuration, and the audit trail up to its version.
    async fn read(api: &Api) -> Result<Self> {
        let answer = configuration(api, None).await?;
        let mut audit_trail = history::entries(api, None, None).await?;
        // A change may come between the two reads.
        audit_trail.retain(|entry| entry.version <= answer.version);
        Ok(Self {
            version: answer.version,
            configuration: answer.configuration,
            audit_trail,
        })
    }
}

/// Writes the file under another name first, so that a failure leaves no part
/// of it.
fn write(path: &Path, snapshot: &Snapshot) -> Result<()> {
    let folder = path.parent().filter(|folder| *folder != Path::new(""));
    let folder = folder.unwrap_or(Path::new("."));
    let mut file = NamedTempFile::new_in(folder)
        .wrap_err_with(|| format!("cannot write to {}", folder.display()))?;
    serde_json::to_writer_pretty(&mut file, snapshot)?;
    file.write_all(b"\n")?;
    file.as_file().sync_all()?;
    file.persist(path)
        .wrap_err_with(|| format!("cannot write {}", path.display()))?;
    Ok(())
}
