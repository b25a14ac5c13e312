//! Placement by pace at one host with a slow and a fast worker.

mod common;

use common::{Harness, OWN_HOST, SERVICE, acknowledge_batch, options, report};
use googletest::prelude::*;
use hornbeam_fleet::{
    BatchExtension, FleetInput, FleetOutput, PeerMessage, PeerStatus, RunEnd, RunId,
    SchedulingOptions, ServiceResources, TAG_PACE, encode_entry,
};

/// Times of a task of 200 ms of mean work on workers of pace 0.7 and 1.7.
const SLOW_MS: u64 = 286;
const FAST_MS: u64 = 118;

/// `TwoPaces` is a host with a slow and a fast worker whose paces are learned.
struct TwoPaces {
    harness: Harness,
    slow: u64,
    fast: u64,
    fast_ms: u64,
}

impl TwoPaces {
    fn new(pace: bool) -> Self {
        Self::with_fast_time(pace, FAST_MS)
    }

    fn with_fast_time(pace: bool, fast_ms: u64) -> Self {
        let mut options = options(OWN_HOST);
        options.scheduling = SchedulingOptions {
            pace,
            ..SchedulingOptions::default()
        };
        let mut harness = Harness::with(options);
        let slow = add_worker(&mut harness, "w1", "a");
        let fast = add_worker(&mut harness, "w2", "b");
        let mut host = Self {
            harness,
            slow,
            fast,
            fast_ms,
        };
        for round in 0..12 {
            host.run_tasks(round);
        }
        host
    }

    /// Runs two tasks on each worker.
    fn run_tasks(&mut self, round: u64) {
        let harness = &mut self.harness;
        harness.submit(1000 + round, 4);
        let mut runs: [Vec<RunId>; 2] = Default::default();
        for start in harness.starts() {
            harness.accept_start(&start);
            runs[usize::from(start.target.worker_key == self.fast)].push(start.run);
        }
        harness.advance(self.fast_ms);
        let ended = |runs: &[RunId]| {
            let sequences = 2 * round + 1..;
            let runs = sequences.zip(runs.to_vec());
            let ended = runs.map(|(sequence, run)| (sequence, run, RunEnd::Done));
            ended.collect::<Vec<_>>()
        };
        harness.answer_poll(self.fast, &[], &ended(&runs[1]));
        harness.advance(SLOW_MS - self.fast_ms);
        harness.answer_poll(self.slow, &[], &ended(&runs[0]));
    }

    /// Submits tasks that the slow worker runs too late, and gets the workers
    /// that they start on.
    fn place(&mut self, tasks: u32) -> Vec<u64> {
        self.harness.submit(7, tasks);
        let starts = self.harness.starts();
        starts.iter().map(|start| start.target.worker_key).collect()
    }

    /// Delivers the status of a peer with a free fast worker.
    fn report_fast_peer(&mut self) {
        let capacity = report("w", 1).capacity;
        let status = PeerMessage::Status(PeerStatus {
            resources: vec![ServiceResources {
                service: SERVICE.into(),
                free: vec![capacity],
                largest: capacity,
            }],
            owned: 1,
            serving: 1,
            ..PeerStatus::default()
        });
        let mut extension = BatchExtension::default();
        let paces = vec![(SERVICE.to_owned(), vec![80_u8])];
        extension.push(TAG_PACE, encode_entry(&paces).expect("a small value"));
        let batch = self.harness.batch(2, 1, vec![status]);
        self.harness.step(FleetInput::Batch(batch, Some(extension)));
        self.harness.batches();
        acknowledge_batch(&mut self.harness, 2);
    }

    fn tasks_sent_to_peers(&mut self) -> usize {
        let messages = self.harness.batches().into_iter();
        let messages = messages.flat_map(|batch| batch.messages);
        let tasks = messages.map(|message| match message {
            PeerMessage::Run(chunk) => chunk.tasks.len(),
            _ => 0,
        });
        tasks.sum()
    }
}

fn add_worker(harness: &mut Harness, name: &str, machine_type: &str) -> u64 {
    harness.polls();
    let mut report = report(name, 1);
    report.labels = vec![machine_type.into(), "rack".into()];
    harness.step(FleetInput::Reported(1, report));
    let worker_key = harness.poll().target.worker_key;
    harness.answer_poll(worker_key, &[], &[]);
    harness.polls();
    worker_key
}

/// Guards against tasks on a slow worker that miss an objective which they meet
/// on a free fast one.
#[gtest]
fn tasks_that_a_slow_worker_runs_too_late_start_on_the_fast_one() {
    let mut host = TwoPaces::new(true);
    let (slow, fast) = (host.slow, host.fast);
    expect_that!(
        host.place(3),
        elements_are![eq(&fast), eq(&fast), eq(&slow)]
    );
}

/// Guards against a change of placement where the switch is off.
#[gtest]
fn without_the_switch_the_tightest_fit_decides() {
    let mut host = TwoPaces::new(false);
    let (slow, fast) = (host.slow, host.fast);
    expect_that!(
        host.place(4),
        elements_are![eq(&slow), eq(&slow), eq(&fast), eq(&fast)]
    );
    host.harness.advance(500);
    let extended = host
        .harness
        .outputs
        .iter()
        .filter(|output| matches!(output, FleetOutput::SendBatch(_, _, _, Some(_))));
    expect_that!(extended.count(), eq(0));
}

/// Guards against a change of placement where workers differ in pace, but by less
/// than the stretch of the queue.
#[gtest]
fn workers_of_similar_pace_are_placed_by_the_tightest_fit() {
    let mut host = TwoPaces::with_fast_time(true, 220);
    let (slow, fast) = (host.slow, host.fast);
    expect_that!(
        host.place(4),
        elements_are![eq(&slow), eq(&slow), eq(&fast), eq(&fast)]
    );
}

/// Guards against tasks that run too late on an own slow worker while a peer has a
/// free fast one.
#[gtest]
fn tasks_go_to_a_fast_worker_of_a_peer_before_an_own_slow_one() {
    let mut host = TwoPaces::new(true);
    host.report_fast_peer();
    let fast = host.fast;
    expect_that!(host.place(4), elements_are![eq(&fast), eq(&fast)]);
    expect_that!(host.tasks_sent_to_peers(), eq(2));
}

/// Guards against tasks for a fast worker of a peer that has become silent.
#[gtest]
fn a_silent_peer_gets_no_tasks_for_its_fast_workers() {
    let mut host = TwoPaces::new(true);
    host.report_fast_peer();
    host.harness.advance_at_once(1100);
    let (slow, fast) = (host.slow, host.fast);
    for worker_key in [slow, fast] {
        host.harness.answer_poll(worker_key, &[], &[]);
    }
    host.harness.batches();
    expect_that!(
        host.place(3),
        elements_are![eq(&fast), eq(&fast), eq(&slow)]
    );
    expect_that!(host.tasks_sent_to_peers(), eq(0));
}

/// Guards against a run that is left on a slow worker although its caller gains
/// by a restart on the fast one. The task takes seven times as long by itself.
#[gtest]
fn a_long_run_moves_to_a_free_fast_worker() {
    let mut host = TwoPaces::new(true);
    let slow = host.slow;
    let starts = {
        host.harness.submit(7, 3);
        host.harness.starts()
    };
    for start in &starts {
        host.harness.accept_start(start);
    }
    let on_fast: Vec<RunId> = starts[..2].iter().map(|start| start.run).collect();
    let long = starts[2].run;
    host.harness.advance(120);
    let ended = [
        (100, on_fast[0], RunEnd::Done),
        (101, on_fast[1], RunEnd::Done),
    ];
    host.harness.answer_poll(host.fast, &[], &ended);
    host.harness.advance(80);
    host.harness.answer_poll_with_progress(slow, long, 8);
    let stops = host.harness.stops();
    expect_that!(stops.len(), eq(1));
    expect_that!(stops[0].run, eq(long));
    host.harness.advance(10);
    host.harness
        .answer_poll(slow, &[], &[(102, long, RunEnd::Lost)]);
    let restarted = host.harness.starts();
    expect_that!(restarted.len(), eq(1));
    expect_that!(restarted[0].target.worker_key, eq(host.fast));
}
