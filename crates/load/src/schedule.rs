//! Jobs and their submission times, generated from a seed.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::api::caller::{SubmitRequest, TaskSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::options::LoadOptions;

/// Fraction of a burst period that the burst lasts.
const BURST_SHARE: f64 = 0.1;

/// Minimum and maximum length of long tasks in ms.
const LONG_TASK_MS: (u64, u64) = (3_000, 5_000);

/// `ScheduledJob` is a job and its submission time.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledJob {
    /// Submission time since the start of the run.
    pub(crate) at: Duration,
    /// Entry host to submit the job to.
    pub(crate) entry_host: SocketAddr,
    /// The job.
    pub(crate) request: SubmitRequest,
    /// Longest true task length.
    pub(crate) longest: Duration,
}

/// `Schedule` yields the jobs of a run in order of their submission times, which
/// do not depend on the answers (open loop).
pub(crate) struct Schedule {
    options: LoadOptions,
    /// Prefix of request ids, which makes them unique across runs.
    prefix: String,
    rng: ChaCha8Rng,
    next_job: u32,
    at_s: f64,
    /// Number of the current phase; bursts have even numbers.
    phase: u64,
}

impl Schedule {
    /// Creates the schedule of a run; `entry_hosts` must not be empty.
    pub(crate) fn new(options: LoadOptions, prefix: String) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        Self {
            options,
            prefix,
            rng,
            next_job: 0,
            at_s: 0.0,
            phase: 0,
        }
    }

    /// Draws the next arrival of a Poisson process whose rate is higher in bursts.
    fn advance(&mut self) {
        let uniform: f64 = self.rng.random();
        // Rate times time until the arrival; finite, since `uniform` is below 1.
        let mut remaining = -(1.0 - uniform).ln();
        loop {
            let (rate, until_s) = self.rate();
            let arrival_s = self.at_s + remaining / rate;
            if arrival_s <= until_s {
                self.at_s = arrival_s;
                return;
            }
            remaining -= (until_s - self.at_s) * rate;
            self.at_s = until_s;
            self.phase += 1;
        }
    }

    /// Gets the rate in jobs per second and the time in s until which it
    /// applies.
    fn rate(&self) -> (f64, f64) {
        let (low, high) = self.options.tasks_per_job;
        let mean_tasks = f64::from(low + high) / 2.0;
        let mean_rate = self.options.task_rate / mean_tasks;
        let factor = self.options.burst_factor;
        if factor == 1.0 {
            return (mean_rate, f64::INFINITY);
        }
        let base_rate = mean_rate / (1.0 - BURST_SHARE + BURST_SHARE * factor);
        let period_s = self.options.burst_period.as_secs_f64();
        let period = (self.phase / 2) as f64;
        if self.phase.is_multiple_of(2) {
            (base_rate * factor, (period + BURST_SHARE) * period_s)
        } else {
            (base_rate, (period + 1.0) * period_s)
        }
    }

    /// Draws a task and returns it with its true length in ms.
    fn task(&mut self) -> (TaskSpec, u64) {
        let run_ms = if self.rng.random_bool(self.options.long_share) {
            self.rng.random_range(LONG_TASK_MS.0..=LONG_TASK_MS.1)
        } else {
            let (low, high) = self.options.task_ms;
            self.log_uniform(low as f64, high as f64).round() as u64
        };
        let error = self.options.declared_error;
        let declared = run_ms as f64 * self.log_uniform(1.0 / error, error);
        let spec = TaskSpec {
            payload: format!("{{\"run_ms\":{run_ms}}}"),
            run_ms: declared.round().max(1.0) as u64,
            ..TaskSpec::default()
        };
        (spec, run_ms)
    }

    fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        low * (high / low).powf(uniform)
    }

    fn team(&self) -> String {
        let teams = &self.options.teams;
        let index = self.next_job as usize % teams.len().max(1);
        teams.get(index).cloned().unwrap_or_default()
    }
}

impl Iterator for Schedule {
    type Item = ScheduledJob;

    fn next(&mut self) -> Option<ScheduledJob> {
        if self.next_job == self.options.jobs {
            return None;
        }
        self.advance();
        let hosts = &self.options.entry_hosts;
        let entry_host = hosts[self.rng.random_range(0..hosts.len())];
        let (low, high) = self.options.tasks_per_job;
        let count = self.rng.random_range(low..=high);
        let not_repeatable = self.rng.random_bool(self.options.not_repeatable_share);
        let (tasks, lengths): (Vec<_>, Vec<_>) = (0..count).map(|_| self.task()).unzip();
        let request = SubmitRequest {
            request_id: format!("{}-{}", self.prefix, self.next_job),
            institution: self.options.institution.clone(),
            team: self.team(),
            service: self.options.service.clone(),
            repeatable: !not_repeatable,
            timeout_ms: u64::try_from(self.options.timeout.as_millis()).unwrap_or(u64::MAX),
            valid_until_unix_ms: None,
            tasks,
        };
        self.next_job += 1;
        Some(ScheduledJob {
            at: Duration::from_secs_f64(self.at_s),
            entry_host,
            request,
            longest: Duration::from_millis(lengths.into_iter().max().unwrap_or(0)),
        })
    }
}
