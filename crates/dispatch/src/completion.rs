//! Ends of jobs.

use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer};
use hornbeam_core::event::Event;

use crate::charts::{JobEvent, JobState};
use crate::dispatcher::Dispatcher;
use crate::io::DispatchOutput;
use crate::job::{Job, Origin};
use crate::keys::JobKey;
use crate::leases::millis;
use crate::timers::Timer;

/// `JobEnd` is how a job ends without a complete answer.
#[derive(Debug)]
struct JobEnd {
    outcome: Outcome,
    reason: Reason,
    message: String,
}

impl Dispatcher {
    /// Fails a job: the first lost task ends it and the others are cancelled.
    pub(crate) fn fail_job(&mut self, key: JobKey, reason: Reason, message: impl Into<String>) {
        if !self.change_job(key, JobEvent::Fail) {
            return;
        }
        let end = JobEnd {
            outcome: Outcome::Failed,
            reason,
            message: message.into(),
        };
        self.end_job(key, Some(end));
    }

    /// Refuses an admitted job of which nothing has started.
    pub(crate) fn refuse_job(&mut self, key: JobKey, reason: Reason, message: impl Into<String>) {
        if !self.change_job(key, JobEvent::Refuse) {
            return;
        }
        let end = JobEnd {
            outcome: Outcome::Refused,
            reason,
            message: message.into(),
        };
        self.end_job(key, Some(end));
    }

    /// Completes a job once every task has a result.
    pub(crate) fn complete_if_finished(&mut self, key: JobKey) {
        let finished = self
            .jobs
            .get(key)
            .is_some_and(|job| job.finished_tasks as usize == job.tasks.len());
        if finished && self.change_job(key, JobEvent::Complete) {
            self.end_job(key, None);
        }
    }

    /// Ends the job of a caller that went away.
    pub(crate) fn caller_cancelled(&mut self, job_id: &str) {
        if let Some(key) = self.jobs.find(job_id) {
            self.fail_job(key, Reason::Cancelled, "The caller cancelled the job.");
        }
    }

    /// Ends a job whose deadline passed.
    pub(crate) fn deadline_passed(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.state == JobState::Claiming {
            let message = "The claim on the request id was not confirmed in time.";
            self.refuse_job(key, Reason::ClaimUnavailable, message);
        } else if job.nothing_started() {
            let message = "No task could be started before the deadline.";
            self.refuse_job(key, Reason::Overloaded, message);
        } else {
            let message = "The deadline passed before every task had ended.";
            self.fail_job(key, Reason::DeadlineExceeded, message);
        }
    }

    /// Applies an event to a job's chart; `false` if the chart ignores it.
    pub(crate) fn change_job(&mut self, key: JobKey, event: JobEvent) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            return false;
        };
        let Some(next) = self.charts.job.next(job.state, event) else {
            return false;
        };
        job.state = next;
        true
    }

    fn end_job(&mut self, key: JobKey, end: Option<JobEnd>) {
        let Some(mut job) = self.jobs.remove(key) else {
            return;
        };
        self.timers.clear(job.deadline, Timer::Deadline(key));
        self.leave_queue(key, &mut job);
        self.answer(&mut job, end);
        self.cancel_exchanges(&job);
        self.cancel_chunks(&job);
    }

    fn answer(&mut self, job: &mut Job, end: Option<JobEnd>) {
        self.log_end(job, end.as_ref());
        let request = match &job.origin {
            Origin::Caller(request) => request.clone(),
            Origin::Peer(_) => {
                self.answer_chunk(job, end.map(|end| (end.outcome, end.reason, end.message)));
                return;
            }
        };
        let complete = end.is_none();
        let results = job.tasks.iter_mut().filter_map(|task| task.result.take());
        let results = if complete {
            results.collect()
        } else {
            Vec::new()
        };
        let refused = end.as_ref().is_some_and(|e| e.outcome == Outcome::Refused);
        let answer = SubmitAnswer {
            request_id: request.request_id.clone(),
            job_id: (!refused).then(|| job.id.clone()),
            outcome: end.as_ref().map_or(Outcome::Complete, |end| end.outcome),
            reason: end.as_ref().map(|end| end.reason),
            message: end.map(|end| end.message).unwrap_or_default(),
            findings: Vec::new(),
            results,
            elapsed_ms: millis(self.now - job.admitted_at),
        };
        self.out
            .push(DispatchOutput::AnswerJob(job.id.clone(), answer));
    }

    fn log_end(&mut self, job: &Job, end: Option<&JobEnd>) {
        match end {
            None => self.log(Event::JobCompleted, format!("job {} is complete", job.id)),
            Some(end) => {
                let event = match end.outcome {
                    Outcome::Refused => Event::JobRefused,
                    _ => Event::JobFailed,
                };
                self.log(event, format!("job {}: {}", job.id, end.message));
            }
        }
    }
}
