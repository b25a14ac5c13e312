//! Jobs and their tasks.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::ids::{HostId, ServiceId, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::io::CallId;
use crate::resources::Resources;
use crate::worker::WorkerKey;

/// `JobKey` is the id that a caller assigned to its job.
pub type JobKey = u64;

/// `RunId` identifies one run of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RunId {
    /// Job of the task.
    pub job: JobKey,
    /// Index of the task within the job.
    pub task: TaskIndex,
    /// Attempt number, counted from 1.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}/{}#{}", self.job, self.task, self.attempt)
    }
}

/// `Submission` is a job as submitted by a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Id of the job.
    pub job: JobKey,
    /// Name of the queue.
    pub queue: String,
    /// Description of the work of its tasks.
    pub spec: Arc<str>,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Declared run time of a task; often wrong.
    pub estimate: Duration,
    /// Time for which the caller waits for the answer.
    pub timeout: Duration,
}

/// `JobOutcome` is the answer to a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    /// Every task ended with a result.
    Completed,
    /// A task has used up its attempts, or fits no worker.
    Failed,
    /// No task has run or will run.
    NotRun(NotRun),
    /// The job did not end in time; some of its tasks may have run.
    TimedOut,
}

/// `NotRun` is the reason why a job was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// No free resources in time; the caller may retry later.
    Overloaded {
        /// Delay before a retry, in ms.
        retry_after_ms: u64,
    },
    /// The queue does not exist.
    UnknownQueue,
    /// No configuration or no worker is known yet.
    NotReady,
    /// The host is shutting down.
    Draining,
}

/// Time within an objective that requests, answers and polls take.
pub(crate) const DISPATCH_OVERHEAD: Duration = Duration::from_millis(12);

/// `Job` is a submission in progress.
#[derive(Debug)]
pub(crate) struct Job {
    /// Call that waits for the answer.
    pub(crate) call: CallId,
    /// Name of the queue.
    pub(crate) queue: String,
    /// Service whose workers run the tasks.
    pub(crate) service: ServiceId,
    /// Description of the work of its tasks.
    pub(crate) spec: Arc<str>,
    /// Priority of the queue; 0 is the highest.
    pub(crate) priority: u32,
    /// Resources that each task needs.
    pub(crate) need: Resources,
    /// Expected run time of a task.
    pub(crate) expected: Duration,
    /// Declared run time of a task.
    pub(crate) declared: Duration,
    /// Number of failed runs of a task after which the job fails.
    pub(crate) attempts: u32,
    /// Arrival time.
    pub(crate) arrived_at: Duration,
    /// Latest time to start its tasks within the objective.
    pub(crate) start_by: Duration,
    /// Latest start time less the lead of the priority. Tasks are started in
    /// ascending order of this time.
    pub(crate) effective_start_by: Duration,
    /// Time at which the objective is missed.
    pub(crate) objective_at: Duration,
    /// Time at which the caller stops waiting.
    pub(crate) deadline: Duration,
    /// All tasks, by index.
    pub(crate) tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub(crate) done: usize,
    /// Number of tasks that wait for a start.
    pub(crate) queued: usize,
    /// Number of runs that were sent to a worker or peer and have not been
    /// proven unstarted.
    pub(crate) possibly_started: usize,
    /// Whether an earlier call for the job may have run some of it.
    pub(crate) may_have_run_before: bool,
    /// Time at which its first task was sent to a worker or peer.
    pub(crate) first_start_at: Option<Duration>,
}

/// `Task` is one task of a job.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// Number of the last attempt, 0 before the first.
    pub(crate) attempt: u32,
    /// Attempt numbers to skip at the next start.
    pub(crate) attempts_skipped: u32,
    /// Number of failed runs.
    pub(crate) failures: u32,
    /// Worker of the last failed, lost or refused run; another one is
    /// preferred.
    pub(crate) avoid: Option<WorkerKey>,
    /// State of the task.
    pub(crate) state: TaskState,
}

/// `TaskState` is the state of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// Waits for free resources.
    Queued,
    /// Runs on a worker of this host.
    Local(WorkerKey),
    /// Was sent to a peer.
    Remote(HostId),
    /// Waits until this time, because its last run may still be active; then it
    /// is queued.
    AwaitingExpiry(Duration),
    /// Ended with a result.
    Done,
}

impl Job {
    /// Whether any task may have been started.
    pub(crate) fn may_have_started(&self) -> bool {
        self.possibly_started > 0 || self.may_have_run_before
    }

    /// Gets the time within which a task that starts now must end to meet the
    /// objective.
    pub(crate) fn time_left(&self, now: Duration) -> Duration {
        self.objective_at
            .saturating_sub(now)
            .saturating_sub(DISPATCH_OVERHEAD)
    }

    /// Gets a task by its index.
    pub(crate) fn task_mut(&mut self, index: TaskIndex) -> Option<&mut Task> {
        self.tasks.get_mut(index as usize)
    }

    /// Gets the task of a run if that run is its latest.
    pub(crate) fn current_mut(&mut self, run: RunId) -> Option<&mut Task> {
        let task = self.task_mut(run.task)?;
        (task.attempt == run.attempt).then_some(task)
    }
}
