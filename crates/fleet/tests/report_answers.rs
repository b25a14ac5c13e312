//! Answers to status reports: what a worker may conclude from them.

mod common;

use common::{Harness, report};
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, FleetOutput, PollOutcome, ReportAnswer, WorkerReport};

/// Time within which a report must be answered, so that a control host has time to ask
/// another entry host.
const ANSWER_WITHIN_MS: u64 = 350;

/// Takes the answers to reports so far.
fn answers(harness: &mut Harness) -> Vec<ReportAnswer> {
    let answers = harness.outputs.iter().filter_map(|output| match output {
        FleetOutput::AnswerReport(_, answer) => Some(*answer),
        _ => None,
    });
    let answers = answers.collect();
    harness
        .outputs
        .retain(|output| !matches!(output, FleetOutput::AnswerReport(..)));
    answers
}

fn draining(sequence: u64) -> WorkerReport {
    WorkerReport {
        draining: true,
        ..report("w1", sequence)
    }
}

/// Reports a worker, with its clock.
fn send_report(harness: &mut Harness, report: WorkerReport) {
    let clock_ms = u64::try_from(harness.now.as_millis()).expect("a small time");
    harness.step(FleetInput::ReportedAt(1, report, clock_ms));
}

/// Lets the time pass, in which no poll and no probe is answered, until a report is.
fn first_answer_without_contact(harness: &mut Harness) -> Vec<ReportAnswer> {
    for _ in 0..ANSWER_WITHIN_MS {
        let found = answers(harness);
        if !found.is_empty() {
            return found;
        }
        harness.advance(1);
        for poll in harness.polls() {
            let key = poll.target.worker_key;
            harness.step(FleetInput::PollEnded(key, PollOutcome::Unanswered));
        }
    }
    answers(harness)
}

/// Guards against a host that acknowledges the drain of a worker which it cannot reach,
/// while the owner, which can, is not told and starts tasks there (review, case 15).
#[gtest]
fn report_of_a_worker_that_is_not_reached_is_declined() {
    for report in [report("w1", 1), draining(1)] {
        let mut harness = Harness::new(1);
        send_report(&mut harness, report);
        let answers = first_answer_without_contact(&mut harness);
        expect_that!(answers, elements_are![eq(&ReportAnswer::Declined)]);
        expect_that!(harness.fleet.owned_workers(), eq(0));
    }
}

/// Guards against an answer before the worker has seen the fencing token of this host:
/// until then a former owner can start tasks there.
#[gtest]
fn report_is_acknowledged_once_the_worker_refuses_former_owners() {
    let mut harness = Harness::new(1);
    send_report(&mut harness, report("w1", 1));
    let verification = harness.poll().target.worker_key;
    harness.answer_poll(verification, &[], &[]);
    expect_that!(answers(&mut harness), is_empty());
    let take_over = harness.poll();
    expect_that!(take_over.target.fencing_token.0, gt(0));
    harness.answer_poll(take_over.target.worker_key, &[], &[]);
    expect_that!(
        answers(&mut harness),
        elements_are![eq(&ReportAnswer::Taken)]
    );
}

/// Guards against a drain that a former owner acknowledges: another host may own the
/// worker by now. The worker is asked at once, as the poll in flight may wait long.
#[gtest]
fn drain_is_acknowledged_only_by_a_host_that_still_owns_the_worker() {
    for is_owner in [true, false] {
        let mut harness = Harness::new(1);
        let worker_key = harness.add_worker("w1");
        answers(&mut harness);
        send_report(&mut harness, draining(2));
        expect_that!(answers(&mut harness), is_empty());
        expect_that!(harness.probes().len(), eq(1));
        if is_owner {
            harness.answer_probe(worker_key, &[], &[]);
        } else {
            let fenced = PollOutcome::Fenced(None);
            harness.step(FleetInput::ProbeEnded(worker_key, fenced));
        }
        let expected = if is_owner {
            ReportAnswer::Taken
        } else {
            ReportAnswer::Declined
        };
        expect_that!(answers(&mut harness), elements_are![eq(&expected)]);
    }
}

/// Guards against an answer to a request of before the report, which shows nothing
/// about the time after it.
#[gtest]
fn answer_to_an_earlier_request_acknowledges_no_drain() {
    let mut harness = Harness::new(1);
    let worker_key = harness.add_worker("w1");
    answers(&mut harness);
    harness.advance(5);
    send_report(&mut harness, draining(2));
    harness.answer_poll(worker_key, &[], &[]);
    expect_that!(answers(&mut harness), is_empty());
    harness.answer_probe(worker_key, &[], &[]);
    expect_that!(
        answers(&mut harness),
        elements_are![eq(&ReportAnswer::Taken)]
    );
}

/// Guards against an owner that keeps a worker which it cannot reach from the other
/// hosts by taking its relayed reports. A short silence is no reason to turn away.
#[gtest]
fn owner_declines_reports_of_a_worker_that_has_been_silent_for_a_lease() {
    let mut harness = Harness::new(1);
    let worker_key = harness.add_worker("w1");
    answers(&mut harness);
    harness.step(FleetInput::PollEnded(worker_key, PollOutcome::Unanswered));
    for (sequence, silent_ms, expected) in [
        (2, 500, ReportAnswer::Taken),
        (3, 700, ReportAnswer::Declined),
    ] {
        for _ in 0..silent_ms {
            harness.advance(1);
            for poll in harness.polls() {
                let key = poll.target.worker_key;
                harness.step(FleetInput::PollEnded(key, PollOutcome::Unanswered));
            }
        }
        send_report(&mut harness, report("w1", sequence));
        let answers = first_answer_without_contact(&mut harness);
        expect_that!(answers, elements_are![eq(&expected)]);
    }
}
