//! The client side.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hornbeam_core::{Error, Result};
use http::HeaderValue;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{Mutex, Semaphore};
use tokio::time::{Instant, timeout_at};

use crate::connection::Connection;
use crate::message::{decode, encode};

/// Maximum number of concurrent calls of one link; further ones wait. Equal to
/// the default limit of the server, so that h2 itself queues no request.
const MAX_CONCURRENT_CALLS: usize = 1024;

/// Maximum attempts to open a stream. The second attempt covers a connection
/// that closed right after the check that it was usable.
const MAX_ATTEMPTS: u32 = 2;

/// Largest part of the time that a call has left for the probe of a connection.
/// The rest must suffice to replace the connection and to exchange the messages.
const MAX_PROBE_SHARE_PERCENT: u32 = 25;

/// `LinkOptions` are the settings of a [`Link`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LinkOptions {
    /// Shared secret of the system's own processes; default none.
    pub credential: Option<String>,
    /// Time to establish a connection; default 500 ms.
    pub connect_timeout: Duration,
    /// Time without a response after which a connection is probed by a ping
    /// before its next use, and replaced if the ping fails; default 1 s.
    pub probe_after: Duration,
    /// Time within which a ping must be answered, at most a quarter of the time
    /// that the call has left; default 500 ms.
    pub probe_timeout: Duration,
    /// Maximum size of a message in bytes; default 16 MiB.
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

/// `Link` sends requests to one process at one address. It connects on first
/// use, shares one connection among concurrent calls and replaces it when it
/// fails or stops responding. Clones share the connection.
#[derive(Clone)]
pub struct Link {
    shared: Arc<Shared>,
}

struct Shared {
    address: SocketAddr,
    options: LinkOptions,
    permits: Semaphore,
    current: Mutex<Option<Arc<Connection>>>,
    /// Number of connections that were established for `current`.
    connections: AtomicU64,
}

impl Link {
    /// Creates a link without connecting yet.
    pub fn new(address: SocketAddr, options: LinkOptions) -> Self {
        let shared = Arc::new(Shared {
            address,
            options,
            permits: Semaphore::new(MAX_CONCURRENT_CALLS),
            current: Mutex::new(None),
            connections: AtomicU64::new(0),
        });
        Self { shared }
    }

    /// Gets the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Gets the number of connections that calls have established so far. It
    /// changes when the peer may have been replaced by another process.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Acquire)
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    /// `NotSent` if the request certainly did not reach the peer, `Refused` if
    /// the peer refused it without effect, `OutcomeUnknown` if it may have been
    /// handled, `Codec` if the response could not be decoded.
    pub async fn call<Q, A>(&self, request: &Q, timeout: Duration) -> Result<A>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let deadline = Instant::now() + timeout;
        let request = self.shared.encode(request)?;
        let _permit = timeout_at(deadline, self.shared.permits.acquire())
            .await
            .map_err(|_| Error::not_sent("too many calls until the time limit"))?
            .map_err(Error::not_sent)?;
        let mut attempt = 1;
        loop {
            let connection = self.shared.usable_connection_before(deadline).await?;
            let answer = self.shared.exchange(&connection, &request, deadline).await;
            match answer {
                Err(Error::NotSent(_)) if attempt < MAX_ATTEMPTS => attempt += 1,
                answer => return decode(&answer?),
            }
        }
    }

    /// Like [`Link::call`], on a new connection that is closed afterwards.
    ///
    /// # Errors
    /// As [`Link::call`].
    pub async fn call_on_new_connection<Q, A>(&self, request: &Q, timeout: Duration) -> Result<A>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let deadline = Instant::now() + timeout;
        let request = self.shared.encode(request)?;
        let connection = timeout_at(deadline, self.shared.open_connection())
            .await
            .unwrap_or_else(|_| Err(no_usable_connection()))?;
        let answer = self.shared.exchange(&connection, &request, deadline).await;
        decode(&answer?)
    }
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The options contain the credential, which must not be logged.
        f.debug_struct("Link")
            .field("address", &self.shared.address)
            .finish_non_exhaustive()
    }
}

impl Shared {
    fn encode<Q: Serialize>(&self, request: &Q) -> Result<Bytes> {
        encode(request, self.options.max_message_bytes).map_err(Error::not_sent)
    }

    async fn usable_connection_before(&self, deadline: Instant) -> Result<Arc<Connection>> {
        timeout_at(deadline, self.usable_connection(deadline))
            .await
            .unwrap_or_else(|_| Err(no_usable_connection()))
    }

    async fn exchange(
        &self,
        connection: &Connection,
        request: &Bytes,
        deadline: Instant,
    ) -> Result<Bytes> {
        let exchange = connection.exchange(request.clone(), self.options.max_message_bytes);
        let answer = timeout_at(deadline, exchange).await;
        answer.unwrap_or_else(|_| {
            connection.require_probe();
            Err(Error::outcome_unknown("no answer within the time limit"))
        })
    }

    /// Gets the shared connection, or a new one if it has closed or does not
    /// respond to a ping. Calls in flight on the old one are not affected.
    async fn usable_connection(&self, deadline: Instant) -> Result<Arc<Connection>> {
        let mut current = self.current.lock().await;
        if let Some(connection) = current.as_ref()
            && self.is_usable(connection, deadline).await
        {
            return Ok(connection.clone());
        }
        *current = None;
        let connection = Arc::new(self.open_connection().await?);
        self.connections.fetch_add(1, Ordering::AcqRel);
        *current = Some(connection.clone());
        Ok(connection)
    }

    async fn is_usable(&self, connection: &Connection, deadline: Instant) -> bool {
        if connection.is_closed() {
            return false;
        }
        if connection.received_within(self.options.probe_after) {
            return true;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = left * MAX_PROBE_SHARE_PERCENT / 100;
        connection.ping(limit.min(self.options.probe_timeout)).await
    }

    async fn open_connection(&self) -> Result<Connection> {
        let authorization = self.options.credential.as_deref().map(bearer).transpose()?;
        Connection::open(self.address, authorization, &self.options).await
    }
}

fn no_usable_connection() -> Error {
    Error::not_sent("no usable connection within the time limit")
}

fn bearer(credential: &str) -> Result<HeaderValue> {
    let mut value =
        HeaderValue::from_str(&format!("Bearer {credential}")).map_err(Error::not_sent)?;
    value.set_sensitive(true);
    Ok(value)
}
