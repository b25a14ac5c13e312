//! Types shared by all crates of hornbeamcourse.
//!
//! This crate holds identifiers, findings, errors, the JSON types of the HTTP
//! interfaces, the configuration and the numbered log events. It does no I/O.
//! The roles of the types are described in `docs/design.md`.

#![forbid(unsafe_code)]

pub mod api;
pub mod config;
pub mod error;
pub mod evacuation;
pub mod event;
pub mod finding;
pub mod ids;

pub use error::{Error, Result};
pub use finding::{Finding, Findings, Place};
