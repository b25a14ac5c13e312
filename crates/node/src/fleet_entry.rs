//! The fleet entry host: HTTP for callers and workers, requests to workers, and
//! links to other processes around `hornbeam-fleet`.

mod batch_link;
mod caller;
mod discovery;
mod document_download;
mod event_loop;
mod input;
mod links;
mod log_rate_limit;
mod member_lists;
mod metrics;
mod outbound_requests;
mod reports;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use hornbeam_core::ids::{FailureDomainId, HostId};
use hornbeam_document::HistoryOptions;
use hornbeam_fleet::{Fleet, FleetOptions, PeerInfo};
use hornbeam_http::{HttpServer, HttpServerOptions};
use hornbeam_platform::WorkerClient;
use hornbeam_timer::TimerService;
use hornbeam_transport::ServerOptions;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

pub use self::batch_link::BatchLink;
use self::caller::CallerRoutes;
use self::discovery::Discovery;
use self::document_download::DocumentDownload;
use self::event_loop::{FleetEntryState, FleetLoop};
use self::input::FleetLoopHandle;
use self::links::FleetLinkService;
use self::metrics::FleetMetrics;
use self::outbound_requests::OutboundRequests;
use self::reports::ReportRoutes;
use crate::documents::SharedDocuments;
use crate::fleet_links::link_options;
use crate::host::{Host, RunningHost};
use crate::lifecycle::Lifecycle;

/// Bound on the documents that are kept for peers: the one in force, and its
/// predecessor as a base.
const DOCUMENTS_FOR_PEERS: HistoryOptions = HistoryOptions {
    max_documents: 2,
    max_bytes: 1 << 20,
};

/// Time after a drain within which connections must close. The longest drain and
/// this time end before the platform kills the process, 6 s after SIGTERM; a peer
/// that is cut off never closes its connections.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// `FleetEntryOptions` are the settings of a fleet entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetEntryOptions {
    /// Settings of the scheduler.
    pub fleet: FleetOptions,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address for the readiness probe of the load balancer.
    pub readiness_listen: SocketAddr,
    /// Address for the status reports of owned workers.
    pub report_listen: SocketAddr,
    /// Address for metrics.
    pub metrics_listen: SocketAddr,
    /// Link addresses of some control hosts; these report the others.
    pub control_hosts: Vec<SocketAddr>,
    /// Limits of the HTTP servers.
    pub http: HttpServerOptions,
}

/// `FleetEntryHost` is a running fleet entry host.
#[derive(Debug)]
pub struct FleetEntryHost {
    caller_address: SocketAddr,
    link_address: SocketAddr,
    event_loop: FleetLoopHandle,
    control_hosts: watch::Sender<Vec<SocketAddr>>,
    running: RunningHost,
}

impl FleetEntryHost {
    /// Binds all addresses and starts.
    ///
    /// # Errors
    /// If an address cannot be bound or a client cannot be set up.
    pub async fn start(options: FleetEntryOptions) -> Result<Self> {
        let timer = TimerService::default();
        let lifecycle = Arc::new(Lifecycle::new()?);
        let metrics = Arc::new(FleetMetrics::new());
        let host_id: HostId = options.fleet.host_id.clone();
        let link_address = options.fleet.link_address;
        let listener = TcpListener::bind(link_address)
            .await
            .wrap_err_with(|| format!("cannot bind {link_address}"))?;
        let (event_loop, inputs) = input::channel();
        let state = watch::Sender::new(FleetEntryState::default());
        let control_hosts = watch::Sender::new(options.control_hosts.clone());
        let servers = ServerContext {
            options: &options,
            event_loop: &event_loop,
            state: &state,
            lifecycle: &lifecycle,
            timer: &timer,
            metrics: &metrics,
        };
        let servers = servers.start().await?;
        let mut tasks = JoinSet::new();
        let fleet_loop = FleetLoop {
            host_id: host_id.clone(),
            fleet: Fleet::new(options.fleet.clone()),
            timer: timer.clone(),
            lifecycle: Arc::clone(&lifecycle),
            state: state.clone(),
            requests: OutboundRequests::new(WorkerClient::new()?),
            metrics: Arc::clone(&metrics),
            waiters: Default::default(),
            log_rate_limit: Default::default(),
        };
        tasks.spawn(fleet_loop.run(inputs));
        let documents = SharedDocuments::new(DOCUMENTS_FOR_PEERS);
        let document_sources = watch::Sender::default();
        let download = DocumentDownload {
            host_id,
            sources: document_sources.subscribe(),
            event_loop: event_loop.clone(),
            documents: documents.clone(),
            timer: timer.clone(),
            lifecycle: Arc::clone(&lifecycle),
        };
        tasks.spawn(download.run());
        let discovery = Discovery {
            host: own_peer_info(&options.fleet),
            report_address: options.report_listen,
            seeds: control_hosts.subscribe(),
            link_options: link_options(),
            event_loop: event_loop.clone(),
            state: state.clone(),
            document_sources,
            timer: timer.clone(),
            lifecycle: Arc::clone(&lifecycle),
        };
        tasks.spawn(discovery.run());
        let links = FleetLinkService {
            event_loop: event_loop.clone(),
            state,
            documents,
        };
        let link_options = ServerOptions::default();
        let running = RunningHost::start(lifecycle, servers, tasks, listener, links, link_options);
        let running = running.with_close_timeout(CLOSE_TIMEOUT);
        Ok(Self {
            caller_address: options.caller_listen,
            link_address,
            event_loop,
            control_hosts,
            running,
        })
    }

    /// Replaces the configured control hosts, which are contacted even if they
    /// do not answer.
    pub fn set_control_hosts(&self, control_hosts: Vec<SocketAddr>) {
        self.control_hosts.send_replace(control_hosts);
    }
}

impl Host for FleetEntryHost {
    fn lifecycle(&self) -> &Lifecycle {
        &self.running.lifecycle
    }

    fn http_address(&self) -> SocketAddr {
        self.caller_address
    }

    fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    async fn stop(self) {
        let event_loop = self.event_loop;
        let stop_event_loop = async move {
            // Fails only if the event loop has already ended.
            let _ = event_loop.send(input::FleetLoopInput::Stop);
        };
        self.running.stop(stop_event_loop).await;
    }
}

fn own_peer_info(options: &FleetOptions) -> PeerInfo {
    let failure_domain: FailureDomainId = options.failure_domain.clone();
    PeerInfo {
        host_id: options.host_id.clone(),
        address: options.link_address,
        failure_domain,
    }
}

/// `ServerContext` holds what the HTTP servers of a host share.
struct ServerContext<'a> {
    options: &'a FleetEntryOptions,
    event_loop: &'a FleetLoopHandle,
    state: &'a watch::Sender<FleetEntryState>,
    lifecycle: &'a Arc<Lifecycle>,
    timer: &'a TimerService,
    metrics: &'a Arc<FleetMetrics>,
}

impl ServerContext<'_> {
    async fn start(&self) -> Result<Vec<HttpServer>> {
        let callers = CallerRoutes::new(
            self.options.fleet.host_id.clone(),
            self.event_loop.clone(),
            self.state.subscribe(),
            self.timer.clone(),
        );
        let reports = ReportRoutes {
            host_id: self.options.fleet.host_id.clone(),
            event_loop: self.event_loop.clone(),
            timer: self.timer.clone(),
            report_port: self.options.report_listen.port(),
        };
        let readiness = reports::readiness_router(self.state.subscribe(), self.lifecycle);
        let metrics = metrics::router(self.metrics, self.event_loop);
        let routers = [
            (self.options.caller_listen, caller::router(callers)),
            (self.options.readiness_listen, readiness),
            (self.options.report_listen, reports::router(reports)),
            (self.options.metrics_listen, metrics),
        ];
        let mut servers = Vec::new();
        for (address, router) in routers {
            let starting = HttpServer::start(address, router, self.options.http.clone());
            let server = starting
                .await
                .wrap_err_with(|| format!("cannot bind {address}"))?;
            servers.push(server);
        }
        Ok(servers)
    }
}
