//! The files of a replica under its data folder.

use std::path::Path;

use hornbeam_core::Result;

use crate::io::{Entry, HardState, PersistRequest, SnapshotData};

/// `Recovered` is what a data folder held when it was opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// Whether the folder was empty, so that the replica remembers nothing.
    pub fresh: bool,
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<SnapshotData>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Bytes of an incomplete last record that were cut.
    pub cut_bytes: u64,
}

/// `DiskLog` writes and syncs what a replica persists.
#[derive(Debug)]
pub struct DiskLog {}

impl DiskLog {
    /// Opens a data folder, creating it if missing.
    ///
    /// # Errors
    /// `Io` if the folder cannot be used, `Corrupt` if a record before the
    /// last one is damaged.
    pub fn open(folder: &Path) -> Result<(Self, Recovered)> {
        let _ = folder;
        Ok((
            Self {},
            Recovered {
                fresh: true,
                ..Recovered::default()
            },
        ))
    }

    /// Writes and syncs one request. After an error the log must not be used.
    ///
    /// # Errors
    /// `Io` if writing or syncing fails.
    pub fn persist(&mut self, request: &PersistRequest) -> Result<()> {
        let _ = request;
        Ok(())
    }

    /// Gets the size of all files in bytes.
    pub fn size_bytes(&self) -> u64 {
        0
    }
}
