//! Hosts of one system in the test's process, connected by loopback sockets.

// Justification: each test binary uses a part of this module.
#![allow(dead_code)]

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use hornbeam_control::{RepairOptions, ReplicaOptions};
use hornbeam_core::api::backend::Announcement;
use hornbeam_core::api::caller::{SubmitAnswer, SubmitRequest, TaskSpec};
use hornbeam_core::api::operator::{
    ChangeContent, ChangeOutcome, ChangeRequest, CheckRequest, ControlStatus, EntryStatus,
    SourceFile,
};
use hornbeam_core::ids::ReplicaId;
use hornbeam_dispatch::DispatchOptions;
use hornbeam_http::{ClientOptions, HttpClient, Reply};
use hornbeam_node::{
    ControlHost, ControlOptions, EntryHost, EntryOptions, FleetControlOptions, Host,
};
use hornbeam_standin::{FaultPlan, StandinOptions, StandinServer};
use tempfile::TempDir;

/// Credential of operators in tests.
pub const OPERATOR: &str = "operator-secret";
/// Timeout of every wait in a test.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a job body in tests.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Limit on the bytes of all job bodies at an entry host in tests.
pub const MAX_TOTAL_BODY_BYTES: usize = 1 << 20;

const BASE: &str = r#"
site = "test"
failure_domains = ["fd-a", "fd-b"]
entry_hosts = 2

[services.subscribe]
institution = "dala"

[institutions.dala.teams.feed]
"#;

/// `System` is a set of control hosts and entry hosts.
pub struct System {
    /// Control hosts; a test may remove them.
    pub controls: Vec<ControlHost>,
    /// Entry hosts.
    pub entries: Vec<EntryHost>,
    /// Sends requests with the operators' credential.
    pub client: HttpClient,
    control_addresses: Vec<(ReplicaId, SocketAddr)>,
    /// Data folders of the control hosts.
    pub folders: Vec<TempDir>,
}

impl System {
    /// Starts hosts that are connected and puts a configuration in force.
    pub async fn start(controls: u64, entries: usize) -> Self {
        Self::start_with_isolated(controls, entries, 0).await
    }

    /// Like [`System::start`], with additional entry hosts that reach no control
    /// host; they are the last ones.
    pub async fn start_with_isolated(controls: u64, entries: usize, isolated: usize) -> Self {
        let mut system = Self::start_control(controls).await;
        system.start_entries(entries, isolated).await;
        let outcome = system.decide("first", 0, "").await;
        assert_eq!(outcome, ChangeOutcome::Accepted { version: 1 });
        for entry in &system.entries {
            system.wait_for_version(entry, 1).await;
        }
        system
    }

    async fn start_control(count: u64) -> Self {
        let addresses: Vec<_> = (1..=count).map(|id| (id, free_address())).collect();
        let mut controls = Vec::new();
        let mut folders = Vec::new();
        for (id, _) in &addresses {
            let folder = tempfile::tempdir().expect("a folder for data");
            let options = control_options(*id, &addresses, &folder);
            controls.push(ControlHost::start(options).await.expect("a control host"));
            folders.push(folder);
        }
        let client = ClientOptions {
            credential: Some(OPERATOR.into()),
            ..ClientOptions::default()
        };
        Self {
            controls,
            entries: Vec::new(),
            client: HttpClient::new(client).expect("a client"),
            control_addresses: addresses,
            folders,
        }
    }

    async fn start_entries(&mut self, connected: usize, isolated: usize) {
        let addresses: Vec<_> = (0..connected + isolated).map(|_| free_address()).collect();
        for (index, address) in addresses.iter().enumerate() {
            let others = addresses.iter().filter(|other| *other != address);
            let control_hosts = self.control_addresses.iter().filter(|_| index < connected);
            let options = EntryOptions {
                dispatch: DispatchOptions {
                    host_id: format!("entry-{index}"),
                    failure_domain: "fd-a".into(),
                    seed: index as u64,
                    ..DispatchOptions::default()
                },
                http_listen: free_address(),
                link_listen: *address,
                peers: others.copied().collect(),
                control_hosts: control_hosts.copied().collect(),
                link_credential: Some("link-secret".into()),
                operator_credential: Some(OPERATOR.into()),
                max_body_bytes: MAX_BODY_BYTES,
                max_total_body_bytes: MAX_TOTAL_BODY_BYTES,
                ..EntryOptions::default()
            };
            let entry = EntryHost::start(options).await.expect("an entry host");
            self.entries.push(entry);
        }
    }

    /// Restarts a control host with an empty data folder as a host that joins
    /// the group.
    pub async fn replace_disk(&mut self, at: usize) {
        let (id, _) = self.control_addresses[at];
        self.controls.remove(at).stop().await;
        let folder = tempfile::tempdir().expect("a folder for data");
        let mut options = control_options(id, &self.control_addresses, &folder);
        options.new_group = false;
        let control = ControlHost::start(options).await.expect("a control host");
        self.controls.insert(at, control);
        self.folders[at] = folder;
    }

    /// Restarts a control host with an incomplete record at the end of its log.
    pub async fn append_torn_record(&mut self, at: usize) {
        let (id, _) = self.control_addresses[at];
        self.controls.remove(at).stop().await;
        let path = self.folders[at].path().join("log");
        let log = std::fs::OpenOptions::new().append(true).open(path);
        let mut log = log.expect("the log");
        log.write_all(&[1; 7]).expect("a written log");
        let options = control_options(id, &self.control_addresses, &self.folders[at]);
        let control = ControlHost::start(options).await.expect("a control host");
        self.controls.insert(at, control);
    }

    /// Gets the status of a control host.
    pub async fn control_status(&self, at: usize) -> ControlStatus {
        let address = self.controls[at].http_address();
        let reply = self.client.get(address, "/v1/status", TIMEOUT).await;
        reply.expect("a status").body
    }

    /// Starts a backend server of 4 slots that announces itself to an entry
    /// host, and waits until it is leased there.
    pub async fn start_server(&self, id: &str, entry: &EntryHost) -> StandinServer {
        let before = self.status(entry).await.servers;
        let options = StandinOptions {
            announcement: announcement(id),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entry_hosts: vec![entry.http_address()],
            latency: Duration::ZERO,
            faults: FaultPlan::default(),
            seed: 1,
        };
        let server = StandinServer::start(options).await.expect("a server");
        wait_until("a lease", async || {
            self.status(entry).await.servers > before
        })
        .await;
        server
    }

    /// Retries a change, as operators do, until it is decided. The change id
    /// makes it idempotent.
    pub async fn decide(&self, id: &str, expected_version: u64, overlay: &str) -> ChangeOutcome {
        let mut decided = None;
        wait_until("a decision on the change", async || {
            let outcome = self.change(id, expected_version, overlay).await;
            decided = is_decided(&outcome).then_some(outcome);
            decided.is_some()
        })
        .await;
        decided.expect("a decision")
    }

    /// Sends a change to the first control host.
    pub async fn change(&self, id: &str, expected_version: u64, overlay: &str) -> ChangeOutcome {
        let file = |name: &str, text: &str| SourceFile {
            name: name.into(),
            text: text.into(),
        };
        let request = ChangeRequest {
            expected_version,
            change_id: id.into(),
            operator: "aigerim".into(),
            reason: "test".into(),
            content: ChangeContent::Files(CheckRequest {
                base: file("base.toml", BASE),
                overlay: file("overlay.toml", overlay),
            }),
        };
        let address = self.controls[0].http_address();
        let path = "/v1/config/changes";
        let reply = self.client.post(address, path, &request, TIMEOUT).await;
        let reply: Reply<ChangeOutcome> = reply.expect("an answer to the change");
        reply.body
    }

    /// Submits a job to an entry host.
    pub async fn submit(&self, entry: &EntryHost, request: &SubmitRequest) -> Reply<SubmitAnswer> {
        submit_at(&self.client, entry.http_address(), request).await
    }

    /// Gets the status of an entry host.
    pub async fn status(&self, entry: &EntryHost) -> EntryStatus {
        let address = entry.http_address();
        let reply = self.client.get(address, "/v1/status", TIMEOUT).await;
        reply.expect("a status").body
    }

    /// Gets the value of a metric of an entry host, 0 if it is not exported.
    pub async fn metric(&self, entry: &EntryHost, name: &str) -> f64 {
        let address = entry.http_address();
        let reply = self.client.get_text(address, "/metrics", TIMEOUT).await;
        let text = reply.expect("metrics").body;
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0.0, |value| value.trim().parse().expect("a number"))
    }

    /// Waits until a version is in force on an entry host.
    pub async fn wait_for_version(&self, entry: &EntryHost, version: u64) {
        wait_until("a version in force", async || {
            self.status(entry).await.config_version >= version
        })
        .await;
    }

    /// Waits until all entry hosts know each other as peers.
    pub async fn wait_for_peers(&self) {
        for entry in &self.entries {
            wait_until("peers", async || {
                self.status(entry).await.peers.len() + 1 == self.entries.len()
            })
            .await;
        }
    }

    /// Stops everything and joins every task.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for control in self.controls {
            control.stop().await;
        }
    }
}

fn is_decided(outcome: &ChangeOutcome) -> bool {
    use ChangeOutcome::{Unavailable, Unknown};
    !matches!(outcome, Unavailable { .. } | Unknown { .. })
}

fn control_options(
    id: ReplicaId,
    addresses: &[(ReplicaId, SocketAddr)],
    folder: &TempDir,
) -> ControlOptions {
    let own = addresses.iter().find(|(other, _)| *other == id);
    let others = addresses.iter().filter(|(other, _)| *other != id);
    ControlOptions {
        host_id: format!("control-{id}"),
        replica: ReplicaOptions {
            id,
            initial_voters: addresses.iter().map(|(id, _)| *id).collect(),
            // Small, so that tests write snapshots as well.
            snapshot_entries: 8,
            seed: id,
            ..ReplicaOptions::default()
        },
        new_group: true,
        data_folder: folder.path().to_owned(),
        http_listen: free_address(),
        link_listen: own.expect("an address").1,
        peers: others.copied().collect(),
        link_credential: Some("link-secret".into()),
        operator_credential: Some(OPERATOR.into()),
        fleet: None,
    }
}

/// Gets the options of the only control host of a group that serves guarded
/// workers.
pub fn fleet_control_options(folder: &TempDir) -> ControlOptions {
    let link_listen = free_address();
    ControlOptions {
        http_listen: free_address(),
        link_credential: None,
        fleet: Some(FleetControlOptions {
            listen: free_address(),
            seeds: vec![link_listen],
            repair: RepairOptions::default(),
        }),
        ..control_options(1, &[(1, link_listen)], folder)
    }
}

/// Submits a job to an address.
pub async fn submit_at(
    client: &HttpClient,
    address: SocketAddr,
    request: &SubmitRequest,
) -> Reply<SubmitAnswer> {
    let reply = client.post(address, "/v1/jobs", request, TIMEOUT).await;
    reply.expect("an answer to the job")
}

/// Builds a repeatable job of equal tasks.
pub fn job(request_id: &str, tasks: usize, run_ms: u64) -> SubmitRequest {
    let task = TaskSpec {
        run_ms,
        ..TaskSpec::default()
    };
    SubmitRequest {
        request_id: request_id.into(),
        institution: "dala".into(),
        team: "feed".into(),
        service: "subscribe".into(),
        repeatable: true,
        timeout_ms: 5_000,
        valid_until_unix_ms: None,
        tasks: vec![task; tasks],
    }
}

/// Builds a job that must not run twice.
pub fn job_once(request_id: &str) -> SubmitRequest {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a clock after 1970");
    let valid_until = now + Duration::from_secs(60);
    SubmitRequest {
        repeatable: false,
        valid_until_unix_ms: Some(u64::try_from(valid_until.as_millis()).expect("a time")),
        timeout_ms: 2_000,
        ..job(request_id, 2, 5)
    }
}

/// Waits until a condition holds; fails the test at the timeout.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    waited.unwrap_or_else(|_| panic!("{what} did not come in time"));
}

fn announcement(id: &str) -> Announcement {
    Announcement {
        server_id: id.into(),
        incarnation: 1,
        grant: 1,
        address: String::new(),
        failure_domain: "fd-a".into(),
        rack: "rack-1".into(),
        worker_id: format!("worker-{id}"),
        service: "subscribe".into(),
        slots: 4,
        max_connections: 64,
        cpu_milli: 8_000,
        memory_mib: 8_192,
        accelerators: 0,
        shared: false,
    }
}

/// Gets an address that nothing listens on. Its IP address is derived from the
/// process id, so tests in other processes and outgoing connections, which use
/// 127.0.0.1, do not take the port before it is bound.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    let ip = IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), low, last.max(1)));
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("a bound address")
}
