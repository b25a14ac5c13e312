//! Inputs and outputs of a fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::{HostId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::fencing::FencingToken;
use crate::job::{JobKey, JobOutcome, RunId, Submission};
use crate::peer::PeerBatch;
use crate::queues::QueueTable;
use crate::report::WorkerReport;
use crate::worker::WorkerKey;

/// `CallId` numbers the calls of callers that wait for an answer.
pub type CallId = u64;

/// `ReportId` numbers the status reports that wait for an answer.
pub type ReportId = u64;

/// `FleetInput` is an event that a fleet reacts to.
#[derive(Clone, Debug)]
pub enum FleetInput {
    /// Time passed.
    Tick,
    /// A newer configuration is in force.
    Queues(Arc<QueueTable>),
    /// A caller submits a job and waits for its end.
    Submitted(CallId, Submission),
    /// The caller no longer waits.
    CallerDisconnected(CallId, JobKey),
    /// A worker reports, to this host or to one that relays it.
    Reported(ReportId, WorkerReport),
    /// A worker says that it has left.
    Departed(WorkerId),
    /// A start was answered, or not.
    StartRequestEnded(WorkerKey, RunId, StartOutcome),
    /// A stop was answered, or not.
    StopRequestEnded(WorkerKey, RunId, StopOutcome),
    /// A look was answered, or not.
    PollEnded(WorkerKey, PollOutcome),
    /// A check was answered, or not.
    ProbeEnded(WorkerKey, PollOutcome),
    /// A peer's batch of messages arrived.
    Batch(PeerBatch),
    /// The batch under way to a peer ended; whether the peer took it.
    BatchEnded(HostId, bool),
    /// The other entry hosts that are known now.
    Peers(Vec<PeerInfo>),
    /// The process was asked to end.
    Drain,
}

/// `FleetOutput` is an action for the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetOutput {
    /// Answer a caller.
    Answer(CallId, JobOutcome),
    /// Answer a status report.
    AnswerReport(ReportId, ReportAnswer),
    /// Order a start; the end goes back as [`FleetInput::StartAnswered`].
    Start(StartRequest),
    /// Order a stop; the end goes back as [`FleetInput::StopAnswered`].
    Stop(StopRequest),
    /// Look at a worker; the end goes back as [`FleetInput::Looked`].
    Poll(PollRequest),
    /// Look at a worker while another look may be under way; the end goes back
    /// as [`FleetInput::Checked`].
    Probe(PollRequest),
    /// Send a batch to a peer at an address; its end goes back as
    /// [`FleetInput::BatchEnded`].
    SendBatch(HostId, SocketAddr, PeerBatch),
    /// Close the idle connections to a worker that is gone.
    CloseConnections(SocketAddr),
    /// Take the times of a job that has ended.
    RecordTimes(JobTimes),
    /// Write a numbered log event about a subject.
    Log(Event, Subject, String),
}

/// `JobTimes` are the times of a job that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobTimes {
    /// Name of its queue.
    pub queue: String,
    /// Its answer.
    pub outcome: JobOutcome,
    /// Time from its arrival to its end.
    pub total: Duration,
    /// Time from its arrival to its first start order, if there was one.
    pub to_first_start: Option<Duration>,
    /// Time by which it ended after its objective.
    pub over_objective: Duration,
}

/// `Subject` is what a log event is about; it becomes a field of the line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// This host.
    Host,
    /// A job.
    Job(JobKey),
    /// A run of a job's task.
    Run(RunId),
    /// A worker.
    Worker(WorkerId),
    /// Another entry host.
    Peer(HostId),
}

/// `PeerAddress` is another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerInfo {
    /// Its id.
    pub host_id: HostId,
    /// Its link address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
}

/// `ReportAnswer` is the answer to a status report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportAnswer {
    /// This host owns the worker and took note.
    Taken,
    /// The host at this link address owns the worker and was told.
    Moved(SocketAddr),
    /// Nobody took note; the worker must tell another host.
    Declined,
}

/// `WorkerTarget` is where an order goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerTarget {
    /// Number of the ownership, echoed with the answer.
    pub worker_key: WorkerKey,
    /// Address that takes orders.
    pub address: SocketAddr,
    /// Id of the worker that is meant.
    pub worker_id: WorkerId,
    /// Generation of the owner.
    pub fencing_token: FencingToken,
}

/// `StartOrder` starts a run of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartRequest {
    /// The worker.
    pub target: WorkerTarget,
    /// The run.
    pub run: RunId,
    /// What the task runs.
    pub spec: Arc<str>,
    /// End of the lease, on the worker's clock.
    pub lease_end_ms: u64,
    /// Time within which an answer is expected.
    pub timeout: Duration,
}

/// `StopOrder` stops a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopRequest {
    /// The worker.
    pub target: WorkerTarget,
    /// The run.
    pub run: RunId,
}

/// `LookOrder` reads a worker's runs and ends, and may extend its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct PollRequest {
    /// The worker.
    pub target: WorkerTarget,
    /// New end of the lease on the worker's clock; `None` extends nothing.
    pub lease_end_ms: Option<u64>,
    /// Ends up to this number are taken note of and may be forgotten.
    pub acknowledged: u64,
    /// Time that the worker waits for an end before it answers.
    pub wait: Duration,
}

/// `StartAnswer` is the end of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run is there; holds the worker's clock.
    Accepted(u64),
    /// The worker did nothing.
    Refused(StartRefusal),
    /// The order certainly did not arrive.
    NotSent,
    /// The order may or may not have arrived.
    Unanswered,
}

/// `StartRefusal` says why a worker did not start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// A higher generation is known there.
    Fenced,
    /// This or a later run of the task has been there.
    StaleAttempt,
    /// The lease end has passed.
    LeaseExpired,
    /// No room.
    InsufficientResources,
    /// The worker is not healthy.
    Unhealthy,
    /// Another incarnation is at the address.
    OtherIncarnation,
    /// The order was not understood.
    Malformed,
}

/// `StopAnswer` is the end of a stop order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// The run ends, or never starts.
    Accepted,
    /// A higher generation is known there.
    Fenced,
    /// Another incarnation is at the address.
    OtherIncarnation,
    /// Nothing is known.
    Unanswered,
}

/// `LookAnswer` is the end of a look.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PollOutcome {
    /// What the worker shows.
    Answered(PollResponse),
    /// A higher generation is known there.
    Fenced,
    /// Another incarnation is at the address.
    OtherIncarnation,
    /// No usable answer.
    Unanswered,
}

/// `Observation` is what a worker shows on a look.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PollResponse {
    /// The worker's clock.
    pub clock_ms: u64,
    /// Start of the worker's incarnation, if it says so.
    pub born_unix_ms: Option<u64>,
    /// What runs.
    pub running: Vec<RunProgress>,
    /// What ended.
    pub ended: Vec<EndedRun>,
}

/// `RunningRow` is a run that a worker lists as running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunProgress {
    /// The run.
    pub run: RunId,
    /// Share of the work that is done, in percent.
    pub done_percent: u32,
}

/// `EndRow` is a run that a worker lists as ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Number of the end within the incarnation.
    pub sequence: u64,
    /// The run, unless its name is none of this system's.
    pub run: Option<RunId>,
    /// How it ended.
    pub end: RunEnd,
}

/// `RunEnd` is how a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// With a result.
    Done,
    /// By a failure of the task or the worker.
    Failed,
    /// Stopped, or lost with its lease or worker.
    Lost,
}
