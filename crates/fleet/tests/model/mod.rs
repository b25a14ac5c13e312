//! Model of a site of entry hosts, control hosts, guarded workers and callers, in
//! one thread and on one clock. A schedule decides which messages are late, lost
//! or repeated; the site is checked from what workers and callers see.

// Justification: not every test file that includes the model uses all of it.
#![allow(dead_code)]

mod callers;
mod hosts;
pub mod network;
mod reports;
pub mod schedule;
pub mod site;
mod worker;
mod workers;

/// `Millis` is a time or a duration of the model.
pub type Millis = u64;
