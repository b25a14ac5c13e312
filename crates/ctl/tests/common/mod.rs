//! A control group in the test's process and the binary that is run against it.

// Justification: each test binary uses a part of this module.
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

/// `Group` is a control group of one host with the files of its operators.
pub struct Group {
    /// Runs the host.
    pub runtime: Runtime,
    /// The host.
    pub host: ControlHost,
    /// Credentials and data.
    pub folder: TempDir,
}

/// `Ran` is what one command did.
pub struct Ran {
    /// Its exit code.
    pub exit: Option<i32>,
    /// What it printed.
    pub json: Value,
}

impl Group {
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
    pub fn run(&self, credential: &str, arguments: &[&str]) -> Ran {
        let output = self.output("json", credential, arguments);
        Ran {
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

    /// Puts the base file and an overlay in force.
    pub fn apply(&self, overlay: &str, change_id: &str, expected_version: &str) -> Ran {
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

    /// Starts a control host without a vote that joins the group.
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

/// Repeats a look until it succeeds, for at most 20 s.
pub fn eventually<T>(mut look: impl FnMut() -> Option<T>) -> T {
    for _ in 0..200 {
        if let Some(found) = look() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("the expected state was not reached within 20 s");
}
