//! Learning which queues slow each other down on a worker, and a preference that
//! keeps their tasks apart.
//!
//! The load that it addresses: about 80 runs a second on some 10 workers of an
//! entry host with 0.1 of a core, two to ten runs on a worker at a time,
//! declared run times that are off by 40 percent, and factors that change within
//! seconds to minutes. It reads no clock and does no I/O. The design is in
//! `docs/design/interference.md`.

#![forbid(unsafe_code)]

mod estimate;
mod groups;
mod overlap;
mod summary;
mod table;

pub use groups::{QueueGroups, QueueId, TaskShape};
pub use overlap::{Overlaps, RunOverlap};
pub use summary::{InterferenceSummary, MAX_SUMMARY_PAIRS, PairSummary};
pub use table::{InterferenceTable, Neighbour, Newcomer, Observation, PairChange, PairFactor};

/// Largest number of queues that are told apart, the number of teams at the
/// target size.
pub const MAX_QUEUES: usize = 720;
