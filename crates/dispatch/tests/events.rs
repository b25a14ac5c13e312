//! Log events of decisions: that each one is written.

mod common;
#[path = "../../core/tests/common/event_names.rs"]
mod event_names;

use std::collections::BTreeSet;

use common::{Host, announcement, batches, configuration, finished, request};
use googletest::prelude::*;
use hornbeam_core::api::backend::{TaskStatus, Withdrawal};
use hornbeam_core::event::Event;
use hornbeam_dispatch::{DispatchInput, DispatchOutput, ExchangeOutcome, PeerStatus};

/// `Logged` collects the events of the steps of a host.
struct Logged {
    host: Host,
    events: Vec<Event>,
}

impl Logged {
    fn new() -> Self {
        Self {
            host: Host::named("e1"),
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

    fn pass(&mut self, ms: u64) {
        self.host.now_ms += ms;
        self.step(DispatchInput::Tick);
    }
}

/// Plays ends of jobs and exchanges.
fn events_of_jobs() -> Vec<Event> {
    let mut logged = Logged::new();
    logged.announce("s1");
    let sent = batches(&logged.submit("complete", 1)).remove(0);
    let answer = || ExchangeOutcome::Answered(finished(&sent.server_id, &sent.batch));
    logged.step(DispatchInput::ExchangeEnded(sent.exchange, answer()));
    logged.step(DispatchInput::ExchangeEnded(sent.exchange, answer()));
    logged.submit("refused", 0);
    logged.announce("s2");
    let sent = batches(&logged.submit("retried", 1)).remove(0);
    let not_sent = ExchangeOutcome::NotSent("connection refused".into());
    let outputs = logged.step(DispatchInput::ExchangeEnded(sent.exchange, not_sent));
    let sent = batches(&outputs).remove(0);
    let unanswered = ExchangeOutcome::Unanswered("no answer".into());
    logged.step(DispatchInput::ExchangeEnded(sent.exchange, unanswered));
    logged.pass(20_000);
    logged.events
}

/// Plays a newer configuration and a drain with nothing in flight.
fn events_of_the_host() -> Vec<Event> {
    let mut logged = Logged::new();
    let newer = configuration();
    logged.step(DispatchInput::ConfigInForce(9, newer.into()));
    logged.step(DispatchInput::DrainStarted);
    logged.pass(10);
    logged.events
}

/// Plays leases and ejection of servers.
fn events_of_servers() -> Vec<Event> {
    let mut logged = Logged::new();
    for server in 0..10 {
        logged.announce(&format!("s{server}"));
    }
    for job in 0..200 {
        for sent in batches(&logged.submit(&format!("j{job}"), 20)) {
            let status = if sent.server_id == "s0" {
                TaskStatus::Failed
            } else {
                TaskStatus::Finished
            };
            let answer = common::answer_with(&sent.server_id, &sent.batch, |_| status);
            let end = ExchangeOutcome::Answered(answer);
            logged.step(DispatchInput::ExchangeEnded(sent.exchange, end));
        }
    }
    logged.host.now_ms = 1_000;
    for sent in batches(&logged.submit("trial", 40)) {
        let end = ExchangeOutcome::Answered(finished(&sent.server_id, &sent.batch));
        logged.step(DispatchInput::ExchangeEnded(sent.exchange, end));
    }
    logged.step(DispatchInput::Withdrawn(Withdrawal {
        server_id: "s1".into(),
        incarnation: 1,
    }));
    logged.pass(10_000);
    logged.events
}

/// Plays a peer that falls silent.
fn events_of_peers() -> Vec<Event> {
    let mut logged = Logged::new();
    logged.step(DispatchInput::PeerStatusReceived(PeerStatus {
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
    logged.pass(60_000);
    logged.events
}

/// Guards against an event that no played situation emits, so that nobody knows
/// whether its line is still written.
#[gtest]
fn every_event_is_emitted() {
    let played = [
        events_of_the_host(),
        events_of_jobs(),
        events_of_servers(),
        events_of_peers(),
    ];
    let emitted: BTreeSet<String> = played
        .into_iter()
        .flatten()
        .map(|event| event.name().to_owned())
        .collect();
    let named = event_names::in_sources(env!("CARGO_MANIFEST_DIR"));
    expect_that!(emitted, eq(&named));
}
