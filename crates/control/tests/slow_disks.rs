//! Groups whose disks take longer to sync than an election timeout.

mod common;

use std::time::Duration;

use common::change_command;
use common::cluster::{Answer, Cluster};
use googletest::prelude::*;
use hornbeam_control::{ProposalOutcome, ReplicaInput};
use hornbeam_core::event::Event;

/// Time of a sync while the disks are slow: four election timeouts.
const SLOW_SYNC_MS: u64 = 400;

/// Time within which a read must be confirmed.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

const SEEDS: u64 = 30;

/// Guards against a leader that steps down although all voters hear it, because
/// they answer its heartbeats only after their disks have synced. Each leader
/// in turn then loses its quorum, and no read is confirmed.
#[gtest]
fn a_leader_keeps_its_quorum_while_all_disks_are_slow() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(3, seed, 25);
        cluster.run(Duration::from_secs(2));
        let leader = cluster.leader().expect("a leader");
        cluster.events.clear();
        cluster.faults.min_sync_ms = SLOW_SYNC_MS;
        for round in 0..20 {
            let command = change_command(round, &format!("change-{round}"), "operator");
            cluster.send_request(leader, ReplicaInput::Propose(round, command));
            cluster.run(Duration::from_millis(200));
            cluster.send_request(leader, ReplicaInput::Read(1_000 + round));
            cluster.run(READ_TIMEOUT);
            let confirmed = Answer::Read(1_000 + round, true);
            let is_confirmed = cluster
                .answers
                .iter()
                .any(|(_, answer)| *answer == confirmed);
            expect_that!(is_confirmed, eq(true), "seed {seed}, read {round}");
        }
        let steps_down = cluster
            .events
            .iter()
            .filter(|event| **event == Event::LeaderSteppedDown);
        expect_that!(steps_down.count(), eq(0), "seed {seed}");
        // Changes are decided when the disks have synced them.
        cluster.run(Duration::from_secs(3));
        let is_decided = |(_, answer): &&(_, Answer)| {
            matches!(answer, Answer::Proposal(_, ProposalOutcome::Applied(_)))
        };
        let decided = cluster.answers.iter().filter(is_decided);
        expect_that!(decided.count(), eq(20), "seed {seed}");
    }
}
