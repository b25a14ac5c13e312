//! Inputs and outputs of the decision logic.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::evacuation::EvacuationList;
use hornbeam_core::event::Event;
use hornbeam_core::ids::{HostId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::extension::BatchExtension;
use crate::fencing::FencingToken;
use crate::job::{JobKey, JobOutcome, RunId, Submission};
use crate::loss_reports::LossReport;
use crate::peer_messages::PeerBatch;
use crate::queues::QueueTable;
use crate::report::WorkerReport;
use crate::worker::WorkerKey;

/// `CallId` identifies a call of a caller that waits for an answer.
pub type CallId = u64;

/// `ReportId` identifies a status report that waits for an answer.
pub type ReportId = u64;

/// `FleetInput` is an event that [`crate::Fleet`] handles.
#[derive(Clone, Debug)]
pub enum FleetInput {
    /// Time has passed.
    Tick,
    /// A newer configuration is in force.
    Queues(Arc<QueueTable>),
    /// A list of evacuated failure domains from a control host.
    Evacuations(EvacuationList),
    /// A caller submitted a job and waits for its end.
    Submitted(CallId, Submission),
    /// The caller no longer waits for the answer.
    CallerDisconnected(CallId, JobKey),
    /// A status report of unknown age arrived, relayed by a host of a former
    /// version.
    Reported(ReportId, WorkerReport),
    /// A status report of a worker arrived, directly or relayed by another host,
    /// with the worker's clock in ms when it was sent.
    ReportedAt(ReportId, WorkerReport, u64),
    /// As `ReportedAt`, with the time in ms for which the worker still expects to
    /// be slow. Only a report that arrives directly has it: relayed ones come from
    /// workers that are new to this host, which report directly from then on.
    ReportedCold(ReportId, WorkerReport, u64, u64),
    /// A worker announced that it has left.
    Departed(WorkerId),
    /// A start request was answered or failed.
    StartRequestEnded(WorkerKey, RunId, StartOutcome),
    /// A stop request was answered or failed.
    StopRequestEnded(WorkerKey, RunId, StopOutcome),
    /// A poll was answered or failed.
    PollEnded(WorkerKey, PollOutcome),
    /// A probe was answered or failed.
    ProbeEnded(WorkerKey, PollOutcome),
    /// A batch of messages from a peer arrived, with the extension of the status
    /// in it.
    Batch(PeerBatch, Option<BatchExtension>),
    /// The batch in flight to a peer ended; true if the peer accepted it.
    BatchEnded(HostId, bool),
    /// Another host reported runs that were lost with their workers.
    LossesReported(LossReport),
    /// A report of losses of a job to another host ended; true if that host
    /// accepted it.
    LossReportEnded(HostId, JobKey, bool),
    /// Every connection has been read since [`FleetOutput::ReadInputs`] with this
    /// number, and the inputs that this gave came before.
    InputsRead(u64),
    /// The other entry hosts that are currently known.
    Peers(Vec<PeerInfo>),
    /// The process was asked to shut down.
    Drain,
}

/// `FleetOutput` is an action for the surrounding process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetOutput {
    /// Answer a caller.
    Answer(CallId, JobOutcome),
    /// Answer a status report.
    AnswerReport(ReportId, ReportAnswer),
    /// Send a start request; its outcome comes back as
    /// [`FleetInput::StartRequestEnded`].
    Start(StartRequest),
    /// Send a stop request; its outcome comes back as
    /// [`FleetInput::StopRequestEnded`].
    Stop(StopRequest),
    /// Poll a worker; the outcome comes back as [`FleetInput::PollEnded`].
    Poll(PollRequest),
    /// Poll a worker without waiting, while another poll may be in flight; the
    /// outcome comes back as [`FleetInput::ProbeEnded`].
    Probe(PollRequest),
    /// Send a batch to a peer at an address, with the extension of the status in
    /// it; its end comes back as [`FleetInput::BatchEnded`].
    SendBatch(HostId, SocketAddr, PeerBatch, Option<BatchExtension>),
    /// Report losses to another host at an address; the end comes back as
    /// [`FleetInput::LossReportEnded`].
    ReportLosses(HostId, SocketAddr, LossReport),
    /// Read every connection, then report [`FleetInput::InputsRead`] with this number.
    ReadInputs(u64),
    /// Close the idle connections to a worker, so that the next request opens a
    /// new one.
    DropConnections(SocketAddr),
    /// Record the times of an ended job in the metrics.
    RecordTimes(JobTimes),
    /// Write a log event about a subject.
    Log(Event, Subject, String),
}

/// `JobTimes` holds the times of an ended job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobTimes {
    /// Name of the queue.
    pub queue: String,
    /// Outcome of the job.
    pub outcome: JobOutcome,
    /// Time from arrival to end.
    pub total: Duration,
    /// Time from arrival to the first start request, if there was one.
    pub to_first_start: Option<Duration>,
    /// Time by which the job exceeded its objective.
    pub over_objective: Duration,
}

/// `Subject` is what a log event is about. It becomes a field of the log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// This host.
    Host,
    /// A job.
    Job(JobKey),
    /// A run of a task.
    Run(RunId),
    /// A worker.
    Worker(WorkerId),
    /// Another entry host.
    Peer(HostId),
}

/// `PeerInfo` identifies another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerInfo {
    /// Id of the host.
    pub host_id: HostId,
    /// Link address of the host.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: String,
}

/// `ReportAnswer` is the answer to a status report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportAnswer {
    /// This host owns the worker and has recorded the report.
    Taken,
    /// The host at this link address owns the worker and received the report.
    Moved(SocketAddr),
    /// No host recorded the report; the worker must report to another host.
    Declined,
}

/// `WorkerTarget` is the destination of a request to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerTarget {
    /// Ownership for which the request is sent; it is returned with the
    /// outcome.
    pub worker_key: WorkerKey,
    /// Address at which the worker accepts requests.
    pub address: SocketAddr,
    /// Id of the intended worker.
    pub worker_id: WorkerId,
    /// Fencing token of the owner.
    pub fencing_token: FencingToken,
}

/// `StartRequest` starts a run of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartRequest {
    /// The worker.
    pub target: WorkerTarget,
    /// The run.
    pub run: RunId,
    /// Description of the work.
    pub spec: Arc<str>,
    /// Lease expiry on the worker's clock.
    pub lease_end_ms: u64,
    /// Time within which an answer is expected.
    pub timeout: Duration,
}

/// `StopRequest` stops a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopRequest {
    /// The worker.
    pub target: WorkerTarget,
    /// The run.
    pub run: RunId,
    /// Time to wait for the answer.
    pub timeout: Duration,
}

/// `PollRequest` gets a worker's active and ended runs and may extend its
/// lease.
#[derive(Clone, Debug, PartialEq)]
pub struct PollRequest {
    /// The worker.
    pub target: WorkerTarget,
    /// New lease expiry on the worker's clock; `None` does not extend the
    /// lease.
    pub lease_end_ms: Option<u64>,
    /// Ended runs up to this sequence number have been processed; the worker
    /// may discard them.
    pub acknowledged: u64,
    /// Time for which the worker waits for a run to end before it answers.
    pub wait: Duration,
}

/// `StartOutcome` is the outcome of a start request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run exists on the worker; holds the worker's clock.
    Accepted(u64),
    /// The worker rejected the request and started nothing.
    Refused(StartRefusal),
    /// The request was certainly not delivered.
    NotSent,
    /// The request may or may not have been delivered.
    Unanswered,
}

/// `StartRefusal` is the reason why a worker did not start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This run or a later one of the task is already known there.
    StaleAttempt,
    /// The lease expiry of the request has passed.
    LeaseExpired,
    /// Not enough free resources.
    InsufficientResources,
    /// The worker is not healthy.
    Unhealthy,
    /// Another incarnation runs at the address.
    OtherIncarnation,
    /// The worker could not parse the request.
    Malformed,
}

/// `StopOutcome` is the outcome of a stop request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// The run ends, or will never start.
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another incarnation runs at the address.
    OtherIncarnation,
    /// The outcome is unknown.
    Unanswered,
}

/// `PollOutcome` is the outcome of a poll or a probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PollOutcome {
    /// The worker answered.
    Answered(PollResponse),
    /// The worker has seen a higher fencing token; holds the worker's clock if the
    /// worker reports it.
    Fenced(Option<u64>),
    /// Another incarnation runs at the address.
    OtherIncarnation,
    /// No usable answer arrived.
    Unanswered,
    /// Nothing listens at the worker's address.
    ConnectionRefused,
}

/// `PollResponse` is the answer of a worker to a poll.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PollResponse {
    /// Clock of the worker.
    pub clock_ms: u64,
    /// Start time of the worker's incarnation, if the worker reports it.
    pub born_unix_ms: Option<u64>,
    /// Active runs.
    pub running: Vec<RunProgress>,
    /// Ended runs that have not been acknowledged.
    pub ended: Vec<EndedRun>,
}

/// `RunProgress` is a run that a worker lists as active.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunProgress {
    /// The run.
    pub run: RunId,
    /// Completed share of the work, in percent.
    pub done_percent: u32,
}

/// `EndedRun` is a run that a worker lists as ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Sequence number of the end within the incarnation.
    pub sequence: u64,
    /// The run; `None` if its name does not belong to this system.
    pub run: Option<RunId>,
    /// How it ended.
    pub end: RunEnd,
}

/// `RunEnd` is the way in which a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// With a result.
    Done,
    /// Failed because of the task or the worker.
    Failed,
    /// Stopped, or lost because its lease expired or its worker is gone.
    Lost,
}
