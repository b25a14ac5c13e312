//! A system of separate processes under load, with crashes, and checks of its
//! settings.

mod harness;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use harness::requests::{announcement, change, files, standin_options};
use harness::{Processes, WAIT_TIMEOUT, wait_until};
use hornbeam_core::Result;
use hornbeam_core::api::caller::{Outcome, SubmitAnswer, SubmitRequest, TaskSpec};
use hornbeam_core::api::operator::{ChangeOutcome, ChangeRequest, EntryStatus};
use hornbeam_core::ids::TaskId;
use hornbeam_http::Reply;
use hornbeam_standin::{StandinOptions, StandinServer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

const BASE_CONFIG: &str = r#"
site = "test"
failure_domains = ["fd-a", "fd-b"]
entry_hosts = 4

[services.parish-orders]
institution = "wickmaratne"

[institutions.wickmaratne]
max_queue_ms = 20000

[institutions.wickmaratne.teams.orders]
quota_slots = 4000
"#;
const JOBS: usize = 20;
const TASKS: usize = 200;
const SERVERS_PER_ENTRY: usize = 4;
const SEED: u64 = 7;
/// Time from the submission of the second batch of jobs to the kills, well before
/// the batch ends.
const KILL_AFTER: Duration = Duration::from_millis(300);
/// Time limit for the answer to a job, above the timeout of the job.
const JOB_ANSWER_TIMEOUT: Duration = Duration::from_secs(18);

/// `Submitted` is a job with the reply to its caller.
struct Submitted {
    request: SubmitRequest,
    entry: SocketAddr,
    reply: Result<Reply<SubmitAnswer>>,
}

impl Submitted {
    /// Whether the answer has the results of all tasks of this job in order.
    fn is_complete(&self) -> bool {
        let Ok(reply) = &self.reply else {
            return false;
        };
        let answer = &reply.body;
        let job_id = answer.job_id.clone().unwrap_or_default();
        let tasks = answer.results.iter().enumerate();
        reply.status == 200
            && answer.outcome == Outcome::Complete
            && answer.request_id == self.request.request_id
            && answer.results.len() == self.request.tasks.len()
            && tasks.fold(true, |complete, (index, result)| {
                complete && result.output == format!("{job_id}/{index}")
            })
    }

    /// Whether the answer reports a failure with a reason and without results.
    fn is_explicit_failure(&self) -> bool {
        let Ok(reply) = &self.reply else {
            return false;
        };
        let answer = &reply.body;
        answer.outcome != Outcome::Complete
            && answer.reason.is_some()
            && answer.request_id == self.request.request_id
            && answer.results.is_empty()
    }

    fn describe(&self) -> String {
        let described = self.reply.as_ref().map(|reply| {
            let answer = &reply.body;
            (reply.status, answer.reason, answer.message.clone())
        });
        format!("{}: {described:?}", self.request.request_id)
    }
}

/// Guards against lost, duplicate or mixed-up tasks between separate processes,
/// against a killed host that causes other hosts to fail, and against a daemon
/// that does not exit with 0 after SIGTERM or an operator's drain.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn separate_processes_answer_every_job_whole_and_survive_kills() {
    let mut system = Processes::start();
    apply_initial_config(&system).await;
    let servers = start_servers(&system).await;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);

    for job in submit_jobs(&system, &mut rng, "first").join_all().await {
        expect_that!(job.is_complete(), eq(true), "{}", job.describe());
    }
    expect_that!(starts(&servers).len(), eq(JOBS * TASKS));

    let running = submit_jobs(&system, &mut rng, "second");
    tokio::time::sleep(KILL_AFTER).await;
    let killed = system.entries[0].http;
    system.entries[0].kill();
    system.controls[0].kill();
    for job in running.join_all().await {
        // Callers of the killed host lose their connection.
        let is_expected = job.is_complete() || job.is_explicit_failure() || job.entry == killed;
        expect_that!(is_expected, eq(true), "{}", job.describe());
    }

    system.entries.remove(0);
    wait_for_servers(&system, servers.len()).await;
    for job in submit_jobs(&system, &mut rng, "third").join_all().await {
        expect_that!(job.is_complete(), eq(true), "{}", job.describe());
    }
    let starts = starts(&servers);
    let distinct: HashSet<&TaskId> = starts.iter().collect();
    expect_that!(distinct.len(), eq(starts.len()));

    for server in servers {
        server.leave().await;
    }
    stop_all(&mut system).await;
}

/// Guards against findings about settings that are reported one at a time or
/// without their source.
#[gtest]
fn all_findings_about_settings_are_reported_together() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_hornbeamd"))
        .env("HORNBEAM_SEED", "x")
        .args([
            "--role",
            "entry",
            "--http-listen=0.0.0.0:1",
            "--control-hosts",
            "1",
        ])
        .output()
        .expect("an ended process");
    expect_that!(output.status.code(), some(eq(2)));
    let findings = String::from_utf8_lossy(&output.stderr);
    for place in [
        "HORNBEAM_SEED: ",
        "--http-listen: ",
        "--control-hosts: ",
        "--host-id or HORNBEAM_HOST_ID: ",
        "--link-listen or HORNBEAM_LINK_LISTEN: ",
        "--failure-domain or HORNBEAM_FAILURE_DOMAIN: ",
    ] {
        expect_that!(findings, contains_substring(place));
    }
}

/// Guards against a link address that other hosts can reach without a
/// credential.
#[gtest]
fn exposed_links_need_a_credential() {
    let run = |listen: &str| {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_hornbeamd"))
            .env_clear()
            .args(["--role", "entry", "--host-id", "e", "--seed", "none"])
            .args(["--failure-domain", "fd-a", "--http-listen", "127.0.0.1:0"])
            .args(["--link-listen", listen])
            .output()
            .expect("the binary runs");
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    let place = "--link-credential-file";
    expect_that!(run("192.0.2.1:7000"), contains_substring(place));
    expect_that!(run("127.0.0.1:7000"), not(contains_substring(place)));
}

/// Puts the first configuration in force and waits for it on all entry hosts.
async fn apply_initial_config(system: &Processes) {
    for control in &system.controls {
        system.wait_ready(control.http).await;
    }
    let request = ChangeRequest {
        content: files(BASE_CONFIG, ""),
        ..change("first", 0, "")
    };
    // A control host that is not the leader forwards the change to the leader.
    let address = system.controls[2].http;
    // The change id makes it safe to send the change again while there is no leader.
    wait_until("the first configuration", async || {
        let path = "/v1/config/changes";
        let reply: Reply<ChangeOutcome> = system.post(address, path, &request).await;
        reply.body == ChangeOutcome::Accepted { version: 1 }
    })
    .await;
    for entry in &system.entries {
        system.wait_ready(entry.http).await;
    }
}

/// Starts backend servers that prefer the entry hosts of their failure domain.
async fn start_servers(system: &Processes) -> Vec<StandinServer> {
    let mut servers = Vec::new();
    for (index, entry) in system.entries.iter().enumerate() {
        for number in 0..SERVERS_PER_ENTRY {
            let id = format!("s-{index}-{number}");
            let options = StandinOptions {
                entry_hosts: system.entries.iter().map(|entry| entry.http).collect(),
                seed: (index * SERVERS_PER_ENTRY + number) as u64,
                ..standin_options(announcement(&id, &entry.failure_domain))
            };
            servers.push(StandinServer::start(options).await.expect("a server"));
        }
    }
    wait_for_servers(system, servers.len()).await;
    servers
}

/// Waits until running entry hosts hold the leases of all backend servers.
async fn wait_for_servers(system: &Processes, count: usize) {
    wait_until("a lease of every server", async || {
        let mut leased = 0;
        for entry in &system.entries {
            let status = system
                .client
                .get(entry.http, "/v1/status", WAIT_TIMEOUT)
                .await;
            let status: Reply<EntryStatus> = status.expect("a status");
            leased += status.body.servers as usize;
        }
        leased == count
    })
    .await;
}

/// Submits jobs to random entry hosts concurrently.
fn submit_jobs(system: &Processes, rng: &mut ChaCha8Rng, name: &str) -> JoinSet<Submitted> {
    let mut running = JoinSet::new();
    for number in 0..JOBS {
        let index = rng.random_range(0..system.entries.len());
        let entry = system.entries[index].http;
        let client = system.client.clone();
        let request = job(format!("{name}-{number}"), rng);
        running.spawn(async move {
            let reply = client
                .post(entry, "/v1/jobs", &request, JOB_ANSWER_TIMEOUT)
                .await;
            Submitted {
                request,
                entry,
                reply,
            }
        });
    }
    running
}

/// Builds a job of tasks of 5 to 50 ms.
fn job(request_id: String, rng: &mut ChaCha8Rng) -> SubmitRequest {
    let mut task = || TaskSpec {
        run_ms: rng.random_range(5..=50),
        ..TaskSpec::default()
    };
    SubmitRequest {
        request_id,
        institution: "wickmaratne".into(),
        team: "orders".into(),
        service: "parish-orders".into(),
        repeatable: true,
        timeout_ms: 15_000,
        valid_until_unix_ms: None,
        tasks: (0..TASKS).map(|_| task()).collect(),
    }
}

/// Gets every task start that the backend servers recorded.
fn starts(servers: &[StandinServer]) -> Vec<TaskId> {
    let records = servers.iter().flat_map(StandinServer::starts);
    records.map(|record| record.task).collect()
}

/// Drains one entry host by an operator's request and stops the other processes
/// by SIGTERM; all of them must exit with 0.
async fn stop_all(system: &mut Processes) {
    let drained = system.entries[0].http;
    let reply: Reply<serde_json::Value> = system.post(drained, "/v1/drain", &()).await;
    expect_that!(reply.status, eq(200));
    let others = system.entries[1..].iter().chain(&system.controls[1..]);
    others.for_each(|daemon| daemon.terminate());
    for daemon in system.entries.iter_mut().chain(&mut system.controls[1..]) {
        expect_that!(daemon.wait_for_exit().await.code(), some(eq(0)));
    }
}
