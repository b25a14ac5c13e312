//! Log events: every event is emitted, and with the right subject.

mod common;
#[path = "../../core/tests/common/event_names.rs"]
mod event_names;

use std::collections::BTreeSet;

use common::{Harness, acknowledge_batch, chunk, options, report, run};
use googletest::prelude::*;
use hornbeam_core::event::Event;
use hornbeam_fleet::{
    BatchExtension, FleetInput, PeerMessage, PeerStatus, PollOutcome, RunEnd, StartOutcome,
    StartRefusal, Subject,
};

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

/// Gets the events of ended jobs.
fn job_events() -> Logged {
    let mut harness = Harness::new(1);
    let worker_key = harness.add_worker("w1");
    let request = harness.start_job(1);
    harness.answer_poll(worker_key, &[], &[(1, request.run, RunEnd::Done)]);
    harness.submit_to("nowhere", 2, 1);
    let call = harness.submit(3, 1);
    harness.step(FleetInput::CallerDisconnected(call, 3));
    harness.step(FleetInput::Drain);
    harness.logged_events()
}

/// Gets the events of refused, failed and lost runs.
fn run_events() -> Logged {
    let mut harness = Harness::new(1);
    let first_worker = harness.add_worker("w1");
    harness.submit(1, 1);
    let request = harness.starts().remove(0);
    harness.answer_start(
        &request,
        StartOutcome::Refused(StartRefusal::InsufficientResources),
    );
    harness.add_worker("w2");
    let request = harness.starts().remove(0);
    harness.accept_start(&request);
    let worker_key = request.target.worker_key;
    harness.answer_poll(worker_key, &[], &[(1, request.run, RunEnd::Failed)]);
    let request = harness.starts().remove(0);
    harness.accept_start(&request);
    harness.advance(5);
    harness.polls();
    let worker_key = request.target.worker_key;
    harness.answer_poll(worker_key, &[request.run], &[]);
    harness.advance(60);
    harness.answer_poll(worker_key, &[], &[]);
    harness.answer_poll(first_worker, &[], &[]);
    harness.logged_events()
}

/// Gets the events of worker state changes.
fn worker_events() -> Logged {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.start_job(1);
    harness.advance_at_once(1500);
    harness.starts();
    for name in ["w2", "w3", "w4"] {
        harness.add_worker(name);
    }
    let mut resized = report("w4", 2);
    resized.capacity.cpu_milli *= 2;
    harness.step(FleetInput::Reported(8, resized));
    let mut leaving = report("w2", 2);
    leaving.draining = true;
    harness.step(FleetInput::Reported(9, leaving));
    harness.step(FleetInput::Departed("w2".into()));
    harness.step(FleetInput::Departed("w4".into()));
    let silent = 3;
    for _ in 0..2 {
        harness.step(FleetInput::PollEnded(silent, PollOutcome::Unanswered));
        harness.advance(100);
        harness.polls();
    }
    harness.answer_poll(silent, &[], &[]);
    for job in 2..=8 {
        harness.submit(job, 1);
        for request in harness.starts() {
            let refused = StartOutcome::Refused(StartRefusal::Unhealthy);
            harness.answer_start(&request, refused);
        }
    }
    harness.logged_events()
}

/// Gets the events of tasks that take twice as long side by side as alone.
fn interference_events() -> Logged {
    let mut options = options(1);
    options.scheduling.interference = true;
    let mut harness = Harness::with(options);
    let worker_key = harness.add_worker("w1");
    let mut sequence = 0;
    for job in 1..=200 {
        let tasks = 1 + job % 2;
        harness.submit(job, tasks as u32);
        let requests = harness.starts();
        for request in &requests {
            harness.accept_start(request);
        }
        harness.advance_at_once(200 * tasks);
        harness.polls();
        let mut ended = Vec::new();
        for request in requests {
            sequence += 1;
            ended.push((sequence, request.run, RunEnd::Done));
        }
        harness.answer_poll(worker_key, &[], &ended);
    }
    harness.logged_events()
}

/// Gets the events of a task whose workers refuse connections one after the
/// other.
fn crash_events() -> Logged {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    let mut request = harness.start_job(9);
    for _ in 0..2 {
        for _ in 0..10 {
            let worker_key = request.target.worker_key;
            let refused = PollOutcome::ConnectionRefused;
            harness.step(FleetInput::PollEnded(worker_key, refused));
            harness.advance(150);
            harness.polls();
        }
        if let Some(next) = harness.starts().pop() {
            harness.accept_start(&next);
            request = next;
        }
    }
    harness.step(FleetInput::LossReportEnded("entry-2".into(), 9, false));
    harness.add_worker("w3");
    harness.submit(10, 1);
    harness.starts();
    let mut restarted = report("w3", 1);
    restarted.born_unix_ms += 1000;
    harness.step(FleetInput::Reported(2, restarted));
    harness.logged_events()
}

/// Gets the events of a peer that times out, becomes reachable again, restarts
/// and sends an extension with an unknown tag.
fn peer_events() -> Logged {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.receive_batch(2, 1, vec![]);
    harness.advance(1900);
    harness.receive_batch(2, 2, vec![]);
    // Acknowledges the batch sent before the silence and the one after it.
    acknowledge_batch(&mut harness, 2);
    acknowledge_batch(&mut harness, 2);
    harness.receive_batch(2, 3, vec![chunk(9, 1)]);
    let mut restarted = harness.batch(2, 1, vec![]);
    restarted.time.incarnation += 1;
    harness.step(FleetInput::Batch(restarted, None));
    let mut extended = harness.batch(2, 2, vec![PeerMessage::Status(PeerStatus::default())]);
    extended.time.incarnation += 1;
    let mut extension = BatchExtension::default();
    extension.push(u16::MAX, Vec::new());
    harness.step(FleetInput::Batch(extended, Some(extension)));
    harness.logged_events()
}

/// Gets the events of an evacuation.
fn evacuation_events() -> Logged {
    let mut harness = Harness::new(1);
    harness.evacuate(1, &["a"]);
    harness.logged_events()
}

/// Guards against an event that cannot be found by its subject in the log.
#[gtest]
fn events_are_logged_with_their_subject() {
    let jobs = job_events();
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
    let runs = run_events();
    for expected in [
        (Event::RunNotStarted, Subject::Run(run(1, 0, 1))),
        (Event::RunRetried, Subject::Run(run(1, 0, 2))),
        (Event::RunLost, Subject::Run(run(1, 0, 3))),
    ] {
        expect_that!(runs, contains(eq(&expected)));
    }
    let workers = worker_events();
    for expected in [
        (Event::LeaseEnded, worker("w1")),
        (Event::WorkerDraining, worker("w2")),
        (Event::WorkerForgotten, worker("w2")),
        (Event::StaleMessage, worker("w4")),
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
    let crashes = crash_events();
    let second = Subject::Run(run(9, 0, 2));
    expect_that!(crashes, contains(eq(&(Event::WorkerCrashed, worker("w1")))));
    expect_that!(crashes, contains(eq(&(Event::TaskGivenUp, second))));
    expect_that!(crashes, contains(eq(&(Event::RunsUnsettled, worker("w3")))));
    let peers = peer_events();
    for expected in [
        Event::PeerLost,
        Event::PeerFound,
        Event::RunLost,
        Event::ExtensionIgnored,
    ] {
        expect_that!(peers, contains(eq(&(expected, peer(2)))));
    }
    let applied = (Event::EvacuationsApplied, Subject::Host);
    expect_that!(evacuation_events(), contains(eq(&applied)));
}

/// Guards against an event that no scenario emits, so that no test shows
/// whether its line is still written.
#[gtest]
fn every_event_is_emitted() {
    let logs = [
        job_events(),
        run_events(),
        worker_events(),
        crash_events(),
        interference_events(),
        peer_events(),
        evacuation_events(),
    ];
    let emitted: BTreeSet<String> = logs
        .into_iter()
        .flatten()
        .map(|(event, _)| event.name().to_owned())
        .collect();
    let named = event_names::in_sources(env!("CARGO_MANIFEST_DIR"));
    expect_that!(emitted, eq(&named));
}
