//! Control group in the test process, and helpers to run the binary against it.

// Justification: each test binary uses only part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use hornbeam_control::ReplicaOptions;
use hornbeam_dispatch::DispatchOptions;
use hornbeam_node::{ControlHost, ControlOptions, EntryHost, EntryOptions, Host};
use serde_json::Value;
use tempfile::TempDir;
use tokio::runtime::Runtime;

const CREDENTIAL: &str = "operators-secret";

/// `ControlGroup` is a control group of one host with operator credential files.
pub struct ControlGroup {
    /// Runtime of the host.
    pub runtime: Runtime,
    /// The host.
    pub host: ControlHost,
    /// Temporary folder for credentials and data.
    pub folder: TempDir,
}

/// `CommandResult` is the result of one command.
pub struct CommandResult {
    /// Exit code, if the command was not killed by a signal.
    pub exit: Option<i32>,
    /// Standard output parsed as JSON; null if it is not JSON.
    pub json: Value,
}

impl ControlGroup {
    /// Starts the host.
    pub fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("good.key"), format!("{CREDENTIAL}\n")).unwrap();
        std::fs::write(folder.path().join("bad.key"), "another secret\n").unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let options = ControlOptions {
            host_id: "control-0".into(),
            replica: ReplicaOptions {
                id: 1,
                initial_voters: vec![1],
                ..ReplicaOptions::default()
            },
            new_group: true,
            data_folder: folder.path().join("data"),
            http_listen: any,
            link_listen: any,
            peers: Vec::new(),
            link_credential: None,
            operator_credential: Some(CREDENTIAL.into()),
            fleet: None,
        };
        let runtime = Runtime::new().unwrap();
        let host = runtime.block_on(ControlHost::start(options)).unwrap();
        Self {
            runtime,
            host,
            folder,
        }
    }

    /// Runs a command with JSON output and a credential file.
    pub fn run(&self, credential: &str, arguments: &[&str]) -> CommandResult {
        let output = self.output("json", credential, arguments);
        CommandResult {
            exit: output.status.code(),
            json: serde_json::from_slice(&output.stdout).unwrap_or_default(),
        }
    }

    /// Runs a command with a credential file.
    pub fn output(&self, format: &str, credential: &str, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_hornbeam"))
            .args(arguments)
            .env_clear()
            .env("HORNBEAM_OUTPUT", format)
            .env("HORNBEAM_CONTROL", self.host.http_address().to_string())
            .env(
                "HORNBEAM_CREDENTIAL_FILE",
                self.folder.path().join(credential),
            )
            .env("HORNBEAM_OPERATOR", "aigerim")
            .current_dir(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../config"))
            .output()
            .unwrap()
    }

    /// Applies the base file and an overlay.
    pub fn apply(&self, overlay: &str, change_id: &str, expected_version: &str) -> CommandResult {
        let files = ["apply", "--base", "base.toml", "--overlay", overlay];
        let note = ["--expected-version", expected_version, "--reason", "test"];
        let id = ["--change-id", change_id];
        self.run("good.key", &[&files[..], &note, &id].concat())
    }

    /// Starts an entry host that follows the control host.
    pub fn start_entry(&self) -> EntryHost {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let options = EntryOptions {
            dispatch: DispatchOptions {
                host_id: "entry-0".into(),
                failure_domain: "almaty-a".into(),
                ..DispatchOptions::default()
            },
            http_listen: any,
            link_listen: any,
            peers: Vec::new(),
            control_hosts: vec![(1, self.host.link_address())],
            link_credential: None,
            operator_credential: None,
            max_body_bytes: 1 << 20,
            max_total_body_bytes: 16 << 20,
            cancel_connections_per_server: 4,
        };
        self.runtime.block_on(EntryHost::start(options)).unwrap()
    }

    /// Starts a control host that joins the group as a learner.
    pub fn start_learner(&self) -> ControlHost {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let options = ControlOptions {
            host_id: "control-1".into(),
            replica: ReplicaOptions {
                id: 2,
                initial_voters: vec![1],
                ..ReplicaOptions::default()
            },
            new_group: false,
            data_folder: self.folder.path().join("learner"),
            http_listen: any,
            link_listen: any,
            peers: vec![(1, self.host.link_address())],
            link_credential: None,
            operator_credential: Some(CREDENTIAL.into()),
            fleet: None,
        };
        self.runtime.block_on(ControlHost::start(options)).unwrap()
    }

    /// Stops the host.
    pub fn stop(self) {
        self.runtime.block_on(self.host.stop());
    }
}

/// Polls a condition every 100 ms until it holds, for at most 20 s.
pub fn eventually<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    for _ in 0..200 {
        if let Some(found) = poll() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("the expected state was not reached within 20 s");
}
