//! Output file of start records.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use eyre::{Result, WrapErr};
use hornbeam_standin::StartRecord;
use indexmap::IndexMap;
use serde::Serialize;

/// `RecordLine` is one task start in the file.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct RecordLine<'a> {
    server_id: &'a str,
    job_id: &'a str,
    index: u32,
    at_us: u128,
}

/// `StartRecordFile` appends start records to an optional file.
#[derive(Debug)]
pub(super) struct StartRecordFile {
    file: Option<BufWriter<File>>,
    /// Number of starts already written, by server.
    written: IndexMap<String, usize>,
}

impl StartRecordFile {
    /// Creates the file, if a path is given.
    ///
    /// # Errors
    /// If it cannot be created.
    pub(super) fn create(path: Option<&Path>) -> Result<Self> {
        let create = |path: &Path| {
            File::create(path).wrap_err_with(|| format!("cannot write {}", path.display()))
        };
        Ok(Self {
            file: path.map(create).transpose()?.map(BufWriter::new),
            written: IndexMap::new(),
        })
    }

    /// Appends the starts of a server that have not been written yet.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub(super) fn append(&mut self, server_id: &str, starts: &[StartRecord]) -> Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        let written = self.written.entry(server_id.to_owned()).or_default();
        for start in starts.iter().skip(*written) {
            let line = RecordLine {
                server_id,
                job_id: &start.task.0,
                index: start.task.1,
                at_us: start.at.as_micros(),
            };
            writeln!(file, "{}", serde_json::to_string(&line)?)?;
        }
        *written = starts.len();
        Ok(file.flush()?)
    }
}
