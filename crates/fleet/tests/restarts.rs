//! Workers that restart under their id while start requests to them are on their
//! way.

mod common;

use common::{Harness, acknowledge_batch, chunk, report};
use googletest::prelude::*;
use hornbeam_fleet::{
    EndedRun, FleetInput, JobOutcome, PeerMessage, PollOutcome, PollRequest, PollResponse, RunEnd,
    RunId, RunProgress, StartOutcome, StartRequest, WorkerKey,
};

/// Start time of the later incarnation.
const LATER_BORN_UNIX_MS: u64 = 900;

/// Clock of the later incarnation when it answers.
const LATER_CLOCK_MS: u64 = 30;

/// Builds the answer of the later incarnation to a poll.
fn later_incarnation(running: &[RunId], ended: &[(RunId, RunEnd)]) -> PollOutcome {
    let progress = |run: &RunId| RunProgress {
        run: *run,
        done_percent: 0,
    };
    let end = |(sequence, (run, end)): (u64, &(RunId, RunEnd))| EndedRun {
        sequence,
        run: Some(*run),
        end: *end,
    };
    PollOutcome::Answered(PollResponse {
        clock_ms: LATER_CLOCK_MS,
        born_unix_ms: Some(LATER_BORN_UNIX_MS),
        running: running.iter().map(progress).collect(),
        ended: (1..).zip(ended).map(end).collect(),
    })
}

/// Creates a host with two workers, the second of which is never disturbed.
fn host() -> Harness {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    harness
}

/// Submits a job with one task and gets its start request, which is not answered.
fn start(harness: &mut Harness) -> StartRequest {
    harness.polls();
    harness.submit(1, 1);
    harness.starts().remove(0)
}

/// Ends the poll in flight with an answer of the later incarnation, which has no
/// owner, and gets the poll that follows with a higher fencing token.
fn restart_seen_by_poll(harness: &mut Harness, start: &StartRequest) -> PollRequest {
    let worker_key = start.target.worker_key;
    harness.step(FleetInput::PollEnded(
        worker_key,
        later_incarnation(&[], &[]),
    ));
    settling_poll(harness, start)
}

fn settling_poll(harness: &mut Harness, start: &StartRequest) -> PollRequest {
    let first = poll_of(harness, start);
    let former_token = start.target.fencing_token;
    expect_that!(first.target.fencing_token, eq(former_token));
    let worker_key = first.target.worker_key;
    let unowned = later_incarnation(&[start.run], &[]);
    harness.step(FleetInput::PollEnded(worker_key, unowned));
    let poll = poll_of(harness, start);
    expect_that!(poll.target.fencing_token, gt(former_token));
    poll
}

/// Takes the poll of the worker that got a start request.
fn poll_of(harness: &mut Harness, start: &StartRequest) -> PollRequest {
    let is_of_worker = |poll: &PollRequest| poll.target.worker_id == start.target.worker_id;
    let poll = harness.polls().into_iter().find(is_of_worker);
    let poll = poll.expect("a poll");
    expect_that!(poll.lease_end_ms, none());
    poll
}

fn end_poll(harness: &mut Harness, worker_key: WorkerKey, outcome: PollOutcome) {
    harness.step(FleetInput::PollEnded(worker_key, outcome));
}

/// Answers a poll of the later incarnation, which lists these runs.
fn list(harness: &mut Harness, worker_key: WorkerKey, running: &[RunId]) {
    end_poll(harness, worker_key, later_incarnation(running, &[]));
}

/// Lists the run until it has been stopped, and expects that its task starts
/// elsewhere only then.
fn expect_start_after_the_run(harness: &mut Harness, poll: &PollRequest, run: RunId) {
    let worker_key = poll.target.worker_key;
    expect_that!(harness.starts(), is_empty());
    list(harness, worker_key, &[run]);
    let stops = harness.stops();
    expect_that!(stops.len(), eq(1));
    expect_that!(stops[0].run, eq(run));
    expect_that!(stops[0].target.fencing_token, eq(poll.target.fencing_token));
    harness.advance(50);
    expect_that!(harness.starts(), is_empty());
    list(harness, worker_key, &[]);
    expect_that!(harness.starts().len(), eq(1));
}

/// Expects that a task starts elsewhere after this time, in ms, and within 20 ms of
/// it.
fn expect_start_after(harness: &mut Harness, ms: u64) {
    expect_that!(starts_within(harness, ms), eq(false));
    expect_that!(starts_within(harness, 20), eq(true));
}

/// Guards against a second run of a task while the later incarnation of its worker
/// carries out the start request, of which no answer arrived before the restart
/// was seen (review, case 7).
#[gtest]
fn run_that_the_later_incarnation_started_ends_before_its_task_starts_elsewhere() {
    let mut harness = host();
    let start = start(&mut harness);
    let poll = restart_seen_by_poll(&mut harness, &start);
    harness.advance(30);
    expect_start_after_the_run(&mut harness, &poll, start.run);
}

/// Guards against the same if the answer to the start request comes from the later
/// incarnation: its clock is below the one that was read before the request.
#[gtest]
fn start_accepted_by_a_later_incarnation_shows_the_restart() {
    let mut harness = host();
    let start = start(&mut harness);
    harness.answer_start(&start, StartOutcome::Accepted(LATER_CLOCK_MS));
    let poll = settling_poll(&mut harness, &start);
    expect_start_after_the_run(&mut harness, &poll, start.run);
}

/// Reports the later incarnation, and gets the poll with the former token and that
/// of the take-over.
fn restart_seen_by_report(
    harness: &mut Harness,
    start: &StartRequest,
) -> (PollRequest, PollRequest) {
    let mut restarted = report(&start.target.worker_id, 1);
    restarted.born_unix_ms = LATER_BORN_UNIX_MS;
    harness.step(FleetInput::Reported(5, restarted));
    let mut polls = harness.polls();
    expect_that!(polls.len(), eq(2));
    polls.sort_by_key(|poll| poll.target.fencing_token);
    let take_over = polls.remove(1);
    (polls.remove(0), take_over)
}

/// Guards against the same if a status report shows the restart, and if this host
/// takes the later incarnation over meanwhile.
#[gtest]
fn take_over_of_the_later_incarnation_settles_its_runs() {
    let mut harness = host();
    let start = start(&mut harness);
    let (first, take_over) = restart_seen_by_report(&mut harness, &start);
    let owned = PollOutcome::Fenced(None);
    end_poll(&mut harness, first.target.worker_key, owned);
    expect_start_after_the_run(&mut harness, &take_over, start.run);
}

/// Guards against a second run of a task that was known to run, but whose first
/// start request, without an answer, can still be carried out.
#[gtest]
fn start_that_was_sent_again_is_settled_although_its_run_was_listed() {
    let mut harness = host();
    let start = start(&mut harness);
    harness.answer_start(&start, StartOutcome::Unanswered);
    let again = harness.starts().remove(0);
    harness.accept_start(&again);
    harness.answer_poll(start.target.worker_key, &[start.run], &[]);
    harness.polls();
    let poll = restart_seen_by_poll(&mut harness, &start);
    expect_that!(harness.starts(), is_empty());
    list(&mut harness, poll.target.worker_key, &[]);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against the same for a task of a peer's job: its origin would start it
/// elsewhere.
#[gtest]
fn end_of_a_peers_run_is_reported_after_it_is_settled() {
    let mut harness = host();
    harness.receive_batch(2, 1, Vec::new());
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.receive_batch(2, 2, vec![chunk(5, 1)]);
    let start = harness.starts().remove(0);
    harness.polls();
    let poll = restart_seen_by_poll(&mut harness, &start);
    let has_ended = |harness: &mut Harness| {
        let batches = harness.batches();
        let mut messages = batches.iter().flat_map(|batch| &batch.messages);
        let has_ended = messages.any(|message| matches!(message, PeerMessage::Ended(..)));
        acknowledge_batch(harness, 2);
        has_ended
    };
    expect_that!(has_ended(&mut harness), eq(false));
    list(&mut harness, poll.target.worker_key, &[]);
    expect_that!(has_ended(&mut harness), eq(true));
}

/// Guards against a task that starts again although the later incarnation has
/// completed it.
#[gtest]
fn run_that_the_later_incarnation_completed_counts() {
    let mut harness = host();
    let start = start(&mut harness);
    let poll = restart_seen_by_poll(&mut harness, &start);
    let done = later_incarnation(&[], &[(start.run, RunEnd::Done)]);
    end_poll(&mut harness, poll.target.worker_key, done);
    expect_that!(harness.starts(), is_empty());
    let answers = harness.answers();
    expect_that!(answers, elements_are![eq(&(1, JobOutcome::Completed))]);
}

/// Guards against a start elsewhere while a run may go on under the lease that a
/// later incarnation counts from the arrival of the start request: a higher token
/// was seen, but the answer does not list the runs.
#[gtest]
fn task_waits_for_a_lease_if_another_host_owns_the_later_incarnation() {
    let mut harness = host();
    let start = start(&mut harness);
    let poll = restart_seen_by_poll(&mut harness, &start);
    let fenced = PollOutcome::Fenced(None);
    end_poll(&mut harness, poll.target.worker_key, fenced);
    expect_start_after(&mut harness, 1040);
}

/// Guards against the same if the host is told of the new owner before it sees
/// that the worker has restarted.
#[gtest]
fn unanswered_start_waits_for_a_lease_if_another_host_owns_the_worker() {
    let mut harness = host();
    let start = start(&mut harness);
    harness.advance(30);
    let worker_key = start.target.worker_key;
    end_poll(&mut harness, worker_key, PollOutcome::Fenced(None));
    expect_start_after(&mut harness, 1040);
}

/// Guards against a start elsewhere while a worker that does not answer may have
/// restarted and have received the last start request when it was given up.
#[gtest]
fn unanswered_start_at_a_silent_worker_outlasts_the_lease() {
    let mut harness = host();
    let start = start(&mut harness);
    let worker_key = start.target.worker_key;
    end_poll(&mut harness, worker_key, PollOutcome::Unanswered);
    harness.answer_start(&start, StartOutcome::Unanswered);
    let again = harness.starts().remove(0);
    harness.answer_start(&again, StartOutcome::Unanswered);
    let last = harness.starts().remove(0);
    let received_by = last.timeout.as_millis() as u64;
    expect_start_after(&mut harness, 1040 + received_by);
}

/// Guards against tasks that wait although their runs certainly ended with the
/// former incarnation.
#[gtest]
fn run_of_the_former_incarnation_ends_with_the_restart() {
    let mut harness = host();
    let start = start(&mut harness);
    harness.accept_start(&start);
    let worker_key = start.target.worker_key;
    end_poll(&mut harness, worker_key, later_incarnation(&[], &[]));
    expect_that!(harness.starts().len(), eq(1));
}

/// Whether a start request is sent within a time, in ms.
fn starts_within(harness: &mut Harness, ms: u64) -> bool {
    for _ in 0..ms {
        harness.advance(1);
        if !harness.starts().is_empty() {
            return true;
        }
    }
    false
}

/// Guards against a start request that the later incarnation carries out although
/// the task has been given up: it is shut out as soon as the restart is seen.
#[gtest]
fn later_incarnation_is_fenced_although_no_run_is_left() {
    let mut harness = host();
    let start = start(&mut harness);
    harness.answer_start(&start, StartOutcome::Unanswered);
    let again = harness.starts().remove(0);
    let worker_key = start.target.worker_key;
    harness.accept_start(&again);
    let done = [(1, start.run, RunEnd::Done)];
    harness.answer_poll(worker_key, &[], &done);
    harness.polls();
    restart_seen_by_poll(&mut harness, &start);
}

/// Guards against a poll that shuts out the owner of the later incarnation, which
/// a late report does not show.
#[gtest]
fn owner_of_the_later_incarnation_is_not_shut_out() {
    let mut harness = host();
    let start = start(&mut harness);
    let mut restarted = report(&start.target.worker_id, 1);
    restarted.born_unix_ms = LATER_BORN_UNIX_MS;
    harness.step(FleetInput::ReportedAt(5, restarted, 100));
    let polls = harness.polls();
    expect_that!(polls.len(), eq(2));
    for poll in &polls {
        let token = poll.target.fencing_token;
        expect_that!(token, le(start.target.fencing_token));
        let owned = PollOutcome::Fenced(Some(5000));
        end_poll(&mut harness, poll.target.worker_key, owned);
    }
    expect_that!(harness.polls(), is_empty());
    expect_start_after(&mut harness, 1040);
}

/// Guards against a run that an earlier start request began after its task was given
/// up: it would go on beside the next one.
#[gtest]
fn run_of_a_given_up_start_is_stopped() {
    let mut harness = host();
    let start = start(&mut harness);
    harness.answer_start(&start, StartOutcome::Unanswered);
    let again = harness.starts().remove(0);
    harness.accept_start(&again);
    let done = [(1, start.run, RunEnd::Done)];
    harness.answer_poll(start.target.worker_key, &[], &done);
    harness.polls();
    let poll = restart_seen_by_poll(&mut harness, &start);
    list(&mut harness, poll.target.worker_key, &[start.run]);
    let stops = harness.stops();
    expect_that!(stops.len(), eq(1));
    expect_that!(stops[0].run, eq(start.run));
}

/// Guards against a host that shuts out its own take-over of the later incarnation.
#[gtest]
fn own_take_over_of_the_later_incarnation_is_not_shut_out() {
    let mut harness = host();
    let start = start(&mut harness);
    let (first, take_over) = restart_seen_by_report(&mut harness, &start);
    list(&mut harness, first.target.worker_key, &[]);
    harness.advance(100);
    let tokens = harness.polls().into_iter();
    let highest = tokens.map(|poll| poll.target.fencing_token).max();
    expect_that!(highest, some(lt(take_over.target.fencing_token)));
}
