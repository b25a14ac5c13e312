//! Model check of the ownership of workers: seeded schedules of late, lost and
//! repeated messages, and of workers and hosts that come and go.
//!
//! `MODEL_SCHEDULES` and `MODEL_SEED` set how many schedules are played and from
//! which seed they are generated.

mod common;
mod model;

use std::cell::Cell;

use model::network::MessageKind;
use model::schedule::{Fate, MessageFault, NodeFault, Schedule, schedules, schedules_with_resets};
use model::site::Site;
use proptest::strategy::Strategy;
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

/// Plays random schedules until one breaks a rule.
fn play_random(schedules: impl Strategy<Value = Schedule>) {
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
    let result = runner.run(&schedules, |schedule| {
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

/// Guards against two runs of a task at the same time, starts on a worker whose
/// drain was acknowledged, false refusals, partial results and callers without an
/// answer, whichever messages are late, lost or repeated.
#[test]
fn rules_hold_whichever_messages_are_late_lost_or_repeated() {
    play_random(schedules());
}

/// Guards against the same, and against starts by a host that has not yet read which
/// callers have left (review, case 14), when connections of callers are reset while
/// their hosts stand still.
#[test]
fn rules_hold_when_callers_of_frozen_hosts_leave() {
    play_random(schedules_with_resets());
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

/// Fails if a schedule breaks a rule.
fn check(schedule: &Schedule) {
    if let Err(broken) = play(schedule) {
        panic!("{}\n{}", broken.join("\n"), trace(schedule));
    }
}

/// Restarts the workers in turn under their ids, each within the time of a poll.
fn restarts(seed: u64) -> Schedule {
    let restart = |step| {
        let worker = usize::try_from((seed + step) % 4).expect("a small number");
        let down_ms = 20 + seed % 180;
        (700 * step, NodeFault::Crash { worker, down_ms })
    };
    Schedule {
        seed,
        messages: vec![],
        nodes: (0..12).map(restart).collect(),
    }
}

/// Holds up the stops at a worker.
fn late_stops(worker: usize) -> MessageFault {
    MessageFault {
        kind: MessageKind::Stop,
        node: worker,
        from_ms: 0,
        count: 200,
        fate: Fate::Held(2300),
    }
}

/// Guards against two runs of a task after its worker has restarted under its id
/// within the time of a poll, and start requests of before reach it (review, case
/// 7).
#[test]
fn rules_hold_when_workers_restart_before_their_polls_are_given_up() {
    for seed in 0..LOADS {
        check(&restarts(seed));
    }
}

/// Guards against two runs of a task after the host of its job was killed, while the
/// stops at workers are held up (review, case 8).
#[test]
fn rules_hold_when_a_host_is_killed_and_stops_are_late() {
    for seed in 0..LOADS {
        let kill = |step| {
            let host = usize::try_from((seed + step) % 3).expect("a small number");
            let down_ms = 2000;
            (800 + 3300 * step, NodeFault::Kill { host, down_ms })
        };
        check(&Schedule {
            seed,
            messages: (0..4).map(late_stops).collect(),
            nodes: (0..3).map(kill).collect(),
        });
    }
}

/// Guards against two runs of a task after its host was killed and started again, by
/// ends that a peer sent to the former process (review, case 13).
#[test]
fn rules_hold_when_ends_for_a_former_process_arrive() {
    let kill = NodeFault::Kill {
        host: 1,
        down_ms: 1271,
    };
    check(&Schedule {
        seed: 17_914_297_591_924_677_107,
        messages: vec![],
        nodes: vec![(1387, kill)],
    });
}

/// Guards against two runs of a task whose caller left while its host stood still and
/// sent it to another host shortly before the first one runs again (review, case 14).
#[test]
fn rules_hold_when_a_host_wakes_after_its_callers_have_retried() {
    for seed in 0..LOADS {
        let faults = |step: u64| {
            let host = usize::try_from((seed + step) % 3).expect("a small number");
            let at = 800 + 3300 * step;
            let for_ms = 1310 + seed % 180;
            [
                (at, NodeFault::Freeze { host, for_ms }),
                (at + 5, NodeFault::ResetCallers { host }),
            ]
        };
        check(&Schedule {
            seed,
            messages: vec![],
            nodes: (0..3).flat_map(faults).collect(),
        });
    }
}

/// Guards against two runs of a task after its worker has restarted, while messages
/// of one kind to or from each worker are late.
#[test]
fn rules_hold_when_workers_restart_and_messages_are_late() {
    const KINDS: [MessageKind; 6] = [
        MessageKind::Start,
        MessageKind::StartAnswer,
        MessageKind::Poll,
        MessageKind::PollAnswer,
        MessageKind::Stop,
        MessageKind::Report,
    ];
    const HELD_MS: [u64; 6] = [30, 60, 120, 200, 300, 450];
    let pick = |seed: u64, count: usize| usize::try_from(seed).expect("a small number") % count;
    for seed in 0..2 * LOADS {
        let late = |worker: usize| MessageFault {
            kind: KINDS[pick(seed / 7 + worker as u64, KINDS.len())],
            node: worker,
            from_ms: 0,
            count: 200,
            fate: match seed % 5 {
                0 => Fate::Lost,
                _ => Fate::Held(HELD_MS[pick(seed / 3, HELD_MS.len())]),
            },
        };
        let schedule = Schedule {
            messages: (0..4).map(late).collect(),
            ..restarts(seed)
        };
        check(&schedule);
    }
}

/// Guards against two runs of a task after the host of its job was killed or stood
/// still, while batches and stops are late.
#[test]
fn rules_hold_when_a_host_is_gone_and_batches_and_stops_are_late() {
    const HELD_MS: [u64; 6] = [120, 250, 400, 700, 1100, 2300];
    for seed in 0..LOADS {
        let late_batches = |host: usize| MessageFault {
            kind: MessageKind::Batch,
            node: host,
            from_ms: 500 * (seed % 9),
            count: 20 + u32::try_from(seed % 40).expect("a small number"),
            fate: Fate::Held(HELD_MS[(host + seed as usize) % HELD_MS.len()]),
        };
        let gone = |step: u64| {
            let host = usize::try_from((seed + step) % 3).expect("a small number");
            let fault = match seed % 2 {
                0 => NodeFault::Kill {
                    host,
                    down_ms: 2000,
                },
                _ => NodeFault::Freeze {
                    host,
                    for_ms: 200 + 37 * (seed % 60),
                },
            };
            (800 + 3300 * step, fault)
        };
        let messages = (0..4).map(late_stops).chain((0..3).map(late_batches));
        check(&Schedule {
            seed,
            messages: messages.collect(),
            nodes: (0..3).map(gone).collect(),
        });
    }
}
