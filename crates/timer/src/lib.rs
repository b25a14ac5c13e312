//! Timer service: the only source of time in a process.
//!
//! Components use it for periodic ticks, single wake-ups and the monotonic
//! time, so that a test can control the time of all of them. See "Life cycles"
//! in `docs/design.md`.

#![forbid(unsafe_code)]

mod clock;
mod service;

pub use clock::{Clock, ManualClock, SystemClock};
pub use service::{Ticks, TimerService};
