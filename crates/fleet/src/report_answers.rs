//! Answers to status reports that wait for the worker.
//!
//! A worker counts an acknowledged report as known to its owner, and the control host
//! sends the next ones here. So this host acknowledges a report only if it reaches the
//! worker, and a drain only if no other host can start tasks there: a worker that has
//! answered a request with this host's fencing token refuses the starts of former
//! owners, and a later owner learns of the drain from the report that makes it one
//! (`docs/platform.md`, "Who owns a worker").

use std::time::Duration;

use crate::fleet::Fleet;
use crate::io::{FleetOutput, ReportAnswer, ReportId};
use crate::lease;
use crate::verification::Verification;
use crate::worker::{Phase, Worker, WorkerKey};

/// Time after which a report is declined if the worker has not answered. A control host
/// waits for 350 ms, and then has time to ask one other entry host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// `PendingReport` is a status report that waits for an answer of its worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingReport {
    id: ReportId,
    received_at: Duration,
}

impl Worker {
    /// Whether a report just recorded may be acknowledged only after the worker has
    /// answered.
    fn needs_proof(&self, now: Duration, max_lease: Duration) -> bool {
        let is_silent =
            self.unanswered_polls > 0 && now >= self.last_answer_at + lease::longest(max_lease);
        self.phase != Phase::Ready || self.report.draining || is_silent
    }

    /// Whether a report waits for an answer of the worker.
    pub(crate) fn has_pending_reports(&self) -> bool {
        !self.pending_reports.is_empty()
    }

    /// Gets the time at which the first report that waits is declined.
    pub(crate) fn decline_at(&self) -> Option<Duration> {
        let first = self.pending_reports.first()?;
        Some(first.received_at + ANSWER_TIMEOUT)
    }
}

impl Fleet {
    /// Answers a report that was recorded for a worker, at once or when the worker
    /// answers.
    pub(crate) fn answer_recorded_report(&mut self, id: ReportId, worker_key: WorkerKey) {
        let now = self.now;
        let max_lease = self.options.max_lease;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return self.emit(FleetOutput::AnswerReport(id, ReportAnswer::Declined));
        };
        if worker.needs_proof(now, max_lease) {
            let received_at = now;
            worker
                .pending_reports
                .push(PendingReport { id, received_at });
        } else {
            self.emit(FleetOutput::AnswerReport(id, ReportAnswer::Taken));
        }
    }

    /// Acknowledges the reports that arrived before a request was sent that the worker
    /// has answered, and with it the fencing token of this host.
    pub(crate) fn acknowledge_reports(&mut self, worker_key: WorkerKey, sent_at: Duration) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if matches!(worker.phase, Phase::Verifying(_)) {
            return;
        }
        let is_proven = |report: &mut PendingReport| report.received_at <= sent_at;
        let proven = worker.pending_reports.extract_if(.., is_proven);
        let proven: Vec<PendingReport> = proven.collect();
        for report in proven {
            self.emit(FleetOutput::AnswerReport(report.id, ReportAnswer::Taken));
        }
    }

    /// Declines reports.
    pub(crate) fn decline_reports(&mut self, reports: Vec<PendingReport>) {
        for report in reports {
            self.emit(FleetOutput::AnswerReport(report.id, ReportAnswer::Declined));
        }
    }

    /// Declines the reports whose workers have not answered in time, so that the
    /// workers turn to other hosts. A worker that was never reached is removed.
    pub(crate) fn decline_overdue_reports(&mut self) {
        let now = self.now;
        let is_overdue = |worker: &&Worker| worker.decline_at().is_some_and(|at| at <= now);
        let overdue = self.workers.values().filter(is_overdue);
        let overdue: Vec<WorkerKey> = overdue.map(|worker| worker.worker_key).collect();
        for worker_key in overdue {
            let Some(worker) = self.workers.get_mut(&worker_key) else {
                continue;
            };
            if matches!(worker.phase, Phase::Verifying(Verification::ReportClock(_))) {
                self.remove_worker(worker_key, now, "it did not answer the first poll");
                continue;
            }
            let is_late = |report: &mut PendingReport| now >= report.received_at + ANSWER_TIMEOUT;
            let late = worker.pending_reports.extract_if(.., is_late).collect();
            self.decline_reports(late);
        }
    }
}
