//! Tests of the first start of a replica, interrupted at every file operation.

mod common;

use std::time::Duration;

use common::memory_files::{FailurePoint, MemoryFiles};
use hornbeam_control::{
    Command, DiskStorage, Entry, Message, Replica, ReplicaInput, ReplicaOptions, ReplicaOutput,
};
use hornbeam_core::Result;
use hornbeam_core::ids::ReplicaId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const OWN_ID: ReplicaId = 3;
const VOTERS: [ReplicaId; 3] = [1, 2, OWN_ID];
const NOW: Duration = Duration::from_secs(1);

/// Starts a replica on a folder; `voters` are those of its settings.
fn start(files: &MemoryFiles, voters: &[ReplicaId]) -> Result<(Replica, DiskStorage<MemoryFiles>)> {
    let (storage, recovered) = DiskStorage::open_with(files.clone(), OWN_ID, voters)?;
    let options = ReplicaOptions {
        id: OWN_ID,
        initial_voters: voters.to_vec(),
        ..ReplicaOptions::default()
    };
    let replica = Replica::new(options, recovered, Duration::ZERO)?;
    Ok((replica, storage))
}

/// Handles an input and completes its persist requests.
fn step(
    (replica, storage): &mut (Replica, DiskStorage<MemoryFiles>),
    input: ReplicaInput,
) -> Result<()> {
    let mut inputs = vec![input];
    while let Some(input) = inputs.pop() {
        for output in replica.step(NOW, input) {
            if let ReplicaOutput::Persist(request) = output {
                storage.persist(&request)?;
                inputs.push(ReplicaInput::Persisted(request.id));
            }
        }
    }
    Ok(())
}

fn start_and_persist(files: &MemoryFiles, voters: &[ReplicaId]) -> Result<Replica> {
    let mut host = start(files, voters)?;
    step(&mut host, ReplicaInput::Tick)?;
    Ok(host.0)
}

/// Guards against a replica that knows no voters for good because its first start was
/// interrupted after its identity was written; the settings name them only then.
#[test]
fn interrupted_first_start_keeps_the_voters() {
    for failure in [FailurePoint::Before, FailurePoint::After] {
        for seed in 0..20 {
            let mut operation = 1;
            loop {
                let files = MemoryFiles::default();
                files.fail_at(operation, failure);
                let is_complete = start_and_persist(&files, &VOTERS).is_ok();
                files.crash(&mut ChaCha8Rng::seed_from_u64(seed));
                let identity = DiskStorage::identity_with(files.clone()).expect("no damage");
                // Without an identity the folder counts as new.
                let settings: &[ReplicaId] = identity.map_or(&VOTERS, |_| &[]);
                assert!(identity.is_none_or(|identity| identity.knows_voters));
                let replica = start_and_persist(&files, settings).expect("a crash is no damage");
                assert_eq!(replica.voters(), VOTERS, "after operation {operation}");
                if is_complete {
                    break;
                }
                operation += 1;
            }
        }
    }
}

/// Guards against folders of a former version that stay without voters: it wrote
/// the identity before the voters, and at its next start a snapshot without any.
#[test]
fn folder_of_a_former_version_without_voters_is_completed() {
    for entries in [None, Some(0), Some(3)] {
        let files = MemoryFiles::default();
        let mut host = start(&files, &[]).expect("the folder is new");
        if let Some(entries) = entries {
            let append = Message::Append {
                term: 1,
                previous_index: 0,
                previous_term: 0,
                entries: (1..=entries)
                    .map(|index| Entry {
                        index,
                        term: 1,
                        command: Command::Noop,
                    })
                    .collect(),
                commit: 0,
                round: 1,
            };
            let append = ReplicaInput::Received(1, Box::new(append));
            step(&mut host, append).expect("no failure is injected");
        }
        drop(host);
        let identity = DiskStorage::identity_with(files.clone()).expect("no damage");
        assert!(identity.is_some_and(|identity| !identity.knows_voters));
        let replica = start_and_persist(&files, &VOTERS).expect("no damage");
        assert_eq!(replica.voters(), VOTERS);
        assert_eq!(replica.last_index(), entries.unwrap_or(0));
        let identity = DiskStorage::identity_with(files.clone()).expect("no damage");
        assert!(identity.is_some_and(|identity| identity.knows_voters));
        let restarted = start_and_persist(&files, &[]).expect("no damage");
        assert_eq!(restarted.voters(), VOTERS);
        assert_eq!(restarted.last_index(), entries.unwrap_or(0));
    }
}
