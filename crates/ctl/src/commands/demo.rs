//! `hornbeam demo`: runs every role in one process and submits one job.

mod cluster;

use std::time::{Duration, Instant};

use bpaf::{Parser, construct};
use eyre::{Result, ensure, eyre};
use hornbeam_core::api::caller::{Outcome, SubmitAnswer, SubmitRequest, TaskSpec};
use hornbeam_core::api::operator::{
    AuditEntry, ChangeContent, ChangeOutcome, ChangeRequest, CheckRequest, EntryStatus, SourceFile,
};
use hornbeam_core::ids::{ConfigVersion, TaskId};
use serde::Serialize;

use crate::change::{RetryLimits, send_until_known};
use crate::client::ApiClient;
use crate::commands::{history, submit};
use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::input::unique_id;
use crate::output;
use crate::progress::Progress;

use cluster::{Cluster, STANDIN_COUNT};

/// Number of tasks of the job.
const TASK_COUNT: u32 = 40;
/// Run time of the shortest task, in ms.
const SHORTEST_TASK_MS: u64 = 50;
/// Difference in run time between consecutive tasks, in ms.
const TASK_STEP_MS: u64 = 5;
/// Timeout of the job, in ms.
const JOB_TIMEOUT_MS: u64 = 10_000;
/// Interval between two polls of the hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls of the hosts before the demo gives up, 15 s in total.
const POLL_LIMIT: u32 = 300;
/// Delay of two status intervals of the entry hosts, after which they know each
/// other's free slots.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Operator name in the audit trail of the demo.
const OPERATOR: &str = "demo";

/// `Demo` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Demo {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
}

/// `DemoReport` is the printed result of the demo.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct DemoReport {
    config_version: ConfigVersion,
    answer: SubmitAnswer,
    response_ms: f64,
    ideal_ms: u64,
    response_over_ideal: f64,
    tasks: u32,
    starts: usize,
    audit_trail: Vec<AuditEntry>,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Demo> {
    let globals = globals();
    construct!(Demo { globals })
        .to_options()
        .descr(
            "Runs a control host, two entry hosts and stand-in backend servers in one process, \
             applies a built-in configuration, and runs one job",
        )
        .footer("Example:\n\n      hornbeam demo\n      hornbeam demo --output json")
        .command("demo")
        .help("Run every role in one process")
}

impl Demo {
    /// Runs the demo and stops all roles.
    ///
    /// # Errors
    /// If a role cannot be started, the job does not complete, or the recorded
    /// task starts differ from the tasks of the job.
    pub(crate) async fn run(self) -> Result<Exit> {
        let credential = unique_id("credential");
        let progress = Progress::start("running the demo");
        let report = run_cluster(&credential).await;
        progress.finish().await;
        output::print_result(self.globals.output, &report?, text)?;
        Ok(Exit::Ok)
    }
}

async fn run_cluster(credential: &str) -> Result<DemoReport> {
    let cluster = Cluster::start(credential).await?;
    let report = run_job(&cluster, credential).await;
    cluster.stop().await;
    report
}

async fn run_job(cluster: &Cluster, credential: &str) -> Result<DemoReport> {
    let control = cluster.control_api(credential)?;
    let entry = cluster.entry_api(Duration::from_millis(JOB_TIMEOUT_MS))?;
    let config_version = apply(&control).await?;
    wait_until_ready(&entry, config_version).await?;
    let request = job();
    let started = Instant::now();
    let answer: SubmitAnswer = entry.post("/v1/jobs", &request).await?.body;
    let response = started.elapsed();
    let starts = check_starts(cluster, &answer)?;
    // All tasks fit into the slots at once, so the ideal response time is the
    // run time of the longest task.
    let ideal_ms = request
        .tasks
        .iter()
        .map(|task| task.run_ms)
        .max()
        .unwrap_or(1);
    let response_ms = response.as_secs_f64() * 1_000.0;
    Ok(DemoReport {
        config_version,
        answer,
        response_ms,
        ideal_ms,
        response_over_ideal: response_ms / ideal_ms as f64,
        tasks: TASK_COUNT,
        starts,
        audit_trail: history::entries(&control, None, None).await?,
    })
}

async fn apply(control: &ApiClient) -> Result<ConfigVersion> {
    let file = |name: &str, text: &str| SourceFile {
        name: name.into(),
        text: text.into(),
    };
    let change = ChangeRequest {
        expected_version: 0,
        change_id: unique_id("change"),
        operator: OPERATOR.into(),
        reason: "configuration of the demo".into(),
        content: ChangeContent::Files(CheckRequest {
            base: file(
                "config/base.toml",
                include_str!("../../../../config/base.toml"),
            ),
            overlay: file(
                "config/sites/dala.toml",
                include_str!("../../../../config/sites/dala.toml"),
            ),
        }),
    };
    match send_until_known(control, &change, RetryLimits::default()).await? {
        ChangeOutcome::Accepted { version } => Ok(version),
        other => Err(eyre!("the configuration was not accepted: {other:?}")),
    }
}

/// Waits until every entry host has the configuration and all stand-ins have a
/// lease.
async fn wait_until_ready(entry: &ApiClient, version: ConfigVersion) -> Result<()> {
    let mut statuses = Vec::new();
    for _ in 0..POLL_LIMIT {
        statuses.clear();
        for &address in entry.addresses() {
            // A host that does not answer yet is polled again.
            statuses.extend(
                entry
                    .get_from::<EntryStatus>(address, "/v1/status")
                    .await
                    .ok(),
            );
        }
        let current = statuses
            .iter()
            .filter(|status| status.config_version >= version);
        let servers: u32 = statuses.iter().map(|status| status.servers).sum();
        if current.count() == entry.addresses().len() && servers == STANDIN_COUNT {
            tokio::time::sleep(SETTLE_TIME).await;
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(eyre!(
        "the entry hosts did not become ready; last statuses: {statuses:?}"
    ))
}

fn job() -> SubmitRequest {
    let task = |index: u32| TaskSpec {
        run_ms: SHORTEST_TASK_MS + TASK_STEP_MS * u64::from(index),
        ..TaskSpec::default()
    };
    SubmitRequest {
        request_id: unique_id("request"),
        institution: "dala".into(),
        team: "orders".into(),
        service: cluster::SERVICE.into(),
        repeatable: true,
        timeout_ms: JOB_TIMEOUT_MS,
        valid_until_unix_ms: None,
        tasks: (0..TASK_COUNT).map(task).collect(),
    }
}

/// Checks that the answer is complete and that the stand-ins started each task
/// exactly once. Returns the number of starts.
fn check_starts(cluster: &Cluster, answer: &SubmitAnswer) -> Result<usize> {
    ensure!(
        answer.outcome == Outcome::Complete,
        "the job did not complete: {}",
        submit::text(answer)
    );
    let job_id = answer.job_id.clone().unwrap_or_default();
    let expected: Vec<TaskId> = (0..TASK_COUNT)
        .map(|index| (job_id.clone(), index))
        .collect();
    let results: Vec<u32> = answer.results.iter().map(|result| result.index).collect();
    ensure!(
        results.iter().copied().eq(0..TASK_COUNT),
        "the answer has results {results:?}, expected one of each task in order"
    );
    let mut starts = cluster.starts();
    starts.sort();
    ensure!(
        starts == expected,
        "the stand-ins started {starts:?}, expected one start of each of {TASK_COUNT} tasks"
    );
    Ok(starts.len())
}

fn text(report: &DemoReport) -> String {
    format!(
        "configuration: version {}\n\
         job: complete, {} results, {} starts recorded by the stand-ins for {} tasks\n\
         response: {:.1} ms, ideal {} ms, response over ideal {:.3}\n\
         audit trail:\n{}",
        report.config_version,
        report.answer.results.len(),
        report.starts,
        report.tasks,
        report.response_ms,
        report.ideal_ms,
        report.response_over_ideal,
        history::text(&report.audit_trail),
    )
}
