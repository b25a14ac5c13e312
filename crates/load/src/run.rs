//! Runs a load and collects its results.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use hornbeam_core::api::caller::SubmitAnswer;
use hornbeam_core::{Error, Result};
use hornbeam_http::{ClientOptions, HttpClient};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::classify::{JobOutcome, classify};
use crate::messages;
use crate::options::LoadOptions;
use crate::report::LoadReport;
use crate::schedule::{Schedule, ScheduledJob};

/// Maximum connections to one entry host, high enough that arrivals never wait
/// for a connection (open loop).
const MAX_CONNECTIONS: usize = 4096;

/// Additional time after a job's own timeout until it counts as unanswered.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Scale of recorded ratios, in thousandths.
const RATIO_SCALE: f64 = 1000.0;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum recorded response time in µs (one hour) and ratio in thousandths;
/// larger values are clamped.
const MAX_RECORDED: u64 = 3_600_000_000;

/// `JobRecord` is the result of one job.
struct JobRecord {
    outcome: JobOutcome,
    tasks: u64,
    /// Time from the scheduled submission to the answer.
    response: Duration,
    /// Time from the scheduled to the actual submission.
    lag: Duration,
    ideal: Duration,
}

/// Runs a load and reports its results.
///
/// # Errors
/// `Io` if no entry host can be reached at the start, `Limit` if an option is
/// out of range.
pub async fn run(options: LoadOptions) -> Result<LoadReport> {
    check_ranges(&options)?;
    let client = HttpClient::new(ClientOptions {
        max_connections_per_address: MAX_CONNECTIONS,
        ..ClientOptions::default()
    })?;
    let before = messages::read_counts(&client, &options.entry_hosts).await;
    if before.is_empty() {
        return Err(Error::io("no entry host returned its metrics"));
    }
    let mut report_builder = ReportBuilder::new()?;
    let started_at = Instant::now();
    let prefix = format!("load-{}-{}", options.seed, unix_ms());
    let mut jobs = JoinSet::new();
    for job in Schedule::new(options.clone(), prefix) {
        sleep_until(started_at + job.at).await;
        jobs.spawn(submit(client.clone(), job, started_at, options.clone()));
        while let Some(record) = jobs.try_join_next() {
            report_builder.add(record.map_err(Error::io)?);
        }
    }
    while let Some(record) = jobs.join_next().await {
        report_builder.add(record.map_err(Error::io)?);
    }
    let elapsed = started_at.elapsed();
    let after = messages::read_counts(&client, &options.entry_hosts).await;
    Ok(report_builder.finish(elapsed, messages::increase(&before, &after)))
}

fn check_ranges(options: &LoadOptions) -> Result<()> {
    let (fewest, most) = options.tasks_per_job;
    let (shortest, longest) = options.task_ms;
    let is_share = |share: f64| (0.0..=1.0).contains(&share);
    let are_valid = 1 <= fewest
        && fewest <= most
        && 1 <= shortest
        && shortest <= longest
        && options.task_rate > 0.0
        && options.burst_factor > 0.0
        && !options.burst_period.is_zero()
        && options.declared_error >= 1.0
        && is_share(options.long_share)
        && is_share(options.not_repeatable_share);
    if are_valid {
        Ok(())
    } else {
        Err(Error::limit(
            "tasks_per_job and task_ms must be ranges that start at 1 or more, task_rate, \
             burst_factor and burst_period must be above 0, declared_error at least 1, shares \
             between 0 and 1",
        ))
    }
}

async fn submit(
    client: HttpClient,
    job: ScheduledJob,
    started_at: Instant,
    options: LoadOptions,
) -> JobRecord {
    let scheduled = started_at + job.at;
    let lag = scheduled.elapsed();
    let mut request = job.request;
    if !request.repeatable {
        request.valid_until_unix_ms = Some(unix_ms() + request.timeout_ms);
    }
    let request_timeout = options.timeout + ANSWER_MARGIN;
    let result = client
        .post::<_, SubmitAnswer>(job.entry_host, "/v1/jobs", &request, request_timeout)
        .await;
    JobRecord {
        outcome: classify(&request, &result),
        tasks: request.tasks.len() as u64,
        response: scheduled.elapsed(),
        lag,
        ideal: job.longest + options.ideal_network,
    }
}

fn unix_ms() -> u64 {
    // A clock before 1970 yields 0, which only makes request ids less unique.
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.unwrap_or_default().as_millis();
    u64::try_from(ms).unwrap_or(u64::MAX)
}

/// `ReportBuilder` accumulates the records of a run.
struct ReportBuilder {
    report: LoadReport,
    complete_tasks: u64,
    ratios: Histogram<u64>,
    responses_us: Histogram<u64>,
    refusals_us: Histogram<u64>,
}

impl ReportBuilder {
    fn new() -> Result<Self> {
        let histogram =
            || Histogram::new_with_max(MAX_RECORDED, SIGNIFICANT_DIGITS).map_err(Error::io);
        Ok(Self {
            report: LoadReport::default(),
            complete_tasks: 0,
            ratios: histogram()?,
            responses_us: histogram()?,
            refusals_us: histogram()?,
        })
    }

    fn add(&mut self, record: JobRecord) {
        self.report.jobs += 1;
        self.report.tasks += record.tasks;
        let lag_ms = record.lag.as_secs_f64() * 1e3;
        self.report.schedule_lag_ms_max = self.report.schedule_lag_ms_max.max(lag_ms);
        let response_us = u64::try_from(record.response.as_micros()).unwrap_or(u64::MAX);
        match record.outcome {
            JobOutcome::Complete => {
                self.report.complete += 1;
                self.complete_tasks += record.tasks;
                let ratio = record.response.as_secs_f64() / record.ideal.as_secs_f64();
                self.ratios
                    .saturating_record((ratio * RATIO_SCALE).round() as u64);
                self.responses_us.saturating_record(response_us);
            }
            JobOutcome::Failed => self.report.failed += 1,
            JobOutcome::Refused => {
                self.report.refused += 1;
                self.refusals_us.saturating_record(response_us);
            }
            JobOutcome::Unanswered => self.report.unanswered += 1,
            JobOutcome::Wrong => self.report.wrong += 1,
        }
    }

    fn finish(self, elapsed: Duration, counts: messages::MessageCounts) -> LoadReport {
        let ratio = |quantile| self.ratios.value_at_quantile(quantile) as f64 / RATIO_SCALE;
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        let complete_tasks = self.complete_tasks as f64;
        let task_messages = messages::sum_task_messages(&counts) as f64;
        LoadReport {
            goodput_tasks_per_s: complete_tasks / elapsed.as_secs_f64().max(f64::EPSILON),
            ratio_p50: ratio(0.5),
            ratio_p99: ratio(0.99),
            ratio_max: self.ratios.max() as f64 / RATIO_SCALE,
            response_ms_p50: ms(&self.responses_us, 0.5),
            response_ms_p99: ms(&self.responses_us, 0.99),
            refusal_ms_p99: ms(&self.refusals_us, 0.99),
            elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            messages_per_task: if complete_tasks > 0.0 {
                task_messages / complete_tasks
            } else {
                0.0
            },
            messages: counts,
            ..self.report
        }
    }
}
