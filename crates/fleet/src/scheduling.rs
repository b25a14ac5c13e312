//! Starts of queued tasks, on this host or at peers.

use std::time::Duration;

use hornbeam_core::ids::{HostId, TaskIndex};
use indexmap::IndexMap;

use crate::fleet::Fleet;
use crate::io::FleetOutput;
use crate::job::{JobKey, JobOutcome, RunId, Task, TaskState};
use crate::peer_messages::{ChunkTask, PeerMessage, TaskChunk};
use crate::placement::Preference;
use crate::resources::Resources;
use crate::worker::{Run, RunState, WorkerKey};

/// Timeouts of the first, second and third start request of a run. A round trip
/// takes a few milliseconds; the later timeouts allow for a slow host.
pub(crate) const START_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(160),
];

/// Time for which a task may wait at a peer that reported free resources. They
/// may be occupied briefly; if they stay occupied the task is returned, because
/// resources may be free elsewhere.
pub(crate) const FREE_RESOURCES_WAIT: Duration = Duration::from_millis(10);

/// Time for which tasks wait here before they are sent to wait at peers. Within
/// it, peers that were told of waiting tasks report their free resources. A
/// task that fits somewhere must not wait elsewhere.
pub(crate) const OFFLOAD_AFTER: Duration = Duration::from_millis(8);

/// Time before its latest start by which a task that waits at a peer is
/// returned, so that it can start on workers that have become free elsewhere. It
/// covers two network transits and the shortest time between two ticks.
const RETURN_TIME: Duration = Duration::from_millis(20);

/// `Waiting` is a candidate for free resources.
#[derive(Clone, Copy, Debug)]
enum Waiting {
    /// Queued tasks of a job of this host.
    Job(JobKey),
    /// A task of a peer's job.
    PeerTask(RunId),
}

impl Fleet {
    /// Starts queued tasks of this host and of peers on free resources, in
    /// ascending order of effective start time.
    pub(crate) fn schedule(&mut self) {
        self.return_late_peer_tasks();
        self.return_evacuated_peer_tasks();
        let jobs = self.startable_jobs();
        let jobs = jobs.map(|(at, key)| (*at, Waiting::Job(*key)));
        let peer_tasks = self.waiting_peer_tasks.iter();
        let peer_tasks = peer_tasks.map(|(at, run)| (*at, Waiting::PeerTask(*run)));
        let mut waiting: Vec<(Duration, Waiting)> = jobs.chain(peer_tasks).collect();
        waiting.sort_by_key(|(at, _)| *at);
        let mut unmet: Vec<(String, Resources)> = Vec::new();
        for (_, waiting) in waiting {
            let Some((service, need)) = self.required_resources(&waiting) else {
                continue;
            };
            let is_unmet = |(unmet_service, least): &(String, Resources)| {
                *unmet_service == service && need.can_fit(least)
            };
            if unmet.iter().any(is_unmet) {
                continue;
            }
            let has_resources = match waiting {
                Waiting::Job(key) => self.start_queued(key),
                Waiting::PeerTask(run) => self.start_peer_task(run),
            };
            if !has_resources {
                unmet.push((service, need));
            }
        }
        self.offload_waiting_tasks();
        self.start_suspect_tasks();
    }

    /// Gets the jobs with queued tasks whose callers are known to wait, by effective
    /// start time.
    pub(crate) fn startable_jobs(&self) -> impl Iterator<Item = &(Duration, JobKey)> {
        let queued = self.queued_jobs.iter();
        queued.filter(|(_, key)| !self.caller_may_have_left(*key))
    }

    /// Gets the service and the resources that waiting tasks need.
    fn required_resources(&self, waiting: &Waiting) -> Option<(String, Resources)> {
        match waiting {
            Waiting::Job(key) => {
                let job = self.jobs.get(key)?;
                Some((job.service.clone(), job.need))
            }
            Waiting::PeerTask(run) => {
                let peer_task = self.peer_tasks.get(run)?;
                Some((peer_task.chunk.service.clone(), peer_task.chunk.need))
            }
        }
    }

    /// Sends waiting tasks of this host's jobs to peers with fewer waiting
    /// tasks per worker, so that a wide job does not depend on the few workers
    /// of one host. Tasks with the earliest effective start time go first.
    fn offload_waiting_tasks(&mut self) {
        let keys: Vec<JobKey> = self.startable_jobs().map(|(_, key)| *key).collect();
        for key in keys {
            let mut chunks: IndexMap<HostId, Vec<ChunkTask>> = IndexMap::new();
            while let Some(index) = self.next_queued(key) {
                let Some(job) = self.jobs.get(&key) else {
                    break;
                };
                let is_early = self.now < job.arrived_at + OFFLOAD_AFTER;
                let min_wait = FREE_RESOURCES_WAIT + RETURN_TIME;
                let is_late = if self.options.scheduling.fair_admission {
                    job.start_by < self.now + min_wait
                } else {
                    job.start_by <= self.now
                };
                if is_early || is_late {
                    break;
                }
                let service = job.service.clone();
                let Some(host) = self.choose_least_loaded_peer(&service) else {
                    break;
                };
                let run = self.begin_attempt(key, index, TaskState::Remote(host.clone()));
                chunks.entry(host).or_default().push(ChunkTask {
                    task: run.task,
                    attempt: run.attempt,
                });
            }
            for (host, tasks) in chunks {
                let start_by = self.jobs.get(&key).map(|job| job.start_by);
                let wait = match start_by {
                    Some(start_by) if self.options.scheduling.fair_admission => start_by
                        .saturating_sub(self.now)
                        .saturating_sub(RETURN_TIME),
                    _ => Duration::MAX,
                };
                self.send_chunk(key, &host, tasks, wait);
            }
        }
    }
    /// Starts the queued tasks of a job; false if free resources have run out.
    fn start_queued(&mut self, key: JobKey) -> bool {
        let is_fair = self.options.scheduling.fair_admission;
        if is_fair && let Err(late) = self.check_start_as_unit(key) {
            let reason = format!("its tasks cannot start together: {late}");
            let outcome = JobOutcome::NotRun(self.overloaded(key));
            self.end_job(key, outcome, &reason);
            return true;
        }
        let mut chunks: IndexMap<HostId, Vec<ChunkTask>> = IndexMap::new();
        let mut has_resources = true;
        let was_queued = self.jobs.get(&key).map_or(0, |job| job.queued);
        while has_resources {
            let Some(index) = self.next_queued(key) else {
                break;
            };
            has_resources = self.start_task(key, index, &mut chunks);
        }
        for (host, tasks) in chunks {
            self.send_chunk(key, &host, tasks, FREE_RESOURCES_WAIT);
        }
        let has_started = self
            .jobs
            .get(&key)
            .is_some_and(|job| job.queued < was_queued);
        if is_fair && has_started {
            self.advance_started(key);
        }
        has_resources
    }

    fn next_queued(&self, key: JobKey) -> Option<TaskIndex> {
        let job = self.jobs.get(&key).filter(|job| job.queued > 0)?;
        let suspects = self.losses.suspect_tasks_of(key);
        let is_ready = |(index, task): &(TaskIndex, &Task)| {
            task.state == TaskState::Queued && !suspects.contains(index)
        };
        let (index, _) = (0..).zip(&job.tasks).find(is_ready)?;
        Some(index)
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
        let preference = Preference {
            pace: self.pace_order(&service, expected, job.time_left(self.now)),
            newcomer: self.own_newcomer(key, index),
            lease_limit: None,
        };
        let own = self.choose_worker(&service, &need, avoid, &preference);
        let own = own
            .filter(|worker_key| avoid != Some(*worker_key) && !self.is_cold_worker(*worker_key));
        let host = match (own, preference.pace) {
            (Some(worker_key), Some(order)) if !self.is_fast_enough(worker_key, order) => {
                self.choose_fast_peer(&service, &need, order)
            }
            _ => None,
        };
        if let Some(worker_key) = own
            && host.is_none()
        {
            let run = self.begin_attempt(key, index, TaskState::Local(worker_key));
            self.start_run(worker_key, run, spec, need, expected);
            return true;
        }
        if let Some(host) = host.or_else(|| self.choose_peer(&service, &need)) {
            let run = self.begin_attempt(key, index, TaskState::Remote(host.clone()));
            chunks.entry(host).or_default().push(ChunkTask {
                task: run.task,
                attempt: run.attempt,
            });
            return true;
        }
        // A cold worker, or that of the last unsuccessful run, is better than none.
        let Some(worker_key) = self.choose_worker(&service, &need, None, &preference) else {
            return false;
        };
        let run = self.begin_attempt(key, index, TaskState::Local(worker_key));
        self.start_run(worker_key, run, spec, need, expected);
        true
    }

    /// Removes a task from the queue and assigns a new attempt number.
    pub(crate) fn begin_attempt(
        &mut self,
        key: JobKey,
        index: TaskIndex,
        state: TaskState,
    ) -> RunId {
        let now = self.now;
        let mut run = RunId {
            job: key,
            task: index,
            attempt: 1,
        };
        if let Some(job) = self.jobs.get_mut(&key) {
            job.queued -= 1;
            job.possibly_started += 1;
            job.first_start_at.get_or_insert(now);
            if job.queued == 0 {
                self.queued_jobs.remove(&(job.effective_start_by, key));
            }
            let task = &mut job.tasks[index as usize];
            task.attempt += 1 + std::mem::take(&mut task.attempts_skipped);
            task.state = state;
            run.attempt = task.attempt;
        }
        // A run that a peer started under the same id must not be mistaken for
        // this one.
        while self.has_run(run) {
            run.attempt += 1;
        }
        let job = self.jobs.get_mut(&key);
        if let Some(task) = job.and_then(|job| job.task_mut(index)) {
            task.attempt = run.attempt;
        }
        run
    }

    /// Sends tasks to a peer. They may wait there for the given time, but not
    /// beyond their latest start time.
    pub(crate) fn send_chunk(
        &mut self,
        key: JobKey,
        host: &HostId,
        tasks: Vec<ChunkTask>,
        wait: Duration,
    ) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let chunk = TaskChunk {
            job: key,
            service: job.service.clone(),
            spec: job.spec.clone(),
            need: job.need,
            expected_ms: millis(job.expected),
            lead_ms: millis(job.start_by.saturating_sub(job.effective_start_by)),
            start_within_ms: millis(
                job.start_by
                    .saturating_sub(self.now)
                    .min(wait)
                    .max(FREE_RESOURCES_WAIT),
            ),
            tasks,
        };
        if let Some(peer) = self.peers.get_mut(host) {
            peer.push(PeerMessage::Run(chunk));
        }
    }

    /// Adds a run to a worker and sends its start request.
    pub(crate) fn start_run(
        &mut self,
        worker_key: WorkerKey,
        run: RunId,
        spec: std::sync::Arc<str>,
        need: Resources,
        expected: Duration,
    ) {
        let is_exclusive = self.is_suspect(run.job, run.task);
        let Some(worker) = self.workers.get(&worker_key) else {
            return;
        };
        let pace = self.worker_pace(worker);
        let lease_limit = self.peer_run_limit(run);
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        worker.add(
            run,
            Run {
                is_exclusive,
                need,
                expected: pace.time_for(expected),
                mean_expected: expected,
                spec,
                progress: (0, self.now),
                state: RunState::Starting(0),
                ends_by: self.now,
                ends_by_if_restarted: self.now,
                clock_at_start_ms: 0,
                has_unanswered_start: false,
                is_confirmed: false,
                stop_at: None,
                stop_requested: false,
                stop_is_unanswered: false,
                lease_limit,
            },
        );
        self.resources_changed = true;
        self.observe_start(worker_key, run, need, expected);
        self.send_start(worker_key, run);
    }

    /// Sends the start request of a run, for the first time or again.
    pub(crate) fn send_start(&mut self, worker_key: WorkerKey, id: RunId) {
        let now = self.now;
        let max_lease = self.options.max_lease;
        let Some(worker) = self.workers.get_mut(&worker_key) else {
            return;
        };
        let Some(lease_end_ms) = worker.extend_lease(now, max_lease) else {
            return;
        };
        let ends_by = worker.lease.ends_by();
        let clock_ms = worker.lease.clock_ms();
        let target = worker.target();
        let Some(run) = worker.runs.get_mut(&id) else {
            return;
        };
        let tries = match run.state {
            RunState::Starting(tries) => tries,
            _ => return,
        };
        run.state = RunState::Starting(tries + 1);
        let timeout = START_TIMEOUTS[(tries as usize).min(START_TIMEOUTS.len() - 1)];
        run.ends_by = ends_by;
        run.ends_by_if_restarted = ends_by + timeout;
        run.clock_at_start_ms = clock_ms;
        let spec = run.spec.clone();
        self.emit(FleetOutput::Start(crate::io::StartRequest {
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
