//! `hornbeam load`: runs open-loop loads and compares their reports.

mod flags;

use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bpaf::{Parser, construct};
use eyre::{Result, WrapErr, eyre};
use hornbeam_load::{LoadOptions, LoadReport};
use serde::Serialize;

use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::input::{argument_with_default, file_argument};
use crate::output;
use crate::progress::Progress;

use flags::{Arrivals, Target, Workload, arrivals, target, workload};

/// `Load` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) enum Load {
    /// Runs loads.
    Run(Box<LoadRun>),
    /// Compares two reports.
    Compare(Compare),
}

/// `LoadRun` holds the arguments of `load run`.
#[derive(Clone, Debug)]
pub(crate) struct LoadRun {
    globals: GlobalOptions,
    target: Target,
    arrivals: Arrivals,
    workload: Workload,
    runs: u32,
}

/// `Compare` holds the arguments of `load compare`.
#[derive(Clone, Debug)]
pub(crate) struct Compare {
    globals: GlobalOptions,
    baseline: PathBuf,
    candidate: PathBuf,
}

/// `RatioLine` is one printed figure of a comparison.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct RatioLine {
    figure: &'static str,
    candidate_over_baseline: f64,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Load> {
    let run = run_parser();
    let compare = compare_parser();
    construct!([run, compare])
        .to_options()
        .descr("Runs open-loop loads and compares their reports; prints JSON lines")
        .footer(
            "Example:\n\n      hornbeam load run --entry 10.0.1.1:7000 --institution dala \
             --teams orders,pricing --service subscribe --task-rate 200 > candidate.jsonl\n      \
             hornbeam load compare --baseline baseline.jsonl --candidate candidate.jsonl",
        )
        .command("load")
        .help("Run or compare loads")
}

fn run_parser() -> impl Parser<Load> {
    let globals = globals();
    let target = target();
    let arrivals = arrivals();
    let workload = workload();
    let runs = argument_with_default(
        "runs",
        "Number of runs, each with the next seed; default 1",
        1_u32,
    );
    construct!(LoadRun {
        globals,
        target,
        arrivals,
        workload,
        runs
    })
    .map(|run| Load::Run(Box::new(run)))
    .to_options()
    .descr("Submits jobs at scheduled times and prints one report per run")
    .footer(
        "The exit code is 1 if an answer was incomplete or belonged to another request.\n\n\
         Example:\n\n      hornbeam load run --entry 10.0.1.1:7000 --institution dala \
         --teams orders --service subscribe --jobs 500 --task-rate 320 --task-ms 50-1000",
    )
    .command("run")
    .help("Run a load")
}

fn compare_parser() -> impl Parser<Load> {
    let globals = globals();
    let baseline = file_argument(
        "baseline",
        "JSON lines of the baseline; the last line counts",
    );
    let candidate = file_argument(
        "candidate",
        "JSON lines of the candidate; the last line counts",
    );
    construct!(Compare {
        globals,
        baseline,
        candidate
    })
    .map(Load::Compare)
    .to_options()
    .descr("Prints the ratio of each figure of two reports")
    .footer(
        "Example:\n\n      hornbeam load compare --baseline baseline.jsonl --candidate candidate.jsonl",
    )
    .command("compare")
    .help("Compare the reports of two runs")
}

impl Load {
    /// Gets the options that every command takes.
    pub(crate) fn globals(&self) -> &GlobalOptions {
        match self {
            Self::Run(run) => &run.globals,
            Self::Compare(compare) => &compare.globals,
        }
    }

    /// Runs or compares loads.
    ///
    /// # Errors
    /// If no entry host can be reached or a report cannot be read.
    pub(crate) async fn run(self) -> Result<Exit> {
        match self {
            Self::Run(run) => run.run().await,
            Self::Compare(compare) => compare.run(),
        }
    }
}

impl LoadRun {
    async fn run(self) -> Result<Exit> {
        // The load tool creates its own client; this only validates --entry.
        self.globals.entry_api(Duration::ZERO)?;
        let mut exit = Exit::Ok;
        for run in 0..self.runs {
            let seed = self.arrivals.seed.wrapping_add(run.into());
            let progress = Progress::start(format!("run {} of {}", run + 1, self.runs));
            let report = hornbeam_load::run(self.options(seed)).await;
            progress.finish().await;
            let report = report?;
            if report.wrong > 0 {
                exit = Exit::Failure;
            }
            output::print_json(&report)?;
        }
        Ok(exit)
    }

    fn options(&self, seed: u64) -> LoadOptions {
        let Workload {
            tasks_per_job,
            task_ms,
            ..
        } = self.workload;
        LoadOptions {
            entry_hosts: self.globals.entry.0.clone(),
            institution: self.target.institution.clone(),
            teams: self.target.teams.0.clone(),
            service: self.target.service.clone(),
            jobs: self.arrivals.jobs,
            task_rate: self.arrivals.task_rate,
            tasks_per_job: (tasks_per_job.min, tasks_per_job.max),
            task_ms: (task_ms.min.into(), task_ms.max.into()),
            long_share: self.workload.long_share,
            burst_factor: self.arrivals.burst_factor,
            burst_period: Duration::from_millis(self.arrivals.burst_period_ms),
            declared_error: self.workload.declared_error,
            not_repeatable_share: self.workload.not_repeatable_share,
            timeout: Duration::from_millis(self.workload.timeout_ms),
            ideal_network: Duration::from_micros(self.workload.ideal_network_us),
            seed,
        }
    }
}

impl Compare {
    fn run(self) -> Result<Exit> {
        let baseline = read_report(&self.baseline)?;
        let candidate = read_report(&self.candidate)?;
        for (figure, ratio) in hornbeam_load::compare(&baseline, &candidate) {
            output::print_json(&RatioLine {
                figure,
                candidate_over_baseline: ratio,
            })?;
        }
        Ok(Exit::Ok)
    }
}

/// Reads the last report of a file of JSON lines.
fn read_report(path: &Path) -> Result<LoadReport> {
    let name = path.display();
    let file = std::fs::File::open(path).wrap_err_with(|| format!("cannot read {name}"))?;
    let mut last = None;
    for line in std::io::BufReader::new(file).lines() {
        let line = line?;
        if !line.trim().is_empty() {
            last = Some(line);
        }
    }
    let line = last.ok_or_else(|| eyre!("{name} has no report"))?;
    serde_json::from_str(&line).wrap_err_with(|| format!("{name} has no report in its last line"))
}
