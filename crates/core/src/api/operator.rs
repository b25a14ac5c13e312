//! JSON types of the operators' interface at control hosts and of host status.

use serde::{Deserialize, Serialize};

use crate::config::Configuration;
use crate::finding::Findings;
use crate::ids::{ChangeId, ConfigVersion, FailureDomainId, HostId, OperatorId, ReplicaId};

/// `SourceFile` is the text of one configuration file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct SourceFile {
    /// File name shown in findings.
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
    /// Version that the change is based on. The change is accepted only if this
    /// is still the current version.
    pub expected_version: ConfigVersion,
    /// Id that makes resending the same change idempotent.
    pub change_id: ChangeId,
    /// Operator who makes the change.
    pub operator: OperatorId,
    /// Reason recorded in the audit trail.
    pub reason: String,
    /// Configuration to apply.
    pub content: ChangeContent,
}

/// `ChangeContent` is the configuration that a change applies.
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
    /// The change is synced to disk on a quorum and in force (200).
    Accepted {
        /// Version that the change created.
        version: ConfigVersion,
    },
    /// Another change was accepted first (409).
    Conflict {
        /// Version now in force.
        current_version: ConfigVersion,
        /// Change that created the current version.
        winner_change_id: ChangeId,
        /// Operator who made that change.
        winner_operator: OperatorId,
    },
    /// The files have findings; nothing was changed (400).
    Invalid {
        /// All problems of both files.
        findings: Findings,
    },
    /// No quorum is reachable; the change was not recorded (503).
    Unavailable {
        /// Explanation.
        message: String,
    },
    /// The change may or may not have been recorded. Sending it again with
    /// the same change id shows which (504).
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
    /// New set of voting members; it differs from the current set by one.
    pub voters: Vec<ReplicaId>,
    /// Id that makes resending the same change idempotent.
    pub change_id: ChangeId,
    /// Operator who makes the change.
    pub operator: OperatorId,
    /// Reason recorded in the audit trail.
    pub reason: String,
}

/// `MembersOutcome` is the answer to a [`MembersRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum MembersOutcome {
    /// The change is synced to disk on a quorum (200).
    Accepted,
    /// The request is invalid; nothing was changed (400).
    Invalid {
        /// All problems of the request.
        findings: Findings,
    },
    /// The change is not allowed in the current state; nothing was changed
    /// (409).
    Refused {
        /// Explanation.
        message: String,
    },
    /// No leader is reachable; nothing was changed (503).
    Unavailable {
        /// Explanation.
        message: String,
    },
    /// The change may or may not have been recorded; the audit trail shows
    /// whether it was (504).
    Unknown {
        /// Explanation.
        message: String,
    },
}

/// `EvacuationRequest` is the body of `POST /v1/evacuations`. It states the
/// wanted state, so it can be sent again until it is acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EvacuationRequest {
    /// The failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it is evacuated from now on; false returns it to service.
    pub is_evacuated: bool,
}

/// `EvacuationOutcome` is the answer to an [`EvacuationRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum EvacuationOutcome {
    /// The order is synced to disk on a quorum (200).
    Acknowledged {
        /// Revision of the list of evacuated failure domains after the order.
        revision: u64,
    },
    /// The name is invalid; nothing was changed (400).
    Invalid {
        /// All problems of the request.
        findings: Findings,
    },
    /// The order cannot be committed now; nothing was changed (503).
    Unavailable {
        /// Explanation.
        message: String,
    },
    /// The order may or may not have been recorded; it can be sent again (504).
    Unknown {
        /// Explanation.
        message: String,
    },
}

/// `AuditEntry` is one entry of the audit trail.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AuditEntry {
    /// Version that the change created, or 0 for a change of members or an
    /// evacuation order.
    pub version: ConfigVersion,
    /// Id of the change.
    pub change_id: ChangeId,
    /// Operator who made the change.
    pub operator: OperatorId,
    /// Reason that the operator gave.
    pub reason: String,
    /// Leader's wall-clock time when it proposed the change, in ms since the
    /// Unix epoch. It is informational; no decision depends on it.
    pub proposed_unix_ms: u64,
    /// Action taken, for example `files` or `rollback to 3`.
    pub action: String,
}

/// `LearnerStatus` describes a learner: a replica that receives the leader's
/// log but has no vote.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LearnerStatus {
    /// Replica id.
    pub replica_id: ReplicaId,
    /// Index of the last log entry that it is known to store.
    pub match_index: u64,
}

/// `ControlStatus` answers `GET /v1/status` at a control host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ControlStatus {
    /// Host that answered.
    pub host_id: HostId,
    /// Replica id.
    pub replica_id: ReplicaId,
    /// `leader`, `follower`, `candidate`, `learner` or `stopped`.
    pub role: String,
    /// Current term.
    pub term: u64,
    /// Current leader, if this host knows it.
    pub leader: Option<ReplicaId>,
    /// Index of the last committed log entry.
    pub commit_index: u64,
    /// Index of the last log entry on this host's disk.
    pub last_index: u64,
    /// Configuration version in force on this host.
    pub config_version: ConfigVersion,
    /// Number of recorded claims.
    pub claims: u64,
    /// Voting members of the group.
    pub voters: Vec<ReplicaId>,
    /// Learners of this leader; empty on other hosts.
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
    /// Number of backend servers that lease their slots to this host.
    pub servers: u32,
    /// Total number of slots of those servers.
    pub slots: u32,
    /// Number of slots in use.
    pub slots_busy: u32,
    /// Number of tasks that wait for a slot.
    pub queued_tasks: u32,
    /// Number of jobs that have not been answered yet.
    pub jobs: u32,
    /// Peer entry hosts heard from within the last second.
    pub peers: Vec<HostId>,
}
