//! What every running host has in common.

use std::net::SocketAddr;
use std::sync::Arc;

use hornbeam_http::HttpServer;
use hornbeam_transport::{ServerOptions, Service};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::lifecycle::{Lifecycle, LifecycleEvent};
use crate::link_server;

/// `Host` is a running host of any role.
pub trait Host: Send + Sized + Sync {
    /// Gets the life cycle.
    fn lifecycle(&self) -> &Lifecycle;

    /// Gets the bound address for HTTP.
    fn http_address(&self) -> SocketAddr;

    /// Gets the bound address for links of the system's own processes.
    fn link_address(&self) -> SocketAddr;

    /// Drains, stops and joins everything.
    fn stop(self) -> impl Future<Output = ()> + Send;

    /// Starts to drain; new work is refused.
    fn start_drain(&self) {
        self.lifecycle().on(LifecycleEvent::Drain);
    }

    /// Waits until the host has nothing left to do: a drain is complete, which
    /// an operator's request may have started as well, or it has failed.
    fn stopped(&self) -> impl Future<Output = ()> + Send {
        self.lifecycle().stopped()
    }

    /// Whether the host stopped because of an error.
    fn has_failed(&self) -> bool {
        self.lifecycle().has_failed()
    }
}

/// `Running` holds the servers and tasks of a host.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) lifecycle: Arc<Lifecycle>,
    servers: Vec<HttpServer>,
    end_links: oneshot::Sender<()>,
    tasks: JoinSet<()>,
}

impl Running {
    /// Starts to answer links; with that the host listens on all addresses.
    pub(crate) fn start<S: Service>(
        lifecycle: Arc<Lifecycle>,
        servers: Vec<HttpServer>,
        mut tasks: JoinSet<()>,
        listener: TcpListener,
        links: S,
        options: ServerOptions,
    ) -> Self {
        let (end_links, links_end) = oneshot::channel();
        tasks.spawn(link_server::run(listener, links, options, links_end));
        lifecycle.on(LifecycleEvent::Listening);
        Self {
            lifecycle,
            servers,
            end_links,
            tasks,
        }
    }

    /// Drains, stops the loop of the host and joins everything.
    pub(crate) async fn stop(mut self, stop_loop: impl Future<Output = ()>) {
        self.lifecycle.on(LifecycleEvent::Drain);
        self.lifecycle.stopped().await;
        // Answers that the loop has given are still being written.
        for server in self.servers {
            server.stop().await;
        }
        // Fails only if the link server has ended already.
        let _ = self.end_links.send(());
        stop_loop.await;
        while self.tasks.join_next().await.is_some() {}
    }

    /// Stops at once, as a crash would: servers and tasks end with their owner.
    pub(crate) fn abort(self) {}
}
