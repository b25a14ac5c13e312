//! The files in the data folder of a replica.
//!
//! | file | content |
//! |---|---|
//! | `initial_voters` | voters of a new replica, final once `identity` exists |
//! | `identity` | format and replica id, written once |
//! | `hard_state` | term and vote, replaced |
//! | `snapshot` | newest snapshot, replaced |
//! | `log` | batches of entries after the snapshot, appended |
//!
//! A file is replaced by writing and syncing a new file, renaming it and syncing
//! the folder. The log is append-only: a batch replaces all earlier entries from
//! its first index on, so a replaced entry cannot reappear after a crash.
//!
//! A folder is in use from the rename of `identity` on, which follows everything
//! that a replica needs to take part. A replica sends no vote and acknowledges no
//! entry before its first snapshot is synced; see `docs/design.md`, section 8.

use std::path::Path;

use hornbeam_core::ids::ReplicaId;
use hornbeam_core::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::batch;
use crate::codec;
use crate::files::{Files, FolderFiles};
use crate::identity::{self, IDENTITY_FILE, Identity, StoredIdentity};
use crate::io::{Entry, HardState, PersistRequest, SnapshotData};
use crate::record;

const HARD_STATE_FILE: &str = "hard_state";
pub(crate) const INITIAL_VOTERS_FILE: &str = "initial_voters";
const SNAPSHOT_FILE: &str = "snapshot";
pub(crate) const LOG_FILE: &str = "log";

/// Suffix of a temporary file that is renamed to its final name.
pub(crate) const NEW_SUFFIX: &str = ".new";

/// `RecoveredState` is the content of a data folder when it was opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// Whether the folder had no hard state, snapshot or entries.
    pub fresh: bool,
    /// Voters with which the replica was created; empty if a former version, which
    /// did not store them, created the folder.
    pub initial_voters: Vec<ReplicaId>,
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<SnapshotData>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Bytes of an incomplete last record that were truncated.
    pub truncated_bytes: u64,
}

/// `DiskStorage` writes and syncs the durable state of a replica.
///
/// A damaged last record of the log cannot be distinguished from a torn write,
/// so it is truncated; `open` reports all other damage as an error.
#[derive(Debug)]
pub struct DiskStorage<F = FolderFiles> {
    files: F,
    last_index: u64,
    sizes_bytes: FileSizes,
    syncs: u64,
    failed: bool,
}

#[derive(Debug, Default)]
struct FileSizes {
    identity: u64,
    initial_voters: u64,
    hard_state: u64,
    snapshot: u64,
    log: u64,
}

impl DiskStorage {
    /// Opens a data folder for a replica, creating it if missing. A new folder
    /// stores `initial_voters`; one in use keeps its own.
    ///
    /// # Errors
    /// `Io` if the folder cannot be used or another process has it open,
    /// `Corrupt` if a record before the last one is damaged, `Refused` if the
    /// folder belongs to another replica or contains unexpected files.
    pub fn open(
        folder: &Path,
        id: ReplicaId,
        initial_voters: &[ReplicaId],
    ) -> Result<(Self, RecoveredState)> {
        Self::open_with(FolderFiles::open(folder)?, id, initial_voters)
    }

    /// Gets the identity of a folder that was used before.
    ///
    /// # Errors
    /// `Io` if the folder cannot be read, `Corrupt` if its identity, initial voters
    /// or snapshot is damaged.
    pub fn identity(folder: &Path) -> Result<Option<StoredIdentity>> {
        if !folder.exists() {
            return Ok(None);
        }
        Self::identity_with(FolderFiles::open(folder)?)
    }
}

impl<F: Files> DiskStorage<F> {
    /// Opens a data folder with the given file operations.
    ///
    /// # Errors
    /// As those of [`DiskStorage::open`].
    pub fn open_with(
        mut files: F,
        id: ReplicaId,
        initial_voters: &[ReplicaId],
    ) -> Result<(Self, RecoveredState)> {
        match identity::read(&mut files)? {
            Some(identity) => identity.check(id)?,
            None => identity::check_unused(&files.list()?)?,
        }
        let mut storage = Self::new(files);
        storage.initialise(id, initial_voters)?;
        let recovered = storage.recover()?;
        storage.syncs = 0;
        Ok((storage, recovered))
    }

    /// Gets the identity of a folder that was used before, with the given file
    /// operations.
    ///
    /// # Errors
    /// As those of [`DiskStorage::identity`].
    pub fn identity_with(mut files: F) -> Result<Option<StoredIdentity>> {
        let Some(identity) = identity::read(&mut files)? else {
            return Ok(None);
        };
        let mut storage = Self::new(files);
        let snapshot = storage.read_record::<SnapshotData>(SNAPSHOT_FILE)?;
        let has_snapshot_voters = snapshot.is_some_and(|snapshot| !snapshot.voters.is_empty());
        Ok(Some(StoredIdentity {
            replica_id: identity.replica_id,
            knows_voters: has_snapshot_voters || !storage.read_initial_voters()?.is_empty(),
        }))
    }

    fn new(files: F) -> Self {
        Self {
            files,
            last_index: 0,
            sizes_bytes: FileSizes::default(),
            syncs: 0,
            failed: false,
        }
    }

    /// Writes and syncs one request. After an error the state on disk is unknown,
    /// so every later request fails.
    ///
    /// # Errors
    /// `Io` if writing or syncing fails, `Limit` if an entry or the snapshot is
    /// too large.
    pub fn persist(&mut self, request: &PersistRequest) -> Result<()> {
        if self.failed {
            return Err(Error::io(
                "an earlier write or sync of the data folder failed",
            ));
        }
        self.failed = true;
        self.write(request)?;
        self.failed = false;
        Ok(())
    }

    /// Gets the size of all files in bytes.
    pub fn size_bytes(&self) -> u64 {
        let sizes = &self.sizes_bytes;
        sizes.identity + sizes.initial_voters + sizes.hard_state + sizes.snapshot + sizes.log
    }

    /// Gets the number of syncs of files and of the folder since `open`.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    // The order of the writes keeps the state consistent after a crash: terms in
    // the snapshot and the entries never exceed the term in the hard state.
    fn write(&mut self, request: &PersistRequest) -> Result<()> {
        if let Some(hard_state) = &request.hard_state {
            self.sizes_bytes.hard_state = self.replace_record(HARD_STATE_FILE, hard_state)?;
        }
        if let Some(snapshot) = &request.snapshot {
            self.sizes_bytes.snapshot = self.replace_record(SNAPSHOT_FILE, snapshot)?;
            self.compact(snapshot)?;
        }
        self.append(&request.entries)
    }

    fn append(&mut self, entries: &[Entry]) -> Result<()> {
        for batch in batch::split(entries) {
            let record = record::frame(&codec::encode(&batch)?)?;
            self.files.append(LOG_FILE, &record)?;
            self.sync(LOG_FILE)?;
            self.sizes_bytes.log += record.len() as u64;
        }
        if let Some(last) = entries.last() {
            self.last_index = last.index;
        }
        Ok(())
    }

    /// Rewrites the log without the entries that a snapshot covers.
    fn compact(&mut self, snapshot: &SnapshotData) -> Result<()> {
        let mut kept = Vec::new();
        if self.last_index > snapshot.index {
            let bytes = self.files.read(LOG_FILE)?.unwrap_or_default();
            let scan = record::scan(LOG_FILE, &bytes)?;
            kept = batch::after_snapshot(batch::join(&scan.payloads)?, Some(snapshot));
        }
        if self.sizes_bytes.log == 0 && kept.is_empty() {
            return Ok(());
        }
        self.rewrite(&kept)
    }

    fn rewrite(&mut self, entries: &[Entry]) -> Result<()> {
        let mut content = Vec::new();
        for batch in batch::split(entries) {
            content.extend(record::frame(&codec::encode(&batch)?)?);
        }
        self.replace_file(LOG_FILE, &content)?;
        self.sizes_bytes.log = content.len() as u64;
        self.last_index = entries.last().map_or(0, |last| last.index);
        Ok(())
    }

    /// Creates the files of a new replica, the identity last, unless the folder has
    /// an identity.
    fn initialise(&mut self, id: ReplicaId, initial_voters: &[ReplicaId]) -> Result<()> {
        if self.files.read(IDENTITY_FILE)?.is_some() {
            return Ok(());
        }
        self.replace_file(LOG_FILE, &[])?;
        self.replace_record(INITIAL_VOTERS_FILE, &initial_voters)?;
        let identity = Identity::new(id);
        self.replace_record(IDENTITY_FILE, &identity)?;
        Ok(())
    }

    fn read_initial_voters(&mut self) -> Result<Vec<ReplicaId>> {
        let voters = self.read_record::<Vec<ReplicaId>>(INITIAL_VOTERS_FILE)?;
        Ok(voters.unwrap_or_default())
    }

    fn recover(&mut self) -> Result<RecoveredState> {
        let initial_voters = self.read_initial_voters()?;
        let hard_state = self.read_record::<HardState>(HARD_STATE_FILE)?;
        let snapshot = self.read_record::<SnapshotData>(SNAPSHOT_FILE)?;
        if snapshot.is_some() && hard_state.is_none() {
            return Err(Error::corrupt(
                "hard_state is missing although a snapshot exists",
            ));
        }
        let Some(bytes) = self.files.read(LOG_FILE)? else {
            return Err(Error::corrupt("log is missing"));
        };
        let scan = record::scan(LOG_FILE, &bytes)?;
        let stored = batch::join(&scan.payloads)?;
        let stored_len = stored.len();
        let entries = batch::after_snapshot(stored, snapshot.as_ref());
        batch::check_follows_snapshot(&entries, snapshot.as_ref())?;
        let truncated_bytes = (bytes.len() - scan.length_bytes) as u64;
        self.last_index = entries.last().map_or(0, |last| last.index);
        self.sizes_bytes.log = scan.length_bytes as u64;
        if entries.len() < stored_len {
            // A crash between snapshot and compaction left entries that the
            // snapshot covers; the next batch need not be contiguous with them.
            self.rewrite(&entries)?;
        } else if truncated_bytes > 0 {
            self.files.truncate(LOG_FILE, scan.length_bytes as u64)?;
            self.sync(LOG_FILE)?;
        }
        self.sizes_bytes.identity = self.length(IDENTITY_FILE)?;
        self.sizes_bytes.initial_voters = self.length(INITIAL_VOTERS_FILE)?;
        self.sizes_bytes.hard_state = self.length(HARD_STATE_FILE)?;
        self.sizes_bytes.snapshot = self.length(SNAPSHOT_FILE)?;
        Ok(RecoveredState {
            fresh: hard_state.is_none() && snapshot.is_none() && entries.is_empty(),
            initial_voters,
            hard_state: hard_state.unwrap_or_default(),
            snapshot,
            entries,
            truncated_bytes,
        })
    }

    fn length(&mut self, file: &str) -> Result<u64> {
        let bytes = self.files.read(file)?;
        Ok(bytes.map_or(0, |bytes| bytes.len() as u64))
    }

    fn read_record<T: DeserializeOwned>(&mut self, file: &str) -> Result<Option<T>> {
        let Some(bytes) = self.files.read(file)? else {
            return Ok(None);
        };
        codec::decode(record::parse_single(file, &bytes)?).map(Some)
    }

    fn replace_record<T: Serialize>(&mut self, file: &str, value: &T) -> Result<u64> {
        let record = record::frame(&codec::encode(value)?)?;
        self.replace_file(file, &record)?;
        Ok(record.len() as u64)
    }

    fn replace_file(&mut self, file: &str, bytes: &[u8]) -> Result<()> {
        let new = format!("{file}{NEW_SUFFIX}");
        self.files.create(&new)?;
        self.files.append(&new, bytes)?;
        self.sync(&new)?;
        self.files.rename(&new, file)?;
        self.files.sync_folder()?;
        self.syncs += 1;
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<()> {
        self.syncs += 1;
        Ok(self.files.sync(file)?)
    }
}
