//! Exchange of tasks and resource statuses between entry hosts.

mod common;

use std::time::Duration;

use common::{Harness, SERVICE, acknowledge_batch, chunk, run};
use googletest::prelude::*;
use hornbeam_fleet::{
    FleetInput, PeerBatch, PeerMessage, PeerStatus, PollOutcome, Resources, RunEnd, RunId,
    ServiceResources,
};

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
        owned: 1,
        serving: 1,
        ..PeerStatus::default()
    })
}

fn messages(batches: Vec<PeerBatch>) -> Vec<PeerMessage> {
    batches
        .into_iter()
        .flat_map(|batch| batch.messages)
        .collect()
}

fn take_forwarded_runs(harness: &mut Harness) -> Vec<RunId> {
    let messages = messages(harness.batches());
    let chunks = messages.into_iter().filter_map(|message| match message {
        PeerMessage::Run(chunk) => Some(chunk),
        _ => None,
    });
    let runs = chunks.flat_map(|chunk| {
        let job = chunk.job;
        let runs = chunk.tasks.into_iter();
        runs.map(move |task| run(job, task.task, task.attempt))
    });
    runs.collect()
}

/// Guards against tasks that wait here while a peer has free resources.
#[gtest]
fn tasks_without_resources_go_to_a_peer_with_free_resources() {
    let mut harness = Harness::new(1);
    harness.receive_batch(2, 1, vec![status(&[16000], 0)]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.submit(1, 2);
    expect_that!(take_forwarded_runs(&mut harness).len(), eq(2));
}

/// Guards against more tasks for a peer than fit the free resources it
/// reported, apart from one task per worker that may wait there.
#[gtest]
fn free_resources_of_a_peer_are_used_once() {
    let mut harness = Harness::new(1);
    harness.receive_batch(2, 1, vec![status(&[16000], 0)]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.submit(1, 5);
    expect_that!(take_forwarded_runs(&mut harness).len(), eq(2));
    acknowledge_batch(&mut harness, 2);
    harness.advance(10);
    expect_that!(take_forwarded_runs(&mut harness).len(), eq(1));
}

/// Guards against the use of a peer in another failure domain while one in the
/// same domain has free resources.
#[gtest]
fn own_failure_domain_comes_first() {
    let mut harness = Harness::new(1);
    let mut far = harness.batch(3, 1, vec![status(&[16000, 16000, 16000], 0)]);
    far.failure_domain = "b".into();
    harness.step(FleetInput::Batch(far, None));
    harness.receive_batch(2, 1, vec![status(&[8000], 0)]);
    harness.outputs.clear();
    acknowledge_batch(&mut harness, 2);
    acknowledge_batch(&mut harness, 3);
    harness.submit(1, 1);
    let sent = harness.outputs.iter().find_map(|output| match output {
        hornbeam_fleet::FleetOutput::SendBatch(host, _, batch, _)
            if batch
                .messages
                .iter()
                .any(|m| matches!(m, PeerMessage::Run(_))) =>
        {
            Some(host.clone())
        }
        _ => None,
    });
    expect_that!(sent, some(eq("entry-2")));
}

/// Guards against a job that keeps waiting for a peer that has returned its
/// task.
#[gtest]
fn task_returned_by_a_peer_is_queued_again() {
    let mut harness = Harness::new(1);
    harness.receive_batch(2, 1, vec![status(&[8000], 0)]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.submit(1, 1);
    let sent = take_forwarded_runs(&mut harness);
    acknowledge_batch(&mut harness, 2);
    harness.receive_batch(2, 2, vec![PeerMessage::Refused(sent), status(&[8000], 0)]);
    expect_that!(
        take_forwarded_runs(&mut harness),
        elements_are![eq(&run(1, 0, 2))]
    );
}

/// Guards against a batch that is processed twice because its answer was lost.
#[gtest]
fn retransmitted_batch_is_processed_once() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.receive_batch(2, 1, Vec::new());
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.receive_batch(2, 2, vec![chunk(5, 1)]);
    let request = harness.starts().remove(0);
    harness.accept_start(&request);
    harness.answer_poll(
        request.target.worker_key,
        &[],
        &[(1, request.run, RunEnd::Done)],
    );
    harness.receive_batch(2, 2, vec![chunk(5, 1)]);
    expect_that!(harness.starts(), is_empty());
}

/// Guards against runs for an origin that has given them up and starts them
/// elsewhere. Without an accepted batch for 600 ms they are stopped.
#[gtest]
fn runs_of_a_silent_origin_are_stopped_before_it_gives_them_up() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.receive_batch(2, 1, Vec::new());
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    let acked_at = harness.now;
    harness.receive_batch(2, 2, vec![chunk(5, 1)]);
    let request = harness.starts().remove(0);
    harness.accept_start(&request);
    while harness.stops().is_empty() {
        harness.advance(1);
        assert_that!(harness.now - acked_at, lt(Duration::from_millis(700)));
    }
    expect_that!(harness.now - acked_at, ge(Duration::from_millis(600)));
}

/// Guards against runs that go on after their job has ended, because the origin
/// accepts batches but its own batches, with the requests to stop, are lost.
#[gtest]
fn runs_of_an_origin_that_is_not_heard_are_stopped() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.receive_batch(2, 1, Vec::new());
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.receive_batch(2, 2, vec![chunk(5, 1)]);
    let heard_at = harness.now;
    let request = harness.starts().remove(0);
    harness.accept_start(&request);
    while harness.stops().is_empty() {
        harness.advance(1);
        if !harness.batches().is_empty() {
            acknowledge_batch(&mut harness, 2);
        }
        assert_that!(harness.now - heard_at, lt(Duration::from_millis(700)));
    }
    expect_that!(harness.now - heard_at, ge(Duration::from_millis(600)));
}

/// Guards against tasks at a peer that are stopped there because it gets no
/// heartbeats from a host that is not its neighbour.
#[gtest]
fn peer_with_tasks_of_this_host_gets_heartbeats() {
    let mut harness = Harness::new(1);
    harness.receive_batch(2, 1, vec![status(&[8000], 0)]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.submit(1, 1);
    expect_that!(take_forwarded_runs(&mut harness).len(), eq(1));
    acknowledge_batch(&mut harness, 2);
    let mut heartbeats = 0;
    for sequence in 2..12 {
        harness.advance(100);
        harness.receive_batch(2, sequence, Vec::new());
        heartbeats += harness.batches().len();
        acknowledge_batch(&mut harness, 2);
    }
    expect_that!(heartbeats, ge(4));
}

/// Guards against a second run of a task while the first is still active at a
/// peer that has fallen silent. It starts elsewhere only after 600 ms, a stop
/// without an answer and a lease.
#[gtest]
fn tasks_at_a_silent_peer_start_elsewhere_after_they_ended_there() {
    let mut harness = Harness::new(1);
    harness.receive_batch(2, 1, vec![status(&[8000], 0)]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.submit(1, 1);
    expect_that!(take_forwarded_runs(&mut harness).len(), eq(1));
    let heard_at = harness.now;
    harness.add_worker("w1");
    while harness.starts().is_empty() {
        harness.advance(1);
        assert_that!(harness.now - heard_at, lt(Duration::from_millis(2000)));
    }
    expect_that!(harness.now - heard_at, ge(Duration::from_millis(1800)));
}

/// Guards against a task for an origin that may already have given it up. The
/// origin has accepted no batch recently, so it might not learn of the end
/// either.
#[gtest]
fn chunk_of_an_origin_without_recent_ack_is_returned() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.receive_batch(2, 1, vec![chunk(5, 1)]);
    expect_that!(harness.starts(), is_empty());
}

/// Guards against a second run of a task whose origin lost contact with this
/// host, started the task elsewhere, and was reachable again before its first
/// chunk arrived.
#[gtest]
fn chunk_delayed_in_transit_is_returned() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.receive_batch(2, 1, vec![status(&[8000], 0)]);
    let late = harness.batch(2, 2, vec![chunk(5, 1)]);
    harness.advance(3000);
    harness.receive_batch(2, 3, vec![status(&[8000], 0)]);
    // Acknowledges the batch sent before the silence and the one after it.
    acknowledge_batch(&mut harness, 2);
    acknowledge_batch(&mut harness, 2);
    let mut late = late;
    late.sequence = 4;
    harness.step(FleetInput::Batch(late, None));
    expect_that!(harness.starts(), is_empty());
    harness.receive_batch(2, 5, vec![chunk(6, 1)]);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a late batch of a process that has ended. It must neither
/// count as a restart of the peer nor deliver its tasks.
#[gtest]
fn batch_of_a_past_incarnation_is_ignored() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    let late = harness.batch(2, 2, vec![chunk(5, 1)]);
    harness.receive_batch(2, 1, vec![status(&[8000], 0)]);
    acknowledge_batch(&mut harness, 2);
    let mut restarted = harness.batch(2, 1, vec![status(&[16000], 0)]);
    restarted.time.incarnation += 1;
    harness.step(FleetInput::Batch(restarted.clone(), None));
    harness.step(FleetInput::Batch(late, None));
    expect_that!(harness.starts(), is_empty());
    restarted.sequence = 2;
    restarted.messages = vec![chunk(6, 1)];
    harness.step(FleetInput::Batch(restarted.clone(), None));
    expect_that!(harness.starts().len(), eq(1));
    harness.step(FleetInput::Batch(restarted, None));
    expect_that!(harness.starts(), is_empty());
}

/// Guards against a second run of a task while a restarted peer has left the
/// first one on a worker. Its lease must expire first.
#[gtest]
fn restart_of_a_peer_holds_its_tasks_back_for_a_lease() {
    let mut harness = Harness::new(1);
    harness.receive_batch(2, 1, vec![status(&[8000], 0)]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.submit(1, 1);
    expect_that!(take_forwarded_runs(&mut harness).len(), eq(1));
    acknowledge_batch(&mut harness, 2);
    let mut restarted = harness.batch(2, 1, vec![status(&[16000], 0)]);
    restarted.time.incarnation += 1;
    harness.step(FleetInput::Batch(restarted, None));
    expect_that!(take_forwarded_runs(&mut harness), is_empty());
    harness.add_worker("w1");
    harness.advance(900);
    expect_that!(harness.starts(), is_empty());
    harness.advance(300);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a host that waits for resources without being told that they
/// are free. Peers must answer a status with waiting tasks.
#[gtest]
fn host_with_waiting_tasks_is_notified_of_free_resources() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    harness.submit(1, 2);
    let requests = harness.starts();
    for request in &requests {
        harness.accept_start(request);
    }
    harness.receive_batch(2, 1, vec![status(&[], 3)]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.advance(15);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.answer_poll(
        worker,
        &[requests[1].run],
        &[(1, requests[0].run, RunEnd::Done)],
    );
    harness.advance(11);
    let notified = messages(harness.batches()).into_iter().any(|message| {
        matches!(message, PeerMessage::Status(status) if !status.resources[0].free.is_empty())
    });
    expect_that!(notified, eq(true));
}

/// Guards against a wide job that waits for the few workers of one host while
/// no tasks wait at others.
#[gtest]
fn waiting_tasks_are_offloaded_to_less_loaded_peers() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    for host in 2..=4 {
        harness.receive_batch(host, 1, vec![status(&[], 0)]);
        harness.outputs.clear();
        acknowledge_batch(&mut harness, host);
    }
    harness.submit(1, 2);
    harness.starts();
    harness.submit(2, 4);
    expect_that!(take_forwarded_runs(&mut harness), is_empty());
    for host in 2..=4 {
        acknowledge_batch(&mut harness, host);
    }
    harness.advance(10);
    expect_that!(take_forwarded_runs(&mut harness).len(), eq(3));
}

/// Guards against a task of a peer that waits forever, or is returned although
/// resources become free in time.
#[gtest]
fn task_of_a_peer_waits_for_resources_until_its_deadline() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    harness.submit(1, 2);
    let requests = harness.starts();
    for request in &requests {
        harness.accept_start(request);
    }
    harness.receive_batch(2, 1, Vec::new());
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.receive_batch(2, 2, vec![chunk(5, 2)]);
    harness.advance(50);
    expect_that!(harness.starts(), is_empty());
    harness.answer_poll(
        worker,
        &[requests[1].run],
        &[(1, requests[0].run, RunEnd::Done)],
    );
    let started = harness.starts();
    expect_that!(started.len(), eq(1));
    expect_that!(started[0].run.job, eq(5));
    acknowledge_batch(&mut harness, 2);
    harness.batches();
    harness.advance(101);
    acknowledge_batch(&mut harness, 2);
    let refused = messages(harness.batches())
        .into_iter()
        .any(|message| matches!(message, PeerMessage::Refused(runs) if runs == [run(5, 1, 1)]));
    expect_that!(refused, eq(true));
}

/// Guards against an answer that nothing ran while tasks of the job are at a
/// peer that has not returned them.
#[gtest]
fn job_is_refused_only_after_peers_have_returned_its_tasks() {
    let mut harness = Harness::new(1);
    harness.receive_batch(2, 1, vec![status(&[], 0)]);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.submit(1, 1);
    harness.batches();
    acknowledge_batch(&mut harness, 2);
    harness.advance(10);
    let sent = take_forwarded_runs(&mut harness);
    expect_that!(sent.len(), eq(1));
    for sequence in 2..10 {
        harness.advance(50);
        harness.batches();
        acknowledge_batch(&mut harness, 2);
        harness.receive_batch(2, sequence, Vec::new());
    }
    expect_that!(harness.answers(), is_empty());
    harness.receive_batch(2, 10, vec![PeerMessage::Refused(sent)]);
    let answers = harness.answers();
    expect_that!(answers.len(), eq(1));
    let is_refused = matches!(answers[0].1, hornbeam_fleet::JobOutcome::NotRun(_));
    expect_that!(is_refused, eq(true));
}

/// Guards against a run of a peer that is reported as lost when the lease of a
/// former run with the same id expires: the peer would start the task again
/// while it runs. The former run belongs to an earlier call for the job, and its
/// worker has become silent.
#[gtest]
fn the_end_of_a_former_run_is_not_taken_for_that_of_a_peers_run() {
    let mut harness = Harness::new(1);
    let silent = harness.add_worker("w1");
    let former = harness.start_job(7);
    harness.receive_batch(2, 1, vec![status(&[], 0)]);
    acknowledge_batch(&mut harness, 2);
    harness.step(FleetInput::CallerDisconnected(1, 7));
    harness.step(FleetInput::PollEnded(silent, PollOutcome::Unanswered));
    harness.add_worker("w2");
    harness.batches();

    harness.receive_batch(2, 2, vec![chunk(7, 1)]);
    let started = harness.starts();
    expect_that!(
        started.iter().any(|start| start.run == former.run),
        eq(false)
    );
    for ms in 0..1500 {
        if ms % 100 == 0 {
            harness.receive_batch(2, 3 + ms / 100, vec![]);
            acknowledge_batch(&mut harness, 2);
        }
        harness.advance(1);
    }
    let told = messages(harness.batches());
    let is_lost = |message: &PeerMessage| matches!(message, PeerMessage::Ended(_, RunEnd::Lost, _));
    expect_that!(told.iter().any(is_lost), eq(false));
}
