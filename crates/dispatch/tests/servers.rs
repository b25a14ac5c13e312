//! Tests of leases, ejection, retries, forwarding, redirects and the baseline
//! placement policies.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};

use common::{Host, SentBatch, announcement, answers, batches, configuration, request};
use googletest::prelude::*;
use hornbeam_core::api::backend::{AnnounceAnswer, TaskStatus, Withdrawal};
use hornbeam_core::api::caller::{Reason, TaskSpec};
use hornbeam_core::event::Event;
use hornbeam_dispatch::{
    Chunk, ChunkAnswer, ChunkOutcome, ChunkTask, DispatchInput, DispatchOptions, DispatchOutput,
    ExchangeOutcome, MAX_SERVERS, PeerStatus, PlacementPolicy, ServiceLoad,
};

fn announced(outputs: &[DispatchOutput]) -> AnnounceAnswer {
    let answer = outputs.iter().find_map(|output| match output {
        DispatchOutput::AnswerAnnouncement(answer) => Some(answer.clone()),
        _ => None,
    });
    answer.unwrap()
}

fn chunks(outputs: &[DispatchOutput]) -> Vec<(String, Chunk)> {
    let chunk = |output: &DispatchOutput| match output {
        DispatchOutput::SendChunk { peer, chunk, .. } => Some((peer.clone(), chunk.clone())),
        _ => None,
    };
    outputs.iter().filter_map(chunk).collect()
}

fn count(outputs: &[DispatchOutput], event: Event) -> usize {
    let is_event = |o: &&DispatchOutput| matches!(o, DispatchOutput::Log(e, _) if *e == event);
    outputs.iter().filter(is_event).count()
}

/// Sequence number of the next status.
static SEQUENCE: AtomicU64 = AtomicU64::new(1);

fn status(host_id: &str, failure_domain: &str, servers: u32, free_slots: u32) -> DispatchInput {
    DispatchInput::PeerStatusReceived(PeerStatus {
        host_id: host_id.into(),
        sequence: SEQUENCE.fetch_add(1, Ordering::Relaxed),
        failure_domain: failure_domain.into(),
        http_address: format!("{host_id}:80"),
        link_address: format!("{host_id}:81"),
        config_version: 1,
        draining: false,
        servers,
        services: vec![ServiceLoad {
            service: "subscribe".into(),
            free_slots,
            slots: 8 * servers,
            queued_tasks: 0,
        }],
        team_limits: Vec::new(),
    })
}

/// Guards against sending tasks to a server whose lease expired while this
/// process was paused, and against a lease without a margin for clock drift.
#[gtest]
fn leases_are_checked_right_before_a_send() {
    let mut host = Host::with_id("e1");
    host.announce(announcement("s1"));
    host.now_ms = 1_799;
    expect_that!(batches(&host.submit("j", request("r", 1))), len(eq(1)));
    host.now_ms = 1_800;
    expect_that!(batches(&host.submit("k", request("r", 1))), is_empty());
}

/// Guards against accepting a delayed announcement of an earlier grant, an
/// earlier incarnation or a server that has withdrawn.
#[gtest]
fn stale_announcements_are_refused() {
    let mut host = Host::with_id("e1");
    let mut newer = announcement("s1");
    (newer.incarnation, newer.grant) = (2, 5);
    host.announce(newer.clone());
    let mut stale_grant = newer.clone();
    stale_grant.grant = 4;
    expect_that!(announced(&host.announce(stale_grant)).accepted, eq(false));
    let mut earlier_start = announcement("s1");
    earlier_start.grant = 9;
    expect_that!(announced(&host.announce(earlier_start)).accepted, eq(false));
    host.step(DispatchInput::Withdrawn(Withdrawal {
        server_id: "s1".into(),
        incarnation: 2,
    }));
    expect_that!(announced(&host.announce(newer.clone())).accepted, eq(false));
    newer.incarnation = 3;
    expect_that!(announced(&host.announce(newer)).accepted, eq(true));
}

/// Guards against accepting a delayed announcement of an incarnation whose
/// withdrawal has already arrived.
#[gtest]
fn withdrawals_may_overtake_announcements() {
    let mut host = Host::with_id("e1");
    let withdrawn = |incarnation| {
        DispatchInput::Withdrawn(Withdrawal {
            server_id: "s1".into(),
            incarnation,
        })
    };
    let with = |incarnation| {
        let mut announcement = announcement("s1");
        announcement.incarnation = incarnation;
        announcement
    };
    host.step(withdrawn(1));
    expect_that!(announced(&host.announce(with(1))).accepted, eq(false));
    expect_that!(announced(&host.announce(with(2))).accepted, eq(true));
    host.step(withdrawn(3));
    expect_that!(announced(&host.announce(with(3))).accepted, eq(false));
    expect_that!(announced(&host.announce(with(2))).accepted, eq(true));
}

/// Guards against reusing a slot while an earlier task may still run in it,
/// because its cancel query was not answered.
#[gtest]
fn slots_of_unresolved_tasks_stay_in_use() {
    let mut host = Host::with_id("e1");
    let mut single = announcement("s1");
    single.slots = 1;
    host.announce(single.clone());
    let sent = batches(&host.submit("j", request("r", 1)));
    host.now_ms = 1_800;
    let outputs = host.step(DispatchInput::Tick);
    let cancel = outputs.iter().find_map(|output| match output {
        DispatchOutput::SendCancel { cancel, .. } => Some(*cancel),
        _ => None,
    });
    host.now_ms = 2_800;
    let outputs = host.step(DispatchInput::CancelEnded(cancel.unwrap(), None));
    expect_that!(
        answers(&outputs)[0].1.reason,
        some(eq(Reason::OutcomeUnknown))
    );
    host.announce(single);
    expect_that!(batches(&host.submit("k", request("r", 1))), is_empty());
    let outputs = host.answer_exchange(&sent[0], TaskStatus::Finished);
    expect_that!(batches(&outputs), len(eq(1)));
}

/// Guards against sending tasks to a server that fails all of them, a trial with
/// more than one task, and a server that is never restored.
#[gtest]
fn failing_servers_are_ejected_and_get_a_trial() {
    let mut host = Host::with_id("e1");
    (0..10).for_each(|s| drop(host.announce(announcement(&format!("s{s}")))));
    let mut ejected = 0;
    let mut sent_to_bad = 0;
    for job in 0..200 {
        let sent = batches(&host.submit(&format!("j{job}"), request("r", 20)));
        let (bad, good): (Vec<_>, Vec<_>) = sent.iter().partition(|s| s.server_id == "s0");
        sent_to_bad += bad.len();
        for batch in bad {
            ejected += count(
                &host.answer_exchange(batch, TaskStatus::Failed),
                Event::ServerEjected,
            );
        }
        good.iter()
            .for_each(|batch| drop(host.answer_exchange(batch, TaskStatus::Finished)));
    }
    expect_that!(ejected, eq(1));
    expect_that!(sent_to_bad, le(20));
    host.now_ms = 1_000;
    let sent = batches(&host.submit("trial", request("r", 40)));
    let trial: Vec<_> = sent.iter().filter(|s| s.server_id == "s0").collect();
    expect_that!(trial, len(eq(1)));
    let outputs = host.answer_exchange(trial[0], TaskStatus::Finished);
    expect_that!(count(&outputs, Event::ServerRestored), eq(1));
}

/// Guards against ejecting most servers when the tasks themselves fail.
#[gtest]
fn few_servers_are_ejected_at_once() {
    let mut host = Host::with_id("e1");
    (0..10).for_each(|s| drop(host.announce(announcement(&format!("s{s}")))));
    let mut ejected = 0;
    for job in 0..200 {
        let outputs = host.submit(&format!("j{job}"), request("r", 80));
        for batch in batches(&outputs) {
            ejected += count(
                &host.answer_exchange(&batch, TaskStatus::Failed),
                Event::ServerEjected,
            );
        }
    }
    expect_that!(ejected, eq(3));
}

/// Guards against unlimited retries.
#[gtest]
fn retries_are_limited() {
    let mut host = Host::with_id("e1");
    (0..20).for_each(|s| drop(host.announce(announcement(&format!("s{s}")))));
    let mut sent = batches(&host.submit("j", request("r", 1)));
    let mut sends = 0;
    let reason = loop {
        sends += 1;
        let outcome = ExchangeOutcome::NotSent("connection refused".into());
        let outputs = host.step(DispatchInput::ExchangeEnded(sent[0].exchange, outcome));
        if let Some((_, answer)) = answers(&outputs).first() {
            break answer.reason;
        }
        sent = batches(&outputs);
    };
    expect_that!(reason, some(eq(Reason::RetriesExhausted)));
    expect_that!(sends, eq(11));
}

/// Guards against leaving the other tasks of a job running after one is lost,
/// and against more than one cancel message per server.
#[gtest]
fn the_first_lost_task_cancels_the_others() {
    let mut host = Host::with_id("e1");
    host.announce(announcement("s1"));
    host.announce(announcement("s2"));
    let sent = batches(&host.submit("j", request("r", 20)));
    let outputs = host.answer_exchange(&sent[0], TaskStatus::Stopped);
    expect_that!(answers(&outputs)[0].1.reason, some(eq(Reason::TaskStopped)));
    let cancelled = outputs.iter().filter_map(|output| match output {
        DispatchOutput::SendCancel {
            address, request, ..
        } => Some((address.as_str(), request.tasks.len())),
        _ => None,
    });
    let cancelled: Vec<_> = cancelled.collect();
    let server = |sent: &SentBatch| format!("{}:1", sent.server_id);
    let first = server(&sent[0]);
    let left = |address: &str| if address == first { 7 } else { 8 };
    expect_that!(cancelled, len(eq(2)));
    for (address, tasks) in cancelled {
        expect_that!(tasks, eq(left(address)));
    }
    expect_that!(batches(&outputs), is_empty());
}

/// Guards against forwarding to another failure domain while peers of the own
/// domain have slots, exceeding a peer's free slots, and forwarding a received
/// chunk to a third host.
#[gtest]
fn chunks_go_to_peers_in_the_same_failure_domain_first() {
    let mut host = Host::with_id("e1");
    host.announce(announcement("s1"));
    host.step(status("far", "almaty-b", 1, 8));
    host.step(status("near", "almaty-a", 1, 5));
    let outputs = host.submit("j", request("r", 20));
    expect_that!(batches(&outputs), len(eq(8)));
    let sent = chunks(&outputs);
    let sizes: Vec<_> = sent
        .iter()
        .map(|(p, c)| (p.as_str(), c.tasks.len()))
        .collect();
    expect_that!(sizes, elements_are![eq(&("near", 5)), eq(&("far", 7))]);
    let mut peer = Host::with_id("near");
    peer.announce(announcement("s9"));
    peer.step(status("other", "almaty-a", 1, 8));
    peer.submit("busy", request("r", 8));
    let outputs = peer.step(DispatchInput::ChunkReceived(sent[0].1.clone()));
    expect_that!(chunks(&outputs), is_empty());
}

/// Guards against spending retries on a peer that cannot run a job.
#[gtest]
fn a_peer_that_starts_nothing_is_not_asked_again() {
    let mut host = Host::with_id("e1");
    host.announce(announcement("s1"));
    host.step(status("e2", "almaty-a", 1, 8));
    let sent = chunks(&host.submit("j", request("r", 20)));
    let outcome = ChunkOutcome::Answered(ChunkAnswer::NotStarted("too large".into()));
    host.step(DispatchInput::ChunkEnded(sent[0].1.chunk_id, outcome));
    expect_that!(
        chunks(&host.step(status("e2", "almaty-a", 1, 8))),
        is_empty()
    );
    let other = host.submit("k", request("r", 20));
    expect_that!(chunks(&other), len(eq(1)));
}

/// Guards against assigning the results of a chunk to the wrong tasks.
#[gtest]
fn chunk_results_reach_their_tasks() {
    let mut host = Host::with_id("e1");
    host.step(status("e2", "almaty-a", 1, 8));
    let sent = chunks(&host.submit("j", request("r", 4)));
    let mut peer = Host::with_id("e2");
    peer.announce(announcement("s9"));
    let mut last = Vec::new();
    let running = peer.step(DispatchInput::ChunkReceived(sent[0].1.clone()));
    for batch in batches(&running).iter().rev() {
        last = peer.answer_exchange(batch, TaskStatus::Finished);
    }
    let answer = last.iter().find_map(|output| match output {
        DispatchOutput::AnswerChunk { answer, .. } => Some(answer.clone()),
        _ => None,
    });
    let outcome = ChunkOutcome::Answered(answer.unwrap());
    let outputs = host.step(DispatchInput::ChunkEnded(sent[0].1.chunk_id, outcome));
    let results = &answers(&outputs)[0].1.results;
    let outputs: Vec<_> = results.iter().map(|r| r.output.as_str()).collect();
    expect_that!(outputs, eq(&["j/0", "j/1", "j/2", "j/3"]));
}

/// Guards against running a chunk whose cancellation arrived first.
#[gtest]
fn a_cancelled_chunk_does_not_run() {
    let mut host = Host::with_id("e1");
    host.announce(announcement("s1"));
    host.step(DispatchInput::ChunkCancelReceived("e2".into(), 7));
    let chunk = Chunk {
        from: "e2".into(),
        chunk_id: 7,
        job_id: "j".into(),
        institution: "dala".into(),
        team: "feeding".into(),
        service: "subscribe".into(),
        remaining_ms: 1_000,
        tasks: vec![ChunkTask {
            index: 3,
            spec: TaskSpec::default(),
        }],
    };
    let outputs = host.step(DispatchInput::ChunkReceived(chunk));
    let rejected = |output: &DispatchOutput| {
        let DispatchOutput::AnswerChunk { answer, .. } = output else {
            return false;
        };
        matches!(answer, ChunkAnswer::NotStarted(_))
    };
    expect_that!(outputs.iter().any(rejected), eq(true));
    expect_that!(batches(&outputs), is_empty());
}

/// Guards against unbounded memory use by announcements of nonexistent servers,
/// and against refusing a known server because of them.
#[gtest]
fn announced_servers_are_bounded() {
    let mut host = Host::with_id("e1");
    let known = announcement("known");
    expect_that!(announced(&host.announce(known.clone())).accepted, eq(true));
    for server in 1..MAX_SERVERS {
        let mut invented = announcement(&format!("s{server}"));
        invented.service = format!("service-{}", server % 1_000);
        expect_that!(announced(&host.announce(invented)).accepted, eq(true));
    }
    let more = announcement("one more");
    expect_that!(announced(&host.announce(more)).accepted, eq(false));
    expect_that!(announced(&host.announce(known)).accepted, eq(true));
}

/// Guards against an uneven distribution of servers among hosts, and against a
/// draining host that accepts servers or keeps those it does not need.
#[gtest]
fn servers_are_redirected() {
    let mut host = Host::with_id("e1");
    host.step(status("e2", "almaty-a", 0, 0));
    let take =
        |host: &mut Host, s: usize| announced(&host.announce(announcement(&format!("s{s}"))));
    let accepted = (0..12).filter(|s| take(&mut host, *s).accepted).count();
    expect_that!(accepted, all![ge(5), le(10)]);
    expect_that!(take(&mut host, 0).accepted, eq(true));
    host.step(DispatchInput::DrainStarted);
    for s in [0, 99] {
        let answer = take(&mut host, s);
        expect_that!(answer.accepted, eq(false));
        expect_that!(answer.redirect, some(eq("e2:80")));
    }
}

/// Guards against baseline policies that limit tasks to the slots, exceed the
/// connection limit or ignore the reported load.
#[gtest]
fn shared_servers_queue_tasks_themselves() {
    let shared = |id: &str| {
        let mut shared = announcement(id);
        (shared.shared, shared.max_connections) = (true, 10);
        shared
    };
    let with = |placement| {
        let options = DispatchOptions {
            placement,
            ..DispatchOptions::default()
        };
        let mut host = Host::new(options, configuration());
        host.announce(shared("s1"));
        host.announce(shared("s2"));
        host
    };
    let mut random = with(PlacementPolicy::Random);
    let sent = batches(&random.submit("j", request("r", 30)));
    expect_that!(sent, len(eq(20)));
    let mut choices = with(PlacementPolicy::TwoChoices);
    let sent = batches(&choices.submit("j", request("r", 8)));
    let first = sent.iter().filter(|s| s.server_id == "s1").count();
    expect_that!(first, all![ge(3), le(5)]);
    let mut leased = with(PlacementPolicy::Leased);
    let answer = announced(&leased.announce(shared("s3")));
    expect_that!(answer.accepted, eq(false));
}
