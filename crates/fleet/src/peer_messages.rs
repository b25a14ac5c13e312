//! Messages between entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_core::ids::{ConfigVersion, FailureDomainId, HostId, ServiceId, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::fencing::FencingToken;
use crate::io::RunEnd;
use crate::job::{JobKey, RunId};
use crate::report::WorkerReport;
use crate::resources::{Resources, ServiceResources};

/// `BatchTime` is the time at which a process sent a batch, by its own clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct BatchTime {
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Monotonic time of the process, in ms.
    pub sent_ms: u64,
}

/// `PeerBatch` is a group of messages that is delivered as a whole or not at
/// all.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerBatch {
    /// Host that sends the batch.
    pub from: HostId,
    /// Link address of that host.
    pub address: SocketAddr,
    /// Failure domain of that host.
    pub failure_domain: FailureDomainId,
    /// Time at which the batch was sent.
    pub time: BatchTime,
    /// Time by the receiver's clock at or after which this batch was sent: that of
    /// the newest batch from the receiver, and the time since its arrival. It bounds
    /// the transit time of this batch. Runs that the sender wanted to stop by then
    /// are in this batch or an earlier one.
    pub echo: Option<BatchTime>,
    /// Sequence number of the batch from that process to this peer, from 1. A
    /// batch without an answer is retransmitted under the same number.
    pub sequence: u64,
    /// Messages, oldest first.
    pub messages: Vec<PeerMessage>,
}

/// `PeerMessage` is a message from one entry host to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// State of the sending host.
    Status(PeerStatus),
    /// Tasks to run.
    Run(TaskChunk),
    /// Runs that were not started because resources were not available.
    Refused(Vec<RunId>),
    /// End of a run, with the time that it took in ms.
    Ended(RunId, RunEnd, u64),
    /// Runs to stop.
    Stop(Vec<RunId>),
    /// Worker to take over, with the fencing token of its former owner.
    HandOver(WorkerReport, FencingToken),
}

/// `PeerStatus` is the state that a host reports to its peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerStatus {
    /// Free resources by service.
    #[serde(rename = "rooms")]
    pub resources: Vec<ServiceResources>,
    /// Number of tasks that wait for free resources.
    pub waiting: u32,
    /// Number of workers owned.
    pub owned: u32,
    /// Number of owned workers that accept runs now.
    pub serving: u32,
    /// Whether the host is shutting down.
    pub draining: bool,
    /// Version of the configuration in force on the host.
    pub config_version: ConfigVersion,
}

/// `TaskChunk` is a group of tasks of one job for a peer to run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskChunk {
    /// Job of the tasks.
    pub job: JobKey,
    /// Service whose workers run the tasks.
    pub service: ServiceId,
    /// Description of the work.
    pub spec: Arc<str>,
    /// Resources that each task needs.
    pub need: Resources,
    /// Expected run time of a task, in ms.
    pub expected_ms: u64,
    /// Time by which the tasks precede others with the same latest start time,
    /// in ms.
    pub lead_ms: u64,
    /// Time for which the tasks may wait for free resources, in ms.
    pub start_within_ms: u64,
    /// The tasks.
    pub tasks: Vec<ChunkTask>,
}

/// `ChunkTask` is a task of a chunk.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ChunkTask {
    /// Index of the task.
    pub task: TaskIndex,
    /// Attempt number.
    pub attempt: u32,
}

/// Whether a batch has messages about tasks.
pub(crate) fn has_tasks(messages: &[PeerMessage]) -> bool {
    !messages.iter().all(is_status)
}

/// Whether a batch has a status.
pub(crate) fn has_status(messages: &[PeerMessage]) -> bool {
    messages.iter().any(is_status)
}

/// Whether a message is about the end of a run that the receiver has sent.
pub(crate) fn is_outcome(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Ended(..) | PeerMessage::Refused(_))
}

pub(crate) fn is_stop(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Stop(_))
}

pub(crate) fn is_status(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Status(_))
}
