//! Outcomes of start and stop requests.

use std::time::Duration;

use hornbeam_core::event::Event;

use crate::fleet::Fleet;
use crate::io::{
    FleetOutput, RunEnd, StartOutcome, StartRefusal, StopOutcome, StopRequest, Subject,
};
use crate::job::RunId;
use crate::scheduling::START_TIMEOUTS;
use crate::worker::{RunState, WorkerKey};

/// Time for which a worker gets no new runs after it refused one that should
/// fit. Runs that it is still stopping have ended by then.
const NO_RESOURCES_PAUSE: Duration = Duration::from_millis(60);

/// Time for which a worker gets no new runs after unanswered start requests.
/// Most starts on such a worker would be lost, and each costs a caller 100 ms.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(300);

/// Delay before an unanswered stop request is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Fleet {
    pub(crate) fn on_start_request_ended(
        &mut self,
        worker_key: WorkerKey,
        id: RunId,
        outcome: StartOutcome,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if let StartOutcome::Accepted(clock_ms) = outcome
            && let Some(run) = worker.runs.get(&id)
            && clock_ms < run.clock_at_start_ms
        {
            return self.worker_restarted(worker_key);
        }
        let is_known_incarnation = match outcome {
            StartOutcome::Accepted(clock_ms) => {
                worker.lease.record_clock(clock_ms, now);
                worker.last_answer_at = now;
                worker.has_clock_of_known_incarnation(clock_ms, now)
            }
            _ => false,
        };
        let is_unanswered = outcome == StartOutcome::Unanswered;
        if is_unanswered {
            worker.start_unanswered_at = Some(now);
        }
        let Some(run) = worker.runs.get_mut(&id) else {
            return;
        };
        run.has_unanswered_start |= is_unanswered;
        run.is_confirmed |= is_known_incarnation;
        let RunState::Starting(tries) = run.state else {
            return;
        };
        let is_first = tries == 1;
        match outcome {
            StartOutcome::Accepted(_) => run.state = RunState::Running(now),
            StartOutcome::Refused(StartRefusal::Fenced) => self.on_fenced(worker_key, None),
            StartOutcome::Refused(StartRefusal::OtherIncarnation) => {
                self.worker_restarted(worker_key)
            }
            StartOutcome::Refused(refusal) if is_first => {
                self.on_start_refused(worker_key, id, refusal);
            }
            StartOutcome::NotSent if is_first => {
                worker.block(now + UNANSWERED_PAUSE);
                self.remove_unstarted(worker_key, id, "its worker could not be reached");
            }
            // The request may have been carried out, so it is sent again even if the
            // worker was evacuated meanwhile: the run must be known to have started
            // before it may finish there, or to have ended before its task starts
            // elsewhere. The last retry is sent within 120 ms of the first request.
            StartOutcome::Unanswered if (tries as usize) < START_TIMEOUTS.len() => {
                self.replace_connections(worker_key);
                self.send_start(worker_key, id);
            }
            // The outcome of a retry proves nothing about earlier requests,
            // which may still be carried out.
            _ => self.mark_unknown(worker_key, id, outcome),
        }
    }

    /// Stops a run that may or may not have started. Its state stays unknown
    /// until a poll lists it or its lease expires.
    fn mark_unknown(&mut self, worker_key: WorkerKey, id: RunId, outcome: StartOutcome) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        worker.block(now + UNANSWERED_PAUSE);
        let worker_id = worker.report.worker_id.clone();
        if let Some(run) = worker.runs.get_mut(&id) {
            run.state = RunState::Unknown;
            run.request_stop(now);
        }
        self.log(
            Event::WorkerUnanswered,
            Subject::Run(id),
            format!("run {id} may or may not have started on worker {worker_id}: {outcome:?}"),
        );
    }

    fn on_start_refused(&mut self, worker_key: WorkerKey, id: RunId, refusal: StartRefusal) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        match refusal {
            StartRefusal::Fenced | StartRefusal::OtherIncarnation => {}
            StartRefusal::InsufficientResources => worker.block(now + NO_RESOURCES_PAUSE),
            StartRefusal::Unhealthy => self.record_failure(worker_key),
            StartRefusal::LeaseExpired => worker.needs_clock_reading = true,
            StartRefusal::StaleAttempt => self.skip_attempts(id),
            StartRefusal::Malformed => {}
        }
        self.remove_unstarted(
            worker_key,
            id,
            &format!("its worker refused it: {refusal:?}"),
        );
    }

    /// Removes a run that has provably not started.
    fn remove_unstarted(&mut self, worker_key: WorkerKey, id: RunId, reason: &str) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if worker.remove(id).is_none() {
            return;
        }
        let worker_id = worker.report.worker_id.clone();
        self.resources_changed = true;
        self.log(
            Event::RunNotStarted,
            Subject::Run(id),
            format!("run {id} did not start on worker {worker_id}: {reason}"),
        );
        self.on_run_not_started(id, worker_key);
    }

    pub(crate) fn on_stop_request_ended(
        &mut self,
        worker_key: WorkerKey,
        id: RunId,
        outcome: StopOutcome,
    ) {
        let now = self.now;
        let max_stop_time = self.options.max_stop_time;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        match outcome {
            StopOutcome::Fenced => return self.on_fenced(worker_key, None),
            StopOutcome::OtherIncarnation => return self.worker_restarted(worker_key),
            StopOutcome::Accepted => worker.last_answer_at = now,
            StopOutcome::Unanswered => {}
        }
        let Some(run) = worker.runs.get_mut(&id) else {
            return;
        };
        run.stop_is_unanswered = outcome == StopOutcome::Unanswered;
        match outcome {
            StopOutcome::Accepted if run.state == RunState::Unknown => {
                // The run either never starts, or ends within the time that a
                // stop takes.
                run.ends_by = run.ends_by.min(now + 2 * max_stop_time);
            }
            StopOutcome::Accepted => {}
            _ => {
                run.stop_at = Some(now + STOP_RETRY_DELAY);
                self.replace_connections(worker_key);
            }
        }
    }

    /// Lets the next request to a worker open a new connection. A request without
    /// an answer may have been sent on a connection that has gone silent, and
    /// others that were opened before it can be silent as well.
    pub(crate) fn replace_connections(&mut self, worker_key: WorkerKey) {
        if let Some(worker) = self.workers.get(&worker_key) {
            let address = worker.report.address;
            self.emit(FleetOutput::DropConnections(address));
        }
    }

    /// Requests a stop of a run, which is sent at once.
    pub(crate) fn request_stop(&mut self, worker_key: WorkerKey, id: RunId) {
        let now = self.now;
        let worker = self.workers.get_mut(&worker_key);
        if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&id))
            && !run.stop_requested
        {
            run.request_stop(now);
        }
    }

    /// Sends all stop requests that are due.
    pub(crate) fn send_stops(&mut self, worker_key: WorkerKey) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let mut due = Vec::new();
        for (id, run) in &mut worker.runs {
            if run.stop_at.is_some_and(|at| at <= now) {
                run.stop_at = None;
                due.push(*id);
            }
        }
        if due.is_empty() {
            return;
        }
        let stops: Vec<StopRequest> = due
            .into_iter()
            .map(|run| worker.stop_request(run))
            .collect();
        for stop in stops {
            self.emit(FleetOutput::Stop(stop));
        }
    }

    /// Records a failure of a worker, and ejects the worker after repeated
    /// failures.
    pub(crate) fn record_failure(&mut self, worker_key: WorkerKey) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        worker.failures += 1;
        if worker.failures < FAILURES_TO_EJECT {
            return;
        }
        let doublings = (worker.failures - FAILURES_TO_EJECT).min(MAX_EJECTION_DOUBLINGS);
        let pause = EJECTION_BASE * 2_u32.pow(doublings);
        worker.block(now + pause);
        let message = format!(
            "worker {} is ejected for {} ms after {} consecutive failures",
            worker.report.worker_id,
            pause.as_millis(),
            worker.failures
        );
        let subject = Subject::Worker(worker.report.worker_id.clone());
        self.log(Event::WorkerEjected, subject, message);
    }

    /// Records a successful run on a worker.
    pub(crate) fn record_success(&mut self, worker_key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if worker.failures >= FAILURES_TO_EJECT {
            let message = format!(
                "worker {} is restored after a successful run",
                worker.report.worker_id
            );
            worker.failures = 0;
            let subject = Subject::Worker(worker.report.worker_id.clone());
            return self.log(Event::WorkerRestored, subject, message);
        }
        worker.failures = 0;
    }

    /// Ends a run whose worker or lease is lost.
    pub(crate) fn end_run_as_lost(&mut self, worker_key: WorkerKey, id: RunId) {
        self.run_ended(worker_key, id, RunEnd::Lost, None);
    }
}

/// Number of consecutive failures after which a worker is ejected. A task fails
/// by its own fault in about 2 of 1,000 runs, so two in a row point at the
/// worker.
const FAILURES_TO_EJECT: u32 = 2;

/// Duration of the first ejection; it doubles with each further failure.
const EJECTION_BASE: Duration = Duration::from_millis(500);

/// Largest number of doublings of [`EJECTION_BASE`]. It caps an ejection
/// at 4 s, so that a worker that has recovered is used again within seconds.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
