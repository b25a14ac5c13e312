//! Decisions on the admission of jobs while callers contend for cores.
//!
//! The load that they answer: overload for seconds, with queues whose tasks
//! differ by 15 times in length and jobs of 1 to 32 tasks. A count of waiting
//! tasks at one mean run time misjudges the wait by that factor. The crate does
//! no I/O and reads no clock; the design is in `docs/design/admission.md`.

#![forbid(unsafe_code)]

mod order;
mod retry;
mod shares;
mod wait;
mod work;

pub use order::{Standing, place_before_new};
pub use retry::{Rejections, retry_after};
pub use shares::Shares;
pub use wait::{EndSpan, JobDemand, LateStart, Supply, check_start};
pub use work::{MAX_PRIORITIES, MeanWork, PeerLine, QueuedWork, Work};
