//! `hornbeam standin`: runs stand-in backend servers in one process.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bpaf::{Parser, ShellComp, construct, long};
use eyre::{Result, WrapErr};
use hornbeam_core::api::backend::Announcement;
use hornbeam_standin::{FaultPlan, StandinOptions, StandinServer};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::MissedTickBehavior;

use crate::exit::Exit;
use crate::globals::{Globals, globals};
use crate::input::{id, number, unix_ms};
use crate::output;

/// Interval at which new start records are appended to the file.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Servers in one rack, as section 1 of docs/design.md states.
const SERVERS_PER_RACK: u32 = 6;

/// `Standin` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Standin {
    /// Settings of every command.
    pub(crate) globals: Globals,
    count: u32,
    shape: Shape,
    faults: FaultPlan,
    latency_us: u64,
    seed: u64,
    run_for_ms: Option<u64>,
    records: Option<PathBuf>,
}

/// `Shape` is what each stand-in announces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Shape {
    /// Start of the ids of the servers.
    pub(crate) name: String,
    /// Service of the servers.
    pub(crate) service: String,
    /// Failure domain of the servers.
    pub(crate) failure_domain: String,
    /// Task slots of a server.
    pub(crate) slots: u32,
    /// Connections that a server accepts.
    pub(crate) max_connections: u32,
    /// Processor capacity in thousandths of a core.
    pub(crate) cpu_milli: u32,
    /// Memory in MiB.
    pub(crate) memory_mib: u32,
    /// Accelerators.
    pub(crate) accelerators: u32,
    /// Whether a server announces itself to all entry hosts at once.
    pub(crate) shared: bool,
}

/// `AddressLine` is one stand-in as printed.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct AddressLine {
    server_id: String,
    address: SocketAddr,
}

/// `RecordLine` is one start of a task as written to the file.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct RecordLine<'a> {
    server_id: &'a str,
    job_id: &'a str,
    index: u32,
    at_us: u128,
}

/// `Running` is one started stand-in.
#[derive(Debug)]
pub(crate) struct Running {
    /// Its id.
    pub(crate) server_id: String,
    /// The server.
    pub(crate) server: StandinServer,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Standin> {
    let globals = globals();
    let count = number("count", "Number of stand-ins; default 1", 1_u32);
    let shape = shape();
    let faults = faults();
    let latency_us = number(
        "latency-us",
        "Delay of each direction of an exchange in microseconds; default 0",
        0_u64,
    );
    let seed = number("seed", "Seed of every random choice; default 0", 0_u64);
    let run_for_ms = long("run-for-ms")
        .help("Leave after this time in ms; by default on SIGINT or SIGTERM")
        .argument::<u64>("MS")
        .optional();
    let records = long("records")
        .help("File to which every start of a task is written as a line of JSON")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None })
        .optional();
    construct!(Standin {
        globals,
        count,
        shape,
        faults,
        latency_us,
        seed,
        run_for_ms,
        records
    })
    .to_options()
    .descr("Runs stand-in backend servers that announce themselves to the entry hosts")
    .footer(
        "Faults are probabilities from 0 to 1 per task or exchange.\n\n\
         Example:\n\n      hornbeam standin --entry 127.0.0.1:7000 --count 10 --service subscribe \
         --failure-domain almaty-a --records starts.jsonl",
    )
    .command("standin")
    .help("Run stand-in backend servers")
}

fn shape() -> impl Parser<Shape> {
    let name = long("name")
        .help("Start of the servers' ids; default standin")
        .argument::<String>("TEXT")
        .fallback("standin".into());
    let service = id("service", "Service of the servers");
    let failure_domain = id("failure-domain", "Failure domain of the servers");
    let slots = number("slots", "Task slots of a server; default 8", 8_u32);
    let max_connections = number(
        "max-connections",
        "Connections that a server accepts; default 64",
        64_u32,
    );
    let cpu_milli = number(
        "cpu-milli",
        "Processor capacity in thousandths of a core; default 16000",
        16_000_u32,
    );
    let memory_mib = number("memory-mib", "Memory in MiB; default 65536", 65_536_u32);
    let accelerators = number("accelerators", "Accelerators; default 0", 0_u32);
    let shared = long("shared")
        .help("Announce to all entry hosts at once, for the baseline placement policies")
        .switch();
    construct!(Shape {
        name,
        service,
        failure_domain,
        slots,
        max_connections,
        cpu_milli,
        memory_mib,
        accelerators,
        shared
    })
}

fn faults() -> impl Parser<FaultPlan> {
    let fail = share("fail", "Share of tasks that end with an error");
    let straggle = share("straggle", "Share of tasks that take ten times as long");
    let silent = share("silent", "Share of exchanges that get no answer");
    let close_before_start = share(
        "close-before-start",
        "Share of exchanges closed before their tasks start",
    );
    let close_after_run = share(
        "close-after-run",
        "Share of exchanges closed after their tasks ran",
    );
    let wrong_answer = share(
        "wrong-answer",
        "Share of exchanges answered for another job",
    );
    let stop = share("stop", "Share of tasks that the worker stops");
    construct!(FaultPlan {
        fail,
        straggle,
        silent,
        close_before_start,
        close_after_run,
        wrong_answer,
        stop
    })
}

fn share(name: &'static str, help: &'static str) -> impl Parser<f64> {
    number(name, help, 0.0).guard(
        |share: &f64| (0.0..=1.0).contains(share),
        "a share must be from 0 to 1",
    )
}

impl Standin {
    /// Runs the stand-ins until a signal or the given time.
    ///
    /// # Errors
    /// If no entry host is given, an address cannot be bound, or the file
    /// cannot be written.
    pub(crate) async fn run(self) -> Result<Exit> {
        self.globals.entry_api(Duration::ZERO)?;
        let mut records = Records::create(self.records.as_deref())?;
        let mut servers = Vec::new();
        for number in 0..self.count {
            let running = start(self.options(number)).await?;
            let line = AddressLine {
                server_id: running.server_id.clone(),
                address: running.server.address(),
            };
            output::result(self.globals.output, &line, |line| {
                format!("{} {}", line.server_id, line.address)
            })?;
            servers.push(running);
        }
        let written = self.record_until_end(&servers, &mut records).await;
        let written = written.and_then(|()| records.append(&servers));
        for running in servers {
            running.server.leave().await;
        }
        written.map(|()| Exit::Ok)
    }

    fn options(&self, number: u32) -> StandinOptions {
        StandinOptions {
            announcement: self.shape.announcement(number),
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            entry_hosts: self.globals.entry.0.clone(),
            latency: Duration::from_micros(self.latency_us),
            faults: self.faults.clone(),
            seed: self.seed.wrapping_add(number.into()),
        }
    }

    async fn record_until_end(&self, servers: &[Running], records: &mut Records) -> Result<()> {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut ticks = tokio::time::interval(RECORD_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let end = run_time(self.run_for_ms);
        tokio::pin!(end);
        loop {
            tokio::select! {
                _ = interrupt.recv() => return Ok(()),
                _ = terminate.recv() => return Ok(()),
                () = &mut end => return Ok(()),
                _ = ticks.tick() => records.append(servers)?,
            }
        }
    }
}

async fn run_time(run_for_ms: Option<u64>) {
    match run_for_ms {
        Some(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
        None => std::future::pending().await,
    }
}

impl Shape {
    /// Gets the announcement of one of several servers.
    pub(crate) fn announcement(&self, number: u32) -> Announcement {
        let Self { name, .. } = self;
        Announcement {
            server_id: format!("{name}-{number}"),
            // A later start has a larger number, as the interface requires.
            incarnation: unix_ms(),
            grant: 1,
            address: String::new(),
            failure_domain: self.failure_domain.clone(),
            rack: format!("{name}-rack-{}", number / SERVERS_PER_RACK),
            worker_id: format!("{name}-worker-{number}"),
            service: self.service.clone(),
            slots: self.slots,
            max_connections: self.max_connections,
            cpu_milli: self.cpu_milli,
            memory_mib: self.memory_mib,
            accelerators: self.accelerators,
            shared: self.shared,
        }
    }
}

/// Starts one stand-in.
///
/// # Errors
/// If its address cannot be bound.
pub(crate) async fn start(options: StandinOptions) -> Result<Running> {
    let server_id = options.announcement.server_id.clone();
    let server = StandinServer::start(options).await?;
    Ok(Running { server_id, server })
}

/// `Records` appends start records to a file, if there is one.
#[derive(Debug)]
struct Records {
    file: Option<BufWriter<File>>,
    written: Vec<usize>,
}

impl Records {
    fn create(path: Option<&Path>) -> Result<Self> {
        let create = |path: &Path| {
            File::create(path).wrap_err_with(|| format!("cannot write {}", path.display()))
        };
        Ok(Self {
            file: path.map(create).transpose()?.map(BufWriter::new),
            written: Vec::new(),
        })
    }

    /// Appends the starts that are new since the last call.
    fn append(&mut self, servers: &[Running]) -> Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        self.written.resize(servers.len(), 0);
        for (running, written) in servers.iter().zip(&mut self.written) {
            let starts = running.server.starts();
            for start in starts.iter().skip(*written) {
                let line = RecordLine {
                    server_id: &running.server_id,
                    job_id: &start.task.0,
                    index: start.task.1,
                    at_us: start.at.as_micros(),
                };
                writeln!(file, "{}", serde_json::to_string(&line)?)?;
            }
            *written = starts.len();
        }
        Ok(file.flush()?)
    }
}
