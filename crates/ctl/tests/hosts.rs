//! Tests of the binary against running hosts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use googletest::prelude::*;
use hornbeam_control::ReplicaOptions;
use hornbeam_ctl::Exit;
use hornbeam_dispatch::DispatchOptions;
use hornbeam_node::{ControlHost, ControlOptions, EntryHost, EntryOptions};
use serde_json::Value;
use tempfile::TempDir;
use tokio::runtime::Runtime;

const CREDENTIAL: &str = "operators-secret";

/// `Group` is a control group of one host with the files of its operators.
struct Group {
    runtime: Runtime,
    host: ControlHost,
    folder: TempDir,
}

/// `Ran` is what one command did.
struct Ran {
    exit: Option<i32>,
    json: Value,
}

impl Group {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("good.key"), format!("{CREDENTIAL}\n")).unwrap();
        std::fs::write(folder.path().join("bad.key"), "another secret\n").unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let options = ControlOptions {
            host_id: "control-0".into(),
            replica: ReplicaOptions {
                id: 1,
                initial_voters: vec![1],
                ..ReplicaOptions::default()
            },
            new_group: true,
            data_folder: folder.path().join("data"),
            http_listen: any,
            link_listen: any,
            peers: Vec::new(),
            link_credential: None,
            operator_credential: Some(CREDENTIAL.into()),
        };
        let runtime = Runtime::new().unwrap();
        let host = runtime.block_on(ControlHost::start(options)).unwrap();
        Self {
            runtime,
            host,
            folder,
        }
    }

    /// Runs a command with JSON output and a credential file.
    fn run(&self, credential: &str, arguments: &[&str]) -> Ran {
        let output = Command::new(env!("CARGO_BIN_EXE_hornbeam"))
            .args(arguments)
            .env_clear()
            .env("HORNBEAM_OUTPUT", "json")
            .env("HORNBEAM_CONTROL", self.host.http_address().to_string())
            .env(
                "HORNBEAM_CREDENTIAL_FILE",
                self.folder.path().join(credential),
            )
            .env("HORNBEAM_OPERATOR", "aigerim")
            .current_dir(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../config"))
            .output()
            .unwrap();
        Ran {
            exit: output.status.code(),
            json: serde_json::from_slice(&output.stdout).unwrap_or_default(),
        }
    }

    fn apply(&self, overlay: &str, change_id: &str, expected_version: &str) -> Ran {
        let files = ["apply", "--base", "base.toml", "--overlay", overlay];
        let note = ["--expected-version", expected_version, "--reason", "test"];
        let id = ["--change-id", change_id];
        self.run("good.key", &[&files[..], &note, &id].concat())
    }

    /// Starts an entry host that follows the control host.
    fn start_entry(&self) -> EntryHost {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let options = EntryOptions {
            dispatch: DispatchOptions {
                host_id: "entry-0".into(),
                failure_domain: "almaty-a".into(),
                ..DispatchOptions::default()
            },
            http_listen: any,
            link_listen: any,
            peers: Vec::new(),
            control_hosts: vec![(1, self.host.link_address())],
            link_credential: None,
            operator_credential: None,
            max_body_bytes: 1 << 20,
            max_connections_per_server: 4,
        };
        self.runtime.block_on(EntryHost::start(options)).unwrap()
    }

    fn stop(self) {
        self.runtime.block_on(self.host.stop());
    }
}

/// Guards against a command line that disagrees with a control host on
/// routes, fields or the meaning of answers: a resend that looks like a second
/// change, a conflict that looks like a success, a filter that is not sent.
#[gtest]
fn changes_reach_a_control_host() {
    let group = Group::start();
    let accepted = group.apply("sites/dala.toml", "c-1", "0");
    expect_that!(accepted.exit, some(eq(Exit::Ok as i32)));
    expect_that!(accepted.json["version"], eq(&Value::from(1)));
    let resent = group.apply("sites/dala.toml", "c-1", "0");
    expect_that!(resent.json, eq(&accepted.json));
    let late = group.apply("sites/wickmaratne.toml", "c-2", "0");
    expect_that!(late.exit, some(eq(Exit::Conflict as i32)));
    expect_that!(late.json["winner_change_id"], eq(&Value::from("c-1")));
    let broken = group.apply("../Cargo.toml", "c-3", "1");
    expect_that!(broken.exit, some(eq(Exit::Findings as i32)));
    let second = group.apply("sites/wickmaratne.toml", "c-4", "1");
    expect_that!(second.json["version"], eq(&Value::from(2)));

    let back = [
        "rollback",
        "--to",
        "1",
        "--expected-version",
        "2",
        "--reason",
        "r",
    ];
    let back = group.run("good.key", &[&back[..], &["--operator", "nimal"]].concat());
    expect_that!(back.json["version"], eq(&Value::from(3)));
    let same = group.run("good.key", &["diff", "--from", "1", "--to", "3"]);
    expect_that!(same.json, eq(&Value::Array(Vec::new())));
    let files = [
        "diff",
        "--base",
        "base.toml",
        "--overlay",
        "sites/wickmaratne.toml",
    ];
    let changed = group.run("good.key", &files);
    expect_that!(changed.json.to_string(), contains_substring("lk-west-a"));
    let shown = group.run("good.key", &["show", "--version", "2"]);
    expect_that!(
        shown.json["configuration"]["site"],
        eq(&Value::from("wickmaratne"))
    );

    let by_nimal = group.run("good.key", &["history", "--operator", "nimal"]);
    expect_that!(by_nimal.json.as_array().unwrap(), len(eq(1)));
    let later = group.run("good.key", &["history", "--from-version", "2"]);
    expect_that!(later.json.as_array().unwrap(), len(eq(2)));
    group.stop();
}

/// Guards against a refused credential that is retried or reported as an
/// unknown outcome, and against a change that a refused operator made.
#[gtest]
fn refused_credential_changes_nothing() {
    let group = Group::start();
    // The first change also waits for the election of a leader.
    let accepted = group.apply("sites/dala.toml", "c-1", "0");
    expect_that!(accepted.exit, some(eq(Exit::Ok as i32)));
    let files = [
        "apply",
        "--base",
        "base.toml",
        "--overlay",
        "sites/dala.toml",
    ];
    let note = ["--expected-version", "1", "--reason", "test"];
    let refused = group.run("bad.key", &[&files[..], &note].concat());
    expect_that!(refused.exit, some(eq(Exit::Refused as i32)));
    let unread = group.run("bad.key", &["show"]);
    expect_that!(unread.exit, some(eq(Exit::Refused as i32)));
    let shown = group.run("good.key", &["show"]);
    expect_that!(shown.json["version"], eq(&Value::from(1)));
    group.stop();
}

/// `Standins` is a process of stand-ins that ends with the test.
struct Standins(Child);

impl Drop for Standins {
    fn drop(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

/// Repeats a look until it succeeds, for at most 20 s.
fn eventually<T>(mut look: impl FnMut() -> Option<T>) -> T {
    for _ in 0..200 {
        if let Some(found) = look() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("the expected state was not reached within 20 s");
}

/// Guards against a command line that disagrees with entry hosts and stand-ins:
/// jobs that are not run, starts that are not recorded, loads that are not
/// answered.
#[gtest]
fn jobs_run_on_standins() {
    let group = Group::start();
    let accepted = group.apply("sites/dala.toml", "c-1", "0");
    expect_that!(accepted.exit, some(eq(Exit::Ok as i32)));
    let entry_host = group.start_entry();
    let address = entry_host.http_address().to_string();
    let entry = ["--entry", address.as_str()];
    let records = group.folder.path().join("starts.jsonl");
    let standins = Command::new(env!("CARGO_BIN_EXE_hornbeam"))
        .args(["standin", "--count", "2", "--service", "subscribe"])
        .args(["--failure-domain", "almaty-a", "--records"])
        .arg(&records)
        .args(entry)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let standins = Standins(standins);

    let job = [
        "--institution",
        "dala",
        "--team",
        "orders",
        "--service",
        "subscribe",
    ];
    let submit = [
        &["submit", "--tasks", "5", "--run-ms", "50"],
        &job[..],
        &entry,
    ]
    .concat();
    // A refused job was not run, so it can be sent again until servers lease.
    let ran = eventually(|| {
        let ran = group.run("good.key", &submit);
        (ran.exit != Some(Exit::Refused as i32)).then_some(ran)
    });
    expect_that!(ran.exit, some(eq(Exit::Ok as i32)));
    expect_that!(ran.json["results"].as_array().unwrap(), len(eq(5)));
    let starts = eventually(|| {
        let text = std::fs::read_to_string(&records).unwrap();
        (text.lines().count() >= 5).then_some(text)
    });
    let job_id = ran.json["job_id"].as_str().unwrap();
    expect_that!(starts.lines().count(), eq(5));
    expect_that!(starts.matches(job_id).count(), eq(5));

    let load = [
        "load",
        "run",
        "--institution",
        "dala",
        "--teams",
        "orders",
        "--service",
    ];
    let size = [
        "subscribe",
        "--jobs",
        "4",
        "--tasks-per-job",
        "2",
        "--task-ms",
        "50",
    ];
    let load = group.run("good.key", &[&load[..], &size, &entry].concat());
    expect_that!(load.exit, some(eq(Exit::Ok as i32)));
    expect_that!(load.json["complete"], eq(&Value::from(4)));
    drop(standins);
    group.runtime.block_on(entry_host.stop());
    group.stop();
}

/// Guards against a demo that no longer works with the roles it starts, or
/// whose tasks start more than once.
#[gtest]
fn demo_runs_every_role() {
    let output = Command::new(env!("CARGO_BIN_EXE_hornbeam"))
        .args(["demo", "--output", "json"])
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    expect_that!(output.status.code(), some(eq(Exit::Ok as i32)), "{errors}");
    let report: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    expect_that!(report["answer"]["outcome"], eq(&Value::from("complete")));
    expect_that!(report["starts"], eq(&Value::from(40)));
    expect_that!(report["response_over_ideal"].as_f64(), some(ge(1.0)));
    expect_that!(
        report["audit_trail"][0]["operator"],
        eq(&Value::from("demo"))
    );
}
