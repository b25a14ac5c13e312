//! Recovery from lost polls.

mod common;

use common::Harness;
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, PollOutcome, RunEnd};

/// Loses a poll of a worker without runs, and answers the next one.
fn lose_a_poll(harness: &mut Harness, worker_key: u64) {
    harness.step(FleetInput::PollEnded(worker_key, PollOutcome::Unanswered));
    harness.advance(60);
    harness.polls();
    harness.answer_poll(worker_key, &[], &[]);
    harness.polls();
}

/// Guards against jobs that end late because the answer to the poll that would
/// have reported their last run was lost.
#[gtest]
fn run_end_is_received_when_the_poll_is_lost() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    lose_a_poll(&mut harness, worker);
    let request = harness.start_job(1);
    harness.advance(200);
    expect_that!(harness.probes(), is_empty());
    harness.advance(50);
    let probes = harness.probes();
    expect_that!(probes.len(), eq(1));
    expect_that!(probes[0].wait.is_zero(), eq(true));
    harness.answer_probe(worker, &[], &[(1, request.run, RunEnd::Done)]);
    expect_that!(harness.answers().len(), eq(1));
}

/// Guards against a worker that gets no runs, and against a retry delay, after
/// a lost poll although a probe shows that the worker answers.
#[gtest]
fn lost_poll_is_repeated_at_once_after_an_answered_probe() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    lose_a_poll(&mut harness, worker);
    let request = harness.start_job(1);
    harness.advance(250);
    harness.answer_probe(worker, &[request.run], &[]);
    harness.step(FleetInput::PollEnded(worker, PollOutcome::Unanswered));
    expect_that!(harness.polls().len(), eq(1));
    harness.submit(2, 1);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against the cost of probes while no polls are lost.
#[gtest]
fn no_probe_is_sent_while_polls_are_answered() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.start_job(1);
    harness.advance(600);
    expect_that!(harness.probes(), is_empty());
}

/// Guards against a flood of probes for runs that take longer than expected.
#[gtest]
fn probes_of_a_long_run_keep_the_minimum_interval() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    lose_a_poll(&mut harness, worker);
    let request = harness.start_job(1);
    let mut probes = 0;
    for _ in 0..400 {
        harness.advance(1);
        for _ in harness.probes() {
            probes += 1;
            harness.answer_probe(worker, &[request.run], &[]);
        }
    }
    expect_that!(probes, all!(ge(2), le(3)));
}

/// Guards against a second run of a task that counts as lost because an answer
/// to a probe, sent by the worker before the start, arrives after a poll that
/// lists the run. This occurs when start requests are carried out late.
#[gtest]
fn late_probe_answer_does_not_end_a_run_that_started_after_it() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    lose_a_poll(&mut harness, worker);
    let first = harness.start_job(1);
    harness.advance(250);
    expect_that!(harness.probes().len(), eq(1));
    harness.submit(2, 1);
    let second = harness.starts().remove(0);
    harness.advance(2);
    harness.answer_poll(worker, &[first.run, second.run], &[]);
    harness.answer_probe(worker, &[first.run], &[]);
    harness.add_worker("w2");
    expect_that!(harness.starts(), is_empty());
}
