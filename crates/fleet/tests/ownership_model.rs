//! Model check of the ownership of workers: seeded schedules of late, lost and
//! repeated messages, and of workers and hosts that come and go.
//!
//! `MODEL_SCHEDULES` and `MODEL_SEED` set how many schedules are played and from
//! which seed they are generated.

mod common;
mod model;

use std::cell::Cell;

use model::network::MessageKind;
use model::schedule::{Fate, MessageFault, NodeFault, Schedule, schedules};
use model::site::Site;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// Schedules that are played without a setting.
const DEFAULT_SCHEDULES: u32 = 200;

/// Loads with which a fixed schedule is played.
const LOADS: u64 = 100;

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().expect("a number"))
}

fn play(schedule: &Schedule) -> Result<u64, Vec<String>> {
    let mut site = Site::new(schedule);
    site.play();
    if site.broken.is_empty() {
        return Ok(site.starts);
    }
    Err(site.broken)
}

/// Plays a schedule again and gets its broken rules and its events.
fn trace(schedule: &Schedule) -> String {
    let mut site = Site::new(schedule);
    site.trace = Some(Vec::new());
    site.play();
    let lines = site.trace.unwrap_or_default();
    format!(
        "{schedule:#?}\n{}\n{}",
        lines.join("\n"),
        site.broken.join("\n")
    )
}

/// Guards against two runs of a task at the same time, starts on a worker whose
/// drain was acknowledged, false refusals, partial results and callers without an
/// answer, whichever messages are late, lost or repeated.
#[test]
fn rules_hold_whichever_messages_are_late_lost_or_repeated() {
    let cases = u32::try_from(setting("MODEL_SCHEDULES", DEFAULT_SCHEDULES.into()));
    let cases = cases.expect("a small number");
    let seed = setting("MODEL_SEED", 1);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 4000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let played = Cell::new(0);
    let starts = Cell::new(0);
    let result = runner.run(&schedules(), |schedule| {
        played.set(played.get() + 1);
        match play(&schedule) {
            Ok(count) => {
                starts.set(starts.get() + count);
                Ok(())
            }
            Err(broken) => Err(TestCaseError::fail(broken.join("\n"))),
        }
    });
    println!("{} schedules, {} starts", played.get(), starts.get());
    if let Err(proptest::test_runner::TestError::Fail(reason, schedule)) = &result {
        panic!("{reason}\n{}", trace(schedule));
    }
    result.expect("schedules can be generated");
    assert!(starts.get() > u64::from(cases) * 20, "the load is too low");
}

/// Guards against a model worker whose runs outlive its lease: a repeated start
/// extends the lease, and the runs must end when the extended lease expires.
#[test]
fn runs_end_with_a_lease_that_a_repeated_start_extended() {
    let held = |kind, from_ms, count, ms| MessageFault {
        kind,
        node: 3,
        from_ms,
        count,
        fate: Fate::Held(ms),
    };
    let schedule = Schedule {
        seed: 15_252_230_444_059_538_849,
        messages: vec![
            held(MessageKind::Start, 0, 5, 120),
            held(MessageKind::Poll, 2713, 7, 2300),
        ],
        nodes: vec![],
    };
    if let Err(broken) = play(&schedule) {
        panic!("{}\n{}", broken.join("\n"), trace(&schedule));
    }
}

/// Plays a schedule with each of many loads, until one breaks a rule.
fn play_with_loads(schedule: impl Fn(u64) -> Schedule) {
    for seed in 0..LOADS {
        let schedule = schedule(seed);
        if let Err(broken) = play(&schedule) {
            panic!("{}\n{}", broken.join("\n"), trace(&schedule));
        }
    }
}

/// Guards against two runs of a task after its worker has restarted under its id
/// within the time of a poll, and start requests of before reach it (review, case
/// 7).
#[test]
fn rules_hold_when_workers_restart_before_their_polls_are_given_up() {
    play_with_loads(|seed| Schedule {
        seed,
        messages: vec![],
        nodes: (0..12)
            .map(|step| {
                let worker = usize::try_from((seed + step) % 4).expect("a small number");
                let down_ms = 20 + seed % 180;
                (700 * step, NodeFault::Crash { worker, down_ms })
            })
            .collect(),
    });
}

/// Guards against two runs of a task after the host of its job was killed, while the
/// stops at workers are held up (review, case 8).
#[test]
fn rules_hold_when_a_host_is_killed_and_stops_are_late() {
    let late_stops = |worker| MessageFault {
        kind: MessageKind::Stop,
        node: worker,
        from_ms: 0,
        count: 200,
        fate: Fate::Held(2300),
    };
    play_with_loads(|seed| Schedule {
        seed,
        messages: (0..4).map(late_stops).collect(),
        nodes: (0..3)
            .map(|step| {
                let host = usize::try_from((seed + step) % 3).expect("a small number");
                let down_ms = 2000;
                (800 + 3300 * step, NodeFault::Kill { host, down_ms })
            })
            .collect(),
    });
}
