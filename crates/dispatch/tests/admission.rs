//! Tests of admission and fair queueing.

mod common;

use std::collections::BTreeMap;

use common::{Host, announcement, answers, batches, configuration, request};
use googletest::prelude::*;
use hornbeam_core::api::backend::TaskStatus;
use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer, SubmitRequest};
use hornbeam_core::config::{Institution, Team};
use hornbeam_dispatch::{ClaimOutcome, DispatchInput, DispatchOptions, DispatchOutput};

fn host_with_server() -> Host {
    let mut host = Host::with_id("e1");
    host.announce(announcement("s1"));
    host
}

fn answer_to(host: &mut Host, request: SubmitRequest) -> SubmitAnswer {
    answers(&host.submit("j", request)).remove(0).1
}

fn refusal(host: &mut Host, request: SubmitRequest) -> Reason {
    let answer = answer_to(host, request);
    assert_eq!(answer.outcome, Outcome::Refused);
    answer.reason.unwrap()
}

/// Guards against reporting only the first problem of a request.
#[gtest]
fn every_finding_is_reported() {
    let mut host = host_with_server();
    let mut bad = request("no spaces", 2);
    bad.repeatable = false;
    bad.timeout_ms = 0;
    bad.tasks[1].payload = "x".repeat(70_000);
    let answer = answer_to(&mut host, bad);
    let paths: Vec<_> = answer
        .findings
        .iter()
        .map(|f| f.place.path.as_str())
        .collect();
    expect_that!(answer.reason, some(eq(Reason::BadRequest)));
    expect_that!(
        paths,
        unordered_elements_are![
            eq(&"request_id"),
            eq(&"timeout_ms"),
            eq(&"valid_until_unix_ms"),
            eq(&"tasks[1].payload")
        ]
    );
    expect_that!(
        refusal(&mut host, request("r", 571)),
        eq(Reason::BadRequest)
    );
    expect_that!(refusal(&mut host, request("r", 0)), eq(Reason::BadRequest));
}

/// Guards against a refusal with the wrong reason, and against admitting a job
/// that can never run or cannot run in time.
#[gtest]
fn refusals_report_the_right_reason() {
    let mut empty = Host::with_id("e1");
    expect_that!(refusal(&mut empty, request("r", 1)), eq(Reason::Overloaded));
    let mut host = host_with_server();
    let mut unknown = request("r", 1);
    unknown.team = "nobody".into();
    expect_that!(refusal(&mut host, unknown), eq(Reason::NotConfigured));
    let mut large = request("r", 1);
    large.tasks[0].accelerators = 1;
    expect_that!(refusal(&mut host, large), eq(Reason::NeverRunnable));
    let mut expired = request("r", 1);
    expired.valid_until_unix_ms = Some(common::EPOCH_UNIX_MS);
    expect_that!(refusal(&mut host, expired), eq(Reason::Expired));
    let mut slow = request("r", 1);
    slow.tasks[0].run_ms = 6_000;
    expect_that!(refusal(&mut host, slow), eq(Reason::Overloaded));
    let mut small_share = request("r", 570);
    small_share.team = "orders".into();
    expect_that!(refusal(&mut host, small_share), eq(Reason::QuotaExceeded));
    host.step(DispatchInput::DrainStarted);
    expect_that!(refusal(&mut host, request("r", 1)), eq(Reason::NotReady));
}

/// Guards against a queue that grows without bound under overload.
#[gtest]
fn queue_is_bounded_by_its_estimated_time() {
    let mut host = host_with_server();
    let mut admitted = 0;
    while answers(&host.submit(&format!("j{admitted}"), request("r", 40))).is_empty() {
        admitted += 1;
        assert!(admitted < 1_000);
    }
    // 40 tasks of 100 ms on 8 slots take 500 ms; the timeout is 5 s.
    expect_that!(admitted, all![ge(8), le(11)]);
}

/// Guards against refusing a team's job because another team has a long queue.
#[gtest]
fn a_long_queue_of_one_team_does_not_block_another() {
    let mut host = host_with_server();
    let of_team = |team: &str| SubmitRequest {
        team: team.into(),
        timeout_ms: 4_000,
        ..request("r", 40)
    };
    let mut jobs = 0..;
    let mut submit = |team| {
        let job = format!("j{}", jobs.next().unwrap());
        answers(&host.submit(&job, of_team(team)))
    };
    while submit("feeding").is_empty() {}
    expect_that!(submit("orders"), is_empty());
}

/// Guards against estimates that rely on declared run times although the
/// reported ones differ.
#[gtest]
fn declared_run_times_are_corrected() {
    let mut host = host_with_server();
    for job in 0..100 {
        let mut understated = request("r", 1);
        understated.tasks[0].run_ms = 10;
        let sent = batches(&host.submit(&format!("j{job}"), understated));
        // The answer reports 100 ms.
        host.answer_exchange(&sent[0], TaskStatus::Finished);
    }
    let mut understated = request("r", 1);
    understated.tasks[0].run_ms = 1_000;
    expect_that!(refusal(&mut host, understated), eq(Reason::Overloaded));
}

/// Guards against starting a task of a request that is not repeatable without a
/// recorded claim.
#[gtest]
fn no_task_starts_before_its_claim() {
    let once = || SubmitRequest {
        repeatable: false,
        valid_until_unix_ms: Some(60_000),
        ..request("r", 2)
    };
    for (outcome, reason) in [
        (ClaimOutcome::AlreadyClaimed, Reason::AlreadyClaimed),
        (ClaimOutcome::Expired, Reason::Expired),
        (ClaimOutcome::Unavailable, Reason::ClaimUnavailable),
    ] {
        let mut host = host_with_server();
        expect_that!(batches(&host.submit("j", once())), is_empty());
        let outputs = host.step(DispatchInput::ClaimEnded("j".into(), outcome));
        expect_that!(batches(&outputs), is_empty());
        expect_that!(answers(&outputs)[0].1.reason, some(eq(reason)));
    }
    let mut host = host_with_server();
    host.submit("j", once());
    host.now_ms = 5_000;
    let outputs = host.step(DispatchInput::Tick);
    let reason = answers(&outputs)[0].1.reason;
    expect_that!(reason, some(eq(Reason::ClaimUnavailable)));
    let outputs = host.step(DispatchInput::ClaimEnded(
        "j".into(),
        ClaimOutcome::Recorded,
    ));
    expect_that!(outputs, is_empty());
}

/// Guards against starting tasks of a request that is no longer valid.
#[gtest]
fn nothing_starts_after_its_validity() {
    let mut host = host_with_server();
    host.submit("busy", request("r", 8));
    let mut short = request("r", 1);
    short.valid_until_unix_ms = Some(common::EPOCH_UNIX_MS + 50);
    host.submit("j", short);
    host.now_ms = 50;
    let outputs = host.announce(announcement("s2"));
    expect_that!(batches(&outputs), is_empty());
    expect_that!(answers(&outputs)[0].1.reason, some(eq(Reason::Expired)));
}

/// Guards against a team that gets more than its weighted share of the slots
/// while others have queued work.
#[gtest]
fn shares_follow_the_weights() {
    let mut configuration = configuration();
    let terms = |weight, teams: &[(&str, u32)]| Institution {
        weight,
        max_queue_ms: 60_000,
        teams: teams
            .iter()
            .map(|(id, weight)| {
                let team = Team {
                    weight: *weight,
                    ..Team::default()
                };
                ((*id).to_owned(), team)
            })
            .collect(),
        ..Institution::default()
    };
    let institutions = &mut configuration.institutions;
    institutions.insert("a".into(), terms(1, &[("a1", 1), ("a2", 1)]));
    institutions.insert("b".into(), terms(2, &[("b1", 3), ("b2", 1)]));
    let mut host = Host::new(DispatchOptions::default(), configuration);
    let mut server = announcement("s1");
    server.slots = 1;
    host.announce(server);
    let mut sent = Vec::new();
    for (institution, team) in [("a", "a1"), ("a", "a2"), ("b", "b1"), ("b", "b2")] {
        let mut job = request("r", 400);
        (job.institution, job.team) = (institution.into(), team.into());
        job.timeout_ms = 60_000;
        job.tasks.iter_mut().for_each(|task| task.run_ms = 20);
        let outputs = host.submit(team, job);
        expect_that!(answers(&outputs), is_empty());
        sent.extend(batches(&outputs));
    }
    let mut starts = BTreeMap::<String, u32>::new();
    for _ in 0..600 {
        let batch = sent.remove(0);
        *starts.entry(batch.batch.job_id.clone()).or_default() += 1;
        sent.extend(batches(&host.answer_exchange(&batch, TaskStatus::Finished)));
    }
    for (team, share) in [("a1", 100), ("a2", 100), ("b1", 300), ("b2", 100)] {
        expect_that!(starts[team], all![ge(share - 70), le(share + 70)]);
    }
}

/// Guards against tasks that together exceed the capacity of a server.
#[gtest]
fn declared_resources_limit_a_server() {
    let mut host = host_with_server();
    let mut heavy = request("r", 5);
    heavy
        .tasks
        .iter_mut()
        .for_each(|task| task.cpu_milli = 6_000);
    let sent = batches(&host.submit("j", heavy));
    expect_that!(sent, len(eq(2)));
    expect_that!(
        batches(&host.answer_exchange(&sent[0], TaskStatus::Finished)),
        len(eq(1))
    );
    let mut accelerated = announcement("s2");
    accelerated.accelerators = 1;
    host.announce(accelerated);
    let mut needs_one = request("r", 2);
    needs_one
        .tasks
        .iter_mut()
        .for_each(|task| task.accelerators = 1);
    let sent = batches(&host.submit("k", needs_one));
    expect_that!(sent, len(eq(1)));
    expect_that!(sent[0].server_id, eq("s2"));
    // A job that needs no accelerator overtakes the one that waits for it.
    expect_that!(batches(&host.submit("l", request("r", 2))), len(eq(2)));
}

/// Guards against several answers, or none, for a job that its caller cancels.
#[gtest]
fn a_cancelled_job_is_answered_once() {
    let mut host = host_with_server();
    host.submit("j", request("r", 20));
    let cancelled = DispatchInput::CallerCancelled("j".into());
    let outputs = host.step(cancelled.clone());
    expect_that!(answers(&outputs)[0].1.reason, some(eq(Reason::Cancelled)));
    let cancels = outputs
        .iter()
        .filter(|output| matches!(output, DispatchOutput::SendCancel { .. }));
    expect_that!(cancels.count(), eq(1));
    expect_that!(host.step(cancelled), is_empty());
}
