//! The retry-after time, and the precedence of callers that return.

use std::time::Duration;

use googletest::prelude::*;
use hornbeam_admission::{Rejections, retry_after};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against callers that return at once, after minutes, or together.
#[gtest]
fn retry_after_follows_the_work_ahead_within_bounds() {
    for (drain, least) in [(0, 250), (900, 900), (60_000, 5000)] {
        let times: Vec<Duration> = (0..200).map(|job| retry_after(ms(drain), job)).collect();
        expect_that!(times.iter().min(), some(ge(&ms(least))));
        expect_that!(times.iter().max(), some(le(&ms(least * 3 / 2))));
        // Jitter uses the whole span.
        let late = times.iter().filter(|time| **time > ms(least * 5 / 4));
        expect_that!(late.count(), all!(ge(70), le(130)));
        expect_that!(retry_after(ms(drain), 7), eq(times[7]));
    }
}

/// Guards against callers that return too early and are preferred all the same,
/// and records that are never dropped.
#[gtest]
fn rejections_are_remembered_for_a_time() {
    let mut rejections = Rejections::default();
    rejections.record(1, ms(1000), ms(500));
    expect_that!(rejections.returns_as_told(1, ms(1499)), eq(false));
    expect_that!(rejections.returns_as_told(1, ms(1500)), eq(true));
    expect_that!(rejections.returns_as_told(2, ms(1500)), eq(false));
    expect_that!(rejections.returns_as_told(1, ms(21_001)), eq(false));
    for job in 2..10_000 {
        rejections.record(job, ms(2000), ms(500));
    }
    expect_that!(rejections.len(), le(4096));
    expect_that!(rejections.returns_as_told(9999, ms(2500)), eq(true));
    rejections.record(1, ms(30_000), ms(500));
    expect_that!(rejections.len(), eq(1));
}
