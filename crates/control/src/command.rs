//! Commands of the replicated log and their results.

use hornbeam_core::config::Configuration;
use hornbeam_core::ids::{
    ChangeId, ClaimKey, ConfigVersion, FailureDomainId, JobId, OperatorId, ReplicaId,
};
use serde::{Deserialize, Serialize};

/// `Command` is the payload of a log entry. It is encoded with `bincode`, so
/// no type inside may use internally tagged enums or skipped fields.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Changes nothing; it lets a new leader commit the entries of earlier terms.
    Noop,
    /// Changes the configuration.
    Change(Box<ChangeCommand>),
    /// Claims a request that is not repeatable.
    Claim(ClaimCommand),
    /// Replaces the set of voting members.
    Members(MembersCommand),
    /// Publishes a whole configuration document; the highest version wins.
    Publish(Box<PublishCommand>),
    /// Evacuates a failure domain or returns it to service. Builds before this
    /// command cannot decode it, so a leader proposes it only once all voters
    /// that it can reach accept it.
    Evacuate(EvacuateCommand),
}

/// `ChangeCommand` puts a configuration in force if `expected_version` matches.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ChangeCommand {
    /// Version that must be in force for the change to be accepted.
    pub expected_version: ConfigVersion,
    /// Idempotency key: it stays the same when the change is sent again.
    pub change_id: ChangeId,
    /// Operator who makes the change.
    pub operator: OperatorId,
    /// Reason that the operator gave, for the audit trail.
    pub reason: String,
    /// Kind of change, for the audit trail.
    pub action: String,
    /// Wall clock of the proposer, in ms since the Unix epoch.
    pub proposed_unix_ms: u64,
    /// The new configuration, already validated.
    pub configuration: Configuration,
}

/// `MembersCommand` replaces the set of voting members. The new set differs
/// from the current one by exactly one member.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MembersCommand {
    /// New set of voting members.
    pub voters: Vec<ReplicaId>,
    /// Id of the change in the audit trail.
    pub change_id: ChangeId,
    /// Operator who makes the change.
    pub operator: OperatorId,
    /// Reason that the operator gave, for the audit trail.
    pub reason: String,
    /// Wall clock of the proposer, in ms since the Unix epoch.
    pub proposed_unix_ms: u64,
}

/// `PublishCommand` puts a document in force unless one of an equal or higher
/// version is already in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PublishCommand {
    /// Version that the operator gave to the document.
    pub version: ConfigVersion,
    /// The document, already validated.
    pub document: String,
    /// Wall clock of the proposer, in ms since the Unix epoch.
    pub proposed_unix_ms: u64,
}

/// `EvacuateCommand` evacuates a failure domain or returns it to service. It
/// states the wanted state, so a repeated command changes nothing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EvacuateCommand {
    /// The failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it is evacuated from now on; false returns it to service.
    pub is_evacuated: bool,
    /// Wall clock of the proposer, in ms since the Unix epoch.
    pub proposed_unix_ms: u64,
}

/// `PublishResult` is the outcome of a [`PublishCommand`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishResult {
    /// The document is in force.
    InForce,
    /// A document of this equal or higher version remains in force.
    Superseded(ConfigVersion),
}

/// `ChangeResult` is the outcome of a [`ChangeCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeResult {
    /// The configuration is in force under this version.
    Accepted(ConfigVersion),
    /// The version in force is not the expected one.
    Conflict {
        /// Version in force when the change was applied.
        current_version: ConfigVersion,
        /// Change that created the current version.
        winner_change_id: ChangeId,
        /// Operator who made that change.
        winner_operator: OperatorId,
    },
}

/// `ClaimCommand` claims a request that must not run twice, before it starts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ClaimCommand {
    /// Key of the request to claim.
    pub key: ClaimKey,
    /// Job that makes the claim; the same job may claim again.
    pub token: JobId,
    /// Time from which on the request must not start, in ms since the Unix epoch.
    pub valid_until_unix_ms: u64,
    /// Wall clock of the proposing leader, in ms since the Unix epoch. Replicas
    /// expire claims by the largest such value in the log instead of their own
    /// clocks, so the result is deterministic.
    pub now_unix_ms: u64,
}

/// `ClaimResult` is the outcome of a [`ClaimCommand`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The claim is held by the job of the command.
    Recorded,
    /// The claim is held by another job.
    AlreadyClaimed,
    /// The validity ended before the claim was applied.
    Expired,
}

/// `CommandResult` is the outcome of a [`Command`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandResult {
    /// Result of [`Command::Noop`].
    Noop,
    /// Result of [`Command::Change`].
    Change(ChangeResult),
    /// Result of [`Command::Claim`].
    Claim(ClaimResult),
    /// Result of [`Command::Members`].
    Members,
    /// Result of [`Command::Publish`].
    Publish(PublishResult),
    /// Result of [`Command::Evacuate`]: the revision of the list after it.
    Evacuated(u64),
}
