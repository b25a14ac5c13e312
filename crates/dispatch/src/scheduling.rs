//! Scheduling of queued tasks onto free slots.

use hornbeam_core::api::caller::Reason;

use crate::dispatcher::Dispatcher;
use crate::fair_queue::FlowKey;
use crate::keys::{JobKey, PoolKey, ServerKey, TaskPosition};
use crate::server::Resources;

/// Failed attempts to start a job after which a pass over a pool ends. This
/// bounds the cost of a step when many teams wait for large servers.
const MAX_FAILED_STARTS: usize = 32;

/// Jobs of a flow that may overtake its first job while that cannot start.
const MAX_LOOKAHEAD_JOBS: usize = 4;

impl Dispatcher {
    /// Starts tasks in the pools that changed in this step.
    pub(crate) fn schedule_changed_pools(&mut self) {
        while let Some(pool) = self.changed_pools.pop_first() {
            self.schedule_pool(pool);
            self.request_urgent_status(pool);
            self.changed_pools.remove(&pool);
        }
    }

    fn schedule_pool(&mut self, pool: PoolKey) {
        let mut stalled = Vec::new();
        let mut failed_starts = 0;
        while failed_starts < MAX_FAILED_STARTS && self.can_start_tasks(pool) {
            let Some((flow, job)) = self.pools[pool].queue.pick() else {
                break;
            };
            if !flow.remote {
                self.raise_limit(pool, flow.team);
            }
            if !flow.remote && self.quotas.team(flow.team).available_slots() == 0 {
                self.pools[pool].queue.deactivate(flow);
                self.quotas.block_flow(pool, flow);
            } else if !self.start_tasks(job) && !self.start_later_jobs(pool, flow) {
                self.pools[pool].queue.deactivate(flow);
                stalled.push(flow);
                failed_starts += 1 + MAX_LOOKAHEAD_JOBS;
            }
        }
        for flow in stalled {
            self.pools[pool].queue.activate(flow);
        }
    }

    /// Starts tasks of a later job of a flow whose first job cannot start, for
    /// example because it needs an accelerator, so that other slots are not idle.
    fn start_later_jobs(&mut self, pool: PoolKey, flow: FlowKey) -> bool {
        let jobs = self.pools[pool]
            .queue
            .jobs_after_first(flow, MAX_LOOKAHEAD_JOBS);
        jobs.into_iter().any(|job| self.start_tasks(job))
    }

    fn can_start_tasks(&self, pool: PoolKey) -> bool {
        let pool = &self.pools[pool];
        pool.queued_tasks > 0
            && (pool.free_slots > 0
                || !pool.shared.is_empty()
                || self.best_peer(&pool.service, &[]).is_some())
    }

    /// Sends or forwards the first queued tasks of a job, or ends the job if its
    /// start deadline has passed. `false` if no server or peer has capacity.
    fn start_tasks(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let Some(&first) = job.queued.first() else {
            return false;
        };
        if job.start_deadline <= self.now {
            self.expire_job(key);
            return true;
        }
        let required = Resources::of_task(job.spec(first));
        let pool = job.pool;
        let excluded = job.tasks[first as usize].refused_by.clone();
        match self.choose_server(pool, &required, &excluded) {
            Some(server) => {
                let positions = self.select_batch(key, server);
                let any = !positions.is_empty();
                if any {
                    self.send_batch(key, server, &positions);
                }
                any
            }
            None => self.forward(key),
        }
    }

    fn expire_job(&mut self, key: JobKey) {
        let no_task_started = self.jobs.get(key).is_some_and(|job| job.no_task_started());
        let message = "The time until which tasks may start has passed.";
        match no_task_started {
            true => self.refuse_job(key, Reason::Expired, message),
            false => self.fail_job(key, Reason::DeadlineExceeded, message),
        }
    }

    /// Gets the slots that a job may use under its team's quota.
    pub(crate) fn available_quota_slots(&mut self, key: JobKey) -> u32 {
        match self.jobs.get(key) {
            Some(job) if job.flow.remote => u32::MAX,
            Some(job) => self.quotas.team(job.flow.team).available_slots(),
            None => 0,
        }
    }

    /// Gets the tasks to send in one exchange: as many as the terms, the free
    /// slots, the quota and the server's capacity allow.
    fn select_batch(&mut self, key: JobKey, server_key: ServerKey) -> Vec<TaskPosition> {
        let available_slots = self.available_quota_slots(key);
        let (Some(job), Some(server)) = (self.jobs.get(key), self.servers.get(server_key)) else {
            return Vec::new();
        };
        let mut max_tasks = job.max_tasks_per_exchange.min(available_slots);
        if !server.announcement.shared {
            max_tasks = max_tasks.min(server.free_slots());
        }
        let mut used = Resources::default();
        let mut positions = Vec::new();
        for &position in job.queued.iter().take(max_tasks as usize) {
            let task = &job.tasks[position as usize];
            used.add(&Resources::of_task(job.spec(position)));
            if task.refused_by.contains(&server_key) {
                break;
            }
            if !server.announcement.shared && !server.has_capacity_for(&used) {
                break;
            }
            positions.push(position);
        }
        positions
    }
}
