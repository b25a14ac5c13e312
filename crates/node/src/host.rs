//! The common interface and the common parts of running hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_core::event::Event;
use hornbeam_core::log_event;
use hornbeam_http::HttpServer;
use hornbeam_transport::{ServerOptions, Service};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::lifecycle::{Lifecycle, LifecycleEvent};
use crate::link_server;

/// `Host` is a running host of any role.
pub trait Host: Send + Sized + Sync {
    /// Gets the life cycle.
    fn lifecycle(&self) -> &Lifecycle;

    /// Gets the bound address for HTTP.
    fn http_address(&self) -> SocketAddr;

    /// Gets the bound address for links from other processes of the system.
    fn link_address(&self) -> SocketAddr;

    /// Drains, stops and joins everything.
    fn stop(self) -> impl Future<Output = ()> + Send;

    /// Starts a drain; new work is refused from now on.
    fn start_drain(&self) {
        self.lifecycle().on(LifecycleEvent::Drain);
    }

    /// Waits until the host has failed or a drain is complete, which an
    /// operator's request may have started as well.
    fn stopped(&self) -> impl Future<Output = ()> + Send {
        self.lifecycle().stopped()
    }

    /// Whether the host stopped because of an error.
    fn has_failed(&self) -> bool {
        self.lifecycle().has_failed()
    }
}

/// `RunningHost` owns the servers and tasks of a host.
#[derive(Debug)]
pub(crate) struct RunningHost {
    pub(crate) lifecycle: Arc<Lifecycle>,
    servers: Vec<HttpServer>,
    link_shutdown: oneshot::Sender<()>,
    tasks: JoinSet<()>,
    close_timeout: Option<Duration>,
}

impl RunningHost {
    /// Starts the link server; the host then listens on all its addresses.
    pub(crate) fn start<S: Service>(
        lifecycle: Arc<Lifecycle>,
        servers: Vec<HttpServer>,
        mut tasks: JoinSet<()>,
        listener: TcpListener,
        links: S,
        options: ServerOptions,
    ) -> Self {
        let (link_shutdown, shutdown_requested) = oneshot::channel();
        tasks.spawn(link_server::run(
            listener,
            links,
            options,
            shutdown_requested,
        ));
        lifecycle.on(LifecycleEvent::Listening);
        Self {
            lifecycle,
            servers,
            link_shutdown,
            tasks,
            close_timeout: None,
        }
    }

    /// Sets the time after a drain within which all connections must close;
    /// default none.
    pub(crate) fn with_close_timeout(mut self, close_timeout: Duration) -> Self {
        self.close_timeout = Some(close_timeout);
        self
    }

    /// Drains the host, stops its event loop, and joins all servers and tasks.
    /// Connections that do not close in time are aborted.
    pub(crate) async fn stop(self, stop_event_loop: impl Future<Output = ()>) {
        self.lifecycle.on(LifecycleEvent::Drain);
        self.lifecycle.stopped().await;
        let Some(close_timeout) = self.close_timeout else {
            return self.close(stop_event_loop).await;
        };
        let closing = timeout(close_timeout, self.close(stop_event_loop));
        if closing.await.is_err() {
            log_event!(
                Event::ConnectionsAborted;
                "not all connections closed within {} ms",
                close_timeout.as_millis()
            );
        }
    }

    async fn close(mut self, stop_event_loop: impl Future<Output = ()>) {
        // Answers that the event loop has given are still being written.
        for server in self.servers {
            server.stop().await;
        }
        // Fails only if the link server has already ended.
        let _ = self.link_shutdown.send(());
        stop_event_loop.await;
        while self.tasks.join_next().await.is_some() {}
    }

    /// Stops at once, as a crash would: dropping `self` ends servers and tasks.
    pub(crate) fn abort(self) {}
}
