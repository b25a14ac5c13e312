//! Replicated configuration, audit trail and request claims.
//!
//! [`Replica::step`] is pure: events and the time in, actions out. [`DiskLog`]
//! keeps what a replica must remember. The design is in `docs/design.md`,
//! sections 8 and 9.

#![forbid(unsafe_code)]

mod command;
mod disk;
mod io;
mod replica;
mod state;

pub use command::{ChangeCommand, ChangeResult, ClaimCommand, ClaimResult, Command, CommandResult};
pub use disk::{DiskLog, Recovered};
pub use io::{
    Entry, HardState, Message, PersistId, PersistRequest, ProposalEnd, ProposalId, ReadId,
    ReplicaInput, ReplicaOptions, ReplicaOutput, SnapshotData,
};
pub use replica::Replica;
pub use state::ControlState;
