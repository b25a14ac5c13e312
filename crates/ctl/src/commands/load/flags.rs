//! What a load is like, as flags.

use std::str::FromStr;

use bpaf::{Parser, construct, long};

use crate::input::{id, number};

/// `Target` says on whose behalf the jobs run.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) institution: String,
    pub(super) teams: Names,
    pub(super) service: String,
}

/// `Arrivals` say when jobs are submitted.
#[derive(Clone, Debug)]
pub(super) struct Arrivals {
    pub(super) jobs: u32,
    pub(super) task_rate: f64,
    pub(super) burst_factor: f64,
    pub(super) burst_period_ms: u64,
    pub(super) seed: u64,
}

/// `Shape` says what the jobs are like.
#[derive(Clone, Debug)]
pub(super) struct Shape {
    pub(super) tasks_per_job: Span,
    pub(super) task_ms: Span,
    pub(super) long_share: f64,
    pub(super) declared_error: f64,
    pub(super) not_repeatable_share: f64,
    pub(super) timeout_ms: u64,
    pub(super) ideal_network_us: u64,
}

/// `Names` is a list of ids, separated by commas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Names(pub(super) Vec<String>);

impl FromStr for Names {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        let names: Vec<String> = text.split(',').map(|name| name.trim().into()).collect();
        if names.iter().any(String::is_empty) {
            return Err("an id is empty".into());
        }
        Ok(Self(names))
    }
}

/// `Span` is a range of whole numbers, both ends included, as `1-20`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Span {
    pub(super) min: u32,
    pub(super) max: u32,
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        let (min, max) = text.split_once('-').unwrap_or((text, text));
        let number = |part: &str| {
            part.parse::<u32>()
                .map_err(|_| format!("`{part}` is not a whole number"))
        };
        let span = Self {
            min: number(min)?,
            max: number(max)?,
        };
        if span.min == 0 || span.min > span.max {
            return Err(format!("`{text}` is not a range such as 1-20"));
        }
        Ok(span)
    }
}

/// Parses on whose behalf the jobs run.
pub(super) fn target() -> impl Parser<Target> {
    let institution = id("institution", "Institution of the jobs");
    let teams = long("teams")
        .help("Teams of the jobs, used in turn, separated by commas")
        .argument::<Names>("IDS");
    let service = id("service", "Service of the jobs");
    construct!(Target {
        institution,
        teams,
        service
    })
}

/// Parses when jobs are submitted.
pub(super) fn arrivals() -> impl Parser<Arrivals> {
    let jobs = number("jobs", "Jobs to submit in all; default 100", 100_u32);
    let task_rate = number("task-rate", "Task starts a second; default 100", 100.0);
    let burst_factor = number(
        "burst-factor",
        "Factor by which the rate rises in bursts; default 1",
        1.0,
    );
    let burst_period_ms = number(
        "burst-period-ms",
        "Period of the bursts in ms; default 10000",
        10_000_u64,
    );
    let seed = number("seed", "Seed of every random choice; default 0", 0_u64);
    construct!(Arrivals {
        jobs,
        task_rate,
        burst_factor,
        burst_period_ms,
        seed
    })
}

/// Parses what the jobs are like.
pub(super) fn shape() -> impl Parser<Shape> {
    let tasks_per_job = number(
        "tasks-per-job",
        "Tasks per job; default 1-20",
        Span { min: 1, max: 20 },
    );
    let task_ms = number(
        "task-ms",
        "Length of a task in ms; default 50-1000",
        Span { min: 50, max: 1000 },
    );
    let long_share = number(
        "long-share",
        "Share of tasks that take 3 to 5 s; default 0",
        0.0,
    );
    let declared_error = number(
        "declared-error",
        "Factor by which declared run times are wrong; default 1",
        1.0,
    );
    let not_repeatable_share = number(
        "not-repeatable-share",
        "Share of jobs that are not repeatable; default 0",
        0.0,
    );
    let timeout_ms = number(
        "timeout-ms",
        "How long callers wait, in ms; default 30000",
        30_000_u64,
    );
    let ideal_network_us = number(
        "ideal-network-us",
        "Network time in the ideal, in microseconds; default 0",
        0_u64,
    );
    construct!(Shape {
        tasks_per_job,
        task_ms,
        long_share,
        declared_error,
        not_repeatable_share,
        timeout_ms,
        ideal_network_us
    })
}
