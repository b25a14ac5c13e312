//! Queueing of jobs, and the totals that admission and status use.

use crate::charts::JobEvent;
use crate::dispatcher::Dispatcher;
use crate::fair_queue::FlowKey;
use crate::job::Job;
use crate::keys::{JobKey, PoolKey, TaskPosition};

impl Dispatcher {
    /// Queues every task of a job.
    pub(crate) fn enqueue_job(&mut self, key: JobKey) {
        if !self.apply_job_event(key, JobEvent::Enqueue) {
            return;
        }
        let tasks = self.jobs.get(key).map_or(0, |job| job.tasks.len());
        let tasks = TaskPosition::try_from(tasks).unwrap_or(TaskPosition::MAX);
        self.enqueue_tasks(key, 0..tasks);
    }

    /// Adds tasks of a job to the queue of its flow.
    pub(crate) fn enqueue_tasks(
        &mut self,
        key: JobKey,
        positions: impl IntoIterator<Item = TaskPosition>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let (mut tasks, mut work_ms) = (0, 0);
        for position in positions {
            if job.queued.insert(position) {
                tasks += 1;
                work_ms += job.tasks[position as usize].work_ms;
            }
        }
        job.queued_work_ms += work_ms;
        let pool = &mut self.pools[job.pool];
        pool.queued_tasks += tasks;
        pool.queued_work_ms += work_ms;
        pool.queue.add(job.flow, job.weights, key, work_ms);
        if !job.flow.remote {
            let team = self.quotas.team(job.flow.team);
            team.queued_tasks += tasks;
            team.queued_work_ms += work_ms;
        }
        self.changed_pools.insert(job.pool);
    }

    /// Removes tasks of a job from its queue and returns their work in ms.
    pub(crate) fn dequeue_tasks(&mut self, key: JobKey, positions: &[TaskPosition]) -> u64 {
        let Some(job) = self.jobs.get_mut(key) else {
            return 0;
        };
        let (mut tasks, mut work_ms) = (0, 0);
        for position in positions {
            if job.queued.remove(position) {
                tasks += 1;
                work_ms += job.tasks[*position as usize].work_ms;
            }
        }
        job.queued_work_ms -= work_ms;
        let (pool, flow, empty) = (job.pool, job.flow, job.queued.is_empty());
        self.subtract_queued(pool, flow, tasks, work_ms);
        if empty {
            self.pools[pool].queue.remove(flow, key);
        }
        work_ms
    }

    /// Removes a job that ended from its queue.
    pub(crate) fn remove_from_queue(&mut self, key: JobKey, job: &mut Job) {
        let tasks = u32::try_from(job.queued.len()).unwrap_or(u32::MAX);
        self.subtract_queued(job.pool, job.flow, tasks, job.queued_work_ms);
        self.pools[job.pool].queue.remove(job.flow, key);
    }

    /// Activates a flow that waited for quota.
    pub(crate) fn activate(&mut self, pool: PoolKey, flow: FlowKey) {
        self.pools[pool].queue.activate(flow);
        self.changed_pools.insert(pool);
    }

    fn subtract_queued(&mut self, pool: PoolKey, flow: FlowKey, tasks: u32, work_ms: u64) {
        let pool = &mut self.pools[pool];
        pool.queued_tasks -= tasks;
        pool.queued_work_ms -= work_ms;
        pool.queue.subtract_work(flow, work_ms);
        if !flow.remote {
            let team = self.quotas.team(flow.team);
            team.queued_tasks -= tasks;
            team.queued_work_ms -= work_ms;
        }
    }
}
