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
    /// Complete jobs.
    pub complete: u64,
    /// Failed jobs.
    pub failed: u64,
    /// Refused jobs.
    pub refused: u64,
    /// Jobs without an answer from their entry host.
    pub unanswered: u64,
    /// Jobs whose answer was incomplete or belonged to another request; must be 0.
    pub wrong: u64,
    /// Tasks of complete jobs per second of the run.
    pub goodput_tasks_per_s: f64,
    /// Ratio of response time to ideal response time of complete jobs, 50th
    /// percentile.
    pub ratio_p50: f64,
    /// The same ratio, 99th percentile.
    pub ratio_p99: f64,
    /// The same ratio, maximum.
    pub ratio_max: f64,
    /// Response time of complete jobs in ms, 50th percentile.
    pub response_ms_p50: f64,
    /// Response time of complete jobs in ms, 99th percentile.
    pub response_ms_p99: f64,
    /// Response time of refusals in ms, 99th percentile.
    pub refusal_ms_p99: f64,
    /// Maximum delay of a submission after its scheduled time, in ms. A large
    /// value means that the load generator itself was the bottleneck.
    pub schedule_lag_ms_max: f64,
    /// Duration of the run in ms.
    pub elapsed_ms: u64,
    /// Messages counted by the entry hosts during the run, by kind.
    pub messages: BTreeMap<String, u64>,
    /// Messages of task exchanges and chunks per task of complete jobs.
    pub messages_per_task: f64,
}

/// Gets the ratios of the figures of two runs, candidate over baseline, by
/// name. The ratio is 1 if both figures are 0, and infinite if only the baseline
/// is 0.
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

/// Gets the compared figures by name.
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
