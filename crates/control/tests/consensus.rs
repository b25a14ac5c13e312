//! Simulated groups under faults: safety at every step, liveness afterwards.

mod common;

use std::time::Duration;

use common::clients::Clients;
use common::cluster::{Answer, Cluster};
use common::faults::FAULTS;
use common::{change_command, fixed_cases};
use hornbeam_control::{
    ChangeResult, Command, CommandResult, MembersCommand, ProposalOutcome, Refusal, ReplicaInput,
};
use hornbeam_core::ids::ReplicaId;
use proptest::prelude::*;

/// Interval at which clients act and faults are injected.
const STEP: Duration = Duration::from_millis(20);

/// Time within which a group must accept a change once the faults have stopped.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// Replacement of a member whose disk is lost, as an operator does it.
#[derive(Debug)]
struct Replacement {
    lost: ReplicaId,
    added: ReplicaId,
    last_proposal_id: u64,
}

impl Replacement {
    fn start(cluster: &mut Cluster) -> Self {
        let lost = cluster.random_host();
        let added = 100 + lost;
        let initial_voters = cluster.hosts.keys().copied().collect();
        cluster.destroy(lost);
        cluster.add_host(added, initial_voters);
        Self {
            lost,
            added,
            last_proposal_id: 1 << 40,
        }
    }

    /// Proposes the next membership change; true once both are done.
    fn drive(&mut self, cluster: &mut Cluster) -> bool {
        let Some(leader) = cluster.leader().filter(|id| cluster.is_responsive(*id)) else {
            return false;
        };
        let replica = cluster.replica(leader).expect("a leader runs");
        let mut voters = replica.voters().to_vec();
        if voters.contains(&self.lost) {
            voters.retain(|id| *id != self.lost);
        } else if !voters.contains(&self.added) {
            voters.push(self.added);
        } else {
            return true;
        }
        self.last_proposal_id += 1;
        cluster.step(
            leader,
            ReplicaInput::Propose(self.last_proposal_id, members_command(voters)),
        );
        false
    }
}

/// Creates a membership change.
fn members_command(voters: Vec<ReplicaId>) -> Command {
    Command::Members(MembersCommand {
        voters,
        ..MembersCommand::default()
    })
}

/// Runs a group under faults, stops them and checks recovery and state.
fn check_group(seed: u64, size: u64, replaces: bool) {
    let mut cluster = Cluster::new(size, seed, 25);
    let mut clients = Clients::new(3);
    cluster.faults = FAULTS;
    let mut replacement = None;
    for step in 0..250 {
        cluster.run(STEP);
        clients.drive(&mut cluster, 0.1);
        clients.claim(&mut cluster);
        cluster.inject_random_fault();
        if replaces && step == 100 {
            replacement = Some(Replacement::start(&mut cluster));
        }
        if let Some(replacement) = &mut replacement {
            replacement.drive(&mut cluster);
        }
    }
    cluster.heal();
    recover(&mut cluster, &mut clients, replacement.as_mut());
    check_end(&cluster, &clients);
}

/// Checks that a group without faults finishes a replacement and accepts a change.
fn recover(
    cluster: &mut Cluster,
    clients: &mut Clients,
    mut replacement: Option<&mut Replacement>,
) {
    let deadline = cluster.now + RECOVERY_TIMEOUT;
    let mut is_replaced = replacement.is_none();
    loop {
        assert!(
            cluster.now < deadline,
            "no progress after the faults: {}",
            cluster.summary()
        );
        cluster.run(STEP);
        clients.drive(cluster, 0.0);
        if let Some(replacement) = replacement.as_deref_mut() {
            is_replaced = replacement.drive(cluster);
        }
        if is_replaced && all_agree(cluster) {
            break;
        }
    }
    accept_change(cluster, clients);
}

fn all_agree(cluster: &Cluster) -> bool {
    let Some(leader) = cluster.leader() else {
        return false;
    };
    let expected = cluster
        .replica(leader)
        .map(|replica| replica.commit_index());
    let mut ids = cluster.hosts.keys();
    ids.all(|id| cluster.replica(*id).map(|replica| replica.commit_index()) == expected)
}

fn accept_change(cluster: &mut Cluster, clients: &mut Clients) {
    clients.drive(cluster, 0.0);
    let leader = cluster.leader().expect("a healed group has a leader");
    let version = cluster.replica(leader).expect("it runs").state().version();
    let request = 1 << 50;
    let command = change_command(version, "last", "op");
    cluster.step(leader, ReplicaInput::Propose(request, command));
    cluster.run(Duration::from_secs(1));
    let is_accepted = cluster.answers.iter().any(|(_, answer)| {
        let result = CommandResult::Change(ChangeResult::Accepted(version + 1));
        *answer == Answer::Proposal(request, ProposalOutcome::Applied(result))
    });
    let states: Vec<u64> = cluster
        .hosts
        .keys()
        .map(|id| version_on(cluster, *id))
        .collect();
    assert!(
        is_accepted || states.iter().all(|at| *at > version),
        "no change after the faults"
    );
}

fn version_on(cluster: &Cluster, id: ReplicaId) -> u64 {
    cluster
        .replica(id)
        .map_or(0, |replica| replica.state().version())
}

/// Checks that every replica has the result of every answered change.
fn check_end(cluster: &Cluster, clients: &Clients) {
    for id in cluster.hosts.keys() {
        let state = cluster.replica(*id).expect("a healed host runs").state();
        for (change_id, result) in &clients.results {
            assert_eq!(
                state.result(change_id),
                Some(result),
                "replica {id} lost {change_id}"
            );
        }
        let versions = state
            .audit_trail()
            .iter()
            .map(|line| line.version)
            .filter(|at| *at > 0);
        assert!(versions.eq(1..=state.version()), "the audit trail has gaps");
    }
}

proptest! {
    #![proptest_config(fixed_cases(140))]

    /// Guards against two leaders in a term, changed or lost committed entries,
    /// diverging replicas, lost answered changes, different answers to a repeated
    /// change, and groups without progress after faults.
    #[test]
    fn group_of_three_survives_faults(seed in any::<u64>().no_shrink()) {
        check_group(seed, 3, false);
    }

    /// Guards against the same failures with quorums of three.
    #[test]
    fn group_of_five_survives_faults(seed in any::<u64>().no_shrink()) {
        check_group(seed, 5, false);
    }

    /// Guards against lost changes and groups without progress when a member with
    /// a lost disk is replaced under faults.
    #[test]
    fn lost_member_is_replaced(seed in any::<u64>().no_shrink(), size in prop_oneof![Just(3u64), Just(5)]) {
        check_group(seed, size, true);
    }
}

/// Guards against a new member that campaigns forever because its log contains a
/// membership change that another leader replaced. The seed reproduces it.
#[test]
fn member_added_by_a_replaced_change_stops_campaigning() {
    check_group(5_641_912_215_977_190_743, 5, true);
}

fn cluster_with_leader(size: u64, seed: u64) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(size, seed, 4096);
    cluster.run(Duration::from_secs(2));
    let leader = cluster
        .leader()
        .expect("a group without faults elects a leader");
    (cluster, leader)
}

/// Guards against needless elections by a replica that returns from a network
/// partition, and against a leader that keeps leading without a quorum.
#[test]
fn partitioned_replica_does_not_depose_the_leader() {
    let (mut cluster, leader) = cluster_with_leader(3, 7);
    let other = *cluster
        .hosts
        .keys()
        .find(|id| **id != leader)
        .expect("three hosts");
    let term = cluster.replica(leader).expect("it leads").term();
    cluster.blocked_links.insert((leader, other));
    cluster.run(Duration::from_secs(5));
    cluster.partition(|id| id == other);
    cluster.run(Duration::from_secs(5));
    cluster.blocked_links.clear();
    cluster.run(Duration::from_secs(5));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.replica(leader).expect("it leads").term(), term);
    assert_eq!(cluster.elections, 1);

    cluster.partition(|id| id == leader);
    cluster.run(Duration::from_secs(1));
    assert!(!cluster.replica(leader).expect("it runs").is_leader());
}

/// Guards against a membership change of more than one member, of a lagging
/// member, or during another change; each could lead to disjoint quorums.
#[test]
fn unsafe_membership_changes_are_refused() {
    let (mut cluster, leader) = cluster_with_leader(3, 11);
    let proposals = [
        (vec![1, 2, 3, 4], Refusal::NotCaughtUp),
        (vec![1], Refusal::NotSingleMemberChange),
        (vec![1, 2, 3], Refusal::NotSingleMemberChange),
        (vec![1, 2, 2], Refusal::NotSingleMemberChange),
        (vec![], Refusal::NotSingleMemberChange),
    ];
    for (voters, refusal) in proposals {
        cluster.step(leader, ReplicaInput::Propose(9, members_command(voters)));
        let answer = Answer::Proposal(9, ProposalOutcome::Refused(refusal));
        assert_eq!(cluster.answers.pop(), Some((leader, answer)));
    }
    let kept: Vec<ReplicaId> = (1..=3).filter(|id| *id != leader).collect();
    cluster.step(
        leader,
        ReplicaInput::Propose(10, members_command(kept.clone())),
    );
    cluster.step(
        leader,
        ReplicaInput::Propose(11, members_command(vec![1, 2, 3])),
    );
    let answer = Answer::Proposal(
        11,
        ProposalOutcome::Refused(Refusal::MembershipChangePending),
    );
    assert_eq!(cluster.answers.pop(), Some((leader, answer)));

    cluster.run(Duration::from_secs(3));
    assert_eq!(
        cluster.replica(leader).expect("it runs").role_name(),
        "learner"
    );
    let next = cluster.leader().expect("the others elect a leader");
    assert_eq!(cluster.replica(next).expect("it leads").voters(), kept);
}

/// Guards against a replica with an empty disk that votes or campaigns, or that
/// never finds the leader.
#[test]
fn replica_with_an_empty_disk_is_a_learner() {
    let (mut cluster, leader) = cluster_with_leader(3, 13);
    cluster.add_host(4, vec![1, 2, 3]);
    cluster.run(Duration::from_secs(2));
    let learner = cluster.replica(4).expect("it runs");
    assert_eq!(learner.role_name(), "learner");
    assert_eq!(
        learner.commit_index(),
        cluster.replica(leader).expect("it leads").commit_index()
    );
    let follower = *cluster
        .hosts
        .keys()
        .find(|id| **id != leader)
        .expect("three hosts");
    cluster.destroy(leader);
    cluster.destroy(follower);
    cluster.run(Duration::from_secs(5));
    assert_eq!(
        cluster.leader(),
        None,
        "a learner must not complete a quorum"
    );
}
