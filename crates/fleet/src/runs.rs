//! Ends of runs and what follows for their tasks.

use std::time::Duration;

use hornbeam_core::event::Event;

use crate::fleet::Fleet;
use crate::io::{RunEnd, Subject};
use crate::job::{JobOutcome, RunId, TaskState};
use crate::peer::PeerMessage;
use crate::worker::WorkerKey;

/// Attempts that are passed over when a worker knows a later run of a task: a
/// host that had the job before has used the numbers.
const ATTEMPT_GAP: u32 = 8;

impl Fleet {
    /// Takes note of the end of a run on an own worker. The run has been taken
    /// off the worker.
    pub(crate) fn run_ended(
        &mut self,
        worker_key: WorkerKey,
        id: RunId,
        end: RunEnd,
        took: Option<Duration>,
    ) {
        self.room_changed = true;
        if let Some(took) = took {
            self.run_times.learn(took);
        }
        match end {
            RunEnd::Done => self.note_success(worker_key),
            RunEnd::Failed => self.note_failure(worker_key),
            RunEnd::Lost => {}
        }
        if let Some(guest) = self.guests.swap_remove(&id) {
            let took_ms = took.map_or(0, |took| took.as_millis() as u64);
            if let Some(peer) = self.peers.get_mut(&guest.origin) {
                peer.push(PeerMessage::Ended(id, end, took_ms));
            }
            return;
        }
        if end == RunEnd::Done
            && let Some(took) = took
            && let Some(job) = self.jobs.get(&id.job)
        {
            self.estimates.learn(&job.queue, job.declared, took);
        }
        self.task_ended(id, end, Some(worker_key));
    }

    /// Decides what the end of a run means for its task and job.
    pub(crate) fn task_ended(&mut self, id: RunId, end: RunEnd, on: Option<WorkerKey>) {
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
                    self.end_job(id.job, JobOutcome::Completed, "every task is done");
                }
            }
            RunEnd::Failed => {
                task.failures += 1;
                task.avoid = on;
                if task.failures >= attempts {
                    return self.end_job(id.job, JobOutcome::Failed, "a task used up its attempts");
                }
                self.log(
                    Event::RunRetried,
                    Subject::Run(id),
                    format!("run {id} failed and is repeated"),
                );
                self.requeue(id);
            }
            RunEnd::Lost => {
                task.avoid = on;
                self.log(
                    Event::RunRetried,
                    Subject::Run(id),
                    format!("run {id} was lost and is repeated"),
                );
                self.requeue(id);
            }
        }
    }

    /// A run has provably not started; its task or its origin gets it back.
    pub(crate) fn run_unstarted(&mut self, id: RunId, on: WorkerKey) {
        if let Some(guest) = self.guests.swap_remove(&id) {
            if let Some(peer) = self.peers.get_mut(&guest.origin) {
                peer.push(PeerMessage::Refused(vec![id]));
            }
            return;
        }
        let job = self.jobs.get_mut(&id.job);
        if let Some(task) = job.and_then(|job| job.current_mut(id)) {
            task.avoid = Some(on);
            self.take_back(id);
        }
    }

    /// Puts the task of a run that provably did not start back into the queue.
    pub(crate) fn take_back(&mut self, id: RunId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let is_out =
            |state: &TaskState| matches!(state, TaskState::Local(_) | TaskState::Remote(_));
        let is_current = job.current_mut(id).is_some_and(|task| is_out(&task.state));
        if is_current {
            job.begun = job.begun.saturating_sub(1);
            self.requeue(id);
        }
    }

    /// Puts the task of an ended run back into the queue.
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
        self.urgent.insert((job.urgency, id.job));
    }

    /// Keeps a task back until its last run is over.
    pub(crate) fn linger(&mut self, id: RunId, until: Duration) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.current_mut(id) else {
            return;
        };
        if matches!(task.state, TaskState::Local(_) | TaskState::Remote(_)) {
            task.state = TaskState::Lingering(until);
            self.lingering.insert((until, id.job, id.task));
        }
    }

    /// Queues the tasks whose last run is over now.
    pub(crate) fn release_lingering(&mut self) {
        while let Some((until, key, index)) = self.lingering.first().copied()
            && until <= self.now
        {
            self.lingering.pop_first();
            let job = self.jobs.get_mut(&key);
            let Some(task) = job.and_then(|job| job.task_mut(index)) else {
                continue;
            };
            if task.state == TaskState::Lingering(until) {
                let run = RunId {
                    job: key,
                    task: index,
                    attempt: task.attempt,
                };
                self.requeue(run);
            }
        }
    }

    /// Raises the attempt of a task above those that another host may have
    /// used.
    pub(crate) fn raise_attempt(&mut self, id: RunId) {
        if self.guests.contains_key(&id) {
            return;
        }
        let job = self.jobs.get_mut(&id.job);
        if let Some(task) = job.and_then(|job| job.current_mut(id)) {
            task.attempts_skipped = ATTEMPT_GAP;
        }
    }
}
