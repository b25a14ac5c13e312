//! Losses of runs on the workers of this host, and what follows for their jobs.

use hornbeam_core::event::Event;
use hornbeam_core::ids::{HostId, TaskIndex, WorkerId};
use indexmap::IndexMap;

use crate::fleet::Fleet;
use crate::io::Subject;
use crate::job::{JobKey, JobOutcome, RunId, TaskState};
use crate::loss_log::{LossEvidence, RunLoss};
use crate::worker::{LostRun, RunState, Worker, WorkerKey};

/// Number of refused connections since its last answer after which a worker counts
/// as crashed. A single one may be a worker whose queue of new connections is full.
const REFUSALS_OF_CRASHED_WORKER: u32 = 2;

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
        for (id, run) in &worker.runs {
            let lost_run = worker.lost_runs.entry(*id);
            lost_run.or_insert_with(|| LostRun {
                origin: peer_tasks.get(id).map(|task| task.origin.clone()),
                has_started: matches!(run.state, RunState::Running(_)) && run.is_confirmed,
            });
        }
        let lost_runs = worker.lost_runs.clone();
        let (worker_id, born_unix_ms) = worker.incarnation();
        let mut news = Vec::new();
        let mut news_by_job: IndexMap<(JobKey, Option<HostId>), Vec<RunLoss>> = IndexMap::new();
        for (run, lost_run) in lost_runs {
            let loss = RunLoss {
                run,
                worker_id: worker_id.clone(),
                born_unix_ms,
                evidence,
                has_started: lost_run.has_started,
            };
            if self.losses.record(loss.clone(), now) {
                let job = news_by_job.entry((run.job, lost_run.origin)).or_default();
                job.push(loss.clone());
                news.push(loss);
            }
        }
        if !news.is_empty() {
            self.log_losses(&worker_id, evidence, &news);
        }
        for loss in news {
            self.end_job_at_loss_limit(loss.run.job, loss.run.task);
        }
        for ((_, origin), losses) in news_by_job {
            self.share_losses(origin, losses);
        }
    }

    /// Ends a job if one of its tasks that are not done has lost too many
    /// workers.
    pub(crate) fn end_job_at_loss_limit(&mut self, key: JobKey, index: TaskIndex) {
        let task = self
            .jobs
            .get(&key)
            .and_then(|job| job.tasks.get(index as usize));
        let is_open = task.is_some_and(|task| task.state != TaskState::Done);
        if is_open && let Some((outcome, reason)) = self.check_loss_limit(key) {
            self.end_job(key, outcome, &reason);
        }
    }

    /// Gets the outcome and the reason to give up a job of which a task has lost too
    /// many workers, and logs that decision.
    pub(crate) fn check_loss_limit(&mut self, key: JobKey) -> Option<(JobOutcome, String)> {
        let mut losses = self.losses.of_job(key).iter().rev();
        let (run, outcome) = losses.find_map(|loss| {
            let count = self.losses.count(key, loss.run.task);
            Some((loss.run, count.outcome_at_limit()?))
        })?;
        let losses = self.losses.of_job(key).iter();
        let workers = losses.filter(|loss| loss.run.task == run.task && loss.counts());
        let workers: Vec<&str> = workers.map(|loss| loss.worker_id.as_str()).collect();
        let reason = format!("{}: {}", self.describe_losses(run), workers.join(", "));
        let message = format!("task {} of job {key:016x} is given up: {reason}", run.task);
        self.log(Event::TaskGivenUp, Subject::Run(run), message);
        Some((outcome, reason))
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
