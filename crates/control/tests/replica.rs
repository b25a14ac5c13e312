//! Tests of a single replica with rare sequences of messages.

use std::time::Duration;

use hornbeam_control::{
    Command, ControlState, Entry, HardState, MembersCommand, Message, RecoveredState, Replica,
    ReplicaInput, ReplicaOptions, ReplicaOutput, SnapshotData,
};

const NOW: Duration = Duration::from_secs(1);

/// Creates replica 1 of 3 with entries and an empty applied state.
fn replica(term: u64, entries: Vec<Entry>) -> Replica {
    let state = ControlState::default();
    let snapshot = SnapshotData {
        index: 0,
        term: 0,
        voters: vec![1, 2, 3],
        state: state.encode().expect("a state encodes"),
    };
    let recovered = RecoveredState {
        hard_state: HardState {
            term,
            voted_for: None,
        },
        snapshot: Some(snapshot),
        entries,
        ..RecoveredState::default()
    };
    let options = ReplicaOptions {
        id: 1,
        ..ReplicaOptions::default()
    };
    Replica::new(options, recovered, Duration::ZERO).expect("the snapshot decodes")
}

fn entry(index: u64, term: u64, command: Command) -> Entry {
    Entry {
        index,
        term,
        command,
    }
}

/// Steps a replica and completes every persist request.
fn step(replica: &mut Replica, input: ReplicaInput) {
    for output in replica.step(NOW, input) {
        if let ReplicaOutput::Persist(request) = output {
            step(replica, ReplicaInput::Persisted(request.id));
        }
    }
}

fn receive(replica: &mut Replica, from: u64, message: Message) {
    step(replica, ReplicaInput::Received(from, Box::new(message)));
}

/// Guards against a leader that commits an entry of an earlier term because a
/// quorum has it; a later leader may still replace such an entry.
#[test]
fn entry_of_an_earlier_term_is_not_committed_by_counting() {
    let mut leader = replica(2, vec![entry(1, 2, Command::Noop)]);
    step(&mut leader, ReplicaInput::Tick);
    receive(
        &mut leader,
        2,
        Message::PreVoteAnswer {
            term: 3,
            granted: true,
        },
    );
    receive(
        &mut leader,
        2,
        Message::VoteAnswer {
            term: 3,
            granted: true,
        },
    );
    assert!(leader.is_leader());
    let answer = |index| Message::AppendAnswer {
        term: 3,
        success: true,
        index,
        round: 1,
    };
    receive(&mut leader, 2, answer(1));
    assert_eq!(leader.commit_index(), 0);
    receive(&mut leader, 2, answer(2));
    assert_eq!(leader.commit_index(), 2);
}

/// Guards against a membership change that stays in effect after another leader
/// replaced its entry.
#[test]
fn replaced_membership_change_is_rolled_back() {
    let mut follower = replica(1, Vec::new());
    let append = |term, entries| Message::Append {
        term,
        previous_index: 0,
        previous_term: 0,
        entries,
        commit: 0,
        round: 1,
    };
    let members = Command::Members(MembersCommand {
        voters: vec![1, 2],
        ..MembersCommand::default()
    });
    receive(&mut follower, 2, append(1, vec![entry(1, 1, members)]));
    assert_eq!(follower.voters(), [1, 2]);
    receive(
        &mut follower,
        3,
        append(2, vec![entry(1, 2, Command::Noop)]),
    );
    assert_eq!(follower.voters(), [1, 2, 3]);
}

/// Guards against equal election timeouts on different replicas. Three replicas
/// that started together split every vote for more than 30 terms.
#[test]
fn election_timeouts_differ_between_replicas_for_any_seeds() {
    let timeout = |id: u64, seed: u64| {
        let options = ReplicaOptions {
            id,
            seed,
            initial_voters: vec![1, 2, 3],
            ..ReplicaOptions::default()
        };
        let replica = Replica::new(options, RecoveredState::default(), Duration::ZERO);
        let mut replica = replica.expect("a replica");
        // The first step persists the initial state of a new folder.
        replica.step(Duration::ZERO, ReplicaInput::Tick);
        replica.next_wakeup()
    };
    for seeds in [[0, 0, 0], [1, 2, 3], [3, 2, 1]] {
        let waits = [1, 2, 3].map(|id| timeout(id, seeds[id as usize - 1]));
        assert_ne!(waits[0], waits[1], "seeds {seeds:?}");
        assert_ne!(waits[1], waits[2], "seeds {seeds:?}");
        assert_ne!(waits[0], waits[2], "seeds {seeds:?}");
    }
}
