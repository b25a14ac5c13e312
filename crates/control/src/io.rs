//! Options, inputs, outputs and messages of a replica.

use std::fmt;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::ids::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::command::{Command, CommandResult};

/// `ProposalId` is chosen by the caller to match outcomes to proposals.
pub type ProposalId = u64;

/// `ReadId` is chosen by the caller to match outcomes to reads.
pub type ReadId = u64;

/// `PersistId` is the sequence number of a persist request of one replica.
pub type PersistId = u64;

/// `ReplicaOptions` are the settings of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaOptions {
    /// Id of this replica; no default.
    pub id: ReplicaId,
    /// Voting members when the data folder is created; no default.
    pub initial_voters: Vec<ReplicaId>,
    /// Minimum election timeout; each timeout is random between this and
    /// twice this; default 500 ms.
    pub election_timeout: Duration,
    /// Minimum election timeout after a start, randomised in the same way. A
    /// short one does not depose a working leader, because its followers deny
    /// the pre-vote; default 500 ms.
    pub first_election_timeout: Duration,
    /// Interval between the leader's heartbeats; default 100 ms.
    pub heartbeat_interval: Duration,
    /// Number of applied log entries that triggers a snapshot; default 4096.
    pub snapshot_entries: u64,
    /// Seed of the random election timeouts; default 0.
    pub seed: u64,
}

impl Default for ReplicaOptions {
    fn default() -> Self {
        Self {
            id: 0,
            initial_voters: Vec::new(),
            election_timeout: Duration::from_millis(500),
            first_election_timeout: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(100),
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
    /// A client proposes a command. Only a leader accepts it.
    Propose(ProposalId, Command),
    /// A client requests a linearizable read, which a quorum must confirm.
    Read(ReadId),
    /// A persist request and all before it are synced to disk.
    Persisted(PersistId),
}

/// `ReplicaOutput` is an action that the caller must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaOutput {
    /// Send a message; it may be lost, duplicated or reordered.
    Send(ReplicaId, Message),
    /// Write and sync, then report [`ReplicaInput::Persisted`]. Requests must
    /// be executed in order; if one fails, the caller must stop the replica.
    Persist(PersistRequest),
    /// A proposal has an outcome.
    ProposalCompleted(ProposalId, ProposalOutcome),
    /// A read completed: true if the state may now be read, false if this
    /// replica could not confirm that it is the leader.
    ReadCompleted(ReadId, bool),
    /// The applied state changed.
    Applied,
    /// Write an event to the process log.
    Log(Event, String),
}

/// `PersistRequest` is state that a replica needs on disk before it acts on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistRequest {
    /// Number of this request.
    pub id: PersistId,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the log up to its index, if there is one.
    pub snapshot: Option<SnapshotData>,
    /// Entries to append. They replace the entries on disk from the first
    /// appended index on.
    pub entries: Vec<Entry>,
}

/// `HardState` is the durable state of a replica besides its log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HardState {
    /// Highest term seen.
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
    /// Term of the leader that created it.
    pub term: u64,
    /// Command that the entry carries.
    pub command: Command,
}

/// `SnapshotData` is the applied state up to an index.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct SnapshotData {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voting members as of that index.
    pub voters: Vec<ReplicaId>,
    /// [`ControlState`](crate::ControlState), encoded with `bincode`.
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
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
    },
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Requested term if granted, else the term of the answering replica,
        /// so that a candidate with an older term catches up.
        term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Term of the election.
        term: u64,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
    },
    /// Answers a vote request.
    VoteAnswer {
        /// Term of the answering replica.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries, or is a heartbeat if there are none.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        previous_index: u64,
        /// Term of the entry at `previous_index`.
        previous_term: u64,
        /// Entries in log order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Heartbeat round, which confirms reads.
        round: u64,
    },
    /// Answers an append or a snapshot once its content is synced. A learner
    /// without a leader sends it unsolicited to announce itself.
    AppendAnswer {
        /// Term of the answering replica.
        term: u64,
        /// Whether the log matched.
        success: bool,
        /// Last matching index if successful, else the index to try next.
        index: u64,
        /// Heartbeat round of the append.
        round: u64,
    },
    /// Sends a part of a snapshot to a replica that needs entries which the
    /// leader no longer holds.
    SnapshotPart {
        /// Term of the leader.
        term: u64,
        /// The part.
        part: SnapshotPart,
        /// Heartbeat round.
        round: u64,
    },
    /// Asks for the next part of a snapshot.
    SnapshotPartAnswer {
        /// Term of the answering replica.
        term: u64,
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Bytes of its state that were received without a gap.
        next_offset_bytes: u64,
        /// Heartbeat round of the part.
        round: u64,
    },
}

/// `SnapshotPart` is a part of a [`SnapshotData`]. A snapshot grows with the
/// number of claims and may exceed the largest message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct SnapshotPart {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voting members as of that index.
    pub voters: Vec<ReplicaId>,
    /// Size of the encoded state in bytes.
    pub total_bytes: u64,
    /// Offset of this part in the encoded state.
    pub offset_bytes: u64,
    /// Content of this part.
    pub bytes: Vec<u8>,
}

/// `ProposalOutcome` is the outcome of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalOutcome {
    /// Committed and applied.
    Applied(CommandResult),
    /// This replica is not the leader, and the command was not recorded here.
    /// Contains the leader if it is known.
    NotLeader(Option<ReplicaId>),
    /// The leader stepped down first; the command may or may not be recorded.
    Unknown,
    /// The leader refused the command; it was not recorded.
    Refused(Refusal),
}

/// `Refusal` is the reason why a leader does not record a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// An earlier membership change, or the first entry of the leader's term,
    /// is not committed yet.
    MembershipChangePending,
    /// The proposed members do not differ from the current ones by exactly one,
    /// contain a duplicate, or are empty.
    NotSingleMemberChange,
    /// The log of the member to add does not reach the leader's last index yet.
    NotCaughtUp,
    /// The encoded command exceeds [`MAX_ENTRY_BYTES`](crate::MAX_ENTRY_BYTES).
    TooLarge,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MembershipChangePending => "an earlier change of members is not committed yet",
            Self::NotSingleMemberChange => {
                "the members must differ from the present ones by exactly one"
            }
            Self::NotCaughtUp => "the member to add does not hold the whole log yet",
            Self::TooLarge => "the change is too large for one log entry",
        })
    }
}
