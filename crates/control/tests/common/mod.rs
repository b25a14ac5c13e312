//! Helpers shared by the tests.

// Justification: each test file uses only a part of this module.
#![allow(dead_code)]

pub mod clients;
pub mod cluster;
pub mod faults;
pub mod invariants;
pub mod memory_files;

use hornbeam_control::{ChangeCommand, Command};
use hornbeam_core::config::Configuration;
use proptest::test_runner::{Config, RngSeed};

/// Gets a proptest configuration that runs the same cases every time.
/// PROPTEST_CASES and PROPTEST_RNG_SEED override it.
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

/// Creates a change whose configuration has the change id as its site.
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

/// Creates the command of such a change.
pub fn change_command(expected_version: u64, change_id: &str, operator: &str) -> Command {
    Command::Change(Box::new(change(expected_version, change_id, operator)))
}
