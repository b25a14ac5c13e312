//! Deterministic simulation of a group of replicas with time, disks and network.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hornbeam_control::{
    DiskStorage, Message, PersistRequest, ProposalOutcome, Replica, ReplicaInput, ReplicaOptions,
    ReplicaOutput,
};
use hornbeam_core::event::Event;
use hornbeam_core::ids::ReplicaId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::{Faults, LONG_DELAY_MS};
use super::invariants::Invariants;
use super::memory_files::{FailurePoint, MemoryFiles};

/// Election timeout and heartbeat interval, short so that elections are frequent.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
const HEARTBEAT: Duration = Duration::from_millis(25);

/// A simulated host.
#[derive(Debug)]
pub struct Host {
    pub replica: Option<Replica>,
    pub disk: MemoryFiles,
    pub storage: Option<DiskStorage<MemoryFiles>>,
    pub pending_persists: VecDeque<PersistRequest>,
    pub epoch: u64,
    pub paused_until: Duration,
    persisted_at: Duration,
    initial_voters: Vec<ReplicaId>,
}

#[derive(Debug)]
pub enum SimulatedEvent {
    Deliver(ReplicaId, ReplicaId, Box<Message>),
    ClientRequest(ReplicaId, ReplicaInput),
    Tick(ReplicaId, u64),
    PersistDone(ReplicaId, u64),
    Restart(ReplicaId, u64),
}

/// An answer of a replica to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Proposal(u64, ProposalOutcome),
    Read(u64, bool),
}

#[derive(Debug)]
pub struct Cluster {
    pub now: Duration,
    pub rng: ChaCha8Rng,
    pub faults: Faults,
    pub hosts: BTreeMap<ReplicaId, Host>,
    pub blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Answers that clients have not processed yet, with the answering host.
    pub answers: Vec<(ReplicaId, Answer)>,
    pub elections: u64,
    /// Log events of all replicas.
    pub events: Vec<Event>,
    snapshot_entries: u64,
    queue: BTreeMap<(Duration, u64), SimulatedEvent>,
    sequence: u64,
    invariants: Invariants,
}

impl Cluster {
    pub fn new(voters: u64, seed: u64, snapshot_entries: u64) -> Self {
        let mut cluster = Self {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Faults::default(),
            hosts: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            answers: Vec::new(),
            elections: 0,
            events: Vec::new(),
            snapshot_entries,
            queue: BTreeMap::new(),
            sequence: 0,
            invariants: Invariants::default(),
        };
        let ids: Vec<ReplicaId> = (1..=voters).collect();
        for id in &ids {
            cluster.add_host(*id, ids.clone());
        }
        cluster
    }

    /// Adds a host with an empty disk.
    pub fn add_host(&mut self, id: ReplicaId, initial_voters: Vec<ReplicaId>) {
        let host = Host {
            replica: None,
            disk: MemoryFiles::default(),
            storage: None,
            pending_persists: VecDeque::new(),
            epoch: 0,
            paused_until: Duration::ZERO,
            persisted_at: Duration::ZERO,
            initial_voters,
        };
        self.hosts.insert(id, host);
        self.start(id);
    }

    /// Removes a host and its disk permanently.
    pub fn destroy(&mut self, id: ReplicaId) {
        self.hosts.remove(&id);
    }

    /// Starts a host that is down.
    pub fn start(&mut self, id: ReplicaId) {
        let seed = self.rng.random();
        let host = self.hosts.get_mut(&id).expect("known host");
        let opened = DiskStorage::open_with(host.disk.clone(), id, &host.initial_voters);
        let (storage, recovered) = opened.expect("a crash never damages a folder");
        let options = ReplicaOptions {
            id,
            initial_voters: host.initial_voters.clone(),
            election_timeout: ELECTION_TIMEOUT,
            first_election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT,
            snapshot_entries: self.snapshot_entries,
            seed,
        };
        let replica = Replica::new(options, recovered, self.now).expect("the snapshot decodes");
        host.replica = Some(replica);
        host.storage = Some(storage);
        host.epoch += 1;
        self.step(id, ReplicaInput::Tick);
    }

    /// Gets the leader with the highest term among the running hosts.
    pub fn leader(&self) -> Option<ReplicaId> {
        let running = self.hosts.iter();
        let replicas = running.filter_map(|(id, host)| Some((*id, host.replica.as_ref()?)));
        let leaders = replicas.filter(|(_, replica)| replica.is_leader());
        leaders
            .max_by_key(|(_, replica)| replica.term())
            .map(|(id, _)| id)
    }

    /// Describes the state of the replicas for a failure message.
    pub fn summary(&self) -> String {
        let lines = self.hosts.iter().map(|(id, host)| match &host.replica {
            None => format!("{id} is down"),
            Some(replica) => format!(
                "{id} is {} in term {} with {} of {} committed, voters {:?}",
                replica.role_name(),
                replica.term(),
                replica.commit_index(),
                replica.last_index(),
                replica.voters()
            ),
        });
        lines.collect::<Vec<_>>().join("; ")
    }

    pub fn replica(&self, id: ReplicaId) -> Option<&Replica> {
        self.hosts.get(&id)?.replica.as_ref()
    }

    /// Whether a host is running and not paused.
    pub fn is_responsive(&self, id: ReplicaId) -> bool {
        let host = self.hosts.get(&id);
        host.is_some_and(|host| host.replica.is_some() && host.paused_until <= self.now)
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Sends a client's request to a host, which may be paused or down.
    pub fn send_request(&mut self, id: ReplicaId, input: ReplicaInput) {
        self.push(self.now, SimulatedEvent::ClientRequest(id, input));
    }

    pub fn random_host(&mut self) -> ReplicaId {
        let ids: Vec<ReplicaId> = self.hosts.keys().copied().collect();
        ids[self.rng.random_range(0..ids.len())]
    }

    /// Steps a replica with an input and executes its outputs.
    pub fn step(&mut self, id: ReplicaId, input: ReplicaInput) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        let Some(replica) = &mut host.replica else {
            return;
        };
        let was_leader = replica.is_leader();
        let outputs = replica.step(now, input);
        let wakeup = replica.next_wakeup().max(now + Duration::from_micros(1));
        self.elections += u64::from(!was_leader && replica.is_leader());
        let epoch = host.epoch;
        self.invariants.check_step(id, replica);
        self.push(wakeup, SimulatedEvent::Tick(id, epoch));
        for output in outputs {
            self.execute(id, output);
        }
    }

    fn execute(&mut self, id: ReplicaId, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send(to, message) => self.send(id, to, message),
            ReplicaOutput::Persist(request) => self.persist(id, request),
            ReplicaOutput::ProposalCompleted(proposal, outcome) => {
                self.answers.push((id, Answer::Proposal(proposal, outcome)));
            }
            ReplicaOutput::ReadCompleted(read, confirmed) => {
                self.answers.push((id, Answer::Read(read, confirmed)));
            }
            ReplicaOutput::Log(event, _) => self.events.push(event),
            ReplicaOutput::Applied => {}
        }
    }

    pub fn push(&mut self, at: Duration, event: SimulatedEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        self.invariants.check_sent(&message);
        if self.blocked_links.contains(&(from, to)) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let is_long = self.rng.random_bool(self.faults.long_delay);
            let max_delay_ms = if is_long {
                LONG_DELAY_MS
            } else {
                self.faults.delay_ms
            };
            let delay_us = 500 + self.rng.random_range(0..=max_delay_ms * 1_000);
            let at = self.now + Duration::from_micros(delay_us);
            self.push(
                at,
                SimulatedEvent::Deliver(from, to, Box::new(message.clone())),
            );
        }
    }

    fn persist(&mut self, id: ReplicaId, request: PersistRequest) {
        let is_slow = self.rng.random_bool(self.faults.slow_sync);
        let max_us = if is_slow { 200_000 } else { 6_000 };
        let sync_us = self.rng.random_range(1_000..max_us);
        let slow_us = self.faults.min_sync_ms * 1_000;
        let at = self.now + Duration::from_micros(slow_us + sync_us);
        let host = self.hosts.get_mut(&id).expect("a stepping host exists");
        host.pending_persists.push_back(request);
        // Persist requests complete in order.
        let at = at.max(host.persisted_at);
        host.persisted_at = at;
        let epoch = host.epoch;
        self.push(at, SimulatedEvent::PersistDone(id, epoch));
    }

    fn handle_event(&mut self, event: SimulatedEvent) {
        let id = match &event {
            SimulatedEvent::Deliver(_, id, _)
            | SimulatedEvent::ClientRequest(id, _)
            | SimulatedEvent::Tick(id, _)
            | SimulatedEvent::PersistDone(id, _)
            | SimulatedEvent::Restart(id, _) => *id,
        };
        let Some(host) = self.hosts.get(&id) else {
            return;
        };
        if host.paused_until > self.now {
            // A resumed process may handle client requests before it learns
            // that it is no longer the leader; other events come in any order.
            let max_us = if matches!(event, SimulatedEvent::ClientRequest(..)) {
                1
            } else {
                5_000
            };
            let jitter = Duration::from_micros(self.rng.random_range(0..max_us));
            let resumed_at = host.paused_until + jitter;
            return self.push(resumed_at, event);
        }
        let current = host.epoch;
        match event {
            SimulatedEvent::Deliver(from, to, message) => {
                self.step(to, ReplicaInput::Received(from, message));
            }
            SimulatedEvent::ClientRequest(id, input) => self.step(id, input),
            SimulatedEvent::Tick(id, epoch) if epoch == current => self.tick(id),
            SimulatedEvent::PersistDone(id, epoch) if epoch == current => self.finish_persist(id),
            SimulatedEvent::Restart(id, epoch) if epoch == current => self.start(id),
            _ => {}
        }
    }

    fn tick(&mut self, id: ReplicaId) {
        let is_due = self
            .replica(id)
            .is_some_and(|replica| replica.next_wakeup() <= self.now);
        if is_due {
            self.step(id, ReplicaInput::Tick);
        }
    }

    fn finish_persist(&mut self, id: ReplicaId) {
        let crashes = self.rng.random_bool(self.faults.persist_crash);
        let point = self.rng.random_range(0..8u64);
        let host = self.hosts.get_mut(&id).expect("checked by the caller");
        let request = host
            .pending_persists
            .pop_front()
            .expect("one request per event");
        let request_id = request.id;
        if crashes && point < 6 {
            let failure = if point % 2 == 0 {
                FailurePoint::Before
            } else {
                FailurePoint::After
            };
            host.disk
                .fail_at(host.disk.operations() + 1 + point / 2, failure);
        }
        let storage = host.storage.as_mut().expect("a running host has a storage");
        if storage.persist(&request).is_err() || crashes {
            return self.crash(id);
        }
        self.step(id, ReplicaInput::Persisted(request_id));
    }
}
