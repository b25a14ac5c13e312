//! The entry host: HTTP routes, requests to backend servers and links to peers
//! around the dispatcher.

mod announcement;
mod claims;
mod config_poller;
mod event_loop;
mod exchange;
mod input;
mod job_ids;
mod links;
mod metrics;
mod peers;
mod routes;
mod submission;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use eyre::{Result, WrapErr};
use hornbeam_core::ids::{HostId, ReplicaId};
use hornbeam_dispatch::{DispatchOptions, Dispatcher};
use hornbeam_http::{ClientOptions, HttpClient, HttpServer, HttpServerOptions};
use hornbeam_timer::TimerService;
use hornbeam_transport::{Link, LinkOptions, ServerOptions};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use self::claims::ClaimClient;
use self::config_poller::ConfigPoller;
use self::event_loop::DispatchLoop;
use self::exchange::Exchanges;
use self::input::DispatchLoopHandle;
use self::job_ids::JobIdGenerator;
use self::links::EntryLinkService;
use self::metrics::EntryMetrics;
use self::peers::{AdvertisedAddresses, PeerTable, StatusSender};
use self::routes::Routes;
use crate::config_watch::ConfigWatch;
use crate::host::{Host, RunningHost};
use crate::lifecycle::Lifecycle;
use crate::reply::BodyBudget;

/// Maximum number of connections that a backend server accepts.
const MAX_SERVER_CONNECTIONS: usize = 64;

/// Maximum size of a message between entry hosts, in bytes. It is above the
/// largest job body, because a chunk can contain all tasks of a job and answers
/// can be larger than requests.
const MAX_CHUNK_BYTES: usize = 64 << 20;

/// `EntryOptions` are the settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryOptions {
    /// Options of the dispatcher: host id, failure domain, policy, seed.
    pub dispatch: DispatchOptions,
    /// Address for HTTP; port 0 chooses one; default `127.0.0.1:0`.
    pub http_listen: SocketAddr,
    /// Address for links from other processes of the system; default
    /// `127.0.0.1:0`.
    pub link_listen: SocketAddr,
    /// Link addresses of other entry hosts; default none.
    pub peers: Vec<SocketAddr>,
    /// Link addresses of the control hosts; default none.
    pub control_hosts: Vec<(ReplicaId, SocketAddr)>,
    /// Shared secret of links; default none.
    pub link_credential: Option<String>,
    /// Credential of operators; default none, which refuses `/v1/drain`.
    pub operator_credential: Option<String>,
    /// Maximum size of a job body in bytes; default 40 MiB.
    pub max_body_bytes: usize,
    /// Limit on the bytes of the bodies of all unanswered jobs; a job that
    /// exceeds it is refused; default 256 MiB.
    pub max_total_body_bytes: usize,
    /// Connections to one backend server that are reserved for cancels;
    /// default 16.
    pub cancel_connections_per_server: usize,
}

impl Default for EntryOptions {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            dispatch: DispatchOptions::default(),
            http_listen: any_port,
            link_listen: any_port,
            peers: Vec::new(),
            control_hosts: Vec::new(),
            link_credential: None,
            operator_credential: None,
            max_body_bytes: 40 << 20,
            max_total_body_bytes: 256 << 20,
            cancel_connections_per_server: 16,
        }
    }
}

/// `EntryHost` is a running entry host.
#[derive(Debug)]
pub struct EntryHost {
    addresses: AdvertisedAddresses,
    event_loop: DispatchLoopHandle,
    running: RunningHost,
}

impl EntryHost {
    /// Binds both addresses and starts.
    ///
    /// # Errors
    /// If an address cannot be bound or a state chart is invalid.
    pub async fn start(options: EntryOptions) -> Result<Self> {
        let context = HostContext::new(&options)?;
        let listener = TcpListener::bind(options.link_listen)
            .await
            .wrap_err_with(|| format!("cannot bind {}", options.link_listen))?;
        let link = listener.local_addr()?;
        let (event_loop, receiver) = input::channel();
        let routes = Arc::new(context.routes(&options, &event_loop));
        let router = routes::router(&routes);
        let server = HttpServer::start(options.http_listen, router, HttpServerOptions::default());
        let http = server
            .await
            .wrap_err_with(|| format!("cannot bind {}", options.http_listen))?;
        let addresses = AdvertisedAddresses {
            http: http.address(),
            link,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(context.event_loop(&options)?.run(receiver));
        tasks.spawn(
            context
                .status_sender(&options, &event_loop, addresses)
                .run(),
        );
        tasks.spawn(context.config_poller(&options, &event_loop).run());
        let link_service = context.link_service(&event_loop);
        let options = server_options(&options);
        let running = RunningHost::start(
            context.lifecycle,
            vec![http],
            tasks,
            listener,
            link_service,
            options,
        );
        Ok(Self {
            addresses,
            event_loop,
            running,
        })
    }

    /// Stops at once, as a crash would.
    pub fn abort(self) {
        self.running.abort();
    }
}

impl Host for EntryHost {
    fn lifecycle(&self) -> &Lifecycle {
        &self.running.lifecycle
    }

    fn http_address(&self) -> SocketAddr {
        self.addresses.http
    }

    fn link_address(&self) -> SocketAddr {
        self.addresses.link
    }

    async fn stop(self) {
        let event_loop = self.event_loop;
        self.running
            .stop(async move { event_loop.stop().await })
            .await;
    }
}

/// `HostContext` holds what the tasks of an entry host share.
#[derive(Debug)]
struct HostContext {
    host_id: HostId,
    timer: TimerService,
    lifecycle: Arc<Lifecycle>,
    metrics: Arc<EntryMetrics>,
    config: ConfigWatch,
    peers: Arc<PeerTable>,
    link_options: LinkOptions,
}

impl HostContext {
    fn new(options: &EntryOptions) -> Result<Self> {
        let link_options = LinkOptions {
            credential: options.link_credential.clone(),
            max_message_bytes: MAX_CHUNK_BYTES,
            ..LinkOptions::default()
        };
        Ok(Self {
            host_id: options.dispatch.host_id.clone(),
            timer: TimerService::default(),
            lifecycle: Arc::new(Lifecycle::new()?),
            metrics: Arc::new(EntryMetrics::new()),
            config: ConfigWatch::new(),
            peers: Arc::new(PeerTable::new(link_options.clone())),
            link_options,
        })
    }

    fn link(&self, address: SocketAddr) -> Link {
        Link::new(address, self.link_options.clone())
    }

    /// Gets links to the control hosts. Each entry host starts with a different
    /// one, which distributes the load.
    fn control_links(&self, options: &EntryOptions) -> Vec<Link> {
        let hosts = &options.control_hosts;
        let mut links: Vec<Link> = hosts.iter().map(|(_, at)| self.link(*at)).collect();
        let sum: usize = self.host_id.bytes().map(usize::from).sum();
        let first = sum.checked_rem(links.len()).unwrap_or(0);
        links.rotate_left(first);
        links
    }

    fn event_loop(&self, options: &EntryOptions) -> Result<DispatchLoop> {
        let dispatcher = Dispatcher::new(options.dispatch.clone())?;
        let exchanges = self.exchanges(options)?;
        let timer = self.timer.clone();
        let lifecycle = Arc::clone(&self.lifecycle);
        let peers = Arc::clone(&self.peers);
        Ok(DispatchLoop::new(
            dispatcher, timer, lifecycle, peers, exchanges,
        ))
    }

    fn exchanges(&self, options: &EntryOptions) -> Result<Exchanges> {
        let reserved = options.cancel_connections_per_server;
        let tasks = ClientOptions {
            max_connections_per_address: MAX_SERVER_CONNECTIONS.saturating_sub(reserved).max(1),
            ..ClientOptions::default()
        };
        let cancels = ClientOptions {
            max_connections_per_address: reserved.max(1),
            ..ClientOptions::default()
        };
        let metrics = Arc::clone(&self.metrics);
        let claims = ClaimClient::new(self.control_links(options), self.timer.clone(), metrics);
        Ok(Exchanges {
            host_id: self.host_id.clone(),
            tasks: HttpClient::new(tasks)?,
            cancels: HttpClient::new(cancels)?,
            peers: Arc::clone(&self.peers),
            claims,
            metrics: Arc::clone(&self.metrics),
        })
    }

    fn routes(&self, options: &EntryOptions, event_loop: &DispatchLoopHandle) -> Routes {
        Routes {
            event_loop: event_loop.clone(),
            config: self.config.clone(),
            lifecycle: Arc::clone(&self.lifecycle),
            metrics: Arc::clone(&self.metrics),
            timer: self.timer.clone(),
            job_ids: JobIdGenerator::new(self.host_id.clone(), self.timer.unix_ms()),
            operator_credential: options.operator_credential.clone(),
            max_body_bytes: options.max_body_bytes,
            bodies: BodyBudget::new(options.max_total_body_bytes),
        }
    }

    fn status_sender(
        &self,
        options: &EntryOptions,
        event_loop: &DispatchLoopHandle,
        addresses: AdvertisedAddresses,
    ) -> StatusSender {
        StatusSender {
            event_loop: event_loop.clone(),
            addresses,
            peers: Arc::clone(&self.peers),
            links: options.peers.iter().map(|at| self.link(*at)).collect(),
            timer: self.timer.clone(),
            metrics: Arc::clone(&self.metrics),
            lifecycle: Arc::clone(&self.lifecycle),
        }
    }

    fn config_poller(
        &self,
        options: &EntryOptions,
        event_loop: &DispatchLoopHandle,
    ) -> ConfigPoller {
        ConfigPoller {
            event_loop: event_loop.clone(),
            config: self.config.clone(),
            control_hosts: self.control_links(options),
            peers: Arc::clone(&self.peers),
            timer: self.timer.clone(),
            lifecycle: Arc::clone(&self.lifecycle),
        }
    }

    fn link_service(&self, event_loop: &DispatchLoopHandle) -> EntryLinkService {
        EntryLinkService {
            event_loop: event_loop.clone(),
            config: self.config.clone(),
            timer: self.timer.clone(),
            lifecycle: Arc::clone(&self.lifecycle),
        }
    }
}

fn server_options(options: &EntryOptions) -> ServerOptions {
    ServerOptions {
        credential: options.link_credential.clone(),
        max_message_bytes: MAX_CHUNK_BYTES,
        ..ServerOptions::default()
    }
}
