//! Test harness: daemons as separate processes, and the requests that tests send
//! to them.
#![allow(dead_code)] // Justification: each test file uses a part of it.

pub mod fleet;
pub mod history;
pub mod recorder;
pub mod relay;
pub mod requests;
pub mod site;

use std::fs::OpenOptions;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use hornbeam_http::{ClientOptions, HttpClient, Reply};
use relay::Relay;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tempfile::TempDir;

/// Credential of operators in tests.
const OPERATOR_CREDENTIAL: &str = "operator-secret";
/// Timeout for every wait in a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// `Daemon` is one process of the built binary.
pub struct Daemon {
    /// Id of the host.
    pub host_id: String,
    /// HTTP address.
    pub http: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: String,
    flags: Vec<String>,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    /// Kills the process, as a crash would.
    pub fn kill(&mut self) {
        // Fails only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(status.expect("the kill command").success());
    }

    /// Restarts the exited process with one flag changed.
    pub fn restart_with(&mut self, flag: &str, value: &str) {
        let index = self.flags.iter().position(|known| known == flag);
        self.flags[index.expect("a known flag") + 1] = value.into();
        self.child = spawn_process(&self.flags, &self.log);
    }

    /// Waits until the process exits; fails the test after [`WAIT_TIMEOUT`].
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        self.wait_for_exit_within(WAIT_TIMEOUT).await
    }

    /// Waits until the process exits; fails the test after `limit`.
    pub async fn wait_for_exit_within(&mut self, limit: Duration) -> ExitStatus {
        let waiting = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("a child to wait for") {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let exited = tokio::time::timeout(limit, waiting).await;
        exited.expect("the process did not exit in time")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// `Layout` lists the processes of a system.
pub struct Layout {
    /// Failure domain of each control host, for network partitions.
    pub controls: Vec<&'static str>,
    /// Failure domain of each entry host.
    pub entries: Vec<&'static str>,
    /// Whether every link between two hosts passes through a relay.
    pub relayed: bool,
}

impl Layout {
    /// Builds a layout of one control host, and one entry host in each given
    /// failure domain.
    pub fn small(entries: &[&'static str]) -> Self {
        Self {
            controls: vec!["fd-a"],
            entries: entries.to_vec(),
            relayed: false,
        }
    }
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            controls: vec!["fd-a", "fd-a", "fd-b"],
            entries: vec!["fd-a", "fd-a", "fd-b", "fd-b"],
            relayed: false,
        }
    }
}

/// `LinkRelay` is the relay on the link from one host to another.
pub struct LinkRelay {
    /// Failure domain of the connecting host.
    pub from: &'static str,
    /// Failure domain of the target host.
    pub to: &'static str,
    /// The relay.
    pub relay: Relay,
}

/// `Processes` is a system of daemons, each in a separate process.
pub struct Processes {
    /// Control hosts.
    pub controls: Vec<Daemon>,
    /// Entry hosts.
    pub entries: Vec<Daemon>,
    /// Relays on the links between the hosts.
    pub relays: Vec<LinkRelay>,
    /// Client that sends the operators' credential.
    pub client: HttpClient,
    folder: TempDir,
}

impl Processes {
    /// Starts 3 control hosts, and 2 entry hosts in each of 2 failure domains.
    pub fn start() -> Self {
        Self::start_with_layout(&Layout::default())
    }

    /// Starts the processes of a layout.
    pub fn start_with_layout(layout: &Layout) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let secret = |name: &str, text: &str| {
            let path = folder.path().join(name);
            std::fs::write(&path, text).expect("a written secret");
            path.display().to_string()
        };
        let common = vec![
            (
                "--link-credential-file",
                secret("link.secret", "link-secret"),
            ),
            (
                "--operator-credential-file",
                secret("operator.secret", OPERATOR_CREDENTIAL),
            ),
            ("--log-format", "json".into()),
        ];
        let options = ClientOptions {
            credential: Some(OPERATOR_CREDENTIAL.into()),
            max_connections_per_address: 4_096,
            ..ClientOptions::default()
        };
        let mut system = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            relays: Vec::new(),
            client: HttpClient::new(options).expect("a client"),
            folder,
        };
        let locations = |domains: &[&'static str]| -> Vec<HostLocation> {
            let location = |domain: &&'static str| HostLocation {
                domain,
                link: free_address(),
            };
            domains.iter().map(location).collect()
        };
        let (controls, entries) = (locations(&layout.controls), locations(&layout.entries));
        for index in 0..controls.len() {
            let mut flags = common.clone();
            let hosts = system.control_hosts(&controls, controls[index], layout.relayed);
            let data = system.data_folder(index);
            flags.extend([
                ("--control-hosts", hosts),
                ("--role", "control".into()),
                ("--replica-id", (index + 1).to_string()),
                ("--new-group", "yes".into()),
                ("--data-folder", data.display().to_string()),
            ]);
            let host_id = format!("control-{index}");
            let daemon = start_daemon(system.folder.path(), &host_id, controls[index], &flags);
            system.controls.push(daemon);
        }
        for (index, location) in entries.iter().enumerate() {
            let mut flags = common.clone();
            let hosts = system.control_hosts(&controls, *location, layout.relayed);
            let others = entries.iter().filter(|other| other.link != location.link);
            let peers: Vec<_> = others
                .map(|other| {
                    system
                        .link_address(*location, *other, layout.relayed)
                        .to_string()
                })
                .collect();
            flags.extend([
                ("--control-hosts", hosts),
                ("--role", "entry".into()),
                ("--failure-domain", location.domain.into()),
                ("--peers", peers.join(",")),
                ("--seed", index.to_string()),
            ]);
            let daemon = start_daemon(
                system.folder.path(),
                &format!("entry-{index}"),
                *location,
                &flags,
            );
            system.entries.push(daemon);
        }
        system
    }

    /// Gets the data folder of a control host.
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("data-{index}"))
    }

    /// Gets the address by which one host reaches another; starts a relay if
    /// the layout has them.
    fn link_address(&mut self, from: HostLocation, to: HostLocation, relayed: bool) -> SocketAddr {
        if !relayed || from.link == to.link {
            return to.link;
        }
        let relay = Relay::start(to.link);
        let address = relay.address();
        self.relays.push(LinkRelay {
            from: from.domain,
            to: to.domain,
            relay,
        });
        address
    }

    fn control_hosts(
        &mut self,
        controls: &[HostLocation],
        from: HostLocation,
        relayed: bool,
    ) -> String {
        let hosts = controls.iter().enumerate();
        let hosts: Vec<_> = hosts
            .map(|(index, to)| format!("{}={}", index + 1, self.link_address(from, *to, relayed)))
            .collect();
        hosts.join(",")
    }

    /// Waits until a host reports that it is ready.
    pub async fn wait_ready(&self, address: SocketAddr) {
        let is_ready = async || {
            let reply = self.client.get_text(address, "/readyz", WAIT_TIMEOUT).await;
            reply.is_ok_and(|reply| reply.status == 200)
        };
        wait_until("readiness", is_ready).await;
    }

    /// Sends a request; fails the test if it is not answered.
    pub async fn post<Q, A>(&self, address: SocketAddr, path: &str, body: &Q) -> Reply<A>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let reply = self.client.post(address, path, body, WAIT_TIMEOUT).await;
        reply.expect("an answer")
    }
}

/// `HostLocation` is the failure domain and the link address of a host.
#[derive(Clone, Copy)]
struct HostLocation {
    domain: &'static str,
    link: SocketAddr,
}

/// Waits until a condition holds; fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    waited.unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}

/// Starts one daemon; its log goes to a file in the folder.
fn start_daemon(
    folder: &Path,
    host_id: &str,
    location: HostLocation,
    settings: &[(&str, String)],
) -> Daemon {
    let http = free_address();
    let log = folder.join(format!("{host_id}.log"));
    let own = [
        ("--host-id", host_id.to_owned()),
        ("--http-listen", http.to_string()),
        ("--link-listen", location.link.to_string()),
    ];
    let settings = own.iter().chain(settings);
    let flags: Vec<String> = settings
        .flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()])
        .collect();
    Daemon {
        host_id: host_id.into(),
        http,
        failure_domain: location.domain.into(),
        child: spawn_process(&flags, &log),
        flags,
        log,
    }
}

fn spawn_process(flags: &[String], log: &Path) -> Child {
    let log = OpenOptions::new().create(true).append(true).open(log);
    Command::new(env!("CARGO_BIN_EXE_hornbeamd"))
        .args(flags)
        .stdin(Stdio::null())
        .stderr(Stdio::from(log.expect("a log file")))
        .spawn()
        .expect("a started process")
}

/// Gets an address that nothing listens on.
pub fn free_address() -> SocketAddr {
    free_listener().local_addr().expect("a bound address")
}

/// Listens on a free address. Its IP address is derived from the process id, so
/// that tests in other processes and outgoing connections, which use 127.0.0.1,
/// do not take the port. Code in this process must use the listener itself:
/// a child of another test between fork and exec holds a copy of every socket,
/// so binding the address a second time can fail.
pub fn free_listener() -> TcpListener {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    let ip = IpAddr::V4(Ipv4Addr::new(127, 128 | (high & 63), low, last.max(1)));
    TcpListener::bind((ip, 0)).expect("a free port")
}
