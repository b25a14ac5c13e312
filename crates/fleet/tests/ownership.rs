//! Ownership of workers: fencing tokens, take-over, leases and loss.

mod common;

use std::time::Duration;

use common::{Harness, report, run};
use googletest::prelude::*;
use hornbeam_fleet::{
    FencingToken, FleetInput, FleetOutput, PeerMessage, PollOutcome, PollRequest, PollResponse,
    ReportAnswer, RunEnd, StartOutcome, StartRefusal,
};

fn report_answer(harness: &Harness) -> Option<ReportAnswer> {
    let mut answers = harness
        .outputs
        .iter()
        .rev()
        .filter_map(|output| match output {
            FleetOutput::AnswerReport(_, answer) => Some(*answer),
            _ => None,
        });
    answers.next()
}

/// Guards against two owners with the same fencing token, between which a
/// worker could not decide.
#[gtest]
fn hosts_never_share_a_fencing_token() {
    let mut first = Harness::new(1);
    let mut second = Harness::new(2);
    first.step(FleetInput::Reported(1, report("w1", 1)));
    second.step(FleetInput::Reported(1, report("w1", 1)));
    let first = first.poll().target.fencing_token;
    let second = second.poll().target.fencing_token;
    expect_that!(first, not(eq(second)));
}

/// Guards against a fencing token that does not increase when the clock stands
/// still or goes back.
#[gtest]
fn fencing_token_increases_when_the_clock_goes_back() {
    let mut harness = Harness::new(1);
    harness.step(FleetInput::Reported(1, report("w1", 1)));
    let first = harness.poll().target.fencing_token;
    harness.unix_ms -= 60_000;
    harness.step(FleetInput::Reported(2, report("w2", 1)));
    let second = harness.polls().pop().map(|poll| poll.target.fencing_token);
    expect_that!(second, some(gt(first)));
}

/// Guards against extending the lease of runs that their former owner counts as
/// ended once the last lease that it sent has expired.
#[gtest]
fn take_over_extends_no_lease_while_runs_of_a_former_owner_are_left() {
    let mut harness = Harness::new(1);
    harness.step(FleetInput::Reported(1, report("w1", 1)));
    let poll = harness.poll();
    expect_that!(poll.lease_end_ms, none());
    let foreign = run(9, 0, 1);
    harness.answer_poll(poll.target.worker_key, &[foreign], &[]);
    let stops = harness.stops();
    expect_that!(stops.len(), eq(1));
    expect_that!(stops[0].run, eq(foreign));
    harness.submit(1, 1);
    expect_that!(harness.starts(), is_empty());
    harness.advance(50);
    let poll = harness.poll();
    expect_that!(poll.lease_end_ms, none());
    harness.answer_poll(poll.target.worker_key, &[], &[]);
    expect_that!(harness.starts().len(), eq(1));
    expect_that!(harness.poll().lease_end_ms, some(anything()));
}

/// Guards against a worker that no host can take over because the clock of its
/// former owner was ahead.
#[gtest]
fn take_over_raises_a_refused_fencing_token() {
    let mut harness = Harness::new(1);
    harness.step(FleetInput::Reported(1, report("w1", 1)));
    let refused = harness.poll();
    harness.step(FleetInput::PollEnded(
        refused.target.worker_key,
        PollOutcome::Fenced(None),
    ));
    let raised = harness.poll();
    expect_that!(
        raised.target.fencing_token,
        gt(refused.target.fencing_token)
    );
}

/// Guards against requests with a superseded fencing token, and against a
/// second run before the lease of the first has expired.
#[gtest]
fn fenced_owner_gives_up_the_worker_and_waits_for_its_lease() {
    let mut harness = Harness::new(1);
    let lost = harness.add_worker("w1");
    harness.add_worker("w2");
    harness.submit(1, 2);
    let requests = harness.starts();
    expect_that!(requests.len(), eq(2));
    let worker_key = requests[0].target.worker_key;
    let granted_at = harness.now;
    for request in &requests {
        harness.accept_start(request);
    }
    expect_that!(worker_key, eq(lost));
    harness.step(FleetInput::PollEnded(worker_key, PollOutcome::Fenced(None)));
    harness.polls();
    while harness.starts().is_empty() {
        harness.advance(1);
        let polls = harness.polls();
        let polls_to_lost = polls
            .iter()
            .filter(|poll| poll.target.worker_key == worker_key);
        expect_that!(polls_to_lost.count(), eq(0));
        assert_that!(harness.now - granted_at, lt(Duration::from_millis(1300)));
    }
    expect_that!(harness.now - granted_at, ge(Duration::from_millis(1000)));
}

/// Guards against runs that count as active after a process pause in which
/// their lease expired, and against starts under that lease.
#[gtest]
fn pause_beyond_the_lease_ends_the_runs_first() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    harness.start_job(1);
    harness.advance_at_once(1500);
    expect_that!(harness.starts(), is_empty());
    harness.advance(50);
    let second = harness.starts().remove(0);
    expect_that!(second.run, eq(run(1, 0, 2)));
    expect_that!(second.target.worker_key, eq(worker));
    let clock_ms = u64::try_from(harness.now.as_millis()).expect("a small time");
    expect_that!(second.lease_end_ms, ge(clock_ms + 900));
}

/// Guards against a lease that is considered expired too early when the
/// worker's clock is slow by 2 percent.
#[gtest]
fn lease_expiry_allows_for_a_clock_two_percent_slow() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    let request = harness.start_job(1);
    harness.step(FleetInput::PollEnded(
        request.target.worker_key,
        PollOutcome::Unanswered,
    ));
    harness.advance(1019);
    expect_that!(harness.starts(), is_empty());
}

/// Guards against a lease that never expires because polls that may reach a
/// silent worker keep extending it. Its tasks would wait until their callers
/// time out.
#[gtest]
fn unanswered_polls_do_not_extend_the_lease() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    let request = harness.start_job(1);
    let silent = request.target.worker_key;
    harness.step(FleetInput::PollEnded(silent, PollOutcome::Unanswered));
    let silent_since = harness.now;
    harness.add_worker("w2");
    while harness.starts().is_empty() {
        harness.advance(1);
        for poll in harness.polls() {
            if poll.target.worker_key == silent {
                expect_that!(poll.lease_end_ms, none());
                harness.step(FleetInput::PollEnded(silent, PollOutcome::Unanswered));
            }
        }
        assert_that!(harness.now - silent_since, lt(Duration::from_millis(1300)));
    }
}

/// Guards against a job that waits for a lease to expire although its worker
/// has restarted and runs nothing.
#[gtest]
fn restarted_worker_loses_its_runs_at_once() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    let first = harness.start_job(1);
    let mut restarted = report(&first.target.worker_id, 1);
    restarted.born_unix_ms += 1000;
    harness.step(FleetInput::Reported(5, restarted));
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a late report of a previous incarnation that replaces the
/// current one.
#[gtest]
fn late_report_of_a_previous_incarnation_is_ignored() {
    let mut harness = Harness::new(1);
    let mut current = report("w1", 1);
    current.born_unix_ms = 100;
    harness.step(FleetInput::Reported(1, current));
    let worker_key = harness.poll().target.worker_key;
    harness.answer_poll(worker_key, &[], &[]);
    harness.polls();
    let mut late = report("w1", 40);
    late.draining = true;
    harness.step(FleetInput::Reported(2, late));
    expect_that!(harness.polls(), is_empty());
    harness.submit(1, 1);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against new runs on a worker that is about to leave.
#[gtest]
fn draining_worker_gets_no_new_runs() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    let mut leaving = report("w1", 2);
    leaving.draining = true;
    harness.step(FleetInput::Reported(2, leaving));
    expect_that!(report_answer(&harness), some(eq(ReportAnswer::Taken)));
    harness.submit(1, 1);
    expect_that!(harness.starts(), is_empty());
}

/// Guards against a reordered report that cancels a drain.
#[gtest]
fn reordered_report_does_not_end_a_drain() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    let mut leaving = report("w1", 3);
    leaving.draining = true;
    harness.step(FleetInput::Reported(2, leaving));
    harness.step(FleetInput::Reported(3, report("w1", 2)));
    harness.submit(1, 1);
    expect_that!(harness.starts(), is_empty());
}

/// Guards against a worker that fails every run, and therefore always has free
/// resources and attracts more.
#[gtest]
fn failing_worker_is_ejected() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    for job in 1..=2 {
        harness.submit(job, 1);
        let request = harness.starts().remove(0);
        let refused = StartOutcome::Refused(StartRefusal::Unhealthy);
        harness.answer_start(&request, refused);
    }
    harness.submit(3, 1);
    expect_that!(harness.starts(), is_empty());
}

/// Guards against a run that disappeared without an end and blocks its job
/// until the deadline.
#[gtest]
fn vanished_run_is_retried() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let first = harness.start_job(1);
    harness.advance(1);
    harness.answer_poll(worker, &[first.run], &[]);
    harness.advance(1);
    harness.answer_poll(worker, &[], &[]);
    let second = harness.starts().remove(0);
    expect_that!(second.run, eq(run(1, 0, 2)));
}

/// Guards against runs that belong to no job of this host, for example from a
/// start request that was carried out seconds late.
#[gtest]
fn unknown_run_on_an_owned_worker_is_stopped() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    harness.answer_poll(worker, &[run(77, 0, 1)], &[]);
    let stops = harness.stops();
    expect_that!(stops.len(), eq(1));
    expect_that!(stops[0].run, eq(run(77, 0, 1)));
}

/// Guards against a drain that leaves workers without an owner, or hands over
/// one with active runs.
#[gtest]
fn drain_hands_over_idle_workers() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let request = harness.start_job(1);
    harness.receive_batch(2, 1, Vec::new());
    harness.batches();
    harness.step(FleetInput::BatchEnded("entry-2".into(), true));
    harness.step(FleetInput::Drain);
    harness.step(FleetInput::BatchEnded("entry-2".into(), true));
    let handed_over = |harness: &mut Harness| {
        let messages = harness
            .batches()
            .into_iter()
            .flat_map(|batch| batch.messages);
        let hand_over = |message: &PeerMessage| matches!(message, PeerMessage::HandOver(..));
        messages.filter(hand_over).count()
    };
    expect_that!(handed_over(&mut harness), eq(0));
    harness.answer_poll(worker, &[], &[(1, request.run, RunEnd::Done)]);
    harness.step(FleetInput::BatchEnded("entry-2".into(), true));
    expect_that!(handed_over(&mut harness), eq(1));
    expect_that!(harness.fleet.owned_workers(), eq(0));
}

/// Guards against callers that stay on connections of a host that shuts down,
/// and against a drain that refuses jobs before callers could move.
#[gtest]
fn drain_closes_caller_connections_before_it_refuses_jobs() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.step(FleetInput::Drain);
    expect_that!(harness.fleet.closes_caller_connections(), eq(false));
    harness.advance(2300);
    expect_that!(harness.fleet.closes_caller_connections(), eq(true));
    harness.submit(1, 1);
    expect_that!(harness.answers(), is_empty());
    harness.advance(2200);
    harness.submit(2, 1);
    let refused = harness.answers().into_iter().any(|(_, outcome)| {
        outcome == hornbeam_fleet::JobOutcome::NotRun(hornbeam_fleet::NotRun::Draining)
    });
    expect_that!(refused, eq(true));
}

/// Guards against a second run beside the first one when a delayed deregistration
/// of a worker's previous incarnation arrives.
#[gtest]
fn late_deregistration_does_not_end_the_runs_of_the_next_incarnation() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    let first = harness.start_job(1);
    let worker = first.target.worker_key;
    harness.answer_poll(worker, &[first.run], &[]);
    harness.step(FleetInput::Departed(first.target.worker_id));
    expect_that!(harness.starts(), is_empty());
    harness.polls();
    harness.answer_poll(worker, &[], &[(1, first.run, RunEnd::Done)]);
    expect_that!(harness.answers().len(), eq(1));
}

/// Guards against a second run beside the first one when the deregistration is of
/// a previous incarnation and the current one drains as well.
#[gtest]
fn deregistration_of_a_draining_worker_ends_its_runs_with_the_lease() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    let first = harness.start_job(1);
    let granted_at = harness.now;
    let mut draining = report(&first.target.worker_id, 2);
    draining.draining = true;
    harness.step(FleetInput::Reported(2, draining));
    harness.step(FleetInput::Departed(first.target.worker_id));
    while harness.starts().is_empty() {
        harness.advance(1);
        assert_that!(harness.now - granted_at, lt(Duration::from_millis(1300)));
    }
    expect_that!(harness.now - granted_at, ge(Duration::from_millis(1000)));
}

/// Guards against a report with an impossible start time that hides a worker and
/// ends its runs. It may come from another writer under the worker's id.
#[gtest]
fn report_with_a_start_time_in_the_future_replaces_no_worker() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    let first = harness.start_job(1);
    let mut odd = report(&first.target.worker_id, 1);
    odd.born_unix_ms = u64::MAX;
    harness.step(FleetInput::Reported(2, odd));
    expect_that!(report_answer(&harness), some(eq(ReportAnswer::Declined)));
    expect_that!(harness.starts(), is_empty());
    let sound = report(&first.target.worker_id, 2);
    harness.step(FleetInput::Reported(3, sound));
    expect_that!(report_answer(&harness), some(eq(ReportAnswer::Taken)));
}

/// Reports a worker that sent the report at `sent_ms` on its clock, and gets the
/// poll that verifies the report.
fn verify(harness: &mut Harness, sent_ms: u64) -> PollRequest {
    harness.step(FleetInput::ReportedAt(1, report("w1", 1), sent_ms));
    let poll = harness.poll();
    expect_that!(poll.target.fencing_token, eq(FencingToken(0)));
    expect_that!(poll.lease_end_ms, none());
    poll
}

/// Guards against a report, held up by a partition, by which a host takes a worker
/// from its owner. The worker may drain by now, which only its owner knows.
#[gtest]
fn late_report_takes_no_worker_from_its_owner() {
    for clock_ms in [1_500, 10_000, 100] {
        let mut harness = Harness::new(1);
        let poll = verify(&mut harness, 400);
        let fenced = PollOutcome::Fenced(Some(clock_ms));
        harness.step(FleetInput::PollEnded(poll.target.worker_key, fenced));
        harness.submit(1, 1);
        harness.advance(100);
        expect_that!(harness.polls(), is_empty(), "worker clock {clock_ms} ms");
        expect_that!(harness.starts(), is_empty());
    }
}

/// Guards against a late report by which a host takes over a worker that has no
/// owner but drains by now.
#[gtest]
fn late_report_of_a_worker_without_an_owner_is_ignored() {
    let mut harness = Harness::new(1);
    let poll = verify(&mut harness, 400);
    harness.advance(1500);
    harness.answer_poll(poll.target.worker_key, &[], &[]);
    harness.submit(1, 1);
    expect_that!(harness.polls(), is_empty());
    expect_that!(harness.starts(), is_empty());
}

/// Guards against a worker that nobody takes over after its owner has died.
#[gtest]
fn recent_report_takes_a_worker_over() {
    let mut harness = Harness::new(1);
    let poll = verify(&mut harness, 400);
    let worker_key = poll.target.worker_key;
    harness.step(FleetInput::PollEnded(
        worker_key,
        PollOutcome::Fenced(Some(420)),
    ));
    let take_over = harness.poll();
    expect_that!(take_over.target.fencing_token, gt(FencingToken(0)));
    harness.answer_poll(worker_key, &[], &[]);
    harness.submit(1, 1);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a worker that is not taken over because its first report got
/// old while the worker could not be reached.
#[gtest]
fn newer_report_is_verified_in_place_of_an_older_one() {
    let mut harness = Harness::new(1);
    let poll = verify(&mut harness, 400);
    let worker_key = poll.target.worker_key;
    harness.step(FleetInput::ReportedAt(2, report("w1", 2), 1_900));
    let fenced = PollOutcome::Fenced(Some(1_950));
    harness.step(FleetInput::PollEnded(worker_key, fenced));
    expect_that!(harness.poll().target.fencing_token, gt(FencingToken(0)));
}

/// Guards against a hand-over, held up by a partition, that takes a worker from
/// the owner that it got meanwhile.
#[gtest]
fn late_hand_over_takes_no_worker_from_its_owner() {
    let former = FencingToken(50 << 24);
    let outcomes = [
        (PollOutcome::Fenced(Some(9_000)), 0),
        (PollOutcome::Answered(PollResponse::default()), 1),
    ];
    for (outcome, take_overs) in outcomes {
        let mut harness = Harness::new(1);
        let hand_over = PeerMessage::HandOver(report("w1", 1), former);
        harness.receive_batch(2, 1, vec![hand_over]);
        let poll = harness.poll();
        expect_that!(poll.target.fencing_token, eq(former));
        harness.step(FleetInput::PollEnded(poll.target.worker_key, outcome));
        let polls = harness.polls();
        let is_higher = |poll: &&PollRequest| poll.target.fencing_token > former;
        expect_that!(polls.iter().filter(is_higher).count(), eq(take_overs));
        expect_that!(polls.len(), eq(take_overs));
    }
}

/// Guards against a worker that is dropped because the hand-over of its former
/// owner arrives while a report of the worker is verified.
#[gtest]
fn hand_over_does_not_change_how_a_report_is_verified() {
    let mut harness = Harness::new(1);
    let poll = verify(&mut harness, 400);
    let hand_over = PeerMessage::HandOver(report("w1", 2), FencingToken(50 << 24));
    harness.receive_batch(2, 1, vec![hand_over]);
    let fenced = PollOutcome::Fenced(Some(420));
    harness.step(FleetInput::PollEnded(poll.target.worker_key, fenced));
    expect_that!(harness.poll().target.fencing_token, gt(FencingToken(0)));
}
