//! Sending tasks to backend servers.

use std::time::Duration;

use hornbeam_core::api::backend::{BatchTask, TaskBatch};
use hornbeam_core::ids::ExchangeId;

use crate::charts::{JobEvent, TaskEvent};
use crate::dispatcher::Dispatcher;
use crate::exchanges::{Exchange, ExchangeTask};
use crate::io::DispatchOutput;
use crate::job::Job;
use crate::keys::{JobKey, ServerKey, TaskPosition};
use crate::leases::millis;
use crate::server::{Resources, Server};

/// Longest time between receipt and start at a server that leases its slots.
/// Its slots are free, so a longer delay means that it is stalled.
const LEASED_START_WITHIN: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Sends queued tasks of a job to a server.
    pub(crate) fn send_batch(
        &mut self,
        key: JobKey,
        server_key: ServerKey,
        positions: &[TaskPosition],
    ) {
        let work_ms = self.dequeue_tasks(key, positions);
        self.count_first_sends(key, positions);
        let id = self.next_id();
        let (Some(job), Some(server)) = (self.jobs.get(key), self.servers.get(server_key)) else {
            return;
        };
        let start_within = self.start_within(job, server);
        let exchange = exchange_of(job, key, server, server_key, positions);
        let request = SendRequest {
            id,
            start_within_ms: millis(start_within).max(1),
            run_ms: longest_run_ms(job, positions),
        };
        let output = self.batch_output(job, server, positions, request);
        self.out.push(output);
        let (pool, flow) = (job.pool, job.flow);
        self.pools[pool].queue.charge(flow, work_ms);
        self.open_exchange(id, exchange);
        self.change_tasks(key, positions, TaskEvent::Send);
        self.change_job(key, JobEvent::Send);
    }

    /// Counts the slots and resources that an exchange uses.
    fn open_exchange(&mut self, id: ExchangeId, exchange: Exchange) {
        let slots = exchange.slots();
        let server_key = exchange.server;
        if let Some(job) = self.jobs.get_mut(exchange.job) {
            job.exchanges.insert(id);
        }
        if let Some(server) = self.servers.get_mut(server_key) {
            server.busy_slots += slots;
            server.sent_since_report += slots;
            server.used.add(&exchange.used);
            server.exchanges.insert(id);
        }
        if let Some(team) = exchange.quota {
            self.quotas.take(team, slots);
        }
        self.exchanges.insert(id, exchange);
        self.relist(server_key);
    }

    /// Gets the time within which the server must start the tasks.
    fn start_within(&self, job: &Job, server: &Server) -> Duration {
        let left = job.start_until.saturating_sub(self.now);
        match server.announcement.shared {
            true => left,
            false => left.min(LEASED_START_WITHIN),
        }
    }

    fn batch_output(
        &self,
        job: &Job,
        server: &Server,
        positions: &[TaskPosition],
        request: SendRequest,
    ) -> DispatchOutput {
        let task = |&position: &TaskPosition| BatchTask {
            index: job.index(position),
            payload: job.spec(position).payload.clone(),
            run_ms: job.spec(position).run_ms,
        };
        let timeout_ms = request.start_within_ms + request.run_ms + job.task_grace_ms;
        DispatchOutput::SendBatch {
            exchange: request.id,
            server_id: server.announcement.server_id.clone(),
            address: server.announcement.address.clone(),
            batch: TaskBatch {
                host_id: self.options.host_id.clone(),
                incarnation: server.announcement.incarnation,
                grant: server.announcement.grant,
                job_id: job.id.clone(),
                start_within_ms: request.start_within_ms,
                tasks: positions.iter().map(task).collect(),
            },
            timeout: Duration::from_millis(timeout_ms),
        }
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

/// `SendRequest` is the id and the times of an exchange about to begin.
struct SendRequest {
    id: ExchangeId,
    start_within_ms: u64,
    run_ms: u64,
}

fn exchange_of(
    job: &Job,
    key: JobKey,
    server: &Server,
    server_key: ServerKey,
    positions: &[TaskPosition],
) -> Exchange {
    let mut used = Resources::default();
    for &position in positions {
        used.add(&Resources::of_task(job.spec(position)));
    }
    let task = |&position: &TaskPosition| ExchangeTask {
        position,
        index: job.index(position),
        declared_ms: job.spec(position).run_ms,
    };
    Exchange {
        job: key,
        job_id: job.id.clone(),
        server: server_key,
        incarnation: server.announcement.incarnation,
        tasks: positions.iter().map(task).collect(),
        used,
        quota: (!job.flow.foreign).then_some(job.flow.team),
        query: None,
        cancelled: false,
        unanswered: false,
    }
}

/// Gets the longest declared or estimated run time of some tasks, in ms.
fn longest_run_ms(job: &Job, positions: &[TaskPosition]) -> u64 {
    let run_ms = positions.iter().map(|&position| {
        let estimate_ms = job.tasks[position as usize].work_ms;
        job.spec(position).run_ms.max(estimate_ms)
    });
    run_ms.max().unwrap_or(0)
}
