//! Starting queued tasks wherever a slot is free.

use hornbeam_core::api::caller::Reason;

use crate::dispatcher::Dispatcher;
use crate::fair_queue::FlowKey;
use crate::keys::{JobKey, PoolKey, ServerKey, TaskPosition};
use crate::server::Resources;

/// Jobs that may fail to find a place before a pass over a pool ends. It
/// bounds the cost of a step when many teams wait for large servers.
const MAX_FAILED_STARTS: usize = 32;

/// Jobs of a flow that may pass its first job while that has to wait.
const MAX_LOOKAHEAD_JOBS: usize = 4;

impl Dispatcher {
    /// Starts what can be started in the pools that changed in this step.
    pub(crate) fn schedule_changed_pools(&mut self) {
        while let Some(pool) = self.changed_pools.pop_first() {
            self.schedule_pool(pool);
            self.hasten_status(pool);
            self.changed_pools.remove(&pool);
        }
    }

    fn schedule_pool(&mut self, pool: PoolKey) {
        let mut stalled = Vec::new();
        let mut failed_starts = 0;
        while failed_starts < MAX_FAILED_STARTS && self.may_start(pool) {
            let Some((flow, job)) = self.pools[pool].queue.pick() else {
                break;
            };
            if !flow.foreign {
                self.raise_limit(pool, flow.team);
            }
            if !flow.foreign && self.quotas.team(flow.team).room() == 0 {
                self.pools[pool].queue.set_aside(flow);
                self.quotas.block(pool, flow);
            } else if !self.start_some(job) && !self.start_following(pool, flow) {
                self.pools[pool].queue.set_aside(flow);
                stalled.push(flow);
                failed_starts += 1 + MAX_LOOKAHEAD_JOBS;
            }
        }
        for flow in stalled {
            self.pools[pool].queue.activate(flow);
        }
    }

    /// Starts tasks of a later job of a flow whose first job has to wait, for
    /// example for an accelerator, so that other slots do not stay idle.
    fn start_following(&mut self, pool: PoolKey, flow: FlowKey) -> bool {
        let jobs = self.pools[pool].queue.following(flow, MAX_LOOKAHEAD_JOBS);
        jobs.into_iter().any(|job| self.start_some(job))
    }

    fn may_start(&self, pool: PoolKey) -> bool {
        let pool = &self.pools[pool];
        pool.queued_tasks > 0
            && (pool.free_slots > 0
                || !pool.shared.is_empty()
                || self.best_peer(&pool.service, &[]).is_some())
    }

    /// Sends or forwards the first queued tasks of a job, or ends the job if
    /// it may not start any more. `false` if there is no place for it.
    fn start_some(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let Some(&first) = job.queued.first() else {
            return false;
        };
        if job.start_until <= self.now {
            self.end_unstartable(key);
            return true;
        }
        let need = Resources::of_task(job.spec(first));
        let pool = job.pool;
        let avoid = job.tasks[first as usize].refused_by.clone();
        match self.choose_server(pool, &need, &avoid) {
            Some(server) => {
                let positions = self.fill_batch(key, server);
                let any = !positions.is_empty();
                if any {
                    self.send_batch(key, server, &positions);
                }
                any
            }
            None => self.forward(key),
        }
    }

    fn end_unstartable(&mut self, key: JobKey) {
        let nothing_started = self.jobs.get(key).is_some_and(|job| job.nothing_started());
        let message = "The time until which tasks may start has passed.";
        match nothing_started {
            true => self.refuse_job(key, Reason::Expired, message),
            false => self.fail_job(key, Reason::DeadlineExceeded, message),
        }
    }

    /// Gets the slots that a job may take under its team's quota.
    pub(crate) fn quota_room(&mut self, key: JobKey) -> u32 {
        match self.jobs.get(key) {
            Some(job) if job.flow.foreign => u32::MAX,
            Some(job) => self.quotas.team(job.flow.team).room(),
            None => 0,
        }
    }

    /// Gets the tasks to send in one exchange: as many as the terms, the free
    /// slots, the quota and the server's capacity allow.
    fn fill_batch(&mut self, key: JobKey, server_key: ServerKey) -> Vec<TaskPosition> {
        let room = self.quota_room(key);
        let (Some(job), Some(server)) = (self.jobs.get(key), self.servers.get(server_key)) else {
            return Vec::new();
        };
        let mut most = job.most_per_exchange.min(room);
        if !server.announcement.shared {
            most = most.min(server.free_slots());
        }
        let mut used = Resources::default();
        let mut positions = Vec::new();
        for &position in job.queued.iter().take(most as usize) {
            let task = &job.tasks[position as usize];
            used.add(&Resources::of_task(job.spec(position)));
            if task.refused_by.contains(&server_key) {
                break;
            }
            if !server.announcement.shared && !server.has_room(&used) {
                break;
            }
            positions.push(position);
        }
        positions
    }
}
