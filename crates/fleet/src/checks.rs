//! Checks of workers whose look under way may be lost.
//!
//! A look waits at its worker for the next end. If its answer is lost, the ends
//! of several runs are learned only after the wait. While looks get lost, a
//! look that has not returned some time after a run should have ended is
//! followed by a check: a second look that waits for nothing.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::io::{FleetOutput, PollOutcome, PollRequest};
use crate::worker::{Phase, RunState, Worker, WorkerKey};

/// Time for which checks are made after a look was lost: several looks of each
/// worker, so that an occasional loss is enough to go on.
const CHECKS_LAST: Duration = Duration::from_secs(3);

/// Time after the expected end of a run at which the look under way is in
/// doubt: the answer takes a few milliseconds, and expected times are not exact.
const DOUBT_AFTER: Duration = Duration::from_millis(25);

/// Shortest time between two checks of a worker, whose runs may be longer than
/// expected.
const CHECK_PAUSE: Duration = Duration::from_millis(80);

impl Worker {
    /// Gets when the look under way is in doubt, if there is one.
    fn doubt_at(&self) -> Option<Duration> {
        self.look_sent_at?;
        let ends = self.runs.values().filter_map(|run| match run.state {
            RunState::Running(since) => Some(since + run.expected),
            RunState::Starting(_) | RunState::Unclear => None,
        });
        Some((ends.min()? + DOUBT_AFTER).max(self.next_check_at))
    }
}

impl Fleet {
    /// Takes note of a look without an answer.
    pub(crate) fn note_lost_look(&mut self) {
        self.look_lost_at = Some(self.now);
    }

    /// Gets when a worker is to be checked, if it is.
    pub(crate) fn check_at(&self, worker: &Worker) -> Option<Duration> {
        let lost_at = self.look_lost_at?;
        let is_checked = worker.phase == Phase::Ready
            && worker.check_sent_at.is_none()
            && self.now < lost_at + CHECKS_LAST;
        worker.doubt_at().filter(|_| is_checked)
    }

    pub(crate) fn send_check(&mut self, worker_key: WorkerKey) {
        let now = self.now;
        let max_lease = self.options.max_lease;
        let is_due = |worker: &&Worker| self.check_at(worker).is_some_and(|at| at <= now);
        if self.workers.get(&worker_key).filter(is_due).is_none() {
            return;
        }
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        worker.check_sent_at = Some(now);
        let extends = worker.misses == 0;
        let lease_end_ms = extends.then(|| worker.lease.extend(now, max_lease));
        let order = PollRequest {
            target: worker.target(),
            lease_end_ms: lease_end_ms.flatten(),
            acknowledged: worker.acknowledged,
            wait: Duration::ZERO,
        };
        self.put(FleetOutput::Probe(order));
    }

    pub(crate) fn on_checked(&mut self, worker_key: WorkerKey, answer: PollOutcome) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let sent_at = worker.check_sent_at.take().unwrap_or(now);
        worker.next_check_at = now + CHECK_PAUSE;
        match answer {
            PollOutcome::Fenced => self.lose_ownership(worker_key),
            PollOutcome::OtherIncarnation => self.worker_restarted(worker_key),
            // The look under way shows whether the worker is silent.
            PollOutcome::Unanswered => self.note_lost_look(),
            PollOutcome::Answered(observation) => self.on_seen(worker_key, sent_at, &observation),
        }
    }
}
