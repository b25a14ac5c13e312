//! Entry hosts and control hosts: the I/O around the pure state machines.
//!
//! [`EntryHost`] drives `hornbeam-dispatch`, [`FleetEntryHost`] drives
//! `hornbeam-fleet`, [`ControlHost`] drives `hornbeam-control`. All of them
//! serve HTTP and links; see `docs/design.md`, sections 5 and 14.

#![forbid(unsafe_code)]

mod config_watch;
pub mod control;
mod credential;
mod documents;
pub mod entry;
pub mod fleet_entry;
mod fleet_links;
mod host;
mod lifecycle;
mod link_server;
mod metrics;
mod reply;
mod wire;

pub use control::{ControlHost, ControlOptions, FleetControlOptions};
pub use entry::{EntryHost, EntryOptions};
pub use fleet_entry::{BatchLink, FleetEntryHost, FleetEntryOptions};
pub use host::Host;
pub use lifecycle::Lifecycle;
pub use wire::{
    ChangeAnswer, EntryRegistration, MembersAnswer, Membership, MembershipUpdate,
    MembershipVersion, PublishAnswer, Request, RequestAnswer,
};
