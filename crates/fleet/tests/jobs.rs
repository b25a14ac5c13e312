//! Admission, refusal and end of jobs.

mod common;

use common::{Bench, run};
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, JobOutcome, NotRun, RunEnd};

/// Guards against a refusal after a task may have started.
#[gtest]
fn job_that_has_started_is_never_refused() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    let call = bench.submit(1, 4);
    expect_that!(bench.starts().len(), eq(2));
    bench.pass(4100);
    let answers = bench.answers();
    expect_that!(answers, elements_are![eq(&(call, JobOutcome::TimedOut))]);
}

/// Guards against a caller that is kept waiting for a job that can no longer
/// meet its objective, and against one that is told so too early.
#[gtest]
fn job_without_room_is_refused_when_its_objective_is_lost() {
    let mut bench = Bench::new(1);
    let call = bench.submit(1, 1);
    bench.pass(160);
    expect_that!(bench.answers(), is_empty());
    bench.pass(20);
    let answers = bench.answers();
    let refused = matches!(
        answers.as_slice(),
        [(answered, JobOutcome::NotRun(NotRun::Overloaded { .. }))] if *answered == call
    );
    expect_that!(refused, eq(true), "{answers:?}");
}

/// Guards against work for callers that have gone.
#[gtest]
fn tasks_of_a_caller_that_has_gone_are_stopped() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    let call = bench.submit(1, 2);
    for order in bench.starts() {
        bench.accept(&order);
    }
    bench.step(FleetInput::CallerDisconnected(call, 1));
    expect_that!(bench.stops().len(), eq(2));
}

/// Guards against a job that is stopped because the connection of an earlier
/// call for it ended after it was sent again.
#[gtest]
fn end_of_an_earlier_call_does_not_stop_a_job_that_was_sent_again() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    let first = bench.submit(1, 1);
    let order = bench.starts().remove(0);
    bench.accept(&order);
    let second = bench.submit(1, 1);
    expect_that!(
        bench.answers(),
        elements_are![eq(&(first, JobOutcome::TimedOut))]
    );
    bench.step(FleetInput::CallerDisconnected(first, 1));
    expect_that!(bench.stops(), is_empty());
    expect_that!(bench.starts(), is_empty());
    bench.seen(worker, &[], &[(1, run(1, 0, 1), RunEnd::Done)]);
    expect_that!(
        bench.answers(),
        elements_are![eq(&(second, JobOutcome::Completed))]
    );
}

/// Guards against a second run for a call that arrives late, seconds after the
/// job's answer.
#[gtest]
fn completed_job_that_is_sent_again_gets_its_answer_again() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    let order = bench.started(1);
    bench.seen(worker, &[], &[(1, order.run, RunEnd::Done)]);
    bench.answers();
    bench.pass(3000);
    let again = bench.submit(1, 1);
    expect_that!(
        bench.answers(),
        elements_are![eq(&(again, JobOutcome::Completed))]
    );
    expect_that!(bench.starts(), is_empty());
}

/// Guards against two runs of one task when a job is sent again while the
/// stops of its first call are under way.
#[gtest]
fn job_that_is_sent_again_waits_for_the_runs_of_its_first_call() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    let call = bench.submit(1, 1);
    let first = bench.starts().remove(0);
    bench.accept(&first);
    bench.step(FleetInput::CallerDisconnected(call, 1));
    bench.submit(1, 1);
    expect_that!(bench.starts(), is_empty());
    bench.pass(1200);
    let second = bench.starts();
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].run.attempt, gt(first.run.attempt));
}

/// Guards against a job that waits for its deadline although no worker can
/// ever hold its tasks.
#[gtest]
fn job_that_fits_no_worker_fails_at_once() {
    let mut bench = Bench::new(1);
    let mut small = common::report("w1", 1);
    small.capacity.cpu_milli = 4000;
    bench.step(FleetInput::Reported(1, small));
    let call = bench.submit(1, 1);
    expect_that!(
        bench.answers(),
        elements_are![eq(&(call, JobOutcome::Failed))]
    );
}

/// Guards against a job of a queue that the configuration does not have.
#[gtest]
fn job_of_an_unknown_queue_is_refused() {
    let mut bench = Bench::new(1);
    let mut without = common::queues(2);
    without.queues.clear();
    bench.step(FleetInput::Queues(std::sync::Arc::new(without)));
    let call = bench.submit(1, 1);
    let refused = JobOutcome::NotRun(NotRun::UnknownQueue);
    expect_that!(bench.answers(), elements_are![eq(&(call, refused))]);
}

/// Guards against an older configuration that comes into force again.
#[gtest]
fn older_configuration_does_not_replace_a_newer_one() {
    let mut bench = Bench::new(1);
    bench.step(FleetInput::Queues(std::sync::Arc::new(common::queues(5))));
    bench.step(FleetInput::Queues(std::sync::Arc::new(common::queues(4))));
    let version = bench.fleet.queues().map(|queues| queues.version);
    expect_that!(version, some(eq(5)));
}

/// Guards against a large job that starves because small ones that arrive
/// later always find room first.
#[gtest]
fn most_urgent_job_gets_room_first() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    bench.submit(1, 2);
    let orders = bench.starts();
    for order in &orders {
        bench.accept(order);
    }
    bench.submit(2, 1);
    bench.pass(5);
    bench.submit(3, 1);
    bench.seen(
        worker,
        &[orders[1].run],
        &[(1, orders[0].run, RunEnd::Done)],
    );
    let next = bench.starts().remove(0);
    expect_that!(next.run.job, eq(2));
}

/// Guards against a job that is kept waiting although so many tasks wait that
/// it cannot start in time; its caller is told at once.
#[gtest]
fn job_that_would_come_too_late_is_refused_on_arrival() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    let order = bench.started(1);
    bench.pass(200);
    bench.seen(worker, &[], &[(1, order.run, RunEnd::Done)]);
    bench.answers();
    bench.submit(2, 2);
    for order in bench.starts() {
        bench.accept(&order);
    }
    bench.submit(3, 1);
    expect_that!(bench.answers(), is_empty());
    let hopeless = bench.submit(4, 6);
    let answers = bench.answers();
    let refused = matches!(
        answers.as_slice(),
        [(answered, JobOutcome::NotRun(NotRun::Overloaded { .. }))] if *answered == hopeless
    );
    expect_that!(refused, eq(true), "{answers:?}");
}

/// Guards against jobs of priority 0 that wait behind others.
#[gtest]
fn job_of_priority_0_goes_first() {
    let mut bench = Bench::new(1);
    let mut table = common::queues(2);
    let mut later = table.queues[0].clone();
    later.name = "later".into();
    later.path_prefix = "/later/".into();
    later.priority = 1;
    table.queues.push(later);
    bench.step(FleetInput::Queues(std::sync::Arc::new(table)));
    let worker = bench.own("w1");
    bench.submit(1, 2);
    let orders = bench.starts();
    for order in &orders {
        bench.accept(order);
    }
    bench.submit_to("later", 2, 1);
    bench.pass(20);
    bench.submit(3, 1);
    bench.seen(
        worker,
        &[orders[1].run],
        &[(1, orders[0].run, RunEnd::Done)],
    );
    let next = bench.starts().remove(0);
    expect_that!(next.run.job, eq(3));
}

/// Guards against a wide job that is refused on arrival because some task waits
/// somewhere, although there is room for all its tasks. Found on quiet days.
#[gtest]
fn wide_job_with_room_for_all_its_tasks_is_not_refused() {
    let mut bench = Bench::new(1);
    for name in ["w1", "w2", "w3", "w4"] {
        bench.own(name);
    }
    let order = bench.started(1);
    bench.pass(200);
    bench.seen(
        order.target.worker_key,
        &[],
        &[(1, order.run, RunEnd::Done)],
    );
    bench.answers();
    let waits = hornbeam_fleet::PeerMessage::Status(hornbeam_fleet::PeerStatus {
        waiting: 2,
        owned: 4,
        serving: 4,
        ..Default::default()
    });
    bench.receive(2, 1, vec![waits]);
    bench.submit(2, 8);
    expect_that!(bench.answers(), is_empty());
    expect_that!(bench.starts().len(), eq(8));
}

/// Guards against jobs that are taken although they can only wait, because
/// workers of peers that do not answer count as if they took tasks.
#[gtest]
fn workers_that_take_no_tasks_shorten_no_wait() {
    for (serving, is_refused) in [(20, false), (0, true)] {
        let mut bench = Bench::new(1);
        bench.own("w1");
        bench.submit(1, 2);
        for order in bench.starts() {
            bench.accept(&order);
        }
        bench.pass(200);
        let runs = [common::run(1, 0, 1), common::run(1, 1, 1)];
        bench.seen(
            1,
            &[],
            &[(1, runs[0], RunEnd::Done), (2, runs[1], RunEnd::Done)],
        );
        bench.submit(2, 2);
        let waits = hornbeam_fleet::PeerMessage::Status(hornbeam_fleet::PeerStatus {
            waiting: 10,
            owned: 20,
            serving,
            ..Default::default()
        });
        bench.receive(2, 1, vec![waits]);
        bench.answers();
        bench.submit(3, 1);
        expect_that!(
            bench.answers().len(),
            eq(usize::from(is_refused)),
            "{serving}"
        );
    }
}
