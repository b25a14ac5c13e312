//! Ownership of workers: reports, take-over and loss.

use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::WorkerId;

use crate::fencing::FencingToken;
use crate::fleet::Fleet;
use crate::io::{FleetOutput, ReportAnswer, ReportId, Subject};
use crate::job::RunId;
use crate::lease;
use crate::report::WorkerReport;
use crate::resources::Resources;
use crate::verification::Verification;
use crate::worker::{Phase, Worker, WorkerKey};

/// Time without a report or an answer after which a worker is removed.
/// Reports arrive every 1.5 s, so several must be missed.
const WORKER_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of times the fencing token is raised during take-over. The steps
/// double, so the last one covers clocks that differ by a day.
const MAX_TOKEN_RAISES: u32 = 17;

/// Largest amount by which the clock of a worker's host may be ahead of this
/// host's clock.
const MAX_CLOCK_LEAD_MS: u64 = 24 * 60 * 60 * 1000;

/// `RecordedReport` is what became of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RecordedReport {
    /// It is recorded for this worker, and is to be answered.
    Recorded(WorkerKey),
    /// It was not recorded, and has this answer.
    Answered(ReportAnswer),
}

impl Fleet {
    pub(crate) fn on_reported(
        &mut self,
        id: ReportId,
        report: WorkerReport,
        verification: Option<Verification>,
    ) {
        match self.record_report(report, verification) {
            RecordedReport::Recorded(worker_key) => self.answer_recorded_report(id, worker_key),
            RecordedReport::Answered(answer) => self.emit(FleetOutput::AnswerReport(id, answer)),
        }
    }

    /// Records a report. An unknown worker is taken over, after the report is
    /// verified if that is possible.
    pub(crate) fn record_report(
        &mut self,
        report: WorkerReport,
        verification: Option<Verification>,
    ) -> RecordedReport {
        // Such an incarnation would hide all sound reports of the worker.
        if report.born_unix_ms > self.unix_ms.saturating_add(MAX_CLOCK_LEAD_MS) {
            let message = format!(
                "report of worker {} is declined: its start time {} ms is in the future",
                report.worker_id, report.born_unix_ms
            );
            let subject = Subject::Worker(report.worker_id);
            self.log(Event::StaleMessage, subject, message);
            return RecordedReport::Answered(ReportAnswer::Declined);
        }
        let Some(worker_key) = self.worker_keys_by_id.get(&report.worker_id).copied() else {
            return self.add_worker(report, verification);
        };
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return RecordedReport::Answered(ReportAnswer::Declined);
        };
        if report.born_unix_ms > worker.report.born_unix_ms {
            self.worker_restarted(worker_key);
            return self.add_worker(report, verification);
        }
        let is_repeated = report.born_unix_ms == worker.report.born_unix_ms
            && report.sequence == worker.report.sequence;
        if is_repeated {
            return RecordedReport::Recorded(worker_key);
        }
        // A late report of a previous incarnation, or one that a later report
        // overtook.
        if report.born_unix_ms < worker.report.born_unix_ms
            || report.sequence < worker.report.sequence
        {
            return RecordedReport::Answered(ReportAnswer::Taken);
        }
        let starts_to_drain = report.draining && !worker.report.draining;
        let former_capacity = worker.report.capacity;
        worker.reported_at = now;
        worker.is_evacuated = self.evacuations.contains(&report.failure_domain);
        worker.report = report;
        // The poll in flight verifies a report, whichever message comes next.
        if let Phase::Verifying(Verification::ReportClock(sent_clock_ms)) = &mut worker.phase
            && let Some(Verification::ReportClock(newer_clock_ms)) = verification
        {
            *sent_clock_ms = newer_clock_ms;
        }
        let worker_id = worker.report.worker_id.clone();
        if starts_to_drain {
            let message = format!(
                "worker {} is draining and gets no new runs; {} runs on it",
                worker.report.worker_id,
                worker.runs.len()
            );
            self.resources_changed = true;
            self.log(Event::WorkerDraining, Subject::Worker(worker_id), message);
        }
        self.check_capacity(worker_key, former_capacity);
        RecordedReport::Recorded(worker_key)
    }

    /// Handles a change of a worker's capacity.
    fn check_capacity(&mut self, worker_key: WorkerKey, former: Resources) {
        let Some(worker) = self.workers.get(&worker_key) else {
            return;
        };
        let capacity = worker.report.capacity;
        if capacity == former {
            return;
        }
        let worker_id = worker.report.worker_id.clone();
        let message = format!(
            "worker {worker_id} has {} millicores and {} MB, formerly {} and {}; its runs occupy {} and {}",
            capacity.cpu_milli,
            capacity.memory_mb,
            former.cpu_milli,
            former.memory_mb,
            worker.used.cpu_milli,
            worker.used.memory_mb
        );
        self.known_capacities.add(&worker.report.service, capacity);
        self.resources_changed = true;
        self.log(Event::WorkerResized, Subject::Worker(worker_id), message);
    }

    fn add_worker(
        &mut self,
        report: WorkerReport,
        verification: Option<Verification>,
    ) -> RecordedReport {
        if self.drain_started.is_some() {
            let answer = self.forward_report(&report);
            return RecordedReport::Answered(answer.unwrap_or(ReportAnswer::Declined));
        }
        self.known_capacities.add(&report.service, report.capacity);
        self.last_worker_key += 1;
        let worker_key = self.last_worker_key;
        let ownership = match verification {
            Some(verification) => (verification.fencing_token(), Phase::Verifying(verification)),
            None => {
                let fencing_token = self.fencing_tokens.next(self.unix_ms, None);
                (fencing_token, Phase::TakingOver)
            }
        };
        self.worker_keys_by_id
            .insert(report.worker_id.clone(), worker_key);
        let is_evacuated = self.is_evacuated(&report.failure_domain);
        let mut worker = Worker::new(worker_key, report, ownership, self.now);
        worker.is_evacuated = is_evacuated;
        self.workers.insert(worker_key, worker);
        RecordedReport::Recorded(worker_key)
    }

    /// Handles the deregistration of a worker. It does not name the incarnation
    /// that sent it and can arrive late, so it does not prove that the runs on
    /// the worker have ended: they count as lost when their lease has expired. A
    /// worker that leaves reports that it drains first, so one that answers and
    /// does not drain has restarted under its id since then.
    pub(crate) fn on_departed(&mut self, worker_id: &WorkerId) {
        let worker_key = self.worker_keys_by_id.get(worker_id);
        let Some(worker) = worker_key.and_then(|worker_key| self.workers.get(worker_key)) else {
            return;
        };
        if worker.report.draining || worker.unanswered_polls > 0 {
            let (worker_key, ends_by) = (worker.worker_key, worker.lease.ends_by());
            return self.remove_worker(worker_key, ends_by, "it left");
        }
        let message = format!(
            "deregistration of worker {worker_id} is ignored: the worker answers and does not drain; {} runs on it",
            worker.runs.len()
        );
        self.log(
            Event::StaleMessage,
            Subject::Worker(worker_id.clone()),
            message,
        );
    }

    /// Handles a worker that has seen a higher fencing token. While a message about
    /// it is verified, the worker has or had an owner. During take-over the worker
    /// reports to this host, so the clock of a former owner was ahead, and
    /// the token is raised. Otherwise another host has taken the worker over.
    pub(crate) fn on_fenced(&mut self, worker_key: WorkerKey, clock_ms: Option<u64>) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if let Phase::Verifying(verification) = worker.phase {
            return match (verification, clock_ms) {
                (Verification::ReportClock(sent_clock_ms), Some(clock_ms)) => {
                    self.verify_report(worker_key, sent_clock_ms, clock_ms);
                }
                (Verification::ReportClock(_), None) => self.begin_take_over(worker_key),
                (Verification::FormerToken(_), _) => self.drop_late_handover(worker_key),
            };
        }
        if worker.phase == Phase::TakingOver && worker.token_raises < MAX_TOKEN_RAISES {
            let seconds = worker.fencing_token.seconds() + 2_u64.pow(worker.token_raises);
            worker.token_raises += 1;
            worker.next_poll_at = self.now;
            let above = FencingToken::of_seconds(seconds);
            worker.fencing_token = self.fencing_tokens.next(self.unix_ms, Some(above));
            return;
        }
        let ends_by = worker.lease.ends_by();
        self.remove_worker(worker_key, ends_by, "another host owns it");
    }

    /// Removes a worker that this host no longer owns. Its runs count as lost once
    /// `ends_by` has passed.
    pub(crate) fn remove_worker(&mut self, worker_key: WorkerKey, ends_by: Duration, reason: &str) {
        let Some(mut worker) = self.workers.remove(&worker_key) else {
            return;
        };
        self.decline_reports(std::mem::take(&mut worker.pending_reports));
        if self.worker_keys_by_id.get(&worker.report.worker_id) == Some(&worker_key) {
            self.worker_keys_by_id.swap_remove(&worker.report.worker_id);
        }
        self.resources_changed = true;
        self.forget_interference_on(worker_key);
        self.emit(FleetOutput::DropConnections(worker.report.address));
        self.log(
            Event::WorkerForgotten,
            Subject::Worker(worker.report.worker_id.clone()),
            format!(
                "worker {} is no longer owned: {reason}; {} runs on it",
                worker.report.worker_id,
                worker.runs.len()
            ),
        );
        let longest_lease = lease::longest(self.options.max_lease);
        for (id, run) in &worker.runs {
            if ends_by <= self.now {
                self.end_run_as_lost(worker_key, *id);
            } else if run.may_start_after_restart() {
                // The worker may have restarted before its next owner took it over.
                self.hold_run_until_expiry(*id, ends_by.max(self.now + longest_lease));
            } else {
                self.hold_run_until_expiry(*id, ends_by);
            }
        }
    }

    /// Keeps the task of a run out of the queue until the run has ended.
    fn hold_run_until_expiry(&mut self, id: RunId, ends_by: Duration) {
        if let Some(peer_task) = self.peer_tasks.get_mut(&id) {
            peer_task.ends_by = Some(ends_by);
        } else {
            self.hold_until_expiry(id, ends_by);
        }
    }

    /// Removes workers that neither report nor answer.
    pub(crate) fn remove_unresponsive_workers(&mut self) {
        let now = self.now;
        let unresponsive = |worker: &&Worker| {
            now >= worker.reported_at + WORKER_TIMEOUT
                && now >= worker.last_answer_at + WORKER_TIMEOUT
        };
        let gone: Vec<WorkerKey> = self
            .workers
            .values()
            .filter(unresponsive)
            .map(|worker| worker.worker_key)
            .collect();
        for worker_key in gone {
            self.remove_worker(worker_key, now, "it sent no report and no answer in time");
        }
    }

    /// Gets the next time at which a timer of the worker is due.
    pub(crate) fn worker_wakeup(&self, worker: &Worker) -> Duration {
        let poll_at = match worker.poll_sent_at {
            Some(_) => worker.last_answer_at + WORKER_TIMEOUT,
            None => worker.next_poll_at,
        };
        let stops = worker.runs.values().filter_map(|run| run.stop_at);
        let first_stop = stops.min().unwrap_or(poll_at);
        let probe_at = self.probe_at(worker).unwrap_or(poll_at);
        let decline_at = worker.decline_at().unwrap_or(poll_at);
        poll_at.min(first_stop).min(probe_at).min(decline_at)
    }
}
