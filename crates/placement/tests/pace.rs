//! What is learned about the pace of workers.

use std::time::Duration;

use googletest::prelude::*;
use hornbeam_placement::{Pace, PaceTable};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const EXPECTED: Duration = Duration::from_millis(200);

/// Largest relative error of a declared run time.
const DECLARED_ERROR: f64 = 0.4;

/// Records runs of a machine type whose workers have a speed, and of which some
/// tasks take seven times as long by themselves.
fn record(table: &mut PaceTable, machine_type: &str, speed: f64, runs: u32, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..runs {
        let error = rng.random_range(1.0 - DECLARED_ERROR..1.0 + DECLARED_ERROR);
        let tail = if rng.random_bool(0.03) { 7.0 } else { 1.0 };
        table.record(
            machine_type,
            EXPECTED,
            EXPECTED.mul_f64(error * tail / speed),
        );
    }
}

/// Guards against paces that declared times with an error of 40 percent and long
/// tasks blur: after 200 runs a type, they are within 15 percent.
#[gtest]
fn paces_are_learned_from_times_that_are_far_off() {
    for seed in 0..20 {
        let mut table = PaceTable::default();
        record(&mut table, "a", 0.7, 200, seed);
        record(&mut table, "b", 1.7, 200, seed + 1000);
        table.set_workers([("a", 8), ("b", 4)]);
        let mean = (8.0 * 0.7 + 4.0 * 1.7) / 12.0;
        expect_that!(
            table.pace("a").relative(),
            near(0.7 / mean, 0.15 * 0.7 / mean)
        );
        expect_that!(
            table.pace("b").relative(),
            near(1.7 / mean, 0.15 * 1.7 / mean)
        );
    }
}

/// Guards against a pace for a type of which little is known.
#[gtest]
fn a_type_with_few_runs_counts_as_of_mean_pace() {
    let mut table = PaceTable::default();
    record(&mut table, "a", 0.5, 10, 1);
    table.set_workers([("a", 3)]);
    expect_that!(table.pace("a"), eq(Pace::MEAN));
    expect_that!(table.extremes(), none());
}

/// Guards against a table that grows with the labels that reports name.
#[gtest]
fn the_number_of_types_is_bounded() {
    let mut table = PaceTable::default();
    for index in 0..1000 {
        record(&mut table, &format!("type-{index}"), 2.0, 20, index);
    }
    let names: Vec<String> = (0..1000).map(|index| format!("type-{index}")).collect();
    table.set_workers(names.iter().map(|name| (name.as_str(), 1)));
    let known = names.iter().filter(|name| table.pace(name) != Pace::MEAN);
    expect_that!(known.count(), le(16));
}

/// Guards against overflow by times of any size from other processes.
#[gtest]
fn times_of_any_size_are_bounded() {
    let mut table = PaceTable::default();
    for _ in 0..20 {
        table.record("a", Duration::from_nanos(1), Duration::MAX);
        table.record("b", Duration::MAX, Duration::ZERO);
    }
    table.set_workers([("a", 1), ("b", u32::MAX)]);
    expect_that!(table.pace("a").relative(), gt(0.0));
    expect_that!(Pace::new(0.0).time_for(Duration::MAX), gt(Duration::ZERO));
    expect_that!(
        Pace::new(f64::MIN_POSITIVE).time_for(Duration::MAX),
        gt(Duration::ZERO)
    );
}
