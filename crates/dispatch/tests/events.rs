//! Test that every log event of the dispatcher is emitted.

mod common;
#[path = "../../core/tests/common/event_names.rs"]
mod event_names;

use std::collections::BTreeSet;

use common::{Host, announcement, batches, configuration, finished, request};
use googletest::prelude::*;
use hornbeam_core::api::backend::{TaskStatus, Withdrawal};
use hornbeam_core::event::Event;
use hornbeam_dispatch::{DispatchInput, DispatchOutput, ExchangeOutcome, PeerStatus};

/// `EventRecorder` collects the log events that a host emits.
struct EventRecorder {
    host: Host,
    events: Vec<Event>,
}

impl EventRecorder {
    fn new() -> Self {
        Self {
            host: Host::with_id("e1"),
            events: Vec::new(),
        }
    }

    fn step(&mut self, input: DispatchInput) -> Vec<DispatchOutput> {
        let outputs = self.host.step(input);
        let events = outputs.iter().filter_map(|output| match output {
            DispatchOutput::Log(event, _) => Some(*event),
            _ => None,
        });
        self.events.extend(events);
        outputs
    }

    fn submit(&mut self, job: &str, tasks: usize) -> Vec<DispatchOutput> {
        let request = request("r", tasks);
        self.step(DispatchInput::Submitted(job.into(), request.into()))
    }

    fn announce(&mut self, server: &str) {
        self.step(DispatchInput::Announced(announcement(server)));
    }

    fn advance(&mut self, ms: u64) {
        self.host.now_ms += ms;
        self.step(DispatchInput::Tick);
    }
}

/// Runs jobs and exchanges to their different outcomes.
fn events_of_jobs() -> Vec<Event> {
    let mut recorder = EventRecorder::new();
    recorder.announce("s1");
    let sent = batches(&recorder.submit("complete", 1)).remove(0);
    let answer = || ExchangeOutcome::Answered(finished(&sent.server_id, &sent.batch));
    recorder.step(DispatchInput::ExchangeEnded(sent.exchange, answer()));
    recorder.step(DispatchInput::ExchangeEnded(sent.exchange, answer()));
    recorder.submit("refused", 0);
    recorder.announce("s2");
    let sent = batches(&recorder.submit("retried", 1)).remove(0);
    let not_sent = ExchangeOutcome::NotSent("connection refused".into());
    let outputs = recorder.step(DispatchInput::ExchangeEnded(sent.exchange, not_sent));
    let sent = batches(&outputs).remove(0);
    let unanswered = ExchangeOutcome::Unanswered("no answer".into());
    recorder.step(DispatchInput::ExchangeEnded(sent.exchange, unanswered));
    recorder.advance(20_000);
    recorder.events
}

/// Applies a newer configuration and drains with nothing in flight.
fn events_of_the_host() -> Vec<Event> {
    let mut recorder = EventRecorder::new();
    let newer = configuration();
    recorder.step(DispatchInput::ConfigInForce(9, newer.into()));
    recorder.step(DispatchInput::DrainStarted);
    recorder.advance(10);
    recorder.events
}

/// Leases, ejects, restores, withdraws and expires servers.
fn events_of_servers() -> Vec<Event> {
    let mut recorder = EventRecorder::new();
    for server in 0..10 {
        recorder.announce(&format!("s{server}"));
    }
    for job in 0..200 {
        for sent in batches(&recorder.submit(&format!("j{job}"), 20)) {
            let status = if sent.server_id == "s0" {
                TaskStatus::Failed
            } else {
                TaskStatus::Finished
            };
            let answer = common::answer_with(&sent.server_id, &sent.batch, |_| status);
            let outcome = ExchangeOutcome::Answered(answer);
            recorder.step(DispatchInput::ExchangeEnded(sent.exchange, outcome));
        }
    }
    recorder.host.now_ms = 1_000;
    for sent in batches(&recorder.submit("trial", 40)) {
        let outcome = ExchangeOutcome::Answered(finished(&sent.server_id, &sent.batch));
        recorder.step(DispatchInput::ExchangeEnded(sent.exchange, outcome));
    }
    recorder.step(DispatchInput::Withdrawn(Withdrawal {
        server_id: "s1".into(),
        incarnation: 1,
    }));
    recorder.advance(10_000);
    recorder.events
}

/// Receives the status of a peer and lets the peer time out.
fn events_of_peers() -> Vec<Event> {
    let mut recorder = EventRecorder::new();
    recorder.step(DispatchInput::PeerStatusReceived(PeerStatus {
        host_id: "e2".into(),
        sequence: 1,
        failure_domain: "almaty-b".into(),
        http_address: "e2:80".into(),
        link_address: "e2:81".into(),
        config_version: 1,
        draining: false,
        servers: 1,
        services: Vec::new(),
        team_limits: Vec::new(),
    }));
    recorder.advance(60_000);
    recorder.events
}

/// Guards against a log event in the sources that no scenario emits, so that its
/// loss would not be noticed.
#[gtest]
fn every_event_is_emitted() {
    let scenarios = [
        events_of_the_host(),
        events_of_jobs(),
        events_of_servers(),
        events_of_peers(),
    ];
    let emitted: BTreeSet<String> = scenarios
        .into_iter()
        .flatten()
        .map(|event| event.name().to_owned())
        .collect();
    let named = event_names::in_sources(env!("CARGO_MANIFEST_DIR"));
    expect_that!(emitted, eq(&named));
}
