//! Interpreter for state charts that are defined in TOML files.
//!
//! A chart file lists states, the initial state, final states and
//! transitions. [`Chart::parse`] reports every problem with file, line and
//! column; [`StateMachine`] binds a chart to a pair of Rust enums. See "Life
//! cycles" in `docs/design.md`.

#![forbid(unsafe_code)]

mod chart;
mod state_machine;

pub use chart::{Chart, Transition};
pub use state_machine::{ChartDomain, StateMachine};
