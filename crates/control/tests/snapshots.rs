//! Tests of the snapshot policy.

use std::time::Duration;

use googletest::prelude::*;
use hornbeam_control::{
    ClaimCommand, Command, DiskStorage, Replica, ReplicaInput, ReplicaOptions, ReplicaOutput,
};

const CLAIMS: u64 = 4_000;
const CLAIM_KEY_BYTES: usize = 1_000;
const SNAPSHOT_ENTRIES: u64 = 64;

/// Guards against snapshots that write many times the bytes of the log because
/// the state has many claims, and against a log that is never compacted.
#[gtest]
fn snapshots_cost_no_more_than_the_log() -> googletest::Result<()> {
    let folder = tempfile::tempdir()?;
    let (_, recovered) = DiskStorage::open(folder.path(), 1, &[1])?;
    let options = ReplicaOptions {
        id: 1,
        initial_voters: vec![1],
        snapshot_entries: SNAPSHOT_ENTRIES,
        ..ReplicaOptions::default()
    };
    let mut replica = Replica::new(options, recovered, Duration::ZERO)?;
    let mut written = WrittenSnapshots::default();
    while !replica.is_leader() {
        let now = replica.next_wakeup();
        written.step(&mut replica, now, ReplicaInput::Tick);
    }
    for number in 0..CLAIMS {
        let input = ReplicaInput::Propose(number, claim(number));
        let now = replica.next_wakeup();
        written.step(&mut replica, now, input);
    }
    let log_bytes = CLAIMS as usize * CLAIM_KEY_BYTES;
    expect_that!(written.snapshots, gt(CLAIMS / SNAPSHOT_ENTRIES / 8));
    expect_that!(written.snapshot_bytes, lt(8 * log_bytes));
    expect_that!(written.last_snapshot_bytes, gt(log_bytes / 4));
    Ok(())
}

/// Snapshots that a replica requested to persist.
#[derive(Default)]
struct WrittenSnapshots {
    snapshots: u64,
    snapshot_bytes: usize,
    last_snapshot_bytes: usize,
}

impl WrittenSnapshots {
    /// Steps a replica and completes every persist request immediately.
    fn step(&mut self, replica: &mut Replica, now: Duration, input: ReplicaInput) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            for output in replica.step(now, input) {
                let ReplicaOutput::Persist(request) = output else {
                    continue;
                };
                if let Some(snapshot) = &request.snapshot {
                    self.snapshots += 1;
                    self.snapshot_bytes += snapshot.state.len();
                    self.last_snapshot_bytes = snapshot.state.len();
                }
                next = Some(ReplicaInput::Persisted(request.id));
            }
        }
    }
}

fn claim(number: u64) -> Command {
    Command::Claim(ClaimCommand {
        key: format!("{number:0CLAIM_KEY_BYTES$}"),
        token: format!("job-{number}"),
        valid_until_unix_ms: u64::MAX / 2,
        now_unix_ms: number,
    })
}
