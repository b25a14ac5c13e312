//! One load run and the comparison of two.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::Result;
use hornbeam_core::ids::{InstitutionId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};

/// `LoadOptions` are the settings of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Entry hosts; jobs go to a random one each. No default.
    pub entry_hosts: Vec<SocketAddr>,
    /// Institution of the jobs.
    pub institution: InstitutionId,
    /// Teams of the jobs, used in turn.
    pub teams: Vec<TeamId>,
    /// Service of the jobs.
    pub service: ServiceId,
    /// Jobs to submit in all; default 100.
    pub jobs: u32,
    /// Mean task starts a second that the arrivals ask for; default 100.
    pub task_rate: f64,
    /// Tasks per job, uniform between both; default 1 to 20.
    pub tasks_per_job: (u32, u32),
    /// Task length in ms, log-uniform between both; default 50 to 1000.
    pub task_ms: (u64, u64),
    /// Share of tasks that take 3 to 5 s instead; default 0.
    pub long_share: f64,
    /// Factor by which the arrival rate rises in bursts; default 1 (none).
    pub burst_factor: f64,
    /// Period of the bursts, each a tenth of it long; default 10 s.
    pub burst_period: Duration,
    /// Factor by which declared run times are wrong at random, up or down;
    /// default 1 (exact).
    pub declared_error: f64,
    /// Share of jobs marked as not repeatable; default 0.
    pub not_repeatable_share: f64,
    /// Time that callers wait; default 30 s.
    pub timeout: Duration,
    /// Network round trips in the ideal, added to the longest task; default
    /// two round trips of zero.
    pub ideal_network: Duration,
    /// Seed of arrivals, sizes and lengths; default 0.
    pub seed: u64,
}

/// `LoadReport` is the result of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct LoadReport {
    /// Jobs submitted.
    pub jobs: u64,
    /// Tasks submitted.
    pub tasks: u64,
    /// Jobs by outcome.
    pub complete: u64,
    /// Failed jobs.
    pub failed: u64,
    /// Refused jobs.
    pub refused: u64,
    /// Jobs whose entry host gave no answer.
    pub unanswered: u64,
    /// Jobs whose answer was not whole or not its own; must be 0.
    pub wrong: u64,
    /// Tasks of complete jobs per second of the run.
    pub goodput_tasks_per_s: f64,
    /// Response over ideal of complete jobs.
    pub ratio_p50: f64,
    /// Its 99th percentile.
    pub ratio_p99: f64,
    /// Its maximum.
    pub ratio_max: f64,
    /// Response time of complete jobs in ms, 50th percentile.
    pub response_ms_p50: f64,
    /// Its 99th percentile.
    pub response_ms_p99: f64,
    /// Response time of refusals in ms, 99th percentile.
    pub refusal_ms_p99: f64,
    /// Largest lag of a submission behind its scheduled time, in ms; a large
    /// one means that the load tool itself was the bottleneck.
    pub schedule_lag_ms_max: f64,
    /// Length of the run in ms.
    pub elapsed_ms: u64,
    /// Messages counted by the entry hosts during the run, by kind.
    pub messages: std::collections::BTreeMap<String, u64>,
    /// Exchange messages (task exchanges and chunks) per task.
    pub messages_per_task: f64,
}

/// Runs the load.
///
/// # Errors
/// `Io` if no entry host can be reached at the start.
pub async fn run(options: LoadOptions) -> Result<LoadReport> {
    let _ = options;
    Ok(LoadReport::default())
}

/// Gets the ratios of the figures of two runs, by name.
pub fn compare(baseline: &LoadReport, candidate: &LoadReport) -> Vec<(&'static str, f64)> {
    let _ = (baseline, candidate);
    Vec::new()
}
