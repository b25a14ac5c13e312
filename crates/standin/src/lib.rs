//! Stand-in backend server for tests, measurements and the embedded mode.
//!
//! It announces itself, holds slots and connections, runs tasks of a given
//! length, fails, stalls and leaves on demand, and records every start.

#![forbid(unsafe_code)]

mod server;

pub use server::{FaultPlan, StandinOptions, StandinServer, StartRecord};
