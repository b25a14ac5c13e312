//! The answering side.

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
use crate::stream::{self, Shared};

/// Pause after a failed accept, which mostly means that the process is out of
/// file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Time within which a new connection must show that it speaks h2.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a connection without running requests gets to close in order. A
/// peer that has become silent would otherwise hold up the shutdown.
const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// Most resets of streams that a peer may have outstanding; more end the
/// connection.
const MAX_PENDING_RESETS: usize = 64;

/// `Service` answers the requests of one kind of link.
pub trait Service: Send + Sync + 'static {
    /// Requests.
    type Request: DeserializeOwned + Send + 'static;
    /// Answers.
    type Answer: Send + Serialize + 'static;

    /// Answers one request. An error is sent to the caller as a refusal, so
    /// it must mean that the request had no effect. The future is dropped if
    /// the caller goes away.
    fn handle(&self, request: Self::Request) -> impl Future<Output = Result<Self::Answer>> + Send;
}

/// `ServerOptions` are the settings of [`serve`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOptions {
    /// Shared secret that callers must present; default none.
    pub credential: Option<String>,
    /// Largest message in bytes; default 16 MiB.
    pub max_message_bytes: usize,
    /// Most connections at once; default 256.
    pub max_connections: usize,
    /// Most concurrent requests on a connection; default 1024.
    pub max_streams: u32,
    /// A connection that completes no request for this long while none is
    /// running is closed; default 60 s.
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

/// Serves connections until `shutdown` ends, then lets running requests finish
/// and joins every task that it spawned.
///
/// # Errors
/// None today; a failing accept is tried again.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    options: ServerOptions,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<()> {
    let permits = Arc::new(Semaphore::new(options.max_connections));
    let shared = Arc::new(Shared::new(service, options));
    let (stopping, stopped) = watch::channel(false);
    let mut connections = JoinSet::new();
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            biased;
            () = &mut shutdown => break,
            Some(_) = connections.join_next() => {}
            accepted = accept(&listener, &permits) => match accepted {
                Ok((stream, permit)) => {
                    let connection = Connection::new(shared.clone(), stopped.clone());
                    connections.spawn(connection.run(stream, permit));
                }
                Err(_) => sleep(ACCEPT_RETRY).await,
            },
        }
    }
    drop(listener);
    stopping.send_replace(true);
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
    shared: Arc<Shared<S>>,
    stopped: watch::Receiver<bool>,
    streams: JoinSet<()>,
    /// Time at which the connection ends if no request runs.
    idle_until: Instant,
    is_closing: bool,
}

impl<S: Service> Connection<S> {
    fn new(shared: Arc<Shared<S>>, stopped: watch::Receiver<bool>) -> Self {
        let idle_until = Instant::now() + shared.options.idle_timeout;
        Self {
            shared,
            stopped,
            streams: JoinSet::new(),
            idle_until,
            is_closing: false,
        }
    }

    async fn run(mut self, stream: TcpStream, _permit: OwnedSemaphorePermit) {
        let builder = server_builder(&self.shared.options);
        let handshake = builder.handshake::<_, Bytes>(stream);
        let connection = tokio::select! {
            connection = timeout(HANDSHAKE_TIMEOUT, handshake) => connection,
            () = wait_for_stop(&mut self.stopped) => return,
        };
        if let Ok(Ok(connection)) = connection {
            self.serve(connection).await;
        }
        // The callers of these have gone away.
        self.streams.shutdown().await;
    }

    /// Serves until the connection ends.
    async fn serve(&mut self, mut connection: H2Connection) {
        loop {
            tokio::select! {
                incoming = connection.accept() => match incoming {
                    Some(Ok(incoming)) => self.start(incoming),
                    Some(Err(_)) | None => return,
                },
                Some(_) = self.streams.join_next() => self.extend_idle(),
                () = sleep_until(self.idle_until), if self.streams.is_empty() => {
                    if self.is_closing {
                        return;
                    }
                    self.close(&mut connection);
                }
                () = wait_for_stop(&mut self.stopped), if !self.is_closing => {
                    self.close(&mut connection);
                }
            }
        }
    }

    fn start(&mut self, (request, response): Incoming) {
        let handling = stream::handle(self.shared.clone(), request, response);
        self.streams.spawn(handling);
    }

    /// Tells the caller to open no more streams.
    fn close(&mut self, connection: &mut H2Connection) {
        connection.graceful_shutdown();
        self.is_closing = true;
        self.extend_idle();
    }

    fn extend_idle(&mut self) {
        let limit = if self.is_closing {
            CLOSE_GRACE
        } else {
            self.shared.options.idle_timeout
        };
        self.idle_until = Instant::now() + limit;
    }
}

async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // An error means that the server is gone, which stops it as well.
    let _ = stopped.wait_for(|stopped| *stopped).await;
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
