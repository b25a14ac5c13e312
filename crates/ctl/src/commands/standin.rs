//! `hornbeam standin`: runs stand-in backend servers in one process.

mod flags;
mod records;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Parser, ShellComp, construct, long};
use eyre::Result;
use hornbeam_standin::{FaultPlan, StandinOptions, StandinServer, StartRecord};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::exit::Exit;
use crate::globals::{GlobalOptions, globals};
use crate::input::argument_with_default;
use crate::output;

use flags::{faults, server_spec};
use records::StartRecordFile;

pub(crate) use flags::ServerSpec;

/// Interval at which new start records are appended to the record file.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// `Standin` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Standin {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    count: u32,
    server_spec: ServerSpec,
    faults: FaultPlan,
    latency_us: u64,
    seed: u64,
    run_for_ms: Option<u64>,
    records: Option<PathBuf>,
}

/// `AddressLine` is the printed id and address of one stand-in.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct AddressLine {
    server_id: String,
    address: SocketAddr,
}

/// `RunningStandin` is a started stand-in and its id.
#[derive(Debug)]
pub(crate) struct RunningStandin {
    /// Id of the server.
    pub(crate) server_id: String,
    /// The server.
    pub(crate) server: StandinServer,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Standin> {
    let globals = globals();
    let count = argument_with_default("count", "Number of stand-ins; default 1", 1_u32);
    let server_spec = server_spec();
    let faults = faults();
    let latency_us = argument_with_default(
        "latency-us",
        "Delay of each direction of an exchange in microseconds; default 0",
        0_u64,
    );
    let seed = argument_with_default("seed", "Seed of every random choice; default 0", 0_u64);
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
        server_spec,
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

impl Standin {
    /// Runs the stand-ins until a signal arrives or the run time has passed.
    ///
    /// # Errors
    /// If no entry host is given, an address cannot be bound, or the record file
    /// cannot be written.
    pub(crate) async fn run(self) -> Result<Exit> {
        self.globals.entry_api(Duration::ZERO)?;
        let mut records = StartRecordFile::create(self.records.as_deref())?;
        let mut servers = Vec::new();
        for index in 0..self.count {
            let running = start(self.options(index)).await?;
            let line = AddressLine {
                server_id: running.server_id.clone(),
                address: running.server.address(),
            };
            output::print_result(self.globals.output, &line, |line| {
                format!("{} {}", line.server_id, line.address)
            })?;
            servers.push(running);
        }
        let written = self.record_until_end(&servers, &mut records).await;
        let starts_by_server = leave_all(servers).await;
        written?;
        for (server_id, starts) in starts_by_server {
            records.append(&server_id, &starts)?;
        }
        Ok(Exit::Ok)
    }

    fn options(&self, index: u32) -> StandinOptions {
        StandinOptions {
            announcement: self.server_spec.announcement(index),
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            entry_hosts: self.globals.entry.0.clone(),
            latency: Duration::from_micros(self.latency_us),
            faults: self.faults.clone(),
            seed: self.seed.wrapping_add(index.into()),
        }
    }

    async fn record_until_end(
        &self,
        servers: &[RunningStandin],
        records: &mut StartRecordFile,
    ) -> Result<()> {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut ticks = tokio::time::interval(RECORD_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let end = run_duration(self.run_for_ms);
        tokio::pin!(end);
        loop {
            tokio::select! {
                _ = interrupt.recv() => return Ok(()),
                _ = terminate.recv() => return Ok(()),
                () = &mut end => return Ok(()),
                _ = ticks.tick() => {
                    for running in servers {
                        records.append(&running.server_id, &running.server.starts())?;
                    }
                }
            }
        }
    }
}

/// Makes all stand-ins leave concurrently, so that none gets the work of another.
/// Returns the starts of each with its server id.
async fn leave_all(servers: Vec<RunningStandin>) -> Vec<(String, Vec<StartRecord>)> {
    let mut leaving = JoinSet::new();
    for RunningStandin { server_id, server } in servers {
        leaving.spawn(async move { (server_id, server.leave().await) });
    }
    leaving.join_all().await
}

async fn run_duration(run_for_ms: Option<u64>) {
    match run_for_ms {
        Some(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
        None => std::future::pending().await,
    }
}

/// Starts one stand-in.
///
/// # Errors
/// If its address cannot be bound.
pub(crate) async fn start(options: StandinOptions) -> Result<RunningStandin> {
    let server_id = options.announcement.server_id.clone();
    let server = StandinServer::start(options).await?;
    Ok(RunningStandin { server_id, server })
}
