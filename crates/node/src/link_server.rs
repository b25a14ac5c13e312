//! The task that serves the links of a host.

use std::sync::Arc;

use hornbeam_core::event::Event;
use hornbeam_core::log_event;
use hornbeam_transport::{ServerOptions, Service, serve};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Serves until the sender of `end` sends or is gone.
pub(crate) async fn run<S: Service>(
    listener: TcpListener,
    service: S,
    options: ServerOptions,
    end: oneshot::Receiver<()>,
) {
    let shutdown = async {
        // A sender that is gone ends the server as well.
        let _ = end.await;
    };
    if let Err(cause) = serve(listener, Arc::new(service), options, shutdown).await {
        log_event!(Event::ProcessFailed; "the link server ended: {cause}");
    }
}
