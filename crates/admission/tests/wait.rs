//! The wait estimate by work.

use std::time::Duration;

use googletest::prelude::*;
use hornbeam_admission::{
    EndSpan, JobDemand, MAX_PRIORITIES, MeanWork, PeerLine, QueuedWork, Supply, Work, check_start,
};

const CPU_MILLI: u32 = 8000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn demand(tasks: u32, expected: u64, time_left: u64) -> JobDemand {
    JobDemand {
        tasks,
        cpu_milli: CPU_MILLI,
        expected: ms(expected),
        time_left: ms(time_left),
    }
}

fn supply(free_slots: u32, serving_slots: u32, mean_remaining: u64) -> Supply {
    Supply {
        free_slots,
        serving_slots,
        ends: vec![EndSpan::of_mean(ms(mean_remaining))],
    }
}

fn line(tasks: usize, expected: u64) -> Work {
    Work::of_tasks(tasks, CPU_MILLI, ms(expected))
}

/// Guards against the fault of a count at one mean run time: as many tasks
/// reject a job when they are long, and do not when they are short.
#[gtest]
fn tasks_ahead_count_by_their_run_time() {
    let job = demand(2, 200, 100);
    expect_that!(
        check_start(&job, &line(100, 60), &supply(0, 80, 30)),
        ok(())
    );
    let late = check_start(&job, &line(100, 900), &supply(0, 80, 450));
    expect_that!(late.map_err(|late| late.wait), err(gt(ms(200))));
}

/// Guards against the rejections that were traced to an estimate just above the
/// allowed wait: 71 ms against 60, 67 against 66, 73 against 72.
#[gtest]
fn estimate_within_its_error_rejects_no_job() {
    for (wait, allowed) in [(71, 60), (67, 66), (73, 72)] {
        // With runs of 100 ms on 100 slots, a slot becomes free every 1 ms.
        let ahead = line(wait - 1, 100);
        let job = demand(1, 100, allowed);
        expect_that!(check_start(&job, &ahead, &supply(0, 100, 50)), ok(()));
    }
}

/// Guards against a job that is accepted although it would clearly start too
/// late, and is held until then.
#[gtest]
fn clearly_late_job_is_rejected() {
    let job = demand(2, 200, 100);
    let late = check_start(&job, &line(300, 200), &supply(0, 80, 100));
    expect_that!(
        late.map_err(|late| late.wait),
        err(all!(gt(ms(500)), lt(ms(1000))))
    );
}

/// Guards against a rejection while all tasks have room, and against an estimate
/// without any worker, which says nothing.
#[gtest]
fn job_with_room_is_never_rejected() {
    let long_line = line(10_000, 900);
    expect_that!(
        check_start(&demand(2, 60, 0), &long_line, &supply(2, 80, 450)),
        ok(())
    );
    expect_that!(
        check_start(&demand(2, 60, 0), &long_line, &supply(0, 0, 0)),
        ok(())
    );
    expect_that!(
        check_start(&demand(2, 60, 0), &long_line, &supply(1, 80, 450)),
        err(anything())
    );
}

/// Guards against work of lower priority at a peer that counts as ahead, and
/// against a list of any length or size from another process.
#[gtest]
fn queued_work_of_a_peer_counts_up_to_the_priority() {
    let mut queued = QueuedWork::default();
    queued.add(0, 100.0);
    queued.add(2, 1000.0);
    queued.add(99, 1e30);
    expect_that!(queued.core_ms.len(), eq(MAX_PRIORITIES));
    let peer = PeerLine {
        waiting: 5,
        queued: Some(queued),
    };
    let mean = line(1, 100);
    expect_that!(peer.ahead_of(0, &mean, 1.0).core_ms, near(100.0, 1e-6));
    expect_that!(peer.ahead_of(1, &mean, 1.0).core_ms, near(100.0, 1e-6));
    expect_that!(peer.ahead_of(2, &mean, 1.0).core_ms, near(1100.0, 1e-6));
    let silent = PeerLine {
        waiting: 5,
        queued: None,
    };
    expect_that!(
        silent.ahead_of(0, &mean, 0.5).core_ms,
        near(2.5 * 800.0, 1e-6)
    );
}

/// Guards against a mean that follows a single run.
#[gtest]
fn mean_work_changes_slowly() {
    let mut mean = MeanWork::default();
    expect_that!(mean.get(), none());
    mean.record(CPU_MILLI, ms(100));
    mean.record(CPU_MILLI, ms(1000));
    expect_that!(mean.get().map(|work| work.core_ms), some(near(944.0, 1.0)));
}

/// Guards against an estimate that takes a host of many short and few long runs
/// for one of runs of mean length: a slot in ten is free only late.
#[gtest]
fn short_runs_end_soon_beside_long_ones() {
    let mut ends = vec![EndSpan::of_run(ms(60), ms(30)); 9];
    ends.push(EndSpan::of_run(ms(900), ms(100)));
    let mixed = Supply {
        free_slots: 0,
        serving_slots: 10,
        ends,
    };
    let job = demand(8, 60, 60);
    expect_that!(check_start(&job, &Work::default(), &mixed), ok(()));
    let long = vec![EndSpan::of_run(ms(900), ms(100)); 10];
    let all_long = Supply {
        ends: long,
        ..mixed
    };
    expect_that!(
        check_start(&job, &Work::default(), &all_long),
        err(anything())
    );
}
