//! The stand-in backend server.

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
use crate::exchange::Backend;
use crate::faults::FaultInjector;
use crate::options::{FaultPlan, StandinOptions, StartRecord};

/// Idle timeout of connections to entry hosts. Half of it exceeds the renewal
/// interval (667 ms with a lease of 2 s), so that renewals reuse a connection; it
/// is below the 5 s after which an entry host closes an idle connection.
const ANNOUNCE_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// `StandinServer` is a running stand-in. A payload such as `{"run_ms":120}` sets
/// the true run time of its task, so that a test can declare a false one; a task
/// with another payload runs for the declared time. The output of a task is
/// `"<job id>/<index>"`.
///
/// A task that is sent again runs again, so that [`Self::starts`] reveals a
/// dispatcher that sends a task twice. Dropping the server has the effect of
/// [`Self::abort`].
pub struct StandinServer {
    backend: Arc<Backend>,
    client: HttpClient,
    http: Option<HttpServer>,
    address: SocketAddr,
    entry_hosts: Vec<SocketAddr>,
    owner: watch::Receiver<Option<SocketAddr>>,
    announce_task: JoinHandle<()>,
}

impl std::fmt::Debug for StandinServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StandinServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl StandinServer {
    /// Starts listening and announcing.
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
        let fault_injector = FaultInjector::new(options.faults, options.seed);
        let backend = Arc::new(Backend::new(announcement, options.latency, fault_injector));
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
            announce_task: tokio::spawn(announcer.run(owner_sender)),
        })
    }

    /// Gets the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets all task starts so far, in order.
    pub fn starts(&self) -> Vec<StartRecord> {
        self.backend.task_table.starts()
    }

    /// Replaces the fault plan.
    pub fn set_faults(&self, faults: FaultPlan) {
        self.backend.fault_injector.set_plan(faults);
    }

    /// Withdraws, finishes running tasks and stops. Returns all task starts,
    /// including those after the last call of [`Self::starts`].
    pub async fn leave(mut self) -> Vec<StartRecord> {
        self.announce_task.abort();
        // Joining an aborted task returns an error.
        let _ = (&mut self.announce_task).await;
        self.backend.leaving.send_replace(true);
        withdraw(&self.backend, &self.client, &self.owners()).await;
        if let Some(http) = self.http.take() {
            http.stop().await;
        }
        self.backend.join_tasks().await;
        self.starts()
    }

    /// Stops immediately without withdrawing, to simulate a crash.
    pub fn abort(self) {}

    /// Gets the entry hosts that hold or may hold a lease.
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
        self.announce_task.abort();
        self.backend.abort_tasks();
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
