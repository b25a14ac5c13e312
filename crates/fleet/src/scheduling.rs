//! Starts of queued tasks, here or at peers.

use std::time::Duration;

use hornbeam_core::ids::{HostId, TaskIndex};
use indexmap::IndexMap;

use crate::fleet::Fleet;
use crate::io::FleetOutput;
use crate::job::{JobKey, RunId, TaskState};
use crate::peer::{ChunkTask, PeerMessage, TaskChunk};
use crate::room::Resources;
use crate::worker::{Run, RunState, WorkerKey};

/// Time within which the first, second and third start order of a run are
/// expected to be answered. A round trip takes a few milliseconds; the later
/// ones leave room for a slow host.
pub(crate) const START_WITHIN: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(160),
];

/// Time for which a task may wait at a peer that was known to have room. The
/// room may be taken for a moment; if it is gone the task is sent back, because
/// there may be room elsewhere.
const ROOM_WAIT: Duration = Duration::from_millis(10);

/// Time for which tasks wait here before they wait at peers. Peers that are
/// told that tasks wait answer with their room in that time, and a task with
/// room somewhere must not wait elsewhere.
pub(crate) const SPREAD_AFTER: Duration = Duration::from_millis(8);

/// `Waiting` is what waits for room.
#[derive(Clone, Copy, Debug)]
enum Waiting {
    /// Tasks of an own job.
    Job(JobKey),
    /// A task of a peer's job.
    Guest(RunId),
}

impl Fleet {
    /// Starts queued tasks wherever there is room, the most urgent first,
    /// whether they are of own jobs or of peers.
    pub(crate) fn schedule(&mut self) {
        self.refuse_late_guests();
        let jobs = self
            .urgent
            .iter()
            .map(|(at, key)| (*at, Waiting::Job(*key)));
        let guests = self.waiting_guests.iter();
        let guests = guests.map(|(at, run)| (*at, Waiting::Guest(*run)));
        let mut waiting: Vec<(Duration, Waiting)> = jobs.chain(guests).collect();
        waiting.sort_by_key(|(at, _)| *at);
        let mut full: Vec<(String, Resources)> = Vec::new();
        for (_, waiting) in waiting {
            let Some((service, need)) = self.wanted(&waiting) else {
                continue;
            };
            let is_full = |(full, room): &(String, Resources)| *full == service && need.holds(room);
            if full.iter().any(is_full) {
                continue;
            }
            let has_room = match waiting {
                Waiting::Job(key) => self.start_queued(key),
                Waiting::Guest(run) => self.start_guest(run),
            };
            if !has_room {
                full.push((service, need));
            }
        }
        self.spread_queue();
    }

    /// Gets the service and the room that waiting tasks want.
    fn wanted(&self, waiting: &Waiting) -> Option<(String, Resources)> {
        match waiting {
            Waiting::Job(key) => {
                let job = self.jobs.get(key)?;
                Some((job.service.clone(), job.need))
            }
            Waiting::Guest(run) => {
                let guest = self.guests.get(run)?;
                Some((guest.chunk.service.clone(), guest.chunk.need))
            }
        }
    }

    /// Sends waiting tasks of own jobs to peers where fewer wait for each
    /// worker, so that a wide job does not wait for the few workers of one
    /// host. The most urgent ones go first.
    fn spread_queue(&mut self) {
        let keys: Vec<JobKey> = self.urgent.iter().map(|(_, key)| *key).collect();
        for key in keys {
            let mut chunks: IndexMap<HostId, Vec<ChunkTask>> = IndexMap::new();
            while let Some(index) = self.next_queued(key) {
                let Some(job) = self.jobs.get(&key) else {
                    break;
                };
                let is_early = self.now < job.arrived_at + SPREAD_AFTER;
                if is_early || job.start_by <= self.now {
                    break;
                }
                let service = job.service.clone();
                let Some(host) = self.choose_queue(&service) else {
                    break;
                };
                let run = self.begin(key, index, TaskState::Remote(host.clone()));
                chunks.entry(host).or_default().push(ChunkTask {
                    task: run.task,
                    attempt: run.attempt,
                });
            }
            for (host, tasks) in chunks {
                self.send_chunk(key, &host, tasks, Duration::MAX);
            }
        }
    }

    /// Starts the queued tasks of a job; false if there is no room for one.
    fn start_queued(&mut self, key: JobKey) -> bool {
        let mut chunks: IndexMap<HostId, Vec<ChunkTask>> = IndexMap::new();
        let mut has_room = true;
        while has_room {
            let Some(index) = self.next_queued(key) else {
                break;
            };
            has_room = self.start_task(key, index, &mut chunks);
        }
        for (host, tasks) in chunks {
            self.send_chunk(key, &host, tasks, ROOM_WAIT);
        }
        has_room
    }

    fn next_queued(&self, key: JobKey) -> Option<TaskIndex> {
        let job = self.jobs.get(&key).filter(|job| job.queued > 0)?;
        let position = job
            .tasks
            .iter()
            .position(|task| task.state == TaskState::Queued)?;
        TaskIndex::try_from(position).ok()
    }

    fn start_task(
        &mut self,
        key: JobKey,
        index: TaskIndex,
        chunks: &mut IndexMap<HostId, Vec<ChunkTask>>,
    ) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return false;
        };
        let (service, need, expected) = (job.service.clone(), job.need, job.expected);
        let spec = job.spec.clone();
        let avoid = job.tasks[index as usize].avoid;
        let own = self.choose_worker(&service, &need, avoid);
        let own = own.filter(|worker_key| avoid != Some(*worker_key));
        if let Some(worker_key) = own {
            let run = self.begin(key, index, TaskState::Local(worker_key));
            self.start_run(worker_key, run, spec, need, expected);
            return true;
        }
        if let Some(host) = self.choose_peer(&service, &need) {
            let run = self.begin(key, index, TaskState::Remote(host.clone()));
            chunks.entry(host).or_default().push(ChunkTask {
                task: run.task,
                attempt: run.attempt,
            });
            return true;
        }
        // The worker of the last bad run is better than none.
        let Some(worker_key) = self.choose_worker(&service, &need, None) else {
            return false;
        };
        let run = self.begin(key, index, TaskState::Local(worker_key));
        self.start_run(worker_key, run, spec, need, expected);
        true
    }

    /// Takes a task off the queue under a new attempt.
    fn begin(&mut self, key: JobKey, index: TaskIndex, state: TaskState) -> RunId {
        let now = self.now;
        let mut run = RunId {
            job: key,
            task: index,
            attempt: 1,
        };
        if let Some(job) = self.jobs.get_mut(&key) {
            job.queued -= 1;
            job.begun += 1;
            job.first_start_at.get_or_insert(now);
            if job.queued == 0 {
                self.urgent.remove(&(job.urgency, key));
            }
            let task = &mut job.tasks[index as usize];
            task.attempt += 1 + std::mem::take(&mut task.attempts_skipped);
            task.state = state;
            run.attempt = task.attempt;
        }
        run
    }

    /// Sends tasks to a peer, where they may wait for a time, and no longer
    /// than until their last start time.
    fn send_chunk(&mut self, key: JobKey, host: &HostId, tasks: Vec<ChunkTask>, wait: Duration) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let chunk = TaskChunk {
            job: key,
            service: job.service.clone(),
            spec: job.spec.clone(),
            need: job.need,
            expected_ms: millis(job.expected),
            lead_ms: millis(job.start_by.saturating_sub(job.urgency)),
            start_within_ms: millis(
                job.start_by
                    .saturating_sub(self.now)
                    .min(wait)
                    .max(ROOM_WAIT),
            ),
            tasks,
        };
        if let Some(peer) = self.peers.get_mut(host) {
            peer.push(PeerMessage::Run(chunk));
        }
    }

    /// Puts a run on a worker and orders its start.
    pub(crate) fn start_run(
        &mut self,
        worker_key: WorkerKey,
        run: RunId,
        spec: std::sync::Arc<str>,
        need: Resources,
        expected: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        worker.add(
            run,
            Run {
                need,
                expected,
                spec,
                progress: (0, self.now),
                state: RunState::Starting(0),
                lease_over_at: self.now,
                stop_at: None,
                stopping: false,
            },
        );
        self.room_changed = true;
        self.order_start(worker_key, run);
    }

    /// Orders the start of a run, for the first time or again.
    pub(crate) fn order_start(&mut self, worker_key: WorkerKey, id: RunId) {
        let now = self.now;
        let max_lease = self.options.max_lease;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let Some(lease_end_ms) = worker.lease.extend(now, max_lease) else {
            return;
        };
        let lease_over_at = worker.lease.over_at();
        let target = worker.target();
        let Some(run) = worker.runs.get_mut(&id) else {
            return;
        };
        let tries = match run.state {
            RunState::Starting(tries) => tries,
            _ => return,
        };
        run.state = RunState::Starting(tries + 1);
        run.lease_over_at = lease_over_at;
        let spec = run.spec.clone();
        let timeout = START_WITHIN[(tries as usize).min(START_WITHIN.len() - 1)];
        self.put(FleetOutput::Start(crate::io::StartRequest {
            target,
            run: id,
            spec,
            lease_end_ms,
            timeout,
        }));
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
