//! Tests of the timer service on a manual clock.

use std::time::Duration;

use googletest::prelude::*;
use hornbeam_timer::{ManualClock, TimerService};

const PERIOD: Duration = Duration::from_secs(1);

/// Guards against a burst of ticks after the process was suspended: components
/// would count each as a period without contact and end leases that are not due.
#[gtest]
#[tokio::test]
async fn missed_ticks_are_skipped() {
    let clock = ManualClock::default();
    let timer = TimerService::new(clock.clone());
    let mut ticks = timer.ticks(PERIOD);
    clock.advance(PERIOD * 10);
    expect_that!(ticks.next().await, eq(PERIOD * 10));
    let second = timer.timeout(PERIOD / 2, ticks.next());
    let advance = async { clock.advance(PERIOD / 2) };
    let (second, ()) = tokio::join!(second, advance);
    expect_that!(second, some(anything()));
    expect_that!(timer.now(), eq(PERIOD * 10 + PERIOD / 2));
}

/// Guards against a timeout that does not fire if its future never completes.
#[gtest]
#[tokio::test]
async fn timeout_ends_a_pending_future() {
    let clock = ManualClock::default();
    let timer = TimerService::new(clock.clone());
    let waiting = timer.timeout(PERIOD, std::future::pending::<()>());
    let advance = async { clock.advance(PERIOD) };
    let (outcome, ()) = tokio::join!(waiting, advance);
    expect_that!(outcome, none());
}

/// Guards against a sleep that never returns if its time has already passed.
#[gtest]
#[tokio::test]
async fn sleep_until_a_past_time_returns() {
    let clock = ManualClock::default();
    let timer = TimerService::new(clock.clone());
    clock.advance(PERIOD);
    timer.sleep_until(Duration::ZERO).await;
    expect_that!(timer.now(), eq(PERIOD));
}
