//! Pure decisions of an entry host that runs jobs on guarded workers.
//!
//! [`Fleet::step`] takes one event and the time and returns what to do; it
//! does no I/O and reads no clock. The design is in `docs/platform.md`.

#![forbid(unsafe_code)]

mod admission;
mod checks;
mod draining;
mod estimates;
mod fencing;
mod fleet;
mod guests;
mod io;
mod job;
mod lease;
mod looks;
mod neighbours;
mod options;
mod ownership;
mod peer;
mod peering;
mod placement;
mod queues;
mod report;
mod room;
mod runs;
mod scheduling;
mod starts;
mod stragglers;
mod waits;
mod worker;

pub use fencing::FencingToken;
pub use fleet::Fleet;
pub use io::{
    CallId, EndedRun, FleetInput, FleetOutput, JobTimes, PeerInfo, PollOutcome, PollRequest,
    PollResponse, ReportAnswer, ReportId, RunEnd, RunProgress, StartOutcome, StartRefusal,
    StartRequest, StopOutcome, StopRequest, Subject, WorkerTarget,
};
pub use job::{JobKey, JobOutcome, NotRun, RunId, Submission};
pub use options::FleetOptions;
pub use peer::{BatchTime, ChunkTask, PeerBatch, PeerMessage, PeerStatus, TaskChunk};
pub use queues::{Limits, Queue, QueueTable, ServiceSettings};
pub use report::WorkerReport;
pub use room::{Resources, ServiceResources};
pub use worker::WorkerKey;
