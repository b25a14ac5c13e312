//! Sending tasks to backend servers.

use std::time::Duration;

use hornbeam_core::api::backend::{BatchTask, TaskBatch};

use crate::charts::{JobEvent, TaskEvent};
use crate::dispatcher::Dispatcher;
use crate::exchanges::{Exchange, ExchangeTask};
use crate::io::DispatchOutput;
use crate::keys::{JobKey, ServerKey, TaskPosition};
use crate::leases::millis;
use crate::server::Resources;

/// Longest time between receipt and start at a server that leases its slots.
/// Its slots are free, so a longer delay means that it is stalled.
const LEASED_START_WITHIN: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Sends queued tasks of a job to a server.
    pub(crate) fn send_batch(
        &mut self,
        key: JobKey,
        server_key: ServerKey,
        positions: Vec<TaskPosition>,
    ) {
        let work_ms = self.dequeue_tasks(key, &positions);
        self.count_first_sends(key, &positions);
        let id = self.next_id();
        let (Some(job), Some(server)) = (self.jobs.get_mut(key), self.servers.get_mut(server_key))
        else {
            return;
        };
        self.pools[job.pool].queue.charge(job.flow, work_ms);
        let mut used = Resources::default();
        let mut tasks = Vec::with_capacity(positions.len());
        let mut batch = Vec::with_capacity(positions.len());
        let mut run_ms = 0;
        for &position in &positions {
            let spec = job.spec(position);
            used.add(&Resources::of_task(spec));
            run_ms = run_ms.max(spec.run_ms.max(job.tasks[position as usize].work_ms));
            let index = job.index(position);
            tasks.push(ExchangeTask {
                position,
                index,
                declared_ms: spec.run_ms,
            });
            batch.push(BatchTask {
                index,
                payload: spec.payload.clone(),
                run_ms: spec.run_ms,
            });
        }
        let mut start_within = job.start_until.saturating_sub(self.now);
        if !server.announcement.shared {
            start_within = start_within.min(LEASED_START_WITHIN);
        }
        let start_within_ms = millis(start_within).max(1);
        let within_ms = start_within_ms + run_ms + job.task_grace_ms;
        let quota = (!job.flow.foreign).then_some(job.flow.team);
        let slots = u32::try_from(tasks.len()).unwrap_or(u32::MAX);
        server.busy_slots += slots;
        server.sent_since_report += slots;
        server.used.add(&used);
        server.exchanges.insert(id);
        job.exchanges.insert(id);
        let exchange = Exchange {
            job: key,
            job_id: job.id.clone(),
            server: server_key,
            incarnation: server.announcement.incarnation,
            tasks,
            used,
            quota,
            query: None,
            cancelled: false,
            unanswered: false,
        };
        self.out.push(DispatchOutput::SendBatch {
            exchange: id,
            server_id: server.announcement.server_id.clone(),
            address: server.announcement.address.clone(),
            batch: TaskBatch {
                host_id: self.options.host_id.clone(),
                incarnation: exchange.incarnation,
                grant: server.announcement.grant,
                job_id: exchange.job_id.clone(),
                start_within_ms,
                tasks: batch,
            },
            within: Duration::from_millis(within_ms),
        });
        self.exchanges.insert(id, exchange);
        if let Some(team) = quota {
            self.quotas.take(team, slots);
        }
        self.change_tasks(key, &positions, TaskEvent::Send);
        self.change_job(key, JobEvent::Send);
        self.relist(server_key);
    }

    fn count_first_sends(&mut self, key: JobKey, positions: &[TaskPosition]) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let mut first_sends = 0;
        for &position in positions {
            let task = &mut job.tasks[position as usize];
            first_sends += u64::from(!task.sent_before);
            task.sent_before = true;
        }
        self.retries.count_first_sends(self.now, first_sends);
    }
}
