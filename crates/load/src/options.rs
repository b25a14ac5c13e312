//! Settings of a run.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::ids::{InstitutionId, ServiceId, TeamId};

/// `LoadOptions` are the settings of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Entry hosts, chosen at random for each job; default none, which is an
    /// error.
    pub entry_hosts: Vec<SocketAddr>,
    /// Institution of the jobs; default empty.
    pub institution: InstitutionId,
    /// Teams of the jobs, used in turn; default none.
    pub teams: Vec<TeamId>,
    /// Service of the jobs; default empty.
    pub service: ServiceId,
    /// Total number of jobs; default 100.
    pub jobs: u32,
    /// Mean arrival rate in tasks per second; default 100.
    pub task_rate: f64,
    /// Minimum and maximum tasks per job, uniformly distributed; default 1 to 20.
    pub tasks_per_job: (u32, u32),
    /// Minimum and maximum task length in ms, log-uniformly distributed; default
    /// 50 to 1000.
    pub task_ms: (u64, u64),
    /// Fraction of tasks that take 3 to 5 s instead; default 0.
    pub long_share: f64,
    /// Ratio of the arrival rate in bursts to the rate between them; the mean
    /// rate stays the same; default 1 (no bursts).
    pub burst_factor: f64,
    /// Period of the bursts; a burst lasts a tenth of it; default 10 s.
    pub burst_period: Duration,
    /// Maximum factor by which a declared run time deviates at random from the
    /// true one, up or down; default 1 (exact).
    pub declared_error: f64,
    /// Fraction of jobs marked as not repeatable; default 0.
    pub not_repeatable_share: f64,
    /// Timeout of the jobs; default 30 s.
    pub timeout: Duration,
    /// Network time in the ideal response time, added to the longest task:
    /// two round trips; default zero.
    pub ideal_network: Duration,
    /// Seed of arrivals, job sizes and task lengths; default 0.
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
