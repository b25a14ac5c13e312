//! Separate daemon processes and the requests that a test sends to them.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use hornbeam_http::{ClientOptions, HttpClient, Reply};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tempfile::TempDir;

/// Credential of operators in tests.
const OPERATOR: &str = "operator-secret";
/// Longest wait for anything in a test.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// `Daemon` is one process of the built binary.
pub struct Daemon {
    /// Its HTTP address.
    pub http: SocketAddr,
    /// Its failure domain; empty for a control host.
    pub failure_domain: String,
    child: Child,
}

impl Daemon {
    /// Ends the process at once, as a crash would.
    pub fn kill(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status();
        assert!(status.expect("the kill command").success());
    }

    /// Waits until the process ends.
    pub async fn ended(&mut self) -> ExitStatus {
        for _ in 0..1_000 {
            if let Some(status) = self.child.try_wait().expect("a child to wait for") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the process did not end in time");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// `Processes` is a system of daemons, each a process of its own.
pub struct Processes {
    /// Control hosts.
    pub controls: Vec<Daemon>,
    /// Entry hosts.
    pub entries: Vec<Daemon>,
    /// Sends requests with the operators' credential.
    pub client: HttpClient,
    _folder: TempDir,
}

impl Processes {
    /// Starts 3 control hosts, and 2 entry hosts in each of 2 failure domains.
    pub fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let secret = |name: &str, text: &str| {
            let path = folder.path().join(name);
            std::fs::write(&path, text).expect("a written secret");
            path.display().to_string()
        };
        let link_secret = secret("link.secret", "link-secret");
        let operator_secret = secret("operator.secret", OPERATOR);
        let control_links: Vec<_> = (1..=3).map(|_| free_address()).collect();
        let entry_links: Vec<_> = (0..4).map(|_| free_address()).collect();
        let hosts = control_links.iter().enumerate();
        let hosts: Vec<_> = hosts
            .map(|(at, link)| format!("{}={link}", at + 1))
            .collect();
        let common = [
            ("--control-hosts", hosts.join(",")),
            ("--link-credential-file", link_secret),
            ("--operator-credential-file", operator_secret),
            ("--log-format", "json".into()),
        ];
        let control = |(at, link): (usize, &SocketAddr)| {
            let data = folder.path().join(format!("data-{at}"));
            let own = [
                ("--role", "control".into()),
                ("--replica-id", (at + 1).to_string()),
                ("--new-group", "yes".into()),
                ("--data-folder", data.display().to_string()),
            ];
            spawn(
                folder.path(),
                &format!("control-{at}"),
                *link,
                "",
                &common,
                &own,
            )
        };
        let peers: Vec<_> = entry_links.iter().map(SocketAddr::to_string).collect();
        let entry = |(at, link): (usize, &SocketAddr)| {
            let domain = if at < 2 { "fd-a" } else { "fd-b" };
            let own = [
                ("--role", "entry".into()),
                ("--failure-domain", domain.into()),
                ("--peers", peers.join(",")),
                ("--seed", at.to_string()),
            ];
            spawn(
                folder.path(),
                &format!("entry-{at}"),
                *link,
                domain,
                &common,
                &own,
            )
        };
        let options = ClientOptions {
            credential: Some(OPERATOR.into()),
            ..ClientOptions::default()
        };
        Self {
            controls: control_links.iter().enumerate().map(control).collect(),
            entries: entry_links.iter().enumerate().map(entry).collect(),
            client: HttpClient::new(options).expect("a client"),
            _folder: folder,
        }
    }

    /// Waits until a host says that it is ready.
    pub async fn wait_ready(&self, address: SocketAddr) {
        let asking = async || {
            let reply = self.client.get_text(address, "/readyz", PATIENCE).await;
            reply.is_ok_and(|reply| reply.status == 200)
        };
        until("readiness", asking).await;
    }

    /// Sends a request that must be answered.
    pub async fn post<Q, A>(&self, address: SocketAddr, path: &str, body: &Q) -> Reply<A>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let reply = self.client.post(address, path, body, PATIENCE).await;
        reply.expect("an answer")
    }
}

/// Waits until a condition holds; fails the test if it does not in time.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    waited.unwrap_or_else(|_| panic!("{what} did not come in time"));
}

/// Starts one process; its log goes to a file in the folder.
fn spawn(
    folder: &Path,
    host_id: &str,
    link: SocketAddr,
    failure_domain: &str,
    common: &[(&str, String)],
    own: &[(&str, String)],
) -> Daemon {
    let http = free_address();
    let log = File::create(folder.join(format!("{host_id}.log"))).expect("a log file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_hornbeamd"));
    command
        .args(["--host-id", host_id])
        .args(["--http-listen", &http.to_string()])
        .args(["--link-listen", &link.to_string()])
        .stdin(Stdio::null())
        .stderr(Stdio::from(log));
    for (flag, value) in common.iter().chain(own) {
        command.args([*flag, value.as_str()]);
    }
    Daemon {
        http,
        failure_domain: failure_domain.into(),
        child: command.spawn().expect("a started process"),
    }
}

/// Gets an address that nothing listens on. Its IP address is derived from the
/// process id, so tests in other processes and outgoing connections, which use
/// 127.0.0.1, do not take the port before it is bound.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    let ip = IpAddr::V4(Ipv4Addr::new(127, 128 | (high & 63), low, last.max(1)));
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("a bound address")
}
