//! The identity of a data folder: its format and its replica id.

use hornbeam_core::ids::ReplicaId;
use hornbeam_core::{Error, Result};
use serde::{Deserialize, Serialize};

use crate::codec;
use crate::files::{Files, LOCK_FILE};
use crate::record;
use crate::storage::{INITIAL_VOTERS_FILE, LOG_FILE, NEW_SUFFIX};

/// Name of the file that holds the identity.
pub(crate) const IDENTITY_FILE: &str = "identity";

/// Version of the folder format. It increases with every incompatible change.
const FORMAT_VERSION: u32 = 2;

/// Name of the folder format, which marks a folder as one of this program.
const FORMAT_NAME: &str = "hornbeam control replica";

/// `Identity` identifies the format and the replica of a folder. It is written
/// once.
#[derive(Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) struct Identity {
    format_name: String,
    format_version: u32,
    pub(crate) replica_id: ReplicaId,
}

impl Identity {
    /// Creates the identity of a replica's folder in the current format.
    pub(crate) fn new(replica_id: ReplicaId) -> Self {
        Self {
            format_name: FORMAT_NAME.into(),
            format_version: FORMAT_VERSION,
            replica_id,
        }
    }

    /// Checks that the folder belongs to this program and replica.
    ///
    /// # Errors
    /// `Refused` if it does not.
    pub(crate) fn check(&self, id: ReplicaId) -> Result<()> {
        let Self {
            format_name,
            format_version,
            replica_id,
        } = self;
        if format_name != FORMAT_NAME || *format_version != FORMAT_VERSION {
            return Err(Error::refused(format!(
                "the data folder has format {format_name} {format_version}"
            )));
        }
        if *replica_id != id {
            return Err(Error::refused(format!(
                "the data folder belongs to replica {replica_id}, not {id}"
            )));
        }
        Ok(())
    }
}

/// `StoredIdentity` is what a data folder tells about its replica before it is
/// opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredIdentity {
    /// Id of the replica.
    pub replica_id: ReplicaId,
    /// Whether the folder names the voters of the group. Folders of a former version
    /// do not if their process ended between their first two files.
    pub knows_voters: bool,
}

/// Reads the identity, `None` if the folder has none.
///
/// # Errors
/// `Io` if it cannot be read, `Corrupt` if it is damaged.
pub(crate) fn read<F: Files>(files: &mut F) -> Result<Option<Identity>> {
    let Some(bytes) = files.read(IDENTITY_FILE)? else {
        return Ok(None);
    };
    codec::decode(record::parse_single(IDENTITY_FILE, &bytes)?).map(Some)
}

/// Checks that a folder without an identity contains only the files that an
/// interrupted first opening leaves behind.
pub(crate) fn check_unused(names: &[String]) -> Result<()> {
    let created = [LOG_FILE, INITIAL_VOTERS_FILE, IDENTITY_FILE];
    let is_expected = |name: &&String| {
        let file = name.strip_suffix(NEW_SUFFIX).unwrap_or(name);
        *name == LOCK_FILE || created.contains(&file)
    };
    let unexpected = names.iter().find(|name| !is_expected(name));
    match unexpected {
        None => Ok(()),
        Some(name) => Err(Error::refused(format!(
            "the data folder has no identity but contains {name}"
        ))),
    }
}
