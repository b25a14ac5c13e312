//! Metrics of an entry host.

use std::time::Duration;

use hornbeam_core::api::backend::{TaskBatchAnswer, TaskStatus};
use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer};
use hornbeam_core::api::operator::EntryStatus;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::metrics::{self, MessageCounter};

/// Upper bound of the first bucket of response times, in seconds.
const RESPONSE_FIRST_BUCKET_S: f64 = 0.005;
/// Upper bound of the first bucket of step times, in seconds.
const STEP_FIRST_BUCKET_S: f64 = 0.000_005;
/// Number of buckets of each histogram; each bound is twice the one before.
const BUCKETS: u16 = 14;

/// `JobLabels` are the labels of the job counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct JobLabels {
    outcome: String,
    reason: String,
}

/// `EntryMetrics` are the metrics of one entry host.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    /// Messages by kind.
    pub(crate) messages: MessageCounter,
    jobs: Family<JobLabels, Counter>,
    tasks_started: Counter,
    retries: Counter,
    servers: Gauge,
    slots: Gauge,
    slots_busy: Gauge,
    queued_tasks: Gauge,
    jobs_open: Gauge,
    config_version: Gauge,
    response_seconds: Histogram,
    step_seconds: Histogram,
}

impl EntryMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::default(),
            messages: MessageCounter::default(),
            jobs: Family::default(),
            tasks_started: Counter::default(),
            retries: Counter::default(),
            servers: Gauge::default(),
            slots: Gauge::default(),
            slots_busy: Gauge::default(),
            queued_tasks: Gauge::default(),
            jobs_open: Gauge::default(),
            config_version: Gauge::default(),
            response_seconds: histogram(RESPONSE_FIRST_BUCKET_S),
            step_seconds: histogram(STEP_FIRST_BUCKET_S),
        };
        metrics.register_counters();
        metrics.register_gauges();
        metrics.register_histograms();
        metrics
    }

    /// Counts the answer to a job that was received `elapsed` ago.
    pub(crate) fn job_answered(&self, answer: &SubmitAnswer, elapsed: Duration) {
        let labels = JobLabels {
            outcome: outcome_label(answer.outcome).to_owned(),
            reason: answer.reason.map(reason_label).unwrap_or_default(),
        };
        self.jobs.get_or_create(&labels).inc();
        self.response_seconds.observe(elapsed.as_secs_f64());
    }

    /// Counts the tasks that a backend server reports as started.
    pub(crate) fn batch_answered(&self, answer: &TaskBatchAnswer) {
        let started = |end: &&_| is_started(end);
        let count = answer.ends.iter().filter(started).count();
        self.tasks_started.inc_by(count as u64);
    }

    /// Counts a task that is sent again.
    pub(crate) fn task_retried(&self) {
        self.retries.inc();
    }

    /// Records how long one step of the dispatcher took.
    pub(crate) fn record_step(&self, elapsed: Duration) {
        self.step_seconds.observe(elapsed.as_secs_f64());
    }

    /// Encodes all metrics with the gauges of a status.
    pub(crate) fn encode(&self, status: &EntryStatus) -> String {
        self.servers.set(status.servers.into());
        self.slots.set(status.slots.into());
        self.slots_busy.set(status.slots_busy.into());
        self.queued_tasks.set(status.queued_tasks.into());
        self.jobs_open.set(status.jobs.into());
        let version = i64::try_from(status.config_version).unwrap_or(i64::MAX);
        self.config_version.set(version);
        metrics::encode(&self.registry)
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        self.messages.register(registry);
        let help = "Jobs answered, by outcome and reason";
        registry.register("hornbeam_jobs", help, self.jobs.clone());
        let help = "Tasks that backend servers report as started";
        registry.register("hornbeam_tasks_started", help, self.tasks_started.clone());
        let help = "Tasks sent again after proof that they had not started";
        registry.register("hornbeam_retries", help, self.retries.clone());
    }

    fn register_gauges(&mut self) {
        let gauges = [
            ("hornbeam_servers", "Backend servers leased", &self.servers),
            ("hornbeam_slots", "Slots of those servers", &self.slots),
            ("hornbeam_slots_busy", "Slots in use", &self.slots_busy),
            (
                "hornbeam_queued_tasks",
                "Tasks that wait for a slot",
                &self.queued_tasks,
            ),
            (
                "hornbeam_jobs_open",
                "Jobs without an answer yet",
                &self.jobs_open,
            ),
            (
                "hornbeam_config_version",
                "Configuration in force",
                &self.config_version,
            ),
        ];
        for (name, help, gauge) in gauges {
            self.registry.register(name, help, gauge.clone());
        }
    }

    fn register_histograms(&mut self) {
        let registry = &mut self.registry;
        let help = "Time from receipt of a job to its answer, in seconds";
        let name = "hornbeam_response_seconds";
        registry.register(name, help, self.response_seconds.clone());
        let help = "Time of one step of the dispatcher, in seconds";
        let name = "hornbeam_dispatch_step_seconds";
        registry.register(name, help, self.step_seconds.clone());
    }
}

fn histogram(first_bucket_s: f64) -> Histogram {
    Histogram::new(exponential_buckets(first_bucket_s, 2.0, BUCKETS))
}

fn is_started(end: &hornbeam_core::api::backend::TaskEnd) -> bool {
    end.status != TaskStatus::NotStarted
}

const fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Complete => "complete",
        Outcome::Failed => "failed",
        Outcome::Refused => "refused",
    }
}

/// Gets the name of a reason as it is written in answers.
fn reason_label(reason: Reason) -> String {
    let name = serde_json::to_value(reason).ok();
    let name = name.as_ref().and_then(serde_json::Value::as_str);
    name.unwrap_or("unknown").to_owned()
}
