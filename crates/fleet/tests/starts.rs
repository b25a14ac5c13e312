//! Start orders and what their answers prove.

mod common;

use common::{Bench, run};
use googletest::prelude::*;
use hornbeam_fleet::FleetInput;
use hornbeam_fleet::{JobOutcome, RunEnd, StartOutcome, StartRefusal, StopOutcome};

/// Guards against a second run of a task when the first order got no answer
/// and only the repetition provably did not leave: the first may be carried
/// out. Found by the users' bench on a domain cut with resets.
#[gtest]
fn repetition_that_was_not_sent_proves_nothing_about_the_first_order() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    bench.submit(1, 1);
    let first = bench.starts().remove(0);
    bench.answer(&first, StartOutcome::Unanswered);
    let second = bench.starts().remove(0);
    expect_that!(second.run, eq(first.run));
    bench.answer(&second, StartOutcome::NotSent);
    let later = bench.starts();
    let elsewhere = later.iter().filter(|order| order.run != first.run);
    expect_that!(elsewhere.count(), eq(0));
}

/// Guards against waiting for a lease when an order provably never left.
#[gtest]
fn order_that_was_not_sent_is_given_to_another_worker_at_once() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    bench.submit(1, 1);
    let first = bench.starts().remove(0);
    bench.answer(&first, StartOutcome::NotSent);
    let second = bench.starts().remove(0);
    expect_that!(second.target.worker_key, not(eq(first.target.worker_key)));
    expect_that!(second.run, eq(run(1, 0, 2)));
}

/// Guards against a repeated order that the worker takes for another run.
#[gtest]
fn order_without_answer_is_repeated_under_the_same_attempt() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.submit(1, 1);
    let first = bench.starts().remove(0);
    bench.answer(&first, StartOutcome::Unanswered);
    let second = bench.starts().remove(0);
    expect_that!(second.run, eq(first.run));
    expect_that!(second.target, eq(&first.target));
}

/// Guards against a second run while an unanswered order may still be carried
/// out: its task waits until the lease that the order carried is over.
#[gtest]
fn unanswered_task_starts_elsewhere_only_after_the_lease() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    bench.submit(1, 1);
    let ordered_at = bench.now;
    for _ in 0..3 {
        let order = bench.starts().remove(0);
        bench.answer(&order, StartOutcome::Unanswered);
    }
    while bench.starts().is_empty() {
        bench.pass(1);
        let waited = bench.now - ordered_at;
        assert_that!(waited.as_millis(), lt(1300));
    }
    let waited = bench.now - ordered_at;
    expect_that!(waited.as_millis(), ge(1000));
}

/// Guards against a wait for the lease when the worker has acknowledged the
/// stop of an unanswered run: it ends within the time of a stop or never runs.
#[gtest]
fn acknowledged_stop_frees_an_unanswered_task_early() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    bench.submit(1, 1);
    for _ in 0..3 {
        let order = bench.starts().remove(0);
        bench.answer(&order, StartOutcome::Unanswered);
    }
    let stop = bench.stops().remove(0);
    let accepted =
        FleetInput::StopRequestEnded(stop.target.worker_key, stop.run, StopOutcome::Accepted);
    bench.step(accepted);
    expect_that!(bench.starts(), is_empty());
    bench.pass(110);
    expect_that!(bench.starts().len(), eq(1));
}

/// Guards against asking a worker that has just said that it has no room.
#[gtest]
fn refused_task_goes_to_another_worker_under_a_new_attempt() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    bench.submit(1, 1);
    let first = bench.starts().remove(0);
    bench.answer(
        &first,
        StartOutcome::Refused(StartRefusal::InsufficientResources),
    );
    let second = bench.starts().remove(0);
    expect_that!(second.target.worker_key, not(eq(first.target.worker_key)));
    expect_that!(second.run, eq(run(1, 0, 2)));
}

/// Guards against a job that is refused as old for ever, because another host
/// has used up its first attempts.
#[gtest]
fn task_refused_as_old_skips_attempts() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    bench.submit(1, 1);
    let first = bench.starts().remove(0);
    bench.answer(&first, StartOutcome::Refused(StartRefusal::StaleAttempt));
    let second = bench.starts().remove(0);
    expect_that!(second.run.attempt, gt(8));
}

/// Guards against a job that ends before all its tasks have.
#[gtest]
fn job_completes_with_its_last_task() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    let call = bench.submit(1, 2);
    for order in bench.starts() {
        bench.accept(&order);
    }
    bench.seen(worker, &[run(1, 1, 1)], &[(1, run(1, 0, 1), RunEnd::Done)]);
    expect_that!(bench.answers(), is_empty());
    bench.seen(worker, &[], &[(2, run(1, 1, 1), RunEnd::Done)]);
    expect_that!(
        bench.answers(),
        elements_are![eq(&(call, JobOutcome::Completed))]
    );
}

/// Guards against more failed runs than the queue allows, and against a
/// failure that is shown before they are used up.
#[gtest]
fn job_fails_after_the_attempts_of_its_queue() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    let call = bench.submit(1, 1);
    let first = bench.starts().remove(0);
    bench.accept(&first);
    bench.seen(worker, &[], &[(1, first.run, RunEnd::Failed)]);
    expect_that!(bench.answers(), is_empty());
    let second = bench.starts().remove(0);
    bench.accept(&second);
    bench.seen(worker, &[], &[(2, second.run, RunEnd::Failed)]);
    expect_that!(
        bench.answers(),
        elements_are![eq(&(call, JobOutcome::Failed))]
    );
    expect_that!(bench.starts(), is_empty());
}
