//! Probes of workers whose poll in flight may be lost.
//!
//! A poll waits at its worker for the next end of a run. If its answer is lost,
//! the ends of several runs are learned only after that wait. While polls are
//! being lost, a poll that has not returned some time after the expected end of
//! a run is followed by a probe: a second poll that does not wait. So is a report that
//! is acknowledged only after the worker has answered, and a start that was refused as
//! late.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::io::{FleetOutput, PollOutcome, PollRequest};
use crate::worker::{Phase, RunState, Worker, WorkerKey};

/// Time after a lost poll during which probes are sent. It covers several polls
/// of each worker, so that occasional losses keep probing enabled.
const PROBING_PERIOD: Duration = Duration::from_secs(3);

/// Time after the expected end of a run at which the poll in flight is overdue.
/// An answer takes a few milliseconds, and expected run times are not exact.
const POLL_OVERDUE_AFTER: Duration = Duration::from_millis(25);

/// Shortest time between two probes of a worker, because runs may take longer
/// than expected.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(80);

impl Worker {
    /// Gets the time at which the poll in flight is overdue, if there is one.
    fn poll_overdue_at(&self) -> Option<Duration> {
        self.poll_sent_at?;
        let ends = self.runs.values().filter_map(|run| match run.state {
            RunState::Running(since) => Some(since + run.expected),
            RunState::Starting(_) | RunState::Unknown => None,
        });
        Some((ends.min()? + POLL_OVERDUE_AFTER).max(self.next_probe_at))
    }
}

impl Fleet {
    /// Records a poll or probe without an answer.
    pub(crate) fn record_lost_poll(&mut self) {
        self.poll_lost_at = Some(self.now);
    }

    /// Gets the time at which a worker is to be probed, if it is to be.
    pub(crate) fn probe_at(&self, worker: &Worker) -> Option<Duration> {
        if worker.has_pending_reports() || worker.needs_clock_reading {
            // A poll in flight may wait at the worker for longer than that may.
            let may_probe = worker.phase == Phase::Ready && worker.probe_sent_at.is_none();
            return may_probe.then_some(self.now);
        }
        let lost_at = self.poll_lost_at?;
        let may_probe = worker.phase == Phase::Ready
            && worker.probe_sent_at.is_none()
            && self.now < lost_at + PROBING_PERIOD;
        worker.poll_overdue_at().filter(|_| may_probe)
    }

    pub(crate) fn send_probe(&mut self, worker_key: WorkerKey) {
        let now = self.now;
        let max_lease = self.options.max_lease;
        let is_due = |worker: &&Worker| self.probe_at(worker).is_some_and(|at| at <= now);
        if self.workers.get(&worker_key).filter(is_due).is_none() {
            return;
        }
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        worker.probe_sent_at = Some(now);
        let extends = worker.unanswered_polls == 0 && worker.may_extend_lease();
        let lease_end_ms = extends.then(|| worker.extend_lease(now, max_lease));
        let request = PollRequest {
            target: worker.target(),
            lease_end_ms: lease_end_ms.flatten(),
            acknowledged: worker.acknowledged,
            wait: Duration::ZERO,
        };
        self.emit(FleetOutput::Probe(request));
    }

    pub(crate) fn on_probe_ended(&mut self, worker_key: WorkerKey, outcome: PollOutcome) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let sent_at = worker.probe_sent_at.take().unwrap_or(now);
        worker.next_probe_at = now + MIN_PROBE_INTERVAL;
        match outcome {
            PollOutcome::Fenced(clock_ms) => self.on_fenced(worker_key, clock_ms),
            PollOutcome::OtherIncarnation => self.worker_restarted(worker_key),
            // The poll in flight, not the probe, counts towards `unanswered_polls`.
            PollOutcome::Unanswered | PollOutcome::ConnectionRefused => self.record_lost_poll(),
            PollOutcome::Answered(response) => {
                self.on_poll_response(worker_key, sent_at, &response)
            }
        }
    }
}
