//! Benchmark of syncs per change, apply time and restart time.
//!
//! Run it with `cargo run --release -p hornbeam-control --example restart`. It
//! writes to a temporary folder and prints one line per number of changes.

use std::collections::VecDeque;
use std::path::Path;
use std::time::{Duration, Instant};

use hornbeam_control::{
    ChangeCommand, Command, ControlState, DiskStorage, PersistRequest, Replica, ReplicaInput,
    ReplicaOptions, ReplicaOutput,
};
use hornbeam_core::config::{Configuration, Institution, Service, Team};
use hornbeam_core::{Error, Result};

/// Numbers of changes before the restarts.
const CHANGES: [u64; 4] = [100, 400, 1_600, 6_400];

/// Number of restarts of which the median is printed.
const RESTARTS: usize = 9;

/// Number of changes in one burst, which arrive while one sync is in flight.
const BURST_CHANGES: usize = 16;

const TEAM_COUNT: u32 = 40;

const REPLICA_ID: u64 = 1;

/// A replica that is the only member of its group, and its storage.
struct Host {
    replica: Replica,
    storage: DiskStorage,
    now: Duration,
}

impl Host {
    fn open(folder: &Path) -> Result<Self> {
        let (storage, recovered) = DiskStorage::open(folder, REPLICA_ID, &[REPLICA_ID])?;
        let options = ReplicaOptions {
            id: REPLICA_ID,
            initial_voters: vec![REPLICA_ID],
            ..ReplicaOptions::default()
        };
        let replica = Replica::new(options, recovered, Duration::ZERO)?;
        let now = Duration::ZERO;
        Ok(Self {
            replica,
            storage,
            now,
        })
    }

    /// Applies all inputs, then executes persist requests until none is left.
    fn run_inputs(&mut self, inputs: impl IntoIterator<Item = ReplicaInput>) -> Result<()> {
        let mut requests = VecDeque::new();
        for input in inputs {
            self.apply_input(input, &mut requests);
        }
        while let Some(request) = requests.pop_front() {
            self.storage.persist(&request)?;
            self.apply_input(ReplicaInput::Persisted(request.id), &mut requests);
        }
        Ok(())
    }

    fn apply_input(&mut self, input: ReplicaInput, requests: &mut VecDeque<PersistRequest>) {
        for output in self.replica.step(self.now, input) {
            if let ReplicaOutput::Persist(request) = output {
                requests.push_back(request);
            }
        }
    }

    fn become_leader(&mut self) -> Result<()> {
        while !self.replica.is_leader() {
            self.now = self.replica.next_wakeup();
            self.run_inputs([ReplicaInput::Tick])?;
        }
        Ok(())
    }
}

fn configuration() -> Configuration {
    let teams = (0..TEAM_COUNT).map(|number| (format!("feeding-team-{number}"), Team::default()));
    let institution = Institution {
        teams: teams.collect(),
        ..Institution::default()
    };
    let service = Service {
        institution: "dala-green-lawn".into(),
        ..Service::default()
    };
    Configuration {
        site: "dala".into(),
        failure_domains: ["a", "b", "c", "d"]
            .map(|name| format!("almaty-{name}"))
            .into(),
        entry_hosts: 9,
        services: [("subscribe".into(), service)].into(),
        institutions: [("dala-green-lawn".into(), institution)].into(),
    }
}

fn change(expected_version: u64) -> Command {
    Command::Change(Box::new(ChangeCommand {
        expected_version,
        change_id: format!("8f14e45f-ceea-467a-9d3c-{expected_version:012}"),
        operator: "aigerim".into(),
        reason: "quota before the rain".into(),
        action: "files".into(),
        proposed_unix_ms: 1_790_000_000_000,
        configuration: configuration(),
    }))
}

fn measure(changes: u64) -> Result<()> {
    let folder = tempfile::tempdir()?;
    let mut host = Host::open(folder.path())?;
    host.become_leader()?;
    let syncs_before = host.storage.syncs();
    let started = Instant::now();
    for version in 0..changes {
        host.run_inputs([ReplicaInput::Propose(version, change(version))])?;
    }
    let change_us = started.elapsed().as_micros() as f64 / changes as f64;
    let syncs = (host.storage.syncs() - syncs_before) as f64 / changes as f64;
    let disk_bytes = host.storage.size_bytes();
    drop(host);
    let restart_ms = median_restart_ms(folder.path())?;
    println!("{changes:>7} {syncs:>16.3} {change_us:>13.0} {restart_ms:>10.2} {disk_bytes:>10}");
    Ok(())
}

fn median_restart_ms(folder: &Path) -> Result<f64> {
    let mut times_ms = Vec::new();
    for _ in 0..RESTARTS {
        let started = Instant::now();
        let host = Host::open(folder)?;
        times_ms.push(started.elapsed().as_secs_f64() * 1_000.0);
        drop(host);
    }
    times_ms.sort_unstable_by(f64::total_cmp);
    Ok(times_ms[RESTARTS / 2])
}

/// Gets the syncs per change when changes arrive in bursts.
fn burst_syncs(changes: u64) -> Result<f64> {
    let folder = tempfile::tempdir()?;
    let mut host = Host::open(folder.path())?;
    host.become_leader()?;
    let syncs_before = host.storage.syncs();
    for first in (0..changes).step_by(BURST_CHANGES) {
        let versions = first..first + BURST_CHANGES as u64;
        host.run_inputs(versions.map(|version| ReplicaInput::Propose(version, change(version))))?;
    }
    Ok((host.storage.syncs() - syncs_before) as f64 / changes as f64)
}

fn apply_us(changes: u64) -> Result<f64> {
    let commands: Vec<Command> = (0..changes).map(change).collect();
    let mut state = ControlState::default();
    let started = Instant::now();
    for command in &commands {
        state.apply(command);
    }
    let elapsed_us = started.elapsed().as_micros() as f64;
    if state.version() != changes {
        return Err(Error::corrupt("a change was not accepted"));
    }
    Ok(elapsed_us / changes as f64)
}

fn main() -> Result<()> {
    println!("changes syncs_per_change us_per_change restart_ms disk_bytes");
    for changes in CHANGES {
        measure(changes)?;
    }
    let syncs = burst_syncs(CHANGES[2])?;
    println!("bursts of {BURST_CHANGES}: {syncs:.3} syncs per change");
    println!("apply: {:.2} us per change", apply_us(CHANGES[3])?);
    Ok(())
}
