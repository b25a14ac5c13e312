//! A simulated host with simulated workers, and callers with a mix of jobs.

// Justification: each test file uses only some of the helpers.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use hornbeam_fleet::{
    EndedRun, FleetInput, FleetOutput, JobOutcome, PollOutcome, PollRequest, PollResponse, Queue,
    Resources, RunEnd, RunId, RunProgress, SchedulingOptions, StartOutcome, StopOutcome,
    Submission,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{Harness, OWN_HOST, SERVICE, queues, report};

/// Number of workers of the only host.
const WORKERS: usize = 40;

/// Cores of a worker, and of each task.
const WORKER_CPU_MILLI: u32 = 32_000;
const TASK_CPU_MILLI: u32 = 14_000;

/// Tasks that run at once.
const SLOTS: usize = WORKERS * (WORKER_CPU_MILLI / TASK_CPU_MILLI) as usize;

/// Relative speeds of the workers.
const SPEEDS: [f64; 3] = [0.8, 1.0, 1.25];

/// Largest relative error of a declared run time.
const ESTIMATE_ERROR: f64 = 0.4;

/// Delay of each request and answer.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Stretch of an objective, and what is added to it.
const STRETCH: f64 = 1.6;
const OBJECTIVE_EXTRA: Duration = Duration::from_millis(60);

/// `JobClass` describes the jobs of one queue.
#[derive(Clone, Copy, Debug)]
pub struct JobClass {
    pub queue: &'static str,
    pub priority: u32,
    pub tasks: u32,
    pub mean_work: Duration,
    /// Share of all jobs.
    pub share: f64,
}

impl JobClass {
    /// Gets the mean work of a job, in seconds.
    pub fn work_s(&self) -> f64 {
        f64::from(self.tasks) * self.mean_work.as_secs_f64()
    }
}

/// The mix of both users: short wide jobs, long ones, and many small ones.
pub const CLASSES: [JobClass; 3] = [
    JobClass {
        queue: "short",
        priority: 0,
        tasks: 8,
        mean_work: Duration::from_millis(60),
        share: 0.24,
    },
    JobClass {
        queue: "long",
        priority: 2,
        tasks: 4,
        mean_work: Duration::from_millis(900),
        share: 0.05,
    },
    JobClass {
        queue: "small",
        priority: 1,
        tasks: 2,
        mean_work: Duration::from_millis(200),
        share: 0.71,
    },
];

/// `Load` is a period of arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Work that arrives, as a multiple of what the workers can do.
    pub factor: f64,
    /// Factors on the shares of the classes.
    pub class_factors: [f64; 3],
    pub length: Duration,
}

#[derive(Clone, Debug)]
enum SimulatedEvent {
    Arrival,
    Accept(usize, RunId),
    RunEnds(usize, RunId),
    PollAnswer(usize, u64),
    Stopped(usize, RunId),
}

struct SimulatedWorker {
    speed: f64,
    next_sequence: u64,
    running: BTreeMap<RunId, Duration>,
    ended: Vec<EndedRun>,
    poll: Option<PollRequest>,
    polls: u64,
}

struct SimulatedJob {
    class: usize,
    arrived_at: Duration,
    /// True run time of each task on a worker of speed 1.
    work: Vec<Duration>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub jobs: u32,
    pub in_time: u32,
    pub late: u32,
    /// Jobs that a single queue with perfect information serves in time.
    pub ideal: u32,
}

/// `Ideal` is a single queue over all slots that knows every run time. It takes
/// a job if that ends in time behind the jobs taken before it.
struct Ideal {
    free_at: Vec<Duration>,
}

impl Ideal {
    fn new() -> Self {
        Self {
            free_at: vec![Duration::ZERO; SLOTS],
        }
    }

    fn admits(&mut self, now: Duration, work: &[Duration], objective: Duration) -> bool {
        self.free_at.sort_unstable();
        let start = |index: usize| self.free_at[index].max(now);
        let ends: Vec<Duration> = (work.iter().enumerate())
            .map(|(index, work)| start(index) + *work)
            .collect();
        let in_time = ends.iter().all(|end| *end <= now + objective);
        if in_time {
            self.free_at[..ends.len()].copy_from_slice(&ends);
        }
        in_time
    }
}

fn objective_of(longest: Duration) -> Duration {
    longest.mul_f64(STRETCH) + OBJECTIVE_EXTRA
}

pub struct Simulation {
    harness: Harness,
    rng: ChaCha8Rng,
    workers: Vec<SimulatedWorker>,
    worker_keys: HashMap<u64, usize>,
    jobs: HashMap<u64, SimulatedJob>,
    calls: HashMap<u64, u64>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: HashMap<u64, SimulatedEvent>,
    next_event: u64,
    next_job: u64,
    classes: [JobClass; 3],
    ideal: Ideal,
    load: Load,
    totals: Vec<Totals>,
}

impl Simulation {
    pub fn new(seed: u64, classes: [JobClass; 3], scheduling: SchedulingOptions) -> Self {
        let mut harness = Harness::with_scheduling(OWN_HOST, scheduling);
        let mut table = queues(2);
        table.queues = classes.iter().map(queue).collect();
        harness.step(FleetInput::Queues(table.into()));
        let mut workers = Vec::new();
        let mut worker_keys = HashMap::new();
        for index in 0..WORKERS {
            let mut report = report(&format!("w{index}"), 1);
            report.capacity.cpu_milli = WORKER_CPU_MILLI;
            harness.step(FleetInput::Reported(1, report));
            let worker_key = harness.poll().target.worker_key;
            worker_keys.insert(worker_key, index);
            harness.answer_poll(worker_key, &[], &[]);
            workers.push(SimulatedWorker {
                speed: SPEEDS[index % SPEEDS.len()],
                next_sequence: 0,
                running: BTreeMap::new(),
                ended: Vec::new(),
                poll: None,
                polls: 0,
            });
            let first = harness.polls().pop();
            workers[index].poll = first;
        }
        let mut simulation = Self {
            harness,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers,
            worker_keys,
            jobs: HashMap::new(),
            calls: HashMap::new(),
            events: BinaryHeap::new(),
            scheduled: HashMap::new(),
            next_event: 0,
            next_job: 0,
            classes,
            ideal: Ideal::new(),
            load: Load {
                factor: 0.0,
                class_factors: [1.0; 3],
                length: Duration::ZERO,
            },
            totals: vec![Totals::default(); classes.len()],
        };
        for index in 0..WORKERS {
            simulation.schedule_poll_end(index);
        }
        simulation
    }

    fn schedule(&mut self, at: Duration, event: SimulatedEvent) {
        self.next_event += 1;
        self.scheduled.insert(self.next_event, event);
        self.events.push(Reverse((at, self.next_event)));
    }

    /// Plays a load, and gets the totals of the jobs that arrived in it.
    pub fn play(&mut self, load: Load) -> Vec<Totals> {
        self.load = load;
        self.totals = vec![Totals::default(); self.classes.len()];
        let end = self.harness.now + load.length;
        self.schedule(self.harness.now, SimulatedEvent::Arrival);
        self.run_until(end);
        self.load.factor = 0.0;
        // The last jobs end.
        self.run_until(end + Duration::from_secs(6));
        self.totals.clone()
    }

    fn run_until(&mut self, end: Duration) {
        loop {
            let wakeup = self.harness.fleet.next_wakeup();
            let next_event = self
                .events
                .peek()
                .map_or(Duration::MAX, |Reverse((at, _))| *at);
            let at = wakeup.min(next_event);
            if at > end {
                break;
            }
            let passed = at.saturating_sub(self.harness.now);
            self.harness.now += passed;
            if next_event <= wakeup {
                let Some(Reverse((_, number))) = self.events.pop() else {
                    break;
                };
                if let Some(event) = self.scheduled.remove(&number) {
                    self.handle(event);
                }
            } else {
                self.harness.step(FleetInput::Tick);
            }
            self.execute_outputs();
        }
        self.harness.now = self.harness.now.max(end);
    }

    fn handle(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::Arrival => self.arrive(),
            SimulatedEvent::Accept(worker, run) => {
                let key = self.key_of(worker);
                let outcome = StartOutcome::Accepted(self.clock_ms());
                self.harness
                    .step(FleetInput::StartRequestEnded(key, run, outcome));
            }
            SimulatedEvent::RunEnds(worker, run) => self.end_run(worker, run, RunEnd::Done),
            SimulatedEvent::Stopped(worker, run) => {
                let key = self.key_of(worker);
                self.harness.step(FleetInput::StopRequestEnded(
                    key,
                    run,
                    StopOutcome::Accepted,
                ));
                self.end_run(worker, run, RunEnd::Lost);
            }
            SimulatedEvent::PollAnswer(worker, poll) => {
                if self.workers[worker].polls == poll {
                    self.answer_poll(worker);
                }
            }
        }
    }

    fn arrive(&mut self) {
        if self.load.factor == 0.0 {
            return;
        }
        let weights: Vec<f64> = (self.classes.iter().zip(self.load.class_factors))
            .map(|(class, factor)| class.share * factor)
            .collect();
        let total: f64 = weights.iter().sum();
        let work: f64 = (self.classes.iter().zip(&weights))
            .map(|(class, weight)| weight * class.work_s())
            .sum();
        let work_per_job = work / total;
        let slots = SLOTS as f64;
        let jobs_per_s = self.load.factor * slots / work_per_job;
        let pause = -self.rng.random_range(1e-9..1.0_f64).ln() / jobs_per_s;
        self.schedule(
            self.harness.now + Duration::from_secs_f64(pause),
            SimulatedEvent::Arrival,
        );
        let mut draw = self.rng.random_range(0.0..total);
        let class = weights.iter().position(|weight| {
            draw -= weight;
            draw < 0.0
        });
        self.submit(class.unwrap_or(0));
    }

    fn submit(&mut self, class_index: usize) {
        let class = self.classes[class_index];
        let spread = self.rng.random_range(0.6..1.4);
        let mut task_work = || {
            class
                .mean_work
                .mul_f64(spread * self.rng.random_range(0.85..1.15))
        };
        let work: Vec<Duration> = (0..class.tasks).map(|_| task_work()).collect();
        let longest = *work.iter().max().expect("a task");
        if self
            .ideal
            .admits(self.harness.now, &work, objective_of(longest))
        {
            self.totals[class_index].ideal += 1;
        }
        let error = 1.0 + self.rng.random_range(-ESTIMATE_ERROR..ESTIMATE_ERROR);
        self.next_job += 1;
        let job = self.next_job;
        self.totals[class_index].jobs += 1;
        self.jobs.insert(
            job,
            SimulatedJob {
                class: class_index,
                arrived_at: self.harness.now,
                work,
            },
        );
        self.calls.insert(job, job);
        let submission = Submission {
            job,
            queue: class.queue.into(),
            spec: "work".into(),
            tasks: class.tasks,
            need: Resources {
                cpu_milli: TASK_CPU_MILLI,
                memory_mb: 64,
                accelerators: 0,
            },
            estimate: longest.mul_f64(error),
            timeout: Duration::from_secs(5),
        };
        self.harness.step(FleetInput::Submitted(job, submission));
    }

    fn execute_outputs(&mut self) {
        while !self.harness.outputs.is_empty() {
            for output in std::mem::take(&mut self.harness.outputs) {
                self.execute(output);
            }
        }
    }

    fn execute(&mut self, output: FleetOutput) {
        let now = self.harness.now;
        match output {
            FleetOutput::Answer(call, outcome) => self.record_answer(call, outcome),
            FleetOutput::Start(request) => {
                let worker = self.worker_keys[&request.target.worker_key];
                let job = &self.jobs[&request.run.job];
                let work = job.work[request.run.task as usize];
                let takes = work.div_f64(self.workers[worker].speed);
                self.workers[worker].running.insert(request.run, now);
                self.schedule(
                    now + 2 * NETWORK_DELAY,
                    SimulatedEvent::Accept(worker, request.run),
                );
                let ends_at = now + NETWORK_DELAY + takes;
                self.schedule(ends_at, SimulatedEvent::RunEnds(worker, request.run));
            }
            FleetOutput::Stop(request) => {
                let worker = self.worker_keys[&request.target.worker_key];
                self.schedule(
                    now + 5 * NETWORK_DELAY,
                    SimulatedEvent::Stopped(worker, request.run),
                );
            }
            FleetOutput::Poll(request) | FleetOutput::Probe(request) => {
                let worker = self.worker_keys[&request.target.worker_key];
                let state = &mut self.workers[worker];
                state
                    .ended
                    .retain(|ended| ended.sequence > request.acknowledged);
                state.poll = Some(request);
                self.schedule_poll_end(worker);
            }
            _ => {}
        }
    }

    /// Ends the poll in flight at its wait, or at once if an end is listed.
    fn schedule_poll_end(&mut self, worker: usize) {
        let state = &mut self.workers[worker];
        let Some(request) = &state.poll else { return };
        let wait = if state.ended.is_empty() {
            request.wait
        } else {
            Duration::ZERO
        };
        state.polls += 1;
        let poll = state.polls;
        let at = self.harness.now + wait + 2 * NETWORK_DELAY;
        self.schedule(at, SimulatedEvent::PollAnswer(worker, poll));
    }

    fn end_run(&mut self, worker: usize, run: RunId, end: RunEnd) {
        let state = &mut self.workers[worker];
        if state.running.remove(&run).is_none() {
            return;
        }
        state.next_sequence += 1;
        let sequence = state.next_sequence;
        state.ended.push(EndedRun {
            sequence,
            run: Some(run),
            end,
        });
        self.schedule_poll_end(worker);
    }

    fn answer_poll(&mut self, worker: usize) {
        let key = self.key_of(worker);
        let state = &mut self.workers[worker];
        if state.poll.take().is_none() {
            return;
        }
        let now = self.harness.now;
        let jobs = &self.jobs;
        let progress = |(run, since): (&RunId, &Duration)| {
            let work = jobs[&run.job].work[run.task as usize].div_f64(state.speed);
            let share = now.saturating_sub(*since).as_secs_f64() / work.as_secs_f64();
            RunProgress {
                run: *run,
                done_percent: (share * 100.0).min(99.0) as u32,
            }
        };
        let response = PollResponse {
            clock_ms: u64::try_from(now.as_millis()).expect("a small time"),
            born_unix_ms: None,
            running: state.running.iter().map(progress).collect(),
            ended: state.ended.clone(),
        };
        self.harness
            .step(FleetInput::PollEnded(key, PollOutcome::Answered(response)));
    }

    fn record_answer(&mut self, call: u64, outcome: JobOutcome) {
        let Some(job) = self.calls.remove(&call) else {
            return;
        };
        let job = &self.jobs[&job];
        let totals = &mut self.totals[job.class];
        let longest = *job.work.iter().max().expect("a task");
        let objective = objective_of(longest);
        let took = self.harness.now - job.arrived_at;
        if outcome == JobOutcome::Completed {
            let count = if took <= objective {
                &mut totals.in_time
            } else {
                &mut totals.late
            };
            *count += 1;
        }
    }

    fn key_of(&self, worker: usize) -> u64 {
        let found = self.worker_keys.iter().find(|(_, index)| **index == worker);
        *found.expect("a known worker").0
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.harness.now.as_millis()).expect("a small time")
    }
}

fn queue(class: &JobClass) -> Queue {
    Queue {
        name: class.queue.into(),
        host_name: format!("{}.example", class.queue),
        path_prefix: format!("/{}/", class.queue),
        service: SERVICE.into(),
        priority: class.priority,
        attempts: 4,
        stretch: STRETCH,
        objective_extra: OBJECTIVE_EXTRA,
        timeout: Duration::from_millis(1500),
    }
}
