//! The replica: its fields, the dispatch of inputs and the outputs of a step.

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::ReplicaId;
use hornbeam_core::{Error, Result};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::codec;
use crate::command::Command;
use crate::disk::RecoveredState;
use crate::election::Ballot;
use crate::io::{
    Entry, HardState, Message, PersistId, ProposalId, ProposalOutcome, Refusal, ReplicaInput,
    ReplicaOptions, ReplicaOutput, SnapshotData,
};
use crate::log::{Log, MAX_ENTRY_BYTES};
use crate::persist::{Deferred, PersistQueue};
use crate::progress::Progress;
use crate::reads::Reads;
use crate::state::ControlState;
use crate::transfer::IncomingSnapshot;

/// `Replica` is one member of the control group.
#[derive(Debug)]
pub struct Replica {
    pub(crate) options: ReplicaOptions,
    pub(crate) random: ChaCha8Rng,
    pub(crate) now: Duration,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) persist: PersistQueue,
    pub(crate) commit_index: u64,
    pub(crate) state: ControlState,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) leader_heard_at: Duration,
    pub(crate) election_at: Duration,
    pub(crate) outputs: Vec<ReplicaOutput>,
    /// Parts of a snapshot that the leader is sending.
    pub(crate) incoming: Option<IncomingSnapshot>,
}

/// `Role` is what a replica does in the present term.
#[derive(Debug)]
pub(crate) enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate(Ballot),
    /// Asks for votes.
    Candidate(Ballot),
    /// Leads.
    Leader(Leadership),
}

/// `Leadership` is the state of a leader.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// Index of the first entry of the term.
    pub(crate) first_index: u64,
    /// Followers and learners.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Last round of heartbeats.
    pub(crate) round: u64,
    /// When the next round is due.
    pub(crate) heartbeat_at: Duration,
    /// Reads that wait for confirmation.
    pub(crate) reads: Reads,
    /// Proposals by the index of their entry.
    pub(crate) proposals: BTreeMap<u64, ProposalId>,
}

impl Replica {
    /// Creates a replica from what its disk held.
    ///
    /// # Errors
    /// `Corrupt` if the snapshot cannot be decoded or the entries do not
    /// follow it.
    pub fn new(options: ReplicaOptions, recovered: RecoveredState, now: Duration) -> Result<Self> {
        let state = match &recovered.snapshot {
            Some(snapshot) => codec::decode(&snapshot.state)?,
            None => ControlState::default(),
        };
        let first = match &recovered.snapshot {
            Some(_) => None,
            None => Some(first_snapshot(&options, &state)?),
        };
        let start = recovered
            .snapshot
            .or_else(|| first.clone())
            .unwrap_or_default();
        check_order(&start, &recovered.entries)?;
        let commit_index = start.index;
        let log = Log::new(start, recovered.entries);
        let mut replica = Self {
            random: random_of(&options),
            persist: PersistQueue::new(log.last_index()),
            hard_state: recovered.hard_state,
            role: Role::Follower,
            leader: None,
            leader_heard_at: now,
            election_at: now,
            outputs: Vec::new(),
            incoming: None,
            options,
            now,
            log,
            commit_index,
            state,
        };
        if let Some(first) = first {
            replica.persist.put_hard_state(replica.hard_state);
            replica.persist.put_snapshot(first);
        }
        replica.set_election_timer(replica.options.first_election_timeout);
        Ok(replica)
    }

    /// Reacts to one input; `now` is the monotonic time of the process.
    pub fn step(&mut self, now: Duration, input: ReplicaInput) -> Vec<ReplicaOutput> {
        self.now = self.now.max(now);
        let commit_before = self.commit_index;
        match input {
            ReplicaInput::Tick => self.on_tick(),
            ReplicaInput::Received(from, message) => self.on_message(from, *message),
            ReplicaInput::Propose(id, command) => self.on_propose(id, command),
            ReplicaInput::Read(id) => self.on_read(id),
            ReplicaInput::Persisted(id) => self.on_persisted(id),
        }
        if self.commit_index > commit_before {
            self.outputs.push(ReplicaOutput::Applied);
            self.take_snapshot_if_due();
        }
        self.request_persist();
        std::mem::take(&mut self.outputs)
    }

    /// Gets the next time at which a `Tick` has something to do.
    pub fn next_wakeup(&self) -> Duration {
        if self.persist.is_pending() {
            return self.now;
        }
        match &self.role {
            Role::Leader(leadership) => leadership.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Gets the applied state. It holds only committed entries, but another
    /// replica may have committed more; use `Read` for a current view.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Gets the leader that this replica knows of.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Gets `leader`, `follower`, `candidate` or `learner`.
    pub fn role_name(&self) -> &'static str {
        match &self.role {
            Role::Leader(_) => "leader",
            Role::Candidate(_) | Role::PreCandidate(_) => "candidate",
            Role::Follower if self.is_voter() => "follower",
            Role::Follower => "learner",
        }
    }

    /// Gets the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Gets the index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Gets the index of the last entry in the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Gets the voting members.
    pub fn voters(&self) -> &[ReplicaId] {
        self.log.voters()
    }

    /// Gets the last index up to which the log of another replica is known to
    /// match; `None` if this replica does not lead or does not know the other.
    pub fn match_index(&self, id: ReplicaId) -> Option<u64> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        if id == self.options.id {
            return Some(self.persist.durable_index());
        }
        let progress = leadership.progress.get(&id);
        progress.map(|progress| progress.match_index)
    }

    fn on_tick(&mut self) {
        match &self.role {
            Role::Leader(_) => self.lead(),
            _ if self.now >= self.election_at => self.on_election_timeout(),
            _ => {}
        }
    }

    fn on_message(&mut self, from: ReplicaId, message: Message) {
        if from == self.options.id {
            return;
        }
        match message {
            Message::PreVote {
                term,
                last_index,
                last_term,
            } => {
                self.on_pre_vote(from, term, (last_term, last_index));
            }
            Message::PreVoteAnswer { term, granted } => {
                self.on_pre_vote_answer(from, term, granted);
            }
            Message::Vote {
                term,
                last_index,
                last_term,
            } => {
                self.on_vote(from, term, (last_term, last_index));
            }
            Message::VoteAnswer { term, granted } => self.on_vote_answer(from, term, granted),
            Message::Append { .. } => self.on_append(from, message),
            Message::AppendAnswer { .. } => self.on_append_answer(from, message),
            Message::SnapshotPart { term, part, round } => {
                self.on_snapshot_part(from, term, part, round);
            }
            Message::SnapshotPartAnswer {
                term,
                index,
                next_offset_bytes,
                round,
            } => {
                self.on_snapshot_part_answer(from, term, (index, next_offset_bytes), round);
            }
        }
    }

    fn on_propose(&mut self, id: ProposalId, command: Command) {
        if !self.is_leader() {
            let end = ProposalOutcome::NotLeader(self.leader);
            return self.end_proposal(id, end);
        }
        if let Some(refusal) = self.refusal(&command) {
            return self.end_proposal(id, ProposalOutcome::Refused(refusal));
        }
        let index = self.append_own(command);
        if let Role::Leader(leadership) = &mut self.role {
            leadership.proposals.insert(index, id);
        }
        self.send_entries();
    }

    fn refusal(&self, command: &Command) -> Option<Refusal> {
        if codec::encoded_bytes(command) > MAX_ENTRY_BYTES {
            return Some(Refusal::TooLarge);
        }
        match command {
            Command::Members(members) => self.members_refusal(&members.voters),
            _ => None,
        }
    }

    fn on_persisted(&mut self, id: PersistId) {
        for action in self.persist.synced(id) {
            self.act(action);
        }
        self.advance_commit();
    }

    /// Appends an entry of the own term and gets its index.
    pub(crate) fn append_own(&mut self, command: Command) -> u64 {
        let index = self.log.last_index() + 1;
        let term = self.hard_state.term;
        self.log.append(Entry {
            index,
            term,
            command,
        });
        index
    }

    /// Applies everything committed that is not applied yet.
    pub(crate) fn commit_to(&mut self, index: u64) {
        while self.commit_index < index {
            let Some(entry) = self.log.get(self.commit_index + 1) else {
                return;
            };
            let result = self.state.apply(&entry.command);
            let is_members = matches!(entry.command, Command::Members(_));
            self.commit_index += 1;
            if is_members {
                self.log_event(Event::MembersChanged, "the voting members changed");
            }
            if let Some(id) = self.take_proposal(self.commit_index) {
                self.end_proposal(id, ProposalOutcome::Applied(result));
            }
        }
    }

    fn take_proposal(&mut self, index: u64) -> Option<ProposalId> {
        match &mut self.role {
            Role::Leader(leadership) => leadership.proposals.remove(&index),
            _ => None,
        }
    }

    /// Requests what must be written and holds back what depends on it.
    fn request_persist(&mut self) {
        let gather = self.is_leader();
        if let Some(request) = self.persist.next_request(&self.log, gather) {
            self.outputs.push(ReplicaOutput::Persist(request));
        }
        for action in self.persist.release_unsent() {
            self.act(action);
        }
    }

    fn act(&mut self, action: Deferred) {
        match action {
            Deferred::Send(to, message) => self.send(to, message),
            Deferred::OwnVote(term) => self.on_own_vote(term),
        }
    }

    /// Sends a message at once.
    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        self.outputs.push(ReplicaOutput::Send(to, message));
    }

    /// Sends a message once everything it rests on is synced.
    pub(crate) fn send_synced(&mut self, to: ReplicaId, message: Message) {
        self.persist.defer(Deferred::Send(to, message));
    }

    pub(crate) fn end_proposal(&mut self, id: ProposalId, end: ProposalOutcome) {
        self.outputs.push(ReplicaOutput::ProposalCompleted(id, end));
    }

    pub(crate) fn log_event(&mut self, event: Event, message: impl Into<String>) {
        self.outputs.push(ReplicaOutput::Log(event, message.into()));
    }
}

/// Makes the source of random waits. Each replica has a stream of its own
/// whatever the seeds are: replicas that draw the same waits campaign at the
/// same time and split every vote.
fn random_of(options: &ReplicaOptions) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    random.set_stream(options.id);
    random
}

/// Makes the snapshot that a new folder starts with. It fixes the initial
/// voters, so that later settings cannot change them.
fn first_snapshot(options: &ReplicaOptions, state: &ControlState) -> Result<SnapshotData> {
    Ok(SnapshotData {
        index: 0,
        term: 0,
        voters: options.initial_voters.clone(),
        state: codec::encode(state)?,
    })
}

fn check_order(snapshot: &SnapshotData, entries: &[Entry]) -> Result<()> {
    let expected = snapshot.index + 1..;
    let in_order = entries
        .iter()
        .zip(expected)
        .all(|(entry, index)| entry.index == index);
    if in_order {
        return Ok(());
    }
    Err(Error::corrupt("the log does not follow its snapshot"))
}
