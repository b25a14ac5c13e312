//! Admission of submitted jobs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer, SubmitRequest, TaskSpec};
use hornbeam_core::event::Event;
use hornbeam_core::ids::JobId;
use hornbeam_core::{Finding, Findings, Place};

use crate::charts::JobEvent;
use crate::dispatcher::Dispatcher;
use crate::fair_queue::{FlowKey, Weights};
use crate::io::DispatchOutput;
use crate::job::{Job, Origin, Task};
use crate::keys::{JobKey, PoolKey};
use crate::server::Resources;
use crate::timers::Timer;
use crate::validation::{Terms, find_terms, validate_request};

/// `Refusal` is the reason why a job was not admitted.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    pub(crate) message: String,
    pub(crate) findings: Findings,
}

impl Refusal {
    /// Creates a refusal that has no findings.
    pub(crate) fn new(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
            findings: Vec::new(),
        }
    }
}

/// `QueueAssignment` is the queue that a job joins and the terms that apply to
/// it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueAssignment {
    pub(crate) pool: PoolKey,
    pub(crate) flow: FlowKey,
    pub(crate) terms: Terms,
}

impl QueueAssignment {
    /// Gets the weights for fair queueing.
    pub(crate) fn weights(&self) -> Weights {
        Weights {
            institution: self.terms.institution_weight,
            team: self.terms.team_weight,
        }
    }
}

impl Dispatcher {
    /// Admits or refuses a job.
    pub(crate) fn on_submission(&mut self, job_id: JobId, request: Arc<SubmitRequest>) {
        match self.check_admission(&request) {
            Ok(assignment) => self.admit(job_id, request, assignment),
            Err(refusal) => self.refuse(job_id, &request, refusal),
        }
    }

    fn check_admission(&mut self, request: &SubmitRequest) -> Result<QueueAssignment, Refusal> {
        if self.draining {
            return Err(Refusal::new(Reason::NotReady, "This host is draining."));
        }
        let Some(config) = self.config.clone() else {
            let message = "This host has no configuration yet.";
            return Err(Refusal::new(Reason::NotReady, message));
        };
        validate_request(&config, request)?;
        let terms = find_terms(
            &config,
            &request.institution,
            &request.team,
            &request.service,
        )?;
        self.check_validity(request)?;
        let assignment = self.assign_queue(request, terms);
        self.check_runnable(request, &assignment)?;
        self.check_wait(request, &assignment)?;
        Ok(assignment)
    }

    fn check_validity(&self, request: &SubmitRequest) -> Result<(), Refusal> {
        match request.valid_until_unix_ms {
            Some(until) if until <= self.unix_ms => {
                let message = "The time in valid_until_unix_ms has passed.";
                Err(Refusal::new(Reason::Expired, message))
            }
            _ => Ok(()),
        }
    }

    fn assign_queue(&mut self, request: &SubmitRequest, terms: Terms) -> QueueAssignment {
        let (institution, team) = self.quotas.key(&request.institution, &request.team);
        QueueAssignment {
            pool: self.pool_key(&request.service),
            flow: FlowKey {
                institution,
                team,
                remote: false,
            },
            terms,
        }
    }

    /// Refuses jobs with a task that no known server can hold. The capacity of
    /// peers' servers is unknown, so only this host's servers are considered.
    fn check_runnable(
        &self,
        request: &SubmitRequest,
        assignment: &QueueAssignment,
    ) -> Result<(), Refusal> {
        let pool = &self.pools[assignment.pool];
        if pool.servers == 0 {
            return match self.peer_slots(&pool.service) {
                0 => {
                    let message = "No backend server of the service is known.";
                    Err(Refusal::new(Reason::Overloaded, message))
                }
                _ => Ok(()),
            };
        }
        let too_large = |spec: &TaskSpec| !pool.fits_any_server(&Resources::of_task(spec));
        match request.tasks.iter().position(too_large) {
            Some(index) => {
                let message = format!("No backend server can ever hold tasks[{index}].");
                Err(Refusal::new(Reason::NeverRunnable, message))
            }
            None => Ok(()),
        }
    }

    fn admit(&mut self, job_id: JobId, request: Arc<SubmitRequest>, assignment: QueueAssignment) {
        let timeout = Duration::from_millis(request.timeout_ms);
        let valid_until = request.valid_until_unix_ms;
        let claim = valid_until.filter(|_| !request.repeatable);
        let claim_key = format!("{}/{}", request.institution, request.request_id);
        let mut job = self.new_job(job_id.clone(), Origin::Caller(request), assignment, timeout);
        if let Some(valid_until_unix_ms) = valid_until {
            job.start_deadline = self.start_deadline_of(&job, valid_until_unix_ms);
        }
        let key = self.insert_job(job);
        let Some(valid_until_unix_ms) = claim else {
            self.enqueue_job(key);
            return;
        };
        self.apply_job_event(key, JobEvent::Claim);
        self.outputs.push(DispatchOutput::RecordClaim {
            job_id,
            claim_key,
            valid_until_unix_ms,
            timeout,
        });
    }

    fn start_deadline_of(&self, job: &Job, valid_until_unix_ms: u64) -> Duration {
        let left = valid_until_unix_ms.saturating_sub(self.unix_ms);
        job.deadline.min(self.now + Duration::from_millis(left))
    }

    /// Creates a job whose tasks are not queued yet.
    pub(crate) fn new_job(
        &self,
        id: JobId,
        origin: Origin,
        assignment: QueueAssignment,
        timeout: Duration,
    ) -> Job {
        let ratio = self.pools[assignment.pool].run_time_ratio;
        let task = |spec: &TaskSpec| Task {
            state: self.charts.task.initial(),
            work_ms: ratio.estimate_ms(spec.run_ms),
            sent_before: false,
            result: None,
            refused_by: Vec::new(),
        };
        let tasks = match &origin {
            Origin::Caller(request) => request.tasks.iter().map(task).collect(),
            Origin::Peer(chunk) => chunk.tasks.iter().map(|t| task(&t.spec)).collect(),
        };
        Job {
            id,
            origin,
            state: self.charts.job.initial(),
            pool: assignment.pool,
            flow: assignment.flow,
            weights: assignment.weights(),
            max_tasks_per_exchange: assignment.terms.max_tasks_per_exchange,
            task_grace_ms: assignment.terms.task_grace_ms,
            admitted_at: self.now,
            deadline: self.now + timeout,
            start_deadline: self.now + timeout,
            tasks,
            queued: BTreeSet::new(),
            queued_work_ms: 0,
            finished_tasks: 0,
            exchanges: BTreeSet::new(),
            chunks: BTreeSet::new(),
            excluded_peers: Vec::new(),
        }
    }

    /// Adds a job and sets the timer for its deadline.
    pub(crate) fn insert_job(&mut self, job: Job) -> JobKey {
        let deadline = job.deadline;
        let key = self.jobs.insert(job);
        self.timers.set(deadline, Timer::JobDeadline(key));
        key
    }

    fn refuse(&mut self, job_id: JobId, request: &SubmitRequest, refusal: Refusal) {
        let message = format!("request {}: {}", request.request_id, refusal.message);
        let answer = SubmitAnswer {
            request_id: request.request_id.clone(),
            job_id: None,
            outcome: Outcome::Refused,
            reason: Some(refusal.reason),
            message: refusal.message,
            findings: refusal.findings,
            results: Vec::new(),
            elapsed_ms: 0,
        };
        self.outputs.push(DispatchOutput::AnswerJob(job_id, answer));
        self.log(Event::JobRefused, message);
    }
}

/// Creates a finding for a field of the request body.
pub(crate) fn finding(path: impl Into<String>, message: impl Into<String>) -> Finding {
    Finding::new(Place::body(path), message)
}
