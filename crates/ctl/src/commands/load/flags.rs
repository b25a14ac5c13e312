//! Flags that describe a load.

use std::str::FromStr;

use bpaf::{Parser, construct, long};

use crate::input::{argument_with_default, id_argument};

/// `Target` holds the institution, teams and service of the jobs.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) institution: String,
    pub(super) teams: IdList,
    pub(super) service: String,
}

/// `Arrivals` describe the arrival process of the jobs.
#[derive(Clone, Debug)]
pub(super) struct Arrivals {
    pub(super) jobs: u32,
    pub(super) task_rate: f64,
    pub(super) burst_factor: f64,
    pub(super) burst_period_ms: u64,
    pub(super) seed: u64,
}

/// `Workload` describes the size, run time and other properties of the jobs.
#[derive(Clone, Debug)]
pub(super) struct Workload {
    pub(super) tasks_per_job: IntRange,
    pub(super) task_ms: IntRange,
    pub(super) long_share: f64,
    pub(super) declared_error: f64,
    pub(super) not_repeatable_share: f64,
    pub(super) timeout_ms: u64,
    pub(super) ideal_network_us: u64,
}

/// `IdList` is a comma-separated list of ids.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct IdList(pub(super) Vec<String>);

impl FromStr for IdList {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        let names: Vec<String> = text.split(',').map(|name| name.trim().into()).collect();
        if names.iter().any(String::is_empty) {
            return Err("an id is empty".into());
        }
        Ok(Self(names))
    }
}

/// `IntRange` is an inclusive range of positive integers, such as `1-20`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct IntRange {
    pub(super) min: u32,
    pub(super) max: u32,
}

impl FromStr for IntRange {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        let (min, max) = text.split_once('-').unwrap_or((text, text));
        let parse = |part: &str| {
            part.parse::<u32>()
                .map_err(|_| format!("`{part}` is not a whole number"))
        };
        let range = Self {
            min: parse(min)?,
            max: parse(max)?,
        };
        if range.min == 0 || range.min > range.max {
            return Err(format!("`{text}` is not a range such as 1-20"));
        }
        Ok(range)
    }
}

/// Parses the institution, teams and service of the jobs.
pub(super) fn target() -> impl Parser<Target> {
    let institution = id_argument("institution", "Institution of the jobs");
    let teams = long("teams")
        .help("Teams of the jobs, used in turn, separated by commas")
        .argument::<IdList>("IDS");
    let service = id_argument("service", "Service of the jobs");
    construct!(Target {
        institution,
        teams,
        service
    })
}

/// Parses the arrival process.
pub(super) fn arrivals() -> impl Parser<Arrivals> {
    let jobs = argument_with_default("jobs", "Jobs to submit in all; default 100", 100_u32);
    let task_rate =
        argument_with_default("task-rate", "Task starts per second; default 100", 100.0);
    let burst_factor = argument_with_default(
        "burst-factor",
        "Factor by which the rate rises in bursts; default 1",
        1.0,
    );
    let burst_period_ms = argument_with_default(
        "burst-period-ms",
        "Period of the bursts in ms; default 10000",
        10_000_u64,
    );
    let seed = argument_with_default("seed", "Seed of every random choice; default 0", 0_u64);
    construct!(Arrivals {
        jobs,
        task_rate,
        burst_factor,
        burst_period_ms,
        seed
    })
}

/// Parses the properties of the jobs.
pub(super) fn workload() -> impl Parser<Workload> {
    let tasks_per_job = argument_with_default(
        "tasks-per-job",
        "Tasks per job; default 1-20",
        IntRange { min: 1, max: 20 },
    );
    let task_ms = argument_with_default(
        "task-ms",
        "Length of a task in ms; default 50-1000",
        IntRange { min: 50, max: 1000 },
    );
    let long_share = argument_with_default(
        "long-share",
        "Share of tasks that take 3 to 5 s; default 0",
        0.0,
    );
    let declared_error = argument_with_default(
        "declared-error",
        "Factor by which declared run times are wrong; default 1",
        1.0,
    );
    let not_repeatable_share = argument_with_default(
        "not-repeatable-share",
        "Share of jobs that are not repeatable; default 0",
        0.0,
    );
    let timeout_ms = argument_with_default(
        "timeout-ms",
        "How long callers wait, in ms; default 30000",
        30_000_u64,
    );
    let ideal_network_us = argument_with_default(
        "ideal-network-us",
        "Network time added to the ideal response time, in microseconds; default 0",
        0_u64,
    );
    construct!(Workload {
        tasks_per_job,
        task_ms,
        long_share,
        declared_error,
        not_repeatable_share,
        timeout_ms,
        ideal_network_us
    })
}
