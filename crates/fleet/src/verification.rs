//! Verification of a message about a worker that this host does not own, before
//! the worker is taken over.
//!
//! Such a message can arrive late: the worker may have another owner by now, may
//! drain or may have restarted. A poll with a new fencing token would shut out the
//! rightful owner, so the first poll has a token that changes nothing.

use std::time::Duration;

use hornbeam_core::event::Event;

use crate::fencing::FencingToken;
use crate::fleet::Fleet;
use crate::io::Subject;
use crate::worker::{Phase, WorkerKey};

/// Age of a report from which on the worker has got no answer to it and has sent
/// a later one to another host.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1000);

/// `Verification` is how a message about a worker is verified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verification {
    /// By the worker's clock at the time at which it sent its report, in ms.
    ReportClock(u64),
    /// By the fencing token of the former owner that handed the worker over.
    FormerToken(FencingToken),
}

impl Verification {
    /// Gets the fencing token of the first poll: one that no owner has, so that
    /// the worker refuses it if it has an owner, or that of the former owner.
    pub(crate) const fn fencing_token(self) -> FencingToken {
        match self {
            Self::ReportClock(_) => FencingToken(0),
            Self::FormerToken(token) => token,
        }
    }
}

impl Fleet {
    /// Handles the answer of a worker to a poll that verifies a report.
    /// `clock_ms` is the worker's clock.
    pub(crate) fn verify_report(
        &mut self,
        worker_key: WorkerKey,
        sent_clock_ms: u64,
        clock_ms: u64,
    ) {
        // The clock starts again with each incarnation.
        let age_ms = clock_ms.checked_sub(sent_clock_ms);
        match age_ms.map(Duration::from_millis) {
            Some(age) if age <= MAX_REPORT_AGE => self.begin_take_over(worker_key),
            Some(age) => {
                let cause = format!("it was sent {} ms ago", age.as_millis());
                self.drop_unverified(worker_key, &cause);
            }
            None => self.drop_unverified(worker_key, "another incarnation sent it"),
        }
    }

    /// Handles a worker that refuses the fencing token of the owner that handed it
    /// over: it has another owner since then.
    pub(crate) fn drop_late_handover(&mut self, worker_key: WorkerKey) {
        self.drop_unverified(worker_key, "another host has taken the worker over since");
    }

    fn drop_unverified(&mut self, worker_key: WorkerKey, cause: &str) {
        let Some(worker) = self.workers.get(&worker_key) else {
            return;
        };
        let worker_id = worker.report.worker_id.clone();
        let message = format!("a message about worker {worker_id} is ignored: {cause}");
        self.log(Event::StaleMessage, Subject::Worker(worker_id), message);
        self.remove_worker(worker_key, self.now, "the message about it was delayed");
    }

    /// Begins to take over a worker under a new fencing token, above that of its
    /// former owner if that is known.
    pub(crate) fn begin_take_over(&mut self, worker_key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let above = match worker.phase {
            Phase::Verifying(Verification::FormerToken(token)) => Some(token),
            _ => None,
        };
        worker.fencing_token = self.fencing_tokens.next(self.unix_ms, above);
        worker.phase = Phase::TakingOver;
        worker.next_poll_at = self.now;
    }
}
