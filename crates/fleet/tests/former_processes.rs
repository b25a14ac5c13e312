//! Messages between entry hosts that are meant for, or come from, a former process of
//! one of them.

mod common;

use common::{Harness, acknowledge_batch, chunk, free_status, run};
use googletest::prelude::*;
use hornbeam_fleet::{FleetInput, PeerMessage, RunEnd, RunId};

/// Incarnation of a former process of the host under test.
const FORMER_INCARNATION: u64 = 99;

/// Starts a host that has sent the task of a job to host 2, as attempt 1.
fn host_with_a_task_at_a_peer() -> Harness {
    let mut harness = Harness::new(1);
    harness.receive_batch(2, 1, vec![free_status()]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.submit(1, 1);
    expect_that!(
        forwarded_runs(&mut harness),
        elements_are![eq(&run(1, 0, 1))]
    );
    acknowledge_batch(&mut harness, 2);
    harness
}

/// Takes the runs sent to peers so far.
fn forwarded_runs(harness: &mut Harness) -> Vec<RunId> {
    let batches = harness.batches().into_iter();
    let messages = batches.flat_map(|batch| batch.messages);
    let runs = messages.filter_map(|message| match message {
        PeerMessage::Run(chunk) => {
            let task = chunk.tasks[0];
            Some(run(chunk.job, task.task, task.attempt))
        }
        _ => None,
    });
    runs.collect()
}

/// Guards against a second run of a task because the end or the refusal of a run of
/// the host's former process, which a peer held up, is taken for that of the present
/// run with the same id (review, case 13).
#[gtest]
fn end_meant_for_a_former_process_does_not_start_the_task_again() {
    let ended = |end| PeerMessage::Ended(run(1, 0, 1), end, 0);
    let refused = PeerMessage::Refused(vec![run(1, 0, 1)]);
    for message in [ended(RunEnd::Failed), ended(RunEnd::Lost), refused] {
        let mut harness = host_with_a_task_at_a_peer();
        harness.add_worker("w1");
        for echo in [None, Some(FORMER_INCARNATION)] {
            let mut late = harness.batch(2, 2, vec![message.clone()]);
            late.echo = echo.and_then(|incarnation| {
                let echo = late.echo?;
                Some(hornbeam_fleet::BatchTime {
                    incarnation,
                    ..echo
                })
            });
            harness.step(FleetInput::Batch(late, None));
            harness.advance(20);
            expect_that!(harness.starts(), is_empty(), "{message:?} {echo:?}");
            expect_that!(forwarded_runs(&mut harness), is_empty());
        }
        harness.receive_batch(2, 3, vec![message]);
        harness.advance(20);
        expect_that!(harness.starts().len(), eq(1));
    }
}

/// Guards against a task that is done without a run of this process, by the end of
/// one of its former process.
#[gtest]
fn result_meant_for_a_former_process_does_not_complete_the_job() {
    let mut harness = host_with_a_task_at_a_peer();
    let done = PeerMessage::Ended(run(1, 0, 1), RunEnd::Done, 0);
    let mut late = harness.batch(2, 2, vec![done.clone()]);
    late.echo = None;
    harness.step(FleetInput::Batch(late, None));
    expect_that!(harness.answers(), is_empty());
    harness.receive_batch(2, 3, vec![done]);
    expect_that!(harness.answers().len(), eq(1));
}

/// Guards against the end of a run from a host that does not have it.
#[gtest]
fn end_from_another_peer_does_not_start_the_task_again() {
    let mut harness = host_with_a_task_at_a_peer();
    harness.add_worker("w1");
    let refused = PeerMessage::Refused(vec![run(1, 0, 1)]);
    let failed = PeerMessage::Ended(run(1, 0, 1), RunEnd::Failed, 0);
    harness.receive_batch(3, 1, vec![refused, failed]);
    harness.advance(20);
    expect_that!(harness.starts(), is_empty());
}

/// Guards against a refusal that its receiver ignores because a sender that has just
/// been paused names the former process of the receiver.
#[gtest]
fn batch_after_a_pause_names_the_new_process_of_a_peer() {
    let mut harness = Harness::new(1);
    harness.receive_batch(2, 1, vec![free_status()]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.advance_at_once(700);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    let mut restarted = harness.batch(2, 1, vec![chunk(5, 1)]);
    restarted.time.incarnation += 1;
    restarted.echo = None;
    let incarnation = restarted.time.incarnation;
    harness.step(FleetInput::Batch(restarted, None));
    let batches = harness.batches();
    let is_refusal = |message: &PeerMessage| matches!(message, PeerMessage::Refused(_));
    let answer = batches
        .iter()
        .find(|batch| batch.messages.iter().any(is_refusal));
    let named = answer.and_then(|batch| Some(batch.echo?.incarnation));
    expect_that!(named, some(eq(incarnation)));
}

/// Guards against a stop from one host that ends a run of another one, to which the
/// caller has sent its job meanwhile.
#[gtest]
fn stop_from_another_host_does_not_end_a_run() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    for host in [2, 3] {
        harness.receive_batch(host, 1, vec![free_status()]);
        harness.batches();
        acknowledge_batch(&mut harness, host);
    }
    harness.receive_batch(3, 2, vec![chunk(5, 1)]);
    let request = harness.starts().remove(0);
    harness.accept_start(&request);
    harness.receive_batch(2, 2, vec![PeerMessage::Stop(vec![request.run])]);
    expect_that!(harness.stops(), is_empty());
    harness.receive_batch(3, 3, vec![PeerMessage::Stop(vec![request.run])]);
    expect_that!(harness.stops().len(), eq(1));
}

/// Guards against a peer that is ignored for good because the first batch of its
/// former process arrives after one of the present process.
#[gtest]
fn late_first_batch_of_a_former_process_does_not_hide_its_successor() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    let mut first = harness.batch(2, 1, vec![free_status()]);
    first.echo = None;
    let former = first.time.incarnation;
    let restarted = |harness: &Harness, sequence, messages| {
        let mut batch = harness.batch(2, sequence, messages);
        batch.time.incarnation = former + 1;
        batch
    };
    let batch = restarted(&harness, 1, vec![free_status()]);
    harness.step(FleetInput::Batch(batch, None));
    harness.advance(300);
    harness.step(FleetInput::Batch(first, None));
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.advance(100);
    let batch = restarted(&harness, 2, vec![free_status()]);
    harness.step(FleetInput::Batch(batch, None));
    let batch = restarted(&harness, 3, vec![chunk(5, 1)]);
    harness.step(FleetInput::Batch(batch, None));
    expect_that!(harness.starts().len(), eq(1));
}
