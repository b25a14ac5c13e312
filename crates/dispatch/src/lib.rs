//! Pure dispatch decisions of an entry host.
//!
//! [`Dispatcher::step`] takes one event and the time and returns what to do;
//! it does no I/O and reads no clock. The design is in `docs/design.md`,
//! sections 6, 7 and 10.

#![forbid(unsafe_code)]

mod admission;
mod borrowing;
mod cancels;
mod charts;
mod chunks_received;
mod chunks_sent;
mod claims;
mod completion;
mod dispatcher;
mod drain;
mod ejection;
mod estimate;
mod exchanges;
mod fair_queue;
mod io;
mod job;
mod keys;
mod leases;
mod options;
mod peers;
mod placement;
mod pool;
mod queueing;
mod quota;
mod request_checks;
mod retries;
mod retry_budget;
mod scheduling;
mod sending;
mod server;
mod status;
mod timers;
mod waits;

pub use dispatcher::Dispatcher;
pub use io::{
    CancelId, Chunk, ChunkAnswer, ChunkOutcome, ChunkTask, ChunkTaskCancelStatus, ClaimOutcome,
    DispatchInput, DispatchOutput, ExchangeOutcome, PeerStatus, ServiceLoad, TeamLimit,
};
pub use leases::MAX_SERVERS;
pub use options::{DispatchOptions, PlacementPolicy};
