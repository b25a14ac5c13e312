//! Detection of stragglers: runs on slow or stalled workers.

use std::time::Duration;

use hornbeam_core::event::Event;

use crate::fleet::Fleet;
use crate::io::{PollResponse, Subject};
use crate::job::RunId;
use crate::run_times::scaled;
use crate::worker::{Run, RunState, Worker, WorkerKey};

/// Multiple of the expected run time after which a run is overdue.
const OVERDUE_FACTOR: u32 = 2;

/// Time added to that, so that round trips do not make short runs overdue.
const OVERDUE_SLACK: Duration = Duration::from_millis(40);

/// Multiple of the expected run time that the projected run time must exceed
/// for a run to be slow. Declared times are off by about 40 percent, so runs on
/// a healthy worker rarely exceed it.
const SLOW_FACTOR: f64 = 4.5;

/// Number of slow runs that make a worker slow. A single one may be a task
/// whose declared time was far too short.
const SLOW_RUNS: usize = 2;

/// Time without progress after which a run is stalled. One percent of the
/// longest tasks takes a seventh of it.
const STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a slow worker gets no new runs; the next run tests it.
const SLOW_WORKER_PAUSE: Duration = Duration::from_secs(2);

/// Last attempt of a task that counts as slow. A task that was slow on several
/// workers is slow by itself, so it stays where it is and says nothing about the
/// worker.
pub(crate) const MAX_SLOW_ATTEMPT: u32 = 4;

/// Shortest wait of a poll of a worker with an overdue run.
const MIN_POLL_WAIT: Duration = Duration::from_millis(100);

/// Time that stopping a run and starting it elsewhere takes.
pub(crate) const MOVE_COST: Duration = Duration::from_millis(80);

impl Worker {
    /// Gets the longest wait of a poll that still detects overdue runs in time.
    pub(crate) fn poll_wait(&self, now: Duration, longest: Duration) -> Duration {
        let due = |run: &Run| match run.state {
            RunState::Running(since) => since + overdue_after(run.expected),
            _ => now + longest,
        };
        let next = self.runs.values().map(due).min();
        let wait = next.map_or(longest, |at| at.saturating_sub(now));
        wait.clamp(MIN_POLL_WAIT.min(longest), longest)
    }
}

impl Fleet {
    /// Finds runs with little progress, keeps new runs off their worker, and
    /// moves them if that is faster.
    pub(crate) fn check_progress(&mut self, worker_key: WorkerKey, response: &PollResponse) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let mut slow = Vec::new();
        let mut is_stalled = false;
        for progress in &response.running {
            let Some(run) = worker.runs.get_mut(&progress.run) else {
                continue;
            };
            if progress.done_percent > run.progress.0 {
                run.progress = (progress.done_percent, now);
            }
            if progress.run.attempt > MAX_SLOW_ATTEMPT {
                continue;
            }
            if let Some(remaining) = slow_remaining(run, progress.done_percent, now) {
                is_stalled |= now >= run.progress.1 + STALL_TIMEOUT;
                slow.push((progress.run, remaining, run.expected, run.need));
            }
        }
        if slow.len() < SLOW_RUNS && !is_stalled {
            return;
        }
        self.mark_slow(worker_key, slow.len());
        let service = match self.workers.get(&worker_key) {
            Some(worker) => worker.report.service.clone(),
            None => return,
        };
        for (id, remaining, expected, need) in slow {
            let is_faster = remaining > expected + MOVE_COST;
            if is_faster && self.fits_elsewhere(&service, &need, worker_key) {
                self.move_run(worker_key, id, remaining);
            }
        }
    }

    fn mark_slow(&mut self, worker_key: WorkerKey, runs: usize) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        if now < worker.blocked_until {
            return;
        }
        worker.block(now + SLOW_WORKER_PAUSE);
        let subject = Subject::Worker(worker.report.worker_id.clone());
        self.resources_changed = true;
        let message = format!(
            "worker {} is ejected for {} ms: {runs} runs on it are slow",
            worker.report.worker_id,
            SLOW_WORKER_PAUSE.as_millis()
        );
        self.log(Event::WorkerEjected, subject, message);
    }

    pub(crate) fn move_run(&mut self, worker_key: WorkerKey, id: RunId, remaining: Duration) {
        self.log(
            Event::RunRetried,
            Subject::Run(id),
            format!(
                "run {id} is stopped to be restarted elsewhere: it would need another {} ms",
                remaining.as_millis()
            ),
        );
        self.request_stop(worker_key, id);
    }
}

fn overdue_after(expected: Duration) -> Duration {
    expected * OVERDUE_FACTOR + OVERDUE_SLACK
}

/// Gets the remaining time of a run if the run is slow.
fn slow_remaining(run: &Run, done_percent: u32, now: Duration) -> Option<Duration> {
    let RunState::Running(since) = run.state else {
        return None;
    };
    let elapsed = now.saturating_sub(since);
    if run.stop_requested || elapsed < overdue_after(run.expected) {
        return None;
    }
    let done_share = f64::from(done_percent.max(1)) / 100.0;
    let projected = elapsed.div_f64(done_share);
    let is_slow = projected > scaled(run.expected, SLOW_FACTOR);
    is_slow.then(|| projected.saturating_sub(elapsed))
}
