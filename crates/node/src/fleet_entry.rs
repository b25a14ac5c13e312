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
use hornbeam_fleet::{Fleet, FleetOptions, PeerInfo};
use hornbeam_http::{HttpServer, HttpServerOptions};
use hornbeam_platform::WorkerClient;
use hornbeam_timer::TimerService;
use hornbeam_transport::{LinkOptions, ServerOptions};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::caller::CallerRoutes;
use self::input::EntryHandle;
use self::links::EntryLinks;
use self::membership::Membership;
use self::metrics::FleetMetrics;
use self::orders::Orders;
use self::reports::ReportRoutes;
use self::shell::{EntryShell, InForce};
use crate::host::{Host, Running};
use crate::lifecycle::Lifecycle;

/// `FleetEntryOptions` are the settings of an entry host of guarded workers.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetEntryOptions {
    /// Settings of the decisions.
    pub fleet: FleetOptions,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address at which the load balancer asks whether the host is ready.
    pub readiness_listen: SocketAddr,
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
    caller_address: SocketAddr,
    link_address: SocketAddr,
    shell: EntryHandle,
    control_hosts: watch::Sender<Vec<SocketAddr>>,
    running: Running,
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
        let (shell, inputs) = input::channel();
        let in_force = watch::Sender::new(InForce::default());
        let control_hosts = watch::Sender::new(options.control_hosts.clone());
        let servers = Servers {
            options: &options,
            shell: &shell,
            in_force: &in_force,
            lifecycle: &lifecycle,
            timer: &timer,
            metrics: &metrics,
        };
        let servers = servers.start().await?;
        let mut tasks = JoinSet::new();
        let entry_shell = EntryShell {
            host_id: host_id.clone(),
            fleet: Fleet::new(options.fleet.clone()),
            timer: timer.clone(),
            lifecycle: Arc::clone(&lifecycle),
            in_force: in_force.clone(),
            orders: Orders::new(WorkerClient::new()?),
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
            lifecycle: Arc::clone(&lifecycle),
        };
        tasks.spawn(membership.run());
        let links = EntryLinks {
            shell: shell.clone(),
            in_force,
        };
        let link_options = ServerOptions::default();
        let running = Running::start(lifecycle, servers, tasks, listener, links, link_options);
        Ok(Self {
            caller_address: options.caller_listen,
            link_address,
            shell,
            control_hosts,
            running,
        })
    }

    /// Replaces the control hosts that are asked even when they are silent.
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
        let shell = self.shell;
        let stop_loop = async move {
            // Fails only if the loop has ended already.
            let _ = shell.send(input::EntryInput::Stop);
        };
        self.running.stop(stop_loop).await;
    }
}

fn own_address(options: &FleetOptions) -> PeerInfo {
    let failure_domain: FailureDomainId = options.failure_domain.clone();
    PeerInfo {
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
    lifecycle: &'a Arc<Lifecycle>,
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
        let readiness = reports::readiness_router(self.in_force.subscribe(), self.lifecycle);
        let metrics = metrics::router(self.metrics, self.shell);
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
