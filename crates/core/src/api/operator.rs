//! Types of the operators' interface at control hosts and of host status.

use serde::{Deserialize, Serialize};

use crate::config::Configuration;
use crate::finding::Findings;
use crate::ids::{ChangeId, ConfigVersion, HostId, OperatorId, ReplicaId};

/// `SourceFile` is the text of one configuration file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct SourceFile {
    /// Name shown in findings.
    pub name: String,
    /// Content.
    pub text: String,
}

/// `CheckRequest` is the body of `POST /v1/config/check`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CheckRequest {
    /// Base configuration.
    pub base: SourceFile,
    /// Site overlay.
    pub overlay: SourceFile,
}

/// `CheckAnswer` answers a [`CheckRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CheckAnswer {
    /// All problems of both files; empty if the configuration is valid.
    pub findings: Findings,
}

/// `ChangeRequest` is the body of `POST /v1/config/changes`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ChangeRequest {
    /// Version that the operator has seen; the change applies only to it.
    pub expected_version: ConfigVersion,
    /// Makes a resend of the same change idempotent.
    pub change_id: ChangeId,
    /// Who makes the change.
    pub operator: OperatorId,
    /// Why, for the audit trail.
    pub reason: String,
    /// What to put in force.
    pub content: ChangeContent,
}

/// `ChangeContent` is what a change puts in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum ChangeContent {
    /// The configuration built from these files.
    Files(CheckRequest),
    /// The configuration of an earlier version, as a new version.
    Rollback(ConfigVersion),
}

/// `ChangeOutcome` is the answer to a [`ChangeRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ChangeOutcome {
    /// The change is synced on a quorum and in force (200).
    Accepted {
        /// Version that the change made.
        version: ConfigVersion,
    },
    /// Another change came first (409).
    Conflict {
        /// Version now in force.
        current_version: ConfigVersion,
        /// Change that made the current version.
        winner_change_id: ChangeId,
        /// Operator who made it.
        winner_operator: OperatorId,
    },
    /// The files have findings; nothing was changed (400).
    Invalid {
        /// All problems of both files.
        findings: Findings,
    },
    /// No quorum can be reached now; the change was not recorded (503).
    Unavailable {
        /// Explanation.
        message: String,
    },
    /// The change may or may not be recorded; send it again with the same
    /// change id to learn which (504).
    Unknown {
        /// Explanation.
        message: String,
    },
}

/// `ConfigAnswer` answers `GET /v1/config`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ConfigAnswer {
    /// Version of the configuration; 0 if none has been accepted.
    pub version: ConfigVersion,
    /// The configuration.
    pub configuration: Configuration,
}

/// `MembersRequest` is the body of `POST /v1/members`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MembersRequest {
    /// Voting members from now on; they differ from the present ones by one.
    pub voters: Vec<ReplicaId>,
    /// Makes a resend of the same change idempotent.
    pub change_id: ChangeId,
    /// Who makes the change.
    pub operator: OperatorId,
    /// Why, for the audit trail.
    pub reason: String,
}

/// `MembersOutcome` is the answer to a [`MembersRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum MembersOutcome {
    /// The change is synced on a quorum (200).
    Accepted,
    /// The request is not as documented; nothing was changed (400).
    Invalid {
        /// All problems of the request.
        findings: Findings,
    },
    /// The change is not allowed now; nothing was changed (409).
    Refused {
        /// Explanation.
        message: String,
    },
    /// No leader can be reached now; nothing was changed (503).
    Unavailable {
        /// Explanation.
        message: String,
    },
    /// The change may or may not be recorded; the audit trail shows it (504).
    Unknown {
        /// Explanation.
        message: String,
    },
}

/// `AuditEntry` is one line of the audit trail.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AuditEntry {
    /// Version that the change made, or 0 for a change of members.
    pub version: ConfigVersion,
    /// Change id.
    pub change_id: ChangeId,
    /// Who made the change.
    pub operator: OperatorId,
    /// Why.
    pub reason: String,
    /// Leader's wall clock when it proposed the change, in ms since the Unix
    /// epoch; for people only, no decision depends on it.
    pub proposed_unix_ms: u64,
    /// What was done, for example `files` or `rollback to 3`.
    pub action: String,
}

/// `LearnerStatus` is a replica that follows the leader without a vote.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LearnerStatus {
    /// Its replica id.
    pub replica_id: ReplicaId,
    /// Last log entry that it is known to hold.
    pub match_index: u64,
}

/// `ControlStatus` answers `GET /v1/status` at a control host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ControlStatus {
    /// Host that answered.
    pub host_id: HostId,
    /// Its replica id.
    pub replica_id: ReplicaId,
    /// `leader`, `follower`, `candidate`, `learner` or `stopped`.
    pub role: String,
    /// Current term.
    pub term: u64,
    /// Leader known to this host.
    pub leader: Option<ReplicaId>,
    /// Index of the last committed log entry.
    pub commit_index: u64,
    /// Index of the last log entry on this host's disk.
    pub last_index: u64,
    /// Version in force on this host.
    pub config_version: ConfigVersion,
    /// Claims held.
    pub claims: u64,
    /// Voting members.
    pub voters: Vec<ReplicaId>,
    /// Replicas without a vote that follow this leader; none at other hosts.
    pub learners: Vec<LearnerStatus>,
    /// Size of the data folder in bytes.
    pub disk_bytes: u64,
}

/// `EntryStatus` answers `GET /v1/status` at an entry host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EntryStatus {
    /// Host that answered.
    pub host_id: HostId,
    /// Its failure domain.
    pub failure_domain: String,
    /// Configuration version in force on this host.
    pub config_version: ConfigVersion,
    /// Whether the host is draining.
    pub draining: bool,
    /// Backend servers that lease their slots to this host.
    pub servers: u32,
    /// Slots of those servers.
    pub slots: u32,
    /// Slots in use.
    pub slots_busy: u32,
    /// Tasks that wait for a slot.
    pub queued_tasks: u32,
    /// Jobs that have no answer yet.
    pub jobs: u32,
    /// Peers heard from within the last second.
    pub peers: Vec<HostId>,
}
