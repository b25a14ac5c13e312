//! Stand-in backend server for tests, measurements and the embedded mode.
//!
//! It announces itself, holds slots and connections, runs tasks of a given
//! length, fails, stalls and leaves on demand, and records every start.

#![forbid(unsafe_code)]

mod announce;
mod board;
mod chance;
mod exchange;
mod options;
mod server;

pub use options::{FaultPlan, StandinOptions, StartRecord};
pub use server::StandinServer;
