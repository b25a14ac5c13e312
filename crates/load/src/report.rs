//! Results of a run and the comparison of two.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

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
    pub messages: BTreeMap<String, u64>,
    /// Exchange messages (task exchanges and chunks) per task.
    pub messages_per_task: f64,
}

/// Gets the ratios of the figures of two runs, candidate over baseline, by
/// name. A figure that is 0 in both has the ratio 1; one that is 0 only in the
/// baseline has an infinite one.
pub fn compare(baseline: &LoadReport, candidate: &LoadReport) -> Vec<(&'static str, f64)> {
    let before = figures(baseline);
    let after = figures(candidate);
    let ratios = before.iter().zip(after);
    ratios
        .map(|((name, before), (_, after))| (*name, ratio(*before, after)))
        .collect()
}

fn ratio(before: f64, after: f64) -> f64 {
    if before == after { 1.0 } else { after / before }
}

/// Gets the figures that are worth comparing, by name.
fn figures(report: &LoadReport) -> [(&'static str, f64); 10] {
    let share = |jobs: u64| jobs as f64 / report.jobs.max(1) as f64;
    [
        ("complete_share", share(report.complete)),
        ("failed_share", share(report.failed)),
        ("refused_share", share(report.refused)),
        ("goodput_tasks_per_s", report.goodput_tasks_per_s),
        ("ratio_p50", report.ratio_p50),
        ("ratio_p99", report.ratio_p99),
        ("ratio_max", report.ratio_max),
        ("response_ms_p50", report.response_ms_p50),
        ("response_ms_p99", report.response_ms_p99),
        ("messages_per_task", report.messages_per_task),
    ]
}
