//! Benchmarks of the dispatcher's steps per task start, and of cancelling a job
//! in a long queue, by the number of servers.

use std::collections::VecDeque;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use hornbeam_core::api::backend::{Announcement, TaskBatch, TaskBatchAnswer, TaskEnd, TaskStatus};
use hornbeam_core::api::caller::{SubmitRequest, TaskSpec};
use hornbeam_core::config::{Configuration, Institution, Service, Team};
use hornbeam_core::ids::ExchangeId;
use hornbeam_dispatch::{
    DispatchInput, DispatchOptions, DispatchOutput, Dispatcher, ExchangeOutcome,
};

/// Numbers of servers, from the current size to the target in two years.
const SERVERS: [u32; 4] = [50, 200, 800, 2_400];

const SLOTS: u32 = 8;
const TASKS_PER_JOB: usize = 16;
const RUN_MS: u64 = 100;
const CANCELLED_JOBS: u64 = 10_000;

/// `Bench` drives a dispatcher whose servers answer in the order of the sends.
struct Bench {
    dispatcher: Dispatcher,
    running: VecDeque<(ExchangeId, String, TaskBatch)>,
    request: Arc<SubmitRequest>,
    jobs: u64,
}

impl Bench {
    fn new(servers: u32) -> Self {
        let mut dispatcher = Dispatcher::new(DispatchOptions::default()).expect("charts are valid");
        let config = DispatchInput::ConfigInForce(1, Arc::new(configuration()));
        dispatcher.step(Duration::ZERO, 0, config);
        for server in 0..servers {
            let input = DispatchInput::Announced(announcement(server));
            dispatcher.step(Duration::ZERO, 0, input);
        }
        Self {
            dispatcher,
            running: VecDeque::new(),
            request: Arc::new(request()),
            jobs: 0,
        }
    }

    fn step(&mut self, input: DispatchInput) {
        let outputs = self.dispatcher.step(Duration::ZERO, 0, input);
        for output in black_box(outputs) {
            if let DispatchOutput::SendBatch {
                exchange,
                server_id,
                batch,
                ..
            } = output
            {
                self.running.push_back((exchange, server_id, batch));
            }
        }
    }

    fn submit(&mut self) -> String {
        self.jobs += 1;
        let job = format!("j{}", self.jobs);
        let request = self.request.clone();
        self.step(DispatchInput::Submitted(job.clone(), request));
        job
    }

    fn finish_oldest(&mut self) {
        let Some((exchange, server_id, batch)) = self.running.pop_front() else {
            return;
        };
        let answer = finished(server_id, batch);
        let outcome = ExchangeOutcome::Answered(answer);
        self.step(DispatchInput::ExchangeEnded(exchange, outcome));
    }

    /// Keeps every slot busy and a short queue until `starts` tasks have started,
    /// and returns the elapsed time.
    fn run(&mut self, starts: u64) -> Duration {
        let slots = self.dispatcher.entry_status(Duration::ZERO).slots as usize;
        while self.running.len() < slots {
            self.submit();
        }
        self.submit();
        let begun = Instant::now();
        for start in 0..starts {
            if start % TASKS_PER_JOB as u64 == 0 {
                self.submit();
            }
            self.finish_oldest();
        }
        begun.elapsed()
    }
}

fn configuration() -> Configuration {
    let institution = Institution {
        max_queue_ms: u64::MAX,
        teams: [(
            "t".to_owned(),
            Team {
                quota_slots: u32::MAX,
                ..Team::default()
            },
        )]
        .into(),
        ..Institution::default()
    };
    Configuration {
        entry_hosts: 1,
        services: [(
            "s".to_owned(),
            Service {
                institution: "i".into(),
                max_timeout_ms: u64::MAX / 4,
                ..Service::default()
            },
        )]
        .into(),
        institutions: [("i".to_owned(), institution)].into(),
        ..Configuration::default()
    }
}

fn announcement(server: u32) -> Announcement {
    Announcement {
        server_id: format!("s{server}"),
        incarnation: 1,
        grant: 1,
        address: format!("10.0.0.1:{server}"),
        failure_domain: "d".into(),
        rack: "r".into(),
        worker_id: "w".into(),
        service: "s".into(),
        slots: SLOTS,
        max_connections: 64,
        cpu_milli: 16_000,
        memory_mib: 65_536,
        accelerators: 0,
        shared: false,
    }
}

fn request() -> SubmitRequest {
    let task = TaskSpec {
        payload: "x".repeat(100),
        run_ms: RUN_MS,
        cpu_milli: 1_000,
        memory_mib: 512,
        accelerators: 0,
    };
    SubmitRequest {
        request_id: "r".into(),
        institution: "i".into(),
        team: "t".into(),
        service: "s".into(),
        repeatable: true,
        timeout_ms: u64::MAX / 8,
        valid_until_unix_ms: None,
        tasks: vec![task; TASKS_PER_JOB],
    }
}

fn finished(server_id: String, batch: TaskBatch) -> TaskBatchAnswer {
    let ends = batch.tasks.into_iter().map(|task| TaskEnd {
        index: task.index,
        status: TaskStatus::Finished,
        output: String::new(),
        run_ms: RUN_MS,
    });
    TaskBatchAnswer {
        server_id,
        incarnation: batch.incarnation,
        job_id: batch.job_id,
        load: 0,
        ends: ends.collect(),
    }
}

fn task_start(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("task_start");
    for servers in SERVERS {
        let id = BenchmarkId::from_parameter(servers);
        group.bench_with_input(id, &servers, |bencher, servers| {
            let mut bench = Bench::new(*servers);
            bencher.iter_custom(|starts| bench.run(starts));
        });
    }
    group.finish();
}

/// Measures the cancellation of a queued job among [`CANCELLED_JOBS`] others.
fn cancel_queued_job(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("cancel_queued_job");
    group.sample_size(10);
    for servers in SERVERS {
        let id = BenchmarkId::from_parameter(servers);
        group.bench_with_input(id, &servers, |bencher, servers| {
            let mut bench = Bench::new(*servers);
            bench.run(1);
            bencher.iter_custom(|cancellations| {
                let mut elapsed = Duration::ZERO;
                let mut left = cancellations;
                while left > 0 {
                    let jobs: Vec<_> = (0..CANCELLED_JOBS).map(|_| bench.submit()).collect();
                    let begun = Instant::now();
                    let counted = left.min(CANCELLED_JOBS);
                    for job in jobs.iter().take(counted as usize) {
                        bench.step(DispatchInput::CallerCancelled(job.clone()));
                    }
                    elapsed += begun.elapsed();
                    for job in jobs.into_iter().skip(counted as usize) {
                        bench.step(DispatchInput::CallerCancelled(job));
                    }
                    left -= counted;
                }
                elapsed
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    task_start(&mut criterion);
    cancel_queued_job(&mut criterion);
    criterion.final_summary();
}
