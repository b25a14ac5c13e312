//! Workers that are slow or stand still, and the runs on them.

use std::time::Duration;

use hornbeam_core::event::Event;

use crate::fleet::Fleet;
use crate::io::{PollResponse, Subject};
use crate::job::RunId;
use crate::worker::{Run, RunState, Worker, WorkerKey};

/// A run is examined once it has taken this many times its expected time.
const OVERDUE_FACTOR: u32 = 2;

/// Time beyond that, so that round trips do not make short runs overdue.
const OVERDUE_SLACK: Duration = Duration::from_millis(40);

/// Expected times that a run would need in all for its worker to count as
/// slow. Declared times are off by some 40 percent, so a sound worker rarely
/// shows this.
const SLOW_FACTOR: f64 = 4.5;

/// Runs on one worker that must be slow for the worker to count as slow. A
/// single one may be a task that was declared far too short.
const SLOW_RUNS: usize = 2;

/// Time without any progress after which a run stands still. A percent of the
/// longest tasks takes a seventh of it.
const STANDSTILL: Duration = Duration::from_millis(250);

/// Time for which a slow worker gets no new run; the next one tests it.
const SLOW_PAUSE: Duration = Duration::from_secs(2);

/// Shortest wait of a look at a worker with an overdue run.
const SHORT_LOOK: Duration = Duration::from_millis(100);

/// Time that a stop, the answer to it and a new start take.
const MOVE_COST: Duration = Duration::from_millis(80);

impl Worker {
    /// Gets the longest wait of a look that notices overdue runs in time.
    pub(crate) fn poll_wait(&self, now: Duration, longest: Duration) -> Duration {
        let due = |run: &Run| match run.state {
            RunState::Running(since) => since + overdue_after(run.expected),
            _ => now + longest,
        };
        let next = self.runs.values().map(due).min();
        let wait = next.map_or(longest, |at| at.saturating_sub(now));
        wait.clamp(SHORT_LOOK.min(longest), longest)
    }
}

impl Fleet {
    /// Finds runs that make little progress, keeps new ones away from their
    /// worker and moves them if that is faster.
    pub(crate) fn watch_progress(&mut self, worker_key: WorkerKey, seen: &PollResponse) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let mut slow = Vec::new();
        let mut stands_still = false;
        for row in &seen.running {
            let Some(run) = worker.runs.get_mut(&row.run) else {
                continue;
            };
            if row.done_percent > run.progress.0 {
                run.progress = (row.done_percent, now);
            }
            if let Some(remaining) = slow_remaining(run, row.done_percent, now) {
                stands_still |= now >= run.progress.1 + STANDSTILL;
                slow.push((row.run, remaining, run.expected, run.need));
            }
        }
        if slow.len() < SLOW_RUNS && !stands_still {
            return;
        }
        self.mark_slow(worker_key, slow.len());
        let service = match self.workers.get(&worker_key) {
            Some(worker) => worker.report.service.clone(),
            None => return,
        };
        for (id, remaining, expected, need) in slow {
            let is_faster = remaining > expected + MOVE_COST;
            if is_faster && self.has_room(&service, &need, worker_key) {
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
        worker.block(now + SLOW_PAUSE);
        let subject = Subject::Worker(worker.report.worker_id.clone());
        self.room_changed = true;
        let message = format!(
            "worker {} gets no run for {} ms: {runs} runs make too little progress",
            worker.report.worker_id,
            SLOW_PAUSE.as_millis()
        );
        self.log(Event::WorkerEjected, subject, message);
    }

    fn move_run(&mut self, worker_key: WorkerKey, id: RunId, remaining: Duration) {
        self.log(
            Event::RunRetried,
            Subject::Run(id),
            format!(
                "run {id} is stopped to start elsewhere: it would take {} ms more",
                remaining.as_millis()
            ),
        );
        self.want_stop(worker_key, id);
    }
}

fn overdue_after(expected: Duration) -> Duration {
    expected * OVERDUE_FACTOR + OVERDUE_SLACK
}

/// Gets the time that a run still needs if its worker counts as slow.
fn slow_remaining(run: &Run, done_percent: u32, now: Duration) -> Option<Duration> {
    let RunState::Running(since) = run.state else {
        return None;
    };
    let elapsed = now.saturating_sub(since);
    if run.stopping || elapsed < overdue_after(run.expected) {
        return None;
    }
    let share = f64::from(done_percent.max(1)) / 100.0;
    let whole = elapsed.div_f64(share);
    let is_slow = whole > run.expected.mul_f64(SLOW_FACTOR);
    is_slow.then(|| whole.saturating_sub(elapsed))
}
