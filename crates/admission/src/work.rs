//! Amounts of queued work, here and at peers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of priorities that are told apart; lower ones count as the last.
pub const MAX_PRIORITIES: usize = 8;

/// Weight of one run in the moving average of work per task.
const RUN_WEIGHT: f64 = 0.02;

/// `Work` is an amount of queued tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Number of tasks.
    pub tasks: f64,
    /// Cores that all of them occupy if they run at once.
    pub cores: f64,
    /// Cores times expected run time, in core-milliseconds.
    pub core_ms: f64,
}

impl Work {
    /// Gets the work of a number of equal tasks.
    pub fn of_tasks(tasks: usize, cpu_milli: u32, expected: Duration) -> Self {
        let tasks = tasks as f64;
        let cores = tasks * f64::from(cpu_milli) / 1000.0;
        Self {
            tasks,
            cores,
            core_ms: cores * expected.as_secs_f64() * 1000.0,
        }
    }

    /// Adds other work.
    pub fn add(&mut self, other: &Self) {
        self.tasks += other.tasks;
        self.cores += other.cores;
        self.core_ms += other.core_ms;
    }

    /// Gets the work multiplied by a factor.
    pub fn scaled(&self, factor: f64) -> Self {
        Self {
            tasks: self.tasks * factor,
            cores: self.cores * factor,
            core_ms: self.core_ms * factor,
        }
    }
}

/// `MeanWork` is the moving average of the work of one task, from ended runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanWork {
    mean: Option<Work>,
}

impl MeanWork {
    /// Records an ended run.
    pub fn record(&mut self, cpu_milli: u32, took: Duration) {
        let run = Work::of_tasks(1, cpu_milli, took);
        let mean = self.mean.get_or_insert(run);
        *mean = mean.scaled(1.0 - RUN_WEIGHT);
        mean.add(&run.scaled(RUN_WEIGHT));
    }

    /// Gets the mean work of one task; `None` before the first run has ended.
    pub fn get(&self) -> Option<Work> {
        self.mean
    }
}

/// `QueuedWork` is the work that waits at a host, as it tells its peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct QueuedWork {
    /// Waiting work in core-milliseconds, by priority from 0. At most
    /// [`MAX_PRIORITIES`] entries are read; missing ones are 0.
    pub core_ms: Vec<u32>,
    /// Mean remaining time of the runs on the host's workers, in ms.
    pub mean_remaining_ms: u32,
}

impl QueuedWork {
    /// Adds waiting work of a priority.
    pub fn add(&mut self, priority: u32, core_ms: f64) {
        let index = (priority as usize).min(MAX_PRIORITIES - 1);
        if self.core_ms.len() <= index {
            self.core_ms.resize(index + 1, 0);
        }
        // A conversion from `f64` saturates, so that no sum wraps around.
        self.core_ms[index] = (f64::from(self.core_ms[index]) + core_ms) as u32;
    }

    /// Gets the waiting work of a priority and all before it.
    fn core_ms_up_to(&self, priority: u32) -> f64 {
        let count = (priority as usize).min(MAX_PRIORITIES - 1) + 1;
        let known = self.core_ms.iter().take(count);
        known.map(|core_ms| f64::from(*core_ms)).sum()
    }
}

/// `PeerLine` is what is known of the tasks that wait at a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLine {
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Their work by priority; `None` if the peer does not tell.
    pub queued: Option<QueuedWork>,
}

impl PeerLine {
    /// Estimates the waiting work that starts before a new job of a priority.
    /// Without the peer's own figures, its tasks count as of mean work, and
    /// `share_ahead` of them start before the job.
    pub fn ahead_of(&self, priority: u32, mean: &Work, share_ahead: f64) -> Work {
        let Some(queued) = &self.queued else {
            return mean.scaled(f64::from(self.waiting) * share_ahead);
        };
        let core_ms = queued.core_ms_up_to(priority);
        // The number of tasks is not told by priority; mean tasks stand in.
        let tasks = if mean.core_ms > 0.0 {
            core_ms / mean.core_ms
        } else {
            0.0
        };
        Work {
            core_ms,
            ..mean.scaled(tasks)
        }
    }
}
