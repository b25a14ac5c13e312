//! Tests of control hosts and entry hosts together, over loopback sockets.

mod harness;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use harness::{MAX_BODY_BYTES, System, TIMEOUT, job, job_once, submit_at, wait_until};
use hornbeam_core::Error;
use hornbeam_core::api::caller::{Outcome, Reason, SubmitAnswer, SubmitRequest};
use hornbeam_core::api::operator::{ChangeOutcome, MembersOutcome, MembersRequest};
use hornbeam_http::{ClientOptions, HttpClient, Reply};
use hornbeam_node::Host;

/// Checks that an answer is complete and that its results are in task order.
fn expect_complete(reply: &Reply<SubmitAnswer>, request_id: &str, tasks: usize) {
    let answer = &reply.body;
    expect_that!(reply.status, eq(200));
    expect_that!(answer.request_id, eq(request_id));
    expect_that!(answer.outcome, eq(Outcome::Complete));
    let job_id = answer.job_id.clone().unwrap_or_default();
    let outputs: Vec<_> = answer.results.iter().map(|result| &result.output).collect();
    let expected: Vec<_> = (0..tasks)
        .map(|index| format!("{job_id}/{index}"))
        .collect();
    expect_that!(outputs, eq(&expected.iter().collect::<Vec<_>>()));
}

/// Guards against results that an entry host loses, duplicates or reorders, and
/// against more than the two messages that a task needs.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_complete_job_takes_two_messages_per_task() {
    let system = System::start(1, 1).await;
    let entry = &system.entries[0];
    let servers = [
        system.start_server("s1", entry).await,
        system.start_server("s2", entry).await,
    ];
    let reply = system.submit(entry, &job("whole", 40, 5)).await;
    expect_complete(&reply, "whole", 40);
    let starts: usize = servers.iter().map(|server| server.starts().len()).sum();
    expect_that!(starts, eq(40));
    for kind in ["task_request", "task_answer"] {
        let name = format!("hornbeam_messages_total{{kind=\"{kind}\"}}");
        expect_that!(system.metric(entry, &name).await, eq(40.0));
    }
    let jobs = "hornbeam_jobs_total{outcome=\"complete\",reason=\"\"}";
    expect_that!(system.metric(entry, jobs).await, eq(1.0));
    for server in servers {
        server.leave().await;
    }
    system.stop().await;
}

/// Guards against an entry host without backend servers that refuses jobs that
/// its peers could run, and against results that are lost on the way back.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_job_is_forwarded_to_the_peer_that_has_servers() {
    let system = System::start(1, 2).await;
    let [without, with] = &system.entries[..] else {
        panic!("two entry hosts");
    };
    let server = system.start_server("s1", with).await;
    system.wait_for_peers().await;
    // The peer's slots are known from its next status.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = system.submit(without, &job("forwarded", 4, 5)).await;
    expect_complete(&reply, "forwarded", 4);
    expect_that!(server.starts().len(), eq(4));
    let name = "hornbeam_messages_total{kind=\"chunk_answer\"}";
    expect_that!(system.metric(without, name).await, ge(1.0));
    server.leave().await;
    system.stop().await;
}

/// Guards against a drain that aborts a job in flight, and against a draining
/// host that accepts new jobs or reports itself as ready.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drain_finishes_jobs_in_flight_and_refuses_new_ones() {
    let mut system = System::start(1, 1).await;
    let entry = system.entries.remove(0);
    let server = system.start_server("s1", &entry).await;
    let (client, address) = (system.client.clone(), entry.http_address());
    let long_job = job("long", 2, 800);
    let in_flight = tokio::spawn(async move { submit_at(&client, address, &long_job).await });
    wait_until("a start", async || !server.starts().is_empty()).await;
    let ready = system.client.get_text(address, "/readyz", TIMEOUT).await;
    expect_that!(ready.expect("an answer").status, eq(200));
    entry.start_drain();
    let refused = system.submit(&entry, &job("late", 1, 1)).await;
    expect_that!(refused.status, eq(503));
    expect_that!(refused.body.outcome, eq(Outcome::Refused));
    expect_that!(refused.body.reason, some(eq(Reason::NotReady)));
    expect_that!(refused.body.request_id, eq("late"));
    let ready = system.client.get_text(address, "/readyz", TIMEOUT).await;
    expect_that!(ready.expect("an answer").status, eq(503));
    entry.stop().await;
    expect_complete(&in_flight.await.expect("a joined task"), "long", 2);
    server.abort();
    system.stop().await;
}

/// Guards against a request that is not repeatable and runs again when its
/// caller resends it to another entry host.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_is_not_repeatable_runs_at_only_one_entry_host() {
    let system = System::start(3, 2).await;
    let first = system.start_server("s1", &system.entries[0]).await;
    let second = system.start_server("s2", &system.entries[1]).await;
    let request = job_once("once");
    expect_complete(
        &system.submit(&system.entries[0], &request).await,
        "once",
        2,
    );
    let resent = system.submit(&system.entries[1], &request).await;
    expect_that!(resent.status, eq(409));
    expect_that!(resent.body.reason, some(eq(Reason::AlreadyClaimed)));
    let starts = first.starts().len() + second.starts().len();
    expect_that!(starts, eq(2));
    first.leave().await;
    second.leave().await;
    system.stop().await;
}

/// Guards against a change that some entry hosts apply late or never, and
/// against a change that overwrites a concurrent one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_change_is_in_force_everywhere_within_two_seconds() {
    let system = System::start(3, 4).await;
    let outcome = system.decide("second", 1, "entry_hosts = 4").await;
    let accepted = Instant::now();
    expect_that!(outcome, eq(&ChangeOutcome::Accepted { version: 2 }));
    for entry in &system.entries {
        system.wait_for_version(entry, 2).await;
    }
    expect_that!(accepted.elapsed(), lt(Duration::from_secs(2)));
    let resent = system.decide("second", 1, "entry_hosts = 4").await;
    expect_that!(resent, eq(&ChangeOutcome::Accepted { version: 2 }));
    let conflict = system.decide("third", 1, "entry_hosts = 3").await;
    let winner = ChangeOutcome::Conflict {
        current_version: 2,
        winner_change_id: "second".into(),
        winner_operator: "aigerim".into(),
    };
    expect_that!(conflict, eq(&winner));
    system.stop().await;
}

/// Guards against entry hosts that stop serving when the control group has no
/// quorum, and against a request that is not repeatable and runs without a
/// claim.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_host_keeps_serving_without_a_control_quorum() {
    let mut system = System::start(3, 1).await;
    let server = system.start_server("s1", &system.entries[0]).await;
    for control in system.controls.drain(1..) {
        control.abort();
    }
    let entry = &system.entries[0];
    expect_complete(
        &system.submit(entry, &job("goes-on", 8, 5)).await,
        "goes-on",
        8,
    );
    let refused = system.submit(entry, &job_once("no-quorum")).await;
    expect_that!(refused.status, eq(503));
    expect_that!(refused.body.outcome, eq(Outcome::Refused));
    expect_that!(refused.body.reason, some(eq(Reason::ClaimUnavailable)));
    expect_that!(server.starts().len(), eq(8));
    let outcome = system.change("without-quorum", 1, "").await;
    expect_that!(
        outcome,
        not(matches_pattern!(ChangeOutcome::Accepted { .. }))
    );
    server.leave().await;
    system.stop().await;
}

/// Guards against an entry host that reaches no control host and keeps an old
/// configuration although a peer has the new one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_host_without_control_hosts_gets_the_configuration_from_peers() {
    let system = System::start_with_isolated(1, 1, 1).await;
    let outcome = system.decide("second", 1, "entry_hosts = 3").await;
    expect_that!(outcome, eq(&ChangeOutcome::Accepted { version: 2 }));
    system.wait_for_version(&system.entries[1], 2).await;
    system.stop().await;
}

/// Guards against invalid input that is reported without its location, one
/// problem at a time, or without the request id that identifies the job.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_input_is_refused_with_all_findings_and_the_request_id() {
    let system = System::start(1, 1).await;
    let address = system.entries[0].http_address();
    let body = serde_json::json!({
        "request_id": "bad", "institution": "dala", "team": 5, "service": "subscribe",
        "repeatable": true, "timeout_ms": "long", "extra": 1,
        "tasks": [{ "run_ms": 1 }, { "run_ms": -1 }],
    });
    let reply = system
        .client
        .post(address, "/v1/jobs", &body, TIMEOUT)
        .await;
    let reply: Reply<SubmitAnswer> = reply.expect("an answer");
    expect_that!(reply.status, eq(400));
    expect_that!(reply.body.reason, some(eq(Reason::BadRequest)));
    expect_that!(reply.body.request_id, eq("bad"));
    let findings = reply.body.findings.iter();
    let paths: Vec<_> = findings
        .map(|finding| finding.place.path.as_str())
        .collect();
    expect_that!(
        paths,
        unordered_elements_are![
            eq(&"extra"),
            eq(&"team"),
            eq(&"timeout_ms"),
            eq(&"tasks[1]")
        ]
    );

    let mut large = job("large", 1, 1);
    large.tasks[0].payload = "x".repeat(MAX_BODY_BYTES);
    let reply = system.submit(&system.entries[0], &large).await;
    expect_that!(reply.status, eq(413));
    expect_that!(reply.body.reason, some(eq(Reason::TooLarge)));
    expect_that!(reply.body.request_id, eq("large"));
    system.stop().await;
}

/// Guards against operators' routes that do not check the credential.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn operator_routes_require_the_credential() {
    let system = System::start(1, 1).await;
    let wrong = ClientOptions {
        credential: Some("wrong".into()),
        ..ClientOptions::default()
    };
    let (entry, control) = (&system.entries[0], &system.controls[0]);
    for client in [
        HttpClient::new(wrong),
        HttpClient::new(ClientOptions::default()),
    ] {
        let client = client.expect("a client");
        for path in ["/v1/config", "/v1/config/history", "/v1/status"] {
            let reply = client.get_text(control.http_address(), path, TIMEOUT).await;
            expect_that!(reply.expect("an answer").status, eq(401), "{path}");
        }
        for address in [entry.http_address(), control.http_address()] {
            let open = client.get_text(address, "/livez", TIMEOUT).await;
            expect_that!(open.expect("an answer").status, eq(200));
            // The answer is not JSON, which shows that it was the refusal.
            let drain = client.post(address, "/v1/drain", &(), TIMEOUT).await;
            let drain: hornbeam_core::Result<Reply<serde_json::Value>> = drain;
            expect_that!(drain, err(matches_pattern!(Error::Codec(_))));
        }
    }
    expect_that!(system.status(entry).await.draining, eq(false));
    system.stop().await;
}

/// Guards against jobs that continue and use slots after their caller has
/// disconnected.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_caller_that_disconnects_cancels_its_job() {
    let system = System::start(1, 1).await;
    let entry = &system.entries[0];
    let server = system.start_server("s1", entry).await;
    let (client, address) = (system.client.clone(), entry.http_address());
    let long_job = SubmitRequest {
        timeout_ms: 20_000,
        ..job("abandoned", 8, 2_000)
    };
    let caller = tokio::spawn(async move { submit_at(&client, address, &long_job).await });
    wait_until("starts", async || server.starts().len() == 4).await;
    caller.abort();
    wait_until("the end of the job", async || {
        system.status(entry).await.jobs == 0
    })
    .await;
    let name = "hornbeam_jobs_total{outcome=\"failed\",reason=\"cancelled\"}";
    expect_that!(system.metric(entry, name).await, eq(1.0));
    expect_that!(server.starts().len(), eq(4));
    server.abort();
    system.stop().await;
}

/// Guards against a control host that accepts changes that its disk does not
/// store, and against one that continues after a disk error.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failing_disk_stops_the_control_host() {
    let mut system = System::start(1, 0).await;
    system.folders.clear();
    let mut version = 1;
    // The folder is deleted, so the next snapshot cannot be written.
    while !system.controls[0].has_failed() {
        let id = format!("change-{version}");
        match system.change(&id, version, "").await {
            ChangeOutcome::Accepted { version: next } => version = next,
            ChangeOutcome::Unknown { .. } | ChangeOutcome::Unavailable { .. } => {}
            other => panic!("an unexpected outcome: {other:?}"),
        }
        assert!(version < 100, "the host does not notice its disk");
    }
    system.controls[0].stopped().await;
    let after = system.change("after", version, "").await;
    expect_that!(after, matches_pattern!(ChangeOutcome::Unavailable { .. }));
    system.stop().await;
}

/// Guards against a control host that lost its disk and votes on state that it
/// has lost, or that can never rejoin the group.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_control_host_that_lost_its_disk_is_replaced_by_member_changes() {
    let mut system = System::start(3, 0).await;
    system.replace_disk(2).await;
    wait_until("a learner with the state", async || {
        let status = system.control_status(2).await;
        status.role == "learner" && status.config_version == 1
    })
    .await;
    let new_id = system.control_status(2).await.replica_id;
    expect_that!(new_id, not(eq(3)));
    for voters in [vec![1, 2, 3, new_id], vec![1, 2, new_id]] {
        let request = MembersRequest {
            change_id: format!("members-{}", voters.len()),
            voters,
            operator: "aigerim".into(),
            reason: "lost disk".into(),
        };
        wait_until("a change of members", async || {
            let address = system.controls[0].http_address();
            let reply = system
                .client
                .post(address, "/v1/members", &request, TIMEOUT)
                .await;
            reply.is_ok_and(|reply: Reply<MembersOutcome>| reply.status == 200)
        })
        .await;
        let address = system.controls[0].http_address();
        let path = "/v1/members";
        let resent = system.client.post(address, path, &request, TIMEOUT).await;
        let resent: Reply<MembersOutcome> = resent.expect("an answer to the resend");
        expect_that!(resent.body, eq(&MembersOutcome::Accepted));
    }
    // From now on the new member is needed for a quorum.
    system.controls.remove(1).abort();
    let outcome = system.decide("second", 1, "").await;
    expect_that!(outcome, eq(&ChangeOutcome::Accepted { version: 2 }));
    expect_that!(system.control_status(1).await.role, not(eq("learner")));
    system.stop().await;
}
