//! Learns from simulated workers with known factors.

use std::time::Duration;

use googletest::prelude::*;
use hornbeam_interference::{
    InterferenceSummary, InterferenceTable, MAX_SUMMARY_PAIRS, Neighbour, Newcomer, Observation,
    Overlaps, PairSummary, QueueGroups, QueueId, TaskShape,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const QUEUES: usize = 3;
const MEANS_MS: [f64; QUEUES] = [60.0, 900.0, 200.0];
/// Shares of the queues in the tasks, as in the two deployments.
const SHARES: [f64; QUEUES] = [0.55, 0.05, 0.4];
const WORKERS: usize = 10;
const STEP: Duration = Duration::from_millis(2);
/// Runs of a victim after which its factors must be within 15 percent.
const RUNS_TO_LEARN: u32 = 600;
/// The same of a rare queue of long tasks, each of which runs beside many short
/// ones, so that its runs hardly differ in what they share.
const LONG_RUNS_TO_LEARN: u32 = 1800;
const SEEDS: u64 = 6;

type Factors = [[f64; QUEUES]; QUEUES];

/// No queue slows another one down.
const NONE: Factors = [[1.0; QUEUES]; QUEUES];

struct Run {
    id: u64,
    queue: usize,
    expected: Duration,
    work_left: f64,
    started_at: Duration,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: Duration,
    factors: Factors,
    paces: [f64; WORKERS],
    /// Factor on the speed of all runs, for load as such.
    common_speed: f64,
    /// Probability per step that a free slot is filled.
    fill: f64,
    workers: Vec<Vec<Run>>,
    overlaps: Overlaps<u64>,
    table: InterferenceTable,
    next: u64,
    ended: [u32; QUEUES],
}

impl Simulation {
    fn new(seed: u64, factors: Factors) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            factors,
            paces: [1.0; WORKERS],
            common_speed: 1.0,
            fill: 0.02,
            workers: (0..WORKERS).map(|_| Vec::new()).collect(),
            overlaps: Overlaps::default(),
            table: InterferenceTable::default(),
            next: 0,
            ended: [0; QUEUES],
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for worker in 0..WORKERS {
            self.advance(worker);
            // A third of the workers are larger.
            let slots = if worker % 3 == 0 { 3 } else { 2 };
            while self.workers[worker].len() < slots && self.rng.random_bool(self.fill) {
                self.start(worker);
            }
        }
    }

    fn advance(&mut self, worker: usize) {
        let queues: Vec<usize> = self.workers[worker].iter().map(|run| run.queue).collect();
        let speed = self.paces[worker] * self.common_speed;
        for (index, run) in self.workers[worker].iter_mut().enumerate() {
            let others = queues
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index);
            let slowed: f64 = others
                .map(|(_, queue)| self.factors[run.queue][*queue])
                .product();
            run.work_left -= STEP.as_secs_f64() * speed / slowed;
        }
        while let Some(index) = self.workers[worker]
            .iter()
            .position(|run| run.work_left <= 0.0)
        {
            let run = self.workers[worker].swap_remove(index);
            let key = worker as u64;
            let ended = self
                .overlaps
                .end(key, run.id, self.now)
                .expect("a known run");
            self.ended[run.queue] += 1;
            let observation = Observation {
                worker: key,
                pace: 1.0,
                queue: ended.queue,
                expected: run.expected,
                took: self.now - run.started_at,
                overlaps: &ended.units(self.now),
            };
            self.table.record(&observation, self.now);
        }
    }

    fn start(&mut self, worker: usize) {
        let mut draw = self.rng.random_range(0.0..1.0);
        let queue = SHARES.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let queue = queue.unwrap_or(0);
        let work = MEANS_MS[queue] / 1000.0 * self.rng.random_range(0.6..1.4);
        let expected = Duration::from_secs_f64(work * self.rng.random_range(0.6..1.4));
        // 3 in 100 tasks are stragglers.
        let straggles = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
        self.next += 1;
        let id = QueueId(queue as u16);
        self.overlaps
            .start(worker as u64, self.next, id, expected, self.now);
        self.workers[worker].push(Run {
            id: self.next,
            queue,
            expected,
            work_left: work * straggles,
            started_at: self.now,
        });
    }

    /// Runs until each of the queues has ended this many more runs.
    fn run(&mut self, queues: &[usize], runs: u32) {
        let before = self.ended;
        while queues
            .iter()
            .any(|queue| self.ended[*queue] - before[*queue] < runs)
        {
            self.step();
        }
    }

    fn factor(&self, victim: usize, aggressor: usize) -> f64 {
        let factor = self
            .table
            .factor(QueueId(victim as u16), QueueId(aggressor as u16));
        factor.factor
    }

    /// Expects the factors of a victim within 15 percent.
    fn expect_learned(&self, victim: usize, text: &str) {
        for aggressor in 0..QUEUES {
            let (learned, true_factor) = (
                self.factor(victim, aggressor),
                self.factors[victim][aggressor],
            );
            expect_that!(
                (learned / true_factor - 1.0).abs(),
                le(0.15),
                "{text}: {victim} by {aggressor} learned {learned:.2} true {true_factor}"
            );
        }
    }
}

fn one_way(factor: f64) -> Factors {
    let mut factors = NONE;
    factors[0][2] = factor;
    factors
}

fn mutual(factor: f64) -> Factors {
    let mut factors = one_way(factor);
    factors[2][0] = factor;
    factors
}

/// Guards against factors that are wrong or given to the wrong queue, one-way and
/// mutual.
#[gtest]
fn factors_are_learned_within_15_percent() {
    for factors in [NONE, one_way(1.3), one_way(2.0), mutual(1.3), mutual(2.0)] {
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(seed, factors);
            simulation.run(&[0, 2], RUNS_TO_LEARN);
            for victim in [0, 2] {
                simulation.expect_learned(victim, &format!("{factors:?} seed {seed}"));
            }
        }
    }
}

/// Guards against effects on and of a rare queue of long tasks that are missed.
#[gtest]
fn factors_of_a_rare_queue_are_learned() {
    let mut factors = NONE;
    factors[1][0] = 2.0;
    factors[0][1] = 1.3;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, factors);
        simulation.run(&[1], LONG_RUNS_TO_LEARN);
        simulation.expect_learned(0, &format!("short, seed {seed}"));
        simulation.expect_learned(1, &format!("long, seed {seed}"));
    }
}

/// Guards against wrong estimates that are not dropped once a factor changes.
#[gtest]
fn changes_are_followed() {
    for (before, after) in [(1.0, 2.0), (2.0, 1.0), (2.0, 1.3), (1.3, 2.0)] {
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(seed, mutual(before));
            simulation.run(&[0, 2], 2 * RUNS_TO_LEARN);
            simulation.factors = mutual(after);
            simulation.run(&[0, 2], 2 * RUNS_TO_LEARN);
            for victim in [0, 2] {
                let text = format!("{before} to {after}, seed {seed}");
                simulation.expect_learned(victim, &text);
            }
        }
    }
}

/// Guards against unknown paces that are taken for interference: the larger
/// workers, with more neighbours, are the faster ones.
#[gtest]
fn unknown_paces_are_no_interference() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, one_way(1.3));
        simulation.paces = std::array::from_fn(|worker| if worker % 3 == 0 { 1.7 } else { 0.7 });
        simulation.run(&[0, 2], RUNS_TO_LEARN);
        for victim in [0, 2] {
            simulation.expect_learned(victim, &format!("seed {seed}"));
        }
    }
}

/// Guards against load as such that is taken for interference: for seconds all
/// runs are slower while the workers are fuller.
#[gtest]
fn load_as_such_is_no_interference() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, one_way(1.3));
        while simulation.ended[2] < 2 * RUNS_TO_LEARN {
            let is_loaded = simulation.now.as_secs() / 5 % 2 == 1;
            simulation.fill = if is_loaded { 0.05 } else { 0.005 };
            simulation.common_speed = if is_loaded { 0.8 } else { 1.0 };
            simulation.step();
        }
        for victim in [0, 2] {
            simulation.expect_learned(victim, &format!("seed {seed}"));
        }
    }
}

/// Guards against placements that change although no queue slows another one
/// down: a pair that chance puts in effect.
#[gtest]
fn without_interference_hardly_any_pair_takes_effect() {
    let (mut steps, mut affected) = (0_u32, 0_u32);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, NONE);
        while simulation.ended[0] < 10_000 {
            simulation.step();
            steps += 1;
            affected += u32::from(simulation.table.has_effects());
        }
    }
    println!("{affected} of {steps} steps with a pair in effect");
    expect_that!(affected * 100, le(steps));
}

/// Guards against a penalty that counts only one direction, and against one that
/// changes placements before anything is known.
#[gtest]
fn the_penalty_counts_what_a_newcomer_suffers_and_inflicts() {
    let newcomer = |queue| Newcomer {
        queue: QueueId(queue),
        expected: Duration::from_millis(100),
        slack: Duration::ZERO,
        draw: 0,
    };
    let neighbour = |queue| Neighbour {
        queue: QueueId(queue),
        expected: Duration::from_millis(100),
        elapsed: Duration::ZERO,
    };
    let unknown = InterferenceTable::default();
    expect_that!(unknown.penalty(&newcomer(0), [neighbour(2)]), eq(0));
    let mut simulation = Simulation::new(1, one_way(2.0));
    simulation.run(&[0, 2], RUNS_TO_LEARN);
    let table = &simulation.table;
    expect_that!(table.penalty(&newcomer(0), [neighbour(2)]), ge(12));
    expect_that!(table.penalty(&newcomer(2), [neighbour(0)]), ge(12));
    expect_that!(table.penalty(&newcomer(0), [neighbour(0)]), eq(0));
    expect_that!(table.penalty(&newcomer(2), []), eq(0));
    // With slack, the draw 0 selects an exploratory placement.
    let explores = Newcomer {
        slack: Duration::from_secs(1),
        ..newcomer(0)
    };
    expect_that!(table.penalty(&explores, [neighbour(2)]), eq(0));
}

/// Guards against summaries above 512 bytes, and against factors of peers that are
/// lost or given to the wrong queue.
#[gtest]
fn summaries_are_small_and_are_merged_by_weight() {
    let pair = |victim, factor_milli, runs| PairSummary {
        victim,
        aggressor: u32::MAX,
        factor_milli,
        runs,
    };
    let many = (0..100).map(|victim| pair(u32::MAX - victim, u16::MAX, u16::MAX));
    let full = InterferenceSummary::new(many.collect());
    expect_that!(full.pairs.len(), eq(MAX_SUMMARY_PAIRS));
    for size in [
        bincode::serde::encode_to_vec(&full, bincode::config::standard()),
        bincode::serde::encode_to_vec(&full, bincode::config::legacy()),
    ] {
        expect_that!(size.expect("a summary").len(), le(512));
    }
    let a = InterferenceSummary::new(vec![pair(1, 2000, 30)]);
    let merged = a.merge(&InterferenceSummary::new(vec![pair(1, 1000, 10)]));
    expect_that!(merged.pairs, elements_are![eq(&pair(1, 1750, 40))]);
}

/// Guards against a host that has to learn anew what its peers know.
#[gtest]
fn a_summary_of_a_peer_takes_effect() {
    let mut groups = QueueGroups::default();
    for (name, mean) in [("a", 60), ("b", 900), ("c", 200)] {
        groups.own(name, shape(mean), Duration::ZERO);
    }
    let mut simulation = Simulation::new(3, one_way(2.0));
    simulation.run(&[0, 2], RUNS_TO_LEARN);
    let summary = simulation.table.summary(&groups);
    let mut table = InterferenceTable::default();
    table.adopt(&summary, &groups, Duration::ZERO);
    let learned = table.factor(QueueId(0), QueueId(2));
    expect_that!(learned.factor, near(2.0, 0.3));
    expect_that!(learned.is_significant, eq(true));
    expect_that!(
        table.factor(QueueId(2), QueueId(0)).is_significant,
        eq(false)
    );
}

/// Guards against tasks of peers that are counted to a queue unlike them, and
/// against an id that keeps what was learned of its former queue.
#[gtest]
fn tasks_of_peers_are_counted_to_the_most_similar_queue() {
    let mut groups = QueueGroups::default();
    for (name, mean) in [("a", 60), ("b", 900), ("c", 200)] {
        groups.own(name, shape(mean), Duration::ZERO);
    }
    expect_that!(groups.similar(shape(80)), some(eq(QueueId(0))));
    expect_that!(groups.similar(shape(700)), some(eq(QueueId(1))));
    expect_that!(groups.similar(shape(5)), none());
    for index in 0..1000_u64 {
        let at = Duration::from_secs(index + 1);
        groups.own(&format!("more-{index}"), shape(60), at);
    }
    expect_that!(groups.iter().count(), eq(720));
    expect_that!(groups.id("a"), none());
    let (_, is_replaced) = groups.own("a", shape(60), Duration::from_secs(2000));
    expect_that!(is_replaced, eq(true));
}

fn shape(expected_ms: u64) -> TaskShape {
    TaskShape {
        cpu_milli: 8000,
        accelerators: 0,
        expected: Duration::from_millis(expected_ms),
    }
}
