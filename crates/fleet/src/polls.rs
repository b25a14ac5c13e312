//! Polls of workers, which report ended and lost runs and renew leases.

use std::time::Duration;

use hornbeam_core::event::Event;

use crate::fleet::Fleet;
use crate::io::{
    FleetOutput, PollOutcome, PollRequest, PollResponse, RunEnd, StopRequest, Subject,
};
use crate::job::RunId;
use crate::lease;
use crate::loss_log::LossEvidence;
use crate::run_losses::list_runs;
use crate::verification::Verification;
use crate::worker::{Phase, RunState, WorkerKey};

/// Delay before an unanswered poll is repeated; it doubles up to
/// [`MAX_POLL_RETRY_DELAY`].
const POLL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay between polls of a worker that does not answer.
const MAX_POLL_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Gets the delay before the next poll after some in a row without an answer.
pub(crate) fn poll_retry_delay(unanswered_polls: u32) -> Duration {
    let doublings = unanswered_polls.saturating_sub(1).min(5);
    (POLL_RETRY_DELAY * 2_u32.pow(doublings)).min(MAX_POLL_RETRY_DELAY)
}

impl Fleet {
    /// Sends all polls, probes and stop requests that are due.
    pub(crate) fn send_due_requests(&mut self) {
        let worker_keys: Vec<WorkerKey> = self.workers.keys().copied().collect();
        for worker_key in worker_keys {
            self.send_stops(worker_key);
            self.send_poll(worker_key);
            self.send_probe(worker_key);
        }
    }

    fn send_poll(&mut self, worker_key: WorkerKey) {
        let now = self.now;
        let max_lease = self.options.max_lease;
        let poll_wait = self.options.poll_wait;
        let max_stop_time = self.options.max_stop_time;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if worker.poll_sent_at.is_some() || now < worker.next_poll_at {
            return;
        }
        worker.poll_sent_at = Some(now);
        // After an unanswered poll the worker must answer at once, and its lease
        // is not extended: its tasks start elsewhere once the lease has expired.
        let (lease_end_ms, wait) = if worker.phase != Phase::Ready || worker.unanswered_polls > 0 {
            (None, Duration::ZERO)
        } else if worker.may_extend_lease() {
            let lease_end_ms = worker.extend_lease(now, max_lease);
            let longest_wait = if worker.has_short_lease(now) {
                max_stop_time
            } else {
                poll_wait
            };
            (lease_end_ms, worker.poll_wait(now, longest_wait))
        } else {
            (None, worker.poll_wait(now, max_stop_time))
        };
        let request = PollRequest {
            target: worker.target(),
            lease_end_ms,
            acknowledged: worker.acknowledged,
            wait,
        };
        self.emit(FleetOutput::Poll(request));
    }

    pub(crate) fn on_poll_ended(&mut self, worker_key: WorkerKey, outcome: PollOutcome) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return self.on_settlement_poll_ended(worker_key, &outcome);
        };
        let sent_at = worker.poll_sent_at.take().unwrap_or(self.now);
        match outcome {
            PollOutcome::Fenced(clock_ms) => self.on_fenced(worker_key, clock_ms),
            PollOutcome::OtherIncarnation => self.worker_restarted(worker_key),
            PollOutcome::Unanswered => {
                self.on_poll_unanswered(worker_key, sent_at, "did not answer");
            }
            PollOutcome::ConnectionRefused => {
                self.on_poll_unanswered(worker_key, sent_at, "refused the connections of");
                self.record_refused_poll(worker_key);
            }
            PollOutcome::Answered(response) => {
                self.on_poll_response(worker_key, sent_at, &response)
            }
        }
    }

    fn on_poll_unanswered(&mut self, worker_key: WorkerKey, sent_at: Duration, what: &str) {
        self.record_lost_poll();
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if worker.last_poll_answer_at > sent_at {
            // A later probe was answered, so only the poll was lost.
            worker.next_poll_at = self.now;
            return;
        }
        worker.unanswered_polls += 1;
        let is_first = worker.unanswered_polls == 1;
        worker.next_poll_at = self.now + poll_retry_delay(worker.unanswered_polls);
        let message = format!(
            "worker {} {what} {} consecutive polls; {} runs on it",
            worker.report.worker_id,
            worker.unanswered_polls,
            worker.runs.len()
        );
        let subject = Subject::Worker(worker.report.worker_id.clone());
        self.resources_changed = true;
        self.log(Event::WorkerUnanswered, subject, message);
        if is_first {
            self.replace_connections(worker_key);
        }
    }

    pub(crate) fn on_poll_response(
        &mut self,
        worker_key: WorkerKey,
        sent_at: Duration,
        response: &PollResponse,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let born = worker.report.born_unix_ms;
        if response
            .born_unix_ms
            .is_some_and(|reported_born| reported_born != born)
        {
            return self.worker_restarted(worker_key);
        }
        worker.lease.record_clock(response.clock_ms, now);
        worker.needs_clock_reading = false;
        worker.last_answer_at = now;
        worker.last_poll_answer_at = now;
        worker.incarnation_seen_at = worker.incarnation_seen_at.max(sent_at);
        worker.next_poll_at = now;
        self.withdraw_losses(worker_key);
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if worker.unanswered_polls > 0 {
            worker.unanswered_polls = 0;
            self.resources_changed = true;
            let message = format!("worker {} answers again", worker.report.worker_id);
            let subject = Subject::Worker(worker.report.worker_id.clone());
            self.log(Event::WorkerRestored, subject, message);
        }
        match self.workers.get(&worker_key).map(|worker| worker.phase) {
            Some(Phase::Verifying(Verification::ReportClock(sent_clock_ms))) => {
                self.verify_report(worker_key, sent_clock_ms, response.clock_ms);
            }
            Some(Phase::Verifying(Verification::FormerToken(_))) => {
                self.begin_take_over(worker_key);
            }
            Some(Phase::TakingOver) => {
                self.acknowledge_reports(worker_key, sent_at);
                self.take_over(worker_key, response);
            }
            Some(Phase::Ready) => {
                self.acknowledge_reports(worker_key, sent_at);
                self.record_ended_runs(worker_key, response);
                self.reconcile_runs(worker_key, sent_at, response);
                self.check_progress(worker_key, response);
                self.move_late_runs(worker_key, response);
            }
            None => {}
        }
    }

    /// Stops the runs of a former owner. The worker is ready for new runs when
    /// none is left.
    fn take_over(&mut self, worker_key: WorkerKey, response: &PollResponse) {
        let now = self.now;
        let max_stop_time = self.options.max_stop_time;
        let longest_lease = lease::longest(self.options.max_lease);
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let last = response.ended.iter().map(|ended| ended.sequence).max();
        worker.acknowledged = worker.acknowledged.max(last.unwrap_or(0));
        let worker_id = worker.report.worker_id.clone();
        self.settle_listed_runs(&worker_id, response);
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if response.running.is_empty() {
            worker.phase = Phase::Ready;
            worker.lease.record_former(now + longest_lease);
            let message = format!(
                "worker {} of service {} is owned with fencing token {}",
                worker.report.worker_id, worker.report.service, worker.fencing_token.0
            );
            let subject = Subject::Worker(worker.report.worker_id.clone());
            self.resources_changed = true;
            return self.log(Event::WorkerOwned, subject, message);
        }
        worker.next_poll_at = now + max_stop_time;
        let runs = response.running.iter().map(|progress| progress.run);
        let stops: Vec<StopRequest> = runs.map(|run| worker.stop_request(run)).collect();
        for stop in stops {
            self.emit(FleetOutput::Stop(stop));
        }
    }

    fn record_ended_runs(&mut self, worker_key: WorkerKey, response: &PollResponse) {
        for ended in &response.ended {
            let now = self.now;
            let Some(worker) = self.workers.get_mut(&worker_key) else {
                return;
            };
            if ended.sequence <= worker.acknowledged {
                continue;
            }
            worker.acknowledged = ended.sequence;
            let Some(id) = ended.run else {
                continue;
            };
            if let Some(run) = worker.remove(id) {
                let took = match run.state {
                    RunState::Running(since) => Some(now.saturating_sub(since)),
                    _ => None,
                };
                if ended.end == RunEnd::Done
                    && let Some(took) = took
                {
                    self.record_pace(worker_key, run.mean_expected, took);
                }
                self.run_ended(worker_key, id, ended.end, took);
            }
        }
    }

    /// Reconciles the runs that this host knows with those that the worker lists:
    /// missing runs are lost, unknown ones are stopped.
    fn reconcile_runs(
        &mut self,
        worker_key: WorkerKey,
        sent_at: Duration,
        response: &PollResponse,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let listed = |id: &RunId| response.running.iter().any(|progress| progress.run == *id);
        for (id, run) in &mut worker.runs {
            if !listed(id) {
                continue;
            }
            run.is_confirmed = true;
            if matches!(run.state, RunState::Starting(_) | RunState::Unknown) {
                // Answers can arrive out of order: only a poll sent from now on
                // is certain to list the run.
                run.state = RunState::Running(now);
            }
        }
        let missing = |(id, run): &(&RunId, &crate::worker::Run)| {
            matches!(run.state, RunState::Running(since) if since < sent_at) && !listed(id)
        };
        let lost: Vec<RunId> = worker
            .runs
            .iter()
            .filter(missing)
            .map(|(id, _)| *id)
            .collect();
        let foreign: Vec<RunId> = response
            .running
            .iter()
            .map(|progress| progress.run)
            .filter(|id| !worker.runs.contains_key(id))
            .collect();
        if worker.has_unknown_runs == foreign.is_empty() {
            worker.has_unknown_runs = !foreign.is_empty();
            self.resources_changed = true;
        }
        // A delayed start request has started the foreign runs.
        let stops = foreign.into_iter().map(|run| worker.stop_request(run));
        let stops: Vec<StopRequest> = stops.collect();
        for id in lost {
            if let Some(worker) = self.workers.get_mut(&worker_key) {
                worker.remove(id);
            }
            self.log(
                Event::RunLost,
                Subject::Run(id),
                format!("run {id} is missing on its worker and no end was reported"),
            );
            self.end_run_as_lost(worker_key, id);
        }
        for stop in stops {
            self.emit(FleetOutput::Stop(stop));
        }
    }

    /// Ends the runs of workers whose lease has expired, for example during a
    /// pause of this process.
    pub(crate) fn expire_leases(&mut self) {
        let now = self.now;
        let expired: Vec<(WorkerKey, Vec<RunId>)> = self
            .workers
            .values()
            .map(|worker| (worker.worker_key, worker.expired_runs(now)))
            .filter(|(_, runs)| !runs.is_empty())
            .collect();
        for (worker_key, runs) in expired {
            let Some(worker) = self.workers.get(&worker_key) else {
                continue;
            };
            let worker_id = worker.report.worker_id.clone();
            let unanswered_polls = worker.unanswered_polls;
            // Otherwise this process was paused, and the worker is not at fault.
            if unanswered_polls > 0 {
                self.record_losses(worker_key, LossEvidence::Silent);
            }
            self.log(
                Event::LeaseEnded,
                Subject::Worker(worker_id.clone()),
                format!(
                    "lease of worker {worker_id} expired after {unanswered_polls} unanswered polls with {} runs on it: {}",
                    runs.len(),
                    list_runs(runs.iter().copied())
                ),
            );
            for id in runs {
                if let Some(worker) = self.workers.get_mut(&worker_key) {
                    worker.remove(id);
                }
                self.end_run_as_lost(worker_key, id);
            }
        }
        self.end_unknown_runs();
    }

    /// Ends runs that no poll has listed and whose start requests can no longer
    /// take effect.
    fn end_unknown_runs(&mut self) {
        let now = self.now;
        let mut ended = Vec::new();
        for worker in self.workers.values_mut() {
            let has_ended = |run: &crate::worker::Run| {
                run.state == RunState::Unknown && worker.latest_end(run) <= now
            };
            let ids: Vec<RunId> = worker
                .runs
                .iter()
                .filter(|(_, run)| has_ended(run))
                .map(|(id, _)| *id)
                .collect();
            for id in ids {
                worker.remove(id);
                ended.push((worker.worker_key, id));
            }
        }
        for (worker_key, id) in ended {
            self.run_ended(worker_key, id, RunEnd::Lost, None);
        }
    }
}
