//! Cancel queries to backend servers. The same message cancels the tasks of
//! an ended job and queries the state of tasks of an unanswered exchange.

use std::collections::BTreeMap;

use hornbeam_core::api::backend::{CancelAnswer, CancelRequest, CancelStatus};
use hornbeam_core::api::caller::Reason;
use hornbeam_core::ids::{ExchangeId, Incarnation};

use crate::charts::TaskEvent;
use crate::dispatcher::Dispatcher;
use crate::exchanges::{Exchange, ExchangeTask};
use crate::io::{CancelId, DispatchOutput};
use crate::job::Job;
use crate::keys::{JobKey, ServerKey};

/// `CancelQuery` is a cancel message that has not been answered yet.
#[derive(Debug)]
pub(crate) struct CancelQuery {
    incarnation: Incarnation,
    exchanges: Vec<ExchangeId>,
}

impl Dispatcher {
    /// Queries one server for the state of the tasks of one job's exchanges.
    pub(crate) fn query_exchanges(&mut self, server: ServerKey, exchanges: Vec<ExchangeId>) {
        for id in &exchanges {
            let Some(exchange) = self.exchanges.get(id) else {
                continue;
            };
            let positions = exchange.positions();
            self.apply_task_event(exchange.job, &positions, TaskEvent::Ask);
        }
        self.send_cancel(server, exchanges);
    }

    /// Queries a server whose lease expired for the state of every exchange.
    pub(crate) fn query_server_exchanges(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        let mut by_job: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for id in &server.exchanges {
            let Some(exchange) = self.exchanges.get(id) else {
                continue;
            };
            if exchange.query.is_none() && self.jobs.get(exchange.job).is_some() {
                by_job.entry(exchange.job).or_default().push(*id);
            }
        }
        for exchanges in by_job.into_values() {
            self.query_exchanges(key, exchanges);
        }
    }

    /// Cancels the tasks of an ended job, with one message per server.
    pub(crate) fn cancel_exchanges(&mut self, job: &Job) {
        let mut by_server: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for id in &job.exchanges {
            let Some(exchange) = self.exchanges.get(id) else {
                continue;
            };
            if exchange.query.is_none() && !exchange.cancelled {
                by_server.entry(exchange.server).or_default().push(*id);
            }
        }
        for (server, exchanges) in by_server {
            self.send_cancel(server, exchanges);
        }
    }

    /// Handles the answer or the timeout of a cancel message.
    pub(crate) fn on_cancel_ended(&mut self, id: CancelId, answer: Option<CancelAnswer>) {
        let Some(query) = self.cancels.swap_remove(&id) else {
            return;
        };
        let answer = answer.filter(|answer| answer.incarnation == query.incarnation);
        for exchange in query.exchanges {
            self.resolve_exchange(exchange, answer.as_ref());
        }
    }

    /// Fails a job because it cannot be determined whether some of its tasks ran.
    pub(crate) fn lose_tasks(&mut self, job: JobKey, tasks: &[ExchangeTask], cause: &str) {
        let positions: Vec<_> = tasks.iter().map(|task| task.position).collect();
        self.apply_task_event(job, &positions, TaskEvent::Lose);
        let message = format!("Tasks may or may not have run: {cause}.");
        self.fail_job(job, Reason::OutcomeUnknown, message);
    }

    fn send_cancel(&mut self, key: ServerKey, exchanges: Vec<ExchangeId>) {
        let id = self.next_id();
        let mut tasks = Vec::new();
        let mut job_id = None;
        for exchange in &exchanges {
            let Some(exchange) = self.exchanges.get_mut(exchange) else {
                continue;
            };
            exchange.query = Some(id);
            tasks.extend(exchange.tasks.iter().map(|task| task.index));
            job_id = Some(exchange.job_id.clone());
        }
        let (Some(server), Some(job_id)) = (self.servers.get(key), job_id) else {
            return;
        };
        let incarnation = server.announcement.incarnation;
        self.outputs.push(DispatchOutput::SendCancel {
            cancel: id,
            address: server.announcement.address.clone(),
            request: CancelRequest {
                incarnation,
                job_id,
                tasks,
            },
            timeout: self.options.cancel_timeout,
        });
        let query = CancelQuery {
            incarnation,
            exchanges,
        };
        self.cancels.insert(id, query);
    }

    /// Retries or fails the tasks of an exchange, depending on what the answer to
    /// a cancel message proves.
    fn resolve_exchange(&mut self, id: ExchangeId, answer: Option<&CancelAnswer>) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        exchange.query = None;
        exchange.cancelled = answer.is_some();
        let exchange_over = exchange.unanswered
            || all_statuses(exchange, answer, |status| status != CancelStatus::Started);
        let never_started = all_statuses(exchange, answer, |status| {
            status == CancelStatus::NeverStarted
        });
        let (job, server, tasks) = (exchange.job, exchange.server, exchange.tasks.clone());
        // Tasks that may still run keep their slots until the exchange ends.
        if exchange_over {
            self.release_exchange(id);
        }
        match answer {
            Some(_) if never_started => {
                let positions: Vec<_> = tasks.iter().map(|task| task.position).collect();
                let cause = "the server says that it never started";
                self.exclude_server(job, server, &positions);
                self.retry_tasks(job, &positions, positions.len(), cause);
            }
            Some(_) => self.lose_tasks(job, &tasks, "a task had started when its server was asked"),
            None => self.lose_tasks(
                job,
                &tasks,
                "the query got no answer from the same start of the server",
            ),
        }
    }
}

/// Whether the answer has a status for every task and each one satisfies
/// `property`.
fn all_statuses(
    exchange: &Exchange,
    answer: Option<&CancelAnswer>,
    property: impl Fn(CancelStatus) -> bool,
) -> bool {
    let Some(answer) = answer else {
        return false;
    };
    let has = |index| {
        let mut statuses = answer.fates.iter().filter(|status| status.index == index);
        statuses.next().is_some_and(|first| property(first.fate))
            && statuses.all(|status| property(status.fate))
    };
    exchange.tasks.iter().all(|task| has(task.index))
}
