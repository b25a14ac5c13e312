//! What a run of the model does, as drawn by proptest.

use proptest::prelude::*;

/// `Fault` is what goes wrong with one exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The request never leaves the host.
    NotSent,
    /// The connection is lost before the request arrives.
    LostBeforeStart,
    /// The connection is lost, but the request arrives much later.
    ArrivesLate,
    /// The tasks run, but the answer is lost.
    LostAfterRun,
    /// The tasks run, but the connection becomes silent.
    Silent,
    /// The connection counts as lost, and the answer still arrives.
    LateAnswer,
    /// The answer names another job.
    WrongAnswer,
    /// The tasks start much later than the server received them.
    Stalls,
    /// The tasks end with an error.
    TaskFails,
    /// The worker stops the tasks.
    TaskStops,
}

/// Faults that a run draws from.
pub const FAULTS: [Fault; 10] = [
    Fault::NotSent,
    Fault::LostBeforeStart,
    Fault::ArrivesLate,
    Fault::LostAfterRun,
    Fault::Silent,
    Fault::LateAnswer,
    Fault::WrongAnswer,
    Fault::Stalls,
    Fault::TaskFails,
    Fault::TaskStops,
];

/// `PlannedJob` is one submission.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// When it is submitted, in ms.
    pub at_ms: u64,
    /// Host, modulo the number of hosts.
    pub host: usize,
    /// Number of tasks.
    pub tasks: usize,
    /// Declared run time of each task in ms.
    pub run_ms: u64,
    /// Declared processor use of each task.
    pub cpu_milli: u32,
    /// Whether the team with the small quota submits it.
    pub small_quota: bool,
    /// Request id if the job is not repeatable; jobs may share one.
    pub once: Option<u8>,
    /// Time after which the caller goes away.
    pub cancel_after_ms: Option<u64>,
    /// How long the caller waits, in ms.
    pub timeout_ms: u64,
}

/// `Incident` is something that happens to a host or a server.
#[derive(Clone, Copy, Debug)]
pub enum Incident {
    /// A server starts again.
    Restart(usize),
    /// A server withdraws.
    Withdraw(usize),
    /// A server stops announcing itself for 3 s.
    Mute(usize),
    /// A host cannot reach its peers for 2 s.
    Isolate(usize),
    /// A host loses its state and starts again.
    Crash(usize),
    /// A host drains.
    Drain(usize),
}

/// `Plan` is one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub hosts: usize,
    pub server_slots: Vec<u32>,
    pub max_tasks_per_exchange: u32,
    pub faults_per_mille: u32,
    pub shared: bool,
    pub seed: u64,
    pub jobs: Vec<PlannedJob>,
    pub incidents: Vec<(u64, Incident)>,
}

/// Gets the strategy for runs.
pub fn plans() -> impl Strategy<Value = Plan> {
    let jobs = prop::collection::vec(job(), 1..20);
    let incidents = prop::collection::vec((0..5_000_u64, incident()), 0..5);
    let faults = prop_oneof![Just(0_u32), Just(20), Just(100), Just(400)];
    let slots = prop::collection::vec(1..5_u32, 1..7);
    let choices = (any::<u64>(), prop::bool::weighted(0.15));
    (
        2..4_usize,
        slots,
        1..4_u32,
        faults,
        choices,
        jobs,
        incidents,
    )
        .prop_map(
            |(
                hosts,
                server_slots,
                max_tasks_per_exchange,
                faults_per_mille,
                (seed, shared),
                jobs,
                incidents,
            )| {
                Plan {
                    hosts,
                    server_slots,
                    max_tasks_per_exchange: if shared { 1 } else { max_tasks_per_exchange },
                    faults_per_mille,
                    shared,
                    seed,
                    jobs,
                    incidents,
                }
            },
        )
}

fn job() -> impl Strategy<Value = PlannedJob> {
    let once = prop::option::weighted(0.3, 0..4_u8);
    let cancel_after_ms = prop::option::weighted(0.1, 0..400_u64);
    (
        (100..5_000_u64, 0..3_usize, 1..30_usize, 1..300_u64),
        (
            0..3_u32,
            any::<bool>(),
            once,
            cancel_after_ms,
            200..4_000_u64,
        ),
    )
        .prop_map(
            |(
                (at_ms, host, tasks, run_ms),
                (cpu, small_quota, once, cancel_after_ms, timeout_ms),
            )| {
                PlannedJob {
                    at_ms,
                    host,
                    tasks,
                    run_ms,
                    cpu_milli: cpu * 6_000,
                    small_quota,
                    once,
                    cancel_after_ms,
                    timeout_ms,
                }
            },
        )
}

fn incident() -> impl Strategy<Value = Incident> {
    prop_oneof![
        3 => (0..6_usize).prop_map(Incident::Restart),
        3 => (0..6_usize).prop_map(Incident::Withdraw),
        2 => (0..6_usize).prop_map(Incident::Mute),
        2 => (0..3_usize).prop_map(Incident::Isolate),
        1 => (0..3_usize).prop_map(Incident::Crash),
        1 => (0..3_usize).prop_map(Incident::Drain),
    ]
}
