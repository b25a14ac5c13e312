//! Handling of ended runs and of their tasks.

use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_placement::Pace;

use crate::fleet::Fleet;
use crate::io::{RunEnd, Subject};
use crate::job::{JobOutcome, RunId, TaskState};
use crate::peer_messages::PeerMessage;
use crate::worker::WorkerKey;

/// Number of attempts to skip when a worker already knows a later run of a
/// task. A host that handled the job before has used those numbers.
const ATTEMPT_GAP: u32 = 8;

impl Fleet {
    /// Handles the end of a run on a worker of this host. The caller has
    /// already removed the run from the worker.
    pub(crate) fn run_ended(
        &mut self,
        worker_key: WorkerKey,
        id: RunId,
        end: RunEnd,
        took: Option<Duration>,
    ) {
        self.resources_changed = true;
        self.observe_end(worker_key, id, end, took);
        if let Some(took) = took {
            self.mean_run_time.record(took);
            self.record_work(id, took);
        }
        match end {
            RunEnd::Done => self.record_success(worker_key),
            RunEnd::Failed => self.record_failure(worker_key),
            RunEnd::Lost => {}
        }
        // Estimates hold the time on a worker of mean pace.
        let worker = self.workers.get(&worker_key);
        let pace = worker.map_or(Pace::MEAN, |worker| self.worker_pace(worker));
        let took = took.map(|took| pace.mean_time_of(took));
        if let Some(peer_task) = self.peer_tasks.swap_remove(&id) {
            let took_ms = took.map_or(0, |took| took.as_millis() as u64);
            if let Some(peer) = self.peers.get_mut(&peer_task.origin) {
                peer.push(PeerMessage::Ended(id, end, took_ms));
            }
            return;
        }
        if end == RunEnd::Done
            && let Some(took) = took
            && let Some(job) = self.jobs.get(&id.job)
        {
            self.estimates.record(&job.queue, job.declared, took);
        }
        self.task_ended(id, end, Some(worker_key));
    }

    /// Records the work of an ended run for the wait estimate.
    fn record_work(&mut self, id: RunId, took: Duration) {
        let of_peer = self.peer_tasks.get(&id).map(|task| task.chunk.need);
        let need = of_peer.or_else(|| Some(self.jobs.get(&id.job)?.need));
        if let Some(need) = need {
            self.mean_work.record(need.cpu_milli, took);
        }
    }

    /// Updates the task and the job of an ended run.
    pub(crate) fn task_ended(&mut self, id: RunId, end: RunEnd, worker_key: Option<WorkerKey>) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let attempts = job.attempts;
        let tasks = job.tasks.len();
        let Some(task) = job.current_mut(id) else {
            return;
        };
        if task.state == TaskState::Done {
            return;
        }
        match end {
            RunEnd::Done => {
                task.state = TaskState::Done;
                job.done += 1;
                if job.done == tasks {
                    self.end_job(id.job, JobOutcome::Completed, "all tasks are done");
                }
            }
            RunEnd::Failed => {
                task.failures += 1;
                task.avoid = worker_key;
                if task.failures >= attempts {
                    return self.end_job(id.job, JobOutcome::Failed, "a task has no attempts left");
                }
                self.log(
                    Event::RunRetried,
                    Subject::Run(id),
                    format!("run {id} failed; its task is queued again"),
                );
                self.requeue(id);
            }
            RunEnd::Lost => {
                task.avoid = worker_key;
                if let Some((outcome, reason)) = self.check_loss_limit(id.job) {
                    return self.end_job(id.job, outcome, &reason);
                }
                let losses = self.describe_losses(id);
                self.log(
                    Event::RunRetried,
                    Subject::Run(id),
                    format!("run {id} was lost; its task is queued again; {losses}"),
                );
                self.requeue(id);
            }
        }
    }

    /// Handles a run that has provably not started: its task is queued again,
    /// or returned to the host that it came from.
    pub(crate) fn on_run_not_started(&mut self, id: RunId, worker_key: WorkerKey) {
        self.observe_end(worker_key, id, RunEnd::Lost, None);
        if let Some(peer_task) = self.peer_tasks.swap_remove(&id) {
            if let Some(peer) = self.peers.get_mut(&peer_task.origin) {
                peer.push(PeerMessage::Refused(vec![id]));
            }
            return;
        }
        let job = self.jobs.get_mut(&id.job);
        if let Some(task) = job.and_then(|job| job.current_mut(id)) {
            task.avoid = Some(worker_key);
            self.requeue_unstarted(id);
        }
    }

    /// Queues the task of a run that provably did not start.
    pub(crate) fn requeue_unstarted(&mut self, id: RunId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let is_assigned =
            |state: &TaskState| matches!(state, TaskState::Local(_) | TaskState::Remote(_));
        let is_current = job
            .current_mut(id)
            .is_some_and(|task| is_assigned(&task.state));
        if is_current {
            job.possibly_started = job.possibly_started.saturating_sub(1);
            self.requeue(id);
        }
    }

    /// Queues the task of an ended run.
    pub(crate) fn requeue(&mut self, id: RunId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.current_mut(id) else {
            return;
        };
        if matches!(task.state, TaskState::Queued | TaskState::Done) {
            return;
        }
        task.state = TaskState::Queued;
        job.queued += 1;
        self.queued_jobs.insert((job.effective_start_by, id.job));
    }

    /// Keeps a task out of the queue until its last run has ended.
    pub(crate) fn hold_until_expiry(&mut self, id: RunId, until: Duration) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.current_mut(id) else {
            return;
        };
        if matches!(task.state, TaskState::Local(_) | TaskState::Remote(_)) {
            task.state = TaskState::AwaitingExpiry(until);
            self.awaiting_expiry.insert((until, id.job, id.task));
        }
    }

    /// Queues the tasks whose last run has ended by now.
    pub(crate) fn requeue_expired(&mut self) {
        while let Some((until, key, index)) = self.awaiting_expiry.first().copied()
            && until <= self.now
        {
            self.awaiting_expiry.pop_first();
            let job = self.jobs.get_mut(&key);
            let Some(task) = job.and_then(|job| job.task_mut(index)) else {
                continue;
            };
            if task.state == TaskState::AwaitingExpiry(until) {
                let run = RunId {
                    job: key,
                    task: index,
                    attempt: task.attempt,
                };
                self.requeue(run);
            }
        }
    }

    /// Skips attempt numbers of a task that another host may have used.
    pub(crate) fn skip_attempts(&mut self, id: RunId) {
        if self.peer_tasks.contains_key(&id) {
            return;
        }
        let job = self.jobs.get_mut(&id.job);
        if let Some(task) = job.and_then(|job| job.current_mut(id)) {
            task.attempts_skipped = ATTEMPT_GAP;
        }
    }
}
