//! Workers that are slow or stand still.

mod common;

use common::{Bench, run};
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, PollOutcome, PollResponse, RunId, RunProgress};

fn seen(bench: &mut Bench, number: u64, run: RunId, done_percent: u32) {
    let observation = PollResponse {
        clock_ms: u64::try_from(bench.now.as_millis()).expect("a small time"),
        running: vec![RunProgress { run, done_percent }],
        ..PollResponse::default()
    };
    bench.step(FleetInput::PollEnded(
        number,
        PollOutcome::Answered(observation),
    ));
}

/// Guards against a job that waits for a task that stands still while another
/// worker is free, and against more runs on such a worker.
#[gtest]
fn run_that_stands_still_is_moved() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    let order = bench.started(1);
    bench.pass(450);
    seen(&mut bench, order.target.worker_key, order.run, 0);
    let stops = bench.stops();
    expect_that!(stops.len(), eq(1));
    expect_that!(stops[0].run, eq(order.run));
    bench.submit(2, 1);
    let next = bench.starts().remove(0);
    expect_that!(next.target.worker_key, not(eq(order.target.worker_key)));
}

/// Guards against work that is thrown away although the run is about to end:
/// its declared time was wrong, its worker is not slow.
#[gtest]
fn run_that_is_merely_longer_than_declared_goes_on() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    let order = bench.started(1);
    bench.pass(450);
    seen(&mut bench, order.target.worker_key, order.run, 70);
    expect_that!(bench.stops(), is_empty());
}

/// Guards against a run that is stopped although there is no other room.
#[gtest]
fn run_without_other_room_stays() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    let order = bench.started(1);
    bench.pass(450);
    seen(&mut bench, worker, order.run, 10);
    expect_that!(bench.stops(), is_empty());
    expect_that!(order.run, eq(run(1, 0, 1)));
}

/// Guards against a look that waits past the time at which a run should have
/// ended.
#[gtest]
fn look_returns_when_a_run_is_overdue() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    let order = bench.started(1);
    bench.pass(300);
    bench.looks();
    seen(&mut bench, worker, order.run, 60);
    expect_that!(bench.look().wait.as_millis(), le(150));
}

/// Guards against a worker that is left alone, and a run that is thrown away,
/// because one task was declared far too short. Found on quiet days.
#[gtest]
fn single_slow_run_with_progress_is_left_alone() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    let order = bench.started(1);
    bench.pass(350);
    seen(&mut bench, order.target.worker_key, order.run, 34);
    bench.pass(150);
    seen(&mut bench, order.target.worker_key, order.run, 48);
    expect_that!(bench.stops(), is_empty());
}
