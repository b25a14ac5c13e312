//! Stops of runs that are no longer wanted, and the lease of their worker.

mod common;

use std::time::Duration;

use common::{Harness, acknowledge_batch, chunk, run};
use googletest::prelude::*;
use hornbeam_fleet::{
    BatchTime, FleetInput, FleetOutput, PeerBatch, PeerMessage, PollOutcome, RunId, StartOutcome,
    StopOutcome,
};

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
    lose_stops_beside(harness, worker, run, ms, |_, _| {})
}

/// As `lose_stops`; `each_ms` gets the host and the time in ms so far.
fn lose_stops_beside(
    harness: &mut Harness,
    worker: u64,
    run: RunId,
    ms: u64,
    mut each_ms: impl FnMut(&mut Harness, u64),
) -> Duration {
    let mut ends_by = Duration::ZERO;
    let mut lost_stops = Vec::new();
    for at in 0..ms {
        each_ms(harness, at);
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

/// Starts a task of the peer at `10.1.0.2`, and gets its worker and its run.
fn start_peer_run(harness: &mut Harness) -> (u64, RunId) {
    let worker = harness.add_worker("w1");
    harness.answer_poll(worker, &[], &[]);
    harness.receive_batch(2, 1, Vec::new());
    harness.batches();
    acknowledge_batch(harness, 2);
    harness.receive_batch(2, 2, vec![chunk(5, 1)]);
    let start = harness.starts().remove(0);
    harness.accept_start(&start);
    (worker, start.run)
}

/// Guards against two runs of a task after the host of its job was killed: the run
/// at a peer whose stops are lost goes on when the caller sends the job again
/// (review, case 8).
#[gtest]
fn run_of_a_dead_origin_ends_before_its_caller_retries_if_stops_are_lost() {
    let mut harness = Harness::new(1);
    let (worker, run) = start_peer_run(&mut harness);
    let mut sequence = 2;
    let mut died_at = harness.now;
    let ends_by = lose_stops_beside(&mut harness, worker, run, 2000, |harness, at| {
        if at <= 300 && at % 50 == 0 {
            sequence += 1;
            harness.receive_batch(2, sequence, Vec::new());
            acknowledge_batch(harness, 2);
            died_at = harness.now;
        }
    });
    expect_that!(ends_by, lt(died_at + CALLER_RETRY_DELAY));
}

/// Guards against the same after the job has timed out at a host whose batches are
/// late, so that its stop arrives 400 ms after the answer to the caller (seed 2026
/// of the model check).
#[gtest]
fn run_of_an_origin_with_late_batches_ends_before_its_caller_retries() {
    const TRANSIT_MS: u64 = 400;
    const JOB_ENDS_AT_MS: u64 = 500;
    let mut harness = Harness::new(1);
    let (worker, run) = start_peer_run(&mut harness);
    let started_at = harness.now;
    let mut sequence = 2;
    let mut on_the_way: Vec<(u64, PeerBatch)> = Vec::new();
    let ends_by = lose_stops_beside(&mut harness, worker, run, 2500, |harness, at| {
        if at % 100 == 0 {
            sequence += 1;
            let stop = (at == JOB_ENDS_AT_MS).then(|| PeerMessage::Stop(vec![run]));
            let batch = harness.batch(2, sequence, stop.into_iter().collect());
            on_the_way.push((at + TRANSIT_MS, batch));
        }
        for (_, batch) in on_the_way.extract_if(.., |(due, _)| *due <= at) {
            harness.step(FleetInput::Batch(batch, None));
            acknowledge_batch(harness, 2);
        }
    });
    let job_ended_at = started_at + Duration::from_millis(JOB_ENDS_AT_MS);
    expect_that!(ends_by, lt(job_ended_at + CALLER_RETRY_DELAY));
}

/// Guards against a lease of a worker with a run for a peer that one lost poll
/// would expire, while batches arrive as usual.
#[gtest]
fn lease_of_a_wanted_run_for_a_peer_outlasts_a_lost_poll() {
    let mut harness = Harness::new(1);
    let (worker, run) = start_peer_run(&mut harness);
    let mut sequence = 2;
    for at in 0..2000_u64 {
        // The time from one batch to the next, and 10 ms on the way.
        if at % 200 == 0 {
            sequence += 1;
            let batch = harness.batch(2, sequence, Vec::new());
            harness.advance(10);
            harness.step(FleetInput::Batch(batch, None));
            acknowledge_batch(&mut harness, 2);
        }
        for poll in harness.polls() {
            let expiry = poll.lease_end_ms.map(Duration::from_millis);
            let lease = expiry.unwrap_or_default().saturating_sub(harness.now);
            expect_that!(lease, ge(Duration::from_millis(900)));
            harness.answer_poll(worker, &[run], &[]);
        }
        harness.advance(1);
    }
}

/// Guards against a start under a lease that outlives the time for which the origin
/// is known to want the task.
#[gtest]
fn task_of_a_peer_does_not_join_a_worker_with_a_longer_lease() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    harness.receive_batch(2, 1, Vec::new());
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    let late = harness.batch(2, 2, vec![chunk(5, 1)]);
    let sent_at = harness.now;
    harness.advance(400);
    harness.answer_poll(worker, &[], &[]);
    harness.polls();
    harness.step(FleetInput::Batch(late, None));
    let ends = harness.starts().into_iter();
    let ends = ends.map(|start| latest_end(harness.now, start.lease_end_ms));
    let outlives = |end: &Duration| *end >= sent_at + CALLER_RETRY_DELAY;
    expect_that!(ends.filter(outlives).count(), eq(0));
}

/// Gets the echoes of the batches to peer 2 that were sent so far.
fn echoes(harness: &mut Harness) -> Vec<Option<BatchTime>> {
    let batches = harness.batches().into_iter();
    batches.map(|batch| batch.echo).collect()
}

fn sent_ms(echo: Option<BatchTime>) -> u64 {
    echo.expect("an echo").sent_ms
}

/// Guards against a run that its origin counts as wanted for longer than it is: the
/// echo of a batch says when the origin still wanted it, and a repeated batch has
/// no stop that was requested after it was composed.
#[gtest]
fn repeated_batch_has_its_former_echo_while_a_stop_waits() {
    let mut origin = Harness::new(1);
    origin.receive_batch(2, 1, vec![common::free_status()]);
    let heard_ms = origin.now.as_millis() as u64;
    echoes(&mut origin);
    acknowledge_batch(&mut origin, 2);
    origin.submit(1, 1);
    let sent = echoes(&mut origin);
    expect_that!(sent_ms(sent[0]), eq(heard_ms));
    origin.advance(100);
    origin.step(FleetInput::BatchEnded("entry-2".into(), false));
    origin.advance(30);
    expect_that!(sent_ms(echoes(&mut origin)[0]), eq(heard_ms + 130));
    origin.step(FleetInput::CallerDisconnected(1, 1));
    origin.advance(100);
    origin.step(FleetInput::BatchEnded("entry-2".into(), false));
    origin.advance(30);
    expect_that!(sent_ms(echoes(&mut origin)[0]), eq(heard_ms + 130));
}

/// Guards against the same for a host that was paused while a caller left: it sends
/// a batch before it handles that.
#[gtest]
fn batch_right_after_a_pause_has_the_former_echo() {
    let mut origin = Harness::new(1);
    origin.receive_batch(2, 1, vec![common::free_status()]);
    origin.submit(1, 1);
    let last = echoes(&mut origin).pop().expect("a batch");
    acknowledge_batch(&mut origin, 2);
    origin.advance_at_once(700);
    let first = echoes(&mut origin);
    expect_that!(first.iter().all(|echo| *echo == last), eq(true));
    expect_that!(first.is_empty(), eq(false));
    acknowledge_batch(&mut origin, 2);
    origin.advance(300);
    acknowledge_batch(&mut origin, 2);
    origin.advance(300);
    let later = echoes(&mut origin).pop().expect("a batch");
    expect_that!(sent_ms(later), gt(sent_ms(last) + 700));
}

/// Guards against a lease that a host extends right after a pause, in which the
/// caller may have left and sent its job to another host.
#[gtest]
fn run_of_a_caller_that_left_during_a_pause_ends_before_the_caller_retries() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let run = harness.start_job(1).run;
    harness.answer_poll(worker, &[run], &[]);
    let paused_at = harness.now;
    harness.polls();
    harness.advance_at_once(700);
    harness.answer_poll(worker, &[run], &[]);
    harness.step(FleetInput::CallerDisconnected(1, 1));
    let ends_by = lose_stops(&mut harness, worker, run, 1000);
    expect_that!(ends_by, lt(paused_at + CALLER_RETRY_DELAY));
}

/// Guards against leases that stay short after a pause.
#[gtest]
fn lease_is_extended_as_usual_after_a_pause() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let run = harness.start_job(1).run;
    harness.answer_poll(worker, &[run], &[]);
    harness.polls();
    harness.advance_at_once(700);
    harness.answer_poll(worker, &[run], &[]);
    let first = harness.poll();
    expect_that!(first.wait, le(Duration::from_millis(50)));
    harness.advance(50);
    harness.answer_poll(worker, &[run], &[]);
    let lease_end_ms = harness.poll().lease_end_ms;
    expect_that!(lease_end_ms, some(ge(harness.now.as_millis() as u64 + 900)));
}
