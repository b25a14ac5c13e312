//! What several test files share.

// Justification: each test file uses only a part of this module.
#![allow(dead_code)]

pub mod checks;
pub mod clients;
pub mod cluster;
pub mod faults;
pub mod memory_files;

use hornbeam_control::{ChangeCommand, Command};
use hornbeam_core::config::Configuration;
use proptest::test_runner::{Config, RngSeed};

/// Gets a configuration with the same cases in every run. PROPTEST_CASES and
/// PROPTEST_RNG_SEED choose others.
pub fn fixed_cases(cases: u32) -> Config {
    let default = Config::default();
    let is_chosen = std::env::var_os("PROPTEST_CASES").is_some();
    Config {
        cases: if is_chosen { default.cases } else { cases },
        rng_seed: match default.rng_seed {
            RngSeed::Random => RngSeed::Fixed(1),
            chosen => chosen,
        },
        failure_persistence: None,
        ..default
    }
}

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
