//! Arrival and end of jobs.

use std::time::Duration;

use hornbeam_core::event::Event;
use indexmap::IndexMap;

use crate::fleet::Fleet;
use crate::io::{CallId, FleetOutput, JobTimes, Subject};
use crate::job::{Job, JobKey, JobOutcome, NotRun, RunId, Submission, Task, TaskState};
use crate::peer::PeerMessage;
use crate::queues::Queue;

/// Part of the objective that orders, answers and looks take.
const OVERHEAD: Duration = Duration::from_millis(12);

/// Time by which jobs of priority 0 go before others that must start at the
/// same time: longer than the others' jobs usually have until they must start.
const FIRST_PRIORITY_LEAD: Duration = Duration::from_millis(150);

/// Time after which a refused caller is told to come back.
const RETRY_AFTER_MS: u64 = 1000;

/// Time after the end of a job within which its last runs are over: a stop is
/// sent at once, and without an answer the lease ends.
const RUNS_OVER_AFTER: Duration = Duration::from_millis(1100);

/// Time for which the end of a job is remembered. A call that was lost on its
/// way arrives seconds after the answer.
const REMEMBERED_FOR: Duration = Duration::from_secs(20);

/// Most ends of jobs that are remembered.
const MAX_REMEMBERED: usize = 4096;

/// `RecentJobs` remembers how jobs ended, so that one that is sent again gets
/// its answer again, or starts above its earlier attempts.
#[derive(Debug, Default)]
pub(crate) struct RecentJobs {
    ends: IndexMap<JobKey, RecentJob>,
}

#[derive(Clone, Copy, Debug)]
struct RecentJob {
    outcome: JobOutcome,
    attempt: u32,
    at: Duration,
    over_at: Duration,
}

impl RecentJobs {
    fn remember(&mut self, key: JobKey, end: RecentJob) {
        let old = |(_, end_of): &(&JobKey, &RecentJob)| end.at > end_of.at + REMEMBERED_FOR;
        let stale = self.ends.iter().take_while(old).count();
        let surplus = (self.ends.len() + 1).saturating_sub(MAX_REMEMBERED);
        self.ends.drain(..stale.max(surplus));
        self.ends.shift_remove(&key);
        self.ends.insert(key, end);
    }

    fn get(&self, key: JobKey, now: Duration) -> Option<RecentJob> {
        let end = self.ends.get(&key)?;
        (now <= end.at + REMEMBERED_FOR).then_some(*end)
    }
}

impl Fleet {
    pub(crate) fn on_submitted(&mut self, call: CallId, submission: Submission) {
        if let Some(job) = self.jobs.get_mut(&submission.job) {
            // The caller lost its connection and has sent the job again.
            let former = std::mem::replace(&mut job.call, call);
            return self.put(FleetOutput::Answer(former, JobOutcome::TimedOut));
        }
        if let Some(refusal) = self.refusal() {
            return self.refuse(call, submission.job, refusal, "the host takes no job now");
        }
        let queues = self.queues.clone();
        let queue = queues.as_ref().and_then(|queues| {
            let named = |queue: &&Queue| queue.name == submission.queue;
            queues.queues.iter().find(named)
        });
        let Some(queue) = queue else {
            let reason = format!("there is no queue {}", submission.queue);
            return self.refuse(call, submission.job, NotRun::UnknownQueue, &reason);
        };
        let recent = self.recent.get(submission.job, self.now);
        if let Some(end) = recent
            && matches!(end.outcome, JobOutcome::Completed | JobOutcome::Failed)
        {
            return self.put(FleetOutput::Answer(call, end.outcome));
        }
        if self.fits_nowhere(&queue.service, &submission.need) {
            self.log(
                Event::FleetJobFailed,
                Subject::Job(submission.job),
                format!(
                    "job {:016x} failed: its tasks need {} thousandths of a core and {} MB, more than any worker has",
                    submission.job, submission.need.cpu_milli, submission.need.memory_mb
                ),
            );
            return self.put(FleetOutput::Answer(call, JobOutcome::Failed));
        }
        let job = self.new_job(call, &submission, queue, recent);
        if !job.may_have_started()
            && let Some(reason) = self.comes_too_late(&job)
        {
            let refusal = NotRun::Overloaded {
                retry_after_ms: RETRY_AFTER_MS,
            };
            return self.refuse(call, submission.job, refusal, &reason);
        }
        self.add_job(submission.job, job);
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

    fn refuse(&mut self, call: CallId, job: JobKey, refusal: NotRun, reason: &str) {
        let message = format!("job {job:016x} refused, nothing ran: {refusal:?}, {reason}");
        self.log(Event::FleetJobRefused, Subject::Job(job), message);
        self.put(FleetOutput::Answer(call, JobOutcome::NotRun(refusal)));
    }

    fn new_job(
        &self,
        call: CallId,
        submission: &Submission,
        queue: &Queue,
        recent: Option<RecentJob>,
    ) -> Job {
        let expected = self.estimates.expect(&queue.name, submission.estimate);
        let objective = expected.mul_f64(queue.stretch) + queue.objective_extra;
        let timeout = submission.timeout;
        let state = match recent {
            Some(end) if end.over_at > self.now => TaskState::Lingering(end.over_at),
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
        let start_by = self.now + objective.saturating_sub(expected).saturating_sub(OVERHEAD);
        Job {
            urgency: start_by.saturating_sub(lead_of(queue.priority)),
            call,
            queue: queue.name.clone(),
            service: queue.service.clone(),
            spec: submission.spec.clone(),
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
            // An earlier call for the job may have run some of it, so this one
            // must not be told that nothing ran.
            begun: 0,
            ran_before: recent.is_some_and(|end| end.attempt > 0),
            first_start_at: None,
        }
    }

    fn add_job(&mut self, key: JobKey, job: Job) {
        self.deadlines.insert((job.deadline, key));
        if job.queued > 0 {
            self.urgent.insert((job.urgency, key));
        }
        for (index, task) in (0..).zip(&job.tasks) {
            if let TaskState::Lingering(until) = task.state {
                self.lingering.insert((until, key, index));
            }
        }
        self.jobs.insert(key, job);
    }

    pub(crate) fn on_caller_gone(&mut self, call: CallId, key: JobKey) {
        let waits = self.jobs.get(&key).is_some_and(|job| job.call == call);
        if waits {
            self.end_job(key, JobOutcome::TimedOut, "its caller has gone");
        }
    }

    /// Ends jobs whose time is over.
    pub(crate) fn give_up_jobs(&mut self) {
        while let Some((at, key)) = self.deadlines.first().copied()
            && at <= self.now
        {
            self.deadlines.pop_first();
            let started = self.jobs.get(&key).is_some_and(Job::may_have_started);
            if started {
                self.end_job(key, JobOutcome::TimedOut, "its time is over");
            } else {
                self.end_job(key, overloaded(), "it found no room in its time");
            }
        }
        self.refuse_late_jobs();
    }

    /// Refuses jobs that have not started and can no longer meet their
    /// objective. Later starts would take the room of jobs that still can.
    fn refuse_late_jobs(&mut self) {
        let is_late = |key: &JobKey| {
            let job = self.jobs.get(key);
            job.is_some_and(|job| job.start_by <= self.now && !job.may_have_started())
        };
        let keys = self.urgent.iter().map(|(_, key)| *key);
        let late: Vec<JobKey> = keys.filter(is_late).collect();
        for key in late {
            self.end_job(key, overloaded(), "it can no longer meet its objective");
        }
    }

    /// Answers a job's caller and stops what still runs.
    pub(crate) fn end_job(&mut self, key: JobKey, outcome: JobOutcome, reason: &str) {
        let Some(job) = self.jobs.swap_remove(&key) else {
            return;
        };
        self.put(FleetOutput::Answer(job.call, outcome));
        self.urgent.remove(&(job.urgency, key));
        self.deadlines.remove(&(job.deadline, key));
        self.log_end(key, &job, outcome, reason);
        self.measure(&job, outcome);
        let mut is_over = true;
        for (index, task) in (0..).zip(&job.tasks) {
            let run = RunId {
                job: key,
                task: index,
                attempt: task.attempt,
            };
            match &task.state {
                TaskState::Local(worker_key) => self.want_stop(*worker_key, run),
                TaskState::Remote(host) => {
                    if let Some(peer) = self.peers.get_mut(host) {
                        peer.push(PeerMessage::Stop(vec![run]));
                    }
                }
                TaskState::Lingering(until) => {
                    self.lingering.remove(&(*until, key, index));
                }
                TaskState::Queued | TaskState::Done => continue,
            }
            is_over = false;
        }
        let attempt = job.tasks.iter().map(|task| task.attempt).max();
        let over_at = if is_over {
            self.now
        } else {
            self.now + RUNS_OVER_AFTER
        };
        let end = RecentJob {
            outcome,
            attempt: attempt.unwrap_or(0),
            at: self.now,
            over_at,
        };
        self.recent.remember(key, end);
    }

    fn measure(&mut self, job: &Job, outcome: JobOutcome) {
        let first_start = job.first_start_at;
        self.put(FleetOutput::RecordTimes(JobTimes {
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

const fn lead_of(priority: u32) -> Duration {
    match priority {
        0 => FIRST_PRIORITY_LEAD,
        _ => Duration::ZERO,
    }
}

const fn overloaded() -> JobOutcome {
    JobOutcome::NotRun(NotRun::Overloaded {
        retry_after_ms: RETRY_AFTER_MS,
    })
}
