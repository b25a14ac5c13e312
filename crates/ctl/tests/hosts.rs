//! Tests of the binary against running hosts: jobs, stand-ins, loads and the demo.

mod common;

use std::process::{Child, Command, Stdio};

use common::{ControlGroup, eventually};
use googletest::prelude::*;
use hornbeam_ctl::Exit;
use hornbeam_node::Host;
use serde_json::Value;

/// `StandinProcess` is a process of stand-ins that is killed when dropped.
struct StandinProcess(Child);

impl Drop for StandinProcess {
    fn drop(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

/// Guards against a command line that is incompatible with entry hosts and
/// stand-ins: jobs not run, starts not recorded, loads not answered.
#[gtest]
fn jobs_run_on_standins() {
    let group = ControlGroup::start();
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
    let standins = StandinProcess(standins);

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
    // A refused job was not run, so it can be retried until servers hold leases.
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

/// Guards against a demo that is incompatible with the roles it starts, or whose
/// tasks start more than once.
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
