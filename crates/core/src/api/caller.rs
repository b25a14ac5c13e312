//! JSON types of `POST /v1/jobs`.

use serde::{Deserialize, Serialize};

use crate::finding::Findings;
use crate::ids::{InstitutionId, JobId, RequestId, ServerId, ServiceId, TaskIndex, TeamId};

/// `SubmitRequest` is a job as submitted by a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct SubmitRequest {
    /// Id chosen by the caller: 1 to 64 characters of `[A-Za-z0-9._-]`.
    pub request_id: RequestId,
    /// Institution on whose behalf the job runs.
    pub institution: InstitutionId,
    /// Team whose quota the job counts against.
    pub team: TeamId,
    /// Service that runs the tasks.
    pub service: ServiceId,
    /// Whether the request is idempotent, so that it may run a second time.
    pub repeatable: bool,
    /// Time for which the caller waits for the answer, in ms.
    pub timeout_ms: u64,
    /// Time from which the request must not be started, in ms since the Unix
    /// epoch. Required when `repeatable` is false.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub valid_until_unix_ms: Option<u64>,
    /// Tasks of the job, in the order of the results.
    pub tasks: Vec<TaskSpec>,
}

/// `TaskSpec` is one task as declared by the caller.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskSpec {
    /// Payload, passed to the backend server unchanged.
    #[serde(default)]
    pub payload: String,
    /// Declared run time in ms.
    pub run_ms: u64,
    /// Declared CPU use in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Declared memory in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// Declared number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// `SubmitAnswer` is the answer to a [`SubmitRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct SubmitAnswer {
    /// Request id of the submission; empty only if the body held none.
    pub request_id: RequestId,
    /// Id of the job; `None` if it was refused.
    pub job_id: Option<JobId>,
    /// How the job ended.
    pub outcome: Outcome,
    /// Why the job did not complete; `None` if it did.
    pub reason: Option<Reason>,
    /// Human-readable explanation; empty if the job completed.
    #[serde(default)]
    pub message: String,
    /// All problems with the input; empty unless the reason is a bad request.
    #[serde(default)]
    pub findings: Findings,
    /// One result per task in order if the job completed, else empty.
    #[serde(default)]
    pub results: Vec<TaskResult>,
    /// Time from receipt to answer at the entry host, in ms.
    #[serde(default)]
    pub elapsed_ms: u64,
}

/// `Outcome` is how a job ended. Partial results are never returned.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every task ran and every result is present.
    Complete,
    /// The job ended without results; some tasks may have run.
    Failed,
    /// Not run: no task of this submission has started or will start.
    Refused,
}

/// `Reason` says why a job was refused or failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Refused: the input has findings (400).
    BadRequest,
    /// Refused: the body is over its size limit (413).
    TooLarge,
    /// Refused: the service, institution or team is not configured (404).
    NotConfigured,
    /// Refused: no backend server could ever hold one of the tasks (422).
    NeverRunnable,
    /// Refused: the team's quota leaves no free slots within the deadline (429).
    QuotaExceeded,
    /// Refused: the queueing time exceeds the deadline or its limit (503).
    Overloaded,
    /// Refused: this entry host is draining or has no configuration (503).
    NotReady,
    /// Refused: a request with this id was accepted before (409).
    AlreadyClaimed,
    /// Refused: `valid_until_unix_ms` has passed (410).
    Expired,
    /// Refused: no quorum to record the claim of a request that is not
    /// repeatable (503).
    ClaimUnavailable,
    /// Failed: a task reported an error (502).
    TaskFailed,
    /// Failed: a task may or may not have run (502).
    OutcomeUnknown,
    /// Failed: the deadline passed after tasks had started (504).
    DeadlineExceeded,
    /// Failed: the worker stopped the task (502).
    TaskStopped,
    /// Failed: the caller cancelled the job (499).
    Cancelled,
    /// Failed: a task could not be started within the retry budget (503).
    RetriesExhausted,
}

impl Reason {
    /// Gets the HTTP status of an answer with this reason.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NotConfigured => 404,
            Self::AlreadyClaimed => 409,
            Self::Expired => 410,
            Self::TooLarge => 413,
            Self::NeverRunnable => 422,
            Self::QuotaExceeded => 429,
            Self::Cancelled => 499,
            Self::TaskFailed | Self::OutcomeUnknown | Self::TaskStopped => 502,
            Self::Overloaded | Self::NotReady | Self::ClaimUnavailable | Self::RetriesExhausted => {
                503
            }
            Self::DeadlineExceeded => 504,
        }
    }
}

/// `TaskResult` is the result of one task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TaskResult {
    /// Position of the task in its job.
    pub index: TaskIndex,
    /// Output of the task.
    pub output: String,
    /// Backend server that ran the task.
    pub server_id: ServerId,
    /// Run time of the task in ms, as reported by the server.
    pub run_ms: u64,
}
