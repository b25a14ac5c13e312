//! Open-loop load generator. It submits jobs at scheduled times and reports their
//! outcomes and the ratio of response time to ideal response time. See
//! `docs/design.md`, section 4.

#![forbid(unsafe_code)]

mod classify;
mod messages;
mod options;
mod report;
mod run;
mod schedule;

pub use options::LoadOptions;
pub use report::{LoadReport, compare};
pub use run::run;
