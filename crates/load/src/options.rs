//! Settings of a run.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::ids::{InstitutionId, ServiceId, TeamId};

/// `LoadOptions` are the settings of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Entry hosts; jobs go to a random one each; default none,
    /// which is an error.
    pub entry_hosts: Vec<SocketAddr>,
    /// Institution of the jobs; default empty.
    pub institution: InstitutionId,
    /// Teams of the jobs, used in turn; default none.
    pub teams: Vec<TeamId>,
    /// Service of the jobs; default empty.
    pub service: ServiceId,
    /// Jobs to submit in all; default 100.
    pub jobs: u32,
    /// Mean task starts a second that the arrivals ask for; default 100.
    pub task_rate: f64,
    /// Tasks per job, uniform between both; default 1 to 20.
    pub tasks_per_job: (u32, u32),
    /// Task length in ms, log-uniform between both; default 50 to 1000.
    pub task_ms: (u64, u64),
    /// Share of tasks that take 3 to 5 s instead; default 0.
    pub long_share: f64,
    /// Factor by which the arrival rate rises in bursts; the mean rate stays
    /// the same; default 1 (none).
    pub burst_factor: f64,
    /// Period of the bursts, each a tenth of it long; default 10 s.
    pub burst_period: Duration,
    /// Factor by which declared run times are wrong at random, up or down;
    /// default 1 (exact).
    pub declared_error: f64,
    /// Share of jobs marked as not repeatable; default 0.
    pub not_repeatable_share: f64,
    /// Time that callers wait; default 30 s.
    pub timeout: Duration,
    /// Network round trips in the ideal, added to the longest task; default
    /// two round trips of zero.
    pub ideal_network: Duration,
    /// Seed of arrivals, sizes and lengths; default 0.
    pub seed: u64,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            entry_hosts: Vec::new(),
            institution: String::new(),
            teams: Vec::new(),
            service: String::new(),
            jobs: 100,
            task_rate: 100.0,
            tasks_per_job: (1, 20),
            task_ms: (50, 1000),
            long_share: 0.0,
            burst_factor: 1.0,
            burst_period: Duration::from_secs(10),
            declared_error: 1.0,
            not_repeatable_share: 0.0,
            timeout: Duration::from_secs(30),
            ideal_network: Duration::ZERO,
            seed: 0,
        }
    }
}
