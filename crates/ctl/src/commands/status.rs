//! `hornbeam status`: shows the state of every given host.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{Parser, construct};
use eyre::Result;
use hornbeam_core::api::operator::{ControlStatus, EntryStatus};
use serde::Serialize;

use crate::exit::{Exit, UsageError};
use crate::globals::{GlobalOptions, globals};
use crate::output;

/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// `Status` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Status {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
}

/// `HostLine` is the printed state of one host.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct HostLine {
    address: SocketAddr,
    #[serde(flatten)]
    state: HostState,
}

/// `HostState` is the answer of a host.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum HostState {
    /// The status of a control host.
    Control(ControlStatus),
    /// The status of an entry host.
    Entry(EntryStatus),
    /// The error if there was no usable answer.
    Error(String),
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Status> {
    let globals = globals();
    construct!(Status { globals })
        .to_options()
        .descr("Shows the state of every host given by --control and --entry")
        .footer(
            "The exit code is 1 if a host gave no usable answer.\n\n\
             Example:\n\n      hornbeam status --control 10.0.0.1:7100 \
             --entry 10.0.1.1:7000,10.0.1.2:7000",
        )
        .command("status")
        .help("Show the state of hosts")
}

impl Status {
    /// Prints one line per host.
    ///
    /// # Errors
    /// If no host is given.
    pub(crate) async fn run(self) -> Result<Exit> {
        let GlobalOptions { control, entry, .. } = &self.globals;
        if control.0.is_empty() && entry.0.is_empty() {
            let message = "no address is given; use --control or --entry";
            return Err(UsageError(message.into()).into());
        }
        let mut exit = Exit::Ok;
        for line in self.lines().await? {
            if matches!(line.state, HostState::Error(_)) {
                exit = Exit::Failure;
            }
            output::print_result(self.globals.output, &line, text)?;
        }
        Ok(exit)
    }

    async fn lines(&self) -> Result<Vec<HostLine>> {
        let api = self.globals.api(Vec::new(), STATUS_TIMEOUT)?;
        let mut lines = Vec::new();
        for &address in &self.globals.control.0 {
            let answer = api.get_from(address, "/v1/status").await;
            let state = answer.map_or_else(
                |error| HostState::Error(error.to_string()),
                HostState::Control,
            );
            lines.push(HostLine { address, state });
        }
        for &address in &self.globals.entry.0 {
            let answer = api.get_from(address, "/v1/status").await;
            let state = answer.map_or_else(
                |error| HostState::Error(error.to_string()),
                HostState::Entry,
            );
            lines.push(HostLine { address, state });
        }
        Ok(lines)
    }
}

fn text(line: &HostLine) -> String {
    let address = line.address;
    match &line.state {
        HostState::Control(status) => format!(
            "control {address} {}: {}, term {}, configuration {}, log {} of {} committed, \
             {} claims, {} voters, {} bytes on disk",
            status.host_id,
            status.role,
            status.term,
            status.config_version,
            status.commit_index,
            status.last_index,
            status.claims,
            status.voters.len(),
            status.disk_bytes,
        ),
        HostState::Entry(status) => format!(
            "entry {address} {} in {}{}: configuration {}, {} servers, {} of {} slots busy, \
             {} tasks queued, {} jobs, {} peers",
            status.host_id,
            status.failure_domain,
            if status.draining { ", draining" } else { "" },
            status.config_version,
            status.servers,
            status.slots_busy,
            status.slots,
            status.queued_tasks,
            status.jobs,
            status.peers.len(),
        ),
        HostState::Error(cause) => format!("{address}: {cause}"),
    }
}
