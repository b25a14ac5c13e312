//! The place of jobs in the line, and the shares of queues.

use std::time::Duration;

use googletest::prelude::*;
use hornbeam_admission::{Shares, Standing, place_before_new};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn standing(priority: u32, is_within_share: bool) -> Standing {
    Standing {
        priority,
        is_within_share,
    }
}

/// Guards against priorities 1 and 2 that are treated alike, and a burst that
/// goes before jobs of its priority that are within their share.
#[gtest]
fn lower_priorities_and_bursts_wait() {
    let at = ms(1000);
    let mut places = Vec::new();
    for priority in [0, 1, 2] {
        places.push(standing(priority, true).place(at));
    }
    expect_that!(places.is_sorted_by(|a, b| a < b), eq(true));
    // A burst waits behind its own priority and the next one within their shares.
    for priority in [0, 1] {
        let burst = standing(priority, false).place(at);
        expect_that!(burst, gt(standing(priority, true).place(at)));
        expect_that!(burst, gt(standing(priority + 1, true).place(at)));
        expect_that!(burst, lt(standing(priority + 1, false).place(at)));
    }
}

/// Guards against a queue that starves: a job of the lowest priority precedes
/// jobs of the highest that arrive later than the largest lead.
#[gtest]
fn waiting_job_of_the_lowest_priority_comes_first_in_the_end() {
    let waiting = standing(2, false).place(ms(1000));
    expect_that!(standing(0, true).place(ms(1201)), gt(waiting));
}

/// Guards against last tasks of a started job behind first tasks of others.
#[gtest]
fn started_job_precedes_new_ones_of_its_priority() {
    for priority in [0, 1, 2] {
        let new = standing(priority, true).place(ms(1001));
        expect_that!(place_before_new(priority, ms(1000)), lt(new));
    }
}

/// Plays a queue with one job of 1,000 core-ms per period, and gets the share of
/// jobs within its share.
fn play(shares: &mut Shares, now: &mut Duration, period_ms: u64, length: Duration) -> f64 {
    let end = *now + length;
    let (mut within, mut jobs) = (0, 0);
    while *now < end {
        *now += ms(period_ms);
        jobs += 1;
        within += u32::from(shares.record("orders", 1000.0, *now));
    }
    f64::from(within) / f64::from(jobs)
}

/// Guards against a burst that takes the place of other queues, and against one
/// that is never accepted as the new demand.
#[gtest]
fn burst_is_beyond_the_share_and_steady_demand_is_not() {
    let mut shares = Shares::default();
    let mut now = ms(0);
    expect_that!(play(&mut shares, &mut now, 100, ms(30_000)), eq(1.0));
    let in_burst = play(&mut shares, &mut now, 43, ms(5_000));
    expect_that!(in_burst, all!(ge(0.6), le(0.95)));
    play(&mut shares, &mut now, 43, ms(40_000));
    expect_that!(play(&mut shares, &mut now, 43, ms(5_000)), eq(1.0));
}

/// Guards against a queue with few jobs that is beyond its share by chance, when
/// several arrive together.
#[gtest]
fn few_jobs_together_are_within_the_share() {
    let mut shares = Shares::default();
    let mut now = ms(0);
    play(&mut shares, &mut now, 1200, ms(30_000));
    expect_that!(play(&mut shares, &mut now, 1, ms(5)), eq(1.0));
}
