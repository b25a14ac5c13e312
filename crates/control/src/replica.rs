//! The replica: its fields, the handling of inputs and the outputs of a step.

use std::collections::BTreeMap;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::ReplicaId;
use hornbeam_core::{Error, Result};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::codec;
use crate::command::Command;
use crate::election::GrantedVotes;
use crate::io::{
    Entry, HardState, Message, PersistId, ProposalId, ProposalOutcome, Refusal, ReplicaInput,
    ReplicaOptions, ReplicaOutput, SnapshotData,
};
use crate::log::{Log, MAX_ENTRY_BYTES};
use crate::persist::{DeferredAction, PersistQueue};
use crate::progress::Progress;
use crate::reads::PendingReads;
use crate::snapshot_transfer::IncomingSnapshot;
use crate::state::ControlState;
use crate::storage::RecoveredState;

/// `Replica` is one member of the control group.
#[derive(Debug)]
pub struct Replica {
    pub(crate) options: ReplicaOptions,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Duration,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) persist: PersistQueue,
    pub(crate) commit_index: u64,
    pub(crate) state: ControlState,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) last_leader_contact: Duration,
    pub(crate) election_deadline: Duration,
    pub(crate) outputs: Vec<ReplicaOutput>,
    /// Snapshot that is being received from the leader in parts.
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
}

/// `Role` is the role of a replica in the current term.
#[derive(Debug)]
pub(crate) enum Role {
    /// A follower or learner, with or without a leader.
    Follower,
    /// Asks the other voters whether it could win an election.
    PreCandidate(GrantedVotes),
    /// Requests votes.
    Candidate(GrantedVotes),
    /// The leader of the term.
    Leader(LeaderState),
}

/// `LeaderState` is the state that a replica has only while it leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Index of the first entry of the term.
    pub(crate) first_index: u64,
    /// Replication progress of the followers and learners.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Number of the latest heartbeat round.
    pub(crate) round: u64,
    /// Time at which the next heartbeat round is due.
    pub(crate) next_heartbeat_at: Duration,
    /// Reads that a quorum has not confirmed yet.
    pub(crate) reads: PendingReads,
    /// Proposals in flight by the index of their entry.
    pub(crate) proposals: BTreeMap<u64, ProposalId>,
}

impl Replica {
    /// Creates a replica from the state recovered from its disk.
    ///
    /// # Errors
    /// `Corrupt` if the snapshot cannot be decoded or the entries do not
    /// follow it.
    pub fn new(options: ReplicaOptions, recovered: RecoveredState, now: Duration) -> Result<Self> {
        let state = match &recovered.snapshot {
            Some(snapshot) => ControlState::decode(&snapshot.state)?,
            None => ControlState::default(),
        };
        let (base, is_new_base) = base_snapshot(&options, &recovered, &state)?;
        check_contiguous(&base, &recovered.entries)?;
        let commit_index = base.index;
        let new_base = is_new_base.then(|| base.clone());
        let log = Log::new(base, recovered.entries);
        let mut replica = Self {
            rng: seeded_rng(&options),
            persist: PersistQueue::new(log.last_index()),
            hard_state: recovered.hard_state,
            role: Role::Follower,
            leader: None,
            last_leader_contact: now,
            election_deadline: now,
            outputs: Vec::new(),
            incoming_snapshot: None,
            options,
            now,
            log,
            commit_index,
            state,
        };
        if let Some(new_base) = new_base {
            replica.persist.put_hard_state(replica.hard_state);
            replica.persist.put_snapshot(new_base);
        }
        replica.set_election_timer(replica.options.first_election_timeout);
        Ok(replica)
    }

    /// Handles one input; `now` is the monotonic time of the process.
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

    /// Gets the time at which the next `Tick` is due.
    pub fn next_wakeup(&self) -> Duration {
        if self.persist.is_pending() {
            return self.now;
        }
        match &self.role {
            Role::Leader(leader_state) => leader_state.next_heartbeat_at,
            _ => self.election_deadline,
        }
    }

    /// Gets the applied state. It reflects only committed entries but may be
    /// stale; a linearizable read needs `ReplicaInput::Read`.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Gets the known leader of the current term.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Whether this replica is the leader.
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

    /// Gets the last index up to which the log of a replica is known to match;
    /// `None` if this replica is not the leader or does not track the other.
    pub fn match_index(&self, id: ReplicaId) -> Option<u64> {
        let Role::Leader(leader_state) = &self.role else {
            return None;
        };
        if id == self.options.id {
            return Some(self.persist.durable_index());
        }
        let progress = leader_state.progress.get(&id);
        progress.map(|progress| progress.match_index)
    }

    fn on_tick(&mut self) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(),
            _ if self.now >= self.election_deadline => self.on_election_timeout(),
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
            let outcome = ProposalOutcome::NotLeader(self.leader);
            return self.complete_proposal(id, outcome);
        }
        if let Some(refusal) = self.refusal(&command) {
            return self.complete_proposal(id, ProposalOutcome::Refused(refusal));
        }
        let index = self.append_in_current_term(command);
        if let Role::Leader(leader_state) = &mut self.role {
            leader_state.proposals.insert(index, id);
        }
        self.send_entries();
    }

    fn refusal(&self, command: &Command) -> Option<Refusal> {
        if codec::encoded_size(command) > MAX_ENTRY_BYTES {
            return Some(Refusal::TooLarge);
        }
        match command {
            Command::Members(members) => self.membership_refusal(&members.voters),
            _ => None,
        }
    }

    fn on_persisted(&mut self, id: PersistId) {
        for action in self.persist.mark_synced(id) {
            self.run_deferred(action);
        }
        self.advance_commit();
    }

    /// Appends an entry of the current term and gets its index.
    pub(crate) fn append_in_current_term(&mut self, command: Command) -> u64 {
        let index = self.log.last_index() + 1;
        let term = self.hard_state.term;
        self.log.append(Entry {
            index,
            term,
            command,
        });
        index
    }

    /// Commits and applies the entries up to an index.
    pub(crate) fn commit_to(&mut self, index: u64) {
        while self.commit_index < index {
            let Some(entry) = self.log.get(self.commit_index + 1) else {
                return;
            };
            let result = self.state.apply(&entry.command);
            let is_membership_change = matches!(entry.command, Command::Members(_));
            self.commit_index += 1;
            if is_membership_change {
                self.log_event(Event::MembersChanged, "the voting members changed");
            }
            if let Some(id) = self.take_proposal(self.commit_index) {
                self.complete_proposal(id, ProposalOutcome::Applied(result));
            }
        }
    }

    fn take_proposal(&mut self, index: u64) -> Option<ProposalId> {
        match &mut self.role {
            Role::Leader(leader_state) => leader_state.proposals.remove(&index),
            _ => None,
        }
    }

    /// Requests the pending writes and defers the actions that depend on them.
    fn request_persist(&mut self) {
        let group_commit = self.is_leader();
        if let Some(request) = self.persist.next_request(&self.log, group_commit) {
            self.outputs.push(ReplicaOutput::Persist(request));
        }
        for action in self.persist.release_new_actions() {
            self.run_deferred(action);
        }
    }

    fn run_deferred(&mut self, action: DeferredAction) {
        match action {
            DeferredAction::Send(to, message) => self.send(to, message),
            DeferredAction::OwnVote(term) => self.on_own_vote(term),
        }
    }

    /// Sends a message without waiting for a sync.
    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        self.outputs.push(ReplicaOutput::Send(to, message));
    }

    /// Sends a message once all requests, including that of this step, are synced.
    pub(crate) fn send_after_sync(&mut self, to: ReplicaId, message: Message) {
        self.persist.defer(DeferredAction::Send(to, message));
    }

    pub(crate) fn complete_proposal(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        self.outputs
            .push(ReplicaOutput::ProposalCompleted(id, outcome));
    }

    pub(crate) fn log_event(&mut self, event: Event, message: impl Into<String>) {
        self.outputs.push(ReplicaOutput::Log(event, message.into()));
    }
}

/// Creates the generator of the election timeouts. Each replica id has its own
/// stream even if the seeds are equal, because replicas with equal timeouts
/// campaign at the same time and split every vote.
fn seeded_rng(options: &ReplicaOptions) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    rng.set_stream(options.id);
    rng
}

/// Gets the snapshot that precedes the log, and whether it has to be written. The
/// first snapshot of a folder stores the initial voters, so that later settings
/// cannot change them. A snapshot without voters is completed: a former version wrote
/// one if its process had ended between the first two files of the folder. No change
/// of the members precedes it, so the group still has its initial voters there.
fn base_snapshot(
    options: &ReplicaOptions,
    recovered: &RecoveredState,
    state: &ControlState,
) -> Result<(SnapshotData, bool)> {
    let stored = &recovered.initial_voters;
    let voters = if stored.is_empty() {
        &options.initial_voters
    } else {
        stored
    };
    match &recovered.snapshot {
        Some(snapshot) if !snapshot.voters.is_empty() || voters.is_empty() => {
            Ok((snapshot.clone(), false))
        }
        Some(snapshot) => {
            let voters = voters.clone();
            Ok((
                SnapshotData {
                    voters,
                    ..snapshot.clone()
                },
                true,
            ))
        }
        None => {
            let first = SnapshotData {
                index: 0,
                term: 0,
                voters: voters.clone(),
                state: state.encode()?,
            };
            Ok((first, true))
        }
    }
}

fn check_contiguous(snapshot: &SnapshotData, entries: &[Entry]) -> Result<()> {
    let expected = snapshot.index + 1..;
    let in_order = entries
        .iter()
        .zip(expected)
        .all(|(entry, index)| entry.index == index);
    if in_order {
        return Ok(());
    }
    Err(Error::corrupt(
        "the log entries are not contiguous with the snapshot",
    ))
}
