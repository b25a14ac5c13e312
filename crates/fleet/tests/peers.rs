//! Tasks and room between entry hosts.

mod common;

use std::time::Duration;

use common::{Bench, SERVICE, chunk, confirm, run};
use googletest::prelude::*;
use hornbeam_fleet::{
    FleetInput, PeerBatch, PeerMessage, PeerStatus, Resources, RunEnd, RunId, ServiceResources,
};

fn status(free: &[u32], waiting: u32) -> PeerMessage {
    let room = |cpu_milli: &u32| Resources {
        cpu_milli: *cpu_milli,
        memory_mb: 1000,
        accelerators: 0,
    };
    PeerMessage::Status(PeerStatus {
        rooms: vec![ServiceResources {
            service: SERVICE.into(),
            free: free.iter().map(room).collect(),
            largest: room(&16000),
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

fn forwarded(bench: &mut Bench) -> Vec<RunId> {
    let messages = messages(bench.batches());
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

/// Guards against tasks that wait here while a peer has room.
#[gtest]
fn tasks_without_room_go_to_a_peer_with_room() {
    let mut bench = Bench::new(1);
    bench.receive(2, 1, vec![status(&[16000], 0)]);
    bench.batches();
    confirm(&mut bench, 2);
    bench.submit(1, 2);
    expect_that!(forwarded(&mut bench).len(), eq(2));
}

/// Guards against more tasks for a peer than it has said it has room for, but
/// for one for each of its workers that may wait there.
#[gtest]
fn room_of_a_peer_is_given_out_once() {
    let mut bench = Bench::new(1);
    bench.receive(2, 1, vec![status(&[16000], 0)]);
    bench.batches();
    confirm(&mut bench, 2);
    bench.submit(1, 5);
    expect_that!(forwarded(&mut bench).len(), eq(2));
    confirm(&mut bench, 2);
    bench.pass(10);
    expect_that!(forwarded(&mut bench).len(), eq(1));
}

/// Guards against a peer in another failure domain while there is room in the
/// own one.
#[gtest]
fn own_failure_domain_comes_first() {
    let mut bench = Bench::new(1);
    let mut far = bench.batch(3, 1, vec![status(&[16000, 16000, 16000], 0)]);
    far.failure_domain = "b".into();
    bench.step(FleetInput::Batch(far));
    bench.receive(2, 1, vec![status(&[8000], 0)]);
    bench.outputs.clear();
    confirm(&mut bench, 2);
    confirm(&mut bench, 3);
    bench.submit(1, 1);
    let sent = bench.outputs.iter().find_map(|output| match output {
        hornbeam_fleet::FleetOutput::SendBatch(host, _, batch)
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

/// Guards against a job that waits for a peer that has sent its task back.
#[gtest]
fn task_that_a_peer_sends_back_is_queued_again() {
    let mut bench = Bench::new(1);
    bench.receive(2, 1, vec![status(&[8000], 0)]);
    bench.batches();
    confirm(&mut bench, 2);
    bench.submit(1, 1);
    let sent = forwarded(&mut bench);
    confirm(&mut bench, 2);
    bench.receive(2, 2, vec![PeerMessage::Refused(sent), status(&[8000], 0)]);
    expect_that!(forwarded(&mut bench), elements_are![eq(&run(1, 0, 2))]);
}

/// Guards against a batch that is carried out twice because its answer was
/// lost.
#[gtest]
fn repeated_batch_is_carried_out_once() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.receive(2, 1, Vec::new());
    bench.batches();
    confirm(&mut bench, 2);
    bench.receive(2, 2, vec![chunk(5, 1)]);
    let order = bench.starts().remove(0);
    bench.accept(&order);
    bench.seen(
        order.target.worker_key,
        &[],
        &[(1, order.run, RunEnd::Done)],
    );
    bench.receive(2, 2, vec![chunk(5, 1)]);
    expect_that!(bench.starts(), is_empty());
}

/// Guards against runs for a host that has given them up and starts them
/// elsewhere: without a batch taken for 600 ms they are stopped.
#[gtest]
fn runs_for_a_silent_origin_are_stopped_before_it_gives_them_up() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.receive(2, 1, Vec::new());
    bench.batches();
    confirm(&mut bench, 2);
    let confirmed_at = bench.now;
    bench.receive(2, 2, vec![chunk(5, 1)]);
    let order = bench.starts().remove(0);
    bench.accept(&order);
    while bench.stops().is_empty() {
        bench.pass(1);
        assert_that!(bench.now - confirmed_at, lt(Duration::from_millis(700)));
    }
    expect_that!(bench.now - confirmed_at, ge(Duration::from_millis(600)));
}

/// Guards against a second run of a task while its first goes on at a peer
/// that has fallen silent: it starts elsewhere only after 1,200 ms.
#[gtest]
fn tasks_at_a_silent_peer_start_elsewhere_after_they_are_over() {
    let mut bench = Bench::new(1);
    bench.receive(2, 1, vec![status(&[8000], 0)]);
    bench.batches();
    confirm(&mut bench, 2);
    bench.submit(1, 1);
    expect_that!(forwarded(&mut bench).len(), eq(1));
    let heard_at = bench.now;
    bench.own("w1");
    while bench.starts().is_empty() {
        bench.pass(1);
        assert_that!(bench.now - heard_at, lt(Duration::from_millis(1400)));
    }
    expect_that!(bench.now - heard_at, ge(Duration::from_millis(1200)));
}

/// Guards against a task for a host that may already have given it up: it has
/// taken no batch lately, so it could not hear of the end either.
#[gtest]
fn chunk_of_an_unconfirmed_origin_is_sent_back() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.receive(2, 1, vec![chunk(5, 1)]);
    expect_that!(bench.starts(), is_empty());
}

/// Guards against a second run of a task whose origin gave this host up after
/// a silence, started the task elsewhere and was heard from again before its
/// first order came through.
#[gtest]
fn chunk_that_was_long_on_its_way_is_sent_back() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    bench.receive(2, 1, vec![status(&[8000], 0)]);
    let late = bench.batch(2, 2, vec![chunk(5, 1)]);
    bench.pass(3000);
    bench.receive(2, 3, vec![status(&[8000], 0)]);
    // The batch that was sent before the silence, and one after it.
    confirm(&mut bench, 2);
    confirm(&mut bench, 2);
    let mut late = late;
    late.sequence = 4;
    bench.step(FleetInput::Batch(late));
    expect_that!(bench.starts(), is_empty());
    bench.receive(2, 5, vec![chunk(6, 1)]);
    expect_that!(bench.starts().len(), eq(1));
}

/// Guards against a late batch of a process that has ended: it must neither
/// count as a new start of the host nor bring its tasks.
#[gtest]
fn batch_of_a_former_process_is_ignored() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    let late = bench.batch(2, 2, vec![chunk(5, 1)]);
    bench.receive(2, 1, vec![status(&[8000], 0)]);
    confirm(&mut bench, 2);
    let mut anew = bench.batch(2, 1, vec![status(&[16000], 0)]);
    anew.time.incarnation += 1;
    bench.step(FleetInput::Batch(anew.clone()));
    bench.step(FleetInput::Batch(late));
    expect_that!(bench.starts(), is_empty());
    anew.sequence = 2;
    anew.messages = vec![chunk(6, 1)];
    bench.step(FleetInput::Batch(anew.clone()));
    expect_that!(bench.starts().len(), eq(1));
    bench.step(FleetInput::Batch(anew));
    expect_that!(bench.starts(), is_empty());
}

/// Guards against a second run while a peer that has started anew has left one
/// behind on a worker: its lease must end first.
#[gtest]
fn restart_of_a_peer_keeps_its_tasks_back_for_a_lease() {
    let mut bench = Bench::new(1);
    bench.receive(2, 1, vec![status(&[8000], 0)]);
    bench.batches();
    confirm(&mut bench, 2);
    bench.submit(1, 1);
    expect_that!(forwarded(&mut bench).len(), eq(1));
    confirm(&mut bench, 2);
    let mut anew = bench.batch(2, 1, vec![status(&[16000], 0)]);
    anew.time.incarnation += 1;
    bench.step(FleetInput::Batch(anew));
    expect_that!(forwarded(&mut bench), is_empty());
    bench.own("w1");
    bench.pass(900);
    expect_that!(bench.starts(), is_empty());
    bench.pass(300);
    expect_that!(bench.starts().len(), eq(1));
}

/// Guards against a host that waits for room of which it is not told: peers
/// with room answer a status that says that tasks wait.
#[gtest]
fn host_whose_tasks_wait_is_told_of_room() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    bench.submit(1, 2);
    let orders = bench.starts();
    for order in &orders {
        bench.accept(order);
    }
    bench.receive(2, 1, vec![status(&[], 3)]);
    bench.batches();
    confirm(&mut bench, 2);
    bench.pass(15);
    bench.batches();
    confirm(&mut bench, 2);
    bench.seen(
        worker,
        &[orders[1].run],
        &[(1, orders[0].run, RunEnd::Done)],
    );
    bench.pass(11);
    let told = messages(bench.batches()).into_iter().any(|message| {
        matches!(message, PeerMessage::Status(status) if !status.rooms[0].free.is_empty())
    });
    expect_that!(told, eq(true));
}

/// Guards against a wide job that waits for the few workers of one host while
/// nobody waits at the others.
#[gtest]
fn waiting_tasks_are_spread_over_peers_where_fewer_wait() {
    let mut bench = Bench::new(1);
    bench.own("w1");
    for host in 2..=4 {
        bench.receive(host, 1, vec![status(&[], 0)]);
        bench.outputs.clear();
        confirm(&mut bench, host);
    }
    bench.submit(1, 2);
    bench.starts();
    bench.submit(2, 4);
    expect_that!(forwarded(&mut bench), is_empty());
    for host in 2..=4 {
        confirm(&mut bench, host);
    }
    bench.pass(10);
    expect_that!(forwarded(&mut bench).len(), eq(3));
}

/// Guards against a task of a peer that waits for ever or is sent back although
/// room comes in time.
#[gtest]
fn task_of_a_peer_waits_for_room_as_long_as_it_may() {
    let mut bench = Bench::new(1);
    let worker = bench.own("w1");
    bench.submit(1, 2);
    let orders = bench.starts();
    for order in &orders {
        bench.accept(order);
    }
    bench.receive(2, 1, Vec::new());
    bench.batches();
    confirm(&mut bench, 2);
    bench.receive(2, 2, vec![chunk(5, 2)]);
    bench.pass(50);
    expect_that!(bench.starts(), is_empty());
    bench.seen(
        worker,
        &[orders[1].run],
        &[(1, orders[0].run, RunEnd::Done)],
    );
    let started = bench.starts();
    expect_that!(started.len(), eq(1));
    expect_that!(started[0].run.job, eq(5));
    confirm(&mut bench, 2);
    bench.batches();
    bench.pass(101);
    confirm(&mut bench, 2);
    let refused = messages(bench.batches())
        .into_iter()
        .any(|message| matches!(message, PeerMessage::Refused(runs) if runs == [run(5, 1, 1)]));
    expect_that!(refused, eq(true));
}

/// Guards against a refusal that says that nothing ran while tasks of the job
/// are at a peer that has not sent them back.
#[gtest]
fn job_is_refused_only_after_peers_have_sent_its_tasks_back() {
    let mut bench = Bench::new(1);
    bench.receive(2, 1, vec![status(&[], 0)]);
    bench.batches();
    confirm(&mut bench, 2);
    bench.submit(1, 1);
    bench.batches();
    confirm(&mut bench, 2);
    bench.pass(10);
    let sent = forwarded(&mut bench);
    expect_that!(sent.len(), eq(1));
    for sequence in 2..10 {
        bench.pass(50);
        bench.batches();
        confirm(&mut bench, 2);
        bench.receive(2, sequence, Vec::new());
    }
    expect_that!(bench.answers(), is_empty());
    bench.receive(2, 10, vec![PeerMessage::Refused(sent)]);
    let answers = bench.answers();
    expect_that!(answers.len(), eq(1));
    let is_refused = matches!(answers[0].1, hornbeam_fleet::JobOutcome::NotRun(_));
    expect_that!(is_refused, eq(true));
}
