//! Open-loop load tool: submits jobs at scheduled start times and reports
//! response time over ideal and outcomes. See `docs/design.md`, section 4.

#![forbid(unsafe_code)]

mod check;
mod messages;
mod options;
mod report;
mod run;
mod schedule;

pub use options::LoadOptions;
pub use report::{LoadReport, compare};
pub use run::run;
