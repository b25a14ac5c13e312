//! Starts of tasks after a pause of the process, in which callers may have left.

mod common;

use common::Harness;
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, FleetOutput, StartOutcome, StartRefusal};

/// Starts a job and pauses the process until the lease of its run has expired. The
/// job waits for a second run then.
fn pause_with_a_queued_task(harness: &mut Harness) -> u64 {
    harness.add_worker("w1");
    harness.start_job(1);
    pause(harness, 1400)
}

/// Pauses the process, and gets the number of the pause.
fn pause(harness: &mut Harness, ms: u64) -> u64 {
    harness.now += std::time::Duration::from_millis(ms);
    harness.unix_ms += ms;
    harness.step_unread(FleetInput::Tick);
    let pauses = harness.outputs.iter().filter_map(|output| match output {
        FleetOutput::ReadInputs(pause) => Some(*pause),
        _ => None,
    });
    let last = pauses.max().expect("the pause is noticed");
    harness
        .outputs
        .retain(|output| !matches!(output, FleetOutput::ReadInputs(_)));
    last
}

/// Guards against a second run of a task whose caller left during a pause and sent
/// its job to another host, in the time in which that is not known yet (review, case
/// 14).
#[gtest]
fn task_of_a_caller_that_left_during_a_pause_does_not_start() {
    let mut harness = Harness::new(1);
    let pause = pause_with_a_queued_task(&mut harness);
    expect_that!(harness.starts(), is_empty());
    harness.advance(20);
    harness.step(FleetInput::CallerDisconnected(1, 1));
    harness.step(FleetInput::InputsRead(pause));
    harness.advance(100);
    expect_that!(harness.starts(), is_empty());
}

/// Guards against such a start on a busy machine, where the connections are read later
/// than usual, and against tasks that wait for longer than that.
#[gtest]
fn tasks_wait_until_all_connections_have_been_read() {
    let mut harness = Harness::new(1);
    let pause = pause_with_a_queued_task(&mut harness);
    harness.advance(120);
    expect_that!(harness.starts(), is_empty());
    harness.step(FleetInput::InputsRead(pause));
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against starts after a second pause, because the connections had been read
/// after the first one.
#[gtest]
fn connections_are_read_again_after_a_second_pause() {
    let mut harness = Harness::new(1);
    let first = pause_with_a_queued_task(&mut harness);
    let second = pause(&mut harness, 200);
    harness.step(FleetInput::InputsRead(first));
    harness.advance(60);
    expect_that!(harness.starts(), is_empty());
    harness.step(FleetInput::InputsRead(second));
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against starts of a job that arrived between two pauses: its caller may have
/// left in the second one.
#[gtest]
fn job_that_arrived_between_two_pauses_waits_for_the_second_one() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    pause(&mut harness, 300);
    harness.now += std::time::Duration::from_millis(10);
    harness.submit(1, 1);
    let request = harness.starts().remove(0);
    harness.accept_start(&request);
    let second = pause(&mut harness, 1400);
    expect_that!(harness.starts(), is_empty());
    harness.step(FleetInput::InputsRead(second));
    harness.advance(60);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against starts that are refused as late, one after the other, because an answer
/// that waited during the pause gave an old reading of the worker's clock. The worker is
/// asked at once, and gets no starts until it has answered.
#[gtest]
fn worker_that_refuses_a_start_as_late_is_asked_for_its_clock() {
    let mut harness = Harness::new(1);
    let worker_key = harness.add_worker("w1");
    harness.submit(1, 1);
    let late = harness.starts().remove(0);
    harness.answer_start(&late, StartOutcome::Refused(StartRefusal::LeaseExpired));
    harness.advance(20);
    expect_that!(harness.starts(), is_empty());
    expect_that!(harness.probes().len(), eq(1));
    harness.answer_probe(worker_key, &[], &[]);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against new jobs that wait because the process was paused before they
/// arrived.
#[gtest]
fn job_that_arrives_after_a_pause_starts_at_once() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    harness.start_job(1);
    pause(&mut harness, 300);
    harness.submit(2, 1);
    let started: Vec<u64> = harness.starts().iter().map(|start| start.run.job).collect();
    expect_that!(started, elements_are![eq(&2)]);
}
