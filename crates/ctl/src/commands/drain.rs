//! `hornbeam drain`: drains hosts, which finish their work and exit.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use eyre::Result;
use hornbeam_core::Error;
use hornbeam_core::api::operator::EntryStatus;
use serde::Serialize;
use serde_json::{Value, json};

use crate::client::ApiClient;
use crate::exit::Exit;
use crate::globals::{Addresses, GlobalOptions, globals};
use crate::output;

const OK: u16 = 200;

/// Timeout for a host to confirm that it drains.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// `Drain` holds the arguments of the command.
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    /// Options of every command.
    pub(crate) globals: GlobalOptions,
    hosts: Addresses,
}

/// `DrainLine` is the printed answer of one host.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct DrainLine {
    address: SocketAddr,
    draining: bool,
    message: String,
}

/// Parses the command.
pub(crate) fn parser() -> impl Parser<Drain> {
    let globals = globals();
    // A separate flag, because --control and --entry may come from the
    // environment and then list every host of the site.
    let hosts = long("host")
        .help("HTTP addresses of the hosts to drain, ip:port, separated by commas")
        .argument::<Addresses>("ADDRESSES");
    construct!(Drain { globals, hosts })
        .to_options()
        .descr("Makes hosts refuse new work, finish work in flight, and exit")
        .footer(
            "The exit code is that of the last host that did not confirm.\n\n\
             Example:\n\n      hornbeam drain --credential-file operator.key --host 10.0.1.1:7000",
        )
        .command("drain")
        .help("Drain hosts")
}

impl Drain {
    /// Drains each host and prints its answer.
    ///
    /// # Errors
    /// If the credential cannot be read.
    pub(crate) async fn run(self) -> Result<Exit> {
        let api = self.globals.api(self.hosts.0.clone(), DRAIN_TIMEOUT)?;
        let mut exit = Exit::Ok;
        for &address in api.addresses() {
            let (draining, message) = match drain(&api, address).await {
                Ok(()) => (true, "draining".to_owned()),
                Err(error) => {
                    let message = error.to_string();
                    exit = Exit::from_report(&error.into());
                    (false, message)
                }
            };
            let line = DrainLine {
                address,
                draining,
                message,
            };
            output::print_result(self.globals.output, &line, |line| {
                format!("{}: {}", line.address, line.message)
            })?;
        }
        Ok(exit)
    }
}

/// Asks one host to drain.
async fn drain(api: &ApiClient, address: SocketAddr) -> hornbeam_core::Result<()> {
    let body = json!({});
    let response = api.post_to::<_, Value>(address, "/v1/drain", &body);
    let unknown_outcome = match response.await {
        Ok(reply) if reply.status == OK => return Ok(()),
        Ok(reply) => {
            let message = format!("{address} answered {}: {}", reply.status, reply.body);
            return Err(Error::refused(message));
        }
        Err(Error::OutcomeUnknown(cause)) => cause,
        Err(error) => return Err(error),
    };
    // The status of an entry host shows whether it drains, which resolves an
    // unknown outcome.
    match api.get_from::<EntryStatus>(address, "/v1/status").await {
        Ok(status) if status.draining => Ok(()),
        Ok(_) => Err(Error::refused(format!(
            "{address} does not drain; check --credential-file"
        ))),
        Err(_) => Err(Error::outcome_unknown(unknown_outcome)),
    }
}
