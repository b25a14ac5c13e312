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

/// Maximum time between receipt and start of a task at a server that leases its
/// slots. Its slots are free, so a longer delay means that it is stalled.
const LEASED_START_TIMEOUT: Duration = Duration::from_secs(1);

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
        let start_timeout = self.start_timeout(job, server);
        let exchange = new_exchange(job, key, server, server_key, positions);
        let params = ExchangeParams {
            id,
            start_within_ms: millis(start_timeout).max(1),
            run_ms: longest_run_ms(job, positions),
        };
        let output = self.batch_output(job, server, positions, params);
        self.outputs.push(output);
        let (pool, flow) = (job.pool, job.flow);
        self.pools[pool].queue.charge(flow, work_ms);
        self.open_exchange(id, exchange);
        self.apply_task_event(key, positions, TaskEvent::Send);
        self.apply_job_event(key, JobEvent::Send);
    }

    /// Adds an exchange and accounts for its slots, resources and quota.
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
            self.quotas.acquire(team, slots);
        }
        self.exchanges.insert(id, exchange);
        self.reindex(server_key);
    }

    /// Gets the time within which the server must start the tasks.
    fn start_timeout(&self, job: &Job, server: &Server) -> Duration {
        let left = job.start_deadline.saturating_sub(self.now);
        match server.announcement.shared {
            true => left,
            false => left.min(LEASED_START_TIMEOUT),
        }
    }

    fn batch_output(
        &self,
        job: &Job,
        server: &Server,
        positions: &[TaskPosition],
        params: ExchangeParams,
    ) -> DispatchOutput {
        let task = |&position: &TaskPosition| BatchTask {
            index: job.index(position),
            payload: job.spec(position).payload.clone(),
            run_ms: job.spec(position).run_ms,
        };
        let timeout_ms = params.start_within_ms + params.run_ms + job.task_grace_ms;
        DispatchOutput::SendBatch {
            exchange: params.id,
            server_id: server.announcement.server_id.clone(),
            address: server.announcement.address.clone(),
            batch: TaskBatch {
                host_id: self.options.host_id.clone(),
                incarnation: server.announcement.incarnation,
                grant: server.announcement.grant,
                job_id: job.id.clone(),
                start_within_ms: params.start_within_ms,
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
        self.retry_budget.count_first_sends(self.now, first_sends);
    }
}

/// `ExchangeParams` are the id and the time limits of a new exchange.
struct ExchangeParams {
    id: ExchangeId,
    start_within_ms: u64,
    run_ms: u64,
}

fn new_exchange(
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
        quota: (!job.flow.remote).then_some(job.flow.team),
        query: None,
        cancelled: false,
        unanswered: false,
    }
}

/// Gets the longest declared or estimated run time of the tasks, in ms.
fn longest_run_ms(job: &Job, positions: &[TaskPosition]) -> u64 {
    let run_ms = positions.iter().map(|&position| {
        let estimate_ms = job.tasks[position as usize].work_ms;
        job.spec(position).run_ms.max(estimate_ms)
    });
    run_ms.max().unwrap_or(0)
}
