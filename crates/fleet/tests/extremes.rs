//! Inputs with extreme values: none of them may take the host down.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Harness, SERVICE, queues, report};
use hornbeam_fleet::{
    BatchTime, ChunkTask, EndedRun, FleetInput, LossEvidence, LossReport, PeerInfo, PeerMessage,
    PeerStatus, PollOutcome, PollResponse, Resources, RunEnd, RunId, RunLoss, RunProgress,
    ServiceResources, StartOutcome, Submission, TaskChunk,
};
use proptest::collection::vec;
use proptest::prelude::*;

/// Most inputs in one case.
const MAX_INPUTS: usize = 40;

fn extreme_u64() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        0..5_000_u64,
        Just(u64::MAX),
        Just(u64::MAX - 1)
    ]
}

fn extreme_u32() -> impl Strategy<Value = u32> {
    prop_oneof![
        Just(0),
        Just(1),
        0..20_000_u32,
        Just(u32::MAX),
        Just(u32::MAX - 1)
    ]
}

fn resources() -> impl Strategy<Value = Resources> {
    (extreme_u32(), extreme_u32(), extreme_u32()).prop_map(
        |(cpu_milli, memory_mb, accelerators)| Resources {
            cpu_milli,
            memory_mb,
            accelerators,
        },
    )
}

fn run_id() -> impl Strategy<Value = RunId> {
    (0..4_u64, extreme_u32(), extreme_u32()).prop_map(|(job, task, attempt)| RunId {
        job,
        task,
        attempt,
    })
}

fn submission() -> impl Strategy<Value = Submission> {
    (
        0..4_u64,
        1..9_u32,
        resources(),
        extreme_u64(),
        extreme_u64(),
    )
        .prop_map(|(job, tasks, need, estimate_ms, timeout_ms)| Submission {
            job,
            queue: "orders".into(),
            spec: Arc::from("work"),
            tasks,
            need,
            estimate: Duration::from_millis(estimate_ms),
            timeout: Duration::from_millis(timeout_ms),
        })
}

fn status() -> impl Strategy<Value = PeerStatus> {
    let resources = (vec(resources(), 0..3), resources());
    (
        resources,
        extreme_u32(),
        extreme_u32(),
        extreme_u32(),
        any::<bool>(),
        extreme_u64(),
    )
        .prop_map(
            |((free, largest), waiting, owned, serving, draining, config_version)| PeerStatus {
                resources: vec![ServiceResources {
                    service: SERVICE.into(),
                    free,
                    largest,
                }],
                waiting,
                owned,
                serving,
                draining,
                config_version,
            },
        )
}

fn chunk() -> impl Strategy<Value = TaskChunk> {
    let times = (extreme_u64(), extreme_u64(), extreme_u64());
    let tasks = vec((extreme_u32(), extreme_u32()), 0..3);
    (0..4_u64, resources(), times, tasks).prop_map(
        |(job, need, (expected_ms, lead_ms, start_within_ms), tasks)| TaskChunk {
            job,
            service: SERVICE.into(),
            spec: "work".into(),
            need,
            expected_ms,
            lead_ms,
            start_within_ms,
            tasks: tasks
                .into_iter()
                .map(|(task, attempt)| ChunkTask { task, attempt })
                .collect(),
        },
    )
}

fn message() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        status().prop_map(PeerMessage::Status),
        chunk().prop_map(PeerMessage::Run),
        vec(run_id(), 0..3).prop_map(PeerMessage::Refused),
        (run_id(), extreme_u64()).prop_map(|(run, ms)| PeerMessage::Ended(run, RunEnd::Done, ms)),
        vec(run_id(), 0..3).prop_map(PeerMessage::Stop),
    ]
}

fn poll_response() -> impl Strategy<Value = PollResponse> {
    let running = vec((run_id(), extreme_u32()), 0..3);
    let ended = vec((extreme_u64(), run_id()), 0..3);
    (extreme_u64(), running, ended).prop_map(|(clock_ms, running, ended)| PollResponse {
        clock_ms,
        born_unix_ms: None,
        running: running
            .into_iter()
            .map(|(run, done_percent)| RunProgress { run, done_percent })
            .collect(),
        ended: ended
            .into_iter()
            .map(|(sequence, run)| EndedRun {
                sequence,
                run: Some(run),
                end: RunEnd::Failed,
            })
            .collect(),
    })
}

/// `Step` is an input whose content comes from outside the process.
#[derive(Clone, Debug)]
enum Step {
    Submit(Submission),
    Report(Resources, u64),
    Batch(BatchTime, Option<BatchTime>, u64, Vec<PeerMessage>),
    Poll(PollResponse),
    Refuse,
    Losses(Vec<RunLoss>),
    Start(u64),
    Queues(f64, u64),
    Wait(u64),
}

fn loss() -> impl Strategy<Value = RunLoss> {
    let evidence = prop_oneof![
        Just(LossEvidence::Silent),
        Just(LossEvidence::ConnectionRefused),
        Just(LossEvidence::Restarted),
        Just(LossEvidence::Answered),
    ];
    (run_id(), extreme_u64(), evidence, any::<bool>()).prop_map(
        |(run, born_unix_ms, evidence, has_started)| RunLoss {
            run,
            worker_id: "w1".into(),
            born_unix_ms,
            evidence,
            has_started,
        },
    )
}

fn batch_time() -> impl Strategy<Value = BatchTime> {
    (0..3_u64, extreme_u64()).prop_map(|(incarnation, sent_ms)| BatchTime {
        incarnation,
        sent_ms,
    })
}

fn step() -> impl Strategy<Value = Step> {
    let batch = (
        batch_time(),
        proptest::option::of(batch_time()),
        extreme_u64(),
        vec(message(), 0..3),
    );
    let stretch = prop_oneof![
        Just(-1.0),
        Just(0.0),
        Just(1e300),
        Just(f64::MAX),
        0.0..10.0
    ];
    prop_oneof![
        submission().prop_map(Step::Submit),
        (resources(), extreme_u64()).prop_map(|(capacity, born)| Step::Report(capacity, born)),
        batch.prop_map(|(time, echo, sequence, messages)| {
            Step::Batch(time, echo, sequence, messages)
        }),
        poll_response().prop_map(Step::Poll),
        Just(Step::Refuse),
        vec(loss(), 0..9).prop_map(Step::Losses),
        extreme_u64().prop_map(Step::Start),
        (stretch, extreme_u64()).prop_map(|(stretch, extra)| Step::Queues(stretch, extra)),
        (0..1_500_u64).prop_map(Step::Wait),
    ]
}

fn apply(harness: &mut Harness, version: &mut u64, step: Step) {
    match step {
        Step::Submit(submission) => harness.step(FleetInput::Submitted(1, submission)),
        Step::Report(capacity, born_unix_ms) => {
            let mut report = report("w1", 1);
            report.capacity = capacity;
            report.born_unix_ms = born_unix_ms;
            harness.step(FleetInput::Reported(1, report));
        }
        Step::Batch(time, echo, sequence, messages) => {
            let mut batch = harness.batch(2, sequence, messages);
            batch.time = time;
            batch.echo = echo;
            harness.step(FleetInput::Batch(batch, None));
            harness.step(FleetInput::BatchEnded("entry-2".into(), true));
        }
        Step::Poll(response) => {
            for request in harness.polls() {
                let outcome = PollOutcome::Answered(response.clone());
                let worker_key = request.target.worker_key;
                harness.step(FleetInput::PollEnded(worker_key, outcome));
            }
        }
        Step::Refuse => {
            for request in harness.polls() {
                let worker_key = request.target.worker_key;
                let refused = PollOutcome::ConnectionRefused;
                harness.step(FleetInput::PollEnded(worker_key, refused));
            }
        }
        Step::Losses(losses) => {
            let origin = PeerInfo {
                host_id: "entry-2".into(),
                address: common::address(2),
                failure_domain: "a".into(),
            };
            let origin = Some(origin);
            harness.step(FleetInput::LossesReported(LossReport { losses, origin }));
        }
        Step::Start(clock_ms) => {
            for request in harness.starts() {
                harness.answer_start(&request, StartOutcome::Accepted(clock_ms));
            }
        }
        Step::Queues(stretch, extra_ms) => {
            *version += 1;
            let mut queues = queues(*version);
            queues.queues[0].stretch = stretch;
            queues.queues[0].objective_extra = Duration::from_millis(extra_ms);
            harness.step(FleetInput::Queues(Arc::new(queues)));
        }
        Step::Wait(ms) => harness.advance_at_once(ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against one message with extreme numbers, from a caller, a worker,
    /// a peer or an operator, that ends the process and with it all jobs of the
    /// host.
    #[test]
    fn no_numbers_take_the_host_down(steps in vec(step(), 1..MAX_INPUTS)) {
        let mut harness = Harness::new(common::OWN_HOST);
        let mut version = 1;
        for step in steps {
            apply(&mut harness, &mut version, step);
        }
        harness.advance_at_once(100);
    }
}
