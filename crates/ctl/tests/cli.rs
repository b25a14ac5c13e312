//! Tests of the binary: output, help texts and exit codes.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output};

use goldenfile::Mint;
use googletest::prelude::*;
use hornbeam_ctl::{COMMANDS, Exit};

fn manifest_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Runs the binary with an empty environment, in the folder of the invalid
/// configuration files of the config crate.
fn hornbeam(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hornbeam"))
        .args(arguments)
        .env_clear()
        .current_dir(manifest_folder().join("../config/tests/golden"))
        .output()
        .unwrap()
}

fn exit_code_of(arguments: &[&str]) -> Option<i32> {
    hornbeam(arguments).status.code()
}

fn help_of(command: &[&str]) -> String {
    let output = hornbeam(&[command, &["--help"]].concat());
    assert!(output.status.success(), "{command:?} --help");
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against incompatible output: lost findings, renamed fields or a wrong
/// exit code.
#[gtest]
fn check_prints_all_findings() {
    let mut mint = Mint::new(manifest_folder().join("tests/golden"));
    for (format, name) in [("text", "check.txt"), ("json", "check.json")] {
        let output = hornbeam(&[
            "check",
            "--base",
            "broken-base.toml",
            "--overlay",
            "broken-site.toml",
            "--output",
            format,
        ]);
        expect_that!(output.status.code(), some(eq(Exit::Findings as i32)));
        expect_that!(output.stderr, is_empty());
        let mut golden = mint.new_goldenfile(name).unwrap();
        golden.write_all(&output.stdout).unwrap();
    }
}

/// Guards against a command without an example, or one missing from the list.
#[gtest]
fn help_of_every_command_has_an_example() {
    let overview = help_of(&[]);
    let listed: Vec<&str> = overview
        .lines()
        .skip_while(|line| !line.starts_with("Available commands:"))
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    expect_that!(listed, eq(&COMMANDS.to_vec()));
    expect_that!(overview, contains_substring("Exit codes: 0 done"));
    expect_that!(overview, contains_substring("Example:"));
    let nested = [
        vec!["load", "run"],
        vec!["load", "compare"],
        vec!["members", "replace"],
        vec!["members", "add"],
        vec!["members", "remove"],
    ];
    for command in COMMANDS.iter().map(|name| vec![*name]).chain(nested) {
        let (before, example) = help_of(&command).split_once("Example:").map_or_else(
            || panic!("{command:?} has no example"),
            |(before, example)| (before.to_owned(), example.to_owned()),
        );
        expect_that!(before, contains_substring("Usage: hornbeam"));
        let call = format!("\n  hornbeam {}", command.join(" "));
        expect_that!(example, contains_substring(call.as_str()), "{command:?}");
    }
}

/// Guards against exit codes by which a script mistakes a usage error, an
/// unreachable host or a missing file for a success or for one another.
#[gtest]
fn exit_codes_distinguish_failures() {
    expect_that!(
        exit_code_of(&["no-such-command"]),
        some(eq(Exit::Usage as i32))
    );
    expect_that!(exit_code_of(&[]), some(eq(Exit::Usage as i32)));
    expect_that!(exit_code_of(&["show"]), some(eq(Exit::Usage as i32)));
    let bad_share = [
        "standin",
        "--service",
        "s",
        "--failure-domain",
        "a",
        "--fail",
        "1.5",
    ];
    expect_that!(exit_code_of(&bad_share), some(eq(Exit::Usage as i32)));
    // Nothing listens on port 1 of the loopback interface.
    let unreachable = ["show", "--control", "127.0.0.1:1,127.0.0.1:1"];
    expect_that!(exit_code_of(&unreachable), some(eq(Exit::Refused as i32)));
    let missing = [
        "check",
        "--base",
        "no-such-file",
        "--overlay",
        "no-such-file",
    ];
    expect_that!(exit_code_of(&missing), some(eq(Exit::Failure as i32)));
    let status = ["status", "--entry", "127.0.0.1:1", "--output", "json"];
    let output = hornbeam(&status);
    expect_that!(output.status.code(), some(eq(Exit::Failure as i32)));
    let line: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    expect_that!(line["address"].as_str(), some(eq("127.0.0.1:1")));
    expect_that!(line["error"].as_str(), some(starts_with("not sent")));
}

/// Guards against a story that omits log lines of another host or of a run's
/// worker. In the logs, recorded in a simulation, the job's worker is handed over
/// between two entry hosts and then becomes unreachable.
#[gtest]
fn story_follows_a_job_through_the_logs_of_several_hosts() {
    let folder = manifest_folder().join("tests/golden/story");
    let file = |host: &str| folder.join(format!("{host}.log")).display().to_string();
    let files = ["edge-almaty-b-2", "edge-almaty-d-1", "edge-almaty-a-1"].map(file);
    let mut arguments = vec!["story", "--job", "99e4bbd27efbf8eb"];
    arguments.extend(files.iter().map(String::as_str));
    let output = hornbeam(&arguments);
    expect_that!(output.status.code(), some(eq(Exit::Ok as i32)));
    let mut mint = Mint::new(manifest_folder().join("tests/golden"));
    let mut golden = mint.new_goldenfile("story.txt").unwrap();
    golden.write_all(&output.stdout).unwrap();
}

/// Guards against a successful exit code when no line was found.
#[gtest]
fn story_of_unknown_job_exits_with_findings() {
    let log = manifest_folder().join("tests/golden/story/edge-almaty-a-1.log");
    let log = log.display().to_string();
    let code = exit_code_of(&["story", "--job", "0000000000000000", &log]);
    expect_that!(code, some(eq(Exit::Findings as i32)));
}
