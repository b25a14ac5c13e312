//! Separate processes: a job with a task that crashes the workers that start it
//! is submitted to one entry host after the other.

mod harness;

use std::time::{Duration, Instant};

use harness::fleet::{Fleet, FleetClient, FleetSize, network};
use hornbeam_platform::standin;

/// Time after which a crashed worker is started again.
const RESTART_TIME: Duration = Duration::from_millis(3400);

/// Number of starts of a task that the users allow at most: three that crash
/// their worker, and two more.
const MAX_STARTS: usize = 5;

/// Timeout for the start of the system.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Id of the job.
const JOB: u64 = 0xdead;

/// Number of times that the job is submitted.
const SUBMISSIONS: usize = 8;

/// Number of submissions at the end that find the task given up: each host has
/// been turned to by then.
const ANSWERED_AT_ONCE: usize = 4;

/// Time within which they are answered, a third of the queue's timeout.
const PROMPT_ANSWER: Duration = Duration::from_millis(500);

/// Crashed workers by the time at which they start again.
type Restarts = Vec<(Instant, usize)>;

/// Crashes workers as their tasks demand, and starts them again, until the given
/// time.
async fn run_workers(fleet: &mut Fleet, restarts: &mut Restarts, until: Instant) {
    while Instant::now() < until {
        for (index, worker) in fleet.workers.iter_mut().enumerate() {
            if worker.has_crashed() {
                worker.crash();
                restarts.push((Instant::now() + RESTART_TIME, index));
            }
        }
        let due: Vec<_> = restarts
            .extract_if(.., |(at, _)| *at <= Instant::now())
            .collect();
        for (_, index) in due {
            fleet.workers[index].start(&fleet.log).await;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a count of crashes that starts again with each entry host to
/// which the caller turns after it got no answer.
#[tokio::test(flavor = "multi_thread")]
async fn job_submitted_to_other_hosts_keeps_the_crashes_of_its_tasks() {
    let size = FleetSize {
        controls: 1,
        entries: 4,
        workers: 12,
    };
    let mut fleet = Fleet::start(size, network(0)).await;
    let client = FleetClient::new();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let control = fleet.control_addresses()[0];
    while !client.publish(control, 1, &[]).await {
        assert!(Instant::now() < deadline, "{}", fleet.log_tail(0, 20));
    }
    let mut restarts = Restarts::new();
    run_workers(
        &mut fleet,
        &mut restarts,
        Instant::now() + Duration::from_secs(3),
    )
    .await;
    let entries = fleet.caller_addresses();
    let mut answers = Vec::new();
    for submission in 0..SUBMISSIONS {
        let to = entries[submission % entries.len()];
        let client = client.clone();
        // The queue's timeout ends the call without a result after 1.5 s.
        let call = tokio::spawn(async move {
            let submitted_at = Instant::now();
            let body = standin::crashing_job();
            let answer = client.submit_body(to, JOB, &body).await;
            (answer, submitted_at.elapsed())
        });
        let until = Instant::now() + Duration::from_millis(1700);
        run_workers(&mut fleet, &mut restarts, until).await;
        answers.push(call.await.expect("no panic"));
    }
    let name = standin::task_name(JOB, 0);
    let runs = fleet.log.runs();
    let starts = runs.iter().filter(|run| run.task == name).count();
    assert!(starts <= MAX_STARTS, "{starts} starts: {answers:?}");
    // The hosts see silent workers behind relays, which may have been cut off, so
    // the job need not be shown as failed, but it must never be said to be done or
    // not to have run.
    let has_no_result = |answer: &Option<(u16, String)>| {
        let answer = answer.as_ref();
        answer.is_some_and(|(status, state)| *status == 504 || state == "failed")
    };
    let is_true = |(answer, _): &(Option<(u16, String)>, Duration)| has_no_result(answer);
    assert!(answers.iter().all(is_true), "{answers:?}");
    let given_up = &answers[SUBMISSIONS - ANSWERED_AT_ONCE..];
    let is_prompt = |(_, took): &(Option<(u16, String)>, Duration)| *took < PROMPT_ANSWER;
    assert!(given_up.iter().all(is_prompt), "{answers:?}");
}
