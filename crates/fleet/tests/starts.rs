//! Start requests and what their outcomes prove.

mod common;

use common::{Harness, run};
use googletest::prelude::*;
use hornbeam_fleet::FleetInput;
use hornbeam_fleet::{JobOutcome, RunEnd, StartOutcome, StartRefusal, StopOutcome};

/// Guards against a second run when the first start request was unanswered and
/// only its retry provably was not sent: the first may still be carried out.
/// This occurs when a failure domain is cut off and its connections are reset.
#[gtest]
fn unsent_retry_proves_nothing_about_the_first_start_request() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    harness.submit(1, 1);
    let first = harness.starts().remove(0);
    harness.answer_start(&first, StartOutcome::Unanswered);
    let second = harness.starts().remove(0);
    expect_that!(second.run, eq(first.run));
    harness.answer_start(&second, StartOutcome::NotSent);
    let later = harness.starts();
    let elsewhere = later.iter().filter(|request| request.run != first.run);
    expect_that!(elsewhere.count(), eq(0));
}

/// Guards against waiting for a lease to expire when a start request was
/// provably not sent.
#[gtest]
fn unsent_start_request_goes_to_another_worker_at_once() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    harness.submit(1, 1);
    let first = harness.starts().remove(0);
    harness.answer_start(&first, StartOutcome::NotSent);
    let second = harness.starts().remove(0);
    expect_that!(second.target.worker_key, not(eq(first.target.worker_key)));
    expect_that!(second.run, eq(run(1, 0, 2)));
}

/// Guards against a retried start request that the worker takes for another
/// run.
#[gtest]
fn unanswered_start_request_is_retried_with_the_same_attempt() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.submit(1, 1);
    let first = harness.starts().remove(0);
    harness.answer_start(&first, StartOutcome::Unanswered);
    let second = harness.starts().remove(0);
    expect_that!(second.run, eq(first.run));
    expect_that!(second.target, eq(&first.target));
}

/// Guards against a second run while an unanswered start request may still be
/// carried out. The task waits until the lease in that request has expired.
#[gtest]
fn task_with_unanswered_starts_starts_elsewhere_only_after_the_lease() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    harness.submit(1, 1);
    let submitted_at = harness.now;
    for _ in 0..3 {
        let request = harness.starts().remove(0);
        harness.answer_start(&request, StartOutcome::Unanswered);
    }
    while harness.starts().is_empty() {
        harness.advance(1);
        let waited = harness.now - submitted_at;
        assert_that!(waited.as_millis(), lt(1300));
    }
    let waited = harness.now - submitted_at;
    expect_that!(waited.as_millis(), ge(1000));
}

/// Guards against waiting for the lease after the worker has accepted the stop
/// of a run with unanswered starts. The run ends within the time of a stop, or
/// never starts.
#[gtest]
fn accepted_stop_releases_a_task_with_unanswered_starts_early() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    harness.submit(1, 1);
    for _ in 0..3 {
        let request = harness.starts().remove(0);
        harness.answer_start(&request, StartOutcome::Unanswered);
    }
    let stop = harness.stops().remove(0);
    let accepted =
        FleetInput::StopRequestEnded(stop.target.worker_key, stop.run, StopOutcome::Accepted);
    harness.step(accepted);
    expect_that!(harness.starts(), is_empty());
    harness.advance(110);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against another request to a worker that has just refused one because
/// its resources were occupied.
#[gtest]
fn refused_task_goes_to_another_worker_with_a_new_attempt() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    harness.submit(1, 1);
    let first = harness.starts().remove(0);
    harness.answer_start(
        &first,
        StartOutcome::Refused(StartRefusal::InsufficientResources),
    );
    let second = harness.starts().remove(0);
    expect_that!(second.target.worker_key, not(eq(first.target.worker_key)));
    expect_that!(second.run, eq(run(1, 0, 2)));
}

/// Guards against a task whose starts are refused as stale forever because
/// another host has used its first attempt numbers.
#[gtest]
fn task_refused_as_stale_skips_attempts() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    harness.submit(1, 1);
    let first = harness.starts().remove(0);
    harness.answer_start(&first, StartOutcome::Refused(StartRefusal::StaleAttempt));
    let second = harness.starts().remove(0);
    expect_that!(second.run.attempt, gt(8));
}

/// Guards against a job that completes before all of its tasks have.
#[gtest]
fn job_completes_with_its_last_task() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let call = harness.submit(1, 2);
    for request in harness.starts() {
        harness.accept_start(&request);
    }
    harness.answer_poll(worker, &[run(1, 1, 1)], &[(1, run(1, 0, 1), RunEnd::Done)]);
    expect_that!(harness.answers(), is_empty());
    harness.answer_poll(worker, &[], &[(2, run(1, 1, 1), RunEnd::Done)]);
    expect_that!(
        harness.answers(),
        elements_are![eq(&(call, JobOutcome::Completed))]
    );
}

/// Guards against more failed runs than the queue allows, and against a failure
/// that is reported before they are used up.
#[gtest]
fn job_fails_after_the_attempts_that_its_queue_allows() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let call = harness.submit(1, 1);
    let first = harness.starts().remove(0);
    harness.accept_start(&first);
    harness.answer_poll(worker, &[], &[(1, first.run, RunEnd::Failed)]);
    expect_that!(harness.answers(), is_empty());
    let second = harness.starts().remove(0);
    harness.accept_start(&second);
    harness.answer_poll(worker, &[], &[(2, second.run, RunEnd::Failed)]);
    expect_that!(
        harness.answers(),
        elements_are![eq(&(call, JobOutcome::Failed))]
    );
    expect_that!(harness.starts(), is_empty());
}
