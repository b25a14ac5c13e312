//! Slow and stalled workers.

mod common;

use common::{Harness, run};
use googletest::prelude::*;
use hornbeam_fleet::{
    FleetInput, PollOutcome, PollResponse, RunEnd, RunId, RunProgress, StartRequest,
};

fn report_progress(harness: &mut Harness, worker_key: u64, run: RunId, done_percent: u32) {
    let response = PollResponse {
        clock_ms: u64::try_from(harness.now.as_millis()).expect("a small time"),
        running: vec![RunProgress { run, done_percent }],
        ..PollResponse::default()
    };
    harness.step(FleetInput::PollEnded(
        worker_key,
        PollOutcome::Answered(response),
    ));
}

/// Guards against a job that waits for a stalled run while another worker is
/// free, and against more runs on the stalled worker.
#[gtest]
fn stalled_run_is_moved() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    let request = harness.start_job(1);
    harness.advance(450);
    report_progress(&mut harness, request.target.worker_key, request.run, 0);
    let stops = harness.stops();
    expect_that!(stops.len(), eq(1));
    expect_that!(stops[0].run, eq(request.run));
    harness.submit(2, 1);
    let next = harness.starts().remove(0);
    expect_that!(next.target.worker_key, not(eq(request.target.worker_key)));
}

/// Guards against wasted work when a run is about to end. Its declared time was
/// wrong, and its worker is not slow.
#[gtest]
fn run_longer_than_declared_continues() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    let request = harness.start_job(1);
    harness.advance(450);
    report_progress(&mut harness, request.target.worker_key, request.run, 70);
    expect_that!(harness.stops(), is_empty());
}

/// Guards against a run that is stopped although no other worker has free
/// resources.
#[gtest]
fn slow_run_stays_when_it_fits_nowhere_else() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let request = harness.start_job(1);
    harness.advance(450);
    report_progress(&mut harness, worker, request.run, 10);
    expect_that!(harness.stops(), is_empty());
    expect_that!(request.run, eq(run(1, 0, 1)));
}

/// Guards against a poll that waits beyond the time at which a run is overdue.
#[gtest]
fn poll_returns_when_a_run_is_overdue() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let request = harness.start_job(1);
    harness.advance(300);
    harness.polls();
    report_progress(&mut harness, worker, request.run, 60);
    expect_that!(harness.poll().wait.as_millis(), le(150));
}

/// Guards against a worker that gets no new runs, and a run that is stopped,
/// because the declared time of one task was far too short. This occurs under
/// light load.
#[gtest]
fn single_slow_run_with_progress_is_not_moved() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    let request = harness.start_job(1);
    harness.advance(350);
    report_progress(&mut harness, request.target.worker_key, request.run, 34);
    harness.advance(150);
    report_progress(&mut harness, request.target.worker_key, request.run, 48);
    expect_that!(harness.stops(), is_empty());
}

/// Guards against tasks that are slow on every worker, move from one to the next
/// without an end, and keep new runs off each of them.
#[gtest]
fn task_that_is_slow_on_every_worker_stays() {
    const WORKERS: u32 = 8;
    const MAX_MOVES: usize = 4;
    let mut harness = Harness::new(1);
    for worker in 0..WORKERS {
        harness.add_worker(&format!("w{worker}"));
    }
    harness.submit(1, 2);
    let mut starts = 0;
    for _ in 0..WORKERS {
        let requests = harness.starts();
        starts += requests.len();
        for request in &requests {
            harness.accept_start(request);
        }
        harness.advance(450);
        let Some(request) = requests.first() else {
            break;
        };
        let worker_key = request.target.worker_key;
        let slow = |request: &StartRequest| RunProgress {
            run: request.run,
            done_percent: 22,
        };
        let response = PollResponse {
            clock_ms: u64::try_from(harness.now.as_millis()).expect("a small time"),
            running: requests.iter().map(slow).collect(),
            ..PollResponse::default()
        };
        harness.step(FleetInput::PollEnded(
            worker_key,
            PollOutcome::Answered(response),
        ));
        harness.polls();
        let stops = harness.stops();
        if stops.is_empty() {
            break;
        }
        let ended: Vec<_> = (1..)
            .zip(stops)
            .map(|(sequence, stop)| (sequence, stop.run, RunEnd::Lost))
            .collect();
        harness.answer_poll(worker_key, &[], &ended);
    }
    expect_that!(starts, le(2 * (1 + MAX_MOVES)));
}
