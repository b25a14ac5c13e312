//! Tests of exchanges: slots, refusals, cancellation and faults.

mod common;

use std::time::Duration;

use common::{EntryClient, standin};
use googletest::prelude::*;
use hornbeam_core::api::backend::{CancelStatus, TaskStatus};
use hornbeam_core::{Error, ids::TaskId};
use hornbeam_standin::FaultPlan;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::{Instant, sleep};

use TaskStatus::{Failed, Finished, NotStarted, Stopped};

/// Guards against a stand-in that runs tasks that it must refuse: beyond its
/// slots, or of another grant or incarnation.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leased_server_refuses_what_it_may_not_run() {
    let server = standin(2, false, FaultPlan::default(), vec![]).await;
    let entry_client = EntryClient::new(&server);
    let answer = entry_client.send("j1", &[0, 1, 2], 60).await.unwrap();
    let statuses: Vec<TaskStatus> = answer.ends.iter().map(|end| end.status).collect();
    expect_that!(statuses, eq(&vec![Finished, Finished, NotStarted]));
    expect_that!(answer.ends[1].output, eq("j1/1"));
    expect_that!(answer.ends[1].run_ms, ge(60));
    expect_that!(answer.load, eq(0));
    let stale = EntryClient {
        grant: 0,
        ..entry_client.clone()
    };
    expect_that!(stale.statuses("j2", &[0], 1).await, eq(&vec![NotStarted]));
    let other = EntryClient {
        incarnation: 6,
        ..entry_client.clone()
    };
    expect_that!(other.statuses("j3", &[0], 1).await, eq(&vec![NotStarted]));
    expect_that!(server.starts().len(), eq(2));
}

/// Guards against a shared stand-in that refuses tasks it could queue, queues
/// without a bound or starts a task after its deadline.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_shared_server_queues_within_bounds() {
    let server = standin(2, true, FaultPlan::default(), vec![]).await;
    let mut entry_client = EntryClient::new(&server);
    let all: Vec<u32> = (0..40).collect();
    let statuses = entry_client.statuses("j1", &all, 10).await;
    let refused = statuses
        .iter()
        .filter(|status| **status == NotStarted)
        .count();
    expect_that!(refused, eq(40 - 2 - 32));
    entry_client.start_within_ms = 30;
    let statuses = entry_client.statuses("j2", &[0, 1, 2], 100).await;
    expect_that!(statuses, eq(&vec![Finished, Finished, NotStarted]));
}

/// Guards against a false `never_started`, on which every resend relies.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_task_has_its_true_status() {
    let server = standin(4, false, FaultPlan::default(), vec![]).await;
    let entry_client = EntryClient::new(&server);
    expect_that!(
        entry_client.cancel("j1", &[5]).await,
        eq(&vec![CancelStatus::NeverStarted])
    );
    let sender = entry_client.clone();
    let running = tokio::spawn(async move { sender.statuses("j1", &[4, 5], 2000).await });
    common::eventually(|| !server.starts().is_empty()).await;
    expect_that!(
        entry_client.cancel("j1", &[4, 5]).await,
        eq(&vec![CancelStatus::Started, CancelStatus::NeverStarted])
    );
    expect_that!(running.await.unwrap(), eq(&vec![Stopped, NotStarted]));
    expect_that!(
        entry_client.cancel("j1", &[4]).await,
        eq(&vec![CancelStatus::Finished])
    );
    let other = EntryClient {
        incarnation: 6,
        ..entry_client.clone()
    };
    other.cancel("j1", &[9]).await;
    expect_that!(
        entry_client.statuses("j1", &[9], 1).await,
        eq(&vec![Finished])
    );
    let started: Vec<TaskId> = server
        .starts()
        .into_iter()
        .map(|start| start.task)
        .collect();
    expect_that!(started, eq(&vec![("j1".into(), 4), ("j1".into(), 9)]));
}

/// Guards against faults that are not injected as planned, which would invalidate
/// the tests that rely on them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn each_fault_does_what_the_plan_says() {
    let server = standin(4, false, FaultPlan::default(), vec![]).await;
    let entry_client = EntryClient::new(&server);
    let is_unanswered = async |faults: FaultPlan, job: &str| {
        server.set_faults(faults);
        let limit = Duration::from_millis(150);
        match tokio::time::timeout(limit, entry_client.send(job, &[0], 1)).await {
            Ok(answer) => matches!(answer, Err(Error::OutcomeUnknown(_))),
            Err(_) => true,
        }
    };
    let plan = FaultPlan::default;
    expect_true!(
        is_unanswered(
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
        is_unanswered(
            FaultPlan {
                close_after_run: 1.0,
                ..plan()
            },
            "b"
        )
        .await
    );
    expect_true!(
        is_unanswered(
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
        entry_client.send("d", &[0], 1).await.unwrap().job_id,
        not(eq("d"))
    );
    server.set_faults(FaultPlan {
        fail: 1.0,
        ..plan()
    });
    expect_that!(entry_client.statuses("e", &[0], 1).await, eq(&vec![Failed]));
    server.set_faults(FaultPlan {
        stop: 1.0,
        ..plan()
    });
    expect_that!(
        entry_client.statuses("f", &[0], 1).await,
        eq(&vec![Stopped])
    );
    server.set_faults(FaultPlan {
        straggle: 1.0,
        ..plan()
    });
    let begin = Instant::now();
    expect_that!(
        entry_client.statuses("g", &[0], 10).await,
        eq(&vec![Finished])
    );
    expect_that!(begin.elapsed(), ge(Duration::from_millis(100)));
    expect_that!(server.starts().len(), eq(6));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a start after `never_started`, in whichever order batches and
    /// cancellations of the same tasks arrive.
    #[test]
    fn never_started_is_never_followed_by_a_start(
        shared: bool,
        batches in proptest::collection::vec((0..15u64, 0..4u32, 1..12u64), 1..12),
        cancels in proptest::collection::vec((0..20u64, 0..4u32), 1..8),
    ) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let server = standin(2, shared, FaultPlan::default(), vec![]).await;
            let entry_client = EntryClient::new(&server);
            let pending_sends = batches.into_iter().map(|(after_ms, index, run_ms)| {
                let entry_client = entry_client.clone();
                tokio::spawn(async move {
                    sleep(Duration::from_millis(after_ms)).await;
                    entry_client.statuses("j", &[index], run_ms).await[0]
                })
            });
            let pending_sends: Vec<_> = pending_sends.collect();
            let pending_cancels = cancels.into_iter().map(|(after_ms, index)| {
                let entry_client = entry_client.clone();
                tokio::spawn(async move {
                    sleep(Duration::from_millis(after_ms)).await;
                    (index, entry_client.cancel("j", &[index]).await[0])
                })
            });
            let pending_cancels: Vec<_> = pending_cancels.collect();
            let mut ran = 0;
            for send in pending_sends {
                ran += usize::from(send.await.unwrap() != NotStarted);
            }
            let starts = server.starts();
            assert_eq!(starts.len(), ran);
            for pending_cancel in pending_cancels {
                let (index, fate) = pending_cancel.await.unwrap();
                let started = starts.iter().any(|start| start.task.1 == index);
                assert!(fate != CancelStatus::NeverStarted || !started, "task {index}");
            }
        });
    }
}
