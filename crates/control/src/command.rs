//! Commands of the replicated log and their results.

use hornbeam_core::config::Configuration;
use hornbeam_core::ids::{ChangeId, ClaimKey, ConfigVersion, JobId, OperatorId, ReplicaId};
use serde::{Deserialize, Serialize};

/// `Command` is the content of a log entry. It is encoded with `bincode`, so
/// no type inside may use internally tagged enums or skipped fields.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Commits earlier entries at the start of a term.
    Noop,
    /// Changes the configuration.
    Change(Box<ChangeCommand>),
    /// Claims a request that is not repeatable.
    Claim(ClaimCommand),
    /// Replaces the set of voting members.
    Members(MembersCommand),
    /// Publishes a whole configuration document; the highest version wins.
    Publish(Box<PublishCommand>),
}

/// `ChangeCommand` puts a configuration in force if the version matches.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ChangeCommand {
    /// Version that must be in force.
    pub expected_version: ConfigVersion,
    /// Identity of the change across resends.
    pub change_id: ChangeId,
    /// Who makes the change.
    pub operator: OperatorId,
    /// Why.
    pub reason: String,
    /// What is done, for the audit trail.
    pub action: String,
    /// Wall clock of the proposer, in ms since the Unix epoch.
    pub proposed_unix_ms: u64,
    /// The configuration, already checked.
    pub configuration: Configuration,
}

/// `MembersCommand` replaces the set of voting members. It differs from the
/// present one by exactly one member.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MembersCommand {
    /// Voting members from now on.
    pub voters: Vec<ReplicaId>,
    /// Identity of the change in the audit trail.
    pub change_id: ChangeId,
    /// Who makes the change.
    pub operator: OperatorId,
    /// Why.
    pub reason: String,
    /// Wall clock of the proposer, in ms since the Unix epoch.
    pub proposed_unix_ms: u64,
}

/// `PublishCommand` puts a document in force unless one of an equal or higher
/// version is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PublishCommand {
    /// Version that the operator gave to the document.
    pub version: ConfigVersion,
    /// The document, already checked.
    pub document: String,
    /// Wall clock of the proposer, in ms since the Unix epoch.
    pub proposed_unix_ms: u64,
}

/// `PublishResult` is the outcome of a [`PublishCommand`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishResult {
    /// The document is in force.
    InForce,
    /// A document of this equal or higher version stays in force.
    Superseded(ConfigVersion),
}

/// `ChangeResult` is the outcome of a [`ChangeCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeResult {
    /// In force as this version.
    Accepted(ConfigVersion),
    /// Another change made the current version.
    Conflict {
        /// Version in force when the change was decided.
        current_version: ConfigVersion,
        /// Change that made it.
        winner_change_id: ChangeId,
        /// Who made it.
        winner_operator: OperatorId,
    },
}

/// `ClaimCommand` records that a request is about to run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ClaimCommand {
    /// Request to claim.
    pub key: ClaimKey,
    /// Job that claims; the same job may claim again.
    pub token: JobId,
    /// From this time on the request must not start, in ms since the epoch.
    pub valid_until_unix_ms: u64,
    /// Wall clock of the proposing leader, in ms since the epoch. Replicas
    /// expire claims by the largest such value in the log, not by their own
    /// clocks, so all of them decide alike.
    pub now_unix_ms: u64,
}

/// `ClaimResult` is the outcome of a [`ClaimCommand`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The token holds the claim.
    Recorded,
    /// Another token holds it.
    AlreadyClaimed,
    /// The validity has passed.
    Expired,
}

/// `CommandResult` is the outcome of a [`Command`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandResult {
    /// Of [`Command::Noop`].
    Noop,
    /// Of [`Command::Change`].
    Change(ChangeResult),
    /// Of [`Command::Claim`].
    Claim(ClaimResult),
    /// Of [`Command::Members`].
    Members,
    /// Of [`Command::Publish`].
    Publish(PublishResult),
}
