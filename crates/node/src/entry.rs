//! The entry host: HTTP routes, backend exchanges and peers around the
//! dispatcher.

use std::net::SocketAddr;

use eyre::Result;
use hornbeam_core::ids::ReplicaId;
use hornbeam_dispatch::DispatchOptions;

/// `EntryOptions` are the settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryOptions {
    /// Options of the dispatcher: host id, failure domain, policy, seed.
    pub dispatch: DispatchOptions,
    /// Address for HTTP; port 0 chooses one.
    pub http_listen: SocketAddr,
    /// Address for links of the system's own processes.
    pub link_listen: SocketAddr,
    /// Link addresses of other entry hosts.
    pub peers: Vec<SocketAddr>,
    /// Link addresses of the control hosts.
    pub control_hosts: Vec<(ReplicaId, SocketAddr)>,
    /// Shared secret of links; default none.
    pub link_credential: Option<String>,
    /// Credential of operators; default none, which refuses `/v1/drain`.
    pub operator_credential: Option<String>,
    /// Largest body of a job in bytes; default 40 MiB.
    pub max_body_bytes: usize,
    /// Extra connections to one server besides its slots, for cancels.
    pub max_connections_per_server: usize,
}

/// `EntryHost` is a running entry host.
#[derive(Debug)]
pub struct EntryHost {
    http_address: SocketAddr,
    link_address: SocketAddr,
}

impl EntryHost {
    /// Binds both addresses and starts.
    ///
    /// # Errors
    /// If an address cannot be bound or a state chart is invalid.
    pub async fn start(options: EntryOptions) -> Result<Self> {
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

    /// Starts to drain; new work is refused.
    pub fn start_drain(&self) {}

    /// Waits until a drain is complete. It may have been started by
    /// [`EntryHost::start_drain`] or by an operator's request.
    pub async fn drained(&self) {}

    /// Drains, stops and joins everything.
    pub async fn stop(self) {}

    /// Stops at once, as a crash would.
    pub fn abort(self) {}
}
