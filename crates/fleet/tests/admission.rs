//! Admission under contention with `fair_admission`: what is rejected while
//! cores are free.

mod common;

use std::time::Duration;

use common::{Harness, OWN_HOST, SERVICE, acknowledge_batch, run};
use googletest::prelude::*;
use hornbeam_fleet::{
    FleetInput, JobOutcome, NotRun, PeerMessage, PeerStatus, Resources, RunEnd, SchedulingOptions,
    ServiceResources, Submission,
};

const FAIR: SchedulingOptions = SchedulingOptions {
    pace: false,
    fair_admission: true,
    interference: false,
};

/// Sequence number of the batches of the peer.
const FIRST_BATCH: u64 = 1;

fn status(free: &[u32], waiting: u32) -> PeerMessage {
    let resources = |cpu_milli: &u32| Resources {
        cpu_milli: *cpu_milli,
        memory_mb: 1000,
        accelerators: 0,
    };
    PeerMessage::Status(PeerStatus {
        resources: vec![ServiceResources {
            service: SERVICE.into(),
            free: free.iter().map(resources).collect(),
            largest: resources(&16000),
        }],
        waiting,
        owned: 2,
        serving: 2,
        ..PeerStatus::default()
    })
}

/// Creates a host with one busy worker, whose runs took 200 ms so far.
fn busy_host(scheduling: SchedulingOptions) -> (Harness, u64) {
    let mut harness = Harness::with_scheduling(OWN_HOST, scheduling);
    let worker_key = harness.add_worker("w1");
    let start = harness.start_job(1);
    harness.advance(200);
    harness.answer_poll(worker_key, &[], &[(1, start.run, RunEnd::Done)]);
    harness.start_job(2);
    harness.start_job(3);
    harness.answers();
    (harness, worker_key)
}

fn is_overloaded((_, outcome): &(u64, JobOutcome)) -> bool {
    matches!(outcome, JobOutcome::NotRun(NotRun::Overloaded { .. }))
}

/// Guards against a rejection while cores for all tasks are free at a peer: the
/// tasks that wait there may need other resources, or be gone.
#[gtest]
fn job_is_accepted_while_cores_for_all_its_tasks_are_free() {
    let (mut harness, _) = busy_host(FAIR);
    harness.receive_batch(2, FIRST_BATCH, vec![status(&[16000, 16000], 500)]);
    harness.submit(4, 4);
    expect_that!(harness.answers(), is_empty());
    // Free cores that are split over workers fit no task.
    harness.receive_batch(2, FIRST_BATCH + 1, vec![status(&[4000, 4000], 500)]);
    harness.submit(5, 1);
    expect_that!(
        harness
            .answers()
            .iter()
            .filter(|a| is_overloaded(a))
            .count(),
        eq(1)
    );
}

/// Guards against a change of the decisions with the switch off: the estimate
/// counts tasks, so 500 of them at a peer reject a job, with the delay of 1 s.
#[gtest]
fn decisions_are_the_previous_ones_with_the_switch_off() {
    let (mut harness, _) = busy_host(SchedulingOptions::default());
    harness.receive_batch(2, FIRST_BATCH, vec![status(&[16000, 16000], 500)]);
    let call = harness.submit(4, 4);
    let retry = NotRun::Overloaded {
        retry_after_ms: 1000,
    };
    expect_that!(
        harness.answers(),
        eq(&vec![(call, JobOutcome::NotRun(retry))])
    );
}

/// Guards against an estimate that treats short tasks ahead like long ones: a
/// mean over the queues rejected jobs behind a few short tasks.
#[gtest]
fn short_tasks_ahead_reject_no_job() {
    let mut harness = Harness::with_scheduling(OWN_HOST, FAIR);
    let worker_key = harness.add_worker("w1");
    // One long run lifts the mean run time to 2 s.
    let start = harness.start_job(1);
    harness.advance(2000);
    harness.answer_poll(worker_key, &[], &[(1, start.run, RunEnd::Done)]);
    harness.answers();
    for job in 2..5 {
        harness.step(FleetInput::Submitted(job + 100, short_job(job)));
    }
    expect_that!(harness.answers(), is_empty());
}

fn short_job(job: u64) -> Submission {
    Submission {
        job,
        queue: "orders".into(),
        spec: "work".into(),
        tasks: 1,
        need: Resources {
            cpu_milli: 8000,
            memory_mb: 64,
            accelerators: 0,
        },
        estimate: Duration::from_millis(10),
        timeout: Duration::from_secs(4),
    }
}

/// Guards against a job that is rejected at its latest start time although a
/// worker became free in that step.
#[gtest]
fn job_starts_when_cores_become_free_at_its_latest_start() {
    for (scheduling, starts) in [(FAIR, 1), (SchedulingOptions::default(), 0)] {
        let mut harness = Harness::with_scheduling(OWN_HOST, scheduling);
        let worker_key = harness.add_worker("w1");
        let starts_before = [harness.start_job(1), harness.start_job(2)];
        harness.submit(3, 1);
        harness.starts();
        // Slack of 200 ms * 0.6 + 60 ms, less 12 ms for requests.
        harness.advance(167);
        harness.now += Duration::from_millis(1);
        let running = starts_before[1].run;
        harness.answer_poll(
            worker_key,
            &[running],
            &[(1, starts_before[0].run, RunEnd::Done)],
        );
        expect_that!(harness.starts().len(), eq(starts), "{scheduling:?}");
    }
}

/// Guards against tasks that are sent to wait at a peer just before their
/// latest start, and are held there while a worker here becomes free.
#[gtest]
fn tasks_are_returned_from_a_peer_before_their_latest_start() {
    let (mut harness, _) = busy_host(FAIR);
    harness.receive_batch(2, FIRST_BATCH, vec![status(&[], 0)]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.submit(4, 1);
    let submitted_at = harness.now;
    let mut chunks = 0;
    let latest_start = Duration::from_millis(168);
    for _ in 0..300 {
        harness.advance(1);
        for batch in harness.batches() {
            for message in batch.messages {
                if let PeerMessage::Run(chunk) = message {
                    chunks += 1;
                    let until =
                        harness.now - submitted_at + Duration::from_millis(chunk.start_within_ms);
                    expect_that!(until, le(latest_start - Duration::from_millis(10)));
                }
            }
            acknowledge_batch(&mut harness, 2);
        }
    }
    expect_that!(chunks, eq(1));
}

/// Guards against a rejection that is not true, and a job that is lost, when a
/// peer becomes silent while it holds queued work.
#[gtest]
fn silent_peer_with_queued_work_loses_no_job() {
    let (mut harness, worker_key) = busy_host(FAIR);
    harness.receive_batch(2, FIRST_BATCH, vec![status(&[], 0)]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    let call = harness.submit(4, 1);
    harness.advance(30);
    let sent = harness
        .batches()
        .into_iter()
        .flat_map(|batch| batch.messages);
    let chunks = sent.filter(|message| matches!(message, PeerMessage::Run(_)));
    expect_that!(chunks.count(), eq(1));
    acknowledge_batch(&mut harness, 2);
    // The worker here becomes idle and answers its polls from now on.
    let mut sequence = 2;
    let mut ended = vec![
        (2, run(2, 0, 1), RunEnd::Done),
        (3, run(3, 0, 1), RunEnd::Done),
    ];
    harness.answers();
    let mut restarted_after = None;
    for tenth in 0..30 {
        harness.answer_poll(worker_key, &[], &ended);
        ended.clear();
        for start in harness.starts() {
            expect_that!((start.run.job, start.run.attempt), eq((4, 2)));
            restarted_after = Some(tenth * 100);
            harness.accept_start(&start);
            sequence += 2;
            ended.push((sequence, start.run, RunEnd::Done));
        }
        harness.advance(100);
    }
    // The peer stops its tasks after 600 ms; a lease of 1 s may follow.
    expect_that!(restarted_after, some(all!(ge(1600), le(2200))));
    let completed = (call, JobOutcome::Completed);
    let answers = harness.answers();
    expect_that!(
        answers.iter().filter(|a| a.0 == call).collect::<Vec<_>>(),
        eq(&vec![&completed])
    );
}

/// Guards against the start of the first tasks of a job whose last ones would
/// start too late: the cores of the first ones are wasted.
#[gtest]
fn wide_job_starts_as_a_unit_or_not_at_all() {
    for (scheduling, starts) in [(FAIR, 0), (SchedulingOptions::default(), 1)] {
        let mut harness = Harness::with_scheduling(OWN_HOST, scheduling);
        harness.add_worker("w1");
        let long = Submission {
            estimate: Duration::from_secs(3),
            ..short_job(1)
        };
        harness.step(FleetInput::Submitted(100, long));
        let start = harness.starts().remove(0);
        harness.accept_start(&start);
        harness.submit(2, 3);
        expect_that!(harness.starts().len(), eq(starts), "{scheduling:?}");
        let rejected = harness
            .answers()
            .iter()
            .filter(|a| is_overloaded(a))
            .count();
        expect_that!(rejected, eq(1 - starts), "{scheduling:?}");
    }
}

/// Guards against a fixed retry-after time, and a rejected caller that comes back
/// as told and has to queue behind new ones again.
#[gtest]
fn returning_caller_goes_before_new_ones() {
    let (mut harness, worker_key) = busy_host(FAIR);
    // A line of 20 tasks of 200 ms on two slots of this host takes 2 s.
    harness.receive_batch(2, FIRST_BATCH, vec![waiting(20)]);
    harness.submit(4, 1);
    let answers = harness.answers();
    let retry_after_ms = match answers[0].1 {
        JobOutcome::NotRun(NotRun::Overloaded { retry_after_ms }) => retry_after_ms,
        _ => 0,
    };
    expect_that!(retry_after_ms, all!(ge(250), le(7500), not(eq(1000))));
    harness.receive_batch(2, FIRST_BATCH + 1, vec![waiting(0)]);
    let ended = [
        (2, run(2, 0, 1), RunEnd::Done),
        (3, run(3, 0, 1), RunEnd::Done),
    ];
    harness.answer_poll(worker_key, &[], &ended);
    for _ in 0..=retry_after_ms / 100 {
        harness.advance(100);
        harness.answer_poll(worker_key, &[], &[]);
    }
    harness.start_job(6);
    harness.start_job(7);
    for job in [5, 4] {
        harness.submit(job, 1);
    }
    let ended = (4, run(6, 0, 1), RunEnd::Done);
    harness.answer_poll(worker_key, &[run(7, 0, 1)], &[ended]);
    let started: Vec<u64> = harness.starts().iter().map(|start| start.run.job).collect();
    expect_that!(started, elements_are![eq(&4)]);
}

fn waiting(tasks: u32) -> PeerMessage {
    PeerMessage::Status(PeerStatus {
        waiting: tasks,
        ..PeerStatus::default()
    })
}
