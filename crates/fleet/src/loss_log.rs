//! Records of runs that were lost with their workers, and what they say about
//! the tasks.
//!
//! A single loss does not tell a task that crashes the workers that start it from
//! one that shared a worker with it. The records outlive the job, since its
//! caller may submit it again; see docs/platform.md.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_core::ids::{TaskIndex, WorkerId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::job::{JobKey, JobOutcome, RunId};

/// Number of workers that may crash under a task before it is given up. After
/// the first one no other task joins it, so the second is hardly ever crashed by
/// another task.
const MAX_CRASHES: usize = 2;

/// Number of workers that may crash or become silent under a task. A silent
/// worker may also be cut off, but a task that loses so many is not safe to
/// start again.
const MAX_LOSSES: usize = 4;

/// Time for which the losses of a job are kept after the last one. A job can be
/// submitted again some seconds after its caller got no answer.
const RETENTION: Duration = Duration::from_secs(60);

/// Largest number of losses that are kept of a job.
pub(crate) const MAX_LOSSES_PER_JOB: usize = 64;

/// Largest number of jobs whose losses are kept.
const MAX_JOBS: usize = 4096;

/// `LossEvidence` is what shows how a run was lost with its worker. Later
/// variants override earlier ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossEvidence {
    /// The worker did not answer until its lease had expired: it has crashed or
    /// is cut off.
    Silent,
    /// Nothing listens at the worker's address.
    ConnectionRefused,
    /// A later incarnation of the worker was seen.
    Restarted,
    /// The same incarnation answers again, so it had not crashed.
    Answered,
}

/// `RunLoss` is the loss of a run with its worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RunLoss {
    /// The run.
    pub run: RunId,
    /// Id of the worker.
    pub worker_id: WorkerId,
    /// Start time of the worker's incarnation, in ms since the Unix epoch.
    pub born_unix_ms: u64,
    /// What shows the loss.
    pub evidence: LossEvidence,
    /// Whether the run is known to have started. If not, the worker may have
    /// crashed before its start request arrived.
    pub has_started: bool,
}

impl RunLoss {
    /// Whether the loss still holds.
    pub(crate) fn counts(&self) -> bool {
        self.evidence != LossEvidence::Answered
    }
}

/// `LossCount` counts the workers that were lost under a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct LossCount {
    /// Workers that crashed while they ran it.
    pub(crate) crashed: usize,
    /// Workers that became silent, or may have crashed before its start.
    pub(crate) silent: usize,
}

impl LossCount {
    /// Whether the task may crash the next worker too. A single silent worker is
    /// more likely one that was cut off.
    pub(crate) fn is_suspect(self) -> bool {
        self.crashed > 0 || self.silent > 1
    }

    /// Gets the outcome of the job if the task must not start again. Only crashes
    /// are a failure of the task.
    pub(crate) fn outcome_at_limit(self) -> Option<JobOutcome> {
        if self.crashed >= MAX_CRASHES {
            return Some(JobOutcome::Failed);
        }
        let is_over_limit = self.crashed + self.silent >= MAX_LOSSES;
        is_over_limit.then_some(JobOutcome::TimedOut)
    }
}

/// `LossLog` holds the losses of recent jobs. Records can arrive in any order
/// and repeatedly.
#[derive(Debug, Default)]
pub(crate) struct LossLog {
    jobs: IndexMap<JobKey, JobLosses>,
}

#[derive(Debug, Default)]
struct JobLosses {
    recorded_at: Duration,
    /// The losses, the latest last.
    losses: Vec<RunLoss>,
}

impl LossLog {
    /// Records a loss; false if it is known already.
    pub(crate) fn record(&mut self, loss: RunLoss, now: Duration) -> bool {
        let job = loss.run.job;
        let mut losses = self.jobs.shift_remove(&job).unwrap_or_default();
        let is_same = |known: &&mut RunLoss| {
            known.run == loss.run
                && known.worker_id == loss.worker_id
                && known.born_unix_ms == loss.born_unix_ms
        };
        let is_news = match losses.losses.iter_mut().find(is_same) {
            Some(known) => {
                let is_news = loss.evidence > known.evidence;
                known.evidence = known.evidence.max(loss.evidence);
                is_news
            }
            None => {
                let surplus = (losses.losses.len() + 1).saturating_sub(MAX_LOSSES_PER_JOB);
                losses.losses.drain(..surplus);
                losses.losses.push(loss);
                true
            }
        };
        losses.recorded_at = now;
        self.discard_old(now);
        self.jobs.insert(job, losses);
        is_news
    }

    /// Whether a task of a job must not start again.
    pub(crate) fn is_over_limit(&self, job: JobKey) -> bool {
        let mut losses = self.of_job(job).iter();
        losses.any(|loss| {
            let count = self.count(job, loss.run.task);
            count.outcome_at_limit().is_some()
        })
    }

    /// Counts the workers that were lost under a task.
    pub(crate) fn count(&self, job: JobKey, task: TaskIndex) -> LossCount {
        let mut count = LossCount::default();
        for loss in self.of_job(job).iter().filter(|loss| loss.run.task == task) {
            match loss.evidence {
                LossEvidence::Answered => {}
                LossEvidence::ConnectionRefused | LossEvidence::Restarted if loss.has_started => {
                    count.crashed += 1;
                }
                _ => count.silent += 1,
            }
        }
        count
    }

    /// Gets the tasks of a job that may have crashed a worker.
    pub(crate) fn suspect_tasks_of(&self, job: JobKey) -> BTreeSet<TaskIndex> {
        let losses = self.of_job(job).iter().map(|loss| loss.run.task);
        let is_suspect = |task: &TaskIndex| self.count(job, *task).is_suspect();
        losses.filter(is_suspect).collect()
    }

    /// Gets the losses of a job.
    pub(crate) fn of_job(&self, job: JobKey) -> &[RunLoss] {
        let losses = self.jobs.get(&job);
        losses.map_or(&[], |losses| &losses.losses)
    }

    fn discard_old(&mut self, now: Duration) {
        let is_old = |(_, losses): &(&JobKey, &JobLosses)| now > losses.recorded_at + RETENTION;
        let old = self.jobs.iter().take_while(is_old).count();
        let surplus = (self.jobs.len() + 1).saturating_sub(MAX_JOBS);
        self.jobs.drain(..old.max(surplus));
    }
}
