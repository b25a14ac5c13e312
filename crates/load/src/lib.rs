//! Open-loop load tool: submits jobs at scheduled start times and reports
//! response time over ideal and outcomes. See `docs/design.md`, section 4.

#![forbid(unsafe_code)]

mod run;

pub use run::{LoadOptions, LoadReport, compare, run};
