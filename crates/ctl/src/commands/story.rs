//! `hornbeam story`: tells what happened to one job, from the logs of several
//! processes.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use eyre::{Result, WrapErr};
use serde::Serialize;
use serde_json::Value;

use crate::exit::Exit;
use crate::globals::{Globals, globals};
use crate::output;

/// Lines after which the progress is shown.
const PROGRESS_LINES: u64 = 1_000_000;

/// `Story` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Story {
    /// Settings of every command.
    pub(crate) globals: Globals,
    job: String,
    files: Vec<PathBuf>,
}

/// `StoryLine` is one line about the job or a worker of its runs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct StoryLine {
    timestamp: String,
    host: String,
    event: String,
    text: String,
}

/// `StoryAnswer` is the result of the command.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct StoryAnswer {
    job: String,
    /// Correction of the hosts' clocks, in ms. The time stamps are used as
    /// they are.
    assumed_clock_difference_ms: i64,
    lines: Vec<StoryLine>,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Story> {
    let globals = globals();
    let job = long("job")
        .help("Id of the job, 16 hexadecimal digits")
        .argument::<String>("ID");
    let files = positional::<PathBuf>("FILE")
        .help("Log files of entry hosts, in JSON")
        .some("at least one log file is needed");
    construct!(Story {
        globals,
        job,
        files
    })
    .to_options()
    .descr("Shows the lines about a job and the workers of its runs, in order of time")
    .footer(
        "Example:\n\n      hornbeam story --job a563881f285fdf13 logs/edge-1.log logs/edge-2.log",
    )
    .command("story")
    .help("Tell from log files what happened to a job")
}

impl Story {
    /// Prints the lines.
    ///
    /// # Errors
    /// If a file cannot be read.
    pub(crate) fn run(self) -> Result<Exit> {
        let about_job = self.read(|line| line.is_about(&self.job))?;
        let workers: BTreeSet<String> = about_job.iter().flat_map(Line::workers).collect();
        let span = span(&about_job);
        let of_workers = self.read(|line| {
            let in_span = span
                .as_ref()
                .is_some_and(|(first, last)| *first <= line.timestamp && line.timestamp <= *last);
            in_span && workers.iter().any(|id| line.names_worker(id))
        })?;
        let all = about_job.into_iter().chain(of_workers);
        let lines: BTreeSet<StoryLine> = all.map(Line::told).collect();
        let answer = StoryAnswer {
            job: self.job.clone(),
            assumed_clock_difference_ms: 0,
            lines: lines.into_iter().collect(),
        };
        let exit = if answer.lines.is_empty() {
            Exit::Findings
        } else {
            Exit::Ok
        };
        output::result(self.globals.output, &answer, text)?;
        Ok(exit)
    }

    fn read(&self, is_selected: impl Fn(&Line) -> bool) -> Result<Vec<Line>> {
        let mut selected = Vec::new();
        let mut count = 0_u64;
        for path in &self.files {
            let named = || format!("cannot read {}", path.display());
            let file = File::open(path).wrap_err_with(named)?;
            for text in BufReader::new(file).lines() {
                count += 1;
                if count.is_multiple_of(PROGRESS_LINES) {
                    eprintln!("hornbeam: {count} lines read");
                }
                let line = Line::parse(&text.wrap_err_with(named)?);
                selected.extend(line.filter(&is_selected));
            }
        }
        Ok(selected)
    }
}

/// `Line` is a line of a log.
#[derive(Clone, Debug)]
struct Line {
    timestamp: String,
    host: String,
    event: String,
    job: Option<String>,
    worker: Option<String>,
    text: String,
}

impl Line {
    /// Parses a line; what precedes the JSON object, such as the stamp of a
    /// log collector, is passed over.
    fn parse(text: &str) -> Option<Self> {
        let json: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let field = |name: &str| json["kv"][name].as_str().map(ToOwned::to_owned);
        Some(Self {
            timestamp: json["timestamp"].as_str()?.to_owned(),
            host: field("host").unwrap_or_default(),
            event: field("event").unwrap_or_default(),
            job: field("job"),
            worker: field("worker"),
            text: json["text"].as_str()?.to_owned(),
        })
    }

    fn is_about(&self, job: &str) -> bool {
        self.job.as_deref() == Some(job) || self.text.contains(job)
    }

    fn names_worker(&self, id: &str) -> bool {
        self.worker.as_deref() == Some(id) || self.text.contains(id)
    }

    /// Gets the workers that the line names.
    fn workers(&self) -> Vec<String> {
        let mut words = self.text.split_whitespace();
        let mut workers: Vec<String> = self.worker.iter().cloned().collect();
        while words.any(|word| word == "worker") {
            if let Some(id) = words.next() {
                workers.push(id.trim_end_matches([':', ',', ';']).to_owned());
            }
        }
        workers
    }

    fn told(self) -> StoryLine {
        StoryLine {
            timestamp: self.timestamp,
            host: self.host,
            event: self.event,
            text: self.text,
        }
    }
}

fn span(lines: &[Line]) -> Option<(String, String)> {
    let stamps = || lines.iter().map(|line| line.timestamp.clone());
    Some((stamps().min()?, stamps().max()?))
}

fn text(answer: &StoryAnswer) -> String {
    if answer.lines.is_empty() {
        return format!("No line is about job {}.", answer.job);
    }
    let line = |line: &StoryLine| {
        format!(
            "{}  {}  {}  {}",
            line.timestamp, line.host, line.event, line.text
        )
    };
    let mut lines: Vec<String> = answer.lines.iter().map(line).collect();
    lines.push(format!(
        "lines: {}; clock difference assumed: {} ms",
        answer.lines.len(),
        answer.assumed_clock_difference_ms
    ));
    lines.join("\n")
}
