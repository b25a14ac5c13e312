//! Cluster of all roles in one process.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use eyre::Result;
use hornbeam_control::ReplicaOptions;
use hornbeam_core::ids::{ReplicaId, TaskId};
use hornbeam_dispatch::DispatchOptions;
use hornbeam_http::{ClientOptions, HttpClient};
use hornbeam_node::{ControlHost, ControlOptions, EntryHost, EntryOptions, Host};
use hornbeam_standin::{FaultPlan, StandinOptions};
use tempfile::TempDir;

use crate::client::ApiClient;
use crate::commands::show::READ_TIMEOUT;
use crate::commands::standin::{self, RunningStandin, ServerSpec};

/// Number of stand-ins; 6 servers of 8 slots can run the job's 40 tasks at once.
pub(super) const STANDIN_COUNT: u32 = 6;
/// Service of the stand-ins, defined in config/sites/dala.toml.
pub(super) const SERVICE: &str = "subscribe";

/// Failure domains with one entry host each.
const FAILURE_DOMAINS: [&str; 2] = ["almaty-a", "almaty-b"];
/// Maximum attempts to bind free ports for the entry hosts.
const PORT_ATTEMPTS: u32 = 5;
/// Id of the only control replica.
const REPLICA_ID: ReplicaId = 1;
/// Maximum body size of a job in bytes.
const MAX_BODY_BYTES: usize = 40 << 20;
/// Connections to one server that are reserved for cancels, besides its slots.
const CANCEL_CONNECTIONS_PER_SERVER: usize = 4;
/// Any free port of the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// `Cluster` holds one control host, two entry hosts and the stand-ins.
#[derive(Debug)]
pub(super) struct Cluster {
    /// Temporary folder, removed when the cluster is dropped.
    _data_folder: TempDir,
    control: ControlHost,
    entries: Vec<EntryHost>,
    standins: Vec<RunningStandin>,
}

impl Cluster {
    /// Starts every role.
    ///
    /// # Errors
    /// If the temporary folder cannot be created or an address cannot be bound.
    pub(super) async fn start(credential: &str) -> Result<Self> {
        let data_folder = tempfile::tempdir()?;
        let options = control_options(&data_folder, credential);
        let mut cluster = Self {
            _data_folder: data_folder,
            control: ControlHost::start(options).await?,
            entries: Vec::new(),
            standins: Vec::new(),
        };
        match cluster.start_entries_and_standins().await {
            Ok(()) => Ok(cluster),
            Err(error) => {
                cluster.stop().await;
                Err(error)
            }
        }
    }

    async fn start_entries_and_standins(&mut self) -> Result<()> {
        self.start_entries().await?;
        for number in 0..STANDIN_COUNT {
            let options = self.standin_options(number);
            self.standins.push(standin::start(options).await?);
        }
        Ok(())
    }

    /// Starts the entry hosts. Retries on other ports if another process has
    /// bound one of the chosen ports in the meantime.
    async fn start_entries(&mut self) -> Result<()> {
        let mut attempt = 1;
        loop {
            match self.try_start_entries().await {
                Err(_) if attempt < PORT_ATTEMPTS => attempt += 1,
                result => return result,
            }
            for entry in std::mem::take(&mut self.entries) {
                entry.stop().await;
            }
        }
    }

    async fn try_start_entries(&mut self) -> Result<()> {
        let links = free_addresses(FAILURE_DOMAINS.len())?;
        for (number, failure_domain) in FAILURE_DOMAINS.into_iter().enumerate() {
            let options = self.entry_options(number, failure_domain, &links);
            self.entries.push(EntryHost::start(options).await?);
        }
        Ok(())
    }

    fn entry_options(
        &self,
        number: usize,
        failure_domain: &str,
        links: &[SocketAddr],
    ) -> EntryOptions {
        let own_link = links[number];
        EntryOptions {
            dispatch: DispatchOptions {
                host_id: format!("entry-{number}"),
                failure_domain: failure_domain.into(),
                ..DispatchOptions::default()
            },
            http_listen: ANY_PORT,
            link_listen: own_link,
            peers: links
                .iter()
                .copied()
                .filter(|link| *link != own_link)
                .collect(),
            control_hosts: vec![(REPLICA_ID, self.control.link_address())],
            link_credential: None,
            operator_credential: None,
            max_body_bytes: MAX_BODY_BYTES,
            max_total_body_bytes: 64 << 20,
            cancel_connections_per_server: CANCEL_CONNECTIONS_PER_SERVER,
        }
    }

    fn standin_options(&self, number: u32) -> StandinOptions {
        let domain = FAILURE_DOMAINS[number as usize % FAILURE_DOMAINS.len()];
        let server_spec = ServerSpec {
            name: "standin".into(),
            service: SERVICE.into(),
            failure_domain: domain.into(),
            slots: 8,
            max_connections: 64,
            cpu_milli: 16_000,
            memory_mib: 65_536,
            accelerators: 0,
            shared: false,
        };
        StandinOptions {
            announcement: server_spec.announcement(number),
            listen: ANY_PORT,
            entry_hosts: self.entry_addresses(),
            latency: Duration::ZERO,
            faults: FaultPlan::default(),
            seed: number.into(),
        }
    }

    fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryHost::http_address).collect()
    }

    /// Creates a client of the control host.
    ///
    /// # Errors
    /// If the HTTP library cannot be set up.
    pub(super) fn control_api(&self, credential: &str) -> Result<ApiClient> {
        let options = ClientOptions {
            credential: Some(credential.into()),
            ..ClientOptions::default()
        };
        let address = self.control.http_address();
        Ok(ApiClient::new(
            HttpClient::new(options)?,
            vec![address],
            READ_TIMEOUT,
        ))
    }

    /// Creates a client of the entry hosts.
    ///
    /// # Errors
    /// If the HTTP library cannot be set up.
    pub(super) fn entry_api(&self, timeout: Duration) -> Result<ApiClient> {
        let client = HttpClient::new(ClientOptions::default())?;
        Ok(ApiClient::new(client, self.entry_addresses(), timeout))
    }

    /// Gets the task starts recorded by all stand-ins.
    pub(super) fn starts(&self) -> Vec<TaskId> {
        let starts = self
            .standins
            .iter()
            .flat_map(|running| running.server.starts());
        starts.map(|start| start.task).collect()
    }

    /// Stops all roles: first the stand-ins, which withdraw, then the hosts.
    pub(super) async fn stop(self) {
        for running in self.standins {
            running.server.leave().await;
        }
        for entry in self.entries {
            entry.stop().await;
        }
        self.control.stop().await;
    }
}

fn control_options(data_folder: &TempDir, credential: &str) -> ControlOptions {
    ControlOptions {
        host_id: "control-0".into(),
        replica: ReplicaOptions {
            id: REPLICA_ID,
            initial_voters: vec![REPLICA_ID],
            ..ReplicaOptions::default()
        },
        new_group: true,
        data_folder: data_folder.path().to_owned(),
        http_listen: ANY_PORT,
        link_listen: ANY_PORT,
        peers: Vec::new(),
        link_credential: None,
        operator_credential: Some(credential.into()),
        fleet: None,
    }
}

/// Finds free addresses. Entry hosts need each other's link addresses before
/// they start, so they cannot listen on port 0.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: std::io::Result<Vec<TcpListener>> =
        (0..count).map(|_| TcpListener::bind(ANY_PORT)).collect();
    let addresses: std::io::Result<Vec<SocketAddr>> =
        listeners?.iter().map(TcpListener::local_addr).collect();
    Ok(addresses?)
}
