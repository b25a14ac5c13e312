//! Linearizability of changes and reads, checked on recorded histories.

mod common;

use std::time::Duration;

use common::clients::{Clients, ConfigurationRegister, Operation};
use common::cluster::Cluster;
use common::faults::FAULTS;
use common::fixed_cases;
use hornbeam_control::ChangeResult;
use proptest::prelude::*;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action::{self, Call, Response};
use todc_utils::linearizability::history::History;

/// Interval at which clients act and faults are injected.
const STEP: Duration = Duration::from_millis(10);

type Actions = Vec<(usize, Action<Operation>)>;

fn is_linearizable(actions: Actions) -> bool {
    // The checker rejects an empty history, which results if the faults let no
    // operation complete.
    actions.is_empty()
        || WGLChecker::<ConfigurationRegister>::is_linearizable(History::from_actions(actions))
}

/// Runs concurrent clients under faults and gets their history.
fn record_history(seed: u64, size: u64) -> Actions {
    let mut cluster = Cluster::new(size, seed, 10);
    let mut clients = Clients::new(4);
    cluster.faults = FAULTS;
    for _ in 0..400 {
        cluster.run(STEP);
        clients.drive(&mut cluster, 0.1);
        cluster.inject_random_fault();
    }
    clients.finish()
}

proptest! {
    #![proptest_config(fixed_cases(150))]

    /// Guards against stale reads from a deposed leader, two changes accepted for
    /// one version, and conflicts that report the wrong winner.
    #[test]
    fn histories_under_faults_are_linearizable(
        seed in any::<u64>().no_shrink(),
        size in prop_oneof![Just(3u64), Just(5)],
    ) {
        prop_assert!(is_linearizable(record_history(seed, size)));
    }
}

fn change(expected_version: u64, change_id: &str, answer: Option<ChangeResult>) -> Operation {
    Operation::Change {
        expected_version,
        change_id: change_id.into(),
        answer,
    }
}

fn accepted(expected_version: u64, change_id: &str) -> Operation {
    let answer = ChangeResult::Accepted(expected_version + 1);
    change(expected_version, change_id, Some(answer))
}

fn conflict(change_id: &str, current_version: u64, winner: &str) -> Operation {
    let answer = ChangeResult::Conflict {
        current_version,
        winner_change_id: winner.into(),
        winner_operator: "op".into(),
    };
    change(0, change_id, Some(answer))
}

fn read(version: u64, change_id: &str) -> Operation {
    Operation::Read(Some((version, change_id.into())))
}

/// Creates a history of operations that do not overlap.
fn sequential(operations: Vec<Operation>) -> Actions {
    let pairs = operations
        .into_iter()
        .map(|op| [(0, Call(op.clone())), (0, Response(op))]);
    pairs.flatten().collect()
}

/// Guards against a checker that accepts every history.
#[test]
fn histories_with_known_faults_are_rejected() {
    let stale_read = sequential(vec![accepted(0, "a"), accepted(1, "b"), read(1, "a")]);
    assert!(!is_linearizable(stale_read));

    let both_win = vec![
        (0, Call(accepted(0, "a"))),
        (1, Call(accepted(0, "b"))),
        (0, Response(accepted(0, "a"))),
        (1, Response(accepted(0, "b"))),
    ];
    assert!(!is_linearizable(both_win));

    let wrong_winner = sequential(vec![accepted(0, "a"), conflict("b", 1, "c")]);
    assert!(!is_linearizable(wrong_winner));

    let lost_change = sequential(vec![accepted(0, "a"), read(0, "")]);
    assert!(!is_linearizable(lost_change));

    let conflict_without_winner = sequential(vec![conflict("a", 0, "")]);
    assert!(!is_linearizable(conflict_without_winner));

    // A change without an answer may take effect, but must not be undone later.
    let unknown = || change(0, "a", None);
    let comes_and_goes = vec![
        (0, Call(unknown())),
        (1, Call(read(1, "a"))),
        (1, Response(read(1, "a"))),
        (1, Call(read(0, ""))),
        (1, Response(read(0, ""))),
        (0, Response(unknown())),
    ];
    assert!(!is_linearizable(comes_and_goes));
}

/// Guards against a checker that rejects changes with an unknown outcome, whether
/// or not they took effect.
#[test]
fn histories_with_unknown_outcomes_are_accepted() {
    let unknown = || change(0, "a", None);
    for seen in [read(0, ""), read(1, "a")] {
        let history = vec![
            (0, Call(unknown())),
            (1, Call(seen.clone())),
            (1, Response(seen)),
            (0, Response(unknown())),
        ];
        assert!(is_linearizable(history));
    }
}
