//! Which workers this host owns: reports, take-over and loss.

use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::WorkerId;

use crate::fencing::FencingToken;
use crate::fleet::Fleet;
use crate::io::{FleetOutput, ReportAnswer, ReportId, Subject};
use crate::job::RunId;
use crate::report::WorkerReport;
use crate::worker::{Phase, Worker, WorkerKey};

/// Time without a report and without an answer after which a worker is
/// forgotten: several reports, which come every 1.5 s.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// Times that a generation is raised while a worker is taken over. The steps
/// double, so the last one covers clocks that are apart by a day.
const MAX_RAISES: u32 = 17;

impl Fleet {
    pub(crate) fn on_reported(&mut self, id: ReportId, report: WorkerReport) {
        let answer = self.take_report(report, None);
        self.put(FleetOutput::AnswerReport(id, answer));
    }

    /// Takes note of a report. A worker of which nothing is known is taken
    /// over, above the generation of its former owner if that is known.
    pub(crate) fn take_report(
        &mut self,
        report: WorkerReport,
        above: Option<FencingToken>,
    ) -> ReportAnswer {
        let Some(worker_key) = self.by_id.get(&report.worker_id).copied() else {
            return self.take_worker(report, above);
        };
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return ReportAnswer::Declined;
        };
        if report.born_unix_ms > worker.report.born_unix_ms {
            self.worker_restarted(worker_key);
            return self.take_worker(report, above);
        }
        // A late report of a former incarnation, or one that was overtaken.
        if report.born_unix_ms < worker.report.born_unix_ms
            || report.sequence <= worker.report.sequence
        {
            return ReportAnswer::Taken;
        }
        let starts_to_drain = report.draining && !worker.report.draining;
        worker.reported_at = now;
        worker.report = report;
        let worker_id = worker.report.worker_id.clone();
        if starts_to_drain {
            let message = format!(
                "worker {} drains and gets no new run; {} runs on it",
                worker.report.worker_id,
                worker.runs.len()
            );
            self.room_changed = true;
            self.log(Event::WorkerDraining, Subject::Worker(worker_id), message);
        }
        ReportAnswer::Taken
    }

    fn take_worker(&mut self, report: WorkerReport, above: Option<FencingToken>) -> ReportAnswer {
        if self.drain_started.is_some() {
            return self.pass_on(&report).unwrap_or(ReportAnswer::Declined);
        }
        self.last_worker += 1;
        let worker_key = self.last_worker;
        let fencing_token = self.fencing_tokens.next(self.unix_ms, above);
        self.by_id.insert(report.worker_id.clone(), worker_key);
        let worker = Worker::new(worker_key, report, fencing_token, self.now);
        self.workers.insert(worker_key, worker);
        ReportAnswer::Taken
    }

    pub(crate) fn on_departed(&mut self, worker_id: &WorkerId) {
        if let Some(worker_key) = self.by_id.get(worker_id).copied() {
            self.forget_worker(worker_key, self.now, "it has left");
        }
    }

    /// The worker has started anew, so nothing that it ran is left.
    pub(crate) fn worker_restarted(&mut self, worker_key: WorkerKey) {
        self.forget_worker(worker_key, self.now, "it has started anew");
    }

    /// A higher generation is at work. While the worker is being taken over
    /// and reports to this host, its clock was behind that of a former owner.
    pub(crate) fn lose_ownership(&mut self, worker_key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if worker.phase == Phase::Taking && worker.raises < MAX_RAISES {
            let seconds = worker.fencing_token.seconds() + 2_u64.pow(worker.raises);
            worker.raises += 1;
            worker.next_look_at = self.now;
            let above = FencingToken::of_seconds(seconds);
            worker.fencing_token = self.fencing_tokens.next(self.unix_ms, Some(above));
            return;
        }
        let over_at = worker.lease.over_at();
        self.forget_worker(worker_key, over_at, "another host owns it");
    }

    /// Forgets a worker; its runs are over at the given time.
    pub(crate) fn forget_worker(&mut self, worker_key: WorkerKey, over_at: Duration, reason: &str) {
        let Some(worker) = self.workers.remove(&worker_key) else {
            return;
        };
        if self.by_id.get(&worker.report.worker_id) == Some(&worker_key) {
            self.by_id.swap_remove(&worker.report.worker_id);
        }
        self.room_changed = true;
        self.put(FleetOutput::CloseConnections(worker.report.address));
        self.log(
            Event::WorkerForgotten,
            Subject::Worker(worker.report.worker_id.clone()),
            format!(
                "worker {} is no longer owned: {reason}; {} runs on it",
                worker.report.worker_id,
                worker.runs.len()
            ),
        );
        let runs: Vec<RunId> = worker.runs.keys().copied().collect();
        for id in runs {
            if over_at <= self.now {
                self.end_lost(worker_key, id);
            } else {
                self.linger_run(id, over_at);
            }
        }
    }

    /// Keeps a run's task back until the run is over.
    fn linger_run(&mut self, id: RunId, over_at: Duration) {
        if let Some(guest) = self.guests.get_mut(&id) {
            guest.over_at = Some(over_at);
        } else {
            self.linger(id, over_at);
        }
    }

    /// Forgets workers that are gone without a word.
    pub(crate) fn watch_workers(&mut self) {
        let now = self.now;
        let silent = |worker: &&Worker| {
            now >= worker.reported_at + FORGET_AFTER && now >= worker.seen_at + FORGET_AFTER
        };
        let gone: Vec<WorkerKey> = self
            .workers
            .values()
            .filter(silent)
            .map(|worker| worker.worker_key)
            .collect();
        for worker_key in gone {
            self.forget_worker(worker_key, now, "it neither reports nor answers");
        }
    }

    /// Gets the next time at which a worker needs attention.
    pub(crate) fn worker_wakeup(&self, worker: &Worker) -> Duration {
        let look_at = match worker.look_sent_at {
            Some(_) => worker.seen_at + FORGET_AFTER,
            None => worker.next_look_at,
        };
        let stops = worker.runs.values().filter_map(|run| run.stop_at);
        let first_stop = stops.min().unwrap_or(look_at);
        let check_at = self.check_at(worker).unwrap_or(look_at);
        look_at.min(first_stop).min(check_at)
    }
}
