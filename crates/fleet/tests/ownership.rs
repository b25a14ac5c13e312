//! Ownership of workers: generations, take-over, leases, loss.

mod common;

use std::time::Duration;

use common::{Bench, report, run};
use googletest::prelude::*;
use hornbeam_fleet::{
    FleetInput, FleetOutput, PeerMessage, PollOutcome, ReportAnswer, RunEnd, StartOutcome,
    StartRefusal,
};

fn report_answer(bench: &Bench) -> Option<ReportAnswer> {
    let mut answers = bench
        .outputs
        .iter()
        .rev()
        .filter_map(|output| match output {
            FleetOutput::AnswerReport(_, answer) => Some(*answer),
            _ => None,
        });
    answers.next()
}

/// Guards against two owners with one generation, between which a worker
/// could not choose.
#[gtest]
fn hosts_never_share_a_generation() {
    let mut first = Bench::new(1);
    let mut second = Bench::new(2);
    first.step(FleetInput::Reported(1, report("w1", 1)));
    second.step(FleetInput::Reported(1, report("w1", 1)));
    let first = first.look().target.fencing_token;
    let second = second.look().target.fencing_token;
    expect_that!(first, not(eq(second)));
}

/// Guards against a generation that does not rise when the clock stands still
/// or goes back.
#[gtest]
fn generation_rises_against_the_clock() {
    let mut bench = Bench::new(1);
    bench.step(FleetInput::Reported(1, report("w1", 1)));
    let first = bench.look().target.fencing_token;
    bench.unix_ms -= 60_000;
    bench.step(FleetInput::Reported(2, report("w2", 1)));
    let second = bench.looks().pop().map(|look| look.target.fencing_token);
    expect_that!(second, some(gt(first)));
}

/// Guards against an extended lease of runs that a former owner counts as over
/// when the lease that it granted has ended.
#[gtest]
fn take_over_extends_no_lease_while_foreign_runs_are_left() {
    let mut bench = Bench::new(1);
    bench.step(FleetInput::Reported(1, report("w1", 1)));
    let look = bench.look();
    expect_that!(look.lease_end_ms, none());
    let foreign = run(9, 0, 1);
    bench.seen(look.target.worker_key, &[foreign], &[]);
    let stops = bench.stops();
    expect_that!(stops.len(), eq(1));
    expect_that!(stops[0].run, eq(foreign));
    bench.submit(1, 1);
    expect_that!(bench.starts(), is_empty());
    bench.pass(50);
    let look = bench.look();
    expect_that!(look.lease_end_ms, none());
    bench.seen(look.target.worker_key, &[], &[]);
    expect_that!(bench.starts().len(), eq(1));
    expect_that!(bench.look().lease_end_ms, some(anything()));
}

/// Guards against a worker that nobody can take over because its former
/// owner's clock was ahead.
#[gtest]
fn take_over_raises_a_generation_that_is_refused() {
    let mut bench = Bench::new(1);
    bench.step(FleetInput::Reported(1, report("w1", 1)));
    let refused = bench.look();
    bench.step(FleetInput::PollEnded(
        refused.target.worker_key,
        PollOutcome::Fenced,
    ));
    let raised = bench.look();
    expect_that!(
        raised.target.fencing_token,
        gt(refused.target.fencing_token)
    );
}

/// Guards against orders under a generation that another owner has overtaken,
/// and against a second run before the lease of the first is over.
#[gtest]
fn overtaken_owner_gives_the_worker_up_and_waits_for_its_leases() {
    let mut bench = Bench::new(1);
    let lost = bench.own("w1");
    bench.own("w2");
    bench.submit(1, 2);
    let orders = bench.starts();
    expect_that!(orders.len(), eq(2));
    let number = orders[0].target.worker_key;
    let granted_at = bench.now;
    for order in &orders {
        bench.accept(order);
    }
    expect_that!(number, eq(lost));
    bench.step(FleetInput::PollEnded(number, PollOutcome::Fenced));
    bench.looks();
    while bench.starts().is_empty() {
        bench.pass(1);
        let looks = bench.looks();
        let orders_to_lost = looks.iter().filter(|look| look.target.worker_key == number);
        expect_that!(orders_to_lost.count(), eq(0));
        assert_that!(bench.now - granted_at, lt(Duration::from_millis(1300)));
    }
    expect_that!(bench.now - granted_at, ge(Duration::from_millis(1000)));
}

/// Guards against runs that are counted as alive after a pause of the process
/// in which their lease ended, and against starts under that lease.
#[gtest]
fn pause_longer_than_the_lease_ends_the_runs_first() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    bench.started(1);
    bench.skip(1500);
    let second = bench.starts().remove(0);
    expect_that!(second.run, eq(run(1, 0, 2)));
    expect_that!(second.target.worker_key, eq(worker));
    let clock_ms = u64::try_from(bench.now.as_millis()).expect("a small time");
    expect_that!(second.lease_end_ms, ge(clock_ms + 900));
}

/// Guards against a lease end that is reckoned too early for a worker whose
/// clock is slow by 2 percent.
#[gtest]
fn lease_counts_as_over_two_percent_late() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    let order = bench.started(1);
    bench.step(FleetInput::PollEnded(
        order.target.worker_key,
        PollOutcome::Unanswered,
    ));
    bench.pass(1019);
    expect_that!(bench.starts(), is_empty());
}

/// Guards against a lease that never ends, because looks that a silent worker
/// may get extend it again and again: its tasks would wait until their callers
/// give up.
#[gtest]
fn unanswered_looks_do_not_extend_the_lease() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    let order = bench.started(1);
    let silent = order.target.worker_key;
    bench.step(FleetInput::PollEnded(silent, PollOutcome::Unanswered));
    let silent_since = bench.now;
    bench.own("w2");
    while bench.starts().is_empty() {
        bench.pass(1);
        for look in bench.looks() {
            if look.target.worker_key == silent {
                expect_that!(look.lease_end_ms, none());
                bench.step(FleetInput::PollEnded(silent, PollOutcome::Unanswered));
            }
        }
        assert_that!(bench.now - silent_since, lt(Duration::from_millis(1300)));
    }
}

/// Guards against a job that waits for the end of a lease although its worker
/// has started anew and runs nothing.
#[gtest]
fn restarted_worker_loses_its_runs_at_once() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.own("w2");
    let first = bench.started(1);
    let mut anew = report(&first.target.worker_id, 1);
    anew.born_unix_ms += 1000;
    bench.step(FleetInput::Reported(5, anew));
    expect_that!(bench.starts().len(), eq(1));
}

/// Guards against a report of a former incarnation that arrives late and takes
/// the place of the present one.
#[gtest]
fn late_report_of_a_former_incarnation_changes_nothing() {
    let mut bench = Bench::new(1);
    let mut present = report("w1", 1);
    present.born_unix_ms = 100;
    bench.step(FleetInput::Reported(1, present));
    let number = bench.look().target.worker_key;
    bench.seen(number, &[], &[]);
    bench.looks();
    let mut late = report("w1", 40);
    late.draining = true;
    bench.step(FleetInput::Reported(2, late));
    expect_that!(bench.looks(), is_empty());
    bench.submit(1, 1);
    expect_that!(bench.starts().len(), eq(1));
}

/// Guards against new runs on a worker that is about to leave.
#[gtest]
fn draining_worker_gets_no_new_run() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    let mut leaving = report("w1", 2);
    leaving.draining = true;
    bench.step(FleetInput::Reported(2, leaving));
    expect_that!(report_answer(&bench), some(eq(ReportAnswer::Taken)));
    bench.submit(1, 1);
    expect_that!(bench.starts(), is_empty());
}

/// Guards against an overtaken report that takes a drain back.
#[gtest]
fn overtaken_report_does_not_end_a_drain() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    let mut leaving = report("w1", 3);
    leaving.draining = true;
    bench.step(FleetInput::Reported(2, leaving));
    bench.step(FleetInput::Reported(3, report("w1", 2)));
    bench.submit(1, 1);
    expect_that!(bench.starts(), is_empty());
}

/// Guards against a worker that fails all it starts and so always has room.
#[gtest]
fn failing_worker_gets_no_run_for_a_time() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    for job in 1..=2 {
        bench.submit(job, 1);
        let order = bench.starts().remove(0);
        let refused = StartOutcome::Refused(StartRefusal::Unhealthy);
        bench.answer(&order, refused);
    }
    bench.submit(3, 1);
    expect_that!(bench.starts(), is_empty());
}

/// Guards against a run that vanished without an end and holds its job until
/// the deadline.
#[gtest]
fn vanished_run_is_repeated() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    let first = bench.started(1);
    bench.pass(1);
    bench.seen(worker, &[first.run], &[]);
    bench.pass(1);
    bench.seen(worker, &[], &[]);
    let second = bench.starts().remove(0);
    expect_that!(second.run, eq(run(1, 0, 2)));
}

/// Guards against runs that no job of this host wants, for example of an order
/// that was carried out seconds late.
#[gtest]
fn unknown_run_on_an_owned_worker_is_stopped() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    bench.seen(worker, &[run(77, 0, 1)], &[]);
    let stops = bench.stops();
    expect_that!(stops.len(), eq(1));
    expect_that!(stops[0].run, eq(run(77, 0, 1)));
}

/// Guards against a drain that leaves workers without owner, or gives away one
/// on which tasks run.
#[gtest]
fn drain_hands_over_idle_workers() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    let order = bench.started(1);
    bench.receive(2, 1, Vec::new());
    bench.batches();
    bench.step(FleetInput::BatchEnded("entry-2".into(), true));
    bench.step(FleetInput::Drain);
    bench.step(FleetInput::BatchEnded("entry-2".into(), true));
    let handed_over = |bench: &mut Bench| {
        let messages = bench.batches().into_iter().flat_map(|batch| batch.messages);
        let hand_over = |message: &PeerMessage| matches!(message, PeerMessage::HandOver(..));
        messages.filter(hand_over).count()
    };
    expect_that!(handed_over(&mut bench), eq(0));
    bench.seen(worker, &[], &[(1, order.run, RunEnd::Done)]);
    bench.step(FleetInput::BatchEnded("entry-2".into(), true));
    expect_that!(handed_over(&mut bench), eq(1));
    expect_that!(bench.fleet.owned_workers(), eq(0));
}

/// Guards against callers that stay on the connections of a host that ends,
/// and against a drain that refuses them before they could leave.
#[gtest]
fn drain_sends_callers_away_before_it_refuses_them() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.step(FleetInput::Drain);
    expect_that!(bench.fleet.closes_caller_connections(), eq(false));
    bench.pass(2300);
    expect_that!(bench.fleet.closes_caller_connections(), eq(true));
    bench.submit(1, 1);
    expect_that!(bench.answers(), is_empty());
    bench.pass(2200);
    bench.submit(2, 1);
    let refused = bench.answers().into_iter().any(|(_, outcome)| {
        outcome == hornbeam_fleet::JobOutcome::NotRun(hornbeam_fleet::NotRun::Draining)
    });
    expect_that!(refused, eq(true));
}
