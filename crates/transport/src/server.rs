//! The server side.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use hornbeam_core::Result;
use http::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::message::{CONNECTION_WINDOW_BYTES, MAX_HEADER_LIST_BYTES, STREAM_WINDOW_BYTES};
use crate::stream::{self, ServerState};

/// Delay after a failed accept. The usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time within which a new connection must complete the h2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a connection without running requests has to close gracefully. A
/// peer that stopped responding would otherwise block the shutdown.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of stream resets that a peer may have pending; more close the
/// connection.
const MAX_PENDING_RESETS: usize = 64;

/// `Service` handles the requests of one kind of link.
pub trait Service: Send + Sync + 'static {
    /// Type of the requests.
    type Request: DeserializeOwned + Send + 'static;
    /// Type of the responses.
    type Answer: Send + Serialize + 'static;

    /// Handles one request. An error is sent to the caller as a refusal, so it
    /// must mean that the request had no effect. The future is dropped if the
    /// caller disconnects.
    fn handle(&self, request: Self::Request) -> impl Future<Output = Result<Self::Answer>> + Send;
}

/// `ServerOptions` are the settings of [`serve`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOptions {
    /// Shared secret that callers must present; default none.
    pub credential: Option<String>,
    /// Maximum size of a message in bytes; default 16 MiB.
    pub max_message_bytes: usize,
    /// Maximum number of open connections; default 256.
    pub max_connections: usize,
    /// Maximum number of concurrent requests on a connection; default 1024.
    pub max_streams: u32,
    /// Time without a running or completed request after which a connection is
    /// closed; default 60 s.
    pub idle_timeout: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            credential: None,
            max_message_bytes: 16 << 20,
            max_connections: 256,
            max_streams: 1024,
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Serves connections until `shutdown` completes, then lets running requests
/// finish and joins every task that it spawned.
///
/// # Errors
/// None at present; a failed accept is retried.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    options: ServerOptions,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<()> {
    let permits = Arc::new(Semaphore::new(options.max_connections));
    let state = Arc::new(ServerState::new(service, options));
    let (stop_sender, stop_receiver) = watch::channel(false);
    let mut connections = JoinSet::new();
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            biased;
            () = &mut shutdown => break,
            Some(_) = connections.join_next() => {}
            accepted = accept(&listener, &permits) => match accepted {
                Ok((stream, permit)) => {
                    let connection = Connection::new(state.clone(), stop_receiver.clone());
                    connections.spawn(connection.run(stream, permit));
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
        }
    }
    drop(listener);
    stop_sender.send_replace(true);
    while connections.join_next().await.is_some() {}
    Ok(())
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits
        .clone()
        .acquire_owned()
        .await
        .map_err(std::io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, permit))
}

type H2Connection = h2::server::Connection<TcpStream, Bytes>;
type Incoming = (Request<RecvStream>, SendResponse<Bytes>);

/// `Connection` serves the streams of one connection and owns their tasks.
struct Connection<S> {
    state: Arc<ServerState<S>>,
    stop_receiver: watch::Receiver<bool>,
    streams: JoinSet<()>,
    /// Time at which the connection is closed if no request is running.
    idle_deadline: Instant,
    is_closing: bool,
}

impl<S: Service> Connection<S> {
    fn new(state: Arc<ServerState<S>>, stop_receiver: watch::Receiver<bool>) -> Self {
        let idle_deadline = Instant::now() + state.options.idle_timeout;
        Self {
            state,
            stop_receiver,
            streams: JoinSet::new(),
            idle_deadline,
            is_closing: false,
        }
    }

    async fn run(mut self, stream: TcpStream, _permit: OwnedSemaphorePermit) {
        let builder = server_builder(&self.state.options);
        let handshake = builder.handshake::<_, Bytes>(stream);
        let connection = tokio::select! {
            connection = timeout(HANDSHAKE_TIMEOUT, handshake) => connection,
            () = wait_for_stop(&mut self.stop_receiver) => return,
        };
        if let Ok(Ok(connection)) = connection {
            self.serve(connection).await;
        }
        // The callers of the remaining streams have disconnected.
        self.streams.shutdown().await;
    }

    /// Serves until the connection ends.
    async fn serve(&mut self, mut connection: H2Connection) {
        loop {
            tokio::select! {
                incoming = connection.accept() => match incoming {
                    Some(Ok(incoming)) => self.spawn_stream(incoming),
                    Some(Err(_)) | None => return,
                },
                Some(_) = self.streams.join_next() => self.reset_idle_deadline(),
                () = sleep_until(self.idle_deadline), if self.streams.is_empty() => {
                    if self.is_closing {
                        return;
                    }
                    self.begin_close(&mut connection);
                }
                () = wait_for_stop(&mut self.stop_receiver), if !self.is_closing => {
                    self.begin_close(&mut connection);
                }
            }
        }
    }

    fn spawn_stream(&mut self, (request, response): Incoming) {
        let handling = stream::handle(self.state.clone(), request, response);
        self.streams.spawn(handling);
    }

    /// Tells the caller not to open further streams.
    fn begin_close(&mut self, connection: &mut H2Connection) {
        connection.graceful_shutdown();
        self.is_closing = true;
        self.reset_idle_deadline();
    }

    fn reset_idle_deadline(&mut self) {
        let limit = if self.is_closing {
            CLOSE_GRACE_PERIOD
        } else {
            self.state.options.idle_timeout
        };
        self.idle_deadline = Instant::now() + limit;
    }
}

async fn wait_for_stop(receiver: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, which also stops it.
    let _ = receiver.wait_for(|stopped| *stopped).await;
}

fn server_builder(options: &ServerOptions) -> h2::server::Builder {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .max_concurrent_streams(options.max_streams)
        .max_pending_accept_reset_streams(MAX_PENDING_RESETS);
    builder
}
