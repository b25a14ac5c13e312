//! Workers whose capacity shrinks and grows, and workers that do not guard it.

mod common;

use common::{Harness, acknowledge_batch, chunk, report, run, waiting_status};
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, JobOutcome, NotRun, PeerMessage, RunEnd, StopOutcome};

/// Tasks of the tests need half of it.
const FULL_CPU_MILLI: u32 = 16_000;

/// Reports a capacity of the worker `w1`.
fn report_capacity(harness: &mut Harness, sequence: u64, cpu_milli: u32) {
    let mut report = report("w1", sequence);
    report.capacity.cpu_milli = cpu_milli;
    harness.step(FleetInput::Reported(1, report));
}

/// Guards against starts beyond a capacity that has shrunk below the runs on the
/// worker, and against waiting tasks that do not start as soon as it grows.
#[gtest]
fn starts_follow_the_reported_capacity() {
    let mut harness = Harness::new(1);
    let worker_key = harness.add_worker("w1");
    harness.submit(1, 4);
    let starts = harness.starts();
    expect_that!(starts.len(), eq(2));
    for start in &starts {
        harness.accept_start(start);
    }
    report_capacity(&mut harness, 2, 8000);
    harness.answer_poll(
        worker_key,
        &[run(1, 1, 1)],
        &[(1, run(1, 0, 1), RunEnd::Done)],
    );
    expect_that!(harness.starts(), is_empty());
    report_capacity(&mut harness, 3, FULL_CPU_MILLI);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a report that was overtaken by a later one and brings back a
/// capacity that the worker no longer has.
#[gtest]
fn late_report_does_not_restore_a_former_capacity() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    report_capacity(&mut harness, 3, 8000);
    report_capacity(&mut harness, 2, FULL_CPU_MILLI);
    harness.submit(1, 2);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a start in the place of a run that is still being stopped: a
/// worker that does not guard its capacity would exceed it.
#[gtest]
fn run_that_is_being_stopped_occupies_its_resources() {
    let mut harness = Harness::new(1);
    let worker_key = harness.add_worker("w1");
    let call = harness.submit(1, 2);
    for start in harness.starts() {
        harness.accept_start(&start);
    }
    harness.step(FleetInput::CallerDisconnected(call, 1));
    for stop in harness.stops() {
        let accepted = StopOutcome::Accepted;
        harness.step(FleetInput::StopRequestEnded(worker_key, stop.run, accepted));
    }
    harness.submit(2, 2);
    expect_that!(harness.starts(), is_empty());
    let stopped = (1, run(1, 0, 1), RunEnd::Lost);
    harness.answer_poll(worker_key, &[run(1, 1, 1)], &[stopped]);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a start beside a run that this host does not know, for example
/// one of a start request that was carried out late.
#[gtest]
fn unknown_run_on_a_worker_prevents_starts() {
    let mut harness = Harness::new(1);
    let worker_key = harness.add_worker("w1");
    let unknown = run(9, 0, 1);
    harness.answer_poll(worker_key, &[unknown], &[]);
    harness.submit(1, 1);
    expect_that!(harness.starts(), is_empty());
    harness.advance(50);
    harness.answer_poll(worker_key, &[], &[(1, unknown, RunEnd::Lost)]);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a job that is shown as failed because it fits no worker while
/// capacities are reduced. It has not run and can be submitted again.
#[gtest]
fn job_too_large_for_a_reduced_capacity_is_refused_and_runs_later() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    report_capacity(&mut harness, 2, 4000);
    harness.submit(1, 1);
    let answers = harness.answers();
    let refused = pat!(JobOutcome::NotRun(pat!(NotRun::Overloaded { .. })));
    expect_that!(answers, elements_are![(anything(), refused)]);
    report_capacity(&mut harness, 3, FULL_CPU_MILLI);
    harness.submit(1, 1);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a job that no worker ever had the capacity for and that is
/// refused as if it could run later.
#[gtest]
fn job_too_large_for_every_capacity_fails_at_once() {
    let mut harness = Harness::new(1);
    report_capacity(&mut harness, 1, 7999);
    harness.submit(1, 1);
    let failed = eq(&JobOutcome::Failed);
    expect_that!(harness.answers(), elements_are![(anything(), failed)]);
}

/// Guards against peers with waiting tasks that learn of a grown capacity only
/// with the next heartbeat.
#[gtest]
fn waiting_peers_are_told_of_a_grown_capacity_at_once() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    report_capacity(&mut harness, 2, 4000);
    harness.receive_batch(2, 1, vec![waiting_status()]);
    harness.advance(20);
    acknowledge_batch(&mut harness, 2);
    harness.advance(20);
    acknowledge_batch(&mut harness, 2);
    harness.batches();
    report_capacity(&mut harness, 3, FULL_CPU_MILLI);
    harness.advance(11);
    let batches = harness.batches();
    let told = batches.iter().flat_map(|batch| &batch.messages).any(|message| {
        matches!(message, PeerMessage::Status(status)
            if status.resources.iter().any(|resources| resources.largest.cpu_milli == FULL_CPU_MILLI))
    });
    expect_true!(told);
}

/// Guards against tasks of a peer that start beyond a capacity that shrank after
/// the peer was told of it.
#[gtest]
fn tasks_of_a_peer_start_within_the_reduced_capacity() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.receive_batch(2, 1, vec![]);
    acknowledge_batch(&mut harness, 2);
    report_capacity(&mut harness, 2, 8000);
    harness.receive_batch(2, 2, vec![chunk(9, 2)]);
    expect_that!(harness.starts().len(), eq(1));
}
