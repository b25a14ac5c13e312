//! A host whose tasks slow each other down, played with a simulated clock and
//! workers with known factors.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use common::{Harness, OWN_HOST, SERVICE, options, queues, report};
use googletest::prelude::*;
use hornbeam_core::event::Event as LogEvent;
use hornbeam_fleet::{
    EndedRun, FleetInput, FleetOutput, JobOutcome, PollOutcome, PollRequest, PollResponse, Queue,
    Resources, RunEnd, RunId, RunProgress, StartOutcome, StopOutcome, Submission,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;

const WORKERS: usize = 12;
const SEEDS: u64 = 4;
const LENGTH: Duration = Duration::from_secs(60);
/// Time in which the factors are learned; its jobs are not counted.
const WARM_UP: Duration = Duration::from_secs(20);
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const TASK_CPU_MILLI: u32 = 8_000;
const STRETCH: f64 = 1.6;
const OBJECTIVE_EXTRA: Duration = Duration::from_millis(60);

/// Queues with their priority, tasks per job, mean run time in ms and jobs per
/// second of the first deployment.
const CLASSES: [(&str, u32, u32, u64, f64); 3] = [
    ("short", 0, 8, 60, 206.0),
    ("long", 2, 4, 900, 37.5),
    ("small", 1, 2, 200, 600.0),
];

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    Accept(usize, RunId),
    RunEnds(usize, RunId, u64),
    PollAnswer(usize, u64),
    Stopped(usize, RunId),
}

struct Running {
    class: usize,
    work: f64,
    left: f64,
}

#[derive(Default)]
struct Worker {
    running: BTreeMap<RunId, Running>,
    changed_at: Duration,
    /// Distinguishes the scheduled ends of runs from outdated ones.
    version: u64,
    ended: Vec<EndedRun>,
    sequence: u64,
    poll: Option<PollRequest>,
    polls: u64,
}

struct Job {
    class: usize,
    arrived_at: Duration,
    work: Vec<f64>,
}

/// `Figures` are the results of a play.
#[derive(Clone, Debug, Default)]
struct Figures {
    jobs: [u32; 3],
    in_time: [u32; 3],
    /// Response time of completed jobs over their longest task.
    stretches: [Vec<f64>; 3],
    /// Worker of each run.
    placements: BTreeMap<RunId, usize>,
    digest: u64,
}

struct Simulation {
    harness: Harness,
    rng: ChaCha8Rng,
    /// Factor by which the queues `short` and `small` slow each other down.
    factor: f64,
    load: f64,
    end: Duration,
    workers: Vec<Worker>,
    keys: Vec<u64>,
    jobs: HashMap<u64, Job>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: HashMap<u64, Event>,
    next: u64,
    figures: Figures,
    digest: SipHasher13,
}

impl Simulation {
    fn new(seed: u64, factor: f64, load: f64, is_enabled: bool) -> Self {
        let mut options = options(OWN_HOST);
        options.scheduling.interference = is_enabled;
        let mut harness = Harness::with(options);
        let mut table = queues(2);
        table.queues = (0..CLASSES.len()).map(queue).collect();
        harness.step(FleetInput::Queues(table.into()));
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            factor,
            load,
            end: harness.now + LENGTH,
            workers: (0..WORKERS).map(|_| Worker::default()).collect(),
            keys: Vec::new(),
            jobs: HashMap::new(),
            events: BinaryHeap::new(),
            scheduled: HashMap::new(),
            next: 0,
            figures: Figures::default(),
            digest: SipHasher13::new(),
            harness,
        };
        for index in 0..WORKERS {
            let harness = &mut simulation.harness;
            let mut report = report(&format!("w{index}"), 1);
            report.capacity.cpu_milli = TASK_CPU_MILLI * slots(index);
            harness.step(FleetInput::Reported(1, report));
            let key = harness.poll().target.worker_key;
            harness.answer_poll(key, &[], &[]);
            simulation.keys.push(key);
            simulation.workers[index].poll = simulation.harness.polls().pop();
            simulation.end_poll(index);
        }
        simulation
    }

    fn play(mut self) -> Figures {
        let end = self.end + Duration::from_secs(6);
        self.schedule(Duration::ZERO, Event::Arrival);
        loop {
            let wakeup = self.harness.fleet.next_wakeup();
            let next = self.events.peek();
            let next = next.map_or(Duration::MAX, |Reverse((at, _))| *at);
            let at = wakeup.min(next);
            if at > end {
                break;
            }
            self.harness.now = self.harness.now.max(at);
            if next <= wakeup {
                let number = self.events.pop().map(|Reverse((_, number))| number);
                let event = number.and_then(|number| self.scheduled.remove(&number));
                self.handle(event.expect("a scheduled event"));
            } else {
                self.harness.step(FleetInput::Tick);
            }
            for output in std::mem::take(&mut self.harness.outputs) {
                self.execute(output);
            }
        }
        self.figures.digest = self.digest.finish();
        self.figures
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.scheduled.insert(self.next, event);
        let at = self.harness.now + after;
        self.events.push(Reverse((at, self.next)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Accept(worker, run) => {
                let outcome = StartOutcome::Accepted(self.clock_ms());
                let key = self.keys[worker];
                self.harness
                    .step(FleetInput::StartRequestEnded(key, run, outcome));
            }
            Event::RunEnds(worker, run, version) if self.workers[worker].version == version => {
                self.end_run(worker, run, RunEnd::Done);
            }
            Event::PollAnswer(worker, poll) if self.workers[worker].polls == poll => {
                self.answer_poll(worker);
            }
            Event::RunEnds(..) | Event::PollAnswer(..) => {}
            Event::Stopped(worker, run) => {
                let key = self.keys[worker];
                let outcome = StopOutcome::Accepted;
                self.harness
                    .step(FleetInput::StopRequestEnded(key, run, outcome));
                self.end_run(worker, run, RunEnd::Lost);
            }
        }
    }

    fn arrive(&mut self) {
        if self.harness.now >= self.end {
            return;
        }
        let work = CLASSES.map(|(_, _, tasks, ms, rate)| f64::from(tasks) * ms as f64 * rate);
        let total: f64 = CLASSES.iter().map(|class| class.4).sum();
        let mean = work.iter().sum::<f64>() / 1000.0 / total;
        let slots: u32 = (0..WORKERS).map(slots).sum();
        let per_second = self.load * f64::from(slots) / mean;
        let pause = -self.rng.random_range(1e-9..1.0_f64).ln() / per_second;
        self.schedule(Duration::from_secs_f64(pause), Event::Arrival);
        let mut draw = self.rng.random_range(0.0..total);
        let class = CLASSES.iter().position(|class| {
            draw -= class.4;
            draw < 0.0
        });
        self.submit(class.unwrap_or(0));
    }

    fn submit(&mut self, class: usize) {
        let (queue, _, tasks, mean_ms, _) = CLASSES[class];
        let base = mean_ms as f64 / 1000.0 * self.rng.random_range(0.6..1.4);
        let work = (0..tasks).map(|_| base * self.rng.random_range(0.85..1.15));
        let work: Vec<f64> = work.collect();
        let error = self.rng.random_range(0.6..1.4);
        let job = self.jobs.len() as u64 + 1;
        if self.is_counted(self.harness.now) {
            self.figures.jobs[class] += 1;
        }
        let estimate = Duration::from_secs_f64(longest(&work) * error);
        let arrived_at = self.harness.now;
        self.jobs.insert(
            job,
            Job {
                class,
                arrived_at,
                work,
            },
        );
        let submission = Submission {
            job,
            queue: queue.into(),
            spec: "work".into(),
            tasks,
            need: Resources {
                cpu_milli: TASK_CPU_MILLI,
                memory_mb: 64,
                accelerators: 0,
            },
            estimate,
            timeout: Duration::from_secs(5),
        };
        self.harness.step(FleetInput::Submitted(job, submission));
    }

    fn is_counted(&self, arrived_at: Duration) -> bool {
        arrived_at >= self.end - LENGTH + WARM_UP
    }

    fn execute(&mut self, output: FleetOutput) {
        match output {
            FleetOutput::Answer(call, outcome) => self.record_answer(call, outcome),
            FleetOutput::Start(request) => {
                let worker = self.index_of(request.target.worker_key);
                let run = request.run;
                (self.harness.now, worker, run).hash(&mut self.digest);
                self.figures.placements.insert(run, worker);
                let job = &self.jobs[&run.job];
                let (class, work) = (job.class, job.work[run.task as usize]);
                self.advance(worker);
                let left = work + NETWORK_DELAY.as_secs_f64();
                let running = Running { class, work, left };
                self.workers[worker].running.insert(run, running);
                self.schedule_ends(worker);
                self.schedule(2 * NETWORK_DELAY, Event::Accept(worker, run));
            }
            FleetOutput::Stop(request) => {
                let worker = self.index_of(request.target.worker_key);
                self.schedule(5 * NETWORK_DELAY, Event::Stopped(worker, request.run));
            }
            FleetOutput::Poll(request) | FleetOutput::Probe(request) => {
                let worker = self.index_of(request.target.worker_key);
                let state = &mut self.workers[worker];
                let acknowledged = request.acknowledged;
                state.ended.retain(|ended| ended.sequence > acknowledged);
                state.poll = Some(request);
                self.end_poll(worker);
            }
            FleetOutput::Log(LogEvent::InterferenceChanged, _, message) => {
                println!("{:?} {message}", self.harness.now);
            }
            _ => {}
        }
    }

    /// Gets the speed of a run beside the others on its worker.
    fn speed(&self, worker: usize, run: RunId, class: usize) -> f64 {
        let others = self.workers[worker].running.iter();
        let others = others.filter(|(other, _)| **other != run);
        let slows = |other: &Running| matches!((class, other.class), (0, 2) | (2, 0));
        let slowing = others.filter(|(_, other)| slows(other)).count();
        self.factor.powi(-(slowing as i32))
    }

    /// Deducts the work done since the last change on a worker.
    fn advance(&mut self, worker: usize) {
        let now = self.harness.now;
        let passed = now.saturating_sub(self.workers[worker].changed_at);
        let runs = self.workers[worker].running.iter();
        let speeds = runs.map(|(run, state)| self.speed(worker, *run, state.class));
        let speeds: Vec<f64> = speeds.collect();
        let state = &mut self.workers[worker];
        state.changed_at = now;
        for (running, speed) in state.running.values_mut().zip(speeds) {
            running.left -= passed.as_secs_f64() * speed;
        }
    }

    /// Schedules the ends of the runs on a worker with their present speeds.
    fn schedule_ends(&mut self, worker: usize) {
        self.workers[worker].version += 1;
        let version = self.workers[worker].version;
        let runs = self.workers[worker].running.iter();
        let ends = runs.map(|(run, state)| {
            let left = state.left.max(0.0) / self.speed(worker, *run, state.class);
            (Duration::from_secs_f64(left), *run)
        });
        let ends: Vec<(Duration, RunId)> = ends.collect();
        for (after, run) in ends {
            self.schedule(after, Event::RunEnds(worker, run, version));
        }
    }

    fn end_run(&mut self, worker: usize, run: RunId, end: RunEnd) {
        self.advance(worker);
        let state = &mut self.workers[worker];
        if state.running.remove(&run).is_none() {
            return;
        }
        state.sequence += 1;
        state.ended.push(EndedRun {
            sequence: state.sequence,
            run: Some(run),
            end,
        });
        self.schedule_ends(worker);
        self.end_poll(worker);
    }

    /// Ends the poll in flight at its wait, or at once if an end is listed.
    fn end_poll(&mut self, worker: usize) {
        let state = &mut self.workers[worker];
        let Some(request) = &state.poll else { return };
        let wait = if state.ended.is_empty() {
            request.wait
        } else {
            Duration::ZERO
        };
        state.polls += 1;
        let poll = state.polls;
        self.schedule(wait + 2 * NETWORK_DELAY, Event::PollAnswer(worker, poll));
    }

    fn answer_poll(&mut self, worker: usize) {
        self.advance(worker);
        self.schedule_ends(worker);
        let state = &mut self.workers[worker];
        if state.poll.take().is_none() {
            return;
        }
        let progress = |(run, state): (&RunId, &Running)| RunProgress {
            run: *run,
            done_percent: ((1.0 - state.left / state.work) * 100.0).clamp(0.0, 99.0) as u32,
        };
        let running = state.running.iter().map(progress).collect();
        let ended = state.ended.clone();
        let response = PollResponse {
            clock_ms: self.clock_ms(),
            born_unix_ms: None,
            running,
            ended,
        };
        let outcome = PollOutcome::Answered(response);
        let key = self.keys[worker];
        self.harness.step(FleetInput::PollEnded(key, outcome));
    }

    fn record_answer(&mut self, job: u64, outcome: JobOutcome) {
        let job = &self.jobs[&job];
        if outcome != JobOutcome::Completed || !self.is_counted(job.arrived_at) {
            return;
        }
        let took = (self.harness.now - job.arrived_at).as_secs_f64();
        let ideal = longest(&job.work);
        let is_in_time = took <= ideal * STRETCH + OBJECTIVE_EXTRA.as_secs_f64();
        self.figures.in_time[job.class] += u32::from(is_in_time);
        self.figures.stretches[job.class].push(took / ideal);
    }

    fn index_of(&self, key: u64) -> usize {
        let found = self.keys.iter().position(|known| *known == key);
        found.expect("a known worker")
    }

    fn clock_ms(&self) -> u64 {
        self.harness.now.as_millis() as u64
    }
}

/// Gets the number of tasks that a worker runs at a time; a third of the workers
/// are larger.
fn slots(worker: usize) -> u32 {
    if worker.is_multiple_of(3) { 3 } else { 2 }
}

fn longest(work: &[f64]) -> f64 {
    work.iter().copied().fold(0.0, f64::max)
}

fn queue(class: usize) -> Queue {
    let (name, priority, ..) = CLASSES[class];
    Queue {
        name: name.into(),
        host_name: format!("{name}.example"),
        path_prefix: format!("/{name}/"),
        service: SERVICE.into(),
        priority,
        attempts: 4,
        stretch: STRETCH,
        objective_extra: OBJECTIVE_EXTRA,
        timeout: Duration::from_millis(1500),
    }
}

/// Plays all seeds and gets the figures together; the placements are those of the
/// last seed.
fn play(factor: f64, load: f64, is_enabled: bool) -> Figures {
    let mut sums = Figures::default();
    for seed in 0..SEEDS {
        let figures = Simulation::new(seed, factor, load, is_enabled).play();
        for class in 0..CLASSES.len() {
            sums.jobs[class] += figures.jobs[class];
            sums.in_time[class] += figures.in_time[class];
            sums.stretches[class].extend(&figures.stretches[class]);
        }
        sums.placements = figures.placements;
        sums.digest = figures.digest;
    }
    let served: Vec<usize> = sums.stretches.iter().map(Vec::len).collect();
    let p99s: Vec<f64> = sums.stretches.iter().map(|class| p99(class)).collect();
    println!(
        "factor {factor} load {load} enabled {is_enabled}: jobs {:?} served {served:?} in time {:?} p99 {p99s:.2?} all {:.2}",
        sums.jobs,
        sums.in_time,
        p99(&sums.stretches.concat())
    );
    sums
}

fn p99(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() * 99 / 100]
}

/// Guards against decisions that change while the switch is off: the digest of all
/// starts with their times is that of the build before the feature.
#[gtest]
fn switched_off_decisions_are_those_of_the_previous_build() {
    let digests = [0.7, 1.1].map(|load| Simulation::new(1, 2.0, load, false).play().digest);
    expect_that!(
        digests,
        eq([10_427_233_556_780_534_716, 2_784_311_590_005_237_281])
    );
}

/// Guards against placements that change although no queue slows another one
/// down.
#[gtest]
fn without_interference_placements_stay() {
    let (off, on) = (play(1.0, 0.7, false), play(1.0, 0.7, true));
    let moved = |(run, worker): &(&RunId, &usize)| on.placements.get(run) != Some(worker);
    let moved = off.placements.iter().filter(moved).count();
    println!("{moved} of {} placements differ", off.placements.len());
    expect_that!(moved * 100, le(off.placements.len()));
}

/// Guards against tasks that slow each other down side by side although there is
/// room to keep them apart.
#[gtest]
fn with_room_the_slowest_responses_are_a_third_faster() {
    let (off, on) = (play(2.0, 0.7, false), play(2.0, 0.7, true));
    let (off, on) = (off.stretches.concat(), on.stretches.concat());
    expect_that!(p99(&on), le(p99(&off) * 2.0 / 3.0));
}

/// Guards against a preference that costs capacity when there is no room.
#[gtest]
fn under_overload_nothing_is_worse() {
    let (off, on) = (play(2.0, 1.1, false), play(2.0, 1.1, true));
    for (class, (name, ..)) in CLASSES.iter().enumerate() {
        expect_that!(on.in_time[class], ge(off.in_time[class]), "{name}");
        let (on, off) = (&on.stretches[class], &off.stretches[class]);
        expect_that!(on.len(), ge(off.len()), "{name} served");
        expect_that!(p99(on), le(p99(off)), "{name} p99");
    }
}
