//! Helpers shared by the tests of the dispatcher.

#![allow(dead_code)] // Justification: each test file uses only some of the helpers.

pub mod history;

use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::api::backend::{Announcement, TaskBatch, TaskBatchAnswer, TaskEnd, TaskStatus};
use hornbeam_core::api::caller::{SubmitAnswer, SubmitRequest, TaskSpec};
use hornbeam_core::config::{Configuration, Institution, Service, Team};
use hornbeam_core::ids::{ExchangeId, JobId};
use hornbeam_dispatch::{
    DispatchInput, DispatchOptions, DispatchOutput, Dispatcher, ExchangeOutcome,
};

/// Wall clock at monotonic time zero.
pub const EPOCH_UNIX_MS: u64 = 1_000;

/// Gets a configuration with one service and two teams of one institution.
pub fn configuration() -> Configuration {
    let team = |quota_slots| Team {
        quota_slots,
        ..Team::default()
    };
    let institution = Institution {
        teams: [
            ("feeding".to_owned(), team(400)),
            ("orders".to_owned(), team(8)),
        ]
        .into(),
        ..Institution::default()
    };
    Configuration {
        site: "dala".into(),
        failure_domains: vec!["almaty-a".into()],
        entry_hosts: 1,
        services: [(
            "subscribe".to_owned(),
            Service {
                institution: "dala".into(),
                ..Service::default()
            },
        )]
        .into(),
        institutions: [("dala".to_owned(), institution)].into(),
    }
}

/// Gets the announcement of a server with 8 slots.
pub fn announcement(server_id: &str) -> Announcement {
    Announcement {
        server_id: server_id.into(),
        incarnation: 1,
        grant: 1,
        address: format!("{server_id}:1"),
        failure_domain: "almaty-a".into(),
        rack: "r1".into(),
        worker_id: "w1".into(),
        service: "subscribe".into(),
        slots: 8,
        max_connections: 64,
        cpu_milli: 16_000,
        memory_mib: 65_536,
        accelerators: 0,
        shared: false,
    }
}

/// Gets a repeatable request with tasks of 100 ms.
pub fn request(request_id: &str, tasks: usize) -> SubmitRequest {
    let task = TaskSpec {
        run_ms: 100,
        ..TaskSpec::default()
    };
    SubmitRequest {
        request_id: request_id.into(),
        institution: "dala".into(),
        team: "feeding".into(),
        service: "subscribe".into(),
        repeatable: true,
        timeout_ms: 5_000,
        valid_until_unix_ms: None,
        tasks: vec![task; tasks],
    }
}

/// Gets the answer of a server that ran every task of a batch.
pub fn finished(server_id: &str, batch: &TaskBatch) -> TaskBatchAnswer {
    answer_with(server_id, batch, |_| TaskStatus::Finished)
}

/// Gets the answer of a server with a status for every task.
pub fn answer_with(
    server_id: &str,
    batch: &TaskBatch,
    status: impl Fn(u32) -> TaskStatus,
) -> TaskBatchAnswer {
    let end = |index| TaskEnd {
        index,
        status: status(index),
        output: format!("{}/{index}", batch.job_id),
        run_ms: 100,
    };
    TaskBatchAnswer {
        server_id: server_id.into(),
        incarnation: batch.incarnation,
        job_id: batch.job_id.clone(),
        load: 0,
        ends: batch.tasks.iter().map(|task| end(task.index)).collect(),
    }
}

/// `SentBatch` is a batch that the dispatcher sent.
#[derive(Clone, Debug)]
pub struct SentBatch {
    pub exchange: ExchangeId,
    pub server_id: String,
    pub batch: TaskBatch,
}

/// Gets the batches among outputs.
pub fn batches(outputs: &[DispatchOutput]) -> Vec<SentBatch> {
    let batch = |output: &DispatchOutput| match output {
        DispatchOutput::SendBatch {
            exchange,
            server_id,
            batch,
            ..
        } => Some(SentBatch {
            exchange: *exchange,
            server_id: server_id.clone(),
            batch: batch.clone(),
        }),
        _ => None,
    };
    outputs.iter().filter_map(batch).collect()
}

/// Gets the answers to callers among outputs.
pub fn answers(outputs: &[DispatchOutput]) -> Vec<(JobId, SubmitAnswer)> {
    let answer = |output: &DispatchOutput| match output {
        DispatchOutput::AnswerJob(job, answer) => Some((job.clone(), answer.clone())),
        _ => None,
    };
    outputs.iter().filter_map(answer).collect()
}

/// `Host` is a dispatcher with a simulated clock.
pub struct Host {
    /// The dispatcher.
    pub dispatcher: Dispatcher,
    /// Monotonic time in ms.
    pub now_ms: u64,
}

impl Host {
    /// Creates a host with a configuration in force.
    pub fn new(options: DispatchOptions, configuration: Configuration) -> Self {
        let mut host = Self {
            dispatcher: Dispatcher::new(options).unwrap(),
            now_ms: 0,
        };
        host.step(DispatchInput::ConfigInForce(1, Arc::new(configuration)));
        host
    }

    /// Creates a host of the failure domain `almaty-a`.
    pub fn with_id(host_id: &str) -> Self {
        let options = DispatchOptions {
            host_id: host_id.into(),
            failure_domain: "almaty-a".into(),
            ..DispatchOptions::default()
        };
        Self::new(options, configuration())
    }

    /// Passes one input to the dispatcher at the current time.
    pub fn step(&mut self, input: DispatchInput) -> Vec<DispatchOutput> {
        let now = Duration::from_millis(self.now_ms);
        self.dispatcher
            .step(now, EPOCH_UNIX_MS + self.now_ms, input)
    }

    /// Submits a job.
    pub fn submit(&mut self, job_id: &str, request: SubmitRequest) -> Vec<DispatchOutput> {
        self.step(DispatchInput::Submitted(job_id.into(), Arc::new(request)))
    }
}

impl Host {
    /// Announces a server.
    pub fn announce(&mut self, announcement: Announcement) -> Vec<DispatchOutput> {
        self.step(DispatchInput::Announced(announcement))
    }

    /// Answers an exchange with the same status for every task.
    pub fn answer_exchange(&mut self, sent: &SentBatch, status: TaskStatus) -> Vec<DispatchOutput> {
        let answer = answer_with(&sent.server_id, &sent.batch, |_| status);
        let outcome = ExchangeOutcome::Answered(answer);
        self.step(DispatchInput::ExchangeEnded(sent.exchange, outcome))
    }
}
