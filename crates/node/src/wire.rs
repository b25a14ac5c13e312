//! Messages between the system's own processes.

use std::net::SocketAddr;

use hornbeam_control::{ChangeCommand, ChangeResult, ClaimCommand, MembersCommand, Message};
use hornbeam_core::config::Configuration;
use hornbeam_core::ids::{ChunkId, ConfigVersion, HostId, ReplicaId};
use hornbeam_dispatch::{Chunk, ChunkAnswer, ChunkFate, ClaimEnd, PeerStatus};
use serde::{Deserialize, Serialize};

/// `Request` is a request of one process to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Proves that the other process is alive.
    Ping,
    /// Entry host to entry host: status, 4 times a second.
    Status(PeerStatus),
    /// Entry host to entry host: run tasks.
    RunChunk(Chunk),
    /// Entry host to entry host: cancel a chunk.
    CancelChunk(HostId, ChunkId),
    /// Entry host to control host or entry host: send the configuration once
    /// it is newer than `have_version`, or after `wait_ms` at the latest.
    Follow {
        /// Version that the sender has.
        have_version: ConfigVersion,
        /// Longest wait, in ms.
        wait_ms: u64,
    },
    /// Control host to control host: a consensus message, answered by `Done`.
    Replica {
        /// Replica that sends it.
        from: ReplicaId,
        /// Replica that is meant. A host that lost its disk has the address of
        /// its former replica and must not answer for it.
        to: ReplicaId,
        /// Link address at which that replica is reached. A replica with a new
        /// id, because it lost its disk, is in nobody's settings.
        address: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Entry host to control host: record a claim. Control hosts that do not
    /// lead forward it to the leader once.
    Claim(ClaimCommand),
    /// Control host to the leader: a claim that an entry host sent to a
    /// control host that does not lead. It is not forwarded again, so two
    /// hosts that each take the other for the leader cannot form a loop.
    ForwardedClaim(ClaimCommand),
    /// Control host to the leader: a change that an operator sent.
    Apply(Box<ChangeCommand>),
    /// Control host to the leader: a change of the voting members.
    Members(MembersCommand),
    /// Control host to the leader: confirm that the leader leads and get the
    /// commit index to read at.
    Read,
}

/// `RequestAnswer` answers a [`Request`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestAnswer {
    /// The request was taken.
    Done,
    /// Answers [`Request::RunChunk`].
    Chunk(ChunkAnswer),
    /// Answers [`Request::CancelChunk`].
    ChunkCancelled(Vec<ChunkFate>),
    /// Answers [`Request::Follow`]: the version and its configuration, or
    /// `None` if there is nothing newer.
    Configuration(Option<Box<(ConfigVersion, Configuration)>>),
    /// Answers [`Request::Claim`].
    Claim(ClaimEnd),
    /// Answers [`Request::Apply`].
    Change(ApplyAnswer),
    /// Answers [`Request::Members`].
    Members(MembersAnswer),
    /// Answers [`Request::Read`]: the index to read at, or `None` if this
    /// host does not lead.
    ReadAt(Option<u64>),
}

/// `ApplyAnswer` is the leader's answer to a forwarded change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyAnswer {
    /// Decided.
    Decided(ChangeResult),
    /// Not recorded: the asked host does not lead.
    NotLeader(Option<ReplicaId>),
    /// Not recorded: the leader refused the change for this reason.
    Refused(String),
    /// It may or may not be recorded.
    Unknown,
}

/// `MembersAnswer` is the answer to a change of the voting members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MembersAnswer {
    /// The change is synced on a quorum.
    Accepted,
    /// Not recorded: the leader refused the change for this reason.
    Refused(String),
    /// Not recorded: the asked host does not lead.
    NotLeader(Option<ReplicaId>),
    /// It may or may not be recorded.
    Unknown,
}
