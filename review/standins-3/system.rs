//! The processes of the system, started with the commands of the deploy file, and
//! the record of a run.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{self, Message};

const FIRST_PORT: u16 = 7720;
const LAST_PORT: u16 = 7735;
const CALLERS_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const OPERATORS_PORT: u16 = 8166;

/// Bounds of the small deployment, in ms (`DEPLOY.md`, `SYSTEM.md`).
pub const OPERATOR_TIMEOUT: Duration = Duration::from_millis(1000);

/// `Record` writes what was sent, answered and run to `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{:>7} {text}", self.ms());
    }
}

/// `Host` is one process of the system.
pub struct Host {
    pub name: String,
    pub ip: String,
    pub zone: String,
    is_control: bool,
    child: Option<Child>,
}

/// `System` is a set of control hosts and entry hosts.
pub struct System {
    pub folder: PathBuf,
    pub network: String,
    pub hosts: Vec<Host>,
    controls: usize,
    losses_borne: u32,
    pub record: Record,
}

impl System {
    pub fn new(controls: usize, losses_borne: u32, record: &Record) -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let network = format!("127.{}.{}", 20 + pid / 251 % 200, pid % 251);
        Self {
            folder,
            network,
            hosts: Vec::new(),
            controls,
            losses_borne,
            record: record.clone(),
        }
    }

    /// Adds a host; control hosts come first.
    pub fn add(&mut self, zone: &str) -> usize {
        let index = self.hosts.len();
        let is_control = index < self.controls;
        let kind = if is_control { "core" } else { "edge" };
        self.hosts.push(Host {
            name: format!("{kind}-{zone}-{index}"),
            ip: format!("{}.{}", self.network, index + 1),
            zone: zone.to_owned(),
            is_control,
            child: None,
        });
        index
    }

    fn address(&self, ip: &str, port: u16) -> SocketAddr {
        format!("{ip}:{port}").parse().expect("an address")
    }

    pub fn worker_address(&self, index: usize) -> SocketAddr {
        self.address(&format!("{}.{}", self.network, 101 + index), 8080)
    }

    pub fn operators(&self, index: usize) -> SocketAddr {
        self.address(&self.hosts[index].ip, OPERATORS_PORT)
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.address(&self.hosts[index].ip, CALLERS_PORT)
    }

    pub fn all_operators(&self) -> Vec<SocketAddr> {
        (0..self.controls)
            .map(|index| self.operators(index))
            .collect()
    }

    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.join(format!("data-{index}"))
    }

    fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("log-{index}.txt"))
    }

    /// Starts a process with the command of `deploy/system.toml` and a settings file
    /// as `deploy/settings.toml` makes it.
    pub fn start(&mut self, index: usize, first_start: bool) {
        let host = &self.hosts[index];
        let seeds: Vec<String> = self
            .all_operators()
            .iter()
            .take(3)
            .map(|at| format!("\"{at}\""))
            .collect();
        let listen = if host.is_control {
            format!("operators = \"{}:{OPERATORS_PORT}\"\n", host.ip)
        } else {
            format!(
                "callers = \"{0}:{CALLERS_PORT}\"\nreadiness = \"{0}:{READY_PORT}\"\n",
                host.ip
            )
        };
        let data = if host.is_control {
            format!("data_folder = \"{}\"\n", self.data_folder(index).display())
        } else {
            String::new()
        };
        let settings = format!(
            "[host]\nid = \"{}\"\nfailure_domain = \"{}\"\naddress = \"{}\"\nfirst_port = {FIRST_PORT}\nlast_port = {LAST_PORT}\nfirst_start = {first_start}\ncontrol_hosts = [{}]\n{data}[listen]\n{listen}[terms]\nmax_lease_ms = 1000\nstop_ms = 50\nlosses_borne = {}\n[scheduling]\npace = true\nfair_admission = false\n",
            host.name,
            host.zone,
            host.ip,
            seeds.join(", "),
            self.losses_borne
        );
        let path = self.folder.join(format!("settings-{index}.toml"));
        fs::write(&path, settings).expect("a settings file");
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path(index))
            .expect("a log");
        let role = if host.is_control {
            "fleet-control"
        } else {
            "fleet-entry"
        };
        let mut command = Command::new("target/release/hornbeamd");
        command
            .args(["--role", role, "--settings-file"])
            .arg(&path)
            .args(["--log-format", "json"])
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        net::end_with_parent(&mut command);
        let child = command.spawn().expect("target/release/hornbeamd starts");
        self.record.write(&format!(
            "start {} pid {} first_start {first_start}",
            host.name,
            child.id()
        ));
        self.hosts[index].child = Some(child);
    }

    pub fn pid(&self, index: usize) -> u32 {
        self.hosts[index].child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, index: usize, signal: i32) {
        if self.hosts[index].child.is_some() {
            net::signal(self.pid(index), signal);
        }
    }

    /// Kills a process by SIGKILL and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.hosts[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .write(&format!("SIGKILL {}", self.hosts[index].name));
        }
    }

    /// Empties the disk of a host whose process has ended.
    pub fn wipe(&mut self, index: usize) {
        let _ = fs::remove_dir_all(self.data_folder(index));
        self.record
            .write(&format!("{} has lost its disk", self.hosts[index].name));
    }

    /// Gets the lines of a log that contain a text.
    pub fn log_lines(&self, index: usize, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.log_path(index)).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }

    /// Publishes a configuration as an operator does: at one control host after the
    /// other until one acknowledges it.
    pub fn publish(&self, version: u64, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        let body = document(version);
        while Instant::now() < until {
            for to in self.all_operators() {
                let answer = net::call(to, "POST", "/config/replace", "", &body, OPERATOR_TIMEOUT);
                let status = answer.as_ref().map_or(0, Message::status);
                self.record.write(&format!(
                    "POST /config/replace version {version} at {to}: {}",
                    word(status)
                ));
                if status == 200 {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Reads the configuration at a control host; gets the status and the version.
    pub fn read(&self, index: usize) -> (u16, Option<u64>) {
        let to = self.operators(index);
        let answer = net::call(
            to,
            "GET",
            "/config/read",
            "",
            "",
            Duration::from_millis(2500),
        );
        let status = answer.as_ref().map_or(0, Message::status);
        let version = answer
            .ok()
            .and_then(|answer| answer.json()?.number("version"));
        self.record.write(&format!(
            "GET /config/read at {to}: {} version {version:?}",
            word(status)
        ));
        (status, version)
    }

    /// Ends all processes, stopped ones too.
    pub fn end(&mut self) {
        for index in 0..self.hosts.len() {
            self.signal(index, net::SIGCONT);
            self.kill(index);
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.end();
    }
}

pub fn word(status: u16) -> String {
    match status {
        0 => "no answer".to_owned(),
        status => status.to_string(),
    }
}

/// Name of the only service.
pub const SERVICE: &str = "subscribe";

/// Builds a configuration with one queue at `orders.example/orders/`.
pub fn document(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-orders\",\"hostname\":\"orders.example\",\"pathPrefix\":\"/orders/\",\"type\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":0,\"service\":\"{SERVICE}\",\"attempts\":4,\"stretch\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":true,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}
