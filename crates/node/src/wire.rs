//! Messages between the system's own processes.

use std::net::SocketAddr;

use hornbeam_control::{
    ChangeCommand, ChangeResult, ClaimCommand, MembersCommand, Message, PublishCommand,
    PublishResult, PublishedDocument,
};
use hornbeam_core::config::Configuration;
use hornbeam_core::ids::{ChunkId, ConfigVersion, HostId, ReplicaId, WorkerId};
use hornbeam_dispatch::{Chunk, ChunkAnswer, ChunkTaskCancelStatus, ClaimOutcome, PeerStatus};
use hornbeam_fleet::{PeerBatch, PeerInfo, ReportAnswer, WorkerReport};
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
    /// Control host to the leader: publish a document.
    Publish(Box<PublishCommand>),
    /// Entry host to control host: this entry host is alive.
    Register(EntryRegistration),
    /// To a control host: which replicas vote.
    Voters,
    /// To a control host or an entry host: send the published document if it
    /// is newer than this version.
    Document(ConfigVersion),
    /// Control host to entry host: a worker without an owner reports.
    Announce(Box<WorkerReport>),
    /// Control host to entry host: a worker says that it has left.
    Departed(WorkerId),
    /// Entry host to entry host: messages about tasks and room.
    Batch(Box<PeerBatch>),
}

/// `EntryRegistration` is what an entry host tells the control hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EntryRegistration {
    /// Its id, link address and failure domain.
    pub host: PeerInfo,
    /// Address for the reports of the workers that it owns.
    pub report_address: SocketAddr,
    /// Workers that it owns.
    pub owned: u32,
    /// Whether it is about to end.
    pub draining: bool,
}

/// `Membership` is what a control host knows of the system.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Membership {
    /// Entry hosts heard from lately.
    pub entry_hosts: Vec<PeerInfo>,
    /// Link addresses of the control hosts.
    pub control_hosts: Vec<SocketAddr>,
    /// Version of the published document.
    pub document_version: ConfigVersion,
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
    ChunkCancelled(Vec<ChunkTaskCancelStatus>),
    /// Answers [`Request::Follow`]: the version and its configuration, or
    /// `None` if there is nothing newer.
    Configuration(Option<Box<(ConfigVersion, Configuration)>>),
    /// Answers [`Request::Claim`].
    Claim(ClaimOutcome),
    /// Answers [`Request::Apply`].
    Change(ChangeAnswer),
    /// Answers [`Request::Members`].
    Members(MembersAnswer),
    /// Answers [`Request::Read`]: the index to read at, or `None` if this
    /// host does not lead.
    ReadAt(Option<u64>),
    /// Answers [`Request::Publish`].
    Published(PublishAnswer),
    /// Answers [`Request::Register`].
    Registered(Membership),
    /// Answers [`Request::Voters`].
    Voters(Vec<ReplicaId>),
    /// Answers [`Request::Document`]; `None` if there is nothing newer.
    Document(Option<PublishedDocument>),
    /// Answers [`Request::Announce`].
    Announced(ReportAnswer),
}

/// `PublishAnswer` is the leader's answer to a forwarded document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishAnswer {
    /// Decided.
    Decided(PublishResult),
    /// Not recorded: the asked host does not lead.
    NotLeader(Option<ReplicaId>),
    /// Not recorded: the leader refused it for this reason.
    Refused(String),
    /// It may or may not be recorded.
    Unknown,
}

/// `ChangeAnswer` is the leader's answer to a forwarded change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAnswer {
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
