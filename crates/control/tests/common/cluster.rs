//! A group of replicas with simulated time, disks and network.

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

use super::checks::Checks;
use super::faults::{Faults, LONG_DELAY_MS};
use super::memory_files::{MemoryFiles, Strike};

/// Election timeout and heartbeat, short so that there are many elections.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
const HEARTBEAT: Duration = Duration::from_millis(25);

/// One simulated host.
#[derive(Debug)]
pub struct Host {
    pub replica: Option<Replica>,
    pub disk: MemoryFiles,
    pub log: Option<DiskStorage<MemoryFiles>>,
    pub persists: VecDeque<PersistRequest>,
    pub epoch: u64,
    pub frozen_until: Duration,
    persisted_at: Duration,
    initial_voters: Vec<ReplicaId>,
}

#[derive(Debug)]
pub enum Happening {
    Deliver(ReplicaId, ReplicaId, Box<Message>),
    Ask(ReplicaId, ReplicaInput),
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
    pub random: ChaCha8Rng,
    pub faults: Faults,
    pub hosts: BTreeMap<ReplicaId, Host>,
    pub cuts: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Answers that the clients have not taken, with the answering host.
    pub answers: Vec<(ReplicaId, Answer)>,
    pub elections: u64,
    /// Log events of all replicas.
    pub events: Vec<Event>,
    snapshot_entries: u64,
    queue: BTreeMap<(Duration, u64), Happening>,
    sequence: u64,
    checks: Checks,
}

impl Cluster {
    pub fn new(voters: u64, seed: u64, snapshot_entries: u64) -> Self {
        let mut cluster = Self {
            now: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            faults: Faults::default(),
            hosts: BTreeMap::new(),
            cuts: BTreeSet::new(),
            answers: Vec::new(),
            elections: 0,
            events: Vec::new(),
            snapshot_entries,
            queue: BTreeMap::new(),
            sequence: 0,
            checks: Checks::default(),
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
            log: None,
            persists: VecDeque::new(),
            epoch: 0,
            frozen_until: Duration::ZERO,
            persisted_at: Duration::ZERO,
            initial_voters,
        };
        self.hosts.insert(id, host);
        self.start(id);
    }

    /// Removes a host and its disk for good.
    pub fn destroy(&mut self, id: ReplicaId) {
        self.hosts.remove(&id);
    }

    /// Starts a host that is down.
    pub fn start(&mut self, id: ReplicaId) {
        let seed = self.random.random();
        let host = self.hosts.get_mut(&id).expect("known host");
        let opened = DiskStorage::open_with(host.disk.clone(), id);
        let (log, recovered) = opened.expect("a crash never damages a folder");
        let options = ReplicaOptions {
            id,
            initial_voters: host.initial_voters.clone(),
            election_timeout: ELECTION_TIMEOUT,
            first_election_timeout: ELECTION_TIMEOUT,
            heartbeat: HEARTBEAT,
            snapshot_entries: self.snapshot_entries,
            seed,
        };
        let replica = Replica::new(options, recovered, self.now).expect("the snapshot decodes");
        host.replica = Some(replica);
        host.log = Some(log);
        host.epoch += 1;
        self.step(id, ReplicaInput::Tick);
    }

    /// Gets the leader with the largest term among the running hosts.
    pub fn leader(&self) -> Option<ReplicaId> {
        let running = self.hosts.iter();
        let replicas = running.filter_map(|(id, host)| Some((*id, host.replica.as_ref()?)));
        let leaders = replicas.filter(|(_, replica)| replica.is_leader());
        leaders
            .max_by_key(|(_, replica)| replica.term())
            .map(|(id, _)| id)
    }

    /// Describes the replicas for a failure message.
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

    /// Whether a host runs and reacts.
    pub fn is_awake(&self, id: ReplicaId) -> bool {
        let host = self.hosts.get(&id);
        host.is_some_and(|host| host.replica.is_some() && host.frozen_until <= self.now)
    }

    /// Runs for a time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), happening) = entry.remove_entry();
            self.now = self.now.max(at);
            self.happen(happening);
        }
        self.now = end;
    }

    /// Sends a client's request to a host, which may be frozen or down.
    pub fn ask(&mut self, id: ReplicaId, input: ReplicaInput) {
        self.push(self.now, Happening::Ask(id, input));
    }

    pub fn any_host(&mut self) -> ReplicaId {
        let ids: Vec<ReplicaId> = self.hosts.keys().copied().collect();
        ids[self.random.random_range(0..ids.len())]
    }

    /// Gives an input to a replica and carries out its outputs.
    pub fn step(&mut self, id: ReplicaId, input: ReplicaInput) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        let Some(replica) = &mut host.replica else {
            return;
        };
        let led_before = replica.is_leader();
        let outputs = replica.step(now, input);
        let wakeup = replica.next_wakeup().max(now + Duration::from_micros(1));
        self.elections += u64::from(!led_before && replica.is_leader());
        let epoch = host.epoch;
        self.checks.stepped(id, replica);
        self.push(wakeup, Happening::Tick(id, epoch));
        for output in outputs {
            self.carry_out(id, output);
        }
    }

    fn carry_out(&mut self, id: ReplicaId, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send(to, message) => self.send(id, to, message),
            ReplicaOutput::Persist(request) => self.persist(id, request),
            ReplicaOutput::ProposalCompleted(proposal, end) => {
                self.answers.push((id, Answer::Proposal(proposal, end)));
            }
            ReplicaOutput::ReadCompleted(read, confirmed) => {
                self.answers.push((id, Answer::Read(read, confirmed)));
            }
            ReplicaOutput::Log(event, _) => self.events.push(event),
            ReplicaOutput::Applied => {}
        }
    }

    pub fn push(&mut self, at: Duration, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), happening);
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        self.checks.sent(&message);
        if self.cuts.contains(&(from, to)) || self.random.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.faults.double));
        for _ in 0..copies {
            let is_long = self.random.random_bool(self.faults.long_delay);
            let most_ms = if is_long {
                LONG_DELAY_MS
            } else {
                self.faults.delay_ms
            };
            let delay_us = 500 + self.random.random_range(0..=most_ms * 1_000);
            let at = self.now + Duration::from_micros(delay_us);
            self.push(at, Happening::Deliver(from, to, Box::new(message.clone())));
        }
    }

    fn persist(&mut self, id: ReplicaId, request: PersistRequest) {
        let is_slow = self.random.random_bool(self.faults.slow_sync);
        let most_us = if is_slow { 200_000 } else { 6_000 };
        let sync_us = self.random.random_range(1_000..most_us);
        let at = self.now + Duration::from_micros(sync_us);
        let host = self.hosts.get_mut(&id).expect("a stepping host exists");
        host.persists.push_back(request);
        // A request ends after the ones before it.
        let at = at.max(host.persisted_at);
        host.persisted_at = at;
        let epoch = host.epoch;
        self.push(at, Happening::PersistDone(id, epoch));
    }

    fn happen(&mut self, happening: Happening) {
        let id = match &happening {
            Happening::Deliver(_, id, _)
            | Happening::Ask(id, _)
            | Happening::Tick(id, _)
            | Happening::PersistDone(id, _)
            | Happening::Restart(id, _) => *id,
        };
        let Some(host) = self.hosts.get(&id) else {
            return;
        };
        if host.frozen_until > self.now {
            // A thawed process may see clients before anything that tells it
            // that it no longer leads; the rest comes in any order.
            let most_us = if matches!(happening, Happening::Ask(..)) {
                1
            } else {
                5_000
            };
            let jitter = Duration::from_micros(self.random.random_range(0..most_us));
            let thawed_at = host.frozen_until + jitter;
            return self.push(thawed_at, happening);
        }
        let current = host.epoch;
        match happening {
            Happening::Deliver(from, to, message) => {
                self.step(to, ReplicaInput::Received(from, message));
            }
            Happening::Ask(id, input) => self.step(id, input),
            Happening::Tick(id, epoch) if epoch == current => self.tick(id),
            Happening::PersistDone(id, epoch) if epoch == current => self.finish_persist(id),
            Happening::Restart(id, epoch) if epoch == current => self.start(id),
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
        let crashes = self.random.random_bool(self.faults.persist_crash);
        let point = self.random.random_range(0..8u64);
        let host = self.hosts.get_mut(&id).expect("checked by the caller");
        let request = host.persists.pop_front().expect("one per happening");
        let request_id = request.id;
        if crashes && point < 6 {
            let strike = if point % 2 == 0 {
                Strike::Before
            } else {
                Strike::After
            };
            host.disk
                .strike(host.disk.operations() + 1 + point / 2, strike);
        }
        let log = host.log.as_mut().expect("a running host has a log");
        if log.persist(&request).is_err() || crashes {
            return self.crash(id);
        }
        self.step(id, ReplicaInput::Persisted(request_id));
    }
}
