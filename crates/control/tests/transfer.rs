//! Tests of the transfer of a snapshot to a lagging replica.

use std::collections::VecDeque;
use std::time::Duration;

use googletest::prelude::*;
use hornbeam_control::{
    ClaimCommand, Command, Message, RecoveredState, Replica, ReplicaInput, ReplicaOptions,
    ReplicaOutput,
};

const LEADER: u64 = 1;
const LEARNER: u64 = 2;
const CLAIMS: u64 = 4_000;
const CLAIM_KEY_BYTES: usize = 1_000;
/// Bound on a part: twice the size of a part, and far below the size of the state.
const MAX_PART_STATE_BYTES: usize = 2 << 20;
const STEP: Duration = Duration::from_millis(20);

fn replica(id: u64) -> Replica {
    let options = ReplicaOptions {
        id,
        initial_voters: vec![LEADER],
        snapshot_entries: 64,
        ..ReplicaOptions::default()
    };
    let recovered = RecoveredState {
        fresh: true,
        ..RecoveredState::default()
    };
    Replica::new(options, recovered, Duration::ZERO).expect("a fresh replica")
}

/// Steps a replica, completes persist requests immediately and gets the messages.
fn step(replica: &mut Replica, now: Duration, input: ReplicaInput) -> Vec<(u64, Message)> {
    let mut inputs = VecDeque::from([input]);
    let mut sent = Vec::new();
    while let Some(input) = inputs.pop_front() {
        for output in replica.step(now, input) {
            match output {
                ReplicaOutput::Persist(request) => {
                    inputs.push_back(ReplicaInput::Persisted(request.id));
                }
                ReplicaOutput::Send(to, message) => sent.push((to, message)),
                _ => {}
            }
        }
    }
    sent
}

/// Creates a leader whose state has several megabytes.
fn leader_with_claims(now: &mut Duration) -> Replica {
    let mut leader = replica(LEADER);
    while !leader.is_leader() {
        *now += STEP;
        step(&mut leader, *now, ReplicaInput::Tick);
    }
    for number in 0..CLAIMS {
        let claim = Command::Claim(ClaimCommand {
            key: format!("{number:0CLAIM_KEY_BYTES$}"),
            token: format!("job-{number}"),
            valid_until_unix_ms: u64::MAX / 2,
            now_unix_ms: number,
        });
        step(&mut leader, *now, ReplicaInput::Propose(number, claim));
        step(&mut leader, *now, ReplicaInput::Tick);
    }
    leader
}

/// Runs a leader and a new learner until the learner has the whole log. `copies`
/// gets the number of a message and returns how often it is delivered.
fn replicate_to_learner(copies: impl Fn(u64) -> usize) -> (u64, u64, Replica) {
    let mut now = Duration::ZERO;
    let mut leader = leader_with_claims(&mut now);
    let mut learner = replica(LEARNER);
    let (mut number, mut parts) = (0, 0);
    for _ in 0..2_000 {
        now += STEP;
        let mut in_transit: VecDeque<_> = step(&mut leader, now, ReplicaInput::Tick).into();
        in_transit.extend(step(&mut learner, now, ReplicaInput::Tick));
        while let Some((to, message)) = in_transit.pop_front() {
            if let Message::SnapshotPart { part, .. } = &message {
                assert!(part.bytes.len() <= MAX_PART_STATE_BYTES);
                parts += 1;
            }
            number += 1;
            for _ in 0..copies(number) {
                let (from, receiver) = match to {
                    LEADER => (LEARNER, &mut leader),
                    _ => (LEADER, &mut learner),
                };
                let input = ReplicaInput::Received(from, Box::new(message.clone()));
                in_transit.extend(step(receiver, now, input));
            }
        }
        if leader.match_index(LEARNER) == Some(leader.last_index()) {
            assert_eq!(learner.state().claim_count(), leader.state().claim_count());
            return (number, parts, learner);
        }
    }
    panic!(
        "the learner has {} of {}",
        learner.last_index(),
        leader.last_index()
    );
}

/// Guards against a snapshot that exceeds the largest message and therefore never
/// reaches a lagging replica.
#[gtest]
fn large_snapshot_is_sent_in_parts() {
    let (messages, parts, learner) = replicate_to_learner(|_| 1);
    expect_that!(parts, gt(3));
    expect_that!(messages, lt(parts * 4));
    expect_that!(learner.state().claim_count(), eq(CLAIMS as usize));
}

/// Guards against a transfer that stops permanently after a lost part, or that
/// appends a duplicated part twice.
#[gtest]
fn lost_and_duplicated_parts_are_tolerated() {
    let (_, parts, learner) = replicate_to_learner(|number| (number % 3) as usize);
    expect_that!(parts, gt(3));
    expect_that!(learner.state().claim_count(), eq(CLAIMS as usize));
}
