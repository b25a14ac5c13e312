//! The control host: disk, links and operators' HTTP routes around a replica of
//! `hornbeam-control`.

mod audit_fields;
mod changes;
mod disk;
mod evacuations;
mod event_loop;
mod fleet;
mod input;
mod leader;
mod links;
mod members;
mod metrics;
mod outbox;
mod outboxes;
mod replicas;
mod routes;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, mpsc as std_mpsc};

use eyre::{Result, WrapErr};
use hornbeam_control::{
    DiskStorage, PublishedDocument, RecoveredState, RepairOptions, Replica, ReplicaOptions,
};
use hornbeam_core::event::Event;
use hornbeam_core::ids::{HostId, ReplicaId};
use hornbeam_core::log_event;
use hornbeam_document::HistoryOptions;
use hornbeam_http::{HttpServer, HttpServerOptions};
use hornbeam_timer::TimerService;
use hornbeam_transport::{LinkOptions, ServerOptions};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use self::evacuations::Evacuations;
use self::event_loop::{ControlLoop, Waiters};
use self::fleet::registry::EntryRegistry;
use self::fleet::routes::FleetRoutes;
use self::input::{ControlHandle, ControlInput};
use self::leader::LeaderClient;
use self::links::ControlLinkService;
use self::metrics::ControlMetrics;
use self::outboxes::Outboxes;
use self::replicas::ReplicaTable;
use self::routes::Routes;
use crate::config_watch::ConfigWatch;
use crate::documents::SharedDocuments;
use crate::fleet_links::link_options;
use crate::host::{Host, RunningHost};
use crate::lifecycle::Lifecycle;

/// Maximum number of open links. Each entry host and each control host keeps
/// one, and a site may have 2,400 hosts.
const MAX_LINK_CONNECTIONS: usize = 3_000;

/// `ControlOptions` are the settings of a control host.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlOptions {
    /// Id of this host; no default.
    pub host_id: HostId,
    /// Options of the replica.
    pub replica: ReplicaOptions,
    /// Whether the group is being formed, so that a replica with an empty data
    /// folder takes the id in `replica` and may vote. Otherwise it joins under
    /// a new random id without a vote; default false.
    pub new_group: bool,
    /// Data folder.
    pub data_folder: PathBuf,
    /// Address for operators' HTTP.
    pub http_listen: SocketAddr,
    /// Address for links from other processes of the system.
    pub link_listen: SocketAddr,
    /// Link addresses of the other control hosts.
    pub peers: Vec<(ReplicaId, SocketAddr)>,
    /// Shared secret of links; default none.
    pub link_credential: Option<String>,
    /// Credential of operators; default none, which rejects their requests.
    pub operator_credential: Option<String>,
    /// Settings of a group that serves guarded workers; default none.
    pub fleet: Option<FleetControlOptions>,
}

/// `FleetControlOptions` are the settings of a control host that also accepts
/// published documents and the status reports of guarded workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetControlOptions {
    /// HTTP address for documents and status reports.
    pub listen: SocketAddr,
    /// Link addresses of some control hosts, from which the group is discovered.
    pub seeds: Vec<SocketAddr>,
    /// Options of the automatic repair of the group's membership.
    pub repair: RepairOptions,
}

/// `ControlHost` is a running control host.
#[derive(Debug)]
pub struct ControlHost {
    http_address: SocketAddr,
    link_address: SocketAddr,
    event_loop: ControlHandle,
    running: RunningHost,
}

impl ControlHost {
    /// Recovers the data folder, binds both addresses and starts.
    ///
    /// # Errors
    /// If the folder is damaged or an address cannot be bound.
    pub async fn start(mut options: ControlOptions) -> Result<Self> {
        if let Some(fleet) = options.fleet.clone() {
            fleet::join::resolve_replica(&mut options, &fleet).await?;
        }
        let (replica_id, disk, recovered) = open_disk(&options).await?;
        let listener = TcpListener::bind(options.link_listen)
            .await
            .wrap_err_with(|| format!("cannot bind {}", options.link_listen))?;
        let link_address = listener.local_addr()?;
        let context = HostContext::new(&options)?;
        let (event_loop, inputs) = input::channel();
        let leader = context.leader_client(&event_loop);
        let router = routes::router(&Arc::new(context.routes(&options, &leader)));
        let server = HttpServer::start(options.http_listen, router, HttpServerOptions::default());
        let http = server
            .await
            .wrap_err_with(|| format!("cannot bind {}", options.http_listen))?;
        let mut tasks = JoinSet::new();
        let (requests, disk_requests) = std_mpsc::channel();
        // Unbounded, so that the disk thread never waits for the event loop.
        // There is at most one event per request in flight.
        let (events, disk_events) = mpsc::unbounded_channel();
        let disk_bytes = disk.size_bytes();
        let now = context.timer.now();
        let replica_options = ReplicaOptions {
            id: replica_id,
            ..options.replica.clone()
        };
        let replica = Replica::new(replica_options, recovered, now)?;
        let control_loop = ControlLoop {
            host_id: options.host_id.clone(),
            replica_id,
            recovered_index: replica.last_index(),
            replica,
            timer: context.timer.clone(),
            lifecycle: Arc::clone(&context.lifecycle),
            config: context.config.clone(),
            outboxes: Outboxes::new(replica_id, link_address, Arc::clone(&context.replicas)),
            disk: requests,
            disk_bytes,
            waiters: Waiters::default(),
            document: context.document.clone(),
            documents: context.documents.clone(),
            evacuations: context.evacuations.clone(),
            repair: options.fleet.as_ref().map(|fleet| fleet.repair),
        };
        tasks.spawn_blocking(move || disk::run(disk, &disk_requests, &events));
        tasks.spawn(control_loop.run(inputs, disk_events));
        let http_address = http.address();
        let mut servers = vec![http];
        if let Some(fleet) = &options.fleet {
            servers.push(
                context
                    .start_fleet_server(&options, fleet, &event_loop)
                    .await?,
            );
        }
        let link_service = context.link_service(replica_id, leader, link_address.port());
        let options = ServerOptions {
            credential: options.link_credential,
            max_connections: MAX_LINK_CONNECTIONS,
            ..ServerOptions::default()
        };
        let running = RunningHost::start(
            context.lifecycle,
            servers,
            tasks,
            listener,
            link_service,
            options,
        );
        Ok(Self {
            http_address,
            link_address,
            event_loop,
            running,
        })
    }

    /// Stops at once, as a crash would.
    pub fn abort(self) {
        self.running.abort();
    }
}

impl Host for ControlHost {
    fn lifecycle(&self) -> &Lifecycle {
        &self.running.lifecycle
    }

    fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    async fn stop(self) {
        let event_loop = self.event_loop;
        let stop_event_loop = async move {
            // Fails only if the event loop has already ended.
            let _ = event_loop.send(ControlInput::Stop).await;
        };
        self.running.stop(stop_event_loop).await;
    }
}

/// Opens the data folder on a blocking thread and chooses the replica's id.
async fn open_disk(options: &ControlOptions) -> Result<(ReplicaId, DiskStorage, RecoveredState)> {
    let folder = options.data_folder.clone();
    let configured_id = options.new_group.then_some(options.replica.id);
    let initial_voters = options.replica.initial_voters.clone();
    let opening = tokio::task::spawn_blocking(move || {
        let stored_id = DiskStorage::identity(&folder)?.map(|identity| identity.replica_id);
        let id = replica_id(stored_id, configured_id);
        let (disk, recovered) = DiskStorage::open(&folder, id, &initial_voters)?;
        hornbeam_core::Result::Ok((id, disk, recovered))
    });
    let (id, disk, recovered) = opening
        .await?
        .wrap_err_with(|| format!("cannot open {}", options.data_folder.display()))?;
    if recovered.truncated_bytes > 0 {
        log_event!(
            Event::LogTailCut, host = options.host_id;
            "{} bytes of an incomplete record were truncated", recovered.truncated_bytes
        );
    }
    Ok((id, disk, recovered))
}

/// Chooses the id of a replica: the stored one, or the configured one while the
/// group is being formed. Any other replica with an empty folder may have lost
/// its disk, and under its old id it could vote on state that it has lost.
fn replica_id(stored: Option<ReplicaId>, configured: Option<ReplicaId>) -> ReplicaId {
    stored.or(configured).unwrap_or_else(rand::random)
}

/// `HostContext` holds what the tasks of a control host share.
#[derive(Debug)]
struct HostContext {
    timer: TimerService,
    lifecycle: Arc<Lifecycle>,
    config: ConfigWatch,
    document: watch::Sender<PublishedDocument>,
    documents: SharedDocuments,
    evacuations: Evacuations,
    registry: Arc<EntryRegistry>,
    replicas: Arc<ReplicaTable>,
}

impl HostContext {
    fn new(options: &ControlOptions) -> Result<Self> {
        let defaults = match options.fleet {
            Some(_) => link_options(),
            None => LinkOptions::default(),
        };
        let link_options = LinkOptions {
            credential: options.link_credential.clone(),
            ..defaults
        };
        Ok(Self {
            timer: TimerService::default(),
            lifecycle: Arc::new(Lifecycle::new()?),
            config: ConfigWatch::new(),
            document: watch::Sender::new(PublishedDocument::default()),
            documents: SharedDocuments::new(HistoryOptions::default()),
            evacuations: Evacuations::new(options.host_id.clone()),
            registry: Arc::new(EntryRegistry::new(link_options.clone())),
            replicas: Arc::new(ReplicaTable::new(
                link_options,
                &options.peers,
                options.fleet.is_some().then(|| options.link_listen.port()),
            )),
        })
    }

    fn leader_client(&self, event_loop: &ControlHandle) -> LeaderClient {
        LeaderClient {
            event_loop: event_loop.clone(),
            replicas: Arc::clone(&self.replicas),
            timer: self.timer.clone(),
        }
    }

    fn routes(&self, options: &ControlOptions, leader: &LeaderClient) -> Routes {
        Routes {
            leader: leader.clone(),
            lifecycle: Arc::clone(&self.lifecycle),
            metrics: ControlMetrics::new(),
            evacuations: self.evacuations.clone(),
            operator_credential: options.operator_credential.clone(),
        }
    }

    fn link_service(
        &self,
        replica_id: ReplicaId,
        leader: LeaderClient,
        link_port: u16,
    ) -> ControlLinkService {
        ControlLinkService {
            replica_id,
            leader,
            config: self.config.clone(),
            timer: self.timer.clone(),
            lifecycle: Arc::clone(&self.lifecycle),
            document: self.document.clone(),
            documents: self.documents.clone(),
            evacuations: self.evacuations.clone(),
            registry: Arc::clone(&self.registry),
            link_port,
        }
    }

    async fn start_fleet_server(
        &self,
        options: &ControlOptions,
        fleet: &FleetControlOptions,
        event_loop: &ControlHandle,
    ) -> Result<HttpServer> {
        let routes = FleetRoutes {
            host_id: options.host_id.clone(),
            leader: self.leader_client(event_loop),
            document: self.document.clone(),
            evacuations: self.evacuations.clone(),
            registry: Arc::clone(&self.registry),
            timer: self.timer.clone(),
            lifecycle: Arc::clone(&self.lifecycle),
        };
        let router = fleet::routes::router(Arc::new(routes));
        HttpServer::start(fleet.listen, router, HttpServerOptions::default())
            .await
            .wrap_err_with(|| format!("cannot bind {}", fleet.listen))
    }
}
