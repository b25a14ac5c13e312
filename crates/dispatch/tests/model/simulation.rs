//! Simulation of several dispatchers and fake servers with a virtual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::api::backend::{
    AnnounceAnswer, Announcement, CancelRequest, TaskBatch, TaskBatchAnswer, Withdrawal,
};
use hornbeam_core::ids::{ChunkId, ClaimKey, ExchangeId, Incarnation, JobId, TaskIndex};
use hornbeam_dispatch::{
    CancelId, Chunk, ChunkAnswer, ChunkOutcome, ChunkTaskCancelStatus, ClaimOutcome, DispatchInput,
    DispatchOptions, DispatchOutput, ExchangeOutcome, PlacementPolicy,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::backend::{Backend, PendingBatch};
use crate::common::history::HistoryEvent;
use crate::common::{Host, announcement, configuration, request};
use crate::plan::{FAULTS, Fault, Incident, Plan, PlannedJob};

/// Virtual time at which a run ends, in ms. It is longer than every timeout.
const END_MS: u64 = 20_000;

/// Quota of the team with the small quota, summed over all hosts.
const SMALL_QUOTA: u32 = 8;

const STATUS_INTERVAL_MS: u64 = 250;
const ANNOUNCEMENT_PAUSE_MS: u64 = 3_000;
const PARTITION_MS: u64 = 2_000;

/// `HostRef` identifies one process of a host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HostRef {
    host: usize,
    epoch: u32,
}

/// `ExchangeRef` identifies an exchange of one process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ExchangeRef {
    from: HostRef,
    id: ExchangeId,
}

/// `Reply` is the recipient of the answer that a step returns immediately.
#[derive(Clone, Debug)]
enum Reply {
    Discard,
    Server(usize, Incarnation, u64),
    Peer(HostRef, ChunkId),
}

#[derive(Clone, Debug)]
enum Event {
    Input(HostRef, Box<DispatchInput>, Reply),
    Wakeup(HostRef),
    BroadcastStatuses,
    Announce(usize, Incarnation),
    AnnounceAnswered(usize, Incarnation, u64, AnnounceAnswer),
    Batch(usize, ExchangeRef, TaskBatch, Fault),
    Start(usize, ExchangeRef, u64),
    TaskEnd(usize, ExchangeRef, TaskIndex, u64),
    Cancel(usize, HostRef, CancelId, CancelRequest),
    ExchangeEnd(ExchangeRef, ExchangeOutcome),
    Submit(PlannedJob),
    Incident(Incident),
}

struct OpenExchange {
    server: (usize, Incarnation),
    tasks: u32,
    local_team: Option<(usize, bool)>,
}

struct Entry {
    host: Host,
    epoch: u32,
    partitioned_until_ms: u64,
    wakeups: BTreeSet<u64>,
    small_quota_used: u32,
    jobs: BTreeMap<JobId, bool>,
}

/// `Simulation` is the state of one run.
pub struct Simulation {
    now_ms: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    entries: Vec<Entry>,
    backends: Vec<Backend>,
    announcements_paused_until_ms: Vec<u64>,
    faults_per_mille: u32,
    max_tasks_per_exchange: u32,
    placement: PlacementPolicy,
    rng: ChaCha8Rng,
    open: BTreeMap<ExchangeRef, OpenExchange>,
    ended: BTreeSet<ExchangeRef>,
    server_load: BTreeMap<(HostRef, usize, Incarnation), u32>,
    cancels: BTreeMap<(HostRef, CancelId), Vec<ExchangeRef>>,
    chunks: BTreeMap<(HostRef, ChunkId), (u32, bool)>,
    claims: BTreeMap<ClaimKey, JobId>,
    submitted: u32,
    /// History for the checker.
    pub history: Vec<HistoryEvent>,
    /// Every output in order, for failure reports and the test of determinism.
    pub trace: Vec<String>,
}

impl Simulation {
    /// Runs a plan to its end.
    pub fn run(plan: &Plan) -> Self {
        let mut simulation = Self::new(plan);
        while let Some(((at_ms, _), event)) = simulation.events.pop_first() {
            if at_ms > END_MS {
                break;
            }
            simulation.now_ms = at_ms;
            simulation.handle_event(event);
        }
        simulation
    }

    /// Describes the work that is still in progress; empty after a correct run.
    pub fn unfinished_work(&self) -> Vec<String> {
        let now = Duration::from_millis(self.now_ms);
        let busy = self.entries.iter().map(|entry| {
            let status = entry.host.dispatcher.entry_status(now);
            (status.jobs, status.queued_tasks, status.slots_busy)
        });
        let busy = busy.enumerate().filter(|(_, load)| *load != (0, 0, 0));
        busy.map(|(host, load)| format!("host {host}: jobs, queued, busy = {load:?}"))
            .collect()
    }

    fn new(plan: &Plan) -> Self {
        let mut simulation = Self {
            now_ms: 0,
            sequence: 0,
            events: BTreeMap::new(),
            entries: Vec::new(),
            backends: Vec::new(),
            announcements_paused_until_ms: vec![0; plan.server_slots.len()],
            faults_per_mille: plan.faults_per_mille,
            max_tasks_per_exchange: plan.max_tasks_per_exchange,
            placement: match plan.shared {
                true => PlacementPolicy::TwoChoices,
                false => PlacementPolicy::Leased,
            },
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            open: BTreeMap::new(),
            ended: BTreeSet::new(),
            server_load: BTreeMap::new(),
            cancels: BTreeMap::new(),
            chunks: BTreeMap::new(),
            claims: BTreeMap::new(),
            submitted: 0,
            history: Vec::new(),
            trace: Vec::new(),
        };
        for host in 0..plan.hosts {
            let entry = simulation.entry(host, 0, plan.hosts);
            simulation.entries.push(entry);
        }
        for (index, slots) in plan.server_slots.iter().enumerate() {
            let announcement = Announcement {
                slots: *slots,
                shared: plan.shared,
                max_connections: slots + 2,
                ..announcement(&format!("s{index}"))
            };
            let owner = simulation.rng.random_range(0..plan.hosts);
            simulation.backends.push(Backend::new(announcement, owner));
            simulation.schedule(0, Event::Announce(index, 1));
        }
        simulation.schedule(1, Event::BroadcastStatuses);
        for job in &plan.jobs {
            simulation.schedule(job.at_ms, Event::Submit(job.clone()));
        }
        for (at_ms, incident) in &plan.incidents {
            simulation.schedule(*at_ms, Event::Incident(*incident));
        }
        simulation
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        let key = (self.now_ms + delay_ms, self.sequence);
        self.events.insert(key, event);
    }

    fn latency(&mut self) -> u64 {
        self.rng.random_range(1..4)
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn draw_fault(&mut self) -> bool {
        self.chance(self.faults_per_mille)
    }

    fn schedule_input(&mut self, delay_ms: u64, to: HostRef, input: DispatchInput) {
        self.schedule(delay_ms, Event::Input(to, Box::new(input), Reply::Discard));
    }

    fn current(&self, host: usize) -> HostRef {
        let epoch = self.entries[host].epoch;
        HostRef { host, epoch }
    }

    fn is_current(&self, host: HostRef) -> bool {
        self.current(host.host) == host
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        let free = |host: usize| self.entries[host].partitioned_until_ms <= self.now_ms;
        free(a) && free(b)
    }

    fn index_of(&self, host_id: &str) -> usize {
        host_id[1..].parse().unwrap()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Input(to, input, reply) => self.step(to, *input, &reply),
            Event::Wakeup(to) => {
                self.step(to, DispatchInput::Tick, &Reply::Discard);
            }
            Event::BroadcastStatuses => self.broadcast_statuses(),
            Event::Announce(server, incarnation) => self.announce(server, incarnation),
            Event::AnnounceAnswered(server, incarnation, sent_ms, answer) => {
                self.announce_answered(server, incarnation, sent_ms, &answer);
            }
            Event::Batch(server, exchange, batch, fault) => {
                self.batch_arrives(server, exchange, batch, fault);
            }
            Event::Start(server, exchange, waited_ms) => self.start(server, exchange, waited_ms),
            Event::TaskEnd(server, exchange, index, run_ms) => {
                self.backends[server].end(exchange, index, run_ms);
                self.answer_ended(server);
            }
            Event::Cancel(server, from, cancel, request) => {
                let answer = self.backends[server].cancel(&request);
                let delay = self.latency();
                let input = DispatchInput::CancelEnded(cancel, Some(answer));
                self.schedule_input(delay, from, input);
                self.answer_ended(server);
            }
            Event::ExchangeEnd(exchange, outcome) => self.exchange_ended(exchange, outcome),
            Event::Submit(job) => self.submit(&job),
            Event::Incident(incident) => self.incident(incident),
        }
    }

    fn step(&mut self, to: HostRef, input: DispatchInput, reply: &Reply) {
        if !self.is_current(to) {
            return;
        }
        self.record_input(to, &input);
        let entry = &mut self.entries[to.host];
        entry.host.now_ms = self.now_ms;
        let outputs = entry.host.step(input);
        for output in outputs {
            self.trace
                .push(format!("{} e{}: {output:?}", self.now_ms, to.host));
            self.handle_output(to, output, reply);
        }
        self.schedule_wakeup(to);
    }

    fn schedule_wakeup(&mut self, to: HostRef) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[to.host];
        entry.wakeups = entry.wakeups.split_off(&(now_ms + 1));
        let Some(at) = entry.host.dispatcher.next_wakeup() else {
            return;
        };
        let at_ms = u64::try_from(at.as_nanos().div_ceil(1_000_000)).unwrap();
        let at_ms = at_ms.max(now_ms + 1);
        if entry.wakeups.insert(at_ms) {
            self.schedule(at_ms - now_ms, Event::Wakeup(to));
        }
    }

    /// Updates the history and the resource use for an input before the host
    /// handles it.
    fn record_input(&mut self, to: HostRef, input: &DispatchInput) {
        match input {
            DispatchInput::Withdrawn(withdrawal) => self.history.push(HistoryEvent::Withdrew {
                host: format!("e{}/{}", to.host, to.epoch),
                server: withdrawal.server_id.clone(),
                incarnation: withdrawal.incarnation,
            }),
            DispatchInput::Announced(announcement) => {
                let server = self.index_of(&announcement.server_id);
                let earlier = (server, 0)..(server, announcement.incarnation);
                let open = self.open.iter();
                let superseded = open.filter(|(exchange, open)| {
                    exchange.from == to && earlier.contains(&open.server)
                });
                let superseded: Vec<_> = superseded.map(|(exchange, _)| *exchange).collect();
                superseded
                    .into_iter()
                    .for_each(|exchange| self.close(exchange));
            }
            DispatchInput::CancelEnded(cancel, answer) => {
                let exchanges = self.cancels.remove(&(to, *cancel)).unwrap_or_default();
                for exchange in exchanges {
                    if answer.is_some() {
                        self.close(exchange);
                    }
                }
            }
            DispatchInput::ChunkEnded(chunk, _) | DispatchInput::ChunkCancelEnded(chunk, _) => {
                if let Some((tasks, true)) = self.chunks.remove(&(to, *chunk)) {
                    self.entries[to.host].small_quota_used -= tasks;
                }
            }
            _ => {}
        }
    }

    fn handle_output(&mut self, from: HostRef, output: DispatchOutput, reply: &Reply) {
        match output {
            DispatchOutput::AnswerAnnouncement(answer) => {
                if let Reply::Server(server, incarnation, sent_ms) = reply {
                    let delay = self.latency();
                    let event = Event::AnnounceAnswered(*server, *incarnation, *sent_ms, answer);
                    self.schedule(delay, event);
                }
            }
            DispatchOutput::AnswerJob(job, answer) => {
                self.history.push(HistoryEvent::Answered { job, answer });
            }
            DispatchOutput::RecordClaim {
                job_id, claim_key, ..
            } => self.record_claim(from, job_id, claim_key),
            DispatchOutput::SendBatch {
                exchange,
                server_id,
                batch,
                timeout,
                ..
            } => self.send_batch(from, exchange, &server_id, batch, timeout),
            DispatchOutput::SendCancel {
                cancel,
                address,
                request,
                timeout,
            } => self.send_cancel(from, cancel, &address, request, timeout),
            DispatchOutput::SendChunk {
                peer,
                chunk,
                timeout,
            } => self.send_chunk(from, &peer, chunk, timeout),
            DispatchOutput::SendChunkCancel {
                peer,
                chunk_id,
                timeout,
            } => self.send_chunk_cancel(from, &peer, chunk_id, timeout),
            DispatchOutput::AnswerChunk {
                peer,
                chunk_id,
                answer,
            } => self.answer_chunk(from, &peer, chunk_id, answer),
            DispatchOutput::AnswerChunkCancel(statuses) => {
                self.answer_chunk_cancel(statuses, reply)
            }
            DispatchOutput::SendStatus => self.send_status(from.host),
            DispatchOutput::DropConnections(_)
            | DispatchOutput::Log(..)
            | DispatchOutput::Drained => {}
        }
    }
}

#[path = "incidents.rs"]
mod incidents;
#[path = "links.rs"]
mod links;
#[path = "servers.rs"]
mod servers;
