//! `hornbeam story`: shows the log lines about one job, collected from the logs
//! of several processes.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use eyre::{Result, WrapErr};
use serde::Serialize;
use serde_json::Value;

use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::output;

/// Number of lines between two progress messages.
const PROGRESS_LINES: u64 = 1_000_000;

/// `Story` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Story {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    job: String,
    files: Vec<PathBuf>,
}

/// `StoryLine` is one log line about the job or a worker of its runs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct StoryLine {
    timestamp: String,
    host: String,
    event: String,
    text: String,
}

/// `StoryAnswer` is the printed result of the command.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct StoryAnswer {
    job: String,
    /// Assumed clock skew between the hosts, in ms; 0, since timestamps are
    /// compared uncorrected.
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
    .descr("Shows the log lines about a job and the workers of its runs, in chronological order")
    .footer(
        "Example:\n\n      hornbeam story --job a563881f285fdf13 logs/edge-1.log logs/edge-2.log",
    )
    .command("story")
    .help("Show what happened to a job, from log files")
}

impl Story {
    /// Prints the lines.
    ///
    /// # Errors
    /// If a file cannot be read.
    pub(crate) fn run(self) -> Result<Exit> {
        let job_lines = self.read(|line| line.mentions_job(&self.job))?;
        let workers: BTreeSet<String> = job_lines.iter().flat_map(LogLine::workers).collect();
        let time_range = time_range(&job_lines);
        let worker_lines = self.read(|line| {
            let in_time_range = time_range
                .as_ref()
                .is_some_and(|(first, last)| *first <= line.timestamp && line.timestamp <= *last);
            in_time_range && workers.iter().any(|id| line.mentions_worker(id))
        })?;
        let all = job_lines.into_iter().chain(worker_lines);
        let lines: BTreeSet<StoryLine> = all.map(LogLine::into_story_line).collect();
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
        output::print_result(self.globals.output, &answer, text)?;
        Ok(exit)
    }

    fn read(&self, is_selected: impl Fn(&LogLine) -> bool) -> Result<Vec<LogLine>> {
        let mut selected = Vec::new();
        let mut count = 0_u64;
        for path in &self.files {
            let context = || format!("cannot read {}", path.display());
            let file = File::open(path).wrap_err_with(context)?;
            for text in BufReader::new(file).lines() {
                count += 1;
                if count.is_multiple_of(PROGRESS_LINES) {
                    eprintln!("hornbeam: {count} lines read");
                }
                let line = LogLine::parse(&text.wrap_err_with(context)?);
                selected.extend(line.filter(&is_selected));
            }
        }
        Ok(selected)
    }
}

/// `LogLine` is a parsed line of a JSON log.
#[derive(Clone, Debug)]
struct LogLine {
    timestamp: String,
    host: String,
    event: String,
    job: Option<String>,
    worker: Option<String>,
    text: String,
}

impl LogLine {
    /// Parses a line. A prefix before the JSON object, such as the timestamp of
    /// a log collector, is skipped.
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

    fn mentions_job(&self, job: &str) -> bool {
        self.job.as_deref() == Some(job) || self.text.contains(job)
    }

    fn mentions_worker(&self, id: &str) -> bool {
        self.worker.as_deref() == Some(id) || self.text.contains(id)
    }

    /// Gets the ids of the workers that the line mentions.
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

    fn into_story_line(self) -> StoryLine {
        StoryLine {
            timestamp: self.timestamp,
            host: self.host,
            event: self.event,
            text: self.text,
        }
    }
}

fn time_range(lines: &[LogLine]) -> Option<(String, String)> {
    let timestamps = || lines.iter().map(|line| line.timestamp.clone());
    Some((timestamps().min()?, timestamps().max()?))
}

fn text(answer: &StoryAnswer) -> String {
    if answer.lines.is_empty() {
        return format!("No log line mentions job {}.", answer.job);
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
