//! Tests of the operator commands of the binary against a control host.

mod common;

use std::io::Write;

use common::{ControlGroup, eventually};
use goldenfile::Mint;
use googletest::prelude::*;
use hornbeam_ctl::Exit;
use hornbeam_node::Host;
use serde_json::Value;

/// Guards against a command line that is incompatible with a control host in
/// routes, fields or the meaning of answers: a resend taken for a second change,
/// a conflict reported as a success, a filter that is not sent.
#[gtest]
fn changes_are_applied_by_a_control_host() {
    let group = ControlGroup::start();
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

/// Guards against evacuation commands that are incompatible with a control host,
/// a `--finish` that evacuates, and an invalid name that is sent for 5 s.
#[gtest]
fn failure_domains_are_evacuated_and_returned_to_service() {
    let group = ControlGroup::start();
    let domain = ["evacuate", "--failure-domain", "almaty-a"];
    let started = group.run("good.key", &domain);
    expect_that!(started.exit, some(eq(Exit::Ok as i32)));
    expect_that!(started.json["revision"], eq(&Value::from(1)));
    let shown = group.run("good.key", &["evacuations"]).json;
    expect_that!(shown["failure_domains"][0], eq(&Value::from("almaty-a")));
    let finished = group.run("good.key", &[&domain[..], &["--finish"]].concat());
    expect_that!(finished.json["revision"], eq(&Value::from(2)));
    let shown = group.run("good.key", &["evacuations"]).json;
    expect_that!(shown["failure_domains"], eq(&Value::Array(Vec::new())));
    let invalid = ["evacuate", "--failure-domain", "almaty a"];
    let invalid = group.run("good.key", &invalid);
    expect_that!(invalid.exit, some(eq(Exit::Findings as i32)));
    let refused = group.run("bad.key", &["evacuations"]);
    expect_that!(refused.exit, some(eq(Exit::Refused as i32)));
    let trail = group.run("good.key", &["history"]).json;
    expect_that!(trail.as_array().unwrap(), len(eq(2)));
    group.stop();
}

/// Guards against a rejected credential that is retried or reported as an
/// unknown outcome, and against a change made with a rejected credential.
#[gtest]
fn rejected_credential_changes_nothing() {
    let group = ControlGroup::start();
    // The first change also waits until a leader is elected.
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

/// Guards against an export that cannot be imported, loses settings or lacks the
/// audit trail, and against an import that overwrites a newer version.
#[gtest]
fn exported_configuration_can_be_imported() {
    let first = ControlGroup::start();
    let accepted = first.apply("sites/dala.toml", "c-1", "0");
    expect_that!(accepted.exit, some(eq(Exit::Ok as i32)));
    let shown = first.run("good.key", &["show"]);
    let file = first.folder.path().join("site.json");
    let file = file.to_str().unwrap();
    let exported = first.run("good.key", &["export", "--file", file]);
    expect_that!(exported.json["audit_entries"], eq(&Value::from(1)));
    let snapshot: Value = serde_json::from_slice(&std::fs::read(file).unwrap()).unwrap();
    expect_that!(snapshot["version"], eq(&Value::from(1)));
    expect_that!(
        snapshot["audit_trail"][0]["change_id"],
        eq(&Value::from("c-1"))
    );

    let second = ControlGroup::start();
    let import = ["import", "--file", file, "--reason", "new group"];
    let import = [&import[..], &["--expected-version", "0"]].concat();
    let imported = second.run("good.key", &import);
    expect_that!(imported.json["version"], eq(&Value::from(1)));
    let restored = second.run("good.key", &["show"]);
    expect_that!(restored.json, eq(&shown.json));
    let late = second.run("good.key", &import);
    expect_that!(late.exit, some(eq(Exit::Conflict as i32)));
    std::fs::write(file, "{\"version\": 1}").unwrap();
    let broken = second.run("good.key", &import);
    expect_that!(broken.exit, some(eq(Exit::Findings as i32)));
    first.stop();
    second.stop();
}

/// Guards against a member replacement that leaves the group without a voter, is
/// not attributed in the audit trail, or is made again when repeated.
#[gtest]
fn member_is_replaced_from_the_command_line() {
    let group = ControlGroup::start();
    let accepted = group.apply("sites/dala.toml", "c-1", "0");
    expect_that!(accepted.exit, some(eq(Exit::Ok as i32)));
    let early = ["members", "add", "--add", "77", "--reason", "unknown id"];
    let early = group.run("good.key", &early);
    expect_that!(early.exit, some(eq(Exit::Refused as i32)));
    expect_that!(early.json["outcome"], eq(&Value::from("refused")));

    let learner = group.start_learner();
    let id = eventually(|| {
        let shown = group.run("good.key", &["members"]).json;
        let learner = &shown["learners"][0];
        let caught_up = learner["match_index"] == shown["last_index"];
        let id = learner["replica_id"].as_u64();
        id.filter(|_| caught_up)
    });
    let id = id.to_string();
    let add = ["members", "add", "--add", &id, "--reason", "second host"];
    let add = [&add[..], &["--change-id", "m-1"]].concat();
    let added = group.run("good.key", &add);
    expect_that!(added.exit, some(eq(Exit::Ok as i32)));
    let repeated = group.run("good.key", &add);
    expect_that!(repeated.exit, some(eq(Exit::Ok as i32)));
    let shown = group.run("good.key", &["members"]).json;
    expect_that!(shown["voters"].as_array().unwrap(), len(eq(2)));
    expect_that!(shown["learners"].as_array().unwrap(), len(eq(0)));
    let remove = ["members", "remove", "--remove", &id, "--reason", "moved"];
    let removed = group.run("good.key", &remove);
    expect_that!(removed.exit, some(eq(Exit::Ok as i32)));

    let history = group.run("good.key", &["history", "--operator", "aigerim"]);
    let entries = history.json.as_array().unwrap();
    expect_that!(entries, len(eq(3)));
    expect_that!(entries[1]["change_id"], eq(&Value::from("m-1-add")));
    expect_that!(entries[1]["reason"], eq(&Value::from("second host")));
    let stamped = entries.iter().all(|entry| entry["proposed_unix_ms"] != 0);
    expect_that!(stamped, eq(true));
    group.runtime.block_on(learner.stop());
    group.stop();
}

/// Commands of an operator session: credential file and arguments.
const SESSION: &[(&str, &str)] = &[
    ("good.key", "show"),
    (
        "good.key",
        "diff --base base.toml --overlay sites/dala.toml",
    ),
    (
        "good.key",
        "apply --base base.toml --overlay sites/dala.toml --expected-version 0 --change-id c-1 --reason first",
    ),
    (
        "good.key",
        "apply --base base.toml --overlay sites/wickmaratne.toml --expected-version 1 --change-id c-2 --operator nimal --reason move",
    ),
    (
        "good.key",
        "apply --base base.toml --overlay sites/dala.toml --expected-version 1 --change-id c-3 --reason late",
    ),
    (
        "bad.key",
        "apply --base base.toml --overlay sites/dala.toml --expected-version 2 --change-id c-4 --reason foreign",
    ),
    ("good.key", "diff --from 1 --to 2"),
    ("good.key", "diff --from 2"),
    (
        "good.key",
        "rollback --to 1 --expected-version 2 --change-id c-5 --reason back",
    ),
    (
        "good.key",
        "rollback --to 1 --expected-version 2 --change-id c-5 --reason back",
    ),
    (
        "good.key",
        "rollback --to 9 --expected-version 3 --change-id c-6 --reason unknown",
    ),
    (
        "good.key",
        "rollback --to 2 --expected-version 3 --change-id c-7 --operator nimal --reason forth",
    ),
    ("good.key", "diff --from 1 --to 3"),
    ("good.key", "diff --from 2 --to 4"),
    ("good.key", "diff --from 1 --to 9"),
    (
        "good.key",
        "members add --add 9 --change-id m-1 --reason unknown",
    ),
    ("good.key", "members"),
    ("good.key", "history"),
    ("good.key", "history --operator nimal"),
    ("good.key", "history --from-version 3"),
    ("good.key", "history --operator nimal --from-version 3"),
    ("good.key", "history --operator none"),
    ("good.key", "show --version 1"),
];

/// Guards against unintended changes of the text output of a session: audit
/// trail filters, comparisons, rollbacks, resends and refusals.
#[gtest]
fn operator_session_matches_golden_file() {
    let group = ControlGroup::start();
    // A group without a leader refuses reads.
    eventually(|| (group.run("good.key", &["show"]).exit == Some(0)).then_some(()));
    let mut mint = Mint::new(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden"));
    let mut file = mint.new_goldenfile("operator_session.txt").unwrap();
    for (credential, line) in SESSION {
        let arguments: Vec<&str> = line.split(' ').collect();
        let output = group.output("text", credential, &arguments);
        let code = output.status.code().unwrap();
        writeln!(file, "$ hornbeam {line}").unwrap();
        file.write_all(normalize(&group, &output.stdout).as_bytes())
            .unwrap();
        file.write_all(normalize(&group, &output.stderr).as_bytes())
            .unwrap();
        writeln!(file, "exit code {code}\n").unwrap();
    }
    drop(mint);
    group.stop();
}

/// Replaces the parts that differ between runs: the address and the times.
fn normalize(group: &ControlGroup, printed: &[u8]) -> String {
    let address = group.host.http_address().to_string();
    let printed = String::from_utf8(printed.to_vec()).unwrap();
    let lines = printed.lines().map(|line| {
        let words = line.split("  ").map(|word| match is_time(word) {
            true => "TIME",
            false => word,
        });
        let words: Vec<&str> = words.collect();
        words.join("  ").replace(&address, "ADDRESS") + "\n"
    });
    lines.collect()
}

fn is_time(word: &str) -> bool {
    word.len() == 20 && word.ends_with('Z') && word.as_bytes()[10] == b'T'
}
