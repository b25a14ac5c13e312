//! Tests of the history checker on valid histories and on histories with
//! violations.

mod harness;

use std::time::Duration;

use googletest::prelude::*;
use harness::history::{Event, Submission, Violation, check};
use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer, TaskResult};

fn submitted(submission: Submission, request_id: &str, repeatable: bool) -> Event {
    Event::Submitted {
        submission,
        request_id: request_id.into(),
        tasks: 2,
        repeatable,
    }
}

fn started_at(submission: Submission, index: u32, at_ms: u64) -> Event {
    Event::Started {
        server: "s".into(),
        job: format!("job-{submission}"),
        submission,
        index,
        at: Duration::from_millis(at_ms),
    }
}

fn started(submission: Submission, index: u32) -> Event {
    started_at(submission, index, 0)
}

fn answered(submission: Submission, outcome: Outcome, results: &[(u32, &str)]) -> Event {
    let result = |(index, output): &(u32, &str)| TaskResult {
        index: *index,
        output: (*output).into(),
        server_id: "s".into(),
        run_ms: 1,
    };
    Event::Answered {
        submission,
        answer: SubmitAnswer {
            request_id: "r".into(),
            job_id: None,
            outcome,
            reason: (outcome != Outcome::Complete).then_some(Reason::TaskFailed),
            message: String::new(),
            findings: Vec::new(),
            results: results.iter().map(result).collect(),
            elapsed_ms: 0,
        },
    }
}

fn withdrawn() -> Event {
    Event::Withdrawn {
        server: "s".into(),
        at: Duration::from_millis(1_000),
    }
}

fn version(host: &str, version: u64) -> Event {
    Event::Version {
        host: host.into(),
        version,
    }
}

fn accepted(change: &str, version: u64) -> Event {
    Event::Accepted {
        change: change.into(),
        version,
    }
}

/// Gets the history of one submission without violations.
fn valid_history() -> Vec<Event> {
    let results = [(0, "job-1/0"), (1, "job-1/1")];
    vec![
        submitted(1, "r", true),
        started(1, 1),
        started(1, 0),
        answered(1, Outcome::Complete, &results),
    ]
}

fn violations(events: impl IntoIterator<Item = Event>) -> Vec<Violation> {
    let events: Vec<_> = events.into_iter().collect();
    check(&events).into_iter().collect()
}

/// Guards against a checker that reports violations in valid histories.
#[gtest]
fn valid_histories_pass() {
    expect_that!(violations(valid_history()), is_empty());
    let lost_and_resent = [
        submitted(1, "r", true),
        started(1, 0),
        submitted(2, "r", true),
        started(2, 0),
        answered(2, Outcome::Failed, &[]),
        withdrawn(),
        started_at(2, 1, 3_900),
        version("e", 1),
        version("f", 3),
        version("e", 1),
        version("e", 2),
        accepted("a", 2),
        accepted("a", 2),
    ];
    expect_that!(violations(lost_and_resent), is_empty());
}

/// Guards against a checker that accepts wrong or partial answers.
#[gtest]
fn invalid_answers_are_found() {
    use Outcome::{Complete, Failed, Refused};
    let ran = || [submitted(1, "r", true), started(1, 0), started(1, 1)];
    let found = |last: Event| violations(ran().into_iter().chain([last]));
    expect_that!(
        found(answered(1, Complete, &[(0, "job-1/0")])),
        elements_are![eq(&Violation::PartialAnswer)]
    );
    expect_that!(
        found(answered(1, Failed, &[(0, "job-1/0")])),
        elements_are![eq(&Violation::PartialAnswer)]
    );
    let swapped = [(1, "job-1/1"), (0, "job-1/0")];
    expect_that!(
        found(answered(1, Complete, &swapped)),
        elements_are![eq(&Violation::PartialAnswer)]
    );
    let other = [(0, "job-1/0"), (1, "job-2/1")];
    expect_that!(
        found(answered(1, Complete, &other)),
        elements_are![eq(&Violation::MismatchedAnswer)]
    );
    expect_that!(
        found(answered(1, Refused, &[])),
        elements_are![eq(&Violation::RefusedButStarted)]
    );

    let other_request = [submitted(1, "q", true), answered(1, Failed, &[])];
    expect_that!(
        violations(other_request),
        elements_are![eq(&Violation::MismatchedAnswer)]
    );
    let mut twice = valid_history();
    twice.push(answered(1, Failed, &[]));
    expect_that!(
        violations(twice),
        elements_are![eq(&Violation::AnsweredTwice)]
    );
    let mut invented = valid_history();
    invented.remove(1);
    expect_that!(
        violations(invented),
        elements_are![eq(&Violation::ResultWithoutStart)]
    );
}

/// Guards against a checker that accepts forbidden starts or versions.
#[gtest]
fn forbidden_starts_and_versions_are_found() {
    let mut twice = valid_history();
    twice.push(started(1, 0));
    expect_that!(
        violations(twice),
        elements_are![eq(&Violation::StartedTwice)]
    );
    let again = [
        submitted(1, "r", false),
        started(1, 0),
        submitted(2, "r", false),
        started(2, 1),
    ];
    expect_that!(
        violations(again),
        elements_are![eq(&Violation::NonRepeatableRerun)]
    );
    let late = [
        withdrawn(),
        submitted(1, "r", true),
        started_at(1, 0, 4_001),
    ];
    expect_that!(
        violations(late),
        elements_are![eq(&Violation::StartedAfterWithdrawal)]
    );
    let back = [version("e", 2), version("f", 1), version("e", 1)];
    expect_that!(
        violations(back),
        elements_are![eq(&Violation::VersionDecreased)]
    );
    let both = [accepted("a", 2), accepted("b", 2)];
    expect_that!(
        violations(both),
        elements_are![eq(&Violation::DuplicateVersion)]
    );
}
