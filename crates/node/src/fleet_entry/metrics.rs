//! Metrics of a fleet entry host.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use hornbeam_core::event::Event;
use hornbeam_fleet::{
    FleetInput, JobOutcome, JobTimes, PollOutcome, StartOutcome, StartRefusal, StopOutcome,
};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry};
use volo_http::request::Request;
use volo_http::server::Router;

use super::input::{FleetLoopHandle, FleetLoopInput, FleetStats};
use crate::{metrics, reply};

const OK: u16 = 200;
const UNAVAILABLE: u16 = 503;

/// Upper bounds of the duration buckets, in seconds: from a round trip to the
/// longest wait of a caller, denser around the latency objectives.
const DURATION_BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// Upper bounds of the buckets of the time over the objective, in seconds. The
/// first bucket counts the jobs that met it.
const OVERRUN_BUCKETS_S: [f64; 8] = [0.0, 0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 4.0];

/// `QueueLabel` is the label of metrics by queue.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct QueueLabel {
    queue: String,
}

/// `OutcomeLabel` is the label of metrics by outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// `JobLabel` is the label of the histogram of jobs.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct JobLabel {
    queue: String,
    outcome: &'static str,
}

/// `RequestLabel` is the label of the counter of requests to workers.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RequestLabel {
    order: &'static str,
    answer: &'static str,
}

/// `EventLabel` is the label of metrics by log event.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EventLabel {
    event: &'static str,
}

/// `Buckets` creates histograms with the given upper bounds.
#[derive(Clone, Copy, Debug)]
struct Buckets(&'static [f64]);

impl MetricConstructor<Histogram> for Buckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(self.0.iter().copied())
    }
}

type Histograms<L> = Family<L, Histogram, Buckets>;

/// `FleetMetrics` are the metrics of one fleet entry host.
#[derive(Debug)]
pub(crate) struct FleetMetrics {
    registry: Registry,
    submissions: Family<QueueLabel, Counter>,
    answers: Family<OutcomeLabel, Counter>,
    job_times: Histograms<JobLabel>,
    first_starts: Histograms<QueueLabel>,
    over_objective: Histograms<QueueLabel>,
    worker_requests: Family<RequestLabel, Counter>,
    batches: Family<OutcomeLabel, Counter>,
    events: Family<EventLabel, Counter>,
    suppressed_lines: Family<EventLabel, Counter>,
    owned_workers: Gauge,
    free_cores: Gauge<f64, AtomicU64>,
    jobs: Gauge,
    waiting_tasks: Gauge,
    evacuated_failure_domains: Gauge,
    evacuation_revision: Gauge,
    document_version: Gauge,
    document_lag: Gauge,
}

impl FleetMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::default(),
            submissions: Family::default(),
            answers: Family::default(),
            job_times: Family::new_with_constructor(Buckets(&DURATION_BUCKETS_S)),
            first_starts: Family::new_with_constructor(Buckets(&DURATION_BUCKETS_S)),
            over_objective: Family::new_with_constructor(Buckets(&OVERRUN_BUCKETS_S)),
            worker_requests: Family::default(),
            batches: Family::default(),
            events: Family::default(),
            suppressed_lines: Family::default(),
            owned_workers: Gauge::default(),
            free_cores: Gauge::default(),
            jobs: Gauge::default(),
            waiting_tasks: Gauge::default(),
            evacuated_failure_domains: Gauge::default(),
            evacuation_revision: Gauge::default(),
            document_version: Gauge::default(),
            document_lag: Gauge::default(),
        };
        metrics.register_counters();
        metrics.register_histograms();
        metrics.register_gauges();
        metrics
    }

    /// Counts a submitted job.
    pub(crate) fn job_submitted(&self, queue: &str) {
        let queue = queue.to_owned();
        self.submissions.get_or_create(&QueueLabel { queue }).inc();
    }

    /// Counts the answer to a job.
    pub(crate) fn job_answered(&self, outcome: JobOutcome) {
        let outcome = outcome_name(outcome);
        self.answers.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Records the times of a job that has ended.
    pub(crate) fn job_ended(&self, times: JobTimes) {
        let label = QueueLabel { queue: times.queue };
        if let Some(first_start) = times.to_first_start {
            let histogram = self.first_starts.get_or_create(&label);
            histogram.observe(first_start.as_secs_f64());
        }
        if times.outcome == JobOutcome::Completed {
            let histogram = self.over_objective.get_or_create(&label);
            histogram.observe(times.over_objective.as_secs_f64());
        }
        let label = JobLabel {
            queue: label.queue,
            outcome: outcome_name(times.outcome),
        };
        let histogram = self.job_times.get_or_create(&label);
        histogram.observe(times.total.as_secs_f64());
    }

    /// Counts a request to a worker or a batch to a peer that has ended.
    pub(crate) fn request_ended(&self, input: &FleetInput) {
        let (order, answer) = match input {
            FleetInput::StartRequestEnded(_, _, answer) => ("start", start_outcome_name(*answer)),
            FleetInput::StopRequestEnded(_, _, answer) => ("stop", stop_outcome_name(*answer)),
            FleetInput::PollEnded(_, answer) => ("look", poll_outcome_name(answer)),
            FleetInput::ProbeEnded(_, answer) => ("check", poll_outcome_name(answer)),
            FleetInput::BatchEnded(_, taken) => {
                let outcome = if *taken { "taken" } else { "not_taken" };
                self.batches.get_or_create(&OutcomeLabel { outcome }).inc();
                return;
            }
            _ => return,
        };
        let label = RequestLabel { order, answer };
        self.worker_requests.get_or_create(&label).inc();
    }

    /// Counts a log event, whether or not its line is written.
    pub(crate) fn event_logged(&self, event: Event) {
        let event = event.name();
        self.events.get_or_create(&EventLabel { event }).inc();
    }

    /// Counts a suppressed log line.
    pub(crate) fn line_suppressed(&self, event: Event) {
        let event = event.name();
        let counter = self.suppressed_lines.get_or_create(&EventLabel { event });
        counter.inc();
    }

    fn encode(&self, stats: FleetStats) -> String {
        self.owned_workers.set(stats.owned_workers.into());
        self.free_cores.set(stats.free_cpu_milli as f64 / 1000.0);
        self.jobs.set(stats.jobs.into());
        self.waiting_tasks.set(stats.waiting_tasks.into());
        let evacuated = stats.evacuated_failure_domains;
        self.evacuated_failure_domains.set(evacuated.into());
        let revision = to_i64(stats.evacuation_revision);
        self.evacuation_revision.set(revision);
        self.document_version.set(to_i64(stats.document_version));
        self.document_lag.set(to_i64(stats.document_lag));
        metrics::encode(&self.registry)
    }

    fn register(&mut self, name: &'static str, help: &'static str, metric: impl Metric) {
        let name = format!("hornbeam_fleet_{name}");
        self.registry.register(name, help, metric);
    }

    fn register_counters(&mut self) {
        let submissions = self.submissions.clone();
        self.register("submissions", "Jobs submitted, by queue", submissions);
        let answers = self.answers.clone();
        self.register("answers", "Answers to submitted jobs, by outcome", answers);
        let worker_requests = self.worker_requests.clone();
        self.register("orders", "Orders to workers, by answer", worker_requests);
        let batches = self.batches.clone();
        self.register("batches", "Batches sent to peers, by outcome", batches);
        let events = self.events.clone();
        self.register("events", "Decisions, by log event", events);
        let suppressed_lines = self.suppressed_lines.clone();
        self.register(
            "lines_left_out",
            "Lines left out, by event",
            suppressed_lines,
        );
    }

    fn register_histograms(&mut self) {
        let times = self.job_times.clone();
        let help = "Time from the arrival of a job to its end, by queue and outcome";
        self.register("job_seconds", help, times);
        let first_starts = self.first_starts.clone();
        let help = "Time from the arrival of a job to its first start order, by queue";
        self.register("first_start_seconds", help, first_starts);
        let over = self.over_objective.clone();
        let help = "Time by which completed jobs missed their objective, by queue";
        self.register("over_objective_seconds", help, over);
    }

    fn register_gauges(&mut self) {
        let owned = self.owned_workers.clone();
        self.register(
            "owned_workers",
            "Guarded workers that this host owns",
            owned,
        );
        let free = self.free_cores.clone();
        self.register(
            "free_cores",
            "Free cores of the workers that take tasks",
            free,
        );
        let jobs = self.jobs.clone();
        self.register("jobs", "Jobs in progress", jobs);
        let waiting = self.waiting_tasks.clone();
        self.register("waiting_tasks", "Tasks that wait for room", waiting);
        let evacuated = self.evacuated_failure_domains.clone();
        let help = "Failure domains in which operators allow no new tasks";
        self.register("evacuated_failure_domains", help, evacuated);
        let revision = self.evacuation_revision.clone();
        let help = "Revision of the list of evacuated failure domains";
        self.register("evacuation_revision", help, revision);
        let version = self.document_version.clone();
        let help = "Version of the published document in force";
        self.register("document_version", help, version);
        let lag = self.document_lag.clone();
        let help = "Versions by which the newest document at a peer is ahead";
        self.register("document_lag", help, lag);
    }
}

fn to_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

const fn outcome_name(outcome: JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::Completed => "completed",
        JobOutcome::Failed => "failed",
        JobOutcome::NotRun(_) => "not_run",
        JobOutcome::TimedOut => "timed_out",
    }
}

const fn start_outcome_name(answer: StartOutcome) -> &'static str {
    match answer {
        StartOutcome::Accepted(_) => "accepted",
        StartOutcome::NotSent => "not_sent",
        StartOutcome::Unanswered => "unanswered",
        StartOutcome::Refused(StartRefusal::Fenced) => "generation",
        StartOutcome::Refused(StartRefusal::StaleAttempt) => "old",
        StartOutcome::Refused(StartRefusal::LeaseExpired) => "late",
        StartOutcome::Refused(StartRefusal::InsufficientResources) => "room",
        StartOutcome::Refused(StartRefusal::Unhealthy) => "unhealthy",
        StartOutcome::Refused(StartRefusal::OtherIncarnation) => "other_incarnation",
        StartOutcome::Refused(StartRefusal::Malformed) => "malformed",
    }
}

const fn stop_outcome_name(answer: StopOutcome) -> &'static str {
    match answer {
        StopOutcome::Accepted => "accepted",
        StopOutcome::Fenced => "generation",
        StopOutcome::OtherIncarnation => "other_incarnation",
        StopOutcome::Unanswered => "unanswered",
    }
}

const fn poll_outcome_name(answer: &PollOutcome) -> &'static str {
    match answer {
        PollOutcome::Answered(_) => "seen",
        PollOutcome::Fenced(_) => "generation",
        PollOutcome::OtherIncarnation => "other_incarnation",
        PollOutcome::Unanswered => "unanswered",
        PollOutcome::ConnectionRefused => "connection_refused",
    }
}

/// Builds the router of the metrics.
pub(crate) fn router(metrics: &Arc<FleetMetrics>, event_loop: &FleetLoopHandle) -> Router {
    let metrics = Arc::clone(metrics);
    let event_loop = event_loop.clone();
    Router::new().fallback(move |_request: Request| {
        let metrics = Arc::clone(&metrics);
        let event_loop = event_loop.clone();
        async move {
            match event_loop.ask(FleetLoopInput::FleetStats).await {
                Ok(stats) => reply::text(OK, metrics.encode(stats)),
                Err(cause) => reply::text(UNAVAILABLE, cause.to_string()),
            }
        }
    })
}
