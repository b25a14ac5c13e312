//! What several test files share.

// Justification: each test file uses only a part of this module.
#![allow(dead_code)]

pub mod clients;
pub mod cluster;
pub mod memory_files;

use hornbeam_control::{ChangeCommand, Command};
use hornbeam_core::config::Configuration;

/// Makes a change whose configuration names the change.
pub fn change(expected_version: u64, change_id: &str, operator: &str) -> ChangeCommand {
    ChangeCommand {
        expected_version,
        change_id: change_id.into(),
        operator: operator.into(),
        reason: "test".into(),
        action: "files".into(),
        proposed_unix_ms: 0,
        configuration: Configuration {
            site: change_id.into(),
            ..Configuration::default()
        },
    }
}

/// Makes a command of a change.
pub fn change_command(expected_version: u64, change_id: &str, operator: &str) -> Command {
    Command::Change(Box::new(change(expected_version, change_id, operator)))
}
