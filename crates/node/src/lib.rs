//! Entry host and control host: the I/O around the decisions.
//!
//! [`EntryHost`] drives `hornbeam-dispatch`, [`ControlHost`] drives
//! `hornbeam-control`. Both serve HTTP and links; see `docs/design.md`,
//! sections 5 and 14.

#![forbid(unsafe_code)]

mod config_watch;
pub mod control;
mod credential;
pub mod entry;
mod lifecycle;
mod link_server;
mod metrics;
mod reply;
mod wire;

pub use control::{ControlHost, ControlOptions};
pub use entry::{EntryHost, EntryOptions};
pub use wire::{ApplyAnswer, MembersAnswer, Request, RequestAnswer};
