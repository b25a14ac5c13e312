//! Tests of the load generator against a fake entry host.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use googletest::prelude::*;
use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer, SubmitRequest, TaskResult};
use hornbeam_http::{
    BodyLimits, HttpServer, HttpServerOptions, json_response, read_json, text_response,
};
use hornbeam_load::{LoadOptions, LoadReport, compare, run};
use tokio::time::{Instant, sleep};
use volo_http::request::Request;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

/// Jobs with their arrival times.
type Arrivals = Arc<Mutex<Vec<(Instant, SubmitRequest)>>>;

/// Starts a fake entry host that answers the n-th job with `respond` after
/// `delay` and counts two messages per task.
async fn fake_entry_host(
    delay: Duration,
    respond: fn(usize, &SubmitRequest) -> (u16, SubmitAnswer),
) -> (HttpServer, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let messages = Arc::new(AtomicU64::new(1000));
    let counted = messages.clone();
    let submit = move |request: Request| async move {
        let limits = BodyLimits::default();
        let job: SubmitRequest = read_json(request, &limits).await.unwrap();
        counted.fetch_add(job.tasks.len() as u64, Ordering::SeqCst);
        let number = {
            let mut recorded = recorded.lock().unwrap();
            recorded.push((Instant::now(), job.clone()));
            recorded.len() - 1
        };
        sleep(delay).await;
        let (status, answer) = respond(number, &job);
        json_response(status, &answer)
    };
    let metrics = move || async move {
        let count = messages.load(Ordering::SeqCst);
        let line = |kind| format!("hornbeam_messages_total{{kind=\"{kind}\"}} {count}\n");
        let lines = ["task_request", "task_answer", "status_request"].map(line);
        text_response(200, format!("# TYPE x counter\n{}", lines.concat()))
    };
    let router = Router::new()
        .route("/v1/jobs", post(submit))
        .route("/metrics", get(metrics));
    let listen = "127.0.0.1:0".parse().unwrap();
    let server = HttpServer::start(listen, router, HttpServerOptions::default());
    (server.await.unwrap(), arrivals)
}

fn complete_answer(job: &SubmitRequest) -> SubmitAnswer {
    let result = |index: usize| TaskResult {
        index: u32::try_from(index).unwrap(),
        output: format!("j-{}/{index}", job.request_id),
        server_id: "s".into(),
        run_ms: 1,
    };
    SubmitAnswer {
        request_id: job.request_id.clone(),
        job_id: Some(format!("j-{}", job.request_id)),
        outcome: Outcome::Complete,
        reason: None,
        message: String::new(),
        findings: vec![],
        results: (0..job.tasks.len()).map(result).collect(),
        elapsed_ms: 1,
    }
}

fn not_complete(job: &SubmitRequest, outcome: Outcome) -> SubmitAnswer {
    SubmitAnswer {
        outcome,
        reason: Some(Reason::Overloaded),
        results: vec![],
        ..complete_answer(job)
    }
}

/// Gives each of the first eight jobs a different kind of wrong answer, and the
/// next three a failure or a refusal.
fn wrong_answer(number: usize, job: &SubmitRequest) -> (u16, SubmitAnswer) {
    let mut answer = complete_answer(job);
    let last = answer.results.len() - 1;
    match number {
        0 => answer.request_id.push('x'),
        1 => drop(answer.results.pop()),
        2 => answer.results[last].index = 0,
        3 => answer.results.swap(0, last),
        4 => answer.results[last].output.push('0'),
        5 => answer.job_id = None,
        6 => return (503, answer),
        7 => answer.outcome = Outcome::Failed,
        8 => return (502, not_complete(job, Outcome::Failed)),
        9 | 10 => return (503, not_complete(job, Outcome::Refused)),
        _ => {}
    }
    (200, answer)
}

fn options(server: &HttpServer) -> LoadOptions {
    LoadOptions {
        entry_hosts: vec![server.address()],
        institution: "dala".into(),
        teams: vec!["a".into(), "b".into()],
        service: "subscribe".into(),
        task_ms: (10, 1000),
        ..LoadOptions::default()
    }
}

/// Guards against counting answers as complete that are incomplete or belong to
/// another request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn every_kind_of_wrong_answer_is_counted() {
    let (server, _) = fake_entry_host(Duration::ZERO, wrong_answer).await;
    let report = run(LoadOptions {
        jobs: 20,
        task_rate: 2000.0,
        tasks_per_job: (2, 6),
        ..options(&server)
    });
    let report = report.await.unwrap();
    expect_that!(report.wrong, eq(8));
    expect_that!(report.failed, eq(1));
    expect_that!(report.refused, eq(2));
    expect_that!(report.complete, eq(9));
    expect_that!(report.unanswered, eq(0));
    expect_that!(report.messages["task_request"], eq(report.tasks));
    expect_that!(report.messages_per_task, gt(2.0));
}

/// Guards against a closed loop: arrivals that wait for answers, or response
/// times that are not measured from the scheduled submission.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slow_answers_do_not_slow_the_arrivals() {
    // A closed loop, which waits for an answer before the next arrival, would
    // take at least twice the bound on the span; a busy machine stays far below.
    let delay = Duration::from_secs(3);
    let max_response = delay * 3 / 2;
    let (server, arrivals) = fake_entry_host(delay, |_, job| (200, complete_answer(job))).await;
    let report = run(LoadOptions {
        jobs: 400,
        task_rate: 1000.0,
        tasks_per_job: (1, 1),
        long_share: 1.0,
        ideal_network: Duration::from_millis(7),
        ..options(&server)
    });
    let report = report.await.unwrap();
    let arrivals = arrivals.lock().unwrap();
    let span = arrivals[399].0 - arrivals[0].0;
    expect_that!(span, gt(Duration::from_millis(300)));
    expect_that!(span, lt(delay / 2));
    expect_that!(report.complete, eq(400));
    let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
    expect_that!(report.response_ms_p50, ge(millis(delay) - 1.0));
    expect_that!(report.response_ms_p99, lt(millis(max_response)));
    expect_that!(report.ratio_p50, gt(millis(delay) / 5007.0));
    expect_that!(report.ratio_max, lt(millis(max_response) / 3007.0));
    expect_that!(report.messages_per_task, eq(2.0));
}

/// Guards against runs that are not reproducible, and against task lengths,
/// declared run times and fractions that do not match the options.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_same_seed_gives_the_same_jobs() {
    let (server, arrivals) =
        fake_entry_host(Duration::ZERO, |_, job| (200, complete_answer(job))).await;
    let options = LoadOptions {
        jobs: 300,
        task_rate: 10_000.0,
        declared_error: 4.0,
        not_repeatable_share: 0.5,
        burst_factor: 5.0,
        burst_period: Duration::from_millis(100),
        seed: 42,
        ..options(&server)
    };
    run(options.clone()).await.unwrap();
    let first = take_tasks(&arrivals);
    run(options.clone()).await.unwrap();
    expect_true!(take_tasks(&arrivals) == first);
    run(LoadOptions {
        seed: 43,
        ..options
    })
    .await
    .unwrap();
    expect_true!(take_tasks(&arrivals) != first);
    let tasks: Vec<(u64, u64)> = first.into_iter().flat_map(|job| job.1).collect();
    let below_100 = tasks.iter().filter(|(length, _)| *length < 100).count();
    let share = below_100 as f64 / tasks.len() as f64;
    expect_that!(share, all![gt(0.45), lt(0.55)]);
    for (length, declared) in tasks {
        let error = declared as f64 / length as f64;
        expect_that!(length, all![ge(10), le(1000)]);
        expect_that!(error, all![ge(0.2), le(4.1)]);
    }
}

/// Takes the true and declared task lengths by job number out of the list, since
/// ids differ between runs.
fn take_tasks(arrivals: &Arrivals) -> Vec<(String, Vec<(u64, u64)>)> {
    let jobs = std::mem::take(&mut *arrivals.lock().unwrap());
    let not_repeatable = jobs.iter().filter(|(_, job)| !job.repeatable);
    assert!((100..200).contains(&not_repeatable.count()));
    let lengths = |job: SubmitRequest| {
        assert_eq!(job.repeatable, job.valid_until_unix_ms.is_none());
        let number = job.request_id.rsplit('-').next().unwrap().to_owned();
        let task = |task: &hornbeam_core::api::caller::TaskSpec| {
            let digits = task.payload.replace(|c: char| !c.is_ascii_digit(), "");
            (digits.parse().unwrap(), task.run_ms)
        };
        (number, job.tasks.iter().map(task).collect())
    };
    let mut jobs: Vec<_> = jobs.into_iter().map(|(_, job)| lengths(job)).collect();
    jobs.sort();
    jobs
}

/// Guards against a comparison that inverts the ratios or divides 0 by 0.
#[gtest]
fn ratios_are_candidate_over_baseline() {
    let baseline = LoadReport {
        ratio_p99: 4.0,
        ..LoadReport::default()
    };
    let candidate = LoadReport {
        ratio_p99: 1.0,
        ..LoadReport::default()
    };
    let ratios = compare(&baseline, &candidate);
    expect_that!(ratios, contains(eq(&("ratio_p99", 0.25))));
    expect_that!(ratios, contains(eq(&("ratio_p50", 1.0))));
}
