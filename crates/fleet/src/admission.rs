//! Admission and completion of jobs.

use std::time::Duration;

use hornbeam_core::event::Event;
use indexmap::IndexMap;

use crate::fleet::Fleet;
use crate::io::{CallId, FleetOutput, JobTimes, Subject};
use crate::job::{
    DISPATCH_OVERHEAD, Job, JobKey, JobOutcome, NotRun, RunId, Submission, Task, TaskState,
};
use crate::lease::RUN_END_LIMIT;
use crate::peer_messages::PeerMessage;
use crate::queues::Queue;
use crate::run_times::scaled;

/// Share of a job's slack that it may wait for resources, in percent.
const MAX_WAIT_PERCENT: u32 = 60;

/// Time by which jobs of priority 0 precede others with the same latest start
/// time. It exceeds the time that other jobs usually have until their latest
/// start.
const TOP_PRIORITY_LEAD: Duration = Duration::from_millis(150);

/// Delay after which a refused caller may retry, without `fair_admission`.
pub(crate) const RETRY_AFTER_MS: u64 = 1000;

/// Time for which the end of a job is remembered. A call that was delayed in
/// the network can arrive seconds after the answer.
const RECENT_JOB_RETENTION: Duration = Duration::from_secs(20);

/// Largest number of job ends to remember.
const MAX_RECENT_JOBS: usize = 4096;

/// `RecentJobs` remembers how jobs ended, so that a resubmitted job gets the
/// same answer, or continues with higher attempt numbers.
#[derive(Debug, Default)]
pub(crate) struct RecentJobs {
    ends: IndexMap<JobKey, RecentJob>,
}

#[derive(Clone, Copy, Debug)]
struct RecentJob {
    outcome: JobOutcome,
    attempt: u32,
    ended_at: Duration,
    runs_end_by: Duration,
}

impl RecentJobs {
    fn remember(&mut self, key: JobKey, end: RecentJob) {
        let is_old = |(_, earlier): &(&JobKey, &RecentJob)| {
            end.ended_at > earlier.ended_at + RECENT_JOB_RETENTION
        };
        let stale = self.ends.iter().take_while(is_old).count();
        let surplus = (self.ends.len() + 1).saturating_sub(MAX_RECENT_JOBS);
        self.ends.drain(..stale.max(surplus));
        self.ends.shift_remove(&key);
        self.ends.insert(key, end);
    }

    fn get(&self, key: JobKey, now: Duration) -> Option<RecentJob> {
        let end = self.ends.get(&key)?;
        (now <= end.ended_at + RECENT_JOB_RETENTION).then_some(*end)
    }
}

impl Fleet {
    pub(crate) fn on_submitted(&mut self, call: CallId, submission: Submission) {
        if let Some(job) = self.jobs.get_mut(&submission.job) {
            // The caller lost its connection and has resubmitted the job.
            let previous_call = std::mem::replace(&mut job.call, call);
            return self.emit(FleetOutput::Answer(previous_call, JobOutcome::TimedOut));
        }
        if let Some(outcome) = self.final_outcome(submission.job) {
            return self.emit(FleetOutput::Answer(call, outcome));
        }
        if let Some(refusal) = self.refusal() {
            return self.refuse(
                call,
                submission.job,
                refusal,
                "the host accepts no jobs now",
            );
        }
        let queues = self.queues.clone();
        let queue = queues.as_ref().and_then(|queues| {
            let named = |queue: &&Queue| queue.name == submission.queue;
            queues.queues.iter().find(named)
        });
        let Some(queue) = queue else {
            let reason = format!("queue {} is not configured", submission.queue);
            return self.refuse(call, submission.job, NotRun::UnknownQueue, &reason);
        };
        let need = &submission.need;
        if !self.known_capacities.can_fit(&queue.service, need) {
            self.log(
                Event::FleetJobFailed,
                Subject::Job(submission.job),
                format!(
                    "job {:016x} failed: each task needs {} millicores and {} MB, more than any worker ever had",
                    submission.job, submission.need.cpu_milli, submission.need.memory_mb
                ),
            );
            return self.emit(FleetOutput::Answer(call, JobOutcome::Failed));
        }
        let mut job = self.new_job(call, &submission, queue);
        if self.options.scheduling.fair_admission {
            job.effective_start_by = self.place_of(submission.job, &job);
        }
        if !job.may_have_started()
            && let Some(reason) = self.unservable_reason(&job)
        {
            let refusal = self.overloaded(submission.job);
            return self.refuse(call, submission.job, refusal, &reason);
        }
        self.add_job(submission.job, job);
    }

    /// Gets the reason if the job could not be served at present.
    fn unservable_reason(&mut self, job: &Job) -> Option<String> {
        if self.fits_nowhere(&job.service, &job.need) {
            return Some("each task needs more than any worker has at present".into());
        }
        if self.options.scheduling.fair_admission {
            let late = self.check_start_by_work(job).err()?;
            return Some(late.to_string());
        }
        self.late_start_reason(job)
    }

    fn refusal(&self) -> Option<NotRun> {
        match self.drain_started {
            Some(started) if self.now >= started + self.options.drain_accept_for => {
                Some(NotRun::Draining)
            }
            _ if self.queues.is_none() => Some(NotRun::NotReady),
            _ => None,
        }
    }

    /// Gets the outcome of a job that has ended for good: a former call got it,
    /// or one of its tasks must not start again.
    fn final_outcome(&mut self, job: JobKey) -> Option<JobOutcome> {
        let is_final =
            |outcome: &JobOutcome| matches!(outcome, JobOutcome::Completed | JobOutcome::Failed);
        let recent = self.recent_jobs.get(job, self.now);
        if let Some(outcome) = recent.map(|end| end.outcome).filter(is_final) {
            return Some(outcome);
        }
        let (outcome, reason) = self.check_loss_limit(job)?;
        let message = format!("job {job:016x} ends as {outcome:?}: {reason}");
        self.log(Event::FleetJobFailed, Subject::Job(job), message);
        Some(outcome)
    }

    /// Whether an earlier call for a job may have run some of it, here or at
    /// another host.
    fn may_have_run(&self, job: JobKey) -> bool {
        let recent = self.recent_jobs.get(job, self.now);
        recent.is_some_and(|end| end.attempt > 0) || !self.losses.of_job(job).is_empty()
    }

    /// Refuses a job. If an earlier call may have run some of it, the answer does
    /// not say that nothing has run.
    fn refuse(&mut self, call: CallId, job: JobKey, refusal: NotRun, reason: &str) {
        if refusal != NotRun::UnknownQueue && self.may_have_run(job) {
            let message =
                format!("job {job:016x} is not accepted, and may have run before: {reason}");
            self.log(Event::FleetJobFailed, Subject::Job(job), message);
            return self.emit(FleetOutput::Answer(call, JobOutcome::TimedOut));
        }
        let message = format!("job {job:016x} refused, nothing ran: {refusal:?}, {reason}");
        self.log(Event::FleetJobRefused, Subject::Job(job), message);
        self.emit(FleetOutput::Answer(call, JobOutcome::NotRun(refusal)));
    }

    fn new_job(&self, call: CallId, submission: &Submission, queue: &Queue) -> Job {
        let recent = self.recent_jobs.get(submission.job, self.now);
        let expected = self
            .estimates
            .expected_run_time(&queue.name, submission.estimate);
        let objective = scaled(expected, queue.stretch) + queue.objective_extra;
        let timeout = submission.timeout;
        let state = match recent {
            Some(end) if end.runs_end_by > self.now => TaskState::AwaitingExpiry(end.runs_end_by),
            _ => TaskState::Queued,
        };
        let queued = if state == TaskState::Queued {
            submission.tasks as usize
        } else {
            0
        };
        let task = Task {
            attempt: recent.map_or(0, |end| end.attempt),
            attempts_skipped: 0,
            failures: 0,
            avoid: None,
            state,
        };
        let slack = objective
            .saturating_sub(expected)
            .saturating_sub(DISPATCH_OVERHEAD);
        let start_by = self.now + slack * max_wait_percent(queue.priority) / 100;
        Job {
            effective_start_by: start_by.saturating_sub(priority_lead(queue.priority)),
            call,
            queue: queue.name.clone(),
            service: queue.service.clone(),
            spec: submission.spec.clone(),
            priority: queue.priority,
            need: submission.need,
            expected,
            declared: submission.estimate,
            attempts: queue.attempts.max(1),
            arrived_at: self.now,
            start_by,
            objective_at: self.now + objective,
            deadline: self.now + timeout,
            tasks: vec![task; submission.tasks as usize],
            done: 0,
            queued,
            possibly_started: 0,
            // An earlier call for the job may have run some of it, so the
            // answer to this one must not be that nothing ran.
            may_have_run_before: self.may_have_run(submission.job),
            first_start_at: None,
        }
    }

    fn add_job(&mut self, key: JobKey, job: Job) {
        self.deadlines.insert((job.deadline, key));
        if job.queued > 0 {
            self.queued_jobs.insert((job.effective_start_by, key));
        }
        for (index, task) in (0..).zip(&job.tasks) {
            if let TaskState::AwaitingExpiry(until) = task.state {
                self.awaiting_expiry.insert((until, key, index));
            }
        }
        self.jobs.insert(key, job);
    }

    pub(crate) fn on_caller_disconnected(&mut self, call: CallId, key: JobKey) {
        let waits = self.jobs.get(&key).is_some_and(|job| job.call == call);
        if waits {
            self.end_job(key, JobOutcome::TimedOut, "the caller disconnected");
        }
    }

    /// Ends jobs whose timeout has passed.
    pub(crate) fn end_expired_jobs(&mut self) {
        while let Some((at, key)) = self.deadlines.first().copied()
            && at <= self.now
        {
            self.deadlines.pop_first();
            let started = self.jobs.get(&key).is_some_and(Job::may_have_started);
            if started {
                self.end_job(key, JobOutcome::TimedOut, "its timeout has passed");
            } else {
                let outcome = JobOutcome::NotRun(self.overloaded(key));
                self.end_job(key, outcome, "no resources became free before its timeout");
            }
        }
        self.refuse_late_jobs();
    }

    /// Refuses jobs that have not started and can no longer meet their
    /// objective. Starting them later would take resources from jobs that still
    /// can.
    fn refuse_late_jobs(&mut self) {
        let is_late = |key: &JobKey| {
            let job = self.jobs.get(key);
            job.is_some_and(|job| {
                job.start_by <= self.now && !job.may_have_started() && !self.may_start_late(job)
            })
        };
        let keys = self.queued_jobs.iter().map(|(_, key)| *key);
        let late: Vec<JobKey> = keys.filter(is_late).collect();
        for key in late {
            let outcome = JobOutcome::NotRun(self.overloaded(key));
            self.end_job(key, outcome, "it can no longer meet its objective");
        }
    }

    /// Whether a job past its latest start time starts in this step, because all
    /// its tasks fit free resources. Cores that become free in the step of that
    /// time, or tasks that a peer returns then, would else be of no use to it.
    fn may_start_late(&self, job: &Job) -> bool {
        self.options.scheduling.fair_admission
            && self.now + job.expected < job.objective_at
            && self.has_free_slots(job)
    }

    /// Answers the caller of a job and stops its remaining runs.
    pub(crate) fn end_job(&mut self, key: JobKey, outcome: JobOutcome, reason: &str) {
        let Some(job) = self.jobs.swap_remove(&key) else {
            return;
        };
        self.emit(FleetOutput::Answer(job.call, outcome));
        self.queued_jobs.remove(&(job.effective_start_by, key));
        self.deadlines.remove(&(job.deadline, key));
        self.log_end(key, &job, outcome, reason);
        self.record_times(&job, outcome);
        let mut runs_ended = true;
        for (index, task) in (0..).zip(&job.tasks) {
            let run = RunId {
                job: key,
                task: index,
                attempt: task.attempt,
            };
            match &task.state {
                TaskState::Local(worker_key) => self.request_stop(*worker_key, run),
                TaskState::Remote(host) => {
                    if let Some(peer) = self.peers.get_mut(host) {
                        peer.push(PeerMessage::Stop(vec![run]));
                    }
                }
                TaskState::AwaitingExpiry(until) => {
                    self.awaiting_expiry.remove(&(*until, key, index));
                }
                TaskState::Queued | TaskState::Done => continue,
            }
            runs_ended = false;
        }
        let attempt = job.tasks.iter().map(|task| task.attempt).max();
        let runs_end_by = if runs_ended {
            self.now
        } else {
            self.now + RUN_END_LIMIT
        };
        let end = RecentJob {
            outcome,
            attempt: attempt.unwrap_or(0),
            ended_at: self.now,
            runs_end_by,
        };
        self.recent_jobs.remember(key, end);
    }

    fn record_times(&mut self, job: &Job, outcome: JobOutcome) {
        let first_start = job.first_start_at;
        self.emit(FleetOutput::RecordTimes(JobTimes {
            queue: job.queue.clone(),
            outcome,
            total: self.now.saturating_sub(job.arrived_at),
            to_first_start: first_start.map(|at| at.saturating_sub(job.arrived_at)),
            over_objective: self.now.saturating_sub(job.objective_at),
        }));
    }

    fn log_end(&mut self, key: JobKey, job: &Job, outcome: JobOutcome, reason: &str) {
        let event = match outcome {
            JobOutcome::Completed => Event::FleetJobCompleted,
            JobOutcome::NotRun(_) => Event::FleetJobRefused,
            JobOutcome::Failed | JobOutcome::TimedOut => Event::FleetJobFailed,
        };
        let since = |at: Duration| at.saturating_sub(job.arrived_at).as_millis();
        let first_start = job
            .first_start_at
            .map_or_else(|| "none".to_owned(), |at| format!("{} ms", since(at)));
        self.log(
            event,
            Subject::Job(key),
            format!(
                "job {key:016x} of queue {} ended as {outcome:?}: {reason}; {} of {} tasks done after {} ms, first start {first_start}, objective {} ms, waiting tasks {}, owned workers {}",
                job.queue,
                job.done,
                job.tasks.len(),
                since(self.now),
                since(job.objective_at),
                self.waiting_tasks(),
                self.workers.len(),
            ),
        );
    }
}

/// Gets the share of a job's slack that it may wait for resources, in percent.
const fn max_wait_percent(priority: u32) -> u32 {
    match priority {
        0 => 100,
        _ => MAX_WAIT_PERCENT,
    }
}

const fn priority_lead(priority: u32) -> Duration {
    match priority {
        0 => TOP_PRIORITY_LEAD,
        _ => Duration::ZERO,
    }
}
