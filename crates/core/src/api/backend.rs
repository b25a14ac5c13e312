//! Types exchanged with backend servers: announcements, tasks, cancellation.

use serde::{Deserialize, Serialize};

use crate::ids::{
    FailureDomainId, GrantId, HostId, Incarnation, JobId, RackId, ServerId, ServiceId, TaskIndex,
    WorkerId,
};

/// `Announcement` is the body of `POST /v1/backend/announce`. A backend server
/// sends it first to get a lease and again to renew it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Announcement {
    /// Backend server.
    pub server_id: ServerId,
    /// Start of the server that this announcement comes from.
    pub incarnation: Incarnation,
    /// Grant that the server offers; the server raises it whenever it turns
    /// to another entry host.
    pub grant: GrantId,
    /// Address for tasks, as `ip:port`.
    pub address: String,
    /// Failure domain of the server.
    pub failure_domain: FailureDomainId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Worker that the server runs on.
    pub worker_id: WorkerId,
    /// Service that the server runs.
    pub service: ServiceId,
    /// Tasks that may run at once.
    pub slots: u32,
    /// Connections that the server accepts in all.
    pub max_connections: u32,
    /// Processor capacity for tasks, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory for tasks, in MiB.
    pub memory_mib: u32,
    /// Accelerators for tasks.
    pub accelerators: u32,
    /// Whether the server shares itself among several entry hosts instead of
    /// leasing its slots to one. Only the baseline placement policies use it.
    #[serde(default)]
    pub shared: bool,
}

/// `AnnounceAnswer` is the answer to an [`Announcement`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AnnounceAnswer {
    /// Entry host that answered.
    pub host_id: HostId,
    /// Whether the entry host took or renewed the lease.
    pub accepted: bool,
    /// Length of the lease from the time the announcement was sent, in ms.
    pub lease_ms: u64,
    /// Interval at which the server should renew, in ms.
    pub renew_ms: u64,
    /// HTTP address of another entry host to announce to instead.
    #[serde(default)]
    pub redirect: Option<String>,
}

/// `Withdrawal` is the body of `POST /v1/backend/withdraw`. After the answer
/// the entry host starts no more work on the server; tasks that run finish.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Withdrawal {
    /// Backend server that leaves.
    pub server_id: ServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// `TaskBatch` is the body of `POST /v1/tasks` at a backend server: tasks of
/// one job, answered together when all have ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskBatch {
    /// Entry host that sends the batch.
    pub host_id: HostId,
    /// Incarnation of the server that the batch is meant for.
    pub incarnation: Incarnation,
    /// Grant under which the batch is sent.
    pub grant: GrantId,
    /// Job of the tasks.
    pub job_id: JobId,
    /// The server refuses to start a task later than this after receipt, in ms.
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
    /// Payload of the caller.
    pub payload: String,
    /// Declared run time in ms.
    pub run_ms: u64,
}

/// `TaskBatchAnswer` answers a [`TaskBatch`] with one end per task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskBatchAnswer {
    /// Server that answered.
    pub server_id: ServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Job of the batch.
    pub job_id: JobId,
    /// Tasks that the server holds, running or waiting, when it answers.
    pub load: u32,
    /// One entry per task of the batch.
    pub ends: Vec<TaskEnd>,
}

/// `TaskEnd` is how one task of a batch ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskEnd {
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// What happened.
    pub status: TaskStatus,
    /// Output if finished, else an explanation.
    #[serde(default)]
    pub output: String,
    /// Time that the task ran, in ms.
    #[serde(default)]
    pub run_ms: u64,
}

/// `TaskStatus` is what a backend server says of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// The task ran to its end.
    Finished,
    /// The task started and ended with an error.
    Failed,
    /// The worker stopped the task after it had started.
    Stopped,
    /// The task has not started and will not start under this grant.
    NotStarted,
}

/// `CancelRequest` is the body of `POST /v1/tasks/cancel` at a backend server.
/// It also serves to ask what became of tasks whose exchange got no answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CancelRequest {
    /// Incarnation of the server that was sent the tasks.
    pub incarnation: Incarnation,
    /// Job of the tasks.
    pub job_id: JobId,
    /// Tasks to cancel.
    pub tasks: Vec<TaskIndex>,
}

/// `CancelAnswer` answers a [`CancelRequest`] with one fate per task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CancelAnswer {
    /// Incarnation that answered; if it differs from the one asked, the
    /// fates prove nothing.
    pub incarnation: Incarnation,
    /// One entry per task asked about.
    pub fates: Vec<TaskCancelStatus>,
}

/// `TaskCancelStatus` is what became of one task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskCancelStatus {
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// Whether it started.
    pub fate: CancelStatus,
}

/// `CancelStatus` says whether a task started.
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
