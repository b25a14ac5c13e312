//! Records of runs that were lost with their workers.
//!
//! A task that crashes the workers that start it cannot be told from one that
//! shared a worker with it by a single loss. The records outlive the job, since
//! its caller may submit it again; see docs/platform.md.

use std::collections::BTreeSet;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::{HostId, TaskIndex, WorkerId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::io::{PeerInfo, Subject};
use crate::job::{JobKey, JobOutcome, RunId, TaskState};
use crate::worker::{Worker, WorkerKey};

/// Number of workers that may crash under a task before it is given up. After
/// the first one no other task joins it, so the second is hardly ever crashed by
/// another task.
const MAX_CRASHES: usize = 2;

/// Number of workers that may crash or become silent under a task. A silent
/// worker may also be cut off, but a task that loses so many is not safe to
/// start again.
const MAX_LOSSES: usize = 4;

/// Number of consecutive refused connections after which a worker counts as
/// crashed. A single one may be a worker whose queue of new connections is full.
const REFUSALS_OF_CRASHED_WORKER: u32 = 2;

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
}

/// `LossReport` tells another host about losses of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LossReport {
    /// The losses.
    pub losses: Vec<RunLoss>,
    /// Host of the job, to which the receiver reports what else it knows; `None`
    /// if no further report is needed.
    pub origin: Option<PeerInfo>,
}

/// `LossCount` counts the workers that were lost under a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct LossCount {
    /// Workers that crashed.
    pub(crate) crashed: usize,
    /// Workers that became silent.
    pub(crate) silent: usize,
}

impl LossCount {
    /// Whether the task may crash the next worker too. A single silent worker is
    /// more likely one that was cut off.
    fn is_suspect(self) -> bool {
        self.crashed > 0 || self.silent > 1
    }

    /// Whether the task must not start again.
    fn is_over_limit(self) -> bool {
        self.crashed >= MAX_CRASHES || self.crashed + self.silent >= MAX_LOSSES
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
        losses.any(|loss| self.count(job, loss.run.task).is_over_limit())
    }

    /// Counts the workers that were lost under a task.
    pub(crate) fn count(&self, job: JobKey, task: TaskIndex) -> LossCount {
        let mut count = LossCount::default();
        for loss in self.of_job(job).iter().filter(|loss| loss.run.task == task) {
            match loss.evidence {
                LossEvidence::Silent => count.silent += 1,
                LossEvidence::ConnectionRefused | LossEvidence::Restarted => {
                    count.crashed += 1;
                }
                LossEvidence::Answered => {}
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

impl Fleet {
    /// Counts a refused connection to a worker. After some in a row the worker
    /// counts as crashed, but its tasks start elsewhere only after its lease:
    /// a firewall may refuse connections to a worker that still runs.
    pub(crate) fn record_refused_poll(&mut self, worker_key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        worker.refused_polls += 1;
        if worker.refused_polls == REFUSALS_OF_CRASHED_WORKER {
            self.record_losses(worker_key, LossEvidence::ConnectionRefused);
        }
    }

    /// Records the loss of the runs on a worker, and of those that were lost
    /// since it became silent.
    pub(crate) fn record_losses(&mut self, worker_key: WorkerKey, evidence: LossEvidence) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let peer_tasks = &self.peer_tasks;
        for run in worker.runs.keys() {
            let lost_run = worker.lost_runs.entry(*run);
            lost_run.or_insert_with(|| peer_tasks.get(run).map(|task| task.origin.clone()));
        }
        let lost_runs = worker.lost_runs.clone();
        let (worker_id, born_unix_ms) = worker.incarnation();
        let mut news = Vec::new();
        let mut news_by_job: IndexMap<(JobKey, Option<HostId>), Vec<RunLoss>> = IndexMap::new();
        for (run, origin) in lost_runs {
            let loss = RunLoss {
                run,
                worker_id: worker_id.clone(),
                born_unix_ms,
                evidence,
            };
            if self.losses.record(loss.clone(), now) {
                let job = news_by_job.entry((run.job, origin)).or_default();
                job.push(loss.clone());
                news.push(loss);
            }
        }
        if !news.is_empty() {
            self.log_losses(&worker_id, evidence, &news);
        }
        for loss in news {
            self.give_up_if_over_limit(loss.run.job, loss.run.task);
        }
        for ((_, origin), losses) in news_by_job {
            self.share_losses(origin, losses);
        }
    }

    /// Fails the job of a task that has lost too many workers.
    pub(crate) fn give_up_if_over_limit(&mut self, key: JobKey, index: TaskIndex) {
        let task = self
            .jobs
            .get(&key)
            .and_then(|job| job.tasks.get(index as usize));
        let is_open = task.is_some_and(|task| task.state != TaskState::Done);
        if is_open && let Some(reason) = self.give_up_over_limit(key) {
            self.end_job(key, JobOutcome::Failed, &reason);
        }
    }

    /// Gives up the task of a job that has lost too many workers, if there is
    /// one, and gets the reason.
    pub(crate) fn give_up_over_limit(&mut self, key: JobKey) -> Option<String> {
        let mut losses = self.losses.of_job(key).iter().rev();
        let over_limit = |loss: &&RunLoss| self.losses.count(key, loss.run.task).is_over_limit();
        let run = losses.find(over_limit)?.run;
        let losses = self.losses.of_job(key).iter();
        let workers = losses.filter(|loss| loss.run.task == run.task && loss.counts());
        let workers: Vec<&str> = workers.map(|loss| loss.worker_id.as_str()).collect();
        let reason = format!("{}: {}", self.describe_losses(run), workers.join(", "));
        let message = format!("task {} of job {key:016x} is given up: {reason}", run.task);
        self.log(Event::TaskGivenUp, Subject::Run(run), message);
        Some(reason)
    }

    /// Whether workers were lost under a task, so that it is kept apart from
    /// others.
    pub(crate) fn is_suspect(&self, key: JobKey, index: TaskIndex) -> bool {
        self.losses.count(key, index).is_suspect()
    }

    fn log_losses(&mut self, worker_id: &WorkerId, evidence: LossEvidence, losses: &[RunLoss]) {
        let shown = match evidence {
            // The event of the expired lease has the runs.
            LossEvidence::Silent => return,
            LossEvidence::ConnectionRefused => "crashed (it refuses connections) with",
            LossEvidence::Restarted => "crashed (a later incarnation was seen) with",
            LossEvidence::Answered => "had not crashed, it answers again; it lost",
        };
        let runs = list_runs(losses.iter().map(|loss| loss.run));
        self.log(
            Event::WorkerCrashed,
            Subject::Worker(worker_id.clone()),
            format!(
                "worker {worker_id} {shown} {} runs on it: {runs}",
                losses.len()
            ),
        );
    }

    /// Handles an answer of a worker: the runs that it lost were not lost by a
    /// crash.
    pub(crate) fn withdraw_losses(&mut self, worker_key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        worker.refused_polls = 0;
        if worker.lost_runs.is_empty() {
            return;
        }
        self.record_losses(worker_key, LossEvidence::Answered);
        if let Some(worker) = self.workers.get_mut(&worker_key) {
            worker.lost_runs.clear();
        }
    }

    /// Describes the workers that were lost under the task of a run.
    pub(crate) fn describe_losses(&self, run: RunId) -> String {
        let count = self.losses.count(run.job, run.task);
        format!(
            "{} workers crashed and {} became silent under its task",
            count.crashed, count.silent
        )
    }
}

impl RunLoss {
    /// Whether the loss still holds.
    fn counts(&self) -> bool {
        self.evidence != LossEvidence::Answered
    }
}

impl Worker {
    fn incarnation(&self) -> (WorkerId, u64) {
        (self.report.worker_id.clone(), self.report.born_unix_ms)
    }
}

/// Lists runs for a log line.
pub(crate) fn list_runs(runs: impl Iterator<Item = RunId>) -> String {
    let runs: Vec<String> = runs.map(|run| run.to_string()).collect();
    runs.join(", ")
}
