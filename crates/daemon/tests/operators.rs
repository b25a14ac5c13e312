//! Concurrent changes by operators, and lost disks of control hosts, in separate
//! processes.

mod harness;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use harness::history::Event;
use harness::requests::{change, job, submit_change};
use harness::site::Site;
use harness::{Layout, WAIT_TIMEOUT, wait_until};
use hornbeam_core::api::caller::{Outcome, Reason, SubmitRequest};
use hornbeam_core::api::operator::{AuditEntry, ChangeOutcome, MembersRequest};
use hornbeam_http::Reply;
use tokio::task::JoinSet;

/// Number of operators that send a change for the same version.
const OPERATORS: usize = 3;
/// Number of races; the leader crashes in one of them.
const ROUNDS: u64 = 6;
/// Time limit for an accepted change to be in force on each entry host.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Guards against two accepted changes for one version, a version that is lost
/// with the crashed leader, and an entry host whose version decreases or lags.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_racing_changes_wins_while_the_leader_crashes() {
    let mut site = Site::start(&Layout::default(), 0, 1).await;
    let controls: Vec<_> = site.system.controls.iter().map(|host| host.http).collect();
    for version in 1..=ROUNDS {
        let mut race = JoinSet::new();
        for operator in 0..OPERATORS {
            let mut controls = controls.clone();
            controls.rotate_left(operator);
            let (client, recorder) = (site.system.client.clone(), site.recorder.clone());
            let overlay = format!("entry_hosts = {}", operator + 1);
            let request = change(&format!("c-{version}-{operator}"), version, &overlay);
            race.spawn(async move {
                let outcome = submit_change(&client, &controls, &recorder, &request).await;
                (request.change_id, outcome)
            });
        }
        if version == ROUNDS / 2 {
            let leader = site.leader().await;
            site.system.controls[leader].kill();
        }
        let decided = race.join_all().await;
        let winners: Vec<_> = decided
            .iter()
            .filter(|(_, outcome)| {
                *outcome
                    == ChangeOutcome::Accepted {
                        version: version + 1,
                    }
            })
            .map(|(id, _)| id.clone())
            .collect();
        assert_that!(winners, len(eq(1)));
        for (_, outcome) in decided {
            if let ChangeOutcome::Conflict {
                winner_change_id, ..
            } = outcome
            {
                expect_that!(winners, contains(eq(&winner_change_id)));
            }
        }
    }
    let accepted = Instant::now();
    for index in 0..site.system.entries.len() {
        wait_until("the newest version", async || {
            site.status(index).await.config_version == ROUNDS + 1
        })
        .await;
    }
    expect_that!(accepted.elapsed(), lt(IN_FORCE_LIMIT));
    expect_that!(site.finish().await, is_empty());
}

/// Guards against the loss of accepted changes and claims when a control host
/// restarts without its disk and another one crashes right after the repair.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_accepted_is_lost_with_a_disk_and_a_second_host() {
    let mut site = Site::start(&Layout::default(), 2, 8).await;
    for version in 1..4 {
        let request = change(&format!("c-{version}"), version, "");
        let accepted = ChangeOutcome::Accepted {
            version: version + 1,
        };
        expect_that!(site.submit_change(0, &request).await, eq(&accepted));
    }
    let non_repeatable = SubmitRequest {
        repeatable: false,
        ..job("once", 2, 20)
    };
    let first = site.submit(0, &non_repeatable).await.body;
    expect_that!(first.outcome, eq(Outcome::Complete), "{}", first.message);

    let folder = site.system.data_folder(2);
    site.system.controls[2].kill();
    std::fs::remove_dir_all(&folder).expect("a removed folder");
    site.system.controls[2].restart_with("--new-group", "no");
    let mut new_id = 0;
    wait_until("a learner with the state", async || {
        let learner = site.control_status(2).await;
        let learner = learner.filter(|status| status.role == "learner");
        new_id = learner
            .filter(|status| status.config_version == 4)
            .map_or(0, |s| s.replica_id);
        new_id != 0
    })
    .await;
    expect_that!(new_id, not(eq(3)));
    for voters in [vec![1, 2, 3, new_id], vec![1, 2, new_id]] {
        let request = MembersRequest {
            change_id: format!("members-{}", voters.len()),
            operator: "aigerim".into(),
            reason: "a lost disk".into(),
            voters,
        };
        wait_until("a change of members", async || {
            let address = site.system.controls[0].http;
            let client = &site.system.client;
            let reply = client
                .post(address, "/v1/members", &request, WAIT_TIMEOUT)
                .await;
            reply.is_ok_and(|reply: Reply<serde_json::Value>| reply.status == 200)
        })
        .await;
    }

    // From here on a quorum needs the new member.
    site.system.controls[1].kill();
    let request = change("after", 4, "");
    let accepted = ChangeOutcome::Accepted { version: 5 };
    expect_that!(site.submit_change(0, &request).await, eq(&accepted));
    expect_that!(site.submit_change(2, &request).await, eq(&accepted));
    let address = site.system.controls[2].http;
    let history = site
        .system
        .client
        .get(address, "/v1/config/history", WAIT_TIMEOUT);
    let history: Reply<Vec<AuditEntry>> = history.await.expect("the history");
    let change_ids: Vec<_> = history
        .body
        .iter()
        .map(|entry| entry.change_id.as_str())
        .collect();
    for id in ["first", "c-1", "c-2", "c-3", "after"] {
        expect_that!(change_ids, contains(eq(&id)));
    }
    let resent = site.submit(2, &non_repeatable).await.body;
    expect_that!(resent.reason, some(eq(Reason::AlreadyClaimed)));
    let versions = site.recorder.select(|event| match event {
        Event::Version { version, .. } => Some(*version),
        _ => None,
    });
    expect_that!(versions, not(is_empty()));
    expect_that!(site.finish().await, is_empty());
}
