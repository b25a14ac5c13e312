//! Looks at workers: ends, lost runs, leases.

use std::time::Duration;

use hornbeam_core::event::Event;

use crate::fleet::Fleet;
use crate::io::{
    FleetOutput, PollOutcome, PollRequest, PollResponse, RunEnd, StopRequest, Subject,
};
use crate::job::RunId;
use crate::worker::{Phase, RunState, Worker, WorkerKey};

/// Pause before a look without an answer is repeated; it doubles up to
/// [`MAX_LOOK_PAUSE`].
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Longest pause between looks at a worker that does not answer.
const MAX_LOOK_PAUSE: Duration = Duration::from_millis(800);

impl Fleet {
    /// Sends the looks and stops that are due.
    pub(crate) fn send_looks_and_stops(&mut self) {
        let numbers: Vec<WorkerKey> = self.workers.keys().copied().collect();
        for worker_key in numbers {
            self.send_stops(worker_key);
            self.send_look(worker_key);
            self.send_check(worker_key);
        }
    }

    fn send_look(&mut self, worker_key: WorkerKey) {
        let now = self.now;
        let max_lease = self.options.max_lease;
        let poll_wait = self.options.poll_wait;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if worker.look_sent_at.is_some() || now < worker.next_look_at {
            return;
        }
        worker.look_sent_at = Some(now);
        // A worker that was silent is asked for an answer at once, and its lease
        // is left to end: its tasks start elsewhere after that.
        let extends = worker.phase == Phase::Ready && worker.misses == 0;
        let (lease_end_ms, wait) = if extends {
            let lease_end_ms = worker.lease.extend(now, max_lease);
            (lease_end_ms, worker.poll_wait(now, poll_wait))
        } else {
            (None, Duration::ZERO)
        };
        let order = PollRequest {
            target: worker.target(),
            lease_end_ms,
            acknowledged: worker.acknowledged,
            wait,
        };
        self.put(FleetOutput::Poll(order));
    }

    pub(crate) fn on_looked(&mut self, worker_key: WorkerKey, answer: PollOutcome) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let sent_at = worker.look_sent_at.take().unwrap_or(self.now);
        match answer {
            PollOutcome::Fenced => self.lose_ownership(worker_key),
            PollOutcome::OtherIncarnation => self.worker_restarted(worker_key),
            PollOutcome::Unanswered => self.look_missed(worker_key, sent_at),
            PollOutcome::Answered(observation) => self.on_seen(worker_key, sent_at, &observation),
        }
    }

    fn look_missed(&mut self, worker_key: WorkerKey, sent_at: Duration) {
        self.note_lost_look();
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if worker.looked_at > sent_at {
            // A check has shown that only the look was lost.
            worker.next_look_at = self.now;
            return;
        }
        worker.misses += 1;
        let pause = LOOK_AGAIN * 2_u32.pow((worker.misses - 1).min(5));
        worker.next_look_at = self.now + pause.min(MAX_LOOK_PAUSE);
        let message = format!(
            "worker {} did not answer {} looks in a row; {} runs on it",
            worker.report.worker_id,
            worker.misses,
            worker.runs.len()
        );
        let subject = Subject::Worker(worker.report.worker_id.clone());
        self.room_changed = true;
        self.log(Event::WorkerUnanswered, subject, message);
    }

    pub(crate) fn on_seen(
        &mut self,
        worker_key: WorkerKey,
        sent_at: Duration,
        seen: &PollResponse,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let born = worker.report.born_unix_ms;
        if seen.born_unix_ms.is_some_and(|seen_born| seen_born != born) {
            return self.worker_restarted(worker_key);
        }
        worker.lease.read(seen.clock_ms, now);
        worker.seen_at = now;
        worker.looked_at = now;
        worker.next_look_at = now;
        if worker.misses > 0 {
            worker.misses = 0;
            self.room_changed = true;
            let message = format!("worker {} answers again", worker.report.worker_id);
            let subject = Subject::Worker(worker.report.worker_id.clone());
            self.log(Event::WorkerRestored, subject, message);
        }
        match self.workers.get(&worker_key).map(|worker| worker.phase) {
            Some(Phase::Taking) => self.take_over(worker_key, seen),
            Some(Phase::Ready) => {
                self.take_ends(worker_key, seen);
                self.compare_runs(worker_key, sent_at, seen);
                self.watch_progress(worker_key, seen);
            }
            None => {}
        }
    }

    /// Stops what a former owner has left, and begins to start tasks when
    /// nothing is left.
    fn take_over(&mut self, worker_key: WorkerKey, seen: &PollResponse) {
        let now = self.now;
        let max_stop_time = self.options.max_stop_time;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let last = seen.ended.iter().map(|row| row.sequence).max();
        worker.acknowledged = worker.acknowledged.max(last.unwrap_or(0));
        if seen.running.is_empty() {
            worker.phase = Phase::Ready;
            let message = format!(
                "worker {} of service {} is owned with generation {}",
                worker.report.worker_id, worker.report.service, worker.fencing_token.0
            );
            let subject = Subject::Worker(worker.report.worker_id.clone());
            self.room_changed = true;
            return self.log(Event::WorkerOwned, subject, message);
        }
        worker.next_look_at = now + max_stop_time;
        let target = worker.target();
        for row in &seen.running {
            let target = target.clone();
            self.put(FleetOutput::Stop(StopRequest {
                target,
                run: row.run,
            }));
        }
    }

    fn take_ends(&mut self, worker_key: WorkerKey, seen: &PollResponse) {
        for row in &seen.ended {
            let now = self.now;
            let Some(worker) = self.workers.get_mut(&worker_key) else {
                return;
            };
            if row.sequence <= worker.acknowledged {
                continue;
            }
            worker.acknowledged = row.sequence;
            let Some(id) = row.run else {
                continue;
            };
            if let Some(run) = worker.remove(id) {
                let took = match run.state {
                    RunState::Running(since) => Some(now.saturating_sub(since)),
                    _ => None,
                };
                self.run_ended(worker_key, id, row.end, took);
            }
        }
    }

    /// Compares the runs that should be there with those that are listed.
    fn compare_runs(&mut self, worker_key: WorkerKey, sent_at: Duration, seen: &PollResponse) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let listed = |id: &RunId| seen.running.iter().any(|row| row.run == *id);
        for (id, run) in &mut worker.runs {
            if matches!(run.state, RunState::Starting(_) | RunState::Unclear) && listed(id) {
                // Answers overtake each other: only what is sent from now on
                // certainly finds the run there.
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
        let foreign: Vec<RunId> = seen
            .running
            .iter()
            .map(|row| row.run)
            .filter(|id| !worker.runs.contains_key(id))
            .collect();
        let target = worker.target();
        for id in lost {
            if let Some(worker) = self.workers.get_mut(&worker_key) {
                worker.remove(id);
            }
            self.log(
                Event::RunLost,
                Subject::Run(id),
                format!("run {id} is no longer on its worker and its end was not listed"),
            );
            self.end_lost(worker_key, id);
        }
        // An order that was carried out late has started it.
        for run in foreign {
            let target = target.clone();
            self.put(FleetOutput::Stop(StopRequest { target, run }));
        }
    }

    /// Ends the runs of workers whose lease has ended, for example after a
    /// pause of this process.
    pub(crate) fn end_lapsed_leases(&mut self) {
        let now = self.now;
        let has_lapsed =
            |worker: &&Worker| !worker.runs.is_empty() && worker.lease.over_at() <= now;
        let lapsed: Vec<WorkerKey> = self
            .workers
            .values()
            .filter(has_lapsed)
            .map(|worker| worker.worker_key)
            .collect();
        for worker_key in lapsed {
            let Some(worker) = self.workers.get_mut(&worker_key) else {
                continue;
            };
            let worker_id = worker.report.worker_id.clone();
            let runs: Vec<RunId> = worker.runs.keys().copied().collect();
            self.log(
                Event::LeaseEnded,
                Subject::Worker(worker_id.clone()),
                format!(
                    "the lease of worker {worker_id} ended with {} runs",
                    runs.len()
                ),
            );
            for id in runs {
                if let Some(worker) = self.workers.get_mut(&worker_key) {
                    worker.remove(id);
                }
                self.end_lost(worker_key, id);
            }
        }
        self.end_unclear_runs();
    }

    /// Ends runs that no look has listed and whose starts can no longer be
    /// carried out.
    fn end_unclear_runs(&mut self) {
        let now = self.now;
        let mut over = Vec::new();
        for worker in self.workers.values_mut() {
            let is_over = |run: &crate::worker::Run| {
                run.state == RunState::Unclear && run.lease_over_at <= now
            };
            let ids: Vec<RunId> = worker
                .runs
                .iter()
                .filter(|(_, run)| is_over(run))
                .map(|(id, _)| *id)
                .collect();
            for id in ids {
                worker.remove(id);
                over.push((worker.worker_key, id));
            }
        }
        for (worker_key, id) in over {
            self.run_ended(worker_key, id, RunEnd::Lost, None);
        }
    }
}
