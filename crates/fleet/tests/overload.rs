//! A host under more load than its workers can carry, played with a simulated
//! clock and simulated workers. It checks what callers get.

mod common;
mod simulation;

use std::time::Duration;

use googletest::prelude::*;
use hornbeam_fleet::SchedulingOptions;
use simulation::{CLASSES, Load, Simulation, Totals};

const SEEDS: u64 = 2;

/// Overloads: work that arrives as a multiple of the capacity, and the factor on
/// the share of the long jobs.
const OVERLOADS: [(f64, f64); 3] = [(1.5, 1.0), (2.0, 1.0), (1.5, 4.0)];

/// Largest share of late jobs among those that complete.
const MAX_LATE_PERCENT: u32 = 5;

/// Least share of the urgent jobs that must end in time. They are at most a
/// quarter of the work.
const MIN_URGENT_SHARE: f64 = 0.9;

/// Least share of the other jobs of a kind that must end in time, as a share of
/// what the capacity allows.
const MIN_SHARE_OF_CAPACITY: f64 = 0.5;

/// Plays a load after two calm seconds with several seeds, and gets the sum of
/// the totals.
fn play(factor: f64, long_jobs: f64) -> Vec<Totals> {
    let mut sums = vec![Totals::default(); CLASSES.len()];
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, CLASSES, SchedulingOptions::default());
        simulation.play(Load {
            factor: 0.5,
            class_factors: [1.0; 3],
            length: Duration::from_secs(2),
        });
        let load = Load {
            factor,
            class_factors: [1.0, long_jobs, 1.0],
            length: Duration::from_secs(5),
        };
        for (sum, totals) in sums.iter_mut().zip(simulation.play(load)) {
            sum.jobs += totals.jobs;
            sum.in_time += totals.in_time;
            sum.late += totals.late;
        }
    }
    sums
}

/// Gets the number of jobs that ended in time, of those that ended late, and of
/// all.
fn total(totals: &[Totals]) -> (u32, u32, u32) {
    let sum = |count: fn(&Totals) -> u32| totals.iter().map(count).sum();
    (
        sum(|totals| totals.in_time),
        sum(|totals| totals.late),
        sum(|totals| totals.jobs),
    )
}

/// Guards against jobs that are refused or late although the workers can do all
/// of the work.
#[gtest]
fn load_below_the_capacity_is_served_in_time() {
    let (in_time, _, jobs) = total(&play(0.7, 1.0));
    expect_that!(in_time * 100, ge(jobs * 99));
}

/// Guards against workers that are busy with jobs that end late. With the
/// earliest latest start first, an overloaded host started each job at the last
/// moment, and of the long ones more than half ended late.
#[gtest]
fn few_jobs_end_late_under_overload() {
    for (factor, long_jobs) in OVERLOADS {
        let (in_time, late, _) = total(&play(factor, long_jobs));
        expect_that!(
            late * 100,
            le((in_time + late) * MAX_LATE_PERCENT),
            "{factor} {long_jobs}"
        );
    }
}

/// Guards against a kind of job that starves under overload, and against urgent
/// jobs that are refused because of less urgent ones that wait.
#[gtest]
fn urgent_jobs_are_served_and_no_kind_starves_under_overload() {
    for (factor, long_jobs) in OVERLOADS {
        let totals = play(factor, long_jobs);
        for (class, totals) in CLASSES.iter().zip(&totals) {
            let share = f64::from(totals.in_time) / f64::from(totals.jobs);
            let least = if class.priority == 0 {
                MIN_URGENT_SHARE
            } else {
                MIN_SHARE_OF_CAPACITY / factor
            };
            expect_that!(share, ge(least), "{} at {factor} {long_jobs}", class.queue);
        }
    }
}
