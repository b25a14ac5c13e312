//! The replicated state: the result of applying the committed log entries.

use std::collections::VecDeque;
use std::sync::Arc;

use hornbeam_core::Result;
use hornbeam_core::api::operator::AuditEntry;
use hornbeam_core::config::Configuration;
use hornbeam_core::evacuation::EvacuationList;
use hornbeam_core::ids::{ChangeId, ConfigVersion, OperatorId};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::claims::Claims;
use crate::codec;
use crate::command::{
    ChangeCommand, ChangeResult, Command, CommandResult, EvacuateCommand, MembersCommand,
    PublishCommand, PublishResult,
};

/// Maximum number of earlier configurations kept for a rollback. A configuration
/// of 720 teams takes about 60 KB, so all of them take about 4 MB.
pub const MAX_EARLIER_CONFIGURATIONS: usize = 64;

/// Maximum number of entries in the audit trail, two weeks' worth at 1,200
/// changes a day. The oldest quarter is dropped when it is full.
pub const MAX_AUDIT_ENTRIES: usize = 16_384;

/// Maximum number of change results kept to answer repeated changes. The oldest
/// quarter is dropped when it is full. A change that is sent again after that
/// expects an old version, so it gets a conflict and is not applied twice.
pub const MAX_CHANGE_RESULTS: usize = 16_384;

/// `ControlState` is the state that results from the applied log entries.
///
/// It is encoded by [`ControlState::encode`] and not by `serde`, because the
/// layout of a snapshot depends on whether there was an evacuation order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlState {
    base: BaseState,
    evacuations: EvacuationList,
}

/// `BaseState` is the part of the state that builds without evacuations have.
/// Its layout is theirs and must not change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct BaseState {
    version: ConfigVersion,
    configuration: Configuration,
    winner: Winner,
    earlier: VecDeque<(ConfigVersion, Configuration)>,
    audit: Vec<AuditEntry>,
    results: IndexMap<ChangeId, ChangeResult>,
    claims: Claims,
    published: PublishedDocument,
}

/// `PublishedDocument` is a whole configuration with the operator's version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PublishedDocument {
    /// Version of the document, 0 if none was published.
    pub version: ConfigVersion,
    /// Text of the document as the operator sent it.
    pub text: Arc<str>,
}

/// `Winner` is the change that created the current version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct Winner {
    change_id: ChangeId,
    operator: OperatorId,
}

impl ControlState {
    /// Gets the version in force, 0 if none.
    pub fn version(&self) -> ConfigVersion {
        self.base.version
    }

    /// Gets the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.base.configuration
    }

    /// Gets the configuration of a version, if it is still kept.
    pub fn configuration_at(&self, version: ConfigVersion) -> Option<&Configuration> {
        if version == self.base.version {
            return Some(&self.base.configuration);
        }
        let kept = self.base.earlier.iter().find(|(at, _)| *at == version);
        kept.map(|(_, configuration)| configuration)
    }

    /// Gets the audit trail, oldest first.
    pub fn audit_trail(&self) -> &[AuditEntry] {
        &self.base.audit
    }

    /// Gets the published document in force.
    pub fn published_document(&self) -> &PublishedDocument {
        &self.base.published
    }

    /// Gets the evacuated failure domains.
    pub fn evacuations(&self) -> &EvacuationList {
        &self.evacuations
    }

    /// Gets the number of claims held.
    pub fn claim_count(&self) -> usize {
        self.base.claims.len()
    }

    /// Gets the first result of a change, if it is still kept.
    pub fn result(&self, change_id: &str) -> Option<&ChangeResult> {
        self.base.results.get(change_id)
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> CommandResult {
        match command {
            Command::Noop => CommandResult::Noop,
            Command::Change(change) => CommandResult::Change(self.apply_change(change)),
            Command::Claim(claim) => CommandResult::Claim(self.base.claims.apply(claim)),
            Command::Members(members) => {
                self.push_audit_entry(members_audit_entry(members));
                CommandResult::Members
            }
            Command::Publish(publish) => CommandResult::Publish(self.publish(publish)),
            Command::Evacuate(order) => CommandResult::Evacuated(self.evacuate(order)),
        }
    }

    /// Encodes the state for a snapshot. Without an evacuation order so far, the
    /// layout is that of the previous build, so that hosts of both builds can
    /// install it; after the first one, the list follows.
    ///
    /// # Errors
    /// `Codec` if the state cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = codec::encode(&self.base)?;
        if self.evacuations.revision > 0 {
            bytes.extend(codec::encode(&self.evacuations)?);
        }
        Ok(bytes)
    }

    /// Decodes the state of a snapshot in either layout.
    ///
    /// # Errors
    /// `Corrupt` if the bytes are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (base, rest) = codec::decode_first(bytes)?;
        let evacuations = if rest.is_empty() {
            EvacuationList::default()
        } else {
            codec::decode(rest)?
        };
        Ok(Self { base, evacuations })
    }

    fn apply_change(&mut self, change: &ChangeCommand) -> ChangeResult {
        if let Some(first) = self.base.results.get(&change.change_id) {
            return first.clone();
        }
        let result = if change.expected_version == self.base.version {
            self.accept(change)
        } else {
            self.conflict()
        };
        evict_oldest_results(&mut self.base.results);
        self.base
            .results
            .insert(change.change_id.clone(), result.clone());
        result
    }

    fn publish(&mut self, publish: &PublishCommand) -> PublishResult {
        if publish.version <= self.base.published.version {
            return PublishResult::Superseded(self.base.published.version);
        }
        self.base.published = PublishedDocument {
            version: publish.version,
            text: Arc::from(publish.document.as_str()),
        };
        self.push_audit_entry(publish_audit_entry(publish));
        PublishResult::InForce
    }

    /// Applies an evacuation order and gets the revision of the list after it. A
    /// repeated order changes nothing, so it neither gets a revision nor an
    /// entry in the audit trail.
    fn evacuate(&mut self, order: &EvacuateCommand) -> u64 {
        let failure_domains = &mut self.evacuations.failure_domains;
        let is_changed = if order.is_evacuated {
            failure_domains.insert(order.failure_domain.clone())
        } else {
            failure_domains.remove(&order.failure_domain)
        };
        if is_changed {
            self.evacuations.revision += 1;
            self.push_audit_entry(evacuation_audit_entry(self.evacuations.revision, order));
        }
        self.evacuations.revision
    }

    fn accept(&mut self, change: &ChangeCommand) -> ChangeResult {
        let replaced =
            std::mem::replace(&mut self.base.configuration, change.configuration.clone());
        if self.base.version > 0 {
            self.base.earlier.push_back((self.base.version, replaced));
        }
        if self.base.earlier.len() > MAX_EARLIER_CONFIGURATIONS {
            self.base.earlier.pop_front();
        }
        self.base.version += 1;
        self.base.winner = Winner {
            change_id: change.change_id.clone(),
            operator: change.operator.clone(),
        };
        self.push_audit_entry(change_audit_entry(self.base.version, change));
        ChangeResult::Accepted(self.base.version)
    }

    fn conflict(&self) -> ChangeResult {
        ChangeResult::Conflict {
            current_version: self.base.version,
            winner_change_id: self.base.winner.change_id.clone(),
            winner_operator: self.base.winner.operator.clone(),
        }
    }

    fn push_audit_entry(&mut self, entry: AuditEntry) {
        if self.base.audit.len() >= MAX_AUDIT_ENTRIES {
            self.base.audit.drain(..MAX_AUDIT_ENTRIES / 4);
        }
        self.base.audit.push(entry);
    }
}

fn evict_oldest_results(results: &mut IndexMap<ChangeId, ChangeResult>) {
    if results.len() >= MAX_CHANGE_RESULTS {
        results.drain(..MAX_CHANGE_RESULTS / 4);
    }
}

fn change_audit_entry(version: ConfigVersion, change: &ChangeCommand) -> AuditEntry {
    AuditEntry {
        version,
        change_id: change.change_id.clone(),
        operator: change.operator.clone(),
        reason: change.reason.clone(),
        proposed_unix_ms: change.proposed_unix_ms,
        action: change.action.clone(),
    }
}

fn publish_audit_entry(publish: &PublishCommand) -> AuditEntry {
    AuditEntry {
        version: publish.version,
        proposed_unix_ms: publish.proposed_unix_ms,
        action: format!("publish a document of {} bytes", publish.document.len()),
        ..AuditEntry::default()
    }
}

fn evacuation_audit_entry(revision: u64, order: &EvacuateCommand) -> AuditEntry {
    let failure_domain = &order.failure_domain;
    let action = if order.is_evacuated {
        format!("evacuate failure domain {failure_domain}")
    } else {
        format!("return failure domain {failure_domain} to service")
    };
    AuditEntry {
        change_id: format!("evacuation-{revision}"),
        proposed_unix_ms: order.proposed_unix_ms,
        action,
        ..AuditEntry::default()
    }
}

fn members_audit_entry(members: &MembersCommand) -> AuditEntry {
    AuditEntry {
        version: 0,
        change_id: members.change_id.clone(),
        operator: members.operator.clone(),
        reason: members.reason.clone(),
        proposed_unix_ms: members.proposed_unix_ms,
        action: format!("members {:?}", members.voters),
    }
}
