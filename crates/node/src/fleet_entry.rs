//! The entry host of guarded workers: callers, status reports, orders and
//! links around `hornbeam-fleet`.

mod caller;
mod input;
mod links;
mod log_budget;
mod membership;
mod metrics;
mod orders;
mod reports;
mod shell;

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Result, WrapErr};
use hornbeam_core::ids::{FailureDomainId, HostId};
use hornbeam_fleet::{Fleet, FleetOptions, PeerAddress};
use hornbeam_http::{HttpServer, HttpServerOptions};
use hornbeam_platform::WorkerCalls;
use hornbeam_timer::TimerService;
use hornbeam_transport::{LinkOptions, ServerOptions};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

use self::caller::CallerRoutes;
use self::input::EntryHandle;
use self::links::EntryLinks;
use self::membership::Membership;
use self::metrics::FleetMetrics;
use self::orders::Orders;
use self::reports::ReportRoutes;
use self::shell::{EntryShell, InForce};
use crate::lifecycle::{LifeEvent, Lifecycle};
use crate::link_server;

/// `FleetEntryOptions` are the settings of an entry host of guarded workers.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetEntryOptions {
    /// Settings of the decisions.
    pub fleet: FleetOptions,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address at which the load balancer asks whether the host is ready.
    pub ready_listen: SocketAddr,
    /// Address for the reports of owned workers.
    pub report_listen: SocketAddr,
    /// Address for metrics.
    pub metrics_listen: SocketAddr,
    /// Link addresses of some control hosts.
    pub control_hosts: Vec<SocketAddr>,
    /// Limits of the HTTP servers.
    pub http: HttpServerOptions,
}

/// `FleetEntryHost` is a running entry host of guarded workers.
#[derive(Debug)]
pub struct FleetEntryHost {
    life: Arc<Lifecycle>,
    shell: EntryHandle,
    servers: Vec<HttpServer>,
    control_hosts: watch::Sender<Vec<SocketAddr>>,
    end_links: oneshot::Sender<()>,
    tasks: JoinSet<()>,
}

impl FleetEntryHost {
    /// Binds all addresses and starts.
    ///
    /// # Errors
    /// If an address cannot be bound or a client cannot be set up.
    pub async fn start(options: FleetEntryOptions) -> Result<Self> {
        let timer = TimerService::default();
        let life = Arc::new(Lifecycle::new()?);
        let metrics = Arc::new(FleetMetrics::new());
        let host_id: HostId = options.fleet.host_id.clone();
        let link_address = options.fleet.link_address;
        let listener = TcpListener::bind(link_address)
            .await
            .wrap_err_with(|| format!("cannot bind {link_address}"))?;
        let (shell, inputs) = input::channel();
        let in_force = watch::Sender::new(InForce::default());
        let control_hosts = watch::Sender::new(options.control_hosts.clone());
        let servers = Servers {
            options: &options,
            shell: &shell,
            in_force: &in_force,
            life: &life,
            timer: &timer,
            metrics: &metrics,
        };
        let servers = servers.start().await?;
        let mut tasks = JoinSet::new();
        let entry_shell = EntryShell {
            host_id: host_id.clone(),
            fleet: Fleet::new(options.fleet.clone()),
            timer: timer.clone(),
            life: Arc::clone(&life),
            in_force: in_force.clone(),
            orders: Orders::new(WorkerCalls::new()?),
            metrics: Arc::clone(&metrics),
            waiting: Default::default(),
            log_budget: Default::default(),
        };
        tasks.spawn(entry_shell.run(inputs));
        let membership = Membership {
            host: own_address(&options.fleet),
            report_address: options.report_listen,
            seeds: control_hosts.subscribe(),
            link_options: LinkOptions::default(),
            shell: shell.clone(),
            in_force: in_force.clone(),
            timer: timer.clone(),
            life: Arc::clone(&life),
        };
        tasks.spawn(membership.run());
        let service = EntryLinks {
            shell: shell.clone(),
            in_force,
        };
        let (end_links, links_end) = oneshot::channel();
        let server_options = ServerOptions::default();
        tasks.spawn(link_server::run(
            listener,
            service,
            server_options,
            links_end,
        ));
        life.on(LifeEvent::Listening);
        Ok(Self {
            life,
            shell,
            servers,
            control_hosts,
            end_links,
            tasks,
        })
    }

    /// Replaces the control hosts that are asked even when they are silent.
    pub fn use_control_hosts(&self, control_hosts: Vec<SocketAddr>) {
        self.control_hosts.send_replace(control_hosts);
    }

    /// Starts to drain; after a while new jobs are refused.
    pub fn start_drain(&self) {
        self.life.on(LifeEvent::Drain);
    }

    /// Waits until nothing is left to do.
    pub async fn drained(&self) {
        self.life.stopped().await;
    }

    /// Whether the host stopped because of an error.
    pub fn has_failed(&self) -> bool {
        self.life.has_failed()
    }

    /// Drains, stops and joins everything.
    pub async fn stop(mut self) {
        self.start_drain();
        self.drained().await;
        // Answers that the loop has given are still being written.
        for server in self.servers {
            server.stop().await;
        }
        // Both fail only if the receiving task has ended already.
        let _ = self.end_links.send(());
        let _ = self.shell.send(input::EntryInput::Stop);
        while self.tasks.join_next().await.is_some() {}
    }
}

fn own_address(options: &FleetOptions) -> PeerAddress {
    let failure_domain: FailureDomainId = options.failure_domain.clone();
    PeerAddress {
        host_id: options.host_id.clone(),
        address: options.link_address,
        failure_domain,
    }
}

/// `Servers` is what the HTTP servers of a host share.
struct Servers<'a> {
    options: &'a FleetEntryOptions,
    shell: &'a EntryHandle,
    in_force: &'a watch::Sender<InForce>,
    life: &'a Arc<Lifecycle>,
    timer: &'a TimerService,
    metrics: &'a Arc<FleetMetrics>,
}

impl Servers<'_> {
    async fn start(&self) -> Result<Vec<HttpServer>> {
        let callers = CallerRoutes::new(
            self.options.fleet.host_id.clone(),
            self.shell.clone(),
            self.in_force.subscribe(),
            self.timer.clone(),
        );
        let reports = ReportRoutes {
            host_id: self.options.fleet.host_id.clone(),
            shell: self.shell.clone(),
            timer: self.timer.clone(),
            report_port: self.options.report_listen.port(),
        };
        let readiness = reports::readiness_router(self.in_force.subscribe(), self.life);
        let metrics = metrics::router(self.metrics, self.shell);
        let routers = [
            (self.options.caller_listen, caller::router(callers)),
            (self.options.ready_listen, readiness),
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
