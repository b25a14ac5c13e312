//! Jobs and their start times, drawn from a seed.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::api::caller::{SubmitRequest, TaskSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::options::LoadOptions;

/// Share of a burst period that the burst lasts.
const BURST_SHARE: f64 = 0.1;

/// Length of long tasks in ms, from and to.
const LONG_MS: (u64, u64) = (3_000, 5_000);

/// `ScheduledJob` is one job and the time to submit it.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledJob {
    /// Time from the start of the run.
    pub(crate) at: Duration,
    /// Entry host that gets the job.
    pub(crate) entry_host: SocketAddr,
    /// The job.
    pub(crate) request: SubmitRequest,
    /// Longest true task length.
    pub(crate) longest: Duration,
}

/// `Schedule` yields the jobs of a run in order of their start times. The
/// start times do not depend on the answers (open loop).
pub(crate) struct Schedule {
    options: LoadOptions,
    /// Prefix of request ids; makes them unique over runs.
    prefix: String,
    random: ChaCha8Rng,
    next_job: u32,
    at_s: f64,
    /// Number of changes between burst and calm so far; even in a burst.
    phase: u64,
}

impl Schedule {
    /// Creates the schedule of a run; there must be an entry host.
    pub(crate) fn new(options: LoadOptions, prefix: String) -> Self {
        let random = ChaCha8Rng::seed_from_u64(options.seed);
        Self {
            options,
            prefix,
            random,
            next_job: 0,
            at_s: 0.0,
            phase: 0,
        }
    }

    /// Draws the next arrival of a Poisson process whose rate rises in bursts.
    fn advance(&mut self) {
        let drawn: f64 = self.random.random();
        // Rate times time until the arrival; `drawn` is below 1.
        let mut left = -(1.0 - drawn).ln();
        loop {
            let (rate, until_s) = self.rate();
            let arrival_s = self.at_s + left / rate;
            if arrival_s <= until_s {
                self.at_s = arrival_s;
                return;
            }
            left -= (until_s - self.at_s) * rate;
            self.at_s = until_s;
            self.phase += 1;
        }
    }

    /// Gets the rate in jobs a second and the time in s until it applies.
    fn rate(&self) -> (f64, f64) {
        let (low, high) = self.options.tasks_per_job;
        let mean_tasks = f64::from(low + high) / 2.0;
        let mean_rate = self.options.task_rate / mean_tasks;
        let factor = self.options.burst_factor;
        if factor == 1.0 {
            return (mean_rate, f64::INFINITY);
        }
        let calm_rate = mean_rate / (1.0 - BURST_SHARE + BURST_SHARE * factor);
        let period_s = self.options.burst_period.as_secs_f64();
        let period = (self.phase / 2) as f64;
        if self.phase.is_multiple_of(2) {
            (calm_rate * factor, (period + BURST_SHARE) * period_s)
        } else {
            (calm_rate, (period + 1.0) * period_s)
        }
    }

    /// Draws a task and gets its true length in ms.
    fn task(&mut self) -> (TaskSpec, u64) {
        let run_ms = if self.random.random_bool(self.options.long_share) {
            self.random.random_range(LONG_MS.0..=LONG_MS.1)
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
        let drawn: f64 = self.random.random();
        low * (high / low).powf(drawn)
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
        let entry_host = hosts[self.random.random_range(0..hosts.len())];
        let (low, high) = self.options.tasks_per_job;
        let count = self.random.random_range(low..=high);
        let not_repeatable = self.random.random_bool(self.options.not_repeatable_share);
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
