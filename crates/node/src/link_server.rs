//! The task that accepts links to a host.

use std::sync::Arc;

use hornbeam_core::event::Event;
use hornbeam_core::log_event;
use hornbeam_transport::{ServerOptions, Service, serve};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Serves until the sender of `shutdown_requested` sends or is dropped.
pub(crate) async fn run<S: Service>(
    listener: TcpListener,
    service: S,
    options: ServerOptions,
    shutdown_requested: oneshot::Receiver<()>,
) {
    let shutdown = async {
        // A dropped sender ends the server as well.
        let _ = shutdown_requested.await;
    };
    if let Err(cause) = serve(listener, Arc::new(service), options, shutdown).await {
        log_event!(Event::ProcessFailed; "the link server failed: {cause}");
    }
}
