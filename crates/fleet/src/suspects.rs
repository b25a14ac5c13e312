//! Suspect tasks: those that may crash the next worker that starts them.

use hornbeam_core::ids::{ServiceId, TaskIndex};

use crate::fleet::Fleet;
use crate::job::{Job, JobKey, TaskState};
use crate::peer_messages::ChunkTask;
use crate::resources::Resources;
use crate::scheduling::FREE_RESOURCES_WAIT;
use crate::worker::{Worker, WorkerKey};

impl Fleet {
    /// Whether workers were lost under a task, so that it is kept apart from
    /// others.
    pub(crate) fn is_suspect(&self, key: JobKey, index: TaskIndex) -> bool {
        self.losses.count(key, index).is_suspect()
    }

    /// Starts suspect tasks on workers without other runs. They come last, so that
    /// a worker that may crash is one that no other task needs.
    pub(crate) fn start_suspect_tasks(&mut self) {
        let queued = self.startable_jobs().map(|(_, key)| *key);
        let suspects: Vec<(JobKey, TaskIndex)> = queued
            .flat_map(|key| {
                let tasks = self.losses.suspect_tasks_of(key);
                tasks.into_iter().map(move |index| (key, index))
            })
            .collect();
        for (key, index) in suspects {
            if self.is_queued(key, index) {
                self.start_suspect_task(key, index);
            }
        }
    }

    fn start_suspect_task(&mut self, key: JobKey, index: TaskIndex) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let (service, need, expected) = (job.service.clone(), job.need, job.expected);
        let spec = job.spec.clone();
        if let Some(worker_key) = self.choose_idle_worker(&service, &need) {
            let run = self.begin_attempt(key, index, TaskState::Local(worker_key));
            return self.start_run(worker_key, run, spec, need, expected);
        }
        // Only a host without workers that answer leaves a suspect task to a peer,
        // which may not know that it is one.
        if !self.fits_own_worker(&service, &need)
            && let Some(host) = self.choose_peer(&service, &need)
        {
            let run = self.begin_attempt(key, index, TaskState::Remote(host.clone()));
            let task = ChunkTask {
                task: run.task,
                attempt: run.attempt,
            };
            self.send_chunk(key, &host, vec![task], FREE_RESOURCES_WAIT);
        }
    }

    fn is_queued(&self, key: JobKey, index: TaskIndex) -> bool {
        let job = self.jobs.get(&key);
        let task = job.and_then(|job| job.tasks.get(index as usize));
        task.is_some_and(|task| task.state == TaskState::Queued)
    }

    /// Counts the tasks of a job that wait for resources like any other, without
    /// suspect ones.
    pub(crate) fn queued_tasks(&self, key: JobKey, job: &Job) -> usize {
        let suspects = self.losses.suspect_tasks_of(key);
        let queued = suspects.iter().filter(|index| self.is_queued(key, **index));
        job.queued - queued.count()
    }

    /// Whether a task fits a worker of this host that answers and is not evacuated,
    /// when that runs nothing else.
    fn fits_own_worker(&self, service: &ServiceId, need: &Resources) -> bool {
        self.workers.values().any(|worker| {
            worker.report.service == *service
                && worker.unanswered_polls == 0
                && !worker.is_evacuated
                && worker.report.capacity.can_fit(need)
        })
    }

    /// Chooses the smallest worker of this host that fits a task and runs nothing.
    fn choose_idle_worker(&self, service: &ServiceId, need: &Resources) -> Option<WorkerKey> {
        let fits = |worker: &&Worker| {
            worker.report.service == *service
                && worker.accepts_runs(self.now)
                && worker.runs.is_empty()
                && worker.free().can_fit(need)
        };
        let rank = |worker: &&Worker| {
            let capacity = worker.report.capacity.cpu_milli;
            (self.is_cold(worker), worker.failures, capacity)
        };
        let fitting = self.workers.values().filter(fits);
        fitting.min_by_key(rank).map(|worker| worker.worker_key)
    }
}
