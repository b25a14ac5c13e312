//! Tests of leases and withdrawal against fake entry hosts.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{AnnounceReply, EntryClient, FakeEntry, LEASE, counting_relay, eventually, standin};
use googletest::prelude::*;
use hornbeam_core::api::backend::TaskStatus;
use hornbeam_standin::FaultPlan;
use tokio::time::{Instant, sleep};

/// Guards against a stand-in that stays without an owner after its owner failed,
/// or that switches to another one under the same grant.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_owner_is_replaced_within_the_lease() {
    let first = FakeEntry::start(AnnounceReply::Accept).await;
    let second = FakeEntry::start(AnnounceReply::Accept).await;
    let hosts = vec![first.address(), second.address()];
    let server = standin(2, false, FaultPlan::default(), hosts).await;
    eventually(|| first.last_grant().or(second.last_grant()).is_some()).await;
    let (owner, other) = if first.last_grant().is_some() {
        (first, second)
    } else {
        (second, first)
    };
    let renewals = || owner.grants.lock().unwrap().len();
    eventually(|| renewals() > 3).await;
    expect_that!(other.last_grant(), none());
    let lost_at = Instant::now();
    owner.server.abort();
    eventually(|| other.last_grant().is_some()).await;
    expect_that!(lost_at.elapsed(), lt(LEASE + Duration::from_millis(200)));
    expect_that!(other.last_grant(), some(eq(2)));
    let old = EntryClient::new(&server);
    let statuses = old.statuses("j1", &[0], 1).await;
    expect_that!(statuses, eq(&vec![TaskStatus::NotStarted]));
    let new = EntryClient { grant: 2, ..old };
    expect_that!(
        new.statuses("j2", &[0], 1).await,
        eq(&vec![TaskStatus::Finished])
    );
}

/// Guards against a stand-in that ignores a redirect or a refusal, or that keeps
/// its grant when it switches away from a draining owner.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn redirects_and_refusals_are_followed() {
    let target = FakeEntry::start(AnnounceReply::Accept).await;
    let draining = FakeEntry::start(AnnounceReply::Accept).await;
    let hosts = vec![draining.address()];
    let _server = standin(2, false, FaultPlan::default(), hosts).await;
    eventually(|| draining.last_grant() == Some(1)).await;
    *draining.reply.lock().unwrap() = AnnounceReply::Redirect(target.address());
    eventually(|| target.last_grant() == Some(2)).await;
    *draining.reply.lock().unwrap() = AnnounceReply::Accept;
    *target.reply.lock().unwrap() = AnnounceReply::Decline;
    eventually(|| draining.last_grant() == Some(3)).await;
}

/// Guards against a shared stand-in that does not announce to, or withdraw from,
/// every entry host.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_shared_server_announces_to_all_under_one_grant() {
    let first = FakeEntry::start(AnnounceReply::Accept).await;
    let second = FakeEntry::start(AnnounceReply::Accept).await;
    let hosts = vec![first.address(), second.address()];
    let server = standin(2, true, FaultPlan::default(), hosts).await;
    let renewals = |entry: &FakeEntry| entry.grants.lock().unwrap().len();
    eventually(|| renewals(&first) > 2 && renewals(&second) > 2).await;
    expect_that!(first.last_grant(), some(eq(1)));
    expect_that!(second.last_grant(), some(eq(1)));
    server.leave().await;
    expect_that!(first.withdrawals.lock().unwrap().len(), eq(1));
    expect_that!(second.withdrawals.lock().unwrap().len(), eq(1));
}

/// Guards against a leave that interrupts running tasks, accepts new ones or
/// renews the lease after the withdrawal; see guarantee G6 of docs/PROOFS.md.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_withdraws_and_finishes_running_tasks() {
    let entry = FakeEntry::start(AnnounceReply::Accept).await;
    let server = standin(2, false, FaultPlan::default(), vec![entry.address()]).await;
    eventually(|| entry.last_grant().is_some()).await;
    let entry_client = EntryClient::new(&server);
    let sender = entry_client.clone();
    let running = tokio::spawn(async move { sender.statuses("j1", &[0], 400).await });
    eventually(|| !server.starts().is_empty()).await;
    let leaving = tokio::spawn(server.leave());
    eventually(|| !entry.withdrawals.lock().unwrap().is_empty()).await;
    let late = entry_client.send("j2", &[0], 1).await;
    let ran = late.is_ok_and(|answer| answer.ends[0].status != TaskStatus::NotStarted);
    expect_false!(ran);
    expect_that!(running.await.unwrap(), eq(&vec![TaskStatus::Finished]));
    leaving.await.unwrap();
    let renewals = entry.grants.lock().unwrap().len();
    sleep(Duration::from_millis(120)).await;
    expect_that!(entry.grants.lock().unwrap().len(), eq(renewals));
}

/// Guards against a new connection per renewal, which with 2,400 servers means
/// 3,600 new connections per second at an entry host.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn renewals_share_one_connection() {
    let entry = FakeEntry::start(AnnounceReply::AcceptAsEntryHost).await;
    let (relay, connections) = counting_relay(entry.address()).await;
    let _server = standin(2, false, FaultPlan::default(), vec![relay]).await;
    eventually(|| entry.grants.lock().unwrap().len() >= 4).await;
    expect_that!(connections.load(Ordering::SeqCst), eq(1));
}
