//! Separate processes of the fleet roles: service without faults, repair of the
//! control group, rejected input, settings, metrics and logs.

mod harness;

use std::collections::BTreeSet;
use std::io::BufRead;
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use harness::fleet::{Fleet, FleetClient, FleetSize, network};
use hornbeam_http::{ClientOptions, HttpClient};
use hornbeam_platform::standin;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Time for a restarted control host to catch up before the next host is lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Timeout for every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Publishes a document at any control host; fails the test if none accepts it
/// within [`WAIT_TIMEOUT`].
async fn publish(fleet: &Fleet, version: u64) {
    let client = FleetClient::new();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        for control in fleet.control_addresses() {
            if client.publish(control, version, &[]).await {
                return;
            }
        }
        assert!(Instant::now() < deadline, "{}", fleet.log_tail(0, 20));
    }
}

/// Submits jobs until one completes.
async fn wait_until_served(fleet: &Fleet) {
    let client = FleetClient::new();
    let entries = fleet.caller_addresses();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    for job in 1.. {
        let to = entries[job % entries.len()];
        if let Some((200, _)) = client.submit(to, job as u64, 1, 20).await {
            return;
        }
        assert!(Instant::now() < deadline, "{}", fleet.log_tail(1, 20));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a system that fails jobs without faults: every job completes
/// soon after its work is done, from every entry host, with free capacity at
/// peers.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_complete_without_faults() {
    let size = FleetSize {
        controls: 3,
        entries: 2,
        workers: 6,
    };
    let fleet = Fleet::start(size, network(0)).await;
    publish(&fleet, 1).await;
    wait_until_served(&fleet).await;
    // Leaves time for the workers that report last to get an owner.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let client = FleetClient::new();
    let entries = fleet.caller_addresses();
    for job in 0..20_u64 {
        let to = entries[usize::try_from(job).expect("small") % entries.len()];
        let answer = client.submit(to, 1000 + job, 8, 100).await;
        assert_eq!(answer, Some((200, "completed".into())), "job {job}");
    }
    let runs = fleet.log.runs();
    let done = runs
        .iter()
        .filter(|run| matches!(run.ended, Some((_, "done"))))
        .count();
    assert!(done >= 160, "{done} runs are done");
}

/// Guards against a group that fails when a second control host is lost, after
/// the first one lost its disk and had time to catch up; twice in turn.
#[tokio::test(flavor = "multi_thread")]
async fn control_host_without_disk_votes_again_before_the_next_loss() {
    let size = FleetSize {
        controls: 3,
        entries: 1,
        workers: 0,
    };
    let mut fleet = Fleet::start(size, network(1)).await;
    publish(&fleet, 1).await;
    for (lost, next, version) in [(0, 1, 2), (1, 2, 3)] {
        fleet.kill(lost);
        fleet.delete_data_folder(lost);
        fleet.start_host(lost, false);
        tokio::time::sleep(CATCH_UP_TIME).await;
        fleet.kill(next);
        publish(&fleet, version).await;
        let client = FleetClient::new();
        let read = client.read_version(fleet.control_addresses()[lost]).await;
        assert_eq!(read, Some(version));
        if next == 1 {
            continue;
        }
        fleet.start_host(next, false);
    }
}

/// Guards against a malformed request that starts tasks, and against an answer
/// whose status does not match the fault.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_clear_answers() {
    let size = FleetSize {
        controls: 1,
        entries: 1,
        workers: 1,
    };
    let fleet = Fleet::start(size, network(2)).await;
    publish(&fleet, 1).await;
    wait_until_served(&fleet).await;
    let runs_before = fleet.log.runs().len();
    let client = HttpClient::new(ClientOptions::default()).expect("a client");
    let parse = |text: &str| serde_json::from_str::<Value>(text).expect("JSON");
    let job = || parse(&standin::job(1, 20));
    let mut large = job();
    large["more"] = "x".repeat(300_000).into();
    let good_path = "/orders/00000000000000aa";
    let cases = [
        (good_path, "orders.example", json!("no job"), 400),
        ("/orders/12", "orders.example", job(), 400),
        (good_path, "nowhere.example", job(), 404),
        ("/none/00000000000000aa", "orders.example", job(), 404),
        (
            good_path,
            "orders.example",
            parse(&standin::stored_job()),
            503,
        ),
        (good_path, "orders.example", large, 413),
    ];
    for (path, host, body, status) in cases {
        let to = fleet.caller_addresses()[0];
        let posting = client.post_for_bytes(to, path, ("host", host), &body, WAIT_TIMEOUT);
        let reply = posting.await.expect("an answer");
        assert_eq!(reply.status, status, "{path} at {host}");
    }
    assert_eq!(fleet.log.runs().len(), runs_before);
}

/// Posts a body that need not be valid JSON, and gets the status of the answer.
async fn post_text(to: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {to}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// Starts a worker that answers every request and runs nothing, and gets its address.
async fn start_idle_worker() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let answer = "{\"clockMs\":1000,\"running\":[],\"finished\":[]}";
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    answer.len()
                );
                // Requests are small, and one arrives after the answer to the other.
                let mut request = [0; 4096];
                while stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                    let answer = format!("{head}{answer}");
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against one odd status report, among those of sound workers, that ends
/// the processes that read it, or hides another worker.
#[tokio::test(flavor = "multi_thread")]
async fn odd_reports_end_no_process_and_hide_no_worker() {
    let size = FleetSize {
        controls: 1,
        entries: 1,
        workers: 1,
    };
    let fleet = Fleet::start(size, network(7)).await;
    publish(&fleet, 1).await;
    wait_until_served(&fleet).await;
    let report = |born: &str, seq: &str, address: &str, labels: &str| {
        format!(
            "{{\"service\":\"subscribe\",\"address\":\"{address}\",\"zone\":\"fd-a\",\"state\":\"ready\",\
             \"born\":{born},\"seq\":{seq},\"labels\":{labels},\
             \"capacity\":{{\"cpu\":16000,\"memMb\":1000}}}}"
        )
    };
    let nested = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    let unknown_field = format!("[], \"more\":{nested}");
    let good = "127.0.0.1:9";
    // A report is taken only if its worker is reached. No job fits this one.
    let reached = start_idle_worker().await.to_string();
    let with_unknown_field = report("1", "1", &reached, &unknown_field);
    let with_unknown_field = with_unknown_field.replace("\"cpu\":16000", "\"cpu\":1");
    let odd = [
        ("odd-1", report("1", "1", good, &nested), 400),
        ("odd-2", report("1e400", "1", good, "[]"), 400),
        (
            "odd-3",
            report("1", "18446744073709551616", good, "[]"),
            400,
        ),
        ("odd-4", report("1", "1", "127.0.0.1:65536", "[]"), 400),
        ("odd-5", report("1", "1", "127.0.0.1:0", "[]"), 400),
        ("odd-6", with_unknown_field, 200),
        ("odd-7", "[".repeat(100_000), 400),
        // No worker can have started then; the id is that of a sound worker.
        ("w-0", report("18446744073709551615", "1", good, "[]"), 503),
    ];
    let control = fleet.control_addresses()[0];
    for (worker, body, status) in &odd {
        let path = format!("/instances/{worker}/heartbeat");
        let answer = post_text(control, &path, body).await;
        let shown = &body[..body.len().min(200)];
        assert_eq!(answer, Some(*status), "{worker}: {shown}");
    }
    let client = FleetClient::new();
    for job in 1..=20 {
        let answer = client.submit(fleet.caller_addresses()[0], 0x1000 + job, 1, 20);
        let completed = Some((200, "completed".to_owned()));
        assert_eq!(answer.await, completed, "{}", fleet.log_tail(1, 20));
    }
}

/// Guards against a run for a caller that has closed its connection before its
/// request is read, for example while the host stood still. It may have sent the
/// job to another host since.
#[tokio::test(flavor = "multi_thread")]
async fn job_whose_caller_has_gone_is_not_started() {
    let size = FleetSize {
        controls: 1,
        entries: 1,
        workers: 1,
    };
    let fleet = Fleet::start(size, network(8)).await;
    publish(&fleet, 1).await;
    wait_until_served(&fleet).await;
    let runs_before = fleet.log.runs().len();
    let body = standin::job(1, 200);
    fleet.signal(1, "STOP");
    for job in 0..20 {
        let to = fleet.caller_addresses()[0];
        let mut stream = TcpStream::connect(to).await.expect("a connection");
        let request = format!(
            "POST /orders/{job:016x} HTTP/1.1\r\nhost: orders.example\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.expect("sent");
        drop(stream);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.signal(1, "CONT");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.log.runs().len(), runs_before);
}

fn run_hornbeamd(settings: &str) -> Output {
    let folder = tempfile::TempDir::new().expect("a folder");
    let path = folder.path().join("host.toml");
    std::fs::write(&path, settings).expect("a settings file");
    Command::new(env!("CARGO_BIN_EXE_hornbeamd"))
        .args(["--role", "fleet-entry", "--settings-file"])
        .arg(&path)
        .output()
        .expect("the binary runs")
}

/// Guards against a process that starts with an invalid settings file, or that
/// reports only the first finding.
#[test]
fn findings_of_a_settings_file_are_reported_together() {
    let output = run_hornbeamd(
        "[host]\nid = 7\nfailure_domain = \"a\"\naddress = \"10.0.0\"\nfirst_port = 70000\n\
         last_port = 7010\ncontrol_hosts = [\"10.0.0.1:7000\", \"nowhere\"]\nlater = true\n\
         [listen]\ncallers = \"10.0.0.2:1\"\n[terms]\nmax_lease_ms = 1000\n",
    );
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("text");
    let expected = [
        ":2:6: host.id: It must be a string, not integer.",
        ":4:11: host.address: It must be an IP address",
        ":5:14: host.first_port: It must be a port number",
        "host.control_hosts: `nowhere` is not an address of the form ip:port.",
        "listen.readiness: It is required.",
        "terms.stop_ms: It is required.",
    ];
    for finding in expected {
        assert!(text.contains(finding), "{finding} is missing in\n{text}");
    }
}

/// Guards against a syntax error that is reported without its position.
#[test]
fn syntax_of_a_settings_file_is_checked() {
    let output = run_hornbeamd("[host]\nid = \n");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.contains(":2:6: The syntax is not TOML"), "{text}");
}

/// Guards against a changed settings file that is not detected, with and without
/// a signal, and against an invalid one that stops the process.
#[tokio::test(flavor = "multi_thread")]
async fn changes_of_the_settings_file_are_logged() {
    let size = FleetSize {
        controls: 1,
        entries: 1,
        workers: 0,
    };
    let fleet = Fleet::start(size, network(3)).await;
    publish(&fleet, 1).await;
    fleet.signal(1, "HUP");
    wait_for_line(&fleet, "is unchanged").await;
    fleet.change_settings(1, |text| {
        text.replace("]\ndata_folder", ", \"127.9.9.9:7022\"]\ndata_folder")
    });
    wait_for_line(
        &fleet,
        "loaded the changed settings file; the control hosts are",
    )
    .await;
    fleet.change_settings(1, |text| text.replace("[listen]", "[listen"));
    wait_for_line(&fleet, "cannot load the settings file").await;
}

/// Guards against undocumented metrics of entry hosts, and against documented
/// metrics that do not exist.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_of_an_entry_host_are_documented() {
    let size = FleetSize {
        controls: 1,
        entries: 2,
        workers: 8,
    };
    let fleet = Fleet::start(size, network(4)).await;
    publish(&fleet, 1).await;
    wait_until_served(&fleet).await;
    let client = FleetClient::new();
    let to = fleet.caller_addresses()[0];
    // Causes more lines of one event per second than are logged.
    for round in 0..100_u64 {
        let mut jobs = JoinSet::new();
        for job in 0..8 {
            let client = client.clone();
            jobs.spawn(async move { client.submit(to, 1000 + 8 * round + job, 1, 1).await });
        }
        jobs.join_all().await;
    }
    let reading = client
        .http
        .get_text(fleet.metrics_address(1), "/metrics", WAIT_TIMEOUT);
    let text = reading.await.expect("metrics").body;
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported: BTreeSet<String> = types.map(|line| line.replace(' ', "` | ")).collect();
    let page = include_str!("../../../docs/METRICS.md");
    let (_, section) = page
        .split_once("## Entry host of guarded workers")
        .expect("a section");
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    let kind_end = |row: &str| row.match_indices(" |").nth(1).map(|(at, _)| at);
    let documented: BTreeSet<String> = rows
        .filter_map(|row| kind_end(row).map(|end| row[..end].to_owned()))
        .collect();
    assert_eq!(exported, documented, "{text}");
}

/// Number of rejected requests, each of which logs one line: more than a pipe and
/// the queue of the logger hold.
const REJECTED_REQUESTS: usize = 6000;

/// Number of tasks that send the rejected requests.
const SENDER_TASKS: usize = 20;

/// Sends a job and returns the status of the answer.
async fn post_job(client: &FleetClient, to: SocketAddr, path: &str, body: &Value) -> u16 {
    let header = ("host", "orders.example");
    let posting = client
        .http
        .post_for_bytes(to, path, header, body, WAIT_TIMEOUT);
    posting.await.expect("an answer").status
}

/// Sends a request that is rejected.
async fn reject(client: &FleetClient, to: SocketAddr) {
    assert_eq!(
        post_job(client, to, "/orders/12", &json!("no job")).await,
        400
    );
}

/// Guards against a host that blocks on a slow log reader, queues an unlimited
/// number of lines for it, or does not report how many lines it dropped.
#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_of_the_log_delays_no_job() {
    let size = FleetSize {
        controls: 1,
        entries: 1,
        workers: 2,
    };
    let mut fleet = Fleet::start(size, network(5)).await;
    publish(&fleet, 1).await;
    wait_until_served(&fleet).await;
    fleet.kill(1);
    let log = fleet.start_host_with_unread_log(1);
    wait_until_served(&fleet).await;
    let client = FleetClient::new();
    let to = fleet.caller_addresses()[0];
    let mut rejections = JoinSet::new();
    for _ in 0..SENDER_TASKS {
        let client = client.clone();
        rejections.spawn(async move {
            for _ in 0..REJECTED_REQUESTS / SENDER_TASKS {
                reject(&client, to).await;
            }
        });
    }
    rejections.join_all().await;
    let answer = client.submit(to, 7, 2, 20).await;
    assert_eq!(answer, Some((200, "completed".into())));
    let lines = std::io::BufReader::new(log).lines();
    let reading = std::thread::spawn(move || {
        let dropped = |line: &String| line.contains("because the log reader is too slow");
        lines.map_while(Result::ok).find(dropped)
    });
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !reading.is_finished() && Instant::now() < deadline {
        reject(&client, to).await;
    }
    // Closes the pipe, which ends the reader if it found nothing.
    fleet.kill(1);
    let line = reading.join().expect("the reader ends");
    assert!(line.is_some_and(|line| line.contains("LinesLeftOut")));
}

/// Guards against a state change of a process, or a decision about a request,
/// that is not logged.
#[tokio::test(flavor = "multi_thread")]
async fn decisions_of_the_processes_are_logged() {
    let size = FleetSize {
        controls: 3,
        entries: 1,
        workers: 1,
    };
    let mut fleet = Fleet::start(size, network(6)).await;
    publish(&fleet, 1).await;
    wait_until_served(&fleet).await;
    let entry = 3;
    let client = FleetClient::new();
    let to = fleet.caller_addresses()[0];
    reject(&client, to).await;
    let stored: Value = serde_json::from_str(&standin::stored_job()).expect("JSON");
    let status = post_job(&client, to, "/orders/00000000000000aa", &stored).await;
    assert_eq!(status, 503);
    for control in fleet.control_addresses() {
        let invalid = json!({"version": "none"});
        let posting = client
            .http
            .post_text(control, standin::PUBLISH_PATH, &invalid, WAIT_TIMEOUT);
        posting.await.expect("an answer");
    }
    for event in ["MessageRejected", "FleetJobRefused", "PublishRejected"] {
        wait_for_line(&fleet, event).await;
    }
    for event in ["ProcessStarting", "ProcessListening", "PublishAccepted"] {
        wait_for_line(&fleet, event).await;
    }
    let second = fleet.run_second_process(entry);
    assert_eq!(second.status.code(), Some(1));
    let log = String::from_utf8(second.stdout).expect("text");
    assert!(log.contains("ProcessFailed"), "{log}");
    fleet.kill(0);
    wait_for_line(&fleet, "HostReachability").await;
    fleet.delete_data_folder(0);
    fleet.start_host(0, false);
    wait_for_line(&fleet, "GroupRepair").await;
    assert!(fleet.terminate(entry, WAIT_TIMEOUT).await);
    wait_for_line(&fleet, "DrainFinished").await;
    wait_for_line(&fleet, "ReportDeclined").await;
}

async fn wait_for_line(fleet: &Fleet, text: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while fleet.grep_logs(text).is_empty() {
        assert!(Instant::now() < deadline, "{}", fleet.log_tail(1, 20));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
