//! Contention of queues for the cores of one host with `fair_admission`,
//! compared with the previous decisions and with a single queue that knows every
//! run time.

mod common;
mod simulation;

use std::time::Duration;

use googletest::prelude::*;
use hornbeam_fleet::SchedulingOptions;
use simulation::{CLASSES, JobClass, Load, Simulation, Totals};

const FAIR: SchedulingOptions = SchedulingOptions {
    pace: false,
    fair_admission: true,
    interference: false,
};

const SEEDS: u64 = 2;

/// Load before and after the contention, as a multiple of the capacity.
const CALM_LOAD: f64 = 0.8;

/// Growth of one queue in a burst.
const BURST: f64 = 2.3;

/// Wide and narrow jobs of the same tasks and priority, and few urgent ones.
const WIDTHS: [JobClass; 3] = [
    JobClass {
        queue: "urgent",
        priority: 0,
        tasks: 2,
        mean_work: Duration::from_millis(60),
        share: 0.2,
    },
    JobClass {
        queue: "wide",
        priority: 1,
        tasks: 32,
        mean_work: Duration::from_millis(200),
        share: 0.05,
    },
    JobClass {
        queue: "narrow",
        priority: 1,
        tasks: 1,
        mean_work: Duration::from_millis(200),
        share: 0.75,
    },
];

/// Plays calm seconds and then a load, and prints the shares in time by class.
fn play(
    classes: [JobClass; 3],
    scheduling: SchedulingOptions,
    factor: f64,
    class_factors: [f64; 3],
) -> Vec<Totals> {
    let mut sums = vec![Totals::default(); classes.len()];
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, classes, scheduling);
        simulation.play(Load {
            factor: CALM_LOAD,
            class_factors: [1.0; 3],
            length: Duration::from_secs(4),
        });
        let totals = simulation.play(Load {
            factor,
            class_factors,
            length: Duration::from_secs(4),
        });
        for (sum, totals) in sums.iter_mut().zip(totals) {
            sum.jobs += totals.jobs;
            sum.in_time += totals.in_time;
            sum.late += totals.late;
            sum.ideal += totals.ideal;
        }
    }
    for (class, sum) in classes.iter().zip(&sums) {
        println!(
            "fair {} load {factor:.2} {class_factors:?} {}: {:.3} in time, {:.3} late, {:.3} ideal",
            scheduling.fair_admission,
            class.queue,
            share(sum.in_time, sum),
            share(sum.late, sum),
            share(sum.ideal, sum),
        );
    }
    sums
}

fn share(count: u32, totals: &Totals) -> f64 {
    f64::from(count) / f64::from(totals.jobs.max(1))
}

/// Gets the load while one queue grows and the others stay as they are.
fn burst_load(class_factors: [f64; 3]) -> f64 {
    let work = |factors: [f64; 3]| -> f64 {
        let classes = CLASSES.iter().zip(factors);
        classes
            .map(|(class, factor)| class.share * factor * class.work_s())
            .sum()
    };
    CALM_LOAD * work(class_factors) / work([1.0; 3])
}

/// Gets the share of all jobs that ended in time, and the same of the ideal.
fn overall(totals: &[Totals]) -> (f64, f64) {
    let sum = |count: fn(&Totals) -> u32| f64::from(totals.iter().map(count).sum::<u32>());
    let jobs = sum(|totals| totals.jobs);
    (sum(|t| t.in_time) / jobs, sum(|t| t.ideal) / jobs)
}

/// Least share of all jobs in time, relative to the previous decisions. It
/// covers the noise of two seeds.
const LEAST_OF_PREVIOUS: f64 = 0.98;

/// Least share of all jobs in time, relative to the single queue with perfect
/// information. That one takes jobs in the order of their arrival.
const LEAST_OF_IDEAL: f64 = 0.9;

/// Plays a load with the previous decisions and with the new ones, and checks
/// that they serve enough.
fn compare(classes: [JobClass; 3], factor: f64, class_factors: [f64; 3]) -> [Vec<Totals>; 2] {
    let previous = play(classes, SchedulingOptions::default(), factor, class_factors);
    let fair = play(classes, FAIR, factor, class_factors);
    let (before, _) = overall(&previous);
    let (in_time, ideal) = overall(&fair);
    println!("overall previous {before:.3} fair {in_time:.3} ideal {ideal:.3}");
    expect_that!(in_time, ge(before * LEAST_OF_PREVIOUS));
    expect_that!(in_time, ge(ideal * LEAST_OF_IDEAL));
    [previous, fair]
}

/// Guards against a burst of one queue that costs more jobs than a single queue
/// with perfect information, or than the previous decisions, would lose.
#[gtest]
fn burst_of_one_queue() {
    for class_factors in [[BURST, 1.0, 1.0], [1.0, BURST, 1.0], [1.0, 1.0, BURST]] {
        compare(CLASSES, burst_load(class_factors), class_factors);
    }
}

/// Guards against more losses than necessary while the load is 1.1 times the
/// capacity over all queues.
#[gtest]
fn load_slightly_above_the_capacity() {
    compare(CLASSES, 1.1, [1.0; 3]);
}

/// Guards against wide jobs that lose their last tasks to narrow jobs: they then
/// end late, and the cores of their first tasks are wasted.
#[gtest]
fn wide_jobs_against_narrow_ones() {
    let [previous, fair] = compare(WIDTHS, 1.1, [1.0; 3]);
    let wide = |totals: &[Totals]| share(totals[1].in_time, &totals[1]);
    expect_that!(wide(&fair), ge(wide(&previous) * LEAST_OF_PREVIOUS));
    expect_that!(
        share(fair[1].late, &fair[1]),
        le(share(previous[1].late, &previous[1]))
    );
}
