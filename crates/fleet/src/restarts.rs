//! Runs that may have reached a later incarnation of their worker.
//!
//! A start request without an answer can be carried out by the incarnation that
//! follows a crash under the same id: that one has seen no fencing token, and a
//! lease end on the former clock is far ahead of its own. Such runs count as ended
//! only once the later incarnation has answered a request with a higher token,
//! which shuts out the start requests that are still on their way
//! (`docs/platform.md`, "Workers that restart").

use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::WorkerId;
use indexmap::IndexMap;

use crate::fleet::Fleet;
use crate::io::{
    FleetOutput, PollOutcome, PollRequest, PollResponse, RunEnd, StopRequest, Subject, WorkerTarget,
};
use crate::job::RunId;
use crate::lease;
use crate::loss_log::LossEvidence;
use crate::polls::poll_retry_delay;
use crate::run_losses::list_runs;
use crate::worker::{Run, STOP_TIMEOUT, Worker, WorkerKey};

/// Time without an answer after which the worker counts as lost for good.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a start request without an answer is no longer carried out.
const START_REQUEST_RETENTION: Duration = Duration::from_secs(12);

/// `RestartedWorker` is a worker that started again while start requests to its
/// former incarnation were without an answer. It is *settled* once none of them can
/// take effect any more and the runs that they started have ended.
#[derive(Debug)]
pub(crate) struct RestartedWorker {
    /// Worker, with a key of its own for the settlement.
    target: WorkerTarget,
    /// Whether the worker may have an owner, which a higher token would shut out.
    may_have_owner: bool,
    /// Runs that it may have started, or may still start.
    runs: Vec<RunId>,
    /// Time at which the next poll is due; `None` while one is in flight, or if no
    /// more are needed.
    next_poll_at: Option<Duration>,
    unanswered_polls: u32,
    /// Time by which all runs have ended.
    ends_by: Duration,
    /// Whether no former start request can be carried out any more.
    is_fenced: bool,
    /// Whether the worker lists runs, all of which former start requests began.
    lists_runs: bool,
}

/// `RestartedWorkers` are the restarted workers whose runs are not settled.
pub(crate) type RestartedWorkers = IndexMap<WorkerKey, RestartedWorker>;

impl Fleet {
    /// Handles a restart of a worker, whichever message shows it. Runs that the
    /// former incarnation is known to have started ended with it.
    pub(crate) fn worker_restarted(&mut self, worker_key: WorkerKey) {
        self.record_losses(worker_key, LossEvidence::Restarted);
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let runs = worker.take_unsettled_runs();
        let is_recent = |at: Duration| self.now < at + START_REQUEST_RETENTION;
        let has_recent_start = worker.start_unanswered_at.is_some_and(is_recent);
        let target = worker.target();
        self.remove_worker(worker_key, self.now, "it restarted");
        if !runs.is_empty() || has_recent_start {
            self.begin_settlement(target, runs);
        }
    }

    /// Begins to settle the runs that may have reached a later incarnation.
    fn begin_settlement(&mut self, mut target: WorkerTarget, runs: Vec<RunId>) {
        self.last_worker_key += 1;
        target.worker_key = self.last_worker_key;
        let message = format!(
            "{} runs may have reached the later incarnation of worker {}: {}",
            runs.len(),
            target.worker_id,
            list_runs(runs.iter().copied())
        );
        let subject = Subject::Worker(target.worker_id.clone());
        self.log(Event::RunsUnsettled, subject, message);
        let restarted = RestartedWorker {
            runs,
            may_have_owner: true,
            next_poll_at: Some(self.now),
            unanswered_polls: 0,
            ends_by: self.now + SETTLEMENT_TIMEOUT,
            is_fenced: false,
            lists_runs: false,
            target,
        };
        let worker_key = restarted.target.worker_key;
        self.restarted_workers.insert(worker_key, restarted);
    }

    /// Sends the polls to restarted workers that are due, and ends the runs whose
    /// time has passed.
    pub(crate) fn settle_restarted_workers(&mut self) {
        let now = self.now;
        let mut polls = Vec::new();
        let mut ended = Vec::new();
        for restarted in self.restarted_workers.values_mut() {
            if restarted.ends_by <= now {
                ended.push(restarted.target.worker_key);
            } else if restarted.next_poll_at.is_some_and(|at| at <= now) {
                restarted.next_poll_at = None;
                polls.push(PollRequest {
                    target: restarted.target.clone(),
                    lease_end_ms: None,
                    acknowledged: 0,
                    wait: Duration::ZERO,
                });
            }
        }
        for poll in polls {
            self.emit(FleetOutput::Poll(poll));
        }
        for worker_key in ended {
            self.end_unsettled_runs(worker_key);
        }
    }

    /// Gets the next time at which a poll or the end of runs is due.
    pub(crate) fn next_settlement_at(&self) -> Option<Duration> {
        let due = |restarted: &RestartedWorker| {
            let poll_at = restarted.next_poll_at.unwrap_or(restarted.ends_by);
            poll_at.min(restarted.ends_by)
        };
        self.restarted_workers.values().map(due).min()
    }

    /// Handles the end of a poll of a restarted worker.
    pub(crate) fn on_settlement_poll_ended(
        &mut self,
        worker_key: WorkerKey,
        outcome: &PollOutcome,
    ) {
        let now = self.now;
        let max_stop_time = self.options.max_stop_time;
        let Some(restarted) = self.restarted_workers.get_mut(&worker_key) else {
            return;
        };
        match outcome {
            // Requests to the former id are refused at this address.
            PollOutcome::OtherIncarnation => self.end_unsettled_runs(worker_key),
            // An owner with a higher token stops the runs and does not extend
            // their lease.
            PollOutcome::Fenced(_) => self.limit_unsettled_runs(worker_key),
            PollOutcome::Unanswered | PollOutcome::ConnectionRefused => {
                restarted.unanswered_polls += 1;
                restarted.next_poll_at = Some(now + poll_retry_delay(restarted.unanswered_polls));
                let address = restarted.target.address;
                self.emit(FleetOutput::DropConnections(address));
            }
            PollOutcome::Answered(_) if restarted.may_have_owner => {
                let id = &restarted.target.worker_id;
                if self.worker_keys_by_id.contains_key(id) {
                    // The take-over by this host settles the runs, under a token of
                    // its own.
                    restarted.next_poll_at = Some(now + max_stop_time);
                    return;
                }
                // The former token was accepted, so the worker has no owner.
                let former_token = Some(restarted.target.fencing_token);
                restarted.may_have_owner = false;
                restarted.next_poll_at = Some(now);
                restarted.target.fencing_token =
                    self.fencing_tokens.next(self.unix_ms, former_token);
            }
            PollOutcome::Answered(response) => self.on_fenced_list(worker_key, response),
        }
    }

    /// Handles the list of runs of a restarted worker that has seen a higher token.
    /// All of them were begun by former start requests.
    fn on_fenced_list(&mut self, worker_key: WorkerKey, response: &PollResponse) {
        let next_poll_at = self.now + self.options.max_stop_time;
        let Some(restarted) = self.restarted_workers.get_mut(&worker_key) else {
            return;
        };
        restarted.unanswered_polls = 0;
        restarted.next_poll_at = Some(next_poll_at);
        restarted.lists_runs = !response.running.is_empty();
        let target = restarted.target.clone();
        self.limit_unsettled_runs(worker_key);
        self.settle_listed_runs(&target.worker_id, response);
        for progress in &response.running {
            self.emit(FleetOutput::Stop(StopRequest {
                target: target.clone(),
                run: progress.run,
                timeout: STOP_TIMEOUT,
            }));
        }
    }

    /// Limits the runs on a restarted worker to a lease from now on: it has seen a
    /// higher token, with which nobody extends the lease of former runs.
    fn limit_unsettled_runs(&mut self, worker_key: WorkerKey) {
        let longest_lease = lease::longest(self.options.max_lease);
        if let Some(restarted) = self.restarted_workers.get_mut(&worker_key)
            && !restarted.is_fenced
        {
            restarted.is_fenced = true;
            restarted.ends_by = restarted.ends_by.min(self.now + longest_lease);
        }
    }

    /// Ends the runs of a former incarnation that the worker, which has seen a
    /// higher token, no longer lists as running.
    pub(crate) fn settle_listed_runs(&mut self, worker_id: &WorkerId, response: &PollResponse) {
        let is_listed = |run: &RunId| response.running.iter().any(|other| other.run == *run);
        let mut ended = Vec::new();
        for restarted in self.restarted_workers.values_mut() {
            if restarted.target.worker_id != *worker_id {
                continue;
            }
            let worker_key = restarted.target.worker_key;
            let settled = restarted.runs.extract_if(.., |run| !is_listed(run));
            ended.extend(settled.map(|run| (worker_key, run)));
        }
        for (worker_key, run) in ended {
            let listed = response.ended.iter().find(|ended| ended.run == Some(run));
            let end = listed.map_or(RunEnd::Lost, |ended| ended.end);
            self.run_ended(worker_key, run, end, None);
        }
        self.restarted_workers
            .retain(|_, restarted| !restarted.runs.is_empty() || restarted.lists_runs);
    }

    fn end_unsettled_runs(&mut self, worker_key: WorkerKey) {
        if let Some(restarted) = self.restarted_workers.swap_remove(&worker_key) {
            for run in restarted.runs {
                self.end_run_as_lost(worker_key, run);
            }
        }
    }

    /// Whether a run may be active on a restarted worker.
    pub(crate) fn is_unsettled(&self, run: RunId) -> bool {
        let mut restarted = self.restarted_workers.values();
        restarted.any(|restarted| restarted.runs.contains(&run))
    }
}

impl Worker {
    /// Removes the runs that a later incarnation may have started.
    fn take_unsettled_runs(&mut self) -> Vec<RunId> {
        let runs = self.runs.iter();
        let unsettled: Vec<RunId> = runs
            .filter(|(_, run)| run.may_start_after_restart())
            .map(|(id, _)| *id)
            .collect();
        for id in &unsettled {
            self.remove(*id);
        }
        unsettled
    }

    /// Gets the time by which a run has ended if no further request about it is
    /// sent. A worker that does not answer may have restarted.
    pub(crate) fn latest_end(&self, run: &Run) -> Duration {
        if self.unanswered_polls > 0 && run.may_start_after_restart() {
            run.ends_by_if_restarted
        } else {
            run.ends_by
        }
    }

    /// Gets the runs that have ended with the lease.
    pub(crate) fn expired_runs(&self, now: Duration) -> Vec<RunId> {
        if self.lease.ends_by() > now {
            return Vec::new();
        }
        let has_ended = |(_, run): &(&RunId, &Run)| self.latest_end(run) <= now;
        let runs = self.runs.iter().filter(has_ended);
        runs.map(|(id, _)| *id).collect()
    }

    /// Whether an incarnation with this clock, in ms, is certainly the one that
    /// answered the last poll. A later one has started after that poll was sent.
    pub(crate) fn has_clock_of_known_incarnation(&self, clock_ms: u64, now: Duration) -> bool {
        Duration::from_millis(clock_ms) > now.saturating_sub(self.incarnation_seen_at)
    }
}

impl Run {
    /// Whether a start request may be carried out by a later incarnation of the
    /// worker, or may have been.
    pub(crate) fn may_start_after_restart(&self) -> bool {
        self.has_unanswered_start || !self.is_confirmed
    }
}
