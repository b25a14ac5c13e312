//! The entry host: HTTP routes, backend exchanges and peers around the
//! dispatcher.

mod announcement;
mod claims;
mod exchange;
mod follower;
mod input;
mod job_ids;
mod links;
mod metrics;
mod peers;
mod routes;
mod shell;
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

use self::claims::ClaimCaller;
use self::exchange::Exchanges;
use self::follower::Follower;
use self::input::ShellHandle;
use self::job_ids::JobIds;
use self::links::EntryLinks;
use self::metrics::EntryMetrics;
use self::peers::{Addresses, PeerTable, StatusSender};
use self::routes::Routes;
use self::shell::Shell;
use crate::config_watch::ConfigWatch;
use crate::host::{Host, Running};
use crate::lifecycle::Lifecycle;
use crate::reply::BodyBudget;

/// Connections that a backend server accepts in all.
const SERVER_CONNECTIONS: usize = 64;

/// Largest message between entry hosts, in bytes. A chunk can hold all tasks
/// of a job, so this is above the largest body of a job; answers can be larger
/// than requests.
const MAX_CHUNK_BYTES: usize = 64 << 20;

/// `EntryOptions` are the settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryOptions {
    /// Options of the dispatcher: host id, failure domain, policy, seed.
    pub dispatch: DispatchOptions,
    /// Address for HTTP; port 0 chooses one; default `127.0.0.1:0`.
    pub http_listen: SocketAddr,
    /// Address for links of the system's own processes; default
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
    /// Largest body of a job in bytes; default 40 MiB.
    pub max_body_bytes: usize,
    /// Most bytes of the bodies of all jobs without an answer; a job without
    /// room is refused; default 256 MiB.
    pub max_total_body_bytes: usize,
    /// Connections to one server that are kept back for cancels; default 16.
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
    addresses: Addresses,
    shell: ShellHandle,
    running: Running,
}

impl EntryHost {
    /// Binds both addresses and starts.
    ///
    /// # Errors
    /// If an address cannot be bound or a state chart is invalid.
    pub async fn start(options: EntryOptions) -> Result<Self> {
        let parts = Parts::new(&options)?;
        let listener = TcpListener::bind(options.link_listen)
            .await
            .wrap_err_with(|| format!("cannot bind {}", options.link_listen))?;
        let link = listener.local_addr()?;
        let (shell, receiver) = input::channel();
        let routes = Arc::new(parts.routes(&options, &shell));
        let router = routes::router(&routes);
        let server = HttpServer::start(options.http_listen, router, HttpServerOptions::default());
        let http = server
            .await
            .wrap_err_with(|| format!("cannot bind {}", options.http_listen))?;
        let addresses = Addresses {
            http: http.address(),
            link,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(parts.shell(&options)?.run(receiver));
        tasks.spawn(parts.status_sender(&options, &shell, addresses).run());
        tasks.spawn(parts.follower(&options, &shell).run());
        let links = parts.links(&shell);
        let options = server_options(&options);
        let running = Running::start(parts.lifecycle, vec![http], tasks, listener, links, options);
        Ok(Self {
            addresses,
            shell,
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
        let shell = self.shell;
        self.running.stop(async move { shell.stop().await }).await;
    }
}

/// `Parts` are what the tasks of an entry host share.
#[derive(Debug)]
struct Parts {
    host_id: HostId,
    timer: TimerService,
    lifecycle: Arc<Lifecycle>,
    metrics: Arc<EntryMetrics>,
    config: ConfigWatch,
    peers: Arc<PeerTable>,
    link_options: LinkOptions,
}

impl Parts {
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

    /// Gets links to the control hosts. Entry hosts start with different ones,
    /// so that they share the load.
    fn control_links(&self, options: &EntryOptions) -> Vec<Link> {
        let hosts = &options.control_hosts;
        let mut links: Vec<Link> = hosts.iter().map(|(_, at)| self.link(*at)).collect();
        let sum: usize = self.host_id.bytes().map(usize::from).sum();
        let first = sum.checked_rem(links.len()).unwrap_or(0);
        links.rotate_left(first);
        links
    }

    fn shell(&self, options: &EntryOptions) -> Result<Shell> {
        let dispatcher = Dispatcher::new(options.dispatch.clone())?;
        let exchanges = self.exchanges(options)?;
        let timer = self.timer.clone();
        let lifecycle = Arc::clone(&self.lifecycle);
        let peers = Arc::clone(&self.peers);
        Ok(Shell::new(dispatcher, timer, lifecycle, peers, exchanges))
    }

    fn exchanges(&self, options: &EntryOptions) -> Result<Exchanges> {
        let kept_back = options.cancel_connections_per_server;
        let tasks = ClientOptions {
            max_connections_per_address: SERVER_CONNECTIONS.saturating_sub(kept_back).max(1),
            ..ClientOptions::default()
        };
        let cancels = ClientOptions {
            max_connections_per_address: kept_back.max(1),
            ..ClientOptions::default()
        };
        let metrics = Arc::clone(&self.metrics);
        let claims = ClaimCaller::new(self.control_links(options), self.timer.clone(), metrics);
        Ok(Exchanges {
            host_id: self.host_id.clone(),
            tasks: HttpClient::new(tasks)?,
            cancels: HttpClient::new(cancels)?,
            peers: Arc::clone(&self.peers),
            claims,
            metrics: Arc::clone(&self.metrics),
        })
    }

    fn routes(&self, options: &EntryOptions, shell: &ShellHandle) -> Routes {
        Routes {
            shell: shell.clone(),
            config: self.config.clone(),
            lifecycle: Arc::clone(&self.lifecycle),
            metrics: Arc::clone(&self.metrics),
            timer: self.timer.clone(),
            job_ids: JobIds::new(self.host_id.clone(), self.timer.unix_ms()),
            operator_credential: options.operator_credential.clone(),
            max_body_bytes: options.max_body_bytes,
            bodies: BodyBudget::new(options.max_total_body_bytes),
        }
    }

    fn status_sender(
        &self,
        options: &EntryOptions,
        shell: &ShellHandle,
        addresses: Addresses,
    ) -> StatusSender {
        StatusSender {
            shell: shell.clone(),
            addresses,
            peers: Arc::clone(&self.peers),
            links: options.peers.iter().map(|at| self.link(*at)).collect(),
            timer: self.timer.clone(),
            metrics: Arc::clone(&self.metrics),
            lifecycle: Arc::clone(&self.lifecycle),
        }
    }

    fn follower(&self, options: &EntryOptions, shell: &ShellHandle) -> Follower {
        Follower {
            shell: shell.clone(),
            config: self.config.clone(),
            control_hosts: self.control_links(options),
            peers: Arc::clone(&self.peers),
            timer: self.timer.clone(),
            lifecycle: Arc::clone(&self.lifecycle),
        }
    }

    fn links(&self, shell: &ShellHandle) -> EntryLinks {
        EntryLinks {
            shell: shell.clone(),
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
