//! The state that the log builds.

use hornbeam_core::api::operator::AuditEntry;
use hornbeam_core::config::Configuration;
use hornbeam_core::ids::ConfigVersion;
use serde::{Deserialize, Serialize};

/// `ControlState` is the applied state of a replica.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ControlState {
    version: ConfigVersion,
    configuration: Configuration,
    audit: Vec<AuditEntry>,
}

impl ControlState {
    /// Gets the version in force, 0 if none.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Gets the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Gets an earlier configuration, if it is still kept.
    pub fn configuration_at(&self, version: ConfigVersion) -> Option<&Configuration> {
        (version == self.version).then_some(&self.configuration)
    }

    /// Gets the audit trail, oldest first.
    pub fn audit(&self) -> &[AuditEntry] {
        &self.audit
    }

    /// Gets the number of claims held.
    pub fn claims(&self) -> usize {
        0
    }
}
