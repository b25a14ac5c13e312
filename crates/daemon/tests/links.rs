//! Disconnected, stalled and slow links in a site of separate processes.

mod harness;

use std::time::Duration;

use googletest::prelude::*;
use harness::Layout;
use harness::relay::RelayMode;
use harness::requests::{announcement, change, job, standin_options};
use harness::site::Site;
use harness::wait_until;
use hornbeam_core::api::backend::Announcement;
use hornbeam_core::api::caller::{Outcome, Reason, SubmitRequest};
use hornbeam_core::api::operator::ChangeOutcome;
use hornbeam_standin::{FaultPlan, StandinServer};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Duration of the load in a run.
const LOAD_TIME: Duration = Duration::from_secs(4);
const CALLERS: u64 = 40;
const SLOTS: u32 = 8;
/// Timeout of a job whose answer arrives too late.
const SHORT_TIMEOUT_MS: u64 = 500;

/// Faults in the random run; each one affects the link to one backend server.
const RELAY_MODES: [RelayMode; 10] = [
    RelayMode::Disconnect,
    RelayMode::Stall,
    RelayMode::StallToServer,
    RelayMode::StallToClient,
    RelayMode::DelayToClient(Duration::from_millis(200)),
    RelayMode::DisconnectAfterToServer(0),
    RelayMode::DisconnectAfterToServer(60),
    RelayMode::DisconnectAfterToServer(500),
    RelayMode::DisconnectAfterToClient(0),
    RelayMode::DisconnectAfterToClient(100),
];

/// Starts one entry host and two backend servers.
async fn small_site() -> Site {
    Site::start(&Layout::small(&["fd-a"]), 2, SLOTS).await
}

/// Sets the mode of the relays of all backend servers.
fn set_all_relays(site: &Site, mode: RelayMode) {
    site.servers
        .iter()
        .for_each(|server| server.relay.set_mode(mode));
}

/// Sets a mode that ends when it has closed one connection to each backend server.
fn set_all_relays_once(site: &Site, mode: RelayMode) {
    site.servers
        .iter()
        .for_each(|server| server.relay.set_once(mode));
}

/// Submits a job of one task and expects it to fail for a reason; `None` expects
/// a complete answer.
async fn expect_outcome(site: &Site, request_id: &str, reason: Option<Reason>) {
    let reply = site.submit(0, &job(request_id, 1, 50)).await;
    let message = &reply.body.message;
    expect_that!(reply.body.reason, eq(reason), "{request_id}: {message}");
    let outcome = match reason {
        Some(_) => Outcome::Failed,
        None => Outcome::Complete,
    };
    expect_that!(reply.body.outcome, eq(outcome), "{request_id}: {message}");
}

/// Guards against a job that fails because of a refused connection, although its
/// tasks were never sent.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_refused_connection_lets_the_task_run_elsewhere() {
    let mut site = small_site().await;
    site.crash_server(0);
    let reply = site.submit(0, &job("refused-connection", 6, 20)).await;
    let message = &reply.body.message;
    expect_that!(reply.body.outcome, eq(Outcome::Complete), "{message}");
    expect_that!(site.running_starts(), eq(6));
    expect_that!(site.finish().await, is_empty());
}

/// Guards against a task that is sent again although its request may have
/// arrived, and against a job that fails although its server reports that the
/// task never started.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_cut_exchange_is_sent_again_only_if_it_never_started() {
    for bytes in [0, 1, 60, 200] {
        // A new site, because a server that lost several exchanges is ejected for
        // some time.
        let site = small_site().await;
        // The tasks need the slots of both servers. A server that lost an exchange
        // is avoided, so the other one must be free of faults.
        let relay = &site.servers[0].relay;
        relay.set_once(RelayMode::DisconnectAfterToServer(bytes));
        let before = site.running_starts();
        let request = job(&format!("cut-request-{bytes}"), 12, 50);
        let answer = site.submit(0, &request).await.body;
        expect_that!(answer.outcome, eq(Outcome::Complete), "{}", answer.message);
        expect_that!(site.running_starts(), eq(before + 12));
        expect_that!(relay.mode(), eq(RelayMode::Forward));
        expect_that!(site.finish().await, is_empty(), "{bytes} bytes");
    }
    let site = small_site().await;
    for bytes in [0, 1, 60, 100] {
        set_all_relays_once(&site, RelayMode::DisconnectAfterToClient(bytes));
        let before = site.running_starts();
        let id = format!("cut-answer-{bytes}");
        expect_outcome(&site, &id, Some(Reason::OutcomeUnknown)).await;
        expect_that!(site.running_starts(), eq(before + 1));
        set_all_relays(&site, RelayMode::Forward);
    }
    expect_outcome(&site, "after", None).await;
    expect_that!(site.finish().await, is_empty());
}

/// Guards against a task that is sent again although it may have started: its
/// status query is lost, or answered by a later incarnation of the server.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_query_that_proves_nothing_fails_the_job() {
    let site = small_site().await;
    for (id, mode) in [
        ("lost-query", RelayMode::DisconnectAfterToClient(0)),
        ("silent", RelayMode::Stall),
        ("silent-answers", RelayMode::StallToClient),
    ] {
        set_all_relays(&site, mode);
        expect_outcome(&site, id, Some(Reason::OutcomeUnknown)).await;
        set_all_relays(&site, RelayMode::Forward);
    }
    let decoy = standin_options(Announcement {
        incarnation: 2,
        ..announcement("decoy", "fd-a")
    });
    let decoy = StandinServer::start(decoy).await.expect("a server");
    // Opens the connection that stays with the first incarnation of the server.
    expect_outcome(&site, "before", None).await;
    let before = site.running_starts();
    set_all_relays_once(&site, RelayMode::DisconnectAfterToClient(0));
    let (recorder, client) = (site.recorder.clone(), site.system.client.clone());
    let entry = site.system.entries[0].http;
    let request = job("other-incarnation", 1, 500);
    let submission = tokio::spawn(async move { recorder.submit(&client, entry, &request).await });
    wait_until("a start", async || site.running_starts() > before).await;
    for server in &site.servers {
        server.relay.set_target(decoy.address());
    }
    let reply = submission.await.expect("a joined task").expect("an answer");
    expect_that!(reply.body.reason, some(eq(Reason::OutcomeUnknown)));
    expect_that!(decoy.starts(), is_empty());
    decoy.abort();
    expect_that!(site.finish().await, is_empty());
}

/// Guards against an answer that is matched to another exchange, and against a
/// late answer that is delivered to another job.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn wrong_and_late_answers_reach_no_caller() {
    let site = small_site().await;
    let set_wrong_answer = |wrong_answer| {
        for server in &site.servers {
            let standin = server.standin.as_ref().expect("a running server");
            standin.set_faults(FaultPlan {
                wrong_answer,
                ..FaultPlan::default()
            });
        }
    };
    set_wrong_answer(1.0);
    expect_outcome(&site, "wrong-answer", Some(Reason::OutcomeUnknown)).await;
    set_wrong_answer(0.0);
    set_all_relays(
        &site,
        RelayMode::DelayToClient(Duration::from_millis(1_500)),
    );
    let late = SubmitRequest {
        timeout_ms: SHORT_TIMEOUT_MS,
        ..job("late", 4, 50)
    };
    let reply = site.submit(0, &late).await;
    expect_that!(reply.body.reason, some(eq(Reason::DeadlineExceeded)));
    set_all_relays(&site, RelayMode::Forward);
    for number in 0..20 {
        let request = job(&format!("after-late-{number}"), 4, 100);
        let reply = site.submit(0, &request).await;
        let message = &reply.body.message;
        expect_that!(reply.body.outcome, eq(Outcome::Complete), "{message}");
    }
    expect_that!(site.finish().await, is_empty());
}

/// Guards against violated guarantees when links to backend servers are closed,
/// stall or slow down at random times under load.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn random_link_faults_break_no_guarantee() {
    for seed in [11, 12] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let site = Site::start(&Layout::default(), 3, SLOTS).await;
        let callers = site.start_callers(CALLERS, seed, LOAD_TIME);
        while callers.iter().any(|caller| !caller.is_finished()) {
            let server = site.servers.choose(&mut rng).expect("a server");
            let mode = *RELAY_MODES.choose(&mut rng).expect("a relay mode");
            if rng.random_bool(0.5) {
                server.relay.set_once(mode);
            } else {
                server.relay.set_mode(mode);
            }
            tokio::time::sleep(Duration::from_millis(60)).await;
            let restored = site.servers.choose(&mut rng).expect("a server");
            restored.relay.set_mode(RelayMode::Forward);
        }
        for caller in callers {
            caller.await.expect("a joined caller");
        }
        set_all_relays(&site, RelayMode::Forward);
        expect_that!(site.finish().await, is_empty(), "seed {seed}");
    }
}

/// Guards against a failure domain that stops serving when it is partitioned,
/// runs a request that is not repeatable without a quorum, or keeps its old
/// configuration after the partition.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failure_domain_that_is_cut_off_serves_and_catches_up() {
    // Control hosts exchange their own addresses, so no relay can be placed
    // between them: all are on one side of the partition.
    let layout = Layout {
        controls: vec!["fd-a"; 3],
        relayed: true,
        ..Layout::default()
    };
    let site = Site::start(&layout, 3, SLOTS).await;
    let set_cross_domain_mode = |mode| {
        let relays = site.system.relays.iter();
        let across = relays.filter(|link| link.from != link.to);
        across.for_each(|link| link.relay.set_mode(mode));
    };
    for (round, mode) in [(1, RelayMode::Disconnect), (2, RelayMode::Stall)] {
        set_cross_domain_mode(mode);
        wait_until("the loss of peers", async || {
            site.status(0).await.peers.len() == 1 && site.status(2).await.peers.len() == 1
        })
        .await;
        for index in 0..4 {
            let request = job(&format!("side-{round}-{index}"), 8, 20);
            let answer = site.submit(index, &request).await.body;
            expect_that!(answer.outcome, eq(Outcome::Complete), "{}", answer.message);
        }
        // The change waits for a leader on the side that has a quorum.
        let next = change(
            &format!("cut-{round}"),
            round,
            &format!("entry_hosts = {round}"),
        );
        let accepted = ChangeOutcome::Accepted { version: round + 1 };
        expect_that!(site.submit_change(0, &next).await, eq(&accepted));
        let non_repeatable = |id: &str| SubmitRequest {
            repeatable: false,
            timeout_ms: 1_500,
            ..job(id, 2, 20)
        };
        let refused = site
            .submit(2, &non_repeatable(&format!("once-b-{round}")))
            .await
            .body;
        expect_that!(refused.outcome, eq(Outcome::Refused));
        expect_that!(refused.reason, some(eq(Reason::ClaimUnavailable)));
        let served = site
            .submit(0, &non_repeatable(&format!("once-a-{round}")))
            .await
            .body;
        expect_that!(served.outcome, eq(Outcome::Complete), "{}", served.message);
        expect_that!(site.status(2).await.config_version, eq(round));
        set_cross_domain_mode(RelayMode::Forward);
        for index in 0..4 {
            wait_until("the newest version", async || {
                site.status(index).await.config_version == round + 1
            })
            .await;
        }
        site.wait_for_peers().await;
    }
    expect_that!(site.finish().await, is_empty());
}
