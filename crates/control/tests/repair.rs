//! Repair of a group whose hosts lose their disks or stop responding, and
//! publication of documents.

mod common;
#[path = "../../core/tests/common/event_names.rs"]
mod event_names;

use std::collections::BTreeSet;
use std::time::Duration;

use common::cluster::{Answer, Cluster};
use hornbeam_control::{
    Command, CommandResult, MembersCommand, ProposalOutcome, PublishCommand, PublishResult,
    RepairOptions, ReplicaInput, host_of,
};

/// Minimum time between two losses.
const LOSS_INTERVAL: Duration = Duration::from_secs(4);

/// Number of applied entries that triggers a snapshot.
const SNAPSHOT_ENTRIES: u64 = 16;

/// Gets the id of a replica on a host.
const fn replica_id(host: u64, replica: u64) -> u64 {
    host << 32 | replica
}

/// Starts a group of three voters and some learners.
fn group(learners: u64, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(0, seed, SNAPSHOT_ENTRIES);
    let voters = vec![replica_id(1, 0), replica_id(2, 0), replica_id(3, 0)];
    for voter in &voters {
        cluster.add_host(*voter, voters.clone());
    }
    for host in 4..4 + learners {
        cluster.add_host(replica_id(host, 9), voters.clone());
    }
    cluster
}

/// Runs the group and proposes the repair steps that its leader computes.
fn run(cluster: &mut Cluster, duration: Duration) {
    let options = RepairOptions::default();
    let end = cluster.now + duration;
    while cluster.now < end {
        cluster.run(Duration::from_millis(100));
        let Some(leader) = cluster.leader() else {
            continue;
        };
        let next = cluster
            .replica(leader)
            .and_then(|replica| replica.next_repair(&options));
        if let Some(voters) = next {
            let command = Command::Members(MembersCommand {
                voters,
                ..MembersCommand::default()
            });
            cluster.send_request(leader, ReplicaInput::Propose(0, command));
        }
    }
}

/// Replaces the disk of a host by an empty one.
fn replace_disk(cluster: &mut Cluster, host: u64, replica: u64) {
    let old: Vec<u64> = cluster.hosts.keys().copied().collect();
    for id in old.into_iter().filter(|id| host_of(*id) == host) {
        cluster.destroy(id);
    }
    let known = cluster.hosts.values().next();
    let voters = known
        .and_then(|host| host.replica.as_ref())
        .map(|replica| replica.voters().to_vec());
    cluster.add_host(replica_id(host, replica), voters.expect("a host is left"));
}

fn publish(version: u64, document: &str) -> Command {
    Command::Publish(Box::new(PublishCommand {
        version,
        document: document.into(),
        proposed_unix_ms: 0,
    }))
}

/// Publishes a document at the leader and gets the result.
fn try_publish(cluster: &mut Cluster, version: u64, document: &str) -> Option<PublishResult> {
    cluster.answers.clear();
    let leader = cluster.leader()?;
    cluster.send_request(leader, ReplicaInput::Propose(1, publish(version, document)));
    run(cluster, Duration::from_secs(1));
    cluster.answers.iter().find_map(|(_, answer)| match answer {
        Answer::Proposal(1, ProposalOutcome::Applied(CommandResult::Publish(result))) => {
            Some(*result)
        }
        _ => None,
    })
}

/// Guards against loss of the quorum after two successive losses, because a host
/// that lost its disk never votes again.
#[test]
fn host_that_lost_its_disk_votes_again_before_the_next_loss() {
    for seed in 0..20 {
        let mut cluster = group(0, seed);
        run(&mut cluster, Duration::from_secs(1));
        assert_eq!(
            try_publish(&mut cluster, 1, "one"),
            Some(PublishResult::InForce),
            "seed {seed}"
        );
        replace_disk(&mut cluster, 2, 5);
        run(&mut cluster, LOSS_INTERVAL);
        cluster.destroy(replica_id(3, 0));
        run(&mut cluster, Duration::from_secs(1));
        let result = try_publish(&mut cluster, 2, "two");
        assert_eq!(
            result,
            Some(PublishResult::InForce),
            "seed {seed}: {}",
            cluster.summary()
        );
    }
}

/// Guards against the loss of a document when all hosts lose their disks one
/// after the other, each after `LOSS_INTERVAL`.
#[test]
fn document_survives_the_loss_of_every_disk_in_turn() {
    for seed in 0..20 {
        let mut cluster = group(1, 100 + seed);
        run(&mut cluster, Duration::from_secs(1));
        assert_eq!(
            try_publish(&mut cluster, 3, "kept"),
            Some(PublishResult::InForce)
        );
        for host in 1..=4 {
            replace_disk(&mut cluster, host, 20 + host);
            run(&mut cluster, LOSS_INTERVAL);
        }
        let leader = cluster.leader().expect("a leader");
        let replica = cluster.replica(leader).expect("it runs");
        assert_eq!(
            &*replica.state().published_document().text,
            "kept",
            "seed {seed}"
        );
        assert_eq!(replica.voters().len(), 3, "{}", cluster.summary());
    }
}

/// Guards against a permanently lost voter that stays in the group although a
/// learner has caught up.
#[test]
fn unresponsive_voter_is_replaced_by_a_learner() {
    for seed in 0..20 {
        let mut cluster = group(1, 200 + seed);
        run(&mut cluster, Duration::from_secs(2));
        cluster.destroy(replica_id(1, 0));
        run(&mut cluster, Duration::from_secs(5));
        let leader = cluster.leader().expect("a leader");
        let mut voters = cluster.replica(leader).expect("it runs").voters().to_vec();
        voters.sort_unstable();
        assert_eq!(
            voters,
            [replica_id(2, 0), replica_id(3, 0), replica_id(4, 9)],
            "seed {seed}"
        );
    }
}

/// Guards against membership changes in a group that needs no repair.
#[test]
fn complete_group_is_not_changed() {
    let mut cluster = group(1, 7);
    run(&mut cluster, Duration::from_secs(3));
    let leader = cluster.leader().expect("a leader");
    let voters = cluster.replica(leader).expect("it runs").voters();
    assert_eq!(
        voters,
        [replica_id(1, 0), replica_id(2, 0), replica_id(3, 0)]
    );
}

/// Guards against a group that stays too small for the losses to tolerate.
#[test]
fn group_grows_to_the_target_number_of_voters() {
    let mut cluster = group(2, 8);
    cluster.run(Duration::from_secs(2));
    let options = RepairOptions {
        target_voters: 5,
        ..RepairOptions::default()
    };
    for _ in 0..20 {
        let leader = cluster.leader().expect("a leader");
        let replica = cluster.replica(leader).expect("it runs");
        if let Some(voters) = replica.next_repair(&options) {
            let command = Command::Members(MembersCommand {
                voters,
                ..MembersCommand::default()
            });
            cluster.send_request(leader, ReplicaInput::Propose(0, command));
        }
        cluster.run(Duration::from_millis(100));
    }
    let leader = cluster.leader().expect("a leader");
    let voters = cluster.replica(leader).expect("it runs").voters();
    assert_eq!(voters.len(), 5);
}

/// Guards against a document of an older or the same version that replaces the
/// one in force.
#[test]
fn highest_version_stays_in_force() {
    let mut cluster = group(0, 9);
    run(&mut cluster, Duration::from_secs(1));
    let published = [
        (7, "seven", PublishResult::InForce),
        (5, "five", PublishResult::Superseded(7)),
        (7, "other", PublishResult::Superseded(7)),
        (20, "twenty", PublishResult::InForce),
        (7, "seven", PublishResult::Superseded(20)),
    ];
    for (version, text, result) in published {
        assert_eq!(try_publish(&mut cluster, version, text), Some(result));
    }
    let leader = cluster.leader().expect("a leader");
    let state = cluster.replica(leader).expect("it runs").state();
    assert_eq!(state.published_document().version, 20);
    assert_eq!(&*state.published_document().text, "twenty");
    assert_eq!(state.audit_trail().len(), 2);
}

/// Guards against an event in the sources that no tested situation emits, so that
/// its removal would go unnoticed.
#[test]
fn every_event_is_emitted() {
    let mut cluster = group(1, 7);
    run(&mut cluster, Duration::from_secs(1));
    for version in 1..=2 * SNAPSHOT_ENTRIES {
        try_publish(&mut cluster, version, "next");
    }
    // A leader is paused and deposed, and then loses its disk.
    let former = cluster.leader().expect("a leader");
    let host = cluster.hosts.get_mut(&former).expect("it is there");
    host.paused_until = cluster.now + LOSS_INTERVAL;
    run(&mut cluster, 2 * LOSS_INTERVAL);
    replace_disk(&mut cluster, host_of(former), 30);
    run(&mut cluster, LOSS_INTERVAL);
    let emitted: BTreeSet<String> = cluster
        .events
        .iter()
        .map(|event| event.name().to_owned())
        .collect();
    let named = event_names::in_sources(env!("CARGO_MANIFEST_DIR"));
    assert_eq!(emitted, named);
}
