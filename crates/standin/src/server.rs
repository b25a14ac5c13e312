//! The stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::Result;
use hornbeam_http::{ClientOptions, HttpClient, HttpServer, HttpServerOptions};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use volo_http::request::Request;
use volo_http::server::Router;
use volo_http::server::route::post;

use crate::announce::{Announcer, withdraw};
use crate::chance::Chance;
use crate::exchange::Backend;
use crate::options::{FaultPlan, StandinOptions, StartRecord};

/// Time after which a connection to an entry host that carries nothing is
/// closed. Half of it exceeds the interval of renewals (667 ms with a lease of
/// 2 s), so that a renewal finds the connection of the one before; all of it is
/// below the 5 s after which an entry host closes an idle connection.
const ANNOUNCE_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// `StandinServer` is a running stand-in. It runs a task for as long as its
/// payload says: `{"run_ms":120}` overrides the declared run time, which lets
/// a test declare a false one; other payloads run for the declared time. The
/// output is `"<job id>/<index>"`.
///
/// It runs a task again that it is sent again, so that [`Self::starts`] shows
/// a dispatcher that sends a task twice. Dropping it has the effect of
/// [`Self::abort`].
pub struct StandinServer {
    backend: Arc<Backend>,
    client: HttpClient,
    http: Option<HttpServer>,
    address: SocketAddr,
    entry_hosts: Vec<SocketAddr>,
    owner: watch::Receiver<Option<SocketAddr>>,
    announcing: JoinHandle<()>,
}

impl std::fmt::Debug for StandinServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StandinServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl StandinServer {
    /// Listens and starts to announce.
    ///
    /// # Errors
    /// `Io` if the address cannot be bound.
    pub async fn start(options: StandinOptions) -> Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let mut announcement = options.announcement;
        if announcement.address.is_empty() {
            announcement.address = address.to_string();
        }
        announcement.grant = announcement.grant.max(1);
        let server_options = HttpServerOptions {
            max_connections: announcement.max_connections as usize,
            ..HttpServerOptions::default()
        };
        let chance = Chance::new(options.faults, options.seed);
        let backend = Arc::new(Backend::new(announcement, options.latency, chance));
        let http = HttpServer::start_on(listener, routes(&backend), server_options)?;
        let client = HttpClient::new(ClientOptions {
            idle_timeout: ANNOUNCE_IDLE_TIMEOUT,
            ..ClientOptions::default()
        })?;
        let (owner_sender, owner) = watch::channel(None);
        let announcer = Announcer {
            backend: backend.clone(),
            client: client.clone(),
            entry_hosts: options.entry_hosts.clone(),
        };
        Ok(Self {
            backend,
            client,
            http: Some(http),
            address,
            entry_hosts: options.entry_hosts,
            owner,
            announcing: tokio::spawn(announcer.run(owner_sender)),
        })
    }

    /// Gets the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets every start so far, in order.
    pub fn starts(&self) -> Vec<StartRecord> {
        self.backend.board.starts()
    }

    /// Replaces the fault plan.
    pub fn set_faults(&self, faults: FaultPlan) {
        self.backend.chance.set_plan(faults);
    }

    /// Withdraws, finishes running tasks and stops. Gets every start, also
    /// those between the last call of [`Self::starts`] and the withdrawal.
    pub async fn leave(mut self) -> Vec<StartRecord> {
        self.announcing.abort();
        // An aborted task ends with an error.
        let _ = (&mut self.announcing).await;
        self.backend.leaving.send_replace(true);
        withdraw(&self.backend, &self.client, &self.owners()).await;
        if let Some(http) = self.http.take() {
            http.stop().await;
        }
        self.backend.join().await;
        self.starts()
    }

    /// Stops at once without withdrawing, as a crash would.
    pub fn abort(self) {}

    /// Gets the entry hosts that hold a lease or may hold one.
    fn owners(&self) -> Vec<SocketAddr> {
        if self.backend.announcement.shared {
            return self.entry_hosts.clone();
        }
        let owner = *self.owner.borrow();
        owner.into_iter().collect()
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.announcing.abort();
        self.backend.abort();
    }
}

fn routes(backend: &Arc<Backend>) -> Router {
    let running = backend.clone();
    let cancelling = backend.clone();
    Router::new()
        .route(
            "/v1/tasks",
            post(move |request: Request| running.run_tasks(request)),
        )
        .route(
            "/v1/tasks/cancel",
            post(move |request: Request| cancelling.cancel_tasks(request)),
        )
}
