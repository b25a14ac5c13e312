//! Replicated configuration, audit trail and request claims.
//!
//! [`Replica`] is a Raft state machine without I/O: [`Replica::step`] takes an
//! input and the time and returns actions for the caller. [`DiskStorage`] makes
//! the state of a replica durable. The design is in `docs/design.md`,
//! sections 8 and 9.
//!
//! # Replica ids
//!
//! A replica that lost its votes or log entries must never vote again under
//! the same id. The caller chooses ids as follows:
//!
//! - [`DiskStorage::identity`] returns the id of a folder that was used before.
//!   The caller uses this id and ignores the one in its settings.
//! - A folder without an identity gets an id from the settings only when an
//!   operator forms a new group; this id is in
//!   [`ReplicaOptions::initial_voters`].
//! - In every other case, for example after a lost disk, the caller draws a new
//!   random id that no replica has had. It is in no list of initial voters, so
//!   the replica is a learner: it neither votes nor campaigns. The operator
//!   removes the old id and adds the new one by two `Members` commands.
//!
//! The options of a learner name the current members as `initial_voters`. The
//! learner announces itself to them, and the leader sends it the log.

#![forbid(unsafe_code)]

mod batch;
mod claims;
mod codec;
mod command;
mod election;
mod files;
mod identity;
mod io;
mod log;
mod membership;
mod persist;
mod progress;
mod reads;
mod record;
mod repair;
mod replica;
mod replication;
mod snapshot;
mod snapshot_transfer;
mod state;
mod storage;

pub use claims::CLAIM_CLOCK_SKEW_MARGIN_MS;
pub use command::{
    ChangeCommand, ChangeResult, ClaimCommand, ClaimResult, Command, CommandResult,
    EvacuateCommand, MembersCommand, PublishCommand, PublishResult,
};
pub use files::{Files, FolderFiles};
pub use identity::StoredIdentity;
pub use io::{
    Entry, HardState, Message, PersistId, PersistRequest, ProposalId, ProposalOutcome, ReadId,
    Refusal, ReplicaInput, ReplicaOptions, ReplicaOutput, SnapshotData, SnapshotPart,
};
pub use log::MAX_ENTRY_BYTES;
pub use repair::{RepairOptions, host_of};
pub use replica::Replica;
pub use state::{
    ControlState, MAX_AUDIT_ENTRIES, MAX_CHANGE_RESULTS, MAX_EARLIER_CONFIGURATIONS,
    PublishedDocument,
};
pub use storage::{DiskStorage, RecoveredState};
