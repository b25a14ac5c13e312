//! Pure dispatch decisions of an entry host.
//!
//! [`Dispatcher::step`] takes one event and the time and returns what to do;
//! it does no I/O and reads no clock. The design is in `docs/design.md`,
//! sections 6, 7 and 10.

#![forbid(unsafe_code)]

mod dispatcher;
mod io;
mod options;

pub use dispatcher::Dispatcher;
pub use io::{
    CancelId, Chunk, ChunkAnswer, ChunkEnd, ChunkFate, ChunkTask, ClaimEnd, DispatchInput,
    DispatchOutput, ExchangeEnd, PeerStatus, ServiceLoad,
};
pub use options::{DispatchOptions, PlacementPolicy};
