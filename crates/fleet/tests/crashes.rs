//! Tasks that crash the workers that start them.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Harness, report};
use googletest::prelude::*;
use hornbeam_fleet::{
    CallId, FleetInput, JobOutcome, PeerMessage, PollOutcome, PollRequest, RunId, StartOutcome,
    Submission, WorkerKey,
};

/// Time after which a crashed worker is back.
const RESTART_TIME: Duration = Duration::from_millis(3400);

/// Run time of a task that does not crash its worker.
const RUN_TIME: Duration = Duration::from_millis(200);

/// Number of workers that may crash under a task before it is given up.
const MAX_CRASHES: usize = 2;

/// Number of starts of a task that the users allow at most: three that crash
/// their worker, and two more.
const MAX_STARTS: usize = 5;

/// Time for which the callers wait.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a crashed worker answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Crash {
    /// Its host refuses connections.
    Refusing,
    /// Its host has gone too.
    Silent,
}

/// `Site` simulates the workers of one host.
struct Site {
    harness: Harness,
    crash: Crash,
    workers: BTreeMap<WorkerKey, SimulatedWorker>,
    restarts: Vec<(Duration, String)>,
    incarnation: u64,
    starts: Vec<RunId>,
    answers: Vec<(CallId, JobOutcome)>,
}

struct SimulatedWorker {
    name: String,
    is_up: bool,
    running: Vec<(RunId, Duration)>,
    ended: Vec<(u64, RunId, hornbeam_fleet::RunEnd)>,
    last_end: u64,
    polls: Vec<(PollRequest, Duration)>,
}

impl Site {
    fn new(workers: usize, crash: Crash) -> Self {
        let mut site = Self {
            harness: Harness::new(1),
            crash,
            workers: BTreeMap::new(),
            restarts: Vec::new(),
            incarnation: 5,
            starts: Vec::new(),
            answers: Vec::new(),
        };
        for worker in 0..workers {
            site.add_worker(&format!("w{worker}"));
        }
        site.advance(5, &|_| false);
        site
    }

    fn add_worker(&mut self, name: &str) {
        self.incarnation += 1;
        let mut report = report(name, 1);
        report.born_unix_ms = self.incarnation;
        self.harness.step(FleetInput::Reported(1, report));
    }

    /// Submits a job of one task whose caller waits for [`PATIENCE`].
    fn submit(&mut self, call: CallId, job: u64) {
        let submission = Submission {
            job,
            queue: "orders".into(),
            spec: "work".into(),
            tasks: 1,
            need: hornbeam_fleet::Resources {
                cpu_milli: 8000,
                memory_mb: 64,
                accelerators: 0,
            },
            estimate: RUN_TIME,
            timeout: PATIENCE,
        };
        self.harness.step(FleetInput::Submitted(call, submission));
    }

    /// Advances the time. Runs for which `is_deadly` holds crash their worker.
    fn advance(&mut self, ms: u64, is_deadly: &dyn Fn(RunId) -> bool) {
        for _ in 0..ms {
            self.harness.advance(1);
            self.restart_workers();
            self.carry_out_starts(is_deadly);
            self.end_runs();
            self.answer_polls();
            self.answers.extend(self.harness.answers());
        }
    }

    fn restart_workers(&mut self) {
        let now = self.harness.now;
        let due = |(at, _): &(Duration, String)| *at <= now;
        let restarting: Vec<(Duration, String)> =
            self.restarts.extract_if(.., |e| due(e)).collect();
        for (_, name) in restarting {
            self.add_worker(&name);
        }
    }

    fn carry_out_starts(&mut self, is_deadly: &dyn Fn(RunId) -> bool) {
        let now = self.harness.now;
        for request in self.harness.starts() {
            let key = request.target.worker_key;
            let worker = self.worker(key, &request.target.worker_id);
            if !worker.is_up {
                self.harness.answer_start(&request, StartOutcome::NotSent);
                continue;
            }
            worker.running.push((request.run, now + RUN_TIME));
            self.starts.push(request.run);
            self.harness.accept_start(&request);
            if is_deadly(request.run) {
                let worker = self.worker(key, &request.target.worker_id);
                worker.is_up = false;
                worker.running.clear();
                let name = worker.name.clone();
                self.restarts.push((now + RESTART_TIME, name));
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.harness.now;
        for worker in self.workers.values_mut() {
            let ended = worker.running.extract_if(.., |(_, at)| *at <= now);
            for (run, _) in ended {
                worker.last_end += 1;
                let end = hornbeam_fleet::RunEnd::Done;
                worker.ended.push((worker.last_end, run, end));
            }
        }
    }

    fn answer_polls(&mut self) {
        let now = self.harness.now;
        for poll in self.harness.polls() {
            let key = poll.target.worker_key;
            let id = poll.target.worker_id.clone();
            self.worker(key, &id).polls.push((poll, now));
        }
        let crash = self.crash;
        let mut answers = Vec::new();
        for (key, worker) in &mut self.workers {
            let (is_up, has_ended) = (worker.is_up, !worker.ended.is_empty());
            let is_due = |(poll, at): &mut (PollRequest, Duration)| match (is_up, crash) {
                (true, _) => has_ended || now >= *at + poll.wait,
                (false, Crash::Refusing) => true,
                (false, Crash::Silent) => now >= *at + poll.wait + Duration::from_millis(150),
            };
            let due: Vec<_> = worker.polls.extract_if(.., is_due).collect();
            for (poll, _) in due {
                worker.ended.retain(|(end, ..)| *end > poll.acknowledged);
                let running: Vec<RunId> = worker.running.iter().map(|(run, _)| *run).collect();
                let state = worker.is_up.then(|| (running, worker.ended.clone()));
                answers.push((*key, state));
            }
        }
        for (key, state) in answers {
            match state {
                Some((running, ended)) => self.harness.answer_poll(key, &running, &ended),
                None => {
                    let outcome = match crash {
                        Crash::Refusing => PollOutcome::ConnectionRefused,
                        Crash::Silent => PollOutcome::Unanswered,
                    };
                    self.harness.step(FleetInput::PollEnded(key, outcome));
                }
            }
        }
    }

    fn worker(&mut self, key: WorkerKey, name: &str) -> &mut SimulatedWorker {
        let worker = self.workers.entry(key);
        worker.or_insert_with(|| SimulatedWorker {
            name: name.to_owned(),
            is_up: true,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            polls: Vec::new(),
        })
    }

    fn starts_of(&self, job: u64) -> usize {
        self.starts.iter().filter(|run| run.job == job).count()
    }
}

/// Guards against a task that crashes one worker after the other until its
/// caller leaves.
#[gtest]
fn task_that_crashes_its_workers_is_given_up() {
    let mut site = Site::new(8, Crash::Refusing);
    site.submit(1, 1);
    site.advance(15_000, &|_| true);
    expect_that!(site.starts_of(1), eq(MAX_CRASHES));
    expect_that!(site.answers, elements_are![eq(&(1, JobOutcome::Failed))]);
}

/// Guards against the same if the host of a crashed worker is gone as well, so
/// that the crash is known only when the worker is back.
#[gtest]
fn task_whose_workers_become_silent_is_given_up() {
    let mut site = Site::new(8, Crash::Silent);
    site.submit(1, 1);
    site.advance(19_000, &|_| true);
    expect_that!(site.starts_of(1), le(MAX_STARTS));
    expect_that!(site.answers, elements_are![eq(&(1, JobOutcome::Failed))]);
}

/// Guards against crashes that are forgotten when the job ends without an
/// answer and is submitted again.
#[gtest]
fn job_submitted_again_keeps_the_crashes_of_its_tasks() {
    let mut site = Site::new(12, Crash::Refusing);
    for call in 1..=6 {
        site.submit(call, 1);
        // The caller loses its connection while its first or second worker is
        // gone.
        site.advance(700, &|_| true);
        site.harness.step(FleetInput::CallerDisconnected(call, 1));
        site.advance(1300, &|_| true);
    }
    expect_that!(site.starts_of(1), le(MAX_STARTS));
    let last = site.answers.last();
    expect_that!(last, some(eq(&(6, JobOutcome::Failed))));
}

/// Guards against a job that fails because of tasks that crash the workers that
/// it shares with them.
#[gtest]
fn job_beside_crashing_tasks_completes() {
    let mut site = Site::new(6, Crash::Refusing);
    let is_deadly = |run: RunId| run.job >= 100;
    site.submit(1, 1);
    for job in 100..106 {
        site.submit(job, job);
        site.advance(300, &is_deadly);
    }
    site.advance(15_000, &is_deadly);
    expect_that!(site.answers, contains(eq(&(1, JobOutcome::Completed))));
}

/// Guards against a second start of a task that may crash its worker while other
/// tasks need all workers, and against other tasks that wait behind it.
#[gtest]
fn suspect_task_waits_for_a_worker_that_no_other_task_needs() {
    let mut site = Site::new(3, Crash::Refusing);
    let is_deadly = |run: RunId| run.job == 1;
    site.submit(1, 1);
    site.advance(900, &is_deadly);
    // Two runs at a time on each of the two workers that are left.
    for job in 10..40 {
        site.submit(job, job);
        site.advance(50, &is_deadly);
    }
    expect_that!(site.starts_of(1), eq(1));
    let completed = |(_, outcome): &&(CallId, JobOutcome)| *outcome == JobOutcome::Completed;
    expect_that!(site.answers.iter().filter(completed).count(), ge(24));
    site.advance(1000, &is_deadly);
    expect_that!(site.starts_of(1), eq(2));
}

/// Guards against a task that joins one that may crash their worker.
#[gtest]
fn no_task_joins_a_suspect_task() {
    let mut site = Site::new(2, Crash::Refusing);
    site.submit(1, 1);
    site.advance(100, &|_| true);
    site.advance(1100, &|_| false);
    expect_that!(site.starts_of(1), eq(2));
    site.submit(2, 2);
    expect_that!(site.harness.starts(), is_empty());
    site.advance(150, &|_| false);
    expect_that!(site.answers, contains(eq(&(1, JobOutcome::Completed))));
    expect_that!(site.starts_of(2), eq(1));
}

/// Guards against a job that waits for a worker of this host, although all are
/// lost and a peer has free ones.
#[gtest]
fn suspect_task_of_a_host_without_workers_goes_to_a_peer() {
    let mut site = Site::new(1, Crash::Refusing);
    site.submit(1, 1);
    site.advance(900, &|_| true);
    site.restarts.clear();
    site.harness.step(FleetInput::Departed("w0".into()));
    // The run counts as lost only when its lease has expired.
    site.harness.advance(150);
    site.harness
        .receive_batch(2, 1, vec![common::free_status()]);
    let batches = site.harness.batches();
    let messages = batches.iter().flat_map(|batch| &batch.messages);
    let is_run = |message: &&PeerMessage| matches!(message, PeerMessage::Run(_));
    expect_that!(messages.filter(is_run).count(), eq(1));
}

/// Guards against a job that is shown as failed although only one worker has
/// crashed under its task: the other one crashed before the start arrived.
#[gtest]
fn worker_that_crashed_before_the_start_does_not_fail_the_job() {
    let mut harness = Harness::new(1);
    for name in ["w1", "w2", "w3"] {
        harness.add_worker(name);
    }
    harness.submit(1, 1);
    for is_answered in [false, true] {
        let start = harness.starts().remove(0);
        if is_answered {
            harness.accept_start(&start);
        }
        for _ in 0..12 {
            let refused = PollOutcome::ConnectionRefused;
            harness.step(FleetInput::PollEnded(start.target.worker_key, refused));
            harness.advance(100);
            harness.polls();
        }
    }
    expect_that!(harness.answers(), is_empty());
    expect_that!(harness.starts().len(), eq(1));
}
