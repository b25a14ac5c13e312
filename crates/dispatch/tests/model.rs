//! Simulation test: several dispatchers and fake servers share a virtual clock,
//! with random faults at every point of an exchange.

#[path = "model/backend.rs"]
mod backend;
mod common;
#[path = "model/plan.rs"]
mod plan;
#[path = "model/simulation.rs"]
mod simulation;

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};

use common::history::check;
use simulation::Simulation;

/// Gets a configuration with a fixed seed, so that every run has the same
/// result. `PROPTEST_CASES` selects a search with new random seeds.
fn config() -> ProptestConfig {
    if std::env::var_os("PROPTEST_CASES").is_some() {
        return ProptestConfig::default();
    }
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a task that starts twice, a job without exactly one valid
    /// answer, a refused job that started, tasks sent to a withdrawn server,
    /// exceeded limits, and work that never ends.
    #[test]
    fn guarantees_hold(plan in plan::plans()) {
        let simulation = Simulation::run(&plan);
        let violations = check(&simulation.history);
        prop_assert!(violations.is_empty(), "{violations:?}\n{}", simulation.trace.join("\n"));
        let unfinished_work = simulation.unfinished_work();
        prop_assert!(unfinished_work.is_empty(), "{unfinished_work:?}\n{}", simulation.trace.join("\n"));
    }
}

/// Texts that the traces must contain, so that the checks are meaningful.
const REQUIRED_CASES: [&str; 22] = [
    "outcome: Complete",
    "outcome: Failed",
    "outcome: Refused",
    "Some(TaskFailed)",
    "Some(TaskStopped)",
    "Some(OutcomeUnknown)",
    "Some(DeadlineExceeded)",
    "Some(AlreadyClaimed)",
    "Some(ClaimUnavailable)",
    "Some(QuotaExceeded)",
    "Some(Overloaded)",
    "Log(TaskRetried",
    "the server says that it never started",
    "the server started again",
    "the peer says that it never started",
    "Log(ServerLeaseExpired",
    "Log(ServerWithdrawn",
    "Log(PeerLost",
    "late answer to exchange",
    "AnswerChunk { peer: \"e0\", chunk_id",
    "answer: Complete(",
    "answer: NotStarted(",
];

/// Guards against a simulation that no longer reaches the cases it has to check,
/// and against runs that are not deterministic.
#[test]
fn runs_reach_every_case_and_repeat() {
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(2),
        ..ProptestConfig::default()
    });
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for _ in 0..100 {
        let plan = plan::plans().new_tree(&mut runner).unwrap().current();
        let trace = Simulation::run(&plan).trace;
        for case in REQUIRED_CASES {
            let lines = trace.iter().filter(|line| line.contains(case));
            *seen.entry(case).or_default() += lines.count();
        }
        assert_eq!(trace, Simulation::run(&plan).trace);
    }
    let missing: Vec<_> = seen.iter().filter(|(_, times)| **times == 0).collect();
    assert!(missing.is_empty(), "{missing:?} of {seen:?}");
}
