//! Evacuation orders: what survives restarts, lost disks, partitions and
//! snapshots, and what repeated and racing orders do.

mod common;

use std::time::Duration;

use common::change_command;
use common::cluster::{Answer, Cluster};
use googletest::prelude::*;
use hornbeam_control::{
    ClaimCommand, Command, CommandResult, ControlState, EvacuateCommand, MembersCommand,
    ProposalOutcome, PublishCommand, ReplicaInput,
};
use hornbeam_core::ids::ReplicaId;

/// Time within which a group without faults elects a leader and answers.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Small, so that the orders are compacted into snapshots during a test.
const SNAPSHOT_ENTRIES: u64 = 4;

fn order(failure_domain: &str, is_evacuated: bool) -> Command {
    Command::Evacuate(EvacuateCommand {
        failure_domain: failure_domain.into(),
        is_evacuated,
        proposed_unix_ms: 7,
    })
}

/// Applies an order to a state and gets the revision.
fn apply(state: &mut ControlState, failure_domain: &str, is_evacuated: bool) -> u64 {
    match state.apply(&order(failure_domain, is_evacuated)) {
        CommandResult::Evacuated(revision) => revision,
        other => panic!("unexpected result {other:?}"),
    }
}

/// Sends an order to a replica and gets the revision if it is acknowledged.
fn send(cluster: &mut Cluster, to: ReplicaId, command: Command) -> Option<u64> {
    cluster.answers.clear();
    cluster.step(to, ReplicaInput::Propose(1, command));
    cluster.run(SETTLE_TIME);
    let answers = std::mem::take(&mut cluster.answers);
    answers.iter().find_map(|(_, answer)| match answer {
        Answer::Proposal(1, ProposalOutcome::Applied(CommandResult::Evacuated(revision))) => {
            Some(*revision)
        }
        _ => None,
    })
}

fn settled_cluster(seed: u64) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(3, seed, SNAPSHOT_ENTRIES);
    cluster.run(SETTLE_TIME);
    let leader = cluster.leader().expect("a majority runs");
    (cluster, leader)
}

fn evacuated_at(cluster: &Cluster, id: ReplicaId) -> (u64, Vec<String>) {
    let list = cluster.replica(id).expect("it runs").state().evacuations();
    let domains = list.failure_domains.iter().cloned().collect();
    (list.revision, domains)
}

/// Guards against an acknowledged order that is lost when every control host
/// loses power, whether it is in the log or in a snapshot by then.
#[gtest]
fn orders_survive_a_restart_of_every_replica() {
    for orders in [2, 9] {
        let (mut cluster, leader) = settled_cluster(31);
        for number in 1..=orders {
            let command = order("zone-a", number % 2 == 1);
            expect_that!(send(&mut cluster, leader, command), some(eq(number)));
        }
        expect_that!(
            send(&mut cluster, leader, order("zone-b", true)),
            some(eq(orders + 1))
        );
        for id in 1..=3 {
            cluster.crash(id);
        }
        cluster.run(2 * SETTLE_TIME);
        for id in 1..=3 {
            let (revision, domains) = evacuated_at(&cluster, id);
            expect_that!(revision, eq(orders + 1), "replica {id}");
            expect_that!(domains.contains(&"zone-b".to_owned()), eq(true));
            expect_that!(domains.contains(&"zone-a".to_owned()), eq(orders % 2 == 1));
        }
    }
}

/// Guards against an order that is lost when the leader loses its disk, a new
/// replica takes its place, and a second member is lost after that. The new
/// replica gets the list in a snapshot.
#[gtest]
fn orders_survive_a_lost_disk() {
    let (mut cluster, leader) = settled_cluster(32);
    for number in 1..=9 {
        let command = order("zone-a", number % 2 == 1);
        expect_that!(send(&mut cluster, leader, command), some(eq(number)));
    }
    cluster.destroy(leader);
    cluster.run(SETTLE_TIME);
    cluster.add_host(4, vec![1, 2, 3]);
    cluster.run(SETTLE_TIME);
    for removed in [None, Some(leader)] {
        let voters = (1..=4).filter(|id| Some(*id) != removed).collect();
        let command = Command::Members(MembersCommand {
            voters,
            ..MembersCommand::default()
        });
        let at = cluster.leader().expect("a majority runs");
        cluster.step(at, ReplicaInput::Propose(2, command));
        cluster.run(SETTLE_TIME);
    }
    let mut voters = cluster.replica(4).expect("it runs").voters().to_vec();
    voters.sort_unstable();
    let expected: Vec<ReplicaId> = (1..=4).filter(|id| *id != leader).collect();
    assert_that!(voters, eq(&expected));
    cluster.destroy(expected[0]);
    cluster.run(SETTLE_TIME);
    for id in [expected[1], 4] {
        let list = (9, vec!["zone-a".to_owned()]);
        expect_that!(evacuated_at(&cluster, id), eq(&list), "replica {id}");
    }
    let next = cluster.leader().expect("a majority runs");
    expect_that!(
        send(&mut cluster, next, order("zone-a", false)),
        some(eq(10))
    );
}

/// Guards against an acknowledgement by a leader that is cut off from the
/// quorum, and against one that the other part of the core then contradicts.
#[gtest]
fn partitioned_leader_acknowledges_nothing() {
    let (mut cluster, leader) = settled_cluster(33);
    expect_that!(
        send(&mut cluster, leader, order("zone-a", true)),
        some(eq(1))
    );
    for other in (1..=3).filter(|id| *id != leader) {
        cluster.blocked_links.insert((leader, other));
        cluster.blocked_links.insert((other, leader));
    }
    expect_that!(send(&mut cluster, leader, order("zone-b", true)), none());
    let next = (1..=3)
        .find(|id| *id != leader && cluster.replica(*id).is_some_and(|host| host.is_leader()))
        .expect("the majority elects a leader");
    expect_that!(
        send(&mut cluster, next, order("zone-a", false)),
        some(eq(2))
    );
    cluster.blocked_links.clear();
    cluster.run(SETTLE_TIME);
    for id in 1..=3 {
        let expected: (u64, Vec<String>) = (2, Vec::new());
        expect_that!(evacuated_at(&cluster, id), eq(&expected), "replica {id}");
    }
}

/// Guards against a snapshot that loses the list, and against one that hosts of
/// the previous build cannot install although there was no order.
#[gtest]
fn snapshots_decode_in_both_layouts() {
    let mut state = ControlState::default();
    state.apply(&change_command(0, "c", "op"));
    let without_orders = state.encode().expect("a state encodes");
    expect_that!(apply(&mut state, "zone-a", false), eq(0));
    expect_that!(state.encode(), ok(eq(&without_orders)));
    let former = ControlState::decode(&without_orders).expect("the former layout decodes");
    expect_that!(former.evacuations().revision, eq(0));

    expect_that!(apply(&mut state, "zone-a", true), eq(1));
    let with_orders = state.encode().expect("a state encodes");
    expect_that!(with_orders.len(), gt(without_orders.len()));
    expect_that!(ControlState::decode(&with_orders), ok(eq(&state)));
    let cut = with_orders.len() - 1;
    expect_that!(ControlState::decode(&with_orders[..cut]), err(anything()));
    let mut trailing = with_orders.clone();
    trailing.push(0);
    expect_that!(ControlState::decode(&trailing), err(anything()));
}

/// Guards against the layout of the previous build changing unnoticed: the bytes
/// are those that the build before evacuations wrote for the same state.
#[gtest]
fn layout_without_orders_is_that_of_the_previous_build() {
    let mut state = ControlState::default();
    state.apply(&change_command(0, "c", "op"));
    state.apply(&Command::Claim(ClaimCommand {
        key: "k".into(),
        token: "j".into(),
        valid_until_unix_ms: 9,
        now_unix_ms: 5,
    }));
    state.apply(&Command::Publish(Box::new(PublishCommand {
        version: 3,
        document: "{}".into(),
        proposed_unix_ms: 6,
    })));
    let bytes = state.encode().expect("a state encodes");
    expect_that!(hex(&bytes), eq(FORMER_STATE));
}

/// Guards against repeated orders that count as changes, and against a delayed
/// duplicate of a start that leaves no trace after it evacuated again.
#[gtest]
fn repeated_orders_change_nothing_and_late_duplicates_are_traced() {
    let mut state = ControlState::default();
    let orders = [(true, 1), (true, 1), (false, 2), (false, 2), (true, 3)];
    for (is_evacuated, revision) in orders {
        expect_that!(apply(&mut state, "zone-a", is_evacuated), eq(revision));
    }
    expect_that!(state.evacuations().contains("zone-a"), eq(true));
    let trail = state.audit_trail().iter();
    let actions: Vec<_> = trail
        .map(|entry| (entry.change_id.as_str(), entry.action.as_str()))
        .collect();
    expect_that!(
        actions,
        eq(&[
            ("evacuation-1", "evacuate failure domain zone-a"),
            ("evacuation-2", "return failure domain zone-a to service"),
            ("evacuation-3", "evacuate failure domain zone-a"),
        ])
    );
}

/// Guards against two racing operators of whom one gets a revision that does not
/// stand for the state after its order, and against replicas that disagree.
#[gtest]
fn racing_operators_are_applied_in_log_order() {
    let (mut cluster, leader) = settled_cluster(34);
    for (number, is_evacuated) in [(1, true), (2, false), (3, true), (4, true)] {
        let input = ReplicaInput::Propose(number, order("zone-a", is_evacuated));
        cluster.step(leader, input);
    }
    cluster.run(SETTLE_TIME);
    let revisions: Vec<_> = cluster
        .answers
        .iter()
        .filter_map(|(_, answer)| match answer {
            Answer::Proposal(id, ProposalOutcome::Applied(CommandResult::Evacuated(at))) => {
                Some((*id, *at))
            }
            _ => None,
        })
        .collect();
    expect_that!(revisions, eq(&[(1, 1), (2, 2), (3, 3), (4, 3)]));
    for id in 1..=3 {
        let expected = (3, vec!["zone-a".to_owned()]);
        expect_that!(evacuated_at(&cluster, id), eq(&expected), "replica {id}");
    }
}

/// State after a change, a claim and a published document, as encoded by the
/// build before evacuations.
const FORMER_STATE: &str = "010163000000000163026f700002010163026f7004746573740005\
    66696c657303000000061d7075626c697368206120646f63756d656e74206f66203220627974657301\
    016300010501016b016a090109016b03027b7d";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
