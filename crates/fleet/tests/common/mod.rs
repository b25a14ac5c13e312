//! Test harness around a fleet whose workers and peers are simulated by the
//! test.

// Justification: each test file uses only some of the helpers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::evacuation::EvacuationList;
use hornbeam_core::event::Event;
use hornbeam_core::ids::HostId;
use hornbeam_fleet::{
    BatchTime, CallId, ChunkTask, EndedRun, Fleet, FleetInput, FleetOptions, FleetOutput,
    JobOutcome, Limits, LossReport, PeerBatch, PeerInfo, PeerMessage, PeerStatus, PollOutcome,
    PollRequest, PollResponse, Queue, QueueTable, Resources, RunEnd, RunId, RunProgress,
    SchedulingOptions, ServiceResources, ServiceSettings, StartOutcome, StartRequest, StopRequest,
    Subject, Submission, TaskChunk, WorkerReport,
};
use indexmap::IndexMap;

/// Name of the only service.
pub const SERVICE: &str = "subscribe";

/// Number of the host under test.
pub const OWN_HOST: u8 = 1;

/// Incarnation of every peer.
pub const PEER_INCARNATION: u64 = 7;

/// Wall-clock time at the start of a test.
pub const UNIX_MS: u64 = 1_800_000_000_000;

/// `Harness` drives one fleet.
pub struct Harness {
    pub fleet: Fleet,
    pub now: Duration,
    pub unix_ms: u64,
    /// Outputs that no helper has taken yet.
    pub outputs: Vec<FleetOutput>,
    last_call: CallId,
}

impl Harness {
    /// Creates a fleet with a configuration, at the address `10.1.0.HOST`.
    pub fn new(host: u8) -> Self {
        Self::with(options(host))
    }

    /// Creates a fleet with a configuration in a failure domain.
    pub fn in_domain(host: u8, failure_domain: &str) -> Self {
        let mut options = options(host);
        options.failure_domain = failure_domain.into();
        Self::with(options)
    }

    /// Creates a fleet with a configuration and scheduling switches.
    pub fn with_scheduling(host: u8, scheduling: SchedulingOptions) -> Self {
        let mut options = options(host);
        options.scheduling = scheduling;
        Self::with(options)
    }

    /// Creates a fleet with a configuration and these options.
    pub fn with(options: FleetOptions) -> Self {
        let mut harness = Self {
            fleet: Fleet::new(options),
            now: Duration::from_secs(1),
            unix_ms: UNIX_MS,
            outputs: Vec::new(),
            last_call: 0,
        };
        harness.step(FleetInput::Queues(Arc::new(queues(1))));
        harness
    }

    /// Steps the fleet. After a pause all connections are read at once.
    pub fn step(&mut self, input: FleetInput) {
        self.step_unread(input);
        let pauses = self.take(|output| match output {
            FleetOutput::ReadInputs(pause) => Some(*pause),
            _ => None,
        });
        for pause in pauses {
            self.step_unread(FleetInput::InputsRead(pause));
        }
    }

    /// Steps the fleet, and leaves it to the test to report that connections have been
    /// read.
    pub fn step_unread(&mut self, input: FleetInput) {
        let outputs = self.fleet.step(self.now, self.unix_ms, input);
        self.outputs.extend(outputs);
    }

    /// Advances the time in steps of 1 ms, without answers to requests.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.advance_at_once(1);
        }
    }

    /// Advances the time in one step, as after a pause of the process.
    pub fn advance_at_once(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.unix_ms += ms;
        self.step(FleetInput::Tick);
    }

    /// Submits a job and gets the id of the call.
    pub fn submit(&mut self, job: u64, tasks: u32) -> CallId {
        self.submit_to("orders", job, tasks)
    }

    /// Submits a job to a queue.
    pub fn submit_to(&mut self, queue: &str, job: u64, tasks: u32) -> CallId {
        self.last_call += 1;
        let submission = Submission {
            job,
            queue: queue.into(),
            spec: Arc::from("work"),
            tasks,
            need: Resources {
                cpu_milli: 8000,
                memory_mb: 64,
                accelerators: 0,
            },
            estimate: Duration::from_millis(200),
            timeout: Duration::from_secs(4),
        };
        self.step(FleetInput::Submitted(self.last_call, submission));
        self.last_call
    }

    /// Submits a job with one task of 200 ms, and accepts its start.
    pub fn start_job(&mut self, job: u64) -> StartRequest {
        self.submit(job, 1);
        let request = self.starts().remove(0);
        self.accept_start(&request);
        request
    }

    /// Reports a worker and answers the poll of its take-over.
    pub fn add_worker(&mut self, name: &str) -> u64 {
        self.polls();
        self.step(FleetInput::Reported(1, report(name, 1)));
        let worker_key = self.poll().target.worker_key;
        self.answer_poll(worker_key, &[], &[]);
        // Drops the next poll, which waits for the first end.
        self.polls();
        worker_key
    }

    /// Delivers a list of evacuated failure domains.
    pub fn evacuate(&mut self, revision: u64, failure_domains: &[&str]) {
        self.step(FleetInput::Evacuations(EvacuationList {
            revision,
            failure_domains: failure_domains.iter().map(|name| (*name).into()).collect(),
        }));
    }

    /// Answers the poll in flight at a worker.
    pub fn answer_poll(
        &mut self,
        worker_key: u64,
        running: &[RunId],
        ended: &[(u64, RunId, RunEnd)],
    ) {
        let outcome = self.poll_outcome(running, ended);
        self.step(FleetInput::PollEnded(worker_key, outcome));
    }

    /// Answers the poll in flight at a worker, which lists one run with its
    /// progress.
    pub fn answer_poll_with_progress(&mut self, worker_key: u64, run: RunId, done_percent: u32) {
        let outcome = PollOutcome::Answered(PollResponse {
            clock_ms: u64::try_from(self.now.as_millis()).expect("a small time"),
            born_unix_ms: None,
            running: vec![RunProgress { run, done_percent }],
            ended: Vec::new(),
        });
        self.step(FleetInput::PollEnded(worker_key, outcome));
    }

    /// Answers the probe in flight at a worker.
    pub fn answer_probe(
        &mut self,
        worker_key: u64,
        running: &[RunId],
        ended: &[(u64, RunId, RunEnd)],
    ) {
        let outcome = self.poll_outcome(running, ended);
        self.step(FleetInput::ProbeEnded(worker_key, outcome));
    }

    fn poll_outcome(&self, running: &[RunId], ended: &[(u64, RunId, RunEnd)]) -> PollOutcome {
        PollOutcome::Answered(PollResponse {
            clock_ms: u64::try_from(self.now.as_millis()).expect("a small time"),
            born_unix_ms: None,
            running: running.iter().map(|run| run_progress(*run)).collect(),
            ended: ended
                .iter()
                .map(|(sequence, run, end)| EndedRun {
                    sequence: *sequence,
                    run: Some(*run),
                    end: *end,
                })
                .collect(),
        })
    }

    /// Accepts a start request with the worker's clock.
    pub fn accept_start(&mut self, request: &StartRequest) {
        let clock_ms = u64::try_from(self.now.as_millis()).expect("a small time");
        self.answer_start(request, StartOutcome::Accepted(clock_ms));
    }

    pub fn answer_start(&mut self, request: &StartRequest, outcome: StartOutcome) {
        let worker_key = request.target.worker_key;
        self.step(FleetInput::StartRequestEnded(
            worker_key,
            request.run,
            outcome,
        ));
    }

    /// Takes the start requests sent so far.
    pub fn starts(&mut self) -> Vec<StartRequest> {
        self.take(|output| match output {
            FleetOutput::Start(request) => Some(request.clone()),
            _ => None,
        })
    }

    pub fn stops(&mut self) -> Vec<StopRequest> {
        self.take(|output| match output {
            FleetOutput::Stop(request) => Some(request.clone()),
            _ => None,
        })
    }

    pub fn polls(&mut self) -> Vec<PollRequest> {
        self.take(|output| match output {
            FleetOutput::Poll(request) => Some(request.clone()),
            _ => None,
        })
    }

    pub fn probes(&mut self) -> Vec<PollRequest> {
        self.take(|output| match output {
            FleetOutput::Probe(request) => Some(request.clone()),
            _ => None,
        })
    }

    /// Takes the only poll sent so far.
    pub fn poll(&mut self) -> PollRequest {
        let polls = self.polls();
        assert_eq!(polls.len(), 1, "expected one poll: {polls:?}");
        polls[0].clone()
    }

    pub fn answers(&mut self) -> Vec<(CallId, JobOutcome)> {
        self.take(|output| match output {
            FleetOutput::Answer(call, outcome) => Some((*call, *outcome)),
            _ => None,
        })
    }

    pub fn batches(&mut self) -> Vec<PeerBatch> {
        self.take(|output| match output {
            FleetOutput::SendBatch(_, _, batch, _) => Some(batch.clone()),
            _ => None,
        })
    }

    /// Takes the reports of losses sent so far, with their receivers.
    pub fn loss_reports(&mut self) -> Vec<(HostId, LossReport)> {
        self.take(|output| match output {
            FleetOutput::ReportLosses(host, _, report) => Some((host.clone(), report.clone())),
            _ => None,
        })
    }

    /// Lists other entry hosts, as the control hosts do.
    pub fn list_hosts(&mut self, hosts: impl Iterator<Item = u8>) {
        let info = |host| PeerInfo {
            host_id: format!("entry-{host}"),
            address: address(host),
            failure_domain: "a".into(),
        };
        self.step(FleetInput::Peers(hosts.map(info).collect()));
    }

    /// Takes the log events so far, with their subjects.
    pub fn logged_events(&mut self) -> Vec<(Event, Subject)> {
        self.take(|output| match output {
            FleetOutput::Log(event, subject, _) => Some((*event, subject.clone())),
            _ => None,
        })
    }

    /// Delivers a batch of messages from the peer at `10.1.0.HOST`, which has
    /// just received a batch from this host.
    pub fn receive_batch(&mut self, host: u8, sequence: u64, messages: Vec<PeerMessage>) {
        let batch = self.batch(host, sequence, messages);
        self.step(FleetInput::Batch(batch, None));
    }

    /// Builds a batch as the peer at `10.1.0.HOST` would send it now.
    pub fn batch(&self, host: u8, sequence: u64, messages: Vec<PeerMessage>) -> PeerBatch {
        let time = |incarnation| BatchTime {
            incarnation,
            sent_ms: u64::try_from(self.now.as_millis()).expect("a small time"),
        };
        PeerBatch {
            from: format!("entry-{host}"),
            address: address(host),
            failure_domain: "a".into(),
            time: time(PEER_INCARNATION),
            echo: Some(time(options(OWN_HOST).incarnation)),
            sequence,
            messages,
        }
    }

    fn take<T>(&mut self, select: impl Fn(&FleetOutput) -> Option<T>) -> Vec<T> {
        let selected = self.outputs.iter().filter_map(&select).collect();
        self.outputs.retain(|output| select(output).is_none());
        selected
    }
}

pub fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, host], 7000))
}

pub fn options(host: u8) -> FleetOptions {
    let mut options = FleetOptions::new(format!("entry-{host}"), "a", address(host));
    options.incarnation = u64::from(host);
    options
}

pub fn report(name: &str, sequence: u64) -> WorkerReport {
    WorkerReport {
        worker_id: name.into(),
        born_unix_ms: 5,
        sequence,
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 9, 0, 1], 80)),
        failure_domain: "a".into(),
        draining: false,
        capacity: Resources {
            cpu_milli: 16000,
            memory_mb: 65536,
            accelerators: 0,
        },
        labels: vec!["kind".into(), "rack".into()],
    }
}

pub fn queues(version: u64) -> QueueTable {
    let queue = Queue {
        name: "orders".into(),
        host_name: "orders.example".into(),
        path_prefix: "/orders/".into(),
        service: SERVICE.into(),
        priority: 0,
        attempts: 2,
        stretch: 1.6,
        objective_extra: Duration::from_millis(60),
        timeout: Duration::from_millis(1500),
    };
    let settings = ServiceSettings {
        max_connections: 64,
        enforces_capacity: true,
    };
    QueueTable {
        version,
        queues: vec![queue],
        services: IndexMap::from([(SERVICE.to_owned(), settings)]),
        limits: Limits {
            max_body_bytes: 262_144,
        },
    }
}

fn run_progress(run: RunId) -> RunProgress {
    RunProgress {
        run,
        done_percent: 0,
    }
}

pub fn run(job: u64, task: u32, attempt: u32) -> RunId {
    RunId { job, task, attempt }
}

/// Builds a chunk of tasks for a peer to run.
pub fn chunk(job: u64, tasks: u32) -> PeerMessage {
    let task = |task| ChunkTask { task, attempt: 1 };
    PeerMessage::Run(TaskChunk {
        job,
        service: SERVICE.into(),
        spec: "work".into(),
        need: Resources {
            cpu_milli: 8000,
            memory_mb: 64,
            accelerators: 0,
        },
        expected_ms: 200,
        lead_ms: 0,
        start_within_ms: 150,
        tasks: (0..tasks).map(task).collect(),
    })
}

/// Reports that the peer has just accepted the batch in flight.
pub fn acknowledge_batch(harness: &mut Harness, host: u8) {
    harness.step(FleetInput::BatchEnded(format!("entry-{host}"), true));
}

/// Builds a status of a host with one idle worker.
pub fn free_status() -> PeerMessage {
    let capacity = report("w", 1).capacity;
    PeerMessage::Status(PeerStatus {
        resources: vec![ServiceResources {
            service: SERVICE.into(),
            free: vec![capacity],
            largest: capacity,
        }],
        owned: 1,
        serving: 1,
        ..PeerStatus::default()
    })
}

/// Builds a status of a host with waiting tasks.
pub fn waiting_status() -> PeerMessage {
    PeerMessage::Status(PeerStatus {
        waiting: 1,
        ..PeerStatus::default()
    })
}
