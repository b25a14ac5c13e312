//! Jobs and their tasks.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::ids::{HostId, ServiceId, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::io::CallId;
use crate::room::Resources;
use crate::worker::WorkerKey;

/// `JobKey` is the id that a caller gave to its job.
pub type JobKey = u64;

/// `RunId` names one run of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RunId {
    /// The job.
    pub job: JobKey,
    /// The task.
    pub task: TaskIndex,
    /// Number of the start, from 1.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}/{}#{}", self.job, self.task, self.attempt)
    }
}

/// `Submission` is a job as a caller submits it.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Id of the job.
    pub job: JobKey,
    /// Name of its queue.
    pub queue: String,
    /// What its tasks run.
    pub spec: Arc<str>,
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub need: Resources,
    /// Declared run time of a task; often wrong.
    pub estimate: Duration,
    /// Time for which the caller waits.
    pub timeout: Duration,
}

/// `JobOutcome` is the answer to a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    /// Every task ended with a result.
    Completed,
    /// A task failed for good, or can run nowhere.
    Failed,
    /// Nothing has run, and nothing will.
    NotRun(NotRun),
    /// Some tasks may have run; the job did not end in time.
    TimedOut,
}

/// `NotRun` says why a job was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// No room in time; worth another try after this time.
    Overloaded {
        /// Time after which to come back, in ms.
        retry_after_ms: u64,
    },
    /// The queue is not known.
    UnknownQueue,
    /// No configuration or no worker is known yet.
    NotReady,
    /// The host is about to end.
    Draining,
}

/// `Job` is a submission in progress.
#[derive(Debug)]
pub(crate) struct Job {
    /// Caller that waits.
    pub(crate) call: CallId,
    /// Name of the queue.
    pub(crate) queue: String,
    /// Service whose workers run it.
    pub(crate) service: ServiceId,
    /// What its tasks run.
    pub(crate) spec: Arc<str>,
    /// What each task needs.
    pub(crate) need: Resources,
    /// Expected run time of a task.
    pub(crate) expected: Duration,
    /// Declared run time of a task.
    pub(crate) declared: Duration,
    /// Failed runs of a task after which the job fails.
    pub(crate) attempts: u32,
    /// When it arrived.
    pub(crate) arrived_at: Duration,
    /// Last time to start its tasks within the objective.
    pub(crate) start_by: Duration,
    /// Rank in the queue; the smallest comes first.
    pub(crate) urgency: Duration,
    /// When its objective ends.
    pub(crate) objective_at: Duration,
    /// When the caller stops waiting.
    pub(crate) deadline: Duration,
    /// Tasks.
    pub(crate) tasks: Vec<Task>,
    /// Tasks that are done.
    pub(crate) done: usize,
    /// Tasks that wait for a start.
    pub(crate) queued: usize,
    /// Runs that were ordered and did not provably stay unstarted.
    pub(crate) begun: usize,
    /// Whether an earlier call for the job may have run some of it.
    pub(crate) ran_before: bool,
    /// When the first task was ordered to start.
    pub(crate) first_start_at: Option<Duration>,
}

/// `Task` is one task of a job.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// Number of its last start, 0 before the first.
    pub(crate) attempt: u32,
    /// Attempts to pass over at the next start.
    pub(crate) attempts_skipped: u32,
    /// Runs that ended as failed.
    pub(crate) failures: u32,
    /// Worker of the last run that ended badly; another one is preferred.
    pub(crate) avoid: Option<WorkerKey>,
    /// State.
    pub(crate) state: TaskState,
}

/// `TaskState` is the state of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// Waits for room.
    Queued,
    /// Runs on a worker of this host.
    Local(WorkerKey),
    /// Runs at a peer.
    Remote(HostId),
    /// Its last run may go on until this time; then it is queued.
    Lingering(Duration),
    /// Ended with a result.
    Done,
}

impl Job {
    /// Whether any task may have been started.
    pub(crate) fn may_have_started(&self) -> bool {
        self.begun > 0 || self.ran_before
    }

    /// Gets a task.
    pub(crate) fn task_mut(&mut self, index: TaskIndex) -> Option<&mut Task> {
        self.tasks.get_mut(index as usize)
    }

    /// Gets the task of a run if that run is its latest.
    pub(crate) fn current_mut(&mut self, run: RunId) -> Option<&mut Task> {
        let task = self.task_mut(run.task)?;
        (task.attempt == run.attempt).then_some(task)
    }
}
