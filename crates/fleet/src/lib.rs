//! Decision logic of an entry host that runs jobs on guarded workers.
//!
//! [`Fleet::step`] takes one event and the current time and returns the actions
//! to carry out. It does no I/O and reads no clock. The design is in
//! `docs/platform.md`.

#![forbid(unsafe_code)]

mod admission;
mod draining;
mod evacuation;
mod extension;
mod fencing;
mod fleet;
mod interference;
mod io;
mod job;
mod lease;
mod loss_log;
mod loss_reports;
mod neighbours;
mod options;
mod ownership;
mod pace;
mod pauses;
mod peer;
mod peer_messages;
mod peer_tasks;
mod peering;
mod placement;
mod polls;
mod probes;
mod queues;
mod report;
mod report_answers;
mod resources;
mod restarts;
mod run_losses;
mod run_times;
mod runs;
mod scheduling;
mod starts;
mod stragglers;
mod suspects;
mod verification;
mod wait_estimate;
mod work_estimate;
mod worker;

pub use extension::{
    BatchExtension, ExtensionEntry, MAX_EXTENSION_BYTES, TAG_INTERFERENCE, TAG_PACE,
    TAG_QUEUED_WORK, decode_entry, encode_entry,
};
pub use fencing::FencingToken;
pub use fleet::Fleet;
pub use io::{
    CallId, EndedRun, FleetInput, FleetOutput, JobTimes, PeerInfo, PollOutcome, PollRequest,
    PollResponse, ReportAnswer, ReportId, RunEnd, RunProgress, StartOutcome, StartRefusal,
    StartRequest, StopOutcome, StopRequest, Subject, WorkerTarget,
};
pub use job::{JobKey, JobOutcome, NotRun, RunId, Submission};
pub use loss_log::{LossEvidence, RunLoss};
pub use loss_reports::LossReport;
pub use options::{FleetOptions, SchedulingOptions};
pub use peer_messages::{BatchTime, ChunkTask, PeerBatch, PeerMessage, PeerStatus, TaskChunk};
pub use queues::{Limits, Queue, QueueTable, ServiceSettings};
pub use report::WorkerReport;
pub use resources::{Resources, ServiceResources};
pub use worker::WorkerKey;
