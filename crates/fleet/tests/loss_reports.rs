//! Exchange of records of runs that were lost with their workers.

mod common;

use std::collections::BTreeSet;

use common::{Harness, acknowledge_batch, chunk, run};
use googletest::prelude::*;
use hornbeam_core::event::Event;
use hornbeam_core::ids::HostId;
use hornbeam_fleet::{
    FleetInput, JobOutcome, LossEvidence, LossReport, PeerInfo, PollOutcome, RunLoss, WorkerKey,
};

/// Number of hosts in the tests, this one included.
const HOSTS: u8 = 9;

const JOB: u64 = 7;

fn loss(attempt: u32, worker: &str, evidence: LossEvidence) -> RunLoss {
    RunLoss {
        run: run(JOB, 0, attempt),
        worker_id: worker.into(),
        born_unix_ms: 5,
        evidence,
        has_started: true,
    }
}

fn host(number: u8) -> PeerInfo {
    PeerInfo {
        host_id: format!("entry-{number}"),
        address: common::address(number),
        failure_domain: "a".into(),
    }
}

/// Creates a host that knows all others.
fn harness() -> Harness {
    let mut harness = Harness::new(1);
    harness.list_hosts(2..=HOSTS);
    harness
}

fn report(harness: &mut Harness, losses: Vec<RunLoss>, origin: Option<PeerInfo>) {
    let report = LossReport { losses, origin };
    harness.step(FleetInput::LossesReported(report));
}

/// Refuses the connections to a worker for a while.
fn refuse(harness: &mut Harness, worker_key: WorkerKey, polls: usize) {
    for _ in 0..polls {
        let refused = PollOutcome::ConnectionRefused;
        harness.step(FleetInput::PollEnded(worker_key, refused));
        harness.advance(50);
        harness.polls();
    }
}

fn receivers(reports: &[(HostId, LossReport)]) -> BTreeSet<HostId> {
    reports.iter().map(|(host, _)| host.clone()).collect()
}

/// Guards against a host of a job that is not told why a task at a peer was
/// lost, so that it starts the task without limit.
#[gtest]
fn host_of_a_job_is_told_of_a_crash_at_a_peer() {
    let mut harness = Harness::new(1);
    let worker_key = harness.add_worker("w1");
    harness.receive_batch(2, 1, vec![]);
    acknowledge_batch(&mut harness, 2);
    harness.receive_batch(2, 2, vec![chunk(JOB, 1)]);
    let start = harness.starts().remove(0);
    harness.accept_start(&start);
    harness.list_hosts(2..=HOSTS);
    refuse(&mut harness, worker_key, 2);
    let reports = harness.loss_reports();
    let expected = loss(1, "w1", LossEvidence::ConnectionRefused);
    let to_origin = reports.iter().find(|(host, _)| host == "entry-2");
    let to_origin = to_origin.map(|(_, report)| report.losses.clone());
    expect_that!(to_origin, some(elements_are![eq(&expected)]));
    for (_, report) in reports.iter().filter(|(host, _)| host != "entry-2") {
        expect_that!(report.origin, some(eq(&host(2))));
    }
}

/// Guards against losses at several hosts that no host counts together: all hosts
/// report a job to the same ones, also when one of those is gone.
#[gtest]
fn losses_of_a_job_meet_at_the_same_hosts() {
    let collectors = |own: u8| {
        let mut harness = Harness::new(own);
        harness.list_hosts((1..=HOSTS).filter(|host| *host != own));
        let worker_key = harness.add_worker("w1");
        let start = harness.start_job(JOB);
        expect_that!(start.target.worker_key, eq(worker_key));
        refuse(&mut harness, worker_key, 2);
        receivers(&harness.loss_reports())
    };
    let mut all = BTreeSet::new();
    for own in 1..=HOSTS {
        let receivers = collectors(own);
        // A host that collects the losses itself reports to one other host.
        expect_that!(receivers.len(), ge(1).and(le(2)));
        all.extend(receivers);
    }
    expect_that!(all.len(), eq(2));
}

/// Guards against a host that goes on with a job whose task has crashed workers
/// of other hosts.
#[gtest]
fn reported_crashes_end_the_job_and_its_next_submission() {
    let mut harness = harness();
    harness.add_worker("w1");
    harness.start_job(JOB);
    let first = loss(1, "w8", LossEvidence::ConnectionRefused);
    report(&mut harness, vec![first.clone()], None);
    expect_that!(harness.answers(), is_empty());
    let second = loss(1, "w9", LossEvidence::Restarted);
    report(&mut harness, vec![first, second], None);
    expect_that!(
        harness.answers(),
        elements_are![(anything(), eq(&JobOutcome::Failed))]
    );
    expect_that!(harness.stops().len(), eq(1));
    harness.submit(JOB, 1);
    expect_that!(
        harness.answers(),
        elements_are![(anything(), eq(&JobOutcome::Failed))]
    );
    expect_that!(harness.starts(), is_empty());
}

/// Guards against a host that learns only of its own crash of a task, although
/// another one was reported before.
#[gtest]
fn collector_tells_the_host_of_the_job_what_others_reported() {
    let mut harness = harness();
    let elsewhere = loss(1, "w8", LossEvidence::Silent);
    report(&mut harness, vec![elsewhere.clone()], Some(host(2)));
    expect_that!(harness.loss_reports(), is_empty());
    let own = loss(3, "w9", LossEvidence::ConnectionRefused);
    report(&mut harness, vec![own.clone()], Some(host(3)));
    let answer = LossReport {
        losses: vec![elsewhere, own],
        origin: None,
    };
    let expected = ("entry-3".to_owned(), answer);
    expect_that!(harness.loss_reports(), elements_are![eq(&expected)]);
}

/// Guards against a caller that submits the job to a host that has not heard of
/// it.
#[gtest]
fn collector_tells_all_hosts_of_a_task_that_must_not_start() {
    let mut harness = harness();
    for (attempt, worker) in [(1, "w8"), (2, "w9")] {
        let loss = loss(attempt, worker, LossEvidence::ConnectionRefused);
        report(&mut harness, vec![loss], Some(host(2)));
    }
    let told = receivers(&harness.loss_reports());
    expect_that!(told.len(), eq(usize::from(HOSTS) - 1));
}

/// Guards against a task that is given up because of workers that were only cut
/// off for a while.
#[gtest]
fn worker_that_answers_again_does_not_count_as_crashed() {
    let mut harness = harness();
    for worker in ["w7", "w8", "w9"] {
        let silent = loss(1, worker, LossEvidence::ConnectionRefused);
        report(&mut harness, vec![silent], None);
        let answers = loss(1, worker, LossEvidence::Answered);
        report(&mut harness, vec![answers], None);
    }
    harness.add_worker("w1");
    harness.start_job(JOB);
    expect_that!(harness.answers(), is_empty());
}

/// Guards against an answer of the same incarnation that is not passed on, so
/// that other hosts still count its silence as a crash.
#[gtest]
fn answer_of_a_worker_withdraws_its_losses() {
    let mut harness = harness();
    let worker_key = harness.add_worker("w1");
    let start = harness.start_job(JOB);
    refuse(&mut harness, worker_key, 2);
    harness.loss_reports();
    harness.answer_poll(worker_key, &[start.run], &[]);
    let reports = harness.loss_reports();
    expect_that!(reports, not(is_empty()));
    for (_, report) in &reports {
        let evidence: Vec<_> = report.losses.iter().map(|loss| loss.evidence).collect();
        expect_that!(evidence, elements_are![eq(&LossEvidence::Answered)]);
    }
}

/// Guards against a malformed report that fills the memory or ends another job.
#[gtest]
fn oversized_and_mixed_reports_are_bounded() {
    let mut harness = harness();
    harness.add_worker("w1");
    harness.start_job(JOB);
    let mut losses = Vec::new();
    for number in 0..10_000 {
        let mut loss = loss(number, &format!("x{number}"), LossEvidence::Silent);
        loss.run.job = 8;
        losses.push(loss);
    }
    losses.push(loss(1, "w8", LossEvidence::Restarted));
    losses.push(loss(2, "w9", LossEvidence::Restarted));
    report(&mut harness, losses, Some(host(2)));
    expect_that!(harness.answers(), is_empty());
    for (_, report) in harness.loss_reports() {
        expect_that!(report.losses.len(), le(64));
    }
    report(&mut harness, vec![], Some(host(2)));
    expect_that!(harness.loss_reports(), is_empty());
}

/// Guards against a report that gets lost without a line in the log.
#[gtest]
fn undelivered_report_is_logged() {
    let mut harness = harness();
    harness.logged_events();
    harness.step(FleetInput::LossReportEnded("entry-2".into(), JOB, true));
    expect_that!(harness.logged_events(), is_empty());
    harness.step(FleetInput::LossReportEnded("entry-2".into(), JOB, false));
    let events = harness.logged_events();
    let events: Vec<Event> = events.into_iter().map(|(event, _)| event).collect();
    expect_that!(events, elements_are![eq(&Event::LossesNotReported)]);
}
