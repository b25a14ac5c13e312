//! Evacuation orders over HTTP, and their way to entry hosts of this build with
//! control hosts of this and of the previous build.

mod harness;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use googletest::prelude::*;
use harness::{TIMEOUT, fleet_control_options, free_address, wait_until};
use hornbeam_core::Error;
use hornbeam_core::evacuation::EvacuationList;
use hornbeam_document::{Document, DocumentHistory};
use hornbeam_fleet::{FleetOptions, PeerInfo};
use hornbeam_http::{ClientOptions, HttpClient, HttpServerOptions};
use hornbeam_node::{
    ControlHost, EntryRegistration, FleetEntryHost, FleetEntryOptions, Host, MembershipUpdate,
    Request, RequestAnswer,
};
use hornbeam_platform::standin;
use hornbeam_transport::{Link, LinkOptions, ServerOptions, Service, serve};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// `StandinControl` answers registrations as a control host of one of two builds
/// does. It changes its build, as an upgrade at the same address does.
#[derive(Clone, Default)]
struct StandinControl {
    knows_evacuations: Arc<AtomicBool>,
    withholds_list: Arc<AtomicBool>,
}

impl StandinControl {
    async fn start(&self) -> (SocketAddr, JoinHandle<()>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("a bound address");
        let service = Arc::new(self.clone());
        let task = tokio::spawn(async move {
            let options = ServerOptions::default();
            let served = serve(listener, service, options, std::future::pending()).await;
            served.expect("the stand-in serves");
        });
        (address, task)
    }
}

fn document() -> Document {
    let text = standin::document(1, "subscribe", &[]);
    Document::new(1, text.into())
}

impl Service for StandinControl {
    type Request = Request;
    type Answer = RequestAnswer;

    async fn handle(&self, request: Request) -> hornbeam_core::Result<RequestAnswer> {
        let update = MembershipUpdate {
            document_version: 1,
            ..MembershipUpdate::default()
        };
        match request {
            Request::RegisterWithEvacuations(_, _, known)
                if self.knows_evacuations.load(Ordering::Relaxed) =>
            {
                let list = evacuated(4, "zone-a");
                let is_newer = known.is_none_or(|known| known < list.revision);
                let is_sent = is_newer && !self.withholds_list.load(Ordering::Relaxed);
                let answer = RequestAnswer::RegisteredWithEvacuations;
                Ok(answer(update, is_sent.then_some(list)))
            }
            Request::RegisterSince(..) => Ok(RequestAnswer::RegisteredSince(update)),
            Request::DocumentPart(request) => {
                let mut history = DocumentHistory::default();
                history.add(document());
                Ok(RequestAnswer::DocumentPart(history.part(&request)?))
            }
            _ => Err(Error::refused("the request cannot be decoded")),
        }
    }
}

fn evacuated(revision: u64, failure_domain: &str) -> EvacuationList {
    EvacuationList {
        revision,
        failure_domains: [failure_domain.to_owned()].into(),
    }
}

async fn start_entry(control_hosts: &[SocketAddr]) -> (FleetEntryHost, SocketAddr) {
    let metrics = free_address();
    let options = FleetEntryOptions {
        fleet: FleetOptions::new("entry-1", "fd-a", free_address()),
        caller_listen: free_address(),
        readiness_listen: free_address(),
        report_listen: free_address(),
        metrics_listen: metrics,
        control_hosts: control_hosts.to_vec(),
        http: HttpServerOptions::default(),
    };
    let entry = FleetEntryHost::start(options).await.expect("an entry host");
    (entry, metrics)
}

/// Gets a gauge of the metrics at an address.
async fn gauge(client: &HttpClient, address: SocketAddr, name: &str) -> Option<u64> {
    let text = client.get_text(address, "/metrics", TIMEOUT).await.ok()?;
    let mut lines = text.body.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
    value.parse().ok()
}

async fn wait_for_revision(client: &HttpClient, metrics: SocketAddr, revision: u64) {
    wait_until("the list at the entry host", async || {
        let name = "hornbeam_fleet_evacuation_revision";
        gauge(client, metrics, name).await == Some(revision)
    })
    .await;
}

fn client() -> HttpClient {
    HttpClient::new(ClientOptions::default()).expect("a client")
}

async fn order(client: &HttpClient, to: SocketAddr, path: &str) -> u16 {
    let reply = client.post_text(to, path, &(), TIMEOUT).await;
    reply.expect("an answer").status
}

async fn registered_list(link: &Link, known: Option<u64>) -> Option<EvacuationList> {
    let address = free_address();
    let registration = EntryRegistration {
        host: PeerInfo {
            host_id: "entry-2".into(),
            address,
            failure_domain: "fd-a".into(),
        },
        report_address: address,
        owned: 0,
        draining: false,
    };
    let request = Request::RegisterWithEvacuations(registration, None, known);
    match link.call(&request, TIMEOUT).await {
        Ok(RequestAnswer::RegisteredWithEvacuations(_, list)) => list,
        answer => panic!("the registration is answered with {answer:?}"),
    }
}

/// Guards against an acknowledged order that no entry host hears of, one that is
/// lost with a restart of the control host, a repeated order that counts twice,
/// and a list that is sent although the entry host has it.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_over_http_reach_entry_hosts_and_survive_a_restart() {
    let folder = tempfile::tempdir().expect("a folder for data");
    let options = fleet_control_options(&folder);
    let orders_at = options.fleet.as_ref().expect("fleet settings").listen;
    let link = Link::new(options.link_listen, LinkOptions::default());
    let control = ControlHost::start(options.clone())
        .await
        .expect("a control host");
    let (entry, metrics) = start_entry(&[options.link_listen]).await;
    let client = client();
    let start = "/evacuate/zone-a/start";
    wait_until("a leader", async || {
        order(&client, orders_at, start).await == 200
    })
    .await;
    expect_that!(order(&client, orders_at, start).await, eq(200));
    wait_for_revision(&client, metrics, 1).await;
    let name = "hornbeam_fleet_evacuated_failure_domains";
    expect_that!(gauge(&client, metrics, name).await, some(eq(1)));
    expect_that!(
        order(&client, orders_at, "/evacuate/zone%20a/start").await,
        eq(400)
    );
    expect_that!(
        order(&client, orders_at, "/evacuate//finish").await,
        eq(400)
    );

    control.stop().await;
    let control = ControlHost::start(options).await.expect("a control host");
    wait_until("the list after the restart", async || {
        registered_list(&link, None).await == Some(evacuated(1, "zone-a"))
    })
    .await;
    expect_that!(registered_list(&link, Some(1)).await, none());
    expect_that!(
        order(&client, orders_at, "/evacuate/zone-a/finish").await,
        eq(200)
    );
    wait_for_revision(&client, metrics, 2).await;
    expect_that!(gauge(&client, metrics, name).await, some(eq(0)));
    entry.stop().await;
    control.stop().await;
}

/// Guards against an order that a control host without a quorum acknowledges.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_without_a_quorum_are_answered_with_unavailable() {
    let folder = tempfile::tempdir().expect("a folder for data");
    let mut options = fleet_control_options(&folder);
    // The seeds are the initial voters; nothing listens at the second one.
    let fleet = options.fleet.as_mut().expect("fleet settings");
    let lost = SocketAddr::from(([127, 0, 0, 2], options.link_listen.port()));
    fleet.seeds.push(lost);
    let orders_at = options.fleet.as_ref().expect("fleet settings").listen;
    let control = ControlHost::start(options).await.expect("a control host");
    expect_that!(
        order(&client(), orders_at, "/evacuate/zone-a/start").await,
        eq(503)
    );
    control.stop().await;
}

/// `FormerVoter` refuses the check of the leader, as a voter of the previous build
/// does, until it is upgraded. It lets every other message get lost.
#[derive(Clone, Default)]
struct FormerVoter {
    is_upgraded: Arc<AtomicBool>,
}

impl Service for FormerVoter {
    type Request = Request;
    type Answer = RequestAnswer;

    async fn handle(&self, request: Request) -> hornbeam_core::Result<RequestAnswer> {
        match request {
            Request::CheckEvacuationSupport if !self.is_upgraded.load(Ordering::Relaxed) => {
                Err(Error::refused("it cannot be decoded"))
            }
            _ => Ok(RequestAnswer::Done),
        }
    }
}

/// Guards against an order in the log that a voter of the previous build cannot
/// decode, after which it would get no further entry, and against orders that are
/// still refused after its upgrade.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_are_refused_while_a_voter_is_of_the_previous_build() {
    let folders = [(); 2].map(|()| tempfile::tempdir().expect("a folder for data"));
    let first = fleet_control_options(&folders[0]);
    let port = first.link_listen.port();
    let seeds = [1, 2, 3].map(|host| SocketAddr::from(([127, 0, 0, host], port)));
    let listener = TcpListener::bind(seeds[2]).await.expect("a port");
    let voter = FormerVoter::default();
    let service = Arc::new(voter.clone());
    let task = tokio::spawn(async move {
        let options = ServerOptions::default();
        serve(listener, service, options, std::future::pending()).await
    });
    let orders_at = first.fleet.as_ref().expect("fleet settings").listen;
    let mut controls = Vec::new();
    for (index, mut options) in [first, fleet_control_options(&folders[1])]
        .into_iter()
        .enumerate()
    {
        options.link_listen = seeds[index];
        options.fleet.as_mut().expect("fleet settings").seeds = seeds.to_vec();
        controls.push(ControlHost::start(options).await.expect("a control host"));
    }
    let client = client();
    wait_until("a leader", async || {
        let path = "/readyz";
        let reply = client
            .get_text(controls[0].http_address(), path, TIMEOUT)
            .await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
    let start = "/evacuate/zone-a/start";
    for _ in 0..3 {
        expect_that!(order(&client, orders_at, start).await, eq(503));
    }
    voter.is_upgraded.store(true, Ordering::Relaxed);
    wait_until("an order after the upgrade", async || {
        order(&client, orders_at, start).await == 200
    })
    .await;
    task.abort();
    for control in controls {
        control.stop().await;
    }
}

/// Guards against an entry host that gets no document from control hosts of the
/// previous build, and one that never asks a control host for the list that was
/// upgraded at its address without a failed call.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn upgraded_control_host_is_asked_for_the_list() {
    let control = StandinControl::default();
    let (address, task) = control.start().await;
    let (entry, metrics) = start_entry(&[address]).await;
    let client = client();
    wait_until("the document", async || {
        gauge(&client, metrics, "hornbeam_fleet_document_version").await == Some(1)
    })
    .await;
    control.knows_evacuations.store(true, Ordering::Relaxed);
    wait_for_revision(&client, metrics, 4).await;
    entry.stop().await;
    task.abort();
}

/// Guards against an entry host that starts tasks after its restart while no
/// control host can tell it which failure domains are evacuated.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_document_is_in_force_before_the_list() {
    let control = StandinControl::default();
    control.knows_evacuations.store(true, Ordering::Relaxed);
    control.withholds_list.store(true, Ordering::Relaxed);
    let (address, task) = control.start().await;
    let (entry, metrics) = start_entry(&[address]).await;
    let client = client();
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let name = "hornbeam_fleet_document_version";
    expect_that!(gauge(&client, metrics, name).await, some(eq(0)));
    control.withholds_list.store(false, Ordering::Relaxed);
    wait_for_revision(&client, metrics, 4).await;
    wait_until("the document", async || {
        gauge(&client, metrics, name).await == Some(1)
    })
    .await;
    entry.stop().await;
    task.abort();
}
