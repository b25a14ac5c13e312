//! What was co-located with each run, and for how long.

use std::time::Duration;

use indexmap::IndexMap;

use crate::groups::QueueId;

/// Weight of each further neighbour of the same queue relative to the one before.
/// Two neighbours that each halve the speed leave a quarter to a third of it, so
/// the second one takes about half as much as the first.
const FURTHER_NEIGHBOUR_WEIGHT: f64 = 0.55;

/// Largest number of runs that are followed on a worker. Workers have about 10;
/// the bound keeps the cost of a change on a worker small if one has many.
const MAX_FOLLOWED_RUNS: usize = 32;

/// `RunOverlap` is a run with the time that it shared with others.
#[derive(Clone, Debug, PartialEq)]
pub struct RunOverlap<R> {
    /// Id of the run.
    pub run: R,
    /// Queue of its task.
    pub queue: QueueId,
    /// Expected run time on a worker of mean pace.
    pub expected: Duration,
    /// Time at which it was started.
    pub started_at: Duration,
    /// Shared time in seconds by queue of the neighbour.
    shared: Vec<(QueueId, f64)>,
}

impl<R> RunOverlap<R> {
    /// Gets the mean number of neighbours by queue; further ones of a queue count
    /// less than the first.
    pub fn units(&self, ended_at: Duration) -> Vec<(QueueId, f64)> {
        let took = ended_at.saturating_sub(self.started_at).as_secs_f64();
        let unit = |(queue, shared): &(QueueId, f64)| (*queue, shared / took.max(1e-4));
        self.shared.iter().map(unit).collect()
    }
}

#[derive(Clone, Debug)]
struct WorkerRuns<R> {
    changed_at: Duration,
    runs: Vec<RunOverlap<R>>,
}

/// `Overlaps` follows the runs on each worker. `R` is the id of a run.
#[derive(Clone, Debug)]
pub struct Overlaps<R> {
    workers: IndexMap<u64, WorkerRuns<R>>,
}

impl<R> Default for Overlaps<R> {
    fn default() -> Self {
        Self {
            workers: IndexMap::new(),
        }
    }
}

impl<R: Copy + Eq> Overlaps<R> {
    /// Adds a run that starts on a worker.
    pub fn start(
        &mut self,
        worker: u64,
        run: R,
        queue: QueueId,
        expected: Duration,
        now: Duration,
    ) {
        let entry = self.workers.entry(worker);
        let state = entry.or_insert_with(|| WorkerRuns {
            changed_at: now,
            runs: Vec::new(),
        });
        state.advance(now);
        if state.runs.len() < MAX_FOLLOWED_RUNS {
            state.runs.push(RunOverlap {
                run,
                queue,
                expected,
                started_at: now,
                shared: Vec::new(),
            });
        }
    }

    /// Removes a run that has ended; `None` if it was not followed.
    pub fn end(&mut self, worker: u64, run: R, now: Duration) -> Option<RunOverlap<R>> {
        let state = self.workers.get_mut(&worker)?;
        state.advance(now);
        let index = state.runs.iter().position(|known| known.run == run)?;
        Some(state.runs.swap_remove(index))
    }

    /// Removes a worker with its runs.
    pub fn remove_worker(&mut self, worker: u64) {
        self.workers.swap_remove(&worker);
    }

    /// Gets the runs on a worker.
    pub fn runs_on(&self, worker: u64) -> &[RunOverlap<R>] {
        let state = self.workers.get(&worker);
        state.map_or(&[], |state| &state.runs)
    }
}

impl<R> WorkerRuns<R> {
    /// Adds the time since the last change to the shared times.
    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.changed_at).as_secs_f64();
        self.changed_at = now;
        if passed == 0.0 || self.runs.len() < 2 {
            return;
        }
        let mut counts: Vec<(QueueId, i32)> = Vec::new();
        for run in &self.runs {
            match counts.iter_mut().find(|(queue, _)| *queue == run.queue) {
                Some((_, count)) => *count += 1,
                None => counts.push((run.queue, 1)),
            }
        }
        for run in &mut self.runs {
            for (queue, count) in &counts {
                let others = count - i32::from(*queue == run.queue);
                if others == 0 {
                    continue;
                }
                let units = (1.0 - FURTHER_NEIGHBOUR_WEIGHT.powi(others))
                    / (1.0 - FURTHER_NEIGHBOUR_WEIGHT);
                match run.shared.iter_mut().find(|(known, _)| known == queue) {
                    Some((_, shared)) => *shared += units * passed,
                    None => run.shared.push((*queue, units * passed)),
                }
            }
        }
    }
}
