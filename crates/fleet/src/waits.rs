//! How long a job that arrives now would wait for room.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::job::Job;

/// Part of the waiting tasks that go before a job of priority 0, in percent:
/// those of its own priority.
const AHEAD_OF_FIRST_PRIORITY_PERCENT: u32 = 30;

/// Weight of one run in the mean time of runs.
const WEIGHT: f64 = 0.02;

/// `RunTimes` is the mean time that a run takes its room.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunTimes {
    mean: Option<Duration>,
}

impl RunTimes {
    /// Takes note of a run.
    pub(crate) fn learn(&mut self, took: Duration) {
        let mean = match self.mean {
            Some(mean) => mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT),
            None => took,
        };
        self.mean = Some(mean);
    }
}

impl Fleet {
    /// Whether a job would start its last task too late for its objective. The
    /// reckoning takes all hosts as one queue, because waiting tasks are spread
    /// over them; without waiting tasks there is no prediction.
    pub(crate) fn comes_too_late(&self, job: &Job) -> bool {
        let Some(mean) = self.run_times.mean else {
            return false;
        };
        let lively = || self.peers.values().filter(|peer| peer.is_lively(self.now));
        let waiting: u32 = lively().map(|peer| peer.status.waiting).sum();
        let waiting = waiting + self.waiting_tasks();
        if waiting == 0 || self.workers.is_empty() {
            return false;
        }
        let ahead = match job.urgency == job.start_by {
            true => waiting,
            false => waiting * AHEAD_OF_FIRST_PRIORITY_PERCENT / 100,
        };
        let peers_workers: u32 = lively().map(|peer| peer.status.owned).sum();
        let own_workers = self.workers.len() as u32;
        let own_runs: usize = self.workers.values().map(|worker| worker.runs.len()).sum();
        let runs_per_worker = own_runs as f64 / f64::from(own_workers);
        let runs = f64::from(own_workers + peers_workers) * runs_per_worker.max(1.0);
        let tasks = f64::from(ahead) + job.tasks.len() as f64;
        let wait = mean.mul_f64(tasks / runs);
        self.now + wait > job.start_by
    }
}
