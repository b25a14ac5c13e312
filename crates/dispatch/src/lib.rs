//! Dispatch logic of an entry host, as a deterministic state machine.
//!
//! [`Dispatcher::step`] takes one input and the current time and returns the
//! actions to carry out. It does no I/O and reads no clock. The design is in
//! `docs/design.md`, sections 6, 7 and 10.

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
mod retries;
mod retry_budget;
mod run_time_estimate;
mod scheduling;
mod sending;
mod server;
mod status;
mod timers;
mod validation;
mod wait_estimate;

pub use dispatcher::Dispatcher;
pub use io::{
    CancelId, Chunk, ChunkAnswer, ChunkOutcome, ChunkTask, ChunkTaskCancelStatus, ClaimOutcome,
    DispatchInput, DispatchOutput, ExchangeOutcome, PeerStatus, ServiceLoad, TeamLimit,
};
pub use leases::MAX_SERVERS;
pub use options::{DispatchOptions, PlacementPolicy};
