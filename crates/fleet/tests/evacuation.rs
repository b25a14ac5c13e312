//! Evacuation of a failure domain and its return to service.

mod common;

use common::{Harness, SERVICE, acknowledge_batch, chunk, free_status, report, run};
use googletest::prelude::*;
use hornbeam_fleet::{
    FleetInput, FleetOutput, JobOutcome, NotRun, PeerMessage, PeerStatus, PollOutcome, RunEnd,
    RunId, ServiceResources, StartOutcome,
};
use std::collections::BTreeMap;

/// Delivers a status of a host in failure domain `b`, which has accepted the last
/// batch.
fn receive_status(harness: &mut Harness, host: u8, sequence: u64, status: PeerMessage) {
    let mut batch = harness.batch(host, sequence, vec![status]);
    batch.failure_domain = "b".into();
    harness.step(FleetInput::Batch(batch, None));
    acknowledge_batch(harness, host);
}

/// Takes the messages in the batches sent so far, with their receivers.
fn messages(harness: &mut Harness) -> Vec<(String, PeerMessage)> {
    let mut sent = Vec::new();
    for output in std::mem::take(&mut harness.outputs) {
        match output {
            FleetOutput::SendBatch(host, _, batch, _) => {
                let messages = batch.messages.into_iter();
                sent.extend(messages.map(|message| (host.clone(), message)));
            }
            other => harness.outputs.push(other),
        }
    }
    sent
}

/// Counts the tasks sent to each host so far.
fn forwarded(harness: &mut Harness) -> Vec<(String, usize)> {
    let mut tasks = BTreeMap::new();
    for (host, message) in messages(harness) {
        if let PeerMessage::Run(chunk) = message {
            *tasks.entry(host).or_default() += chunk.tasks.len();
        }
    }
    tasks.into_iter().collect()
}

/// Delivers a direct report with a remaining cold time.
fn report_cold(harness: &mut Harness, name: &str, sequence: u64, cold_ms: u64) {
    let clock_ms = u64::try_from(harness.now.as_millis()).expect("a small time");
    let report = report(name, sequence);
    harness.step(FleetInput::ReportedCold(9, report, clock_ms, cold_ms));
}

/// Guards against starts in a failure domain after its evacuation has arrived,
/// and against peers that send tasks there.
#[gtest]
fn nothing_starts_in_an_evacuated_domain() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.receive_batch(2, 1, vec![]);
    harness.advance(20);
    messages(&mut harness);
    acknowledge_batch(&mut harness, 2);
    harness.evacuate(1, &["a"]);
    harness.submit(1, 2);
    // A worker that appears later is in the evacuated domain as well.
    harness.add_worker("w2");
    harness.advance(30);
    expect_that!(harness.starts(), is_empty());
    let statuses = messages(&mut harness);
    let statuses = statuses
        .into_iter()
        .filter_map(|(_, message)| match message {
            PeerMessage::Status(status) => Some((status.resources, status.serving)),
            _ => None,
        });
    expect_that!(statuses.collect::<Vec<_>>(), contains(eq(&(Vec::new(), 0))));
    expect_that!(harness.fleet.free_cpu_milli(), eq(0));
    harness.evacuate(2, &[]);
    expect_that!(harness.starts().len(), eq(2));
}

/// Guards against a late list that returns an evacuated domain to service, or
/// evacuates one that was returned.
#[gtest]
fn stale_list_changes_nothing() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.evacuate(2, &["a"]);
    harness.evacuate(1, &[]);
    harness.evacuate(2, &[]);
    harness.submit(1, 1);
    expect_that!(harness.starts(), is_empty());
    harness.evacuate(3, &[]);
    expect_that!(harness.starts().len(), eq(1));
    harness.evacuate(2, &["a"]);
    harness.submit(2, 1);
    expect_that!(harness.starts().len(), eq(1));
}

/// Guards against a restarted host that starts tasks on a worker which it learns
/// of after the list.
#[gtest]
fn restarted_host_starts_nothing_in_an_evacuated_domain() {
    let mut harness = Harness::new(1);
    harness.evacuate(7, &["a"]);
    harness.add_worker("w1");
    harness.submit(1, 1);
    harness.advance(50);
    expect_that!(harness.starts(), is_empty());
    expect_that!(harness.fleet.evacuations().revision, eq(7));
}

/// Guards against an evacuation that stops tasks, or forgets their ends.
#[gtest]
fn running_tasks_finish() {
    let mut harness = Harness::new(1);
    let worker = harness.add_worker("w1");
    let request = harness.start_job(1);
    harness.evacuate(1, &["a"]);
    harness.advance(100);
    expect_that!(harness.stops(), is_empty());
    harness.answer_poll(worker, &[], &[(1, request.run, RunEnd::Done)]);
    let answers = harness.answers();
    expect_that!(
        answers,
        elements_are![(anything(), eq(&JobOutcome::Completed))]
    );
}

/// Guards against the tasks of an evacuated domain that all go to one host.
#[gtest]
fn load_goes_evenly_to_several_peers() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    for host in 2..=4 {
        receive_status(&mut harness, host, 1, free_status());
    }
    harness.evacuate(1, &["a"]);
    forwarded(&mut harness);
    for host in 2..=4 {
        acknowledge_batch(&mut harness, host);
    }
    harness.submit(1, 6);
    let sent = forwarded(&mut harness);
    expect_that!(sent.len(), eq(3));
    expect_that!(sent, each((anything(), eq(&2))));
    expect_that!(harness.starts(), is_empty());
}

/// Guards against tasks that are sent to a peer in the evacuated domain on a
/// status from before the evacuation.
#[gtest]
fn peers_in_the_evacuated_domain_come_last() {
    let mut harness = Harness::new(1);
    receive_status(&mut harness, 2, 1, free_status());
    harness.receive_batch(3, 1, vec![free_status()]);
    forwarded(&mut harness);
    acknowledge_batch(&mut harness, 2);
    acknowledge_batch(&mut harness, 3);
    harness.evacuate(1, &["a"]);
    messages(&mut harness);
    acknowledge_batch(&mut harness, 2);
    acknowledge_batch(&mut harness, 3);
    harness.submit(1, 1);
    expect_that!(
        forwarded(&mut harness),
        elements_are![(eq("entry-2"), eq(&1))]
    );
}

/// Guards against tasks of peers that wait for workers which start nothing any
/// more, and against a return of those that still fit here.
#[gtest]
fn waiting_tasks_of_peers_go_back_at_once() {
    for (domain, returned) in [("a", 1), ("b", 0)] {
        let mut harness = Harness::new(1);
        harness.add_worker("w1");
        harness.receive_batch(2, 1, vec![]);
        acknowledge_batch(&mut harness, 2);
        harness.submit(1, 2);
        harness.receive_batch(2, 2, vec![chunk(5, 1)]);
        messages(&mut harness);
        acknowledge_batch(&mut harness, 2);
        harness.evacuate(1, &[domain]);
        let refused = messages(&mut harness);
        let refused = refused.iter().filter(
            |(_, message)| matches!(message, PeerMessage::Refused(runs) if *runs == [run(5, 0, 1)]),
        );
        expect_that!(refused.count(), eq(returned), "evacuation of {domain}");
    }
}

/// Guards against a start that is repeated at an evacuated worker although it
/// certainly did not happen, and against a second start of a task whose first
/// one may have happened.
#[gtest]
fn start_in_flight_during_an_evacuation_is_settled() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.submit(1, 2);
    let requests = harness.starts();
    harness.evacuate(1, &["a"]);
    receive_status(&mut harness, 2, 1, free_status());
    forwarded(&mut harness);
    acknowledge_batch(&mut harness, 2);
    harness.answer_start(&requests[0], StartOutcome::Unanswered);
    let retries: Vec<RunId> = harness.starts().iter().map(|start| start.run).collect();
    expect_that!(retries, elements_are![eq(&requests[0].run)]);
    harness.answer_start(&requests[1], StartOutcome::NotSent);
    expect_that!(harness.starts(), is_empty());
    expect_that!(forwarded(&mut harness), elements_are![(anything(), eq(&1))]);
}

/// Guards against a task that may crash its worker and is started in an evacuated
/// domain, or waits there while a peer could run it.
#[gtest]
fn suspect_task_does_not_start_in_an_evacuated_domain() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    harness.add_worker("w2");
    let request = harness.start_job(9);
    receive_status(&mut harness, 2, 1, free_status());
    harness.evacuate(1, &["a"]);
    let mut sent = 0;
    for sequence in 2..12 {
        let refused = PollOutcome::ConnectionRefused;
        harness.step(FleetInput::PollEnded(request.target.worker_key, refused));
        harness.advance(150);
        sent += forwarded(&mut harness)
            .iter()
            .map(|(_, tasks)| tasks)
            .sum::<usize>();
        receive_status(&mut harness, 2, sequence, free_status());
    }
    expect_that!(harness.starts(), is_empty());
    expect_that!(sent, eq(1));
}

/// Builds a status of a host with some busy workers.
fn busy_status(serving: u32, waiting: u32) -> PeerMessage {
    PeerMessage::Status(PeerStatus {
        resources: vec![ServiceResources {
            service: SERVICE.into(),
            free: Vec::new(),
            largest: report("w", 1).capacity,
        }],
        owned: serving,
        serving,
        waiting,
        ..PeerStatus::default()
    })
}

/// Guards against a host that accepts every job once its own workers are
/// evacuated, whatever its peers have to do.
#[gtest]
fn wait_is_estimated_without_serving_workers() {
    for (serving, is_refused) in [(1, true), (100, false)] {
        let mut harness = Harness::new(1);
        let worker = harness.add_worker("w1");
        let request = harness.start_job(1);
        harness.advance(200);
        harness.answer_poll(worker, &[], &[(1, request.run, RunEnd::Done)]);
        harness.answers();
        harness.evacuate(1, &["a"]);
        receive_status(&mut harness, 2, 1, busy_status(serving, 40));
        harness.submit(2, 4);
        let refused = pat!(JobOutcome::NotRun(pat!(NotRun::Overloaded { .. })));
        let answers: Vec<JobOutcome> = harness.answers().iter().map(|answer| answer.1).collect();
        if is_refused {
            expect_that!(answers, elements_are![refused]);
        } else {
            expect_that!(answers, is_empty());
        }
    }
}

/// Guards against a cold worker that gets runs while another one or a peer has
/// free resources, and against one that gets none at all.
#[gtest]
fn cold_workers_come_last_after_a_return_to_service() {
    let mut harness = Harness::new(1);
    let cold = harness.add_worker("w1");
    let warm = harness.add_worker("w2");
    harness.evacuate(1, &["a"]);
    harness.evacuate(2, &[]);
    report_cold(&mut harness, "w1", 2, 5_000);
    harness.submit(1, 3);
    let keys = |harness: &mut Harness| -> Vec<u64> {
        let starts = harness.starts();
        starts.iter().map(|start| start.target.worker_key).collect()
    };
    expect_that!(
        keys(&mut harness),
        elements_are![eq(&warm), eq(&warm), eq(&cold)]
    );
    receive_status(&mut harness, 2, 1, free_status());
    messages(&mut harness);
    acknowledge_batch(&mut harness, 2);
    harness.submit(2, 1);
    expect_that!(keys(&mut harness), is_empty());
    expect_that!(forwarded(&mut harness), elements_are![(anything(), eq(&1))]);
    // A late report does not make the worker warm.
    report_cold(&mut harness, "w1", 1, 0);
    acknowledge_batch(&mut harness, 2);
    harness.submit(3, 1);
    expect_that!(keys(&mut harness), is_empty());
    report_cold(&mut harness, "w1", 3, 0);
    harness.submit(4, 1);
    expect_that!(keys(&mut harness), elements_are![eq(&cold)]);
}

/// Guards against decisions that differ from those of builds without evacuations
/// although there has been none.
#[gtest]
fn cold_workers_are_like_others_without_an_evacuation() {
    let mut harness = Harness::new(1);
    let first = harness.add_worker("w1");
    harness.add_worker("w2");
    report_cold(&mut harness, "w1", 2, 5_000);
    harness.submit(1, 1);
    expect_that!(harness.starts()[0].target.worker_key, eq(first));
}

/// Guards against workers that stay without an owner when a host in an evacuated
/// domain drains.
#[gtest]
fn drain_hands_over_evacuated_workers() {
    let mut harness = Harness::new(1);
    harness.add_worker("w1");
    receive_status(&mut harness, 2, 1, free_status());
    harness.evacuate(1, &["a"]);
    messages(&mut harness);
    acknowledge_batch(&mut harness, 2);
    harness.step(FleetInput::Drain);
    acknowledge_batch(&mut harness, 2);
    harness.advance(5);
    let is_hand_over =
        |(_, message): &(String, PeerMessage)| matches!(message, PeerMessage::HandOver(..));
    expect_that!(messages(&mut harness).iter().any(is_hand_over), eq(true));
    expect_that!(harness.fleet.owned_workers(), eq(0));
}
