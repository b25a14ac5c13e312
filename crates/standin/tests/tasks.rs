//! Tests of exchanges: slots, refusals, cancellation and faults.

mod common;

use std::time::Duration;

use common::{Caller, standin};
use googletest::prelude::*;
use hornbeam_core::api::backend::{CancelStatus, TaskStatus};
use hornbeam_core::{Error, ids::TaskId};
use hornbeam_standin::FaultPlan;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::{Instant, sleep};

use TaskStatus::{Failed, Finished, NotStarted, Stopped};

/// Guards against a stand-in that runs what it must refuse: tasks over its
/// slots, of another grant or incarnation.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leased_server_refuses_what_it_may_not_run() {
    let server = standin(2, false, FaultPlan::default(), vec![]).await;
    let caller = Caller::new(&server);
    let answer = caller.send("j1", &[0, 1, 2], 60).await.unwrap();
    let statuses: Vec<TaskStatus> = answer.ends.iter().map(|end| end.status).collect();
    expect_that!(statuses, eq(&vec![Finished, Finished, NotStarted]));
    expect_that!(answer.ends[1].output, eq("j1/1"));
    expect_that!(answer.ends[1].run_ms, ge(60));
    expect_that!(answer.load, eq(0));
    let stale = Caller {
        grant: 0,
        ..caller.clone()
    };
    expect_that!(stale.statuses("j2", &[0], 1).await, eq(&vec![NotStarted]));
    let other = Caller {
        incarnation: 6,
        ..caller.clone()
    };
    expect_that!(other.statuses("j3", &[0], 1).await, eq(&vec![NotStarted]));
    expect_that!(server.starts().len(), eq(2));
}

/// Guards against a shared stand-in that refuses tasks it could hold, queues
/// without bound or starts a task after its deadline.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_shared_server_queues_within_bounds() {
    let server = standin(2, true, FaultPlan::default(), vec![]).await;
    let mut caller = Caller::new(&server);
    let all: Vec<u32> = (0..40).collect();
    let statuses = caller.statuses("j1", &all, 10).await;
    let refused = statuses
        .iter()
        .filter(|status| **status == NotStarted)
        .count();
    expect_that!(refused, eq(40 - 2 - 32));
    caller.start_within_ms = 30;
    let statuses = caller.statuses("j2", &[0, 1, 2], 100).await;
    expect_that!(statuses, eq(&vec![Finished, Finished, NotStarted]));
}

/// Guards against a false `never_started`: the base of every resend.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_task_has_its_true_fate() {
    let server = standin(4, false, FaultPlan::default(), vec![]).await;
    let caller = Caller::new(&server);
    expect_that!(
        caller.cancel("j1", &[5]).await,
        eq(&vec![CancelStatus::NeverStarted])
    );
    let sender = caller.clone();
    let running = tokio::spawn(async move { sender.statuses("j1", &[4, 5], 2000).await });
    common::eventually(|| !server.starts().is_empty()).await;
    expect_that!(
        caller.cancel("j1", &[4, 5]).await,
        eq(&vec![CancelStatus::Started, CancelStatus::NeverStarted])
    );
    expect_that!(running.await.unwrap(), eq(&vec![Stopped, NotStarted]));
    expect_that!(
        caller.cancel("j1", &[4]).await,
        eq(&vec![CancelStatus::Finished])
    );
    let other = Caller {
        incarnation: 6,
        ..caller.clone()
    };
    other.cancel("j1", &[9]).await;
    expect_that!(caller.statuses("j1", &[9], 1).await, eq(&vec![Finished]));
    let started: Vec<TaskId> = server
        .starts()
        .into_iter()
        .map(|start| start.task)
        .collect();
    expect_that!(started, eq(&vec![("j1".into(), 4), ("j1".into(), 9)]));
}

/// Guards against faults that do not do what the plan says, which would make
/// the proofs that use them worthless.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn each_fault_does_what_the_plan_says() {
    let server = standin(4, false, FaultPlan::default(), vec![]).await;
    let caller = Caller::new(&server);
    let lost = async |faults: FaultPlan, job: &str| {
        server.set_faults(faults);
        let limit = Duration::from_millis(150);
        match tokio::time::timeout(limit, caller.send(job, &[0], 1)).await {
            Ok(answer) => matches!(answer, Err(Error::OutcomeUnknown(_))),
            Err(_) => true,
        }
    };
    let plan = FaultPlan::default;
    expect_true!(
        lost(
            FaultPlan {
                close_before_start: 1.0,
                ..plan()
            },
            "a"
        )
        .await
    );
    expect_that!(server.starts().len(), eq(0));
    expect_true!(
        lost(
            FaultPlan {
                close_after_run: 1.0,
                ..plan()
            },
            "b"
        )
        .await
    );
    expect_true!(
        lost(
            FaultPlan {
                silent: 1.0,
                ..plan()
            },
            "c"
        )
        .await
    );
    expect_that!(server.starts().len(), eq(2));
    server.set_faults(FaultPlan {
        wrong_answer: 1.0,
        ..plan()
    });
    expect_that!(
        caller.send("d", &[0], 1).await.unwrap().job_id,
        not(eq("d"))
    );
    server.set_faults(FaultPlan {
        fail: 1.0,
        ..plan()
    });
    expect_that!(caller.statuses("e", &[0], 1).await, eq(&vec![Failed]));
    server.set_faults(FaultPlan {
        stop: 1.0,
        ..plan()
    });
    expect_that!(caller.statuses("f", &[0], 1).await, eq(&vec![Stopped]));
    server.set_faults(FaultPlan {
        straggle: 1.0,
        ..plan()
    });
    let begin = Instant::now();
    expect_that!(caller.statuses("g", &[0], 10).await, eq(&vec![Finished]));
    expect_that!(begin.elapsed(), ge(Duration::from_millis(100)));
    expect_that!(server.starts().len(), eq(6));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a start after `never_started`, whatever the order in
    /// which batches and cancellations of the same tasks arrive.
    #[test]
    fn never_started_is_never_followed_by_a_start(
        shared: bool,
        batches in proptest::collection::vec((0..15u64, 0..4u32, 1..12u64), 1..12),
        cancels in proptest::collection::vec((0..20u64, 0..4u32), 1..8),
    ) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let server = standin(2, shared, FaultPlan::default(), vec![]).await;
            let caller = Caller::new(&server);
            let sends = batches.into_iter().map(|(after_ms, index, run_ms)| {
                let caller = caller.clone();
                tokio::spawn(async move {
                    sleep(Duration::from_millis(after_ms)).await;
                    caller.statuses("j", &[index], run_ms).await[0]
                })
            });
            let sends: Vec<_> = sends.collect();
            let asks = cancels.into_iter().map(|(after_ms, index)| {
                let caller = caller.clone();
                tokio::spawn(async move {
                    sleep(Duration::from_millis(after_ms)).await;
                    (index, caller.cancel("j", &[index]).await[0])
                })
            });
            let asks: Vec<_> = asks.collect();
            let mut ran = 0;
            for send in sends {
                ran += usize::from(send.await.unwrap() != NotStarted);
            }
            let starts = server.starts();
            assert_eq!(starts.len(), ran);
            for ask in asks {
                let (index, fate) = ask.await.unwrap();
                let started = starts.iter().any(|start| start.task.1 == index);
                assert!(fate != CancelStatus::NeverStarted || !started, "task {index}");
            }
        });
    }
}
