//! Exchanges with backend servers, and the handling of their outcomes.

use hornbeam_core::api::backend::{TaskBatchAnswer, TaskEnd, TaskStatus};
use hornbeam_core::api::caller::{Reason, TaskResult};
use hornbeam_core::event::Event;
use hornbeam_core::ids::{ExchangeId, Incarnation, JobId, TaskIndex};

use crate::charts::TaskEvent;
use crate::dispatcher::Dispatcher;
use crate::io::{CancelId, DispatchOutput, ExchangeOutcome};
use crate::keys::{JobKey, ServerKey, TaskPosition, TeamKey};
use crate::server::Resources;

/// `ExchangeTask` is one task of an exchange.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeTask {
    pub(crate) position: TaskPosition,
    pub(crate) index: TaskIndex,
    pub(crate) declared_ms: u64,
}

/// `Exchange` is one request to a backend server that has no final answer yet.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) job: JobKey,
    pub(crate) job_id: JobId,
    pub(crate) server: ServerKey,
    pub(crate) incarnation: Incarnation,
    pub(crate) tasks: Vec<ExchangeTask>,
    pub(crate) used: Resources,
    /// Team whose quota the tasks use; `None` for tasks of a peer's job.
    pub(crate) quota: Option<TeamKey>,
    /// Unanswered cancel query for the tasks.
    pub(crate) query: Option<CancelId>,
    /// Whether the server has answered a cancel message for the tasks.
    pub(crate) cancelled: bool,
    /// Whether the request itself ended without a valid answer.
    pub(crate) unanswered: bool,
}

impl Exchange {
    /// Gets the number of slots that the tasks use.
    pub(crate) fn slots(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    /// Gets the positions of the tasks in their job.
    pub(crate) fn positions(&self) -> Vec<TaskPosition> {
        self.tasks.iter().map(|task| task.position).collect()
    }

    fn task(&self, index: TaskIndex) -> Option<&ExchangeTask> {
        self.tasks.iter().find(|task| task.index == index)
    }
}

/// `Loss` is the reason why a task is lost.
#[derive(Debug)]
struct Loss {
    reason: Reason,
    message: String,
}

impl Dispatcher {
    /// Handles the outcome of an exchange. Tasks are retried only if the outcome
    /// proves that they have not started.
    pub(crate) fn on_exchange_ended(&mut self, id: ExchangeId, outcome: ExchangeOutcome) {
        let Some(exchange) = self.exchanges.get(&id) else {
            if matches!(outcome, ExchangeOutcome::Answered(_)) {
                self.log(
                    Event::AnswerDropped,
                    format!("late answer to exchange {id}"),
                );
            }
            return;
        };
        match outcome {
            ExchangeOutcome::Answered(answer) if self.is_answer_to(exchange, &answer) => {
                self.on_exchange_answered(id, answer);
            }
            ExchangeOutcome::Answered(_) => {
                self.on_exchange_unanswered(id, "the answer has wrong ids");
            }
            ExchangeOutcome::NotSent(cause) => self.on_exchange_not_sent(id, &cause),
            ExchangeOutcome::Unanswered(cause) => self.on_exchange_unanswered(id, &cause),
        }
    }

    /// Removes an exchange and releases its slots, resources and quota.
    pub(crate) fn release_exchange(&mut self, id: ExchangeId) -> Option<Exchange> {
        let exchange = self.exchanges.swap_remove(&id)?;
        let slots = exchange.slots();
        if let Some(job) = self.jobs.get_mut(exchange.job) {
            job.exchanges.remove(&id);
        }
        if let Some(server) = self.servers.get_mut(exchange.server)
            && server.exchanges.remove(&id)
        {
            server.busy_slots -= slots;
            server.used = server.used.saturating_sub(&exchange.used);
            self.reindex(exchange.server);
            self.remove_unused_server(exchange.server);
        }
        if let Some(team) = exchange.quota {
            self.release_quota(team, slots);
        }
        Some(exchange)
    }

    /// Releases quota of a team and activates its blocked flows.
    pub(crate) fn release_quota(&mut self, team: TeamKey, slots: u32) {
        for (pool, flow) in self.quotas.release(team, slots) {
            self.activate(pool, flow);
        }
    }

    /// Applies an event to the states of tasks.
    pub(crate) fn apply_task_event(
        &mut self,
        key: JobKey,
        positions: &[TaskPosition],
        event: TaskEvent,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        for &position in positions {
            let task = &mut job.tasks[position as usize];
            if let Some(next) = self.charts.task.next(task.state, event) {
                task.state = next;
            }
        }
    }

    /// Stores the result of a task.
    pub(crate) fn finish_task(&mut self, key: JobKey, position: TaskPosition, result: TaskResult) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task = &mut job.tasks[position as usize];
        if let Some(next) = self.charts.task.next(task.state, TaskEvent::Finish) {
            task.state = next;
            task.result = Some(result);
            job.finished_tasks += 1;
        }
    }

    /// Suspends a server until its next lease renewal, because another task would
    /// most likely fail as well.
    pub(crate) fn suspend(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.suspended = true;
            self.reindex(key);
        }
    }

    fn is_answer_to(&self, exchange: &Exchange, answer: &TaskBatchAnswer) -> bool {
        let server = self.servers.get(exchange.server);
        let mut asked: Vec<_> = exchange.tasks.iter().map(|task| task.index).collect();
        let mut answered: Vec<_> = answer.ends.iter().map(|end| end.index).collect();
        asked.sort_unstable();
        answered.sort_unstable();
        server.is_some_and(|server| server.announcement.server_id == answer.server_id)
            && exchange.incarnation == answer.incarnation
            && exchange.job_id == answer.job_id
            && asked == answered
    }

    fn on_exchange_answered(&mut self, id: ExchangeId, answer: TaskBatchAnswer) {
        let Some(exchange) = self.release_exchange(id) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(exchange.server) {
            server.reported_load = answer.load;
            server.sent_since_report = 0;
        }
        self.record_observations(&exchange, &answer);
        if self.jobs.get(exchange.job).is_none() {
            self.log(
                Event::AnswerDropped,
                format!("an answer arrived after the end of job {}", exchange.job_id),
            );
            return;
        }
        let loss = self.apply_results(&exchange, &answer);
        let returned = returned_tasks(&exchange, &answer);
        if let Some(loss) = loss {
            self.fail_job(exchange.job, loss.reason, loss.message);
        } else if !returned.is_empty() {
            let cause = format!("server {} did not start it", answer.server_id);
            self.suspend_unless_shared(exchange.server);
            self.retry_tasks(exchange.job, &returned, returned.len(), &cause);
        } else {
            self.complete_if_finished(exchange.job);
        }
    }

    /// Stores the results of an answer and returns the first loss.
    fn apply_results(&mut self, exchange: &Exchange, answer: &TaskBatchAnswer) -> Option<Loss> {
        let mut loss = None;
        for end in &answer.ends {
            let Some(task) = exchange.task(end.index) else {
                continue;
            };
            match end.status {
                TaskStatus::Finished => {
                    let result = result_of(end, &answer.server_id);
                    self.finish_task(exchange.job, task.position, result);
                }
                TaskStatus::Failed | TaskStatus::Stopped => {
                    self.apply_task_event(exchange.job, &[task.position], TaskEvent::Lose);
                    loss.get_or_insert_with(|| loss_of(end, &answer.server_id));
                }
                TaskStatus::NotStarted => {}
            }
        }
        loss
    }

    /// Records the run times and failures of an answer, also for ended jobs. A
    /// stopped task is not counted, because it says nothing about its server.
    fn record_observations(&mut self, exchange: &Exchange, answer: &TaskBatchAnswer) {
        let pool = self.servers.get(exchange.server).map(|server| server.pool);
        for end in &answer.ends {
            match end.status {
                TaskStatus::Finished => {
                    let task = exchange.task(end.index);
                    if let (Some(pool), Some(task)) = (pool, task) {
                        let ratio = &mut self.pools[pool].run_time_ratio;
                        ratio.observe(task.declared_ms, end.run_ms);
                    }
                    self.record_task_result(exchange.server, false);
                }
                TaskStatus::Failed => self.record_task_result(exchange.server, true),
                TaskStatus::Stopped | TaskStatus::NotStarted => {}
            }
        }
    }

    fn suspend_unless_shared(&mut self, key: ServerKey) {
        let shared = |server: &crate::server::Server| server.announcement.shared;
        if !self.servers.get(key).is_some_and(shared) {
            self.suspend(key);
        }
    }

    fn on_exchange_not_sent(&mut self, id: ExchangeId, cause: &str) {
        let Some(exchange) = self.release_exchange(id) else {
            return;
        };
        self.suspend(exchange.server);
        self.record_task_result(exchange.server, true);
        let positions = exchange.positions();
        self.retry_tasks(exchange.job, &positions, positions.len(), cause);
    }

    fn on_exchange_unanswered(&mut self, id: ExchangeId, cause: &str) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        exchange.unanswered = true;
        let (job, server_key, query) = (exchange.job, exchange.server, exchange.query);
        let message = format!("exchange {id} of job {}: {cause}", exchange.job_id);
        self.log(Event::ExchangeUnanswered, message);
        if let Some(server) = self.servers.get(server_key) {
            let address = server.announcement.address.clone();
            self.outputs.push(DispatchOutput::DropConnections(address));
        }
        self.suspend(server_key);
        self.record_task_result(server_key, true);
        if self.jobs.get(job).is_none() {
            self.release_exchange(id);
        } else if query.is_none() {
            self.query_exchanges(server_key, vec![id]);
        }
    }
}

/// Gets the tasks that have not started according to the answer.
fn returned_tasks(exchange: &Exchange, answer: &TaskBatchAnswer) -> Vec<TaskPosition> {
    let ends = answer.ends.iter();
    let returned = ends.filter(|end| end.status == TaskStatus::NotStarted);
    returned
        .filter_map(|end| exchange.task(end.index))
        .map(|task| task.position)
        .collect()
}

fn result_of(end: &TaskEnd, server_id: &str) -> TaskResult {
    TaskResult {
        index: end.index,
        output: end.output.clone(),
        server_id: server_id.to_owned(),
        run_ms: end.run_ms,
    }
}

fn loss_of(end: &TaskEnd, server_id: &str) -> Loss {
    let (reason, what) = match end.status {
        TaskStatus::Stopped => (Reason::TaskStopped, "was stopped"),
        _ => (Reason::TaskFailed, "failed"),
    };
    let message = format!("Task {} {what} on {server_id}: {}", end.index, end.output);
    Loss { reason, message }
}
