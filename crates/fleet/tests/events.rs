//! Log events of decisions: that each one is written, and about the right
//! subject.

mod common;
#[path = "../../core/tests/common/event_names.rs"]
mod event_names;

use std::collections::BTreeSet;

use common::{Bench, chunk, confirm, report, run};
use googletest::prelude::*;
use hornbeam_core::event::Event;
use hornbeam_fleet::{FleetInput, PollOutcome, RunEnd, StartOutcome, StartRefusal, Subject};

type Logged = Vec<(Event, Subject)>;

fn job(job: u64) -> Subject {
    Subject::Job(job)
}

fn worker(name: &str) -> Subject {
    Subject::Worker(name.into())
}

fn peer(host: u8) -> Subject {
    Subject::Peer(format!("entry-{host}"))
}

/// Plays ends of jobs.
fn log_of_jobs() -> Logged {
    let mut bench = Bench::new(1);
    let number = bench.own("w1");
    let order = bench.started(1);
    bench.seen(number, &[], &[(1, order.run, RunEnd::Done)]);
    bench.submit_to("nowhere", 2, 1);
    let call = bench.submit(3, 1);
    bench.step(FleetInput::CallerDisconnected(call, 3));
    bench.step(FleetInput::Drain);
    bench.logged()
}

/// Plays runs that do not end as they should.
fn log_of_runs() -> Logged {
    let mut bench = Bench::new(1);
    let number = bench.own("w1");
    bench.submit(1, 1);
    let order = bench.starts().remove(0);
    bench.answer(
        &order,
        StartOutcome::Refused(StartRefusal::InsufficientResources),
    );
    bench.own("w2");
    let order = bench.starts().remove(0);
    bench.accept(&order);
    let on = order.target.worker_key;
    bench.seen(on, &[], &[(1, order.run, RunEnd::Failed)]);
    let order = bench.starts().remove(0);
    bench.accept(&order);
    bench.pass(5);
    bench.looks();
    let on = order.target.worker_key;
    bench.seen(on, &[order.run], &[]);
    bench.pass(60);
    bench.seen(on, &[], &[]);
    bench.seen(number, &[], &[]);
    bench.logged()
}

/// Plays what happens to workers.
fn log_of_workers() -> Logged {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.started(1);
    bench.skip(1500);
    bench.starts();
    for name in ["w2", "w3", "w4"] {
        bench.own(name);
    }
    let mut leaving = report("w2", 2);
    leaving.draining = true;
    bench.step(FleetInput::Reported(9, leaving));
    bench.step(FleetInput::Departed("w2".into()));
    let silent = 3;
    for _ in 0..2 {
        bench.step(FleetInput::PollEnded(silent, PollOutcome::Unanswered));
        bench.pass(100);
        bench.looks();
    }
    bench.seen(silent, &[], &[]);
    for job in 2..=8 {
        bench.submit(job, 1);
        for order in bench.starts() {
            let refused = StartOutcome::Refused(StartRefusal::Unhealthy);
            bench.answer(&order, refused);
        }
    }
    bench.logged()
}

/// Plays a peer that falls silent, is heard again and starts anew.
fn log_of_peers() -> Logged {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.receive(2, 1, vec![]);
    bench.pass(1300);
    bench.receive(2, 2, vec![]);
    // The batch that was sent before the silence, and one after it.
    confirm(&mut bench, 2);
    confirm(&mut bench, 2);
    bench.receive(2, 3, vec![chunk(9, 1)]);
    let mut anew = bench.batch(2, 1, vec![]);
    anew.time.incarnation += 1;
    bench.step(FleetInput::Batch(anew));
    bench.logged()
}

/// Guards against a decision that cannot be found by what it is about.
#[gtest]
fn decisions_are_logged_about_their_subject() {
    let jobs = log_of_jobs();
    for expected in [
        (Event::ConfigInForce, Subject::Host),
        (Event::WorkerOwned, worker("w1")),
        (Event::FleetJobCompleted, job(1)),
        (Event::FleetJobRefused, job(2)),
        (Event::FleetJobFailed, job(3)),
        (Event::DrainStarted, Subject::Host),
    ] {
        expect_that!(jobs, contains(eq(&expected)));
    }
    let runs = log_of_runs();
    for expected in [
        (Event::RunNotStarted, Subject::Run(run(1, 0, 1))),
        (Event::RunRetried, Subject::Run(run(1, 0, 2))),
        (Event::RunLost, Subject::Run(run(1, 0, 3))),
    ] {
        expect_that!(runs, contains(eq(&expected)));
    }
    let workers = log_of_workers();
    for expected in [
        (Event::LeaseEnded, worker("w1")),
        (Event::WorkerDraining, worker("w2")),
        (Event::WorkerForgotten, worker("w2")),
        (Event::WorkerUnanswered, worker("w3")),
        (Event::WorkerRestored, worker("w3")),
    ] {
        expect_that!(workers, contains(eq(&expected)));
    }
    let ejected = workers.iter().map(|(event, _)| *event);
    expect_that!(
        ejected.collect::<Vec<_>>(),
        contains(eq(&Event::WorkerEjected))
    );
    let peers = log_of_peers();
    for expected in [Event::PeerLost, Event::PeerFound, Event::RunLost] {
        expect_that!(peers, contains(eq(&(expected, peer(2)))));
    }
}

/// Guards against an event that no played situation emits, so that nobody knows
/// whether its line is still written.
#[gtest]
fn every_event_is_emitted() {
    let logs = [
        log_of_jobs(),
        log_of_runs(),
        log_of_workers(),
        log_of_peers(),
    ];
    let emitted: BTreeSet<String> = logs
        .into_iter()
        .flatten()
        .map(|(event, _)| event.name().to_owned())
        .collect();
    let named = event_names::in_sources(env!("CARGO_MANIFEST_DIR"));
    expect_that!(emitted, eq(&named));
}
