//! Metrics of an entry host of guarded workers.

use std::sync::Arc;

use hornbeam_fleet::JobOutcome;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use volo_http::request::Request;
use volo_http::server::Router;

use super::input::{EntryHandle, EntryInput, Figures};
use crate::{metrics, reply};

const OK: u16 = 200;
const UNAVAILABLE: u16 = 503;

/// `QueueLabel` is the label of the counter of submissions.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct QueueLabel {
    queue: String,
}

/// `OutcomeLabel` is the label of the counter of answers.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// `FleetMetrics` are the metrics of one entry host of guarded workers.
#[derive(Debug)]
pub(crate) struct FleetMetrics {
    registry: Registry,
    submissions: Family<QueueLabel, Counter>,
    answers: Family<OutcomeLabel, Counter>,
    owned_workers: Gauge,
    jobs: Gauge,
    waiting_tasks: Gauge,
    document_version: Gauge,
}

impl FleetMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::default(),
            submissions: Family::default(),
            answers: Family::default(),
            owned_workers: Gauge::default(),
            jobs: Gauge::default(),
            waiting_tasks: Gauge::default(),
            document_version: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Counts a submission.
    pub(crate) fn submitted(&self, queue: &str) {
        let queue = queue.to_owned();
        self.submissions.get_or_create(&QueueLabel { queue }).inc();
    }

    /// Counts an answer.
    pub(crate) fn answered(&self, outcome: JobOutcome) {
        let outcome = match outcome {
            JobOutcome::Completed => "completed",
            JobOutcome::Failed => "failed",
            JobOutcome::NotRun(_) => "not_run",
            JobOutcome::TimedOut => "timed_out",
        };
        self.answers.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    fn encode(&self, figures: Figures) -> String {
        self.owned_workers.set(figures.owned_workers.into());
        self.jobs.set(figures.jobs.into());
        self.waiting_tasks.set(figures.waiting_tasks.into());
        let version = i64::try_from(figures.document_version).unwrap_or(i64::MAX);
        self.document_version.set(version);
        metrics::encode(&self.registry)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "hornbeam_fleet_submissions",
            "Jobs submitted, by queue",
            self.submissions.clone(),
        );
        registry.register(
            "hornbeam_fleet_answers",
            "Answers to submitted jobs, by outcome",
            self.answers.clone(),
        );
        registry.register(
            "hornbeam_fleet_owned_workers",
            "Guarded workers that this host owns",
            self.owned_workers.clone(),
        );
        registry.register("hornbeam_fleet_jobs", "Jobs in progress", self.jobs.clone());
        registry.register(
            "hornbeam_fleet_waiting_tasks",
            "Tasks that wait for room",
            self.waiting_tasks.clone(),
        );
        registry.register(
            "hornbeam_fleet_document_version",
            "Version of the published document in force",
            self.document_version.clone(),
        );
    }
}

/// Builds the router of the metrics.
pub(crate) fn router(metrics: &Arc<FleetMetrics>, shell: &EntryHandle) -> Router {
    let metrics = Arc::clone(metrics);
    let shell = shell.clone();
    Router::new().fallback(move |_request: Request| {
        let metrics = Arc::clone(&metrics);
        let shell = shell.clone();
        async move {
            match shell.ask(EntryInput::Figures).await {
                Ok(figures) => reply::text(OK, metrics.encode(figures)),
                Err(cause) => reply::text(UNAVAILABLE, cause.to_string()),
            }
        }
    })
}
