//! Admission, refusal and completion of jobs.

mod common;

use common::{Harness, run};
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, JobOutcome, LossEvidence, LossReport, NotRun, RunEnd, RunLoss};

/// Guards against a refusal after a task may have started.
#[gtest]
fn job_that_has_started_is_never_refused() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    let call = harness.submit(1, 4);
    expect_that!(harness.starts().len(), eq(2));
    harness.advance(4100);
    let answers = harness.answers();
    expect_that!(answers, elements_are![eq(&(call, JobOutcome::TimedOut))]);
}

/// Guards against a caller that waits for a job that can no longer meet its
/// objective, and against a refusal that comes too early.
#[gtest]
fn job_without_resources_is_refused_once_its_objective_is_unreachable() {
    let mut harness = Harness::new(1);
    let call = harness.submit(1, 1);
    harness.advance(160);
    expect_that!(harness.answers(), is_empty());
    harness.advance(20);
    let answers = harness.answers();
    let refused = matches!(
        answers.as_slice(),
        [(answered, JobOutcome::NotRun(NotRun::Overloaded { .. }))] if *answered == call
    );
    expect_that!(refused, eq(true), "{answers:?}");
}

/// Guards against work for callers that have disconnected.
#[gtest]
fn tasks_of_a_disconnected_caller_are_stopped() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    let call = harness.submit(1, 2);
    for request in harness.starts() {
        harness.accept_start(&request);
    }
    harness.step(FleetInput::CallerDisconnected(call, 1));
    expect_that!(harness.stops().len(), eq(2));
}

/// Guards against a job that is stopped because the connection of an earlier
/// call for it closed after the job was resubmitted.
#[gtest]
fn disconnect_of_an_earlier_call_does_not_stop_a_resubmitted_job() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let first = harness.submit(1, 1);
    let request = harness.starts().remove(0);
    harness.accept_start(&request);
    let second = harness.submit(1, 1);
    expect_that!(
        harness.answers(),
        elements_are![eq(&(first, JobOutcome::TimedOut))]
    );
    harness.step(FleetInput::CallerDisconnected(first, 1));
    expect_that!(harness.stops(), is_empty());
    expect_that!(harness.starts(), is_empty());
    harness.answer_poll(worker, &[], &[(1, run(1, 0, 1), RunEnd::Done)]);
    expect_that!(
        harness.answers(),
        elements_are![eq(&(second, JobOutcome::Completed))]
    );
}

/// Guards against a second run for a call that arrives seconds after the answer
/// to the job.
#[gtest]
fn resubmitted_completed_job_gets_the_same_answer() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let request = harness.start_job(1);
    harness.answer_poll(worker, &[], &[(1, request.run, RunEnd::Done)]);
    harness.answers();
    harness.advance(3000);
    let again = harness.submit(1, 1);
    expect_that!(
        harness.answers(),
        elements_are![eq(&(again, JobOutcome::Completed))]
    );
    expect_that!(harness.starts(), is_empty());
}

/// Guards against two simultaneous runs of one task when a job is resubmitted
/// while the stops of its first call are in flight.
#[gtest]
fn resubmitted_job_waits_for_the_runs_of_its_first_call() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    let call = harness.submit(1, 1);
    let first = harness.starts().remove(0);
    harness.accept_start(&first);
    harness.step(FleetInput::CallerDisconnected(call, 1));
    harness.submit(1, 1);
    expect_that!(harness.starts(), is_empty());
    harness.advance(1200);
    let second = harness.starts();
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].run.attempt, gt(first.run.attempt));
}

/// Guards against a job that waits until its deadline although its tasks fit no
/// worker.
#[gtest]
fn job_that_fits_no_worker_fails_at_once() {
    let mut harness = Harness::new(1);
    let mut small = common::report("w1", 1);
    small.capacity.cpu_milli = 4000;
    harness.step(FleetInput::Reported(1, small));
    let call = harness.submit(1, 1);
    expect_that!(
        harness.answers(),
        elements_are![eq(&(call, JobOutcome::Failed))]
    );
}

/// Guards against a job whose queue is not in the configuration.
#[gtest]
fn job_of_an_unknown_queue_is_refused() {
    let mut harness = Harness::new(1);
    let mut without = common::queues(2);
    without.queues.clear();
    harness.step(FleetInput::Queues(std::sync::Arc::new(without)));
    let call = harness.submit(1, 1);
    let refused = JobOutcome::NotRun(NotRun::UnknownQueue);
    expect_that!(harness.answers(), elements_are![eq(&(call, refused))]);
}

/// Guards against an older configuration that replaces a newer one.
#[gtest]
fn older_configuration_does_not_replace_a_newer_one() {
    let mut harness = Harness::new(1);
    harness.step(FleetInput::Queues(std::sync::Arc::new(common::queues(5))));
    harness.step(FleetInput::Queues(std::sync::Arc::new(common::queues(4))));
    let version = harness.fleet.queues().map(|queues| queues.version);
    expect_that!(version, some(eq(5)));
}

/// Guards against starvation of a large job by small ones that arrive later and
/// always find free resources first.
#[gtest]
fn job_with_the_earliest_start_deadline_gets_resources_first() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    harness.submit(1, 2);
    let requests = harness.starts();
    for request in &requests {
        harness.accept_start(request);
    }
    harness.submit(2, 1);
    harness.advance(5);
    harness.submit(3, 1);
    harness.answer_poll(
        worker,
        &[requests[1].run],
        &[(1, requests[0].run, RunEnd::Done)],
    );
    let next = harness.starts().remove(0);
    expect_that!(next.run.job, eq(2));
}

/// Guards against a job that is kept waiting although too many tasks wait for
/// it to start in time. The caller must be refused at once.
#[gtest]
fn job_that_would_start_too_late_is_refused_on_arrival() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let request = harness.start_job(1);
    harness.advance(200);
    harness.answer_poll(worker, &[], &[(1, request.run, RunEnd::Done)]);
    harness.answers();
    harness.submit(2, 2);
    for request in harness.starts() {
        harness.accept_start(&request);
    }
    harness.submit(3, 1);
    expect_that!(harness.answers(), is_empty());
    let late_call = harness.submit(4, 6);
    let answers = harness.answers();
    let refused = matches!(
        answers.as_slice(),
        [(answered, JobOutcome::NotRun(NotRun::Overloaded { .. }))] if *answered == late_call
    );
    expect_that!(refused, eq(true), "{answers:?}");
}

/// Guards against jobs of priority 0 that wait behind jobs of lower priority.
#[gtest]
fn job_of_priority_0_starts_first() {
    let mut harness = Harness::new(1);
    let mut table = common::queues(2);
    let mut later = table.queues[0].clone();
    later.name = "later".into();
    later.path_prefix = "/later/".into();
    later.priority = 1;
    table.queues.push(later);
    harness.step(FleetInput::Queues(std::sync::Arc::new(table)));
    let worker = harness.add_worker("w1");
    harness.submit(1, 2);
    let requests = harness.starts();
    for request in &requests {
        harness.accept_start(request);
    }
    harness.submit_to("later", 2, 1);
    harness.advance(20);
    harness.submit(3, 1);
    harness.answer_poll(
        worker,
        &[requests[1].run],
        &[(1, requests[0].run, RunEnd::Done)],
    );
    let next = harness.starts().remove(0);
    expect_that!(next.run.job, eq(3));
}

/// Guards against a wide job that is refused on arrival because a task waits
/// elsewhere, although all its tasks fit. This occurs under light load.
#[gtest]
fn wide_job_whose_tasks_all_fit_is_not_refused() {
    let mut harness = Harness::new(1);
    for name in ["w1", "w2", "w3", "w4"] {
        harness.add_worker(name);
    }
    let request = harness.start_job(1);
    harness.advance(200);
    harness.answer_poll(
        request.target.worker_key,
        &[],
        &[(1, request.run, RunEnd::Done)],
    );
    harness.answers();
    let status = hornbeam_fleet::PeerMessage::Status(hornbeam_fleet::PeerStatus {
        waiting: 2,
        owned: 4,
        serving: 4,
        ..Default::default()
    });
    harness.receive_batch(2, 1, vec![status]);
    harness.submit(2, 8);
    expect_that!(harness.answers(), is_empty());
    expect_that!(harness.starts().len(), eq(8));
}

/// Guards against jobs that are accepted although they can only wait, because
/// workers of peers that accept no runs are counted as serving.
#[gtest]
fn workers_that_accept_no_tasks_do_not_shorten_the_estimated_wait() {
    for (serving, is_refused) in [(20, false), (0, true)] {
        let mut harness = Harness::new(1);
        harness.add_worker("w1");
        harness.submit(1, 2);
        for request in harness.starts() {
            harness.accept_start(&request);
        }
        harness.advance(200);
        let runs = [common::run(1, 0, 1), common::run(1, 1, 1)];
        harness.answer_poll(
            1,
            &[],
            &[(1, runs[0], RunEnd::Done), (2, runs[1], RunEnd::Done)],
        );
        harness.submit(2, 2);
        let status = hornbeam_fleet::PeerMessage::Status(hornbeam_fleet::PeerStatus {
            waiting: 10,
            owned: 20,
            serving,
            ..Default::default()
        });
        harness.receive_batch(2, 1, vec![status]);
        harness.answers();
        harness.submit(3, 1);
        expect_that!(
            harness.answers().len(),
            eq(usize::from(is_refused)),
            "{serving}"
        );
    }
}

/// Guards against a caller that got no answer and is told, when it submits the
/// job again to a host that drains, that nothing has run.
#[gtest]
fn job_that_may_have_run_is_not_refused_as_not_run() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    let call = harness.submit(1, 1);
    let start = harness.starts().remove(0);
    harness.accept_start(&start);
    harness.step(FleetInput::CallerDisconnected(call, 1));
    harness.answers();
    harness.step(FleetInput::Drain);
    harness.advance_at_once(4500);
    harness.submit(1, 1);
    let answers = harness.answers();
    expect_that!(
        answers,
        elements_are![(anything(), eq(&JobOutcome::TimedOut))]
    );
}

/// Guards against a completed job whose answer was lost and that is refused when
/// it is submitted again to a host that drains.
#[gtest]
fn completed_job_gets_its_answer_again_during_a_drain() {
    let mut harness = Harness::new(1);
    let worker_key = harness.add_worker("w1");
    let start = harness.start_job(1);
    harness.answer_poll(worker_key, &[], &[(1, start.run, RunEnd::Done)]);
    harness.answers();
    harness.step(FleetInput::Drain);
    harness.advance_at_once(4500);
    harness.submit(1, 1);
    let answers = harness.answers();
    expect_that!(
        answers,
        elements_are![(anything(), eq(&JobOutcome::Completed))]
    );
}

/// Guards against a refusal that says that nothing has run although another host
/// has reported that a run of the job was lost with its worker.
#[gtest]
fn job_that_has_run_at_another_host_is_not_refused_as_not_run() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    let loss = RunLoss {
        run: run(1, 0, 1),
        worker_id: "w9".into(),
        born_unix_ms: 5,
        evidence: LossEvidence::Silent,
        has_started: true,
    };
    let report = LossReport {
        losses: vec![loss],
        origin: None,
    };
    harness.step(FleetInput::LossesReported(report));
    harness.step(FleetInput::Drain);
    harness.advance_at_once(4500);
    harness.submit(1, 1);
    let answers = harness.answers();
    expect_that!(
        answers,
        elements_are![(anything(), eq(&JobOutcome::TimedOut))]
    );
}
