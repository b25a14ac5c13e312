//! Inputs, outputs and messages of a replica.

use std::fmt;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::command::{Command, CommandResult};

/// `ProposalId` is chosen by the shell to match answers to proposals.
pub type ProposalId = u64;

/// `ReadId` is chosen by the shell to match answers to reads.
pub type ReadId = u64;

/// `PersistId` numbers persist requests of one replica in order.
pub type PersistId = u64;

/// `ReplicaOptions` are the settings of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaOptions {
    /// Id of this replica; no default.
    pub id: ReplicaId,
    /// Voting members when the data folder is first made; no default.
    pub initial_voters: Vec<ReplicaId>,
    /// Shortest election timeout; each wait is random up to twice it;
    /// default 500 ms.
    pub election_timeout: Duration,
    /// Shortest wait for a leader after a start; each is random up to twice
    /// it. A leader that the others hear is not deposed by an early campaign,
    /// because they deny the pre-vote; default 500 ms.
    pub first_election_timeout: Duration,
    /// Interval of the leader's heartbeats; default 100 ms.
    pub heartbeat: Duration,
    /// Log entries after which a snapshot replaces them; default 4096.
    pub snapshot_entries: u64,
    /// Seed of the random waits; default 0.
    pub seed: u64,
}

impl Default for ReplicaOptions {
    fn default() -> Self {
        Self {
            id: 0,
            initial_voters: Vec::new(),
            election_timeout: Duration::from_millis(500),
            first_election_timeout: Duration::from_millis(500),
            heartbeat: Duration::from_millis(100),
            snapshot_entries: 4096,
            seed: 0,
        }
    }
}

/// `ReplicaInput` is an event that a replica reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaInput {
    /// Time passed.
    Tick,
    /// A message from another replica.
    Received(ReplicaId, Box<Message>),
    /// A client proposes a command. Only a leader takes it.
    Propose(ProposalId, Command),
    /// A client wants to read the state as of now, confirmed by a quorum.
    Read(ReadId),
    /// A persist request and all before it are synced to disk.
    Persisted(PersistId),
}

/// `ReplicaOutput` is an action for the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaOutput {
    /// Send a message; it may be lost, doubled or reordered.
    Send(ReplicaId, Message),
    /// Write and sync; answer with [`ReplicaInput::Persisted`]. If it fails,
    /// the shell must stop the replica. Requests must be carried out in order.
    Persist(PersistRequest),
    /// A proposal ended.
    ProposalCompleted(ProposalId, ProposalOutcome),
    /// A read ended: true if the state may now be read, false if this replica
    /// could not confirm that it leads.
    ReadCompleted(ReadId, bool),
    /// The applied state changed.
    Applied,
    /// Write a numbered log event.
    Log(Event, String),
}

/// `PersistRequest` is what a replica wants on disk before it goes on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistRequest {
    /// Number of this request.
    pub id: PersistId,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the log up to its index, if any.
    pub snapshot: Option<SnapshotData>,
    /// Entries to append. Entries on disk with an index equal to or above the
    /// first of them are replaced.
    pub entries: Vec<Entry>,
}

/// `HardState` is what a replica must never forget besides its log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HardState {
    /// Largest term seen.
    pub term: u64,
    /// Candidate voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// `Entry` is one entry of the replicated log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that made it.
    pub term: u64,
    /// Content.
    pub command: Command,
}

/// `SnapshotData` is the applied state up to an index.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct SnapshotData {
    /// Last index that it contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voting members as of that index.
    pub voters: Vec<ReplicaId>,
    /// `ControlState`, encoded with `bincode`.
    pub state: Vec<u8>,
}

/// `Message` is exchanged between replicas.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks whether an election could be won, without raising the term.
    PreVote {
        /// Term that the election would have.
        term: u64,
        /// Last entry of the asker.
        last_index: u64,
        /// Its term.
        last_term: u64,
    },
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Term asked about if granted, else the term of the answering
        /// replica, so that an asker that is behind catches up.
        term: u64,
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Term of the election.
        term: u64,
        /// Last entry of the candidate.
        last_index: u64,
        /// Its term.
        last_term: u64,
    },
    /// Answers a vote request.
    VoteAnswer {
        /// Term of the answering replica.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Appends entries, or is a heartbeat if there are none.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        previous_index: u64,
        /// Term of the entry at that index.
        previous_term: u64,
        /// Entries.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
        /// Round of heartbeats, to confirm reads.
        round: u64,
    },
    /// Answers an append or a snapshot once its content is synced. A learner
    /// that hears no leader sends it unasked to announce itself.
    AppendAnswer {
        /// Term of the answering replica.
        term: u64,
        /// Whether the log matched.
        success: bool,
        /// Last index known to match if successful, else where to try next.
        index: u64,
        /// Round of the append.
        round: u64,
    },
    /// Sends a part of a snapshot to a replica that lags behind the log.
    SnapshotPart {
        /// Term of the leader.
        term: u64,
        /// The part.
        part: SnapshotPart,
        /// Round of heartbeats.
        round: u64,
    },
    /// Asks for the next part of a snapshot.
    SnapshotPartAnswer {
        /// Term of the answering replica.
        term: u64,
        /// Last index that the snapshot contains.
        index: u64,
        /// Bytes of its state that have arrived without a gap.
        next_offset_bytes: u64,
        /// Round of the part.
        round: u64,
    },
}

/// `SnapshotPart` is a part of a [`SnapshotData`]. A snapshot grows with the
/// claims held, so it may be larger than any message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct SnapshotPart {
    /// Last index that the snapshot contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voting members as of that index.
    pub voters: Vec<ReplicaId>,
    /// Size of the encoded state in bytes.
    pub total_bytes: u64,
    /// Place of this part in the encoded state.
    pub offset_bytes: u64,
    /// This part of the encoded state.
    pub bytes: Vec<u8>,
}

/// `ProposalOutcome` is how a proposal ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalOutcome {
    /// Committed and applied.
    Applied(CommandResult),
    /// This replica does not lead; the command was not recorded here. The
    /// leader is given if known.
    NotLeader(Option<ReplicaId>),
    /// Leadership ended first; the command may or may not be recorded.
    Unknown,
    /// The leader refused the command; it was not recorded.
    Refused(Refusal),
}

/// `Refusal` is why a leader does not record a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// An earlier change of members, or the first entry of the leader's term,
    /// is not committed yet.
    MembersPending,
    /// The proposed members do not differ from the present ones by exactly one,
    /// name a member twice, or leave the group empty.
    NotOneMember,
    /// The log of the member to add does not match the leader's last index yet.
    NotCaughtUp,
    /// The encoded command exceeds [`MAX_ENTRY_BYTES`](crate::MAX_ENTRY_BYTES).
    TooLarge,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MembersPending => "an earlier change of members is not committed yet",
            Self::NotOneMember => "the members must differ from the present ones by exactly one",
            Self::NotCaughtUp => "the member to add does not hold the whole log yet",
            Self::TooLarge => "the change is too large for one log entry",
        })
    }
}
