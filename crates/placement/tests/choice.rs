//! Which workers come first for a task, and when a run is restarted.

use std::time::Duration;

use googletest::prelude::*;
use hornbeam_placement::{FastCapacity, Pace, PaceNeed, PaceRank, RunOutlook};

const PLENTY: FastCapacity = FastCapacity {
    free_cpu_milli: 60_000,
    total_cpu_milli: 100_000,
};

const SCARCE: FastCapacity = FastCapacity {
    free_cpu_milli: 20_000,
    total_cpu_milli: 100_000,
};

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Gets the first of a slow, a mean and a fast worker.
fn first(need: PaceNeed, fast: FastCapacity) -> f64 {
    let paces = [0.7, 1.0, 1.7].map(Pace::new);
    let first = paces
        .into_iter()
        .min_by_key(|pace| PaceRank::new(need, *pace, fast));
    first.map_or(0.0, Pace::relative)
}

/// Guards against short tasks that take the last fast workers from long ones,
/// and against fast workers that stay idle while there are plenty.
#[gtest]
fn tasks_that_do_without_leave_scarce_fast_workers_free() {
    let short = PaceNeed::new(ms(51), ms(130));
    expect_that!(first(short, PLENTY), eq(1.7));
    expect_that!(first(short, SCARCE), eq(0.7));
    let long = PaceNeed::new(ms(760), ms(1260));
    expect_that!(first(long, SCARCE), eq(1.0));
    let late = PaceNeed::new(ms(760), ms(500));
    expect_that!(first(late, SCARCE), eq(1.7));
}

/// Guards against restarts that throw work away and gain the caller nothing.
#[gtest]
fn a_run_is_restarted_only_if_the_caller_gains() {
    let outlook = |remaining, restart, until_objective, until_deadline| RunOutlook {
        remaining: ms(remaining),
        restart: ms(restart),
        until_objective: ms(until_objective),
        until_deadline: ms(until_deadline),
    };
    // The caller would have left.
    expect_that!(outlook(7000, 4000, 1000, 5000).gains_by_restart(), eq(true));
    expect_that!(
        outlook(7000, 6000, 1000, 5000).gains_by_restart(),
        eq(false)
    );
    // Late either way: only for half of the time.
    expect_that!(outlook(4000, 1900, 1000, 5000).gains_by_restart(), eq(true));
    expect_that!(
        outlook(4000, 3000, 1000, 5000).gains_by_restart(),
        eq(false)
    );
    // In time.
    expect_that!(outlook(900, 400, 1000, 5000).gains_by_restart(), eq(false));
}
