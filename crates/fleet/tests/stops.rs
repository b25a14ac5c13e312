//! Stops of runs that are no longer wanted, and the lease of their worker.

mod common;

use std::time::Duration;

use common::{Harness, acknowledge_batch, chunk, run};
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, FleetOutput, PollOutcome, RunId, StartOutcome, StopOutcome};

/// Time after a missing answer at which a caller sends its job again.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(1300);

/// Latest time by which a run has ended after the worker got this expiry: the
/// worker's clock may be 2 percent slow, and a stop takes up to 50 ms.
fn latest_end(sent_at: Duration, lease_end_ms: u64) -> Duration {
    let left = Duration::from_millis(lease_end_ms).saturating_sub(sent_at);
    sent_at + left * 100 / 98 + Duration::from_millis(50)
}

/// Answers the polls of a worker that runs the given runs, and gets the latest
/// time by which a lease that was sent to it ends.
fn answer_polls(harness: &mut Harness, running: &[RunId]) -> Option<Duration> {
    let polls = harness.polls();
    for poll in &polls {
        harness.answer_poll(poll.target.worker_key, running, &[]);
    }
    let now = harness.now;
    let expiries = polls.iter().filter_map(|poll| poll.lease_end_ms);
    expiries.map(|expiry| latest_end(now, expiry)).max()
}

/// Starts a job whose run goes on until the job times out. The polls of the
/// worker are answered, and the stop request of the run is sent last.
fn time_out_job(harness: &mut Harness, worker: u64) -> RunId {
    let run = harness.start_job(1).run;
    harness.answer_poll(worker, &[run], &[]);
    while harness.answers().is_empty() {
        answer_polls(harness, &[run]);
        harness.advance(100);
    }
    run
}

/// Guards against a run that outlives its job because polls renew its lease
/// while each of its stop requests is lost.
#[gtest]
fn run_of_an_ended_job_ends_before_its_caller_retries_if_stops_are_lost() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let run = time_out_job(&mut harness, worker);
    let job_ended_at = harness.now;
    harness.submit(2, 1);
    let ends_by = lose_stops(&mut harness, worker, run, 1000);
    expect_that!(ends_by, lt(job_ended_at + CALLER_RETRY_DELAY));
}

/// Guards against a worker that stays without a lease after the stop request
/// that was lost has been repeated and accepted.
#[gtest]
fn lease_is_extended_again_after_a_repeated_stop() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let run = time_out_job(&mut harness, worker);
    expect_that!(harness.stops().len(), eq(1));
    let stop_ended = |outcome| FleetInput::StopRequestEnded(worker, run, outcome);
    harness.step(stop_ended(StopOutcome::Unanswered));
    harness.polls();
    harness.answer_poll(worker, &[run], &[]);
    expect_that!(harness.poll().lease_end_ms, none());
    harness.advance(100);
    expect_that!(harness.stops().len(), eq(1));
    harness.step(stop_ended(StopOutcome::Accepted));
    harness.answer_poll(worker, &[run], &[]);
    expect_that!(harness.poll().lease_end_ms, some(anything()));
}

/// Guards against a lease that is renewed for a run that its owner does not know,
/// whose stops may be lost as well.
#[gtest]
fn lease_is_not_extended_while_an_unknown_run_is_listed() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    harness.answer_poll(worker, &[run(9, 0, 1)], &[]);
    expect_that!(harness.poll().lease_end_ms, none());
    harness.answer_poll(worker, &[], &[]);
    expect_that!(harness.poll().lease_end_ms, some(anything()));
}

/// Advances the time while polls are answered and stop requests are lost, and
/// gets the latest time by which a lease that was sent to the worker ends.
fn lose_stops(harness: &mut Harness, worker: u64, run: RunId, ms: u64) -> Duration {
    let mut ends_by = Duration::ZERO;
    let mut lost_stops = Vec::new();
    for _ in 0..ms {
        for stop in harness.stops() {
            lost_stops.push((harness.now + stop.timeout, stop.run));
        }
        let is_lost = |(lost_at, _): &mut (Duration, RunId)| *lost_at <= harness.now;
        let lost: Vec<(Duration, RunId)> = lost_stops.extract_if(.., is_lost).collect();
        for (_, run) in lost {
            let lost = FleetInput::StopRequestEnded(worker, run, StopOutcome::Unanswered);
            harness.step(lost);
        }
        ends_by = ends_by.max(answer_polls(harness, &[run]).unwrap_or(ends_by));
        for start in harness.starts() {
            ends_by = ends_by.max(latest_end(harness.now, start.lease_end_ms));
        }
        harness.advance(1);
    }
    ends_by
}

/// Counts the requests so far to close the connections to workers.
fn closed_connections(harness: &mut Harness) -> usize {
    let is_close = |output: &FleetOutput| matches!(output, FleetOutput::DropConnections(_));
    let count = harness.outputs.iter().filter(|output| is_close(output));
    let count = count.count();
    harness.outputs.retain(|output| !is_close(output));
    count
}

/// Guards against requests that are lost one after the other because each is sent
/// on another connection that has gone silent.
#[gtest]
fn request_after_an_unanswered_one_is_sent_on_a_new_connection() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    harness.submit(1, 1);
    let start = harness.starts().remove(0);
    expect_that!(closed_connections(&mut harness), eq(0));
    harness.answer_start(&start, StartOutcome::Unanswered);
    expect_that!(closed_connections(&mut harness), eq(1));
    harness.accept_start(&start);
    harness.step(FleetInput::PollEnded(worker, PollOutcome::Unanswered));
    expect_that!(closed_connections(&mut harness), eq(1));
    harness.answer_poll(worker, &[start.run], &[]);
    harness.step(FleetInput::CallerDisconnected(1, 1));
    let stop = harness.stops().remove(0);
    let lost = FleetInput::StopRequestEnded(worker, stop.run, StopOutcome::Unanswered);
    harness.step(lost);
    expect_that!(closed_connections(&mut harness), eq(1));
}

/// Guards against a second run at the origin of a task while the first one is
/// still active at a peer that has lost contact with the origin and whose stops
/// are lost.
#[gtest]
fn run_of_a_silent_origin_ends_before_the_origin_restarts_it_if_stops_are_lost() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    harness.answer_poll(worker, &[], &[]);
    harness.receive_batch(2, 1, Vec::new());
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    let acked_at = harness.now;
    harness.receive_batch(2, 2, vec![chunk(5, 1)]);
    let start = harness.starts().remove(0);
    harness.accept_start(&start);
    let ends_by = lose_stops(&mut harness, worker, start.run, 1500);

    let mut origin = Harness::new(1);
    origin.receive_batch(2, 1, vec![common::free_status()]);
    origin.batches();
    acknowledge_batch(&mut origin, 2);
    origin.submit(1, 1);
    let heard_at = origin.now;
    origin.add_worker("w1");
    while origin.starts().is_empty() {
        origin.advance(1);
        assert_that!(origin.now - heard_at, lt(Duration::from_secs(3)));
    }
    expect_that!(ends_by - acked_at, lt(origin.now - heard_at));
}
