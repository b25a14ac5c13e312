//! JSON types exchanged with backend servers: announcements, task batches and
//! cancellations.

use serde::{Deserialize, Serialize};

use crate::ids::{
    FailureDomainId, GrantId, HostId, Incarnation, JobId, RackId, ServerId, ServiceId, TaskIndex,
    WorkerId,
};

/// `Announcement` is the body of `POST /v1/backend/announce`. A backend server
/// sends it to offer a lease on its slots and repeats it to renew the lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Announcement {
    /// Backend server that sends the announcement.
    pub server_id: ServerId,
    /// Incarnation of the server process.
    pub incarnation: Incarnation,
    /// Number of the lease that the server offers. The server increments it
    /// whenever it switches to another entry host.
    pub grant: GrantId,
    /// Address that accepts tasks, as `ip:port`.
    pub address: String,
    /// Failure domain of the server.
    pub failure_domain: FailureDomainId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Worker that the server runs on.
    pub worker_id: WorkerId,
    /// Service that the server runs.
    pub service: ServiceId,
    /// Maximum number of tasks that run concurrently.
    pub slots: u32,
    /// Maximum number of connections that the server accepts in total.
    pub max_connections: u32,
    /// CPU capacity for tasks, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory capacity for tasks, in MiB.
    pub memory_mib: u32,
    /// Number of accelerators for tasks.
    pub accelerators: u32,
    /// Whether several entry hosts use the server at the same time instead of
    /// one host leasing its slots. Only the baseline placement policies set it.
    #[serde(default)]
    pub shared: bool,
}

/// `AnnounceAnswer` is the answer to an [`Announcement`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AnnounceAnswer {
    /// Entry host that answered.
    pub host_id: HostId,
    /// Whether the entry host accepted or renewed the lease.
    pub accepted: bool,
    /// Duration of the lease, counted from the time when the announcement was
    /// sent, in ms.
    pub lease_ms: u64,
    /// Interval at which the server should renew, in ms.
    pub renew_ms: u64,
    /// HTTP address of another entry host that the server should announce
    /// itself to instead.
    #[serde(default)]
    pub redirect: Option<String>,
}

/// `Withdrawal` is the body of `POST /v1/backend/withdraw`. After its answer
/// the entry host starts no more tasks on the server; running tasks finish.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Withdrawal {
    /// Backend server that withdraws.
    pub server_id: ServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// `TaskBatch` is the body of `POST /v1/tasks` at a backend server. It holds
/// tasks of one job, which are answered together when all have ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskBatch {
    /// Entry host that sends the batch.
    pub host_id: HostId,
    /// Incarnation of the server that the batch is addressed to.
    pub incarnation: Incarnation,
    /// Number of the lease under which the batch is sent.
    pub grant: GrantId,
    /// Job of the tasks.
    pub job_id: JobId,
    /// Time after receipt beyond which the server refuses to start a task, in
    /// ms.
    pub start_within_ms: u64,
    /// Tasks to run.
    pub tasks: Vec<BatchTask>,
}

/// `BatchTask` is one task of a [`TaskBatch`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct BatchTask {
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// Payload from the caller.
    pub payload: String,
    /// Declared run time in ms.
    pub run_ms: u64,
}

/// `TaskBatchAnswer` answers a [`TaskBatch`] with the outcome of each task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskBatchAnswer {
    /// Server that answered.
    pub server_id: ServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Job of the batch.
    pub job_id: JobId,
    /// Number of tasks on the server, running or waiting, when it answers.
    pub load: u32,
    /// One entry per task of the batch.
    pub ends: Vec<TaskEnd>,
}

/// `TaskEnd` is the outcome of one task of a batch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskEnd {
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// How the task ended.
    pub status: TaskStatus,
    /// Output if the task finished, else an explanation.
    #[serde(default)]
    pub output: String,
    /// Run time of the task, in ms.
    #[serde(default)]
    pub run_ms: u64,
}

/// `TaskStatus` is the status of a task as its backend server reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// The task ran to completion.
    Finished,
    /// The task started and ended with an error.
    Failed,
    /// The worker stopped the task after it had started.
    Stopped,
    /// The task has not started and will not start under this lease.
    NotStarted,
}

/// `CancelRequest` is the body of `POST /v1/tasks/cancel` at a backend server.
/// It is also used to query the status of tasks whose exchange got no answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CancelRequest {
    /// Incarnation of the server that the tasks were sent to.
    pub incarnation: Incarnation,
    /// Job of the tasks.
    pub job_id: JobId,
    /// Tasks to cancel.
    pub tasks: Vec<TaskIndex>,
}

/// `CancelAnswer` answers a [`CancelRequest`] with one status per task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CancelAnswer {
    /// Incarnation that answered. If it differs from the one in the request,
    /// the statuses prove nothing.
    pub incarnation: Incarnation,
    /// One entry per task of the request.
    pub fates: Vec<TaskCancelStatus>,
}

/// `TaskCancelStatus` is the status of one task of a [`CancelRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskCancelStatus {
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// Whether the task started.
    pub fate: CancelStatus,
}

/// `CancelStatus` says whether a task had started when it was cancelled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelStatus {
    /// The task never started, and the server will refuse it from now on.
    NeverStarted,
    /// The task started; it is stopped if the server can stop it.
    Started,
    /// The task had finished.
    Finished,
}
