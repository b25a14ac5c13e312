//! Inputs and outputs of the dispatcher, and the messages between entry hosts
//! that carry parts of them.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::api::backend::{
    AnnounceAnswer, Announcement, CancelAnswer, CancelRequest, CancelStatus, TaskBatch,
    TaskBatchAnswer, Withdrawal,
};
use hornbeam_core::api::caller::{Reason, SubmitAnswer, SubmitRequest, TaskResult, TaskSpec};
use hornbeam_core::config::Configuration;
use hornbeam_core::event::Event;
use hornbeam_core::ids::{
    ChunkId, ClaimKey, ConfigVersion, ExchangeId, FailureDomainId, HostId, InstitutionId, JobId,
    ServerId, ServiceId, TaskIndex, TeamId,
};
use serde::{Deserialize, Serialize};

/// `CancelId` identifies one cancel query to a backend server.
pub type CancelId = u64;

/// `DispatchInput` is an event that the dispatcher handles.
#[derive(Clone, Debug)]
pub enum DispatchInput {
    /// Time has passed. The dispatcher runs the timers that are due.
    Tick,
    /// A newer configuration is in force.
    ConfigInForce(ConfigVersion, Arc<Configuration>),
    /// A backend server announced itself or renewed its lease. Answered by
    /// [`DispatchOutput::AnswerAnnouncement`] in the same step.
    Announced(Announcement),
    /// A backend server withdrew.
    Withdrawn(Withdrawal),
    /// A caller submitted a job. The format of the body has been validated; what
    /// depends on the configuration is validated by the dispatcher.
    Submitted(JobId, Arc<SubmitRequest>),
    /// The caller of a job disconnected or cancelled it.
    CallerCancelled(JobId),
    /// A [`DispatchOutput::RecordClaim`] completed.
    ClaimEnded(JobId, ClaimOutcome),
    /// A [`DispatchOutput::SendBatch`] completed.
    ExchangeEnded(ExchangeId, ExchangeOutcome),
    /// A [`DispatchOutput::SendCancel`] completed; `None` if it was not answered.
    CancelEnded(CancelId, Option<CancelAnswer>),
    /// A peer entry host sent its status.
    PeerStatusReceived(PeerStatus),
    /// A peer forwarded a chunk. Answered once, in this or a later step, by
    /// [`DispatchOutput::AnswerChunk`].
    ChunkReceived(Chunk),
    /// A peer cancels a chunk that it forwarded. Answered in the same step by
    /// [`DispatchOutput::AnswerChunkCancel`].
    ChunkCancelReceived(HostId, ChunkId),
    /// A [`DispatchOutput::SendChunk`] completed.
    ChunkEnded(ChunkId, ChunkOutcome),
    /// A [`DispatchOutput::SendChunkCancel`] completed; `None` if it was not
    /// answered.
    ChunkCancelEnded(ChunkId, Option<Vec<ChunkTaskCancelStatus>>),
    /// This host starts draining.
    DrainStarted,
}

/// `DispatchOutput` is an action that the event loop around the dispatcher must
/// execute.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchOutput {
    /// Answer the announcement of this step.
    AnswerAnnouncement(AnnounceAnswer),
    /// Answer a caller; the job has ended.
    AnswerJob(JobId, SubmitAnswer),
    /// Record a claim for a request that is not repeatable.
    RecordClaim {
        /// Job that waits for the claim; also identifies the claim's owner.
        job_id: JobId,
        /// Request to claim.
        claim_key: ClaimKey,
        /// When the claim may be removed, in ms since the Unix epoch.
        valid_until_unix_ms: u64,
        /// After this time the claim counts as unavailable.
        timeout: Duration,
    },
    /// Send tasks to a backend server.
    SendBatch {
        /// Id that the matching [`DispatchInput::ExchangeEnded`] carries.
        exchange: ExchangeId,
        /// Server to send to; selects the pooled connection.
        server_id: ServerId,
        /// Its address as `ip:port`.
        address: String,
        /// The request body.
        batch: TaskBatch,
        /// After this time the exchange counts as unanswered.
        timeout: Duration,
    },
    /// Cancel tasks at a backend server on a new connection.
    SendCancel {
        /// Id that the matching [`DispatchInput::CancelEnded`] carries.
        cancel: CancelId,
        /// Its address as `ip:port`.
        address: String,
        /// The request body.
        request: CancelRequest,
        /// After this time the query counts as unanswered.
        timeout: Duration,
    },
    /// Close the pooled connections to a backend server's address.
    DropConnections(String),
    /// Forward a chunk to a peer.
    SendChunk {
        /// Peer to send to.
        peer: HostId,
        /// The chunk.
        chunk: Chunk,
        /// After this time the chunk counts as unanswered.
        timeout: Duration,
    },
    /// Cancel a chunk at a peer on a new connection.
    SendChunkCancel {
        /// Peer to send to.
        peer: HostId,
        /// Chunk to cancel.
        chunk_id: ChunkId,
        /// After this time the query counts as unanswered.
        timeout: Duration,
    },
    /// Answer a chunk that a peer forwarded.
    AnswerChunk {
        /// Peer that forwarded it.
        peer: HostId,
        /// Id that the peer gave the chunk.
        chunk_id: ChunkId,
        /// The answer.
        answer: ChunkAnswer,
    },
    /// Answer the chunk cancellation of this step.
    AnswerChunkCancel(Vec<ChunkTaskCancelStatus>),
    /// Send this host's status to its peers now.
    SendStatus,
    /// Write a log event.
    Log(Event, String),
    /// The drain is complete: no job and no exchange is in progress.
    Drained,
}

/// `ExchangeOutcome` is the outcome of an exchange with a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeOutcome {
    /// A well-formed answer arrived.
    Answered(TaskBatchAnswer),
    /// The request was certainly not sent.
    NotSent(String),
    /// No valid answer arrived; the tasks may have started.
    Unanswered(String),
}

/// `ClaimOutcome` is the outcome of recording a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The claim is durable on a quorum.
    Recorded,
    /// Another job holds a claim on this request id.
    AlreadyClaimed,
    /// The request is no longer valid.
    Expired,
    /// No quorum answered in time; the claim may have been recorded.
    Unavailable,
}

/// `Chunk` is a group of tasks of one job that an entry host forwards to a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Chunk {
    /// Entry host that forwards the chunk.
    pub from: HostId,
    /// Id that this host gave the chunk.
    pub chunk_id: ChunkId,
    /// Job of the tasks.
    pub job_id: JobId,
    /// Institution of the job.
    pub institution: InstitutionId,
    /// Team of the job.
    pub team: TeamId,
    /// Service of the job.
    pub service: ServiceId,
    /// Time left until the job's deadline, in ms.
    pub remaining_ms: u64,
    /// Tasks.
    pub tasks: Vec<ChunkTask>,
}

/// `ChunkTask` is one task of a [`Chunk`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ChunkTask {
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// The task.
    pub spec: TaskSpec,
}

/// `ChunkAnswer` answers a [`Chunk`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChunkAnswer {
    /// Every task finished successfully.
    Complete(Vec<TaskResult>),
    /// A task failed or its outcome is unknown; the others are cancelled.
    Failed(Reason, String),
    /// No task of the chunk started or will start.
    NotStarted(String),
}

/// `ChunkTaskCancelStatus` says whether one task of a cancelled chunk started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ChunkTaskCancelStatus {
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// Whether it started.
    pub fate: CancelStatus,
}

/// `ChunkOutcome` is the outcome of forwarding a chunk.
#[derive(Clone, Debug, PartialEq)]
pub enum ChunkOutcome {
    /// The peer answered.
    Answered(ChunkAnswer),
    /// The chunk was certainly not sent.
    NotSent(String),
    /// No answer arrived; tasks may have started.
    Unanswered(String),
}

/// `PeerStatus` is the status that entry hosts send each other 4 times a
/// second, and immediately on [`DispatchOutput::SendStatus`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerStatus {
    /// Host that reports.
    pub host_id: HostId,
    /// Number that increases with each status of the host, so that a delayed
    /// status does not replace a newer one.
    pub sequence: u64,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// HTTP address for backend servers, as `ip:port`.
    pub http_address: String,
    /// Address for links between the system's own processes.
    pub link_address: String,
    /// Configuration version in force there.
    pub config_version: ConfigVersion,
    /// Whether it is draining.
    pub draining: bool,
    /// Number of backend servers that lease their slots to the host.
    pub servers: u32,
    /// Load by service.
    pub services: Vec<ServiceLoad>,
    /// Limits of the teams whose limit differs from half of the host's share.
    pub team_limits: Vec<TeamLimit>,
}

/// `TeamLimit` is the part of a team's quota that one entry host may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TeamLimit {
    /// Institution of the team.
    pub institution: InstitutionId,
    /// Team.
    pub team: TeamId,
    /// Slots that the host may use concurrently for the team, or the slots in
    /// use if there are more.
    pub limit_slots: u32,
}

/// `ServiceLoad` is the load of one service at one entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ServiceLoad {
    /// Service.
    pub service: ServiceId,
    /// Slots that run no task.
    pub free_slots: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Tasks that wait for a slot.
    pub queued_tasks: u32,
}
