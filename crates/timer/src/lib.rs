//! Timer service: the one source of time of a process.
//!
//! Parts subscribe to it for periodic ticks or single wake-ups and read the
//! monotonic time from it, so that a test can drive all of them by hand. See
//! "Life cycles" in `docs/design.md`.

#![forbid(unsafe_code)]

mod clock;
mod service;

pub use clock::{Clock, ManualClock, SystemClock};
pub use service::{Ticks, TimerService};
