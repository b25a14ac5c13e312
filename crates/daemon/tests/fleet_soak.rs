//! Random faults in a system of separate processes and stand-in guarded workers.
//!
//! Set `SOAK_SEEDS=50 SOAK_SECONDS=20 SOAK_FIRST_SEED=1000` for a longer run by
//! hand; see docs/PROOFS.md. Seeds that have failed are kept in `REGRESSIONS`.

mod harness;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use harness::fleet::{Fleet, FleetClient, FleetSize};
use harness::relay::RelayMode;
use hornbeam_platform::standin::{FaultMode, RunRecord, task_name};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

/// Seeds that have failed, each with its cause.
const REGRESSIONS: &[u64] = &[];

/// Size of the system under test.
const FLEET_SIZE: FleetSize = FleetSize {
    controls: 3,
    entries: 3,
    workers: 8,
};

/// Delay before a caller resends a job that got no answer.
const RESEND_DELAY: Duration = Duration::from_millis(1300);

/// Time that the system has to recover after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Failure domain that is evacuated during the run; half of the workers are in it.
const EVACUATED_DOMAIN: &str = "fd-b";

/// Time after the acknowledgement of an evacuation from which on nothing may start
/// in the domain.
const EVACUATION_TIME: Duration = Duration::from_millis(5000);

/// Time for which a domain stays evacuated after [`EVACUATION_TIME`], in which
/// starts there are violations.
const EVACUATED_TIME: Duration = Duration::from_millis(3000);

/// Time after which an order counts as lost. Faults can leave no control host that
/// commits for some seconds.
const ORDER_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay before an order that was not acknowledged is sent to the next control
/// host.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time after SIGTERM at which a process is killed.
const TERMINATION_GRACE: Duration = Duration::from_secs(6);

/// `JobRecord` is what the caller of a job observed.
#[derive(Clone, Debug, Default)]
struct JobRecord {
    tasks: u32,
    completed: bool,
    statuses: Vec<Option<u16>>,
}

/// `Observations` are what the callers and the operator observed.
#[derive(Debug, Default)]
struct Observations {
    jobs: Mutex<HashMap<u64, JobRecord>>,
    acknowledged: AtomicU64,
    /// Times at which a domain must be empty of starts, from and until.
    evacuations: Mutex<Vec<(Instant, Instant)>>,
    violations: Mutex<Vec<String>>,
    is_finished: AtomicBool,
}

impl Observations {
    fn add_violation(&self, violation: String) {
        self.violations.lock().expect("no panic").push(violation);
    }
}

async fn run_caller(observations: Arc<Observations>, entries: Vec<SocketAddr>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let client = FleetClient::new();
    while !observations.is_finished.load(Ordering::Relaxed) {
        let job: u64 = rng.random();
        let tasks = rng.random_range(1..=4);
        let work_ms = rng.random_range(20..400);
        let mut record = JobRecord {
            tasks,
            ..JobRecord::default()
        };
        for _ in 0..3 {
            let to = entries[rng.random_range(0..entries.len())];
            let answer = client.submit(to, job, tasks, work_ms).await;
            record
                .statuses
                .push(answer.as_ref().map(|(status, _)| *status));
            match answer {
                Some((200, state)) => {
                    record.completed = state == "completed";
                    break;
                }
                Some((502 | 504, _)) | None => tokio::time::sleep(RESEND_DELAY).await,
                Some(_) => break,
            }
        }
        observations
            .jobs
            .lock()
            .expect("no panic")
            .insert(job, record);
        tokio::time::sleep(Duration::from_millis(rng.random_range(10..120))).await;
    }
}

async fn run_operator(observations: Arc<Observations>, controls: Vec<SocketAddr>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let client = FleetClient::new();
    let mut version = 1;
    while !observations.is_finished.load(Ordering::Relaxed) {
        let to = controls[rng.random_range(0..controls.len())];
        if rng.random_bool(0.5) {
            version += rng.random_range(1..4);
            let extra_queues = vec![format!("extra{version}")];
            if client.publish(to, version, &extra_queues).await {
                observations
                    .acknowledged
                    .fetch_max(version, Ordering::SeqCst);
            }
        } else {
            let min_version = observations.acknowledged.load(Ordering::SeqCst);
            if let Some(read) = client.read_version(to).await
                && read < min_version
            {
                observations.add_violation(format!(
                    "{to} reads version {read} after {min_version} was accepted"
                ));
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..500))).await;
    }
}

/// Sends an order to the control hosts in turn until one acknowledges it or
/// [`ORDER_TIMEOUT`] has passed.
async fn order_evacuation(controls: &[SocketAddr], is_evacuated: bool) -> bool {
    let client = FleetClient::new();
    let deadline = Instant::now() + ORDER_TIMEOUT;
    for to in controls.iter().cycle() {
        if client.evacuate(*to, EVACUATED_DOMAIN, is_evacuated).await {
            return true;
        }
        if Instant::now() > deadline {
            break;
        }
        tokio::time::sleep(ORDER_RETRY_DELAY).await;
    }
    false
}

/// Evacuates a failure domain during the faults and returns it to service, again
/// and again until the run ends.
async fn run_evacuations(observations: Arc<Observations>, controls: Vec<SocketAddr>) {
    while !observations.is_finished.load(Ordering::Relaxed) {
        if order_evacuation(&controls, true).await {
            let empty_from = Instant::now() + EVACUATION_TIME;
            tokio::time::sleep(EVACUATION_TIME + EVACUATED_TIME).await;
            let empty_until = Instant::now();
            let mut evacuations = observations.evacuations.lock().expect("no panic");
            evacuations.push((empty_from, empty_until));
        }
        if !order_evacuation(&controls, false).await {
            let violation = "the evacuated domain was not returned to service".to_owned();
            observations.add_violation(violation);
        }
        tokio::time::sleep(EVACUATED_TIME).await;
    }
}

/// Reports runs that started in an evacuated failure domain. A worker may carry out
/// a delayed start request seconds after it was sent, which [`EVACUATION_TIME`]
/// covers.
fn check_evacuations(fleet: &Fleet, runs: &[RunRecord], observations: &Observations) {
    let evacuations = observations.evacuations.lock().expect("no panic").clone();
    for run in runs {
        let is_empty = |(from, until): &&(Instant, Instant)| (*from..*until).contains(&run.started);
        let is_inside = fleet.failure_domain_of(&run.worker) == Some(EVACUATED_DOMAIN);
        if is_inside && evacuations.iter().any(|evacuation| is_empty(&evacuation)) {
            observations.add_violation(format!("a run started in an evacuated domain: {run:?}"));
        }
    }
}

/// Injects one random fault and repairs it.
async fn inject_fault(fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
    let mut pick = |range: std::ops::Range<usize>| rng.random_range(range);
    let entry = pick(fleet.host_indexes(false));
    let control = pick(fleet.host_indexes(true));
    let worker = pick(0..fleet.workers.len());
    let fault = pick(0..12);
    let pause = Duration::from_millis(pick(200..2500) as u64);
    match fault {
        0 => {
            fleet.kill(entry);
            tokio::time::sleep(pause / 4).await;
            fleet.start_host(entry, false);
        }
        1 => {
            fleet.signal(entry, "STOP");
            tokio::time::sleep(pause).await;
            fleet.signal(entry, "CONT");
        }
        2 => {
            fleet.terminate(entry, TERMINATION_GRACE).await;
            fleet.start_host(entry, false);
        }
        3 => {
            fleet.kill(control);
            tokio::time::sleep(pause / 2).await;
            fleet.start_host(control, false);
        }
        4 => {
            fleet.signal(control, "STOP");
            tokio::time::sleep(pause).await;
            fleet.signal(control, "CONT");
        }
        5 => {
            fleet.kill(control);
            fleet.delete_data_folder(control);
            fleet.start_host(control, false);
            // The next host may only be lost after this one has caught up.
            tokio::time::sleep(Duration::from_secs(4)).await;
        }
        6 => {
            fleet.workers[worker].crash();
            tokio::time::sleep(pause).await;
            let log = fleet.log.clone();
            fleet.workers[worker].start(&log).await;
        }
        7 => {
            let fault_modes = [
                FaultMode::FailRuns,
                FaultMode::StallRuns,
                FaultMode::DelayStarts,
            ];
            fleet.workers[worker].set_fault_mode(fault_modes[pick(0..3)]);
            tokio::time::sleep(pause).await;
            fleet.workers[worker].set_fault_mode(FaultMode::None);
        }
        8 => {
            for control in fleet.host_indexes(true) {
                fleet.kill(control);
            }
            for control in fleet.host_indexes(true) {
                fleet.start_host(control, false);
            }
        }
        _ => {
            let relay_modes = [
                RelayMode::Disconnect,
                RelayMode::Stall,
                RelayMode::StallToClient,
                RelayMode::StallToServer,
                RelayMode::DelayToClient(Duration::from_millis(30)),
            ];
            let mode = relay_modes[pick(0..relay_modes.len())];
            let count = pick(1..4);
            for offset in 0..count {
                let target = (worker + offset) % fleet.workers.len();
                fleet.workers[target].set_relay_mode(mode);
            }
            tokio::time::sleep(pause).await;
            for worker in &fleet.workers {
                worker.set_relay_mode(RelayMode::Forward);
            }
        }
    }
}

/// Reports concurrent runs of one task.
fn check_overlaps(runs: &[RunRecord], observations: &Observations) {
    let mut by_task: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.started);
        for pair in runs.windows(2) {
            let ended = pair[0].ended.map(|(at, _)| at);
            if ended.is_none_or(|at| at > pair[1].started) {
                observations
                    .add_violation(format!("two runs of {task} at the same time: {pair:?}"));
            }
        }
    }
}

/// Compares the answers to callers with the recorded runs.
fn check_answers(runs: &[RunRecord], observations: &Observations) {
    let started: HashSet<&str> = runs.iter().map(|run| run.task.as_str()).collect();
    let done: HashSet<&str> = runs
        .iter()
        .filter(|run| matches!(run.ended, Some((_, "done"))))
        .map(|run| run.task.as_str())
        .collect();
    for (job, record) in observations.jobs.lock().expect("no panic").iter() {
        let tasks: Vec<String> = (0..record.tasks)
            .map(|index| task_name(*job, index))
            .collect();
        let missing = tasks.iter().find(|task| !done.contains(task.as_str()));
        if let Some(task) = missing.filter(|_| record.completed) {
            observations.add_violation(format!("job {job:016x} completed without task {task}"));
        }
        let refused = record.statuses.iter().all(|status| *status == Some(503));
        let ran = tasks.iter().find(|task| started.contains(task.as_str()));
        if let Some(task) = ran.filter(|_| refused) {
            observations.add_violation(format!("job {job:016x} was refused and ran {task}"));
        }
    }
}

async fn soak(seed: u64, duration: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let network = u16::try_from(std::process::id() % 0xffff).unwrap_or(0) ^ (seed as u16) << 5;
    let mut fleet = Fleet::start(FLEET_SIZE, network).await;
    let observations = Arc::new(Observations::default());
    let operator = FleetClient::new();
    let controls = fleet.control_addresses();
    let deadline = Instant::now() + Duration::from_secs(10);
    while !operator.publish(controls[0], 1, &[]).await {
        assert!(Instant::now() < deadline, "{}", fleet.log_tail(0, 20));
    }
    observations.acknowledged.store(1, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut clients = JoinSet::new();
    for caller in 0..6 {
        let entries = fleet.caller_addresses();
        clients.spawn(run_caller(
            Arc::clone(&observations),
            entries,
            seed ^ (caller + 1) << 32,
        ));
    }
    clients.spawn(run_operator(
        Arc::clone(&observations),
        controls.clone(),
        seed ^ 99 << 32,
    ));
    clients.spawn(run_evacuations(Arc::clone(&observations), controls.clone()));
    let end = Instant::now() + duration;
    while Instant::now() < end {
        inject_fault(&mut fleet, &mut rng).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..1200))).await;
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    let jobs_before = observations.jobs.lock().expect("no panic").len();
    tokio::time::sleep(Duration::from_secs(3)).await;
    observations.is_finished.store(true, Ordering::Relaxed);
    while clients.join_next().await.is_some() {}
    check_final_state(&fleet, &observations, jobs_before, &controls).await;
    let violations = observations.violations.lock().expect("no panic").clone();
    if !violations.is_empty() {
        let log_path = std::env::temp_dir().join(format!("soak-{seed}.log"));
        std::fs::write(&log_path, fleet.grep_logs("")).expect("a log to keep");
        panic!(
            "seed {seed}: {violations:#?}; logs in {}",
            log_path.display()
        );
    }
}

async fn check_final_state(
    fleet: &Fleet,
    observations: &Observations,
    jobs_before: usize,
    controls: &[SocketAddr],
) {
    let runs = fleet.log.runs();
    check_overlaps(&runs, observations);
    check_evacuations(fleet, &runs, observations);
    check_answers(&runs, observations);
    let client = FleetClient::new();
    let min_version = observations.acknowledged.load(Ordering::SeqCst);
    for control in controls {
        match client.read_version(*control).await {
            Some(read) if read >= min_version => {}
            read => observations.add_violation(format!(
                "{control} reads {read:?} at the end, not {min_version}"
            )),
        }
    }
    let jobs = observations.jobs.lock().expect("no panic");
    let completed = jobs.values().filter(|job| job.completed).count();
    println!(
        "{} jobs, {completed} completed, {} runs, version {min_version}",
        jobs.len(),
        runs.len()
    );
    if jobs.len() <= jobs_before {
        let violation = "no job was answered after the recovery".to_owned();
        observations
            .violations
            .lock()
            .expect("no panic")
            .push(violation);
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against concurrent runs of a task, false refusals, jobs that complete
/// without all tasks, documents that are lost or revert, starts in an evacuated
/// failure domain, and a system that does not recover, under random faults in
/// sequence.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    let duration = Duration::from_secs(env_number("SOAK_SECONDS", 8));
    let first = env_number("SOAK_FIRST_SEED", 1);
    let seeds = first..first + env_number("SOAK_SEEDS", 1);
    for seed in REGRESSIONS.iter().copied().chain(seeds) {
        println!("seed {seed}");
        soak(seed, duration).await;
    }
}
