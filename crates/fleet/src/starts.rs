//! Answers to start and stop orders.

use std::time::Duration;

use hornbeam_core::event::Event;

use crate::fleet::Fleet;
use crate::io::{
    FleetOutput, RunEnd, StartOutcome, StartRefusal, StopOutcome, StopRequest, Subject,
};
use crate::job::RunId;
use crate::scheduling::START_WITHIN;
use crate::worker::{RunState, WorkerKey};

/// Time for which a worker without room for a run that should fit gets no new
/// one: what it still stops is gone by then.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(60);

/// Time for which a worker that leaves starts unanswered gets no new one. Most
/// starts of such a worker would be lost, and each costs a caller 100 ms.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(300);

/// Pause before a stop without an answer is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(100);

impl Fleet {
    pub(crate) fn on_start_answered(
        &mut self,
        worker_key: WorkerKey,
        id: RunId,
        answer: StartOutcome,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if let StartOutcome::Accepted(clock_ms) = answer {
            worker.lease.read(clock_ms, now);
            worker.seen_at = now;
        }
        let Some(run) = worker.runs.get_mut(&id) else {
            return;
        };
        let RunState::Starting(tries) = run.state else {
            return;
        };
        let is_first = tries == 1;
        match answer {
            StartOutcome::Accepted(_) => run.state = RunState::Running(now),
            StartOutcome::Refused(StartRefusal::Fenced) => self.lose_ownership(worker_key),
            StartOutcome::Refused(StartRefusal::OtherIncarnation) => {
                self.worker_restarted(worker_key)
            }
            StartOutcome::Refused(refusal) if is_first => {
                self.on_start_refused(worker_key, id, refusal);
            }
            StartOutcome::NotSent if is_first => {
                worker.block(now + UNANSWERED_PAUSE);
                self.unstart(worker_key, id, "its worker could not be reached");
            }
            StartOutcome::Unanswered if (tries as usize) < START_WITHIN.len() => {
                self.order_start(worker_key, id);
            }
            // What a repetition proves says nothing about the orders before
            // it, which may still be carried out.
            _ => self.leave_unclear(worker_key, id, answer),
        }
    }

    /// Stops a run of which it is not known whether it started, and waits for
    /// a look to list it or for its lease to end.
    fn leave_unclear(&mut self, worker_key: WorkerKey, id: RunId, answer: StartOutcome) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        worker.block(now + UNANSWERED_PAUSE);
        let worker_id = worker.report.worker_id.clone();
        if let Some(run) = worker.runs.get_mut(&id) {
            run.state = RunState::Unclear;
            run.stopping = true;
            run.stop_at = Some(now);
        }
        self.log(
            Event::WorkerUnanswered,
            Subject::Run(id),
            format!("it is not clear if worker {worker_id} starts run {id}: {answer:?}"),
        );
    }

    fn on_start_refused(&mut self, worker_key: WorkerKey, id: RunId, refusal: StartRefusal) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        match refusal {
            StartRefusal::Fenced | StartRefusal::OtherIncarnation => {}
            StartRefusal::InsufficientResources => worker.block(now + NO_ROOM_PAUSE),
            StartRefusal::Unhealthy => self.note_failure(worker_key),
            StartRefusal::LeaseExpired => worker.next_look_at = now,
            StartRefusal::StaleAttempt => self.raise_attempt(id),
            StartRefusal::Malformed => {}
        }
        self.unstart(
            worker_key,
            id,
            &format!("its worker refused it: {refusal:?}"),
        );
    }

    /// Takes back a run that has provably not started.
    fn unstart(&mut self, worker_key: WorkerKey, id: RunId, reason: &str) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if worker.remove(id).is_none() {
            return;
        }
        let worker_id = worker.report.worker_id.clone();
        self.room_changed = true;
        self.log(
            Event::RunNotStarted,
            Subject::Run(id),
            format!("run {id} did not start on worker {worker_id}: {reason}"),
        );
        self.run_unstarted(id, worker_key);
    }

    pub(crate) fn on_stop_answered(
        &mut self,
        worker_key: WorkerKey,
        id: RunId,
        answer: StopOutcome,
    ) {
        let now = self.now;
        let max_stop_time = self.options.max_stop_time;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        match answer {
            StopOutcome::Fenced => return self.lose_ownership(worker_key),
            StopOutcome::OtherIncarnation => return self.worker_restarted(worker_key),
            StopOutcome::Accepted => worker.seen_at = now,
            StopOutcome::Unanswered => {}
        }
        let Some(run) = worker.runs.get_mut(&id) else {
            return;
        };
        match answer {
            StopOutcome::Accepted if run.state == RunState::Unclear => {
                // Either it never starts, or its end comes within the time
                // that a stop takes.
                run.lease_over_at = run.lease_over_at.min(now + 2 * max_stop_time);
            }
            StopOutcome::Accepted => {}
            _ => run.stop_at = Some(now + STOP_AGAIN),
        }
    }

    /// Stops a run as soon as possible.
    pub(crate) fn want_stop(&mut self, worker_key: WorkerKey, id: RunId) {
        let now = self.now;
        let worker = self.workers.get_mut(&worker_key);
        if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&id))
            && !run.stopping
        {
            run.stopping = true;
            run.stop_at = Some(now);
        }
    }

    /// Sends the stops that are due.
    pub(crate) fn send_stops(&mut self, worker_key: WorkerKey) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let target = worker.target();
        let mut due = Vec::new();
        for (id, run) in &mut worker.runs {
            if run.stop_at.is_some_and(|at| at <= now) {
                run.stop_at = None;
                due.push(*id);
            }
        }
        for run in due {
            let target = target.clone();
            self.put(FleetOutput::Stop(StopRequest { target, run }));
        }
    }

    /// Counts a failure of a worker and keeps new runs away from one that
    /// fails again and again.
    pub(crate) fn note_failure(&mut self, worker_key: WorkerKey) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        worker.failures += 1;
        if worker.failures < FAILURES_TO_EJECT {
            return;
        }
        let doublings = (worker.failures - FAILURES_TO_EJECT).min(MAX_DOUBLINGS);
        let pause = EJECTION * 2_u32.pow(doublings);
        worker.block(now + pause);
        let message = format!(
            "worker {} gets no run for {} ms after {} failures in a row",
            worker.report.worker_id,
            pause.as_millis(),
            worker.failures
        );
        let subject = Subject::Worker(worker.report.worker_id.clone());
        self.log(Event::WorkerEjected, subject, message);
    }

    /// Counts a success of a worker.
    pub(crate) fn note_success(&mut self, worker_key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if worker.failures >= FAILURES_TO_EJECT {
            let message = format!("worker {} serves again", worker.report.worker_id);
            worker.failures = 0;
            let subject = Subject::Worker(worker.report.worker_id.clone());
            return self.log(Event::WorkerRestored, subject, message);
        }
        worker.failures = 0;
    }

    /// Reports the end of a run whose worker is lost.
    pub(crate) fn end_lost(&mut self, worker_key: WorkerKey, id: RunId) {
        self.run_ended(worker_key, id, RunEnd::Lost, None);
    }
}

/// Failures in a row after which a worker is left alone. A task fails by its
/// own fault in about 2 of 1,000 runs, so two in a row point at the worker.
const FAILURES_TO_EJECT: u32 = 2;

/// First time for which a failing worker gets no run; it doubles each time.
const EJECTION: Duration = Duration::from_millis(500);

/// Most doublings of [`EJECTION`], up to 4 s, so that a worker that has
/// recovered is found within seconds.
const MAX_DOUBLINGS: u32 = 3;
