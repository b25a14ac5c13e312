//! Golden files of whole sessions of a caller, of operators and of a backend
//! server. `UPDATE_GOLDENFILES=1` regenerates them.

mod harness;

use std::net::SocketAddr;

use goldenfile::Mint;
use googletest::prelude::*;
use harness::requests::{BASE_CONFIG, announcement, change, files, job, standin_options};
use harness::site::Site;
use harness::{Layout, WAIT_TIMEOUT, wait_until};
use hornbeam_core::api::operator::{ChangeContent, ChangeRequest};
use hornbeam_http::{HttpClient, Reply};
use hornbeam_standin::{FaultPlan, StandinServer};
use serde::Serialize;
use serde_json::{Value, json};

/// Fields whose values are replaced because they differ between runs.
const TIME_FIELDS: [&str; 3] = ["elapsed_ms", "proposed_unix_ms", "valid_until_unix_ms"];
/// Smaller values are constants of a test and the same in each run.
const MIN_WALL_CLOCK_MS: u64 = 1_000_000_000_000;

/// Size of a body above the limit of an entry host.
const TOO_LARGE_BYTES: usize = 41 << 20;

/// `Session` records all requests and answers as text.
struct Session {
    client: HttpClient,
    text: String,
}

impl Session {
    fn new(client: &HttpClient) -> Self {
        Self {
            client: client.clone(),
            text: String::new(),
        }
    }

    /// Starts a section of the session.
    fn section(&mut self, name: &str) {
        self.text.push_str(&format!("# {name}\n"));
    }

    /// Sends a request, records it with its answer, and returns the answer.
    async fn post<Q: Serialize>(&mut self, to: SocketAddr, path: &str, body: &Q) -> Value {
        let body = serde_json::to_value(body).expect("a JSON value");
        let reply = self.client.post(to, path, &body, WAIT_TIMEOUT).await;
        let reply: Reply<Value> = reply.expect("an answer");
        self.record(&format!("> POST {path}"), &body);
        self.record(&format!("< {}", reply.status), &reply.body);
        reply.body
    }

    /// Sends a GET request and records it with its answer.
    async fn get(&mut self, from: SocketAddr, path: &str) {
        let reply = self.client.get(from, path, WAIT_TIMEOUT).await;
        let reply: Reply<Value> = reply.expect("an answer");
        self.text.push_str(&format!("> GET {path}\n"));
        self.record(&format!("< {}", reply.status), &reply.body);
    }

    fn record(&mut self, head: &str, body: &Value) {
        let mut body = body.clone();
        replace_times(&mut body);
        let mut text = serde_json::to_string_pretty(&body).expect("a JSON text");
        // Entry hosts generate job ids; other ids are constants of a test.
        let job = body.get("job_id").and_then(Value::as_str);
        if let Some(job) = job.filter(|job| job.contains("entry-")) {
            text = text.replace(job, "<job>");
        }
        self.text.push_str(&format!("{head}\n{text}\n"));
    }

    /// Compares the text with the golden file.
    fn compare(self, name: &str) {
        use std::io::Write;
        let mut mint = Mint::new("tests/golden");
        let mut golden = mint.new_goldenfile(name).expect("a golden file");
        golden
            .write_all(self.text.as_bytes())
            .expect("a written file");
    }
}

/// Replaces times that differ between runs, among them the measured `run_ms`
/// of a task, which is next to its output.
fn replace_times(value: &mut Value) {
    match value {
        Value::Array(values) => values.iter_mut().for_each(replace_times),
        Value::Object(fields) => {
            if fields.contains_key("output") && fields["run_ms"] != 0 {
                fields["run_ms"] = json!("<time>");
            }
            for name in TIME_FIELDS {
                let Some(time) = fields.get_mut(name) else {
                    continue;
                };
                if name == "elapsed_ms" || time.as_u64() >= Some(MIN_WALL_CLOCK_MS) {
                    *time = json!("<time>");
                }
            }
            fields.values_mut().for_each(replace_times);
        }
        _ => {}
    }
}

/// Starts one control host and one entry host without backend servers.
async fn small_site() -> Site {
    Site::start(&Layout::small(&["fd-a"]), 0, 4).await
}

/// Guards against changes of a caller's requests and answers: a complete job,
/// each refusal with its findings and their places, and failures.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_callers_session() {
    let mut site = small_site().await;
    let entry = site.system.entries[0].http;
    let mut session = Session::new(&site.system.client);
    session.section("Refused: no backend server is known.");
    session
        .post(entry, "/v1/jobs", &job("no-server", 1, 5))
        .await;

    site.start_server("s-1", 0, 4, 1).await;
    site.wait_for_servers(1).await;
    // No task has run yet, so the estimates are the declared times.
    session.section("Refused: too late because of the queue, then because of the quota.");
    let long = |id: &str| {
        let mut request = job(id, 12, 1_000);
        request.timeout_ms = 2_500;
        request
    };
    session.post(entry, "/v1/jobs", &long("queue")).await;
    let quota = "[institutions.wickmaratne.teams.orders]\nquota_slots = 4";
    site.submit_change(0, &change("quota", 1, quota)).await;
    wait_until("the quota", async || {
        site.status(0).await.config_version == 2
    })
    .await;
    session.post(entry, "/v1/jobs", &long("quota")).await;
    site.submit_change(0, &change("no-quota", 2, "")).await;
    wait_until("the quota", async || {
        site.status(0).await.config_version == 3
    })
    .await;

    session.section("Complete.");
    session.post(entry, "/v1/jobs", &job("whole", 3, 5)).await;

    session.section("Refused: each problem with its place.");
    let bad = json!({
        "request_id": "bad id", "institution": "wickmaratne", "team": 5, "extra": true,
        "service": "parish-orders", "repeatable": false, "timeout_ms": "long",
        "tasks": [{ "run_ms": 1 }, { "run_ms": -1 }],
    });
    session.post(entry, "/v1/jobs", &bad).await;
    let limits = json!({
        "request_id": "limits", "institution": "wickmaratne", "team": "orders",
        "service": "parish-orders", "repeatable": false, "timeout_ms": 600_000, "tasks": [],
    });
    session.post(entry, "/v1/jobs", &limits).await;

    session.section("Refused: not configured, never runnable, expired.");
    let edited = |id: &str, edit: &dyn Fn(&mut Value)| {
        let mut request = serde_json::to_value(job(id, 1, 5)).expect("a JSON value");
        edit(&mut request);
        request
    };
    let unknown = edited("unknown", &|request| request["service"] = json!("other"));
    session.post(entry, "/v1/jobs", &unknown).await;
    let huge = edited("huge", &|request| {
        request["tasks"][0]["memory_mib"] = json!(90_000)
    });
    session.post(entry, "/v1/jobs", &huge).await;
    let once = |id: &str| edited(id, &|request| request["repeatable"] = json!(false));
    let mut expired = once("expired");
    expired["valid_until_unix_ms"] = json!(1_000);
    session.post(entry, "/v1/jobs", &expired).await;

    session.section("Refused: claimed before.");
    session.post(entry, "/v1/jobs", &once("once")).await;
    session.post(entry, "/v1/jobs", &once("once")).await;

    session.section("Failed: the deadline passed, a task failed, a task was stopped.");
    let slow = edited("slow", &|request| {
        request["timeout_ms"] = json!(300);
        request["tasks"][0]["payload"] = json!("{\"run_ms\":600}");
    });
    session.post(entry, "/v1/jobs", &slow).await;
    let standin = site.servers[0].standin.as_ref().expect("a running server");
    standin.set_faults(FaultPlan {
        fail: 1.0,
        ..FaultPlan::default()
    });
    session.post(entry, "/v1/jobs", &job("fails", 1, 5)).await;
    standin.set_faults(FaultPlan {
        stop: 1.0,
        ..FaultPlan::default()
    });
    session.post(entry, "/v1/jobs", &job("stopped", 1, 5)).await;
    standin.set_faults(FaultPlan {
        close_after_run: 1.0,
        ..FaultPlan::default()
    });
    session.section("Failed: the connection was lost after the task had started.");
    session.post(entry, "/v1/jobs", &job("lost", 1, 5)).await;

    standin.set_faults(FaultPlan::default());
    session.section("Refused: the body is too large, which is not noted here.");
    let large = json!({ "request_id": "large", "payload": "x".repeat(TOO_LARGE_BYTES) });
    let reply = session
        .client
        .post(entry, "/v1/jobs", &large, WAIT_TIMEOUT)
        .await;
    let reply: Reply<Value> = reply.expect("an answer");
    session.record(&format!("< {}", reply.status), &reply.body);

    session.section("Refused: no quorum for a claim.");
    site.system.controls[0].kill();
    let mut unclaimed = once("unclaimed");
    unclaimed["timeout_ms"] = json!(500);
    session.post(entry, "/v1/jobs", &unclaimed).await;

    session.section("Refused: draining, while another job is in flight.");
    let (client, in_flight) = (session.client.clone(), job("in-flight", 1, 1_500));
    let started = standin.starts().len();
    let running = tokio::spawn(async move {
        let reply: hornbeam_core::Result<Reply<Value>> = client
            .post(entry, "/v1/jobs", &in_flight, WAIT_TIMEOUT)
            .await;
        reply.expect("an answer").body
    });
    wait_until("a start", async || standin.starts().len() > started).await;
    session.post(entry, "/v1/drain", &()).await;
    session.post(entry, "/v1/jobs", &job("late", 1, 5)).await;
    let answer = running.await.expect("a joined task");
    session.record("< 200, of the job in flight", &answer);
    session.compare("caller.txt");
}

/// Guards against changes of operators' requests and answers: findings, an
/// accepted change, a conflict, a resend after a lost answer, a rollback and
/// the history.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_operators_session() {
    let site = small_site().await;
    let control = site.system.controls[0].http;
    let mut session = Session::new(&site.system.client);
    let files = |overlay: &str| match files(BASE_CONFIG, overlay) {
        ChangeContent::Files(files) => files,
        ChangeContent::Rollback(_) => panic!("a change of files"),
    };
    session.section("Check with findings, and without.");
    let bad =
        "entry_hosts = \"four\"\nfailure_domain = [\"fd-a\"]\n\n[institutions.other]\nweight = 0\n";
    session.post(control, "/v1/config/check", &files(bad)).await;
    session
        .post(control, "/v1/config/check", &files("entry_hosts = 2"))
        .await;

    let path = "/v1/config/changes";
    session.section("A change with findings, and an accepted one.");
    session.post(control, path, &change("bad", 1, bad)).await;
    session
        .post(control, path, &change("second", 1, "entry_hosts = 2"))
        .await;
    session.section("The other operator comes late with the same version.");
    let late = ChangeRequest {
        operator: "chathuri".into(),
        ..change("late", 1, "entry_hosts = 3")
    };
    session.post(control, path, &late).await;
    session.section("The answers were lost; each resend gets its first answer.");
    session
        .post(control, path, &change("second", 1, "entry_hosts = 2"))
        .await;
    session.post(control, path, &late).await;
    session.section("Rollback, then one to a version that never was.");
    let rollback = |id: &str, to: u64| ChangeRequest {
        content: ChangeContent::Rollback(to),
        reason: "second was wrong".into(),
        ..change(id, 2, "")
    };
    session.post(control, path, &rollback("back", 1)).await;
    session.post(control, path, &rollback("nowhere", 77)).await;
    session.get(control, "/v1/config").await;
    session.get(control, "/v1/config/history").await;
    session
        .get(control, "/v1/config/history?from_version=3")
        .await;
    session.compare("operators.txt");
}

/// Guards against changes of the messages between a backend server and an entry
/// host, and against a server that runs tasks of a stale grant or of another
/// incarnation, or runs tasks too late.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_backend_servers_session() {
    let site = small_site().await;
    let entry = site.system.entries[0].http;
    let mut session = Session::new(&site.system.client);
    let mut announced = announcement("s-1", "fd-a");
    announced.address = "127.0.0.1:1".into();
    let path = "/v1/backend/announce";
    session.section("Announce, renew, and announce with a stale grant.");
    announced.grant = 5;
    session.post(entry, path, &announced).await;
    session.post(entry, path, &announced).await;
    announced.grant = 4;
    session.post(entry, path, &announced).await;
    session.section("Withdraw.");
    let withdrawal = json!({ "server_id": "s-1", "incarnation": 1 });
    session
        .post(entry, "/v1/backend/withdraw", &withdrawal)
        .await;
    session.post(entry, path, &announced).await;

    let mut second_announcement = announcement("s-2", "fd-a");
    second_announcement.grant = 5;
    second_announcement.slots = 2;
    let options = standin_options(second_announcement);
    let standin = StandinServer::start(options).await.expect("a server");
    let address = standin.address();
    let batch = |job: &str, indexes: &[u32], run_ms: u64| {
        let tasks = indexes.iter();
        let tasks: Vec<_> = tasks
            .map(|index| json!({ "index": index, "payload": "", "run_ms": run_ms }))
            .collect();
        json!({
            "host_id": "entry-0", "incarnation": 1, "grant": 5, "job_id": job,
            "start_within_ms": 2_000, "tasks": tasks,
        })
    };
    let edited = |job: &str, field: &str, value: u64| {
        let mut batch = batch(job, &[0], 5);
        batch[field] = json!(value);
        batch
    };
    session.section("Tasks, one of them over the slots.");
    session
        .post(address, "/v1/tasks", &batch("j-1", &[0, 1, 2], 20))
        .await;
    session.section("Refusals: stale grant, another incarnation, late start.");
    session
        .post(address, "/v1/tasks", &edited("j-2", "grant", 4))
        .await;
    session
        .post(address, "/v1/tasks", &edited("j-3", "incarnation", 2))
        .await;
    session
        .post(address, "/v1/tasks", &edited("j-4", "start_within_ms", 0))
        .await;
    session.section("Cancel: finished, never started, and refused from then on; then running.");
    let cancel =
        |job: &str, tasks: &[u32]| json!({ "incarnation": 1, "job_id": job, "tasks": tasks });
    session
        .post(address, "/v1/tasks/cancel", &cancel("j-1", &[0, 2]))
        .await;
    session
        .post(address, "/v1/tasks", &batch("j-1", &[2], 5))
        .await;
    let started = standin.starts().len();
    let client = session.client.clone();
    let long = batch("j-5", &[0], 5_000);
    let running = tokio::spawn(async move {
        let reply: hornbeam_core::Result<Reply<Value>> =
            client.post(address, "/v1/tasks", &long, WAIT_TIMEOUT).await;
        reply.expect("an answer").body
    });
    wait_until("a start", async || standin.starts().len() > started).await;
    session
        .post(address, "/v1/tasks/cancel", &cancel("j-5", &[0]))
        .await;
    let stopped = running.await.expect("a joined task");
    session.record("< 200, of the running task", &stopped);
    expect_that!(standin.starts(), len(eq(3)));
    session.compare("backend_server.txt");
    standin.abort();
}
