//! Observation of runs that share a worker, and the preference to keep apart
//! those that slow each other down.

use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::TaskIndex;
use hornbeam_interference::{
    InterferenceTable, Neighbour, Newcomer, Observation, Overlaps, PairChange, QueueGroups,
    TaskShape,
};

use crate::fleet::Fleet;
use crate::io::{RunEnd, Subject};
use crate::job::{JobKey, RunId};
use crate::resources::Resources;
use crate::worker::{Worker, WorkerKey};

/// `Interference` is what this host knows of queues that slow each other down.
#[derive(Debug, Default)]
pub(crate) struct Interference {
    groups: QueueGroups,
    overlaps: Overlaps<RunId>,
    table: InterferenceTable,
}

impl Fleet {
    /// Follows a run from its start.
    pub(crate) fn observe_start(
        &mut self,
        worker_key: WorkerKey,
        run: RunId,
        need: Resources,
        expected: Duration,
    ) {
        if !self.options.scheduling.interference {
            return;
        }
        let shape = shape(need, expected);
        let known = &mut self.interference;
        // A task of a peer does not name its queue.
        let queue = if self.peer_tasks.contains_key(&run) {
            known.groups.similar(shape)
        } else if let Some(job) = self.jobs.get(&run.job) {
            let (queue, is_replaced) = known.groups.own(&job.queue, shape, self.now);
            if is_replaced {
                known.table.forget_queue(queue);
            }
            Some(queue)
        } else {
            None
        };
        if let Some(queue) = queue {
            let overlaps = &mut known.overlaps;
            overlaps.start(worker_key, run, queue, expected, self.now);
        }
    }

    /// Learns from a run that has ended. Only the time of a task that is done says
    /// how long the task takes.
    pub(crate) fn observe_end(
        &mut self,
        worker_key: WorkerKey,
        id: RunId,
        end: RunEnd,
        took: Option<Duration>,
    ) {
        if !self.options.scheduling.interference {
            return;
        }
        let known = &mut self.interference;
        let Some(run) = known.overlaps.end(worker_key, id, self.now) else {
            return;
        };
        let Some(took) = took.filter(|_| end == RunEnd::Done) else {
            return;
        };
        let observation = Observation {
            worker: worker_key,
            pace: 1.0,
            queue: run.queue,
            expected: run.expected,
            took,
            overlaps: &run.units(self.now),
        };
        for change in known.table.record(&observation, self.now) {
            self.log_pair_change(&change);
        }
    }

    /// Forgets a worker that this host no longer owns.
    pub(crate) fn forget_interference_on(&mut self, worker_key: WorkerKey) {
        self.interference.overlaps.remove_worker(worker_key);
        self.interference.table.forget_worker(worker_key);
    }

    /// Describes a task of a job of this host for [`Self::interference_penalty`];
    /// `None` if no pair of queues affects placement.
    pub(crate) fn own_newcomer(&self, key: JobKey, index: TaskIndex) -> Option<Newcomer> {
        if !self.interference.table.has_effects() {
            return None;
        }
        let job = self.jobs.get(&key)?;
        /// Odd number close to 2^64 over the golden ratio, which spreads ids that
        /// differ in few bits.
        const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
        let attempt = job.tasks.get(index as usize)?.attempt;
        let id = key ^ u64::from(index) << 32 ^ u64::from(attempt);
        Some(Newcomer {
            queue: self.interference.groups.id(&job.queue)?,
            expected: job.expected,
            slack: job.objective_at.saturating_sub(self.now),
            draw: id.wrapping_mul(SPREAD) >> 32,
        })
    }

    /// Describes a task of a peer's job; its slack is not known here.
    pub(crate) fn peer_newcomer(&self, need: Resources, expected: Duration) -> Option<Newcomer> {
        if !self.interference.table.has_effects() {
            return None;
        }
        Some(Newcomer {
            queue: self.interference.groups.similar(shape(need, expected))?,
            expected,
            slack: Duration::ZERO,
            draw: 1,
        })
    }

    /// Gets the rank penalty of a task on a worker, by the delays that it would
    /// suffer and inflict there; lower is better.
    pub(crate) fn interference_penalty(&self, newcomer: Option<&Newcomer>, worker: &Worker) -> u32 {
        let Some(newcomer) = newcomer else {
            return 0;
        };
        let runs = self.interference.overlaps.runs_on(worker.worker_key);
        let neighbours = runs.iter().map(|run| Neighbour {
            queue: run.queue,
            expected: run.expected,
            elapsed: self.now.saturating_sub(run.started_at),
        });
        self.interference.table.penalty(newcomer, neighbours)
    }

    fn log_pair_change(&mut self, change: &PairChange) {
        let groups = &self.interference.groups;
        let name = |queue| groups.name(queue).unwrap_or("unknown");
        let effect = if change.factor.is_significant {
            "they are kept apart where there is room"
        } else {
            "they are no longer kept apart"
        };
        let message = format!(
            "tasks of queue {} take {:.2} times as long beside one of queue {}, confidence {:.2}: {effect}",
            name(change.victim),
            change.factor.factor,
            name(change.aggressor),
            change.factor.confidence
        );
        self.log(Event::InterferenceChanged, Subject::Host, message);
    }
}

fn shape(need: Resources, expected: Duration) -> TaskShape {
    TaskShape {
        cpu_milli: need.cpu_milli,
        accelerators: need.accelerators,
        expected,
    }
}
