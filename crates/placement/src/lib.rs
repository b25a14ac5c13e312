//! Decisions on where tasks run when workers run them at different paces.
//!
//! The load that they answer: workers of one service differ so much that a task
//! on a slow one misses an objective that it would meet on a fast one, while the
//! fast ones cannot take all tasks. The crate does no I/O and reads no clock;
//! the design is in `docs/design/pace.md`.

#![forbid(unsafe_code)]

mod choice;
mod pace;
mod relocation;

pub use choice::{FastCapacity, PaceNeed, PaceRank};
pub use pace::{MachineType, Pace, PaceTable};
pub use relocation::RunOutlook;
