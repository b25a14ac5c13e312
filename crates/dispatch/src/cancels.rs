//! Cancel queries to backend servers. The same message cancels the tasks of
//! an ended job and asks what became of tasks without an answer.

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

/// `CancelQuery` is a cancel message without an answer.
#[derive(Debug)]
pub(crate) struct CancelQuery {
    incarnation: Incarnation,
    exchanges: Vec<ExchangeId>,
}

impl Dispatcher {
    /// Asks what became of exchanges of one job with one server.
    pub(crate) fn query_exchanges(&mut self, server: ServerKey, exchanges: Vec<ExchangeId>) {
        for id in &exchanges {
            let Some(exchange) = self.exchanges.get(id) else {
                continue;
            };
            let positions = exchange.positions();
            self.change_tasks(exchange.job, &positions, TaskEvent::Ask);
        }
        self.send_cancel(server, exchanges);
    }

    /// Asks what became of every exchange with a server whose lease ended.
    pub(crate) fn query_server(&mut self, key: ServerKey) {
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

    /// Cancels the tasks of an ended job with one message per server.
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

    /// Reacts to the end of a cancel message.
    pub(crate) fn cancel_ended(&mut self, id: CancelId, answer: Option<CancelAnswer>) {
        let Some(query) = self.cancels.swap_remove(&id) else {
            return;
        };
        let answer = answer.filter(|answer| answer.incarnation == query.incarnation);
        for exchange in query.exchanges {
            self.settle(exchange, answer.as_ref());
        }
    }

    /// Fails a job because nothing can be learned about some of its tasks.
    pub(crate) fn lose_tasks(&mut self, job: JobKey, tasks: &[ExchangeTask], cause: &str) {
        let positions: Vec<_> = tasks.iter().map(|task| task.position).collect();
        self.change_tasks(job, &positions, TaskEvent::Lose);
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
        self.out.push(DispatchOutput::SendCancel {
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

    /// Concludes what the end of a cancel message proves about an exchange.
    fn settle(&mut self, id: ExchangeId, answer: Option<&CancelAnswer>) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        exchange.query = None;
        exchange.cancelled = answer.is_some();
        let over =
            exchange.unanswered || all_have(exchange, answer, |fate| fate != CancelStatus::Started);
        let never_started = all_have(exchange, answer, |fate| fate == CancelStatus::NeverStarted);
        let (job, server, tasks) = (exchange.job, exchange.server, exchange.tasks.clone());
        // Tasks that may still run keep their slots until the exchange ends.
        if over {
            self.release_exchange(id);
        }
        match answer {
            Some(_) if never_started => {
                let positions: Vec<_> = tasks.iter().map(|task| task.position).collect();
                let cause = "the server says that it never started";
                self.avoid_server(job, server, &positions);
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

/// Whether the answer states a fate with some property for every task.
fn all_have(
    exchange: &Exchange,
    answer: Option<&CancelAnswer>,
    property: impl Fn(CancelStatus) -> bool,
) -> bool {
    let Some(answer) = answer else {
        return false;
    };
    let has = |index| {
        let mut fates = answer.fates.iter().filter(|fate| fate.index == index);
        fates.next().is_some_and(|first| property(first.fate)) && fates.all(|f| property(f.fate))
    };
    exchange.tasks.iter().all(|task| has(task.index))
}
