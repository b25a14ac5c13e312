//! The project's own programs as separate processes on loopback addresses, with
//! the commands and the settings of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

const FRONT_PORT: u16 = 8161;
const CONTROL_PORT: u16 = 8166;
const READY_PORT: u16 = 8167;
const FIRST_PORT: u16 = 7720;
const LAST_PORT: u16 = 7735;
const WORKER_PORT: u16 = 8080;

/// Host name and path of the queue.
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
pub const SERVICE: &str = "huvo11a";

pub struct System {
    folder: PathBuf,
    network: [u8; 3],
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
}

pub struct Process {
    pub name: String,
    role: &'static str,
    class: &'static str,
    zone: String,
    ip: Ipv4Addr,
    child: Option<Child>,
}

impl System {
    /// Starts the processes, one entry host or control host for each zone named.
    pub fn start(control_zones: &[&str], entry_zones: &[&str], record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut system = Self {
            folder,
            network: free_network(control_zones.len() + entry_zones.len()),
            controls: Vec::new(),
            entries: Vec::new(),
        };
        let mut host = 0;
        for zone in control_zones {
            host += 1;
            let process = system.process("control", "core", host, zone);
            system.controls.push(process);
        }
        for zone in entry_zones {
            host += 1;
            let process = system.process("entry", "edge", host, zone);
            system.entries.push(process);
        }
        let seeds: Vec<String> = system
            .control_addresses()
            .iter()
            .map(|at| format!("\"{at}\""))
            .collect();
        let seeds = seeds[..seeds.len().min(3)].join(", ");
        let folder = system.folder.clone();
        for process in system.controls.iter_mut().chain(&mut system.entries) {
            process.start(&folder, &seeds);
            record.line(format!("start  {} in {}", process.name, process.zone));
        }
        system
    }

    fn process(&self, role: &'static str, class: &'static str, host: u8, zone: &str) -> Process {
        let [a, b, c] = self.network;
        Process {
            name: format!("{class}-{zone}-{host}"),
            role,
            class,
            zone: zone.to_owned(),
            ip: Ipv4Addr::new(a, b, c, host),
            child: None,
        }
    }

    pub fn worker_address(&self, index: u8) -> SocketAddr {
        let [a, b, c] = self.network;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, 100 + index)), WORKER_PORT)
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let ips = self.controls.iter().map(|process| process.ip);
        ips.map(|ip| SocketAddr::new(ip.into(), CONTROL_PORT))
            .collect()
    }

    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        let ips = self.entries.iter().map(|process| process.ip);
        ips.map(|ip| SocketAddr::new(ip.into(), FRONT_PORT))
            .collect()
    }

    /// Gets the name of the machine at an address.
    pub fn name_of(&self, address: SocketAddr) -> String {
        let mut all = self.controls.iter().chain(&self.entries);
        let found = all.find(|process| IpAddr::V4(process.ip) == address.ip());
        found.map_or_else(|| address.to_string(), |process| process.name.clone())
    }

    /// Publishes the configuration until it is acknowledged.
    pub fn publish(&self, record: &Record) -> bool {
        let body = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-wrr6x73\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\
             \"type\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":0,\"service\":\"{SERVICE}\",\
             \"attempts\":4,\"stretch\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\
             \"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":true,\"standby\":false}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        );
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            for control in self.control_addresses() {
                let text =
                    http::request("POST", &control.to_string(), "/config/replace", "", &body);
                let answer = http::call(control, &text, Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    record.line("config version 7 is acknowledged");
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until every entry host reports itself ready.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut waiting: Vec<SocketAddr> = self
            .entries
            .iter()
            .map(|process| SocketAddr::new(process.ip.into(), READY_PORT))
            .collect();
        while Instant::now() < deadline {
            waiting.retain(|address| {
                let text = http::request("GET", &address.to_string(), "/readiness", "", "");
                let answer = http::call(*address, &text, Duration::from_millis(500));
                !answer.is_ok_and(|answer| answer.status() == 200)
            });
            if waiting.is_empty() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        let mut all = self.controls.iter_mut().chain(&mut self.entries);
        all.all(|process| {
            let child = process.child.as_mut();
            child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        })
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in self.controls.iter_mut().chain(&mut self.entries) {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }
}

impl Process {
    /// Fills in `deploy/settings.toml` as the platform does, and starts the
    /// command of the deploy file.
    fn start(&mut self, folder: &std::path::Path, seeds: &str) {
        let data = folder.join(format!("{}-data", self.name));
        let ip = self.ip;
        let mut settings = format!(
            "[host]\nid = \"{}\"\nfailure_domain = \"{}\"\naddress = \"{ip}\"\nfirst_port = {FIRST_PORT}\n\
             last_port = {LAST_PORT}\nfirst_start = true\ncontrol_hosts = [{seeds}]\n",
            self.name, self.zone
        );
        if self.class == "core" {
            fs::create_dir_all(&data).expect("a data folder");
            settings += &format!("data_folder = \"{}\"\n[listen]\n", data.display());
            settings += &format!("operators = \"{ip}:{CONTROL_PORT}\"\n");
        } else {
            settings += &format!(
                "[listen]\ncallers = \"{ip}:{FRONT_PORT}\"\nreadiness = \"{ip}:{READY_PORT}\"\n"
            );
        }
        settings += "[terms]\nmax_lease_ms = 1000\nstop_ms = 50\nlosses_borne = 1\n";
        let path = folder.join(format!("{}.toml", self.name));
        fs::write(&path, settings).expect("a settings file");
        let log = File::create(folder.join(format!("{}.log", self.name))).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new("target/release/hornbeamd");
        command
            .args(["--role", &format!("fleet-{}", self.role), "--settings-file"])
            .arg(&path)
            .args(["--log-format", "json"])
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // SAFETY: `prctl` is async-signal-safe and touches no memory of this
        // process.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn();
        self.child = Some(child.expect("target/release/hornbeamd starts"));
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Lets the process be killed when this one ends, however that happens.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: std::ffi::c_ulong = 9;
    // SAFETY: the option takes one argument, the number of a signal.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Finds a network of loopback addresses on which all ports are free.
fn free_network(hosts: usize) -> [u8; 3] {
    let process = std::process::id();
    for step in 0..200_u32 {
        let mixed = process.wrapping_mul(31).wrapping_add(step * 7919);
        let network = [127, 20 + (mixed % 200) as u8, (mixed / 200 % 250) as u8];
        let [a, b, c] = network;
        let is_free =
            |host: u8, port: u16| TcpListener::bind((Ipv4Addr::new(a, b, c, host), port)).is_ok();
        let ports = [
            FRONT_PORT,
            CONTROL_PORT,
            READY_PORT,
            FIRST_PORT,
            FIRST_PORT + 1,
            LAST_PORT,
        ];
        let hosts_free =
            (1..=hosts as u8).all(|host| ports.iter().all(|port| is_free(host, *port)));
        if hosts_free && (100..120).all(|host| is_free(host, WORKER_PORT)) {
            return network;
        }
    }
    panic!("no free loopback addresses");
}
