//! Completion, failure and refusal of jobs.

use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer};
use hornbeam_core::event::Event;

use crate::charts::{JobEvent, JobState};
use crate::dispatcher::Dispatcher;
use crate::io::DispatchOutput;
use crate::job::{Job, Origin};
use crate::keys::JobKey;
use crate::leases::millis;
use crate::timers::Timer;

/// `JobError` is the reason why a job ends without a complete answer.
#[derive(Debug)]
struct JobError {
    outcome: Outcome,
    reason: Reason,
    message: String,
}

impl Dispatcher {
    /// Fails a job. The first lost task fails its job and the others are
    /// cancelled.
    pub(crate) fn fail_job(&mut self, key: JobKey, reason: Reason, message: impl Into<String>) {
        if !self.apply_job_event(key, JobEvent::Fail) {
            return;
        }
        let error = JobError {
            outcome: Outcome::Failed,
            reason,
            message: message.into(),
        };
        self.end_job(key, Some(error));
    }

    /// Refuses an admitted job of which no task has started.
    pub(crate) fn refuse_job(&mut self, key: JobKey, reason: Reason, message: impl Into<String>) {
        if !self.apply_job_event(key, JobEvent::Refuse) {
            return;
        }
        let error = JobError {
            outcome: Outcome::Refused,
            reason,
            message: message.into(),
        };
        self.end_job(key, Some(error));
    }

    /// Completes a job once every task has a result.
    pub(crate) fn complete_if_finished(&mut self, key: JobKey) {
        let finished = self
            .jobs
            .get(key)
            .is_some_and(|job| job.finished_tasks as usize == job.tasks.len());
        if finished && self.apply_job_event(key, JobEvent::Complete) {
            self.end_job(key, None);
        }
    }

    /// Fails the job of a caller that disconnected or cancelled it.
    pub(crate) fn on_caller_cancelled(&mut self, job_id: &str) {
        if let Some(key) = self.jobs.find(job_id) {
            self.fail_job(key, Reason::Cancelled, "The caller cancelled the job.");
        }
    }

    /// Refuses or fails a job whose deadline has passed.
    pub(crate) fn on_job_deadline(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.state == JobState::Claiming {
            let message = "The claim on the request id was not confirmed in time.";
            self.refuse_job(key, Reason::ClaimUnavailable, message);
        } else if job.no_task_started() {
            let message = "No task could be started before the deadline.";
            self.refuse_job(key, Reason::Overloaded, message);
        } else {
            let message = "The deadline passed before every task had ended.";
            self.fail_job(key, Reason::DeadlineExceeded, message);
        }
    }

    /// Applies an event to a job's state; `false` if the chart ignores it.
    pub(crate) fn apply_job_event(&mut self, key: JobKey, event: JobEvent) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            return false;
        };
        let Some(next) = self.charts.job.next(job.state, event) else {
            return false;
        };
        job.state = next;
        true
    }

    fn end_job(&mut self, key: JobKey, error: Option<JobError>) {
        let Some(mut job) = self.jobs.remove(key) else {
            return;
        };
        self.timers.clear(job.deadline, Timer::JobDeadline(key));
        self.remove_from_queue(key, &mut job);
        self.answer(&mut job, error);
        self.cancel_exchanges(&job);
        self.cancel_chunks(&job);
    }

    fn answer(&mut self, job: &mut Job, error: Option<JobError>) {
        self.log_job_end(job, error.as_ref());
        let request = match &job.origin {
            Origin::Caller(request) => request.clone(),
            Origin::Peer(_) => {
                self.answer_chunk(
                    job,
                    error.map(|error| (error.outcome, error.reason, error.message)),
                );
                return;
            }
        };
        let complete = error.is_none();
        let results = job.tasks.iter_mut().filter_map(|task| task.result.take());
        let results = if complete {
            results.collect()
        } else {
            Vec::new()
        };
        let refused = error
            .as_ref()
            .is_some_and(|e| e.outcome == Outcome::Refused);
        let answer = SubmitAnswer {
            request_id: request.request_id.clone(),
            job_id: (!refused).then(|| job.id.clone()),
            outcome: error
                .as_ref()
                .map_or(Outcome::Complete, |error| error.outcome),
            reason: error.as_ref().map(|error| error.reason),
            message: error.map(|error| error.message).unwrap_or_default(),
            findings: Vec::new(),
            results,
            elapsed_ms: millis(self.now - job.admitted_at),
        };
        self.outputs
            .push(DispatchOutput::AnswerJob(job.id.clone(), answer));
    }

    fn log_job_end(&mut self, job: &Job, error: Option<&JobError>) {
        match error {
            None => self.log(Event::JobCompleted, format!("job {} is complete", job.id)),
            Some(error) => {
                let event = match error.outcome {
                    Outcome::Refused => Event::JobRefused,
                    _ => Event::JobFailed,
                };
                self.log(event, format!("job {}: {}", job.id, error.message));
            }
        }
    }
}
