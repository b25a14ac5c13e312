//! Registrations of fleet entry hosts, their lists of members, and their
//! downloads of documents, against a control host and against stand-ins of one.

mod harness;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use harness::{TIMEOUT, fleet_control_options, free_address, wait_until};
use hornbeam_core::Error;
use hornbeam_document::{Document, DocumentHistory};
use hornbeam_fleet::{FleetOptions, PeerInfo};
use hornbeam_http::HttpServerOptions;
use hornbeam_node::{
    ControlHost, EntryRegistration, FleetEntryHost, FleetEntryOptions, Host, Membership,
    MembershipUpdate, MembershipVersion, Request, RequestAnswer,
};
use hornbeam_platform::standin;
use hornbeam_transport::{Link, LinkOptions, ServerOptions, Service, serve};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// Rate of a slow link in bytes a second: 2 Mbit/s.
const LINK_BYTES_PER_S: u32 = 250_000;

/// Time within which a document must be in force on every host.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

/// Longest time between two registrations of a host. Its control host drops it
/// after 3 s.
const MAX_REGISTRATION_GAP: Duration = Duration::from_millis(1500);

/// Time within which a control host that has started must be found.
const MAX_DISCOVERY_TIME: Duration = Duration::from_millis(300);

/// Queues of a large document, which has 400 KB.
const MANY_QUEUES: u64 = 1_600;

/// `Build` is the set of messages that a stand-in knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Build {
    Present,
    /// The one before documents were sent in parts.
    Former,
}

/// `StandinControl` answers entry hosts as a control host behind a slow link
/// does.
#[derive(Clone)]
struct StandinControl {
    build: Build,
    shared: Arc<Mutex<StandinState>>,
}

#[derive(Default)]
struct StandinState {
    history: DocumentHistory,
    registrations: Vec<Instant>,
    parts_sent: usize,
    /// Number of further parts that are not answered.
    parts_to_lose: usize,
}

impl StandinControl {
    /// Starts a stand-in that listens at a free address.
    async fn start(build: Build) -> (Self, SocketAddr, JoinHandle<()>) {
        let control = Self {
            build,
            shared: Arc::default(),
        };
        let listener = TcpListener::bind(free_address()).await.expect("a port");
        let address = listener.local_addr().expect("a bound address");
        let service = Arc::new(control.clone());
        let task = tokio::spawn(async move {
            let options = ServerOptions::default();
            let served = serve(listener, service, options, std::future::pending()).await;
            served.expect("the stand-in serves");
        });
        (control, address, task)
    }

    fn publish(&self, document: Document) {
        self.state().history.add(document);
    }

    fn state(&self) -> std::sync::MutexGuard<'_, StandinState> {
        self.shared.lock().expect("no test has panicked")
    }

    fn version(&self) -> u64 {
        let state = self.state();
        state
            .history
            .newest()
            .map_or(0, |document| document.id.version)
    }
}

impl Service for StandinControl {
    type Request = Request;
    type Answer = RequestAnswer;

    async fn handle(&self, request: Request) -> hornbeam_core::Result<RequestAnswer> {
        let document_version = self.version();
        match (request, self.build) {
            (Request::RegisterSince(..), Build::Present) => {
                self.state().registrations.push(Instant::now());
                Ok(RequestAnswer::RegisteredSince(MembershipUpdate {
                    document_version,
                    ..MembershipUpdate::default()
                }))
            }
            (Request::Register(_), Build::Former) => Ok(RequestAnswer::Registered(Membership {
                document_version,
                ..Membership::default()
            })),
            (Request::DocumentPart(request), Build::Present) => {
                let part = {
                    let mut state = self.state();
                    state.parts_sent += 1;
                    state.history.part(&request)?
                };
                let bytes = part.as_ref().map_or(0, |part| part.bytes.len());
                let bytes = u32::try_from(bytes).expect("a small part");
                let transit = Duration::from_secs(1) * bytes / LINK_BYTES_PER_S;
                tokio::time::sleep(transit).await;
                let is_lost = {
                    let mut state = self.state();
                    let is_lost = state.parts_to_lose > 0;
                    state.parts_to_lose = state.parts_to_lose.saturating_sub(1);
                    is_lost
                };
                if is_lost {
                    std::future::pending::<()>().await;
                }
                Ok(RequestAnswer::DocumentPart(part))
            }
            (Request::Document(have_version), Build::Former) => {
                let state = self.state();
                let newest = state
                    .history
                    .newest()
                    .filter(|at| at.id.version > have_version);
                Ok(RequestAnswer::Document(newest.map(|document| {
                    hornbeam_control::PublishedDocument {
                        version: document.id.version,
                        text: document.text.clone(),
                    }
                })))
            }
            (request, _) => Err(Error::refused(format!("unknown request {request:?}"))),
        }
    }
}

fn document(version: u64, queues: std::ops::Range<u64>) -> Document {
    // Spreads the digits, so that names differ as much as random ones.
    let name = |number: u64| format!("q{:x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let names: Vec<String> = queues.map(name).collect();
    let text = standin::document(version, "subscribe", &names);
    Document::new(version, text.into())
}

async fn start_entry(control_hosts: &[SocketAddr]) -> FleetEntryHost {
    let options = FleetEntryOptions {
        fleet: FleetOptions::new("entry-1", "fd-a", free_address()),
        caller_listen: free_address(),
        readiness_listen: free_address(),
        report_listen: free_address(),
        metrics_listen: free_address(),
        control_hosts: control_hosts.to_vec(),
        http: HttpServerOptions::default(),
    };
    FleetEntryHost::start(options).await.expect("an entry host")
}

/// Gets the version that is in force at an entry host.
async fn version_in_force(entry: &FleetEntryHost) -> u64 {
    let link = Link::new(entry.link_address(), LinkOptions::default());
    match link.call(&Request::Document(0), TIMEOUT).await {
        Ok(RequestAnswer::Document(Some(document))) => document.version,
        _ => 0,
    }
}

async fn wait_for_version(entry: &FleetEntryHost, version: u64) -> Duration {
    let since = Instant::now();
    wait_until("the document", async || {
        version_in_force(entry).await >= version
    })
    .await;
    since.elapsed()
}

/// Guards against a large change that never gets through a slow link, because
/// each download is given up and starts again, and against a host that its
/// control host drops meanwhile. Two further changes follow at once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_large_document_is_in_force_in_time_over_a_slow_link() {
    let (control, address, task) = StandinControl::start(Build::Present).await;
    control.publish(document(1, 0..40));
    let entry = start_entry(&[address]).await;
    wait_for_version(&entry, 1).await;
    for version in 2..=4 {
        control.publish(document(version, 0..40 + MANY_QUEUES + version));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let took = wait_for_version(&entry, 4).await;
    expect_that!(took, lt(IN_FORCE_WITHIN));
    entry.stop().await;
    let registrations = control.state().registrations.clone();
    let gaps = registrations.windows(2).map(|pair| pair[1] - pair[0]);
    expect_that!(gaps.max(), some(lt(MAX_REGISTRATION_GAP)));
    task.abort();
}

/// Guards against a download that starts again at the first byte at each lost
/// part, so that it never ends where parts get lost often.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_download_continues_after_lost_parts() {
    let (control, address, task) = StandinControl::start(Build::Present).await;
    control.publish(document(1, 0..40));
    let entry = start_entry(&[address]).await;
    wait_for_version(&entry, 1).await;
    let parts_before = control.state().parts_sent;
    control.state().parts_to_lose = 2;
    control.publish(document(2, 0..4 * MANY_QUEUES));
    wait_for_version(&entry, 2).await;
    let parts = control.state().parts_sent - parts_before;
    let mut history = DocumentHistory::default();
    history.add(document(1, 0..40));
    history.add(document(2, 0..4 * MANY_QUEUES));
    let mut needed = 0;
    let mut download = hornbeam_document::Download::default();
    download.replace(document(1, 0..40));
    while let Some(part) = history.part(&download.request()).expect("an encoding") {
        needed += 1;
        download.add(part).expect("the part fits");
    }
    expect_that!(parts, eq(needed + 2));
    entry.stop().await;
    task.abort();
}

/// Guards against an entry host that waits for the retransmission of TCP, or for
/// a long timeout, when its first packet to a control host that is just starting
/// is lost. After a loss of power all callers wait for this.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_control_host_that_starts_a_little_later_is_reached_soon() {
    let control = StandinControl {
        build: Build::Present,
        shared: Arc::default(),
    };
    control.publish(document(1, 0..3));
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(free_address()).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("a bound address");
    // The queue of the listener is full, so further first packets are dropped.
    let mut filling = Vec::new();
    while let Ok(Ok(connection)) =
        tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(address)).await
    {
        filling.push(connection);
    }
    let entry = start_entry(&[address]).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let service = Arc::new(control.clone());
    let task = tokio::spawn(async move {
        let options = ServerOptions::default();
        let served = serve(listener, service, options, std::future::pending()).await;
        served.expect("the stand-in serves");
    });
    let took = wait_for_version(&entry, 1).await;
    expect_that!(took, lt(MAX_DISCOVERY_TIME));
    entry.stop().await;
    task.abort();
}

/// Guards against an upgrade in which a new entry host gets no document from
/// control hosts of the former build.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn control_hosts_of_the_former_build_are_understood() {
    let (control, address, task) = StandinControl::start(Build::Former).await;
    control.publish(document(1, 0..3));
    let entry = start_entry(&[address]).await;
    wait_for_version(&entry, 1).await;
    control.publish(document(2, 0..4));
    wait_for_version(&entry, 2).await;
    entry.stop().await;
    task.abort();
}

fn registration(host: u8) -> EntryRegistration {
    let address = SocketAddr::from(([127, 0, 0, host], 1));
    EntryRegistration {
        host: PeerInfo {
            host_id: format!("entry-{host}"),
            address,
            failure_domain: "fd-a".into(),
        },
        report_address: address,
        owned: 0,
        draining: false,
    }
}

async fn register(link: &Link, host: u8, known: Option<MembershipVersion>) -> MembershipUpdate {
    let request = Request::RegisterSince(registration(host), known);
    match link.call(&request, TIMEOUT).await {
        Ok(RequestAnswer::RegisteredSince(update)) => update,
        answer => panic!("the registration is answered with {answer:?}"),
    }
}

fn joined(update: &MembershipUpdate) -> Vec<String> {
    let hosts = update.joined.iter();
    hosts.map(|host| host.host_id.clone()).collect()
}

/// Guards against answers that grow with the number of hosts although nothing
/// has changed, and against a host that misses a change.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_registration_is_answered_with_what_has_changed() {
    let folder = tempfile::tempdir().expect("a folder for data");
    let options = fleet_control_options(&folder);
    let address = options.link_listen;
    let control = ControlHost::start(options).await.expect("a control host");
    let link = Link::new(address, LinkOptions::default());
    let first = register(&link, 1, None).await;
    expect_that!(first.is_whole, eq(true));
    expect_that!(joined(&first), elements_are![eq("entry-1")]);
    let second = register(&link, 2, None).await;
    expect_that!(joined(&second), elements_are![eq("entry-1"), eq("entry-2")]);
    let change = register(&link, 1, Some(first.version)).await;
    expect_that!(change.is_whole, eq(false));
    expect_that!(joined(&change), elements_are![eq("entry-2")]);
    let nothing = register(&link, 1, Some(change.version)).await;
    expect_that!(nothing.joined.len() + nothing.left.len(), eq(0));
    expect_that!(nothing.version, eq(change.version));
    // Entry host 2 does not register again and is removed.
    let mut left = nothing;
    let deadline = Instant::now() + TIMEOUT;
    while left.left.is_empty() && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(200)).await;
        left = register(&link, 1, Some(change.version)).await;
    }
    expect_that!(left.left, elements_are![eq("entry-2")]);
    let unknown = MembershipVersion {
        epoch: change.version.epoch ^ 1,
        ..change.version
    };
    let whole = register(&link, 1, Some(unknown)).await;
    expect_that!(whole.is_whole, eq(true));
    expect_that!(joined(&whole), elements_are![eq("entry-1")]);
    control.stop().await;
}
