//! The calling side.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// `LinkOptions` are the settings of a [`Link`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkOptions {
    /// Shared secret of the system's own processes; default none.
    pub credential: Option<String>,
    /// Time to establish a connection; default 500 ms.
    pub connect_timeout: Duration,
    /// A connection with no traffic for this long is probed by a ping before
    /// its next use and replaced if the ping gets no answer; default 1 s.
    pub probe_after: Duration,
    /// Time within which a ping must be answered; default 500 ms.
    pub probe_timeout: Duration,
    /// Largest message in bytes; default 16 MiB.
    pub max_message_bytes: usize,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            credential: None,
            connect_timeout: Duration::from_millis(500),
            probe_after: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(500),
            max_message_bytes: 16 << 20,
        }
    }
}

/// `Link` calls one process at one address. It connects on first use, shares
/// one connection among concurrent calls and replaces it when it fails or
/// falls silent. Clones share the connection.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
}

impl Link {
    /// Creates a link; no connection is made yet.
    pub fn new(address: SocketAddr, options: LinkOptions) -> Self {
        let _ = options;
        Self { address }
    }

    /// Gets the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    /// `NotSent` if the request certainly did not reach the other process,
    /// `Refused` if that process refused it without handling it, `Unknown` if
    /// it may have been handled, `Codec` if the answer could not be decoded.
    pub async fn call<Q, A>(&self, request: &Q, within: Duration) -> Result<A>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let _ = (request, within);
        Err(Error::not_sent("not connected"))
    }

    /// Like [`Link::call`], on a new connection that is closed afterwards.
    ///
    /// # Errors
    /// As [`Link::call`].
    pub async fn call_on_new_connection<Q, A>(&self, request: &Q, within: Duration) -> Result<A>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call(request, within).await
    }
}
