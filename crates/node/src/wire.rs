//! Messages between the processes of the system.

use std::net::SocketAddr;

use hornbeam_control::{
    ChangeCommand, ChangeResult, ClaimCommand, EvacuateCommand, MembersCommand, Message,
    PublishCommand, PublishResult, PublishedDocument,
};
use hornbeam_core::config::Configuration;
use hornbeam_core::evacuation::EvacuationList;
use hornbeam_core::ids::{ChunkId, ConfigVersion, HostId, ReplicaId, WorkerId};
use hornbeam_dispatch::{Chunk, ChunkAnswer, ChunkTaskCancelStatus, ClaimOutcome, PeerStatus};
use hornbeam_document::{Part, PartRequest};
use hornbeam_fleet::{BatchExtension, LossReport, PeerBatch, PeerInfo, ReportAnswer, WorkerReport};
use serde::{Deserialize, Serialize};

/// `Request` is a request from one process to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Checks that the other process is alive.
    Ping,
    /// Entry host to entry host: status, 4 times a second.
    Status(PeerStatus),
    /// Entry host to entry host: run tasks.
    RunChunk(Chunk),
    /// Entry host to entry host: cancel a chunk.
    CancelChunk(HostId, ChunkId),
    /// Entry host to control host or entry host: a long poll for a
    /// configuration newer than `have_version`, for at most `wait_ms`.
    Follow {
        /// Version that the sender has.
        have_version: ConfigVersion,
        /// Maximum wait, in ms.
        wait_ms: u64,
    },
    /// Control host to control host: a consensus message, answered by `Done`.
    Replica {
        /// Replica that sends it.
        from: ReplicaId,
        /// Replica that the message is for. A host that lost its disk has the
        /// address of its former replica and must not answer for it.
        to: ReplicaId,
        /// Link address of the sending replica. A replica that got a new id
        /// because it lost its disk is not in the settings of other hosts.
        address: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Entry host to control host: record a claim. A control host that does not
    /// lead forwards it once to the leader.
    Claim(ClaimCommand),
    /// Control host to the leader: a claim from an entry host. It is not
    /// forwarded again, so two hosts that each take the other for the leader
    /// cannot form a loop.
    ForwardedClaim(ClaimCommand),
    /// Control host to the leader: a change that an operator sent.
    Apply(Box<ChangeCommand>),
    /// Control host to the leader: a change of the voting members.
    Members(MembersCommand),
    /// Control host to the leader: confirm the leadership with a quorum and get
    /// the read index.
    Read,
    /// Control host to the leader: publish a document.
    Publish(Box<PublishCommand>),
    /// Entry host to control host: registration, repeated while the entry host
    /// is alive.
    Register(EntryRegistration),
    /// To a control host: get the replicas that vote.
    Voters,
    /// To a control host or an entry host: get the published document if it is
    /// newer than this version.
    Document(ConfigVersion),
    /// Control host to entry host of a former version: the status report of a
    /// worker without an owner.
    Announce(Box<WorkerReport>),
    /// Control host to entry host: a worker has deregistered.
    Departed(WorkerId),
    /// Entry host to entry host: messages about tasks and free resources.
    Batch(Box<PeerBatch>),
    /// Entry host to control host: a registration that is answered with the
    /// changes of the membership since a version.
    RegisterSince(EntryRegistration, Option<MembershipVersion>),
    /// To a control host or an entry host: get a part of a newer document.
    DocumentPart(PartRequest),
    /// Entry host to entry host: runs of a job that were lost with their
    /// workers.
    Losses(Box<LossReport>),
    /// Control host to entry host: the status report of a worker without an
    /// owner, with the worker's clock in ms when it was sent.
    AnnounceAt(Box<WorkerReport>, u64),
    /// Entry host to entry host: a batch with a status, and the extension of that
    /// status. A host of a former version refuses it, and gets [`Request::Batch`].
    ExtendedBatch(Box<PeerBatch>, BatchExtension),
    /// Control host to the leader: evacuate a failure domain or return it to
    /// service.
    Evacuate(EvacuateCommand),
    /// The leader to a voter: check that it can decode the command of
    /// [`Request::Evacuate`], answered by `Done`. A host of the previous build
    /// refuses, and would receive nothing of the log after such a command.
    CheckEvacuationSupport,
    /// Entry host to control host: as [`Request::RegisterSince`], with the
    /// revision of the evacuation list that the sender has.
    RegisterWithEvacuations(EntryRegistration, Option<MembershipVersion>, Option<u64>),
}

/// `EntryRegistration` is the registration of an entry host at the control hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EntryRegistration {
    /// Id, link address and failure domain of the entry host.
    pub host: PeerInfo,
    /// Address for the status reports of the workers that it owns.
    pub report_address: SocketAddr,
    /// Number of workers that it owns.
    pub owned: u32,
    /// Whether it is draining.
    pub draining: bool,
}

/// `Membership` lists the members of the system that a control host knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Membership {
    /// Entry hosts that registered recently.
    pub entry_hosts: Vec<PeerInfo>,
    /// Link addresses of the control hosts.
    pub control_hosts: Vec<SocketAddr>,
    /// Version of the published document.
    pub document_version: ConfigVersion,
}

/// `MembershipVersion` identifies a state of the list of entry hosts at one
/// control host.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MembershipVersion {
    /// Random number of the process of the control host.
    pub epoch: u64,
    /// Number of changes since the start of that process.
    pub changes: u64,
}

/// `MembershipUpdate` lists what has changed in the membership.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MembershipUpdate {
    /// Version of the list of entry hosts after the update.
    pub version: MembershipVersion,
    /// Whether `joined` is the whole list, which replaces the former one.
    pub is_whole: bool,
    /// Entry hosts that have joined or moved to another address.
    pub joined: Vec<PeerInfo>,
    /// Entry hosts that have left.
    pub left: Vec<HostId>,
    /// Link addresses of all control hosts.
    pub control_hosts: Vec<SocketAddr>,
    /// Version of the published document.
    pub document_version: ConfigVersion,
}

/// `RequestAnswer` answers a [`Request`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestAnswer {
    /// The request was accepted.
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
    /// Answers [`Request::Read`]: the read index, or `None` if this host does
    /// not lead.
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
    /// Answers [`Request::RegisterSince`].
    RegisteredSince(MembershipUpdate),
    /// Answers [`Request::DocumentPart`]; `None` if there is nothing newer.
    DocumentPart(Option<Part>),
    /// Answers [`Request::Evacuate`].
    Evacuated(EvacuateAnswer),
    /// Answers [`Request::RegisterWithEvacuations`]; the list is present only if
    /// it is newer than the one of the sender. It is absent, too, while the
    /// control host does not know its own state, after its start.
    RegisteredWithEvacuations(MembershipUpdate, Option<EvacuationList>),
}

/// `EvacuateAnswer` is the leader's answer to a forwarded evacuation order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EvacuateAnswer {
    /// The order is committed; holds the revision of the list after it.
    Decided(u64),
    /// Not recorded: the receiving host does not lead.
    NotLeader(Option<ReplicaId>),
    /// Not recorded: the leader refused it for this reason.
    Refused(String),
    /// It may or may not be recorded.
    Unknown,
}

/// `PublishAnswer` is the leader's answer to a forwarded document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishAnswer {
    /// The command was committed with this result.
    Decided(PublishResult),
    /// Not recorded: the receiving host does not lead.
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
    /// The command was committed with this result.
    Decided(ChangeResult),
    /// Not recorded: the receiving host does not lead.
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
    /// Not recorded: the receiving host does not lead.
    NotLeader(Option<ReplicaId>),
    /// It may or may not be recorded.
    Unknown,
}
