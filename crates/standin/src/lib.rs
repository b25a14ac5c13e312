//! Stand-in backend server for tests, measurements and `hornbeam demo`.
//!
//! It announces itself, limits slots and connections, simulates tasks of a given
//! length, injects faults, leaves on demand, and records every task start.

#![forbid(unsafe_code)]

mod announce;
mod exchange;
mod faults;
mod options;
mod server;
mod task_table;

pub use options::{FaultPlan, StandinOptions, StartRecord};
pub use server::StandinServer;
