//! A worker that this host owns, and the runs on it.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::fencing::FencingToken;
use crate::io::WorkerTarget;
use crate::job::RunId;
use crate::lease::Lease;
use crate::report::WorkerReport;
use crate::room::Resources;

/// `WorkerNumber` numbers the ownerships of workers within a process.
pub type WorkerKey = u64;

/// `Worker` is a worker that this host owns.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) worker_key: WorkerKey,
    pub(crate) report: WorkerReport,
    pub(crate) reported_at: Duration,
    pub(crate) fencing_token: FencingToken,
    pub(crate) phase: Phase,
    pub(crate) lease: Lease,
    pub(crate) runs: IndexMap<RunId, Run>,
    /// Room of the runs.
    pub(crate) used: Resources,
    /// Ends up to this number are taken note of.
    pub(crate) acknowledged: u64,
    /// When the look under way was sent.
    pub(crate) look_sent_at: Option<Duration>,
    /// When the check under way was sent.
    pub(crate) check_sent_at: Option<Duration>,
    /// Time before which no check is sent.
    pub(crate) next_check_at: Duration,
    /// When the next look is due, if none is under way.
    pub(crate) next_look_at: Duration,
    /// Looks in a row without an answer.
    pub(crate) misses: u32,
    /// When it last answered a look or a check.
    pub(crate) looked_at: Duration,
    /// When it last answered an order or a look.
    pub(crate) seen_at: Duration,
    /// Time before which it gets no new run.
    pub(crate) blocked_until: Duration,
    /// Failed runs and refusals in a row.
    pub(crate) failures: u32,
    /// Times that a higher generation was met while taking it over.
    pub(crate) raises: u32,
}

/// `Phase` is how far the ownership has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Looks without extending the lease until no run of another owner is left.
    Taking,
    /// Starts tasks.
    Ready,
}

/// `Run` is a run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Room that it takes.
    pub(crate) need: Resources,
    /// Expected run time.
    pub(crate) expected: Duration,
    /// What it runs.
    pub(crate) spec: Arc<str>,
    /// When it is over if none of its starts was answered.
    pub(crate) lease_over_at: Duration,
    /// Share of the work that was done when it last grew, in percent, and when
    /// that was seen.
    pub(crate) progress: (u32, Duration),
    /// State.
    pub(crate) state: RunState,
    /// When a stop is to be sent, if one is wanted and none is under way.
    pub(crate) stop_at: Option<Duration>,
    /// Whether a stop is wanted.
    pub(crate) stopping: bool,
}

/// `RunState` is the state of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RunState {
    /// A start was sent this many times.
    Starting(u32),
    /// No start was answered; it may or may not run.
    Unclear,
    /// It runs since this time.
    Running(Duration),
}

impl Worker {
    pub(crate) fn new(
        worker_key: WorkerKey,
        report: WorkerReport,
        fencing_token: FencingToken,
        now: Duration,
    ) -> Self {
        Self {
            worker_key,
            report,
            reported_at: now,
            fencing_token,
            phase: Phase::Taking,
            lease: Lease::default(),
            runs: IndexMap::new(),
            used: Resources::default(),
            acknowledged: 0,
            look_sent_at: None,
            check_sent_at: None,
            next_check_at: Duration::ZERO,
            next_look_at: now,
            misses: 0,
            looked_at: now,
            seen_at: now,
            blocked_until: Duration::ZERO,
            failures: 0,
            raises: 0,
        }
    }

    /// Gets where orders for it go.
    pub(crate) fn target(&self) -> WorkerTarget {
        WorkerTarget {
            worker_key: self.worker_key,
            address: self.report.address,
            worker_id: self.report.worker_id.clone(),
            fencing_token: self.fencing_token,
        }
    }

    /// Whether it may get new runs now.
    pub(crate) fn takes_runs(&self, now: Duration) -> bool {
        self.phase == Phase::Ready
            && !self.report.draining
            && self.misses == 0
            && now >= self.blocked_until
    }

    /// Gets the room that is free.
    pub(crate) fn free(&self) -> Resources {
        let mut free = self.report.capacity;
        free.take(&self.used);
        free
    }

    /// Adds a run.
    pub(crate) fn add(&mut self, id: RunId, run: Run) {
        self.used.add(&run.need);
        self.runs.insert(id, run);
    }

    /// Removes a run and frees its room.
    pub(crate) fn remove(&mut self, id: RunId) -> Option<Run> {
        let run = self.runs.swap_remove(&id)?;
        self.used.take(&run.need);
        Some(run)
    }

    /// Keeps new runs away for a time.
    pub(crate) fn block(&mut self, until: Duration) {
        self.blocked_until = self.blocked_until.max(until);
    }
}
