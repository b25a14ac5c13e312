//! Replicated configuration, audit trail and request claims.
//!
//! [`Replica::step`] is pure: events and the time in, actions out. [`DiskStorage`]
//! keeps what a replica must remember. The design is in `docs/design.md`,
//! sections 8 and 9.
//!
//! # Replica ids
//!
//! A replica that forgot its votes or entries must never vote again under the
//! same id. The shell chooses ids as follows:
//!
//! - [`DiskStorage::identity`] gives the id of a folder that was used before. The
//!   shell uses this id, whatever its settings say.
//! - A folder without identity gets an id from the settings only when an
//!   operator forms a new group; this id is in
//!   [`ReplicaOptions::initial_voters`].
//! - In every other case, above all after a lost disk, the shell draws a new
//!   random id that no replica has had. It is in no list of initial voters, so
//!   the replica is a learner: it neither votes nor campaigns. The operator
//!   removes the old id and adds the new one by two `Members` commands.
//!
//! The options of a learner name the present members as `initial_voters`; the
//! learner announces itself to them, and the leader sends it the log.

#![forbid(unsafe_code)]

mod batch;
mod claims;
mod codec;
mod command;
mod disk;
mod election;
mod files;
mod identity;
mod io;
mod log;
mod members;
mod persist;
mod progress;
mod reads;
mod record;
mod repair;
mod replica;
mod replication;
mod snapshot;
mod state;
mod transfer;

pub use claims::CLAIM_MARGIN_MS;
pub use command::{
    ChangeCommand, ChangeResult, ClaimCommand, ClaimResult, Command, CommandResult, MembersCommand,
    PublishCommand, PublishResult,
};
pub use disk::{DiskStorage, RecoveredState};
pub use files::{Files, FolderFiles};
pub use io::{
    Entry, HardState, Message, PersistId, PersistRequest, ProposalId, ProposalOutcome, ReadId,
    Refusal, ReplicaInput, ReplicaOptions, ReplicaOutput, SnapshotData, SnapshotPart,
};
pub use log::MAX_ENTRY_BYTES;
pub use repair::{RepairOptions, host_of};
pub use replica::Replica;
pub use state::{AUDIT_KEPT, CONFIGURATIONS_KEPT, ControlState, PublishedDocument, RESULTS_KEPT};
